"""Expected time of a plain call at a target, from the work that the target still has to do.

Answers calls of varying work at targets with few slots: on two recorded days the time of a call
varied by a factor of four to six within a route and fifty between routes, while customers of a
route hardly differed. Mean and spread are therefore learned by route.
"""

import math
from dataclasses import dataclass

from coltsfootfront.costs.pace import TargetPace

# Before the first outcome of a route, its calls count as these: the work of a usual call, with the
# spread of an exponential distribution, and the weight of this many outcomes.
PRIOR_MEAN_S = 0.06
PRIOR_SPREAD = 1.0
PRIOR_CALLS = 4.0
# Calls whose weight adds up to this; older ones lose theirs.
MAX_CALLS = 200.0
# Routes whose work is kept; beyond it, further ones count as the mean of all.
MAX_ROUTES = 256
# Longer times are a fault of the target, not work.
MAX_CALL_S = 5.0


@dataclass(frozen=True, slots=True)
class CallCost:
    """Expected times of a call at one target.

    :param wait_s: until a slot is free.
    :param work_s: work of the call at the target.
    :param spread: standard deviation of calls of its route, in proportion to their mean.
    """

    wait_s: float
    work_s: float
    spread: float

    @property
    def total_s(self) -> float:
        """Expected time until the response."""
        return self.wait_s + self.work_s


class RouteWork:
    """Mean and spread of the work of a route's calls at a target of usual pace."""

    __slots__ = ("_calls", "_square_s2", "mean_s")

    def __init__(self, mean_s: float, spread: float = PRIOR_SPREAD) -> None:
        self._calls = PRIOR_CALLS
        self.mean_s = mean_s
        self._square_s2 = mean_s * mean_s * (1 + spread * spread)

    @property
    def spread2(self) -> float:
        """Square of the standard deviation in proportion to the mean, at most 4."""
        return min(4.0, max(0.0, self._square_s2 / (self.mean_s * self.mean_s) - 1))

    def record(self, work_s: float) -> None:
        """Add the work of a call."""
        self._calls = min(MAX_CALLS, self._calls + 1)
        share = 1 / self._calls
        self.mean_s += share * (work_s - self.mean_s)
        self._square_s2 += share * (work_s * work_s - self._square_s2)

    def remaining_s(self, elapsed_s: float) -> float:
        """Expected rest of a call's work.

        Calls of equal work end at the mean. The more they vary, the more a call that has taken
        longer is one of the large ones; at the spread of an exponential distribution nothing is
        known of the rest.
        """
        return max(self.mean_s - elapsed_s, min(1.0, self.spread2) * self.mean_s)


class PendingCalls:
    """Calls of this router that a target has not answered yet."""

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: dict[int, tuple[RouteWork, float]] = {}

    def begin(self, key: int, work: RouteWork, now_s: float) -> None:
        """Add a call; the key identifies it among those under way."""
        self._calls[key] = (work, now_s)

    def end(self, key: int) -> None:
        """Remove a call, if it is there."""
        self._calls.pop(key, None)

    def remaining_s(self, pace: float, now_s: float) -> float:
        """Work that is left of them at a target of usual pace."""
        return sum(
            work.remaining_s(max(0.0, now_s - began_s) / pace)
            for work, began_s in self._calls.values()
        )

    def __len__(self) -> int:
        return len(self._calls)


class CallModel:
    """Estimates times of calls at the targets of one service."""

    __slots__ = ("_all", "_routes")

    def __init__(self) -> None:
        self._all = RouteWork(PRIOR_MEAN_S)
        self._routes: dict[str, RouteWork] = {}

    def route(self, name: str) -> RouteWork:
        """Work of a route's calls."""
        work = self._routes.get(name)
        if work is not None:
            return work
        if len(self._routes) >= MAX_ROUTES:
            return self._all
        return self._routes.setdefault(name, RouteWork(self._all.mean_s))

    def estimate(
        self,
        route: str,
        calls: PendingCalls,
        load: int,
        slots: int,
        pace: TargetPace,
        now_s: float,
    ) -> CallCost:
        """Estimate the times of a call at a target.

        :param calls: calls of this router there.
        :param load: estimated number of requests there, from all routers.
        """
        work = self.route(route)
        factor = pace.expected(now_s)
        others = max(0, load - len(calls))
        # A call under way in which one looks at a random time has this much left.
        residual_s = self._all.mean_s * (1 + self._all.spread2) / 2
        ahead_s = calls.remaining_s(factor, now_s) + others * residual_s
        wait_s = factor * ahead_s / max(1, slots) * _waiting_share(load, slots)
        work_s = pace.time_s(factor * work.mean_s, now_s)
        return CallCost(wait_s, work_s, math.sqrt(work.spread2))

    def record(self, route: str, cost: CallCost, took_s: float, pace: float) -> None:
        """Learn from the time of a call.

        :param cost: estimate when it was placed.
        :param pace: pace of its target when it was placed.
        """
        if took_s > MAX_CALL_S:
            return
        # A call that has waited tells little of its own work.
        if cost.wait_s > cost.work_s / 2:
            return
        work_s = max(0.0, took_s - cost.wait_s) / pace
        work = self.route(route)
        work.record(work_s)
        if work is not self._all:
            self._all.record(work_s)


def _waiting_share(load: int, slots: int) -> float:
    """Share of the work ahead that a call waits for.

    All of it when the slots are taken. Below that a call waits only if others, unknown to this
    router, have come in the meantime, which is the likelier the fewer slots are free.
    """
    if load >= slots:
        return 1.0
    share = load / max(1, slots)
    return share * share * share
