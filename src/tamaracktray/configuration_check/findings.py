"""Finds errors, entries without effect and contradictory limits in a routing table."""

import math
from collections import Counter
from collections.abc import Iterator
from enum import Enum

import msgspec

from tamaracktray.routes import RepeatKind, Route, RoutingTable, Team


class FindingKind(str, Enum):
    """Kind of a finding.

    ``ERROR`` makes requests fail or leaves open which entry applies, ``UNUSED`` is an
    entry that never matches, ``CONTRADICTION`` are limits that exclude each other.
    """

    ERROR = "error"
    UNUSED = "unused"
    CONTRADICTION = "contradiction"


class Finding(msgspec.Struct, frozen=True):
    """One finding; ``subject`` names the entry, such as ``route talk``."""

    kind: FindingKind
    subject: str
    message: str


def check_table(table: RoutingTable) -> list[Finding]:
    """Return all findings in a routing table."""
    return [
        *_check_names("route", [route.name for route in table.routes]),
        *_check_names("team", [team.name for team in table.teams]),
        *_check_route_order(table),
        *(finding for route in table.routes for finding in _check_route(table, route)),
        *_check_teams(table),
        *_check_caller_limits(table),
    ]


def _check_names(section: str, names: list[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            message = f"{count} entries have this name"
            yield Finding(FindingKind.ERROR, f"{section} {name}", message)


def _check_route_order(table: RoutingTable) -> Iterator[Finding]:
    """Find routes replaced by a later one."""
    last_by_match = {(item.host, item.path_prefix): item for item in table.routes}
    for route in table.routes:
        last = last_by_match[route.host, route.path_prefix]
        if last is route:
            continue
        message = f"shadowed by the later route {last.name} of equal host and prefix"
        yield Finding(FindingKind.UNUSED, f"route {route.name}", message)


def _check_route(table: RoutingTable, route: Route) -> Iterator[Finding]:
    subject = f"route {route.name}"
    for kind, message in (
        *_list_match_faults(route),
        *_list_backend_faults(table, route),
        *_list_limit_faults(route),
    ):
        yield Finding(kind, subject, message)


def _list_match_faults(route: Route) -> Iterator[tuple[FindingKind, str]]:
    """Yield why no request can match a route.

    The host of a request is compared in lower case and without its port.
    """
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        message = f"prefix {prefix!r} does not begin and end with a slash"
        yield FindingKind.UNUSED, message
    if route.host != route.host.partition(":")[0].lower():
        yield FindingKind.UNUSED, f"host {route.host!r} has a port or capital letters"


def _list_backend_faults(
    table: RoutingTable, route: Route
) -> Iterator[tuple[FindingKind, str]]:
    if not route.backends:
        yield FindingKind.ERROR, "no service"
        return
    for backend in route.backends:
        if backend.service not in table.services_by_name:
            yield FindingKind.ERROR, f"unknown service {backend.service!r}"
        if not (math.isfinite(backend.weight) and backend.weight >= 0):
            message = f"invalid weight {backend.weight} of service {backend.service}"
            yield FindingKind.ERROR, message
    if not any(backend.weight > 0 for backend in route.backends):
        yield FindingKind.ERROR, "no service has a positive weight"


def _list_limit_faults(route: Route) -> Iterator[tuple[FindingKind, str]]:
    if route.max_attempts < 1:
        message = f"at most {route.max_attempts} attempts allow no request"
        yield FindingKind.ERROR, message
    if not route.timeout_s > 0:
        yield FindingKind.ERROR, f"timeout of {route.timeout_s:g} s"
    elif route.timeout_s < route.target_latency_s:
        message = (
            f"timeout of {route.timeout_s:g} s is shorter than the target latency "
            f"of {route.target_latency_s:g} s"
        )
        yield FindingKind.CONTRADICTION, message
    if route.kind is RepeatKind.STREAM and not route.gap_target_s > 0:
        yield FindingKind.CONTRADICTION, "stream without a gap target"


def _check_teams(table: RoutingTable) -> Iterator[Finding]:
    last_by_key: dict[str, Team] = {}
    for team in table.teams:
        subject = f"team {team.name}"
        if not team.keys:
            yield Finding(FindingKind.UNUSED, subject, "no keys")
        for key in team.keys:
            other = last_by_key.setdefault(key, team)
            if other is not team:
                # Keys are secrets, so the message does not hold them.
                message = f"shares a key with team {other.name}"
                yield Finding(FindingKind.ERROR, subject, message)


def _check_caller_limits(table: RoutingTable) -> Iterator[Finding]:
    limits = table.limits
    if limits.max_body_bytes < limits.max_header_bytes:
        message = (
            f"body limit of {limits.max_body_bytes} bytes is under the header limit "
            f"of {limits.max_header_bytes} bytes"
        )
        yield Finding(FindingKind.CONTRADICTION, "limits", message)
