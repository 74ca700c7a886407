"""Decodes what other processes and writers wrote, without exceptions."""

from typing import Any, TypeVar, get_args, get_origin

import msgspec
import structlog
from returns.result import Failure, Result, Success

from tamaracktray.exceptions import ProtocolError
from tamaracktray.json_slices import JsonSlice

# What decoders raise for malformed, too deep or too large values. The errors of msgspec
# are a ``ValueError``.
UNREADABLE = (ValueError, RecursionError, OverflowError)

T = TypeVar("T")


def decode_json(data: bytes, document: type[T] | Any) -> Result[T, ProtocolError]:
    """Decode a JSON document."""
    try:
        return Success(msgspec.json.decode(data, type=document))
    except UNREADABLE as error:
        return Failure(ProtocolError(f"unreadable document: {error}"))


def decode_msgpack(data: bytes, document: type[T] | Any) -> Result[T, ProtocolError]:
    """Decode a MessagePack document."""
    try:
        return Success(msgspec.msgpack.decode(data, type=document))
    except UNREADABLE as error:
        return Failure(ProtocolError(f"unreadable document: {error}"))


def convert_value(value: object, document: type[T] | Any) -> Result[T, ProtocolError]:
    """Convert a decoded document to its type."""
    try:
        return Success(msgspec.convert(value, document))
    except UNREADABLE as error:
        return Failure(ProtocolError(f"unreadable document: {error}"))


def decode_listing(
    data: bytes | msgspec.Raw, document: type[T] | Any
) -> Result[T, ProtocolError]:
    """Decode a JSON document with lists, leaving out only unreadable elements.

    A ``msgspec.Raw`` field of an element is kept apart, whatever it holds.
    """
    decoded = decode_json(data, document)
    if isinstance(decoded, Success):
        return decoded
    try:
        return Success(_decode_slice(JsonSlice(bytes(data)), document))
    except UNREADABLE:
        return decoded


def _decode_slice(value: JsonSlice, document: Any) -> Any:
    """Decode a document member by member; raise ``ValueError`` if one is missing."""
    if document is msgspec.Raw:
        return msgspec.Raw(value.text)
    if get_origin(document) is list:
        return _decode_elements(value, get_args(document)[0])
    if not isinstance(document, type) or not issubclass(document, msgspec.Struct):
        return msgspec.json.decode(value.text, type=document)
    members = value.list_members()
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(document):
        if field.encode_name in members:
            values[field.name] = _decode_slice(members[field.encode_name], field.type)
        elif field.required:
            raise ValueError(f"{field.encode_name} is missing")
    return document(**values)


def _decode_elements(value: JsonSlice, document: Any) -> list[Any]:
    elements: list[Any] = []
    for element in value.list_elements():
        try:
            elements.append(_decode_slice(element, document))
        except UNREADABLE as error:
            structlog.get_logger().warning("element unreadable", error=str(error))
    return elements
