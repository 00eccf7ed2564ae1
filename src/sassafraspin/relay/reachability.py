"""Estimate of whether this instance is partitioned from the backend servers."""

from dataclasses import dataclass

from sassafraspin.settings import Address

__all__ = ["PathMonitor"]

_DISTINCT_SERVERS = 2
"""Servers that only others reach; the path to a single one may fail by itself."""

_FAILURE_SECONDS = 3.0
"""How long a failure counts."""

_SUCCESSES_TO_RETURN = 2


@dataclass(frozen=True)
class _Failure:
    """A connection that failed here while another instance reached the server."""

    started_at: float
    failed_at: float
    has_hung: bool


class PathMonitor:
    """Decides whether this instance is partitioned, from connections to servers.

    Only failures to servers that another instance reached at the same time count: a
    server that is down or silent is no sign of a partition. Times are monotonic
    seconds.
    """

    def __init__(self) -> None:
        self._failures: dict[Address, _Failure] = {}
        self._reached_at = float("-inf")
        self._successes = 0
        self._lost_at: float | None = None
        self._hangs = False
        self._is_confirmed = False

    @property
    def is_partitioned(self) -> bool:
        """Return whether this instance is partitioned from the backend servers."""
        return self._lost_at is not None

    @property
    def lost_at(self) -> float | None:
        """Return when the first connection failed, ``None`` unless partitioned."""
        return self._lost_at

    @property
    def hangs(self) -> bool:
        """Return whether connections hang, which a later probe has confirmed.

        A path that refuses new connections may keep the open ones.
        """
        return self._hangs and self._is_confirmed

    def record_success(self, target: Address, now: float) -> None:
        """Record that this instance opened a connection to a server itself."""
        self._failures.pop(target, None)
        self._reached_at = now
        if not self.is_partitioned:
            return
        self._successes += 1
        if self._successes >= _SUCCESSES_TO_RETURN:
            self._lost_at = None
            self._hangs = False
            self._is_confirmed = False
            self._failures.clear()

    def record_failed_probe(self) -> None:
        """Record that a direct connection failed; others were not asked."""
        self._successes = 0
        self._is_confirmed = self.is_partitioned

    def record_failure(
        self, target: Address, started_at: float, now: float, has_hung: bool
    ) -> None:
        """Record a connection that failed though another instance reached the server.

        ``has_hung`` says that it was neither opened nor refused in time.
        """
        self._successes = 0
        self._failures[target] = _Failure(started_at, now, has_hung)
        for known, failure in list(self._failures.items()):
            if now - failure.failed_at > _FAILURE_SECONDS:
                del self._failures[known]
        if self.is_partitioned:
            self._hangs |= has_hung
            return
        counted = [
            failure
            for failure in self._failures.values()
            if failure.failed_at > self._reached_at
        ]
        if len(counted) >= _DISTINCT_SERVERS:
            self._is_confirmed = False
            self._lost_at = min(failure.started_at for failure in counted)
            self._hangs = any(failure.has_hung for failure in counted)

    def has_failed(self, target: Address, now: float) -> bool:
        """Return whether only other instances reached a server lately."""
        failure = self._failures.get(target)
        return failure is not None and now - failure.failed_at <= _FAILURE_SECONDS

    def has_reached_since(self, time: float) -> bool:
        """Return whether this instance has opened a connection to a server since."""
        return self._reached_at >= time
