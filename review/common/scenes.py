"""Documents of a small deployment like mawimbi-glass."""

from typing import Any

SERVICE = "booking-app"
ZONES = ("nairobi-a", "mombasa-a", "kisumu-a")


def build_route(name: str, kind: str = "safe", **fields: Any) -> dict[str, Any]:
    """Return a route to the plain service."""
    return {
        "name": name,
        "host": "jepu9.example",
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 1_200,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": False,
        "allowedRegions": [],
        **fields,
    }


def build_service() -> dict[str, Any]:
    """Return the plain service."""
    return {
        "name": SERVICE,
        "healthPath": "/healthz",
        "maxConnections": 96,
        "warmupS": 3.0,
        "coldPerS": 36.0,
    }
