"""Requests that are tried first because a free server holds their prompts."""

import math
import unittest

from sassafraspin.admission import WaitingRequest
from sassafraspin.dispatch import SlotRequest
from sassafraspin.dispatch.slot_order import order_for_slots
from tests.pool_model import SERVICE

QUEUED_AT = 10.0
START_BY = 11.0


def waiting(name: str, tier: int = 0, prompt: int = 8_000) -> WaitingRequest:
    """Return a waiting request whose only part has its own name."""
    request = SlotRequest(
        name, SERVICE, "a", "p", "/r", tier, prompt, 10, 10_000, False,
        parts=((name, prompt),),
    )  # fmt: skip
    return WaitingRequest(
        "e", request, 0.5, QUEUED_AT + 10.0, START_BY, QUEUED_AT, math.inf
    )


class TestOrderForSlots(unittest.TestCase):
    """The first requests of a queue, while a server holds some of their parts."""

    def order(
        self, batch: list[WaitingRequest], held: dict[str, int], now: float = QUEUED_AT
    ) -> list[str]:
        """Return the names in the order in which the requests are tried."""
        ordered = order_for_slots(
            batch,
            lambda one, other: one.request.tier == other.request.tier,
            lambda request: held.get(request.request_id, 0),
            now,
        )
        return [item.request.request_id for item in ordered]

    def test_request_whose_prompt_is_held_goes_first(self):
        batch = [waiting("a"), waiting("b"), waiting("c")]
        self.assertEqual(self.order(batch, {"b": 4_000, "c": 6_000}), ["c", "a", "b"])

    def test_order_stays_if_little_is_held(self):
        batch = [waiting("a"), waiting("b")]
        self.assertEqual(self.order(batch, {"b": 1_000}), ["a", "b"])

    def test_order_stays_if_as_much_of_the_first_one_is_held(self):
        batch = [waiting("a"), waiting("b")]
        self.assertEqual(self.order(batch, {"a": 4_000, "b": 4_000}), ["a", "b"])

    def test_no_request_overtakes_a_higher_tier(self):
        """A held prompt must not outweigh a tier."""
        batch = [waiting("a"), waiting("b", tier=1)]
        self.assertEqual(self.order(batch, {"b": 8_000}), ["a", "b"])

    def test_request_that_has_waited_for_half_of_its_time_is_not_overtaken(self):
        """One whose prompt nobody holds must not wait until it is late."""
        batch = [waiting("a"), waiting("b")]
        self.assertEqual(self.order(batch, {"b": 8_000}, 10.4), ["b", "a"])
        self.assertEqual(self.order(batch, {"b": 8_000}, 10.6), ["a", "b"])

    def test_late_request_is_overtaken_until_half_of_its_time_has_passed(self):
        batch = [waiting("a"), waiting("b")]
        self.assertEqual(self.order(batch, {"b": 8_000}, 14.0), ["b", "a"])
        self.assertEqual(self.order(batch, {"b": 8_000}, 16.0), ["a", "b"])
