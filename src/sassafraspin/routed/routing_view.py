"""The routing table in force on this instance, prepared for lookups."""

import math

from sassafraspin.daemon.node import Node
from sassafraspin.routed.problems import NotCurrent
from sassafraspin.routes import DeclaredTable, RouteIndex, RoutingTable
from sassafraspin.telemetry.events import TableInForce, log_event

__all__ = ["RoutingView"]

_FRESH_HEARTBEATS = 3
"""Heartbeats since the confirmation up to which a route or key that is not known does
not exist; one of them may be lost and one on its way."""

_MS_PER_SECOND = 1000


class RoutingView:
    """Follows the routing table of the applied configuration.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._declared: DeclaredTable | None = None
        self._index: RouteIndex | None = None

    @property
    def is_confirmed(self) -> bool:
        """Return whether the configuration was current once since the start.

        Until then it may be older than what this instance obeyed before a restart.
        """
        return self._node.lease.confirmed_age(self._node.now()) < math.inf

    @property
    def is_fresh(self) -> bool:
        """Return whether the configuration was confirmed a moment ago.

        Else there may be routes and keys that this instance has not heard of.
        """
        interval_ms = self._node.settings.control.heartbeat_interval_ms
        age = self._node.lease.confirmed_age(self._node.now())
        return age < _FRESH_HEARTBEATS * interval_ms / _MS_PER_SECOND

    @property
    def is_known(self) -> bool:
        """Return whether the table in force is known here."""
        return self._node.configuration.state.routing is not None and self.is_confirmed

    def index(self) -> RouteIndex:
        """Return the table in force; raises ``NotCurrent`` if it is not known."""
        if not self.is_known:
            raise NotCurrent("the routes in force are not known here yet")
        declared = self._node.configuration.state.routing
        if declared is not self._declared or self._index is None:
            self._declared = declared
            self._index = RouteIndex(declared.table)
            _log_table(declared.table)
        return self._index


def _log_table(table: RoutingTable) -> None:
    counts = len(table.routes), len(table.services), len(table.accounts)
    log_event(TableInForce(table.version, *counts))
