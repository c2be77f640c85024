"""Tests of the byte budget between regions."""

import unittest

from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.tests.support import ManualClock


class LinkBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.link = LinkBudget(self.clock)
        self.link.set_rate(1000, 4)

    def test_routers_share_the_rate(self) -> None:
        """Guards against routers that fill the link several times over."""
        self.assertTrue(self.link.allows(250))
        self.link.charge(250, "away")
        self.assertFalse(self.link.allows(1))
        self.assertAlmostEqual(0.4, self.link.wait_s(100) or 0.0)
        self.clock.advance(0.5)
        self.assertTrue(self.link.allows(125))
        self.assertFalse(self.link.allows(126))

    def test_answers_overdraw_and_are_paid_back(self) -> None:
        """Guards against answers whose bytes are not counted."""
        self.link.charge(1000, "away")
        self.clock.advance(2.9)
        self.assertFalse(self.link.allows(1))
        self.clock.advance(1.1)
        self.assertTrue(self.link.allows(250))

    def test_a_large_request_may_cross_a_full_budget(self) -> None:
        """Guards against requests above one second's share that could never cross."""
        self.assertTrue(self.link.allows(10_000))

    def test_no_link_allows_nothing(self) -> None:
        """Guards against traffic over a link whose budget is not known or zero."""
        self.assertFalse(LinkBudget(self.clock).allows(0))
        self.link.set_rate(0, 1)
        self.assertFalse(self.link.allows(1))
        self.assertIsNone(self.link.wait_s(1))

    def test_a_lower_rate_takes_effect_at_once(self) -> None:
        """Guards against a saved-up budget that outlives a lower rate."""
        self.link.set_rate(1000, 100)
        self.link.charge(10, "away")
        self.assertFalse(self.link.allows(1))
