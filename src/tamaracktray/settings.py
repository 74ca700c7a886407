"""Reads the daemon's settings from an INI file and validates them.

``sections`` declares the sections. The validation, the error messages and the reference
page are derived from the range, unit and description of each field.
"""

import configparser
import os
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from tamaracktray.exceptions import SettingsError
from tamaracktray.http_messages import HttpLimits
from tamaracktray.limits import WindowSettings
from tamaracktray.sections import (
    LEVEL,
    NAME,
    UNIT,
    ApiSettings,
    EndpointSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    RequestSettings,
    TelemetrySettings,
    WeightSettings,
)
from tamaracktray.transfer import TransferSettings
from tamaracktray.types import Address, Role, TargetKind


class Settings(msgspec.Struct, frozen=True):
    """All settings of one process, with the secrets loaded."""

    node: NodeSettings
    platform: PlatformSettings
    api: ApiSettings
    peers: PeerSettings
    endpoint: EndpointSettings
    weights: WeightSettings
    requests: RequestSettings
    telemetry: TelemetrySettings
    platform_token: str = ""
    api_token: str = ""
    peer_key: str = ""

    @property
    def http_limits(self) -> HttpLimits:
        """Return the limits of the HTTP server for callers' requests."""
        requests = self.requests
        return HttpLimits(
            requests.max_header_bytes,
            requests.max_body_bytes,
            requests.idle_timeout_s,
            requests.receive_timeout_s,
            requests.send_timeout_s,
        )

    @property
    def window(self) -> WindowSettings:
        """Return the settings of the endpoint's concurrency window."""
        endpoint = self.endpoint
        return WindowSettings(
            endpoint.cold_limit,
            endpoint.max_limit,
            endpoint.target_s,
            endpoint.jump_factor,
            endpoint.warm_proofs,
            endpoint.cold_s,
        )

    @property
    def transfer(self) -> TransferSettings:
        """Return the timeouts of a transfer."""
        weights = self.weights
        return TransferSettings(
            weights.chunk_timeout_s, weights.takeover_s, weights.verify_ttl_s
        )


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "api": ApiSettings,
    "peers": PeerSettings,
    "endpoint": EndpointSettings,
    "weights": WeightSettings,
    "requests": RequestSettings,
    "telemetry": TelemetrySettings,
}


class FieldInfo(msgspec.Struct, frozen=True):
    """Description of one setting, for messages and the reference page."""

    key: str
    type_name: str
    unit: str
    accepted: str
    default: str
    description: str


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file.

    The error names the file, the section, the key and the accepted values.
    """
    return read_sections(path, SECTIONS).bind(
        lambda sections: _load_secrets(path, Settings(**sections)).bind(
            lambda settings: _check_consistency(path, settings)
        )
    )


def read_sections(
    path: Path,
    types_by_section: dict[str, type[msgspec.Struct]],
    *,
    is_empty_default: bool = False,
) -> Result[dict[str, Any], SettingsError]:
    """Read and validate the sections of an INI file.

    With ``is_empty_default``, a key with an empty value takes its default. Files that
    are rendered from a template have such keys.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text("utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(SettingsError(f"{path}: cannot read the file: {error}"))
    except configparser.Error as error:
        return Failure(SettingsError(f"{path}: {error.message}"))
    unknown = [name for name in parser.sections() if name not in types_by_section]
    if unknown:
        accepted = ", ".join(types_by_section)
        message = f"{path}: [{unknown[0]}]: unknown section; accepted: {accepted}"
        return Failure(SettingsError(message))
    sections: dict[str, msgspec.Struct] = {}
    for name, section_type in types_by_section.items():
        values = dict(parser[name]) if parser.has_section(name) else {}
        if is_empty_default:
            values = {key: value for key, value in values.items() if value}
        converted = _convert_section(path, name, section_type, values)
        if isinstance(converted, Failure):
            return converted
        sections[name] = converted.unwrap()
    return Success(sections)


def describe_section(section_type: type[msgspec.Struct]) -> list[FieldInfo]:
    """Return the description of every setting of a section."""
    hints = get_type_hints(section_type, include_extras=True)
    described: list[FieldInfo] = []
    for field in msgspec.structs.fields(section_type):
        base, *extras = get_args(hints[field.name])
        meta = extras[0]
        default = field.default
        text = "required" if default is msgspec.NODEFAULT else _format_value(default)
        described.append(
            FieldInfo(
                field.name,
                _name_type(base),
                (meta.extra or {}).get(UNIT, ""),
                _describe_accepted(base, meta),
                text,
                meta.description or "",
            )
        )
    return described


def _convert_section(
    path: Path, name: str, section_type: type[msgspec.Struct], values: dict[str, str]
) -> Result[msgspec.Struct, SettingsError]:
    info_by_key = {info.key: info for info in describe_section(section_type)}
    for key in values:
        if key not in info_by_key:
            accepted = ", ".join(info_by_key)
            message = f"{path}: [{name}] {key}: unknown key; accepted: {accepted}"
            return Failure(SettingsError(message))
    for key, info in info_by_key.items():
        if key not in values:
            if info.default == "required":
                message = f"{path}: [{name}] {key}: missing; accepted: {info.accepted}"
                return Failure(SettingsError(message))
            continue
        if not _is_accepted(section_type, key, values[key]):
            message = (
                f"{path}: [{name}] {key}: {values[key]!r} is not valid;"
                f" accepted: {info.accepted}"
            )
            return Failure(SettingsError(message))
    return Success(msgspec.convert(values, section_type, strict=False))


def _is_accepted(section_type: type[msgspec.Struct], key: str, value: str) -> bool:
    hint = get_type_hints(section_type, include_extras=True)[key]
    try:
        msgspec.convert(value, hint, strict=False)
    except msgspec.ValidationError:
        return False
    return True


def _load_secrets(path: Path, settings: Settings) -> Result[Settings, SettingsError]:
    sources = {
        "platform_token": (
            "platform",
            settings.platform.token_file,
            settings.platform.token_variable,
        ),
        "api_token": ("api", settings.api.token_file, settings.api.token_variable),
        "peer_key": ("peers", settings.peers.key_file, settings.peers.key_variable),
    }
    secrets: dict[str, str] = {}
    for field, (section, file, variable) in sources.items():
        secret = _load_secret(path, section, file, variable)
        if isinstance(secret, Failure):
            return secret
        secrets[field] = secret.unwrap()
    return Success(msgspec.structs.replace(settings, **secrets))


def _load_secret(
    path: Path, section: str, file: str, variable: str
) -> Result[str, SettingsError]:
    if file and variable:
        message = f"{path}: [{section}] set either a file or a variable, not both"
        return Failure(SettingsError(message))
    if variable:
        value = os.environ.get(variable, "")
        if not value:
            message = (
                f"{path}: [{section}] the environment variable {variable} is not set"
            )
            return Failure(SettingsError(message))
        return Success(value)
    if not file:
        return Success("")
    try:
        value = Path(file).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: [{section}] cannot read {file}: {error}"
        return Failure(SettingsError(message))
    if not value:
        return Failure(SettingsError(f"{path}: [{section}] {file} is empty"))
    return Success(value)


def _check_consistency(
    path: Path, settings: Settings
) -> Result[Settings, SettingsError]:
    """Check the constraints that involve several keys."""
    if settings.node.role is Role.AGENT:
        if not settings.endpoint.serves or not settings.endpoint.address:
            message = f"{path}: [endpoint] serves and address are required for an agent"
            return Failure(SettingsError(message))
        is_model = settings.endpoint.kind is TargetKind.MODEL
        if is_model and not settings.weights.origin:
            message = f"{path}: [weights] origin is required for a model endpoint"
            return Failure(SettingsError(message))
    if settings.endpoint.cold_limit > settings.endpoint.max_limit:
        message = f"{path}: [endpoint] cold_limit must not exceed max_limit"
        return Failure(SettingsError(message))
    if settings.requests.deadline_s > settings.requests.max_deadline_s:
        message = f"{path}: [requests] deadline_s must not exceed max_deadline_s"
        return Failure(SettingsError(message))
    if settings.api.listen and not settings.api_token:
        host = Address.parse(settings.api.listen).host
        if not host.startswith("127."):
            message = (
                f"{path}: [api] without a token, listen must be a loopback address"
            )
            return Failure(SettingsError(message))
    return Success(settings)


def _name_type(base: Any) -> str:
    if isinstance(base, type) and issubclass(base, msgspec.Struct | Role | TargetKind):
        return "choice"
    return {str: "text", int: "integer", float: "number", bool: "boolean"}[base]


def _describe_accepted(base: Any, meta: Meta) -> str:
    if base in (Role, TargetKind):
        return " or ".join(member.value for member in base)
    if base is bool:
        return "true or false"
    if meta.ge is not None:
        unit = (meta.extra or {}).get(UNIT, "")
        return f"{_name_type(base)} from {meta.ge:g} to {meta.le:g} {unit}".strip()
    unit = (meta.extra or {}).get(UNIT, "")
    if unit:
        return unit
    if meta.pattern == NAME:
        return "1 to 63 lower-case letters, digits, dots or hyphens"
    if meta.pattern == LEVEL:
        return "debug, info, warning or error"
    return "text"


def _format_value(value: Any) -> str:
    if isinstance(value, Role | TargetKind):
        return value.value
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:g}"
    return str(value) if value != "" else "empty"
