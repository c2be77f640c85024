"""Tests of the cache index and the consumer of cache events."""

import sys
import unittest

from coltsfootfront.targets.cacheevents import CacheEventConsumer
from coltsfootfront.targets.cacheindex import MIN_EVICTIONS, CacheIndex
from coltsfootfront.targets.engine import CacheEvent
from coltsfootfront.tests.support import FakeEngine, ManualClock


def key(number: int) -> bytes:
    """Make the key of a block."""
    return number.to_bytes(8, "big")


PROMPT_KEYS = [key(number) for number in range(1, 9)]


class CacheIndexTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.index = CacheIndex(self.clock)
        self.events = CacheEventConsumer(FakeEngine(), self.index, self.clock)

    def _feed(self, seq: int, kind: str, *numbers: int, incarnation: str = "e1") -> None:
        keys = tuple(key(number) for number in numbers)
        self.events.feed(CacheEvent(incarnation, seq, kind, keys))

    def _matched(self) -> int:
        return self.index.match_all_keys(PROMPT_KEYS)

    def test_events_in_order(self) -> None:
        """Guards against counting blocks before they are stored or after their removal."""
        self._feed(1, "stored", 1, 2, 3, 4)
        self.assertEqual(4, self._matched())
        self.assertEqual(
            4, self.index.match([2, 4, 8], [PROMPT_KEYS[1], PROMPT_KEYS[3], PROMPT_KEYS[7]])
        )
        self._feed(2, "removed", 4)
        self.assertEqual(3, self._matched())
        self._feed(3, "cleared")
        self.assertEqual(0, self._matched())

    def test_a_gap_makes_earlier_blocks_uncertain(self) -> None:
        """Guards against counting blocks in full whose removal event may have been lost."""
        self._feed(1, "stored", 1, 2, 3, 4)
        self._feed(3, "stored", 1)
        self.assertEqual(2, self._matched(), "1 certain block and half of 3 uncertain ones")
        self._feed(4, "stored", 2, 3, 4)
        self.assertEqual(4, self._matched())

    def test_late_and_reordered_events(self) -> None:
        """Guards against delayed events that overwrite later ones."""
        self._feed(1, "stored", 1, 2, 3, 4)
        self._feed(4, "stored", 1, 2)
        self._feed(3, "removed", 2, 4)
        self.assertEqual(2, self._matched(), "2 was stored again, 4 is removed, 3 is uncertain")
        self._feed(2, "stored", 8)
        self.assertEqual(2, self._matched(), "a delayed store may have been followed by a removal")
        self._feed(4, "removed", 1, 2)
        self.assertEqual(2, self._matched(), "a repeated sequence number counts as out of order")
        self._feed(3, "cleared")
        self.assertEqual((2, 2), (self._matched(), len(self.index)))

    def test_a_new_incarnation_starts_empty(self) -> None:
        """Guards against counting blocks that an engine cached before it restarted."""
        self._feed(1, "stored", 1, 2)
        self._feed(1, "stored", 1, incarnation="e2")
        self.assertEqual(1, self._matched())
        self._feed(2, "stored", 2, 3, incarnation="e1")
        self.assertEqual(1, self._matched(), "a delayed event of the previous incarnation")
        self.assertFalse(
            self.index.observe_incarnation("e1"), "a delayed report of an earlier incarnation"
        )
        self.assertTrue(self.index.observe_incarnation("e3"))
        self.assertEqual(0, self._matched())
        self._feed(5, "stored", 1, 2, incarnation="e3")
        self.assertEqual(
            2, self._matched(), "blocks of the first event are certain despite the gap before it"
        )

    def test_responses_correct_the_estimate(self) -> None:
        """Guards against keeping uncertain blocks that a response has shown to be evicted."""
        self._feed(1, "stored", *range(100, 200))
        self._feed(2, "stored", 1, 2, 3, 4)
        self._feed(4, "stored", 300)
        self.index.correct_from_response(PROMPT_KEYS, 4, 0)
        self.assertEqual(8, self._matched(), "the request has cached its prompt")
        self.assertEqual(0, self.index.match_all_keys([key(number) for number in range(100, 200)]))
        self.assertEqual(1, self.index.match_all_keys([key(300)]))

    def test_cached_tokens_become_blocks(self) -> None:
        """Guards against a wrong number of blocks computed from the reported tokens."""
        cases = [(8, 8400, 0, 0), (8, 8400, 3000, 3), (8, 8999, 8000, 8), (8, 8000, 7000, 7)]
        cases += [(0, 10, 0, 0), (30, 30500, 29000, 29), (30, 30999, 1000, 1), (4, 0, 0, 0)]
        for blocks, prompt, cached, expected in cases:
            with self.subTest(blocks=blocks, prompt=prompt, cached=cached):
                self.assertEqual(expected, self.index.to_cached_blocks(blocks, prompt, cached))

    def test_entries_expire_at_the_engines_eviction_age(self) -> None:
        """Guards against entries that stay forever after their removal event was lost."""
        seq = 0
        for number in range(1000, 1000 + 2 * MIN_EVICTIONS):
            seq += 1
            self._feed(seq, "stored", number)
            self.clock.advance(0.5)
            if number >= 1008:
                seq += 1
                self._feed(seq, "removed", number - 8)
        self.assertAlmostEqual(4.0, self.index.mean_eviction_age_s, delta=1.0)
        self._feed(seq + 1, "stored", 1, 2, 3, 4)
        self.clock.advance(10)
        self.assertEqual(4, self._matched())
        self._feed(seq + 3, "stored", 500)
        self.assertEqual(0, self._matched(), "uncertain and older than the mean age at eviction")
        self._feed(seq + 4, "stored", 1, 2, 3, 4)
        self.clock.advance(30)
        self.assertEqual(0, self._matched(), "older than 4 times the mean age at eviction")

    def test_memory_is_bounded(self) -> None:
        """Guards against unbounded memory use of the index."""
        self.index.set_capacity(37_000)
        for start in range(0, 200_000, 50):
            self.index.store([key(number) for number in range(start, start + 50)])
        self.assertLessEqual(len(self.index), 40_700)
        ticks = self.index._last_used_ticks
        size = sys.getsizeof(ticks) + sum(sys.getsizeof(item) for item in ticks)
        self.assertLess(size, 6 * 1024 * 1024)
        self.assertEqual(50, self.index.match_all_keys([key(n) for n in range(199_950, 200_000)]))
        self.index.set_capacity(10)
        self.index.store(PROMPT_KEYS)
        self.index.store([key(n) for n in range(100, 106)])
        self.assertEqual(4, self._matched(), "the last blocks of a prefix are dropped first")
