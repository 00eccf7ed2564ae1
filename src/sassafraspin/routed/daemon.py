"""Daemon process: discovers its peers, then serves until shutdown."""

import random
import signal
from dataclasses import replace

import trio

from sassafraspin.clock import steady_time
from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.setup import local_member
from sassafraspin.discovery import (
    ControlDiscovery,
    ControlInstanceStore,
    ControlMap,
    Seek,
)
from sassafraspin.http import (
    Claim,
    Dial,
    HttpServer,
    MemoryBudget,
    Request,
    Response,
    as_handler,
    dial_tcp,
)
from sassafraspin.membership import Member, MemberIdentity
from sassafraspin.relay import TunnelRefused, TunnelReply, TunnelServer
from sassafraspin.routed.adapter import ProtocolAdapter
from sassafraspin.routed.problems import NotCurrent
from sassafraspin.routed.runtime import RoutedRuntime
from sassafraspin.routed.settings import RoutedSettings
from sassafraspin.routed.setup import (
    discovery_settings,
    instance_card,
)
from sassafraspin.routes import CallerLimits
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import Address, NamedAddress
from sassafraspin.storage import DataFolder, StorageError
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
_FINAL_ANSWERS_SECONDS = 0.3
_SEARCH_TICK_SECONDS = 0.05
_SAVE_RETRY_SECONDS = 0.5
_INTRODUCTION_SECONDS = 0.5
_MS_PER_SECOND = 1000

_CONTROL_MEMORY_FRACTION = 0.125
_MAX_CONTROL_BYTES = 8_000_000
"""Part of the memory for requests of operators and backend servers and for probes. The
largest configurations have some 100 kB."""

_READINESS_CONNECTIONS = 64
"""Load balancers probe once a second, each on one connection."""

_CONTROL_WAIT_SECONDS = 0.3
"""Longest wait of a call for the discovery of the control instances. They answer within
two round trips, and half of the callers' shortest time limit remains after the wait."""

_log = part_logger("daemon")


class RoutedDaemon:
    """An instance that serves the routes of the routing table.

    Parameters
    ----------
    settings : RoutedSettings
        Validated settings.
    adapter : ProtocolAdapter
        Translates HTTP messages of callers, backend servers and operators.
    seed : int or None
        Seed of the random number generator.
    dial : Dial
        Opens TCP connections to backend servers and other instances.
    """

    def __init__(
        self,
        settings: RoutedSettings,
        adapter: ProtocolAdapter,
        seed: int | None = None,
        dial: Dial = dial_tcp,
    ) -> None:
        self._settings = settings
        self._dial = dial
        self._adapter = adapter
        self._generator = random.Random(seed)
        self._draining = False
        self._drained = trio.Event()
        listen = settings.listen
        self._member = local_member(settings.instance, listen.peers, listen.control)
        self._network = PeerNetwork(
            self._member.name,
            self._member.incarnation,
            settings.listen.peers,
            PeerMessage,
            self._receive,
        )
        self._control_store: ControlInstanceStore | None = None
        self._saved_control: tuple[NamedAddress, ...] = ()
        self._next_introduction_at = float("-inf")
        self._next_save_at = float("-inf")
        self._discovery = ControlDiscovery(
            discovery_settings(settings),
            instance_card(settings, self._member),
            steady_time(),
        )
        self._runtime: RoutedRuntime | None = None
        self._control_known = trio.Event()
        self._limits: CallerLimits | None = None
        limits = settings.http
        control_bytes = min(
            int(_CONTROL_MEMORY_FRACTION * limits.memory_bytes), _MAX_CONTROL_BYTES
        )
        control_memory = MemoryBudget(control_bytes)
        self._memory = MemoryBudget(limits.memory_bytes - control_bytes)
        self._caller_server = HttpServer(
            settings.listen.callers,
            limits,
            self._handle_call,
            self._memory,
            self._classify,
        )
        # Control and readiness have memory and connections that callers cannot take.
        self._readiness_server = HttpServer(
            settings.listen.readiness,
            replace(limits, connections=_READINESS_CONNECTIONS),
            as_handler(self._answer_readiness),
            control_memory,
        )
        self._control_server = HttpServer(
            settings.listen.control,
            replace(limits, connections=limits.control_connections),
            as_handler(self._answer_control),
            control_memory,
        )
        self._tunnel_server: TunnelServer | None = None
        if listen.tunnels is not None:
            self._tunnel_server = TunnelServer(
                listen.tunnels, self._connect_for_other, settings.max_tunnels
            )

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        runtime = self._runtime
        if self._draining or runtime is None:
            return False
        return runtime.routing_view.is_confirmed and runtime.has_table

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the instances that this one knows, itself included."""
        return () if self._runtime is None else self._runtime.node.view.members

    @property
    def servers(self) -> frozenset[Address]:
        """Return the addresses of the backend servers that this instance knows."""
        return frozenset() if self._runtime is None else self._runtime.servers

    @property
    def tunnels(self) -> int:
        """Return the number of open tunnels of other instances."""
        return 0 if self._tunnel_server is None else self._tunnel_server.tunnels

    @property
    def _in_flight(self) -> int:
        return 0 if self._runtime is None else self._runtime.entry.in_flight

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until a shutdown has completed."""
        try:
            await self._serve(task_status)
        finally:
            if self._runtime is not None:
                self._runtime.close()

    async def _serve(self, task_status) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self._network.serve)
            for server in (
                self._readiness_server,
                self._control_server,
                self._caller_server,
            ):
                await nursery.start(server.serve)
            if self._tunnel_server is not None:
                await nursery.start(self._tunnel_server.serve)
            nursery.start_soon(self._discover_control_then_tick, nursery)
            log_event(InstanceStarted(self._member.name, self._member.incarnation))
            task_status.started()
            await self._drained.wait()
            nursery.cancel_scope.cancel()

    async def run_until_signal(self) -> None:
        """Serve until SIGTERM or SIGINT; a second one stops immediately.

        SIGHUP is ignored.
        """
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._handle_signals, signals, nursery.cancel_scope)
                await self.run()
                nursery.cancel_scope.cancel()

    async def shut_down(self) -> None:
        """Fail readiness, drain requests in flight, then give up the lease.

        Calls that outlast the drain timeout get a final answer; the rest is aborted.
        """
        self._draining = True
        log_event(InstanceStopping(self._member.name, self._in_flight))
        if self._tunnel_server is not None:
            self._tunnel_server.stop_accepting()
        if self._runtime is not None:
            self._runtime.start_leaving()
        await trio.sleep(self._settings.readiness_grace_ms / _MS_PER_SECOND)
        timeout = self._settings.drain_timeout_ms / _MS_PER_SECOND
        cut = 0
        if self._runtime is not None:
            self._runtime.entry.stop_at(steady_time() + timeout)
        with trio.move_on_after(timeout) as scope:
            await self._caller_server.drain()
            if self._tunnel_server is not None:
                await self._tunnel_server.wait_unused()
        if scope.cancelled_caught:
            cut = self._in_flight
            await self._stop_calls()
        if self._runtime is not None:
            self._runtime.node.lease.leave()
            self._runtime.tick()
        log_event(InstanceStopped(self._member.name, cut))
        self._drained.set()

    async def _stop_calls(self) -> None:
        """End the calls in flight, and wait until their answers were sent."""
        if self._runtime is not None:
            self._runtime.entry.stop_calls()
        with trio.move_on_after(_FINAL_ANSWERS_SECONDS):
            await self._caller_server.wait_drained()

    async def _handle_signals(self, signals, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:
            async for number in signals:
                if number == signal.SIGHUP:
                    _log.info("Ignoring SIGHUP: no setting can be reloaded.")
                elif self._draining:
                    _log.warning("Second signal received; aborting calls in flight.")
                    scope.cancel()
                    return
                else:
                    nursery.start_soon(self.shut_down)

    # Requests

    async def _handle_call(self, request: Request, responder) -> None:
        if self._runtime is None:
            with trio.move_on_after(_CONTROL_WAIT_SECONDS):
                await self._control_known.wait()
        if self._runtime is None:
            _log.warning("Refused a call: the control instances are not known yet.")
            problem = NotCurrent("the control instances are not known here yet")
            await responder.send(self._adapter.refusal(problem))
            return
        await self._runtime.entry.handle(request, responder)

    def _classify(self, request: Request, peer: str) -> Claim:
        if self._runtime is None:
            return Claim(peer)
        return self._runtime.entry.claim(request, peer)

    async def _answer_readiness(self, request: Request) -> Response:
        return Response(200 if self.is_ready else 503)

    async def _answer_control(self, request: Request) -> Response:
        if self._runtime is None:
            return Response(503)
        return await self._runtime.handle_control(request)

    async def _connect_for_other(
        self, address: Address, limit: float
    ) -> trio.SocketStream:
        """Connect to a backend server for another instance."""
        if self._runtime is None or self._runtime.relay is None:
            raise TunnelRefused(TunnelReply.DENIED)
        return await self._runtime.relay.connect_for_other(address, limit)

    # Periodic work

    async def _discover_control_then_tick(self, nursery: trio.Nursery) -> None:
        await self._discover_control()
        self._runtime = RoutedRuntime(
            self._settings,
            self._discovery.control,
            self._member,
            self._network,
            self._adapter,
            self._generator,
            self._memory,
            self._dial,
        )
        self._control_known.set()
        if self._runtime.relay is not None:
            nursery.start_soon(self._runtime.relay.serve)
        while True:
            self._runtime.tick()
            self._update_control(self._runtime.node)
            self._save_control()
            self._introduce_control(self._runtime)
            self._apply_caller_limits(self._runtime.node)
            await trio.sleep(_TICK_SECONDS)

    def _update_control(self, node: Node) -> None:
        """Update and save the control instances after one was replaced."""
        names = node.lease.control_names
        if names == tuple(address.name for address in self._discovery.control):
            return
        members = [node.view.find(name) for name in names]
        control = tuple(member.address for member in members if member is not None)
        if len(control) < len(names):
            return
        log_event(ControlChanged(names))
        self._discovery.replace_control(control)

    def _introduce_control(self, runtime: RoutedRuntime) -> None:
        """Send the control instances to members that do not report to this leader.

        They may have restarted, and the seeds that they ask may not know them either.
        """
        now = steady_time()
        if now < self._next_introduction_at:
            return
        self._next_introduction_at = now + _INTRODUCTION_SECONDS
        message = ControlMap(self._discovery.control)
        for member in runtime.silent_members():
            if member.name != self._member.name:
                self._network.set_peer_address(member.address)
                self._network.send(member.name, message)

    def _apply_caller_limits(self, node: Node) -> None:
        """Apply the caller limits of the current routing table."""
        declared = node.configuration.state.routing
        if declared is None or declared.table.limits == self._limits:
            return
        self._limits = declared.table.limits
        self._caller_server.set_limits(
            replace(
                self._settings.http,
                header_bytes=self._limits.header_bytes,
                body_bytes=self._limits.body_bytes,
                header_timeout_ms=self._limits.header_timeout_ms,
                idle_timeout_ms=self._limits.idle_timeout_ms,
            )
        )

    def _save_control(self) -> None:
        """Save the control instances, so that a restart needs no seeds.

        After a storage error it is tried again.
        """
        control = self._discovery.control
        if self._settings.data_folder is None or control == self._saved_control:
            return
        now = steady_time()
        if now < self._next_save_at:
            return
        self._next_save_at = now + _SAVE_RETRY_SECONDS
        try:
            self._open_store().save(control)
        except StorageError as error:
            _log.error("Cannot save the control instances: {}.", error)
            return
        self._saved_control = control
        self._next_save_at = float("-inf")

    def _load_control(self) -> tuple[NamedAddress, ...]:
        """Return the saved control instances, empty if they cannot be read."""
        if self._settings.data_folder is None:
            return ()
        try:
            return self._open_store().load()
        except StorageError as error:
            _log.error("Cannot read the control instances: {}.", error)
            return ()

    def _open_store(self) -> ControlInstanceStore:
        """Return the store of the control instances; raises ``StorageError``."""
        if self._control_store is None:
            self._control_store = ControlInstanceStore(
                DataFolder(self._settings.data_folder)
            )
        return self._control_store

    async def _discover_control(self) -> None:
        """Load the control instances from disk or ask other instances for them."""
        self._saved_control = self._load_control()
        if self._saved_control:
            self._discovery.receive(ControlMap(self._saved_control))
        while not self._discovery.control:
            for address, seek in self._discovery.tick(steady_time()):
                name = f"seed-{address.host}"
                self._network.set_peer_address(
                    NamedAddress(name, address.host, address.port)
                )
                self._network.send(name, seek)
            await trio.sleep(_SEARCH_TICK_SECONDS)
        self._save_control()
        control = self._discovery.control
        for address in control:
            self._network.set_peer_address(address)
        log_event(ControlChanged(tuple(address.name for address in control)))

    # Messages

    def _receive(self, source: str, incarnation: int, message: PeerMessage) -> None:
        match message:
            case Seek():
                self._reply_to_seek(message)
            case ControlMap():
                self._discovery.receive(message)
            case _ if self._runtime is not None:
                self._runtime.receive(MemberIdentity(source, incarnation), message)

    def _reply_to_seek(self, seek: Seek) -> None:
        self._discovery.receive(seek)
        self._network.set_peer_address(seek.card.address)
        if self._discovery.control:
            self._network.send(seek.card.name, ControlMap(self._discovery.control))
