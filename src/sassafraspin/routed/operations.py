"""What operators and backend servers ask of the control leader."""

import hashlib
import uuid
from enum import StrEnum

from sassafraspin.backends import Announcement
from sassafraspin.control import DeclareMove, PutTable
from sassafraspin.daemon.control_shell import ControlShell
from sassafraspin.daemon.dispatch_duty import DispatchDuty
from sassafraspin.daemon.node import Node, wall_clock_ms
from sassafraspin.daemon.problems import Unavailable
from sassafraspin.daemon.proposals import ProposalClient
from sassafraspin.moves import Move, MovePhase, MoveSpec
from sassafraspin.routed.problems import NotCurrent
from sassafraspin.routes import DeclaredTable, RoutingTable
from sassafraspin.settings import Address

__all__ = ["Operations", "RolloutState"]

_OPERATOR = "operator"
_RESEND_MS = 5_000
"""Time within which the same order counts as a resend after a lost answer."""

_EXPOSED_REQUESTS = 20
_EXPOSED_SHARE = 0.05
_SOAK_MS = 1_000


class RolloutState(StrEnum):
    """How far a rollout is, as operators see it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled-back"


class Operations:
    """Orders and announcements; only the control leader carries them out.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    control : ControlShell
        Knows whether this instance leads.
    proposals : ProposalClient
        Client of the control log.
    dispatch : DispatchDuty
        Takes announcements.
    control_port : int
        Port on which every instance takes orders.
    """

    def __init__(
        self,
        node: Node,
        control: ControlShell,
        proposals: ProposalClient,
        dispatch: DispatchDuty,
        control_port: int,
    ) -> None:
        self._node = node
        self._control = control
        self._proposals = proposals
        self._dispatch = dispatch
        self._control_port = control_port

    @property
    def leads(self) -> bool:
        """Return whether orders may be carried out here."""
        return self._control.leads(self._node.now())

    def leader_address(self) -> Address | None:
        """Return where the control leader takes orders, if it is known."""
        leader = self._node.lease.leader
        if leader is None or leader == self._node.name:
            return None
        member = self._node.view.find(leader)
        return None if member is None else Address(member.host, self._control_port)

    async def put_table(self, table: RoutingTable, source: bytes) -> None:
        """Declare a routing table; one that is not the newest changes nothing."""
        digest = hashlib.blake2b(source, digest_size=8).hexdigest()
        change_id = f"table-{table.version}-{digest}"
        await self._commit(PutTable(change_id, 0, DeclaredTable(table, source)))

    def read_table(self) -> DeclaredTable | None:
        """Return the newest routing table; raises if it is not sure to be."""
        if not self.leads:
            raise NotCurrent("this instance does not lead")
        return self._node.configuration.state.routing

    def announce(self, announcement: Announcement) -> None:
        """Take in an announcement; it is in force when this returns."""
        if not self._dispatch.announce(announcement):
            raise NotCurrent("this instance does not dispatch for the service")

    def withdraw(self, backend_id: str) -> None:
        """Give a backend server no new requests; an unknown one gets none anyway."""
        if not self.leads:
            raise NotCurrent("this instance does not lead")
        self._dispatch.withdraw_server(backend_id)

    async def start_rollout(self, service: str, target: str, seconds: float) -> None:
        """Declare a move to a version; a resent order changes nothing."""
        newest = self._newest_move(service)
        if newest is not None and self._is_resend(newest, target):
            return
        moves = self._node.configuration.state.moves
        version = moves.versions.get(service) or self._dispatch.version_of(service)
        spec = MoveSpec(
            name=f"{service}.{target}.{uuid.uuid4().hex[:8]}",
            service=service,
            from_version=version,
            to_version=target,
            finish_within_ms=int(seconds * 1000),
            exposed_requests=_EXPOSED_REQUESTS,
            exposed_share=_EXPOSED_SHARE,
            soak_ms=_SOAK_MS,
        )
        change_id = f"move-{spec.name}"
        await self._commit(DeclareMove(change_id, _OPERATOR, 0, spec))

    def rollout(self, service: str) -> tuple[RolloutState, str] | None:
        """Return the state and target of the newest rollout of a service."""
        if not self.leads:
            raise NotCurrent("this instance does not lead")
        move = self._newest_move(service)
        if move is None:
            return None
        match move.phase:
            case MovePhase.DONE:
                return RolloutState.SUCCEEDED, move.spec.to_version
            case MovePhase.TAKEN_BACK:
                return RolloutState.ROLLED_BACK, move.spec.to_version
            case _:
                return RolloutState.RUNNING, move.spec.to_version

    def _newest_move(self, service: str) -> Move | None:
        moves = self._node.configuration.state.moves.all_moves()
        of_service = [move for move in moves if move.spec.service == service]
        return of_service[-1] if of_service else None

    def _is_resend(self, move: Move, target: str) -> bool:
        if move.spec.to_version != target:
            return False
        age_ms = wall_clock_ms() - move.declared_at_ms
        return not move.phase.is_final or age_ms < _RESEND_MS

    async def _commit(self, command: PutTable | DeclareMove) -> None:
        outcome = await self._proposals.propose(command)
        if outcome is None:
            raise Unavailable(
                "the control quorum did not decide in time; send it again"
            )
