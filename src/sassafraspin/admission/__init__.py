"""Admission: tiers, fair queueing between client accounts, and limits."""

from sassafraspin.admission.caps import (
    UsageCaps,
    UsageLog,
    UsageReport,
)
from sassafraspin.admission.limits import (
    AccountLimits,
    LimitDecision,
    LimitExceeded,
    Limits,
    WithinLimits,
)
from sassafraspin.admission.queue import WaitingQueue
from sassafraspin.admission.waiting import WaitingRequest

__all__ = [
    "AccountLimits",
    "LimitDecision",
    "LimitExceeded",
    "Limits",
    "UsageCaps",
    "UsageLog",
    "UsageReport",
    "WaitingQueue",
    "WaitingRequest",
    "WithinLimits",
]
