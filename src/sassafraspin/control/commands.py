"""Commands of the control log and what comes of them."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from sassafraspin.membership import View
from sassafraspin.moves import Move, MoveSpec, MoveStep
from sassafraspin.profiles import Profile, ProfileChange
from sassafraspin.routes import DeclaredTable

__all__ = [
    "AdvanceMove",
    "ChangeView",
    "Command",
    "CommandOutcome",
    "DeclareMove",
    "OutcomeKind",
    "PutProfile",
    "PutTable",
    "UndoMove",
    "decode_command",
    "encode_command",
]


class PutProfile(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Put the next version of a profile."""

    change_id: str
    operator: str
    at_ms: int
    profile: Profile


class PutTable(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Declare a routing table; it takes effect if its version is the highest."""

    change_id: str
    at_ms: int
    declared: DeclaredTable


class DeclareMove(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Declare a move."""

    change_id: str
    operator: str
    at_ms: int
    spec: MoveSpec


class UndoMove(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Take back a running move."""

    change_id: str
    operator: str
    at_ms: int
    name: str


class AdvanceMove(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Apply a transition that the control leader decided."""

    change_id: str
    at_ms: int
    step: MoveStep


class ChangeView(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Install the next view."""

    change_id: str
    at_ms: int
    view: View


Command = PutProfile | PutTable | DeclareMove | UndoMove | AdvanceMove | ChangeView


class OutcomeKind(StrEnum):
    """What came of a command."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    REFUSED = "refused"


@dataclass(frozen=True)
class CommandOutcome:
    """Answer to a command; a resend with the same identity gets the same one.

    Parameters
    ----------
    kind : OutcomeKind
        What came of the command.
    reason : str
        Why it was refused.
    profile : ProfileChange or None
        The profile change in force, which on a conflict is the winner's.
    move : Move or None
        The move, which on a refusal is the one in the way.
    """

    kind: OutcomeKind
    reason: str = ""
    profile: ProfileChange | None = None
    move: Move | None = None


_DECODER = msgspec.msgpack.Decoder(Command)
_ENCODER = msgspec.msgpack.Encoder()


def encode_command(command: Command) -> bytes:
    """Return the bytes of a command as the log holds them."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command in ``data``; raises ``msgspec.DecodeError``."""
    return _DECODER.decode(data)
