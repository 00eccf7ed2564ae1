"""Cluster membership: views, leases and heartbeats of instances."""

from sassafraspin.membership.lease import LeaderClaim, MemberLease, SendHeartbeat
from sassafraspin.membership.messages import (
    ConfigImage,
    ConfigTail,
    ConfigUpdate,
    HeartbeatReply,
    MemberHeartbeat,
    MembershipMessage,
    PackedUpdate,
)
from sassafraspin.membership.packing import (
    InvalidUpdate,
    pack_update,
    unpack_update,
)
from sassafraspin.membership.table import MemberTable, MemberTimings
from sassafraspin.membership.view import Member, MemberIdentity, View

__all__ = [
    "ConfigImage",
    "ConfigTail",
    "ConfigUpdate",
    "HeartbeatReply",
    "InvalidUpdate",
    "LeaderClaim",
    "Member",
    "MemberHeartbeat",
    "MemberIdentity",
    "MemberLease",
    "MemberTable",
    "MemberTimings",
    "MembershipMessage",
    "PackedUpdate",
    "SendHeartbeat",
    "View",
    "pack_update",
    "unpack_update",
]
