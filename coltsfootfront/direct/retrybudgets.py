"""Retry budgets that routers keep to without asking each other.

A service may get no more repeats, from all routers together, than a share of its requests and a
fixed number in a window. Each router takes the share of its own requests and an equal part of
the fixed number.
"""

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.retries import WINDOW_S, RetryBudget

# Part of the allowance that is used; the rest covers requests that reach targets late.
USED_SHARE = 0.8


class ServiceRetryBudgets:
    """One retry budget for each service.

    :param clock: time source.
    :param ratio: repeats allowed for each request, over all routers.
    :param fixed: repeats allowed in a window besides, over all routers.
    :param window_s: length of the window in seconds.
    """

    __slots__ = ("_budgets", "_clock", "_fixed", "_ratio", "_routers", "_window_s")

    def __init__(self, clock: Clock, ratio: float, fixed: float, window_s: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._fixed = fixed
        self._window_s = window_s
        self._routers = 1
        self._budgets: dict[str, RetryBudget] = {}

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that share the fixed part."""
        if routers != self._routers:
            self._routers = max(1, routers)
            for budget in self._budgets.values():
                budget.set_floor(self._floor_per_s())

    def set_limits(self, ratio: float, fixed: float, window_s: float) -> None:
        """Set the allowance; budgets start anew."""
        self._ratio, self._fixed, self._window_s = ratio, fixed, window_s
        self._budgets.clear()

    def get(self, service: str) -> RetryBudget:
        """Budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._ratio * USED_SHARE
            budget = self._budgets[service] = RetryBudget(self._clock, ratio, self._floor_per_s())
        return budget

    def _floor_per_s(self) -> float:
        window_s = max(self._window_s, WINDOW_S)
        return self._fixed * USED_SHARE / self._routers / window_s
