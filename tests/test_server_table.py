"""Addresses of the backend servers in a dispatcher's table."""

import random
import unittest
from dataclasses import replace

from sassafraspin.dispatch.servers import ServerTable
from sassafraspin.settings import Address
from tests.pool_model import announcement


def server(number: int, port: int, incarnation: int = 1, sequence: int = 0):
    """Return an announcement of a server at a port."""
    item = announcement(number, incarnation=incarnation, sequence=sequence)
    return replace(item, address=Address("10.0.0.1", port))


class TestAddresses(unittest.TestCase):
    """A server replaces an older one at its address."""

    def setUp(self):
        self.table = ServerTable(random.Random(1))

    def names(self) -> list[str]:
        return sorted(backend.announcement.id for backend in self.table.all)

    def test_newer_server_replaces_an_older_one(self):
        self.table.announce(server(1, 80, incarnation=5), 0.0)
        self.table.announce(server(2, 80, incarnation=6), 0.0)
        self.assertEqual(self.names(), ["runner-2"])

    def test_older_server_does_not_replace_a_newer_one(self):
        self.table.announce(server(1, 80, incarnation=5), 0.0)
        self.table.announce(server(2, 80, incarnation=4), 0.0)
        self.assertEqual(self.names(), ["runner-1"])

    def test_address_that_a_server_has_left_is_free(self):
        self.table.announce(server(1, 80, incarnation=5), 0.0)
        self.table.announce(server(1, 81, incarnation=5, sequence=1), 0.0)
        self.table.announce(server(2, 80, incarnation=4), 0.0)
        self.assertEqual(self.names(), ["runner-1", "runner-2"])
        self.table.announce(server(3, 81, incarnation=6), 0.0)
        self.table.announce(server(4, 80, incarnation=6), 0.0)
        self.assertEqual(self.names(), ["runner-3", "runner-4"])

    def test_address_of_an_expired_server_is_free(self):
        self.table.announce(server(1, 80, incarnation=5), 0.0)
        self.table.announce(server(1, 81, incarnation=5, sequence=1), 0.0)
        self.table.refresh(1e6)
        self.table.announce(server(2, 80, incarnation=4), 1e6)
        self.table.announce(server(3, 81, incarnation=4), 1e6)
        self.assertEqual(self.names(), ["runner-2", "runner-3"])

    def test_of_the_known_servers_at_one_address_the_newest_is_adopted(self):
        known = (server(1, 80, incarnation=5), server(2, 80, incarnation=4))
        self.table.adopt(known, 0.0)
        self.assertEqual(self.names(), ["runner-1"])

    def test_addresses_agree_with_a_search_of_all_servers(self):
        generator = random.Random(3)
        known: dict[str, tuple[int, int]] = {}
        for step in range(3_000):
            number, port = generator.randrange(12), 80 + generator.randrange(8)
            incarnation = generator.randrange(20)
            item = server(number, port, incarnation, sequence=step)
            self.table.announce(item, 0.0)
            self.announce(known, item.id, port, incarnation)
            self.assertEqual(self.names(), sorted(known), step)

    def announce(self, known, name: str, port: int, incarnation: int) -> None:
        """Apply an announcement to the simple model of the table."""
        for other, (other_port, other_incarnation) in list(known.items()):
            if other != name and other_port == port:
                if other_incarnation > incarnation:
                    return
                del known[other]
        if name in known and known[name][1] > incarnation:
            return
        known[name] = (port, incarnation)
