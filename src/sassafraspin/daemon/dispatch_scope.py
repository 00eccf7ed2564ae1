"""Which services an instance dispatches for, and on what terms."""

from typing import Protocol

from sassafraspin.admission import AccountLimits, Limits
from sassafraspin.backends import Announcement, Backend
from sassafraspin.daemon.node import Node, dispatch_key
from sassafraspin.ledger import Ledger
from sassafraspin.moves import Move
from sassafraspin.settings import DispatchSettings, ServiceSettings

__all__ = ["DispatchScope", "ViewScope"]


class DispatchScope(Protocol):
    """What the dispatch duty asks of the kind of daemon that it is part of."""

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return every service of this deployment."""

    def owns(self, service: str) -> bool:
        """Return whether this instance may dispatch for a service now."""

    def limits(self) -> Limits:
        """Return the limits that a new pool is made with."""

    def settings(self) -> DispatchSettings:
        """Return the time limits and bounds that a new pool is made with."""

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the version in force of a service that was never moved."""

    def running_move(self, service: str) -> Move | None:
        """Return the move that a service's new version may be shown in."""

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return the backend servers that a new pool begins with."""


class ViewScope:
    """Services of the settings, shared out over the members of the view.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    ledger : Ledger
        Knows which keys this instance alone decides on, services among them.
    """

    def __init__(self, node: Node, ledger: Ledger) -> None:
        self._node = node
        self._ledger = ledger
        self._seen = (-1, -1)
        self._owned: frozenset[str] = frozenset()

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return the services of the settings."""
        return self._node.settings.services

    def owns(self, service: str) -> bool:
        """Return whether the view gives this instance the service."""
        self._follow_view()
        return service in self._owned and self._node.acts_in_view()

    def limits(self) -> Limits:
        """Return the limits of the settings."""
        return AccountLimits(self._node.settings.access.client_accounts)

    def settings(self) -> DispatchSettings:
        """Return the settings of this instance."""
        return self._node.settings.dispatch

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the version that the settings name."""
        return service.initial_version

    def running_move(self, service: str) -> Move | None:
        """Return the move that runs."""
        return self._node.configuration.state.moves.running(service)

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return nothing: backend servers announce themselves to a new pool."""
        return ()

    def _follow_view(self) -> None:
        """See again which services are this instance's own after a change."""
        place = (self._node.view.number, self._ledger.synced_view)
        if place == self._seen:
            return
        self._seen = place
        self._owned = frozenset(
            service.name
            for service in self.services()
            if self._ledger.owns(dispatch_key(service.name))
        )
