"""Checks that entries keep to home regions and to the departures of endpoints."""

import math

import msgspec

from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.record import Arrival, SoakCall, SoakRecord

# Time after which a configuration or a departure binds, and after which a process is in
# touch again, in seconds.
BOUND_S = 2.0
CONTACT_S = 3.0

# Ends of the names of faults that disturb the store for all processes.
STORE_SUBJECTS = (" store", " store writes")


class Homes(msgspec.Struct, frozen=True):
    """Home regions in one configuration, acknowledged ``at``; none allow all regions.

    ``regions_by_prefix`` holds those of the routes.
    """

    at: float
    team_regions: tuple[str, ...]
    regions_by_prefix: dict[str, tuple[str, ...]]

    def allow(self, call: SoakCall, region: str) -> bool:
        """Return whether a call may reach an endpoint in a region."""
        regions_by_prefix = {"": self.team_regions, **self.regions_by_prefix}
        for prefix, regions in regions_by_prefix.items():
            if call.target.startswith(prefix) and regions and region not in regions:
                return False
        return True


class ProcessRun(msgspec.Struct):
    """One incarnation of an entry; ``stopped_at`` is when it was first told to end."""

    started_at: float
    stopped_at: float = math.inf


class Departure(msgspec.Struct):
    """Time in which an endpoint is listed as leaving or not at all."""

    endpoint: str
    start: float
    end: float = math.inf


class BindingLog:
    """What was listed, and the incarnations of entries, oldest first."""

    def __init__(self) -> None:
        self.homes: list[Homes] = []
        self.runs_by_entry: dict[str, list[ProcessRun]] = {}
        self.departures: list[Departure] = []

    def note_listed(self, endpoint: str, is_leaving: bool, now: float) -> None:
        """Record that an endpoint is listed, or that it is leaving or not listed."""
        last = self.find_departure(endpoint, now)
        if last is None and is_leaving:
            self.departures.append(Departure(endpoint, now))
        elif last is not None and not is_leaving:
            last.end = now

    def find_departure(self, endpoint: str, moment: float) -> Departure | None:
        """Return the departure of an endpoint that lasts at a moment."""
        for departure in self.departures:
            is_due = departure.start <= moment < departure.end
            if departure.endpoint == endpoint and is_due:
                return departure
        return None

    def note_start(self, entry: str, now: float) -> None:
        """Add an incarnation of an entry, which ends the one before."""
        runs = self.runs_by_entry.setdefault(entry, [])
        if runs:
            self.note_stop(entry, now)
        runs.append(ProcessRun(now))

    def note_stop(self, entry: str, now: float) -> None:
        """Record that an entry is told to end."""
        run = self.runs_by_entry[entry][-1]
        run.stopped_at = min(run.stopped_at, now)

    def find_run(self, entry: str, moment: float) -> ProcessRun | None:
        """Return the last incarnation that started by a moment."""
        runs = self.runs_by_entry.get(entry, [])
        return next((run for run in reversed(runs) if run.started_at <= moment), None)


class BindingChecker:
    """Checks all arrivals of a soak once it is over.

    A change binds an entry from the moment at which it is in touch and the bound
    has passed, for the rest of its incarnation, whatever happens to the store. A new
    incarnation is bound by what an undisturbed peer had to know as it started.
    """

    def __init__(
        self,
        record: SoakRecord,
        fault_log: FaultLog,
        binding_log: BindingLog,
        region_by_zone: dict[str, str],
    ) -> None:
        self._record = record
        self._fault_log = fault_log
        self._log = binding_log
        self._region_by_zone = region_by_zone

    def check(self) -> None:
        """Check every request that has reached an endpoint."""
        for arrival in self._record.arrivals:
            call = self._record.calls_by_id.get(arrival.call_id)
            if call is None:
                continue
            region = self._region_by_zone[arrival.zone]
            possible = self._list_possible(call, arrival)
            holds = any(homes.allow(call, region) for homes in possible)
            detail = (
                f"{call.target} by {call.entry} at {arrival.endpoint} in {region}, "
                f"{arrival.at - possible[0].at:.1f} s after the homes that bind it"
            )
            self._record.check("home regions kept", holds, arrival.at, detail)
            departure = self._log.find_departure(arrival.endpoint, arrival.at)
            if departure is not None and arrival.is_addressed:
                self._check_departure(departure, call, arrival)

    def _check_departure(
        self, departure: Departure, call: SoakCall, arrival: Arrival
    ) -> None:
        """Check that a request by an entry in touch has not come too late."""
        run = self._log.find_run(call.entry, call.sent_at)
        path = f"path to {arrival.endpoint.partition('.')[0]}"
        start = call.sent_at - CONTACT_S
        is_disturbed = any(
            self._fault_log.has_fault(subject, start, arrival.at)
            for subject in (call.entry, path)
        )
        if run is None or is_disturbed or run.stopped_at <= arrival.at:
            return
        holds = arrival.at <= self._compute_bound_at(departure.start, call.entry, run)
        detail = f"{call.id} by {call.entry} at {arrival.endpoint}"
        self._record.check("nothing to what has left", holds, arrival.at, detail)

    def _list_possible(self, call: SoakCall, arrival: Arrival) -> list[Homes]:
        """Return the configurations that may be in force, the oldest first."""
        possible: list[Homes] = []
        for homes in reversed(self._log.homes):
            if homes.at > arrival.at:
                continue
            possible.insert(0, homes)
            if self._binds(homes, call.entry, call.sent_at):
                break
        return possible

    def _binds(self, homes: Homes, entry: str, moment: float) -> bool:
        run = self._log.find_run(entry, moment)
        if run is None:
            return False
        is_due = self._compute_bound_at(homes.at, entry, run) <= moment
        return is_due or any(
            self._is_known_by(peer, homes, run.started_at, moment)
            for peer in self._log.runs_by_entry
            if peer != entry
        )

    def _is_known_by(self, entry: str, homes: Homes, start: float, end: float) -> bool:
        """Return whether an entry knew homes at the start and ran on undisturbed."""
        run = self._log.find_run(entry, start)
        if run is None or run.stopped_at <= end:
            return False
        if self._fault_log.has_fault(f"pause {entry}", start, end):
            return False
        return self._compute_bound_at(homes.at, entry, run) <= start

    def _compute_bound_at(self, at: float, entry: str, run: ProcessRun) -> float:
        """Return when a change binds an incarnation; ``inf`` if it never does."""
        moment = max(at + BOUND_S, run.started_at + CONTACT_S)
        for period in self._fault_log.periods:
            is_own = period.names(entry) or period.name.endswith(STORE_SUBJECTS)
            if is_own and period.overlaps(moment - CONTACT_S, moment):
                end = math.inf if period.end is None else period.end
                moment = end + CONTACT_S
        return moment if moment <= run.stopped_at else math.inf
