"""Start delays by zone, which show the distance of a zone and a slowed link to it."""

# Weights of a new measurement in the moving averages of the recent and of the usual
# delay; about the last 5 and the last 100 count.
RECENT_WEIGHT = 0.2
USUAL_WEIGHT = 0.01

# A link counts as slowed while the recent delay exceeds the usual one by this factor
# and this time in seconds, which is more than one pass of an engine.
SLOW_FACTOR = 1.5
SLOW_MARGIN_S = 0.05

# Validity of the recent delay, in seconds. After that, a slowed link is tried again.
RECENT_VALID_S = 2.0


class ZoneDelay:
    """Moving averages of the start delay of calls to one zone, in seconds."""

    __slots__ = ("_recent_deadline", "_recent_s", "usual_s")

    def __init__(self, delay_s: float) -> None:
        self.usual_s = delay_s
        self._recent_s = delay_s
        self._recent_deadline = 0.0

    def record(self, now: float, delay_s: float) -> None:
        """Record a measurement."""
        if now >= self._recent_deadline:
            self._recent_s = self.usual_s
        self._recent_s += RECENT_WEIGHT * (delay_s - self._recent_s)
        self.usual_s += USUAL_WEIGHT * (delay_s - self.usual_s)
        self._recent_deadline = now + RECENT_VALID_S

    def find_recent(self, now: float) -> float:
        """Return the recent delay, or the usual one if there is none."""
        return self._recent_s if now < self._recent_deadline else self.usual_s

    def is_slowed(self, now: float) -> bool:
        """Return whether the recent delay is clearly longer than the usual one."""
        return self.find_recent(now) > self.usual_s * SLOW_FACTOR + SLOW_MARGIN_S


class ZoneDelays:
    """Start delays by service and zone."""

    __slots__ = ("_delay_by_key",)

    def __init__(self) -> None:
        self._delay_by_key: dict[tuple[str, str], ZoneDelay] = {}

    def record(self, now: float, service: str, zone: str, delay_s: float) -> None:
        """Record a measurement."""
        key = (service, zone)
        delay = self._delay_by_key.get(key)
        if delay is None:
            delay = self._delay_by_key[key] = ZoneDelay(delay_s)
        delay.record(now, delay_s)

    def find_recent(self, now: float, service: str, zone: str) -> float:
        """Return the recent start delay of a zone in seconds, 0 if unknown."""
        delay = self._delay_by_key.get((service, zone))
        return 0.0 if delay is None else delay.find_recent(now)

    def is_slowed(self, now: float, service: str, zone: str) -> bool:
        """Return whether calls to a zone start clearly later than usual."""
        delay = self._delay_by_key.get((service, zone))
        return delay is not None and delay.is_slowed(now)
