"""Isolation of prompt parts that end the backend servers which answer them."""

from sassafraspin.isolation.evidence import EndEvidence, PartVerdict
from sassafraspin.isolation.store import IsolatedPart, IsolationStore

__all__ = ["EndEvidence", "IsolatedPart", "IsolationStore", "PartVerdict"]
