"""The records that a member holds, oldest change first."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from sassafraspin.ledger.record import RecordKey, RecordState, RequestRecord
from sassafraspin.membership import MemberIdentity, View

__all__ = ["RecordBook"]


@dataclass
class _Held:
    record: RequestRecord
    updated_at: float


class RecordBook:
    """Records by key, kept for a window of time.

    Parameters
    ----------
    window : float
        Time for which a record is kept after its last change, in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._records: OrderedDict[RecordKey, _Held] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[RequestRecord]:
        return (held.record for held in self._records.values())

    def get(self, key: RecordKey) -> RequestRecord | None:
        """Return the record held for a key."""
        held = self._records.get(key)
        return None if held is None else held.record

    def store(self, record: RequestRecord, now: float) -> None:
        """Hold a record in place of an older one."""
        self._records[record.key] = _Held(record, now)
        self._records.move_to_end(record.key)

    def merge(self, record: RequestRecord, now: float) -> None:
        """Hold another member's copy if it says more than the own one."""
        if record.supersedes(self.get(record.key)):
            self.store(record, now)

    def expire(self, view: View, now: float) -> None:
        """Forget records older than the window; those in flight become unknown."""
        while self._records:
            key, held = next(iter(self._records.items()))
            if now - held.updated_at < self._window:
                return
            record = held.record
            owner = MemberIdentity(record.entry, record.entry_incarnation)
            if record.state is RecordState.CLAIMED and view.contains(owner):
                self.store(replace(record, state=RecordState.UNKNOWN), now)
            else:
                del self._records[key]
