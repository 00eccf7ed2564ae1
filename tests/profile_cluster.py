"""Test cluster: daemons for profiles in one process, with faults of their messages."""

import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from unittest import mock

import msgspec
import trio

from sassafraspin.backends import Announcement
from sassafraspin.daemon import Daemon
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request, Response
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import Address, DaemonSettings, load_settings
from tests.deployment import BACKEND_TOKEN, Deployment

SERVICE = "sorter-model"

LostMessage = Callable[[str, str, object], bool]
"""Returns for a source, a target and a message whether the message is lost."""


def announcement(sequence: int = 0, **fields) -> Announcement:
    """Return the announcement number ``sequence`` of the server ``runner-1``."""
    return Announcement(
        **{
            "id": "runner-1",
            "incarnation": 1,
            "service": SERVICE,
            "address": Address("127.0.0.1", 9),
            "availability_zone": "z",
            "hardware": "gen1",
            "versions": ("v1",),
            "ttl_ms": 60_000,
            "slots": 2,
            "sequence": sequence,
            **fields,
        }
    )


@dataclass
class ClusterInstance:
    """A daemon; cancelling ``scope`` ends it without a shutdown."""

    daemon: Daemon
    settings: DaemonSettings
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.settings.instance.name

    @property
    def dispatches(self) -> bool:
        """Return whether it has a pool for the service."""
        pools = self.daemon.status().pools
        return any(pool.service == SERVICE for pool in pools)

    async def wait_accepting(self) -> None:
        """Wait until it would send new requests to a backend server."""
        while not self.accepting:
            await trio.sleep(0.02)

    @property
    def accepting(self) -> tuple[str, ...]:
        """Return the backend servers to which it would send new requests."""
        servers = self.daemon.status().backend_servers
        return tuple(server.id for server in servers if server.accepts_work)


class ProfileCluster:
    """Daemons that run, and the messages between them that are lost."""

    def __init__(self) -> None:
        self.instances: list[ClusterInstance] = []
        self.client = HttpClient(ClientTimeouts(connect=1.0, progress=3.0))
        self.is_lost: LostMessage = lambda source, target, message: False

    def cut_off(self, instance: ClusterInstance) -> None:
        """Lose all messages between an instance and the others."""

        def is_lost(source: str, target: str, message: object) -> bool:
            return source != target and instance.name in (source, target)

        self.is_lost = is_lost

    async def dispatcher(self) -> ClusterInstance:
        """Wait until an instance dispatches for the service; return it."""
        while True:
            for instance in self.instances:
                if instance.dispatches:
                    return instance
            await trio.sleep(0.02)

    def other_than(self, instance: ClusterInstance) -> ClusterInstance:
        """Return an instance other than the given one."""
        return next(item for item in self.instances if item is not instance)

    async def announce(
        self, instance: ClusterInstance, document: Announcement
    ) -> Response:
        """Send an announcement to an instance."""
        headers = Headers(
            (
                ("host", "sassafraspin"),
                ("authorization", f"Bearer {BACKEND_TOKEN}"),
                ("content-type", "application/json"),
            )
        )
        body = msgspec.json.encode(document)
        request = Request("POST", "/v1/backend-servers", headers, body)
        return await self.client.send(instance.settings.listen.operators, request)

    async def announce_until_acknowledged(
        self, instance: ClusterInstance, document: Announcement
    ) -> None:
        """Send an announcement again until it is acknowledged."""
        while (await self.announce(instance, document)).status >= 300:
            await trio.sleep(0.05)

    def end(self, instance: ClusterInstance) -> None:
        """End a daemon without a shutdown."""
        instance.scope.cancel()
        self.instances.remove(instance)


class _LossyNetwork(PeerNetwork):
    """Network of one daemon that loses what the cluster says."""

    def __init__(self, cluster: ProfileCluster, name: str, *arguments) -> None:
        super().__init__(name, *arguments)
        self._cluster = cluster

    def send(self, peer: str, message: object) -> None:
        """Send a message unless it is lost."""
        if not self._cluster.is_lost(self._name, peer, message):
            super().send(peer, message)


@asynccontextmanager
async def profile_cluster(count: int = 3) -> AsyncIterator[ProfileCluster]:
    """Run control instances; yield once all of them are ready."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        files = Deployment.create(folder, count=count, control=count).instances
        cluster = ProfileCluster()
        make_network = partial(_LossyNetwork, cluster)
        with mock.patch("sassafraspin.daemon.daemon.PeerNetwork", make_network):
            for number, item in enumerate(files, start=1):
                settings = load_settings(item.file).ok
                daemon = Daemon(settings, folder, number)
                cluster.instances.append(ClusterInstance(daemon, settings))
        async with trio.open_nursery() as nursery:
            for instance in cluster.instances:
                await nursery.start(_run, instance)
            while not all(item.daemon.is_ready for item in cluster.instances):
                await trio.sleep(0.02)
            try:
                yield cluster
            finally:
                cluster.client.close()
                nursery.cancel_scope.cancel()


async def _run(instance: ClusterInstance, *, task_status=trio.TASK_STATUS_IGNORED):
    with instance.scope:
        await instance.daemon.run(task_status=task_status)
