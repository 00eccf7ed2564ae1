"""Message exchange between instances over UDP, and gRPC for large messages."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec
import trio
import trio_asyncio
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from sassafraspin.rpc.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from sassafraspin.rpc.frames import Acknowledgement, Frame, MessageCodec, RawCodec
from sassafraspin.rpc.link import EXCHANGE_PATH, LinkTimeouts, PeerLink
from sassafraspin.settings import Address, NamedAddress
from sassafraspin.telemetry import part_logger

__all__ = ["MessageHandler", "PeerNetwork"]

MessageHandler = Callable[[str, int, Any], None]
"""Called with the sender's name, its incarnation and the message."""

_ACKNOWLEDGE_INTERVAL_SECONDS = 0.25

_log = part_logger("rpc")


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
        self._received_bytes = 0
        self._datagrams = DatagramSocket(address, self._receive_frame)
        self._sent_bytes = 0

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
        data = self._codec.encode(Frame(self._name, self._incarnation, [message]))
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._sent_bytes += len(data)
            self._datagrams.send(address.host, address.port, data)
            return
        link = self._links.get(peer) or self._open_link(address)
        if link is not None:
            link.send(message)

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen for peers until cancelled."""
        async with trio_asyncio.open_loop() as loop:
            self._loop = loop
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
                for name in list(self._links):
                    self._drop_link(name)
                server.close()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the grpclib methods of this service."""
        handler = Handler(self._receive_stream, Cardinality.STREAM_STREAM, bytes, bytes)
        return {EXCHANGE_PATH: handler}

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
        task = self._tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    def _deliver_locally(self, message: Any) -> None:
        if self._loop is not None:
            self._loop.call_soon(self._handle, self._name, self._incarnation, message)

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
        except msgspec.DecodeError as error:
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
                await stream.send_message(self._codec.encode(Acknowledgement(sent)))
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
