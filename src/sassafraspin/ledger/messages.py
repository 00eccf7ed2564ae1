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
    """Asks a member for the records that the sender must store in a view."""

    view_number: int
    attempt: int


class SyncReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Records of the sender that the receiver must store as primary or backup.

    A reply is split into parts. ``part`` counts from 0 within the ``attempt`` of the
    request; ``last`` marks the final part.
    """

    view_number: int
    attempt: int
    part: int
    last: bool
    records: tuple[RequestRecord, ...]


LedgerMessage = (
    Claim | ClaimAnswer | CloseClaim | CopyRecords | CopyAck | SyncRequest | SyncReply
)
