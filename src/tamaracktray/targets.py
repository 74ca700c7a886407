"""Targets of HTTP requests, with the names in them percent-encoded.

Other writers choose the names of objects, models and services. Unencoded, some can't be
sent and others mean something else in a target.
"""

from urllib.parse import quote, unquote, urlencode


def encode_target(*segments: str, **query: str | int) -> str:
    """Return a target of path segments and query values, which may hold any text."""
    path = "".join(f"/{quote(segment, safe='')}" for segment in segments)
    if not query:
        return path
    return f"{path}?{urlencode(query, quote_via=quote, safe='')}"


def decode_path(target: str) -> list[str]:
    """Return the decoded path segments of a target."""
    path = target.partition("?")[0].removeprefix("/")
    return [unquote(segment) for segment in path.split("/")]
