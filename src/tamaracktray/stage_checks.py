"""Reads staged chunks back from an engine, to verify them before an order.

An order expires soon after the oldest read, so the reads of a slow engine are made side
by side.
"""

from collections import deque
from collections.abc import Iterable

import curio
from returns.result import Success

from tamaracktray.clocks import read_elapsed
from tamaracktray.engines import StagingEngine
from tamaracktray.staging_state import StagedChunk
from tamaracktray.weights import digest_bytes

# Connections that read chunks at the same time, and the delay in seconds before each
# further one is used: connections cost an engine time, and most engines need only one.
MAX_READERS = 8
READER_DELAY_S = 0.25


async def read_staged_chunks(
    engine: StagingEngine, model: str, indices: Iterable[int]
) -> dict[int, StagedChunk | None]:
    """Return the staged chunks by index; ``None`` marks one that can't be read."""
    listed = await engine.list_staged(model)
    staged = set(listed.value_or([]))
    chunk_by_index: dict[int, StagedChunk | None] = dict.fromkeys(indices)
    remaining = deque(index for index in chunk_by_index if index in staged)
    is_read = curio.Event()

    async def read_chunks(reader: int) -> None:
        while remaining:
            index = remaining.popleft()
            began_at = read_elapsed()
            read = await engine.read_chunk(model, index, reader)
            if isinstance(read, Success):
                digest = digest_bytes(read.unwrap())
                chunk_by_index[index] = StagedChunk(digest, began_at)
        await is_read.set()

    async with curio.TaskGroup() as readers:
        for number in range(MAX_READERS):
            if not remaining:
                break
            await readers.spawn(read_chunks, number)
            await curio.ignore_after(READER_DELAY_S, is_read.wait())
    return chunk_by_index
