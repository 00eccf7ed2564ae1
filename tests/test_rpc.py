"""Messages between instances: datagrams, streams, and restarted peers."""

import socket
import unittest
from contextlib import asynccontextmanager

import msgspec
import trio

from sassafraspin.loopback import free_ports
from sassafraspin.rpc import LinkTimeouts, PeerNetwork
from sassafraspin.rpc.datagrams import MAX_DATAGRAM_BYTES
from sassafraspin.settings import Address, NamedAddress

HOST = "127.0.0.1"
LARGE = "x" * (40 * MAX_DATAGRAM_BYTES)
MAX_PEER_BYTES = 2 * 1024 * 1024
MAX_NETWORK_BYTES = 16 * 1024 * 1024
TIMEOUTS = LinkTimeouts(connect=0.5, acknowledge=0.4, idle=0.4, retry=0.02)


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
