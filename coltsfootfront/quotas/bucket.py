"""Token bucket that admits a request while it is not in debt, whatever the request costs.

A request may cost more than the bucket holds. If it had to wait until the bucket holds its whole
cost, long prompts would starve beside short ones, and one above the burst would never be admitted.
The bucket goes into debt for it instead, so that the rate holds over time.
"""


class TokenBucket:
    """Units that become available at a rate, up to a burst.

    :param rate_per_s: units that become available per second.
    :param burst: largest number of units available.
    :param level: units available at first.
    :param now_s: monotonic time.
    """

    __slots__ = ("_level", "_updated_s", "burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float, level: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(level, burst)
        self._updated_s = now_s

    def level(self, now_s: float) -> float:
        """Units available; below 0 while the bucket is in debt."""
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self._level = min(self.burst, self._level + passed_s * self.rate_per_s)
        return self._level

    def take(self, units: float, now_s: float) -> None:
        """Take units out, or put them back if negative."""
        self._level = min(self.burst, self.level(now_s) - units)

    def set_limit(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst; what a larger burst adds is available at once."""
        level = self.level(now_s) + max(0.0, burst - self.burst)
        self.rate_per_s, self.burst = rate_per_s, burst
        self._level = min(level, burst)

    def set_level(self, level: float, now_s: float) -> None:
        """Set the units available, as learned from another copy of the bucket."""
        self.level(now_s)
        self._level = min(level, self.burst)
