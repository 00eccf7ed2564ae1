"""Server side of one HTTP/1.1 connection, with size limits and timeouts."""

import socket
import struct
from dataclasses import dataclass

import h11
import trio

from sassafraspin.http.checkpoints import CheckpointCounter
from sassafraspin.http.messages import (
    Headers,
    Request,
    Response,
    has_two_framings,
)
from sassafraspin.http.problems import (
    BadRequest,
    BodyTooLarge,
    RequestProblem,
    RequestTimeout,
    problem_response,
)
from sassafraspin.http.responder import Handler, Responder
from sassafraspin.settings import HttpLimits

__all__ = ["ServerConnection"]

_READ_CHUNK_BYTES = 65_536
_MS_PER_SECOND = 1000

_FIRST_REQUEST_SECONDS = 0.25
"""Time that a new connection has for its first request once the server drains."""


@dataclass(frozen=True)
class _Closed:
    """The peer closed the connection, or the server should close it."""


class ServerConnection:
    """Server side of one HTTP/1.1 connection."""

    def __init__(
        self, stream: trio.SocketStream, limits: HttpLimits, handler: Handler
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._handler = handler
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._closing = False
        self._has_served = False
        self._idle_scope: trio.CancelScope | None = None
        self._checkpoints = CheckpointCounter()

    def close_when_idle(self) -> None:
        """Close once idle; requests that have arrived are answered before.

        A new connection gets a moment to send its first request.
        """
        self._closing = True
        if self._idle_scope is not None:
            self._idle_scope.deadline = trio.current_time() + self._idle_seconds

    @property
    def _idle_seconds(self) -> float:
        """Return how long the connection may wait for the next request."""
        if not self._closing:
            return self._limits.idle_timeout_ms / _MS_PER_SECOND
        return 0.0 if self._has_served else _FIRST_REQUEST_SECONDS

    @property
    def _has_unread_bytes(self) -> bool:
        """Return whether bytes, or the end of the peer's data, wait to be read."""
        return bool(self._protocol.trailing_data[0]) or (
            self._stream.socket.is_readable()
        )

    @property
    def _may_serve_next(self) -> bool:
        """Return whether to read another request."""
        return not self._closing or not self._has_served or self._has_unread_bytes

    async def run(self) -> None:
        """Serve requests until the peer or the server closes the connection."""
        while self._may_serve_next:
            try:
                request = await self._read_request()
            except RequestProblem as problem:
                await self.refuse(problem)
                return
            if isinstance(request, _Closed):
                return
            self._has_served = True
            await self._answer(request)
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _answer(self, request: Request) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            await self._handler(request, Responder(self))
            nursery.cancel_scope.cancel()

    async def refuse(self, problem: RequestProblem) -> None:
        """Send a problem document with ``Connection: close``.

        Does nothing if a response has already started.
        """
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = problem_response(problem)
        headers = response.headers.adding("connection", "close")
        await self.send(Response(response.status, headers, response.body))

    async def send(self, response: Response) -> None:
        """Send a response; without a length if the end of its body is not declared."""
        if not response.is_framed:
            await self.start(response.status, response.headers, is_framed=False)
            await self.write(response.body)
            await self.finish()
            return
        length = ("content-length", str(len(response.body)))
        data = self._head(response.status, response.headers.adding(*length))
        if response.body:
            data += self._protocol.send(h11.Data(data=response.body))
        await self._write(data + self._protocol.send(h11.EndOfMessage()))

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the head of a response whose body follows.

        The body is sent in chunks if ``is_framed`` and the caller speaks HTTP/1.1,
        otherwise it ends with the connection. Until such a body is finished, every
        close of the connection is a reset, also that of a process that is killed.
        """
        if not is_framed:
            self._protocol = _unframed_protocol()
        head = self._head(status, headers)
        if self._ends_with_connection:
            self._reset_on_close(True)
        await self._write(head)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self._write(self._protocol.send(h11.Data(data=chunk)))

    async def finish(self) -> None:
        """End the body."""
        if self._ends_with_connection:
            self._reset_on_close(False)
        await self._write(self._protocol.send(h11.EndOfMessage()))

    @property
    def has_started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether a streamed body ends with the connection."""
        return self._protocol.their_http_version == b"1.0"

    def _reset_on_close(self, enabled: bool) -> None:
        """Set whether a close of the connection resets it and drops unsent bytes."""
        linger = struct.pack("ii", int(enabled), 0)
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _head(self, status: int, headers: Headers) -> bytes:
        fields = list(headers.items)
        if self._closing:
            fields.append(("connection", "close"))
        return self._protocol.send(h11.Response(status_code=status, headers=fields))

    async def _read_request(self) -> Request | _Closed:
        head = await self._read_head()
        if isinstance(head, _Closed):
            return head
        headers = Headers.from_wire(head.headers)
        if has_two_framings(headers):
            raise BadRequest("the request declares both a length and chunks")
        with trio.move_on_after(self._limits.body_timeout_ms / _MS_PER_SECOND):
            body = await self._read_body(head)
            return Request(
                head.method.decode("ascii"),
                head.target.decode("ascii", "replace"),
                headers,
                body,
            )
        raise RequestTimeout("body")

    async def _read_head(self) -> h11.Request | _Closed:
        if not self._protocol.trailing_data[0]:
            data = await self._wait_for_data()
            if not data:
                return _Closed()
            self._protocol.receive_data(data)
        with trio.move_on_after(self._limits.header_timeout_ms / _MS_PER_SECOND):
            event = await self._next_event()
            if isinstance(event, h11.Request):
                return event
            return _Closed()
        raise RequestTimeout("header")

    async def _wait_for_data(self) -> bytes:
        """Return the first bytes of a request, none if the connection is to end."""
        data = b""
        with trio.move_on_after(self._idle_seconds) as self._idle_scope:
            data = await self._stream.receive_some(_READ_CHUNK_BYTES)
        was_cut_short = self._idle_scope.cancelled_caught and self._closing
        self._idle_scope = None
        if was_cut_short and self._has_unread_bytes:
            data = bytes(await self._stream.receive_some(_READ_CHUNK_BYTES))
        return data

    async def _read_body(self, head: h11.Request) -> bytes:
        self._check_declared_length(head)
        if self._protocol.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._protocol.send(continue_response))
        body = bytearray()
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    body += event.data
                    if len(body) > self._limits.body_bytes:
                        raise BodyTooLarge(self._limits.body_bytes)
                case h11.EndOfMessage():
                    return bytes(body)
                case _:
                    raise BadRequest("the connection closed inside the body")

    def _check_declared_length(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                raise BodyTooLarge(self._limits.body_bytes)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        await self._checkpoints.count_event()
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequest(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(
                await self._stream.receive_some(_READ_CHUNK_BYTES)
            )

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when the peer closes the connection.

        If the peer sends data first, it is kept for the next request, and a later
        close is no longer noticed here.
        """
        try:
            data = await self._stream.receive_some(_READ_CHUNK_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if data:
            self._protocol.receive_data(data)
            return
        self._closing = True
        scope.cancel()

    async def _write(self, data: bytes) -> None:
        with trio.move_on_after(self._limits.write_timeout_ms / _MS_PER_SECOND):
            await self._stream.send_all(data)
            return
        raise trio.BrokenResourceError("write timed out: the peer is not reading")


def _unframed_protocol() -> h11.Connection:
    """Return a protocol that sends a response without framing and then must close.

    h11 leaves out the framing only in response to a request of HTTP/1.0.
    """
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b"GET / HTTP/1.0\r\n\r\n")
    while not isinstance(protocol.next_event(), h11.EndOfMessage):
        pass
    return protocol
