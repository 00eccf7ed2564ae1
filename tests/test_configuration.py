"""Configuration updates of an instance, and compare-and-set of profiles."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sassafraspin.control import Configuration, PutProfile
from sassafraspin.control.commands import encode_command
from sassafraspin.membership import ConfigTail
from sassafraspin.profiles import Profile, ProfileChange, ProfileConflict, ProfileStore

CHANGES = 60


def _commands() -> list[bytes]:
    """Return commands that increase the versions of three profiles in turn."""
    return [
        encode_command(
            PutProfile(
                f"c{number}",
                "ayse",
                number,
                Profile(f"p{number % 3}", number // 3 + 1, "s", 0, 1000 + number),
            )
        )
        for number in range(CHANGES)
    ]


class TestConfiguration(unittest.TestCase):
    """Delayed, lost, duplicated and reordered updates never restore an older state."""

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(
        steps=st.lists(
            st.tuples(st.integers(0, CHANGES), st.integers(0, CHANGES)), max_size=30
        )
    )
    def test_index_never_decreases(self, steps):
        """Apply updates that were made for a receiver at another index.

        Each update covers the commands from one random index to another. The receiver
        may be at neither; its state must always be the one of its own index.
        """
        commands = _commands()
        senders = [Configuration()]
        for index, data in enumerate(commands, start=1):
            sender = Configuration()
            sender.restore(index - 1, senders[-1].state.to_bytes())
            sender.apply(index, data)
            senders.append(sender)
        receiver = Configuration()
        for sender_index, known_index in steps:
            before = receiver.index
            update = senders[sender_index].update_since(known_index)
            if update is not None:
                receiver.apply_update(update)
            self.assertGreaterEqual(receiver.index, before)
            expected = senders[receiver.index].state.to_bytes()
            self.assertEqual(receiver.state.to_bytes(), expected)

    def test_tail_that_leaves_a_gap_is_ignored(self):
        receiver = Configuration()
        receiver.apply_update(ConfigTail(2, (_commands()[1],)))
        self.assertEqual(receiver.index, 0)

    def test_update_from_any_index_gives_the_current_state(self):
        sender = Configuration()
        for index, data in enumerate(_commands(), start=1):
            sender.apply(index, data)
        for known_index in (0, 1, 30, CHANGES - 1):
            receiver = Configuration()
            for index, data in enumerate(_commands()[:known_index], start=1):
                receiver.apply(index, data)
            receiver.apply_update(sender.update_since(known_index))
            self.assertEqual(receiver.state.to_bytes(), sender.state.to_bytes())


class TestProfileStore(unittest.TestCase):
    """Compare-and-set by version, compared with a dictionary.

    A profile equal to the current one, including its version, is no conflict.
    """

    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(
        puts=st.lists(
            st.tuples(
                st.sampled_from(["a", "b"]), st.integers(1, 5), st.integers(0, 3)
            ),
            max_size=40,
        )
    )
    def test_against_a_dictionary(self, puts):
        store = ProfileStore()
        oracle: dict[str, Profile] = {}
        for number, (name, version, tier) in enumerate(puts):
            profile = Profile(name, version, "s", tier, 1000)
            decision = store.put(ProfileChange(profile, "op", f"c{number}", number))
            current = oracle.get(name)
            next_version = 1 if current is None else current.version + 1
            if current != profile and version != next_version:
                self.assertIsInstance(decision, ProfileConflict)
                kept = decision.current
                self.assertEqual(None if kept is None else kept.profile, current)
            else:
                oracle[name] = profile
            stored = store.current(name)
            self.assertEqual(stored and stored.profile, oracle.get(name))
