"""Views, leases and heartbeats of the instances."""

from sassafraspin.membership.lease import HeartbeatTo, MemberLease
from sassafraspin.membership.messages import (
    ConfigImage,
    ConfigTail,
    ConfigUpdate,
    HeartbeatReply,
    MemberHeartbeat,
    MembershipMessage,
)
from sassafraspin.membership.table import MemberTable, MemberTimings
from sassafraspin.membership.view import Member, MemberIdentity, View

__all__ = [
    "ConfigImage",
    "ConfigTail",
    "ConfigUpdate",
    "HeartbeatReply",
    "HeartbeatTo",
    "Member",
    "MemberHeartbeat",
    "MemberIdentity",
    "MemberLease",
    "MemberTable",
    "MemberTimings",
    "MembershipMessage",
    "View",
]
