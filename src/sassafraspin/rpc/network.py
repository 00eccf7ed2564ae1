"""Message exchange between instances over UDP, and gRPC for large messages."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import msgspec
import trio
import trio_asyncio
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from sassafraspin.rpc.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from sassafraspin.rpc.event_loop import open_event_loop
from sassafraspin.rpc.frames import Acknowledgement, MessageCodec, RawCodec
from sassafraspin.rpc.link import EXCHANGE_PATH, LinkTimeouts, PeerLink
from sassafraspin.settings import Address, NamedAddress
from sassafraspin.telemetry import part_logger

__all__ = ["MessageHandler", "NetworkUsage", "PeerNetwork"]

MessageHandler = Callable[[str, int, Any], None]
"""Called with the sender's name, its incarnation and the message."""

_ACKNOWLEDGE_INTERVAL_SECONDS = 0.25

_MAX_EXCESS_BYTES = 8 * 1024 * 1024
"""Limit of the bytes queued for all peers together, without the oldest message of each,
so that no peer loses its only message to the others."""

_log = part_logger("rpc")


@dataclass(frozen=True)
class NetworkUsage:
    """Bytes held and sent by a ``PeerNetwork``.

    Parameters
    ----------
    pending_bytes : int
        Bytes that wait to be sent over streams, for all peers.
    largest_peer : str or None
        Peer with the most pending bytes, ``None`` if nothing is pending.
    largest_peer_bytes : int
        Pending bytes of that peer.
    dropped_messages : int
        Messages discarded without being sent, since the start.
    sent_bytes : dict
        Bytes handed to datagrams or streams since the start, by type of message.
    callback_delay : float
        Seconds that a callback last waited in the event loop of the streams, or has
        waited until now.
    """

    pending_bytes: int
    largest_peer: str | None
    largest_peer_bytes: int
    dropped_messages: int
    sent_bytes: dict[str, int]
    callback_delay: float = 0.0


class PeerNetwork:
    """Sends messages to peers by name and passes received ones to a handler.

    Parameters
    ----------
    name : str
        Name of this instance.
    incarnation : int
        Incarnation of this process; increases with each start.
    address : Address
        Address to listen on.
    message_type : type
        Union of tagged message structs.
    handler : MessageHandler
        Synchronous function called for each received message.
    timeouts : LinkTimeouts
        Time limits of outgoing links.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: Address,
        message_type: Any,
        handler: MessageHandler,
        timeouts: LinkTimeouts | None = None,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._codec: MessageCodec[Any] = MessageCodec(message_type)
        self._handler = handler
        self._timeouts = timeouts or LinkTimeouts()
        self._addresses: dict[str, NamedAddress] = {}
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._trio_token: trio.lowlevel.TrioToken | None = None
        self._received_bytes = 0
        self._datagrams = DatagramSocket(address, self._receive_frame)
        self._sent_bytes = 0
        self._sent_bytes_by_type: Counter[str] = Counter()
        self._dropped_messages = 0
        self._callback_delay = 0.0
        self._probed_at: float | None = None

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of frames for peers, without transport headers.

        Datagrams that were dropped locally are included.
        """
        return self._sent_bytes + sum(link.sent_bytes for link in self._links.values())

    @property
    def received_bytes(self) -> int:
        """Return the bytes of frames received, without transport headers."""
        return self._received_bytes

    def usage(self) -> NetworkUsage:
        """Return the bytes held for peers and the bytes sent by type of message."""
        pending = {name: link.pending_bytes for name, link in self._links.items()}
        largest = max(pending, key=pending.__getitem__, default=None)
        if largest is not None and pending[largest] == 0:
            largest = None
        dropped = sum(link.dropped_messages for link in self._links.values())
        return NetworkUsage(
            sum(pending.values()),
            largest,
            0 if largest is None else pending[largest],
            self._dropped_messages + dropped,
            dict(self._sent_bytes_by_type),
            self._probe_callback_delay(),
        )

    def set_peer_address(self, address: NamedAddress) -> None:
        """Set the address of a peer.

        A change closes the link to the old address and discards its queued messages.
        """
        if self._addresses.get(address.name) == address:
            return
        self._addresses[address.name] = address
        self._drop_link(address.name)

    def send(self, peer: str, message: Any) -> None:
        """Send a message to a peer or to this instance itself.

        Small messages are sent as datagrams, large ones over a long-lived stream. A
        message is dropped while the network is not serving, or if the peer's address
        is unknown.
        """
        if peer == self._name:
            self._deliver_locally(message)
            return
        address = self._addresses.get(peer)
        if address is None:
            return
        data = self._codec.encode_message(message)
        self._sent_bytes_by_type[type(message).__name__] += len(data)
        if len(data) <= MAX_DATAGRAM_BYTES:
            frame = self._codec.encode_frame(self._name, self._incarnation, [data])
            if len(frame) <= MAX_DATAGRAM_BYTES:
                self._sent_bytes += len(frame)
                self._datagrams.send(address.host, address.port, frame)
                return
        link = self._links.get(peer) or self._open_link(address)
        if link is not None:
            link.send(data)
            if link.excess_bytes > 0:
                self._limit_excess_bytes()

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen for peers until cancelled."""
        async with open_event_loop() as loop:
            self._loop = loop
            self._trio_token = trio.lowlevel.current_trio_token()
            server = Server([self], codec=RawCodec())
            await trio_asyncio.aio_as_trio(server.start)(
                self._address.host, self._address.port
            )
            self._datagrams.open()
            task_status.started()
            try:
                await self._datagrams.receive_loop()
            finally:
                self._datagrams.close()
                self._loop = None
                self._trio_token = None
                for name in list(self._links):
                    self._drop_link(name)
                server.close()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the grpclib methods of this service."""
        handler = Handler(self._receive_stream, Cardinality.STREAM_STREAM, bytes, bytes)
        return {EXCHANGE_PATH: handler}

    def _probe_callback_delay(self) -> float:
        """Return the last known delay of callbacks, and start to measure it again."""
        now = time.monotonic()
        delay = self._callback_delay
        if self._probed_at is not None:
            delay = max(delay, now - self._probed_at)
        elif self._loop is not None:
            self._probed_at = now
            self._loop.call_soon(self._end_probe)
        return delay

    def _end_probe(self) -> None:
        if self._probed_at is not None:
            self._callback_delay = time.monotonic() - self._probed_at
            self._probed_at = None

    def _limit_excess_bytes(self) -> None:
        """Drop the oldest message of the longest queue while the limit is exceeded."""
        links = self._links.values()
        total = sum(link.excess_bytes for link in links)
        while total > _MAX_EXCESS_BYTES:
            longest = max(links, key=lambda link: link.excess_bytes)
            before = longest.excess_bytes
            longest.drop_oldest()
            total -= before - longest.excess_bytes

    def _open_link(self, address: NamedAddress) -> PeerLink | None:
        if self._loop is None:
            return None
        link = PeerLink(
            address, self._name, self._incarnation, self._codec, self._timeouts
        )
        self._links[address.name] = link
        self._tasks[address.name] = self._loop.create_task(link.run())
        return link

    def _drop_link(self, peer: str) -> None:
        link = self._links.pop(peer, None)
        if link is not None:
            self._sent_bytes += link.sent_bytes
            self._dropped_messages += link.dropped_messages
        task = self._tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    def _deliver_locally(self, message: Any) -> None:
        # All of these callbacks run in the next pass of the scheduler, while the event
        # loop of the streams may be behind.
        if self._trio_token is not None:
            self._trio_token.run_sync_soon(
                self._handle, self._name, self._incarnation, message
            )

    async def _receive_stream(self, stream: Stream[bytes, bytes]) -> None:
        counter = _FrameCounter()
        acknowledger = asyncio.ensure_future(
            self._send_acknowledgements(stream, counter)
        )
        try:
            async for data in stream:
                self._receive_frame(data)
                counter.increment()
        except StreamTerminatedError:
            _log.debug("Stream from a peer was terminated.")
        finally:
            acknowledger.cancel()
            with suppress(asyncio.CancelledError, StreamTerminatedError):
                await acknowledger

    def _receive_frame(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            frame = self._codec.decode_frame(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            _log.warning("Dropped a malformed frame: {}.", error)
            return
        for message in frame.messages:
            self._handle(frame.source, frame.incarnation, message)

    def _handle(self, source: str, incarnation: int, message: Any) -> None:
        try:
            self._handler(source, incarnation, message)
        except Exception:  # noqa: BLE001
            _log.exception("Unexpected error while handling a message from {}.", source)

    async def _send_acknowledgements(
        self, stream: Stream[bytes, bytes], counter: "_FrameCounter"
    ) -> None:
        """Send the number of received frames, at most once per interval.

        The sender replaces the stream if its frames are not acknowledged in time.
        """
        sent = 0
        while True:
            await counter.wait()
            if counter.frames != sent:
                sent = counter.frames
                acknowledgement = Acknowledgement(sent)
                data = self._codec.encode_acknowledgement(acknowledgement)
                await stream.send_message(data)
            await asyncio.sleep(_ACKNOWLEDGE_INTERVAL_SECONDS)


class _FrameCounter:
    """Counts the frames received on one stream and signals new ones."""

    def __init__(self) -> None:
        self._frames = 0
        self._event = asyncio.Event()

    @property
    def frames(self) -> int:
        return self._frames

    def increment(self) -> None:
        self._frames += 1
        self._event.set()

    async def wait(self) -> None:
        await self._event.wait()
        self._event.clear()
