"""Tests of the circuit breaker."""

import unittest
from collections.abc import Callable

from coltsfootfront.placing.breaker import FIRST_OPEN_S, MAX_OPEN_S, Breaker, Incarnation
from coltsfootfront.tests.support import ManualClock

FIRST = Incarnation("a1", "e1")


class BreakerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.breaker = Breaker(self.clock)

    def open(self, incarnation: Incarnation = FIRST) -> None:
        for _ in range(3):
            self.breaker.record_failure("t", incarnation)

    def test_opens_after_failures_in_a_row(self) -> None:
        """Guards against a target that is given up after one failure, or never."""
        self.breaker.record_failure("t", FIRST)
        self.breaker.record_failure("t", FIRST)
        self.breaker.record_success("t", FIRST)
        self.breaker.record_failure("t", FIRST)
        self.assertTrue(self.breaker.is_available("t"))
        self.open()
        self.assertFalse(self.breaker.is_available("t"))
        self.assertAlmostEqual(FIRST_OPEN_S, self.breaker.wait_s("t"))

    def test_one_trial_decides(self) -> None:
        """Guards against a burst of requests at a target that may still be broken."""
        outcomes: dict[str, tuple[Callable[[], None], float, bool]] = {
            "success": (lambda: self.breaker.record_success("t", FIRST), 0.0, True),
            "failure": (lambda: self.breaker.record_failure("t", FIRST), 2 * FIRST_OPEN_S, False),
            "nothing learned": (lambda: self.breaker.release("t"), 0.0, True),
        }
        for name, (settle, wait_s, is_available) in outcomes.items():
            with self.subTest(name):
                self.setUp()
                self.open()
                self.assertFalse(self.breaker.try_acquire("t"))
                self.clock.advance(FIRST_OPEN_S)
                self.assertTrue(self.breaker.try_acquire("t"))
                self.assertFalse(self.breaker.try_acquire("t"))
                settle()
                self.assertAlmostEqual(wait_s, self.breaker.wait_s("t"))
                self.assertEqual(is_available, self.breaker.is_available("t"))

    def test_the_delay_is_bounded(self) -> None:
        """Guards against a recovered target that stays unused for long."""
        self.open()
        for _ in range(10):
            self.clock.advance(MAX_OPEN_S)
            self.assertTrue(self.breaker.try_acquire("t"))
            self.breaker.record_failure("t", FIRST)
        self.assertAlmostEqual(MAX_OPEN_S, self.breaker.wait_s("t"))

    def test_a_new_incarnation_starts_closed(self) -> None:
        """Guards against a restarted target that pays for the failures of its predecessor."""
        for name, new in {
            "agent": Incarnation("a2", "e1"),
            "engine": Incarnation("a1", "e2"),
        }.items():
            with self.subTest(name):
                self.setUp()
                self.open()
                self.breaker.record_incarnation("t", new)
                self.assertTrue(self.breaker.is_available("t"))
                self.open(FIRST)
                self.assertTrue(self.breaker.is_available("t"))
                self.open(new)
                self.breaker.record_success("t", FIRST)
                self.assertFalse(self.breaker.is_available("t"))

    def test_an_unreachable_agent_has_no_incarnation(self) -> None:
        """Guards against a dead agent that counts as new each time it cannot be reached."""
        self.open(Incarnation())
        self.assertFalse(self.breaker.is_available("t"))
        self.breaker.record_incarnation("t", Incarnation("a1", ""))
        self.assertFalse(self.breaker.is_available("t"))

    def test_removed_targets_are_forgotten(self) -> None:
        """Guards against state that grows with every target that ever existed."""
        self.open()
        self.breaker.keep_only(set())
        self.assertTrue(self.breaker.is_available("t"))
