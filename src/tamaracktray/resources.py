"""Resources that operators declare, and their validation.

The terms follow the users of the product: an instance is a machine, an availability
zone a failure domain, a team a customer and an endpoint a back end.
"""

import re
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from tamaracktray.decoding import UNREADABLE
from tamaracktray.exceptions import ResourceError

NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Digest = Annotated[str, Meta(pattern=DIGEST_PATTERN)]


class Kind(str, Enum):
    """Kinds of resources, in the plural form used in paths."""

    MODEL = "models"
    VERSION = "versions"
    ZONE = "zones"
    ROLLOUT = "rollouts"
    ENDPOINT = "endpoints"


class ModelSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and the settings common to its versions."""

    description: str = ""


class VersionSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version of a model, identified by the SHA-256 digest of its manifest."""

    model: Name
    manifest: Digest


class ZoneSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone; ``out`` stops new requests to its endpoints."""

    region: Name
    out: bool = False


class RolloutState(str, Enum):
    """State of a rollout that operators request."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"


class RolloutSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request that all endpoints of a model serve one version.

    ``max_unavailable`` limits how many serving endpoints of one availability zone are
    swapped at the same time. ``failure_limit`` is the number of distinct instances with
    a failure at which the rollout halts.
    """

    model: Name
    version: Name
    max_unavailable: Annotated[int, Meta(ge=1, le=1000)] = 1
    failure_limit: Annotated[int, Meta(ge=1, le=1000)] = 2
    state: RolloutState = RolloutState.RUNNING
    previous_version: str = ""


class EndpointSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of an endpoint as reported by its agent; read-only for operators."""

    serves: str
    zone: str
    instance: str
    phase: str
    version: str = ""
    target: str = ""
    reason: str = ""


Spec = ModelSpec | VersionSpec | ZoneSpec | RolloutSpec | EndpointSpec

SPEC_TYPE_BY_KIND: dict[Kind, type] = {
    Kind.MODEL: ModelSpec,
    Kind.VERSION: VersionSpec,
    Kind.ZONE: ZoneSpec,
    Kind.ROLLOUT: RolloutSpec,
    Kind.ENDPOINT: EndpointSpec,
}


class Resource(msgspec.Struct, frozen=True):
    """One declared resource.

    ``resource_version`` is the platform revision of the last change, or 0 before the
    first write. ``deleted`` marks a tombstone, whose ``spec`` is meaningless.
    """

    kind: Kind
    name: str
    spec: Spec
    resource_version: int = 0
    deleted: bool = False

    @property
    def key(self) -> str:
        """Return a key that is unique across all kinds."""
        return f"{self.kind.value}.{self.name}"


def encode_resource(resource: Resource) -> dict[str, Any]:
    """Return the JSON form of a resource."""
    return msgspec.to_builtins(resource)


def decode_resource(document: Any) -> Result[Resource, ResourceError]:
    """Validate the JSON form of a resource.

    An invalid document yields a ``ResourceError`` that names the field and the accepted
    values.
    """
    if not isinstance(document, dict):
        return Failure(ResourceError("a resource must be a JSON object"))
    unknown = set(document) - {"kind", "name", "spec", "resource_version", "deleted"}
    if unknown:
        names = ", ".join(sorted(unknown))
        return Failure(
            ResourceError(
                f"unknown field: {names}; accepted: kind, name, spec, resource_version"
            )
        )
    try:
        kind = Kind(document.get("kind"))
    except ValueError:
        accepted = ", ".join(kind.value for kind in Kind)
        return Failure(ResourceError(f"kind must be one of: {accepted}"))
    name = document.get("name")
    if not isinstance(name, str) or not re.match(NAME_PATTERN, name):
        return Failure(
            ResourceError(
                "name must be 1 to 63 lower-case letters, digits, dots or hyphens"
            )
        )
    version = document.get("resource_version", 0)
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        return Failure(ResourceError("resource_version must be an integer >= 0"))
    try:
        spec = msgspec.convert(document.get("spec", {}), SPEC_TYPE_BY_KIND[kind])
    except UNREADABLE as error:
        return Failure(ResourceError(f"spec of {kind.value}/{name}: {error}"))
    deleted = document.get("deleted", False) is True
    return Success(Resource(kind, name, spec, version, deleted))
