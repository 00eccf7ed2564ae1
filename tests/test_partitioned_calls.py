"""Calls at instances that are partitioned from all backend servers."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from sassafraspin.http import Request, Responder
from tests.partitioned_deployment import (
    EVENTS,
    Cut,
    PartitionedDeployment,
    PartitionedInstance,
    answer_by_kind,
    partitioned_deployment,
)
from tests.routed_deployment import runner_headers

PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/resumed/1", "/public/1")
GUARD_SECONDS = 60
SILENCE_SECONDS = 1.2


async def warm_up(instance: PartitionedInstance) -> None:
    """Make calls at the same time, so that connections to all servers are open."""
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(instance.call, "/safe/warm")


class PartitionCase(unittest.TestCase):
    """Base of the test cases."""

    def play(
        self, scenario: Callable[[PartitionedDeployment], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(GUARD_SECONDS):
                async with partitioned_deployment() as deployment:
                    await scenario(deployment)

        trio.run(run)

    async def expect_served(self, instance: PartitionedInstance) -> None:
        """Make calls on routes of each kind, each of which must succeed."""
        for _ in range(4):
            for path in PATHS:
                response = await instance.call(path)
                self.assertEqual(response.status, 200, (path, response.body))


class TestPartitionedInstance(PartitionCase):
    """One of three instances is partitioned."""

    def play_cut(self, cut: Cut) -> None:
        async def scenario(deployment):
            for instance in deployment.instances:
                await warm_up(instance)
            for instance in deployment.instances[:2]:
                instance.links.cut(cut)
            # The first call may find that a connection of the pool is silent.
            for instance in deployment.instances:
                response = await instance.call("/safe/first")
                self.assertEqual(response.status, 200, response.body)
            for instance in deployment.instances:
                await self.expect_served(instance)

        self.play(scenario)

    def test_calls_are_served_while_connections_are_refused(self):
        self.play_cut(Cut.RESET)

    def test_calls_are_served_while_connections_hang(self):
        self.play_cut(Cut.SILENT)

    def test_calls_are_served_while_only_open_connections_live_on(self):
        self.play_cut(Cut.LIVING)

    def test_stream_that_fell_silent_is_resumed_through_another_instance(self):
        async def scenario(deployment):
            cut = deployment.instances[0]
            await warm_up(cut)
            is_cut = trio.Event()

            async def stream(request: Request, responder: Responder) -> None:
                if not is_cut.is_set():
                    is_cut.set()
                    await responder.start(200, runner_headers(request))
                    await responder.write(EVENTS[0])
                    await trio.sleep(0.1)
                    cut.links.cut(Cut.SILENT)
                    await trio.sleep_forever()
                await answer_by_kind(request, responder)

            for runner in deployment.runners:
                runner.behaviour = stream
            response = await cut.call("/resumed/1")
            self.assertEqual(response.body, b"".join(EVENTS))

        self.play(scenario)

    def test_direct_connections_are_used_again_after_the_partition(self):
        async def scenario(deployment):
            cut = deployment.instances[0]
            await warm_up(cut)
            cut.links.cut(Cut.RESET)
            await self.expect_served(cut)
            opened = cut.links.opened
            cut.links.heal()
            # Two probes, and a connection for the calls.
            while cut.links.opened < opened + 3:
                response = await cut.call("/safe/1")
                self.assertEqual(response.status, 200, response.body)
                await trio.sleep(0.05)
            await self.expect_served(cut)
            others = [item.links.opened for item in deployment.instances[1:]]
            await self.expect_served(cut)
            self.assertEqual(
                [item.links.opened for item in deployment.instances[1:]], others
            )

        self.play(scenario)


class TestAtMostOnce(PartitionCase):
    """Requests that may not run twice, on a connection through another instance."""

    def test_request_on_a_broken_tunnel_runs_once(self):
        async def scenario(deployment):
            cut, *others = deployment.instances
            await warm_up(cut)
            cut.links.cut(Cut.RESET)
            await self.expect_served(cut)
            runs = deployment.runs

            async def break_tunnels(request: Request, responder: Responder) -> None:
                for instance in others:
                    instance.links.reset_open()
                await trio.sleep_forever()

            for runner in deployment.runners:
                runner.behaviour = break_tunnels
            response = await cut.call("/unsafe/1")
            self.assertEqual(response.status, 502, response.body)
            self.assertEqual(deployment.runs, runs + 1)

        self.play(scenario)


class TestStoppingRelay(PartitionCase):
    """An instance that stops while another one reaches servers through it."""

    def test_open_tunnel_lives_until_its_answer(self):
        async def scenario(deployment):
            cut, *others = deployment.instances
            await warm_up(cut)
            cut.links.cut(Cut.RESET)
            await self.expect_served(cut)
            release = trio.Event()
            is_running = trio.Event()

            async def wait(request: Request, responder: Responder) -> None:
                is_running.set()
                await release.wait()
                await answer_by_kind(request, responder)

            for runner in deployment.runners:
                runner.behaviour = wait
            statuses = []

            async def call() -> None:
                statuses.append((await cut.call("/unsafe/1")).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await is_running.wait()
                relays = [item for item in others if item.daemon.tunnels]
                self.assertNotEqual(relays, [])
                for relay in relays:
                    nursery.start_soon(relay.daemon.shut_down)
                while any(relay.daemon.is_ready for relay in relays):
                    await trio.sleep(0.01)
                release.set()
            self.assertEqual(statuses, [200])

        self.play(scenario)


class TestSoundPaths(PartitionCase):
    """Failures that must not count as a partition, or cannot be passed around."""

    def test_request_at_a_silent_server_is_not_moved(self):
        async def scenario(deployment):
            instance = deployment.instances[0]
            await warm_up(instance)
            runs = deployment.runs
            others = [item.links.opened for item in deployment.instances[1:]]

            async def pause(request: Request, responder: Responder) -> None:
                await trio.sleep(SILENCE_SECONDS)
                await answer_by_kind(request, responder)

            for runner in deployment.runners:
                runner.behaviour = pause
            response = await instance.call("/safe/1")
            self.assertEqual(response.status, 200, response.body)
            self.assertEqual(deployment.runs, runs + 1)
            self.assertEqual(
                [item.links.opened for item in deployment.instances[1:]], others
            )

        self.play(scenario)

    def test_calls_are_refused_at_once_if_all_instances_are_partitioned(self):
        async def scenario(deployment):
            for cut in (Cut.RESET, Cut.SILENT):
                for instance in deployment.instances:
                    instance.links.cut(cut)
                    instance.links.reset_open()
                # It ends long before its time limit of 20 s.
                with trio.fail_after(10):
                    for instance in deployment.instances:
                        response = await instance.call("/unsafe/1")
                        self.assertEqual(response.status, 503, response.body)

        self.play(scenario)
