"""Tests of the retry budget and the delay between attempts."""

import random
import unittest

from coltsfootfront.common.retries import MAX_DELAY_S, WINDOW_S, RetryBudget, backoff_delay_s
from coltsfootfront.tests.support import ManualClock


class RetryBudgetTest(unittest.TestCase):
    def test_share_and_floor(self) -> None:
        """Guards against more retries than the ratio and the floor allow together."""
        cases = ((100, 0.2, 0.0, 20), (0, 0.2, 1.0, 10), (100, 0.1, 0.5, 15), (50, 0.0, 0.0, 0))
        for requests, ratio, floor_per_s, granted in cases:
            with self.subTest(requests=requests, ratio=ratio):
                budget = RetryBudget(ManualClock(), ratio, floor_per_s)
                for _ in range(requests):
                    budget.record_request()
                self.assertEqual(granted, sum(budget.try_spend("overloaded") for _ in range(200)))

    def test_old_requests_and_retries_expire(self) -> None:
        """Guards against a budget that never recovers, or accumulates beyond the window."""
        clock = ManualClock()
        budget = RetryBudget(clock, 0.2, 0.0)
        for _ in range(50):
            budget.record_request()
        self.assertEqual(10, sum(budget.try_spend("overloaded") for _ in range(50)))
        clock.advance(WINDOW_S + 1.5)
        self.assertFalse(budget.try_spend("overloaded"))
        for _ in range(10):
            budget.record_request()
        self.assertEqual(2, sum(budget.try_spend("overloaded") for _ in range(50)))

    def test_no_window_has_more_retries_than_the_budget(self) -> None:
        """Guards against retries that are forgotten before the window they count in has passed."""
        clock = ManualClock()
        budget = RetryBudget(clock, 0.2, 1.0)
        retries_s: list[float] = []
        for step in range(6000):
            if step % 10 == 0:
                budget.record_request()
            # Many targets fail from here on.
            if step > 1500 and budget.try_spend("lost"):
                retries_s.append(clock.monotonic_s())
            clock.advance(0.01)
        requests = WINDOW_S / 0.1
        counts = [
            sum(begin_s <= retry_s <= begin_s + WINDOW_S for retry_s in retries_s)
            for begin_s in retries_s
        ]
        self.assertLessEqual(max(counts), 0.2 * requests + 1.0 * WINDOW_S)
        self.assertGreater(max(counts), 0.8 * (0.2 * requests + 1.0 * WINDOW_S))

    def test_resumptions_count_but_are_not_denied(self) -> None:
        """Guards against streams that are not resumed because the budget is exhausted."""
        budget = RetryBudget(ManualClock(), 0.0, 0.1)
        budget.spend_unconditionally("engine_failed")
        self.assertFalse(budget.try_spend("engine_failed"))


class DelayTest(unittest.TestCase):
    def test_full_jitter(self) -> None:
        """Guards against synchronized retries of many requests."""
        generator = random.Random(1)
        self.assertEqual(0.0, backoff_delay_s(1, generator))
        for retry, limit_s in ((2, 0.08), (3, 0.16), (9, MAX_DELAY_S)):
            delays = [backoff_delay_s(retry, generator) for _ in range(200)]
            with self.subTest(retry=retry):
                self.assertLessEqual(max(delays), limit_s)
                self.assertGreater(max(delays), limit_s * 0.9)
                self.assertLess(min(delays), limit_s * 0.1)
