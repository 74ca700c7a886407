"""Parameters and results of a soak."""

import msgspec

# Sizes for soaks with silences: calls need endpoints to move to and time for it.
SIZES_WITH_SILENCES = {"engines": 6, "callers": 60, "rate": 200.0, "deadline_s": 5.0}

# Sizes for soaks with overloads: the soak's own process has to send several times what
# the engines can take, so they can take little.
SIZES_WITH_OVERLOADS = {"rate": 24.0}


class SoakPlan(msgspec.Struct, frozen=True):
    """Parameters of a soak; equal plans inject the same faults at the same times.

    ``duration_s`` is the time during which faults are injected. ``rate`` is the total
    number of calls per second of all callers, which wait for ``deadline_s`` each. With
    ``restores_store``, the store also comes back from older copies. With
    ``scales_out``, workers are added while single entries are killed. With
    ``changes_regions``, team and routes move between regions, and lost writes are
    repeated later. With ``restarts_on_copies``, only entries start as the store is
    back. ``is_calm`` leaves out faults that suspend promises. With ``has_silences``,
    sound endpoints fall silent for about a second and configurations change in series;
    if the soak is also calm, no other fault breaks answers off. With ``has_overloads``,
    streams of three priorities are sent for some seconds at a time to engines that
    can't take them all; if the soak is also calm, no other fault breaks answers off.
    ``recovery_s`` is the time after the last fault within which the fleet recovers.
    """

    seed: int
    duration_s: float = 20.0
    entries: int = 3
    engines: int = 3
    workers: int = 3
    callers: int = 12
    rate: float = 60.0
    deadline_s: float = 3.0
    restores_store: bool = False
    scales_out: bool = False
    changes_regions: bool = False
    restarts_on_copies: bool = False
    is_calm: bool = False
    has_silences: bool = False
    has_overloads: bool = False
    recovery_s: float = 12.0


class Violation(msgspec.Struct, frozen=True):
    """A broken promise; ``at`` is in seconds since the start of the soak."""

    promise: str
    at: float
    detail: str


class SoakReport(msgspec.Struct, frozen=True):
    """Results of a soak.

    ``checked_by_promise`` maps each promise to the number of its checks.
    """

    seed: int
    calls: int
    served: int
    refused: int
    failed: int
    faults: list[str]
    checked_by_promise: dict[str, int]
    violations: list[Violation]

    def format_row(self) -> str:
        """Return the report as a row of a Markdown table."""
        broken = ", ".join(sorted({item.promise for item in self.violations})) or "none"
        checks = sum(self.checked_by_promise.values())
        return (
            f"| {self.seed} | {len(self.faults)} | {self.calls} | {self.served} | "
            f"{self.refused} | {self.failed} | {checks} | {broken} |"
        )


REPORT_HEAD = (
    "| seed | faults | calls | served | refused | failed | checks | broken |\n"
    "|---|---|---|---|---|---|---|---|"
)
