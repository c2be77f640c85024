"""Brings a router's copy of the store up to date while callers wait.

The age of a copy says how old its contents may be by what has arrived, and when it was read here: a
router that stands still, or whose path to the store does, learns late that it lacks something. What
must not be decided by an older copy waits for a read that begins after the question came.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import describe
from coltsfootfront.common.logs import event
from coltsfootfront.direct.freshness import Freshness

log = logbook.Logger(__name__)

# Shortest time between the beginnings of two reads. All that wait share one.
MIN_READ_INTERVAL_S = 0.1


class CopyUpdate:
    """Shares reads of the store among all that need a copy as of their own moment.

    :param clock: time source.
    :param freshness: told by the reads of what the copy has.
    :param read: brings the copy up to date, or returns without having done so.
    """

    __slots__ = ("_begun_s", "_clock", "_freshness", "_read", "_reading")

    def __init__(
        self, clock: Clock, freshness: Freshness, read: Callable[[], Awaitable[object]]
    ) -> None:
        self._clock = clock
        self._freshness = freshness
        self._read = read
        self._reading: asyncio.Task[None] | None = None
        self._begun_s = -math.inf
        """Monotonic time at which the latest read began."""

    async def wait(self, since_s: float, limit_s: float) -> bool:
        """Wait until the copy has every change of before a moment.

        :param since_s: monotonic time of the moment.
        :param limit_s: longest wait in seconds.
        :returns: False if it could not be read in time.
        """
        until_s = self._clock.monotonic_s() + limit_s
        while not self._freshness.is_complete_at(since_s):
            is_reading = self._reading is not None and not self._reading.done()
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0 or (not is_reading and self._begun_s >= since_s):
                return False
            if self._reading is None or not is_reading:
                self._reading = asyncio.create_task(self._read_once())
            await asyncio.wait((self._reading,), timeout=left_s)
        return True

    async def _read_once(self) -> None:
        pause_s = self._begun_s + MIN_READ_INTERVAL_S - self._clock.monotonic_s()
        if pause_s > 0:
            await self._clock.sleep(pause_s)
        self._begun_s = self._clock.monotonic_s()
        try:
            await self._read()
        except Exception as error:
            log.error(event("copy_not_updated", reason=describe(error)))
