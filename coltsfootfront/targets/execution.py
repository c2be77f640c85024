"""Execution of one attempt, from admission to its end."""

import asyncio
import hashlib
from abc import ABC, abstractmethod
from contextlib import aclosing
from enum import Enum
from typing import Any, cast

import logbook
from returns.result import Success

from coltsfootfront.calls.blocks import compute_cache_salt
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.document import Grant
from coltsfootfront.keyvalue.claims import Claim, Claims, StoredOutcome
from coltsfootfront.peers.messages import Run
from coltsfootfront.targets.admission import AdmissionController, AdmissionRequest
from coltsfootfront.targets.attempts import Attempt
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.engine import Engine, GenerateRequest, GenerationEnd, TextChunk
from coltsfootfront.targets.fairqueue import FairQueue, StartCondition, Ticket
from coltsfootfront.targets.prefills import Prefill, PrefillStartCondition, PrefillTracker
from coltsfootfront.targets.prefixtransfer import PrefixTransfer
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead

log = logbook.Logger(__name__)

KIND_CHAT = "chat"
KIND_SERVICE_CALL = "service"
# Queue cost of a request in addition to one per block that must be computed.
BASE_COST = 1.0


class Phase(Enum):
    """Progress of an execution."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    FORWARDED = "forwarded"
    ENDED = "ended"


class Backend(ABC):
    """Forwards requests to the target; one implementation for each kind of target."""

    @abstractmethod
    def cost(self, run: Run) -> float:
        """Relative cost of a request in the fair queue."""

    def start_condition(self, run: Run, grant: Grant) -> StartCondition | None:
        """Additional condition for a request's start, or None."""
        return None

    async def prepare(self, run: Run, grant: Grant) -> None:
        """Speed up the request, for example by importing KV cache, before the final checks."""
        return None

    @abstractmethod
    async def forward(
        self, run: Run, grant: Grant, attempt: Attempt, start_condition: StartCondition | None
    ) -> "RecordedResponse":
        """Send a request to the target and write the response to the attempt's buffer.

        :param start_condition: result of :meth:`start_condition`, after its start.
        :returns: the response in the form in which an idempotency claim stores it.
        :raises FailureError: passed on from the target's client.
        """


class RecordedResponse:
    """Response of a plain service in the form in which an idempotency claim stores it.

    :param limit_bytes: larger bodies are not stored.
    """

    __slots__ = ("_limit_bytes", "body", "headers", "status", "too_large")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.status = 200
        self.headers: list[list[str]] = []
        self.body = bytearray()
        self.too_large = False

    def add(self, data: bytes) -> None:
        """Add a chunk of the body."""
        if len(self.body) + len(data) > self._limit_bytes:
            self.too_large = True
            self.body.clear()
        if not self.too_large:
            self.body += data


class EngineBackend(Backend):
    """Backend for a model engine.

    :param engine: client of the engine.
    :param index: estimate of the engine's cached blocks.
    :param clock: time source.
    """

    def __init__(self, engine: Engine, index: CacheIndex, clock: Clock) -> None:
        self._engine = engine
        self.index = index
        self._clock = clock
        self.prefills = PrefillTracker(index, clock)
        self.transfer: PrefixTransfer | None = None
        """Import and export of KV cache; None without a kept-cache service."""

    def cost(self, run: Run) -> float:
        return BASE_COST + len(run.keys) - self.index.match_all_keys(run.keys)

    def start_condition(self, run: Run, grant: Grant) -> PrefillStartCondition:
        return PrefillStartCondition(
            self.prefills, self.index, self._clock, run.keys, grant.priority
        )

    async def prepare(self, run: Run, grant: Grant) -> None:
        if self.transfer is not None:
            await self.transfer.import_prefix(run, grant.version, self.prefills.block_prefill_s)

    async def forward(
        self, run: Run, grant: Grant, attempt: Attempt, start_condition: StartCondition | None
    ) -> RecordedResponse:
        assert (
            isinstance(start_condition, PrefillStartCondition)
            and start_condition.prefill is not None
        )
        return await self._generate(run, grant, attempt, start_condition.prefill)

    async def _generate(
        self, run: Run, grant: Grant, attempt: Attempt, prefill: Prefill
    ) -> RecordedResponse:
        predicted = self.index.match_all_keys(run.keys)
        incarnation = self.index.incarnation
        started_s = self._clock.monotonic_s()
        ttft_s: float | None = None
        items = self._engine.generate(_generate_request(run, grant))
        async with aclosing(cast(Any, items)):
            async for item in items:
                if ttft_s is None:
                    ttft_s = self._clock.monotonic_s() - started_s
                    attempt.start_response()
                    self._on_first_token(run, prefill, incarnation)
                if isinstance(item, TextChunk):
                    attempt.append(item.text.encode(), item.tokens)
                    continue
                self._finish_attempt(attempt, item)
                if incarnation == self.index.incarnation:
                    self._update_estimates(run, grant, prefill, predicted, item, ttft_s)
                return RecordedResponse(0)
        raise FailureError(
            Failure(ErrorKind.ENGINE_FAILED, "the stream had no end mark", ExecutionState.UNKNOWN)
        )

    def _on_first_token(self, run: Run, prefill: Prefill, incarnation: str) -> None:
        """Mark the prompt as cached, since it is computed in full before the first token."""
        if incarnation == self.index.incarnation:
            self.index.store(run.keys)
        self.prefills.end(prefill)

    def _update_estimates(
        self,
        run: Run,
        grant: Grant,
        prefill: Prefill,
        predicted: int,
        generation_end: GenerationEnd,
        ttft_s: float,
    ) -> None:
        blocks = len(run.keys)
        cached = self.index.to_cached_blocks(
            blocks, generation_end.prompt_tokens, generation_end.cached_tokens
        )
        self.index.correct_from_response(run.keys, predicted, cached)
        self.prefills.record_duration(prefill, blocks - cached, ttft_s)
        metrics.PREFIX_BLOCKS.add({"outcome": "cached"}, cached)
        metrics.PREFIX_BLOCKS.add({"outcome": "computed"}, blocks - cached)
        if self.transfer is not None:
            self.transfer.record_prompt(run, grant.version)

    def _finish_attempt(self, attempt: Attempt, generation_end: GenerationEnd) -> None:
        usage = {
            "prompt_tokens": generation_end.prompt_tokens,
            "completion_tokens": generation_end.completion_tokens,
            "cached_tokens": generation_end.cached_tokens,
        }
        attempt.finish(generation_end.finish_reason, usage)


class ServiceBackend(Backend):
    """Backend for a plain HTTP service.

    :param service: client of the service.
    :param max_outcome_bytes: largest body that an idempotency claim stores.
    """

    def __init__(self, service: PlainService, max_outcome_bytes: int) -> None:
        self._service = service
        self._max_outcome_bytes = max_outcome_bytes

    def cost(self, run: Run) -> float:
        return BASE_COST

    async def forward(
        self, run: Run, grant: Grant, attempt: Attempt, start_condition: StartCondition | None
    ) -> RecordedResponse:
        response = RecordedResponse(self._max_outcome_bytes)
        headers = tuple((pair[0], pair[1]) for pair in run.headers if len(pair) == 2)
        call = ServiceCall(run.request_id, run.method, run.path, headers, run.body)
        items = self._service.call(call)
        async with aclosing(cast(Any, items)):
            async for item in items:
                if isinstance(item, ServiceResponseHead):
                    response.status = item.status
                    response.headers = [list(pair) for pair in item.headers]
                    attempt.start_response(item.status, response.headers)
                    continue
                attempt.append(item)
                response.add(item)
        attempt.finish()
        return response


class Execution:
    """Runs one attempt that has been admitted.

    :param run: the router's message.
    :param request: input of the admission decision.
    :param grant: terms under which the request was admitted.
    :param attempt: buffer of the response.
    :param backend: the target.
    :param admission: checks the request again before it is forwarded.
    :param queue: queue in front of the target.
    :param claims: idempotency claims.
    :param clock: time source.
    """

    def __init__(
        self,
        run: Run,
        request: AdmissionRequest,
        grant: Grant,
        attempt: Attempt,
        backend: Backend,
        admission: AdmissionController,
        queue: FairQueue,
        claims: Claims,
        clock: Clock,
    ) -> None:
        self._run = run
        self._request = request
        self._grant = grant
        self._attempt = attempt
        self._backend = backend
        self._admission = admission
        self._queue = queue
        self._claims = claims
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._start_condition: StartCondition | None = None
        self.phase = Phase.WAITING

    def start(self) -> asyncio.Task[None]:
        """Join the queue and start the task that runs the request.

        It awaits nothing, so that the queue is unchanged since the admission decision.
        """
        cost = self._backend.cost(self._run)
        params = self._admission.scheduling_params(self._run.customer, self._grant)
        self._start_condition = self._backend.start_condition(self._run, self._grant)
        ticket = self._queue.enqueue(params, cost, self._start_condition)
        self._attempt.accept(self._admission.engine_incarnation)
        self._task = asyncio.create_task(self._execute(ticket))
        # A task that is cancelled before its first step runs none of its own code, so the slot
        # is released in a callback.
        self._task.add_done_callback(lambda _: self._on_task_done(ticket))
        return self._task

    @property
    def is_cancellable(self) -> bool:
        """Whether the request may be stopped when its caller has gone."""
        return self._run.idempotent

    def cancel(self, failure: Failure) -> ExecutionState:
        """Stop the attempt.

        A forwarded call that must not be repeated runs to its end: if its connection were closed,
        its outcome could not be stored in the claim.

        :param failure: recorded with the execution state that is returned.
        """
        execution_state = (
            ExecutionState.UNKNOWN if self._attempt.forwarded else ExecutionState.NOT_RUN
        )
        self._attempt.fail(failure.with_execution_state(execution_state))
        interruptible = self.phase is Phase.WAITING or (
            self.phase is Phase.FORWARDED and self._run.idempotent
        )
        if interruptible and self._task is not None:
            self._task.cancel()
        return execution_state

    async def close(self) -> None:
        """Cancel the task without waiting for the target; used at shutdown."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _execute(self, ticket: Ticket) -> None:
        try:
            await self._wait_for_slot(ticket)
            await self._run_with_claim()
        except FailureError as error:
            self._attempt.fail(error.failure)
        except Exception as error:
            self._attempt.fail(
                Failure(ErrorKind.INTERNAL, "the agent failed", self._execution_state())
            )
            log.error(event("execution_failed", reason=repr(error), **self._log_fields()))

    def _on_task_done(self, ticket: Ticket) -> None:
        self.phase = Phase.ENDED
        self._queue.release(ticket)
        self._attempt.fail(
            Failure(ErrorKind.CANCELLED, "the attempt was stopped", self._execution_state())
        )
        self._record_outcome()

    async def _wait_for_slot(self, ticket: Ticket) -> None:
        limit_s = self._admission.wait_limit_s(self._run.deadline_unix_s)
        try:
            async with asyncio.timeout(max(limit_s, 0)):
                await ticket.wait()
        except TimeoutError as error:
            raise FailureError(
                Failure(ErrorKind.OVERLOADED, "the queue moved slower than estimated")
            ) from error

    async def _run_with_claim(self) -> None:
        await self._admission.wait_revision_checked()
        await self._backend.prepare(self._run, self._grant)
        if self._run.idempotent or not self._run.idempotency_key:
            await self._forward()
            return
        self.phase = Phase.CLAIMING
        claimed = await self._claims.claim(
            self._run.customer,
            self._run.service,
            self._run.idempotency_key,
            request_digest(self._run),
        )
        if not isinstance(claimed, Success):
            raise FailureError(claimed.failure())
        claim = claimed.unwrap()
        if isinstance(claim, StoredOutcome):
            self._replay(claim)
            return
        await self._forward_with_claim(claim)

    async def _forward_with_claim(self, claim: Claim) -> None:
        try:
            response = await self._forward()
        except BaseException as error:
            if _is_not_run(error) or not self._attempt.forwarded:
                await self._claims.release(claim)
            else:
                self._claims.record_unknown(claim)
            raise
        outcome = StoredOutcome(
            response.status, response.headers, bytes(response.body), response.too_large
        )
        self._claims.record(claim, outcome)

    async def _forward(self) -> RecordedResponse:
        decision = self._admission.recheck(self._request)
        if not isinstance(decision, Success):
            raise FailureError(decision.failure())
        if self._attempt.ended_s is not None:
            raise FailureError(Failure(ErrorKind.CANCELLED, "the caller has gone"))
        # The last check before the request is sent: after a pause of the process, the agent must
        # not run a request that the router has already given up.
        if self._clock.unix_s() >= self._run.deadline_unix_s:
            raise FailureError(Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"))
        self.phase = Phase.FORWARDED
        self._attempt.forwarded = True
        try:
            return await self._backend.forward(
                self._run, decision.unwrap(), self._attempt, self._start_condition
            )
        except FailureError as error:
            if error.failure.execution_state is ExecutionState.NOT_RUN:
                self._attempt.forwarded = False
            raise

    def _replay(self, outcome: StoredOutcome) -> None:
        if outcome.too_large:
            raise FailureError(
                Failure(
                    ErrorKind.CONFLICT,
                    "the request has run; its answer was too large to be kept",
                    ExecutionState.COMPLETED,
                )
            )
        self._attempt.start_response(outcome.status, outcome.headers)
        self._attempt.append(outcome.body)
        self._attempt.finish()

    def _execution_state(self) -> ExecutionState:
        return ExecutionState.UNKNOWN if self._attempt.forwarded else ExecutionState.NOT_RUN

    def _record_outcome(self) -> None:
        failure = self._attempt.failure
        outcome = "completed" if failure is None else failure.kind.value
        metrics.REQUESTS.inc({"customer": self._run.customer, "outcome": outcome})
        if failure is not None and failure.execution_state is ExecutionState.NOT_RUN:
            metrics.count_refusal(failure.kind.value)
        log.info(event("request_ended", outcome=outcome, **self._log_fields()))

    def _log_fields(self) -> dict[str, object]:
        return {
            "request_id": self._run.request_id,
            "attempt": self._run.attempt,
            "customer": self._run.customer,
            "target": self._grant.target,
            "revision": self._admission.revision_number,
        }


def request_digest(run: Run) -> str:
    """Digest of a call's method, path and body.

    A repeated call with the same idempotency key must have the same digest.
    """
    digest = hashlib.sha256()
    for part in (run.method.encode(), run.path.encode(), run.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def admission_request_for(run: Run) -> AdmissionRequest:
    """Build the input of the admission decision from a ``run`` message."""
    if run.kind == KIND_SERVICE_CALL:
        return AdmissionRequest(
            run.customer,
            run.service,
            method=run.method,
            path=run.path,
            idempotent=run.idempotent,
        )
    return AdmissionRequest(run.customer, "", run.model, run.adapter, run.version)


def _generate_request(run: Run, grant: Grant) -> GenerateRequest:
    cache_salt = compute_cache_salt(run.customer, run.model, run.adapter, grant.version)
    return GenerateRequest(
        f"{run.request_id}-{run.attempt}",
        run.body,
        run.kind == KIND_CHAT,
        run.model,
        run.adapter,
        grant.version,
        cache_salt,
        grant.priority,
        run.resume_text,
        run.resume_tokens,
    )


def _is_not_run(error: BaseException) -> bool:
    return (
        isinstance(error, FailureError) and error.failure.execution_state is ExecutionState.NOT_RUN
    )
