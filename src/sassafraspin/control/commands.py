"""Commands of the control log and their outcomes."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from sassafraspin.backends import Retirement
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
    "EvacuateZone",
    "IsolatePart",
    "OutcomeKind",
    "PutProfile",
    "PutTable",
    "ReadmitPart",
    "ReinstateServer",
    "ReopenZone",
    "RetireServer",
    "UndoMove",
    "decode_command",
    "encode_command",
]


class PutProfile(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Put the next version of a profile.

    ``at_ms`` is 0 until the control instance that receives the command sets it to its
    wall clock time, in milliseconds since 1970.
    """

    change_id: str
    operator: str
    at_ms: int
    profile: Profile


class PutTable(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Declare a routing table; it takes effect if its version is the highest so far.

    ``at_ms`` is 0 until the control instance that receives the command sets it to its
    wall clock time, in milliseconds since 1970.
    """

    change_id: str
    at_ms: int
    declared: DeclaredTable


class DeclareMove(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Declare a move of traffic from one service version to another.

    ``at_ms`` is 0 until the control instance that receives the command sets it to its
    wall clock time, in milliseconds since 1970.
    """

    change_id: str
    operator: str
    at_ms: int
    spec: MoveSpec


class UndoMove(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Roll back a running move.

    ``at_ms`` is 0 until the control instance that receives the command sets it to its
    wall clock time, in milliseconds since 1970.
    """

    change_id: str
    operator: str
    at_ms: int
    name: str


class AdvanceMove(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Apply a move transition that the control leader decided on."""

    change_id: str
    at_ms: int
    step: MoveStep


class ChangeView(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Install the next membership view."""

    change_id: str
    at_ms: int
    view: View


class IsolatePart(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Refuse requests under which the named servers crashed.

    ``part`` is their signature: that of a prompt part, or of equal requests.
    """

    change_id: str
    at_ms: int
    part: str
    servers: tuple[str, ...]


class RetireServer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Send no new requests to a backend server that leaves or was withdrawn."""

    change_id: str
    at_ms: int
    retirement: Retirement


class ReinstateServer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Use a backend server again that numbers its announcements from the start."""

    change_id: str
    at_ms: int
    retirement: Retirement


class EvacuateZone(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Send no new requests to the backend servers of an availability zone."""

    change_id: str
    operator: str
    at_ms: int
    zone: str


class ReopenZone(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Use the backend servers of an evacuated availability zone again."""

    change_id: str
    operator: str
    at_ms: int
    zone: str


class ReadmitPart(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Accept requests with an isolated signature again."""

    change_id: str
    operator: str
    at_ms: int
    part: str


Command = (
    PutProfile
    | PutTable
    | DeclareMove
    | UndoMove
    | AdvanceMove
    | ChangeView
    | IsolatePart
    | ReadmitPart
    | RetireServer
    | ReinstateServer
    | EvacuateZone
    | ReopenZone
)


class OutcomeKind(StrEnum):
    """Kind of the outcome of a command."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    REFUSED = "refused"


@dataclass(frozen=True)
class CommandOutcome:
    """Outcome of a command.

    A command with the same ``change_id`` is not applied again and gets the same
    outcome, as long as the outcome is retained.

    Parameters
    ----------
    kind : OutcomeKind
        Whether the command was applied.
    reason : str
        Why the command was not applied; may be empty.
    profile : ProfileChange or None
        For ``PutProfile``, the current version of the profile after the command;
        ``None`` on a conflict if the profile does not exist.
    move : Move or None
        For commands on a move, the move; on a refusal, the existing move that caused
        it, if any.
    """

    kind: OutcomeKind
    reason: str = ""
    profile: ProfileChange | None = None
    move: Move | None = None


_DECODER = msgspec.msgpack.Decoder(Command)
_ENCODER = msgspec.msgpack.Encoder()


def encode_command(command: Command) -> bytes:
    """Encode a command as stored in the log."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command; raises ``msgspec.DecodeError``."""
    return _DECODER.decode(data)
