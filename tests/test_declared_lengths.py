"""Requests that declare a longer answer than could be complete in time (CONFIG)."""

import random
import unittest

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import SlotGrant, SlotRequest
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement


class TestDeclaredLengths(unittest.TestCase):
    """The declared length is the largest one, and most answers are shorter."""

    def test_idle_servers_take_a_request_with_a_large_maximum(self):
        pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "t",
            0.0,
            (announcement(1, slots=4),),
        )
        request = SlotRequest(
            "s:1", SERVICE, "a", "p", "r", 0, 10, 8_192, 8_000, cancellable=False
        )
        messages = [effect.message for effect in pool.request("e", request, 1.0)]
        self.assertIsInstance(messages[0], SlotGrant)


if __name__ == "__main__":
    unittest.main()
