"""Retry budgets that limit the retries of all routers without coordination.

In a window, a service may get a share of its requests and a fixed number as retries, from all
routers together. Each router may use that share of its own requests and an equal part of the fixed
number. A router that has started knows neither the retries of the process before it nor, for some
seconds, how many others there are, so it uses a small share of both for a window.
"""

import math

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.retries import WINDOW_S, RetryBudget

# Share of the budget that is used; the rest covers requests that reach targets late, and retries
# of routers that have started.
BUDGET_SHARE = 0.8


class ServiceRetryBudgets:
    """One retry budget for each service.

    :param clock: time source.
    :param ratio: retries allowed per request, over all routers.
    :param fixed: additional retries allowed in a window, over all routers.
    :param window_s: length of the window in seconds.
    :param started_s: monotonic time at which this process took the place of one whose retries it
        does not know.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_fixed",
        "_ratio",
        "_routers",
        "_started_s",
        "_window_s",
    )

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        fixed: float,
        window_s: float,
        started_s: float = -math.inf,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._fixed = fixed
        self._window_s = window_s
        self._started_s = started_s
        self._routers = 1
        self._budgets: dict[str, RetryBudget] = {}

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that share the fixed number of retries."""
        if routers != self._routers:
            self._routers = max(1, routers)
            for budget in self._budgets.values():
                budget.set_floor(self._floor_per_s())

    def set_limits(self, ratio: float, fixed: float, window_s: float) -> None:
        """Set the limits; what has been counted stays counted."""
        self._ratio, self._fixed, self._window_s = ratio, fixed, window_s
        for budget in self._budgets.values():
            budget.set_ratio(ratio * BUDGET_SHARE)
            budget.set_floor(self._floor_per_s())

    def get(self, service: str) -> RetryBudget:
        """Retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._ratio * BUDGET_SHARE
            budget = self._budgets[service] = RetryBudget(
                self._clock, ratio, self._floor_per_s(), self._started_s
            )
        return budget

    def _floor_per_s(self) -> float:
        window_s = max(self._window_s, WINDOW_S)
        return self._fixed * BUDGET_SHARE / self._routers / window_s
