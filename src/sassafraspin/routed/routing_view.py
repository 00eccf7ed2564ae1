"""Current routing table of this instance, indexed for lookups."""

import math

from sassafraspin.daemon.node import Node
from sassafraspin.routed.problems import NotCurrent
from sassafraspin.routes import DeclaredTable, RouteIndex, RoutingTable
from sassafraspin.telemetry.events import TableInForce, log_event

__all__ = ["RoutingView"]

_MAX_FRESH_AGE_HEARTBEATS = 3
"""Age of the last confirmation, in heartbeat intervals, below which an unknown route or
key is reported as missing. From this age on, the caller is told that the routes may be
old. One heartbeat may be lost and another in transit."""

_MAX_LAG_SECONDS = 1.4
"""With the heartbeat that tells of a change it is in force, or not used, within 2 s."""

_MS_PER_SECOND = 1000


class RoutingView:
    """Lookup index of the routing table in the applied configuration.

    Unrelated to ``View``, the list of members.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._declared: DeclaredTable | None = None
        self._index: RouteIndex | None = None

    @property
    def is_confirmed(self) -> bool:
        """Return whether the configuration was confirmed at least once since the start.

        The control leader confirms that it is current. Until then, it may be older than
        the one applied when this instance last ran.
        """
        return self._node.lease.configuration_age(self._node.now()) < math.inf

    @property
    def is_fresh(self) -> bool:
        """Return whether the configuration was recently confirmed as current.

        A stale one may lack newly added routes and keys. The limit is lower than the
        one of ``InstanceStatus.fresh``.
        """
        interval_ms = self._node.settings.control.heartbeat_interval_ms
        age = self._node.lease.configuration_age(self._node.now())
        return age < _MAX_FRESH_AGE_HEARTBEATS * interval_ms / _MS_PER_SECOND

    @property
    def is_available(self) -> bool:
        """Return whether a confirmed routing table is available.

        One that the leader has said to be outdated is not, if its successor does not
        arrive: callers are better served by another instance.
        """
        if self._node.configuration.state.routing is None or not self.is_confirmed:
            return False
        return self._node.lease.lag(self._node.now()) < _MAX_LAG_SECONDS

    def index(self) -> RouteIndex:
        """Return the current index; raises ``NotCurrent`` if it is not available."""
        if not self.is_available:
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
