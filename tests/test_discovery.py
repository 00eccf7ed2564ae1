"""Discovery of the control instances, and choice of the first ones."""

import unittest

from sassafraspin.discovery import (
    ControlDiscovery,
    ControlInstanceStore,
    ControlMap,
    DiscoverySettings,
    InstanceCard,
    Seek,
)
from sassafraspin.settings import Address, NamedAddress
from tests.quorum_model import MemoryFiles

SEEDS = tuple(Address(f"10.0.0.{number}", 7600) for number in (1, 2, 3))
KNOWN = (NamedAddress("a-1", "10.0.0.1", 7600),)


def card(number: int, zone: str, may_found: bool = True) -> InstanceCard:
    """Return an instance description."""
    name = f"{zone}-{number}"
    return InstanceCard(name, zone, f"10.0.0.{number}", 7600, may_found)


def discovery(founds: bool, own: InstanceCard, instances: int = 3) -> ControlDiscovery:
    """Return a discovery that starts at time 0."""
    return ControlDiscovery(DiscoverySettings(SEEDS, founds, instances), own, 0.0)


class TestControlDiscovery(unittest.TestCase):
    """Only the founder chooses control instances; all others query the seeds."""

    def test_founder_spreads_over_zones(self):
        founder = discovery(True, card(1, "a"))
        for item in (card(2, "a"), card(3, "b"), card(4, "c"), card(5, "d")):
            founder.receive(Seek(item))
        founder.tick(1.1)
        names = [address.name for address in founder.control]
        self.assertEqual(names, ["a-1", "b-3", "c-4"])

    def test_founder_waits_for_enough_disks(self):
        founder = discovery(True, card(1, "a"))
        founder.receive(Seek(card(2, "b")))
        founder.receive(Seek(card(3, "c", may_found=False)))
        founder.tick(1.1)
        self.assertEqual(founder.control, ())
        founder.receive(Seek(card(4, "c")))
        founder.tick(1.2)
        self.assertEqual(len(founder.control), 3)

    def test_founder_accepts_a_smaller_odd_number_after_the_timeout(self):
        founder = discovery(True, card(1, "a"))
        founder.receive(Seek(card(2, "b")))
        founder.tick(4.1)
        self.assertEqual(len(founder.control), 1)

    def test_founder_without_disk_chooses_others(self):
        founder = discovery(True, card(1, "a", may_found=False), instances=1)
        founder.receive(Seek(card(2, "b")))
        founder.tick(1.1)
        self.assertEqual([item.name for item in founder.control], ["b-2"])

    def test_other_instances_never_choose(self):
        other = discovery(False, card(2, "b"))
        for item in (card(1, "a"), card(3, "c")):
            other.receive(Seek(item))
        other.tick(60.0)
        self.assertEqual(other.control, ())

    def test_seeds_are_queried_until_one_answers(self):
        other = discovery(False, card(2, "b"))
        asked = [address for address, _ in other.tick(0.0)]
        self.assertEqual(asked, [SEEDS[0], SEEDS[2]])
        self.assertEqual(other.tick(0.1), [])
        self.assertEqual(len(other.tick(0.3)), 2)
        other.receive(ControlMap(KNOWN))
        self.assertEqual(other.control, KNOWN)
        self.assertEqual(other.tick(9.0), [])

    def test_first_answer_is_kept(self):
        other = discovery(False, card(2, "b"))
        other.receive(ControlMap(KNOWN))
        other.receive(ControlMap(()))
        self.assertEqual(other.control, KNOWN)


class TestControlInstanceStore(unittest.TestCase):
    """Stored control instances survive a restart."""

    def test_saved_instances_are_loaded(self):
        files = MemoryFiles()
        self.assertEqual(ControlInstanceStore(files).load(), ())
        ControlInstanceStore(files).save(KNOWN)
        self.assertEqual(ControlInstanceStore(files).load(), KNOWN)

    def test_corrupt_file_counts_as_missing(self):
        files = MemoryFiles()
        files.replace("control.instances", b"\x09\x00garbage")
        self.assertEqual(ControlInstanceStore(files).load(), ())
