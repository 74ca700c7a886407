"""Progress of a rollout, computed from the reports of the agents."""

from collections.abc import Iterable

import msgspec

from tamaracktray.resources import EndpointSpec, Resource, RolloutSpec, RolloutState

SERVING = "serving"


class ZoneProgress(msgspec.Struct, frozen=True):
    """Endpoint counts of one availability zone."""

    zone: str
    total: int
    updated: int
    swapping: int


class RolloutProgress(msgspec.Struct, frozen=True):
    """State of a rollout over all endpoints of its model."""

    name: str
    state: str
    version: str
    total: int
    updated: int
    zones: list[ZoneProgress]
    reason_by_instance: dict[str, str]

    @property
    def is_complete(self) -> bool:
        """Return whether every known endpoint serves the version."""
        return self.total > 0 and self.updated == self.total

    @property
    def is_halted(self) -> bool:
        """Return whether failures or operators have stopped the rollout."""
        return self.state != RolloutState.RUNNING.value


def summarize_rollout(
    rollout: Resource,
    endpoints: Iterable[Resource],
    reason_by_instance: dict[str, str],
) -> RolloutProgress:
    """Return the progress of a rollout.

    Raises ``TypeError`` if ``rollout`` is not a rollout.
    """
    spec = rollout.spec
    if not isinstance(spec, RolloutSpec):
        raise TypeError(f"{rollout.key} is not a rollout")
    target_version = spec.version
    if spec.state is RolloutState.ABORTED and spec.previous_version:
        target_version = spec.previous_version
    specs_by_zone: dict[str, list[EndpointSpec]] = {}
    for endpoint in endpoints:
        if not isinstance(endpoint.spec, EndpointSpec):
            continue
        if endpoint.spec.serves != spec.model:
            continue
        specs_by_zone.setdefault(endpoint.spec.zone, []).append(endpoint.spec)
    zones = [
        _summarize_zone(zone, specs, target_version)
        for zone, specs in sorted(specs_by_zone.items())
    ]
    state = spec.state.value
    is_failed = len(reason_by_instance) >= spec.failure_limit
    if spec.state is RolloutState.RUNNING and is_failed:
        state = "halted"
    return RolloutProgress(
        rollout.name,
        state,
        target_version,
        sum(zone.total for zone in zones),
        sum(zone.updated for zone in zones),
        zones,
        reason_by_instance,
    )


def _summarize_zone(
    zone: str, specs: list[EndpointSpec], target_version: str
) -> ZoneProgress:
    updated = 0
    swapping = 0
    for spec in specs:
        if spec.version == target_version and spec.phase == SERVING:
            updated += 1
            continue
        if not spec.version:
            swapping += 1
    return ZoneProgress(zone, len(specs), updated, swapping)
