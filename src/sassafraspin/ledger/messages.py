"""Messages between entry instances, primaries and backups."""

from enum import StrEnum

import msgspec

from sassafraspin.ledger.record import RecordKey, RecordState, RequestRecord

__all__ = [
    "Claim",
    "ClaimAnswer",
    "ClaimDecision",
    "CloseClaim",
    "CopyAck",
    "CopyRecords",
    "LedgerMessage",
    "SyncReply",
    "SyncRequest",
]


class ClaimDecision(StrEnum):
    """Decision of a primary on a claim."""

    GRANTED = "granted"
    IN_FLIGHT = "in-flight"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"
    NOT_READY = "not-ready"
    FULL = "full"


class Claim(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks the primary of a key whether the sender may dispatch a request."""

    key: RecordKey
    digest: bytes
    request_id: str
    view_number: int


class ClaimAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Decision of the primary; only ``GRANTED`` allows a dispatch."""

    request_id: str
    decision: ClaimDecision


class CloseClaim(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports the final state of a claimed request to the primary."""

    key: RecordKey
    request_id: str
    state: RecordState


class CopyRecords(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Sends records from their primary to a backup."""

    view_number: int
    copy_id: int
    records: tuple[RequestRecord, ...]


class CopyAck(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Acknowledges that the sender has stored the records of a copy in this view."""

    view_number: int
    copy_id: int


class SyncRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks a member for one part of the records that the sender must store in a view.

    ``part`` counts from 0 within ``snapshot``; snapshot 0 asks for part 0 of any. The
    build of 642a6d5 sends no ``part`` and gets all parts; it ignores these fields in a
    request and sends all parts.
    """

    view_number: int
    attempt: int
    part: int | None = None
    snapshot: int = 0


class SyncReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Records of the sender that the receiver must store as primary or backup.

    A reply is split into parts. ``part`` counts from 0 within the ``snapshot``, and
    ``last`` marks the final part. The build of 642a6d5 sends no ``snapshot``: all parts
    of its reply to an ``attempt`` come unasked, and ``part`` counts within the attempt.
    """

    view_number: int
    attempt: int
    part: int
    last: bool
    records: tuple[RequestRecord, ...]
    snapshot: int = 0


LedgerMessage = (
    Claim | ClaimAnswer | CloseClaim | CopyRecords | CopyAck | SyncRequest | SyncReply
)
