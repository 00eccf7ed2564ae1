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
    "PackedUpdate",
]


class MemberHeartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Requests a lease renewal and configuration updates.

    Parameters
    ----------
    member : Member or None
        The sender, as long as it is not in the view. After that its identity,
        which every message carries, is enough.
    config_index : int
        Log index of the sender's configuration.
    synced_view : int
        Newest view in which the sender has synchronized its request records.
    leaving : bool
        Whether the sender has stopped serving and requests its removal.
    sent_at : float
        Time of the sender's clock; returned in the reply.
    accepts_packed : bool
        Whether the sender understands ``PackedUpdate``; older builds do not.
    """

    member: Member | None
    config_index: int
    synced_view: int
    leaving: bool
    sent_at: float
    accepts_packed: bool = False


class ConfigTail(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Commands after the receiver's index; ``None`` for entries without a command."""

    first_index: int
    commands: tuple[bytes | None, ...]

    @property
    def last_index(self) -> int:
        """Return the index that the receiver reaches."""
        return self.first_index + len(self.commands) - 1

    @property
    def size(self) -> int:
        """Return the bytes of the commands."""
        return sum(len(data) for data in self.commands if data is not None)


class ConfigImage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Snapshot of the whole configuration."""

    index: int
    data: bytes

    @property
    def last_index(self) -> int:
        """Return the index that the receiver reaches."""
        return self.index

    @property
    def size(self) -> int:
        """Return the bytes of the snapshot."""
        return len(self.data)


class PackedUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A compressed ``ConfigTail`` or ``ConfigImage`` that ends at ``last_index``."""

    last_index: int
    data: bytes

    @property
    def size(self) -> int:
        """Return the bytes of the compressed update."""
        return len(self.data)


ConfigUpdate = ConfigTail | ConfigImage | PackedUpdate


class HeartbeatReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply of a control instance to a heartbeat, or an announcement of the leader.

    A leader also sends it unasked, with ``sent_at`` 0.

    Parameters
    ----------
    leader : str or None
        Name of the control leader, if the sender knows it.
    lease_ms : int
        Lease duration from ``sent_at`` on; 0 if the sender is not the leader.
    commit_index : int
        Last log index that the sender knows to be committed.
    sent_at : float
        Time of the member's clock, copied from the heartbeat.
    update : ConfigTail, ConfigImage, PackedUpdate or None
        Configuration that the member lacks.
    voters : tuple of str
        Names of the voting control instances; empty if the sender is not the leader.
    term : int
        Term in which ``leader`` leads; 0 from older builds.
    directory : int
        Digest of the leader's directory of backend servers; 0 if it gives none.
    """

    leader: str | None
    lease_ms: int
    commit_index: int
    sent_at: float
    update: ConfigUpdate | None
    voters: tuple[str, ...] = ()
    term: int = 0
    directory: int = 0


MembershipMessage = MemberHeartbeat | HeartbeatReply
"""Messages of the membership protocol."""
