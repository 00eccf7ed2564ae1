"""Outgoing link to one peer: a long stream that is replaced when it goes silent."""

import asyncio
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import msgspec
from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from sassafraspin.rpc.frames import Frame, MessageCodec, RawCodec
from sassafraspin.settings import NamedAddress
from sassafraspin.telemetry import part_logger

__all__ = ["EXCHANGE_PATH", "LinkTimeouts", "PeerLink"]

EXCHANGE_PATH = "/sassafraspin.Peer/Exchange"

_MAX_QUEUED_MESSAGES = 10_000
_MAX_FRAME_MESSAGES = 256

_log = part_logger("rpc")


@dataclass(frozen=True)
class LinkTimeouts:
    """Time limits of a link, in seconds.

    Parameters
    ----------
    connect : float
        For opening a connection.
    acknowledge : float
        For a frame to be acknowledged before the stream counts as silent.
    idle : float
        Time without traffic after which the stream is closed.
    retry : float
        Pause after a failed stream.
    """

    connect: float = 1.0
    acknowledge: float = 1.0
    idle: float = 30.0
    retry: float = 0.1


class _Silent(Exception):
    """The peer has not acknowledged a frame in time."""


class _Idle(Exception):
    """The stream has carried nothing for a while."""


_STREAM_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    msgspec.DecodeError,
    _Silent,
    _Idle,
)


class PeerLink:
    """Sends messages to one peer in order, without delivery guarantee.

    Messages are lost when the stream breaks; senders repeat what they need.

    Parameters
    ----------
    address : NamedAddress
        The peer.
    source : str
        Name of this instance.
    incarnation : int
        Incarnation of this instance.
    codec : MessageCodec
        Encoding of frames.
    timeouts : LinkTimeouts
        Time limits.
    """

    def __init__(
        self,
        address: NamedAddress,
        source: str,
        incarnation: int,
        codec: MessageCodec[Any],
        timeouts: LinkTimeouts,
    ) -> None:
        self._address = address
        self._source = source
        self._incarnation = incarnation
        self._codec = codec
        self._timeouts = timeouts
        self._queue: deque[Any] = deque()
        self._queued = asyncio.Event()
        self._sent_frames = 0
        self._acknowledged_frames = 0
        self._oldest_unacknowledged_at = 0.0
        self._dropped_messages = 0

    @property
    def address(self) -> NamedAddress:
        """Return the address of the peer."""
        return self._address

    @property
    def dropped_messages(self) -> int:
        """Return how many messages were dropped at a full queue or a break."""
        return self._dropped_messages

    def send(self, message: Any) -> None:
        """Queue a message; drop the oldest one when the queue is full."""
        if len(self._queue) >= _MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self._dropped_messages += 1
        self._queue.append(message)
        self._queued.set()

    async def run(self) -> None:
        """Keep a stream open while there is traffic; runs until cancelled."""
        while True:
            await self._queued.wait()
            try:
                await self._run_stream()
            except _Idle:
                continue
            except _STREAM_ERRORS as error:
                _log.debug("Stream to {} broke: {!r}.", self._address.name, error)
                if isinstance(error, OSError):
                    self._drop_queue()
                await asyncio.sleep(self._timeouts.retry)

    def _drop_queue(self) -> None:
        """Forget what was queued for a peer that does not accept a connection."""
        self._dropped_messages += len(self._queue)
        self._queue.clear()
        self._queued.clear()

    async def _run_stream(self) -> None:
        channel = Channel(self._address.host, self._address.port, codec=RawCodec())
        method = StreamStreamMethod(channel, EXCHANGE_PATH, bytes, bytes)
        try:
            async with method.open() as stream:
                await asyncio.wait_for(
                    stream.send_request(), timeout=self._timeouts.connect
                )
                await self._pump(stream)
        finally:
            channel.close()

    async def _pump(self, stream: Stream[bytes, bytes]) -> None:
        self._sent_frames = 0
        self._acknowledged_frames = 0
        reader = asyncio.ensure_future(self._read_acknowledgements(stream))
        try:
            while True:
                await self._wait_for_messages(reader)
                await asyncio.wait_for(
                    stream.send_message(self._next_frame()),
                    timeout=self._timeouts.acknowledge,
                )
                self._note_sent(asyncio.get_running_loop().time())
        finally:
            reader.cancel()
            with suppress(asyncio.CancelledError, *_STREAM_ERRORS):
                await reader

    async def _wait_for_messages(self, reader: asyncio.Future[None]) -> None:
        loop = asyncio.get_running_loop()
        idle_until = loop.time() + self._timeouts.idle
        while not self._queue:
            if reader.done():
                reader.result()
            self._check_progress(loop.time(), idle_until)
            self._queued.clear()
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._queued.wait(), timeout=self._timeouts.acknowledge
                )
        self._check_progress(loop.time(), idle_until)

    def _check_progress(self, now: float, idle_until: float) -> None:
        waiting = self._acknowledged_frames < self._sent_frames
        if waiting and now - self._oldest_unacknowledged_at > (
            self._timeouts.acknowledge
        ):
            raise _Silent
        if not waiting and not self._queue and now > idle_until:
            raise _Idle

    def _next_frame(self) -> bytes:
        count = min(len(self._queue), _MAX_FRAME_MESSAGES)
        messages = [self._queue.popleft() for _ in range(count)]
        return self._codec.encode(Frame(self._source, self._incarnation, messages))

    def _note_sent(self, now: float) -> None:
        if self._acknowledged_frames == self._sent_frames:
            self._oldest_unacknowledged_at = now
        self._sent_frames += 1

    async def _read_acknowledgements(self, stream: Stream[bytes, bytes]) -> None:
        while True:
            data = await stream.recv_message()
            if data is None:
                raise _Silent
            self._acknowledged_frames = self._codec.decode_acknowledgement(data).frames
            self._oldest_unacknowledged_at = asyncio.get_running_loop().time()
