"""Detects pauses of the process, such as a suspended VM, by gaps in the event loop."""

from collections.abc import Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event

log = logbook.Logger(__name__)


class PauseDetector:
    """Detects that the event loop was stalled, for example while the VM was suspended.

    The monotonic clock runs on during a pause, so a late periodic check reveals it. Code that must
    not act on stale state calls :meth:`check` first, because after a pause it may run before the
    periodic check.

    :param clock: time source.
    :param limit_s: longest gap between checks that counts as normal, in seconds.
    :param on_pause: called with the length of a detected pause in seconds.
    """

    def __init__(self, clock: Clock, limit_s: float, on_pause: Callable[[float], None]) -> None:
        self._clock = clock
        self._limit_s = limit_s
        self._on_pause = on_pause
        self._last_check_s = clock.monotonic_s()

    def check(self) -> bool:
        """Compare the clock with the time of the last check.

        :returns: whether the process was paused since then.
        """
        now_s = self._clock.monotonic_s()
        gap_s = now_s - self._last_check_s
        self._last_check_s = now_s
        if gap_s <= self._limit_s:
            return False
        metrics.CONNECTION_EVENTS.inc({"event": "process_paused"})
        log.warning(event("process_paused", gap_s=gap_s))
        self._on_pause(gap_s)
        return True

    async def run(self) -> None:
        """Check periodically until cancelled."""
        self._last_check_s = self._clock.monotonic_s()
        while True:
            await self._clock.sleep(self._limit_s / 4)
            self.check()
