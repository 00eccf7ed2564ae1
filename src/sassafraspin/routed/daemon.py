"""One daemon for declared routes: finds its peers, then serves until a shutdown."""

import random
import signal
import time
from dataclasses import replace

import trio

from sassafraspin.control import Configuration
from sassafraspin.daemon.control_shell import ControlShell
from sassafraspin.daemon.dispatch_duty import DispatchDuty
from sassafraspin.daemon.messages import PeerMessage, Propose, ProposeReply
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.proposals import ProposalClient
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.discovery import (
    ControlBook,
    ControlMap,
    ControlSearch,
    InstanceCard,
    SearchSettings,
    Seek,
)
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
from sassafraspin.dispatch.directory import (
    BackendDirectory,
    DirectoryFeed,
    DirectoryUpdate,
)
from sassafraspin.http import (
    ClientTimeouts,
    HttpClient,
    HttpServer,
    Request,
    Response,
    answering,
)
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberLease,
    MemberTimings,
)
from sassafraspin.moves import MoveEvidence
from sassafraspin.routed.dialect import Dialect
from sassafraspin.routed.entry import RoutedEntry
from sassafraspin.routed.leader_scope import LeaderScope
from sassafraspin.routed.operations import Operations
from sassafraspin.routed.routing_view import RoutingView
from sassafraspin.routed.settings import RoutedSettings
from sassafraspin.routed.standby_scope import StandbyScope
from sassafraspin.routes import CallerLimits
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import (
    AccessSettings,
    DaemonSettings,
    ListenSettings,
    NamedAddress,
)
from sassafraspin.storage import DataFolder, StorageError
from sassafraspin.telemetry import Metrics, part_logger

__all__ = ["RoutedDaemon"]

_TICK_SECONDS = 0.1
_SEARCH_TICK_SECONDS = 0.05
_MS_PER_SECOND = 1000

_log = part_logger("daemon")


class RoutedDaemon:
    """An instance that serves declared routes.

    Parameters
    ----------
    settings : RoutedSettings
        Settings, checked.
    dialect : Dialect
        Translates the messages of callers, backend servers and operators.
    seed : int or None
        Seed of random choices.
    """

    def __init__(
        self, settings: RoutedSettings, dialect: Dialect, seed: int | None = None
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._generator = random.Random(seed)
        self._draining = False
        self._drained = trio.Event()
        peers = settings.listen.peers
        self._member = Member(
            settings.instance.name,
            time.time_ns() // 1_000,
            settings.instance.region,
            settings.instance.availability_zone,
            peers.host,
            peers.port,
        )
        self._network = PeerNetwork(
            self._member.name,
            self._member.incarnation,
            peers,
            PeerMessage,
            self._receive,
        )
        self._book = _open_book(settings)
        self._search = ControlSearch(
            _search_settings(settings), _card(settings, self._member), _steady_time()
        )
        self._duties: _Duties | None = None
        self._limits: CallerLimits | None = None
        limits = settings.http
        self._callers = HttpServer(settings.listen.callers, limits, self._handle_call)
        self._readiness = HttpServer(
            settings.listen.readiness, limits, answering(self._answer_readiness)
        )
        self._control = HttpServer(
            settings.listen.control, limits, answering(self._answer_control)
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        duties = self._duties
        if self._draining or duties is None:
            return False
        return duties.view.is_confirmed and duties.has_table

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until a shutdown has drained everything."""
        try:
            await self._serve(task_status)
        finally:
            if self._duties is not None:
                self._duties.close()

    async def _serve(self, task_status) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self._network.serve)
            for server in (self._readiness, self._control, self._callers):
                await nursery.start(server.serve)
            nursery.start_soon(self._find_control_then_tick)
            _log.info("Instance {} is listening.", self._member.name)
            task_status.started()
            await self._drained.wait()
            nursery.cancel_scope.cancel()

    async def run_until_signal(self) -> None:
        """Serve until SIGTERM or SIGINT; a second signal stops at once."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_signals, signals, nursery.cancel_scope)
                await self.run()
                nursery.cancel_scope.cancel()

    async def shut_down(self) -> None:
        """Drain: readiness fails first, requests in flight end, the lease is left."""
        self._draining = True
        _log.info("Shutdown: readiness fails now.")
        await trio.sleep(self._settings.readiness_grace_ms / _MS_PER_SECOND)
        timeout = self._settings.drain_timeout_ms / _MS_PER_SECOND
        with trio.move_on_after(timeout) as scope:
            await self._callers.drain()
        if scope.cancelled_caught:
            _log.warning("Shutdown: calls in flight are cut.")
        if self._duties is not None:
            self._duties.node.lease.leave()
            self._duties.tick()
        _log.info("Shutdown: done.")
        self._drained.set()

    async def _follow_signals(self, signals, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:
            async for number in signals:
                if number == signal.SIGHUP:
                    _log.info("Reload: the settings have no field that can change.")
                elif self._draining:
                    _log.warning("Second signal: calls in flight are cut.")
                    scope.cancel()
                    return
                else:
                    nursery.start_soon(self.shut_down)

    # Requests

    async def _handle_call(self, request: Request, responder) -> None:
        if self._duties is None:
            await responder.send(Response(503))
            return
        await self._duties.entry.handle(request, responder)

    async def _answer_readiness(self, request: Request) -> Response:
        return Response(200 if self.is_ready else 503)

    async def _answer_control(self, request: Request) -> Response:
        if self._duties is None:
            return Response(503)
        return await self._duties.handle_control(request)

    # Time

    async def _find_control_then_tick(self) -> None:
        await self._find_control()
        self._duties = _Duties(
            self._settings,
            self._search.control,
            self._member,
            self._network,
            self._dialect,
            self._generator,
        )
        while True:
            self._duties.tick()
            self._follow_control(self._duties.node)
            self._follow_limits(self._duties.node)
            await trio.sleep(_TICK_SECONDS)

    def _follow_control(self, node: Node) -> None:
        """Remember the control instances after one of them was replaced."""
        names = node.lease.control_names
        if names == tuple(address.name for address in self._search.control):
            return
        members = [node.view.find(name) for name in names]
        control = tuple(member.address for member in members if member is not None)
        if len(control) < len(names):
            return
        _log.info("The control instances are now {}.", ", ".join(names))
        self._search.replace_control(control)
        self._keep_control()

    def _follow_limits(self, node: Node) -> None:
        """Bound callers as the routing table in force says."""
        declared = node.configuration.state.routing
        if declared is None or declared.table.limits == self._limits:
            return
        self._limits = declared.table.limits
        self._callers.set_limits(
            replace(
                self._settings.http,
                header_bytes=self._limits.header_bytes,
                body_bytes=self._limits.body_bytes,
                header_timeout_ms=self._limits.header_timeout_ms,
                idle_timeout_ms=self._limits.idle_timeout_ms,
            )
        )

    def _keep_control(self) -> None:
        """Make the control instances durable, for a start without seeds."""
        if self._book is None:
            return
        try:
            self._book.save(self._search.control)
        except StorageError as error:
            _log.error("The control instances cannot be kept: {}.", error)

    async def _find_control(self) -> None:
        """Learn the control instances from the disk or from other instances."""
        known = () if self._book is None else self._book.load()
        if known:
            self._search.receive(ControlMap(known))
        while not self._search.control:
            for address, seek in self._search.tick(_steady_time()):
                name = f"seed-{address.host}"
                self._network.learn_address(
                    NamedAddress(name, address.host, address.port)
                )
                self._network.send(name, seek)
            await trio.sleep(_SEARCH_TICK_SECONDS)
        control = self._search.control
        if control != known:
            self._keep_control()
        for address in control:
            self._network.learn_address(address)
        names = ", ".join(address.name for address in control)
        _log.info("The control instances are {}.", names)

    # Messages

    def _receive(self, source: str, incarnation: int, message: PeerMessage) -> None:
        match message:
            case Seek():
                self._answer_seek(message)
            case ControlMap():
                self._search.receive(message)
            case _ if self._duties is not None:
                self._duties.receive(MemberIdentity(source, incarnation), message)

    def _answer_seek(self, seek: Seek) -> None:
        self._search.receive(seek)
        self._network.learn_address(seek.card.address)
        if self._search.control:
            self._network.send(seek.card.name, ControlMap(self._search.control))


class _Duties:
    """The parts of a daemon that need to know the control instances."""

    def __init__(
        self,
        settings: RoutedSettings,
        control: tuple[NamedAddress, ...],
        member: Member,
        network: PeerNetwork,
        dialect: Dialect,
        generator: random.Random,
    ) -> None:
        self._network = network
        self._followed_view = 0
        daemon_settings = _daemon_settings(settings, control)
        self.node = _make_node(daemon_settings, member, network)
        self.view = RoutingView(self.node)
        self._client = HttpClient(_client_timeouts(daemon_settings))
        self._proposals = ProposalClient(self.node)
        base = settings.data_folder.parent if settings.data_folder else None
        self._control = ControlShell(self.node, base, generator, network.learn_address)
        dispatch = daemon_settings.dispatch
        self._directory = BackendDirectory(dispatch.directory_keep_ms / _MS_PER_SECOND)
        self._feed = DirectoryFeed(dispatch.directory_interval_ms / _MS_PER_SECOND)
        scope = LeaderScope(self.node, self._control, self._directory)
        self._dispatch = DispatchDuty(self.node, generator, _no_orders, scope)
        standby_scope = StandbyScope(
            self.node, scope, self._directory, lambda: self._slots.uses_standby
        )
        self._standby = DispatchDuty(
            self.node, generator, _no_orders, standby_scope, "standby"
        )
        self._slots = SlotClient(self.node, self._standby)
        self.entry = RoutedEntry(
            self.node, dialect, self.view, self._slots, self._client, generator
        )
        operations = Operations(
            self.node,
            self._control,
            self._proposals,
            self._dispatch,
            settings.listen.control.port,
        )
        self.handle_control = dialect.control_handler(operations)

    @property
    def has_table(self) -> bool:
        """Return whether a routing table is in force here."""
        return self.node.configuration.state.routing is not None

    def tick(self) -> None:
        """Let time pass."""
        now = self.node.now()
        node = self.node
        self._control.tick(now)
        heartbeat = node.lease.tick(
            node.configuration.index, node.view.number, node.view, now
        )
        if heartbeat is not None:
            node.send(heartbeat.name, heartbeat.heartbeat)
        self._follow_view()
        self._slots.tick()
        self._dispatch.tick()
        self._standby.tick()
        self._tell_backends(now)

    def close(self) -> None:
        """Close every idle connection to backend servers."""
        self._client.close()

    def _tell_backends(self, now: float) -> None:
        """Tell the other instances of the backend servers that this one knows."""
        if not self._control.leads(now):
            return
        for update in self._feed.updates(self._dispatch.backends(), now):
            self._directory.take(update, now)
            for member in self.node.view.members:
                if member.name != self.node.name:
                    self.node.send(member.name, update)

    def receive(self, source: MemberIdentity, message: PeerMessage) -> None:
        """Handle a message of another instance."""
        now = self.node.now()
        match message:
            case MemberHeartbeat():
                self._control.on_heartbeat(source, message, now)
            case HeartbeatReply():
                self._on_heartbeat_reply(source.name, message, now)
            case SlotRequest() | ActiveGrant() | SlotRelease() | SlotWithdraw():
                self._dispatch.receive(source.name, message)
            case HeldGrants() | AnnounceBackend():
                self._dispatch.receive(source.name, message)
            case SlotGrant() | SlotRefusal() | SlotRevoke():
                self._slots.receive(source.name, message)
            case SlotWaiting() | UnknownGrants():
                self._slots.receive(source.name, message)
            case DirectoryUpdate():
                self._directory.take(message, now)
            case MoveEvidence():
                self._control.on_evidence(message)
            case Propose():
                self._control.on_propose(source.name, message, now)
            case ProposeReply():
                self._proposals.receive(message)
            case _:
                self._control.on_replica_message(source.name, message, now)

    def _on_heartbeat_reply(
        self, source: str, reply: HeartbeatReply, now: float
    ) -> None:
        configuration = self.node.configuration
        if reply.leader == source:
            self._slots.note_dispatcher()
        if reply.update is not None:
            configuration.take_update(reply.update)
        if reply.sent_at > 0:
            self.node.lease.on_reply(reply, configuration.index, now)
        elif reply.leader is not None:
            self.node.lease.note_leader(reply.leader)
        self._follow_view()

    def _follow_view(self) -> None:
        view = self.node.view
        if view.number == self._followed_view:
            return
        self._followed_view = view.number
        for member in view.members:
            if member.name != self.node.name:
                self._network.learn_address(member.address)


def _steady_time() -> float:
    """Return seconds of a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_node(settings: DaemonSettings, member: Member, network: PeerNetwork) -> Node:
    control = settings.control
    lease = MemberLease(
        member,
        tuple(address.name for address in control.instances),
        control.heartbeat_interval_ms / _MS_PER_SECOND,
        MemberTimings(control.member_lease_ms / _MS_PER_SECOND),
    )
    return Node(
        settings,
        member,
        Configuration(),
        lease,
        Metrics(f"sassafraspin.{member.name}"),
        _steady_time,
        network.send,
        leader_dispatches=True,
    )


def _daemon_settings(
    settings: RoutedSettings, control: tuple[NamedAddress, ...]
) -> DaemonSettings:
    """Return the settings of the parts that other daemons have too."""
    folder = settings.data_folder
    listen = settings.listen
    return DaemonSettings(
        instance=settings.instance,
        listen=ListenSettings(listen.callers, listen.control, listen.peers),
        control=replace(
            settings.control,
            instances=control,
            data_folder=None if folder is None else folder.name,
            spare=folder is not None,
        ),
        access=AccessSettings((), (), ""),
        services=(),
        http=settings.http,
        dispatch=settings.dispatch,
    )


def _search_settings(settings: RoutedSettings) -> SearchSettings:
    instances = 2 * settings.tolerated_losses + 1
    return SearchSettings(
        settings.seeds,
        settings.founds,
        instances,
        settle=settings.founding_settle_ms / _MS_PER_SECOND,
    )


def _card(settings: RoutedSettings, member: Member) -> InstanceCard:
    return InstanceCard(
        member.name,
        member.availability_zone,
        member.host,
        member.port,
        settings.may_found,
    )


def _open_book(settings: RoutedSettings) -> ControlBook | None:
    if settings.data_folder is None:
        return None
    try:
        return ControlBook(DataFolder(settings.data_folder))
    except StorageError as error:
        _log.error("The data folder cannot be used: {}.", error)
        return None


def _client_timeouts(settings: DaemonSettings) -> ClientTimeouts:
    dispatch = settings.dispatch
    return ClientTimeouts(
        dispatch.connect_timeout_ms / _MS_PER_SECOND,
        dispatch.progress_timeout_ms / _MS_PER_SECOND,
    )


def _no_orders(order, ended) -> None:
    """Backend servers of declared routes load their versions by themselves."""
