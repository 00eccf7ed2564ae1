"""Context of one daemon: identity, clock, messaging and configuration."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from sassafraspin.control import Configuration
from sassafraspin.ledger import RecordKey
from sassafraspin.membership import Member, MemberLease, View
from sassafraspin.settings import DaemonSettings
from sassafraspin.telemetry import Metrics

__all__ = ["Node", "dispatch_key", "wall_clock_ms"]


@dataclass(frozen=True)
class Node:
    """Dependencies shared by the parts of one daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    member : Member
        Identity and address of this process, including its incarnation.
    configuration : Configuration
        Replicated profiles, moves and views as known to this instance.
    lease : MemberLease
        Membership lease granted by the control leader.
    metrics : Metrics
        Counters and histograms.
    clock : callable
        Returns the monotonic time in seconds.
    send : callable
        Sends a message to an instance by name; this instance is a valid target.
    dispatcher_cache : dict
        Cache of dispatcher names by view number and service.
    leader_dispatches : bool
        Whether the control leader dispatches for every service; otherwise the
        services are distributed over the members of the view.
    started_at : float or None
        Value of ``clock`` at which this process started, ``None`` if unknown.
    """

    settings: DaemonSettings
    member: Member
    configuration: Configuration
    lease: MemberLease
    metrics: Metrics
    clock: Callable[[], float]
    send: Callable[[str, object], None]
    dispatcher_cache: dict[tuple[int, str], str | None] = field(default_factory=dict)
    leader_dispatches: bool = False
    started_at: float | None = None

    @property
    def name(self) -> str:
        """Return the name of this instance."""
        return self.member.name

    @property
    def view(self) -> View:
        """Return the current membership view."""
        return self.configuration.state.view

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock()

    def is_active_member(self) -> bool:
        """Return whether this instance holds its lease and is in the view.

        Only then may it act as a ledger primary and dispatcher.
        """
        held = self.lease.is_held(self.now())
        return held and self.view.contains(self.member.identity)

    def dispatcher_of(self, service: str) -> str | None:
        """Return the instance that dispatches for a service, ``None`` if unknown."""
        if self.leader_dispatches:
            return self.lease.leader
        cache_key = (self.view.number, service)
        if cache_key not in self.dispatcher_cache:
            ranked = self.view.ranked(dispatch_key(service).hash_key, 1)
            self._evict_older_views()
            self.dispatcher_cache[cache_key] = ranked[0].name if ranked else None
        return self.dispatcher_cache[cache_key]

    def _evict_older_views(self) -> None:
        for cache_key in list(self.dispatcher_cache):
            if cache_key[0] != self.view.number:
                del self.dispatcher_cache[cache_key]


def dispatch_key(service: str) -> RecordKey:
    """Return the placement key that selects the dispatcher of a service."""
    return RecordKey("service", service)


def wall_clock_ms() -> int:
    """Return the wall clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
