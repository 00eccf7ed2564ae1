"""Usage caps over all services, and the budget of repeats."""

import unittest

from sassafraspin.admission import LimitExceeded, UsageCaps, WithinLimits
from sassafraspin.dispatch import SlotRequest
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.settings import DispatchSettings
from tests.test_routes import account


def request(charged_tokens: int, name: str = "mill") -> SlotRequest:
    """Return a question for a slot that is charged some tokens."""
    return SlotRequest(
        "r", "s", name, "p", "/r", 0, 1, 1, 1, False, charged_tokens=charged_tokens
    )


class TestUsageCaps(unittest.TestCase):
    """One bucket for each account, whatever service a request is for."""

    def setUp(self):
        self.caps = UsageCaps(start_share=1.0)
        self.caps.follow((account(rate_per_second=100.0, burst=500.0),))

    def admitted(self, tokens: int, now: float) -> bool:
        return isinstance(self.caps.admit(request(tokens), now), WithinLimits)

    def test_rate_and_burst_bound_any_window(self):
        used = sum(100 for tick in range(800) if self.admitted(100, tick / 100))
        self.assertLessEqual(used, 100 * 8 + 500 + 100)
        self.assertGreaterEqual(used, 100 * 8 + 500 - 100)

    def test_refusal_says_when_to_come_back(self):
        self.admitted(700, 0.0)
        decision = self.caps.admit(request(1), 0.0)
        self.assertEqual(decision, LimitExceeded(2.0))
        self.assertTrue(self.admitted(1, 2.1))

    def test_request_larger_than_the_bucket_is_served(self):
        self.assertTrue(self.admitted(5_000, 0.0))

    def test_withdrawn_request_is_not_charged(self):
        self.admitted(500, 0.0)
        self.caps.withdraw(request(500))
        self.assertTrue(self.admitted(500, 0.0))

    def test_lower_cap_binds_at_once(self):
        self.caps.follow((account(rate_per_second=10.0, burst=50.0),))
        used = sum(10 for tick in range(800) if self.admitted(10, tick / 100))
        self.assertLessEqual(used, 10 * 8 + 50 + 10)

    def test_account_without_cap(self):
        self.caps.follow((account(),))
        self.assertTrue(all(self.admitted(10_000, 0.0) for _ in range(10)))

    def test_declared_overshoot_is_used_and_no_more(self):
        self.caps = UsageCaps(start_share=1.0, overshoot=0.1)
        self.caps.follow((account(rate_per_second=100.0, burst=500.0),))
        used = sum(100 for tick in range(800) if self.admitted(100, tick / 100))
        self.assertLessEqual(used, 1.1 * (100 * 8 + 500) + 100)
        self.assertGreaterEqual(used, 1.1 * (100 * 8 + 500) - 100)

    def test_requests_are_counted_where_the_cap_says_so(self):
        capped = account(rate_per_second=1.0, burst=5.0, charges_tokens=False)
        self.caps.follow((capped,))
        admitted = sum(self.admitted(10_000, 0.0) for _ in range(10))
        self.assertEqual(admitted, 5)


class TestRetryBudget(unittest.TestCase):
    """Repeats in a sliding window."""

    def test_share_and_allowance(self):
        settings = DispatchSettings(retry_share=0.2, retry_allowance=5)
        budget = RetryBudget(settings)
        for _ in range(50):
            budget.note_first(0.0)
        taken = sum(budget.take(0.0) for _ in range(100))
        self.assertEqual(taken, 15)

    def test_window_slides(self):
        settings = DispatchSettings(
            retry_share=0.0, retry_allowance=5, retry_window_ms=1_000
        )
        budget = RetryBudget(settings)
        self.assertEqual(sum(budget.take(0.0) for _ in range(9)), 5)
        self.assertFalse(budget.take(0.9))
        self.assertTrue(budget.take(1.1))
