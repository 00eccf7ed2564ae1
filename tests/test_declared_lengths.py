"""Requests that declare a longer answer than could be complete in time (CONFIG)."""

import random
import unittest

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement

MAXIMUM_TOKENS = 8_192
DEADLINE_MS = 8_000


class TestDeclaredLengths(unittest.TestCase):
    """The declared length is the largest one, and most answers are shorter."""

    def setUp(self) -> None:
        self.pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "t",
            0.0,
            (announcement(1, slots=4),),
        )
        self.sent = 0

    def ask(self, route: str = "r") -> SlotGrant | SlotRefusal:
        """Return what an idle pool says to a request with the largest length."""
        self.sent += 1
        request = SlotRequest(
            f"s:{self.sent}", SERVICE, "a", "p", route, 0, 10, MAXIMUM_TOKENS,
            DEADLINE_MS, cancellable=False,
        )  # fmt: skip
        return self.pool.request("e", request, 1.0)[0].message

    def answer(self, tokens: int) -> None:
        """Let a request be answered with some tokens."""
        grant = self.ask()
        self.pool.release(
            SlotRelease(
                SERVICE, grant.request_id, grant.grant_id, grant.backend_id,
                ReleaseResult.ANSWERED, 20, 400, tokens,
            ),
            1.4,
        )  # fmt: skip

    def test_idle_servers_take_a_request_with_a_large_maximum(self):
        self.assertIsInstance(self.ask(), SlotGrant)

    def test_short_answers_leave_a_large_maximum_possible(self):
        self.answer(48)
        self.assertIsInstance(self.ask(), SlotGrant)

    def test_long_answers_show_that_a_request_cannot_be_complete(self):
        self.answer(MAXIMUM_TOKENS // 2)
        self.assertIsInstance(self.ask(), SlotRefusal)
        self.assertIsInstance(self.ask("other"), SlotGrant)


if __name__ == "__main__":
    unittest.main()
