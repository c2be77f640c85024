"""Retry budget and delay between attempts."""

import math
import random
from collections import deque
from dataclasses import dataclass

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

# Sliding window over which requests and retries are counted.
WINDOW_S = 10.0
# Time from the decision to retry until the retry reaches its target. Retries decided within more
# than a window may arrive within one.
MAX_RETRY_LATENCY_S = 0.5
# Routers that start together have read each other's entries after this time.
ROSTER_SETTLE_S = 3.0
# Share of the budget for the first window after a start. The process before may have spent the
# whole budget right before, and the users allow a quarter more than that.
SHARE_AFTER_START = 0.25
# Without a delay, rejections by many targets at once would cause a burst of retries.
BASE_DELAY_S = 0.02
MAX_DELAY_S = 0.5


@dataclass(slots=True)
class _SecondBucket:
    start_s: float
    requests: int = 0


class RetryBudget:
    """Limits retries to a share of recent requests plus a floor.

    :param clock: time source.
    :param ratio: retries allowed for each request within the window.
    :param floor_per_s: retries per second allowed in addition.
    :param started_s: monotonic time at which this process took the place of one whose retries it
        does not know.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_floor_per_s",
        "_ratio",
        "_requests",
        "_retries_s",
        "_started_s",
    )

    def __init__(
        self, clock: Clock, ratio: float, floor_per_s: float, started_s: float = -math.inf
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._started_s = started_s
        self._buckets: deque[_SecondBucket] = deque()
        self._requests = 0
        self._retries_s: deque[float] = deque()
        """Monotonic time of each retry that counts; buckets would forget some of them early."""

    def set_floor(self, floor_per_s: float) -> None:
        """Set the retries per second that are allowed in addition to the share."""
        self._floor_per_s = floor_per_s

    def set_ratio(self, ratio: float) -> None:
        """Set the retries that are allowed for each request."""
        self._ratio = ratio

    def can_spend(self) -> bool:
        """Whether the budget allows a retry now."""
        self._current_bucket()
        share, accrued_s = 1.0, WINDOW_S
        age_s = self._clock.monotonic_s() - self._started_s
        if age_s < WINDOW_S + MAX_RETRY_LATENCY_S:
            share, accrued_s = SHARE_AFTER_START, max(0.0, age_s - ROSTER_SETTLE_S)
        allowed = share * (self._requests * self._ratio + self._floor_per_s * accrued_s)
        return self.count_retries() + 1 <= allowed

    def record_request(self) -> None:
        """Count one new request."""
        self._current_bucket().requests += 1
        self._requests += 1

    def try_spend(self, reason: str) -> bool:
        """Spend one retry of the budget.

        :param reason: value of the error kind that makes the retry necessary.
        :returns: False when the budget is exhausted.
        """
        if not self.can_spend():
            metrics.RETRIES_DENIED.inc({"reason": reason})
            return False
        self._record_retry(reason)
        return True

    def spend_unconditionally(self, reason: str) -> None:
        """Count a retry even when the budget is exhausted, such as the resumption of a stream."""
        self._record_retry(reason)

    def _record_retry(self, reason: str) -> None:
        self._retries_s.append(self._clock.monotonic_s())
        metrics.count_retry(reason)

    def count_retries(self) -> int:
        """Count the retries of the window."""
        oldest_s = self._clock.monotonic_s() - WINDOW_S - MAX_RETRY_LATENCY_S
        while self._retries_s and self._retries_s[0] < oldest_s:
            self._retries_s.popleft()
        return len(self._retries_s)

    def _current_bucket(self) -> _SecondBucket:
        now_s = self._clock.monotonic_s()
        while self._buckets and now_s - self._buckets[0].start_s > WINDOW_S:
            expired = self._buckets.popleft()
            self._requests -= expired.requests
        if not self._buckets or now_s - self._buckets[-1].start_s >= 1.0:
            self._buckets.append(_SecondBucket(now_s))
        return self._buckets[-1]


def backoff_delay_s(retry: int, generator: random.Random) -> float:
    """Delay before a retry, with full jitter.

    :param retry: number of the retry, from 1; the first one is sent at once.
    :param generator: source of randomness.
    :returns: seconds.
    """
    if retry <= 1:
        return 0.0
    return generator.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2.0**retry))
