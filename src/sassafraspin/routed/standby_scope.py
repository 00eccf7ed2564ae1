"""Dispatch on an entry instance itself, while no dispatcher answers."""

import random
from collections.abc import Callable
from dataclasses import replace

from sassafraspin.admission import Limits, UsageCaps
from sassafraspin.backends import Announcement, Backend
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.moves import Move
from sassafraspin.routed.leader_scope import LeaderScope
from sassafraspin.routes import RoutedAccount
from sassafraspin.settings import DispatchSettings, ServiceSettings

__all__ = ["StandbyScope"]


class StandbyScope:
    """An entry instance's share of everything that a dispatcher would grant.

    Each instance takes its share of the slots, the usage caps and the repeats, so that
    all of them together stay near the whole. A new version is shown to nobody.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    services : LeaderScope
        Knows the services of the routing table.
    directory : BackendDirectory
        Backend servers as the last dispatcher told of them.
    is_needed : callable
        Returns whether the dispatcher does not answer.
    generator : random.Random
        Decides on requests larger than this instance's share of a cap.
    """

    def __init__(
        self,
        node: Node,
        services: LeaderScope,
        directory: BackendDirectory,
        is_needed: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        self._generator = generator
        self._node = node
        self._services = services
        self._directory = directory
        self._is_needed = is_needed

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return the services of the routing table."""
        return self._services.services()

    def owns(self, service: str) -> bool:
        """Return whether this instance has to decide by itself."""
        return self._is_needed()

    def limits(self) -> Limits:
        """Return this instance's share of the usage caps."""
        settings, now = self._node.settings.dispatch, self._node.now()
        caps = UsageCaps(settings, now, generator=self._generator)
        declared = self._node.configuration.state.routing
        if declared is not None:
            caps.follow(tuple(map(self._share_of, declared.table.accounts)))
        return caps

    def settings(self) -> DispatchSettings:
        """Return the settings with this instance's share of the repeats."""
        settings = self._node.settings.dispatch
        allowance = settings.retry_allowance // self._instances
        return replace(settings, retry_allowance=allowance)

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the version in force of a service that was never moved."""
        return self._services.initial_version(service, backends)

    def running_move(self, service: str) -> Move | None:
        """Return no move: what a new version is shown is counted in one place."""
        return None

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return the servers of which this instance has slots, with those alone.

        An instance that none falls to uses one slot, so that its callers are served.
        """
        servers = tuple(self._directory.of_service(service))
        own = {server.id: self._own_slots(server) for server in servers}
        if servers and not any(own.values()):
            own[self._nearest(servers).id] = 1
        keep_ms = self._node.settings.dispatch.directory_keep_ms
        return tuple(
            replace(server, slots=own[server.id], ttl_ms=keep_ms)
            for server in servers
            if own[server.id]
        )

    def _own_slots(self, server: Announcement) -> int:
        """Return how many slots of a server fall to this instance, by its place."""
        everywhere, rest = divmod(server.slots, self._instances)
        ranked = self._node.view.ranked(server.id, rest)
        return everywhere + any(member.name == self._node.name for member in ranked)

    def _nearest(self, servers: tuple[Announcement, ...]) -> Announcement:
        """Return a server, another one for most instances."""
        start = len(servers) * self._place // self._instances
        return servers[start]

    @property
    def _place(self) -> int:
        names = sorted(member.name for member in self._node.view.members)
        return names.index(self._node.name) if self._node.name in names else 0

    @property
    def _instances(self) -> int:
        return max(1, len(self._node.view.members))

    def _share_of(self, account: RoutedAccount) -> RoutedAccount:
        return replace(
            account,
            rate_per_second=account.rate_per_second / self._instances,
            burst=account.burst / self._instances,
        )
