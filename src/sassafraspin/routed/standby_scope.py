"""Local fallback dispatch on an entry instance while no dispatcher responds."""

import random
from collections.abc import Callable, Hashable
from dataclasses import replace

from sassafraspin.admission import Limits, UsageCaps
from sassafraspin.backends import Announcement, Backend
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.directory import (
    BackendDirectory,
)
from sassafraspin.moves import Move
from sassafraspin.routed.leader_scope import LeaderScope
from sassafraspin.routes import RoutedAccount
from sassafraspin.settings import DispatchSettings, ServiceSettings

__all__ = ["StandbyScope"]

_STANDBY_COLD_SHARE = 0.5


class StandbyScope:
    """Dispatch scope of the local fallback on an entry instance.

    The instance dispatches its own calls while the dispatcher does not respond.

    Each instance uses its share of the slots, usage caps and retries, so that all
    instances together stay near the global limits. No requests go to a version under
    rollout.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    leader_scope : LeaderScope
        Provides the services of the routing table.
    directory : BackendDirectory
        Backend servers as last reported by the dispatcher.
    dispatcher_is_silent : callable
        Returns whether the dispatcher has stopped answering.
    generator : random.Random
        Randomizes admission of requests larger than the local share of a cap.
    """

    def __init__(
        self,
        node: Node,
        leader_scope: LeaderScope,
        directory: BackendDirectory,
        dispatcher_is_silent: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        self._generator = generator
        self._node = node
        self._leader_scope = leader_scope
        self._directory = directory
        self._dispatcher_is_silent = dispatcher_is_silent
        self._budgets: dict[str, RetryBudget] = {}
        self._assigned_slots: dict[str, dict[tuple[int, str, int], int]] = {}

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return the services of the routing table."""
        return self._leader_scope.services()

    def owns(self, service: str) -> bool:
        """Return whether this instance dispatches locally.

        It does so only as a member that is known to have been up to date lately: the
        leader does not wait for others.
        """
        if not self._dispatcher_is_silent() or not self._node.is_active_member():
            return False
        return self._node.lease.may_act_alone(self._node.now())

    def limits(self) -> Limits:
        """Return this instance's share of the usage caps."""
        settings, now = self._node.settings.dispatch, self._node.now()
        caps = UsageCaps(settings, now, generator=self._generator)
        declared = self._node.configuration.state.routing
        if declared is not None:
            caps.set_accounts(tuple(map(self._local_account, declared.table.accounts)))
        return caps

    def settings(self) -> DispatchSettings:
        """Return the settings with this instance's share of the retry allowance.

        The pace of servers is that which the last dispatcher has published.
        """
        settings = self._node.settings.dispatch
        allowance = settings.retry_allowance // self._instance_count
        return replace(settings, retry_allowance=allowance, paces_servers=False)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the budget of this instance's standby, kept while it is closed."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self.settings())
        return self._budgets[service]

    def rate_share(self) -> float:
        """Return an equal part: any instance may use any server."""
        return 1 / self._instance_count

    def cold_share(self, backend_id: str, rate: float) -> float:
        """Return the same part for a few instances, and 0 for the others.

        Each instance may send one request at once, so that together they would exceed
        the rate if there were more of them than requests a second. Half of the rate is
        left for a dispatcher that takes over.
        """
        count = min(max(1, int(_STANDBY_COLD_SHARE * rate)), self._instance_count)
        ranked = self._node.view.ranked(backend_id, count)
        if not any(member.name == self._node.name for member in ranked):
            return 0.0
        return _STANDBY_COLD_SHARE / count

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the initial version of a service without a completed move."""
        return self._leader_scope.initial_version(service, backends)

    def running_move(self, service: str) -> Move | None:
        """Return ``None``: only the dispatcher may count requests to a new version."""
        return None

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return the backend servers with only the slots assigned to this instance.

        An instance without any assigned slot uses one, so that its callers are served,
        unless instances lend each other slots: then no slot is used twice. Slots in
        evacuated zones do not count, unless all zones are evacuated.
        """
        servers = self._leader_scope.known_backends(service)
        local_slots = self._assign_slots(service, servers)
        evacuated = self._node.configuration.state.evacuations.zones
        usable = (
            tuple(item for item in servers if item.availability_zone not in evacuated)
            or servers
        )
        lends_slots = self._node.settings.dispatch.lends_slots
        has_slot = any(local_slots[server.id] for server in usable)
        if usable and not lends_slots and not has_slot:
            local_slots[self._fallback_server(usable).id] = 1
        keep_ms = self._node.settings.dispatch.directory_keep_ms
        return tuple(
            replace(server, slots=local_slots[server.id], ttl_ms=keep_ms, pace=0)
            for server in servers
            if local_slots[server.id]
        )

    def backends_revision(self) -> Hashable:
        """Return what the servers known here depend on."""
        state = self._node.configuration.state
        return (
            self._directory.revision,
            state.retirements.last_index,
            state.evacuations.zones,
            state.view.number,
        )

    def _assign_slots(
        self, service: str, servers: tuple[Announcement, ...]
    ) -> dict[str, int]:
        """Return the number of slots of each server that are assigned to this instance.

        What was computed before for the same view is reused.
        """
        view_number = self._node.view.number
        known = self._assigned_slots.get(service, {})
        assigned = {}
        slots = {}
        for server in servers:
            allowed = min(server.slots, server.pace or server.slots)
            key = view_number, server.id, allowed
            slots[server.id] = (
                known[key] if key in known else self._local_slots(server.id, allowed)
            )
            assigned[key] = slots[server.id]
        self._assigned_slots[service] = assigned
        return slots

    def _local_slots(self, backend_id: str, slots: int) -> int:
        """Return the number of a server's slots that are assigned to this instance."""
        per_instance, rest = divmod(slots, self._instance_count)
        ranked = self._node.view.ranked(backend_id, rest)
        return per_instance + any(member.name == self._node.name for member in ranked)

    def _fallback_server(self, servers: tuple[Announcement, ...]) -> Announcement:
        """Return the server to use without assigned slots; it varies by instance."""
        start = len(servers) * self._member_index // self._instance_count
        return servers[start]

    @property
    def _member_index(self) -> int:
        names = sorted(member.name for member in self._node.view.members)
        return names.index(self._node.name) if self._node.name in names else 0

    @property
    def _instance_count(self) -> int:
        return max(1, len(self._node.view.members))

    def _local_account(self, account: RoutedAccount) -> RoutedAccount:
        return replace(
            account,
            rate_per_second=account.rate_per_second / self._instance_count,
            burst=account.burst / self._instance_count,
        )
