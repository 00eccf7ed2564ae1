"""Streams between instances that fall behind, or die, while datagrams pass."""

import time
import unittest
from collections import defaultdict
from contextlib import asynccontextmanager, suppress
from unittest import mock

import msgspec
import trio

from sassafraspin.loopback import free_ports
from sassafraspin.rpc import PeerLink, PeerNetwork
from sassafraspin.settings import Address, NamedAddress
from tests.quorum_model import QuorumModel
from tests.test_config_transfer import table_change

HOST = "127.0.0.1"
LARGE = "x" * 20_000
CONFIG_APPLY_SECONDS = 2.5
ACKNOWLEDGE_SECONDS = 1.0


class Note(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A test message."""

    number: int
    text: str = ""


class StreamProxy:
    """Relays TCP connections to a port and can freeze those that are open."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._generation = 0
        self._frozen_before = 0

    def freeze_open_connections(self) -> None:
        """Relay nothing more over the connections that are open now."""
        self._generation += 1
        self._frozen_before = self._generation

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Relay connections until cancelled."""
        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host=HOST)
            task_status.started(listener.socket.getsockname()[1])
            nursery.start_soon(trio.serve_listeners, self._handle, [listener])

    async def _handle(self, stream: trio.SocketStream) -> None:
        generation = self._generation
        other = await trio.open_tcp_stream(HOST, self._port)
        async with stream, other, trio.open_nursery() as nursery:
            nursery.start_soon(self._relay, other, stream, generation)
            await self._relay(stream, other, generation)
            nursery.cancel_scope.cancel()

    async def _relay(self, source, target, generation: int) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(16_384):
                if generation < self._frozen_before:
                    await trio.sleep_forever()
                await target.send_all(data)


class NetworkTestCase(unittest.TestCase):
    """Instances on loopback that record the newest message of each source."""

    def setUp(self):
        self.newest: dict[str, int] = defaultdict(int)
        self.received: dict[str, int] = defaultdict(int)

    def network(self, name: str, port: int) -> PeerNetwork:
        """Return an instance that records what it receives."""

        def record(source: str, incarnation: int, note: Note) -> None:
            self.newest[name] = max(self.newest[name], note.number)
            self.received[name] += 1

        return PeerNetwork(name, 1, Address(HOST, port), Note, record)

    @asynccontextmanager
    async def serving(self, *networks: PeerNetwork):
        """Serve networks until the block ends; the block gets the nursery."""
        async with trio.open_nursery() as nursery:
            for item in networks:
                await nursery.start(item.serve)
            yield nursery
            nursery.cancel_scope.cancel()

    async def send_until_newer(
        self, sender: PeerNetwork, peers: list[str], first: int, interval: float
    ) -> float:
        """Send large messages until each peer has one of them; return the seconds."""
        started_at = time.monotonic()
        number = first
        while any(self.newest[peer] < first for peer in peers):
            if time.monotonic() - started_at > 4 * CONFIG_APPLY_SECONDS:
                break
            for peer in peers:
                sender.send(peer, Note(number, LARGE))
            number += 1
            await trio.sleep(interval)
        return time.monotonic() - started_at


class TestBusyProcess(NetworkTestCase):
    """A process with so many tasks that each has its turn only now and then."""

    PEERS = 12
    PASS_SECONDS = 0.03

    async def keep_busy(self) -> None:
        """Let each pass of the scheduler take ``PASS_SECONDS``."""
        while True:
            until = time.monotonic() + self.PASS_SECONDS
            while time.monotonic() < until:
                pass
            await trio.sleep(0)

    def test_streams_of_a_busy_process_deliver(self):
        async def run():
            ports = free_ports(self.PEERS + 1)
            names = [f"p{position}" for position in range(self.PEERS)]
            sender = self.network("a", ports[-1])
            receivers = [
                self.network(name, port)
                for name, port in zip(names, ports, strict=False)
            ]
            async with self.serving(sender, *receivers) as nursery:
                for name, port in zip(names, ports, strict=False):
                    sender.set_peer_address(NamedAddress(name, HOST, port))
                nursery.start_soon(self.keep_busy)
                return await self.send_until_newer(sender, names, 1, 0.25)

        self.assertLess(trio.run(run), CONFIG_APPLY_SECONDS)

    def test_messages_to_the_own_instance_do_not_queue_up(self):
        """Counted in passes of the scheduler, so the machine's speed is irrelevant."""

        async def run():
            network = self.network("a", free_ports(1)[0])
            async with self.serving(network):
                for number in range(200):
                    for _ in range(3):
                        network.send("a", Note(number))
                    await trio.lowlevel.checkpoint()
                for _ in range(50):
                    await trio.lowlevel.checkpoint()
                return self.received["a"]

        self.assertEqual(trio.run(run), 600)


class TestDeadStream(NetworkTestCase):
    """A stream that is neither closed nor acknowledged."""

    def test_dead_stream_is_replaced_however_much_is_sent_over_it(self):
        async def run():
            ports = free_ports(2)
            first, second = self.network("a", ports[0]), self.network("b", ports[1])
            proxy = StreamProxy(ports[1])
            async with self.serving(first, second) as nursery:
                port = await nursery.start(proxy.serve)
                first.set_peer_address(NamedAddress("b", HOST, port))
                await self.send_until_newer(first, ["b"], 1, 0.05)
                proxy.freeze_open_connections()
                return await self.send_until_newer(first, ["b"], 1_000, 0.05)

        bound = ACKNOWLEDGE_SECONDS + CONFIG_APPLY_SECONDS
        self.assertLess(trio.run(run), bound)

    def test_link_outlives_an_unexpected_error(self):
        exchange = PeerLink._exchange_frames
        errors = [AttributeError("closed while it was opened")]

        async def fail_once(link: PeerLink, stream) -> None:
            if errors:
                raise errors.pop()
            await exchange(link, stream)

        async def run():
            ports = free_ports(2)
            first, second = self.network("a", ports[0]), self.network("b", ports[1])
            first.set_peer_address(NamedAddress("b", HOST, ports[1]))
            async with self.serving(first, second):
                with mock.patch.object(PeerLink, "_exchange_frames", fail_once):
                    return await self.send_until_newer(first, ["b"], 1, 0.1)

        self.assertLess(trio.run(run), CONFIG_APPLY_SECONDS)


class TestReturningVoter(unittest.TestCase):
    """A voter that answers again after it was silent; virtual time."""

    def commit_seconds(self, silence: float) -> float:
        """Return the seconds that a table takes if it needs the voter that returned."""
        model = QuorumModel(3)
        model.run(5.0)
        leader = model.leader()
        silent, other = [name for name in model.nodes if name != leader.name]
        send = model.network.send

        def send_to_others(source: str, target: str, message: object) -> None:
            if silent not in (source, target):
                send(source, target, message)

        model.network.send = send_to_others
        decided = []
        leader.control.propose(table_change(1), decided.append, leader.clock.now())
        model.run(silence)
        self.assertEqual(len(decided), 1)
        model.network.send = send
        model.crash(other)
        leader.control.propose(table_change(2), decided.append, leader.clock.now())
        started_at = model.network.now
        while len(decided) < 2:
            model.run(0.05)
        return model.network.now - started_at

    def test_returning_voter_gets_what_it_lacks_soon(self):
        for silence in (2.0, 6.0, 10.0):
            seconds = self.commit_seconds(silence)
            self.assertLess(seconds, CONFIG_APPLY_SECONDS, f"{silence} s silent")
