"""Course of one request: what has been tried, what is known of it, and how it may end."""

import random
from dataclasses import dataclass, field
from typing import Any

from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.events import StreamValidator
from coltsfootfront.direct.targetselection import Placement, WaitReason
from coltsfootfront.direct.routingconfig import Customer, RetryPolicy, Route

# When a refused caller should come back: long enough for a load of weights to end.
RETRY_AFTER_S = 0.5
RETRY_JITTER_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# Spreads the return of callers after a pause that a target has asked for.
PAUSE_JITTER_S = 0.25


@dataclass(slots=True)
class State:
    """Course of one request.

    :param tried: targets that may have run the request.
    :param rejected: targets that said that they did not run it, in the last round.
    :param run: what is known about its execution.
    :param placed_s: time from its arrival until it had a target.
    :param first_s: time from its arrival until its first event.
    :param longest_pause_s: longest time between two events, None before the second.
    :param waited_for: why it last waited for its target.
    """

    call: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    end_s: float
    tried: list[str] = field(default_factory=list)
    rejected: set[str] = field(default_factory=set)
    rejections: int = 0
    sends: int = 0
    run: ExecutionState = ExecutionState.NOT_RUN
    reason: str = ""
    has_begun: bool = False
    checker: StreamValidator = field(default_factory=StreamValidator)
    place: Placement | None = None
    status: int = 0
    placed_s: float | None = None
    first_s: float | None = None
    longest_pause_s: float | None = None
    waited_for: WaitReason | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run at more than one target."""
        return self.route.retry_policy is not RetryPolicy.ONCE


class RefusedError(Exception):
    """The request gets a final answer of the router's own.

    :param failure: the answer.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class AgainError(Exception):
    """The request should go to another target."""


def refusal(
    state: State,
    message: str,
    now_s: float,
    generator: random.Random,
    pause_s: float | None = None,
) -> RefusedError:
    """Build the final answer for a request that no target will serve.

    A request that has not run is told when to come back; callers keep to a wait of up to a third
    of the time that they have left.

    :param pause_s: time for which no target wants requests, None when that is not the reason.
    """
    if state.run is ExecutionState.NOT_RUN and not state.has_begun:
        if pause_s is not None:
            wait_s = pause_s + generator.uniform(0, PAUSE_JITTER_S)
            return RefusedError(Failure(ErrorKind.OVERLOADED, message, retry_after_s=wait_s))
        left_s = state.call.deadline_s - now_s
        wait_s = RETRY_AFTER_S + generator.uniform(0, RETRY_JITTER_S)
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, left_s / 3))
        return RefusedError(Failure(ErrorKind.OVERLOADED, message, retry_after_s=wait_s))
    kind = ErrorKind.TARGET_FAILED
    return RefusedError(Failure(kind, message, state.run, may_retry=False))


def course_fields(call: CallerRequest, state: State | None) -> dict[str, Any]:
    """What decided the course of a request, for its log line; unknown fields are None.

    :param state: None for a request that was refused before it had a route.
    """
    fields: dict[str, Any] = {"id": call.request_id, "reason": None, "sends": 0}
    if state is None:
        return fields
    fields |= {
        "reason": state.reason or None,
        "sends": state.sends,
        "route": state.route.name,
        "customer": state.customer.name if state.customer else None,
        "status": state.status,
        "placed_s": state.placed_s,
        "first_s": state.first_s,
        "aim_s": state.route.latency_objective_s,
        "waited_for": state.waited_for.value if state.waited_for else None,
        "events": state.checker.event_count or None,
        "longest_pause_s": state.longest_pause_s,
        "pause_aim_s": state.route.event_gap_objective_s or None,
    }
    place = state.place
    if place is None:
        return fields
    return fields | {
        "target": place.target.name,
        "weights": place.version,
        "fetch": place.fetch_from or None,
        "held_tokens": place.held_tokens,
        "shared_tokens": place.shared_tokens,
        "read_tokens": place.read_tokens,
        "prompt_tokens": call.prompt_tokens or None,
        "load": place.load,
        "begin_s": place.begin_s or None,
        "expected_s": place.expected_s,
    }
