"""State of one request: its attempts, whether it may have run, and its log fields."""

import random
from dataclasses import dataclass, field
from typing import Any

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.crashobserver import Exchange
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.events import StreamValidator
from coltsfootfront.direct.routingconfig import Customer, RetryPolicy, Route, request_urgency
from coltsfootfront.direct.targetselection import Placement, WaitReason
from coltsfootfront.direct.targetwork import AttemptWork

# ``Retry-After`` of a refusal: long enough for a target to finish loading weights.
RETRY_AFTER_S = 0.5
RETRY_JITTER_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# Spreads the retries of callers after a pause that the targets have requested.
PAUSE_JITTER_S = 0.25


@dataclass(slots=True)
class RequestState:
    """State of one request across its attempts.

    :param deadline_s: monotonic time of the caller's deadline or the end of the route's timeout,
        whichever comes first.
    :param attempted: targets that may have run the request.
    :param rejected: targets that reported not having run it; cleared before they are tried again.
    :param sends: number of attempts.
    :param execution_state: whether the request may have been executed.
    :param reason: why the latest failed attempt failed, for the log.
    :param has_response_begun: whether the response to the caller has begun.
    :param placed_s: time from its arrival until a target was chosen.
    :param first_s: time from its arrival until its first event.
    :param longest_pause_s: longest time between two events, None before the second.
    :param answer_begun_s: monotonic time of the first event of the current attempt, None before.
    :param exchange: the current attempt, None before the first.
    :param is_trial: it is sent although it is quarantined.
    :param waited_for: why it last waited for a target.
    :param replacement: reserved for the next attempt, with a retry of the budget, None if nothing
        is reserved.
    :param is_counted: it counts against the quota of its customer.
    :param work: work of the current attempt at its target, None before the first.
    :param build: build at which the stream has to go on, empty before it has begun.
    :param owed_retry: reason of a retry that the budget must allow first, empty if there is none.
    :param silent: targets that were given up for being silent while the caller read their answer.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    deadline_s: float
    attempted: list[str] = field(default_factory=list)
    rejected: set[str] = field(default_factory=set)
    rejections: int = 0
    sends: int = 0
    execution_state: ExecutionState = ExecutionState.NOT_RUN
    reason: str = ""
    has_response_begun: bool = False
    stream_validator: StreamValidator = field(default_factory=StreamValidator)
    placement: Placement | None = None
    status: int = 0
    placed_s: float | None = None
    first_s: float | None = None
    longest_pause_s: float | None = None
    answer_begun_s: float | None = None
    exchange: Exchange | None = None
    is_trial: bool = False
    waited_for: WaitReason | None = None
    replacement: Placement | None = None
    silent: set[str] = field(default_factory=set)
    owed_retry: str = ""
    build: str = ""
    is_counted: bool = False
    work: AttemptWork | None = None

    @property
    def urgency(self) -> int:
        """Urgency of the request, 0 is the highest."""
        return request_urgency(self.route, self.customer)

    def may_serve(self, target: Target) -> bool:
        """Whether a target may serve the request, as it is by now."""
        return not self.build or (target.entry.build_key == self.build and target.is_usable())

    def take_replacement(self) -> Placement | None:
        """Take the reserved placement, if there is one."""
        replacement, self.replacement = self.replacement, None
        return replacement

    @property
    def may_retry(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.retry_policy is not RetryPolicy.ONCE


class RefusedError(Exception):
    """The router refuses the request instead of relaying a target's response.

    :param failure: sent to the caller, unless the response has already begun.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class RetryError(Exception):
    """The attempt failed and the request should be sent to a target again."""


def build_refusal(
    state: RequestState,
    message: str,
    now_s: float,
    generator: random.Random,
    pause_s: float | None = None,
) -> RefusedError:
    """Build the refusal of a request that no target will serve.

    If the request has not run, the refusal carries ``Retry-After``. Callers honour a wait of up to
    a third of the time left until their deadline.

    :param pause_s: time for which every target has asked for no requests, None if that is not the
        reason.
    """
    if state.execution_state is ExecutionState.NOT_RUN and not state.has_response_begun:
        if pause_s is not None:
            wait_s = pause_s + generator.uniform(0, PAUSE_JITTER_S)
            return RefusedError(Failure(ErrorKind.OVERLOADED, message, retry_after_s=wait_s))
        remaining_s = state.request.deadline_s - now_s
        wait_s = RETRY_AFTER_S + generator.uniform(0, RETRY_JITTER_S)
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, remaining_s / 3))
        return RefusedError(Failure(ErrorKind.OVERLOADED, message, retry_after_s=wait_s))
    kind = ErrorKind.TARGET_FAILED
    return RefusedError(Failure(kind, message, state.execution_state, may_retry=False))


def _learned_estimate_s(placement: Placement) -> float | None:
    """Learned estimate without the price of a placement; None if there is none."""
    if placement.prompt_cost is not None:
        return placement.prompt_cost.first_event_s + placement.distance_s
    if placement.call_cost is not None:
        return placement.call_cost.total_s + placement.distance_s
    return None


def request_log_fields(request: CallerRequest, state: RequestState | None) -> dict[str, Any]:
    """Fields of the request's log line that explain its outcome; unknown fields are None.

    :param state: None for a request that was refused before it had a route.
    """
    fields: dict[str, Any] = {"id": request.request_id, "reason": None, "sends": 0}
    if state is None:
        return fields
    fields |= {
        "reason": state.reason or None,
        "sends": state.sends,
        "route": state.route.name,
        "customer": state.customer.name if state.customer else None,
        "status": state.status,
        "begun": state.has_response_begun or None,
        "placed_s": state.placed_s,
        "first_s": state.first_s,
        "aim_s": state.route.latency_objective_s,
        "waited_for": state.waited_for.value if state.waited_for else None,
        "usage_tokens": (request.prompt_tokens + request.output_tokens) or None,
        "events": state.stream_validator.event_count or None,
        "build": state.build or None,
        "longest_pause_s": state.longest_pause_s,
        "pause_aim_s": state.route.event_gap_objective_s or None,
    }
    placement = state.placement
    if placement is None:
        return fields
    return fields | {
        "target": placement.target.name,
        "weights": placement.version,
        "fetch": placement.fetch_from or None,
        "held_tokens": placement.held_tokens,
        "shared_tokens": placement.shared_tokens,
        "read_tokens": placement.prefill_tokens,
        "prompt_tokens": request.prompt_tokens or None,
        "load": placement.load,
        "begin_s": placement.begin_s or None,
        "expected_s": placement.expected_s,
        "estimate_s": _learned_estimate_s(placement),
    }
