"""Paths under which entries serve the parts of a model version."""

import msgspec

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
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    return VersionKey(parts[0], int(parts[1]))
