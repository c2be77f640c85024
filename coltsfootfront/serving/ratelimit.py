"""Token bucket for each customer at one router."""

from dataclasses import dataclass

from coltsfootfront.common.clock import Clock

# A customer may send the requests of this many seconds at once.
BURST_S = 1.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_s: float


class RateLimiter:
    """Limits the request rate of each customer.

    :param clock: time source.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def try_acquire(self, customer: str, requests_per_s: float) -> float | None:
        """Take one request out of a customer's bucket.

        :param customer: name out of the document, which bounds the number of buckets.
        :param requests_per_s: sustained rate in force.
        :returns: None, or the seconds after which a request would be taken.
        """
        now_s = self._clock.monotonic_s()
        size = max(1.0, requests_per_s * BURST_S)
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(size, now_s)
            self._buckets[customer] = bucket
        gained = (now_s - bucket.filled_s) * requests_per_s
        bucket.tokens = min(size, bucket.tokens + gained)
        bucket.filled_s = now_s
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / max(requests_per_s, 0.001)
        bucket.tokens -= 1.0
        return None

    def keep_only(self, customers: set[str]) -> None:
        """Forget customers that left the document."""
        for name in self._buckets.keys() - customers:
            del self._buckets[name]
