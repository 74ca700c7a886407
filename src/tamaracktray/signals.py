"""Signals that arrive before a process can handle them."""

import signal

RELOAD = {signal.SIGHUP}


def hold_reloads() -> None:
    """Keep a request to reload waiting, which would end a process that starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD)


def take_reloads() -> None:
    """Let requests to reload through, also one that has waited."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD)
