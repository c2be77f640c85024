"""Tests of the byte budget between regions."""

import unittest

from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.tests.support import ManualClock


class LinkBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.link_budget = LinkBudget(self.clock)
        self.link_budget.set_rate(1000, 4)

    def test_routers_share_the_rate(self) -> None:
        """Guards against routers that together exceed the rate of the link."""
        self.assertTrue(self.link_budget.allows(250))
        self.link_budget.charge(250, "away")
        self.assertFalse(self.link_budget.allows(1))
        self.assertAlmostEqual(0.4, self.link_budget.wait_s(100) or 0.0)
        self.clock.advance(0.5)
        self.assertTrue(self.link_budget.allows(125))
        self.assertFalse(self.link_budget.allows(126))

    def test_responses_overdraw_the_budget_until_it_recovers(self) -> None:
        """Guards against responses whose bytes are not counted."""
        self.link_budget.charge(1000, "away")
        self.clock.advance(2.9)
        self.assertFalse(self.link_budget.allows(1))
        self.clock.advance(1.1)
        self.assertTrue(self.link_budget.allows(250))

    def test_a_full_budget_allows_a_request_of_any_size(self) -> None:
        """Guards against requests larger than one second's share that are blocked forever."""
        self.assertTrue(self.link_budget.allows(10_000))

    def test_no_link_allows_nothing(self) -> None:
        """Guards against traffic over a link whose budget is not set or zero."""
        self.assertFalse(LinkBudget(self.clock).allows(0))
        self.link_budget.set_rate(0, 1)
        self.assertFalse(self.link_budget.allows(1))
        self.assertIsNone(self.link_budget.wait_s(1))

    def test_a_lower_rate_takes_effect_at_once(self) -> None:
        """Guards against an accumulated budget that exceeds a lowered rate."""
        self.link_budget.set_rate(1000, 100)
        self.link_budget.charge(10, "away")
        self.assertFalse(self.link_budget.allows(1))
