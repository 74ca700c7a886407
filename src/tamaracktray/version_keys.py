"""Paths under which entries serve the parts of a model version."""

import msgspec

from tamaracktray.headers import read_int

VERSIONS_PATH = "/versions/"


class VersionKey(msgspec.Struct, frozen=True):
    """A version of a model."""

    model: str
    version: int

    @property
    def path(self) -> str:
        """Return the path at which peers request its parts."""
        return f"{VERSIONS_PATH}{self.model}/{self.version}"


def read_version_key(path: str) -> VersionKey | None:
    """Return the version that a peer's request path names, or ``None``."""
    parts = path.removeprefix(VERSIONS_PATH).split("/")
    version = read_int(parts[1]) if len(parts) == 3 else None
    return None if version is None else VersionKey(parts[0], version)
