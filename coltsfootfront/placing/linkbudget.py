"""Byte budget for requests that leave the region.

The link is shared by all routers of a region, so each one takes an equal share of its rate.
Answers are charged when they arrive and may overdraw the budget; new requests then stay local
until it has recovered.
"""

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

# Bytes of this many seconds may leave at once.
BURST_S = 1.0


class LinkBudget:
    """Token bucket of bytes between this region and the others.

    :param clock: time source.
    """

    __slots__ = ("_bytes_per_s", "_clock", "_filled_s", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bytes_per_s = 0.0
        self._tokens: float | None = None
        self._filled_s = clock.monotonic_s()

    def set_rate(self, link_bytes_per_s: float, routers: int) -> None:
        """Set the rate of the region's link and the number of routers that share it."""
        self._fill()
        self._bytes_per_s = link_bytes_per_s / max(1, routers)
        size = self._bytes_per_s * BURST_S
        self._tokens = size if self._tokens is None else min(size, self._tokens)

    def allows(self, size_bytes: int) -> bool:
        """Whether a request of this size may cross now; one of any size may when it is full."""
        self._fill()
        if not self._bytes_per_s or self._tokens is None:
            return False
        return self._tokens >= min(size_bytes, self._bytes_per_s * BURST_S)

    def wait_s(self, size_bytes: int) -> float | None:
        """Seconds until a request of this size may cross, or None when none ever may."""
        if self.allows(size_bytes):
            return 0.0
        if not self._bytes_per_s or self._tokens is None:
            return None
        wanted = min(size_bytes, self._bytes_per_s * BURST_S)
        return (wanted - self._tokens) / self._bytes_per_s

    def charge(self, size_bytes: int, region: str) -> None:
        """Count bytes that crossed.

        :param region: region at the other end.
        """
        self._fill()
        self._tokens = (self._tokens or 0.0) - size_bytes
        metrics.LINK_BYTES.add({"region": region}, size_bytes)

    def _fill(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._tokens is not None:
            gained = (now_s - self._filled_s) * self._bytes_per_s
            self._tokens = min(self._bytes_per_s * BURST_S, self._tokens + gained)
        self._filled_s = now_s
