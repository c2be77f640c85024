"""Tests of the check that routers keep to the limit of a target."""

import unittest

from coltsfootfront_dev.limitcheck import Arrival, Period, excess_requests

# 13 requests are allowed in 4 s.
RATE_PER_S = 4 / 3
NAMED = Period(100.0, 110.0)


class LimitCheckTest(unittest.TestCase):
    def _excess(
        self,
        times_s: list[float],
        told_s: float = 100.0,
        excused: tuple[Period, ...] = (),
        router: str = "a",
    ) -> str | None:
        arrivals = [Arrival(at_s, router) for at_s in times_s]
        return excess_requests(
            arrivals, NAMED, RATE_PER_S, {"a": told_s}, {"a": list(excused)}, 4.0
        )

    def test_which_requests_count(self) -> None:
        """Guards against a check that passes everything, or counts what the rule excuses."""
        burst = [105.0 + number / 10 for number in range(14)]
        self.assertIsNone(self._excess(burst[:13]))
        self.assertIn("14 requests", str(self._excess(burst)))
        self.assertIsNone(self._excess(burst, router="not told"))
        self.assertIsNone(self._excess(burst, told_s=104.6))
        self.assertIsNone(self._excess(burst, excused=(Period(104.0, 105.05),)))
        self.assertIsNone(self._excess([at_s - 3.0 for at_s in burst]))
        self.assertIsNone(self._excess([at_s + 6.0 for at_s in burst]))
        # A window that ends after the limit is checked may begin before.
        spread = [100.5 + number * 0.27 for number in range(14)]
        self.assertIn("14 requests", str(self._excess(spread)))
