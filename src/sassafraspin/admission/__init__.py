"""Admission: tiers, fairness between client accounts, and limits."""

from sassafraspin.admission.limits import (
    AccountLimits,
    LimitDecision,
    LimitExceeded,
    WithinLimits,
)
from sassafraspin.admission.queue import WaitingQueue, WaitingRequest

__all__ = [
    "AccountLimits",
    "LimitDecision",
    "LimitExceeded",
    "WaitingQueue",
    "WaitingRequest",
    "WithinLimits",
]
