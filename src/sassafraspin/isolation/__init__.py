"""Isolation of signatures whose requests crash backend servers."""

from sassafraspin.isolation.evidence import CrashEvidence, SignatureVerdict
from sassafraspin.isolation.messages import CrashReport, SuspectedCrash
from sassafraspin.isolation.signatures import (
    SignatureKind,
    request_signature,
    signature_kind,
)
from sassafraspin.isolation.store import IsolatedPart, IsolationStore
from sassafraspin.isolation.suspicion import (
    Harmful,
    NoSuspects,
    Suspected,
    Suspects,
    Suspicion,
    Unsuspected,
)

__all__ = [
    "CrashEvidence",
    "CrashReport",
    "Harmful",
    "IsolatedPart",
    "IsolationStore",
    "NoSuspects",
    "SignatureKind",
    "SignatureVerdict",
    "Suspected",
    "SuspectedCrash",
    "Suspects",
    "Suspicion",
    "Unsuspected",
    "request_signature",
    "signature_kind",
]
