"""Instances of a deployment that are cut off from all servers, the leader among them.

The instances, links and callers are those of ``drain_deployment``.
"""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio

from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import ReleaseResult
from sassafraspin.http import ConnectFailed, ConnectionLost, Headers, Request
from sassafraspin.settings import Address
from tests.drain_deployment import DrainModel, Report
from tests.drain_world import INSTANCE_NAMES, Answer, Call, CallResponder, Instance
from tests.scripted_server import Script
from tests.test_broken_off_answers import IDENTITY, SUCCESS, ScriptedTestCase

SEEDS = range(3)
SETTLING_SECONDS = 1.0
CUT_SECONDS = 5.0
CONNECT_SECONDS = 0.4


class PartitionedDeployment(DrainModel):
    """Sound servers, and callers that send equal requests to all instances.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, servers=6, calls_per_second=12.0)
        self.cut_off: set[str] = set()
        self.suspected = 0
        self._cut_begins = trio.Event()
        self._counted_from = float("inf")
        self._outcomes: list[bool] = []

    @property
    def sound_share(self) -> float:
        """Return the share of calls that is served at instances with a path."""
        return sum(self._outcomes) / max(1, len(self._outcomes))

    def begin_cut(self, names: set[str]) -> None:
        """Break off what some instances do at the servers, and let them reach none."""
        self.note(f"{sorted(names)} reach no server")
        self.cut_off = names
        self._counted_from = trio.current_time() + SETTLING_SECONDS
        self._cut_begins.set()

    def measure_suspicion(self) -> None:
        """Measure of how many crashes of servers the leader suspects requests."""
        leader = self.leader()
        now = leader.clock.now()
        report = leader.runtime._isolation._evidence.report(now)
        self.suspected = len(report.crashes)

    def _refuses(self, address: Address) -> bool:
        return bool(self.cut_off)

    def _end_call(self, call: Call, responder: CallResponder) -> None:
        call.was_calm = False
        call.was_failed_by_server = True
        super()._end_call(call, responder)
        if call.instance not in self.cut_off and call.sent_at >= self._counted_from:
            response = responder.response
            self._outcomes.append(response is not None and response.status == 200)

    async def _reach(self, instance: Instance, request: Request) -> Answer:
        if instance.name in self.cut_off:
            await trio.sleep(CONNECT_SECONDS)
            raise ConnectFailed("no path to the server")
        request_id = request.headers.get("x-request-id")
        with trio.move_on_after(self.generator.choice((0.02, 0.06, 0.3))):
            await self._cut_begins.wait()
            if instance.name in self.cut_off:
                raise ConnectionLost("reset by the partition", is_closed=True)
            await trio.sleep(0.02)
        headers = (("x-request-id", request_id), ("x-response-seal", "seal"))
        return Answer(200, Headers(headers), b"answer")


def play(
    seed: int, choose: Callable[[str], set[str]], then: Callable | None = None
) -> tuple[PartitionedDeployment, Report]:
    """Cut off the instances that ``choose`` returns, given the leader."""

    async def scenario(model: PartitionedDeployment) -> None:
        await trio.sleep(2.0)
        leader = model.leader().name
        model.begin_cut(choose(leader))
        await trio.sleep(2.0)
        model.measure_suspicion()
        if then is not None:
            await then(model, leader)
        await trio.sleep(CUT_SECONDS)
        model.mend_all()

    model = PartitionedDeployment(seed)
    return model, model.run(scenario)


class TestPartitionedDeployment(unittest.TestCase):
    """Instances with a path serve their callers while others have none."""

    def check(
        self,
        choose: Callable[[str], set[str]],
        then: Callable[[PartitionedDeployment, str], Awaitable] | None = None,
    ) -> None:
        for seed in SEEDS:
            model, report = play(seed, choose, then)
            self.assertEqual(report.violations, [], f"seed {seed}")
            self.assertEqual(model.suspected, 0, f"seed {seed}")
            self.assertGreaterEqual(model.sound_share, 0.97, f"seed {seed}")

    def test_leader_that_reaches_no_server_grants_slots_to_others(self):
        self.check(lambda leader: {leader})

    def test_all_but_one_are_cut_off(self):
        self.check(lambda leader: set(INSTANCE_NAMES) - {INSTANCE_NAMES[-1]})

    def test_half_are_cut_off_while_standbys_dispatch(self):
        async def pause_leader(model: PartitionedDeployment, leader: str) -> None:
            model.pause(leader)

        self.check(
            lambda leader: {leader, *[n for n in INSTANCE_NAMES if n != leader][:2]},
            pause_leader,
        )


class TestReports(ScriptedTestCase):
    """What the dispatcher is told of a request that was not run."""

    def test_release_says_that_the_server_turned_the_request_away(self):
        refusal = b"x-not-executed: 1\r\ncontent-length: 6\r\n\r\nfailed"
        scripts = (
            Script(b"HTTP/1.1 503 Busy\r\n" + IDENTITY + refusal),
            Script(SUCCESS + b"content-length: 2\r\n\r\nok"),
        )
        with mock.patch.object(
            SlotClient, "release", autospec=True, side_effect=SlotClient.release
        ) as release:
            self.receive("/safe/1", *scripts)
        reported = [call.args[1] for call in release.call_args_list]
        self.assertEqual(
            [(item.result, item.turned_away) for item in reported],
            [(ReleaseResult.NOT_SENT, True), (ReleaseResult.ANSWERED, False)],
        )
