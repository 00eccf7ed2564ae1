"""Forwards a call to the backend server that its grant names."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass

import msgspec
import trio

from sassafraspin.daemon.calls import Call, ModelCall, PlainCall
from sassafraspin.dispatch import SlotGrant
from sassafraspin.errors import RemoteFailure
from sassafraspin.http import (
    ConnectionLost,
    EventParser,
    Headers,
    HttpClient,
    OpenResponse,
    Request,
    Response,
    ServerSentEvent,
)
from sassafraspin.http.events import sequence_number
from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger

__all__ = ["EVENT_STREAM", "AnswerTiming", "BackendRelay", "is_event_stream"]

EVENT_STREAM = "text/event-stream"
DONE_DATA = "[DONE]"
VERSION_HEADER = "sassafraspin-version"

_MAX_RESUMES = 2
_CANCEL_TIMEOUT_SECONDS = 1.0

_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)

_log = part_logger("relay")


@dataclass
class AnswerTiming:
    """Progress of one answer; times are monotonic seconds."""

    sent_at: float
    first_token_at: float | None = None
    answer_tokens: int = 0


class BackendRelay:
    """Sends calls to backend servers, relays streamed answers and cancels requests.

    Parameters
    ----------
    client : HttpClient
        HTTP client for backend servers.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def open(self, call: Call, grant: SlotGrant):
        """Return a context manager that sends a call and yields its response."""
        address = Address(grant.host, grant.port)
        return self._client.open(address, upstream_request(call, grant))

    async def events(
        self, call: Call, grant: SlotGrant, response: OpenResponse, timing: AnswerTiming
    ) -> AsyncGenerator[list[ServerSentEvent], None]:
        """Yield the events of a streamed answer in order, each exactly once.

        A stream that ends before its final event is resumed after the last event
        received, at most ``_MAX_RESUMES`` times. If that fails, ``ConnectionLost`` is
        raised even if no connection could be opened, because the request was already
        sent. Events without a sequence number are not deduplicated.

        Raises
        ------
        ConnectionLost
            If the stream cannot be resumed up to its final event.
        """
        reader = _StreamReader(timing)
        try:
            async with aclosing(reader.read(response)) as batches:
                async for batch in batches:
                    yield batch
        except ConnectionLost as error:
            _log.info(
                "Stream of request {} was interrupted: {}.", call.request_id, error
            )
        for _ in range(_MAX_RESUMES):
            if reader.done:
                return
            try:
                async with self._client.open(
                    Address(grant.host, grant.port),
                    _resume_request(call, reader.last_sequence),
                ) as resumed:
                    if resumed.status != 200:
                        break
                    async with aclosing(reader.read(resumed)) as batches:
                        async for batch in batches:
                            yield batch
            except RemoteFailure as error:
                _log.info(
                    "Resuming the stream of request {} failed: {}.",
                    call.request_id,
                    error,
                )
        if not reader.done:
            raise ConnectionLost("the stream ended before its last event")

    async def read_complete(
        self, response: OpenResponse, timing: AnswerTiming
    ) -> Response:
        """Read a complete answer and record its timing and token count."""
        body = await response.read()
        timing.first_token_at = trio.current_time()
        timing.answer_tokens = _completion_tokens(body)
        headers = forwarded_headers(response.headers)
        return Response(response.status, headers, body, response.is_framed)

    async def cancel(self, call: Call, grant: SlotGrant) -> None:
        """Ask a model engine to cancel a request, ignoring failures.

        Does nothing for plain services, which have no cancellation request.
        """
        if isinstance(call.kind, PlainCall):
            return
        request = Request("DELETE", f"/v1/streams/{call.request_id}", _host(grant))
        with trio.move_on_after(_CANCEL_TIMEOUT_SECONDS) as scope:
            scope.shield = True
            try:
                await self._client.send(Address(grant.host, grant.port), request)
            except RemoteFailure:
                _log.debug("Cancelling request {} failed.", call.request_id)


class _StreamReader:
    """Reads a stream across reconnects, ordered by event sequence numbers."""

    def __init__(self, timing: AnswerTiming) -> None:
        self._timing = timing
        self._last_sequence = -1
        self._done = False

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the last event forwarded, or -1."""
        return self._last_sequence

    @property
    def done(self) -> bool:
        """Return whether the final event was forwarded."""
        return self._done

    async def read(
        self, response: OpenResponse
    ) -> AsyncGenerator[list[ServerSentEvent], None]:
        """Yield batches of new events, dropping duplicates.

        Raises ``ConnectionLost`` if a sequence number is skipped.
        """
        parser = EventParser()
        async with aclosing(response.chunks()) as chunks:
            async for chunk in chunks:
                batch = [event for event in parser.feed(chunk) if self._accept(event)]
                if batch:
                    yield batch
                if self._done:
                    return

    def _accept(self, event: ServerSentEvent) -> bool:
        if self._done:
            return False
        sequence = sequence_number(event.id)
        if sequence is not None:
            if sequence <= self._last_sequence:
                return False
            if sequence != self._last_sequence + 1:
                raise ConnectionLost("the stream skipped an event")
            self._last_sequence = sequence
        if event.data == DONE_DATA:
            self._done = True
            return True
        if self._timing.first_token_at is None:
            self._timing.first_token_at = trio.current_time()
        self._timing.answer_tokens += 1
        return True


def upstream_request(call: Call, grant: SlotGrant) -> Request:
    """Return the request as it is sent to the backend server."""
    headers = call.request.headers.without(_NOT_FORWARDED)
    headers = headers.adding("host", f"{grant.host}:{grant.port}")
    headers = headers.adding("x-request-id", call.request_id)
    headers = headers.adding(VERSION_HEADER, grant.version)
    body = call.request.body
    if isinstance(call.kind, ModelCall):
        model = f"{call.service.name}:{grant.version}"
        body = msgspec.json.encode({**call.kind.document, "model": model})
    return Request(call.request.method, call.request.target, headers, body)


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that are forwarded to the caller."""
    return headers.without(_NOT_FORWARDED)


def is_event_stream(response: OpenResponse) -> bool:
    """Return whether a response is a stream of server-sent events."""
    content_type = response.headers.get("content-type") or ""
    return content_type.startswith(EVENT_STREAM)


def _resume_request(call: Call, last_sequence: int) -> Request:
    target = f"/v1/streams/{call.request_id}?after={last_sequence}"
    return Request("GET", target, Headers((("host", "backend"),)))


def _host(grant: SlotGrant) -> Headers:
    return Headers((("host", f"{grant.host}:{grant.port}"),))


def _completion_tokens(body: bytes) -> int:
    """Return the answer tokens that the body reports in ``usage``, or 0."""
    try:
        usage = msgspec.json.decode(body, type=_UsageDocument).usage
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return 0
    return usage.completion_tokens


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _UsageDocument(msgspec.Struct):
    usage: _Usage = msgspec.field(default_factory=_Usage)
