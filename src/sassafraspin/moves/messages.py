"""Messages about moves between dispatchers and the control leader."""

import msgspec

from sassafraspin.moves.move import MovePhase, RollbackReason

__all__ = ["MoveEvidence", "MoveMessage"]


class MoveEvidence(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Evidence on a move, as collected by the dispatcher of the service.

    Parameters
    ----------
    name : str
        Name of the move.
    phase : MovePhase
        Phase in which the evidence was collected.
    share : float
        Share of the new version for which the evidence was collected.
    shown : int
        Number of requests sent to the new version since the start of the move.
    ended : int
        Number of requests of the new version that were answered or failed in this phase
        and share; cancelled and unsent ones do not count.
    in_flight : int
        Number of running requests of the new version.
    new_servers, servers : int
        Number of backend servers that accept work: with the new version, and all.
    reason : RollbackReason
        Why the new version has to be rolled back, ``NONE`` if it has not.
    detail : str
        Summary for operators.
    """

    name: str
    phase: MovePhase
    share: float
    shown: int
    ended: int
    in_flight: int
    new_servers: int
    servers: int
    reason: RollbackReason
    detail: str


MoveMessage = MoveEvidence
"""All messages about moves."""
