"""Member side of membership: heartbeats, lease and configuration freshness."""

from dataclasses import dataclass

from sassafraspin.membership.messages import HeartbeatReply, MemberHeartbeat
from sassafraspin.membership.table import MemberTimings
from sassafraspin.membership.view import Member, View

__all__ = ["SendHeartbeat", "MemberLease"]

_REPLY_TIMEOUT_HEARTBEATS = 2

_UNCONFIRMED_INTERVAL_SECONDS = 0.1
"""Heartbeat interval until the configuration is first confirmed to be current.

The member must not serve requests before that, so it asks more often."""


@dataclass(frozen=True)
class SendHeartbeat:
    """Effect: send a heartbeat to a control instance."""

    name: str
    heartbeat: MemberHeartbeat


@dataclass(frozen=True)
class _UnconfirmedCommit:
    """Index that the leader had committed, and when the member asked for it."""

    index: int
    sent_at: float


class MemberLease:
    """Renews the lease of one instance with the control leader.

    Parameters
    ----------
    member : Member
        This instance.
    control_names : tuple of str
        Names of the control instances.
    interval : float
        Heartbeat interval, in seconds.
    timings : MemberTimings
        Lease duration and clock drift.
    """

    def __init__(
        self,
        member: Member,
        control_names: tuple[str, ...],
        interval: float,
        timings: MemberTimings,
    ) -> None:
        self._member = member
        self._control_names = control_names
        self._interval = interval
        self._timings = timings
        self._target = control_names[0]
        self._next_heartbeat_at = float("-inf")
        self._lease_until = float("-inf")
        self._confirmed_at = float("-inf")
        self._unconfirmed: _UnconfirmedCommit | None = None
        self._last_reply_at = float("-inf")
        self._leader: str | None = None
        self._leaving = False

    @property
    def leader(self) -> str | None:
        """Return the last known control leader."""
        return self._leader

    @property
    def control_names(self) -> tuple[str, ...]:
        """Return the control instances last reported by the leader.

        Until the first report these are the ones passed to the constructor.
        """
        return self._control_names

    @property
    def is_leaving(self) -> bool:
        """Return whether the instance has requested its removal."""
        return self._leaving

    def is_held(self, now: float) -> bool:
        """Return whether the lease is valid: this member may act in its view."""
        return not self._leaving and now < self._lease_until

    def configuration_age(self, now: float) -> float:
        """Return the seconds since the configuration was last confirmed as current."""
        return now - self._confirmed_at

    def leave(self) -> None:
        """Release the lease and request removal with the next heartbeat."""
        self._leaving = True
        self._lease_until = float("-inf")
        self._next_heartbeat_at = float("-inf")

    def tick(
        self, config_index: int, synced_view: int, view: View, now: float
    ) -> SendHeartbeat | None:
        """Return the heartbeat to send now, if one is due."""
        if now < self._next_heartbeat_at:
            return None
        interval = self._interval
        if self._confirmed_at == float("-inf"):
            interval = min(interval, _UNCONFIRMED_INTERVAL_SECONDS)
        self._next_heartbeat_at = now + interval
        if now - self._last_reply_at > _REPLY_TIMEOUT_HEARTBEATS * interval:
            self._try_next_target()
        member = None if view.contains(self._member.identity) else self._member
        heartbeat = MemberHeartbeat(
            member, config_index, synced_view, self._leaving, now, accepts_packed=True
        )
        return SendHeartbeat(self._target, heartbeat)

    def on_update(self, config_index: int, last_index: int) -> None:
        """Process an update of the configuration, asked for or not.

        Parameters
        ----------
        config_index : int
            Index of the configuration after the update was applied.
        last_index : int
            Index at which the update ends; higher if the update left a gap.
        """
        pending = self._unconfirmed
        if pending is not None and config_index >= pending.index:
            self._confirmed_at = max(self._confirmed_at, pending.sent_at)
            self._unconfirmed = None
        if config_index < last_index:
            self._next_heartbeat_at = float("-inf")

    def on_reply(
        self, source: str, reply: HeartbeatReply, config_index: int, now: float
    ) -> None:
        """Process a heartbeat reply after its configuration update was applied.

        Parameters
        ----------
        source : str
            Name of the control instance that replied.
        reply : HeartbeatReply
            The reply.
        config_index : int
            Index of the configuration.
        now : float
            Monotonic time in seconds.
        """
        self._last_reply_at = now
        if reply.voters:
            self._control_names = reply.voters
            if self._target not in reply.voters:
                self._target = reply.voters[0]
        if reply.lease_ms > 0 and not self._leaving:
            usable = reply.lease_ms / 1000 * (1 - self._timings.clock_drift)
            self._lease_until = max(self._lease_until, reply.sent_at + usable)
        if reply.leader is None:
            return
        self._leader = reply.leader
        if reply.leader == source:
            self._on_leader_reply(reply, config_index)
        if reply.leader in self._control_names:
            self._target = reply.leader

    def _on_leader_reply(self, reply: HeartbeatReply, config_index: int) -> None:
        if config_index >= reply.commit_index:
            self._confirmed_at = max(self._confirmed_at, reply.sent_at)
            self._unconfirmed = None
            return
        if self._unconfirmed is None:
            self._unconfirmed = _UnconfirmedCommit(reply.commit_index, reply.sent_at)
        if reply.update is not None:
            # The update was a part of what this member lacks.
            self._next_heartbeat_at = float("-inf")

    def set_leader(self, leader: str) -> None:
        """Send heartbeats to a leader that has announced itself."""
        self._leader = leader
        if leader in self._control_names:
            self._target = leader

    def _try_next_target(self) -> None:
        position = 0
        if self._target in self._control_names:
            position = self._control_names.index(self._target)
        self._target = self._control_names[(position + 1) % len(self._control_names)]
