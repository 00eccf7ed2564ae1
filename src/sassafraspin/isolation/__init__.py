"""Isolation of prompt parts that end the backend servers which answer them."""

from sassafraspin.isolation.evidence import EndEvidence, PartVerdict
from sassafraspin.isolation.messages import EndReport, SuspectedEnd
from sassafraspin.isolation.store import IsolatedPart, IsolationStore

__all__ = [
    "EndEvidence",
    "EndReport",
    "IsolatedPart",
    "IsolationStore",
    "PartVerdict",
    "SuspectedEnd",
]
