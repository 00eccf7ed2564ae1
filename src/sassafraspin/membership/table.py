"""The control leader's table of members: who holds a lease, who joins or leaves."""

from dataclasses import dataclass

from sassafraspin.membership.messages import MemberHeartbeat
from sassafraspin.membership.view import Member, MemberIdentity, View

__all__ = ["MemberTable", "MemberTimings"]


@dataclass(frozen=True)
class MemberTimings:
    """Time limits of membership, in seconds.

    Parameters
    ----------
    lease : float
        Length of a member's lease.
    clock_drift : float
        Largest relative difference between two clocks' rates.
    view_interval : float
        Time between two looks at the members, so that changes are taken together.
    """

    lease: float = 3.0
    clock_drift: float = 0.05
    view_interval: float = 0.2

    @property
    def lease_outlived(self) -> float:
        """Return the time after which a granted lease has surely ended."""
        return self.lease * (1 + self.clock_drift)


@dataclass(frozen=True)
class _LastHeartbeat:
    heartbeat: MemberHeartbeat
    at: float


class MemberTable:
    """Grants leases and plans the next view; lives as long as one leadership.

    Parameters
    ----------
    timings : MemberTimings
        Time limits.
    now : float
        Monotonic time at which the leadership began, in seconds. Leases of an
        earlier leader may last for one lease from then on.
    """

    def __init__(self, timings: MemberTimings, now: float) -> None:
        self._timings = timings
        self._since = now
        self._next_plan_at = float("-inf")
        self._heartbeats: dict[MemberIdentity, _LastHeartbeat] = {}

    def grant(
        self,
        identity: MemberIdentity,
        heartbeat: MemberHeartbeat,
        view: View,
        now: float,
    ) -> float:
        """Note a heartbeat and return the lease it gets, in seconds.

        A member that is leaving, or not in the view, gets none.
        """
        self._heartbeats[identity] = _LastHeartbeat(heartbeat, now)
        if heartbeat.leaving or not view.contains(identity):
            return 0.0
        return self._timings.lease

    def plan_view(self, view: View, now: float) -> View | None:
        """Return the next view if the members have changed.

        A member is removed once its lease has surely ended or it has given the
        lease up; a restarted one takes its place only then.
        """
        if now < self._next_plan_at:
            return None
        self._next_plan_at = now + self._timings.view_interval
        kept = [member for member in view.members if not self._is_gone(member, now)]
        names = {member.name for member in kept}
        joining = [member for member in self._joining(now) if member.name not in names]
        members = tuple(sorted((*kept, *joining), key=lambda member: member.name))
        if members == view.members:
            return None
        self._forget_old(members, now)
        return View(view.number + 1, self._settled(view), members)

    def _is_gone(self, member: Member, now: float) -> bool:
        last = self._heartbeats.get(member.identity)
        if last is not None and last.heartbeat.leaving:
            return True
        granted = self._since if last is None else max(last.at, self._since)
        return now - granted > self._timings.lease_outlived

    def _joining(self, now: float) -> list[Member]:
        newest: dict[str, Member] = {}
        for last in self._heartbeats.values():
            member = last.heartbeat.member
            is_live = now - last.at <= self._timings.lease
            if member is None or last.heartbeat.leaving or not is_live:
                continue
            known = newest.get(member.name)
            if known is None or known.incarnation < member.incarnation:
                newest[member.name] = member
        return list(newest.values())

    def _settled(self, view: View) -> int:
        """Return the newest view whose members have all copied their records.

        A view without members has lost every record, so it never counts.
        """
        if not view.members:
            return view.settled
        for member in view.members:
            last = self._heartbeats.get(member.identity)
            if last is None or last.heartbeat.synced_view < view.number:
                return view.settled
        return view.number

    def _forget_old(self, members: tuple[Member, ...], now: float) -> None:
        identities = {member.identity for member in members}
        for identity, last in list(self._heartbeats.items()):
            is_old = now - last.at > self._timings.lease_outlived
            if is_old and identity not in identities:
                del self._heartbeats[identity]
