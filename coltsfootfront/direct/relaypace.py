"""Keeps streams that arrive faster than any target generates them from delaying the others.

Relaying events takes processor time, which a faulty target could use up with valid events.
"""

from collections.abc import AsyncIterator

from coltsfootfront.common.clock import Clock

# A fast engine generates 400 tokens a second, in events of a few hundred bytes.
STREAM_BYTES_PER_S = 128 * 1024
# Events that a slow link has held back, or that a target repeats when a stream is resumed.
STREAM_BURST_BYTES = 256 * 1024
# Rate of all that streams send beyond that, which takes some hundredths of a core.
EXCESS_BYTES_PER_S = 256 * 1024
# Least that a line counts for, since short events take as much processor time as long ones. An
# event has three lines and a few hundred bytes.
LINE_BYTES = 85
# Size up to which a stream is relayed in one turn of the event loop.
PIECE_BYTES = 16 * 1024


def relay_cost_bytes(data: bytes) -> int:
    """Size that data of a stream counts for."""
    return max(len(data), data.count(b"\n") * LINE_BYTES)


class ExcessPacer:
    """Rate that all streams share for what they send beyond their allowances.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_free_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_s = 0.0

    def start(self) -> "StreamPace":
        """Return the pace of a stream that begins."""
        return StreamPace(self._clock, self)

    def reserve(self, excess_bytes: float) -> float:
        """Reserve a part of the shared rate.

        :returns: seconds until the bytes may be followed by more.
        """
        now_s = self._clock.monotonic_s()
        self._free_s = max(now_s, self._free_s) + excess_bytes / EXCESS_BYTES_PER_S
        return self._free_s - now_s


class StreamPace:
    """Pace of one stream.

    :param clock: time source.
    :param pacer: what it shares with the other streams.
    """

    __slots__ = ("_allowance_bytes", "_clock", "_pacer", "_updated_s", "is_exceeded")

    def __init__(self, clock: Clock, pacer: ExcessPacer) -> None:
        self._clock = clock
        self._pacer = pacer
        self._allowance_bytes = float(STREAM_BURST_BYTES)
        self._updated_s = clock.monotonic_s()
        self.is_exceeded = False
        """Whether it has sent more than its allowance at any time."""

    def delay_s(self, size_bytes: int) -> float:
        """Count what has arrived.

        :param size_bytes: see :func:`relay_cost_bytes`.
        :returns: seconds after which more may be read, 0 within the allowance.
        """
        now_s = self._clock.monotonic_s()
        refill_bytes = (now_s - self._updated_s) * STREAM_BYTES_PER_S
        self._updated_s = now_s
        allowance_bytes = min(STREAM_BURST_BYTES, self._allowance_bytes + refill_bytes) - size_bytes
        self._allowance_bytes = max(0.0, allowance_bytes)
        if allowance_bytes >= 0:
            return 0.0
        self.is_exceeded = True
        return self._pacer.reserve(-allowance_bytes)


async def split_chunks(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Split chunks into pieces of PIECE_BYTES at most."""
    async for chunk in chunks:
        for offset in range(0, len(chunk), PIECE_BYTES):
            yield chunk[offset : offset + PIECE_BYTES]
