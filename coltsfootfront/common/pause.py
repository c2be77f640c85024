"""Detection of pauses of this process by gaps of the event loop."""

from collections.abc import Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event

log = logbook.Logger(__name__)


class PauseDetector:
    """Notices that the event loop stood still, for example while the VM was stopped.

    The monotonic clock runs on during a pause, so a late tick shows it. Code that must not act
    on old knowledge calls :meth:`check` first, since it may run before the late tick does.

    :param clock: time source.
    :param limit_s: longest gap that counts as normal, in seconds.
    :param on_pause: called with the length of a detected pause in seconds.
    """

    def __init__(self, clock: Clock, limit_s: float, on_pause: Callable[[float], None]) -> None:
        self._clock = clock
        self._limit_s = limit_s
        self._on_pause = on_pause
        self._last_s = clock.monotonic_s()

    def check(self) -> bool:
        """Compare the clock with the last tick.

        :returns: whether a pause was detected just now.
        """
        now_s = self._clock.monotonic_s()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        if gap_s <= self._limit_s:
            return False
        metrics.CONNECTION_EVENTS.inc({"event": "process_paused"})
        log.warning(event("process_paused", gap_s=gap_s))
        self._on_pause(gap_s)
        return True

    async def run(self) -> None:
        """Tick for ever."""
        self._last_s = self._clock.monotonic_s()
        while True:
            await self._clock.sleep(self._limit_s / 4)
            self.check()
