"""Orders to load a new version, rate-limited to protect the weight storage."""

from dataclasses import dataclass

from sassafraspin.backends import Backend
from sassafraspin.moves import Move, MovePhase, RolloutSettings, servers_needed
from sassafraspin.settings import Address

__all__ = ["LoadOrder", "LoadPlanner"]

_ORDER_TIMEOUT_SECONDS = 60.0

_LOADING_PHASES = (MovePhase.LOADING, MovePhase.SAMPLING, MovePhase.RAMPING)


@dataclass(frozen=True)
class LoadOrder:
    """An order to load a version, with the fencing token of the dispatcher."""

    backend_id: str
    address: Address
    version: str
    fencing: int


class LoadPlanner:
    """Selects backend servers, one at a time, to load the new version.

    Parameters
    ----------
    fencing : int
        Fencing token: the number of the view in which this dispatcher acts.
    allowed_from : float
        Monotonic time in seconds before which no order is given. For backend servers
        that do not check fencing tokens, the leases of all older dispatchers must
        have expired by then.
    interval : float
        Minimum time between the end of an order and the next order, in seconds.
    settings : RolloutSettings
        Shares of the ramp, which determine how many servers a move needs.
    """

    def __init__(
        self,
        fencing: int,
        allowed_from: float,
        interval: float,
        settings: RolloutSettings,
    ) -> None:
        self._fencing = fencing
        self._next_at = allowed_from
        self._interval = interval
        self._settings = settings
        self._pending: LoadOrder | None = None
        self._pending_until = float("-inf")

    def plan(
        self, move: Move | None, backends: tuple[Backend, ...], now: float
    ) -> LoadOrder | None:
        """Return the order that is due, if any."""
        if move is None or move.phase not in _LOADING_PHASES or now < self._next_at:
            return None
        if self._pending is not None and now < self._pending_until:
            return None
        version = move.spec.to_version
        accepting = [backend for backend in backends if backend.accepts_work(now)]
        lacking = [
            backend
            for backend in accepting
            if version not in backend.announcement.versions
        ]
        loaded = len(accepting) - len(lacking)
        needed = servers_needed(move, len(accepting), self._settings)
        if loaded >= needed or not lacking:
            return None
        chosen = min(lacking, key=lambda item: (item.busy_slots, item.announcement.id))
        announcement = chosen.announcement
        order = LoadOrder(announcement.id, announcement.address, version, self._fencing)
        self._pending = order
        self._pending_until = now + _ORDER_TIMEOUT_SECONDS
        return order

    def record_order_ended(self, now: float) -> None:
        """Record that the pending order was executed, refused or lost."""
        self._pending = None
        self._next_at = now + self._interval
