"""Spill-over of calls to other regions.

Guards against calls that leave a region with room, against refusals while another
region has room, and against entries that all move to the same target.
"""

from gateways import Gateway, build_call, engine, sent
from tamaracktray.calls import RefuseCall, SendCall
from tamaracktray.ownership import FleetNode
from tamaracktray.spillover.demand import FIGURES_INTERVAL_S, REPORT_VALID_S

FAR = "zone-c"
PEER = "peer-c"
PEERS = (FleetNode(PEER, "region-c"),)


def build_gateway(*records, owned=("home",), peers=PEERS):
    """Return an entry of zone-a; the peer of region-c has reported no calls."""
    gateway = Gateway(*records, owned=owned)
    gateway.state.spillover.update_entries([FleetNode("entry-0", "region-a"), *peers])
    for peer in peers:
        gateway.state.record_peer_counts(gateway.now, peer.name, {})
    return gateway


def send_calls(gateway: Gateway, count: int, prefix: str = "c", **fields) -> list[str]:
    return [
        endpoint
        for number in range(count)
        for endpoint in sent(gateway.arrive(build_call(f"{prefix}{number}", **fields)))
    ]


class TestRoom:
    def test_no_call_leaves_while_the_own_zone_has_room(self):
        """Guards against leaving because another region runs fewer calls."""
        home = engine("home", max_batch=12)
        gateway = build_gateway(home, engine("far", FAR, max_batch=12))
        assert send_calls(gateway, 10) == ["home"] * 10

    def test_calls_leave_when_the_own_zone_is_full(self):
        home, far = engine("home", max_batch=4), engine("far", FAR, max_batch=12)
        gateway = build_gateway(home, far)
        effects = [e for n in range(13) for e in gateway.arrive(build_call(str(n)))]
        sends = [effect for effect in effects if isinstance(effect, SendCall)]
        assert [item.endpoint_id for item in sends] == ["home"] * 4 + ["far"] * 9
        assert [item.is_spilled for item in sends] == [False] * 4 + [True] * 9
        assert not any(isinstance(effect, RefuseCall) for effect in effects)

    def test_margin_of_the_target_is_left_to_its_owner(self):
        home, far = engine("home", max_batch=4), engine("far", FAR, max_batch=12)
        gateway = build_gateway(home, far)
        assert send_calls(gateway, 20).count("far") == 9

    def test_call_that_waits_is_sent_once_a_target_has_room(self):
        """Guards against a refusal of a queued call while a target has room."""
        home, far = engine("home", max_batch=4), engine("far", FAR, max_batch=12)
        gateway = build_gateway(home, far)
        gateway.state.record_peer_counts(0.0, PEER, {"far": 12})
        assert len(send_calls(gateway, 5)) == 4
        gateway.state.record_peer_counts(0.01, PEER, {"far": 8})
        assert sent(gateway.tick(0.02)) == ["far"]

    def test_call_without_an_endpoint_in_the_own_zone_leaves(self):
        gateway = build_gateway(engine("far", FAR, max_batch=12), owned=())
        assert send_calls(gateway, 1) == ["far"]

    def test_owned_endpoints_elsewhere_come_first(self):
        """Guards against borrowing from others while owned slots are free."""
        records = [
            engine("home"),
            *(engine(f"far-{n}", FAR) for n in range(4)),
            engine("mine", FAR),
        ]
        gateway = build_gateway(*records, owned=("home", "mine"))
        assert send_calls(gateway, 8) == ["home"] * 4 + ["mine"] * 4


class TestLimits:
    def test_evacuated_zone_gets_no_calls(self):
        gateway = build_gateway(engine("home"), engine("far", FAR, max_batch=12))
        gateway.evacuated = frozenset({FAR})
        assert send_calls(gateway, 8) == ["home"] * 4

    def test_zone_with_old_figures_gets_no_calls(self):
        """Guards against taking expired counts of a silent entry for free slots."""
        gateway = build_gateway(engine("home"), engine("far", FAR, max_batch=12))
        gateway.now = REPORT_VALID_S + 0.1
        assert send_calls(gateway, 8) == ["home"] * 4
        gateway.state.record_peer_counts(gateway.now, PEER, {})
        gateway.tick(FIGURES_INTERVAL_S)
        assert send_calls(gateway, 1, "later") == ["far"]

    def test_regions_of_the_call_are_obeyed(self):
        gateway = build_gateway(engine("home"), engine("far", FAR, max_batch=12))
        own = frozenset({"region-a"})
        assert send_calls(gateway, 8, regions=own) == ["home"] * 4
        other = frozenset({"region-c"})
        assert send_calls(gateway, 2, "other", regions=other) == ["far"] * 2


class TestOneRegion:
    def test_zones_of_one_region_compete_by_load_and_distance(self):
        """Guards against a change for deployments of one region."""
        gateway = Gateway(engine("home"), engine("near", "zone-b"))
        assert send_calls(gateway, 4) == ["home", "home", "near", "home"]
