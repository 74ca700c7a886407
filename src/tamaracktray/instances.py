"""The platform's eventually consistent list of live and leaving instances."""

from abc import ABC, abstractmethod

from returns.result import Failure, Result
from typing_extensions import override

from tamaracktray.decoding import decode_listing
from tamaracktray.exceptions import PlatformError, PlatformUnavailableError
from tamaracktray.exchange import fetch
from tamaracktray.types import Address, Instance


class InstanceList(ABC):
    """Reads the instances that the platform lists as live.

    The list may be stale: it is used to find peers, never for safety decisions.
    """

    @abstractmethod
    async def list(self) -> Result[list[Instance], PlatformError]:
        """Return the instances, with leaving ones marked."""


class HttpInstanceList(InstanceList):
    """Fetches the list as JSON from ``GET /instances``."""

    __slots__ = ("_address", "_timeout_s")

    def __init__(self, address: Address, *, timeout_s: float = 2.0) -> None:
        self._address = address
        self._timeout_s = timeout_s

    @override
    async def list(self) -> Result[list[Instance], PlatformError]:
        reply = await fetch(
            self._address, "GET", "/instances", timeout_s=self._timeout_s
        )
        if isinstance(reply, Failure):
            return Failure(PlatformUnavailableError(reply.failure().message))
        answer = reply.unwrap()
        if answer.status != 200:
            message = f"the instance list answered {answer.status}"
            return Failure(PlatformUnavailableError(message))
        return decode_listing(answer.body, list[Instance]).alt(
            lambda error: PlatformUnavailableError(f"instance list: {error.message}")
        )
