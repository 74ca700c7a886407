"""Documents that other writers leave are sliced and decoded without exceptions.

Guards against a value that hides, moves or changes its neighbours.
"""

import time
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from tamaracktray.decoding import (
    convert_value,
    decode_json,
    decode_listing,
    decode_msgpack,
)
from tamaracktray.json_slices import JsonSlice
from tamaracktray.peers import HELD_UP_S

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=6)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-99, 99) | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=12,
)
NAMES = TEXT.filter(lambda name: '"' not in name and name == name.strip())
DOCUMENTS = st.recursive(
    VALUES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=3)
    ),
    max_leaves=6,
)
DEEP = b"[" * 5_000 + b"]" * 5_000


class Item(msgspec.Struct):
    """An object of a listing."""

    name: str
    document: msgspec.Raw = msgspec.Raw(b"null")


class Listing(msgspec.Struct):
    """A listing."""

    items: list[Item]
    revision: int


def check_slices(value: JsonSlice, expected: Any) -> None:
    """Check the slices of a value, of its members, and so on."""
    assert msgspec.json.decode(value.text) == expected
    if isinstance(expected, list):
        elements = value.list_elements()
        assert len(elements) == len(expected)
        for element, item in zip(elements, expected, strict=True):
            check_slices(element, item)
    if isinstance(expected, dict):
        members = value.list_members()
        assert len(members) == len(expected)
        for member, item in zip(members.values(), expected.values(), strict=True):
            check_slices(member, item)


class TestSlices:
    @given(st.lists(VALUES, max_size=5))
    def test_elements_of_an_array(self, values):
        elements = JsonSlice(msgspec.json.encode(values)).list_elements()
        assert [msgspec.json.decode(item.text) for item in elements] == values

    @given(st.dictionaries(NAMES, VALUES))
    def test_members_of_an_object(self, values):
        members = JsonSlice(msgspec.json.encode(values)).list_members()
        decoded = [msgspec.json.decode(item.text) for item in members.values()]
        assert decoded == list(values.values())

    @given(DOCUMENTS, st.integers(0, 2))
    def test_slices_of_slices(self, document, indent):
        data = msgspec.json.format(msgspec.json.encode(document), indent=indent)
        check_slices(JsonSlice(b" " + data + b" "), document)

    @given(st.binary(max_size=60) | st.text('[]{},:"\\a', max_size=40))
    def test_any_bytes_are_sliced_without_an_exception(self, data):
        if isinstance(data, str):
            data = data.encode()
        for text in (data, b"[" + data, b"{" + data, b'{"a":[' + data):
            value = JsonSlice(text)
            for part in (*value.list_elements(), *value.list_members().values()):
                part.list_elements()
                part.list_members()

    def test_deep_value_holds_the_process_up_only_briefly(self):
        """A process counts as held up from 0.25 s on."""
        depth = 100_000
        odd = b'{"a":' * depth + b"1" + b"}" * depth
        data = b'{"items":[{"name":"odd","document":%b}],"revision":7}' % odd
        began_s = time.process_time()
        listing = decode_listing(data, Listing).unwrap()
        assert time.process_time() - began_s < HELD_UP_S
        assert bytes(listing.items[0].document) == odd


class TestListing:
    @pytest.mark.parametrize("odd", [DEEP, b'"\\ud800"', b"1e400", b"9" * 5_000])
    @given(before=st.integers(0, 3), after=st.integers(0, 3))
    def test_odd_document_is_kept_apart(self, odd, before, after):
        texts = [b'{"name":"good","document":1}'] * (before + after)
        texts.insert(before, b'{"name":"odd","document":%b}' % odd)
        data = b'{"items":[%b],"revision":7}' % b",".join(texts)
        listing = decode_listing(data, Listing).unwrap()
        names = ["good"] * before + ["odd"] + ["good"] * after
        assert [item.name for item in listing.items] == names
        assert listing.revision == 7
        documents = [decode_json(item.document, Any) for item in listing.items]
        assert isinstance(documents[before], Failure)

    def test_element_without_a_readable_name_is_left_out(self):
        data = b'{"items":[{"name":%b},{"name":"a"},%b],"revision":7}' % (DEEP, DEEP)
        listing = decode_listing(data, Listing).unwrap()
        assert [item.name for item in listing.items] == ["a"]

    @pytest.mark.parametrize(
        "data",
        [b"", b"{", DEEP, b'{"items":[]}', b'{"items":[%b],"revision":"x"}' % DEEP],
    )
    def test_listing_without_its_outline_is_unreadable(self, data):
        assert isinstance(decode_listing(data, Listing), Failure)


class TestFailures:
    def test_deep_documents_are_unreadable(self):
        assert isinstance(decode_json(DEEP, Any), Failure)
        assert isinstance(decode_msgpack(b"\x91" * 5_000, Any), Failure)
        value: list = []
        for _ in range(5_000):
            value = [value]
        assert isinstance(convert_value(value, list[Item]), Failure)
