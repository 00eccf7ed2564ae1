"""Synchronization of records between the members of a new view.

A member asks every other member for its records, one part at a time: it asks for the
next part once it has received one. At most one part is in transit between two members,
apart from repeated requests.
"""

import itertools
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from sassafraspin.ledger.messages import LedgerMessage, SyncReply, SyncRequest
from sassafraspin.ledger.placement import Placement
from sassafraspin.ledger.record import RecordKey, RequestRecord
from sassafraspin.ledger.store import RecordStore
from sassafraspin.membership import MemberIdentity

__all__ = ["RecordSync", "SendToMember", "batches"]

_MIN_RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 5.0
_MAX_RECORDS_PER_PART = 200
_MAX_REQUEST_TIMES = 8
_UNUSED_SNAPSHOT_SECONDS = 3 * _MAX_RETRY_SECONDS
_ANY_SNAPSHOT = 0
_UNASKED_PARTS_PER_TICK = 2

_Item = TypeVar("_Item")


@dataclass(frozen=True)
class SendToMember:
    """Effect: send a message to another member."""

    name: str
    message: LedgerMessage


def batches(items: Sequence[_Item], size: int) -> Iterator[tuple[_Item, ...]]:
    """Yield the items in batches of at most ``size``."""
    for start in range(0, len(items), size):
        yield tuple(items[start : start + size])


@dataclass
class _ReceivedParts:
    received: set[int] = field(default_factory=set)
    count: int | None = None

    @property
    def is_complete(self) -> bool:
        return self.count is not None and len(self.received) == self.count


@dataclass
class _MemberProgress:
    """Progress with one member that has not sent all its records.

    Of a member that sends one part at a time, parts of one snapshot are received in
    order. Of a member that sends all parts unasked, the parts of each attempt are
    counted separately, because its records may have changed in between.
    """

    attempt: int = 0
    snapshot: int = _ANY_SNAPSHOT
    next_part: int = 0
    request_times: deque[float] = field(
        default_factory=lambda: deque(maxlen=_MAX_REQUEST_TIMES)
    )
    retry_delay: float = _MIN_RETRY_SECONDS
    next_retry_at: float = 0.0
    unasked: dict[int, _ReceivedParts] = field(default_factory=dict)

    def request(self, view_number: int, now: float) -> SyncRequest:
        """Return a request for the next part; a repetition doubles the delay."""
        self.attempt += 1
        self.request_times.append(now)
        self.next_retry_at = now + self.retry_delay
        self.retry_delay = min(2 * self.retry_delay, _MAX_RETRY_SECONDS)
        return SyncRequest(view_number, self.attempt, self.next_part, self.snapshot)

    def receive(self, reply: SyncReply, now: float) -> bool:
        """Return whether a reply contains the next part, and expect the one after it.

        The first part of a newer snapshot replaces an older one, which the member does
        not keep any more.
        """
        if reply.snapshot > self.snapshot and reply.part == 0:
            self.snapshot = reply.snapshot
            self.next_part = 0
        if (reply.snapshot, reply.part) != (self.snapshot, self.next_part):
            return False
        self.next_part += 1
        self._reset_delay(reply.attempt, now)
        return True

    def receive_unasked(self, reply: SyncReply) -> bool:
        """Return whether a reply completes the parts of an attempt."""
        parts = self.unasked.setdefault(reply.attempt, _ReceivedParts())
        parts.received.add(reply.part)
        if reply.last:
            parts.count = reply.part + 1
        return parts.is_complete

    def _reset_delay(self, attempt: int, now: float) -> None:
        """Set the delay to twice the time of an answer, within the limits.

        A part that takes long is then not requested again while it is in transit.
        """
        position = attempt - self.attempt - 1
        delay = _MAX_RETRY_SECONDS
        if -len(self.request_times) <= position < 0:
            delay = min(delay, 2 * (now - self.request_times[position]))
        self.retry_delay = max(delay, _MIN_RETRY_SECONDS)


@dataclass
class _Snapshot:
    """Keys of the records for one member, pinned while it asks for the parts."""

    number: int
    parts: tuple[tuple[RecordKey, ...], ...]
    used_at: float


@dataclass
class _UnaskedAnswer:
    """Answer to a member of an older build, which cannot ask for a part."""

    request: SyncRequest
    parts: tuple[tuple[RecordKey, ...], ...]
    next_part: int = 0


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
        self._missing: dict[str, _MemberProgress] = {}
        self._snapshots: dict[str, _Snapshot] = {}
        self._unasked_answers: dict[str, _UnaskedAnswer] = {}
        self._snapshot_numbers = itertools.count(_ANY_SNAPSHOT + 1)
        self._deferred_requests: dict[str, SyncRequest] = {}

    def start(self, now: float) -> list[SendToMember]:
        """Start synchronization after a view change.

        Also answers the deferred requests of members that installed this view earlier.
        """
        self._snapshots.clear()
        self._unasked_answers.clear()
        self._missing.clear()
        answers = [
            effect
            for name, request in list(self._deferred_requests.items())
            for effect in self.on_request(name, request, now)
        ]
        view = self._placement.view
        if not view.contains(self._own):
            return answers
        self._missing = {
            member.name: _MemberProgress()
            for member in sorted(view.members, key=lambda member: member.name)
            if member.name != self._own.name
        }
        if not self._missing:
            self._placement.mark_synced()
        return [*answers, *self.tick(now)]

    def tick(self, now: float) -> list[SendToMember]:
        """Repeat requests that were not answered in time, and send unasked parts."""
        for name, snapshot in list(self._snapshots.items()):
            if now - snapshot.used_at >= _UNUSED_SNAPSHOT_SECONDS:
                del self._snapshots[name]
        requests = [
            self._ask(name, progress, now)
            for name, progress in self._missing.items()
            if now >= progress.next_retry_at
        ]
        parts = [
            effect
            for name in list(self._unasked_answers)
            for effect in self._unasked_parts(name)
        ]
        return [*requests, *parts]

    def on_request(
        self, name: str, request: SyncRequest, now: float
    ) -> list[SendToMember]:
        """Send a member its records; defer the answer if its view is newer."""
        view = self._placement.view
        if request.view_number > view.number:
            self._deferred_requests[name] = request
            return []
        self._deferred_requests.pop(name, None)
        if request.view_number < view.number:
            return []
        if request.part is None:
            return self._start_unasked(name, request)
        return self._one_part(name, request, request.part, now)

    def on_reply(
        self, source: MemberIdentity, reply: SyncReply, now: float
    ) -> list[SendToMember]:
        """Merge records; only a reply from a member of the view counts as its answer.

        A restarted process under the name of a member has another incarnation and has
        lost its records, so its reply must not complete the synchronization.
        """
        for record in reply.records:
            self._records.merge(record, now)
        view = self._placement.view
        progress = self._missing.get(source.name)
        if progress is None or reply.view_number != view.number:
            return []
        if not view.contains(source):
            return []
        if reply.snapshot == _ANY_SNAPSHOT:
            is_complete = progress.receive_unasked(reply)
        elif not progress.receive(reply, now):
            return []
        elif not reply.last:
            return [self._ask(source.name, progress, now)]
        else:
            is_complete = True
        if is_complete:
            del self._missing[source.name]
            if not self._missing:
                self._placement.mark_synced()
        return []

    def _ask(self, name: str, progress: _MemberProgress, now: float) -> SendToMember:
        request = progress.request(self._placement.view.number, now)
        return SendToMember(name, request)

    def _one_part(
        self, name: str, request: SyncRequest, part: int, now: float
    ) -> list[SendToMember]:
        """Send one part of a snapshot, or the first part if it is not kept any more.

        Records are read when their part is sent, so they may be newer than the
        snapshot, and expired ones are left out.
        """
        snapshot = self._snapshots.get(name)
        if snapshot is None:
            snapshot = _Snapshot(
                next(self._snapshot_numbers), self._parts_for(name), now
            )
            self._snapshots[name] = snapshot
        snapshot.used_at = now
        if request.snapshot != snapshot.number:
            part = 0
        if not 0 <= part < len(snapshot.parts):
            return []
        is_last = part == len(snapshot.parts) - 1
        records = self._current_records(snapshot.parts[part])
        reply = SyncReply(
            request.view_number,
            request.attempt,
            part,
            is_last,
            records,
            snapshot.number,
        )
        return [SendToMember(name, reply)]

    def _start_unasked(self, name: str, request: SyncRequest) -> list[SendToMember]:
        """Send the first unasked parts, unless an earlier attempt is being answered.

        The member counts the parts of each attempt, so the earlier answer completes.
        """
        if name in self._unasked_answers:
            return []
        self._unasked_answers[name] = _UnaskedAnswer(request, self._parts_for(name))
        return self._unasked_parts(name)

    def _unasked_parts(self, name: str) -> list[SendToMember]:
        """Send the next unasked parts, few at a time because queues are bounded."""
        answer = self._unasked_answers[name]
        start = answer.next_part
        answer.next_part = min(start + _UNASKED_PARTS_PER_TICK, len(answer.parts))
        last = len(answer.parts) - 1
        if answer.next_part > last:
            del self._unasked_answers[name]
        request = answer.request
        return [
            SendToMember(
                name,
                SyncReply(
                    request.view_number,
                    request.attempt,
                    part,
                    part == last,
                    self._current_records(answer.parts[part]),
                ),
            )
            for part in range(start, answer.next_part)
        ]

    def _current_records(
        self, keys: tuple[RecordKey, ...]
    ) -> tuple[RequestRecord, ...]:
        records = [self._records.get(key) for key in keys]
        return tuple(record for record in records if record is not None)

    def _parts_for(self, name: str) -> tuple[tuple[RecordKey, ...], ...]:
        """Return the keys of the records that a member must store, in parts."""
        keys = [
            record.key
            for record in self._records
            if any(item.name == name for item in self._placement.holders(record.key))
        ]
        return tuple(batches(keys, _MAX_RECORDS_PER_PART)) or ((),)
