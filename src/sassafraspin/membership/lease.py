"""Member side of membership: heartbeats, lease and configuration freshness."""

from dataclasses import dataclass

from sassafraspin.membership.messages import HeartbeatReply, MemberHeartbeat
from sassafraspin.membership.table import MemberTimings
from sassafraspin.membership.view import Member, View

__all__ = ["LeaderClaim", "SendHeartbeat", "MemberLease"]

_LEADER_TIMEOUT_HEARTBEATS = 2
"""Heartbeats without contact with the leader after which it is searched for."""

_FIRST_SEARCH_INTERVAL_SECONDS = 0.1
"""Interval of the first heartbeats of a search; doubles up to the usual interval."""

_UNCONFIRMED_INTERVAL_SECONDS = 0.1
"""Heartbeat interval until the configuration is first confirmed to be current.

The member must not serve requests before that, so it asks more often."""


@dataclass(frozen=True)
class SendHeartbeat:
    """Effect: send a heartbeat to a control instance."""

    name: str
    heartbeat: MemberHeartbeat


@dataclass(frozen=True)
class LeaderClaim:
    """A statement about who leads.

    Parameters
    ----------
    leader : str
        Name of the control leader.
    term : int
        Term in which it leads; 0 if the sender does not report terms.
    source : str
        Control instance that made the statement.
    received_at : float
        Monotonic time at which the statement, or a later one of the leader itself,
        was received, in seconds.
    """

    leader: str
    term: int
    source: str
    received_at: float


@dataclass(frozen=True)
class _UnconfirmedCommit:
    """Index that the leader had committed, and when the member asked for it."""

    index: int
    sent_at: float


class MemberLease:
    """Renews the lease of one instance with the control leader.

    Replies that name no leader say nothing about who leads: only replies and
    announcements of a leader itself count as contact with it. Of two statements the one
    with the higher term holds. A statement that the leader does not renew ends with the
    lease.

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
        self._is_target_asked = False
        self._next_heartbeat_at = float("-inf")
        self._lease_until = float("-inf")
        self._confirmed_at = float("-inf")
        self._unconfirmed: _UnconfirmedCommit | None = None
        self._leader_contact_at = float("-inf")
        self._search_interval = _FIRST_SEARCH_INTERVAL_SECONDS
        self._claim: LeaderClaim | None = None
        self._leaving = False

    @property
    def _usable_seconds(self) -> float:
        """Return the lease duration that has passed on no clock before its end."""
        return self._timings.lease * (1 - self._timings.clock_drift)

    @property
    def leader(self) -> str | None:
        """Return the control leader, ``None`` if it is not known."""
        return None if self._claim is None else self._claim.leader

    @property
    def claim(self) -> LeaderClaim | None:
        """Return the statement that names the leader, ``None`` if there is none."""
        return self._claim

    def hears_leader(self, now: float) -> bool:
        """Return whether the leader itself said within a lease that it leads."""
        claim = self._claim
        if claim is None or claim.source != claim.leader:
            return False
        return now - claim.received_at <= self._timings.lease

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

    def may_act_alone(self, now: float) -> bool:
        """Return whether this member may act without asking the leader.

        The leader waits for members that lack a command only as long as they may act:
        until the lease has ended that was valid when they last were up to date.
        """
        return self.is_held(now) and now < self._confirmed_at + self._usable_seconds

    def configuration_age(self, now: float) -> float:
        """Return the seconds since the configuration was last confirmed as current."""
        return now - self._confirmed_at

    def leave(self) -> None:
        """Release the lease and request removal with the next heartbeat."""
        self._leaving = True
        self._lease_until = float("-inf")
        self.report_soon()

    def report_soon(self) -> None:
        """Send the next heartbeat without waiting for the interval."""
        self._next_heartbeat_at = float("-inf")

    def search_leader(self) -> None:
        """Ask the other control instances who leads: the leader does not respond."""
        if self._leader_contact_at > float("-inf"):
            self._leader_contact_at = float("-inf")
            self._search_interval = _FIRST_SEARCH_INTERVAL_SECONDS
            self.report_soon()

    def tick(
        self, config_index: int, synced_view: int, view: View, now: float
    ) -> SendHeartbeat | None:
        """Return the heartbeat to send now, if one is due."""
        claim = self._claim
        if claim is not None and now - claim.received_at > self._timings.lease:
            self._claim = None
        if now < self._next_heartbeat_at:
            return None
        self._next_heartbeat_at = now + self._next_interval(now)
        self._is_target_asked = True
        # Without a lease, this member may have been removed, and its address forgotten.
        is_listed = view.contains(self._member.identity) and self.is_held(now)
        member = None if is_listed else self._member
        heartbeat = MemberHeartbeat(
            member, config_index, synced_view, self._leaving, now, accepts_packed=True
        )
        return SendHeartbeat(self._target, heartbeat)

    def _next_interval(self, now: float) -> float:
        """Return the time until the next heartbeat; during a search, move on."""
        interval = self._interval
        if self._confirmed_at == float("-inf"):
            interval = min(interval, _UNCONFIRMED_INTERVAL_SECONDS)
        if now - self._leader_contact_at <= _LEADER_TIMEOUT_HEARTBEATS * interval:
            return interval
        if self._is_target_asked:
            self._try_next_target()
        interval = min(self._search_interval, interval)
        self._search_interval = 2 * interval
        return interval

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
            self.report_soon()

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
        if not self._adopt(source, reply, now):
            return
        if reply.leader != source:
            if self._target != reply.leader:
                self._set_target(reply.leader)
                self.report_soon()
            return
        if reply.lease_ms > 0 and not self._leaving:
            usable = reply.lease_ms / 1000 * (1 - self._timings.clock_drift)
            self._lease_until = max(self._lease_until, reply.sent_at + usable)
        self._on_leader_reply(reply, config_index)

    def on_announcement(
        self, source: str, reply: HeartbeatReply, config_index: int, now: float
    ) -> None:
        """Process a message that a leader sends unasked, as for ``on_reply``.

        A new leader, and one whose update was a part of what this member lacks, gets a
        report soon.
        """
        known = self._claim
        if reply.leader != source or not self._adopt(source, reply, now):
            return
        is_new = known is None or known.leader != source or known.term != reply.term
        is_partial = reply.update is not None and config_index < reply.commit_index
        if is_new or is_partial:
            self.report_soon()

    def _adopt(self, source: str, reply: HeartbeatReply, now: float) -> bool:
        """Accept the statement of a message about who leads, unless it is outdated.

        Of the other control instances, only a statement about a newer term counts, so
        that they do not prolong what they heard from the leader.
        """
        if reply.leader is None:
            return False
        known = self._claim
        is_outdated = known is not None and 0 < reply.term < known.term
        if is_outdated:
            return False
        is_from_leader = reply.leader == source
        is_known = known is not None and known.leader == reply.leader
        if is_from_leader or not is_known:
            self._claim = LeaderClaim(reply.leader, reply.term, source, now)
        if is_from_leader:
            self._leader_contact_at = now
            self._search_interval = _FIRST_SEARCH_INTERVAL_SECONDS
            if reply.voters:
                self._control_names = reply.voters
            self._set_target(source)
        return True

    def _on_leader_reply(self, reply: HeartbeatReply, config_index: int) -> None:
        if config_index >= reply.commit_index:
            self._confirmed_at = max(self._confirmed_at, reply.sent_at)
            self._unconfirmed = None
            return
        if self._unconfirmed is None:
            self._unconfirmed = _UnconfirmedCommit(reply.commit_index, reply.sent_at)
        if reply.update is not None:
            # The update was a part of what this member lacks.
            self.report_soon()

    def _set_target(self, name: str) -> None:
        if name in self._control_names:
            self._is_target_asked = self._is_target_asked and name == self._target
            self._target = name
        elif self._target not in self._control_names:
            self._target = self._control_names[0]

    def _try_next_target(self) -> None:
        position = 0
        if self._target in self._control_names:
            position = self._control_names.index(self._target)
        self._target = self._control_names[(position + 1) % len(self._control_names)]
