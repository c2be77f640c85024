"""Tests of the tool that compares estimates in router logs with outcomes."""

import math
import unittest

from coltsfootfront_dev.estimates import ALL, compare, correlation, read_outcomes

LINE = (
    "time=2026-07-13T06:22:17.002286Z level=INFO process=r1 module=m event={event} id=x"
    " sends={sends} route=ask placed_s=0.1 {first} estimate_s={estimate} load={load}"
    " outcome=answered took_s=0.9"
)


def line(estimate: object, first: str = "prompt_tokens=90 first_s=0.3", **fields: object) -> str:
    values = {"event": "request_ended", "sends": 1, "load": 3} | fields
    return LINE.format(estimate=estimate, first=first, **values)


class EstimatesTest(unittest.TestCase):
    def test_estimates_are_compared_by_load(self) -> None:
        """Guards against estimates that look right on average and miss in queues."""
        lines = [line(0.2, load=load) for load in (2, 3)] * 4 + [line(0.05, load=70)] * 6
        rows = {row.load: row for row in compare(read_outcomes(lines))}
        self.assertEqual({ALL, "2+", "64+"}, set(rows))
        self.assertEqual((8, 6, 14), (rows["2+"].count, rows["64+"].count, rows[ALL].count))
        self.assertAlmostEqual(1.0, rows["2+"].ratios[1])
        self.assertAlmostEqual(4.0, rows["64+"].ratios[1])

    def test_lines_without_a_plain_outcome_are_left_out(self) -> None:
        """Guards against times of other attempts, and against an end at a cut-off line."""
        lines = [
            line(0.2, sends=2),
            line("x"),
            line(0.2, load="x"),
            line(0.2, event="target_lost"),
            line(0.2)[:90],
            "",
        ]
        self.assertEqual([], read_outcomes(lines))

    def test_time_of_a_call_is_that_of_its_response(self) -> None:
        """Guards against calls without a first event that are left out."""
        (outcome,) = read_outcomes([line(0.4, first="", load=0)])
        self.assertAlmostEqual(0.8, outcome.took_s)

    def test_correlation(self) -> None:
        """Guards against a coefficient that depends on scale, or an error without variation."""
        self.assertAlmostEqual(1.0, correlation([(1, 10), (2, 20), (3, 30)]))
        self.assertAlmostEqual(-1.0, correlation([(1, 3), (2, 2), (3, 1)]))
        self.assertTrue(math.isnan(correlation([(1, 1), (1, 2)])))
