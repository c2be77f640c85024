"""Request rate limits of one router: a token bucket for each customer."""

from dataclasses import dataclass

from coltsfootfront.common.clock import Clock

# Bucket capacity, in seconds of the sustained rate.
BURST_S = 1.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_s: float


class RateLimiter:
    """Limits the request rate of each customer.

    :param clock: time source.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def try_acquire(self, customer: str, requests_per_s: float) -> float | None:
        """Take one token from a customer's bucket.

        :param customer: name from the configuration, which bounds the number of buckets.
        :param requests_per_s: sustained rate of the customer.
        :returns: None if the request is allowed, else the seconds until the next token.
        """
        now_s = self._clock.monotonic_s()
        capacity = max(1.0, requests_per_s * BURST_S)
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(capacity, now_s)
            self._buckets[customer] = bucket
        refill = (now_s - bucket.refilled_s) * requests_per_s
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.refilled_s = now_s
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / max(requests_per_s, 0.001)
        bucket.tokens -= 1.0
        return None

    def keep_only(self, customers: set[str]) -> None:
        """Remove the buckets of customers that are no longer configured."""
        for name in self._buckets.keys() - customers:
            del self._buckets[name]
