"""Dispatch: one dispatcher for each service grants slots of its backend servers."""

from sassafraspin.dispatch.messages import (
    LOWEST_TIER,
    ActiveGrant,
    AnnounceBackend,
    DispatchMessage,
    HeldGrants,
    RateLimitNotice,
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
    "RateLimitNotice",
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
