"""In-memory store of the request records of one member."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from sassafraspin.ledger.record import RecordKey, RecordState, RequestRecord
from sassafraspin.membership import MemberIdentity, View

__all__ = ["RecordStore"]


@dataclass
class _StoredRecord:
    record: RequestRecord
    updated_at: float


class RecordStore:
    """Records by key, ordered by their last change, with time-based expiry.

    Parameters
    ----------
    window : float
        Retention period of a record after its last change, in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._records: OrderedDict[RecordKey, _StoredRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[RequestRecord]:
        return (stored.record for stored in self._records.values())

    def get(self, key: RecordKey) -> RequestRecord | None:
        """Return the record stored for a key."""
        stored = self._records.get(key)
        return None if stored is None else stored.record

    def store(self, record: RequestRecord, now: float) -> None:
        """Store a record, replacing an existing one."""
        self._records[record.key] = _StoredRecord(record, now)
        self._records.move_to_end(record.key)

    def merge(self, record: RequestRecord, now: float) -> None:
        """Store another member's copy if it is newer than the own one."""
        if record.supersedes(self.get(record.key)):
            self.store(record, now)

    def expire(self, view: View, now: float) -> None:
        """Expire records older than the window.

        A claimed record whose entry instance is still a member becomes ``UNKNOWN``.
        """
        while self._records:
            key, stored = next(iter(self._records.items()))
            if now - stored.updated_at < self._window:
                return
            record = stored.record
            owner = MemberIdentity(record.entry, record.entry_incarnation)
            if record.state is RecordState.CLAIMED and view.contains(owner):
                self.store(replace(record, state=RecordState.UNKNOWN), now)
            else:
                del self._records[key]
