"""Byte budget for traffic to other regions.

All routers of a region share its link, so each one uses an equal share of the rate. Responses
are charged when they arrive and may overdraw the budget; new requests then stay local until it has
recovered.
"""

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

# Capacity of the bucket in seconds at the full rate.
BURST_S = 1.0


class LinkBudget:
    """Token bucket of bytes between this region and the others.

    :param clock: time source.
    """

    __slots__ = ("_bytes_per_s", "_clock", "_refilled_s", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bytes_per_s = 0.0
        self._tokens: float | None = None
        self._refilled_s = clock.monotonic_s()

    def set_rate(self, link_bytes_per_s: float, routers: int) -> None:
        """Set the rate of the region's link and the number of routers that share it."""
        self._refill()
        self._bytes_per_s = link_bytes_per_s / max(1, routers)
        capacity_bytes = self._bytes_per_s * BURST_S
        self._tokens = capacity_bytes if self._tokens is None else min(capacity_bytes, self._tokens)

    def allows(self, size_bytes: int) -> bool:
        """Whether a request of this size may leave the region; a full bucket allows any size."""
        self._refill()
        if not self._bytes_per_s or self._tokens is None:
            return False
        return self._tokens >= min(size_bytes, self._bytes_per_s * BURST_S)

    def wait_s(self, size_bytes: int) -> float | None:
        """Seconds until a request of this size may leave the region, or None without a link."""
        if self.allows(size_bytes):
            return 0.0
        if not self._bytes_per_s or self._tokens is None:
            return None
        required_bytes = min(size_bytes, self._bytes_per_s * BURST_S)
        return (required_bytes - self._tokens) / self._bytes_per_s

    def charge(self, size_bytes: int, region: str) -> None:
        """Deduct bytes that were sent to or received from another region.

        :param region: region at the other end.
        """
        self._refill()
        self._tokens = (self._tokens or 0.0) - size_bytes
        metrics.LINK_BYTES.add({"region": region}, size_bytes)

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._tokens is not None:
            refill = (now_s - self._refilled_s) * self._bytes_per_s
            self._tokens = min(self._bytes_per_s * BURST_S, self._tokens + refill)
        self._refilled_s = now_s
