"""Dispatch of requests: choice of targets, attempts and retries.

A non-idempotent request is retried at another target only if it is known not to have run
(``not_run``). An idempotent one is also retried if it may have run, within the retry budget. A
partly delivered model response is continued at another target from the text so far.
"""

import random
from dataclasses import dataclass, field

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.common.retries import RetryBudget, backoff_delay_s
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.peers.channel import ChannelPool
from coltsfootfront.peers.liveness import AgentLiveness
from coltsfootfront.peers.messages import End
from coltsfootfront.placing.breaker import Breaker, Incarnation
from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.placing.placer import Destination, PlacementPlan, Placer, earliest_retry
from coltsfootfront.placing.probes import LoadTable
from coltsfootfront.serving.attempt import Attempt, AttemptTimeouts
from coltsfootfront.serving.responses import (
    DeliveryProgress,
    ResponseSummary,
    ResponseWriter,
    Usage,
)

log = logbook.Logger(__name__)

# Failures that count against a target's health in the circuit breaker.
TARGET_FAULT_KINDS = frozenset(
    {
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.ENGINE_FAILED,
        ErrorKind.TARGET_FAILED,
    }
)


@dataclass(slots=True)
class _RequestState:
    """State of one request across its attempts."""

    caller_request: CallerRequest
    writer: ResponseWriter
    progress: DeliveryProgress = field(default_factory=DeliveryProgress)
    remaining_destinations: list[Destination] = field(default_factory=list)
    tried_targets: set[str] = field(default_factory=set)
    failures: list[Failure] = field(default_factory=list)
    attempts: int = 0
    cross_region_bytes: int = 0
    pinned_version: str | None = None

    def pin_version(self, destination: Destination) -> None:
        """Restrict later attempts to the weights version that produced the first text.

        Other weights generate other text, so the joined response would come from neither version.
        """
        if self.progress.has_text and self.pinned_version is None:
            self.pinned_version = destination.version
            self.remaining_destinations = [
                item for item in self.remaining_destinations if item.version == destination.version
            ]

    def final_failure(self, failure: Failure) -> Failure:
        """The failure to report: execution state over all attempts and the earliest retry time."""
        states = {item.execution_state for item in self.failures}
        execution_state = failure.execution_state
        if self.progress.is_started or ExecutionState.UNKNOWN in states:
            execution_state = ExecutionState.UNKNOWN
        retry_delays_s = [
            item.effective_retry_after_s
            for item in [*self.failures, failure]
            if item.effective_retry_after_s is not None
        ]
        if failure.effective_retry_after_s is None:
            return failure.with_execution_state(execution_state)
        return Failure(
            failure.kind, failure.message, execution_state, min(retry_delays_s, default=None)
        )


class Dispatcher:
    """Executes requests at agents and retries failed attempts.

    :param configuration: active configuration.
    :param placer: chooses targets.
    :param pool: channels to agents.
    :param load_table: reported load and requests in flight of each target.
    :param breaker: circuit breakers of the targets.
    :param retry_budget: limits retries to a share of recent requests.
    :param link_budget: limits traffic between regions.
    :param max_attempts: maximum number of attempts for one request.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        placer: Placer,
        pool: ChannelPool,
        load_table: LoadTable,
        breaker: Breaker,
        retry_budget: RetryBudget,
        link_budget: LinkBudget,
        liveness: AgentLiveness,
        clock: Clock,
        timeouts: AttemptTimeouts,
        max_attempts: int,
        generator: random.Random,
    ) -> None:
        self._configuration = configuration
        self._placer = placer
        self._pool = pool
        self._load_table = load_table
        self._breaker = breaker
        self._retry_budget = retry_budget
        self._link_budget = link_budget
        self._liveness = liveness
        self._clock = clock
        self._timeouts = timeouts
        self._max_attempts = max_attempts
        self._generator = generator

    async def execute(
        self, caller_request: CallerRequest, writer: ResponseWriter
    ) -> Result[ResponseSummary, Failure]:
        """Execute one request.

        :param writer: receives the response while it arrives.
        :returns: summary of a complete response, or a failure that says whether the request may
            have run.
        :raises CallerDisconnectedError: the caller has disconnected.
        """
        self._retry_budget.record_request()
        state = _RequestState(caller_request, writer)
        while True:
            destination = await self._next_destination(state)
            if isinstance(destination, Failed):
                return Failed(
                    state.final_failure(self._failure_to_report(state, destination.failure()))
                )
            outcome = await self._run_attempt(state, destination.unwrap())
            if isinstance(outcome, Success):
                return Success(self._summarize(state, destination.unwrap(), outcome.unwrap()))
            failure = outcome.failure()
            state.failures.append(failure)
            state.pin_version(destination.unwrap())
            if not self._may_retry(state, failure):
                return Failed(state.final_failure(failure))
            await self._clock.sleep(backoff_delay_s(state.attempts, self._generator))

    async def explain(self, caller_request: CallerRequest) -> Result[PlacementPlan, Failure]:
        """Plan a request without sending it and without a reservation at an agent."""
        return await self._placer.place(caller_request, set(), hold=False)

    def _failure_to_report(self, state: _RequestState, refusal: Failure) -> Failure:
        """Prefer the failure of an earlier attempt to ``no_target``, which is less specific."""
        if not state.failures or refusal.kind is not ErrorKind.NO_TARGET:
            return refusal
        return earliest_retry(state.failures)

    async def _next_destination(self, state: _RequestState) -> Result[Destination, Failure]:
        while True:
            if not state.remaining_destinations:
                plan_result = await self._placer.place(
                    state.caller_request, state.tried_targets, state.pinned_version
                )
                if isinstance(plan_result, Failed):
                    return Failed(plan_result.failure())
                plan = plan_result.unwrap()
                state.remaining_destinations = plan.destinations
                self._log_plan(state, plan)
            destination = state.remaining_destinations.pop(0)
            state.tried_targets.add(destination.target)
            if self._breaker.try_acquire(destination.target):
                return Success(destination)

    def _log_plan(self, state: _RequestState, plan: PlacementPlan) -> None:
        log.info(
            event(
                "request_placed",
                request_id=state.caller_request.request_id,
                customer=state.caller_request.customer,
                target=plan.destinations[0].target,
                revision=self._configuration.number,
                attempt=state.attempts + 1,
                reason=plan.reason,
            )
        )

    async def _run_attempt(
        self, state: _RequestState, destination: Destination
    ) -> Result[End, Failure]:
        state.attempts += 1
        caller_request = state.caller_request
        attempt = Attempt(
            self._pool.get(destination.address),
            caller_request,
            destination,
            state.attempts,
            caller_request.block_keys(destination.version, self._configuration.document),
            state.progress,
            state.writer,
            self._timeouts,
            self._liveness,
            self._clock,
        )
        load = self._load_table.get(destination.target)
        load.in_flight += 1
        outcome: Result[End, Failure] | None = None
        try:
            outcome = await attempt.run()
            return outcome
        finally:
            load.in_flight -= 1
            self._update_breaker(destination, attempt, outcome)
            if destination.is_remote:
                size_bytes = len(caller_request.body) + attempt.received_bytes
                state.cross_region_bytes += size_bytes
                self._link_budget.charge(size_bytes, destination.region)

    def _update_breaker(
        self, destination: Destination, attempt: Attempt, outcome: Result[End, Failure] | None
    ) -> None:
        """Report the outcome of an attempt to the circuit breaker."""
        incarnation = Incarnation(attempt.agent_incarnation, attempt.engine_incarnation)
        self._breaker.record_incarnation(destination.target, incarnation)
        if isinstance(outcome, Success):
            self._breaker.record_success(destination.target, incarnation)
        elif isinstance(outcome, Failed) and outcome.failure().kind in TARGET_FAULT_KINDS:
            self._breaker.record_failure(destination.target, incarnation)
        else:
            self._breaker.release(destination.target)

    def _may_retry(self, state: _RequestState, failure: Failure) -> bool:
        caller_request = state.caller_request
        if not failure.error_response.retry_elsewhere or state.attempts >= self._max_attempts:
            return False
        if not caller_request.idempotent and failure.execution_state is not ExecutionState.NOT_RUN:
            return False
        if state.progress.is_started:
            if caller_request.kind == KIND_SERVICE:
                return False
            # Denying the retry would truncate a response that the caller is reading. Such
            # continuations count in the budget but are limited only by the number of attempts.
            self._retry_budget.spend_unconditionally(failure.kind.value)
            return True
        if self._clock.unix_s() >= caller_request.deadline_unix_s:
            return False
        return self._retry_budget.try_spend(failure.kind.value)

    def _summarize(
        self, state: _RequestState, destination: Destination, end: End
    ) -> ResponseSummary:
        log.info(
            event(
                "request_completed",
                request_id=state.caller_request.request_id,
                customer=state.caller_request.customer,
                target=destination.target,
                revision=self._configuration.number,
                attempts=state.attempts,
                bytes=end.total_bytes,
                link_bytes=state.cross_region_bytes,
                cached_tokens=_token_count(end, "cached_tokens"),
            )
        )
        if state.caller_request.kind == KIND_SERVICE:
            return ResponseSummary(end.finish_reason)
        usage = Usage(
            _token_count(end, "prompt_tokens"),
            max(state.progress.tokens, _token_count(end, "completion_tokens")),
            min(_token_count(end, "cached_tokens"), _token_count(end, "prompt_tokens")),
        )
        self._count_prefix_blocks(state, destination, usage)
        return ResponseSummary(end.finish_reason, usage)

    def _count_prefix_blocks(
        self, state: _RequestState, destination: Destination, usage: Usage
    ) -> None:
        """Count the prompt's blocks as cached or computed, as reported by the engine."""
        blocks = len(
            state.caller_request.block_keys(destination.version, self._configuration.document)
        )
        if not blocks or not usage.prompt_tokens:
            return
        cached_share = min(1.0, usage.cached_tokens / usage.prompt_tokens)
        metrics.PREFIX_BLOCKS.add({"outcome": "cached"}, blocks * cached_share)
        metrics.PREFIX_BLOCKS.add({"outcome": "computed"}, blocks * (1 - cached_share))


def _token_count(end: End, name: str) -> int:
    value = end.usage.get(name, 0)
    return value if isinstance(value, int) and value >= 0 else 0
