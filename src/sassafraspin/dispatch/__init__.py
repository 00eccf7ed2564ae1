"""Dispatch: slots of backend servers, granted in one place for each service."""

from sassafraspin.dispatch.messages import (
    LOWEST_TIER,
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
    "LOWEST_TIER",
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
