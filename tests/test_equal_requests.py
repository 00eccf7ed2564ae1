"""One request that crashes each server that runs it, and comes again and again."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from tests.crash_model import CrashModel, CrashShape
from tests.drain_world import INSTANCE_NAMES

Scenario = Callable[[CrashModel], Awaitable[None]]

_SEEDS = range(3)
_PLAY_SECONDS = 26.0
_RECOVERY_SECONDS = 8.0
_SERVED_SHARE = 0.9
"""Share of the sound calls that is served once the harmful request is known."""


async def play_harmful(model: CrashModel) -> None:
    """Let the harmful request come for a while."""
    model.start_harmful()
    await trio.sleep(_PLAY_SECONDS)


class TestEqualRequests(unittest.TestCase):
    """Copies of a request that crashes servers are kept from them."""

    def play(
        self,
        shape: CrashShape,
        scenario: Scenario = play_harmful,
        popular: bool = False,
    ) -> None:
        broken = []
        for seed in _SEEDS:
            shares = []

            async def run(model: CrashModel, shares: list = shares) -> None:
                begin = trio.current_time()
                await scenario(model)
                shares.append(model.served_share(begin + _RECOVERY_SECONDS, popular))

            model = CrashModel(seed, shape)
            report = model.run(run)
            if report.violations or shares[0] < _SERVED_SHARE:
                broken.append(
                    f"seed {seed}: {report.violations}, {shares[0]:.2f} served, "
                    f"{model.crashes} crashes"
                )
        self.assertEqual(broken, [])

    def test_address_that_accepts_connections_after_a_crash(self):
        self.play(CrashShape())

    def test_address_that_refuses_connections_after_a_crash(self):
        self.play(CrashShape(accepts_connections=False))

    def test_few_servers_that_all_crash(self):
        for accepts in (True, False):
            self.play(CrashShape(servers=3, accepts_connections=accepts))

    def test_popular_request_beside_the_crashes_is_served(self):
        for accepts in (True, False):
            shape = CrashShape(popular_share=0.5, accepts_connections=accepts)
            self.play(shape, popular=True)

    def test_servers_that_also_break_off_answers(self):
        self.play(CrashShape(popular_share=0.5, lost_share=0.05), popular=True)

    def test_no_other_calls(self):
        shape = CrashShape(calls_per_second=1.0, popular_share=1.0)
        self.play(replace(shape, accepts_connections=False))
        self.play(replace(shape, calls_per_second=0.001, harmful_per_second=1.0))

    def test_dispatcher_that_ends_half_way(self):
        async def scenario(model):
            model.start_harmful()
            while not model.crashes:
                await trio.sleep(0.01)
            model.kill(model.leader().name)
            await trio.sleep(_PLAY_SECONDS)

        for accepts in (True, False):
            self.play(CrashShape(accepts_connections=accepts), scenario)

    def test_instances_that_start_later_know_the_verdict(self):
        async def scenario(model):
            await play_harmful(model)
            for name in INSTANCE_NAMES:
                model.kill(name)
                await trio.sleep(3.0)
                model.start(name)
                await trio.sleep(5.0)

        self.play(CrashShape(), scenario)
