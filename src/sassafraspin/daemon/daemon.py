"""Wiring, timers, message dispatch and shutdown of one daemon process."""

import random
import signal
from pathlib import Path

import trio

from sassafraspin.control import Configuration
from sassafraspin.daemon.access import AccessControl
from sassafraspin.daemon.announcements import AnnouncementClient
from sassafraspin.daemon.claims import ClaimClient
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.dispatch_scope import ViewScope
from sassafraspin.daemon.dispatch_service import DispatchService
from sassafraspin.daemon.entry import EntryService
from sassafraspin.daemon.leaves import AnnouncementReceiver
from sassafraspin.daemon.messages import (
    LeaveConfirmed,
    PeerMessage,
    Propose,
    ProposeReply,
)
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.operations import OperationsApi
from sassafraspin.daemon.orders import OrderSender
from sassafraspin.daemon.proposals import ProposalClient
from sassafraspin.daemon.relay import BackendRelay
from sassafraspin.daemon.setup import client_timeouts, local_member, member_timings
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.daemon.status import InstanceStatus
from sassafraspin.dispatch import (
    ActiveGrant,
    AnnounceBackend,
    HeldGrants,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWaiting,
    SlotWithdraw,
    UnknownGrants,
)
from sassafraspin.http import (
    HttpClient,
    HttpServer,
    Request,
    Responder,
    Response,
    as_handler,
)
from sassafraspin.ledger import (
    Claim,
    ClaimAnswer,
    CloseClaim,
    CopyAck,
    CopyRecords,
    Ledger,
    SyncReply,
    SyncRequest,
)
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberLease,
)
from sassafraspin.moves import MoveEvidence
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import DaemonSettings
from sassafraspin.telemetry import Metrics, part_logger

__all__ = ["Daemon"]

_TICK_INTERVAL_SECONDS = 0.1
_FRESH_WITHIN_HEARTBEATS = 4
_MS_PER_SECOND = 1000
_LEAVE_TIMEOUT_SECONDS = 2.0

_log = part_logger("daemon")


class Daemon:
    """An entry instance that may also have the control and dispatcher roles.

    The settings assign the control role, the membership view the dispatcher role.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    base_folder : Path
        Folder that relative paths in the settings are resolved against.
    seed : int or None
        Seed of the random number generator; ``None`` for an unpredictable one.
    """

    def __init__(
        self, settings: DaemonSettings, base_folder: Path, seed: int | None = None
    ) -> None:
        self._settings = settings
        self._generator = random.Random(seed)
        self._shutdown_complete = trio.Event()
        self._draining = False
        self._applied_view = 0
        listen = settings.listen
        member = local_member(settings.instance, listen.peers, listen.operators)
        self._network = PeerNetwork(
            member.name,
            member.incarnation,
            settings.listen.peers,
            PeerMessage,
            self._receive,
        )
        self._node = self._make_node(member)
        self._ledger = Ledger(member.identity, settings.ledger)
        self._claims = ClaimClient(self._node)
        self._slots = SlotClient(self._node)
        self._proposals = ProposalClient(self._node)
        self._announcements = AnnouncementClient(self._node)
        self._backend_client = HttpClient(client_timeouts(settings.dispatch))
        self._orders = OrderSender(self._backend_client)
        self._dispatch = DispatchService(
            self._node,
            self._generator,
            self._orders.enqueue,
            ViewScope(self._node, self._ledger),
        )
        self._receiver = AnnouncementReceiver(self._node, self._dispatch)
        access = AccessControl(settings.access)
        self._entry = EntryService(
            self._node,
            access,
            self._claims,
            self._slots,
            BackendRelay(self._backend_client),
        )
        self._operations = OperationsApi(
            self._node, access, self._proposals, self._announcements, self.status
        )
        self._caller_server = HttpServer(
            settings.listen.callers, settings.http, self._handle_call
        )
        self._operator_server = HttpServer(
            settings.listen.operators,
            settings.http,
            as_handler(self._operations.handle),
        )
        self._control = ControlService(
            self._node, base_folder, self._generator, self._network.set_peer_address
        )

    def _make_node(self, member: Member) -> Node:
        settings = self._settings
        timings = member_timings(settings.control)
        lease = MemberLease(
            member,
            tuple(address.name for address in settings.control.instances),
            settings.control.heartbeat_interval_ms / _MS_PER_SECOND,
            timings,
        )
        statsd = settings.telemetry.statsd
        metrics = Metrics(
            f"sassafraspin.{member.name}",
            None if statsd is None else statsd.host,
            8125 if statsd is None else statsd.port,
        )
        return Node(
            settings,
            member,
            Configuration(),
            lease,
            metrics,
            trio.current_time,
            self._network.send,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this instance."""
        return not self._draining and self._node.is_active_member()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until a shutdown has drained the requests in flight."""
        for address in self._settings.control.instances:
            self._network.set_peer_address(address)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._network.serve)
                nursery.start_soon(self._tick_forever)
                nursery.start_soon(self._orders.run)
                await nursery.start(self._operator_server.serve)
                await nursery.start(self._caller_server.serve)
                _log.info("Instance {} is listening.", self._node.name)
                task_status.started()
                await self._shutdown_complete.wait()
                nursery.cancel_scope.cancel()
        finally:
            self._backend_client.close()

    async def run_until_signal(self) -> None:
        """Serve until SIGTERM or SIGINT; a second signal stops at once."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._drain_on_signal, signals, nursery.cancel_scope)
                await self.run()
                nursery.cancel_scope.cancel()

    async def shut_down(self) -> None:
        """Fail readiness, drain requests in flight and leave the membership view."""
        self._draining = True
        _log.info("Shutdown started; readiness checks now fail.")
        await trio.sleep(self._settings.readiness_grace_ms / _MS_PER_SECOND)
        timeout = self._settings.drain_timeout_ms / _MS_PER_SECOND
        with trio.move_on_after(timeout) as scope:
            await self._caller_server.drain()
        if scope.cancelled_caught:
            _log.warning(
                "Drain timed out; aborting {} calls in flight.", self._entry.in_flight
            )
        await self._leave_view()
        _log.info("Shutdown complete.")
        self._shutdown_complete.set()

    def status(self) -> InstanceStatus:
        """Return the state of this instance for operators."""
        node = self._node
        now = node.now()
        state = node.configuration.state
        age_ms = self._configuration_age_ms(now)
        limit = _FRESH_WITHIN_HEARTBEATS * self._settings.control.heartbeat_interval_ms
        return InstanceStatus(
            instance=node.name,
            incarnation=node.member.incarnation,
            ready=self.is_ready,
            draining=self._draining,
            lease_held=node.lease.is_held(now),
            in_flight=self._entry.in_flight,
            configuration_index=state.index,
            configuration_age_ms=age_ms,
            fresh=age_ms is not None and age_ms <= limit,
            peer_bytes_sent=self._network.sent_bytes,
            peer_bytes_received=self._network.received_bytes,
            synced_view=self._ledger.synced_view,
            records=self._ledger.record_count,
            view=state.view,
            control=self._control.status(),
            pools=self._dispatch.pool_statuses(),
            backend_servers=self._dispatch.backend_statuses(),
            moves=state.moves.all_moves(),
            profiles=state.profiles.all_current(),
            counters=node.metrics.counters,
            histograms=node.metrics.summaries(),
        )

    def _configuration_age_ms(self, now: float) -> int | None:
        age = self._node.lease.configuration_age(now)
        return None if age == float("inf") else int(age * _MS_PER_SECOND)

    async def _drain_on_signal(self, signals, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:
            async for _ in signals:
                if self._draining:
                    count = self._entry.in_flight
                    _log.warning(
                        "Second shutdown signal; aborting {} calls in flight.", count
                    )
                    scope.cancel()
                    return
                nursery.start_soon(self.shut_down)

    async def _leave_view(self) -> None:
        """Give up the lease and wait briefly for a view without this instance."""
        self._node.lease.leave()
        with trio.move_on_after(_LEAVE_TIMEOUT_SECONDS):
            while self._node.view.contains(self._node.member.identity):
                await trio.sleep(_TICK_INTERVAL_SECONDS)

    async def _handle_call(self, request: Request, responder: Responder) -> None:
        match request.path:
            case "/healthz":
                await responder.send(Response(200))
            case "/readyz":
                await responder.send(Response(200 if self.is_ready else 503))
            case _:
                await self._entry.handle(request, responder)

    # Timers

    async def _tick_forever(self) -> None:
        while True:
            self._tick()
            await trio.sleep(_TICK_INTERVAL_SECONDS)

    def _tick(self) -> None:
        now = self._node.now()
        node = self._node
        self._control.tick(now)
        heartbeat = node.lease.tick(
            node.configuration.index, self._ledger.synced_view, node.view, now
        )
        if heartbeat is not None:
            node.send(heartbeat.name, heartbeat.heartbeat)
        self._apply_view()
        self._send_ledger_effects(self._ledger.tick(node.is_active_member(), now))
        self._slots.tick()
        self._dispatch.tick()
        self._backend_client.close_unusable()

    def _apply_view(self) -> None:
        state = self._node.configuration.state
        if state.view.number == self._applied_view:
            return
        self._applied_view = state.view.number
        for member in state.view.members:
            if member.name != self._node.name:
                self._network.set_peer_address(member.address)
        now = self._node.now()
        self._send_ledger_effects(self._ledger.install_views(state.views, now))

    def _send_ledger_effects(self, effects: list) -> None:
        for effect in effects:
            self._node.send(effect.name, effect.message)

    # Messages

    def _receive(self, source: str, incarnation: int, message: PeerMessage) -> None:
        now = self._node.now()
        match message:
            case MemberHeartbeat():
                self._control.on_heartbeat(
                    MemberIdentity(source, incarnation), message, now
                )
            case HeartbeatReply():
                self._on_heartbeat_reply(source, message, now)
            case Claim() | CloseClaim() | CopyRecords() | CopyAck():
                self._on_ledger_message(
                    MemberIdentity(source, incarnation), message, now
                )
            case SyncRequest() | SyncReply():
                self._on_ledger_message(
                    MemberIdentity(source, incarnation), message, now
                )
            case ClaimAnswer():
                self._claims.receive(message)
            case SlotRequest() | ActiveGrant() | SlotRelease() | SlotWithdraw():
                self._dispatch.receive(source, message)
            case HeldGrants():
                self._dispatch.receive(source, message)
            case AnnounceBackend():
                self._receiver.receive(source, message.announcement)
            case LeaveConfirmed():
                self._announcements.receive(message)
            case SlotGrant() | SlotRefusal() | SlotRevoke():
                self._slots.receive(source, message)
            case SlotWaiting() | UnknownGrants():
                self._slots.receive(source, message)
            case MoveEvidence():
                self._control.on_evidence(message)
            case Propose():
                self._control.on_propose(source, message, now)
            case ProposeReply():
                self._proposals.receive(message)
            case _:
                self._control.on_replica_message(source, message, now)

    def _on_heartbeat_reply(
        self, source: str, reply: HeartbeatReply, now: float
    ) -> None:
        configuration = self._node.configuration
        if reply.update is not None:
            configuration.apply_update(reply.update)
            self._node.lease.on_update(configuration.index, reply.update.last_index)
        if reply.sent_at > 0:
            self._node.lease.on_reply(source, reply, configuration.index, now)
        else:
            self._node.lease.on_announcement(source, reply, configuration.index, now)
        self._apply_view()

    def _on_ledger_message(
        self, source: MemberIdentity, message: PeerMessage, now: float
    ) -> None:
        is_active = self._node.is_active_member()
        self._send_ledger_effects(self._ledger.receive(source, message, is_active, now))
