"""Copying of records between the members of a new view."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from sassafraspin.ledger.book import RecordBook
from sassafraspin.ledger.messages import LedgerMessage, SyncReply, SyncRequest
from sassafraspin.ledger.placement import Placement
from sassafraspin.ledger.record import RequestRecord
from sassafraspin.membership import MemberIdentity

__all__ = ["RecordSync", "SendToMember", "SyncProgress", "batches"]

_RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 5.0
_PART_RECORDS = 200


@dataclass(frozen=True)
class SendToMember:
    """Effect: send a message to another member."""

    name: str
    message: LedgerMessage


def batches(
    records: Sequence[RequestRecord], size: int
) -> Iterator[tuple[RequestRecord, ...]]:
    """Yield the records in pieces of at most ``size``."""
    for start in range(0, len(records), size):
        yield tuple(records[start : start + size])


@dataclass
class _Parts:
    received: set[int] = field(default_factory=set)
    count: int | None = None

    @property
    def is_whole(self) -> bool:
        return self.count is not None and len(self.received) == self.count


class SyncProgress:
    """Which members have sent all their records for one view.

    A repeated request starts another attempt, whose parts are counted apart: what a
    member holds may have changed in between.

    Parameters
    ----------
    view_number : int
        The view.
    members : frozenset of str
        Names of the members to hear from.
    """

    def __init__(self, view_number: int, members: frozenset[str]) -> None:
        self._view_number = view_number
        self._missing = set(members)
        self._parts: dict[tuple[str, int], _Parts] = {}
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
        """Return the members that have not sent everything."""
        return frozenset(self._missing)

    @property
    def is_done(self) -> bool:
        """Return whether every member has sent everything."""
        return not self._missing

    def start_attempt(self) -> int:
        """Begin another attempt and return its number."""
        self._attempt += 1
        return self._attempt

    def note_part(self, name: str, attempt: int, part: int, last: bool) -> None:
        """Record that a part has arrived."""
        if name not in self._missing:
            return
        parts = self._parts.setdefault((name, attempt), _Parts())
        parts.received.add(part)
        if last:
            parts.count = part + 1
        if parts.is_whole:
            self._missing.discard(name)


class RecordSync:
    """Asks every member of a new view for its records, and answers such questions.

    Parameters
    ----------
    own : MemberIdentity
        This run of this instance.
    placement : Placement
        Which member holds which records.
    records : RecordBook
        The records that this member holds.
    """

    def __init__(
        self, own: MemberIdentity, placement: Placement, records: RecordBook
    ) -> None:
        self._own = own
        self._placement = placement
        self._records = records
        self._progress: SyncProgress | None = None
        self._next_at = 0.0
        self._waiting: dict[str, SyncRequest] = {}

    def start(self, now: float) -> list[SendToMember]:
        """Begin to copy after a view change; answer who was ahead of this member."""
        answers = [
            effect
            for name, request in list(self._waiting.items())
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
            self._placement.note_synced()
            return answers
        self._progress = SyncProgress(view.number, others)
        return [*answers, *self._ask(now)]

    def tick(self, now: float) -> list[SendToMember]:
        """Repeat the question to members that have not answered."""
        if self._progress is None or now < self._next_at:
            return []
        return self._ask(now)

    def on_request(self, name: str, request: SyncRequest) -> list[SendToMember]:
        """Send a member its records; wait if this member is behind it."""
        view = self._placement.view
        if request.view_number > view.number:
            self._waiting[name] = request
            return []
        self._waiting.pop(name, None)
        if request.view_number < view.number:
            return []
        parts = list(batches(self._records_for(name), _PART_RECORDS)) or [()]
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
        """Take in records; only those of a member of the view count as its answer.

        A restarted process under the name of a member has nothing to tell.
        """
        for record in reply.records:
            self._records.merge(record, now)
        progress = self._progress
        if progress is None or reply.view_number != progress.view_number:
            return
        if not self._placement.view.contains(source):
            return
        progress.note_part(source.name, reply.attempt, reply.part, reply.last)
        if progress.is_done:
            self._progress = None
            self._placement.note_synced()

    def _ask(self, now: float) -> list[SendToMember]:
        progress = self._progress
        assert progress is not None
        attempt = progress.start_attempt()
        pause = _RETRY_SECONDS * 2 ** (attempt - 1)
        self._next_at = now + min(pause, _MAX_RETRY_SECONDS)
        request = SyncRequest(progress.view_number, attempt)
        return [SendToMember(name, request) for name in sorted(progress.missing)]

    def _records_for(self, name: str) -> list[RequestRecord]:
        return [
            record
            for record in self._records
            if any(item.name == name for item in self._placement.holders(record.key))
        ]
