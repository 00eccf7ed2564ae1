"""What the parts of a daemon share: identity, clock, messages and configuration."""

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
    """Handles that the parts of one daemon are made with.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    member : Member
        This run of this instance.
    configuration : Configuration
        Profiles, moves and views in force here.
    lease : MemberLease
        Lease with the control leader.
    metrics : Metrics
        Counters and histograms.
    clock : callable
        Returns the monotonic time in seconds.
    send : callable
        Sends a message to an instance by name, also to this one.
    dispatchers : dict
        Dispatchers by view number and service, as far as they were looked up.
    leader_dispatches : bool
        Whether the control leader dispatches for every service; else the members
        of the view share the services.
    started_at : float or None
        Time of ``clock`` at which this process began, ``None`` if not known.
    """

    settings: DaemonSettings
    member: Member
    configuration: Configuration
    lease: MemberLease
    metrics: Metrics
    clock: Callable[[], float]
    send: Callable[[str, object], None]
    dispatchers: dict[tuple[int, str], str | None] = field(default_factory=dict)
    leader_dispatches: bool = False
    started_at: float | None = None

    @property
    def name(self) -> str:
        """Return the name of this instance."""
        return self.member.name

    @property
    def view(self) -> View:
        """Return the view in force here."""
        return self.configuration.state.view

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock()

    def acts_in_view(self) -> bool:
        """Return whether this instance may act as home and dispatcher now."""
        held = self.lease.is_held(self.now())
        return held and self.view.contains(self.member.identity)

    def dispatcher_of(self, service: str) -> str | None:
        """Return the name of the instance that dispatches for a service."""
        if self.leader_dispatches:
            return self.lease.leader
        place = (self.view.number, service)
        if place not in self.dispatchers:
            ranked = self.view.ranked(dispatch_key(service).placement, 1)
            self._forget_older_views()
            self.dispatchers[place] = ranked[0].name if ranked else None
        return self.dispatchers[place]

    def _forget_older_views(self) -> None:
        for place in list(self.dispatchers):
            if place[0] != self.view.number:
                del self.dispatchers[place]


def dispatch_key(service: str) -> RecordKey:
    """Return the key by which the dispatcher of a service is placed on members."""
    return RecordKey("service", service)


def wall_clock_ms() -> int:
    """Return the wall clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
