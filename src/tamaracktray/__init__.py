"""Distributes model weights to many instances that serve live requests."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tamaracktray.core import ProcessState, reduce
    from tamaracktray.exceptions import TamaracktrayError
    from tamaracktray.resources import Kind, Resource
    from tamaracktray.settings import Settings, load_settings

__all__ = [
    "Kind",
    "ProcessState",
    "Resource",
    "Settings",
    "TamaracktrayError",
    "load_settings",
    "reduce",
]

_MODULE_BY_NAME = {
    "Kind": "resources",
    "ProcessState": "core",
    "Resource": "resources",
    "Settings": "settings",
    "TamaracktrayError": "exceptions",
    "load_settings": "settings",
    "reduce": "core",
}


def __getattr__(name: str) -> Any:
    """Import a name on first use, so that a process loads only what its role needs."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
