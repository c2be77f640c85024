"""Tests of log output: rate limits and non-blocking writes."""

import os
import unittest

import logbook

from coltsfootfront.common.logs import BURST_LINES, REPORT_INTERVAL_S, RateLimitedHandler, event
from coltsfootfront.tests.support import ManualClock


class RateLimitedHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)
        self.clock = ManualClock()
        self.handler = RateLimitedHandler(self.writer, "INFO", "{record.message}", self.clock)
        self.log = logbook.Logger("test")

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def _read(self) -> str:
        return os.read(self.reader, 1 << 20).decode()

    def test_repeated_event_is_rate_limited_and_counted(self) -> None:
        """Guards against a repeating failure that fills the log, and unreported dropped lines."""
        with self.handler.applicationbound():
            for _ in range(int(BURST_LINES) + 50):
                self.log.info(event("noisy"))
            self.log.info(event("rare"))
            self.clock.advance(REPORT_INTERVAL_S)
            self.log.info(event("rare"))
        text = self._read()
        self.assertEqual(int(BURST_LINES), text.count("event=noisy"))
        self.assertEqual(2, text.count("event=rare"))
        self.assertIn("event=log_lines_left_out counts=noisy:50", text)

    def test_stalled_reader_does_not_block_logging(self) -> None:
        """Guards against a process that blocks on a full log pipe."""
        with self.handler.applicationbound():
            for number in range(200):
                self.log.info(event(f"event_{number}", text="x" * 4000))
        self.assertTrue(self.handler._dropped_lines)
