"""HTTP/1.1 client on trio and h11.

Its errors distinguish requests that were never sent from those that may have been.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from sassafraspin.errors import RemoteFailure
from sassafraspin.http.messages import Headers, Request, Response
from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger

__all__ = [
    "AnswerTooLarge",
    "ClientLimits",
    "ClientTimeouts",
    "ConnectFailed",
    "ConnectionLost",
    "HttpClient",
    "OpenResponse",
]

_READ_CHUNK_BYTES = 65_536

_EVENTS_PER_CHECKPOINT = 64
"""Protocol events that are handled before other tasks get a turn. One read of the
socket may hold ten thousand."""

_STREAM_PART_BYTES = 4096
"""Largest part of a streamed chunk that is handed over before other tasks get a turn;
it may hold two thousand empty events."""

_MAX_IDLE_PER_ADDRESS = 16
_CHECK_INTERVAL_SECONDS = 1.0
_STATUSES_WITHOUT_BODY = (204, 304)

_log = part_logger("http")


@dataclass(frozen=True)
class ClientTimeouts:
    """Time limits of requests and of pooled connections, in seconds.

    Parameters
    ----------
    connect : float
        Limit for opening a connection.
    progress : float
        Limit for sending the whole request, and for each wait for further bytes of the
        response.
    idle : float
        Time after which an idle pooled connection is no longer reused.
    discard : float
        Limit for reading the rest of a response whose body is not needed.
    exchange : float
        Limit for a whole exchange made with ``HttpClient.send``; exchanges made with
        ``HttpClient.open`` are limited by their caller.
    """

    connect: float = 1.0
    progress: float = 10.0
    idle: float = 5.0
    discard: float = 0.25
    exchange: float = 60.0


@dataclass(frozen=True)
class ClientLimits:
    """Size limits of responses.

    Parameters
    ----------
    body_bytes : int
        Largest body that is read as a whole; four times the default limit of callers'
        requests on the platform. Bodies that are read in chunks have no limit.
    discarded_bytes : int
        Largest rest of a body that is read only to keep the connection.
    informational_responses : int
        Largest number of informational responses (1xx) before a response.
    """

    body_bytes: int = 16_777_216
    discarded_bytes: int = 65_536
    informational_responses: int = 32


class ConnectFailed(RemoteFailure):
    """No connection was opened, so the server cannot have received the request."""


class ConnectionLost(RemoteFailure):
    """No valid complete response arrived; part of the request may have been sent."""


class AnswerTooLarge(ConnectionLost):
    """The body of a response exceeds the size limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"the answer exceeds {limit_bytes} bytes")


class OpenResponse:
    """A response whose head was received and whose body is read in chunks.

    Parameters
    ----------
    status : int
        Status code.
    headers : Headers
        Header fields.
    connection : _Connection
        Connection from which the body is read.
    timeouts : ClientTimeouts
        Time limits.
    limits : ClientLimits
        Size limits of the body.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        connection: "_Connection",
        timeouts: ClientTimeouts,
        limits: ClientLimits,
    ) -> None:
        self._connection = connection
        self._timeouts = timeouts
        self._limits = limits
        self.status = status
        self.headers = headers

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks until its end, in parts if they are large.

        The connection is closed if the iteration stops before.

        Raises
        ------
        ConnectionLost
            If the body is truncated or no byte arrives within the progress timeout.
        """
        try:
            while (chunk := await self._connection.read_chunk()) is not None:
                yield chunk[:_STREAM_PART_BYTES]
                for start in range(_STREAM_PART_BYTES, len(chunk), _STREAM_PART_BYTES):
                    await trio.lowlevel.checkpoint()
                    yield chunk[start : start + _STREAM_PART_BYTES]
        finally:
            self._connection.close_unless_complete()

    async def read(self) -> bytes:
        """Read the rest of the body.

        Raises
        ------
        AnswerTooLarge
            If the body, or its declared length, exceeds the limit.
        ConnectionLost
            If the body is truncated or no byte arrives within the progress timeout.
        """
        limit_bytes = self._limits.body_bytes
        if self._connection.declared_body_bytes > limit_bytes:
            raise AnswerTooLarge(limit_bytes)
        body = bytearray()
        while (chunk := await self._connection.read_chunk()) is not None:
            body += chunk
            if len(body) > limit_bytes:
                raise AnswerTooLarge(limit_bytes)
        return bytes(body)

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
    """

    def __init__(
        self, timeouts: ClientTimeouts, limits: ClientLimits = ClientLimits()
    ) -> None:
        self._timeouts = timeouts
        self._limits = limits
        self._idle: dict[Address, list[_Connection]] = {}
        self._next_check_at = 0.0

    @asynccontextmanager
    async def open(
        self, address: Address, request: Request
    ) -> AsyncIterator[OpenResponse]:
        """Send a request and yield its response once the head was received.

        Raises
        ------
        ConnectFailed
            If no connection could be opened, so nothing was sent.
        ConnectionLost
            If no valid response arrived although a connection was open.
        """
        connection = self._take_idle(address) or await self._connect(address)
        try:
            status, headers = await connection.send_and_read_head(request)
            yield OpenResponse(
                status, headers, connection, self._timeouts, self._limits
            )
        finally:
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
                body = await response.read()
                return Response(response.status, response.headers, body)
        raise ConnectionLost("the exchange took too long")

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
                if connection.is_reusable():
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

    async def _connect(self, address: Address) -> "_Connection":
        with trio.move_on_after(self._timeouts.connect):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError as error:
                raise ConnectFailed(f"cannot connect: {error}") from error
            return _Connection(stream, self._timeouts, self._limits)
        raise ConnectFailed("connect timed out")

    def _take_idle(self, address: Address) -> "_Connection | None":
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    def _release(self, address: Address, connection: "_Connection") -> None:
        idle = self._idle.setdefault(address, [])
        if connection.try_reset() and len(idle) < _MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
            return
        connection.close()


class _Connection:
    """One HTTP/1.1 connection to a server."""

    def __init__(
        self,
        stream: trio.SocketStream,
        timeouts: ClientTimeouts,
        limits: ClientLimits,
    ) -> None:
        self._stream = stream
        self._timeouts = timeouts
        self._limits = limits
        self._protocol = h11.Connection(h11.CLIENT)
        self._last_used = trio.current_time()
        self._declared_body_bytes = 0
        self._events_since_checkpoint = 0

    @property
    def declared_body_bytes(self) -> int:
        """Return the declared length of the body of the response, 0 without one."""
        return self._declared_body_bytes

    def is_reusable(self) -> bool:
        """Return whether the connection was used recently and is still open."""
        if trio.current_time() - self._last_used > self._timeouts.idle:
            return False
        return not _is_readable(self._stream)

    def try_reset(self) -> bool:
        """Prepare the connection for another request; return whether that is possible.

        A connection with surplus bytes after a complete response is not reused: they
        would be taken for the response to the next request.
        """
        self._last_used = trio.current_time()
        if self._protocol.trailing_data[0]:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def close_unless_complete(self) -> None:
        """Close the connection unless the response was received completely."""
        if self._protocol.their_state is not h11.DONE:
            self.close()

    def close(self) -> None:
        """Close the connection without waiting."""
        self._stream.socket.close()

    async def send_and_read_head(self, request: Request) -> tuple[int, Headers]:
        """Send the request and return the status and headers of the response."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_headers_with_length(request),
        )
        data = self._protocol.send(head)
        if request.body:
            data += self._protocol.send(h11.Data(data=request.body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._write(data)
        event = await self._next_event()
        informational_responses = 0
        while isinstance(event, h11.InformationalResponse):
            informational_responses += 1
            if informational_responses > self._limits.informational_responses:
                raise ConnectionLost("the server sends too many 1xx responses")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionLost("the server closed before its answer")
        headers = Headers.from_wire(event.headers)
        self._declared_body_bytes = _declared_body_bytes(request, event, headers)
        return event.status_code, headers

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or ``None`` at its end."""
        event = await self._next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                return None
            case _:
                raise ConnectionLost("the server closed inside its answer")

    async def _write(self, data: bytes) -> None:
        with trio.move_on_after(self._timeouts.progress):
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionLost("the server closed the connection") from error
            return
        raise ConnectionLost("the server does not read")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        self._events_since_checkpoint += 1
        if self._events_since_checkpoint >= _EVENTS_PER_CHECKPOINT:
            self._events_since_checkpoint = 0
            await trio.lowlevel.checkpoint()
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLost(f"broken answer: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._read())

    async def _read(self) -> bytes:
        with trio.move_on_after(self._timeouts.progress):
            try:
                return await self._stream.receive_some(_READ_CHUNK_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionLost("the connection was reset") from error
        raise ConnectionLost("the server made no progress")


def _is_readable(stream: trio.SocketStream) -> bool:
    """Return whether a close or unexpected bytes are pending on an idle connection."""
    return stream.socket.is_readable()


def _declared_body_bytes(
    request: Request, response: h11.Response, headers: Headers
) -> int:
    """Return the declared length of the body, 0 if there is none or no body follows."""
    if request.method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return 0
    return int(headers.get("content-length") or 0)


def _headers_with_length(request: Request) -> list[tuple[str, str]]:
    headers = list(request.headers.items)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append(("content-length", str(len(request.body))))
    return headers
