"""Reads and builds the platform's headers of requests and answers."""

from typing_extensions import override

from tamaracktray.headers import (
    HOP_HEADERS,
    list_connection_headers,
    read_decimal,
    read_int,
)
from tamaracktray.http_messages import RawHeaders, Request
from tamaracktray.protocol import (
    AnswerFields,
    AttemptFields,
    CallerFields,
    RequestProtocol,
)

REQUEST_ID = "x-tamaracktray-request-id"
# Milliseconds for which the sender waits, not a point in time.
DEADLINE_MS = "x-tamaracktray-deadline-ms"
# Parts of the prompt as comma-separated ID:TOKENS pairs, not a hash.
PROMPT_PARTS = "x-tamaracktray-prefix-hash"
MODEL = "x-tamaracktray-model"
# Prompt tokens and maximum output tokens of the request, not the actual usage.
TOKEN_COUNTS = "x-tamaracktray-token-usage"
OUTPUT_ESTIMATE = "x-tamaracktray-length-hint"
SIGNATURE = "x-tamaracktray-server-signature"
TENANT = "x-tamaracktray-tenant"
EXPECTED_ENDPOINT = "x-tamaracktray-expect-instance"
EXPECTED_VERSION = "x-tamaracktray-expect-version"
REQUEST_PRIORITY = "x-tamaracktray-request-priority"
NOT_EXECUTED = "x-tamaracktray-not-executed"
# A single version number of the weights.
VERSION = "x-tamaracktray-weight-versions"
# "1" on every answer of an endpoint that is about to leave.
LEAVING = "server-leaving"
# On a 503, seconds for which this process must send the endpoint no requests.
RETRY_AFTER = "retry-after"
# Requests a second from all processes together, on every answer of a limited endpoint.
LIMIT = "server-limit"
LAST_EVENT_ID = "last-event-id"
AUTHORIZATION = "authorization"
KEY_SCHEME = "token "
ENDPOINT_PATH = "path"

# Status if the endpoint or its version is not the expected one.
MISDIRECTED = 421

# Status of answers on which ``retry-after`` is read.
UNAVAILABLE = 503

MS_PER_S = 1_000.0

# Headers that only this system may set; they are removed from callers' requests.
RESERVED_HEADERS = frozenset(
    {
        AUTHORIZATION,
        DEADLINE_MS,
        ENDPOINT_PATH,
        EXPECTED_ENDPOINT,
        EXPECTED_VERSION,
        LAST_EVENT_ID,
        TENANT,
        REQUEST_PRIORITY,
    }
)


class PlatformProtocol(RequestProtocol):
    """Maps request and answer fields to the platform's headers."""

    @override
    def parse_caller_fields(self, request: Request) -> CallerFields:
        headers = request.headers
        authorization = headers.get(AUTHORIZATION, "")
        key = ""
        if authorization[: len(KEY_SCHEME)].lower() == KEY_SCHEME:
            key = authorization[len(KEY_SCHEME) :].strip()
        wait_ms = read_int(headers.get(DEADLINE_MS, ""))
        prompt_tokens, _, max_output = headers.get(TOKEN_COUNTS, "").partition(",")
        parts = [
            item.partition(":")[0].strip()
            for item in headers.get(PROMPT_PARTS, "").split(",")
        ]
        return CallerFields(
            headers.get(REQUEST_ID, ""),
            key,
            None if wait_ms is None else wait_ms / MS_PER_S,
            headers.get(MODEL, ""),
            read_int(prompt_tokens) or 0,
            read_int(max_output) or 0,
            read_int(headers.get(OUTPUT_ESTIMATE, "")) or 0,
            parts[-1],
            headers.get(LAST_EVENT_ID, ""),
            tuple(part for part in parts[:-1] if part),
        )

    @override
    def build_attempt(self, request: Request, fields: AttemptFields) -> RawHeaders:
        listed = list_connection_headers(request.headers)
        headers: RawHeaders = []
        for name, value in request.raw_headers:
            header = name.decode("ascii").lower()
            if header in HOP_HEADERS or header in RESERVED_HEADERS or header in listed:
                continue
            headers.append((name, value))
        wait_ms = max(int(fields.time_left_s * MS_PER_S), 1)
        added = [(DEADLINE_MS, str(wait_ms)), (EXPECTED_ENDPOINT, fields.endpoint_id)]
        if fields.team:
            added.append((TENANT, fields.team))
        if fields.version:
            added.append((EXPECTED_VERSION, str(fields.version)))
        if fields.urgency is not None:
            added.append((REQUEST_PRIORITY, str(fields.urgency)))
        if fields.last_event_id:
            added.append((LAST_EVENT_ID, fields.last_event_id))
        headers.extend(
            (name.encode(), value.encode("latin-1")) for name, value in added
        )
        return headers

    @override
    def parse_answer_fields(self, status: int, headers: dict[str, str]) -> AnswerFields:
        is_misdirected = status == MISDIRECTED
        return AnswerFields(
            headers.get(REQUEST_ID, ""),
            NOT_EXECUTED in headers or is_misdirected,
            is_misdirected,
            SIGNATURE in headers,
            read_int(headers.get(VERSION, "")) or 0,
            headers.get(LEAVING, "").strip() == "1",
            read_decimal(headers.get(RETRY_AFTER)) if status == UNAVAILABLE else None,
            read_decimal(headers.get(LIMIT)),
        )

    @override
    def select_answer_headers(self, headers: RawHeaders) -> RawHeaders:
        selected: RawHeaders = []
        for name, value in headers:
            if name.decode("ascii").lower() in HOP_HEADERS:
                continue
            selected.append((name, value))
        return selected
