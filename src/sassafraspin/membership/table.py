"""Member table of the control leader: lease grants, joins and removals."""

import math
from dataclasses import dataclass

from sassafraspin.membership.messages import MemberHeartbeat
from sassafraspin.membership.view import Member, MemberIdentity, View

__all__ = ["MemberTable", "MemberTimings"]


@dataclass(frozen=True)
class MemberTimings:
    """Timeouts of membership, in seconds.

    Parameters
    ----------
    lease : float
        Duration of a member's lease.
    clock_drift : float
        Maximum relative difference between the rates of two clocks.
    view_interval : float
        Interval at which view changes are planned, so that changes are batched.
    """

    lease: float = 3.0
    clock_drift: float = 0.05
    view_interval: float = 0.2

    @property
    def max_lease_duration(self) -> float:
        """Return the time after which a granted lease has expired on every clock."""
        return self.lease * (1 + self.clock_drift)


@dataclass(frozen=True)
class _ReceivedHeartbeat:
    heartbeat: MemberHeartbeat
    received_at: float


class MemberTable:
    """Grants leases and plans view changes during one term of the control leader.

    Parameters
    ----------
    timings : MemberTimings
        Timeouts.
    now : float
        Monotonic time at which the term started, in seconds. Leases granted by an
        earlier leader may be valid for one lease duration from then on.
    """

    def __init__(self, timings: MemberTimings, now: float) -> None:
        self._timings = timings
        self._term_started_at = now
        self._next_plan_at = float("-inf")
        self._heartbeats: dict[MemberIdentity, _ReceivedHeartbeat] = {}

    def grant(
        self,
        identity: MemberIdentity,
        heartbeat: MemberHeartbeat,
        view: View,
        now: float,
    ) -> float:
        """Record a heartbeat and return the granted lease duration, in seconds.

        A member that is leaving, or is not in the view, is granted no lease.
        """
        self._heartbeats[identity] = _ReceivedHeartbeat(heartbeat, now)
        if heartbeat.leaving or not view.contains(identity):
            return 0.0
        return self._timings.lease

    def plan_view(self, view: View, now: float) -> View | None:
        """Return the next view if planning is due and the members have changed.

        A member is removed only after its lease has expired on every clock or it has
        released the lease. A restarted instance replaces its old incarnation only
        after that.
        """
        if now < self._next_plan_at:
            return None
        self._next_plan_at = now + self._timings.view_interval
        kept = [
            member for member in view.members if not self._is_removable(member, now)
        ]
        names = {member.name for member in kept}
        joining = [
            member for member in self._joining_members(now) if member.name not in names
        ]
        members = tuple(sorted((*kept, *joining), key=lambda member: member.name))
        if members == view.members:
            return None
        self._prune_heartbeats(members, now)
        return View(view.number + 1, self._settled(view), members)

    def silent_members(self, view: View, silence: float, now: float) -> list[Member]:
        """Return the members that have not reported for ``silence`` seconds.

        Members that have not reported in this term are among them.
        """
        return [
            member
            for member in view.members
            if now - self._last_report_at(member.identity) > silence
        ]

    def has_outlived_leases(self, since: float, now: float) -> bool:
        """Return whether no lease is valid that was granted before ``since``.

        A lease that an earlier leader granted may be valid for one lease duration from
        the start of this term.
        """
        granted_until = max(since, self._term_started_at)
        return now - granted_until > self._timings.max_lease_duration

    def reached_index(self, view: View) -> float:
        """Return the lowest log index that all members which may act have reported.

        It is infinite without such a member.
        """
        return min(self._reported_indexes(view).values(), default=math.inf)

    def lagging_members(self, index: int, view: View) -> list[str]:
        """Return the names of the members that may act and lack a log index."""
        reported = self._reported_indexes(view)
        return [name for name, reached in reported.items() if reached < index]

    def _reported_indexes(self, view: View) -> dict[str, int]:
        """Return the log index that each member which may act has reported.

        A member that leaves, or has been restarted since its last report, does not act.
        """
        newest = self._newest_incarnations()
        indexes = {}
        for member in view.members:
            last = self._heartbeats.get(member.identity)
            if last is not None and last.heartbeat.leaving:
                continue
            other = newest.get(member.name)
            if other is not None and self._has_replaced(other, member.identity):
                continue
            indexes[member.name] = 0 if last is None else last.heartbeat.config_index
        return indexes

    def _has_replaced(self, other: MemberIdentity, earlier: MemberIdentity) -> bool:
        """Return whether a later incarnation of an instance reported after this one."""
        if other.incarnation <= earlier.incarnation:
            return False
        return self._last_report_at(other) > self._last_report_at(earlier)

    def _newest_incarnations(self) -> dict[str, MemberIdentity]:
        """Return the newest incarnation of each instance that has reported."""
        newest: dict[str, MemberIdentity] = {}
        for identity in self._heartbeats:
            known = newest.get(identity.name)
            if known is None or known.incarnation < identity.incarnation:
                newest[identity.name] = identity
        return newest

    def _last_report_at(self, identity: MemberIdentity) -> float:
        last = self._heartbeats.get(identity)
        return float("-inf") if last is None else last.received_at

    def _is_removable(self, member: Member, now: float) -> bool:
        last = self._heartbeats.get(member.identity)
        if last is not None and last.heartbeat.leaving:
            return True
        granted = (
            self._term_started_at
            if last is None
            else max(last.received_at, self._term_started_at)
        )
        return now - granted > self._timings.max_lease_duration

    def _joining_members(self, now: float) -> list[Member]:
        newest: dict[str, Member] = {}
        for last in self._heartbeats.values():
            member = last.heartbeat.member
            is_live = now - last.received_at <= self._timings.lease
            if member is None or last.heartbeat.leaving or not is_live:
                continue
            known = newest.get(member.name)
            if known is None or known.incarnation < member.incarnation:
                newest[member.name] = member
        return list(newest.values())

    def _settled(self, view: View) -> int:
        """Return the number of the newest view whose members have all synchronized.

        A view without members has lost every record, so it is never settled.
        """
        if not view.members:
            return view.settled
        for member in view.members:
            last = self._heartbeats.get(member.identity)
            if last is None or last.heartbeat.synced_view < view.number:
                return view.settled
        return view.number

    def _prune_heartbeats(self, members: tuple[Member, ...], now: float) -> None:
        identities = {member.identity for member in members}
        for identity, last in list(self._heartbeats.items()):
            is_expired = now - last.received_at > self._timings.max_lease_duration
            if is_expired and identity not in identities:
                del self._heartbeats[identity]
