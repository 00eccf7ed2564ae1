"""Messages between instances: datagrams, streams, and restarted peers."""

import socket
import unittest
from contextlib import asynccontextmanager, suppress

import msgspec
import trio

from sassafraspin.loopback import free_ports
from sassafraspin.rpc import LinkTimeouts, PeerNetwork
from sassafraspin.rpc.datagrams import MAX_DATAGRAM_BYTES
from sassafraspin.settings import Address, NamedAddress

HOST = "127.0.0.1"
LARGE = "x" * (40 * MAX_DATAGRAM_BYTES)
VERY_LARGE = "x" * 1_200_000
LINK_BYTES_PER_SECOND = 625_000
MAX_PEER_BYTES = 2 * 1024 * 1024
MAX_NETWORK_BYTES = 16 * 1024 * 1024
TIMEOUTS = LinkTimeouts(connect=0.5, acknowledge=0.4, idle=0.4, retry=0.02)


async def _serve_slow_link(port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Relay connections to a port at ``LINK_BYTES_PER_SECOND`` until cancelled."""

    async def relay(source, target, seconds_per_byte: float) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(16_384):
                await trio.sleep(seconds_per_byte * len(data))
                await target.send_all(data)

    async def handle(stream) -> None:
        other = await trio.open_tcp_stream(HOST, port)
        async with stream, other, trio.open_nursery() as nursery:
            nursery.start_soon(relay, other, stream, 0.0)
            await relay(stream, other, 1 / LINK_BYTES_PER_SECOND)
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host=HOST)
        task_status.started(listener.socket.getsockname()[1])
        nursery.start_soon(trio.serve_listeners, handle, [listener])


class Note(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A test message."""

    number: int
    text: str = ""


class TestPeerNetwork(unittest.TestCase):
    """Two instances on loopback."""

    def setUp(self):
        self.ports = free_ports(2)
        self.received: list[tuple[str, int, int]] = []
        self.arrived = trio.Event()

    def network(self, position: int, incarnation: int = 1) -> PeerNetwork:
        """Return one of two instances that has the address of the other."""
        name, other = ("a", "b") if position == 0 else ("b", "a")

        def record(source: str, incarnation: int, message: Note) -> None:
            self.received.append((source, incarnation, message.number))
            self.arrived.set()

        address = Address(HOST, self.ports[position])
        network = PeerNetwork(name, incarnation, address, Note, record, TIMEOUTS)
        network.set_peer_address(NamedAddress(other, HOST, self.ports[1 - position]))
        return network

    @asynccontextmanager
    async def serving(self, *networks: PeerNetwork):
        """Serve networks until the block ends."""
        async with trio.open_nursery() as nursery:
            for item in networks:
                await nursery.start(item.serve)
            yield
            nursery.cancel_scope.cancel()

    async def send_until_arrived(self, sender: PeerNetwork, note: Note) -> None:
        """Send a message repeatedly until one arrives, since delivery may fail."""
        self.arrived = trio.Event()
        while not self.arrived.is_set():
            sender.send("b", note)
            with trio.move_on_after(0.2):
                await self.arrived.wait()

    def test_small_and_large_messages_arrive(self):
        async def run():
            first, second = self.network(0), self.network(1)
            async with self.serving(first, second):
                await self.send_until_arrived(first, Note(1))
                await self.send_until_arrived(first, Note(2, LARGE))

        trio.run(run)
        self.assertEqual(set(self.received), {("a", 1, 1), ("a", 1, 2)})

    def test_restarted_peer_is_reached_again(self):
        async def run():
            first = self.network(0)
            async with self.serving(first):
                async with self.serving(self.network(1)):
                    await self.send_until_arrived(first, Note(1, LARGE))
                async with self.serving(self.network(1, incarnation=2)):
                    await self.send_until_arrived(first, Note(2, LARGE))

        trio.run(run)
        self.assertIn(("a", 1, 2), self.received)

    def test_stream_without_acknowledgements_is_replaced(self):
        """A peer that accepts a connection and never answers gets a new connection."""

        async def run():
            first = self.network(0)
            async with self.serving(first):
                listener = socket.create_server((HOST, self.ports[1]))
                first.send("b", Note(1, LARGE))
                silent, _ = await trio.to_thread.run_sync(listener.accept)
                listener.close()
                async with self.serving(self.network(1)):
                    await self.send_until_arrived(first, Note(2, LARGE))
                silent.close()

        trio.run(run)
        self.assertIn(("a", 1, 2), self.received)

    def test_pending_bytes_are_reported_by_peer(self):
        async def run():
            first = self.network(0)
            async with self.serving(first):
                for number in range(3):
                    first.send("b", Note(number, LARGE))
                first.send("b", Note(9))
                return first.usage()

        usage = trio.run(run)
        self.assertEqual(usage.largest_peer, "b")
        self.assertEqual(usage.pending_bytes, usage.largest_peer_bytes)
        self.assertGreaterEqual(usage.pending_bytes, 3 * len(LARGE))
        self.assertGreater(usage.sent_bytes["Note"], usage.pending_bytes)

    def test_messages_for_a_silent_peer_are_bounded_in_bytes(self):
        async def run():
            first = self.network(0)
            with socket.create_server((HOST, self.ports[1])):
                async with self.serving(first):
                    for number in range(400):
                        first.send("b", Note(number, LARGE))
                    return first.usage()

        usage = trio.run(run)
        self.assertLessEqual(usage.pending_bytes, MAX_PEER_BYTES)
        self.assertGreater(usage.dropped_messages, 0)

    def test_messages_for_many_silent_peers_are_bounded_in_bytes(self):
        async def run():
            first = self.network(0)
            with socket.create_server((HOST, self.ports[1])):
                async with self.serving(first):
                    for peer in range(60):
                        address = NamedAddress(f"p{peer}", HOST, self.ports[1])
                        first.set_peer_address(address)
                        for number in range(20):
                            first.send(address.name, Note(number, LARGE))
                    return first.usage()

        usage = trio.run(run)
        self.assertLessEqual(usage.pending_bytes, MAX_NETWORK_BYTES)
        self.assertGreater(usage.dropped_messages, 0)

    def test_small_message_does_not_displace_the_only_large_one(self):
        async def run():
            first = self.network(0)
            async with self.serving(first):
                first.send("b", Note(1, VERY_LARGE))
                first.send("b", Note(2, LARGE))
                return first.usage()

        self.assertEqual(trio.run(run).dropped_messages, 0)

    def test_silent_peers_do_not_displace_messages_for_a_healthy_one(self):
        async def run():
            first, second = self.network(0), self.network(1)
            with socket.create_server((HOST, 0), backlog=64) as silent:
                port = silent.getsockname()[1]
                async with self.serving(first, second):
                    for peer in range(14):
                        first.set_peer_address(NamedAddress(f"p{peer}", HOST, port))
                        for _ in range(20):
                            first.send(f"p{peer}", Note(1, LARGE))
                    first.send("b", Note(77, LARGE))
                    with trio.fail_after(20):
                        await self.arrived.wait()

        trio.run(run)
        self.assertEqual(self.received, [("a", 1, 77)])

    def test_message_that_takes_seconds_on_a_slow_link_arrives(self):
        async def run():
            first, second = self.network(0), self.network(1)
            first._timeouts = LinkTimeouts()
            async with trio.open_nursery() as nursery:
                port = await nursery.start(_serve_slow_link, self.ports[1])
                async with self.serving(first, second):
                    first.set_peer_address(NamedAddress("b", HOST, port))
                    first.send("b", Note(1, VERY_LARGE))
                    with trio.fail_after(20):
                        await self.arrived.wait()
                nursery.cancel_scope.cancel()

        trio.run(run)
        self.assertEqual(self.received, [("a", 1, 1)])

    def test_message_to_the_own_instance(self):
        async def run():
            first = self.network(0)
            async with self.serving(first):
                first.send("a", Note(7))
                await self.arrived.wait()

        trio.run(run)
        self.assertEqual(self.received, [("a", 1, 7)])

    def test_malformed_datagrams_are_dropped(self):
        async def run():
            first, second = self.network(0), self.network(1)
            async with self.serving(first, second):
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    for garbage in (b"", b"\xff" * 100, b"\x93\xa1a\x01"):
                        sender.sendto(garbage, (HOST, self.ports[1]))
                await self.send_until_arrived(first, Note(3))

        trio.run(run)
        self.assertEqual({item[2] for item in self.received}, {3})
