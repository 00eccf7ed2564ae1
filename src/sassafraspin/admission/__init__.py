"""Admission: tiers, fairness between client accounts, and limits."""

from sassafraspin.admission.limits import (
    AccountLimits,
    LimitDecision,
    LimitExceeded,
    Limits,
    UsageCaps,
    WithinLimits,
)
from sassafraspin.admission.queue import WaitingQueue, WaitingRequest

__all__ = [
    "AccountLimits",
    "LimitDecision",
    "LimitExceeded",
    "Limits",
    "UsageCaps",
    "WaitingQueue",
    "WaitingRequest",
    "WithinLimits",
]
