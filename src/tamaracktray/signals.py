"""Blocking of SIGHUP until a process has installed its handler."""

import signal

RELOAD_SIGNALS = {signal.SIGHUP}


def block_reload_signal() -> None:
    """Block SIGHUP, whose default action would terminate a starting process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def unblock_reload_signal() -> None:
    """Unblock SIGHUP and deliver a pending one."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS)
