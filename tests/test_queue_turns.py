"""Turns in the queue of an account and route whose requests leave unserved (CONFIG)."""

import unittest
from collections.abc import Callable

from sassafraspin.admission import WaitingQueue, WaitingRequest
from sassafraspin.dispatch import SlotRequest

WITHDRAWN = 20


def _waiting_request(route: str, number: int) -> WaitingRequest:
    request = SlotRequest(
        request_id=f"{route}:{number}",
        service="s",
        client_account="a",
        profile=route,
        route=route,
        tier=0,
        prompt_tokens=1,
        answer_tokens=1,
        deadline_ms=1_000,
        cancellable=False,
    )
    return WaitingRequest("e", request, 1.0, 1.0)


class TestTurnsAfterRemovals(unittest.TestCase):
    """Requests that left the queue unserved delay no later ones of their route."""

    def setUp(self) -> None:
        self.queue = WaitingQueue()
        for number in range(2 * WITHDRAWN):
            self.queue.add(_waiting_request("first", number))

    def place_of(self, waiting: WaitingRequest) -> int:
        order = self.queue.in_order(len(self.queue))
        return order.index(waiting)

    def add_and_remove(self, remove: Callable[[WaitingRequest], object]) -> None:
        for number in range(WITHDRAWN):
            waiting = _waiting_request("added", number)
            self.queue.add(waiting)
            remove(waiting)

    def check(self) -> None:
        new = _waiting_request("added", WITHDRAWN)
        ahead = self.queue.count_ahead(new.request)
        self.queue.add(new)
        self.assertLessEqual(self.place_of(new), ahead)

    def test_without_removals(self):
        self.check()

    def test_withdrawn_requests(self):
        self.add_and_remove(lambda one: self.queue.remove(one.request.request_id))
        self.check()

    def test_requests_that_became_late(self):
        self.add_and_remove(self.queue.defer)
        self.check()

    def test_requests_withdrawn_together(self):
        for number in range(WITHDRAWN):
            self.queue.add(_waiting_request("added", number))
        for number in range(WITHDRAWN):
            self.queue.remove(f"added:{number}")
        self.check()

    def test_withdrawn_requests_before_others_of_the_route(self):
        kept = _waiting_request("added", -1)
        for number in range(WITHDRAWN):
            self.queue.add(_waiting_request("added", number))
        self.queue.add(kept)
        for number in range(WITHDRAWN):
            self.queue.remove(f"added:{number}")
        new = _waiting_request("added", WITHDRAWN)
        self.queue.add(new)
        self.assertLess(self.place_of(kept), self.place_of(new))

    def test_request_behind_a_withdrawn_one_takes_its_turn(self):
        for number in range(WITHDRAWN):
            self.queue.add(_waiting_request("added", number))
        for number in range(WITHDRAWN - 1):
            self.queue.remove(f"added:{number}")
        last = _waiting_request("added", WITHDRAWN - 1)
        self.assertLessEqual(self.place_of(last), 1)

    def test_served_requests_keep_their_cost(self):
        for number in range(WITHDRAWN):
            self.queue.add(_waiting_request("added", number))
            self.queue.serve(f"added:{number}")
        new = _waiting_request("added", WITHDRAWN)
        self.queue.add(new)
        self.assertGreater(self.place_of(new), WITHDRAWN // 2)


if __name__ == "__main__":
    unittest.main()
