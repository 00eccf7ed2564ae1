"""Client side of one HTTP/1.1 connection, with its time and size limits."""

import enum
from dataclasses import dataclass

import h11
import trio

from sassafraspin.errors import RemoteFailure
from sassafraspin.http.checkpoints import CheckpointCounter
from sassafraspin.http.connector import ServerPath
from sassafraspin.http.messages import Headers, Request, has_two_framings
from sassafraspin.http.sockets import (
    check_not_reset,
    is_path_error,
    limit_unread,
    reset,
)
from sassafraspin.settings import Address

__all__ = [
    "AnswerTooLarge",
    "BodyFraming",
    "ClientConnection",
    "ClientLimits",
    "ClientTimeouts",
    "ConnectFailed",
    "ConnectionLost",
]

_READ_CHUNK_BYTES = 65_536
_STREAM_READ_BYTES = 16_384
"""Largest read of a stream, and of a head, which one may follow. A stream whose caller
does not read holds up to three times as much."""

_JOINED_BYTES = 4096
"""Chunks that arrived together are joined up to this size: each part of a stream costs
a write to the caller. As much of a stream is handed over without a turn for others."""

_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_STATUSES_WITHOUT_BODY = (_NO_CONTENT, _NOT_MODIFIED)


class BodyFraming(enum.Enum):
    """How a response declares the end of its body (RFC 9112, section 6.3).

    ``CONNECTION`` is a body that ends with its connection; its recipient cannot tell a
    complete one from one that was broken off.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


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
    all_bodies_bytes : int
        Largest size of all bodies together that are read as a whole at the same time.
    discarded_bytes : int
        Largest rest of a body that is read only to keep the connection.
    informational_responses : int
        Largest number of informational responses (1xx) before a response.
    """

    body_bytes: int = 16_777_216
    all_bodies_bytes: int = 16_777_216
    discarded_bytes: int = 65_536
    informational_responses: int = 32


class ConnectFailed(RemoteFailure):
    """No connection was opened, so the server cannot have received the request."""


class ConnectionLost(RemoteFailure):
    """No valid complete response arrived; part of the request may have been sent.

    Parameters
    ----------
    reason : str
        What was wrong.
    is_closed : bool
        Whether the server closed or reset the connection before its response was
        complete.
    is_path_lost : bool
        Whether the path to the server was lost, which says nothing of the server.

    Attributes
    ----------
    relay : str or None
        Name of the instance through which the connection led, if it was not direct.
    """

    def __init__(
        self, reason: str, is_closed: bool = False, is_path_lost: bool = False
    ) -> None:
        super().__init__(reason)
        self.is_closed = is_closed
        self.is_path_lost = is_path_lost
        self.relay: str | None = None


class AnswerTooLarge(ConnectionLost):
    """The body of a response exceeds the size limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"the answer exceeds {limit_bytes} bytes")


_ProtocolEvent = h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]


class ClientConnection:
    """One HTTP/1.1 connection to a server.

    Parameters
    ----------
    address : Address
        Address of the server.
    path : ServerPath
        The open connection.
    timeouts : ClientTimeouts
        Time limits.
    limits : ClientLimits
        Size limits of responses.

    Attributes
    ----------
    sent_at, received_at : float
        When the last request was sent and the last bytes arrived, in seconds.
    may_abandon : bool
        Whether the request in flight may be ended and sent again.
    """

    def __init__(
        self,
        address: Address,
        path: ServerPath,
        timeouts: ClientTimeouts,
        limits: ClientLimits,
    ) -> None:
        self.address = address
        self.relay = path.relay
        self.may_abandon = False
        self.sent_at = self.received_at = trio.current_time()
        self._is_abandoned = False
        self._stream = path.stream
        self._timeouts = timeouts
        self._limits = limits
        self._protocol = h11.Connection(h11.CLIENT)
        self._last_used = trio.current_time()
        self._declared_body_bytes = 0
        self._framing = BodyFraming.NONE
        self._has_doubtful_end = False
        self._is_closed = False
        self._requests = 0
        self._read_bytes = _STREAM_READ_BYTES
        self._checkpoints = CheckpointCounter()
        self._held: _ProtocolEvent | ConnectionLost | None = None

    @property
    def declared_body_bytes(self) -> int:
        """Return the declared length of the body of the response, 0 without one."""
        return self._declared_body_bytes

    @property
    def framing(self) -> BodyFraming:
        """Return how the response declares the end of its body."""
        return self._framing

    @property
    def is_first_request(self) -> bool:
        """Return whether only one request was sent on this connection."""
        return self._requests <= 1

    def is_reusable(self) -> bool:
        """Return whether the connection was used recently and is still open."""
        if trio.current_time() - self._last_used > self._timeouts.idle:
            return False
        return not _is_readable(self._stream)

    def try_reset(self) -> bool:
        """Prepare the connection for another request; return whether that is possible.

        A connection with surplus bytes after a complete response is not reused: they
        would be taken for the response to the next request. Nor is one after a response
        whose end its server may see elsewhere.
        """
        self._last_used = trio.current_time()
        self._held = None
        if self._is_abandoned:
            return False
        if self._protocol.trailing_data[0] or self._has_doubtful_end:
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
        """Close the connection without waiting.

        A relay tells the server at once if it sees a reset; it cannot tell whether an
        orderly end is more than the end of the requests.
        """
        if self.relay is not None and self._protocol.our_state is not h11.IDLE:
            reset(self._stream)
        self._stream.socket.close()

    def abandon(self) -> None:
        """End the request in flight, as the path to the server was lost.

        A reset discards what the system could not deliver yet.
        """
        self._is_abandoned = True
        reset(self._stream)

    async def send_and_read_head(self, request: Request) -> tuple[int, Headers]:
        """Send the request and return the status and headers of the response."""
        self._requests += 1
        self.sent_at = trio.current_time()
        self._read_bytes = _STREAM_READ_BYTES
        await self._send(request)
        event = await self._next_event()
        informational_responses = 0
        while isinstance(event, h11.InformationalResponse):
            informational_responses += 1
            self._has_doubtful_end |= _has_doubtful_end(
                event.status_code, Headers.from_wire(event.headers)
            )
            if informational_responses > self._limits.informational_responses:
                raise ConnectionLost("the server sends too many 1xx responses")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionLost("the server closed before its answer", is_closed=True)
        if event.status_code > _LAST_STATUS:
            raise ConnectionLost("the answer has a status that does not exist")
        headers = Headers.from_wire(event.headers)
        self._framing = _body_framing(request, event, headers)
        self._has_doubtful_end |= _has_doubtful_end(event.status_code, headers)
        self._declared_body_bytes = 0
        if self._framing is BodyFraming.LENGTH:
            self._declared_body_bytes = int(headers.get("content-length") or 0)
        self._read_bytes = _READ_CHUNK_BYTES
        return event.status_code, headers

    async def _send(self, request: Request) -> None:
        """Send the request; a large body is not copied."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_headers_with_length(request),
        )
        data = self._protocol.send(head)
        if len(request.body) <= _READ_CHUNK_BYTES:
            if request.body:
                data += self._protocol.send(h11.Data(data=request.body))
            await self._write(data + self._protocol.send(h11.EndOfMessage()))
            return
        self._protocol.send_with_data_passthrough(h11.Data(data=request.body))
        self._protocol.send(h11.EndOfMessage())
        # A server may answer before it reads all of a large body.
        limit_unread(self._stream, 0)
        await self._write(data, request.body)

    def read_as_stream(self) -> None:
        """Read the body in small parts, since its recipient may pause for long."""
        self._read_bytes = _STREAM_READ_BYTES

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        It does not wait for more than one chunk.
        """
        event = await self._next_event()
        match event:
            case h11.Data():
                return await self._join_arrived(bytes(event.data))
            case h11.EndOfMessage():
                return None
            case _:
                raise ConnectionLost(
                    "the server closed inside its answer", is_closed=True
                )

    async def _join_arrived(self, chunk: bytes) -> bytes:
        """Return a chunk with the next ones, as far as they have arrived.

        The event after them is held for the next read.
        """
        chunks = [chunk]
        size = len(chunk)
        while size < _JOINED_BYTES:
            await self._checkpoints.count_event()
            try:
                event = self._next_arrived()
            except ConnectionLost as error:
                self._held = error
                break
            if not isinstance(event, h11.Data):
                self._held = event
                break
            chunks.append(bytes(event.data))
            size += len(event.data)
        return b"".join(chunks)

    async def _write(self, *parts: bytes | memoryview) -> None:
        with trio.move_on_after(self._timeouts.progress):
            try:
                for data in parts:
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise self._lost("the server closed the connection", error) from error
            return
        raise ConnectionLost("the server does not read")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        await self._checkpoints.count_event()
        while (event := self._next_arrived()) is h11.NEED_DATA:
            data = await self._read()
            self._is_closed = not data
            self._protocol.receive_data(data)
        return event

    def _next_arrived(self) -> _ProtocolEvent:
        """Return the next event, ``NEED_DATA`` if it has not arrived completely."""
        held, self._held = self._held, None
        if isinstance(held, ConnectionLost):
            raise held
        if held is not None:
            return held
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionLost(f"broken answer: {error}", self._is_closed) from error

    async def _read(self) -> bytes:
        with trio.move_on_after(self._timeouts.progress):
            try:
                data = await self._stream.receive_some(self._read_bytes)
                if not data:
                    check_not_reset(self._stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise self._lost("the connection was reset", error) from error
            self.received_at = trio.current_time()
            return data
        raise ConnectionLost("the server made no progress")

    def _lost(self, reason: str, error: Exception) -> ConnectionLost:
        """Return the failure for a broken connection."""
        if self._is_abandoned or is_path_error(error):
            return ConnectionLost("the path to the server was lost", is_path_lost=True)
        return ConnectionLost(reason, is_closed=True)


def _is_readable(stream: trio.SocketStream) -> bool:
    """Return whether a close or unexpected bytes are pending on an idle connection."""
    return stream.socket.is_readable()


def _body_framing(
    request: Request, response: h11.Response, headers: Headers
) -> BodyFraming:
    if request.method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return BodyFraming.NONE
    if headers.get("transfer-encoding") is not None:
        return BodyFraming.CHUNKED
    if headers.get("content-length") is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION


def _has_doubtful_end(status: int, headers: Headers) -> bool:
    """Return whether the server may see the end of its response elsewhere.

    It declares a length and chunks, or a body where none can be (RFC 9112, section 6).
    A response to HEAD and a 304 declare the length of what they stand for.
    """
    if has_two_framings(headers):
        return True
    if status != _NO_CONTENT and status >= _FIRST_FINAL_STATUS:
        return False
    is_chunked = headers.get("transfer-encoding") is not None
    return is_chunked or headers.get("content-length") not in (None, "0")


def _headers_with_length(request: Request) -> list[tuple[bytes, bytes]]:
    headers = request.headers
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers = headers.adding("content-length", str(len(request.body)))
    return headers.to_wire()
