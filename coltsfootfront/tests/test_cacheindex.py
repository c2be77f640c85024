"""Tests of the estimate of cached blocks and of the consumer of cache events."""

import sys
import unittest

from coltsfootfront.targets.cacheevents import CacheEventConsumer
from coltsfootfront.targets.engine import CacheEvent
from coltsfootfront.targets.cacheindex import MIN_EVICTIONS, CacheIndex
from coltsfootfront.tests.support import FakeEngine, ManualClock


def key(number: int) -> bytes:
    """Key of a block."""
    return number.to_bytes(8, "big")


CHAIN = [key(number) for number in range(1, 9)]


class IndexTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.index = CacheIndex(self.clock)
        self.events = CacheEventConsumer(FakeEngine(), self.index, self.clock)

    def _put(self, seq: int, kind: str, *numbers: int, incarnation: str = "e1") -> None:
        keys = tuple(key(number) for number in numbers)
        self.events.put(CacheEvent(incarnation, seq, kind, keys))

    def _matched(self) -> int:
        return self.index.match_all_keys(CHAIN)

    def test_events_in_order(self) -> None:
        """Guards against blocks that are counted before they are stored or after removal."""
        self._put(1, "stored", 1, 2, 3, 4)
        self.assertEqual(4, self._matched())
        self.assertEqual(4, self.index.match([2, 4, 8], [CHAIN[1], CHAIN[3], CHAIN[7]]))
        self._put(2, "removed", 4)
        self.assertEqual(3, self._matched())
        self._put(3, "cleared")
        self.assertEqual(0, self._matched())

    def test_a_gap_makes_earlier_blocks_doubtful(self) -> None:
        """Guards against full trust in blocks whose removal may have been lost."""
        self._put(1, "stored", 1, 2, 3, 4)
        self._put(3, "stored", 1)
        self.assertEqual(2, self._matched(), "1 certain and half of 3 doubtful")
        self._put(4, "stored", 2, 3, 4)
        self.assertEqual(4, self._matched())

    def test_late_and_reordered_events(self) -> None:
        """Guards against events that are applied over later ones."""
        self._put(1, "stored", 1, 2, 3, 4)
        self._put(4, "stored", 1, 2)
        self._put(3, "removed", 2, 4)
        self.assertEqual(2, self._matched(), "2 was stored again, 4 is gone, 3 is doubtful")
        self._put(2, "stored", 8)
        self.assertEqual(2, self._matched(), "a late store may have been removed since")
        self._put(4, "removed", 1, 2)
        self.assertEqual(2, self._matched(), "a repeated number is late as well")
        self._put(3, "cleared")
        self.assertEqual((2, 2), (self._matched(), len(self.index)))

    def test_a_new_incarnation_starts_empty(self) -> None:
        """Guards against reliance on the cache of an engine that has failed."""
        self._put(1, "stored", 1, 2)
        self._put(1, "stored", 1, incarnation="e2")
        self.assertEqual(1, self._matched())
        self._put(2, "stored", 2, 3, incarnation="e1")
        self.assertEqual(1, self._matched(), "a late event of the failed engine")
        self.assertFalse(self.index.observe_incarnation("e1"), "a lagging report")
        self.assertTrue(self.index.observe_incarnation("e3"))
        self.assertEqual(0, self._matched())
        self._put(5, "stored", 1, 2, incarnation="e3")
        self.assertEqual(2, self._matched(), "nothing older is doubtful by the first event")

    def test_responses_correct_the_estimate(self) -> None:
        """Guards against doubtful blocks that stay although a response missed them."""
        self._put(1, "stored", *range(100, 200))
        self._put(2, "stored", 1, 2, 3, 4)
        self._put(4, "stored", 300)
        self.index.correct_from_response(CHAIN, 4, 0)
        self.assertEqual(8, self._matched(), "the response itself has cached its prompt")
        self.assertEqual(0, self.index.match_all_keys([key(number) for number in range(100, 200)]))
        self.assertEqual(1, self.index.match_all_keys([key(300)]))

    def test_cached_tokens_become_blocks(self) -> None:
        """Guards against corrections by a wrong number of blocks."""
        cases = [(8, 8400, 0, 0), (8, 8400, 3000, 3), (8, 8999, 8000, 8), (8, 8000, 7000, 7)]
        cases += [(0, 10, 0, 0), (30, 30500, 29000, 29), (30, 30999, 1000, 1), (4, 0, 0, 0)]
        for blocks, prompt, cached, expected in cases:
            with self.subTest(blocks=blocks, prompt=prompt, cached=cached):
                self.assertEqual(expected, self.index.to_cached_blocks(blocks, prompt, cached))

    def test_blocks_age_at_the_engines_pace(self) -> None:
        """Guards against blocks that stay for ever when their removals are lost."""
        seq = 0
        for number in range(1000, 1000 + 2 * MIN_EVICTIONS):
            seq += 1
            self._put(seq, "stored", number)
            self.clock.advance(0.5)
            if number >= 1008:
                seq += 1
                self._put(seq, "removed", number - 8)
        self.assertAlmostEqual(4.0, self.index.lifetime_s, delta=1.0)
        self._put(seq + 1, "stored", 1, 2, 3, 4)
        self.clock.advance(10)
        self.assertEqual(4, self._matched())
        self._put(seq + 3, "stored", 500)
        self.assertEqual(0, self._matched(), "doubtful and older than blocks get")
        self._put(seq + 4, "stored", 1, 2, 3, 4)
        self.clock.advance(30)
        self.assertEqual(0, self._matched(), "far older than blocks get")

    def test_memory_is_bounded(self) -> None:
        """Guards against an index that outgrows the process's memory."""
        self.index.set_capacity(37_000)
        for start in range(0, 200_000, 50):
            self.index.store([key(number) for number in range(start, start + 50)])
        self.assertLessEqual(len(self.index), 40_700)
        seen = self.index._seen
        size = sys.getsizeof(seen) + sum(sys.getsizeof(item) for item in seen)
        self.assertLess(size, 6 * 1024 * 1024)
        self.assertEqual(50, self.index.match_all_keys([key(n) for n in range(199_950, 200_000)]))
        self.index.set_capacity(10)
        self.index.store(CHAIN)
        self.index.store([key(n) for n in range(100, 106)])
        self.assertEqual(4, self._matched(), "a chain loses its end first")
