"""Isolation of prompt parts whose requests crash backend servers."""

from sassafraspin.isolation.evidence import CrashEvidence, PartVerdict
from sassafraspin.isolation.messages import CrashReport, SuspectedCrash
from sassafraspin.isolation.signatures import request_signature
from sassafraspin.isolation.store import IsolatedPart, IsolationStore

__all__ = [
    "CrashEvidence",
    "CrashReport",
    "IsolatedPart",
    "IsolationStore",
    "PartVerdict",
    "SuspectedCrash",
    "request_signature",
]
