"""Endpoints whose address another endpoint has taken over.

The list still names a crashed endpoint for a while after its address is in use again.
Guards against calls that reach the new owner, which may be in another region.
"""

from gateways import ORDERS, Gateway, build_call, build_route, sent, worker
from platforms import KEY, TEAM, PlatformFleet, run_fleet
from tamaracktray.attempt_abandonment import is_sendable
from tamaracktray.calls import RefuseCall
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.routes import RepeatKind
from tamaracktray.types import Address, RunState
from tamaracktray_emulator.platform.documents import build_tenant, build_worker

ROUTE = build_route(RepeatKind.SAFE, ORDERS)
SHARED = Address("10.0.0.9", 80)
OLD = worker("old", address=SHARED, start_time_ms=1_000)
SECOND = worker("second", "zone-b", address=Address("10.0.0.8", 80), start_time_ms=500)
NEW = worker("new", "zone-c", address=SHARED, start_time_ms=9_000)

REGION_A = frozenset({"region-a"})


def call(name: str = "1", **fields):
    return build_call(name, ROUTE, regions=REGION_A, **fields)


class TestReusedAddresses:
    def test_call_goes_to_an_endpoint_that_still_has_its_address(self):
        gateway = Gateway(OLD, SECOND, NEW)
        assert sent(gateway.arrive(call())) == ["second"]

    def test_call_for_the_earlier_owner_is_refused_at_once(self):
        (effect,) = Gateway(OLD, NEW).arrive(call())
        assert isinstance(effect, RefuseCall)
        assert effect.refusal.run is RunState.NOT_RUN

    def test_attempt_being_opened_is_withdrawn(self):
        gateway = Gateway(OLD, SECOND)
        (decision,) = gateway.arrive(call())
        assert decision.endpoint_id == "old"
        assert is_sendable(gateway.context, gateway.now, decision)
        gateway.follow(OLD, SECOND, NEW)
        assert not is_sendable(gateway.context, gateway.now, decision)
        assert sent(gateway.end(call(), "old", AttemptPhase.WITHDRAWN)) == ["second"]

    def test_new_owner_gets_its_calls(self):
        gateway = Gateway(OLD, NEW)
        assert sent(gateway.arrive(build_call("1", ROUTE))) == ["new"]

    def test_endpoint_is_used_again_once_the_newer_record_is_gone(self):
        gateway = Gateway(OLD, NEW)
        gateway.follow(OLD)
        assert sent(gateway.arrive(call())) == ["old"]

    def test_order_of_the_list_does_not_matter(self):
        gateway = Gateway(NEW, SECOND, OLD)
        assert sent(gateway.arrive(call())) == ["second"]

    def test_equal_start_times_name_no_later_owner(self):
        gateway = Gateway(OLD, worker("twin", address=SHARED, start_time_ms=1_000))
        taken = [sent(gateway.arrive(call(str(n))))[0] for n in range(4)]
        assert set(taken) == {"old", "twin"}


class TestRegions:
    def test_call_reaches_no_other_region_at_a_reused_address(self):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.tenants = [build_tenant(TEAM, KEY, allowedRegions=["region-a"])]
            await fleet.start()
            owner = await fleet.add_worker("new", "zone-b", born=9_000)
            crashed = build_worker(ORDERS, owner.server.address, "zone-a", born=1_000)
            fleet.store.write("servers", "old", crashed)
            await fleet.until_listed(2)
            assert (await fleet.call("/look/1")).status == 503
            assert owner.arrivals == 0

        run_fleet(scenario)
