"""Backend servers that fall over if they refuse too many requests in a second."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from tests.brittle_model import BrittleModel
from tests.drain_world import CONTROL_NAMES, INSTANCE_NAMES

Scenario = Callable[[BrittleModel], Awaitable[None]]

_SEEDS = range(2)
_TOLERANCE = 8
_ROOM = 1
_BRITTLE_SECONDS = 8.0
_STANDBY_SECONDS = 3.0
"""Instances act alone for so long at most."""

_SERVED_SHARE = 0.85
_BUSY_SHARE = 0.9


class TestBrittleServers(unittest.TestCase):
    """Servers that let fewer requests wait, under three times their load."""

    def play(self, scenario: Scenario) -> None:
        for seed in _SEEDS:
            model = BrittleModel(seed)
            report = model.run(scenario)
            trace = "\n".join(report.trace)
            with self.subTest(seed=seed):
                self.assertEqual(report.violations, [], trace)
                allowed = 2 + len(model.servers) // 10
                self.assertLessEqual(model.falls, allowed, trace)
                for share in model.served_shares:
                    self.assertGreaterEqual(share, _SERVED_SHARE, trace)

    def test_room_is_learned_before_servers_fall_over(self):
        async def scenario(model):
            await model.become_brittle(_TOLERANCE, _ROOM)
            await model.serve(_BRITTLE_SECONDS)

        self.play(scenario)

    def test_few_refusals_are_tolerated(self):
        async def scenario(model):
            await model.become_brittle(4, 2)
            await model.serve(_BRITTLE_SECONDS)

        self.play(scenario)

    def test_burst_after_a_calm_does_not_exceed_what_may_be_refused(self):
        """Room that was there before the calm may be gone."""

        async def scenario(model):
            model.idle.update(INSTANCE_NAMES)
            await model.become_brittle(4, _ROOM)
            await trio.sleep(3.0)
            model.idle.clear()
            await trio.sleep(3.0)

        self.play(scenario)

    def test_limits_are_not_probed_often(self):
        """Each refused request is late, and its retries use up their budget."""
        refusals = []

        async def scenario(model):
            await model.become_brittle(_TOLERANCE, _ROOM)
            await trio.sleep(3.0)
            begin = trio.current_time()
            await trio.sleep(_BRITTLE_SECONDS)
            refusals.append(model.refusals_since(begin) / len(model.servers))

        self.play(scenario)
        self.assertLessEqual(max(refusals), _BRITTLE_SECONDS)

    def test_room_stays_known_though_the_leader_ends(self):
        async def scenario(model):
            await model.become_brittle(_TOLERANCE, _ROOM)
            await trio.sleep(4.0)
            model.kill(model.leader().name)
            await trio.sleep(_BRITTLE_SECONDS)

        self.play(scenario)

    def test_room_falls_after_a_change_of_the_leader(self):
        async def scenario(model):
            model.kill(model.leader().name)
            await model.become_brittle(_TOLERANCE, _ROOM)
            await trio.sleep(_BRITTLE_SECONDS)

        self.play(scenario)

    def test_room_falls_when_the_leader_ends(self):
        async def scenario(model):
            await model.become_brittle(_TOLERANCE, _ROOM)
            model.kill(model.leader().name)
            await trio.sleep(_BRITTLE_SECONDS)

        self.play(scenario)

    def test_room_is_learned_while_no_instance_leads(self):
        async def scenario(model):
            await model.become_brittle(_TOLERANCE, _ROOM)
            for name in CONTROL_NAMES[:2]:
                model.cut(name, INSTANCE_NAMES)
            await trio.sleep(_STANDBY_SECONDS)
            model.mend_all()
            await trio.sleep(_BRITTLE_SECONDS)

        self.play(scenario)

    def test_sound_servers_get_all_their_slots_again(self):
        busy_shares = []

        async def scenario(model):
            await model.become_brittle(_TOLERANCE, _ROOM)
            await trio.sleep(4.0)
            model.recover()
            await trio.sleep(2.0)
            busy_shares.append(model.busy_share)

        self.play(scenario)
        self.assertGreaterEqual(min(busy_shares), _BUSY_SHARE)

    def test_servers_that_do_not_say_so_are_used_as_before(self):
        busy_shares = []

        async def scenario(model):
            await trio.sleep(5.0)
            busy_shares.append(model.busy_share)

        self.play(scenario)
        self.assertGreaterEqual(min(busy_shares), _BUSY_SHARE)
