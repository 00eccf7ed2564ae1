"""Tests of the pool: tiers, fairness, limits, and the lifecycle of servers."""

import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from sassafraspin.dispatch import ActiveGrant, HeldGrants, RefusalReason
from sassafraspin.dispatch.grants import GrantTable
from sassafraspin.dispatch.overload import OverloadControl
from sassafraspin.settings import ClientAccountSettings
from tests.fuzz import fuzz_settings
from tests.pool_model import PoolModel

FUZZ_SETTINGS = fuzz_settings(examples=200, steps=50)


class PoolMachine(RuleBasedStateMachine):
    """Requests of all tiers to a pool with too few slots."""

    def __init__(self):
        super().__init__()
        self.model = PoolModel()

    @rule(
        tier=st.integers(0, 3),
        answer_tokens=st.sampled_from([5, 50, 300]),
        deadline_ms=st.sampled_from([400, 2000, 8000]),
        cancellable=st.booleans(),
    )
    def ask(self, tier, answer_tokens, deadline_ms, cancellable):
        self.model.ask(tier, answer_tokens, deadline_ms, cancellable)

    @rule(milliseconds=st.sampled_from([1, 60, 500, 3000]))
    def advance(self, milliseconds):
        self.model.advance(milliseconds / 1000)

    @rule()
    def end_revoked(self):
        self.model.end_revoked()

    @rule(number=st.integers(0, 1), leaving=st.booleans())
    def announce(self, number, leaving):
        self.model.announce(number, leaving=leaving)

    def teardown(self):
        for number in range(2):
            self.model.announce(number)
        self.model.end_revoked()
        self.model.advance(60.0)
        assert not self.model.waiting, "a request was neither granted nor refused"
        assert not self.model.running


class TestPool(unittest.TestCase):
    """Decisions of the pool of one service."""

    def test_tier_priority_holds_for_random_requests(self):
        run_state_machine_as_test(PoolMachine, settings=FUZZ_SETTINGS)

    def test_shedding_regardless_of_tier_is_caught(self):
        def shed_newest(overload, now):
            if len(overload._queue) > overload._settings.waiting_requests:
                last = list(overload._queue)[-1]
                overload.shed(last, RefusalReason.OVERLOADED, now)

        with mock.patch.object(OverloadControl, "enforce_queue_limit", shed_newest):
            with self.assertRaisesRegex(AssertionError, "shed while"):
                run_state_machine_as_test(PoolMachine, settings=FUZZ_SETTINGS)

    def test_missing_preemption_is_caught(self):
        with mock.patch.object(
            GrantTable, "preemption_candidate", lambda table, tier, frees_slot: None
        ):
            with self.assertRaisesRegex(AssertionError, "could be cancelled"):
                run_state_machine_as_test(PoolMachine, settings=FUZZ_SETTINGS)

    def test_higher_tier_goes_first(self):
        model = PoolModel(servers=1)
        running = [model.ask(3), model.ask(3)]
        low = model.ask(2)
        high = model.ask(0)
        model.advance(1.2)
        ids = [item.request_id for item in (*running, high, low)]
        self.assertEqual(model.granted, ids)

    def test_burst_of_one_account_does_not_delay_another(self):
        model = PoolModel(servers=1, waiting_requests=100)
        for _ in range(20):
            model.ask(1, 50, 60_000, account="burst")
        other = model.ask(1, 50, 60_000, account="other")
        model.advance(1.1)
        self.assertIn(other.request_id, model.granted)

    def test_account_over_its_rate_is_refused(self):
        account = ClientAccountSettings("a", "0" * 64, "p", requests_per_second=1.0)
        model = PoolModel(accounts=(account,))
        for _ in range(4):
            model.ask(0, 1)
        reasons = [item.reason for item in model.refused]
        self.assertEqual(reasons, [RefusalReason.ACCOUNT_LIMIT] * 2)

    def test_leaving_server_gets_no_new_work(self):
        model = PoolModel(servers=2)
        model.announce(0, leaving=True)
        for _ in range(2):
            model.ask(0)
        backends = {item.grant.backend_id for item in model.running.values()}
        self.assertEqual(backends, {"runner-1"})

    def test_silent_server_expires(self):
        model = PoolModel(servers=0)
        model.announce(0, ttl_ms=100)
        model.advance(0.2)
        model.ask(0)
        self.assertEqual(model.refused[0].reason, RefusalReason.NO_BACKEND)

    def test_grant_with_lost_release_is_ended(self):
        model = PoolModel(servers=1)
        model.ask(0, deadline_ms=600_000)
        model.running.clear()
        model.advance(3.0)
        model.pool.reconcile("entry-1", HeldGrants("model", ()), model.now)
        self.assertEqual(model.pool.status(model.now).busy_slots, 0)

    def test_adopted_grants_occupy_slots(self):
        old = PoolModel(servers=1)
        for _ in range(2):
            old.ask(0)
        new = PoolModel(servers=0)
        for item in old.running.values():
            new.pool.adopt("entry-1", ActiveGrant(item.request, item.grant), new.now)
        new.announce(0)
        self.assertEqual(new.pool.backends[0].busy_slots, 2)

    def test_repeated_request_gets_the_same_grant(self):
        model = PoolModel()
        request = model.ask(0)
        [effect] = model.pool.request("entry-1", request, model.now)
        running = model.running[request.request_id]
        self.assertEqual(effect.message, running.grant)
