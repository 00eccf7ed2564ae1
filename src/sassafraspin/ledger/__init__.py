"""Replicated request records: at most one dispatch per account and idempotency key."""

from sassafraspin.ledger.ledger import Ledger
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
from sassafraspin.ledger.sync import SendToMember

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
