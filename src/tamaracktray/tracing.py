"""Tracing with one span for each hop of a request.

The trace context travels between processes in the ``traceparent`` header of the W3C
Trace Context recommendation. Spans are written as JSON lines if a file is configured.
The SDK is imported only in this case, as it takes several megabytes of memory.
"""

from abc import ABC, abstractmethod
from pathlib import Path

from typing_extensions import override

TRACE_HEADER = "traceparent"


class Span(ABC):
    """One hop of a request."""

    @property
    @abstractmethod
    def traceparent(self) -> str:
        """Return the header value that makes the next hop a child of this span."""

    @abstractmethod
    def end(self, outcome: str) -> None:
        """End the span and record a short outcome."""


class Tracer(ABC):
    """Starts spans."""

    @abstractmethod
    def start(self, name: str, traceparent: str, **attributes: str) -> Span:
        """Start a child of the caller's span, or a new trace if there is none."""

    def close(self) -> None:
        """Flush pending spans and close the output."""
        return


class _NullSpan(Span):
    """A span that passes the trace context on unchanged."""

    __slots__ = ("_traceparent",)

    def __init__(self, traceparent: str) -> None:
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        return self._traceparent

    def end(self, outcome: str) -> None:
        return


class NullTracer(Tracer):
    """Records no spans."""

    @override
    def start(self, name: str, traceparent: str, **attributes: str) -> Span:
        return _NullSpan(traceparent)


class _RecordedSpan(Span):
    """A span of the OpenTelemetry SDK."""

    __slots__ = ("_span",)

    def __init__(self, span: object) -> None:
        self._span = span

    @property
    def traceparent(self) -> str:
        context = self._span.get_span_context()
        flags = int(context.trace_flags)
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"

    def end(self, outcome: str) -> None:
        self._span.set_attribute("outcome", outcome)
        self._span.end()


class FileTracer(Tracer):
    """Writes spans to a file as JSON lines."""

    __slots__ = ("_file", "_propagator", "_provider", "_tracer")

    def __init__(self, path: Path, service: str) -> None:
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import (
            ConsoleSpanExporter,
            SimpleSpanProcessor,
        )
        from opentelemetry.trace.propagation.tracecontext import (
            TraceContextTextMapPropagator,
        )

        self._file = path.open("a", encoding="utf-8", buffering=1)
        self._provider = TracerProvider(resource=Resource({"service.name": service}))
        exporter = ConsoleSpanExporter(
            out=self._file, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("tamaracktray")
        self._propagator = TraceContextTextMapPropagator()

    @override
    def start(self, name: str, traceparent: str, **attributes: str) -> Span:
        context = self._propagator.extract({TRACE_HEADER: traceparent})
        span = self._tracer.start_span(name, context=context, attributes=attributes)
        return _RecordedSpan(span)

    @override
    def close(self) -> None:
        self._provider.shutdown()
        self._file.close()
