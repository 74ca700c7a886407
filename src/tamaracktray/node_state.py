"""State of a process that follows the platform's store."""

from collections.abc import Iterable

from tamaracktray.announcement_records import AnnouncementRecords
from tamaracktray.announcements import Announcements
from tamaracktray.beacons import BeaconAnswers, BeaconFilter
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.engines import VersionTarget
from tamaracktray.gateway_state import GatewayState
from tamaracktray.part_watch import PartWatch
from tamaracktray.peers import Peers
from tamaracktray.quarantine_records import QuarantineRecords
from tamaracktray.roster import Roster
from tamaracktray.routes import RouteIndex, RoutingTable, Service
from tamaracktray.snapshots import Collection, SnapshotCache
from tamaracktray.staging_state import StagingState
from tamaracktray.types import Address, Role

# How long the store must answer before an outage counts as over, in seconds. Endpoints
# whose store entries expired in the outage are listed again within about two seconds.
OUTAGE_RECOVERY_S = 2.0


class StoreEra:
    """The era of the store that a process knows.

    ``latest`` is ``None`` before the first answer that names one. Until
    ``settle_deadline``, the store may lack changes that it had in an earlier era.
    """

    __slots__ = ("latest", "settle_deadline")

    def __init__(self) -> None:
        self.latest: int | None = None
        self.settle_deadline = 0.0

    def is_settling(self, now: float) -> bool:
        """Return whether writers may not have repeated lost changes yet."""
        return now < self.settle_deadline

    def end_settling(self, now: float) -> bool:
        """Return whether the store has settled since the last call."""
        if not self.settle_deadline or self.is_settling(now):
            return False
        self.settle_deadline = 0.0
        return True


class Takeover:
    """What this process has learned from peers about what they have in force.

    ``is_over`` is unset while a process that has just started asks them. ``table`` is
    a routing table that a peer had in force and the store lacked.
    """

    __slots__ = ("_asked", "_informed_deadline", "is_over", "table")

    def __init__(self) -> None:
        self.is_over = True
        self.table: RoutingTable | None = None
        self._informed_deadline = 0.0
        self._asked: set[tuple[str, int]] = set()

    def begin(self, informed_deadline: float) -> None:
        """Start to ask; writers have repeated lost changes by the deadline."""
        self.is_over = False
        self._informed_deadline = informed_deadline

    def note_informed(self) -> None:
        """Note that a peer has answered that ran before or has heard from one."""
        self._informed_deadline = 0.0

    def is_informed(self, now: float) -> bool:
        """Return whether this process knows all that the store may have lost."""
        return now >= self._informed_deadline

    def take_question(self, now: float, name: str, incarnation: int) -> bool:
        """Return whether to ask a peer that appeared late; each start is asked once."""
        if self.is_informed(now) or (name, incarnation) in self._asked:
            return False
        self._asked.add((name, incarnation))
        return True


class NodeState:
    """State of one process, either an entry or an agent.

    ``regained_at`` is when the store last answered after a failure, and
    ``is_store_lost`` is set while a later failure lasts. ``outage_end`` and
    ``is_outage`` are the same for confirmed failures, in which records may have
    expired. ``newer_peer`` names a peer that has had changes since ``behind_since``
    which the process's own watch has not delivered. A process that shuts down takes no
    new calls after ``close_deadline``, ends those without an answer after
    ``answer_deadline`` and exits by ``exit_deadline``, before ``grace_s`` has passed.
    ``has_versions`` is set once the
    announced versions have been read from the store. ``engine_service`` is the service
    of an agent's engine. ``unix_offset_s`` is the wall clock minus the monotonic clock.
    ``turn_target_by_model`` are the versions for which the swap turn was last
    determined, and ``logged_floor_by_model`` the versions last logged as due.
    """

    __slots__ = (
        "beacon_answers",
        "beacons",
        "behind_since",
        "answer_deadline",
        "close_deadline",
        "crashes",
        "evacuated_zones",
        "exit_deadline",
        "gateway",
        "has_versions",
        "index",
        "grace_s",
        "assignment_deadline",
        "is_leaving",
        "is_outage",
        "is_store_lost",
        "snapshot_cache",
        "name",
        "announcements",
        "newer_peer",
        "logged_floor_by_model",
        "outage_end",
        "own_engine",
        "part_crashes",
        "peers",
        "quarantine_records",
        "announcement_records",
        "regained_at",
        "region_by_zone",
        "role",
        "roster",
        "engine_service",
        "staging",
        "store_era",
        "takeover",
        "reachable_names",
        "target_by_model",
        "turn_target_by_model",
        "unix_offset_s",
        "zone",
    )

    def __init__(
        self,
        name: str,
        role: Role,
        zone: str,
        region_by_zone: dict[str, str],
        followed: Iterable[Collection] = tuple(Collection),
        initial: Iterable[Collection] = (),
        *,
        now: float,
        version_bound_s: float,
        grace_s: float,
        quarantine_s: float,
        heartbeat_s: float = 1.2,
    ) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.region_by_zone = region_by_zone
        self.snapshot_cache = SnapshotCache(followed, initial)
        self.store_era = StoreEra()
        self.takeover = Takeover()
        self.roster = Roster(OUTAGE_RECOVERY_S)
        self.quarantine_records = QuarantineRecords()
        self.crashes = CrashWatch(quarantine_s, heartbeat_s)
        self.part_crashes = PartWatch(quarantine_s, heartbeat_s)
        self.beacons = BeaconFilter()
        self.beacon_answers = BeaconAnswers()
        self.index: RouteIndex | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.target_by_model: dict[str, VersionTarget] = {}
        self.has_versions = False
        self.announcements = Announcements(now, version_bound_s)
        self.announcement_records = AnnouncementRecords(version_bound_s)
        self.unix_offset_s = 0.0
        self.turn_target_by_model: dict[str, VersionTarget] = {}
        self.logged_floor_by_model: dict[str, int] = {}
        self.peers = Peers(expects_beacons=role is Role.ENTRY)
        self.outage_end = 0.0
        self.is_outage = False
        self.is_store_lost = False
        self.regained_at = 0.0
        self.newer_peer = ""
        self.behind_since = 0.0
        self.is_leaving = False
        self.grace_s = grace_s
        self.close_deadline = 0.0
        self.answer_deadline = 0.0
        self.exit_deadline = 0.0
        self.gateway: GatewayState | None = None
        self.staging: StagingState | None = None
        self.assignment_deadline = 0.0
        self.reachable_names: tuple[str, ...] = ()
        self.engine_service = ""
        self.own_engine: Address | None = None

    def note_store_answer(self, now: float) -> None:
        """Record that the store answers, which ends an outage."""
        if self.is_store_lost:
            self.is_store_lost = False
            self.regained_at = now
        if self.is_outage:
            self.is_outage = False
            self.outage_end = now

    @property
    def has_configuration(self) -> bool:
        """Whether the process has the data that it needs to answer callers."""
        return self.snapshot_cache.is_complete and self.index is not None

    @property
    def is_initialized(self) -> bool:
        """Whether the process has that data and has asked its peers for newer data."""
        return self.takeover.is_over and self.has_configuration

    @property
    def services_by_name(self) -> dict[str, Service]:
        """The configured services by name, empty before the first routing table."""
        return {} if self.index is None else self.index.table.services_by_name
