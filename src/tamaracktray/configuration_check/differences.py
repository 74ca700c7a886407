"""Compares a routing table with the one in force."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from tamaracktray.routes import RoutingTable

# API keys are secrets and are never shown.
SECRET_FIELDS = frozenset({"keys"})


class Difference(msgspec.Struct, frozen=True):
    """A changed field of an entry; ``field`` is empty for a whole entry."""

    subject: str
    field: str
    old: str
    new: str


def compare_tables(old: RoutingTable, new: RoutingTable) -> list[Difference]:
    """Return what differs in a new table from an old one."""
    differences = _compare_fields("configuration", old, new, ("version",))
    sections = (
        ("route", _map_by_name(old.routes), _map_by_name(new.routes)),
        ("service", old.services_by_name, new.services_by_name),
        ("team", _map_by_name(old.teams), _map_by_name(new.teams)),
        ("", {"limits": old.limits}, {"limits": new.limits}),
    )
    for section, old_by_name, new_by_name in sections:
        differences += _compare_entries(section, old_by_name, new_by_name)
    return differences


def _map_by_name(entries: Iterable[Any]) -> dict[str, Any]:
    return {entry.name: entry for entry in entries}


def _compare_entries(
    section: str, old_by_name: Mapping[str, Any], new_by_name: Mapping[str, Any]
) -> list[Difference]:
    differences: list[Difference] = []
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        subject = f"{section} {name}".strip()
        old, new = old_by_name.get(name), new_by_name.get(name)
        if old is None:
            differences.append(Difference(subject, "", "absent", "present"))
        elif new is None:
            differences.append(Difference(subject, "", "present", "absent"))
        else:
            fields = old.__struct_fields__
            differences += _compare_fields(subject, old, new, fields)
    return differences


def _compare_fields(
    subject: str, old: Any, new: Any, fields: Iterable[str]
) -> list[Difference]:
    differences: list[Difference] = []
    for field in fields:
        old_value, new_value = getattr(old, field), getattr(new, field)
        if old_value == new_value:
            continue
        texts = (_format(field, old_value), _format(field, new_value))
        differences.append(Difference(subject, field, *texts))
    return differences


def _format(field: str, value: Any) -> str:
    if field in SECRET_FIELDS:
        return f"{len(value)} {field}, not shown"
    return msgspec.json.encode(value, enc_hook=str).decode()
