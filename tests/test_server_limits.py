"""Rate limits that backend servers name in their answers."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from tests.drain_deployment import CONTACT_SECONDS, Report
from tests.drain_world import CONTROL_NAMES, INSTANCE_NAMES
from tests.limit_model import WINDOW_SECONDS, LimitModel, play_random_limits

Scenario = Callable[[LimitModel], Awaitable[None]]

_LIMIT = 2.7
_HOLD_SECONDS = CONTACT_SECONDS + 2 * WINDOW_SECONDS
_RECOVERY_SECONDS = 5.0
_SEEDS = range(2)
_RANDOM_SEEDS = range(4)


class TestLimitedServers(unittest.TestCase):
    """No server gets more than its limit allows, and none is forgotten."""

    def play(self, scenario: Scenario, **model) -> None:
        for seed in _SEEDS:
            report = LimitModel(seed, **model).run(scenario)
            self.assert_kept(f"seed {seed}", report)

    def assert_kept(self, name: str, report: Report) -> None:
        lines = (name, *report.violations, *report.trace)
        self.assertEqual(report.violations, [], "\n".join(lines))

    def test_limit_holds_over_all_instances(self):
        async def scenario(model):
            model.name_limit("s1", _LIMIT)
            await trio.sleep(_HOLD_SECONDS)

        self.play(scenario)

    def test_limit_holds_though_the_leader_ends(self):
        async def scenario(model):
            model.name_limit("s1", _LIMIT)
            await trio.sleep(_HOLD_SECONDS)
            model.kill(model.leader().name)
            await trio.sleep(_HOLD_SECONDS)

        self.play(scenario)

    def test_limit_holds_though_the_leader_freezes(self):
        async def scenario(model):
            model.name_limit("s1", _LIMIT)
            await trio.sleep(_HOLD_SECONDS)
            leader = model.leader().name
            model.pause(leader)
            await trio.sleep(4.0)
            model.resume(leader)
            await trio.sleep(_HOLD_SECONDS)

        self.play(scenario)

    def test_limit_holds_while_no_instance_leads(self):
        async def scenario(model):
            model.name_limit("s1", _LIMIT)
            await trio.sleep(_HOLD_SECONDS)
            for name in CONTROL_NAMES[:2]:
                model.cut(name, INSTANCE_NAMES)
            await trio.sleep(_HOLD_SECONDS)
            model.mend_all()
            await trio.sleep(_HOLD_SECONDS)

        self.play(scenario)

    def test_server_works_again_when_it_names_no_limit(self):
        async def scenario(model):
            model.name_limit("s1", _LIMIT)
            await trio.sleep(_HOLD_SECONDS)
            model.name_limit("s1", None)
            await trio.sleep(_RECOVERY_SECONDS + WINDOW_SECONDS)
            arrivals = model.arrivals("s1", WINDOW_SECONDS)
            self.assertGreater(arrivals, 2 * _LIMIT * WINDOW_SECONDS)

        self.play(scenario)

    def test_restarted_server_is_not_limited(self):
        async def scenario(model):
            model.name_limit("s1", 0.1)
            await trio.sleep(_HOLD_SECONDS)
            model.restart("s1")
            model.name_limit("s1", None)
            while not model.servers["s1"].is_told_to_leave:
                await trio.sleep(0.1)
            while model.servers["s1"].is_told_to_leave:
                await trio.sleep(0.1)
            await trio.sleep(_RECOVERY_SECONDS + WINDOW_SECONDS)
            arrivals = model.arrivals("s1", WINDOW_SECONDS)
            self.assertGreater(arrivals, _LIMIT * WINDOW_SECONDS)

        self.play(scenario)

    def test_limited_server_is_used_up_to_its_limit(self):
        async def scenario(model):
            model.name_limit("s1", _LIMIT)
            await trio.sleep(_HOLD_SECONDS)
            arrivals = model.arrivals("s1", WINDOW_SECONDS)
            self.assertGreaterEqual(arrivals, 0.7 * _LIMIT * WINDOW_SECONDS)

        self.play(scenario)

    def test_server_that_named_no_requests_is_asked_again(self):
        async def scenario(model):
            model.name_limit("s1", 0.0)
            await trio.sleep(_HOLD_SECONDS)
            model.name_limit("s1", None)
            await trio.sleep(35.0)
            self.assertGreater(model.arrivals("s1", WINDOW_SECONDS), WINDOW_SECONDS)

        self.play(scenario)

    def test_limits_hold_under_random_faults(self):
        for seed in _RANDOM_SEEDS:
            self.assert_kept(f"play_random_limits({seed})", play_random_limits(seed))
