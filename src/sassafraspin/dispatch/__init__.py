"""Dispatch: slots of backend servers, granted in one place for each service."""

from sassafraspin.dispatch.messages import (
    ActiveGrant,
    AnnounceBackend,
    DispatchMessage,
    HeldGrants,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWaiting,
    SlotWithdraw,
    UnknownGrants,
)

__all__ = [
    "ActiveGrant",
    "AnnounceBackend",
    "DispatchMessage",
    "HeldGrants",
    "RefusalReason",
    "ReleaseResult",
    "SlotGrant",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "SlotRevoke",
    "SlotWaiting",
    "SlotWithdraw",
    "UnknownGrants",
]
