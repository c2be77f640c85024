"""Tests of the limits that targets name on the requests of all routers together."""

import unittest

from coltsfootfront.common import metrics
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.limitrecorder import LimitRecorder
from coltsfootfront.tests.direct_support import REGIONS, make_entry
from coltsfootfront.tests.support import ManualClock


class LimitRecorderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock, REGIONS)
        self.recorder = LimitRecorder(self.clock, self.directory)
        self.target = self._add("t1")

    def _add(self, name: str, started_ms: int = 1) -> Target:
        self.directory.put(make_entry(name, started_ms=started_ms))
        target = self.directory.get(name)
        assert target is not None
        return target

    def _metric(self) -> float | None:
        return metrics.TARGET_LIMIT_PER_S.values.get({"target": "t1"})

    def test_limit_is_in_force_until_a_later_request_is_answered_without_it(self) -> None:
        """Guards against a limit that never ends, and one that an overtaken response ends."""
        self.recorder.record_response(self.target, 1.5, self.clock.monotonic_s())
        self.assertEqual(1.5, self._metric())
        named_s = self.clock.monotonic_s()
        self.clock.advance(0.2)
        self.recorder.record_response(self.target, None, named_s - 0.1)
        assert self.target.limit is not None
        self.assertEqual((1.5, named_s), (self.target.limit.rate_per_s, self.target.limit.since_s))
        self.recorder.record_response(self.target, None, named_s + 0.1)
        self.assertIsNone(self.target.limit)
        self.assertIsNone(self._metric())

    def test_limit_of_a_target_that_has_gone_ends(self) -> None:
        """Guards against a metric that reports a limit of a target that no longer exists."""
        self.recorder.record_response(self.target, 2.0, self.clock.monotonic_s())
        self.recorder.end_stale()
        self.assertEqual(2.0, self._metric())
        restarted = self._add("t1", started_ms=2)
        self.recorder.end_stale()
        self.assertIsNone(self._metric())
        self.assertIsNone(restarted.limit)
