"""Paths under which entries serve the parts of a model version."""

import msgspec

from tamaracktray.headers import read_int
from tamaracktray.targets import decode_path, encode_target

VERSIONS = "versions"
VERSIONS_PATH = f"/{VERSIONS}/"


class VersionKey(msgspec.Struct, frozen=True):
    """A version of a model."""

    model: str
    version: int

    @property
    def path(self) -> str:
        """Return the path at which peers request its parts."""
        return encode_target(VERSIONS, self.model, str(self.version))


def read_version_key(target: str) -> VersionKey | None:
    """Return the version that the target of a peer's request names, or ``None``."""
    parts = decode_path(target)
    version = read_int(parts[2]) if len(parts) == 4 else None
    return None if version is None else VersionKey(parts[1], version)
