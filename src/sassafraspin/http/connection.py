"""Server side of one HTTP/1.1 connection, with size limits and timeouts."""

import socket
from dataclasses import dataclass

import h11
import trio

from sassafraspin.http.checkpoints import CheckpointCounter
from sassafraspin.http.memory import (
    SMALL_BYTES,
    BodyBuffer,
    Claim,
    Classify,
    MemoryBudget,
    MemoryHold,
    MemoryKind,
    least_rate,
)
from sassafraspin.http.messages import (
    Headers,
    Request,
    Response,
    has_two_framings,
    to_origin_form,
)
from sassafraspin.http.problems import (
    BadRequest,
    BodyTooLarge,
    BodyTooSlow,
    OutOfMemory,
    RequestProblem,
    RequestTimeout,
    problem_response,
)
from sassafraspin.http.responder import Handler, Responder
from sassafraspin.http.sockets import reset_on_close
from sassafraspin.settings import HttpLimits

__all__ = ["ServerConnection"]

_READ_CHUNK_BYTES = 65_536
_FIRST_READ_BYTES = 16_384
"""Largest read where the rest may belong to a later request, which is kept."""

_LEAST_PART_BYTES = 4_096
_PARTS = 32
"""Parts in which a large body is sent: its rate is measured by complete parts."""

_REQUEST_BYTES = 16_384
"""Memory of the tasks and objects that serve a request."""

_FIELD_BYTES = 200
"""Memory of a decoded header field beside its text."""

_IDLE_SECONDS = 1.0
"""A connection that has sent nothing for so long may be closed for a new one."""

_MS_PER_SECOND = 1000

_FIRST_REQUEST_SECONDS = 0.25
"""Time that a new connection has for its first request once the server drains."""


@dataclass(frozen=True)
class _Closed:
    """The peer closed the connection, or the server should close it."""


class ServerConnection:
    """Server side of one HTTP/1.1 connection."""

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: HttpLimits,
        handler: Handler,
        memory: MemoryBudget,
        classify: Classify | None = None,
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._next_limits = limits
        self._handler = handler
        self._memory = memory
        self._classify = classify
        self._idle_since: float | None = None
        self._protocol = _server_protocol(limits)
        self._closing = False
        self._has_served = False
        self._has_unwritten_bytes = False
        self._omits_bodies = False
        self._received_at = 0.0
        self._peer = _peer_host(stream)
        self._idle_scope: trio.CancelScope | None = None
        self._checkpoints = CheckpointCounter()

    def set_limits(self, limits: HttpLimits) -> None:
        """Set the limits for the next request, and for the wait until it arrives."""
        self._next_limits = limits
        if self._idle_scope is not None and self._idle_since is not None:
            self._idle_scope.deadline = self._idle_since + self._idle_seconds

    def close_when_idle(self) -> None:
        """Close once idle; requests that have arrived are answered before.

        A new connection gets a moment to send its first request.
        """
        self._closing = True
        if self._idle_scope is not None:
            self._idle_scope.deadline = trio.current_time() + self._idle_seconds

    @property
    def idle_since(self) -> float | None:
        """Return since when the connection may be closed, ``None`` if it is in use."""
        if self._idle_since is None:
            return None
        is_idle = trio.current_time() - self._idle_since >= _IDLE_SECONDS
        return self._idle_since if self._has_served or is_idle else None

    def try_close_idle(self) -> bool:
        """Close the connection if it still waits for a request; return whether so."""
        if self._idle_scope is None or self._has_unread_bytes:
            return False
        self._idle_since = None
        self._idle_scope.cancel()
        return True

    @property
    def _idle_seconds(self) -> float:
        """Return how long the connection may wait for the next request."""
        if not self._closing:
            return self._next_limits.idle_timeout_ms / _MS_PER_SECOND
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
            hold = MemoryHold(self._memory)
            try:
                if not await self._serve_next(hold):
                    return
            finally:
                hold.release()
            self._protocol.start_next_cycle()

    async def _serve_next(self, hold: MemoryHold) -> bool:
        """Serve one request; return whether the connection may serve another one."""
        try:
            request = await self._read_request(hold)
        except RequestProblem as error:
            # Its traceback would keep what was read until the refusal is sent.
            problem = error.with_traceback(None)
            problem.__cause__ = problem.__context__ = None
            request = None
        if request is None:
            hold.release()
            if isinstance(problem, OutOfMemory):
                self._memory.count_refused()
            await self.refuse(problem)
            return False
        if isinstance(request, _Closed):
            return False
        self._has_served = True
        await self._answer(request)
        # h11 counts bytes as sent before they are written, also if that is cancelled.
        return (
            not self._has_unwritten_bytes
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

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
        if self._omits_bodies:
            await self._send_without_body(response)
            return
        if response.is_framed:
            length = ("content-length", str(len(response.body)))
            data = self._head(response.status, response.headers.adding(*length))
        else:
            data = self._open_head(response.status, response.headers, is_framed=False)
        if len(response.body) > SMALL_BYTES:
            await self._send_large(data, response)
            await self.finish()
            return
        if response.body:
            data += self._protocol.send(h11.Data(data=response.body))
        if response.is_framed:
            await self._write(data + self._protocol.send(h11.EndOfMessage()))
            return
        await self._write(data)
        await self.finish()

    async def _send_without_body(self, response: Response) -> None:
        """Send the head of a response to ``HEAD``, with a length if it is known."""
        headers = response.headers
        if response.body:
            headers = headers.adding("content-length", str(len(response.body)))
        data = self._head(response.status, headers)
        await self._write(data + self._protocol.send(h11.EndOfMessage()))

    async def _send_large(self, head: bytes, response: Response) -> None:
        """Send a body without a copy of it, unless others wait for its memory."""
        hold = response.hold or MemoryHold(self._memory)
        limit_ms = self._limits.write_timeout_ms
        body = memoryview(response.body)
        part_bytes = max(_LEAST_PART_BYTES, len(body) // _PARTS)
        part_bytes = min(part_bytes, _READ_CHUNK_BYTES)
        with trio.move_on_after(limit_ms / _MS_PER_SECOND) as scope:
            rate = least_rate(len(body), limit_ms, None)
            with hold.transfer(scope, rate):
                await self._stream.send_all(head)
                self._protocol.send_with_data_passthrough(h11.Data(data=body))
                for start in range(0, len(body), part_bytes):
                    part = body[start : start + part_bytes]
                    await self._stream.send_all(part)
                    hold.record(len(part))
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("write timed out: the peer is not reading")

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the head of a response whose body follows.

        The body is sent in chunks if ``is_framed`` and the caller speaks HTTP/1.1,
        otherwise it ends with the connection. Until such a body is finished, every
        close of the connection is a reset, also that of a process that is killed.
        """
        await self._write(self._open_head(status, headers, is_framed))

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body, which is left out in answers to ``HEAD``."""
        if self._omits_bodies:
            return
        await self._write(self._protocol.send(h11.Data(data=chunk)))

    async def finish(self) -> None:
        """End the body."""
        if self._ends_with_connection and not self._has_unwritten_bytes:
            reset_on_close(self._stream, False)
        await self._write(self._protocol.send(h11.EndOfMessage()))

    @property
    def has_started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether a streamed body ends with the connection."""
        return self._protocol.their_http_version == b"1.0"

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closing:
            headers = headers.adding("connection", "close")
        fields = headers.to_wire()
        return self._protocol.send(h11.Response(status_code=status, headers=fields))

    def _open_head(self, status: int, headers: Headers, is_framed: bool) -> bytes:
        """Return the head of a response without a declared length."""
        if not is_framed:
            self._protocol = _unframed_protocol()
        head = self._head(status, headers)
        if self._ends_with_connection:
            reset_on_close(self._stream, True)
        return head

    async def _read_request(self, hold: MemoryHold) -> Request | _Closed:
        self._omits_bodies = False
        head = await self._read_head()
        if isinstance(head, _Closed):
            return head
        self._omits_bodies = head.method == b"HEAD"
        headers = Headers.from_wire(head.headers)
        if has_two_framings(headers):
            raise BadRequest("the request declares both a length and chunks")
        method = head.method.decode("ascii")
        target, headers = to_origin_form(
            head.target.decode("ascii", "replace"), headers
        )
        self._check_declared_length(head)
        request = Request(method, target, headers)
        del head
        size = _head_bytes(request)
        claim = Claim(self._peer)
        if size > SMALL_BYTES:
            # Its fields are held already, so that it cannot wait.
            claim = self._claim(request)
            declared = _declared_length(request)
            whole = size + (self._limits.body_bytes if declared is None else declared)
            if not hold.try_take(MemoryKind.BODY, whole, claim):
                raise OutOfMemory
        body = await self._read_body(request, size, hold, claim)
        read_seconds = trio.current_time() - self._received_at
        return Request(method, target, headers, body, read_seconds)

    async def _read_head(self) -> h11.Request | _Closed:
        if not await self._receive_start():
            return _Closed()
        self._received_at = trio.current_time()
        with trio.move_on_after(self._limits.header_timeout_ms / _MS_PER_SECOND):
            event = await self._next_event()
            if isinstance(event, h11.Request):
                return event
            return _Closed()
        raise RequestTimeout("header")

    async def _receive_start(self) -> bool:
        """Receive the first bytes of a request, and apply the limits in force to it.

        Empty lines before it are ignored (RFC 9112, section 2.2). Returns whether there
        is a request.
        """
        received = b""
        while not received:
            kept = self._protocol.trailing_data[0]
            data = kept or await self._wait_for_data()
            if not data:
                return False
            if kept or self._limits.header_bytes != self._next_limits.header_bytes:
                self._protocol = _server_protocol(self._next_limits)
            received = data.lstrip(b"\r\n")
        self._limits = self._next_limits
        self._protocol.receive_data(received)
        return True

    async def _wait_for_data(self) -> bytes:
        """Return the first bytes of a request, none if the connection is to end."""
        data = b""
        self._idle_since = trio.current_time()
        with trio.move_on_after(self._idle_seconds) as self._idle_scope:
            data = await self._stream.receive_some(_FIRST_READ_BYTES)
        was_cut_short = self._idle_scope.cancelled_caught and self._closing
        self._idle_scope = None
        self._idle_since = None
        if was_cut_short and self._has_unread_bytes:
            data = bytes(await self._stream.receive_some(_FIRST_READ_BYTES))
        return data

    async def _read_body(
        self, request: Request, head_bytes: int, hold: MemoryHold, claim: Claim
    ) -> bytes | memoryview:
        """Read the body into memory that was taken before.

        A body without a declared length takes that of the largest one as soon as it
        is no longer small: with less it might have to wait while it holds memory.
        """
        declared = _declared_length(request)
        size = head_bytes + (declared or 0)
        kind = MemoryKind.SMALL if size <= SMALL_BYTES else MemoryKind.BODY
        extra = SMALL_BYTES if declared is None else 0
        is_held = bool(hold.bytes) or (
            kind is MemoryKind.SMALL and hold.try_take(kind, size + extra, claim)
        )
        # Only a request that has to wait needs its claim, which takes time to find.
        if not is_held or not self._has_received(declared):
            claim = self._claim(request)
        is_waiting = True
        limit_ms = _time_limit_ms(self._limits, claim)
        scope = trio.CancelScope()
        scope.deadline = self._received_at + limit_ms / _MS_PER_SECOND
        with scope:
            if not is_held:
                await hold.take(kind, size + extra, claim)
            is_waiting = False
            if self._protocol.they_are_waiting_for_100_continue:
                response = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send_all(self._protocol.send(response))
            buffer = BodyBuffer()
            if declared is not None and declared > buffer.capacity:
                buffer.expand(declared)
            event = await self._next_body_event(declared, hold, scope, claim)
            while isinstance(event, h11.Data):
                length = len(buffer) + len(event.data)
                if length > self._limits.body_bytes:
                    raise BodyTooLarge(self._limits.body_bytes)
                if length > buffer.capacity:
                    claim = self._claim(request)
                    is_waiting = True
                    whole = head_bytes + self._limits.body_bytes
                    if hold.bytes < whole:
                        await hold.take(MemoryKind.BODY, whole, claim)
                    is_waiting = False
                    buffer.expand(self._limits.body_bytes)
                buffer.append(event.data)
                left = None if declared is None else declared - len(buffer)
                event = await self._next_body_event(left, hold, scope, claim)
            if not isinstance(event, h11.EndOfMessage):
                raise BadRequest("the connection closed inside the body")
            hold.shrink(head_bytes + len(buffer))
            return buffer.content()
        if hold.is_too_slow:
            raise BodyTooSlow
        if is_waiting:
            raise OutOfMemory
        raise RequestTimeout("body")

    async def _next_body_event(
        self, left: int | None, hold: MemoryHold, scope: trio.CancelScope, claim: Claim
    ) -> h11.Event | type[h11.PAUSED]:
        """Return the next event; the memory is returned if nothing arrives in time."""
        await self._checkpoints.count_event()
        event = self._parse_event()
        if event is not h11.NEED_DATA:
            return event
        rate = least_rate(hold.bytes, self._limits.body_timeout_ms, claim.timeout_ms)
        with hold.transfer(scope, rate):
            while event is h11.NEED_DATA:
                # Bytes of a later request stay in the socket where the length is known.
                size = _FIRST_READ_BYTES if left is None else left
                data = await self._stream.receive_some(
                    max(1, min(size, _READ_CHUNK_BYTES))
                )
                hold.record(len(data))
                self._protocol.receive_data(data)
                event = self._parse_event()
        return event

    def _has_received(self, declared: int | None) -> bool:
        """Return whether a body of a declared length has arrived completely."""
        return declared is not None and (
            len(self._protocol.trailing_data[0]) >= declared
        )

    def _claim(self, request: Request) -> Claim:
        if self._classify is None:
            return Claim(self._peer)
        return self._classify(request, self._peer)

    def _check_declared_length(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                raise BodyTooLarge(self._limits.body_bytes)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        await self._checkpoints.count_event()
        while (event := self._parse_event()) is h11.NEED_DATA:
            self._protocol.receive_data(
                await self._stream.receive_some(_FIRST_READ_BYTES)
            )
        return event

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(str(error)) from error

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when the peer closes the connection.

        If the peer sends data first, it stays in the socket, and a later close is no
        longer noticed here.
        """
        try:
            data = await self._stream.socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        if not data:
            self._closing = True
            scope.cancel()

    async def _write(self, data: bytes) -> None:
        if self._has_unwritten_bytes:
            # The peer would take these bytes for the rest of the earlier ones.
            raise trio.BrokenResourceError("an earlier write was abandoned")
        self._has_unwritten_bytes = True
        with trio.move_on_after(self._limits.write_timeout_ms / _MS_PER_SECOND):
            await self._stream.send_all(data)
            self._has_unwritten_bytes = False
            return
        raise trio.BrokenResourceError("write timed out: the peer is not reading")


def _server_protocol(limits: HttpLimits) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)


def _unframed_protocol() -> h11.Connection:
    """Return a protocol that sends a response without framing and then must close.

    h11 leaves out the framing only in response to a request of HTTP/1.0.
    """
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b"GET / HTTP/1.0\r\n\r\n")
    while not isinstance(protocol.next_event(), h11.EndOfMessage):
        pass
    return protocol


def _peer_host(stream: trio.SocketStream) -> str:
    """Return the address of the peer, empty if it has left already."""
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        return ""


def _head_bytes(request: Request) -> int:
    """Return the memory that a request takes without its body."""
    items = request.headers.items
    text = sum(len(name) + len(value) for name, value in items)
    return _REQUEST_BYTES + len(request.target) + text + _FIELD_BYTES * len(items)


def _declared_length(request: Request) -> int | None:
    """Return the length of the body, ``None`` if it arrives in chunks."""
    if request.headers.get("transfer-encoding") is not None:
        return None
    return int(request.headers.get("content-length") or 0)


def _time_limit_ms(limits: HttpLimits, claim: Claim) -> int:
    """Return the time for the body: what the caller has left, or the limit."""
    if claim.timeout_ms is None:
        return limits.body_timeout_ms
    return min(limits.body_timeout_ms, claim.timeout_ms)
