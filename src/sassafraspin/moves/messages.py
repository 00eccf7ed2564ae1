"""Messages about moves between dispatchers and the control leader."""

import msgspec

from sassafraspin.moves.move import MovePhase, TakeBackReason

__all__ = ["MoveEvidence", "MoveMessage"]


class MoveEvidence(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What the dispatcher of a service has seen of a move.

    Parameters
    ----------
    name : str
        Name of the move.
    phase : MovePhase
        Phase that the figures belong to.
    share : float
        Share that the figures belong to.
    shown : int
        Requests sent to the new version since the move began.
    ended : int
        Requests of the new version that ended in this phase and share.
    in_flight : int
        Requests of the new version that are running.
    new_servers, servers : int
        Backend servers that accept work with the new version, and all that do.
    reason : TakeBackReason
        Why the new version is bad; ``NONE`` as long as it is not.
    detail : str
        Figures for operators.
    """

    name: str
    phase: MovePhase
    share: float
    shown: int
    ended: int
    in_flight: int
    new_servers: int
    servers: int
    reason: TakeBackReason
    detail: str


MoveMessage = MoveEvidence
"""Every message of this part."""
