"""Sends a request while its answer is being read.

A peer may read a long request late, or answer before it has read all of it.
"""

import curio
import h11
from returns.result import Failure, Result, Success

from tamaracktray.connections import send_nonblocking
from tamaracktray.exceptions import TransportError
from tamaracktray.http_messages import Headers, RawHeaders, encode_headers

# Characters of the reason why a request can't be sent that are kept: it may quote a
# value of any length.
MAX_REASON_CHARACTERS = 200


def build_head(
    method: str, target: str, headers: Headers | RawHeaders
) -> Result[h11.Request, TransportError]:
    """Return the head of a request, or a failure if HTTP can't carry its values."""
    try:
        encoded = encode_headers(headers)
        return Success(h11.Request(method=method, target=target, headers=encoded))
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        message = f"the request can't be sent: {reason}"
        return Failure(TransportError(message, sent=False))


class RequestSender:
    """Sends one request on a connection.

    ``is_complete`` is set once the socket has accepted all bytes. ``error`` is the loss
    of the connection, if sending noticed it; the reader may then see an ordinary end.
    """

    __slots__ = ("_socket", "_task", "error", "is_complete")

    def __init__(self, socket: curio.io.Socket) -> None:
        self._socket = socket
        self._task: curio.Task | None = None
        self.error: OSError | None = None
        self.is_complete = False

    async def start(self, payload: bytes) -> None:
        """Send what the socket accepts, and the rest in the background.

        Raises ``OSError`` if the connection is lost at once.
        """
        sent = send_nonblocking(self._socket, payload)
        self.is_complete = sent == len(payload)
        if not self.is_complete:
            rest = memoryview(payload)[sent:]
            self._task = await curio.spawn(self._send, rest, daemon=True)

    async def _send(self, rest: memoryview) -> None:
        try:
            await self._socket.sendall(rest)
            self.is_complete = True
        except OSError as error:
            self.error = error

    async def stop(self) -> None:
        """Send nothing more; no task may use the socket when it is closed."""
        if self._task is not None:
            await self._task.cancel()
