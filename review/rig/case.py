"""Runs a case: the exit status is 1 if the rule was broken, 0 if it held, else 2."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig.scene import Scene

LIMIT_S = 115.0
BROKEN = 1
HELD = 0
CANNOT_RUN = 2


def run_case(path: str, play: Callable[[Scene, bool], Awaitable[bool]]) -> None:
    """Play a case and exit; ``play`` returns whether the rule was broken."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _end)
    scene = Scene(str(Path(path).parent))
    status = CANNOT_RUN
    try:
        scene.fleet.check_build()
        is_broken = asyncio.run(_play(scene, play, has_trouble=has_trouble))
        status = BROKEN if is_broken else HELD
        scene.record.note("the rule was broken" if is_broken else "the rule held")
    except BaseException:
        scene.record.note("cannot run: " + traceback.format_exc())
    finally:
        scene.close()
        # Open connections of the stand-ins need no orderly end.
        os._exit(status)


def _end(number: int, frame: object) -> None:
    sys.exit(CANNOT_RUN)


async def _play(
    scene: Scene,
    play: Callable[[Scene, bool], Awaitable[bool]],
    *,
    has_trouble: bool,
) -> bool:
    async with asyncio.timeout(LIMIT_S):
        return await play(scene, has_trouble)
