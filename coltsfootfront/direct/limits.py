"""Limits on the requests that a target accepts from all routers together.

Decisions that need no network: when a target's limit admits another request, how much of it each
router asks for, and when a refused caller can expect to be served.
"""

import math
from dataclasses import dataclass

# Lowest rate at which permits are issued, so that routers notice within 5 s that a target which
# accepts nearly nothing no longer names its limit.
MIN_RATE_PER_S = 0.2
# Unused permits accumulate for this long; with one more, it is the largest burst.
BURST_S = 0.5
# Half-life of the demand from which the shares of the routers are derived.
DEMAND_HALF_LIFE_S = 5.0
# Demand below this is forgotten.
MIN_DEMAND = 0.01


def permit_interval_s(rate_per_s: float) -> float:
    """Time between two permits at a rate."""
    return 1.0 / max(rate_per_s, MIN_RATE_PER_S)


@dataclass(slots=True)
class TargetLimit:
    """Limit that a target names in its responses, as one router sees it.

    :param rate_per_s: requests per second from all routers together.
    :param since_s: monotonic time since which this router knows of a limit of the target.
    :param named_s: monotonic time at which this router last learned that the limit is in force.
    :param source: who reported the rate, for the log.
    :param blocked_until_s: monotonic time until which no permit is available.
    :param share: share of the permits that this router gets, by the demand of all routers.
    :param granted: permits that this router has got.
    :param denied: permits that this router has asked for and not got.
    :param unmet_demand: refused requests that have not been reported as demand yet.
    :param promised_s: latest monotonic time at which a refused caller was told to return.
    """

    rate_per_s: float
    since_s: float
    named_s: float
    source: str
    blocked_until_s: float = -math.inf
    share: float = 1.0
    granted: int = 0
    denied: int = 0
    unmet_demand: int = 0
    promised_s: float = -math.inf

    def change_rate(self, rate_per_s: float, now_s: float, source: str) -> None:
        """Set another rate, at which permits may be available sooner."""
        self.rate_per_s = rate_per_s
        self.named_s = now_s
        self.source = source
        self.blocked_until_s = self.promised_s = -math.inf

    def take_demand(self) -> int:
        """Demand to report with a request for one permit."""
        demand, self.unmet_demand = self.unmet_demand + 1, 0
        return demand

    def expected_return_s(self, now_s: float) -> float:
        """Monotonic time at which one more refused caller can expect a permit.

        Callers that were told to return earlier come first.
        """
        interval_s = permit_interval_s(self.rate_per_s * self.share)
        return max(now_s, self.blocked_until_s, self.promised_s + interval_s)

    def record_refusal(self, return_s: float, deadline_s: float) -> None:
        """Record that a caller was refused and told to return at a time.

        A caller whose deadline passes before does not return.
        """
        self.unmet_demand += 1
        if return_s < deadline_s:
            self.promised_s = return_s


class PermitSchedule:
    """Spaces the permits for requests to one target by the rate that the target accepts.

    The schedule begins without accumulated permits, since requests may have been permitted by
    another issuer until then.

    :param now_s: monotonic time.
    """

    __slots__ = ("_next_s", "_rate_per_s")

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._next_s = now_s + permit_interval_s(rate_per_s)

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Set the rate; a higher one takes effect without waiting for the next permit."""
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._next_s = min(self._next_s, now_s + permit_interval_s(rate_per_s))

    def reserve(self, max_wait_s: float, now_s: float) -> tuple[bool, float]:
        """Reserve the next permit if it is available soon enough.

        :param max_wait_s: longest time until the permit may be used.
        :returns: whether it is reserved, and the time in seconds until it is available.
        """
        at_s = max(self._next_s, now_s - BURST_S)
        wait_s = max(0.0, at_s - now_s)
        if wait_s > max_wait_s:
            return False, wait_s
        self._next_s = at_s + permit_interval_s(self._rate_per_s)
        return True, wait_s


class DemandShares:
    """Shares of the routers in the recent demand for one target."""

    __slots__ = ("_demand", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._demand: dict[str, float] = {}
        self._updated_s = now_s

    def add(self, router: str, demand: int, now_s: float) -> float:
        """Add demand of a router.

        :returns: the router's share of the demand of all routers, 0 to 1.
        """
        weight: float = 0.5 ** (max(0.0, now_s - self._updated_s) / DEMAND_HALF_LIFE_S)
        self._updated_s = now_s
        self._demand = {
            name: value * weight
            for name, value in self._demand.items()
            if value * weight >= MIN_DEMAND
        }
        self._demand[router] = self._demand.get(router, 0.0) + demand
        return self._demand[router] / sum(self._demand.values())
