"""Finding the control instances, and choosing the first of them."""

import unittest

from sassafraspin.discovery import (
    ControlBook,
    ControlMap,
    ControlSearch,
    InstanceCard,
    SearchSettings,
    Seek,
)
from sassafraspin.settings import Address, NamedAddress
from tests.quorum_model import MemoryFiles

SEEDS = tuple(Address(f"10.0.0.{number}", 7600) for number in (1, 2, 3))
KNOWN = (NamedAddress("a-1", "10.0.0.1", 7600),)


def card(number: int, zone: str, may_found: bool = True) -> InstanceCard:
    """Return the card of an instance."""
    name = f"{zone}-{number}"
    return InstanceCard(name, zone, f"10.0.0.{number}", 7600, may_found)


def search(founds: bool, own: InstanceCard, instances: int = 3) -> ControlSearch:
    """Return a search that begins at time 0."""
    return ControlSearch(SearchSettings(SEEDS, founds, instances), own, 0.0)


class TestControlSearch(unittest.TestCase):
    """One founder chooses; all others wait until somebody knows."""

    def test_founder_spreads_over_zones(self):
        founder = search(True, card(1, "a"))
        for item in (card(2, "a"), card(3, "b"), card(4, "c"), card(5, "d")):
            founder.receive(Seek(item))
        founder.tick(1.1)
        names = [address.name for address in founder.control]
        self.assertEqual(names, ["a-1", "b-3", "c-4"])

    def test_founder_waits_for_enough_disks(self):
        founder = search(True, card(1, "a"))
        founder.receive(Seek(card(2, "b")))
        founder.receive(Seek(card(3, "c", may_found=False)))
        founder.tick(1.1)
        self.assertEqual(founder.control, ())
        founder.receive(Seek(card(4, "c")))
        founder.tick(1.2)
        self.assertEqual(len(founder.control), 3)

    def test_founder_does_with_an_odd_number_in_the_end(self):
        founder = search(True, card(1, "a"))
        founder.receive(Seek(card(2, "b")))
        founder.tick(4.1)
        self.assertEqual(len(founder.control), 1)

    def test_founder_without_disk_chooses_others(self):
        founder = search(True, card(1, "a", may_found=False), instances=1)
        founder.receive(Seek(card(2, "b")))
        founder.tick(1.1)
        self.assertEqual([item.name for item in founder.control], ["b-2"])

    def test_others_never_choose(self):
        other = search(False, card(2, "b"))
        for item in (card(1, "a"), card(3, "c")):
            other.receive(Seek(item))
        other.tick(60.0)
        self.assertEqual(other.control, ())

    def test_seeds_are_asked_until_one_knows(self):
        other = search(False, card(2, "b"))
        asked = [address for address, _ in other.tick(0.0)]
        self.assertEqual(asked, [SEEDS[0], SEEDS[2]])
        self.assertEqual(other.tick(0.1), [])
        self.assertEqual(len(other.tick(0.3)), 2)
        other.receive(ControlMap(KNOWN))
        self.assertEqual(other.control, KNOWN)
        self.assertEqual(other.tick(9.0), [])

    def test_first_answer_stays(self):
        other = search(False, card(2, "b"))
        other.receive(ControlMap(KNOWN))
        other.receive(ControlMap(()))
        self.assertEqual(other.control, KNOWN)


class TestControlBook(unittest.TestCase):
    """The control instances survive a restart."""

    def test_kept(self):
        files = MemoryFiles()
        self.assertEqual(ControlBook(files).load(), ())
        ControlBook(files).save(KNOWN)
        self.assertEqual(ControlBook(files).load(), KNOWN)

    def test_damaged_file_counts_as_none(self):
        files = MemoryFiles()
        files.replace("control.instances", b"\x09\x00garbage")
        self.assertEqual(ControlBook(files).load(), ())
