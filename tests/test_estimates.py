"""Estimates of the time to first token, and what callers get by them, under load."""

import unittest
from dataclasses import replace

from tests.load_model import LoadReport, LoadShape, play_load

MEDIAN_BOUNDS = (0.8, 1.25)
TAIL_BOUNDS = (0.33, 3.0)
"""Expected by measured time: the median, and the quantiles 0.05 and 0.95."""

MAX_IDLE_SECONDS = 0.1
"""Time for which a slot may be free while a request waits that could use it."""

MANY_SLOTS = LoadShape(
    engines=5, slots=19, prefill_rate=157_000.0, requests_per_second=260.0
)
FEW_SLOTS = LoadShape(
    engines=7, slots=4, prefill_rate=42_800.0, requests_per_second=50.0
)


class TestEstimates(unittest.TestCase):
    """The speed that engines are assumed to have at first does not matter."""

    def play(self, shape: LoadShape) -> LoadReport:
        report = play_load(shape)
        low, high = MEDIAN_BOUNDS
        self.assertTrue(low <= report.ratio_at(0.5) <= high, report.ratio_at(0.5))
        low, high = TAIL_BOUNDS
        self.assertGreaterEqual(report.ratio_at(0.05), low)
        self.assertLessEqual(report.ratio_at(0.95), high)
        self.assertLessEqual(report.idle_seconds, MAX_IDLE_SECONDS)
        return report

    def test_engines_slower_and_faster_than_assumed(self):
        for prefill_rate, load in ((10_000.0, 40.0), (40_000.0, 90.0), (160_000.0, 90)):
            with self.subTest(prefill_rate=prefill_rate):
                shape = LoadShape(prefill_rate=prefill_rate, requests_per_second=load)
                report = self.play(shape)
                self.assertGreaterEqual(report.served_share(0), 0.99)

    def test_prompts_that_are_partly_found_in_caches(self):
        for shape, cached_share in ((MANY_SLOTS, 0.4), (FEW_SLOTS, 0.4)):
            for seed in (1, 2, 3):
                with self.subTest(shape=shape, seed=seed):
                    self.play(replace(shape, cached_share=cached_share, seed=seed))

    def test_urgent_requests_are_served_under_overload(self):
        for shape in (MANY_SLOTS, FEW_SLOTS):
            report = self.play(shape)
            served = [report.served_share(tier) for tier in range(3)]
            self.assertEqual(served, sorted(served, reverse=True))
            self.assertGreater(served[0], 0.7)
