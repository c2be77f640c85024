"""Attempts of one request: place, send, retry elsewhere, or give up at once.

A non-idempotent request goes to another target only after ``not_run``. An idempotent one may
go elsewhere at any time, within the retry budget; a model's answer that has begun goes on with
the text so far.
"""

import random
from dataclasses import dataclass, field

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.common.retries import RetryBudget, backoff_delay_s
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.peers.channel import ChannelPool
from coltsfootfront.peers.liveness import AgentLiveness
from coltsfootfront.peers.messages import End
from coltsfootfront.placing.breaker import Breaker, Incarnation
from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.placing.placer import Destination, Placer, PlacementPlan, earliest_retry
from coltsfootfront.placing.probes import LoadTable
from coltsfootfront.serving.attempt import Attempt, AttemptLimits
from coltsfootfront.serving.responses import Caller, Completion, Progress, Usage

log = logbook.Logger(__name__)

# Failures that say something about the target's health.
FAULTS = frozenset(
    {
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.ENGINE_FAILED,
        ErrorKind.TARGET_FAILED,
    }
)


@dataclass(slots=True)
class _Course:
    """State of one request over its attempts."""

    job: CallerRequest
    caller: Caller
    progress: Progress = field(default_factory=Progress)
    places: list[Destination] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    failures: list[Failure] = field(default_factory=list)
    attempts: int = 0
    crossed_bytes: int = 0
    version: str | None = None

    def note_version(self, place: Destination) -> None:
        """Bind the rest of an answer to the weights version that has begun it.

        Other weights would go on with other text, and the whole would be neither one's answer.
        """
        if self.progress.has_text and self.version is None:
            self.version = place.version
            self.places = [item for item in self.places if item.version == place.version]

    def final(self, failure: Failure) -> Failure:
        """The failure to answer with: true run state and the earliest time to come back."""
        states = {item.execution_state for item in self.failures}
        run = failure.execution_state
        if self.progress.is_started or ExecutionState.UNKNOWN in states:
            run = ExecutionState.UNKNOWN
        waits = [item.effective_retry_after_s for item in [*self.failures, failure] if item.effective_retry_after_s is not None]
        if failure.effective_retry_after_s is None:
            return failure.with_execution_state(run)
        return Failure(failure.kind, failure.message, run, min(waits, default=None))


class Dispatcher:
    """Executes requests.

    :param revision: configuration in force.
    :param placer: finds places.
    :param pool: channels to agents.
    :param max_attempts: attempts for one request.
    """

    def __init__(
        self,
        revision: ActiveConfiguration,
        placer: Placer,
        pool: ChannelPool,
        table: LoadTable,
        breaker: Breaker,
        budget: RetryBudget,
        link: LinkBudget,
        liveness: AgentLiveness,
        clock: Clock,
        limits: AttemptLimits,
        max_attempts: int,
        generator: random.Random,
    ) -> None:
        self._revision = revision
        self._placer = placer
        self._pool = pool
        self._table = table
        self._breaker = breaker
        self._budget = budget
        self._link = link
        self._liveness = liveness
        self._clock = clock
        self._limits = limits
        self._max_attempts = max_attempts
        self._generator = generator

    async def execute(self, job: CallerRequest, caller: Caller) -> Result[Completion, Failure]:
        """Execute one request.

        :param caller: receives the answer while it arrives.
        :returns: the end of a complete answer, or a failure with a true run state.
        :raises CallerGoneError: the caller has gone.
        """
        self._budget.record_request()
        course = _Course(job, caller)
        while True:
            place = await self._next_place(course)
            if isinstance(place, Failed):
                return Failed(course.final(self._reason(course, place.failure())))
            outcome = await self._try(course, place.unwrap())
            if isinstance(outcome, Success):
                return Success(self._complete(course, place.unwrap(), outcome.unwrap()))
            failure = outcome.failure()
            course.failures.append(failure)
            course.note_version(place.unwrap())
            if not self._may_retry(course, failure):
                return Failed(course.final(failure))
            await self._clock.sleep(backoff_delay_s(course.attempts, self._generator))

    async def explain(self, job: CallerRequest) -> Result[PlacementPlan, Failure]:
        """Find out where a request would go, without a reservation."""
        return await self._placer.place(job, set(), hold=False)

    def _reason(self, course: _Course, refusal: Failure) -> Failure:
        """After failed attempts, a plan without places is no better reason than theirs."""
        if not course.failures or refusal.kind is not ErrorKind.NO_TARGET:
            return refusal
        return earliest_retry(course.failures)

    async def _next_place(self, course: _Course) -> Result[Destination, Failure]:
        while True:
            if not course.places:
                placed = await self._placer.place(course.job, course.tried, course.version)
                if isinstance(placed, Failed):
                    return Failed(placed.failure())
                plan = placed.unwrap()
                course.places = plan.destinations
                self._log_plan(course, plan)
            place = course.places.pop(0)
            course.tried.add(place.target)
            if self._breaker.try_acquire(place.target):
                return Success(place)

    def _log_plan(self, course: _Course, plan: PlacementPlan) -> None:
        log.info(
            event(
                "request_placed",
                request_id=course.job.request_id,
                customer=course.job.customer,
                target=plan.destinations[0].target,
                revision=self._revision.number,
                attempt=course.attempts + 1,
                reason=plan.reason,
            )
        )

    async def _try(self, course: _Course, place: Destination) -> Result[End, Failure]:
        course.attempts += 1
        job = course.job
        attempt = Attempt(
            self._pool.get(place.address),
            job,
            place,
            course.attempts,
            job.block_keys(place.version, self._revision.document),
            course.progress,
            course.caller,
            self._limits,
            self._liveness,
            self._clock,
        )
        load = self._table.get(place.target)
        load.in_flight += 1
        outcome: Result[End, Failure] | None = None
        try:
            outcome = await attempt.run()
            return outcome
        finally:
            load.in_flight -= 1
            self._settle(place, attempt, outcome)
            if place.is_remote:
                size_bytes = len(job.body) + attempt.received_bytes
                course.crossed_bytes += size_bytes
                self._link.charge(size_bytes, place.region)

    def _settle(self, place: Destination, attempt: Attempt, outcome: Result[End, Failure] | None) -> None:
        """Tell the breaker how an attempt ended."""
        incarnation = Incarnation(attempt.agent, attempt.engine)
        self._breaker.record_incarnation(place.target, incarnation)
        if isinstance(outcome, Success):
            self._breaker.record_success(place.target, incarnation)
        elif isinstance(outcome, Failed) and outcome.failure().kind in FAULTS:
            self._breaker.record_failure(place.target, incarnation)
        else:
            self._breaker.release(place.target)

    def _may_retry(self, course: _Course, failure: Failure) -> bool:
        job = course.job
        if not failure.error_response.retry_elsewhere or course.attempts >= self._max_attempts:
            return False
        if not job.idempotent and failure.execution_state is not ExecutionState.NOT_RUN:
            return False
        if course.progress.is_started:
            if job.kind == KIND_SERVICE:
                return False
            # Refusing would cut an answer that the caller is reading; such continuations are
            # bounded by the number of attempts and count in the budget.
            self._budget.spend_unconditionally(failure.kind.value)
            return True
        if self._clock.unix_s() >= job.deadline_unix_s:
            return False
        return self._budget.try_spend(failure.kind.value)

    def _complete(self, course: _Course, place: Destination, end: End) -> Completion:
        log.info(
            event(
                "request_completed",
                request_id=course.job.request_id,
                customer=course.job.customer,
                target=place.target,
                revision=self._revision.number,
                attempts=course.attempts,
                bytes=end.total_bytes,
                link_bytes=course.crossed_bytes,
                cached_tokens=_count(end, "cached_tokens"),
            )
        )
        if course.job.kind == KIND_SERVICE:
            return Completion(end.finish_reason)
        usage = Usage(
            _count(end, "prompt_tokens"),
            max(course.progress.tokens, _count(end, "completion_tokens")),
            min(_count(end, "cached_tokens"), _count(end, "prompt_tokens")),
        )
        self._count_blocks(course, place, usage)
        return Completion(end.finish_reason, usage)

    def _count_blocks(self, course: _Course, place: Destination, usage: Usage) -> None:
        """Count the prompt's blocks as cached or computed, from the engine's own word."""
        blocks = len(course.job.block_keys(place.version, self._revision.document))
        if not blocks or not usage.prompt_tokens:
            return
        share = min(1.0, usage.cached_tokens / usage.prompt_tokens)
        metrics.PREFIX_BLOCKS.add({"outcome": "cached"}, blocks * share)
        metrics.PREFIX_BLOCKS.add({"outcome": "computed"}, blocks * (1 - share))


def _count(end: End, name: str) -> int:
    value = end.usage.get(name, 0)
    return value if isinstance(value, int) and value >= 0 else 0
