"""A small HTTP/1.1 server and client over asyncio, for stand-ins and callers."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, unquote, urlsplit


class Request:
    """A request that has been read completely; header names are in lower case."""

    __slots__ = ("body", "headers", "method", "path", "query", "target")

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))


class Reply:
    """A complete answer, or status 0 if there was none."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers; raise ``EOFError`` if there are none."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    first, *lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, is_answer: bool
) -> bytes:
    """Read a body by its length, its chunks or, in an answer, the connection's end."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return bytes(body)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


def encode_answer(
    status: int, headers: dict[str, str], body: bytes, *, closes: bool = False
) -> bytes:
    """Return the bytes of a complete answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    if closes:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(document: object) -> bytes:
    """Return a JSON body."""
    return json.dumps(document).encode()


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; the handler returns whether the connection stays open."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers, is_answer=False)
                request = Request(method, target, headers, body)
                if not await handler(request, writer):
                    break
                if headers.get("connection", "").lower() == "close":
                    break
        with contextlib.suppress(OSError):
            writer.close()

    return await asyncio.start_server(run, host, port, limit=2**22, backlog=512)


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Reply:
    """Send a request on a new connection; the status is 0 without a whole answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, limit=2**22)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            first, answered = await read_head(reader)
            answer = await read_body(reader, answered, is_answer=True)
            return Reply(int(first.split(" ")[1]), answered, answer)
    except (OSError, EOFError, ValueError, TimeoutError):
        return Reply(0, {}, b"")
    finally:
        if writer is not None:
            writer.close()
