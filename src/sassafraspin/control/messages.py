"""Entries of the replicated log and messages between control replicas."""

from dataclasses import dataclass

import msgspec

__all__ = [
    "AppendReply",
    "AppendRequest",
    "CommandEntry",
    "Entry",
    "Hello",
    "InstallSnapshot",
    "NoopEntry",
    "ReplicaMessage",
    "Snapshot",
    "Voter",
    "VoteReply",
    "VoteRequest",
    "VotersEntry",
    "Welcome",
]


@dataclass(frozen=True, order=True)
class Voter:
    """A control instance together with the identity of its disk.

    A lost disk comes back with another identity, so it never votes on what it
    forgot.
    """

    name: str
    disk_id: str


class NoopEntry(msgspec.Struct, frozen=True, tag="noop", array_like=True):
    """First entry of a leader's term."""

    term: int


class CommandEntry(msgspec.Struct, frozen=True, tag="command", array_like=True):
    """An encoded command for the state machine."""

    term: int
    data: bytes


class VotersEntry(msgspec.Struct, frozen=True, tag="voters", array_like=True):
    """The voters from this entry on; differs by one from those before."""

    term: int
    voters: tuple[Voter, ...]


Entry = NoopEntry | CommandEntry | VotersEntry


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at ``index``, with the voters at that point."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks for a vote, or with ``pre`` whether a vote would be given."""

    term: int
    pre: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer to a vote request; ``term`` is the one that was asked about."""

    term: int
    pre: bool
    granted: bool
    disk_id: str
    current_term: int


class AppendRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Entries after ``previous_index``, also a heartbeat of the leader.

    ``sent_at`` is the leader's clock and comes back in the reply; it carries the
    leader lease.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float


class InstallSnapshot(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A whole snapshot for a replica that is far behind."""

    term: int
    snapshot: Snapshot
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer to an append or a snapshot.

    ``match_index`` is the last index known to agree on success, else the index to
    try next.
    """

    term: int
    success: bool
    match_index: int
    disk_id: str
    sent_at: float


class Hello(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An empty replica tells its disk identity."""

    disk_id: str


class Welcome(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer to an empty replica: the first voters, if the quorum has formed."""

    voters: tuple[Voter, ...]


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallSnapshot
    | Hello
    | Welcome
)
