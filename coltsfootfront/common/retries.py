"""Retry budget and delay between attempts."""

import random
from collections import deque
from dataclasses import dataclass

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

# Requests and retries of this time decide on further retries.
WINDOW_S = 10.0
# Without a delay, a refusal that many targets give at once would be met by a burst.
BASE_DELAY_S = 0.02
MAX_DELAY_S = 0.5


@dataclass(slots=True)
class _Second:
    start_s: float
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits retries to a share of recent requests plus a floor.

    :param clock: time source.
    :param ratio: retries allowed for each recent request.
    :param floor_per_s: retries allowed regardless of the share.
    """

    __slots__ = ("_clock", "_floor_per_s", "_ratio", "_requests", "_retries", "_seconds")

    def __init__(self, clock: Clock, ratio: float, floor_per_s: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._seconds: deque[_Second] = deque()
        self._requests = 0
        self._retries = 0

    def set_floor(self, floor_per_s: float) -> None:
        """Set the number of retries that are allowed regardless of the share."""
        self._floor_per_s = floor_per_s

    def record_request(self) -> None:
        """Count one new request."""
        self._current().requests += 1
        self._requests += 1

    def try_spend(self, reason: str) -> bool:
        """Take one retry out of the budget.

        :param reason: value of the error kind that makes the retry necessary.
        :returns: False when the budget is used up.
        """
        current = self._current()
        allowed = self._requests * self._ratio + self._floor_per_s * WINDOW_S
        if self._retries + 1 > allowed:
            metrics.RETRIES_DENIED.inc({"reason": reason})
            return False
        self._spend(current, reason)
        return True

    def spend_unconditionally(self, reason: str) -> None:
        """Count a retry that is not refused, such as the continuation of a started stream."""
        self._spend(self._current(), reason)

    def _spend(self, current: _Second, reason: str) -> None:
        current.retries += 1
        self._retries += 1
        metrics.count_retry(reason)

    def _current(self) -> _Second:
        now_s = self._clock.monotonic_s()
        while self._seconds and now_s - self._seconds[0].start_s > WINDOW_S:
            gone = self._seconds.popleft()
            self._requests -= gone.requests
            self._retries -= gone.retries
        if not self._seconds or now_s - self._seconds[-1].start_s >= 1.0:
            self._seconds.append(_Second(now_s))
        return self._seconds[-1]


def backoff_delay_s(retry: int, generator: random.Random) -> float:
    """Delay before a retry, with full jitter.

    :param retry: number of the retry, from 1; the first one goes out at once.
    :param generator: source of randomness.
    :returns: seconds.
    """
    if retry <= 1:
        return 0.0
    return generator.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2.0**retry))
