"""What backend servers have said about themselves in answers to this instance."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

__all__ = ["ServerNotice", "ServerNotices", "ServerRun"]

_LEAST_RATE = 0.1
"""Requests a second to a server that takes fewer, or none."""

_MAX_SERVERS = 4_096
"""Number of servers beyond which the oldest notices are dropped."""


@dataclass(frozen=True)
class ServerNotice:
    """Statement of a backend server in one of its answers.

    Parameters
    ----------
    leaving : bool
        Whether the server leaves and wants no new requests until it is restarted.
    pause_seconds : float
        Time for which the server wants no requests from this instance, 0 for none.
    rate_limit : float or None
        Requests a second that the server takes from all instances together, ``None``
        if it names no limit.
    overload_tolerance : float or None
        Requests that the server can refuse in a second for want of room before it
        fails, over all instances; ``None`` if it names no number.
    """

    leaving: bool = False
    pause_seconds: float = 0.0
    rate_limit: float | None = None
    overload_tolerance: float | None = None

    @property
    def request_rate(self) -> float | None:
        """Return the requests a second to send at most, ``None`` for no limit.

        Only an answer can end a limit, so some requests are always sent.
        """
        if self.rate_limit is None:
            return None
        return max(self.rate_limit, _LEAST_RATE)

    @property
    def is_empty(self) -> bool:
        """Return whether the server wants requests as before."""
        return not self.leaving and self.pause_seconds <= 0


@dataclass(frozen=True)
class ServerRun:
    """One incarnation of a backend server of a service."""

    service: str
    name: str
    incarnation: int


class ServerNotices:
    """Notices in force, each about one incarnation of a backend server.

    A notice ends with its time, or when the server is known to have been restarted.
    They are obeyed by the instance that received them, whatever a dispatcher knows.
    """

    def __init__(self) -> None:
        self._closed_until: OrderedDict[ServerRun, float] = OrderedDict()

    def record(self, run: ServerRun, notice: ServerNotice, now: float) -> bool:
        """Record a notice; return whether it says more than is known.

        It never shortens an earlier one.
        """
        until = math.inf if notice.leaving else now + notice.pause_seconds
        if notice.is_empty or until <= self._closed_until.get(run, -math.inf):
            return False
        self._closed_until[run] = until
        self._closed_until.move_to_end(run)
        while len(self._closed_until) > _MAX_SERVERS:
            self._closed_until.popitem(last=False)
        return True

    def forbids(self, run: ServerRun, now: float) -> bool:
        """Return whether the server wants no requests from this instance now."""
        return now < self._closed_until.get(run, -math.inf)

    def leaves(self, run: ServerRun) -> bool:
        """Return whether the server has said that it leaves."""
        return self._closed_until.get(run) == math.inf

    def paused(self, service: str, now: float) -> tuple[str, ...]:
        """Return the names of a service's servers that want a pause, sorted.

        Servers that leave are not among them: their dispatcher is told, and must be
        free to choose their next incarnation.
        """
        return tuple(sorted(run.name for run, _ in self._pauses(service, now)))

    def earliest_end(self, service: str, now: float) -> float | None:
        """Return the seconds until the first pause at a service ends, if any."""
        ends = (until - now for _, until in self._pauses(service, now))
        return min(ends, default=None)

    def _pauses(self, service: str, now: float) -> Iterator[tuple[ServerRun, float]]:
        """Yield the servers of a service that want a pause, and when it ends."""
        for run, until in self._closed_until.items():
            if run.service == service and now < until < math.inf:
                yield run, until

    def forget_ended(
        self, now: float, incarnation_of: Callable[[str], int | None]
    ) -> None:
        """Drop the notices that have ended.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        incarnation_of : callable
            Returns the newest known incarnation of a server, ``None`` if not known.
        """
        for run, until in list(self._closed_until.items()):
            newest = incarnation_of(run.name)
            if now >= until or (newest is not None and newest > run.incarnation):
                del self._closed_until[run]
