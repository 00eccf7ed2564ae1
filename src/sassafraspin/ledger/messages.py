"""Messages between entry instances, homes and backup copies."""

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
    """Answer of a home to a claim."""

    GRANTED = "granted"
    IN_FLIGHT = "in-flight"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"
    NOT_READY = "not-ready"
    FULL = "full"


class Claim(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An entry instance asks whether it may dispatch a request."""

    key: RecordKey
    digest: bytes
    request_id: str
    view_number: int


class ClaimAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A home's decision; only ``GRANTED`` allows a dispatch."""

    request_id: str
    decision: ClaimDecision


class CloseClaim(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An entry instance tells how a claimed request ended."""

    key: RecordKey
    request_id: str
    state: RecordState


class CopyRecords(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A home sends records to a member that is ranked for them."""

    view_number: int
    copy_id: int
    records: tuple[RequestRecord, ...]


class CopyAck(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The records of a copy are held by the sender, in this view."""

    view_number: int
    copy_id: int


class SyncRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A member asks another for the records that it is ranked for in a view."""

    view_number: int
    attempt: int


class SyncReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All records that the sender holds and the receiver is ranked for.

    ``part`` counts from 0 within the ``attempt`` that is answered; ``last`` marks
    the final one.
    """

    view_number: int
    attempt: int
    part: int
    last: bool
    records: tuple[RequestRecord, ...]


LedgerMessage = (
    Claim | ClaimAnswer | CloseClaim | CopyRecords | CopyAck | SyncRequest | SyncReply
)
