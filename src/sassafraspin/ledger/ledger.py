"""Request records of one member: as primary, as backup and during synchronization.

A primary grants a claim only after enough members of the same view have stored the
record. A backup ignores copies from another view. A new primary grants a claim only
after every member of its view has sent its records. Therefore two primaries never grant
the same key.
"""

import itertools
from dataclasses import dataclass

from msgspec.structs import replace

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
from sassafraspin.ledger.store import RecordStore
from sassafraspin.ledger.sync import RecordSync, SendToMember, batches
from sassafraspin.membership import MemberIdentity, View
from sassafraspin.settings import LedgerSettings

__all__ = ["Ledger", "SendToMember"]

_MIN_COPIES = 2
_FULL_COPY_TIMEOUT_SECONDS = 0.25
_CLOSE_BATCH_RECORDS = 200

_UNACKNOWLEDGED_COPY_ID = 0
"""Copy ID of records that need no acknowledgement."""


@dataclass
class _PendingClaim:
    record: RequestRecord
    copy_id: int
    missing_backups: set[str]
    acknowledged_copies: int
    full_copy_deadline: float
    requester: str


class Ledger:
    """Request records stored on this member, and the claims that it decides.

    Parameters
    ----------
    own : MemberIdentity
        This instance and its incarnation.
    settings : LedgerSettings
        Number of copies, retention window and limits.
    """

    def __init__(self, own: MemberIdentity, settings: LedgerSettings) -> None:
        self._own = own
        self._settings = settings
        self._placement = Placement(own, settings.backup_copies + 1)
        self._records = RecordStore(settings.record_window_ms / 1000)
        self._pending: dict[int, _PendingClaim] = {}
        self._copy_ids = itertools.count(1)
        self._sync = RecordSync(own, self._placement, self._records)
        self._closed_records: dict[str, list[RequestRecord]] = {}
        self._effects: list[SendToMember] = []

    @property
    def synced_view(self) -> int:
        """Return the newest view in which this member has completed synchronization."""
        return self._placement.synced_view

    @property
    def record_count(self) -> int:
        """Return the number of stored records."""
        return len(self._records)

    def record(self, key: RecordKey) -> RequestRecord | None:
        """Return the record stored for a key."""
        return self._records.get(key)

    def owns(self, key: RecordKey) -> bool:
        """Return whether this member alone decides on a key in the current view.

        This member must be the primary. In addition every other member must have sent
        its records in the current view, or this member must have been the primary in
        each view since one in which that was true. The caller must check the lease.
        """
        return self._placement.is_primary(key) and self._placement.has_all_records(key)

    def install_views(self, views: tuple[View, ...], now: float) -> list[SendToMember]:
        """Install the retained views, oldest first, if the last one is newer.

        Pending claims are answered ``NOT_READY``.
        """
        if views[-1].number <= self._placement.view.number:
            return []
        for pending in list(self._pending.values()):
            self._complete_claim(pending, ClaimDecision.NOT_READY)
        self._placement.install(views)
        self._effects += self._sync.start(now)
        return self._take_effects()

    def tick(self, lease_held: bool, now: float) -> list[SendToMember]:
        """Retry sync requests, grant copied claims, send closes and expire records."""
        self._effects += self._sync.tick(now)
        for pending in list(self._pending.values()):
            self._grant_if_copied(pending, lease_held, now)
        self._send_closed()
        self._records.expire(self._placement.view, now)
        return self._take_effects()

    def receive(
        self, source: MemberIdentity, message: LedgerMessage, lease: bool, now: float
    ) -> list[SendToMember]:
        """Handle a message from another member.

        Parameters
        ----------
        source : MemberIdentity
            Sender of the message.
        message : LedgerMessage
            Message to handle.
        lease : bool
            Whether this member currently holds its lease.
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
                self._on_close_claim(message, now)
            case CopyRecords():
                self._on_copy(source, message, now)
            case CopyAck():
                self._on_copy_ack(source, message, lease, now)
            case SyncRequest():
                self._effects += self._sync.on_request(source.name, message, now)
            case SyncReply():
                self._effects += self._sync.on_reply(source, message, now)
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
        if record is None and self._placement.may_have_lost_record(key, _MIN_COPIES):
            record = self._new_record(source, claim, 1, RecordState.UNKNOWN)
            self._records.store(record, now)
        if record is None:
            self._start_claim(source, claim, 1, now)
        elif record.digest != claim.digest:
            self._answer(source.name, claim.request_id, ClaimDecision.KEY_REUSED)
        elif record.state is RecordState.NOT_RUN:
            self._start_claim(source, claim, record.attempt + 1, now)
        else:
            self._answer_existing(source, claim, record, now)

    def _answer_existing(
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
        """Decide on an already claimed key; ``None`` while copies are pending."""
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
            now + _FULL_COPY_TIMEOUT_SECONDS,
            source.name,
        )
        self._pending[pending.copy_id] = pending
        copy = CopyRecords(self._placement.view.number, pending.copy_id, (record,))
        for name in backups:
            self._send(name, copy)
        self._grant_if_copied(pending, True, now)

    def _on_copy(self, source: MemberIdentity, copy: CopyRecords, now: float) -> None:
        """Store copies sent in this view.

        Copies from another view are ignored, so that the primary of an older view gets
        no acknowledgement.
        """
        if copy.view_number != self._placement.view.number:
            return
        for record in copy.records:
            self._records.merge(record, now)
        if copy.copy_id != _UNACKNOWLEDGED_COPY_ID:
            self._send(source.name, CopyAck(copy.view_number, copy.copy_id))

    def _on_copy_ack(
        self, source: MemberIdentity, ack: CopyAck, lease: bool, now: float
    ) -> None:
        """Count an acknowledged copy if the sender is a member of the view.

        A restarted process under the same name has another incarnation. It is not a
        member yet, so its acknowledgement does not count.
        """
        pending = self._pending.get(ack.copy_id)
        if pending is None or ack.view_number != self._placement.view.number:
            return
        if not self._placement.view.contains(source):
            return
        if source.name in pending.missing_backups:
            pending.missing_backups.discard(source.name)
            pending.acknowledged_copies += 1
        self._grant_if_copied(pending, lease, now)

    def _grant_if_copied(self, pending: _PendingClaim, lease: bool, now: float) -> None:
        """Grant a claim once all copies are stored.

        After ``_FULL_COPY_TIMEOUT_SECONDS`` the minimum number of copies is enough.
        """
        if not lease:
            return
        has_min_copies = pending.acknowledged_copies + 1 >= _MIN_COPIES
        if not pending.missing_backups or (
            has_min_copies and now >= pending.full_copy_deadline
        ):
            self._complete_claim(pending, ClaimDecision.GRANTED)

    def _complete_claim(self, pending: _PendingClaim, decision: ClaimDecision) -> None:
        del self._pending[pending.copy_id]
        self._answer(pending.requester, pending.record.request_id, decision)

    def _on_close_claim(self, close: CloseClaim, now: float) -> None:
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
            self._closed_records.setdefault(name, []).append(closed)

    def _send_closed(self) -> None:
        """Send closed records to their backups, without acknowledgement.

        If one is lost, a later primary may answer a claim of the key with
        ``IN_FLIGHT`` or ``UNKNOWN`` instead of the final state.
        """
        for name, records in self._closed_records.items():
            for batch in batches(records, _CLOSE_BATCH_RECORDS):
                self._send(
                    name,
                    CopyRecords(
                        self._placement.view.number, _UNACKNOWLEDGED_COPY_ID, batch
                    ),
                )
        self._closed_records.clear()

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
