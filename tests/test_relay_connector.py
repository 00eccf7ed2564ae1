"""Connections of one instance, direct or through two other ones, on loopback."""

import random
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from sassafraspin.http import dial_tcp
from sassafraspin.http.sockets import detect_lost_peer, limit_unread
from sassafraspin.loopback import LOOPBACK_HOST, free_ports
from sassafraspin.membership import Member
from sassafraspin.relay import RelayConnector, TunnelServer
from sassafraspin.settings import Address
from tests.partitioned_deployment import loopback_hosts

GUARD_SECONDS = 30
SERVERS = 3
MAX_TUNNELS = 100


@dataclass
class Peer:
    """One instance: its connector, and how it reaches servers."""

    name: str
    connector: RelayConnector | None = None
    refuses: bool = False
    hangs: bool = False
    dialled: list[Address] = field(default_factory=list)


@dataclass
class Peers:
    """Three instances and the servers that they share."""

    own: Peer
    others: list[Peer]
    servers: list[Address]
    listeners: list[trio.SocketListener]

    async def close_server(self, number: int) -> None:
        """Let nothing listen at the address of a server any more."""
        await self.listeners[number].aclose()

    async def partition(self) -> None:
        """Refuse the own connections and wait until that was noticed."""
        self.own.refuses = True
        while not self.own.connector.is_partitioned:
            for server in self.servers:
                path = await self.own.connector.connect(server)
                path.stream.socket.close()


@dataclass
class FakeConnection:
    """Connection with a request in flight."""

    address: Address
    may_abandon: bool
    relay: str | None = None
    sent_at: float = 0.0
    received_at: float = 0.0
    is_abandoned: bool = False

    def abandon(self) -> None:
        """Record that the request was ended."""
        self.is_abandoned = True


class RelayConnectorCase(unittest.TestCase):
    """Base of the test cases."""

    def play(self, scenario: Callable[[Peers], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as nursery:
                    peers = await self.start(nursery)
                    await scenario(peers)
                    for listener in peers.listeners:
                        await listener.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def start(self, nursery: trio.Nursery) -> Peers:
        """Start the servers and the instances."""
        tunnel_port, *ports = free_ports(1 + SERVERS)
        servers = [Address(LOOPBACK_HOST, port) for port in ports]
        listeners = []
        for server in servers:
            listeners += await trio.open_tcp_listeners(server.port, host=server.host)
        peers = []
        members = [
            Member(f"front-{number}", 1, "south", "a", host, 1)
            for number, host in enumerate(loopback_hosts(3), start=1)
        ]
        for member in members:
            peer = Peer(member.name)
            others = [item for item in members if item is not member]
            peer.connector = RelayConnector(
                self.dial_of(peer, frozenset(servers)),
                tunnel_port,
                member.region,
                lambda others=others: others,
                lambda: frozenset(servers),
                random.Random(1),
            )
            nursery.start_soon(peer.connector.serve)
            address = Address(member.host, tunnel_port)
            await nursery.start(
                TunnelServer(
                    address, peer.connector.connect_for_other, MAX_TUNNELS
                ).serve
            )
            peers.append(peer)
        return Peers(peers[0], peers[1:], servers, listeners)

    def dial_of(self, peer: Peer, servers: frozenset[Address]):
        """Return how an instance opens connections."""

        async def dial(address: Address) -> trio.SocketStream:
            if address in servers:
                peer.dialled.append(address)
                if peer.refuses:
                    raise ConnectionRefusedError("refused by the test")
                if peer.hangs:
                    await trio.sleep_forever()
            return await dial_tcp(address)

        return dial


class TestConnections(RelayConnectorCase):
    """Which way a connection is opened."""

    def test_direct_without_asking_others(self):
        async def scenario(peers):
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertIsNone(path.relay)
            path.stream.socket.close()
            self.assertEqual([peer.dialled for peer in peers.others], [[], []])

        self.play(scenario)

    def test_refused_here_only(self):
        async def scenario(peers):
            peers.own.refuses = True
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertIn(path.relay, ("front-2", "front-3"))
            path.stream.socket.close()

        self.play(scenario)

    def test_hangs_here_only(self):
        async def scenario(peers):
            peers.own.hangs = True
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertIn(path.relay, ("front-2", "front-3"))
            path.stream.socket.close()

        self.play(scenario)

    def test_server_that_is_down_is_no_partition(self):
        async def scenario(peers):
            await peers.close_server(0)
            for _ in range(3):
                with self.assertRaises(OSError):
                    await peers.own.connector.connect(peers.servers[0])
            self.assertFalse(peers.own.connector.is_partitioned)
            self.assertFalse(peers.own.connector.has_lost_path(peers.servers[0]))

        self.play(scenario)

    def test_relay_that_is_partitioned_too_is_passed_over(self):
        async def scenario(peers):
            peers.own.refuses = peers.others[0].refuses = True
            for server in peers.servers * 4:
                path = await peers.own.connector.connect(server)
                self.assertEqual(path.relay, "front-3")
                path.stream.socket.close()

        self.play(scenario)

    def test_all_partitioned_ends_without_a_loop(self):
        async def scenario(peers):
            for peer in (peers.own, *peers.others):
                peer.refuses = True
            with self.assertRaises(OSError):
                await peers.own.connector.connect(peers.servers[0])
            # A relay that asked others would be asked by them in turn.
            attempts = sum(len(peer.dialled) for peer in (peers.own, *peers.others))
            self.assertLess(attempts, 10)

        self.play(scenario)

    def test_address_that_is_no_server(self):
        async def scenario(peers):
            with self.assertRaises(OSError):
                await peers.own.connector.connect(Address(LOOPBACK_HOST, 1))
            self.assertEqual([peer.dialled for peer in peers.others], [[], []])

        self.play(scenario)

    def test_direct_again_after_the_partition(self):
        async def scenario(peers):
            await peers.partition()
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertIsNotNone(path.relay)
            path.stream.socket.close()
            peers.own.refuses = False
            while peers.own.connector.is_partitioned:
                peers.own.connector.tick((), 0.0)
                await trio.sleep(0.01)
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertIsNone(path.relay)
            path.stream.socket.close()

        self.play(scenario)


class TestCrashProbe(RelayConnectorCase):
    """Whether a refused connection is taken for a crash of the server."""

    def test_refused_here_only(self):
        async def scenario(peers):
            peers.own.refuses = True
            connector = peers.own.connector
            self.assertFalse(await connector.refuses_connections(peers.servers[0]))
            self.assertTrue(connector.has_lost_path(peers.servers[0]))

        self.play(scenario)

    def test_refused_everywhere(self):
        async def scenario(peers):
            await peers.close_server(0)
            connector = peers.own.connector
            self.assertTrue(await connector.refuses_connections(peers.servers[0]))

        self.play(scenario)

    def test_crash_during_a_partition(self):
        async def scenario(peers):
            await peers.partition()
            connector = peers.own.connector
            self.assertFalse(await connector.refuses_connections(peers.servers[0]))
            await peers.close_server(0)
            self.assertTrue(await connector.refuses_connections(peers.servers[0]))

        self.play(scenario)


class TestSilentRequests(RelayConnectorCase):
    """Requests in flight on direct connections."""

    async def tick_until(self, peers: Peers, connections, condition) -> None:
        while not condition():
            peers.own.connector.tick(connections, float("-inf"))
            await trio.sleep(0.02)

    def requests(self, peers: Peers) -> list[FakeConnection]:
        """Return requests in flight, of which the first may run again."""
        now = trio.current_time()
        return [
            FakeConnection(server, number == 0, None, now, now)
            for number, server in enumerate(peers.servers)
        ]

    def test_hanging_path_ends_only_what_may_run_again(self):
        async def scenario(peers):
            peers.own.hangs = True
            first, *others = requests = self.requests(peers)
            await self.tick_until(peers, requests, lambda: first.is_abandoned)
            self.assertEqual([item.is_abandoned for item in others], [False, False])

        self.play(scenario)

    def test_refused_connections_do_not_end_open_ones(self):
        async def scenario(peers):
            requests = self.requests(peers)
            await peers.partition()
            probes = len(peers.own.dialled)
            await self.tick_until(
                peers, requests, lambda: len(peers.own.dialled) >= probes + 3
            )
            self.assertFalse(any(item.is_abandoned for item in requests))

        self.play(scenario)

    def test_silent_servers_are_no_partition(self):
        async def scenario(peers):
            requests = self.requests(peers)
            await self.tick_until(peers, requests, lambda: len(peers.own.dialled) >= 4)
            self.assertFalse(peers.own.connector.is_partitioned)
            self.assertFalse(any(item.is_abandoned for item in requests))
            self.assertEqual([peer.dialled for peer in peers.others], [[], []])

        self.play(scenario)


@unittest.skipUnless(hasattr(socket, "TCP_USER_TIMEOUT"), "the system lacks the option")
class TestSocketOptions(RelayConnectorCase):
    """Options by which the system notices a lost peer."""

    def test_options_of_a_connection_to_a_server(self):
        async def scenario(peers):
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertEqual(self.options(path.stream), (1, 1, 1, 2_000))
            limit_unread(path.stream, 0)
            self.assertEqual(self.options(path.stream), (1, 1, 1, 0))
            path.stream.socket.close()

        self.play(scenario)

    def test_options_of_a_tunnel(self):
        async def scenario(peers):
            peers.own.refuses = True
            path = await peers.own.connector.connect(peers.servers[0])
            self.assertEqual(self.options(path.stream), (1, 1, 1, 2_000))
            path.stream.socket.close()

        self.play(scenario)

    def test_limit_for_unread_bytes(self):
        async def scenario(peers):
            stream = await dial_tcp(peers.servers[0])
            detect_lost_peer(stream, 30_000)
            self.assertEqual(self.options(stream), (1, 1, 1, 30_000))
            stream.socket.close()

        self.play(scenario)

    def options(self, stream: trio.SocketStream) -> tuple[int, ...]:
        """Return the keep-alive options and the limit in milliseconds."""
        tcp = socket.IPPROTO_TCP
        get = stream.socket.getsockopt
        return (
            get(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            get(tcp, socket.TCP_KEEPIDLE),
            get(tcp, socket.TCP_KEEPINTVL),
            get(tcp, socket.TCP_USER_TIMEOUT),
        )
