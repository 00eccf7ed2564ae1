"""At most one dispatch for each client account and idempotency key."""

from sassafraspin.ledger.ledger import Ledger, SendToMember
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
from sassafraspin.ledger.record import RecordKey, RecordState, RequestRecord

__all__ = [
    "Claim",
    "ClaimAnswer",
    "ClaimDecision",
    "CloseClaim",
    "CopyAck",
    "CopyRecords",
    "Ledger",
    "LedgerMessage",
    "RecordKey",
    "RecordState",
    "RequestRecord",
    "SendToMember",
    "SyncReply",
    "SyncRequest",
]
