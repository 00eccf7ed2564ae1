"""Request ledger: stateful fuzzing against a model, and mutation tests of it."""

import random
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sassafraspin.ledger import (
    ClaimDecision,
    Ledger,
    RecordKey,
    RecordState,
    SyncReply,
)
from sassafraspin.ledger.placement import Placement
from sassafraspin.membership import Member, MemberIdentity, MemberLease, View
from sassafraspin.membership.table import MemberTable
from sassafraspin.settings import LedgerSettings
from tests.fuzz import fuzz_settings
from tests.ledger_model import LedgerModel
from tests.simulation import NetworkConditions

FUZZ_SETTINGS = fuzz_settings(examples=150, steps=40)

MUTANT_SETTINGS = settings(FUZZ_SETTINGS, max_examples=3_000)

KEYS = st.integers(0, 2)
NODES = st.sampled_from([f"entry-{number}" for number in range(5)])


class LedgerMachine(RuleBasedStateMachine):
    """Random calls with few keys, and random faults of instances."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.model = LedgerModel(5, 2, seed)
        self.model.network.generator = random.Random(seed)
        self.model.run(3.0)

    @rule(milliseconds=st.integers(5, 4000), loss=st.sampled_from([0, 0.05, 0.3]))
    def let_time_pass(self, milliseconds, loss):
        self.model.network.conditions = NetworkConditions(0.001, 0.1, loss, 0.1)
        self.model.run(milliseconds / 1000)

    @rule(node=NODES, key=KEYS, milliseconds=st.integers(0, 300))
    def call(self, node, key, milliseconds):
        self.model.call(node, key)
        self.model.run(milliseconds / 1000)

    @rule(key=KEYS, milliseconds=st.integers(0, 2500))
    def call_everywhere(self, key, milliseconds):
        for node in list(self.model.nodes):
            self.model.call(node, key)
        self.model.run(milliseconds / 1000)

    @rule(
        node=NODES, state=st.sampled_from([RecordState.ANSWERED, RecordState.UNKNOWN])
    )
    def end_call(self, node, state):
        self.model.end_call(node, state)

    @rule(node=NODES)
    def give_up(self, node):
        self.model.abandon_call(node)

    @rule(key=KEYS, ranks=st.sets(st.integers(0, 2), min_size=1), wait=st.booleans())
    def kill_holders(self, key, ranks, wait):
        """Kill members that store a key, all at once or one after each repair."""
        for name in self.model.holders(key, ranks):
            self.model.kill(name)
            if wait:
                self.model.run(2.0)

    @rule(key=KEYS, rank=st.integers(0, 2))
    def restart_holder(self, key, rank):
        for name in self.model.holders(key, {rank}):
            self.model.kill(name)
            self.model.start(name)

    @rule()
    def start_missing(self):
        for name in self.model.names:
            self.model.start(name)

    @rule(node=NODES)
    def leave_and_restart(self, node):
        self.model.leave(node)
        self.model.run(1.0)
        self.model.kill(node)
        self.model.start(node)

    @rule(key=KEYS, rank=st.integers(0, 2), frozen=st.booleans())
    def freeze_holder(self, key, rank, frozen):
        for name in self.model.holders(key, {rank}):
            if name in self.model.nodes:
                self.model.nodes[name].frozen = frozen

    @rule(node=NODES, other=NODES)
    def cut_one_way(self, node, other):
        self.model.network.blocked_links.add((node, other))

    @rule(key=KEYS, rank=st.integers(0, 2))
    def cut_holder_from_control(self, key, rank):
        for name in self.model.holders(key, {rank}):
            self.model.network.blocked_links |= {(name, "control"), ("control", name)}

    @rule()
    def heal(self):
        self.model.network.blocked_links.clear()
        for node in self.model.nodes.values():
            node.frozen = False

    @invariant()
    def always(self):
        if hasattr(self, "model"):
            self.model.check()

    def teardown(self):
        if hasattr(self, "model"):
            self.model.network.conditions = NetworkConditions()
            self.model.check_recovery()


class TestLedger(unittest.TestCase):
    """Each key is dispatched at most once under faults."""

    def test_fuzz(self):
        run_state_machine_as_test(LedgerMachine, settings=FUZZ_SETTINGS)

    def test_fuzz_with_one_record_in_a_part(self):
        with mock.patch("sassafraspin.ledger.sync._MAX_RECORDS_PER_PART", 1):
            run_state_machine_as_test(LedgerMachine, settings=FUZZ_SETTINGS)

    def assert_caught(self, message: str = "dispatched more than once"):
        with self.assertRaisesRegex(AssertionError, message):
            run_state_machine_as_test(LedgerMachine, settings=MUTANT_SETTINGS)

    def test_no_backup_copy_is_caught(self):
        with mock.patch.object(Ledger, "_backups", lambda ledger, key: []):
            self.assert_caught()

    def test_no_sync_after_view_change_is_caught(self):
        with mock.patch.object(
            Placement, "has_all_records", lambda placement, key: True
        ):
            self.assert_caught("dispatched more than once|two dispatchers")

    def test_no_lease_check_is_caught(self):
        with (
            mock.patch.object(MemberLease, "is_held", lambda lease, now: True),
            mock.patch.object(
                MemberTable, "_is_removable", _is_removable_after_first_silence
            ),
        ):
            self.assert_caught("dispatched more than once|two dispatchers")

    def test_lost_records_treated_as_new_are_caught(self):
        with mock.patch.object(
            Placement, "may_have_lost_record", lambda placement, key, min_copies: False
        ):
            self.assert_caught()

    def test_restarted_member_does_not_count_as_synced(self):
        """A restarted process has lost its records, so its reply must not count."""
        own = Member("entry-0", 1, "r", "zone-0", "127.0.0.1", 1)
        other = Member("entry-1", 2, "r", "zone-1", "127.0.0.1", 2)
        ledger = Ledger(own.identity, LedgerSettings())
        ledger.install_views((View(), View(1, 0, (own, other))), 0.0)
        reply = SyncReply(1, 1, 0, True, ())
        restarted = MemberIdentity("entry-1", 3)
        ledger.receive(restarted, reply, True, 0.1)
        self.assertEqual(ledger.synced_view, 0)
        ledger.receive(other.identity, reply, True, 0.1)
        self.assertEqual(ledger.synced_view, 1)

    def test_dispatcher_that_does_not_wait_is_caught(self):
        """A new primary must not act as dispatcher before the old one has stopped."""

        def owns(ledger, key):
            return ledger._placement.is_primary(key)

        with mock.patch.object(Ledger, "owns", owns):
            self.assert_caught("dispatched more than once|two dispatchers")

    def test_new_primary_synced_as_backup_must_sync_again(self):
        """A synchronized backup lacks claims that the primary accepted afterwards.

        When it becomes the primary in the next view, it must synchronize again.
        """
        members = [
            Member(f"entry-{number}", number, "r", f"z{number}", "127.0.0.1", 1)
            for number in range(1, 4)
        ]
        first = View(1, 0, tuple(members))
        for number in range(50):
            key = RecordKey("account", f"key-{number}")
            primary, backup = first.ranked(key.hash_key, 2)
            second = View(
                2, 1, tuple(item for item in members if item.name != primary.name)
            )
            placement = Placement(backup.identity, 3)
            placement.install((View(), first))
            placement.mark_synced()
            self.assertTrue(placement.has_all_records(key))
            placement.install((View(), first, second))
            self.assertFalse(placement.has_all_records(key))
            placement.mark_synced()
            self.assertTrue(placement.has_all_records(key))

    def test_repeated_key_is_answered_with_its_state(self):
        model = LedgerModel()
        model.run(3.0)
        model.call("entry-0", 1)
        model.run(1.0)
        model.call("entry-1", 1)
        model.run(1.0)
        self.assertEqual(model.decisions[ClaimDecision.IN_FLIGHT], 1)
        model.end_call("entry-0", RecordState.ANSWERED)
        model.run(1.0)
        model.call("entry-1", 1)
        model.run(1.0)
        self.assertEqual(model.decisions[ClaimDecision.ANSWERED], 1)

    def test_killed_entry_makes_the_outcome_unknown(self):
        model = LedgerModel()
        model.run(3.0)
        model.call("entry-0", 1)
        model.run(1.0)
        model.kill("entry-0")
        model.run(4.0)
        model.call("entry-1", 1)
        model.run(1.0)
        self.assertEqual(model.decisions[ClaimDecision.UNKNOWN], 1)


def _is_removable_after_first_silence(table, member, now):
    last = table._heartbeats.get(member.identity)
    return last is None or last.heartbeat.leaving or now - last.received_at > 0.3
