"""Counters, gauges and latency histograms, sent to statsd or read over HTTP."""

from abc import ABC, abstractmethod

import statsd
from typing_extensions import override

from tamaracktray.types import Address

# Upper bounds of the latency buckets in seconds; objectives range from 0.1 to 6 s.
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)

NAMESPACE = "tamaracktray"


class Metrics(ABC):
    """Records counters, gauges and durations; names are in snake case."""

    @abstractmethod
    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""

    @abstractmethod
    def time(self, name: str, duration_s: float, **labels: str) -> None:
        """Record a duration in seconds."""


class NullMetrics(Metrics):
    """Discards all metrics."""

    def render(self) -> bytes:
        """Return an empty text."""
        return b""

    @override
    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        return

    @override
    def gauge(self, name: str, value: float, **labels: str) -> None:
        return

    @override
    def time(self, name: str, duration_s: float, **labels: str) -> None:
        return


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server over UDP; labels become parts of the name."""

    __slots__ = ("_client",)

    def __init__(self, address: Address, prefix: str) -> None:
        self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)

    @override
    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        self._client.incr(_join_name(name, labels), amount)

    @override
    def gauge(self, name: str, value: float, **labels: str) -> None:
        self._client.gauge(_join_name(name, labels), value)

    @override
    def time(self, name: str, duration_s: float, **labels: str) -> None:
        self._client.timing(_join_name(name, labels), duration_s * 1000)


def _join_name(name: str, labels: dict[str, str]) -> str:
    return ".".join([name, *labels.values()])


class ExposedMetrics(Metrics):
    """Keeps metrics in memory and renders them in the Prometheus text format.

    The Prometheus library is imported only when an instance is created, which saves
    memory in processes that send their metrics to statsd.
    """

    __slots__ = ("_families", "_generate", "_registry", "_types")

    def __init__(self) -> None:
        from prometheus_client import (
            CollectorRegistry,
            Counter,
            Gauge,
            Histogram,
            generate_latest,
        )

        self._registry = CollectorRegistry()
        self._types = (Counter, Gauge, Histogram)
        self._generate = generate_latest
        self._families: dict[str, object] = {}

    def render(self) -> bytes:
        """Return all metrics as text."""
        return self._generate(self._registry)

    @override
    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        self._get_family(name, self._types[0], labels).inc(amount)

    @override
    def gauge(self, name: str, value: float, **labels: str) -> None:
        self._get_family(name, self._types[1], labels).set(value)

    @override
    def time(self, name: str, duration_s: float, **labels: str) -> None:
        options = {"buckets": LATENCY_BUCKETS_S}
        name = f"{name}_seconds"
        self._get_family(name, self._types[2], labels, **options).observe(duration_s)

    def _get_family(self, name: str, kind: type, labels: dict[str, str], **options):
        family = self._families.get(name)
        if family is None:
            family = kind(
                name,
                name.replace("_", " "),
                list(labels),
                namespace=NAMESPACE,
                registry=self._registry,
                **options,
            )
            self._families[name] = family
        return family.labels(**labels) if labels else family
