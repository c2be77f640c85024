"""Retry budgets that limit the retries of all routers without coordination.

In a window, a service may get a share of its requests and a fixed number as retries, from all
routers together. Each router may use that share of its own requests and an equal part of the fixed
number. A router that has started knows neither the retries of the process before it nor, for some
seconds, how many others there are, so its part of the fixed number accrues from then on.
"""

import math

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.retries import WINDOW_S, RetryBudget

# Share of the budget that is used; the rest covers requests that reach targets late.
BUDGET_SHARE = 0.8
# Routers that start together have read each other's entries after this time.
ROSTER_SETTLE_S = 3.0


class ServiceRetryBudgets:
    """One retry budget for each service.

    :param clock: time source.
    :param ratio: retries allowed per request, over all routers.
    :param fixed: additional retries allowed in a window, over all routers.
    :param window_s: length of the window in seconds.
    :param fixed_from_s: monotonic time from which the fixed number accrues.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_fixed",
        "_fixed_from_s",
        "_ratio",
        "_routers",
        "_window_s",
    )

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        fixed: float,
        window_s: float,
        fixed_from_s: float = -math.inf,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._fixed = fixed
        self._window_s = window_s
        self._fixed_from_s = fixed_from_s
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
                self._clock, ratio, self._floor_per_s(), self._fixed_from_s
            )
        return budget

    def _floor_per_s(self) -> float:
        window_s = max(self._window_s, WINDOW_S)
        return self._fixed * BUDGET_SHARE / self._routers / window_s
