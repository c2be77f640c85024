"""Tests of the estimate of the prefill work queued at a target."""

import unittest

from coltsfootfront.direct.backlog import LESS_URGENT_SHARE, Backlog


class BacklogTest(unittest.TestCase):
    def test_urgent_work_waits_for_a_part_of_the_less_urgent(self) -> None:
        """Guards against an estimate that ignores a less urgent prefill which has begun."""
        backlog = Backlog(0.0)
        backlog.add(5, 1.0, 0.0)
        self.assertAlmostEqual(1.0, backlog.wait_s(5, 0.0))
        self.assertAlmostEqual(LESS_URGENT_SHARE, backlog.wait_s(0, 0.0))

    def test_work_drains_with_time_in_order_of_priority(self) -> None:
        """Guards against a backlog that never drains, or drains in the wrong order."""
        backlog = Backlog(0.0)
        backlog.add(0, 0.5, 0.0)
        backlog.add(3, 1.0, 0.0)
        self.assertAlmostEqual(1.0, backlog.wait_s(9, 0.5))
        self.assertAlmostEqual(LESS_URGENT_SHARE, backlog.wait_s(0, 0.5))
        self.assertEqual(0.0, backlog.wait_s(9, 5.0))

    def test_work_with_an_older_time_does_not_reset_the_clock(self) -> None:
        """Guards against draining the same time twice after a delayed message from a peer."""
        backlog = Backlog(0.0)
        backlog.add(0, 1.0, 1.0)
        backlog.add(0, 1.0, 0.5)
        self.assertAlmostEqual(2.0, backlog.wait_s(0, 1.0))
