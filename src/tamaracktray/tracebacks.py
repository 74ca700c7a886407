"""Frees what ended tasks and expired timeouts refer to.

curio keeps the exception that ended a task or a timeout in an object to which the
exception's own traceback refers. The frames of the traceback, and so the requests and
answers in them, would stay in memory until the garbage collector finds the cycle.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import curio


def drop_traceback(error: BaseException) -> None:
    """Free the frames to which a handled exception refers."""
    error.__traceback__ = None
    error.__context__ = None


async def run_releasing(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a function in a task that keeps nothing of it when it is cancelled."""
    running = function(*args)
    del function, args
    try:
        return await running
    except curio.CancelledError as error:
        drop_traceback(error)
        raise
    finally:
        del running
