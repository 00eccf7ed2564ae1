"""HTTP/1.1 server on trio and h11 with per-connection limits."""

import h11
import trio

from sassafraspin.http.connection import ServerConnection
from sassafraspin.http.memory import Classify, MemoryBudget
from sassafraspin.http.problems import TooManyConnections
from sassafraspin.http.responder import Handler
from sassafraspin.settings import Address, HttpLimits
from sassafraspin.telemetry import part_logger

__all__ = ["HttpServer"]

_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)

_MAX_PENDING_CONNECTIONS = 1_000

_MAX_REFUSALS = 16
"""Connections beyond the limit that are refused at the same time; others wait."""

_REFUSAL_SECONDS = 0.01

_log = part_logger("http")


class HttpServer:
    """Accepts connections on one address and passes requests to a handler.

    Parameters
    ----------
    address : Address
        Address to listen on.
    limits : HttpLimits
        Connection limit, and size limits and timeouts of each connection.
    handler : Handler
        Called for each request. If it returns before the response is complete, the
        server closes the connection, so that the peer detects the truncation.
    memory : MemoryBudget or None
        Memory for requests; by default one of its own, of the size in the limits.
    classify : callable or None
        Returns the claim of a large request to memory; by default all are alike.
    """

    def __init__(
        self,
        address: Address,
        limits: HttpLimits,
        handler: Handler,
        memory: MemoryBudget | None = None,
        classify: Classify | None = None,
    ) -> None:
        self._address = address
        self._limits = limits
        self._handler = handler
        self._memory = memory or MemoryBudget(limits.memory_bytes)
        self._classify = classify
        self._listeners: list[trio.SocketListener] = []
        self._connections: set[ServerConnection] = set()
        self._draining = False
        self._drained = trio.Event()
        self._accept_loops = 0
        self._accept_loops_ended = trio.Event()

    def set_limits(self, limits: HttpLimits) -> None:
        """Set the limits for requests that arrive from now on."""
        self._limits = limits
        for connection in self._connections:
            connection.set_limits(limits)

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until drained or cancelled."""
        self._listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        task_status.started()
        try:
            async with trio.open_nursery() as nursery:
                self._accept_loops = len(self._listeners)
                for listener in self._listeners:
                    nursery.start_soon(self._run_accept_loop, listener, nursery)
                await self._drained.wait()
                nursery.cancel_scope.cancel()
        finally:
            for listener in self._listeners:
                listener.socket.close()

    async def drain(self) -> None:
        """Stop accepting connections and wait for the requests in flight.

        Connections that callers have opened already are served.
        """
        self._draining = True
        await self._accept_pending()
        for listener in self._listeners:
            await listener.aclose()
        if self._accept_loops:
            await self._accept_loops_ended.wait()
        for connection in list(self._connections):
            connection.close_when_idle()
        self._check_drained()
        await self.wait_drained()

    async def wait_drained(self) -> None:
        """Wait until a drain that has begun is complete."""
        await self._drained.wait()

    async def _accept_pending(self) -> None:
        """Let the accept loops take the connections that wait to be accepted."""
        for _ in range(_MAX_PENDING_CONNECTIONS):
            if not any(item.socket.is_readable() for item in self._listeners):
                return
            await trio.lowlevel.checkpoint()

    async def _run_accept_loop(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        try:
            await self._accept_from(listener, nursery)
        finally:
            self._accept_loops -= 1
            if not self._accept_loops:
                self._accept_loops_ended.set()

    async def _accept_from(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except OSError as error:
                _log.warning("Cannot accept a connection: {}.", error.strerror)
                self._close_longest_idle()
                await trio.sleep(0.1)
                continue
            connection = ServerConnection(
                stream, self._limits, self._handler, self._memory, self._classify
            )
            is_full = len(self._connections) >= self._limits.connections
            is_refused = is_full and not self._close_longest_idle()
            # Registered before its task starts, so that ``drain`` waits for it.
            self._connections.add(connection)
            nursery.start_soon(self._serve_connection, stream, connection, is_refused)
            # Each refusal needs a descriptor until it is sent.
            while len(self._connections) > self._limits.connections + _MAX_REFUSALS:
                await trio.sleep(_REFUSAL_SECONDS)

    def _close_longest_idle(self) -> bool:
        """Close the connection that waited longest for a request, if any may be."""
        idle = [item for item in self._connections if item.idle_since is not None]
        if not idle:
            return False
        is_closed = min(idle, key=lambda item: item.idle_since).try_close_idle()
        if is_closed:
            self._memory.count_closed()
        return is_closed

    async def _serve_connection(
        self,
        stream: trio.SocketStream,
        connection: ServerConnection,
        is_refused: bool,
    ) -> None:
        try:
            if is_refused:
                await connection.refuse(TooManyConnections())
            else:
                await connection.run()
        except* _CONNECTION_ERRORS as group:
            _log.debug("Connection failed: {!r}.", group.exceptions[0])
        except* Exception:
            _log.exception("Unexpected error on a connection; it is closed.")
        finally:
            self._connections.discard(connection)
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await stream.aclose()
            self._check_drained()

    def _check_drained(self) -> None:
        if self._draining and not self._connections:
            self._drained.set()
