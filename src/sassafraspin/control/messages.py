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
    """A control instance and the identity of its disk.

    A replaced or reinitialized disk has another identity, so an instance that lost its
    durable state cannot vote under its old identity.
    """

    name: str
    disk_id: str


class NoopEntry(msgspec.Struct, frozen=True, tag="noop", array_like=True):
    """First entry of a leader's term; commits the entries of earlier terms."""

    term: int


class CommandEntry(msgspec.Struct, frozen=True, tag="command", array_like=True):
    """An encoded command for the state machine."""

    term: int
    data: bytes


class VotersEntry(msgspec.Struct, frozen=True, tag="voters", array_like=True):
    """Voters from this entry on; at most one voter is added or removed at a time."""

    term: int
    voters: tuple[Voter, ...]


Entry = NoopEntry | CommandEntry | VotersEntry


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at ``index``, with the voters at that index."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Requests a vote, or a pre-vote if ``pre`` is set."""

    term: int
    pre: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply to a vote request.

    ``term`` is the term of the request, ``current_term`` that of the replying replica.
    ``recovering`` is set while it may have lost votes and entries; see ``Quorum``.
    """

    term: int
    pre: bool
    granted: bool
    disk_id: str
    current_term: int
    recovering: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Entries after ``previous_index``; also serves as the leader's heartbeat.

    ``sent_at`` is a time of the leader's clock. The reply returns it, and the leader
    lease is counted from it. ``recovered`` names the recovery of the receiver that is
    complete: it has stored again all that it may have acknowledged before.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float
    recovered: str = ""


class InstallSnapshot(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A full snapshot for a replica that lacks entries the leader has compacted."""

    term: int
    snapshot: Snapshot
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply to an ``AppendRequest`` or an ``InstallSnapshot``.

    On success ``match_index`` is the last index known to match the leader's log,
    otherwise the index to retry from. ``recovery`` names the recovery that the replica
    is in; it is empty unless it may have lost votes and entries. ``leaving`` is set
    while its instance shuts down.
    """

    term: int
    success: bool
    match_index: int
    disk_id: str
    sent_at: float
    recovery: str = ""
    leaving: bool = False


class Hello(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Announces the disk identity of a replica that is not a voter.

    If spares are admitted, voters without a leader send it too: they may have been
    replaced without knowing it. ``is_empty`` is set if the log has no entries and names
    no voters. Only such disks may bootstrap the quorum.
    """

    disk_id: str
    is_empty: bool = False


class Welcome(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply to ``Hello``: the voters to start with, and the leader if one is known.

    ``voters`` is empty unless the announced disk is one of the initial voters. The
    receiver announces its disk to ``leader`` too, which may be a spare.
    """

    voters: tuple[Voter, ...]
    leader: str | None = None


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallSnapshot
    | Hello
    | Welcome
)
