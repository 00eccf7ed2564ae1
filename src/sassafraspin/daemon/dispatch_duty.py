"""The dispatch duty: pools of the services that this instance dispatches for."""

import random

from sassafraspin.backends import Backend
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.status import BackendStatus
from sassafraspin.dispatch import (
    AnnounceBackend,
    RefusalReason,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
)
from sassafraspin.dispatch.pool import Pool, PoolStatus, SendToEntry
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import ServiceSettings
from sassafraspin.telemetry import part_logger

__all__ = ["DispatchDuty"]

_WRONG_DISPATCHER_RETRY_MS = 200

_log = part_logger("dispatch")


class DispatchDuty:
    """Runs the pools that the view gives to this instance, while its lease holds.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    generator : random.Random
        Source of random choices.
    """

    def __init__(self, node: Node, generator: random.Random) -> None:
        self._node = node
        self._generator = generator
        self._pools: dict[str, Pool] = {}
        self._view_number = 0

    def pool_statuses(self) -> tuple[PoolStatus, ...]:
        """Return figures of each pool."""
        now = self._node.now()
        return tuple(pool.status(now) for pool in self._pools.values())

    def backend_statuses(self) -> tuple[BackendStatus, ...]:
        """Return the backend servers of each pool."""
        now = self._node.now()
        return tuple(
            _backend_status(backend, now)
            for pool in self._pools.values()
            for backend in pool.backends
        )

    def tick(self) -> None:
        """Let time pass and follow the view."""
        acts = self._node.acts_in_view()
        for service in self._node.settings.services:
            is_own = acts and self._node.dispatcher_of(service.name) == self._node.name
            if is_own and service.name not in self._pools:
                self._open_pool(service)
            if not is_own and service.name in self._pools:
                self._pools.pop(service.name)
                _log.info("Service {} is dispatched elsewhere now.", service.name)
        self._drop_gone_entries()
        now = self._node.now()
        for pool in self._pools.values():
            self._run(pool.tick(now))

    def receive(
        self,
        source: str,
        message: SlotRequest | SlotRelease | SlotWithdraw | AnnounceBackend,
    ) -> None:
        """Handle a message of an entry instance."""
        now = self._node.now()
        match message:
            case AnnounceBackend(announcement):
                pool = self._active_pool(announcement.service)
                if pool is not None:
                    self._run(pool.announce(announcement, now))
            case SlotRequest():
                pool = self._active_pool(message.service)
                if pool is None:
                    self._refuse(source, message)
                else:
                    self._run(pool.request(source, message, now))
            case SlotRelease():
                pool = self._active_pool(message.service)
                if pool is not None:
                    self._run(pool.release(message, now))
            case SlotWithdraw():
                pool = self._active_pool(message.service)
                if pool is not None:
                    self._run(pool.withdraw(message, now))

    def _active_pool(self, service: str) -> Pool | None:
        """Return the pool if this instance may dispatch for the service now."""
        return self._pools.get(service) if self._node.acts_in_view() else None

    def _open_pool(self, service: ServiceSettings) -> None:
        versions = self._node.configuration.state.moves.versions
        gate = VersionGate(versions.get(service.name, service.initial_version))
        settings = self._node.settings
        member = self._node.member
        term = f"{member.name}-{member.incarnation}-{self._node.view.number}"
        self._pools[service.name] = Pool(
            service.name,
            settings.dispatch,
            settings.access.client_accounts,
            gate,
            self._generator,
            term,
        )
        _log.info("This instance dispatches for service {}.", service.name)

    def _drop_gone_entries(self) -> None:
        view = self._node.view
        if view.number == self._view_number:
            return
        self._view_number = view.number
        now = self._node.now()
        for pool in self._pools.values():
            for entry in pool.entries():
                if view.find(entry) is None:
                    self._run(pool.drop_entry(entry, now))

    def _refuse(self, source: str, request: SlotRequest) -> None:
        refusal = SlotRefusal(
            request.request_id,
            RefusalReason.NOT_DISPATCHER,
            _WRONG_DISPATCHER_RETRY_MS,
        )
        self._node.send(source, refusal)

    def _run(self, effects: list[SendToEntry]) -> None:
        for effect in effects:
            self._node.send(effect.entry, effect.message)


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
    )
