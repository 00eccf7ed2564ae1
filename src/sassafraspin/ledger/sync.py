"""Synchronization of records between the members of a new view."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from sassafraspin.ledger.messages import LedgerMessage, SyncReply, SyncRequest
from sassafraspin.ledger.placement import Placement
from sassafraspin.ledger.record import RequestRecord
from sassafraspin.ledger.store import RecordStore
from sassafraspin.membership import MemberIdentity

__all__ = ["RecordSync", "SendToMember", "SyncProgress", "batches"]

_MIN_RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 5.0
_MAX_RECORDS_PER_PART = 200


@dataclass(frozen=True)
class SendToMember:
    """Effect: send a message to another member."""

    name: str
    message: LedgerMessage


def batches(
    records: Sequence[RequestRecord], size: int
) -> Iterator[tuple[RequestRecord, ...]]:
    """Yield the records in batches of at most ``size``."""
    for start in range(0, len(records), size):
        yield tuple(records[start : start + size])


@dataclass
class _ReceivedParts:
    received: set[int] = field(default_factory=set)
    count: int | None = None

    @property
    def is_complete(self) -> bool:
        return self.count is not None and len(self.received) == self.count


class SyncProgress:
    """Tracks which members have sent all their records for one view.

    A retry starts a new attempt. The parts of each attempt are counted separately,
    because the records of a member may have changed in between.

    Parameters
    ----------
    view_number : int
        Number of the view.
    members : frozenset of str
        Names of the members that must send their records.
    """

    def __init__(self, view_number: int, members: frozenset[str]) -> None:
        self._view_number = view_number
        self._missing = set(members)
        self._parts: dict[tuple[str, int], _ReceivedParts] = {}
        self._attempt = 0

    @property
    def view_number(self) -> int:
        """Return the number of the view."""
        return self._view_number

    @property
    def attempt(self) -> int:
        """Return the number of the newest attempt."""
        return self._attempt

    @property
    def missing(self) -> frozenset[str]:
        """Return the members that have not sent all their records."""
        return frozenset(self._missing)

    @property
    def is_complete(self) -> bool:
        """Return whether every member has sent all its records."""
        return not self._missing

    def start_attempt(self) -> int:
        """Start the next attempt and return its number."""
        self._attempt += 1
        return self._attempt

    def record_part(self, name: str, attempt: int, part: int, last: bool) -> None:
        """Record the arrival of one part of a reply."""
        if name not in self._missing:
            return
        parts = self._parts.setdefault((name, attempt), _ReceivedParts())
        parts.received.add(part)
        if last:
            parts.count = part + 1
        if parts.is_complete:
            self._missing.discard(name)


class RecordSync:
    """Requests the records of every member of a new view, and answers such requests.

    Parameters
    ----------
    own : MemberIdentity
        This instance and its incarnation.
    placement : Placement
        Members that store each record.
    records : RecordStore
        Records stored on this member.
    """

    def __init__(
        self, own: MemberIdentity, placement: Placement, records: RecordStore
    ) -> None:
        self._own = own
        self._placement = placement
        self._records = records
        self._progress: SyncProgress | None = None
        self._next_retry_at = 0.0
        self._deferred_requests: dict[str, SyncRequest] = {}

    def start(self, now: float) -> list[SendToMember]:
        """Start synchronization after a view change.

        Also answers the deferred requests of members that installed this view earlier.
        """
        answers = [
            effect
            for name, request in list(self._deferred_requests.items())
            for effect in self.on_request(name, request)
        ]
        view = self._placement.view
        self._progress = None
        if not view.contains(self._own):
            return answers
        others = frozenset(
            member.name for member in view.members if member.name != self._own.name
        )
        if not others:
            self._placement.mark_synced()
            return answers
        self._progress = SyncProgress(view.number, others)
        return [*answers, *self._send_requests(now)]

    def tick(self, now: float) -> list[SendToMember]:
        """Retry requests to members that have not sent all their records."""
        if self._progress is None or now < self._next_retry_at:
            return []
        return self._send_requests(now)

    def on_request(self, name: str, request: SyncRequest) -> list[SendToMember]:
        """Send a member its records; defer the answer if its view is newer."""
        view = self._placement.view
        if request.view_number > view.number:
            self._deferred_requests[name] = request
            return []
        self._deferred_requests.pop(name, None)
        if request.view_number < view.number:
            return []
        parts = list(batches(self._records_for(name), _MAX_RECORDS_PER_PART)) or [()]
        return [
            SendToMember(
                name,
                SyncReply(
                    request.view_number,
                    request.attempt,
                    number,
                    number == len(parts) - 1,
                    part,
                ),
            )
            for number, part in enumerate(parts)
        ]

    def on_reply(self, source: MemberIdentity, reply: SyncReply, now: float) -> None:
        """Merge records; only a reply from a member of the view counts as its answer.

        A restarted process under the name of a member has another incarnation and has
        lost its records, so its reply must not complete the synchronization.
        """
        for record in reply.records:
            self._records.merge(record, now)
        progress = self._progress
        if progress is None or reply.view_number != progress.view_number:
            return
        if not self._placement.view.contains(source):
            return
        progress.record_part(source.name, reply.attempt, reply.part, reply.last)
        if progress.is_complete:
            self._progress = None
            self._placement.mark_synced()

    def _send_requests(self, now: float) -> list[SendToMember]:
        progress = self._progress
        assert progress is not None
        attempt = progress.start_attempt()
        delay = _MIN_RETRY_SECONDS * 2 ** (attempt - 1)
        self._next_retry_at = now + min(delay, _MAX_RETRY_SECONDS)
        request = SyncRequest(progress.view_number, attempt)
        return [SendToMember(name, request) for name in sorted(progress.missing)]

    def _records_for(self, name: str) -> list[RequestRecord]:
        return [
            record
            for record in self._records
            if any(item.name == name for item in self._placement.holders(record.key))
        ]
