"""Dispatch: slots of backend servers, granted in one place for each service."""

from sassafraspin.dispatch.messages import (
    AnnounceBackend,
    DispatchMessage,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWithdraw,
)

__all__ = [
    "AnnounceBackend",
    "DispatchMessage",
    "RefusalReason",
    "ReleaseResult",
    "SlotGrant",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "SlotRevoke",
    "SlotWithdraw",
]
