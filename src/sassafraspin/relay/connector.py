"""Connections to backend servers, direct or through another instance."""

import enum
import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import trio

from sassafraspin.http import Dial, ServerPath
from sassafraspin.http.client_connection import ClientConnection
from sassafraspin.http.sockets import detect_lost_peer, reset
from sassafraspin.membership import Member
from sassafraspin.relay.choice import RelayChoice
from sassafraspin.relay.messages import TunnelReply
from sassafraspin.relay.reachability import PathMonitor
from sassafraspin.relay.tunnel_client import TunnelClient
from sassafraspin.relay.tunnel_server import TunnelRefused
from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import PathLost, PathRegained, log_event

__all__ = ["RelayConnector"]

_HEAD_START_SECONDS = 0.12
"""Time of a direct connection before a tunnel is tried beside it (RFC 8305)."""

_PROBE_SECONDS = 0.15
_PROBE_INTERVAL_SECONDS = 0.3
_SILENCE_PROBE_INTERVAL_SECONDS = 0.4
_MAX_SILENT_PROBES = 2

_SILENCE_SECONDS = 0.3
"""Time without a byte from any server after which a request makes a probe."""

_LIVING_SECONDS = 1.0
"""A direct connection that brought bytes within this time still works."""

_MS_PER_SECOND = 1000

_log = part_logger("relay")


class _Probe(enum.Enum):
    """Result of a probe of one server."""

    REACHED = "reached"
    REFUSED = "refused"
    PATH_FAILED = "path-failed"
    UNKNOWN = "unknown"


@dataclass
class _Race:
    """State of a direct connection that a tunnel may overtake."""

    path: ServerPath | None = None
    error: OSError | None = None


class RelayConnector:
    """Opens connections, through another instance if this one is partitioned.

    Parameters
    ----------
    dial : Dial
        Opens a TCP connection to a server or another instance.
    tunnel_port : int
        Port of the tunnel server of each instance.
    region : str
        Region of this instance.
    members : callable
        Returns the other members of the view.
    servers : callable
        Returns the addresses of the known backend servers.
    generator : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        dial: Dial,
        tunnel_port: int,
        region: str,
        members: Callable[[], Sequence[Member]],
        servers: Callable[[], frozenset[Address]],
        generator: random.Random,
    ) -> None:
        self._dial = dial
        self._servers = servers
        self._generator = generator
        self._tunnels = TunnelClient(
            dial, tunnel_port, RelayChoice(region, members, generator)
        )
        self._monitor = PathMonitor()
        self._nursery: trio.Nursery | None = None
        self._next_probe_at = -math.inf
        self._probed: set[Address] = set()

    @property
    def is_partitioned(self) -> bool:
        """Return whether this instance is partitioned from the backend servers."""
        return self._monitor.is_partitioned

    async def serve(self) -> None:
        """Run the probes that are started, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    # Connections of this instance's own calls

    async def connect(self, address: Address) -> ServerPath:
        """Open a connection; raises ``OSError`` if neither way leads to the server."""
        if not self._monitor.is_partitioned:
            return await self._connect_racing(address)
        result = await self._tunnels.open(address)
        if result.path is not None:
            return result.path
        if result.reply is not None:
            raise OSError(f"another instance cannot connect: {result.reply.name}")
        return await self._connect_direct(address)

    def may_reuse(self, connection: ClientConnection) -> bool:
        """Return whether an idle connection may be used for another request.

        Tunnels are used while the direct path fails. A direct connection is used during
        a partition if it brought bytes after the path was lost.
        """
        if connection.relay is not None:
            return self.has_lost_path(connection.address)
        lost_at = self._monitor.lost_at
        if lost_at is None:
            return True
        age = trio.current_time() - connection.received_at
        return connection.received_at > lost_at and age <= _LIVING_SECONDS

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether no process listens on an address, here and elsewhere.

        Without other instances, this one's own attempt decides.
        """
        if not self._monitor.is_partitioned:
            return await self._probe(address) is _Probe.REFUSED
        result = await self._tunnels.open(address)
        if result.path is not None:
            reset(result.path.stream)
        return result.reply is TunnelReply.TARGET_REFUSED

    def has_lost_path(self, address: Address) -> bool:
        """Return whether this instance lost its own path to a server that is up."""
        now = trio.current_time()
        return self._monitor.is_partitioned or self._monitor.has_failed(address, now)

    async def _connect_direct(self, address: Address) -> ServerPath:
        stream = await self._dial(address)
        detect_lost_peer(stream)
        self._record_success(address)
        return ServerPath(stream)

    async def _connect_racing(self, address: Address) -> ServerPath:
        """Connect directly; if that fails or takes long, race it with a tunnel."""
        race = _Race()
        started_at = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                failed = trio.Event()
                nursery.start_soon(
                    self._race_direct, address, race, failed, nursery.cancel_scope
                )
                with trio.move_on_after(_HEAD_START_SECONDS):
                    await failed.wait()
                # A process that was held up may find both due; the direct one wins.
                await trio.lowlevel.checkpoint()
                result = await self._tunnels.open(address)
                if result.path is not None:
                    self._take_tunnel(result.path, race)
                    nursery.cancel_scope.cancel()
        except BaseException:
            if race.path is not None:
                race.path.stream.socket.close()
            raise
        if race.path is None:
            raise race.error or OSError("neither a direct connection nor a tunnel")
        if race.path.relay is not None:
            self._record_failure(address, started_at, race.error)
        return race.path

    async def _race_direct(
        self,
        address: Address,
        race: _Race,
        failed: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        try:
            path = await self._connect_direct(address)
        except OSError as error:
            race.error = error
            failed.set()
            return
        if race.path is not None:
            path.stream.socket.close()
            return
        race.path = path
        scope.cancel()

    @staticmethod
    def _take_tunnel(path: ServerPath, race: _Race) -> None:
        if race.path is not None:
            reset(path.stream)
            return
        race.path = path

    # Connections for other instances

    async def connect_for_other(
        self, address: Address, limit: float
    ) -> trio.SocketStream:
        """Connect to a server for another instance, only directly.

        Raises
        ------
        TunnelRefused
            If the server is not known, or cannot be reached within the limit.
        """
        if address not in self._servers():
            raise TunnelRefused(TunnelReply.DENIED)
        if self._monitor.is_partitioned:
            raise TunnelRefused(TunnelReply.NO_PATH)
        reply = TunnelReply.TARGET_UNREACHABLE
        started_at = trio.current_time()
        with trio.move_on_after(limit):
            try:
                return (await self._connect_direct(address)).stream
            except ConnectionRefusedError:
                reply = TunnelReply.TARGET_REFUSED
            except OSError as error:
                _log.debug("Cannot connect to {}: {}.", address, error.strerror)
        if not await self._reaches_others(address, started_at):
            reply = TunnelReply.NO_PATH
        raise TunnelRefused(reply)

    async def _reaches_others(self, address: Address, since: float) -> bool:
        """Return whether this instance reaches a server other than an address.

        An earlier success is no proof: the path may have been lost since.
        """
        if self._monitor.has_reached_since(since):
            return True
        other = self._random_server(frozenset((address,)))
        return other is not None and await self._probe_direct(other)

    # Probes

    def tick(self, connections: Iterable[ClientConnection], received_at: float) -> None:
        """Probe servers if requests are silent, or if this instance is partitioned.

        Parameters
        ----------
        connections : iterable of ClientConnection
            Connections with a request in flight.
        received_at : float
            Time at which an idle direct connection last brought bytes.
        """
        now = trio.current_time()
        if self._monitor.is_partitioned:
            self._abandon_silent(connections, now)
            if now >= self._next_probe_at:
                self._next_probe_at = now + _PROBE_INTERVAL_SECONDS
                self._start_probe(self._random_server(), self._probe_direct)
            return
        direct = [item for item in connections if item.relay is None]
        last = max((item.received_at for item in direct), default=received_at)
        if not direct or now - max(last, received_at) < _SILENCE_SECONDS:
            return
        if now < self._next_probe_at:
            return
        silent = {
            item.address for item in direct if now - item.sent_at >= _SILENCE_SECONDS
        }
        if silent:
            self._next_probe_at = now + _SILENCE_PROBE_INTERVAL_SECONDS
            for address in list(silent)[:_MAX_SILENT_PROBES]:
                self._start_probe(address, self._probe)

    def _abandon_silent(
        self, connections: Iterable[ClientConnection], now: float
    ) -> None:
        """End requests that may run again and wait on a path that hangs."""
        lost_at = self._monitor.lost_at
        if lost_at is None or not self._monitor.hangs:
            return
        for connection in list(connections):
            if (
                connection.relay is None
                and connection.may_abandon
                and connection.received_at <= lost_at
                and now - connection.sent_at >= _SILENCE_SECONDS
            ):
                connection.abandon()

    def _start_probe(self, address: Address | None, probe) -> None:
        if self._nursery is None or address is None or address in self._probed:
            return
        self._probed.add(address)
        self._nursery.start_soon(self._run_probe, address, probe)

    async def _run_probe(self, address: Address, probe) -> None:
        try:
            await probe(address)
        finally:
            self._probed.discard(address)

    async def _probe(self, address: Address) -> _Probe:
        """Connect to a server directly and, if that fails, through a tunnel."""
        started_at = trio.current_time()
        refusal = None
        with trio.move_on_after(_PROBE_SECONDS):
            try:
                (await self._connect_direct(address)).stream.socket.close()
                return _Probe.REACHED
            except OSError as error:
                refusal = error
        result = await self._tunnels.open(address)
        if result.path is not None:
            reset(result.path.stream)
            self._record_failure(address, started_at, refusal)
            return _Probe.PATH_FAILED
        is_refused = isinstance(refusal, ConnectionRefusedError)
        if is_refused and self._is_confirmed(result.reply):
            return _Probe.REFUSED
        return _Probe.UNKNOWN

    def _is_confirmed(self, reply: TunnelReply | None) -> bool:
        """Return whether a refusal was seen elsewhere too, if there are others."""
        if reply is None:
            return not self._tunnels.has_relays
        return reply is TunnelReply.TARGET_REFUSED

    async def _probe_direct(self, address: Address) -> bool:
        """Return whether this instance reaches a server itself."""
        with trio.move_on_after(_PROBE_SECONDS):
            try:
                (await self._connect_direct(address)).stream.socket.close()
                return True
            except OSError as error:
                _log.debug("A probe of {} failed: {}.", address, error.strerror)
        self._monitor.record_failed_probe()
        return False

    def _random_server(self, other_than: frozenset = frozenset()) -> Address | None:
        servers = sorted(
            self._servers() - other_than, key=lambda item: (item.host, item.port)
        )
        return self._generator.choice(servers) if servers else None

    # Estimate

    def _record_success(self, address: Address) -> None:
        lost_at = self._monitor.lost_at
        now = trio.current_time()
        self._monitor.record_success(address, now)
        if lost_at is not None and not self._monitor.is_partitioned:
            log_event(PathRegained(int((now - lost_at) * _MS_PER_SECOND)))

    def _record_failure(
        self, address: Address, started_at: float, error: OSError | None
    ) -> None:
        was_partitioned = self._monitor.is_partitioned
        has_hung = error is None
        now = trio.current_time()
        self._monitor.record_failure(address, started_at, now, has_hung)
        if was_partitioned:
            return
        if self._monitor.is_partitioned:
            self._next_probe_at = now
            log_event(PathLost(f"{address.host}:{address.port}", has_hung))
            return
        # A second server decides at once whether all paths are lost.
        other = self._random_server(frozenset((address,)))
        self._start_probe(other, self._probe)
