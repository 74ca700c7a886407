"""The platform adapter, the only code that uses the platform's names.

Guards against platform names in other modules, and against malformed records or
headers that are taken as valid.
"""

import math
import re
from pathlib import Path

import msgspec
import pytest

from tamaracktray.call_building import MAX_PARTS, digest_parts
from tamaracktray.http_messages import Request
from tamaracktray.platform.documents import (
    read_configuration,
    read_endpoint,
    read_report,
)
from tamaracktray.platform.protocol import PlatformProtocol
from tamaracktray.protocol import AttemptFields
from tamaracktray.routes import RepeatKind
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import (
    build_configuration,
    build_engine_service,
    build_route,
    build_tenant,
)

SOURCES = Path(__file__).parent.parent / "src" / "tamaracktray"
ADAPTER = SOURCES / "platform"

# Names that only the platform uses: headers, paths, fields and the settings variable.
PLATFORM_NAMES = re.compile(
    r"x-tamaracktray-|TAMARACKTRAY_NODE|storeRevision|sinceRevision|waitMs|hasMore"
    r"|coldRemainingMs|maxBatchSize|pathPrefix|apiKeys|allowedRegions|targetLatencyMs"
    r"|timeoutMs|stage-put|stage-get|fencingToken|switchMode|kvCapacity|coldPerS"
    r"|/objects/|\"servers\"|\"backends\"|chunkBytes|at-server",
    re.IGNORECASE,
)

SPEC = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "maxBatchSize": 16,
    "state": "ready",
    "coldRemainingMs": 1500,
    "seq": 4,
    "born": 1700000000000,
    "stage": "both",
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "layers": [{"from": 0, "to": 16, "version": 2}],
}


class TestBoundary:
    def test_platform_names_occur_only_in_the_adapter(self):
        found = [
            f"{path.relative_to(SOURCES)}: {line.strip()}"
            for path in SOURCES.rglob("*.py")
            if ADAPTER not in path.parents
            for line in path.read_text("utf-8").splitlines()
            if PLATFORM_NAMES.search(line)
        ]
        assert found == []

    def test_adapter_stays_small(self):
        lines = sum(
            len(path.read_text("utf-8").splitlines()) for path in ADAPTER.glob("*.py")
        )
        assert lines < 1_000


class TestEndpoint:
    def test_fields(self):
        record = read_endpoint("i-1", SPEC)
        assert record.address == Address("10.0.0.1", 80)
        assert record.cold_s == 1.5
        assert record.find_model("m").version == 2
        assert record.find_model("m").is_whole(16)

    def test_engine_of_another_stage_has_no_models(self):
        assert read_endpoint("i-1", {**SPEC, "stage": "prefill"}).models == ()

    @pytest.mark.parametrize(
        "change",
        [
            {"address": "nowhere"},
            {"address": 7},
            {"state": "resting"},
            {"maxBatchSize": "16"},
            {"models": "none"},
            {"service": None},
        ],
    )
    def test_unreadable_entries_raise(self, change):
        with pytest.raises((msgspec.ValidationError, ValueError)):
            read_endpoint("i-1", {**SPEC, **change})

    @pytest.mark.parametrize("name", ["service", "address", "zone", "state"])
    def test_missing_fields_raise(self, name):
        with pytest.raises(msgspec.ValidationError):
            read_endpoint("i-1", {k: v for k, v in SPEC.items() if k != name})

    def test_unknown_fields_are_ignored(self):
        assert read_endpoint("i-1", {**SPEC, "new": {"field": 1}}).id == "i-1"


class TestConfiguration:
    def test_routes_services_and_teams(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        document = build_configuration(
            7,
            [
                build_route("talk", "stream", "engines"),
                build_route("look", "safe", "") | {"backends": split},
            ],
            [build_engine_service("engines")],
            [build_tenant("t", "k1", "k2", allowedRegions=["r"])],
        )
        table = read_configuration("main", document)
        talk, look = table.routes
        assert (talk.kind, talk.timeout_s) == (RepeatKind.STREAM, 3.0)
        assert talk.is_idempotent
        assert [backend.weight for backend in look.backends] == [90, 10]
        engine = table.services_by_name["engines"].engine
        assert engine.step_s == pytest.approx(0.00673)
        assert engine.per_context_token_s == pytest.approx(6.8e-9)
        assert engine.pair_s == pytest.approx(6.47e-10)
        assert table.teams[0].allowed_regions == ("r",)
        assert table.limits.idle_timeout_s == 15.0


class TestReport:
    def test_fields(self):
        report = read_report(
            msgspec.json.encode(
                {
                    "stage": "both",
                    "models": SPEC["models"],
                    "layers": SPEC["layers"],
                    "busy": True,
                    "seq": 3,
                    "queued": 1,
                    "active": 12,
                    "born": 5,
                    "pace": 1.5,
                }
            )
        )
        assert (report.is_busy, report.sequence, report.running) == (True, 3, 12)
        assert report.find_model("m").version == 2


class TestHeaders:
    PROTOCOL = PlatformProtocol()

    def request(self, **headers: str) -> Request:
        headers_by_name = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        raw = [
            (name.encode(), value.encode()) for name, value in headers_by_name.items()
        ]
        return Request("GET", "/", "/", {}, headers_by_name, b"", raw)

    def test_caller(self):
        fields = self.PROTOCOL.parse_caller_fields(
            self.request(
                x_tamaracktray_request_id="id",
                x_tamaracktray_deadline_ms="1500",
                x_tamaracktray_token_usage="1460,80",
                x_tamaracktray_length_hint="60",
                x_tamaracktray_prefix_hash="5c:800,91:410",
                authorization="Token secret",
            )
        )
        assert fields.wait_s == 1.5
        assert (fields.prompt_tokens, fields.max_output) == (1460, 80)
        assert (fields.expected_output, fields.session) == (60, "91")
        assert fields.key == "secret"

    @pytest.mark.parametrize(
        ("text", "shared", "session"),
        [
            ("", (), ""),
            ("5c:800", (), "5c"),
            ("5c:800, 91:410,e4:2", ("5c", "91"), "e4"),
            ("5c,,91:x,e4", ("5c", "91"), "e4"),
        ],
    )
    def test_last_part_of_a_prompt_is_not_shared(self, text, shared, session):
        request = self.request(x_tamaracktray_prefix_hash=text)
        fields = self.PROTOCOL.parse_caller_fields(request)
        assert (fields.shared_parts, fields.session) == (shared, session)

    def test_part_digests_are_bounded_and_distinct(self):
        parts = digest_parts(tuple(f"{n}" * 10_000 for n in range(2 * MAX_PARTS)))
        assert len(parts) == len(set(parts)) == MAX_PARTS
        assert max(len(part) for part in parts) < 32

    @pytest.mark.parametrize(
        ("text", "limit_per_s"),
        [("1.8", 1.8), ("0", 0.0), ("12", 12.0), ("-1", -1.0)],
    )
    def test_limit_of_an_endpoint(self, text, limit_per_s):
        fields = self.PROTOCOL.parse_answer_fields(200, {"server-limit": text})
        assert fields.limit_per_s == limit_per_s
        assert self.PROTOCOL.parse_answer_fields(200, {}).limit_per_s is None

    @pytest.mark.parametrize("text", ["", "soon", "1,8", "1.8/s"])
    def test_unreadable_limit_is_no_number(self, text):
        fields = self.PROTOCOL.parse_answer_fields(200, {"server-limit": text})
        assert math.isnan(fields.limit_per_s)

    @pytest.mark.parametrize("text", ["", "soon", "-1", "1.5", "1e3", "²"])
    def test_malformed_deadline_counts_as_absent(self, text):
        request = self.request(x_tamaracktray_deadline_ms=text)
        assert self.PROTOCOL.parse_caller_fields(request).wait_s is None

    @pytest.mark.parametrize("text", ["Bearer secret", "secret", "Token"])
    def test_other_schemes_have_no_key(self, text):
        assert (
            self.PROTOCOL.parse_caller_fields(self.request(authorization=text)).key
            == ""
        )

    def test_connection_headers_are_not_forwarded(self):
        request = self.request(
            connection="close, x-private",
            x_private="1",
            x_public="2",
            transfer_encoding="chunked",
            content_length="3",
            authorization="Token secret",
        )
        built = dict(self.PROTOCOL.build_attempt(request, AttemptFields("i", "t", 0.5)))
        assert built[b"x-public"] == b"2"
        assert built[b"x-tamaracktray-deadline-ms"] == b"500"
        for name in (b"connection", b"x-private", b"content-length", b"authorization"):
            assert name not in built

    def test_deadline_is_never_zero(self):
        built = dict(
            self.PROTOCOL.build_attempt(self.request(), AttemptFields("i", "", 0.0))
        )
        assert built[b"x-tamaracktray-deadline-ms"] == b"1"
