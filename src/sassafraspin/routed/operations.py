"""Requests of operators and backend servers to the control leader."""

import hashlib
import uuid
from enum import StrEnum

import trio

from sassafraspin.backends import Announcement, Evacuation, Retirement
from sassafraspin.control import (
    CommandOutcome,
    DeclareMove,
    EvacuateZone,
    OutcomeKind,
    PutTable,
    ReadmitPart,
    ReopenZone,
)
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.dispatch_service import DispatchService
from sassafraspin.daemon.leaves import LeaveTracker
from sassafraspin.daemon.node import Node, wall_clock_ms
from sassafraspin.daemon.proposals import ProposalClient, require_in_force
from sassafraspin.isolation import IsolatedPart
from sassafraspin.membership import Member
from sassafraspin.moves import Move, MovePhase, MoveRefusal, MoveSpec
from sassafraspin.routed.problems import NotCurrent, RetirementPending
from sassafraspin.routed.retirement import RetirementView, ServerRetirement
from sassafraspin.routes import DeclaredTable, RoutingTable
from sassafraspin.settings import Address
from sassafraspin.telemetry.events import (
    PartReadmitted,
    ServerLeaving,
    ZoneOrdered,
    log_event,
)

__all__ = ["Operations", "RolloutState"]

_MS_PER_SECOND = 1000
_OPERATOR = "operator"
_DUPLICATE_WINDOW_MS = 5_000
"""How long after its declaration a finished move still makes an order for the same
version count as a retry after a lost response. An unfinished move always does."""

_POLL_SECONDS = 0.02

_CANARY_REQUESTS = 20
_CANARY_SHARE = 0.05
_SOAK_MS = 1_000


class RolloutState(StrEnum):
    """State of a rollout as reported to operators."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled-back"


class Operations:
    """Executes operator orders and applies announcements on the control leader.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    control : ControlService
        Knows whether this instance is the control leader.
    proposals : ProposalClient
        Client for the control log.
    dispatch : DispatchService
        Receives the announcements.
    retirements : RetirementView
        Retirements of backend servers, to recognise outdated announcements.
    """

    def __init__(
        self,
        node: Node,
        control: ControlService,
        proposals: ProposalClient,
        dispatch: DispatchService,
        retirements: RetirementView,
    ) -> None:
        self._node = node
        self._control = control
        self._proposals = proposals
        self._dispatch = dispatch
        self._retirements = retirements
        self._retirement = ServerRetirement(node, control, proposals)
        self._leaves = LeaveTracker(dispatch)

    @property
    def is_leader(self) -> bool:
        """Return whether this instance may execute orders."""
        return self._control.leads(self._node.now())

    def leader_address(self) -> Address | None:
        """Return the control address of the leader, if another instance leads.

        It is ``None`` unless this instance has heard the leader itself lately: two
        instances that know a leader by hearsay may redirect to each other. So may two
        that led one after the other, unless they ignore leaders of earlier terms than
        their own.
        """
        lease = self._node.lease
        if lease.leader == self._node.name or not lease.hears_leader(self._node.now()):
            return None
        if 0 < lease.claim.term < self._control.term:
            return None
        member = self._node.view.find(lease.leader)
        return None if member is None else self._control_address(member)

    def _control_address(self, member: Member) -> Address | None:
        """Return the control address of a member, ``None`` if it is not known.

        Members of older builds do not report their control port. It is usually the
        same on all hosts, but two instances of one host have different ones.
        """
        if member.control_port:
            return Address(member.host, member.control_port)
        if member.host == self._node.member.host:
            return None
        return Address(member.host, self._node.member.control_port)

    async def put_table(self, table: RoutingTable, source: bytes) -> None:
        """Propose a routing table; only a version above the current takes effect.

        Raises
        ------
        ControlUnavailable
            If it is unknown whether the table was accepted.
        """
        digest = hashlib.blake2b(source, digest_size=8).hexdigest()
        change_id = f"table-{table.version}-{digest}"
        command = PutTable(change_id, 0, DeclaredTable(table, source))
        require_in_force(await self._proposals.propose(command))

    def read_table(self) -> DeclaredTable | None:
        """Return the current routing table; raises ``NotCurrent`` unless leading."""
        if not self.is_leader:
            raise NotCurrent("this instance does not lead")
        return self._node.configuration.state.routing

    async def announce(self, announcement: Announcement) -> None:
        """Apply an announcement before returning.

        An outdated announcement of a server that has left is ignored.

        Raises
        ------
        NotCurrent
            If its service is not dispatched here, or a server leaves of which a later
            announcement is known.
        RetirementPending
            If the server leaves and some instances may still send it requests.
        """
        if self._retirements.is_outdated(announcement):
            return
        self._retirement.end_outlived(announcement)
        before = self._dispatch.announcement_of(announcement.id)
        if _contradicts(announcement, before):
            raise NotCurrent("a later announcement says that the server is there")
        if not self._dispatch.announce(announcement):
            raise NotCurrent("this instance does not dispatch for the service")
        if announcement.leaving:
            await self._retire(self._leaves.retirement_of(announcement, before))

    async def withdraw(self, backend_id: str, incarnation: int) -> None:
        """Stop sending requests to a backend server until it is started again.

        Parameters
        ----------
        backend_id : str
            Name of the backend server.
        incarnation : int
            The incarnation that is withdrawn, or a later one before the next start.

        Raises
        ------
        NotCurrent
            If this instance does not lead.
        RetirementPending
            If some instances may still send requests to the server.
        """
        if not self.is_leader:
            raise NotCurrent("this instance does not lead")
        self._dispatch.withdraw_server(backend_id)
        known = self._dispatch.announcement_of(backend_id)
        if known is not None:
            incarnation = max(incarnation, known.incarnation)
        await self._retire(Retirement.of_withdrawn(backend_id, incarnation))

    async def _retire(self, retirement: Retirement) -> None:
        """Retire a server on all instances, and log whether that is acknowledged."""
        started_at = self._node.now()
        is_acknowledged = False
        pending: tuple[str, ...] = ()
        try:
            await self._retirement.retire(retirement)
            is_acknowledged = True
        except RetirementPending as problem:
            pending = problem.instances
            raise
        finally:
            after_ms = int((self._node.now() - started_at) * _MS_PER_SECOND)
            log_event(
                ServerLeaving(
                    retirement.server,
                    retirement.incarnation,
                    retirement.sequence,
                    is_acknowledged,
                    after_ms,
                    pending,
                )
            )

    async def start_rollout(self, service: str, target: str, seconds: float) -> None:
        """Declare a move to a version, to be finished within ``seconds``.

        A retried order is acknowledged again and has no effect.

        Raises
        ------
        Conflict
            If the move is refused, for example while another one of the service runs.
        ControlUnavailable
            If it is unknown whether the move was declared.
        NotCurrent
            If this instance stops leading while it confirms an earlier order.
        """
        if self._is_ordered(service, target):
            await self._wait_for_voters()
            return
        outcome = await self._declare(service, target, seconds)
        if _is_outdated(outcome):
            # Another move of the service ended after its version was read.
            outcome = await self._declare(service, target, seconds)
        if not _is_running(outcome, target):
            require_in_force(outcome)

    async def _declare(
        self, service: str, target: str, seconds: float
    ) -> CommandOutcome | None:
        moves = self._node.configuration.state.moves
        version = moves.versions.get(service) or self._dispatch.version_of(service)
        spec = MoveSpec(
            name=f"{service}.{target}.{uuid.uuid4().hex[:8]}",
            service=service,
            from_version=version,
            to_version=target,
            finish_within_ms=int(seconds * 1000),
            exposed_requests=_CANARY_REQUESTS,
            exposed_share=_CANARY_SHARE,
            soak_ms=_SOAK_MS,
        )
        command = DeclareMove(f"move-{spec.name}", _OPERATOR, 0, spec)
        return await self._proposals.propose(command)

    def rollout_status(self, service: str) -> tuple[RolloutState, str] | None:
        """Return the state and target version of the latest rollout of a service."""
        if not self.is_leader:
            raise NotCurrent("this instance does not lead")
        move = self._latest_move(service)
        if move is None:
            return None
        match move.phase:
            case MovePhase.DONE:
                return RolloutState.SUCCEEDED, move.spec.to_version
            case MovePhase.ROLLED_BACK:
                return RolloutState.ROLLED_BACK, move.spec.to_version
            case _:
                return RolloutState.RUNNING, move.spec.to_version

    def knows_zone(self, zone: str) -> bool:
        """Return whether a zone is one of the deployment or of a backend server.

        An evacuated zone is known even if all its servers have expired, so that an
        order that is sent again is acknowledged.

        Raises
        ------
        NotCurrent
            If only the leader can tell, as it alone knows all servers.
        """
        evacuated = self._node.configuration.state.evacuations.zones
        if zone in evacuated or zone in self._node.settings.dispatch.zone_regions:
            return True
        if not self.is_leader:
            raise NotCurrent("this instance does not lead")
        return any(
            backend.announcement.availability_zone == zone
            for backend in self._dispatch.backends()
        )

    async def evacuate(self, zone: str) -> None:
        """Send no new requests to the servers of a zone; requests there run on.

        A retried order is acknowledged again and has no effect.

        Raises
        ------
        ControlUnavailable
            If it is unknown whether the order is in force.
        """
        change_id = f"evacuate-{uuid.uuid4().hex}"
        await self._change_zone(EvacuateZone(change_id, _OPERATOR, 0, zone), zone, True)

    async def reopen(self, zone: str) -> None:
        """Use the servers of a zone again; an open zone stays as it is.

        Raises
        ------
        ControlUnavailable
            If it is unknown whether the order is in force.
        """
        change_id = f"reopen-{uuid.uuid4().hex}"
        await self._change_zone(ReopenZone(change_id, _OPERATOR, 0, zone), zone, False)

    async def _change_zone(
        self, command: EvacuateZone | ReopenZone, zone: str, is_evacuated: bool
    ) -> None:
        started_at = self._node.now()
        outcome = require_in_force(await self._proposals.propose(command))
        after_ms = int((self._node.now() - started_at) * _MS_PER_SECOND)
        is_new = outcome.kind is OutcomeKind.ACCEPTED
        log_event(ZoneOrdered(zone, is_evacuated, is_new, after_ms))

    def evacuations(self) -> tuple[Evacuation, ...]:
        """Return the evacuations in force; raises ``NotCurrent`` unless leading."""
        if not self.is_leader:
            raise NotCurrent("this instance does not lead")
        return self._node.configuration.state.evacuations.all_evacuations()

    def isolated_parts(self) -> tuple[IsolatedPart, ...]:
        """Return what is isolated; raises ``NotCurrent`` unless leading."""
        if not self.is_leader:
            raise NotCurrent("this instance does not lead")
        return self._node.configuration.state.isolation.all_parts()

    async def readmit_part(self, part: str) -> bool:
        """Accept a part or request again; return whether it was isolated."""
        if not any(item.part == part for item in self.isolated_parts()):
            return False
        command = ReadmitPart(f"readmit-{uuid.uuid4().hex}", _OPERATOR, 0, part)
        outcome = require_in_force(await self._proposals.propose(command))
        if outcome.kind is OutcomeKind.UNCHANGED:
            return False
        log_event(PartReadmitted(part))
        return True

    async def _wait_for_voters(self) -> None:
        """Wait until what was applied may be acknowledged."""
        since = self._node.now()
        while not self._control.may_report(since):
            if not self.is_leader:
                raise NotCurrent("this instance does not lead")
            await trio.sleep(_POLL_SECONDS)

    def _latest_move(self, service: str) -> Move | None:
        moves = self._moves_of(service)
        return moves[-1] if moves else None

    def _moves_of(self, service: str) -> list[Move]:
        moves = self._node.configuration.state.moves.all_moves()
        return [move for move in moves if move.spec.service == service]

    def _is_ordered(self, service: str, target: str) -> bool:
        """Return whether an order for a version counts as a retry of an earlier one."""
        moves = self._moves_of(service)
        if not moves:
            return False
        latest = moves[-1]
        if latest.phase is MovePhase.DONE and latest.spec.to_version == target:
            return True
        return any(self._is_duplicate(move, target) for move in moves)

    def _is_duplicate(self, move: Move, target: str) -> bool:
        if move.spec.to_version != target:
            return False
        age_ms = wall_clock_ms() - move.declared_at_ms
        return not move.phase.is_final or age_ms < _DUPLICATE_WINDOW_MS


def _is_running(outcome: CommandOutcome | None, target: str) -> bool:
    """Return whether a move was refused because one to the same target runs.

    The same order may be sent to two instances at once.
    """
    if outcome is None or outcome.reason != MoveRefusal.SERVICE_BUSY:
        return False
    return outcome.move is not None and outcome.move.spec.to_version == target


def _is_outdated(outcome: CommandOutcome | None) -> bool:
    """Return whether a move was refused for the version that it starts from."""
    return outcome is not None and outcome.reason == MoveRefusal.WRONG_VERSION


def _contradicts(announcement: Announcement, before: Announcement | None) -> bool:
    """Return whether a server leaves by an announcement older than the known one."""
    if before is None or before.leaving or not announcement.leaving:
        return False
    return announcement.order < before.order
