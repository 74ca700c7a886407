"""Trace spans, and the trace context that is passed on.

Guards against spans of one request that are split over several traces because a hop
drops or replaces the context.
"""

import json

from tamaracktray.tracing import FileTracer, NullTracer

CALLER = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class TestFileTracer:
    def test_spans_of_all_hops_share_a_trace(self, tmp_path):
        path = tmp_path / "spans.jsonl"
        tracer = FileTracer(path, "entry-1")
        request = tracer.start("request", CALLER, team="team-a")
        attempt = tracer.start("attempt", request.traceparent)
        attempt.end("answered")
        request.end("answered")
        tracer.close()
        spans = [json.loads(line) for line in path.read_text().splitlines()]
        assert [span["name"] for span in spans] == ["attempt", "request"]
        assert {span["context"]["trace_id"] for span in spans} == {
            "0x0af7651916cd43dd8448eb211c80319c"
        }
        assert spans[0]["parent_id"] == spans[1]["context"]["span_id"]
        assert spans[1]["attributes"] == {"team": "team-a", "outcome": "answered"}

    def test_new_trace_without_a_caller(self, tmp_path):
        tracer = FileTracer(tmp_path / "spans.jsonl", "entry-1")
        span = tracer.start("request", "")
        assert len(span.traceparent.split("-")) == 4
        span.end("answered")
        tracer.close()


class TestNullTracer:
    def test_context_is_forwarded(self):
        span = NullTracer().start("request", CALLER)
        span.end("answered")
        assert span.traceparent == CALLER
