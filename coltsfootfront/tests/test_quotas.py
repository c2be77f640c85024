"""Tests of quotas that routers keep together, on a virtual clock and without a network."""

import unittest

import logbook

from coltsfootfront.common.decoding import DecodingError
from coltsfootfront.quotas.usage import CustomerUsage, UsageReport


class UsageReportTest(unittest.TestCase):
    def test_report_of_a_router_that_has_run_for_weeks_is_read(self) -> None:
        """Guards against routers that nobody hears any more 11.6 days after their start."""
        report = UsageReport("10.0.0.1:80", 5, 90 * 86400.0, (), (CustomerUsage("a", 9, 8, -7),))
        self.assertEqual(report, UsageReport.from_fields(report.to_fields()))

    def test_row_that_is_malformed_does_not_keep_the_others_back(self) -> None:
        """Guards against the loss of 17 customers' usage because of one odd row."""
        report = UsageReport("10.0.0.1:80", 5, 1.0, (), (CustomerUsage("a", 9, 8, -7),))
        for odd in (None, [], ["b", 1], ["b", "1", 1, 1], ["b", float("nan"), 1, 1]):
            with self.subTest(odd):
                fields = report.to_fields()
                fields[4].insert(0, odd)
                with logbook.TestHandler().applicationbound() as records:
                    self.assertEqual(report, UsageReport.from_fields(fields))
                self.assertEqual(1, len(records.records))

    def test_report_without_its_router_is_refused(self) -> None:
        """Guards against usage that is applied to no router or to the wrong process."""
        fields = UsageReport("10.0.0.1:80", 5, 1.0).to_fields()
        for position, odd in ((0, None), (1, -1), (1, 2**64), (2, "1"), (3, 7), (4, {})):
            with self.subTest(position=position, odd=odd):
                changed = list(fields)
                changed[position] = odd
                with self.assertRaises(DecodingError):
                    UsageReport.from_fields(changed)
