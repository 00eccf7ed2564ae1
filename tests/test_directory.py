"""Directory of backend servers: what is published, and how instances find the rest."""

import random
import unittest
from dataclasses import replace
from types import SimpleNamespace

import msgspec

from sassafraspin.backends import Backend
from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.dispatch.directory import (
    BackendDirectory,
)
from sassafraspin.dispatch.directory_messages import (
    DirectoryListing,
    DirectoryQuery,
    DirectoryUpdate,
    ServerEntry,
    split_updates,
)
from sassafraspin.dispatch.directory_publisher import (
    DirectoryPublisher,
)
from sassafraspin.membership import Member, View
from sassafraspin.routed.directory_exchange import DirectoryExchange
from sassafraspin.rpc.datagrams import MAX_DATAGRAM_BYTES
from sassafraspin.rpc.frames import MessageCodec
from sassafraspin.rpc.pacing import ByteBudget
from tests.pool_model import SERVICE, announcement

RETENTION_SECONDS = 30.0
SETTLE_SECONDS = 4.2


def backends(count: int) -> tuple[Backend, ...]:
    """Return announced backend servers."""
    return tuple(Backend(announcement(number), 0.0) for number in range(count))


def known(directory: BackendDirectory) -> list[str]:
    """Return the names of the servers that may be used."""
    return sorted(item.id for item in directory.of_service(SERVICE))


class TestPublisher(unittest.TestCase):
    """What a dispatcher publishes, and what a directory keeps of it."""

    def setUp(self):
        self.publisher = DirectoryPublisher(BackendDirectory(RETENTION_SECONDS))
        self.directory = BackendDirectory(RETENTION_SECONDS)

    def send_updates(self, servers: tuple[Backend, ...], now: float) -> int:
        updates = self.publisher.updates(servers, now)
        for update in updates:
            self.directory.apply(update, now)
        return sum(len(update.entries) for update in updates)

    def test_end_of_the_cold_time_is_published_once(self):
        """Directories that differ in what is cold would be asked for forever."""
        servers = (Backend(announcement(1, cold_ms=3_000), 0.0),)
        self.assertEqual(self.send_updates(servers, 0.0), 1)
        self.assertEqual(self.send_updates(servers, 2.0), 0)
        self.assertEqual(self.send_updates(servers, 3.1), 1)
        self.assertEqual(self.send_updates(servers, 3.2), 0)
        warm = BackendDirectory(RETENTION_SECONDS)
        warm.apply(DirectoryUpdate.of(announcement(1)), 3.2)
        self.assertEqual(self.directory.digest, warm.digest)

    def test_changes_are_published_at_once_and_nothing_else(self):
        servers = backends(7)
        self.assertEqual(self.send_updates(servers, 0.0), 7)
        self.assertEqual(self.send_updates(servers, 0.5), 0)
        servers[3].withdraw()
        self.assertEqual(self.send_updates(servers, 0.6), 1)
        self.assertEqual(len(known(self.directory)), 6)
        self.assertEqual(self.send_updates(servers, 20.0), 0)

    def test_successor_publishes_only_what_its_directory_lacks(self):
        servers = backends(7)
        self.send_updates(servers[:6], 0.0)
        successor = DirectoryPublisher(self.directory)
        (update,) = successor.updates(servers, 1.0)
        self.assertEqual([item.id for item in update.entries], ["runner-6"])

    def test_removed_server_is_reported_at_once(self):
        servers = backends(7)
        self.send_updates(servers, 0.0)
        self.send_updates(servers[:6], 0.1)
        self.assertEqual(len(known(self.directory)), 6)

    def test_restarted_server_is_kept(self):
        restarted = Backend(announcement(0, incarnation=2), 0.0)
        self.send_updates(backends(1), 0.0)
        self.send_updates((), 0.1)
        self.send_updates((restarted,), 0.2)
        self.send_updates((restarted,), 1.0)
        self.assertEqual(known(self.directory), ["runner-0"])

    def test_changed_speed_estimate_is_reported_once(self):
        (server,) = backends(1)
        self.send_updates((server,), 0.0)
        for _ in range(60):
            expected = server.speed.prefill_seconds(2_000)
            rate = server.speed.prefill_rate
            server.speed.observe_first_token(2_000, expected, 0.05, rate)
        self.assertEqual(self.send_updates((server,), 0.1), 1)
        self.assertEqual(self.send_updates((server,), 0.2), 0)

    def test_update_of_an_earlier_incarnation_is_ignored(self):
        newer = Backend(announcement(0, incarnation=2, leaving=True), 0.0)
        older = Backend(announcement(0, incarnation=1), 0.0)
        self.send_updates((newer,), 0.0)
        for update in DirectoryPublisher(BackendDirectory(1.0)).updates((older,), 1.0):
            self.directory.apply(update, 1.0)
        self.assertEqual(known(self.directory), [])

    def test_server_without_reports_expires(self):
        self.send_updates(backends(1), 0.0)
        self.directory.apply(DirectoryUpdate(()), 29.0)
        self.assertEqual(known(self.directory), ["runner-0"])
        self.directory.apply(DirectoryUpdate(()), 31.0)
        self.assertEqual(known(self.directory), [])

    def test_dispatcher_keeps_its_own_servers(self):
        directory = BackendDirectory(RETENTION_SECONDS)
        publisher = DirectoryPublisher(directory)
        for second in range(100):
            publisher.updates(backends(2), float(second))
        self.assertEqual(len(known(directory)), 2)


class TestDigest(unittest.TestCase):
    """Directories with the same servers have the same digest, others have not."""

    def setUp(self):
        self.first = BackendDirectory(RETENTION_SECONDS)
        self.second = BackendDirectory(RETENTION_SECONDS)
        self.servers = [announcement(number) for number in range(40)]
        self.first.apply(DirectoryUpdate.of(*self.servers), 0.0)
        self.second.apply(DirectoryUpdate.of(*self.servers[::-1]), 0.0)

    def test_order_and_speed_do_not_count(self):
        faster = replace(self.servers[0], prefill_tokens_per_second=9e4, sequence=9)
        self.second.apply(DirectoryUpdate.of(faster), 0.0)
        self.assertEqual(self.first.digest, self.second.digest)

    def test_each_difference_counts(self):
        server = self.servers[3]
        before = self.first.digest
        for other in (
            replace(server, leaving=True, sequence=1),
            replace(server, incarnation=server.incarnation + 1),
            replace(server, slots=server.slots + 1, sequence=1),
            replace(server, cold_ms=3_000, sequence=1),
            replace(server, pace=1, sequence=1),
            announcement(99),
        ):
            directory = BackendDirectory(RETENTION_SECONDS)
            directory.apply(DirectoryUpdate.of(*self.servers), 0.0)
            directory.apply(DirectoryUpdate.of(other), 0.0)
            self.assertNotEqual(directory.digest, before, other)
        self.first.apply(DirectoryUpdate((), {server.id: server.incarnation}), 0.0)
        self.assertNotEqual(self.first.digest, before)

    def test_confirmed_servers_are_kept_and_others_expire(self):
        for second in range(0, 100, 5):
            self.assertTrue(self.second.confirm(self.first.digest, float(second)))
        self.assertEqual(len(known(self.second)), 40)
        self.assertFalse(self.second.confirm(1, 100.0))
        self.second.apply(DirectoryUpdate(()), 130.0)
        self.assertEqual(known(self.second), [])

    def test_member_that_asks_learns_how_long_a_server_is_still_cold(self):
        """With the time as first published, it would be cold anew for each reader."""
        cold = replace(self.servers[3], cold_ms=3_000, sequence=1)
        self.first.apply(DirectoryUpdate.of(cold), 1.0)
        query = DirectoryQuery(self.first.digest, self.second.page_digests)
        pages = self.first.differing_pages(query)
        contents = self.first.page_contents(pages, 3.0)
        sent = [item for page in contents.values() for item in page]
        self.second.apply(DirectoryUpdate.of(*sent), 3.0)
        self.assertEqual(self.second.cold_ms(cold.id, 3.0), 1_000)
        self.assertEqual(self.first.digest, self.second.digest)

    def test_longer_cold_time_is_a_change(self):
        """Otherwise a standby would end the limit when the first time has elapsed."""
        cold = replace(self.servers[3], cold_ms=3_000, sequence=1)
        self.first.apply(DirectoryUpdate.of(cold), 1.0)
        before = self.first.revision
        longer = replace(cold, cold_ms=6_000, sequence=2)
        self.first.apply(DirectoryUpdate.of(longer), 2.0)
        self.assertGreater(self.first.revision, before)

    def test_listing_removes_what_it_does_not_name(self):
        query = DirectoryQuery(self.first.digest, (0,) * 64)
        pages = self.first.differing_pages(query)
        self.second.apply_listing(DirectoryListing(pages, ("runner-1",)))
        self.assertEqual(known(self.second), ["runner-1"])


class Instance:
    """An instance with its directory; messages are collected."""

    def __init__(self, name: str, members: tuple[Member, ...]) -> None:
        self.sent: list[tuple[str, object]] = []
        node = SimpleNamespace(
            name=name,
            view=View(1, 1, members),
            lease=SimpleNamespace(control_names=("m0", "m1", "m2")),
            send=lambda target, message: self.sent.append((target, message)),
        )
        self.directory = BackendDirectory(RETENTION_SECONDS)
        self.exchange = DirectoryExchange(node, self.directory, SETTLE_SECONDS)

    def receive(self, source: str, message: object, now: float) -> None:
        """Handle a message as the runtime does."""
        match message:
            case DirectoryUpdate():
                self.directory.apply(message, now)
            case DirectoryQuery():
                self.exchange.answer(source, message, now)
            case DirectoryListing():
                self.exchange.apply_listing(message)


class TestMessages(unittest.TestCase):
    """What is sent between instances."""

    def test_updates_and_queries_fit_into_datagrams(self):
        codec: MessageCodec = MessageCodec(PeerMessage)
        servers = [
            replace(
                announcement(number),
                id=f"i-{number:010x}",
                incarnation=1_800_000_000_000,
                service="sorter-model",
                availability_zone="marmara-a",
            )
            for number in range(600)
        ]
        directory = BackendDirectory(RETENTION_SECONDS)
        directory.apply(DirectoryUpdate.of(*servers), 0.0)
        query = DirectoryQuery(directory.digest, directory.page_digests)
        for message in (*split_updates(servers), query):
            data = codec.encode_message(message)
            frame = codec.encode_frame("front-marmara-a-10", 1_800_000_000_000, [data])
            self.assertLessEqual(len(frame), MAX_DATAGRAM_BYTES)

    def test_entry_returns_what_was_announced(self):
        server = announcement(3, leaving=True)
        self.assertEqual(ServerEntry.of(server).to_announcement(), server)

    def test_entry_of_an_older_build_is_neither_cold_nor_paced(self):
        """Instances of two builds run side by side during an update."""
        entry = ServerEntry.of(announcement(1, cold_ms=3_000, pace=1))
        older = msgspec.msgpack.decode(msgspec.msgpack.encode(entry))[:-3]
        read = msgspec.convert(older, ServerEntry)
        self.assertEqual(read.to_announcement(), announcement(1))


class TestExchange(unittest.TestCase):
    """Members reach the leader's directory although messages are lost."""

    def make_instances(self, count: int) -> dict[str, Instance]:
        members = tuple(Member(f"m{n}", 1, "r", "z", "::1", 1) for n in range(count))
        return {member.name: Instance(member.name, members) for member in members}

    def deliver(self, instances, now: float, is_lost=lambda: False) -> None:
        """Deliver messages until there are none left."""
        while any(instance.sent for instance in instances.values()):
            for source, instance in instances.items():
                sent, instance.sent = instance.sent, []
                for target, message in sent:
                    if not is_lost():
                        instances[target].receive(source, message, now)

    def test_small_deployment_is_pushed_each_change(self):
        instances = self.make_instances(10)
        instances["m0"].exchange.publish(backends(13), 0.0)
        self.deliver(instances, 0.0)
        for instance in instances.values():
            self.assertEqual(len(known(instance.directory)), 13)

    def test_directories_become_equal_with_random_losses(self):
        for seed in range(30):
            with self.subTest(seed=seed):
                self.play_changes(random.Random(seed))

    def play_changes(self, generator: random.Random) -> None:
        instances = self.make_instances(8)
        leader = instances["m0"].exchange
        servers: dict[str, Backend] = {}
        now = 0.0
        for _ in range(60):
            now += 0.1
            self.change(servers, generator, now)
            leader.publish(tuple(servers.values()), now)
            self.deliver(instances, now, lambda: generator.random() < 0.3)
            self.exchange_digests(instances, leader, now, generator)
        for _ in range(200):
            now += 0.3
            leader.publish(tuple(servers.values()), now)
            self.deliver(instances, now)
            self.exchange_digests(instances, leader, now, generator)
        usable = sorted(
            name for name, server in servers.items() if not server.is_withdrawn
        )
        for instance in instances.values():
            self.assertEqual(known(instance.directory), usable)

    def change(self, servers, generator: random.Random, now: float) -> None:
        """Add, restart, withdraw or remove a server."""
        number = generator.randrange(20)
        name = f"runner-{number}"
        match generator.randrange(4):
            case 0 | 1:
                incarnation = int(now * 10)
                item = announcement(number, incarnation=incarnation)
                servers[name] = Backend(item, now)
            case 2 if name in servers:
                servers[name].withdraw()
            case 3:
                servers.pop(name, None)

    def exchange_digests(self, instances, leader, now, generator) -> None:
        for name, instance in instances.items():
            if name != "m0":
                instance.exchange.follow(leader.advertised_digest(now), now)
        self.deliver(instances, now, lambda: generator.random() < 0.3)

    def test_new_leader_with_the_same_directory_sends_nothing(self):
        for count in (24, 88, 200, 390):
            with self.subTest(instances=count):
                instances = self.make_instances(count)
                servers = backends(162)
                updates = DirectoryPublisher(BackendDirectory(1.0)).updates(
                    servers, 0.0
                )
                for instance in instances.values():
                    for update in updates:
                        instance.directory.apply(update, 0.0)
                leader = instances["m1"].exchange
                leader.publish(servers, 1.0)
                for instance in instances.values():
                    instance.exchange.follow(leader.advertised_digest(1.0), 1.0)
                self.assertEqual(sum(len(i.sent) for i in instances.values()), 0)

    def test_bytes_of_pushes_are_bounded_at_every_size(self):
        for count in (24, 88, 200, 390):
            instances = self.make_instances(count)
            leader = instances["m0"]
            leader.exchange.publish(backends(600), 0.0)
            to_members = [
                message for target, message in leader.sent if target not in "m1 m2"
            ]
            size = 600 * len(to_members)
            with self.subTest(instances=count):
                self.assertLess(size, 500_000)
                control = {target for target, _ in leader.sent if target == "m1"}
                self.assertTrue(control)

    def test_leader_that_starts_without_a_directory_advertises_none_at_first(self):
        leader = self.make_instances(3)["m0"].exchange
        leader.publish((), 0.0)
        leader.publish(backends(3), 1.0)
        self.assertEqual(leader.advertised_digest(1.0), 0)
        self.assertNotEqual(leader.advertised_digest(SETTLE_SECONDS), 0)
        leader.stop_publishing()
        self.assertEqual(leader.advertised_digest(9.0), 0)

    def test_holder_with_another_directory_does_not_answer(self):
        instances = self.make_instances(3)
        holder = instances["m1"]
        holder.directory.apply(DirectoryUpdate.of(announcement(1)), 0.0)
        holder.exchange.answer("m2", DirectoryQuery(77, (0,) * 64), 0.0)
        self.assertEqual(holder.sent, [])


class TestByteBudget(unittest.TestCase):
    """Bytes that may be sent within a time."""

    def test_burst_then_rate(self):
        budget = ByteBudget(1_000.0, 500.0)
        sent = sum(100 for _ in range(100) if budget.try_spend(100, 0.0))
        self.assertEqual(sent, 500)
        sent = sum(100 for n in range(1_000) if budget.try_spend(100, n / 100))
        self.assertLessEqual(sent, 10_000 + 500)
        self.assertGreaterEqual(sent, 9_000)

    def test_message_above_the_burst_is_sent_once_and_paid_for(self):
        budget = ByteBudget(1_000.0, 500.0)
        self.assertTrue(budget.try_spend(2_000, 0.0))
        self.assertFalse(budget.try_spend(1, 1.0))
        self.assertTrue(budget.try_spend(1, 2.0))
