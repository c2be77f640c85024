"""Tests of whether requests fit into the memory of a target."""

import math
import random
import unittest

from coltsfootfront.scheduling.targetmemory import (
    DEFAULT_OUTPUT_TOKENS,
    LOAD_FRESH_S,
    LOAD_HALF_LIFE_S,
    PEER_REPORT_VALID_S,
    Fit,
    Holdings,
    RequestSize,
    SizeStatistics,
    TargetMemories,
    TargetMemory,
)
from coltsfootfront.tests.support import ManualClock

# The long analysis and the quick check of docs/design/hard-load.md.
LONG = RequestSize(11_992, 55, 60_000)
QUICK = RequestSize(2_368, 3, 12_000)
CAPACITY_TOKENS = 449_952


class TargetMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.memories = TargetMemories(self.clock)

    def _memory(self, capacity_tokens: int = CAPACITY_TOKENS, target: str = "e0") -> TargetMemory:
        return self.memories.get(target, "engines", capacity_tokens)

    def test_own_requests_fill_the_memory(self) -> None:
        """Guards against a target that one router sends more than it can hold."""
        memory = self._memory()
        holds = []
        while memory.fit(LONG) is Fit.NOW:
            holds.append(memory.hold(LONG))
        self.assertEqual(CAPACITY_TOKENS // LONG.resident_tokens, len(holds))
        self.assertIs(Fit.LATER, memory.fit(LONG))
        self.assertIs(Fit.NOW, memory.fit(QUICK))
        holds.pop().end()
        self.assertIs(Fit.NOW, memory.fit(LONG))

    def test_hold_ends_once(self) -> None:
        """Guards against memory that is freed twice when a request fails while it ends."""
        memory = self._memory()
        first, second = memory.hold(LONG), memory.hold(QUICK)
        self.assertEqual(LONG.body_bytes + QUICK.body_bytes, memory.own.body_bytes)
        first.end()
        first.end()
        self.assertEqual(Holdings(1, QUICK.resident_tokens, QUICK.body_bytes), memory.own)
        second.end()
        self.assertEqual(Holdings(), memory.own)

    def test_request_beyond_the_whole_memory(self) -> None:
        """Guards against a request that waits for memory which no target has."""
        memory = self._memory(12_000)
        self.assertIs(Fit.NEVER, memory.fit(LONG))
        self.assertIs(Fit.NOW, memory.fit(QUICK))
        memory.hold(RequestSize(11_000, 900))
        self.assertIs(Fit.LATER, memory.fit(QUICK))

    def test_unknown_capacity(self) -> None:
        """Guards against refusals where the configuration names no capacity."""
        memory = self._memory(0)
        for _ in range(1000):
            memory.hold(LONG)
        self.assertIs(Fit.NOW, memory.fit(LONG))
        self.assertEqual(math.inf, memory.free_tokens())

    def test_unknown_output(self) -> None:
        """Guards against answers without a hint that count for nothing."""
        self.assertEqual(100 + DEFAULT_OUTPUT_TOKENS, RequestSize(100).resident_tokens)

    def test_load_of_other_routers(self) -> None:
        """Guards against several routers that each fill the memory on their own."""
        memory = self._memory()
        for _ in range(500):
            memory.hold(LONG).end()
        memory.record_load(30)
        self.assertGreater(memory.others_tokens(), 30 * LONG.resident_tokens)
        self.assertIs(Fit.LATER, memory.fit(RequestSize(100_000)))
        self.clock.advance(LOAD_FRESH_S + 8 * LOAD_HALF_LIFE_S)
        self.assertIs(Fit.NOW, memory.fit(RequestSize(100_000)))

    def test_own_requests_are_no_load_of_others(self) -> None:
        """Guards against requests that count twice, as own and in the reported load."""
        memory = self._memory()
        for _ in range(5):
            memory.hold(LONG)
        memory.record_load(5)
        self.assertEqual(0.0, memory.others_tokens())
        memory.record_load(3)
        self.assertEqual(0.0, memory.others_tokens())

    def test_reports_of_peers_replace_the_estimate(self) -> None:
        """Guards against requests that count twice, as reported and in the reported load."""
        memory = self._memory()
        memory.hold(LONG)
        memory.record_load(21)
        memory.record_peer("r2", Holdings(15, 15 * QUICK.resident_tokens))
        memory.record_peer("r3", Holdings(5, 5 * LONG.resident_tokens))
        expected = 15 * QUICK.resident_tokens + 5 * LONG.resident_tokens
        self.assertEqual(expected, memory.others_tokens())
        memory.drop_peer("r3")
        self.assertGreater(memory.others_tokens(), expected)

    def test_old_reports_of_peers(self) -> None:
        """Guards against a router that has gone, whose requests take up memory for ever."""
        memory = self._memory()
        memory.record_peer("r2", Holdings(30, 30 * LONG.resident_tokens))
        self.assertIs(Fit.LATER, memory.fit(RequestSize(100_000)))
        self.clock.advance(PEER_REPORT_VALID_S)
        self.assertEqual(0.0, memory.others_tokens())

    def test_targets_that_have_gone(self) -> None:
        """Guards against an account that grows with every restart of a target."""
        hold = self._memory().hold(LONG)
        self.memories.keep({"e1"})
        self.assertEqual(Holdings(), self._memory().own)
        hold.end()
        self.assertEqual(Holdings(), self._memory().own)


class SizeStatisticsTest(unittest.TestCase):
    def test_sum_is_rarely_exceeded(self) -> None:
        """Guards against estimates of others' requests that are often too low, or far too high."""
        generator = random.Random(7)

        def draw() -> int:
            is_long = generator.random() < 0.2
            return (LONG if is_long else QUICK).resident_tokens

        sizes = SizeStatistics()
        for _ in range(2000):
            sizes.add(draw())
        for count in (5, 20, 80):
            upper_tokens = sizes.upper_sum_tokens(count)
            sums = [sum(draw() for _ in range(count)) for _ in range(2000)]
            exceeded = sum(total > upper_tokens for total in sums) / len(sums)
            with self.subTest(count=count):
                self.assertLess(exceeded, 0.15)
                self.assertLess(upper_tokens, 2.5 * sum(sums) / len(sums))

    def test_no_request_yet(self) -> None:
        """Guards against an error before the first request."""
        self.assertEqual(0.0, SizeStatistics().upper_sum_tokens(10))
