"""The paths under which entries hand out the parts of a version."""

import msgspec

VERSIONS_PATH = "/versions/"


class VersionKey(msgspec.Struct, frozen=True):
    """A version of a model."""

    model: str
    version: int

    @property
    def path(self) -> str:
        """Return the path under which peers ask for its parts."""
        return f"{VERSIONS_PATH}{self.model}/{self.version}"


def read_version_key(path: str) -> VersionKey | None:
    """Return the version that a peer's call is about, ``None`` if it names none."""
    parts = path.removeprefix(VERSIONS_PATH).split("/")
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    return VersionKey(parts[0], int(parts[1]))
