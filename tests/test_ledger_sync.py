"""Synchronization of request records after a view change."""

import itertools
import time
import unittest
from collections import deque
from unittest import mock

import msgspec
import trio

from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.ledger import (
    Claim,
    CloseClaim,
    Ledger,
    RecordKey,
    RecordState,
    RequestRecord,
    SyncReply,
    SyncRequest,
)
from sassafraspin.ledger.sync import _MemberProgress
from sassafraspin.loopback import free_ports
from sassafraspin.membership import Member, MemberIdentity, View
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import Address, LedgerSettings

HOST = "127.0.0.1"
SYNC_SECONDS = 5.0
TICK_SECONDS = 0.05


def make_record(number: int) -> RequestRecord:
    """Return a claimed record with a key and a request ID of usual lengths."""
    return RequestRecord(
        RecordKey("mill-floor", f"key-{number:024}"),
        number.to_bytes(16, "big"),
        1,
        f"sorter-model:{number:032x}",
        "a",
        1,
        RecordState.CLAIMED,
    )


class OldSyncRequest(msgspec.Struct, frozen=True, tag="SyncRequest", array_like=True):
    """``SyncRequest`` of build 642a6d5."""

    view_number: int
    attempt: int


class OldSyncReply(msgspec.Struct, frozen=True, tag="SyncReply", array_like=True):
    """``SyncReply`` of build 642a6d5."""

    view_number: int
    attempt: int
    part: int
    last: bool
    records: tuple[RequestRecord, ...]


class TestSyncParts(unittest.TestCase):
    """A responder ``a`` with five parts, and a requester ``b``."""

    records = 50
    parts = 5

    def setUp(self):
        size = self.records // self.parts
        patch = mock.patch("sassafraspin.ledger.sync._MAX_RECORDS_PER_PART", size)
        patch.start()
        self.addCleanup(patch.stop)
        self.now = 0.0
        self.members = tuple(
            Member(name, 1, "r", f"zone-{name}", HOST, 1) for name in "ab"
        )
        self.a, self.b = self.members
        self.responder = Ledger(self.a.identity, LedgerSettings())
        self.requester = Ledger(self.b.identity, LedgerSettings())
        for number in range(self.records):
            self.responder._records.store(make_record(number), 0.0)
        views = (View(), View(1, 0, self.members))
        self.responder.install_views(views, 0.0)
        self.requests = deque(
            effect.message for effect in self.requester.install_views(views, 0.0)
        )

    def answer(self, request: SyncRequest) -> list[SyncReply]:
        effects = self.responder.receive(self.b.identity, request, True, self.now)
        return [effect.message for effect in effects]

    def receive(self, reply: SyncReply) -> list[SyncRequest]:
        effects = self.requester.receive(self.a.identity, reply, True, self.now)
        return [effect.message for effect in effects]

    def tick(self, seconds: float) -> list[SyncRequest]:
        self.now += seconds
        self.responder.tick(True, self.now)
        return [effect.message for effect in self.requester.tick(True, self.now)]

    def transfer(self, count: int) -> list[SyncReply]:
        """Deliver the answers to the next ``count`` requests, and return them."""
        replies = []
        for _ in range(count):
            (reply,) = self.answer(self.requests.popleft())
            replies.append(reply)
            self.requests.extend(self.receive(reply))
            self.assertLessEqual(len(self.requests), 1)
        return replies

    def test_each_part_is_sent_once_when_asked_for(self):
        replies = self.transfer(self.parts)
        self.assertEqual([reply.part for reply in replies], list(range(self.parts)))
        self.assertEqual(self.requester.synced_view, 1)
        self.assertEqual(self.requester.record_count, self.records)
        self.assertFalse(self.requests)
        self.assertEqual(self.tick(60.0), [])

    def test_not_synced_before_the_last_part(self):
        self.transfer(self.parts - 1)
        self.assertEqual(self.requester.synced_view, 0)

    def test_lost_part_is_asked_for_again_with_backoff(self):
        self.transfer(3)
        lost = self.requests.popleft()
        times = [self.now]
        for _ in range(300):
            for request in self.tick(TICK_SECONDS):
                self.assertEqual(request.part, lost.part)
                times.append(self.now)
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        for gap, expected in zip(gaps, [0.3, 0.6, 1.2, 2.4, 4.8, 5.0], strict=True):
            self.assertAlmostEqual(gap, expected, delta=1.1 * TICK_SECONDS)

    def test_lost_part_repeats_no_other_part(self):
        sent = []
        for _ in range(self.parts):
            sent += self.answer(self.requests.popleft())
            self.requests.extend(self.tick(0.35))
            sent += self.transfer(1)
        expected = [part for part in range(self.parts) for _ in range(2)]
        self.assertEqual([reply.part for reply in sent], expected)
        self.assertEqual(self.requester.synced_view, 1)

    def test_repeated_reply_causes_no_request(self):
        replies = self.transfer(3)
        for reply in replies:
            self.assertEqual(self.receive(reply), [])

    def test_slow_part_is_not_asked_for_again_at_once(self):
        for _ in range(2):
            (reply,) = self.answer(self.requests.popleft())
            self.now += 1.0
            self.requests.extend(self.receive(reply))
        self.assertEqual(self.tick(1.5), [])

    def test_records_that_change_between_parts_are_all_received(self):
        self.transfer(1)
        changed = [make_record(number) for number in range(0, self.records, 3)]
        for record in changed:
            close = CloseClaim(record.key, record.request_id, RecordState.ANSWERED)
            self.responder.receive(self.a.identity, close, True, self.now)
        new_key = RecordKey("mill-floor", "new")
        claim = Claim(new_key, b"digest", "new", 1)
        self.responder.receive(self.a.identity, claim, True, self.now)
        self.transfer(self.parts - 1)
        self.assertEqual(self.requester.synced_view, 1)
        for number in range(self.records):
            self.assertIsNotNone(self.requester.record(make_record(number).key))
        # Changes of the first part's records come as copies from their primary.
        for record in changed[self.records // self.parts :]:
            state = self.requester.record(record.key).state
            self.assertIs(state, RecordState.ANSWERED)

    def test_records_that_expire_between_parts_do_not_stop_it(self):
        self.transfer(1)
        for number in range(10, 25):
            del self.responder._records._records[make_record(number).key]
        replies = self.transfer(self.parts - 1)
        self.assertEqual([len(item.records) for item in replies], [0, 5, 10, 10])
        self.assertEqual(self.requester.synced_view, 1)

    def test_parts_of_two_snapshots_are_not_combined(self):
        self.transfer(3)
        self.requests.clear()
        self.responder.tick(True, 60.0)
        self.requests.extend(self.tick(5.0))
        (first, *_) = self.transfer(self.parts - 1)
        self.assertEqual(first.part, 0)
        self.assertEqual(self.requester.synced_view, 0)
        self.transfer(1)
        self.assertEqual(self.requester.synced_view, 1)

    def test_late_part_of_an_older_snapshot_does_not_count(self):
        (older,) = self.answer(SyncRequest(1, 1, 0))
        (late,) = self.answer(SyncRequest(1, 1, 4, older.snapshot))
        self.assertTrue(late.last)
        self.responder.tick(True, 60.0)
        self.transfer(self.parts - 1)
        self.assertEqual(self.receive(late), [])
        self.assertEqual(self.receive(older), [])
        self.assertEqual(self.requester.synced_view, 0)
        self.transfer(1)
        self.assertEqual(self.requester.synced_view, 1)

    def test_restarted_responder_does_not_count(self):
        self.transfer(self.parts - 1)
        (last,) = self.answer(self.requests.popleft())
        restarted = MemberIdentity("a", 2)
        self.assertEqual(self.requester.receive(restarted, last, True, 0.0), [])
        self.assertEqual(self.requester.synced_view, 0)

    def test_snapshot_is_released(self):
        self.transfer(2)
        self.assertTrue(self.responder._sync._snapshots)
        self.tick(14.9)
        self.assertTrue(self.responder._sync._snapshots)
        self.tick(0.2)
        self.assertFalse(self.responder._sync._snapshots)

    def test_snapshot_does_not_outlive_its_view(self):
        self.transfer(self.parts - 1)
        (last,) = self.answer(self.requests[0])
        views = (View(1, 0, self.members), View(2, 1, self.members))
        self.responder.install_views(views, self.now)
        self.assertFalse(self.responder._sync._snapshots)
        self.assertEqual(self.answer(self.requests[0]), [])
        self.requester.install_views(views, self.now)
        self.receive(last)
        self.assertEqual(self.requester.synced_view, 0)

    def test_invalid_part_is_not_answered(self):
        (reply,) = self.answer(self.requests.popleft())
        for part in (-1, self.parts):
            request = SyncRequest(1, 1, part, reply.snapshot)
            self.assertEqual(self.answer(request), [])

    # Build 642a6d5

    def test_old_requester_gets_all_parts(self):
        data = msgspec.msgpack.encode(OldSyncRequest(1, 7))
        request = msgspec.msgpack.decode(data, type=SyncRequest)
        replies = [*self.answer(request), *self.unasked_parts()]
        decoded = [
            msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=OldSyncReply)
            for reply in replies
        ]
        self.assertEqual([item.part for item in decoded], list(range(self.parts)))
        self.assertEqual([item.last for item in decoded], [False] * 4 + [True])
        self.assertEqual({item.attempt for item in decoded}, {7})
        records = [record for item in decoded for record in item.records]
        self.assertEqual(records, [make_record(n) for n in range(self.records)])

    def unasked_parts(self) -> list[SyncReply]:
        """Return the parts that the responder sends within the next second."""
        return [
            effect.message
            for _ in range(10)
            for effect in self.responder.tick(True, self.now)
        ]

    def test_repeated_request_of_an_old_requester_finishes_the_first_answer(self):
        replies = self.answer(SyncRequest(1, 1))
        self.assertEqual(self.answer(SyncRequest(1, 2)), [])
        replies += self.unasked_parts()
        self.assertEqual([item.part for item in replies], list(range(self.parts)))
        self.assertEqual({item.attempt for item in replies}, {1})
        self.assertEqual({item.attempt for item in self.answer(SyncRequest(1, 3))}, {3})

    def test_unasked_parts_do_not_outlive_their_view(self):
        self.answer(SyncRequest(1, 1))
        views = (View(1, 0, self.members), View(2, 1, self.members))
        self.responder.install_views(views, self.now)
        self.assertFalse(any(type(i) is SyncReply for i in self.unasked_parts()))

    def old_answer(self, request: SyncRequest) -> list[SyncReply]:
        """Return the answer of a responder of build 642a6d5."""
        data = msgspec.msgpack.encode(request)
        old = msgspec.msgpack.decode(data, type=OldSyncRequest)
        self.assertEqual(old.attempt, request.attempt)
        size = self.records // self.parts
        replies = [
            OldSyncReply(
                old.view_number,
                old.attempt,
                part,
                part == self.parts - 1,
                tuple(make_record(part * size + item) for item in range(size)),
            )
            for part in range(self.parts)
        ]
        return [
            msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=SyncReply)
            for reply in replies
        ]

    def test_old_responder_synchronizes_a_new_requester(self):
        replies = self.old_answer(self.requests.popleft())
        for reply in reversed(replies):
            self.assertEqual(self.requester.synced_view, 0)
            self.assertEqual(self.receive(reply), [])
        self.assertEqual(self.requester.synced_view, 1)
        self.assertEqual(self.requester.record_count, self.records)

    def test_attempts_of_an_old_responder_are_not_combined(self):
        for reply in self.old_answer(self.requests.popleft())[:4]:
            self.receive(reply)
        (request,) = self.tick(0.3)
        replies = self.old_answer(request)
        self.receive(replies[4])
        self.assertEqual(self.requester.synced_view, 0)
        for reply in replies[:4]:
            self.receive(reply)
        self.assertEqual(self.requester.synced_view, 1)


class TestSyncOverNetwork(unittest.TestCase):
    """Two instances with the queues of the network between them."""

    def setUp(self):
        self.ports = free_ports(2)
        self.members = tuple(
            Member(name, 1, "r", f"zone-{name}", HOST, port)
            for name, port in zip("ab", self.ports, strict=True)
        )
        self.ledgers = {
            member.name: Ledger(member.identity, LedgerSettings())
            for member in self.members
        }
        self.networks = {
            name: self.network(name, port)
            for name, port in zip("ab", self.ports, strict=True)
        }

    def network(self, name: str, port: int) -> PeerNetwork:
        def receive(source: str, incarnation: int, message: PeerMessage) -> None:
            identity = MemberIdentity(source, incarnation)
            effects = self.ledgers[name].receive(
                identity, message, True, time.monotonic()
            )
            self.send(name, effects)

        network = PeerNetwork(name, 1, Address(HOST, port), PeerMessage, receive)
        for member in self.members:
            if member.name != name:
                network.set_peer_address(member.address)
        return network

    def send(self, name: str, effects: list) -> None:
        for effect in effects:
            self.networks[name].send(effect.name, effect.message)

    async def synchronize(self) -> None:
        """Install a view of both members and wait until both are synchronized."""
        views = (View(), View(1, 0, self.members))
        async with trio.open_nursery() as nursery:
            for network in self.networks.values():
                await nursery.start(network.serve)
            for name, ledger in self.ledgers.items():
                self.send(name, ledger.install_views(views, time.monotonic()))
            with trio.move_on_after(SYNC_SECONDS):
                while any(item.synced_view < 1 for item in self.ledgers.values()):
                    await trio.sleep(TICK_SECONDS)
                    for name, ledger in self.ledgers.items():
                        self.send(name, ledger.tick(True, time.monotonic()))
            nursery.cancel_scope.cancel()

    def test_records_larger_than_the_queue_for_a_peer_all_arrive(self):
        count = 12_000
        for number in range(count):
            self.ledgers["a"]._records.store(make_record(number), time.monotonic())
        trio.run(self.synchronize)
        synced = {name: ledger.synced_view for name, ledger in self.ledgers.items()}
        self.assertEqual(synced, {"a": 1, "b": 1})
        self.assertEqual(self.ledgers["b"].record_count, count)
        dropped = [item.usage().dropped_messages for item in self.networks.values()]
        self.assertEqual(dropped, [0, 0])

    def test_old_requester_receives_records_larger_than_the_queue(self):
        count = 12_000
        for number in range(count):
            self.ledgers["a"]._records.store(make_record(number), time.monotonic())
        request = _MemberProgress.request

        def old_request(progress, view_number, now):
            new = request(progress, view_number, now)
            return SyncRequest(new.view_number, new.attempt)

        with mock.patch.object(_MemberProgress, "request", old_request):
            trio.run(self.synchronize)
        self.assertEqual(self.ledgers["b"].synced_view, 1)
        self.assertEqual(self.ledgers["b"].record_count, count)


if __name__ == "__main__":
    unittest.main()
