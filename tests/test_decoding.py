"""Documents that other writers leave are sliced and decoded without exceptions.

Guards against a value that hides, moves or changes its neighbours.
"""

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
from tamaracktray.json_slices import slice_array, slice_object

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=6)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-99, 99) | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=12,
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


class TestSlices:
    @given(st.lists(VALUES, max_size=5))
    def test_elements_of_an_array(self, values):
        slices = slice_array(msgspec.json.encode(values))
        assert [msgspec.json.decode(text) for text in slices] == values

    @given(st.dictionaries(TEXT.filter(lambda name: '"' not in name), VALUES))
    def test_members_of_an_object(self, values):
        slices = slice_object(msgspec.json.encode(values))
        assert [msgspec.json.decode(text) for text in slices.values()] == list(
            values.values()
        )

    @given(st.binary(max_size=60))
    def test_any_bytes_are_sliced_without_an_exception(self, data):
        slice_array(data)
        slice_object(data)
        slice_array(b"[" + data)
        slice_object(b"{" + data)


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
