"""One odd entry of another writer costs only itself, wherever it is read.

Otherwise the readers of a list end, or stop following it and keep outdated endpoints.
"""

import socket
import time

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.primitives.exceptions import UnwrapFailedError
from returns.result import Failure

from platforms import ORDERS, ZONE, PlatformFleet, next_host, run_fleet
from raw_endpoints import Framing, RawAnswer, RawEndpoint
from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.chunk_reads import read_peer_manifest
from tamaracktray.decoding import UNREADABLE
from tamaracktray.platform.documents import read_manifest, read_report
from tamaracktray.platform.engine import PlatformEngine, PlatformOrigin
from tamaracktray.snapshot_codec import decode_snapshots, encode_snapshots
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.types import Address
from tamaracktray.version_keys import VersionKey
from tamaracktray_emulator.platform.documents import build_worker

FOLLOW_S = 2.0

DEPTHS = (3_000, 100_000)
NUMBERS = (
    b"-1",
    b"1e308",
    b"1e400",
    b"%d" % 2**63,
    b"%d" % 2**64,
    b"%d" % 10**40,
    b"9" * 5_000,
)
NUMBER_FIELDS = ("maxBatchSize", "coldRemainingMs", "seq", "born")


def nest_arrays(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


def nest_objects(depth: int) -> bytes:
    return b'{"a":' * depth + b"1" + b"}" * depth


def build_entry(**fields: bytes) -> bytes:
    """Return the entry of a worker that nobody runs, with raw JSON fields."""
    address = Address(next_host(), 31_082)
    models = [{"name": "kiln-1", "version": 1, "adapters": []}]
    document = build_worker(ORDERS, address, ZONE, models=models)
    raw = {name: msgspec.Raw(value) for name, value in fields.items()}
    return msgspec.json.encode({**document, **raw})


def build_deep_values() -> list[bytes]:
    return [nest(depth) for nest in (nest_arrays, nest_objects) for depth in DEPTHS]


def build_version_field(number: bytes) -> bytes:
    return b'[{"name":"kiln-1","version":%b,"adapters":[]}]' % number


ODD_ENTRIES: dict[str, list[bytes]] = {
    "deep": build_deep_values(),
    "deep in a known field": [build_entry(zone=v) for v in build_deep_values()],
    "deep in an unknown field": [build_entry(x=v) for v in build_deep_values()],
    "numbers": [
        build_entry(**{name: number}) for name in NUMBER_FIELDS for number in NUMBERS
    ],
    "model version": [build_entry(models=build_version_field(n)) for n in NUMBERS],
    "text": [
        build_entry(service=b'"\\ud800"'),
        build_entry(x=b'"\\udc00\\ud800"'),
        build_entry(zone=b'"\xff\xfe"'),
    ],
    "address": [
        build_entry(address=b'"10.0.0.1:%d"' % port) for port in (-1, 65_536, 10**40)
    ]
    + [build_entry(address=b'"10.0.0.1:%b"' % (b"9" * 5_000))],
    "no document": [b"null", b"7", b'"text"', b"[]", b"{}"],
}


def write_raw(fleet: PlatformFleet, kind: str, name: str, spec: bytes) -> None:
    fleet.store.write(kind, name, msgspec.Raw(spec))


def list_readable(fleet: PlatformFleet, number: int, collection: Collection) -> set:
    snapshot = fleet.entries[number].state.snapshot_cache.by_collection[collection]
    return {name for name, item in snapshot.objects_by_name.items() if item.value}


class TestWorkers:
    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    def test_list_of_workers_is_followed_beside_odd_entries(self, kind):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            for number, spec in enumerate(ODD_ENTRIES[kind]):
                write_raw(fleet, "servers", f"odd-{number}", spec)
            await fleet.add_worker("w-2")
            fleet.store.remove("servers", "w-1")
            await fleet.add_entry()

            def is_followed() -> bool:
                return all(
                    "w-2" in entry.state.roster.records_by_id
                    and "w-1" not in entry.state.roster.records_by_id
                    for entry in fleet.entries
                )

            await fleet.until(is_followed, FOLLOW_S)
            for entry in fleet.entries:
                cache = entry.state.snapshot_cache
                encoded = encode_snapshots(dict(cache.by_collection))
                assert not isinstance(decode_snapshots(encoded), Failure)

        run_fleet(scenario)

    @pytest.mark.parametrize("kind", ["deep", "numbers", "text", "no document"])
    def test_worker_with_an_odd_change_is_not_used_until_the_next_change(self, kind):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.add_worker("w-1")
            await fleet.add_worker("w-2")
            await fleet.until_listed(2)

            def lists_first() -> list[bool]:
                rosters = [entry.state.roster for entry in fleet.entries]
                return ["w-1" in roster.records_by_id for roster in rosters]

            odd = ODD_ENTRIES[kind][2]
            write_raw(fleet, "servers", "w-1", odd)
            await fleet.until(lambda: not any(lists_first()), FOLLOW_S)
            for number in range(4):
                reply = await fleet.call("/look/1", f"id-{number}", entry=number % 2)
                assert reply.body == b"answer of w-2"
            fleet.list_worker(fleet.workers["w-1"])
            await fleet.until(lambda: all(lists_first()), FOLLOW_S)

        run_fleet(scenario)

    def test_entry_left_out_is_logged_and_counted(self, capsys):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            counts = []
            metrics = fleet.entries[0].metrics
            metrics.count = lambda name, amount=1, **_: counts.append(name)
            write_raw(fleet, "servers", "odd", nest_arrays(3_000))
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            assert "objects_unreadable" in counts

        run_fleet(scenario)
        output = capsys.readouterr().out
        assert "object unreadable" in output and "odd" in output


class TestOtherKinds:
    GOOD_SPEC_BY_KIND = {
        "versions": b'{"model":"later","version":2}',
        "members": b'{"name":"later","zone":"zone-a","address":'
        b'{"host":"127.0.0.9","port":9}}',
        "evacuations": b"{}",
        "quarantines": b'{"ends":[]}',
    }
    COLLECTION_BY_KIND = {
        "versions": Collection.VERSIONS,
        "members": Collection.MEMBERS,
        "evacuations": Collection.EVACUATIONS,
        "quarantines": Collection.QUARANTINES,
    }
    ODD_SPECS = [
        *build_deep_values(),
        *NUMBERS,
        b'"\\ud800"',
        b'{"x":"\\ud800"}',
        *(b'{"model":"odd","version":%b}' % number for number in NUMBERS),
        *(
            b'{"name":"odd","zone":"z","address":{"host":"127.0.0.9","port":%b}}' % n
            for n in NUMBERS
        ),
        *(
            b'{"ends":[{"endpoint":["a",%b],"unix_s":%b,"run_s":%b}]}' % (n, n, n)
            for n in NUMBERS
        ),
        *(
            b'{"ends":[{"endpoint":{"id":"a","start_time_ms":%b},"unix_s":%b}]}'
            % (number, number)
            for number in NUMBERS
        ),
    ]

    @pytest.mark.parametrize("kind", GOOD_SPEC_BY_KIND)
    def test_kind_is_followed_beside_odd_objects(self, kind):
        collection = self.COLLECTION_BY_KIND[kind]

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            for number, spec in enumerate(self.ODD_SPECS):
                write_raw(fleet, kind, f"odd-{number}", spec)
            await fleet.add_entry()
            await curio.sleep(0.5)
            write_raw(fleet, kind, "later", self.GOOD_SPEC_BY_KIND[kind])

            def is_followed() -> bool:
                numbers = range(len(fleet.entries))
                return all(
                    "later" in list_readable(fleet, number, collection)
                    for number in numbers
                )

            await fleet.until(is_followed, 3.0)
            await fleet.until(lambda: fleet.entries[2].state.is_initialized)
            for number in range(6):
                reply = await fleet.call("/look/1", f"id-{number}", entry=number % 3)
                assert reply.status == 200
            for entry in fleet.entries:
                assert not entry.is_halted
                beacon = decode_beacon(encode_beacon(entry.build_beacon()))
                assert not isinstance(beacon, Failure)
                encode_snapshots(dict(entry.state.snapshot_cache.by_collection))

        run_fleet(scenario)

    def test_zone_is_evacuated_whatever_its_entry_holds(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1", zone="zone-a")
            await fleet.add_worker("w-2", zone="zone-b")
            await fleet.until_listed(2)
            write_raw(fleet, "evacuations", "zone-a", nest_arrays(3_000))
            names = lambda: list_readable(fleet, 0, Collection.EVACUATIONS)  # noqa: E731
            await fleet.until(lambda: "zone-a" in names(), FOLLOW_S)
            for number in range(4):
                reply = await fleet.call("/look/1", f"id-{number}")
                assert reply.body == b"answer of w-2"

        run_fleet(scenario)

    def test_odd_status_of_a_version_does_not_hide_the_version(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for number, status in enumerate(self.ODD_SPECS):
                name = f"model-{number}"
                write_raw(
                    fleet,
                    "versions",
                    name,
                    b'{"model":"%b","version":2}' % name.encode(),
                )
                stored = fleet.store.objects["versions", name]
                stored["status"] = msgspec.Raw(status)
            for number in NUMBERS:
                name = f"recorded-{number[:20].decode()}"
                spec = b'{"model":"%b","version":2}' % name.encode()
                write_raw(fleet, "versions", name, spec)
                status = b'{"namings":[[%b,%b],[2,%b]]}' % (number, number, number)
                stored = fleet.store.objects["versions", name]
                stored["status"] = msgspec.Raw(status)
            await curio.sleep(0.3)
            await fleet.add_entry()
            expected = len(self.ODD_SPECS) + len(NUMBERS)
            await fleet.until(
                lambda: (
                    len(list_readable(fleet, 1, Collection.VERSIONS)) == expected
                    and fleet.entries[1].state.is_initialized
                ),
                3.0,
            )
            for entry in fleet.entries:
                beacon = decode_beacon(encode_beacon(entry.build_beacon()))
                assert not isinstance(beacon, Failure)
                encode_snapshots(dict(entry.state.snapshot_cache.by_collection))

        run_fleet(scenario)


class TestPeers:
    def test_deep_datagram_does_not_stop_the_reader_of_beacons(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            first, second = fleet.entries
            await fleet.until(lambda: first.state.peers.members_by_name)
            valid = encode_beacon(Beacon("peer", 1, 1, {}, {}))
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            target = (first.own_address.host, first.own_address.port)
            for depth in (500, 5_000, 20_000):
                fields = 15
                deep = b"\x91" * depth + b"\x00"
                # One more field than the beacon has, and one in place of its status.
                sender.sendto(
                    b"\xdc" + bytes([0, fields + 1]) + valid[1:] + deep, target
                )
                sender.sendto(b"\x97" + valid[1:30] + deep, target)
            sender.close()
            await curio.sleep(0.2)
            sent_at = time.monotonic()
            contacts = first.state.peers._last_contact_by_address
            address = second.own_address
            await fleet.until(lambda: contacts.get(address, 0.0) > sent_at, 3.0)

        run_fleet(scenario)

    @given(st.integers(1, 30_000), st.sampled_from([b"\x91", b"\x81\xa1a"]))
    def test_any_deep_datagram_is_decoded_without_an_exception(self, depth, opener):
        valid = encode_beacon(Beacon("peer", 1, 1, {}, {}))
        decode_beacon(b"\xdc\x00\x10" + valid[1:] + opener * depth + b"\x00")
        decode_beacon(opener * depth + b"\x00")


class TestAnswersOfServices:
    """Reports, lists of chunks and manifests with odd documents."""

    BODIES = [
        *build_deep_values(),
        *(b'{"seq":%b,"born":%b,"pace":%b}' % (n, n, n) for n in NUMBERS),
        *(b'{"held":[%b]}' % number for number in NUMBERS),
        *(
            b'{"model":"m","version":1,"chunkBytes":%b,"digests":["a"]}' % number
            for number in NUMBERS
        ),
        b'{"x":"\\ud800"}',
        b'"\xff"',
        b"\x91" * 30_000,
        b"",
    ]

    @pytest.mark.parametrize("framing", Framing)
    def test_odd_document_is_a_failure_and_no_exception(self, framing):
        async def main() -> None:
            bodies: list[bytes] = []

            async def answer(raw: RawAnswer) -> None:
                await raw.respond(framing, bodies.pop(), content_type="")

            server = RawEndpoint(answer)
            await server.open()
            for body in self.BODIES:
                engine = PlatformEngine(server.address)
                origin = PlatformOrigin(server.address)
                for read in (
                    engine.read_report,
                    lambda engine=engine: engine.list_staged("m"),
                    lambda origin=origin: origin.read_manifest("m", 1),
                    lambda: read_peer_manifest(server.address, VersionKey("m", 1)),
                ):
                    bodies.append(body)
                    await read()
                    bodies.clear()

        curio.run(main)

    def test_document_that_was_cut_is_unreadable(self):
        """Nothing else shows that a document without framing was cut."""
        routes = {Collection.VERSIONS: Snapshot(5, 5)}
        readers = [
            (b'{"seq":12,"born":3,"models":[]}', read_report),
            (
                b'{"model":"m","version":1,"chunkBytes":9,"digests":["a"]}',
                lambda data: read_manifest(data, "m", 1),
            ),
            (b'{"held":[1,2]}', lambda data: msgspec.json.decode(data)),
            (encode_snapshots(routes), lambda data: decode_snapshots(data).unwrap()),
        ]
        for document, read in readers:
            whole = read(document)
            for end in range(len(document)):
                try:
                    value = read(document[:end])
                except (*UNREADABLE, UnwrapFailedError):
                    continue
                assert value == whole
