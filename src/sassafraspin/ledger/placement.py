"""Placement of records on members, and detection of missing or lost records."""

from collections.abc import Iterator

from sassafraspin.ledger.record import RecordKey
from sassafraspin.membership import Member, MemberIdentity, View

__all__ = ["Placement"]


class Placement:
    """Primary and backups of each key, derived from the retained views.

    Parameters
    ----------
    own : MemberIdentity
        This instance and its incarnation.
    copies : int
        Number of members that store each record, including the primary.
    """

    def __init__(self, own: MemberIdentity, copies: int) -> None:
        self._own = own
        self._copies = copies
        self._views: tuple[View, ...] = (View(),)
        self._synced: set[int] = set()

    @property
    def view(self) -> View:
        """Return the current view."""
        return self._views[-1]

    @property
    def synced_view(self) -> int:
        """Return the newest view in which this member has completed synchronization."""
        return max(self._synced, default=0)

    def install(self, views: tuple[View, ...]) -> None:
        """Install the retained views, oldest first."""
        self._views = views
        oldest = views[0].number
        self._synced = {number for number in self._synced if number >= oldest}

    def mark_synced(self) -> None:
        """Record that synchronization for the current view is complete."""
        self._synced.add(self.view.number)

    def holders(self, key: RecordKey) -> tuple[Member, ...]:
        """Return the members that store a key's record, the primary first."""
        return self.view.ranked(key.hash_key, self._copies)

    def is_primary(self, key: RecordKey) -> bool:
        """Return whether this member is the primary of a key."""
        return _primary_identity(self.view, key) == self._own

    def has_all_records(self, key: RecordKey) -> bool:
        """Return whether this member has the newest record of a key, if one exists.

        This is true if the member has synchronized in the current view. It is also
        true if the member has been the primary of the key in each view since one in
        which it had synchronized, or since the empty first view.
        """
        if self.view.number in self._synced:
            return True
        for view in reversed(self._views):
            if not view.members:
                return True
            if _primary_identity(view, key) != self._own:
                return False
            if view.number in self._synced:
                return True
        return False

    def may_have_lost_record(self, key: RecordKey, min_copies: int) -> bool:
        """Return whether every copy of a key's record may have been lost.

        A record is acknowledged once ``min_copies`` members have stored it. It
        survives a view change if one of these members is still in the next settled
        view, in which all members have exchanged their records. It also survives if
        one of them was only disconnected and is a member again.
        """
        for view, settled in self._lossy_view_changes(min_copies):
            holders = view.ranked(key.hash_key, self._copies)
            gone = [
                item
                for item in holders
                if not settled.contains(item.identity)
                and not self.view.contains(item.identity)
            ]
            if holders and len(gone) >= min(min_copies, len(holders)):
                return True
        return False

    def _lossy_view_changes(self, min_copies: int) -> Iterator[tuple[View, View]]:
        """Yield each view that may have lost records, with the next settled view.

        Views that lost fewer members than ``min_copies`` are skipped.
        """
        for position, view in enumerate(self._views[:-1]):
            settled = self._next_settled(position)
            gone = sum(not settled.contains(item.identity) for item in view.members)
            if gone >= min(min_copies, len(view.members)) > 0:
                yield view, settled

    def _next_settled(self, position: int) -> View:
        """Return the first settled view from a position on, or the current view."""
        number = self._views[position].number
        settled = {view.settled for view in self._views[position + 1 :]}
        for view in self._views[position:]:
            if view.number >= number and view.number in settled:
                return view
        return self._views[-1]


def _primary_identity(view: View, key: RecordKey) -> MemberIdentity | None:
    ranked = view.ranked(key.hash_key, 1)
    return ranked[0].identity if ranked else None
