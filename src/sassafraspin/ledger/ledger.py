"""Aggregate of one member's request records: as home, as backup and while syncing.

A home answers a claim only after enough members of the same view hold the record.
A backup refuses copies of an older view, and a new home answers only after every
member of its view has sent what it holds, so two homes never grant the same key.
"""

import itertools
from dataclasses import dataclass

from msgspec.structs import replace

from sassafraspin.ledger.book import RecordBook
from sassafraspin.ledger.messages import (
    Claim,
    ClaimAnswer,
    ClaimDecision,
    CloseClaim,
    CopyAck,
    CopyRecords,
    LedgerMessage,
    SyncReply,
    SyncRequest,
)
from sassafraspin.ledger.placement import Placement
from sassafraspin.ledger.record import RecordKey, RecordState, RequestRecord
from sassafraspin.ledger.sync import RecordSync, SendToMember, batches
from sassafraspin.membership import MemberIdentity, View
from sassafraspin.settings import LedgerSettings

__all__ = ["Ledger", "SendToMember"]

_LEAST_COPIES = 2
_FULL_COPY_SECONDS = 0.25
_CLOSE_BATCH_RECORDS = 200

_NO_ACK = 0
"""Identity of copies that nobody waits for."""


@dataclass
class _PendingClaim:
    record: RequestRecord
    copy_id: int
    waiting_for: set[str]
    acknowledged: int
    full_until: float
    asked_by: str


class Ledger:
    """Request records that this member holds.

    Parameters
    ----------
    own : MemberIdentity
        This run of this instance.
    settings : LedgerSettings
        Number of copies, window and bounds.
    """

    def __init__(self, own: MemberIdentity, settings: LedgerSettings) -> None:
        self._own = own
        self._settings = settings
        self._placement = Placement(own, settings.backup_copies + 1)
        self._records = RecordBook(settings.record_window_ms / 1000)
        self._pending: dict[int, _PendingClaim] = {}
        self._copy_ids = itertools.count(1)
        self._sync = RecordSync(own, self._placement, self._records)
        self._closed: dict[str, list[RequestRecord]] = {}
        self._effects: list[SendToMember] = []

    @property
    def synced_view(self) -> int:
        """Return the newest view in which every record was copied to this member."""
        return self._placement.synced_view

    @property
    def record_count(self) -> int:
        """Return the number of records held."""
        return len(self._records)

    def record(self, key: RecordKey) -> RequestRecord | None:
        """Return the record held for a key."""
        return self._records.get(key)

    def owns(self, key: RecordKey) -> bool:
        """Return whether this member alone decides on a key in the view in force.

        Every other member has then moved to this view, or this member has decided
        on the key in each view since one in which that was so. The lease is the
        caller's to check.
        """
        return self._placement.is_home(key) and self._placement.knows_all(key)

    def install_views(self, views: tuple[View, ...], now: float) -> list[SendToMember]:
        """Take over a newer view; claims that are being copied must be asked again."""
        if views[-1].number <= self._placement.view.number:
            return []
        for pending in list(self._pending.values()):
            self._end_claim(pending, ClaimDecision.NOT_READY)
        self._placement.install(views)
        self._effects += self._sync.start(now)
        return self._take_effects()

    def tick(self, lease_held: bool, now: float) -> list[SendToMember]:
        """Let time pass: repeat sync requests, send closes, expire records."""
        self._effects += self._sync.tick(now)
        for pending in list(self._pending.values()):
            self._grant_if_copied(pending, lease_held, now)
        self._send_closed()
        self._records.expire(self._placement.view, now)
        return self._take_effects()

    def receive(
        self, source: MemberIdentity, message: LedgerMessage, lease: bool, now: float
    ) -> list[SendToMember]:
        """Handle a message.

        Parameters
        ----------
        source : MemberIdentity
            Sender.
        message : LedgerMessage
            What it sent.
        lease : bool
            Whether this member holds its lease now.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of SendToMember
            Messages to send.
        """
        match message:
            case Claim():
                self._on_claim(source, message, lease, now)
            case CloseClaim():
                self._on_close(message, now)
            case CopyRecords():
                self._on_copy(source, message, now)
            case CopyAck():
                self._on_copy_ack(source, message, lease, now)
            case SyncRequest():
                self._effects += self._sync.on_request(source.name, message)
            case SyncReply():
                self._sync.on_reply(source, message, now)
            case ClaimAnswer():
                pass
        return self._take_effects()

    # Claims

    def _on_claim(
        self, source: MemberIdentity, claim: Claim, lease: bool, now: float
    ) -> None:
        key = claim.key
        if not lease or not self.owns(key):
            self._answer(source.name, claim.request_id, ClaimDecision.NOT_READY)
            return
        record = self._records.get(key)
        if record is None and self._placement.may_be_lost(key, _LEAST_COPIES):
            record = self._new_record(source, claim, 1, RecordState.UNKNOWN)
            self._records.store(record, now)
        if record is None:
            self._start_claim(source, claim, 1, now)
        elif record.digest != claim.digest:
            self._answer(source.name, claim.request_id, ClaimDecision.KEY_REUSED)
        elif record.state is RecordState.NOT_RUN:
            self._start_claim(source, claim, record.attempt + 1, now)
        else:
            self._answer_known(source, claim, record, now)

    def _answer_known(
        self, source: MemberIdentity, claim: Claim, record: RequestRecord, now: float
    ) -> None:
        match record.state:
            case RecordState.ANSWERED:
                decision = ClaimDecision.ANSWERED
            case RecordState.UNKNOWN:
                decision = ClaimDecision.UNKNOWN
            case _:
                decision = self._decide_claimed(source, claim, record)
        if decision is None:
            return
        if decision is ClaimDecision.UNKNOWN and record.state is RecordState.CLAIMED:
            self._change_state(record, RecordState.UNKNOWN, now)
        self._answer(source.name, claim.request_id, decision)

    def _decide_claimed(
        self, source: MemberIdentity, claim: Claim, record: RequestRecord
    ) -> ClaimDecision | None:
        """Decide on a claim whose key is claimed; ``None`` while it is copied."""
        owner = MemberIdentity(record.entry, record.entry_incarnation)
        if claim.request_id == record.request_id and source == owner:
            if any(item.record == record for item in self._pending.values()):
                return None
            return ClaimDecision.GRANTED
        if self._placement.view.contains(owner):
            return ClaimDecision.IN_FLIGHT
        return ClaimDecision.UNKNOWN

    def _start_claim(
        self, source: MemberIdentity, claim: Claim, attempt: int, now: float
    ) -> None:
        if len(self._records) >= self._settings.records:
            self._answer(source.name, claim.request_id, ClaimDecision.FULL)
            return
        record = self._new_record(source, claim, attempt, RecordState.CLAIMED)
        self._records.store(record, now)
        backups = self._backups(record.key)
        pending = _PendingClaim(
            record,
            next(self._copy_ids),
            set(backups),
            0,
            now + _FULL_COPY_SECONDS,
            source.name,
        )
        self._pending[pending.copy_id] = pending
        copy = CopyRecords(self._placement.view.number, pending.copy_id, (record,))
        for name in backups:
            self._send(name, copy)
        self._grant_if_copied(pending, True, now)

    def _on_copy(self, source: MemberIdentity, copy: CopyRecords, now: float) -> None:
        """Hold copies of this view; an older home must not get them acknowledged."""
        if copy.view_number != self._placement.view.number:
            return
        for record in copy.records:
            self._records.merge(record, now)
        if copy.copy_id != _NO_ACK:
            self._send(source.name, CopyAck(copy.view_number, copy.copy_id))

    def _on_copy_ack(
        self, source: MemberIdentity, ack: CopyAck, lease: bool, now: float
    ) -> None:
        """Count a copy, unless a restarted process acknowledges it.

        Such a one is not yet a member, and not what the view counts on.
        """
        pending = self._pending.get(ack.copy_id)
        if pending is None or ack.view_number != self._placement.view.number:
            return
        if not self._placement.view.contains(source):
            return
        if source.name in pending.waiting_for:
            pending.waiting_for.discard(source.name)
            pending.acknowledged += 1
        self._grant_if_copied(pending, lease, now)

    def _grant_if_copied(self, pending: _PendingClaim, lease: bool, now: float) -> None:
        """Grant once all copies are held, or after a while if enough are."""
        if not lease:
            return
        is_enough = pending.acknowledged + 1 >= _LEAST_COPIES
        if not pending.waiting_for or (is_enough and now >= pending.full_until):
            self._end_claim(pending, ClaimDecision.GRANTED)

    def _end_claim(self, pending: _PendingClaim, decision: ClaimDecision) -> None:
        del self._pending[pending.copy_id]
        self._answer(pending.asked_by, pending.record.request_id, decision)

    def _on_close(self, close: CloseClaim, now: float) -> None:
        record = self._records.get(close.key)
        if record is None or record.request_id != close.request_id:
            return
        if record.state is not RecordState.CLAIMED:
            return
        for pending in list(self._pending.values()):
            if pending.record == record:
                del self._pending[pending.copy_id]
        self._change_state(record, close.state, now)

    def _change_state(
        self, record: RequestRecord, state: RecordState, now: float
    ) -> None:
        closed = replace(record, state=state)
        self._records.store(closed, now)
        for name in self._backups(record.key):
            self._closed.setdefault(name, []).append(closed)

    def _send_closed(self) -> None:
        """Tell backups of closed records; a lost one only makes answers cautious."""
        for name, records in self._closed.items():
            for batch in batches(records, _CLOSE_BATCH_RECORDS):
                self._send(
                    name, CopyRecords(self._placement.view.number, _NO_ACK, batch)
                )
        self._closed.clear()

    # Records

    def _new_record(
        self, source: MemberIdentity, claim: Claim, attempt: int, state: RecordState
    ) -> RequestRecord:
        return RequestRecord(
            claim.key,
            claim.digest,
            attempt,
            claim.request_id,
            source.name,
            source.incarnation,
            state,
        )

    def _backups(self, key: RecordKey) -> list[str]:
        holders = self._placement.holders(key)
        return [member.name for member in holders if member.name != self._own.name]

    def _answer(self, entry: str, request_id: str, decision: ClaimDecision) -> None:
        self._send(entry, ClaimAnswer(request_id, decision))

    def _send(self, name: str, message: LedgerMessage) -> None:
        self._effects.append(SendToMember(name, message))

    def _take_effects(self) -> list[SendToMember]:
        effects, self._effects = self._effects, []
        return effects
