"""Dispatcher: backend pools of the services that this instance schedules."""

import random
from collections.abc import Callable, Hashable
from dataclasses import replace

from sassafraspin.backends import Announcement, Backend
from sassafraspin.daemon.dispatch_scope import DispatchScope
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.status import BackendStatus
from sassafraspin.dispatch import (
    ActiveGrant,
    AnnounceBackend,
    FirstTokenNotice,
    HeldGrants,
    RateLimitNotice,
    RefusalReason,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
)
from sassafraspin.dispatch.grants import Grant
from sassafraspin.dispatch.loading import LoadOrder, LoadPlanner
from sassafraspin.dispatch.pool import Pool, PoolStatus, SendToEntry
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.isolation import Suspects
from sassafraspin.membership import MemberTimings
from sassafraspin.moves import RolloutSettings
from sassafraspin.settings import ServiceSettings
from sassafraspin.telemetry import part_logger

__all__ = ["DispatchService", "DispatcherMessage"]

_WRONG_DISPATCHER_RETRY_MS = 200
_REPORT_INTERVAL_SECONDS = 0.2

DispatcherMessage = (
    SlotRequest
    | ActiveGrant
    | SlotRelease
    | RateLimitNotice
    | FirstTokenNotice
    | HeldGrants
    | SlotWithdraw
    | AnnounceBackend
)
"""Messages that a dispatcher receives."""

_log = part_logger("dispatch")


class DispatchService:
    """Runs one backend pool for each service that this instance dispatches for.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    generator : random.Random
        Random number generator of the pools.
    order : callable
        Sends a load order to a backend server and calls back when it has ended.
    scope : DispatchScope
        Services that this instance dispatches for, and the settings of their pools.
    label : str
        Part of the grant identifiers that keeps them distinct from those of another
        ``DispatchService`` in the same process.
    suspects : Suspects or None
        Knows which requests may have crashed servers, ``None`` if nobody does.
    """

    def __init__(
        self,
        node: Node,
        generator: random.Random,
        order: Callable[[LoadOrder, Callable[[], None]], None],
        scope: DispatchScope,
        label: str = "main",
        suspects: Suspects | None = None,
    ) -> None:
        self._node = node
        self._generator = generator
        self._send_order = order
        self._scope = scope
        self._grant_label = label
        self._suspects = suspects
        self._opened_pools = 0
        self._pools: dict[str, Pool] = {}
        self._planners: dict[str, LoadPlanner] = {}
        self._next_report_at = 0.0
        self._view_number = 0
        self._backends_revision: Hashable | None = None
        self._evacuated_zones: frozenset[str] = frozenset()

    def backends(self) -> tuple[Backend, ...]:
        """Return the backend servers of all pools."""
        return tuple(item for pool in self._pools.values() for item in pool.backends)

    def pool_statuses(self) -> tuple[PoolStatus, ...]:
        """Return the status of each pool."""
        now = self._node.now()
        return tuple(pool.status(now) for pool in self._pools.values())

    def backend_statuses(self) -> tuple[BackendStatus, ...]:
        """Return the status of each backend server."""
        now = self._node.now()
        return tuple(
            _backend_status(backend, now)
            for pool in self._pools.values()
            for backend in pool.backends
        )

    def tick(self) -> None:
        """Update the pools and advance their timers.

        Opens and closes pools as service ownership changes, drops departed entry
        instances, sends load orders and reports on moves.
        """
        services = {service.name: service for service in self._scope.services()}
        self._close_pools(services)
        for service in services.values():
            if service.name not in self._pools and self._scope.owns(service.name):
                self._open_pool(service)
        self._drop_departed_entries()
        now = self._node.now()
        self.follow_directory()
        self.follow_evacuations()
        for name, pool in self._pools.items():
            self._apply_move(services[name], pool)
            pool.set_cold_rate(services[name].cold_rate, now)
            pool.set_cache_tokens(services[name].cache_tokens)
            self._send_all(pool.tick(now))
            if services[name].loads_versions:
                self._send_load_order(name, pool, now)
        self._report_moves(now)

    def _close_pools(self, services: dict[str, ServiceSettings]) -> None:
        for name in list(self._pools):
            if name in services and self._scope.owns(name):
                continue
            del self._pools[name]
            del self._planners[name]
            _log.info("This instance stopped dispatching for service {}.", name)

    def announce(self, announcement: Announcement) -> bool:
        """Apply an announcement; return whether its service is dispatched here."""
        pool = self._active_pool(announcement.service)
        if pool is None:
            return False
        self._send_all(pool.announce(announcement, self._node.now()))
        return True

    def follow_directory(self) -> None:
        """Give the pools the servers of the scope if these have changed."""
        revision = self._scope.backends_revision()
        if revision is None or revision == self._backends_revision:
            return
        self._backends_revision = revision
        now = self._node.now()
        for name, pool in self._pools.items():
            self._send_all(pool.replace_servers(self._scope.known_backends(name), now))

    def follow_evacuations(self) -> None:
        """Stop using the servers of the zones that the control log has evacuated."""
        zones = self._node.configuration.state.evacuations.zones
        if zones == self._evacuated_zones:
            return
        self._evacuated_zones = zones
        now = self._node.now()
        for pool in self._pools.values():
            self._send_all(pool.close_zones(zones, now))

    def version_of(self, service: str) -> str:
        """Return the version in force of a service.

        Raises
        ------
        KeyError
            If this instance has no open pool for the service.
        """
        return self._pools[service].gate.current_version

    def announcement_of(self, backend_id: str) -> Announcement | None:
        """Return the latest announcement of a server, ``None`` if it is not known."""
        for pool in self._pools.values():
            backend = pool.server(backend_id)
            if backend is not None:
                return backend.announcement
        return None

    def grant_of(self, release: SlotRelease) -> Grant | None:
        """Return the grant that a message releases, ``None`` if it is not known."""
        pool = self._pools.get(release.service)
        return None if pool is None else pool.grant(release.grant_id)

    def cut_off_entries(self) -> frozenset[str]:
        """Return the entry instances that reach no servers, though others do."""
        return frozenset().union(*(pool.cut_off for pool in self._pools.values()))

    def apply_retirements(self) -> None:
        """Stop using the servers that the control log has retired.

        A server may have announced itself here before the retirement was known.
        """
        retirements = self._node.configuration.state.retirements
        for backend in self.backends():
            announcement = backend.announcement
            if retirements.covers(announcement):
                self.announce(replace(announcement, leaving=True))

    def withdraw_server(self, backend_id: str) -> bool:
        """Stop sending requests to a backend server; return whether it is known."""
        now = self._node.now()
        pools = list(self._pools.values())
        return any([pool.withdraw_server(backend_id, now) for pool in pools])

    def receive(
        self,
        source: str,
        message: DispatcherMessage,
    ) -> None:
        """Handle a message from an entry instance.

        If this instance does not dispatch for the service, a slot request is refused
        and any other message is ignored.
        """
        service = _service_of(message)
        pool = self._active_pool(service)
        now = self._node.now()
        if pool is None:
            if isinstance(message, SlotRequest):
                self._refuse_slot(source, message)
            return
        match message:
            case AnnounceBackend():
                self._send_all(pool.announce(message.announcement, now))
            case SlotRequest():
                self._send_all(pool.request(source, message, now))
            case ActiveGrant():
                self._send_all(pool.adopt(source, message, now))
            case SlotRelease():
                self._send_all(pool.release(message, now))
            case RateLimitNotice():
                self._send_all(pool.record_rate_limit(message, now))
            case FirstTokenNotice():
                self._send_all(pool.record_first_token(message, now))
            case HeldGrants():
                self._send_all(pool.reconcile(source, message, now))
            case SlotWithdraw():
                self._send_all(pool.withdraw(message, now))

    def may_borrow(self, request: SlotRequest) -> bool:
        """Return whether other instances may be asked for a slot for a request."""
        pool = self._active_pool(request.service)
        return pool is not None and pool.may_borrow(request.request_id)

    def accept_loan(self, request: SlotRequest) -> bool:
        """Return whether a request still waits; if so, it waits no longer.

        Another instance has granted a slot for it. It stays charged to this one.
        """
        pool = self._active_pool(request.service)
        now = self._node.now()
        return pool is not None and pool.borrowed(request.request_id, now)

    def _active_pool(self, service: str) -> Pool | None:
        """Return the pool of an owned service, opening it if needed; else ``None``."""
        if not self._scope.owns(service):
            return None
        if service not in self._pools:
            for item in self._scope.services():
                if item.name == service:
                    self._open_pool(item)
        return self._pools.get(service)

    def _open_pool(self, service: ServiceSettings) -> None:
        # ``_apply_move`` below replaces this version by the one in force.
        gate = VersionGate(service.initial_version, self._generator)
        member = self._node.member
        self._opened_pools += 1
        number = f"{self._grant_label}-{self._opened_pools}"
        pool_id = f"{member.name}-{member.incarnation}-{number}"
        now = self._node.now()
        pool = Pool(
            service.name,
            self._scope.settings(),
            self._scope.limits(),
            gate,
            self._generator,
            pool_id,
            now,
            self._scope.known_backends(service.name),
            self._scope.retry_budget(service.name),
            self._scope.rate_share(),
            self._suspects,
            self._scope.cold_share,
        )
        pool.close_zones(self._node.configuration.state.evacuations.zones, now)
        pool.set_cold_rate(service.cold_rate, now)
        pool.set_cache_tokens(service.cache_tokens)
        self._pools[service.name] = pool
        self._planners[service.name] = self._make_planner(service)
        self._apply_move(service, pool)
        _log.info("This instance started dispatching for service {}.", service.name)

    def _make_planner(self, service: ServiceSettings) -> LoadPlanner:
        """Return the planner of load orders.

        Backend servers that do not check fencing tokens get orders only after the
        lease of every earlier dispatcher has expired.
        """
        allowed_from = self._node.now()
        if not service.checks_fencing:
            lease_ms = self._node.settings.control.member_lease_ms
            allowed_from += MemberTimings(lease_ms / 1000).max_lease_duration
        return LoadPlanner(
            self._node.view.number,
            allowed_from,
            service.weight_load_interval_ms / 1000,
            RolloutSettings(),
        )

    def _apply_move(self, service: ServiceSettings, pool: Pool) -> None:
        """Set the version in force and the running move of a pool.

        The scope gives the version of a service that has no completed move.
        """
        moves = self._node.configuration.state.moves
        version = moves.versions.get(service.name)
        if version is None:
            version = self._scope.initial_version(service, pool.backends)
        pool.gate.set_move(version, self._scope.running_move(service.name))

    def _send_load_order(self, service: str, pool: Pool, now: float) -> None:
        planner = self._planners[service]
        order = planner.plan(pool.gate.move, pool.backends, now)
        if order is not None:
            _log.info(
                "Ordering {} to load version {}.", order.backend_id, order.version
            )
            self._send_order(
                order, lambda: planner.record_order_ended(self._node.now())
            )

    def _report_moves(self, now: float) -> None:
        leader = self._node.lease.leader
        if now < self._next_report_at or leader is None:
            return
        self._next_report_at = now + _REPORT_INTERVAL_SECONDS
        for pool in self._pools.values():
            pool.record_overdue(now)
            evidence = pool.gate.report(pool.server_counts())
            if evidence is not None:
                self._node.send(leader, evidence)

    def _drop_departed_entries(self) -> None:
        view = self._node.view
        if view.number == self._view_number:
            return
        self._view_number = view.number
        now = self._node.now()
        for pool in self._pools.values():
            for entry in pool.entry_instances():
                if view.find(entry) is None:
                    self._send_all(pool.drop_entry_instance(entry, now))

    def _refuse_slot(self, source: str, request: SlotRequest) -> None:
        refusal = SlotRefusal(
            request.request_id,
            RefusalReason.NOT_DISPATCHER,
            _WRONG_DISPATCHER_RETRY_MS,
        )
        self._node.send(source, refusal)

    def _send_all(self, effects: list[SendToEntry]) -> None:
        for effect in effects:
            self._node.send(effect.entry, effect.message)


def _service_of(message: DispatcherMessage) -> str:
    match message:
        case AnnounceBackend():
            return message.announcement.service
        case ActiveGrant():
            return message.request.service
        case _:
            return message.service


def _backend_status(backend: Backend, now: float) -> BackendStatus:
    announcement = backend.announcement
    return BackendStatus(
        announcement.id,
        announcement.service,
        announcement.hardware,
        announcement.versions,
        backend.busy_slots,
        announcement.slots,
        backend.accepts_work(now),
        announcement.leaving,
        backend.is_ejected(now),
        round(backend.speed.prefill_rate, 1),
        round(backend.speed.decode_rate, 2),
        backend.slot_limit,
        int(backend.cold_seconds(now) * 1000),
        backend.parts.tokens,
        int(backend.speed.overhead * 1000),
    )
