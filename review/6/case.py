"""One odd entry of another writer, whose name has a space, ends every entry process."""

import asyncio
import os
import time

from rig.case import run_case
from rig.fleet import Process
from rig.scene import ZONE_NAMES, CannotRunError, Scene

ENTRIES = 4
RUN_S = 8.0
RESTART_S = 0.5

# The largest value is 1,048,576 bytes, and a list has pages of 1 MB at most: the odd
# object has a page to itself.
ODD_BYTES = 999_600

# ``NAME=plain`` stores the same object under a name without a space.
NAME = {"plain": "{}-copy"}.get(os.environ.get("NAME", ""), "{} (copy)")

# Fault: a tenth of the machines, two at least, three times each.
MACHINES = 2
ENDS = 3


class Platform:
    """Starts processes again that end, and counts how often each does."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.ends: dict[str, int] = {}

    async def watch(self) -> None:
        """Start again what has ended, for ever."""
        while True:
            for process in self.scene.fleet.note_exits():
                self.ends[process.name] = self.ends.get(process.name, 0) + 1
                self.scene.record.note(
                    f"{process.name} ended by itself, status {process.exits[-1]}"
                )
                asyncio.get_running_loop().create_task(self._restart(process))
            await asyncio.sleep(0.02)

    async def _restart(self, process: Process) -> None:
        await asyncio.sleep(RESTART_S)
        self.scene.fleet.start(process)


async def play(scene: Scene, has_trouble: bool) -> bool:
    """Start the entries beside the odd entry, and send requests to them."""
    await scene.open_stand_ins(workers=3)
    if has_trouble:
        name = NAME.format(scene.workers[0].id)
        document = {"service": 7, "note": "x" * ODD_BYTES}
        scene.store.write("servers", name, document)
        scene.record.note(f"another writer stores servers/{name!r}")
    scene.fleet.seeds = [f"{scene.network}.{40 + n}:8000" for n in range(3)]
    for number in range(ENTRIES):
        zone = ZONE_NAMES[number % len(ZONE_NAMES)]
        scene.entries.append(scene.fleet.add("entry", zone, 40 + number))
        scene.fleet.start(scene.entries[-1])
    platform = Platform(scene)
    watch = asyncio.get_running_loop().create_task(platform.watch())
    statuses: list[int] = []
    deadline = time.monotonic() + RUN_S
    while time.monotonic() < deadline:
        for entry in scene.entries:
            statuses.append((await scene.order(entry)).status)
        await asyncio.sleep(0.2)
    watch.cancel()
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    scene.record.note(f"answers by status (0: no answer): {counts}")
    scene.record.note(f"processes that ended by themselves: {platform.ends}")
    for entry in scene.entries:
        lines = [line for line in scene.fleet.read_log(entry).splitlines() if line]
        errors = [line for line in lines if "loop failed" in line]
        if platform.ends.get(entry.name) and not errors:
            raise CannotRunError(f"{entry.name} ended for another reason")
        if errors:
            last = errors[-1].replace("\\n", "\n").splitlines()[-1]
            scene.record.note(f"{entry.name}: {last[:120]}")
    return sum(count >= ENDS for count in platform.ends.values()) >= MACHINES


if __name__ == "__main__":
    run_case(__file__, play)
