"""Slices JSON text into the texts of its members, without decoding them.

A decoder rejects a document as a whole for one value that is nested too deeply, too
large or no text. Slicing keeps such a value apart from the others.
"""

import re
from collections.abc import Iterator

# Whole strings, brackets and separators. Other bytes don't affect the slices.
TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[\]{},:]', re.DOTALL)

# A run of brackets, with all that stands before it.
BRACKETS = re.compile(
    rb'[^\[\]{}"]*+(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"[^\[\]{}"]*+)*+([\[{]+|[\]}]+)',
    re.DOTALL,
)
OPENING = b"[{"
CLOSING = b"]}"

# Depth down to which the ends of values are found in one pass: a value within an
# object of a list of a document.
INDEXED_DEPTH = 4


class JsonSlice:
    """A value within a JSON text, which is scanned once for all slices of it."""

    __slots__ = ("_data", "_end", "_end_by_start", "_start")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._start = 0
        self._end = len(data)
        self._end_by_start = _index_ends(data)

    @property
    def text(self) -> bytes:
        """Return the text of the value."""
        return self._data[self._start : self._end]

    def list_elements(self) -> list["JsonSlice"]:
        """Return the elements of an array; none if it isn't one."""
        if self.text.strip()[:1] != b"[":
            return []
        return [self._slice(start, end) for start, _, end in self._find_parts()]

    def list_members(self) -> dict[str, "JsonSlice"]:
        """Return the members of an object by name; none if it isn't one."""
        if self.text.strip()[:1] != b"{":
            return {}
        members: dict[str, JsonSlice] = {}
        for start, colon, end in self._find_parts():
            name = self._data[start:colon].strip().strip(b'"')
            members[name.decode("utf-8", "replace")] = self._slice(colon + 1, end)
        return members

    def _slice(self, start: int, end: int) -> "JsonSlice":
        part = JsonSlice.__new__(JsonSlice)
        part._data, part._end_by_start = self._data, self._end_by_start
        part._start, part._end = start, end
        return part

    def _find_parts(self) -> Iterator[tuple[int, int, int]]:
        """Yield the start, first colon and end of each part between commas."""
        data = self._data
        text = self.text
        position = self._start + len(text) - len(text.lstrip()) + 1
        start = colon = position
        while token := TOKEN.search(data, position, self._end):
            mark, position = token.group(), token.end()
            if mark[0] in OPENING:
                position = self._find_end(token.start())
            elif mark[0] in CLOSING:
                if data[start : token.start()].strip():
                    yield start, colon, token.start()
                return
            elif mark == b",":
                yield start, colon, token.start()
                start = colon = position
            elif mark == b":" and colon == start:
                colon = token.start()

    def _find_end(self, start: int) -> int:
        """Return the end of the array or object at a position."""
        end = self._end_by_start.get(start)
        if end is not None:
            return end
        depth = 0
        for brackets in BRACKETS.finditer(self._data, start, self._end):
            first, last = brackets.span(1)
            depth += last - first if self._data[first] in OPENING else first - last
            if depth <= 0:
                # The run may also close what holds the value.
                return last + depth
        return self._end


def _index_ends(data: bytes) -> dict[int, int]:
    """Return the ends of the arrays and objects near the top by their starts."""
    end_by_start: dict[int, int] = {}
    starts: list[int] = []
    depth = 0
    for brackets in BRACKETS.finditer(data):
        first, last = brackets.span(1)
        if data[first] in OPENING:
            if depth < INDEXED_DEPTH:
                starts.extend(range(first, last)[: INDEXED_DEPTH - depth])
            depth += last - first
            continue
        depth_before = depth
        depth -= last - first
        if depth >= INDEXED_DEPTH:
            continue
        for level in range(min(depth_before, INDEXED_DEPTH), max(depth, 0), -1):
            end_by_start[starts.pop()] = first + depth_before - level + 1
        if depth <= 0:
            break
    return end_by_start
