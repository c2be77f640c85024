"""Reports which connections were closed and which requests refused for want of room."""

from collections import Counter

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event

# Shortest time between two lines; a crowd has thousands of connections.
LOG_INTERVAL_S = 5.0

log = logbook.Logger(__name__)


class LimitReport:
    """Counts by reason, in a metric and in one line for all since the last one.

    :param group: whose connections they are.
    """

    def __init__(self, group: str, clock: Clock) -> None:
        self._group = group
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._logged_s = -LOG_INTERVAL_S

    def count(self, reason: str) -> None:
        """Count one connection or request."""
        metrics.MEMORY_LIMITS.inc({"group": self._group, "reason": reason})
        self._counts[reason] += 1
        self.flush()

    async def run(self) -> None:
        """Run the loop that logs what no later connection would bring into the log."""
        while True:
            await self._clock.sleep(LOG_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Log what has been counted, if the last line is long enough ago."""
        now_s = self._clock.monotonic_s()
        if not self._counts or now_s - self._logged_s < LOG_INTERVAL_S:
            return
        counts = ",".join(f"{reason}:{count}" for reason, count in sorted(self._counts.items()))
        log.warning(event("connections_limited", group=self._group, counts=counts))
        self._counts.clear()
        self._logged_s = now_s
