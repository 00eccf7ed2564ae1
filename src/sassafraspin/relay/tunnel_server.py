"""Server that connects other instances to backend servers."""

from collections.abc import Awaitable, Callable

import trio

from sassafraspin.errors import RemoteFailure
from sassafraspin.http.sockets import (
    check_not_reset,
    detect_lost_peer,
    reset,
    reset_on_close,
)
from sassafraspin.relay.messages import (
    BadFrame,
    TunnelReply,
    TunnelRequest,
    encode_reply,
    receive_request,
)
from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger

__all__ = ["TUNNEL_BYTES", "OpenTarget", "TunnelRefused", "TunnelServer"]

_COPY_BYTES = 16_384
TUNNEL_BYTES = 2 * _COPY_BYTES + 8_192
"""Most memory of one tunnel: a buffer for each direction, its tasks and sockets."""

_REQUEST_SECONDS = 1.0
"""Limit for the arrival of the request frame."""

_CALLER_ENDED_SECONDS = 1.0
_SERVER_ENDED_SECONDS = 10.0
"""Limits for the other direction after one has ended in order. Instances end their side
only when no answer is due."""

_CALLER_LOST_MS = 30_000
"""A caller's instance whose own caller reads slowly leaves its receive buffer full."""

_POLL_SECONDS = 0.05
_MS_PER_SECOND = 1000
_LOST = (trio.BrokenResourceError, trio.ClosedResourceError)

_log = part_logger("relay")


class TunnelRefused(RemoteFailure):
    """No tunnel is opened; ``reply`` tells the other instance why."""

    def __init__(self, reply: TunnelReply) -> None:
        super().__init__(f"no tunnel: {reply.name.lower()}")
        self.reply = reply


OpenTarget = Callable[[Address, float], Awaitable[trio.SocketStream]]
"""Connects to a backend server within seconds; raises ``TunnelRefused``."""


class TunnelServer:
    """Accepts requests of other instances for tunnels to backend servers.

    Parameters
    ----------
    address : Address
        Address to listen on.
    open_target : OpenTarget
        Connects directly to a backend server.
    max_tunnels : int
        Largest number of tunnels at the same time.
    """

    def __init__(
        self, address: Address, open_target: OpenTarget, max_tunnels: int
    ) -> None:
        self._address = address
        self._open_target = open_target
        self._max_tunnels = max_tunnels
        self._is_stopping = False
        self._connections = 0

    @property
    def tunnels(self) -> int:
        """Return the number of tunnels, those that are being opened included."""
        return self._connections

    def stop_accepting(self) -> None:
        """Deny new tunnels from now on; the open ones live on."""
        self._is_stopping = True

    async def wait_unused(self) -> None:
        """Wait until no tunnel is open."""
        while self._connections:
            await trio.sleep(_POLL_SECONDS)

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled, which resets the open tunnels."""
        listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        task_status.started()
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, caller: trio.SocketStream) -> None:
        self._connections += 1
        try:
            await self._open_and_copy(caller)
        except (BadFrame, OSError, *_LOST) as error:
            _log.debug("A tunnel failed: {}.", error)
        except Exception:
            _log.exception("Unexpected error in a tunnel; it is closed.")
        finally:
            self._connections -= 1
            caller.socket.close()

    async def _open_and_copy(self, caller: trio.SocketStream) -> None:
        detect_lost_peer(caller, _CALLER_LOST_MS)
        with trio.move_on_after(_REQUEST_SECONDS) as limit:
            request = await receive_request(caller)
        if limit.cancelled_caught:
            raise BadFrame("the tunnel request did not arrive in time")
        try:
            server = await self._open(request)
        except TunnelRefused as refusal:
            await caller.send_all(encode_reply(refusal.reply))
            return
        try:
            detect_lost_peer(server)
            await caller.send_all(encode_reply(TunnelReply.CONNECTED))
        except BaseException:
            reset(server)
            raise
        await _Tunnel(caller, server).copy()

    async def _open(self, request: TunnelRequest) -> trio.SocketStream:
        if self._is_stopping or self._connections > self._max_tunnels:
            raise TunnelRefused(TunnelReply.DENIED)
        limit = request.connect_ms / _MS_PER_SECOND
        return await self._open_target(Address(request.host, request.port), limit)


class _Tunnel:
    """Copies bytes in both directions until both have ended, or one has broken.

    Until a direction has ended in order, every close of its sink is a reset, also that
    of a killed process: a broken answer without a length must not look complete.
    """

    def __init__(self, caller: trio.SocketStream, server: trio.SocketStream) -> None:
        self._caller = caller
        self._server = server
        self._scope = trio.CancelScope()
        self._has_ended = False
        self._is_broken = False

    async def copy(self) -> None:
        """Copy until the end; the sockets are closed, by a reset unless in order."""
        is_in_order = False
        try:
            for stream in (self._server, self._caller):
                reset_on_close(stream, True)
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._copy, self._caller, self._server, _CALLER_ENDED_SECONDS
                    )
                    nursery.start_soon(
                        self._copy, self._server, self._caller, _SERVER_ENDED_SECONDS
                    )
            is_in_order = not self._is_broken
        finally:
            for stream in (self._server, self._caller):
                if is_in_order:
                    stream.socket.close()
                else:
                    reset(stream)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, closing: float
    ) -> None:
        """Copy one direction; ``closing`` limits the other one after its end."""
        try:
            while data := await source.receive_some(_COPY_BYTES):
                await sink.send_all(data)
            check_not_reset(source)
            reset_on_close(sink, False)
            await sink.send_eof()
        except _LOST as error:
            _log.debug("A tunnel is reset: {}.", error)
            self._is_broken = True
            self._scope.cancel()
            return
        if not self._has_ended:
            self._has_ended = True
            self._scope.deadline = trio.current_time() + closing
