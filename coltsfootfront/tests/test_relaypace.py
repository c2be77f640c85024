"""Tests of the pace of streams, on a clock that the test moves."""

import unittest
from collections.abc import AsyncIterator

from coltsfootfront.direct.relaypace import (
    EXCESS_BYTES_PER_S,
    LINE_BYTES,
    PIECE_BYTES,
    STREAM_BURST_BYTES,
    STREAM_BYTES_PER_S,
    ExcessPacer,
    relay_cost_bytes,
    split_chunks,
)
from coltsfootfront.tests.support import ManualClock

EVENT_BYTES = 300
SHORT_EVENT = b"id: 7\ndata: 7\n\n"
# An engine's event has a few hundred bytes, and three lines.
MIN_ENGINE_EVENT_BYTES = 3 * LINE_BYTES


class StreamPaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.pacer = ExcessPacer(self.clock)

    def test_sound_stream_is_never_delayed(self) -> None:
        """Guards against events of a fast engine that arrive late at the caller."""
        pace = self.pacer.start()
        for _ in range(4000):
            self.assertEqual(0.0, pace.delay_s(EVENT_BYTES))
            self.clock.advance(1 / 400)
        self.assertFalse(pace.is_exceeded)

    def test_sound_stream_of_short_events_is_never_delayed(self) -> None:
        """Guards against a count of events that delays the tokens of a fast engine."""
        pace = self.pacer.start()
        for _ in range(4000):
            self.assertEqual(0.0, pace.delay_s(relay_cost_bytes(SHORT_EVENT)))
            self.clock.advance(1 / 400)

    def test_floods_of_short_events_are_bounded_by_their_number(self) -> None:
        """Guards against short events that use up the processor within the rates in bytes."""
        floods = [self.pacer.start() for _ in range(4)]
        piece = SHORT_EVENT * (PIECE_BYTES // len(SHORT_EVENT))
        began_s = self.clock.monotonic_s()
        free_s = [began_s] * len(floods)
        events = 0
        while self.clock.monotonic_s() < began_s + 20.0:
            for number, flood in enumerate(floods):
                if self.clock.monotonic_s() >= free_s[number]:
                    events += piece.count(SHORT_EVENT)
                    delay_s = flood.delay_s(relay_cost_bytes(piece))
                    free_s[number] = self.clock.monotonic_s() + delay_s
            self.clock.advance(0.01)
        allowed_bytes = len(floods) * (STREAM_BURST_BYTES + 20.0 * STREAM_BYTES_PER_S)
        allowed_bytes += 20.0 * EXCESS_BYTES_PER_S
        allowed = allowed_bytes / MIN_ENGINE_EVENT_BYTES + len(floods) * piece.count(SHORT_EVENT)
        self.assertLess(events, allowed)

    def test_burst_after_a_pause_is_not_delayed(self) -> None:
        """Guards against a stream that is delayed since its link held it back."""
        pace = self.pacer.start()
        self.assertEqual(0.0, pace.delay_s(STREAM_BURST_BYTES))
        self.clock.advance(STREAM_BURST_BYTES / STREAM_BYTES_PER_S)
        self.assertEqual(0.0, pace.delay_s(STREAM_BURST_BYTES))

    def test_floods_share_one_rate_and_delay_no_other_stream(self) -> None:
        """Guards against several faulty targets that together use up the processor."""
        floods = [self.pacer.start() for _ in range(5)]
        began_s = self.clock.monotonic_s()
        free_s = [began_s] * len(floods)
        relayed_bytes = 0
        while self.clock.monotonic_s() < began_s + 20.0:
            for number, flood in enumerate(floods):
                if self.clock.monotonic_s() >= free_s[number]:
                    relayed_bytes += PIECE_BYTES
                    free_s[number] = self.clock.monotonic_s() + flood.delay_s(PIECE_BYTES)
            self.assertEqual(0.0, self.pacer.start().delay_s(EVENT_BYTES))
            self.clock.advance(0.01)
        allowed_bytes = len(floods) * (STREAM_BURST_BYTES + 20.0 * STREAM_BYTES_PER_S)
        allowed_bytes += 20.0 * EXCESS_BYTES_PER_S + len(floods) * PIECE_BYTES
        self.assertLess(relayed_bytes, allowed_bytes)
        self.assertTrue(all(flood.is_exceeded for flood in floods))


class SplitChunksTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_chunk_is_relayed_in_several_turns(self) -> None:
        """Guards against an event loop that one chunk with thousands of events occupies."""

        async def chunks() -> AsyncIterator[bytes]:
            yield bytes(2 * PIECE_BYTES + 1)
            yield b"x"

        pieces = [piece async for piece in split_chunks(chunks())]
        self.assertEqual([PIECE_BYTES, PIECE_BYTES, 1, 1], [len(piece) for piece in pieces])


if __name__ == "__main__":
    unittest.main()
