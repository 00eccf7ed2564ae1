"""HTTP/1.1 client with pooled connections.

Its errors distinguish requests that were never sent from those that may have been.
"""

from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
)
from contextlib import asynccontextmanager

import trio

from sassafraspin.http.body_budget import BodyBudget
from sassafraspin.http.client_connection import (
    AnswerTooLarge,
    BodyFraming,
    ClientConnection,
    ClientLimits,
    ClientTimeouts,
    ConnectFailed,
    ConnectionLost,
)
from sassafraspin.http.connector import Connector, DirectConnector
from sassafraspin.http.memory import (
    BodyBuffer,
    Claim,
    MemoryBudget,
    MemoryHold,
    MemoryKind,
)
from sassafraspin.http.messages import Headers, Request, Response
from sassafraspin.http.problems import OutOfMemory
from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger

__all__ = ["HttpClient", "OpenResponse"]

_STREAM_PART_BYTES = 4096
"""Largest part of a streamed chunk that is handed over before other tasks get a turn;
it may hold two thousand empty events."""

_UNLIMITED_BYTES = 1 << 40

_GROWTH_BYTES = 32_768
"""By how much the room for a body of unknown length grows at least."""

_IDENTITY = "identity"
_MAX_IDLE_PER_ADDRESS = 16
_CHECK_INTERVAL_SECONDS = 1.0

_TakeBytes = Callable[[MemoryKind, int, Claim], Awaitable[None]]

_log = part_logger("http")


class OpenResponse:
    """A response whose head was received and whose body is read in chunks.

    Parameters
    ----------
    status : int
        Status code.
    headers : Headers
        Header fields.
    connection : ClientConnection
        Connection from which the body is read.
    timeouts : ClientTimeouts
        Time limits.
    limits : ClientLimits
        Size limits of the body.
    budget : BodyBudget
        Memory that it shares with other bodies.
    hold : MemoryHold or None
        Memory that the body holds, also after it was read; none for no limit.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        connection: ClientConnection,
        timeouts: ClientTimeouts,
        limits: ClientLimits,
        budget: BodyBudget,
        hold: MemoryHold | None = None,
    ) -> None:
        self._connection = connection
        self._timeouts = timeouts
        self._limits = limits
        self._budget = budget
        self._hold = hold or MemoryHold(MemoryBudget(_UNLIMITED_BYTES))
        self._is_hold_taken = False
        self.status = status
        self.headers = headers

    @property
    def framing(self) -> BodyFraming:
        """Return how the response declares the end of its body."""
        return self._connection.framing

    @property
    def is_framed(self) -> bool:
        """Return whether the end of the body is declared; else it may be short."""
        return self.framing is not BodyFraming.CONNECTION

    @property
    def is_first_on_connection(self) -> bool:
        """Return whether no other request was sent on its connection before."""
        return self._connection.is_first_request

    @property
    def relay(self) -> str | None:
        """Return the instance through which the connection leads, if not direct."""
        return self._connection.relay

    @property
    def is_encoded(self) -> bool:
        """Return whether the body has a content encoding other than ``identity``."""
        return (self.headers.get("content-encoding") or _IDENTITY) != _IDENTITY

    def take_hold(self) -> MemoryHold:
        """Return the memory that the body holds, which the caller must release."""
        self._is_hold_taken = True
        return self._hold

    def release(self) -> None:
        """Return the memory that the body holds, unless it was taken over."""
        if not self._is_hold_taken:
            self._hold.release()

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks until its end, in parts if they are large.

        The connection is closed if the iteration stops before.

        Raises
        ------
        ConnectionLost
            If the body is truncated or no byte arrives within the progress timeout.
        """
        self._connection.read_as_stream()
        try:
            while (chunk := await self._connection.read_chunk()) is not None:
                yield chunk[:_STREAM_PART_BYTES]
                for start in range(_STREAM_PART_BYTES, len(chunk), _STREAM_PART_BYTES):
                    await trio.lowlevel.checkpoint()
                    yield chunk[start : start + _STREAM_PART_BYTES]
        finally:
            self._connection.close_unless_complete()

    async def read(self) -> bytes | memoryview:
        """Read the rest of the body; a large one is paused until its memory is free.

        A declared length is taken before the first byte; without one, the memory grows
        with the body.

        Raises
        ------
        AnswerTooLarge
            If the body, or its declared length, exceeds the limit, or if it is the
            largest of those that exceed the limit of all bodies together or that wait
            for the memory of each other.
        ConnectionLost
            If the body is truncated or no byte arrives within the progress timeout.
        """
        limit_bytes = self._limits.body_bytes
        if self._connection.declared_body_bytes > limit_bytes:
            raise AnswerTooLarge(limit_bytes)
        body = BodyBuffer()
        if self._connection.declared_body_bytes > body.capacity:
            await self._make_room(
                body, self._connection.declared_body_bytes, self._hold.take
            )
        with self._budget.share() as share, share.scope:
            while (chunk := await self._connection.read_chunk()) is not None:
                size = len(body) + len(chunk)
                if size > limit_bytes:
                    raise AnswerTooLarge(limit_bytes)
                if size > body.capacity:
                    capacity = max(size, body.capacity + _GROWTH_BYTES)
                    await self._make_room(
                        body, min(capacity, limit_bytes), self._hold.grow
                    )
                body.append(chunk)
                share.grow(len(chunk))
        if share.is_evicted:
            raise AnswerTooLarge(self._budget.limit_bytes)
        self._hold.shrink(len(body))
        return body.content()

    async def _make_room(
        self, body: BodyBuffer, capacity: int, take: _TakeBytes
    ) -> None:
        try:
            await take(MemoryKind.RESPONSE, capacity, Claim())
        except OutOfMemory as error:
            # To its caller the problem would say that the request was not run.
            raise AnswerTooLarge(body.capacity) from error
        body.expand(capacity)

    async def discard(self) -> None:
        """Read the rest of a body that is not needed, so that the connection is kept.

        The connection is closed if the rest is invalid, large or slow.
        """
        reason = "it takes too long"
        with trio.move_on_after(self._timeouts.discard):
            try:
                await self._read_rest()
                return
            except ConnectionLost as error:
                reason = str(error)
        _log.debug("Closing a connection instead of reading its rest: {}.", reason)
        self._connection.close()

    async def _read_rest(self) -> None:
        size = 0
        while (chunk := await self._connection.read_chunk()) is not None:
            size += len(chunk)
            if size > self._limits.discarded_bytes:
                raise AnswerTooLarge(self._limits.discarded_bytes)


class HttpClient:
    """Sends requests over pooled connections.

    Parameters
    ----------
    timeouts : ClientTimeouts
        Time limits of requests and of pooled connections.
    limits : ClientLimits
        Size limits of responses.
    memory : MemoryBudget or None
        Memory for the bodies of responses; none for no limit.
    connector : Connector or None
        Opens connections; by default direct ones.
    """

    def __init__(
        self,
        timeouts: ClientTimeouts,
        limits: ClientLimits | None = None,
        memory: MemoryBudget | None = None,
        connector: Connector | None = None,
    ) -> None:
        self._connector = connector or DirectConnector()
        self._timeouts = timeouts
        self._memory = memory or MemoryBudget(_UNLIMITED_BYTES)
        self._limits = limits or ClientLimits()
        self._budget = BodyBudget(self._limits.all_bodies_bytes)
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._active: set[ClientConnection] = set()
        self._received_at = float("-inf")
        self._next_check_at = 0.0

    @property
    def active_connections(self) -> Collection[ClientConnection]:
        """Return the connections with a request in flight."""
        return self._active

    @property
    def received_at(self) -> float:
        """Return when the last direct connection that is idle again brought bytes."""
        return self._received_at

    @asynccontextmanager
    async def open(
        self, address: Address, request: Request, may_abandon: bool = False
    ) -> AsyncIterator[OpenResponse]:
        """Send a request and yield its response once the head was received.

        Parameters
        ----------
        address : Address
            Address of the server.
        request : Request
            The request.
        may_abandon : bool
            Whether the request may be ended, and sent again, if the path to the server
            is lost.

        Raises
        ------
        ConnectFailed
            If no connection could be opened, so nothing was sent.
        ConnectionLost
            If no valid response arrived although a connection was open.
        """
        connection = self._take_idle(address) or await self._connect(address)
        connection.may_abandon = may_abandon
        self._active.add(connection)
        try:
            status, headers = await connection.send_and_read_head(request)
            response = OpenResponse(
                status,
                headers,
                connection,
                self._timeouts,
                self._limits,
                self._budget,
                MemoryHold(self._memory),
            )
            try:
                yield response
            finally:
                response.release()
        except ConnectionLost as error:
            error.relay = connection.relay
            raise
        finally:
            self._active.discard(connection)
            self._release(address, connection)

    async def send(self, address: Address, request: Request) -> Response:
        """Send a request and return the complete response.

        Raises
        ------
        ConnectFailed
            If no connection could be opened, so nothing was sent.
        ConnectionLost
            If no valid response was complete within the time limit of an exchange.
        """
        with trio.move_on_after(self._timeouts.exchange):
            async with self.open(address, request) as response:
                body = bytes(await response.read())
                return Response(
                    response.status, response.headers, body, response.is_framed
                )
        raise ConnectionLost("the exchange took too long")

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether no process listens on an address, by trying to connect."""
        return await self._connector.refuses_connections(address)

    def has_lost_path(self, address: Address) -> bool:
        """Return whether this instance lost its own path to a server that is up."""
        return self._connector.has_lost_path(address)

    def close_unusable(self) -> None:
        """Close the idle connections that are old, were closed or have surplus bytes.

        A server may send surplus bytes until its connection is closed. Checks are made
        at most once per ``_CHECK_INTERVAL_SECONDS``.
        """
        now = trio.current_time()
        if now < self._next_check_at:
            return
        self._next_check_at = now + _CHECK_INTERVAL_SECONDS
        for address, connections in list(self._idle.items()):
            usable = []
            for connection in connections:
                if self._is_usable(connection):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _connect(self, address: Address) -> ClientConnection:
        with trio.move_on_after(self._timeouts.connect):
            try:
                path = await self._connector.connect(address)
            except OSError as error:
                raise ConnectFailed(f"cannot connect: {error}") from error
            return ClientConnection(address, path, self._timeouts, self._limits)
        raise ConnectFailed("connect timed out")

    def _take_idle(self, address: Address) -> ClientConnection | None:
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: ClientConnection) -> bool:
        return connection.is_reusable() and self._connector.may_reuse(connection)

    def _release(self, address: Address, connection: ClientConnection) -> None:
        if connection.relay is None:
            self._received_at = max(self._received_at, connection.received_at)
        idle = self._idle.setdefault(address, [])
        if connection.try_reset() and len(idle) < _MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
            return
        connection.close()
