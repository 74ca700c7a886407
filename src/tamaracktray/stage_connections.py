"""Connections of an agent to the engine on the same instance, for its stage."""

from returns.result import Result

from tamaracktray.chunk_reads import require_ok
from tamaracktray.exceptions import TransportError, WeightError
from tamaracktray.http_messages import Headers, Reply
from tamaracktray.persistent_client import ClientPool, PersistentClient
from tamaracktray.types import Address
from tamaracktray.weights import MAX_CHUNK_BYTES

OCTET_STREAM: Headers = [("content-type", "application/octet-stream")]

# Timeout of a call to the engine on the same instance.
LOCAL_TIMEOUT_S = 1.0

# Timeout of a write to the engine on the same instance. An engine that hangs executes
# the writes that it has received when it resumes, so the timeout is long.
WRITE_TIMEOUT_S = 10.0

# Time without acknowledgement after which a connection for writes is lost.
SILENCE_S = 2.0


class StageConnections:
    """Persistent connections to an engine.

    Writes have a connection of their own, and so has each further reader; all other
    calls share one. The next write is sent when the engine has answered the one before
    or has closed its connection, so that none is executed after a later one.
    """

    __slots__ = ("_clients", "_writer")

    def __init__(self, address: Address, id_header: str) -> None:
        self._clients = ClientPool(address, id_header)
        self._writer = PersistentClient(address, id_header, SILENCE_S)

    async def get(self, target: str) -> Result[Reply, TransportError]:
        """Return the answer to a GET, whatever its status."""
        client = self._clients.get_client()
        return await client.fetch("GET", target, timeout_s=LOCAL_TIMEOUT_S)

    async def read(self, target: str, reader: int = 0) -> Result[Reply, WeightError]:
        """Read from the stage; fail unless the status is 200."""
        reply = await self._clients.get_client(reader).fetch(
            "GET", target, timeout_s=LOCAL_TIMEOUT_S, max_bytes=MAX_CHUNK_BYTES
        )
        return require_ok(reply, f"GET {target}")

    async def write(self, target: str, data: bytes) -> Result[None, WeightError]:
        """Write to the stage; fail unless the status is 200."""
        reply = await self._writer.fetch(
            "PUT",
            target,
            OCTET_STREAM,
            data,
            timeout_s=WRITE_TIMEOUT_S,
            repeat_unanswered=False,
        )
        return require_ok(reply, f"PUT {target}").map(lambda _: None)
