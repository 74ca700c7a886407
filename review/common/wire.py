"""Minimal HTTP/1.1 reading and writing for the stand-ins and clients."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; return ``None`` if the peer has closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks; raise if it is cut off."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return bytes(body)
            body += chunk[:-2]
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; return ``None`` if the peer has closed before it."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    writer.transport.abort()
