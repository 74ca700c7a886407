"""Slices JSON text into the texts of its members, without decoding them.

A decoder rejects a document as a whole for one value that is nested too deeply, too
large or no text. Slicing keeps such a value apart from the others.
"""

import re
from collections.abc import Iterator

# Whole strings, runs of brackets, and separators. Other bytes don't affect the slices.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+|[,:]', re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"


def slice_array(data: bytes) -> list[bytes]:
    """Return the texts of an array's elements; none if it isn't an array."""
    if data.strip()[:1] != b"[":
        return []
    return [data[start:end] for start, _, end in _find_parts(data)]


def slice_object(data: bytes) -> dict[str, bytes]:
    """Return the texts of an object's members by name; none if it isn't an object."""
    if data.strip()[:1] != b"{":
        return {}
    members: dict[str, bytes] = {}
    for start, colon, end in _find_parts(data):
        name = data[start:colon].strip().strip(b'"')
        members[name.decode("utf-8", "replace")] = data[colon + 1 : end]
    return members


def _find_parts(data: bytes) -> Iterator[tuple[int, int, int]]:
    """Yield the start, first colon and end of each part between top-level commas."""
    depth = 0
    start = colon = 0
    for token in TOKEN.finditer(data):
        text = token.group()
        if text[0] in OPENING:
            if depth == 0:
                start = colon = token.start() + 1
            depth += len(text)
        elif text[0] in CLOSING:
            depth -= len(text)
            if depth <= 0:
                end = token.end() - 1 + depth
                if data[start:end].strip():
                    yield start, colon, end
                return
        elif depth == 1 and text == b",":
            yield start, colon, token.start()
            start = colon = token.end()
        elif depth == 1 and text == b":" and colon == start:
            colon = token.start()
