"""Tests of log output: bounded, and never waiting for its reader."""

import os
import unittest

import logbook

from coltsfootfront.common.logs import BURST_LINES, REPORT_INTERVAL_S, BoundedHandler, event
from coltsfootfront.tests.support import ManualClock


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)
        self.clock = ManualClock()
        self.handler = BoundedHandler(self.writer, "INFO", "{record.message}", self.clock)
        self.log = logbook.Logger("test")

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def _read(self) -> str:
        return os.read(self.reader, 1 << 20).decode()

    def test_an_event_that_repeats_is_bounded_and_counted(self) -> None:
        """Guards against a failure that fills the log, and lines that vanish unsaid."""
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

    def test_a_reader_that_does_not_read_stops_nothing(self) -> None:
        """Guards against a process that waits for the reader of its log."""
        with self.handler.applicationbound():
            for number in range(200):
                self.log.info(event(f"event_{number}", text="x" * 4000))
        self.assertTrue(self.handler._left_out)
