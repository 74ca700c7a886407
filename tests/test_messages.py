"""Parsing of callers' requests: target, headers, key and fingerprint.

Guards against altered paths, invalid headers that are accepted, and idempotency keys
or fingerprints that are shared between teams or targets.
"""

import pytest

from tamaracktray.http_messages import Request
from tamaracktray.messages import parse_caller_request, parse_target
from tamaracktray.types import Priority, TargetKind

DEADLINE_LIMITS_S = (30.0, 300.0)


def make(target: str = "/models/kiln/v1/x", body: bytes = b"{}", **headers: str):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    path = target.partition("?")[0]
    return Request("POST", path, target, {}, named, body)


class TestTarget:
    @pytest.mark.parametrize(
        ("target", "parts"),
        [
            ("/models/kiln/v1/x", ("kiln", "/v1/x")),
            ("/models/kiln", ("kiln", "/")),
            ("/models/kiln/v1/x?a=1&b=%20c", ("kiln", "/v1/x?a=1&b=%20c")),
            ("/models/kiln?a=1", ("kiln", "/?a=1")),
            ("/models/kiln/a%2Fb", ("kiln", "/a%2Fb")),
        ],
    )
    def test_rest_is_unchanged(self, target, parts):
        assert parse_target(target).unwrap() == (TargetKind.MODEL, *parts)

    @pytest.mark.parametrize("target", ["/", "/models", "/models/", "/kings/a/b", "x"])
    def test_bad_target(self, target):
        assert parse_target(target).failure().message


class TestCallerRequest:
    def parse(self, request):
        return parse_caller_request(request, 10.0, *DEADLINE_LIMITS_S)

    def test_defaults(self):
        request = self.parse(make()).unwrap()
        assert (request.team, request.priority) == ("default", Priority.NORMAL)
        assert request.deadline == 40.0
        assert not request.key

    @pytest.mark.parametrize(
        "headers",
        [
            {"x_priority": "urgent"},
            {"x_deadline_ms": "0"},
            {"x_deadline_ms": "-5"},
            {"x_deadline_ms": "soon"},
            {"x_deadline_ms": "999999999"},
            {"x_team": ""},
            {"x_team": "t" * 64},
            {"idempotency_key": "k" * 256},
        ],
    )
    def test_error_names_the_bad_header(self, headers):
        message = self.parse(make(**headers)).failure().message
        assert next(iter(headers)).replace("_", "-") in message

    def test_key_is_scoped_by_team_and_target(self):
        requests = [
            make(idempotency_key="k", x_team="a"),
            make(idempotency_key="k", x_team="b"),
            make("/models/other/v1/x", idempotency_key="k", x_team="a"),
        ]
        keys = {self.parse(request).unwrap().key for request in requests}
        assert len(keys) == 3

    def test_fingerprint_depends_on_target_and_body(self):
        requests = [make(), make("/models/kiln/v1/x?a=1"), make(body=b"{ }")]
        fingerprints = {
            self.parse(request).unwrap().fingerprint for request in requests
        }
        assert len(fingerprints) == 3
