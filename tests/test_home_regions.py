"""Calls that may only be served in some regions."""

import json
import random
import unittest

import msgspec

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import (
    RefusalReason,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotRevoke,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.http import Headers, Request
from sassafraspin.platform.document import decode_table
from sassafraspin.routed.adapter import CallMetadata
from sassafraspin.routed.call import match_call
from sassafraspin.routes import RouteIndex
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement
from tests.routed_deployment import configuration

ZONE_REGIONS = {"z1": "north", "z2": "south", "z3": "south"}


def call_regions(route: list[str], account: list[str]) -> tuple[str, ...] | None:
    """Return the regions of a call whose route and account have some."""
    document = configuration()
    for item in document["routes"]:
        item["allowed_regions"] = route
    document["tenants"][0]["allowed_regions"] = account
    index = RouteIndex(decode_table(json.dumps(document).encode()))
    request = Request("GET", "/safe/1", Headers(()), b"")
    metadata = CallMetadata(
        "id", "mill.example", "key", None, 10, 10, None, None, ()
    )  # fmt: skip
    call = match_call(request, metadata, index, random.Random(1))
    return call.slot_request(0, 0, (), 0, False).regions


class TestRegionsOfCalls(unittest.TestCase):
    """Regions that the configuration allows for a call."""

    def test_without_regions_a_call_may_be_served_anywhere(self):
        self.assertIsNone(call_regions([], []))

    def test_either_the_route_or_the_account_binds(self):
        self.assertEqual(call_regions(["north"], []), ("north",))
        self.assertEqual(call_regions([], ["south"]), ("south",))

    def test_both_bind(self):
        self.assertEqual(call_regions(["north", "south"], ["south"]), ("south",))
        self.assertEqual(call_regions(["north"], ["south"]), ())

    def test_request_of_an_older_build_may_be_served_anywhere(self):
        """It has no field for regions, which must not make it unreadable."""
        request = SlotRequest("s:1", "s", "a", "p", "/r", 0, 1, 1, 1_000, False)
        tag, *fields, _ = msgspec.msgpack.decode(msgspec.msgpack.encode(request))
        older = msgspec.msgpack.encode([tag, *fields])
        self.assertEqual(msgspec.msgpack.decode(older, type=SlotRequest), request)


class TestPlacementInRegions(unittest.TestCase):
    """A pool with one server in the north and two in the south."""

    def setUp(self):
        self.open_pool(3)

    def open_pool(self, servers: int) -> None:
        """Open a pool with servers of two slots, each in a zone of its own."""
        self.pool = Pool(
            SERVICE,
            DispatchSettings(zone_regions=ZONE_REGIONS),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "d",
            0.0,
        )
        for number in range(1, servers + 1):
            item = announcement(number, availability_zone=f"z{min(number, 3)}")
            self.pool.announce(item, 0.0)

    def request(
        self,
        number: int,
        regions: tuple[str, ...] | None,
        avoid: tuple[str, ...] = (),
        **fields,
    ) -> SlotRequest:
        """Return a request for a slot."""
        request = SlotRequest(
            f"{SERVICE}:{number}", SERVICE, "a", "p", "/r", 0, 10, 10, 60_000, False,
            avoid=avoid, tries=len(avoid), regions=regions,
        )  # fmt: skip
        return msgspec.structs.replace(request, **fields)

    def ask(
        self,
        number: int,
        regions: tuple[str, ...] | None,
        avoid: tuple[str, ...] = (),
        **fields,
    ) -> object:
        """Request a slot; return the first answer."""
        request = self.request(number, regions, avoid, **fields)
        return self.pool.request("e1", request, 0.1)[0].message

    def test_call_waits_for_its_region_instead_of_leaving_it(self):
        used = [self.ask(number, ("north",)) for number in range(4)]
        granted = [item.backend_id for item in used if isinstance(item, SlotGrant)]
        self.assertEqual(granted, ["runner-1", "runner-1"])

    def test_calls_that_wait_for_a_region_do_not_hold_up_the_others(self):
        """Only the first 16 waiting requests are tried for a free slot."""
        for number in range(40):
            self.ask(number, ("north",))
        grant = self.ask(40, None)
        self.assertIsInstance(grant, SlotGrant)

    def test_call_waits_no_longer_than_servers_of_its_region_accept_work(self):
        """Its caller would hear at the end of its time what is known at once."""
        for number in range(3):
            self.ask(number, ("north",))
        self.pool.close_zones(frozenset({"z1"}), 3.0)
        refused = [
            effect.message.reason
            for effect in self.pool.tick(3.1)
            if isinstance(effect.message, SlotRefusal)
        ]
        self.assertEqual(refused, [RefusalReason.NO_BACKEND])

    def test_free_slots_of_other_regions_do_not_shorten_the_expected_wait(self):
        """The call would wait in vain until the end of its time."""
        for number in range(2):
            self.ask(number, ("north",), answer_tokens=1_000)
        fields = {"deadline_ms": 2_000, "start_within_ms": 200}
        request = self.request(2, ("north",), **fields)
        (effect,) = self.pool.request("e1", request, 3.0)
        self.assertIs(effect.message.reason, RefusalReason.TOO_LATE)
        self.assertGreater(effect.message.wait_ms, 2_000)

    def test_requests_in_other_regions_are_not_preempted_for_a_call(self):
        """It could not use their slots."""
        for number in range(4):
            self.ask(number, ("south",), tier=2, cancellable=True, answer_tokens=1_000)
        for number in range(4, 6):
            self.ask(number, ("north",), answer_tokens=1_000)
        request = self.request(6, ("north",), deadline_ms=2_000)
        messages = [item.message for item in self.pool.request("e1", request, 3.0)]
        self.assertFalse([item for item in messages if isinstance(item, SlotRevoke)])

    def test_among_many_servers_the_region_binds_too(self):
        """Beyond 16 servers only a sample of them is compared."""
        self.open_pool(60)
        for number in range(2):
            self.assertEqual(self.ask(number, ("north",)).backend_id, "runner-1")

    def test_retry_stays_in_the_region(self):
        grant = self.ask(1, ("south",), avoid=("runner-2",))
        self.assertEqual(grant.backend_id, "runner-3")

    def test_retry_without_another_server_in_the_region_is_refused(self):
        refusal = self.ask(1, ("north",), avoid=("runner-1",))
        self.assertIsInstance(refusal, SlotRefusal)
        self.assertIs(refusal.reason, RefusalReason.NO_BACKEND)

    def test_call_that_may_be_served_nowhere_is_refused(self):
        refusal = self.ask(1, ())
        self.assertIs(refusal.reason, RefusalReason.NO_BACKEND)

    def test_server_in_a_zone_of_no_known_region_is_not_used(self):
        self.pool.announce(announcement(9, availability_zone="elsewhere"), 0.0)
        self.pool.close_zones(frozenset({"z1", "z2", "z3"}), 0.0)
        refusal = self.ask(1, ("north",))
        self.assertIsInstance(refusal, SlotRefusal)
