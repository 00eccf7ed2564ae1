"""Service ownership and limits for the dispatcher."""

from collections.abc import Hashable
from typing import Protocol

from sassafraspin.admission import AccountLimits, Limits
from sassafraspin.backends import STRICT_SHARE, Announcement, Backend
from sassafraspin.daemon.node import Node, dispatch_key
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.ledger import Ledger
from sassafraspin.moves import Move
from sassafraspin.settings import DispatchSettings, ServiceSettings

__all__ = ["DispatchScope", "ViewScope"]


class DispatchScope(Protocol):
    """Service ownership and pool configuration, supplied by each kind of daemon.

    A move is the gradual rollout of a new version of a service. The version in force
    is the one that its last completed move introduced.
    """

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return every service of the deployment."""

    def owns(self, service: str) -> bool:
        """Return whether this instance may dispatch for a service now."""

    def limits(self) -> Limits:
        """Return the admission limits for a new pool."""

    def settings(self) -> DispatchSettings:
        """Return the dispatch settings for a new pool."""

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget for a new pool of a service."""

    def rate_share(self) -> float:
        """Return the part of the servers' rate limits that a new pool may use."""

    def cold_share(self, backend_id: str, rate: float) -> float:
        """Return the part of the rate of a cold server that a new pool may use.

        Parameters
        ----------
        backend_id : str
            Name of the server.
        rate : float
            Requests a second that it takes from all instances together while cold.
        """

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the version in force of a service without a completed move.

        Parameters
        ----------
        service : ServiceSettings
            The service.
        backends : tuple of Backend
            Backend servers in its pool. Implementations without an initial version
            in the settings choose among the versions that these announce.
        """

    def running_move(self, service: str) -> Move | None:
        """Return the running move that the pool applies, or ``None``.

        Its phase and share decide how many requests its new version may receive.
        """

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return the backend servers that a new pool starts with."""

    def backends_revision(self) -> Hashable | None:
        """Return a value that changes with what ``known_backends`` returns.

        Open pools then get these servers. ``None`` if a pool keeps its own servers,
        which announce themselves to it.
        """


class ViewScope:
    """Configured services that the membership view assigns to this instance.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    ledger : Ledger
        Decides which instance owns a record key. The owner of
        ``dispatch_key(service)`` dispatches for that service.
    """

    def __init__(self, node: Node, ledger: Ledger) -> None:
        self._node = node
        self._ledger = ledger
        self._refreshed_for = (-1, -1)
        self._owned_services: frozenset[str] = frozenset()

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return the services of the settings."""
        return self._node.settings.services

    def owns(self, service: str) -> bool:
        """Return whether this instance is an active member and owns the service."""
        self._refresh_owned()
        return service in self._owned_services and self._node.is_active_member()

    def limits(self) -> Limits:
        """Return the account limits from the settings."""
        return AccountLimits(self._node.settings.access.client_accounts)

    def settings(self) -> DispatchSettings:
        """Return the dispatch settings of this instance."""
        return self._node.settings.dispatch

    def retry_budget(self, service: str) -> RetryBudget:
        """Return a budget of its own: owners of a service do not report its use."""
        return RetryBudget(self.settings())

    def rate_share(self) -> float:
        """Return the whole: a service has one dispatcher."""
        return 1.0

    def cold_share(self, backend_id: str, rate: float) -> float:
        """Return the part that leaves room for bursts: one instance dispatches."""
        return STRICT_SHARE

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the initial version from the settings."""
        return service.initial_version

    def running_move(self, service: str) -> Move | None:
        """Return the move of a service that has not ended, whatever its phase."""
        return self._node.configuration.state.moves.running(service)

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return an empty tuple: backend servers announce themselves to a new pool."""
        return ()

    def backends_revision(self) -> None:
        """Return ``None``: backend servers announce themselves to the pool."""

    def _refresh_owned(self) -> None:
        """Recompute the owned services after the view or the synced view changed."""
        view_state = (self._node.view.number, self._ledger.synced_view)
        if view_state == self._refreshed_for:
            return
        self._refreshed_for = view_state
        self._owned_services = frozenset(
            service.name
            for service in self.services()
            if self._ledger.owns(dispatch_key(service.name))
        )
