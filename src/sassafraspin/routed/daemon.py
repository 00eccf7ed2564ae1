"""One daemon for declared routes: finds its peers, then serves until a shutdown."""

import random
import signal
from dataclasses import replace

import trio

from sassafraspin.clock import steady_time
from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.setup import own_member
from sassafraspin.discovery import (
    ControlMap,
    ControlSearch,
    Seek,
)
from sassafraspin.http import (
    HttpServer,
    Request,
    Response,
    answering,
)
from sassafraspin.membership import (
    MemberIdentity,
)
from sassafraspin.routed.dialect import Dialect
from sassafraspin.routed.duties import Duties
from sassafraspin.routed.problems import NotCurrent
from sassafraspin.routed.settings import RoutedSettings
from sassafraspin.routed.setup import (
    instance_card,
    open_book,
    search_settings,
)
from sassafraspin.routes import CallerLimits
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import (
    NamedAddress,
)
from sassafraspin.storage import StorageError
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import (
    ControlChanged,
    InstanceStarted,
    InstanceStopped,
    InstanceStopping,
    log_event,
)

__all__ = ["RoutedDaemon"]

_TICK_SECONDS = 0.1
_SEARCH_TICK_SECONDS = 0.05
_MS_PER_SECOND = 1000

_CONTROL_WAIT_SECONDS = 0.3
"""Time for which a call waits until the control instances are known; they answer within
two round trips, and half of the shortest time limit of callers is left."""

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
        self._member = own_member(settings.instance, settings.listen.peers)
        self._network = PeerNetwork(
            self._member.name,
            self._member.incarnation,
            settings.listen.peers,
            PeerMessage,
            self._receive,
        )
        self._book = open_book(settings)
        self._search = ControlSearch(
            search_settings(settings),
            instance_card(settings, self._member),
            steady_time(),
        )
        self._duties: Duties | None = None
        self._found_control = trio.Event()
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

    @property
    def _in_flight(self) -> int:
        return 0 if self._duties is None else self._duties.entry.in_flight

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
            log_event(InstanceStarted(self._member.name, self._member.incarnation))
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
        log_event(InstanceStopping(self._member.name, self._in_flight))
        await trio.sleep(self._settings.readiness_grace_ms / _MS_PER_SECOND)
        timeout = self._settings.drain_timeout_ms / _MS_PER_SECOND
        cut = 0
        with trio.move_on_after(timeout) as scope:
            await self._callers.drain()
        if scope.cancelled_caught:
            cut = self._in_flight
        if self._duties is not None:
            self._duties.node.lease.leave()
            self._duties.tick()
        log_event(InstanceStopped(self._member.name, cut))
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
            with trio.move_on_after(_CONTROL_WAIT_SECONDS):
                await self._found_control.wait()
        if self._duties is None:
            _log.warning("A call is refused: the control instances are not known.")
            problem = NotCurrent("the control instances are not known here yet")
            await responder.send(self._dialect.refusal(problem))
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
        self._duties = Duties(
            self._settings,
            self._search.control,
            self._member,
            self._network,
            self._dialect,
            self._generator,
        )
        self._found_control.set()
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
        log_event(ControlChanged(names))
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
            for address, seek in self._search.tick(steady_time()):
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
        log_event(ControlChanged(tuple(address.name for address in control)))

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
