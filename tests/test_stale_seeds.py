"""Restarts with seeds that do not know the control instances."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import trio

from sassafraspin.loopback import free_ports
from sassafraspin.platform.adapter import PlatformAdapter
from sassafraspin.routed import RoutedDaemon, RoutedListen, RoutedSettings
from sassafraspin.settings import Address
from tests.routed_deployment import HOST, put_configuration, routed_settings


class TestRestartWithStaleSeeds(unittest.TestCase):
    """One control instance, and two without a disk that know only their seeds."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ports = free_ports(12)
        self.listens = [
            RoutedListen(*(Address(HOST, port) for port in ports[4 * i : 4 * i + 4]))
            for i in range(3)
        ]
        self.data_folder = Path(folder.name) / "data"

    def settings(self, number: int, seeds: tuple[int, ...]) -> RoutedSettings:
        """Return the settings of an instance; the first one has a disk."""
        has_disk = number == 0
        return replace(
            routed_settings(self.listens[number], self.data_folder, number + 1),
            seeds=tuple(self.listens[seed].peers for seed in seeds),
            founds=has_disk,
            may_found=has_disk,
            data_folder=self.data_folder if has_disk else None,
        )

    async def run_until_ready(self, seeds: tuple[tuple[int, ...], ...]) -> None:
        """Run all instances until they are ready, then end them at once."""
        async with trio.open_nursery() as nursery:
            daemons = []
            for number, own_seeds in enumerate(seeds):
                settings = self.settings(number, own_seeds)
                daemon = RoutedDaemon(settings, PlatformAdapter(60_000), number)
                await nursery.start(daemon.run)
                daemons.append(daemon)
            await put_configuration(self.listens[:1])
            while not all(daemon.is_ready for daemon in daemons):
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    def test_instances_whose_seeds_know_nothing_are_found_by_the_leader(self):
        # Guards against instances that ask each other for the leader without end.
        async def run() -> None:
            with trio.fail_after(30):
                await self.run_until_ready(((0,), (0,), (0,)))
                await self.run_until_ready(((0,), (1, 2), (1, 2)))

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
