"""Tests of the usage caps across all services and of the retry budget."""

import random
import unittest

from sassafraspin.admission import UsageCaps, UsageLog, UsageReport, WithinLimits
from sassafraspin.dispatch import SlotRequest
from sassafraspin.dispatch.budget import (
    RetryBudget,
    RetryLog,
    RetryReport,
    ServiceRetries,
)
from sassafraspin.settings import DispatchSettings
from tests.test_routes import account


def request(charged_tokens: int, name: str = "mill") -> SlotRequest:
    """Return a slot request that is charged the given number of tokens."""
    return SlotRequest(
        "r", "s", name, "p", "/r", 0, 1, 1, 1, False, charged_tokens=charged_tokens
    )


class TestUsageCaps(unittest.TestCase):
    """Usage caps of an account, shared by all services."""

    def setUp(self):
        self.caps = UsageCaps(DispatchSettings(), -100.0)
        self.caps.set_accounts((account(rate_per_second=100.0, burst=500.0),))

    def admitted(self, tokens: int, now: float) -> bool:
        return isinstance(self.caps.admit(request(tokens), now), WithinLimits)

    def test_rate_and_burst_bound_any_window(self):
        """Requests arrive in bursts of random length, at ten times the rate."""
        generator = random.Random(5)
        charged = []
        now = 0.0
        while now < 120.0:
            end = now + generator.uniform(0.1, 6.0)
            while now < end:
                now += 0.05
                charged += [now] * self.admitted(50, now)
            now += generator.uniform(0.0, 10.0)
        max_used = max(
            50 * sum(at <= other < at + 8.0 for other in charged) for at in charged
        )
        self.assertLessEqual(max_used, 100 * 8 + 500 + 50)
        self.assertGreaterEqual(max_used, 100 * 8 + 500 - 50)

    def test_burst_plus_three_seconds_of_the_rate_may_be_used_at_once(self):
        admitted = sum(self.admitted(100, tick / 100) for tick in range(50))
        self.assertEqual(admitted, 9)

    def test_refusal_gives_the_earliest_retry_time(self):
        self.admitted(700, 0.0)
        self.admitted(600, 2.0)
        decision = self.caps.admit(request(1), 4.0)
        self.assertFalse(self.admitted(1, 3.9 + decision.retry_after))
        self.assertTrue(self.admitted(1, 4.0 + decision.retry_after))

    def test_request_larger_than_the_cap_is_served(self):
        self.assertTrue(self.admitted(5_000, 0.0))
        self.assertFalse(self.admitted(1, 7.9))

    def test_withdrawn_request_is_not_charged(self):
        self.admitted(1_500, 0.0)
        self.caps.withdraw(request(1_500))
        self.assertTrue(self.admitted(500, 0.0))

    def test_lowered_cap_applies_at_once(self):
        self.caps.set_accounts((account(rate_per_second=10.0, burst=50.0),))
        used = sum(10 for tick in range(800) if self.admitted(10, tick / 100))
        self.assertLessEqual(used, 10 * 8 + 50 + 10)

    def test_account_without_cap_is_not_limited(self):
        self.caps.set_accounts((account(),))
        self.assertTrue(all(self.admitted(10_000, 0.0) for _ in range(10)))

    def test_usage_is_bounded_by_the_configured_overshoot(self):
        self.caps = UsageCaps(DispatchSettings(cap_overshoot=0.1), -100.0)
        self.caps.set_accounts((account(rate_per_second=100.0, burst=500.0),))
        used = sum(100 for tick in range(800) if self.admitted(100, tick / 100))
        self.assertLessEqual(used, 1.1 * (100 * 8 + 500) + 100)
        self.assertGreaterEqual(used, 1.1 * (100 * 8 + 500) - 100)

    def test_cap_can_count_requests_instead_of_tokens(self):
        capped = account(rate_per_second=1.0, burst=5.0, charges_tokens=False)
        self.caps.set_accounts((capped,))
        admitted = sum(self.admitted(10_000, 0.0) for _ in range(20))
        self.assertEqual(admitted, 8)


class TestChangeOfDispatcher(unittest.TestCase):
    """Usage that is reported to the successor of a dispatcher."""

    def make(self, now: float, log: UsageLog | None = None) -> UsageCaps:
        """Return the caps of a dispatcher that starts now."""
        caps = UsageCaps(DispatchSettings(), now, log)
        caps.set_accounts((account(rate_per_second=100.0, burst=500.0),))
        return caps

    def use(self, caps: UsageCaps, start: float, end: float, log=None) -> list[float]:
        """Request ten times the rate; return the times of the charges of 20 tokens."""
        charged = []
        steps = round((end - start) / 0.02)
        for step in range(steps):
            now = start + step * 0.02
            if isinstance(caps.admit(request(20), now), WithinLimits):
                charged.append(now)
            if log is not None and step % 25 == 24:
                for report in caps.reports(now):
                    log.add_report(report, now)
        return charged

    def max_usage(self, charged: list[float]) -> float:
        """Return the maximum usage within any window."""
        return max(
            20 * sum(at <= other < at + 8.0 for other in charged) for at in charged
        )

    def test_cap_holds_across_a_failover(self):
        for change in (0.4, 1.0, 1.7, 3.0, 6.0):
            log = UsageLog(DispatchSettings())
            first = self.make(-100.0)
            charged = self.use(first, 0.0, change, log)
            second = self.make(change + 0.5, log)
            charged += self.use(second, change + 0.5, 20.0)
            self.assertLessEqual(self.max_usage(charged), 1.1 * (100 * 8 + 500))

    def test_usage_is_bounded_across_a_failover_without_reports(self):
        """The bound is the token bucket, the full rate and one and a half bursts."""
        charged = self.use(self.make(-100.0), 0.0, 3.0)
        charged += self.use(self.make(3.5), 3.5, 20.0)
        self.assertLessEqual(self.max_usage(charged), (3 + 8) * 100 + 1.5 * 500 + 40)

    def test_failover_does_not_limit_an_account_below_its_cap(self):
        log = UsageLog(DispatchSettings())
        first = self.make(-100.0)
        for step in range(300):
            now = step / 100
            first.admit(request(1), now)
            if step % 50 == 49:
                for report in first.reports(now):
                    log.add_report(report, now)
        second = self.make(3.4, log)
        answers = [second.admit(request(100), 3.4) for _ in range(6)]
        self.assertTrue(all(isinstance(item, WithinLimits) for item in answers))

    def test_dispatcher_does_not_count_its_own_reports_again(self):
        log = UsageLog(DispatchSettings())
        first = self.make(-100.0)
        self.use(first, 0.0, 0.5, log)
        second = self.make(1.0, log)
        charged = self.use(second, 1.0, 60.0, log)
        self.assertGreaterEqual(20 * len(charged), 0.9 * 100 * 59)

    def test_usage_of_an_inactive_account_is_not_extrapolated(self):
        log = UsageLog(DispatchSettings())
        log.add_report(UsageReport(0.5, {"mill": 300.0}), 0.5)
        log.add_report(UsageReport(0.5, {"other": 1.0}), 1.0)
        self.assertEqual(log.windows(2.0)["mill"].used(2.0), 300.0)

    def test_withdrawal_of_a_request_from_before_the_cap(self):
        """A request that was never charged must not cause an error when withdrawn."""
        log = UsageLog(DispatchSettings())
        log.add_report(UsageReport(0.5, {"mill": 300.0}), 0.5)
        caps = UsageCaps(DispatchSettings(), 1.0, log)
        caps.admit(request(100), 1.0)
        caps.set_accounts((account(rate_per_second=100.0, burst=500.0),))
        caps.withdraw(request(100))
        self.assertIsInstance(caps.admit(request(100), 1.1), WithinLimits)

    def test_restarted_dispatcher_continues_from_the_log(self):
        log = UsageLog(DispatchSettings())
        caps = self.make(-100.0)
        charged = self.use(caps, 0.0, 3.0, log)
        caps.restart(3.2, log)
        charged += self.use(caps, 3.2, 20.0, log)
        self.assertLessEqual(self.max_usage(charged), 1.1 * (100 * 8 + 500))

    def test_withdrawn_charge_is_not_reported(self):
        caps = self.make(-100.0)
        caps.admit(request(100), 0.0)
        caps.withdraw(request(100))
        [report] = caps.reports(0.5)
        self.assertEqual(sum(report.charges.values()), 0)


class TestRetryBudgetOfSuccessors(unittest.TestCase):
    """Dispatchers that follow one another keep to the budget together."""

    settings = DispatchSettings(retry_allowance=48, retry_share=0.16)

    def setUp(self):
        self.log = RetryLog(self.settings)

    def report(self, budget: RetryBudget, now: float) -> None:
        self.log.add_report(RetryReport({"desk": budget.report(now)}), now)

    def test_three_dispatchers_within_a_window_retry_no_more_than_one(self):
        retries = 0
        for number in range(3):
            now = 2.0 * number
            budget = RetryBudget(self.settings, self.log.history("desk", now))
            for _ in range(50):
                budget.record_first_attempt(now)
            retries += sum(budget.try_acquire(now) for _ in range(100))
            self.report(budget, now)
            retries += sum(budget.try_acquire(now) for _ in range(100))
        self.assertLessEqual(retries, 48 + 0.16 * 150)

    def test_each_window_keeps_to_the_budget_whenever_dispatchers_change(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.setUp()
                self.play_changes(random.Random(seed))

    def play_changes(self, generator: random.Random) -> None:
        firsts, retries = [], []
        now, reported_at = 0.0, 0.0
        self.log.add_report(RetryReport({"desk": ServiceRetries(0, 0, 0)}), now)
        budget = RetryBudget(self.settings, self.log.history("desk", now))
        while now < 60.0:
            now += 0.05
            if generator.random() < 0.03:
                now += generator.uniform(0.0, 2.0)
                budget = RetryBudget(self.settings, self.log.history("desk", now))
                reported_at = -1.0
            if now - reported_at >= 0.5:
                reported_at = now
                self.report(budget, now)
            for _ in range(generator.randrange(6)):
                budget.record_first_attempt(now)
                firsts.append(now)
            for _ in range(generator.randrange(20)):
                if budget.try_acquire(now):
                    retries.append(now)
        for end in retries:
            used = sum(end - 10.0 < at <= end for at in retries)
            asked = sum(end - 10.5 < at <= end for at in firsts)
            self.assertLessEqual(used, 48 + 0.16 * asked)

    def test_first_dispatcher_without_reports_starts_with_the_share_alone(self):
        budget = RetryBudget(self.settings, self.log.history("desk", 0.0))
        for _ in range(50):
            budget.record_first_attempt(0.0)
        self.report(budget, 0.0)
        self.assertLessEqual(sum(budget.try_acquire(0.0) for _ in range(100)), 8)
        self.report(budget, 20.0)
        self.assertGreater(sum(budget.try_acquire(20.0) for _ in range(100)), 0)

    def test_reports_do_not_keep_a_single_dispatcher_from_its_budget(self):
        budget = RetryBudget(self.settings, self.log.history("desk", -100.0))
        used = 0
        for tick in range(10):
            self.report(budget, tick / 2)
            used += sum(budget.try_acquire(tick / 2) for _ in range(100))
        self.assertEqual(used, 48)

    def test_retry_that_a_previous_dispatcher_allowed_counts(self):
        budget = RetryBudget(DispatchSettings(retry_allowance=5, retry_share=0.0))
        budget.record_retry(0.0)
        self.assertEqual(sum(budget.try_acquire(0.0) for _ in range(9)), 4)


class TestRetryBudget(unittest.TestCase):
    """Retries in a sliding window."""

    def test_retries_are_limited_to_share_and_allowance(self):
        settings = DispatchSettings(retry_share=0.2, retry_allowance=5)
        budget = RetryBudget(settings)
        for _ in range(50):
            budget.record_first_attempt(0.0)
        taken = sum(budget.try_acquire(0.0) for _ in range(100))
        self.assertEqual(taken, 15)

    def test_budget_is_restored_as_the_window_slides(self):
        settings = DispatchSettings(
            retry_share=0.0, retry_allowance=5, retry_window_ms=1_000
        )
        budget = RetryBudget(settings)
        self.assertEqual(sum(budget.try_acquire(0.0) for _ in range(9)), 5)
        self.assertFalse(budget.try_acquire(0.9))
        self.assertTrue(budget.try_acquire(1.1))
