"""Outgoing link to one peer over a long-lived gRPC stream."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel, Stream, StreamStreamMethod

from sassafraspin.rpc.frames import MessageCodec, RawCodec
from sassafraspin.settings import NamedAddress
from sassafraspin.telemetry.events import StreamFailed, log_event

__all__ = ["EXCHANGE_PATH", "LinkTimeouts", "PeerLink"]

EXCHANGE_PATH = "/sassafraspin.Peer/Exchange"

_MAX_QUEUED_BYTES = 1024 * 1024
_MAX_FRAME_BYTES = 64 * 1024
"""Limits of a frame and of the queue after its first message. A single message may be
larger."""

_MAX_UNACKNOWLEDGED_BYTES = 128 * 1024
"""Bytes in transit above which messages wait in the queue, which drops the oldest ones,
and not in a stream that may be dead."""

_SLOW_BYTES_PER_SECOND = 250_000
"""Rate of a slow link that other messages share."""

_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class LinkTimeouts:
    """Time limits of a link, in seconds.

    Parameters
    ----------
    connect : float
        Opening a connection.
    acknowledge : float
        Acknowledgement of a frame; the stream is replaced when it is exceeded. Bytes
        that are not acknowledged extend it by the time they take on a slow link.
    idle : float
        Time without traffic after which the stream is closed.
    retry : float
        Delay before reconnecting after a stream failed.
    """

    connect: float = 1.0
    acknowledge: float = 1.0
    idle: float = 4.0
    retry: float = 0.1

    def acknowledge_within(self, unacknowledged_bytes: int) -> float:
        """Return the time limit of an acknowledgement, in seconds."""
        return self.acknowledge + unacknowledged_bytes / _SLOW_BYTES_PER_SECOND


class _AcknowledgeTimeout(Exception):
    """The peer did not acknowledge a frame in time, or ended the stream."""


class _IdleTimeout(Exception):
    """The stream was idle for longer than the idle timeout."""


class PeerLink:
    """Sends messages to one peer in order, without delivery guarantee.

    Messages are lost when the stream breaks, the queue is full or the peer cannot be
    reached; senders repeat those that matter.

    Parameters
    ----------
    address : NamedAddress
        Address of the peer.
    source : str
        Name of this instance.
    incarnation : int
        Incarnation of this instance.
    codec : MessageCodec
        Codec for the frames.
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
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._sending_bytes = 0
        self._dropped_messages = 0
        self._queued = asyncio.Event()
        self._unacknowledged: deque[int] = deque()
        self._acknowledged = asyncio.Event()
        self._acknowledged_frames = 0
        self._last_progress_at = 0.0
        self._opened_at = 0.0
        self._longest_delay = 0.0
        self._sent_bytes = 0

    @property
    def address(self) -> NamedAddress:
        """Return the address of the peer."""
        return self._address

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of all frames sent, without transport headers."""
        return self._sent_bytes

    @property
    def excess_bytes(self) -> int:
        """Return the bytes of queued messages without the oldest one."""
        return self._queued_bytes - len(self._queue[0]) if self._queue else 0

    @property
    def pending_bytes(self) -> int:
        """Return the bytes of messages that are queued or being sent."""
        return self._queued_bytes + self._sending_bytes

    @property
    def dropped_messages(self) -> int:
        """Return the number of messages that were discarded without being sent."""
        return self._dropped_messages

    def send(self, message: bytes) -> None:
        """Queue an encoded message; drop the oldest ones when the queue is full."""
        self._queue.append(message)
        self._queued_bytes += len(message)
        while self.excess_bytes > _MAX_QUEUED_BYTES:
            self.drop_oldest()
        self._queued.set()

    def drop_oldest(self) -> None:
        """Discard the oldest queued message."""
        self._take_oldest()
        self._dropped_messages += 1

    async def run(self) -> None:
        """Maintain a stream while there is traffic, until cancelled."""
        while True:
            await self._queued.wait()
            self._opened_at = asyncio.get_running_loop().time()
            self._longest_delay = 0.0
            self._unacknowledged.clear()
            try:
                await self._run_stream()
            except _IdleTimeout:
                continue
            except Exception as error:
                # grpclib raises errors of any type if a connection ends while it opens.
                self._log_failure(error)
                if isinstance(error, OSError):
                    self._drop_queue()
                await asyncio.sleep(self._timeouts.retry)

    def _log_failure(self, error: Exception) -> None:
        now = asyncio.get_running_loop().time()
        log_event(
            StreamFailed(
                self._address.name,
                repr(error),
                int((now - self._opened_at) * _MS_PER_SECOND),
                sum(self._unacknowledged),
                self.pending_bytes,
                int(self._longest_delay * _MS_PER_SECOND),
            )
        )

    def _drop_queue(self) -> None:
        """Discard the messages for a peer that cannot be reached."""
        self._dropped_messages += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        self._queued.clear()

    async def _run_stream(self) -> None:
        channel = Channel(self._address.host, self._address.port, codec=RawCodec())
        method = StreamStreamMethod(channel, EXCHANGE_PATH, bytes, bytes)
        try:
            async with method.open() as stream:
                await asyncio.wait_for(
                    stream.send_request(), timeout=self._timeouts.connect
                )
                await self._exchange_frames(stream)
        finally:
            channel.close()

    async def _exchange_frames(self, stream: Stream[bytes, bytes]) -> None:
        """Send frames and read acknowledgements until the stream fails or times out.

        One task watches the time limits, because a timer for each message would cost
        more than sending the message.
        """
        self._unacknowledged.clear()
        self._acknowledged_frames = 0
        self._last_progress_at = asyncio.get_running_loop().time()
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._send_frames(stream),
                self._read_acknowledgements(stream),
                self._watch_timeouts(),
            )
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_frames(self, stream: Stream[bytes, bytes]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while not self._queue:
                self._queued.clear()
                await self._queued.wait()
            while sum(self._unacknowledged) >= _MAX_UNACKNOWLEDGED_BYTES:
                self._acknowledged.clear()
                await self._acknowledged.wait()
            frame = self._next_frame()
            if not self._unacknowledged:
                self._last_progress_at = loop.time()
            self._unacknowledged.append(len(frame))
            self._sending_bytes = len(frame)
            try:
                await stream.send_message(frame)
            finally:
                self._sending_bytes = 0
            self._sent_bytes += len(frame)

    async def _watch_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            pause = self._timeouts.idle
            if self._unacknowledged:
                pause = self._timeouts.acknowledge
            due_at = loop.time() + pause / 2
            await asyncio.sleep(pause / 2)
            now = loop.time()
            self._longest_delay = max(self._longest_delay, now - due_at)
            since_progress = now - self._last_progress_at
            if self._unacknowledged:
                limit = self._timeouts.acknowledge_within(sum(self._unacknowledged))
                if since_progress > limit:
                    raise _AcknowledgeTimeout
            elif since_progress > self._timeouts.idle and not self._queue:
                raise _IdleTimeout

    def _next_frame(self) -> bytes:
        messages = [self._take_oldest()]
        size = len(messages[0])
        while self._queue and size + len(self._queue[0]) <= _MAX_FRAME_BYTES:
            size += len(self._queue[0])
            messages.append(self._take_oldest())
        return self._codec.encode_frame(self._source, self._incarnation, messages)

    def _take_oldest(self) -> bytes:
        message = self._queue.popleft()
        self._queued_bytes -= len(message)
        return message

    async def _read_acknowledgements(self, stream: Stream[bytes, bytes]) -> None:
        while True:
            data = await stream.recv_message()
            if data is None:
                raise _AcknowledgeTimeout
            frames = self._codec.decode_acknowledgement(data).frames
            for _ in range(
                min(frames - self._acknowledged_frames, len(self._unacknowledged))
            ):
                self._unacknowledged.popleft()
            self._acknowledged_frames = frames
            self._last_progress_at = asyncio.get_running_loop().time()
            self._acknowledged.set()
