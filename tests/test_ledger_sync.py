"""Synchronization of request records after a view change."""

import time
import unittest

import trio

from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.ledger import Ledger, RecordKey, RecordState, RequestRecord
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


if __name__ == "__main__":
    unittest.main()
