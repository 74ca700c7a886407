"""Another writer that leaves odd entries in the store."""

import curio
import msgspec

from tamaracktray_emulator.soak.fleet import SoakFleet, build_random

MEAN_INTERVAL_S = 1.5

# Time for which a known endpoint keeps an odd entry, in seconds.
MAX_ODD_S = 2.0

DEPTH = 5_000
KINDS = ("servers", "versions", "members", "quarantines")

# Largest number of odd entries of the writer's own.
MAX_ENTRIES = 20

ODD_DOCUMENTS = (
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b'{"service":"\\ud800"}',
    b"1e400",
    b"9" * DEPTH,
    b'{"service":"orders","address":"127.0.0.1:99999","zone":"zone-a","state":"ready",'
    b'"maxBatchSize":16}',
    b'{"service":"orders","address":"127.0.0.1:9","zone":"zone-a","state":"ready",'
    b'"maxBatchSize":36893488147419103232}',
    b'{"model":"odd","version":36893488147419103232}',
    b"null",
)


class OddEntryInjector:
    """Writes odd entries beside and in place of good ones."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = build_random(fleet.plan, "odd entries")

    async def run(self) -> None:
        """Write odd entries until cancelled, then restore those of endpoints."""
        async with curio.TaskGroup() as group:
            while True:
                await curio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
                document = msgspec.Raw(self._random.choice(ODD_DOCUMENTS))
                if self._random.random() < 0.2:
                    await group.spawn(self._replace, document)
                    continue
                kind = self._random.choice(KINDS)
                name = f"odd-{self._random.randrange(MAX_ENTRIES)}"
                self._fleet.store.write(kind, name, document)

    async def _replace(self, document: msgspec.Raw) -> None:
        """Replace the entry of an endpoint for a while."""
        endpoint = self._random.choice(self._fleet.endpoints)
        store, key = self._fleet.store, ("servers", endpoint.id)
        known = store.objects.get(key)
        if known is None:
            return
        store.write(*key, document)
        try:
            await curio.sleep(self._random.uniform(0.0, MAX_ODD_S))
        finally:
            current = store.objects.get(key)
            if current is not None and current["spec"] is document:
                store.write(*key, known["spec"])
