"""Decides which requests a stopping router still passes on."""

import math

from coltsfootfront.direct.routingconfig import RetryPolicy, Route

# Nearly all requests finish within this time.
TYPICAL_MAX_REQUEST_S = 5.0
# Time before the exit by which a response must have begun, so that an error response can still be
# sent instead.
RESPONSE_MARGIN_S = 0.2


class StopSchedule:
    """Times of a planned stop.

    :param exit_at_s: monotonic time at which this process exits, infinite until it is stopped.
    """

    __slots__ = ("exit_at_s",)

    def __init__(self, exit_at_s: float = math.inf) -> None:
        self.exit_at_s = exit_at_s

    @property
    def respond_by_s(self) -> float:
        """Monotonic time by which every response must have begun."""
        return self.exit_at_s - RESPONSE_MARGIN_S

    def may_pass_on(
        self,
        route: Route,
        deadline_s: float,
        now_s: float,
        may_have_run: bool = False,
        has_response_begun: bool = False,
    ) -> bool:
        """Whether a request may be sent to a target now.

        Callers can repeat a request with another policy than ``ONCE`` if it is not finished.

        :param deadline_s: monotonic time by which the request ends, whatever the target does.
        :param may_have_run: whether it was sent before, so that a refusal is a failure and not
            "not run".
        :param has_response_begun: whether the caller has received a part of the response, which
            would break off if the request were not sent.
        """
        remaining_s = self.respond_by_s - now_s
        if has_response_begun:
            return remaining_s > 0
        needed_s = deadline_s - now_s
        if route.retry_policy is not RetryPolicy.ONCE:
            usual_s = route.latency_objective_s if may_have_run else TYPICAL_MAX_REQUEST_S
            needed_s = min(needed_s, usual_s)
        return needed_s <= remaining_s
