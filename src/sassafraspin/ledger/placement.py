"""Where records belong, and for which keys a member knows every record."""

from collections.abc import Iterator

from sassafraspin.ledger.record import RecordKey
from sassafraspin.membership import Member, MemberIdentity, View

__all__ = ["Placement"]


class Placement:
    """Homes and backup copies by the views of the retention time.

    Parameters
    ----------
    own : MemberIdentity
        This run of this instance.
    copies : int
        Members that hold each record, the home included.
    """

    def __init__(self, own: MemberIdentity, copies: int) -> None:
        self._own = own
        self._copies = copies
        self._views: tuple[View, ...] = (View(),)
        self._synced: set[int] = set()

    @property
    def view(self) -> View:
        """Return the view in force."""
        return self._views[-1]

    @property
    def synced_view(self) -> int:
        """Return the newest view in which every record was copied to this member."""
        return max(self._synced, default=0)

    def install(self, views: tuple[View, ...]) -> None:
        """Take over the views of the retention time, oldest first."""
        self._views = views
        oldest = views[0].number
        self._synced = {number for number in self._synced if number >= oldest}

    def note_synced(self) -> None:
        """Record that every record of the view in force was copied here."""
        self._synced.add(self.view.number)

    def holders(self, key: RecordKey) -> tuple[Member, ...]:
        """Return the members that hold a record, the home first."""
        return self.view.ranked(key.placement, self._copies)

    def is_home(self, key: RecordKey) -> bool:
        """Return whether this member is the home of a key."""
        return _home_identity(self.view, key) == self._own

    def knows_all(self, key: RecordKey) -> bool:
        """Return whether this member holds every record that exists for a key.

        That is so once it has synced in the view in force, or if it has been the
        key's home in each view since one in which it had, or since the start.
        """
        if self.view.number in self._synced:
            return True
        for view in reversed(self._views):
            if not view.members:
                return True
            if _home_identity(view, key) != self._own:
                return False
            if view.number in self._synced:
                return True
        return False

    def may_be_lost(self, key: RecordKey, least_copies: int) -> bool:
        """Return whether every copy of a record may have vanished.

        A record is acknowledged once ``least_copies`` members hold it. One that was
        made in a view lives on if a holder of that view is still a member in the
        next settled view, when every member has copied what the others held, or if
        one was only cut off and is a member again.
        """
        for view, settled in self._unsafe_pairs(least_copies):
            holders = view.ranked(key.placement, self._copies)
            gone = [
                item
                for item in holders
                if not settled.contains(item.identity)
                and not self.view.contains(item.identity)
            ]
            if holders and len(gone) >= min(least_copies, len(holders)):
                return True
        return False

    def _unsafe_pairs(self, least_copies: int) -> Iterator[tuple[View, View]]:
        """Yield views that lost members before the next settled view, and that view.

        Views that lost fewer members than there are copies are passed over.
        """
        for position, view in enumerate(self._views[:-1]):
            settled = self._next_settled(position)
            gone = sum(not settled.contains(item.identity) for item in view.members)
            if gone >= min(least_copies, len(view.members)) > 0:
                yield view, settled

    def _next_settled(self, position: int) -> View:
        """Return the first settled view from a position on, or the one in force."""
        number = self._views[position].number
        settled = {view.settled for view in self._views[position + 1 :]}
        for view in self._views[position:]:
            if view.number >= number and view.number in settled:
                return view
        return self._views[-1]


def _home_identity(view: View, key: RecordKey) -> MemberIdentity | None:
    ranked = view.ranked(key.placement, 1)
    return ranked[0].identity if ranked else None
