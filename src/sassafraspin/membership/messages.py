"""Messages between members and the control instances."""

import msgspec

from sassafraspin.membership.view import Member

__all__ = [
    "ConfigImage",
    "ConfigTail",
    "ConfigUpdate",
    "HeartbeatReply",
    "MemberHeartbeat",
    "MembershipMessage",
]


class MemberHeartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A member asks for its lease and for changes of the configuration.

    Parameters
    ----------
    member : Member or None
        The sender, as long as it is not in the view; later its identity, which
        comes with every message, is enough.
    config_index : int
        Log index up to which the sender's configuration reaches.
    synced_view : int
        Newest view in which the sender holds every record it is ranked for.
    leaving : bool
        Whether the sender has given up its duties and wants to be removed.
    sent_at : float
        The sender's clock; comes back in the reply.
    """

    member: Member | None
    config_index: int
    synced_view: int
    leaving: bool
    sent_at: float


class ConfigTail(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Commands after the receiver's index; ``None`` stands for other entries."""

    first_index: int
    commands: tuple[bytes | None, ...]


class ConfigImage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A whole snapshot of the configuration."""

    index: int
    data: bytes


ConfigUpdate = ConfigTail | ConfigImage


class HeartbeatReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of a control instance.

    Parameters
    ----------
    leader : str or None
        Name of the control leader as far as the sender knows.
    lease_ms : int
        Lease counted from ``sent_at``; 0 from an instance that does not lead.
    commit_index : int
        Newest log index the sender knows to be committed.
    sent_at : float
        Clock of the member, from its heartbeat.
    update : ConfigTail, ConfigImage or None
        What the member lacks.
    voters : tuple of str
        Names of the control instances that vote, empty from one that does not lead.
    """

    leader: str | None
    lease_ms: int
    commit_index: int
    sent_at: float
    update: ConfigUpdate | None
    voters: tuple[str, ...] = ()


MembershipMessage = MemberHeartbeat | HeartbeatReply
"""Every message of this part."""
