"""One attempt from admission to its end."""

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
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.document import Grant
from coltsfootfront.keyvalue.claims import Claim, Claims, StoredOutcome
from coltsfootfront.peers.messages import Run
from coltsfootfront.targets.engine import Engine, GenerationEnd, GenerateRequest, TextChunk
from coltsfootfront.targets.fairqueue import FairQueue, Ticket, StartCondition
from coltsfootfront.targets.admission import Ask, AdmissionController
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.prefills import Prefill, PrefillTracker, PrefillStartCondition
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead
from coltsfootfront.targets.attempts import Attempt
from coltsfootfront.targets.prefixtransfer import PrefixTransfer

log = logbook.Logger(__name__)

KIND_CHAT = "chat"
KIND_SERVICE_CALL = "service"
# Cost of a queued request in addition to the blocks that must be computed.
BASE_COST = 1.0


class Phase(Enum):
    """How far an execution has come."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    FORWARDED = "forwarded"
    ENDED = "ended"


class Backend(ABC):
    """The target behind this agent, as an execution sees it."""

    @abstractmethod
    def cost(self, run: Run) -> float:
        """Work of a request relative to others."""

    def turn(self, run: Run, grant: Grant) -> StartCondition | None:
        """Further condition for a request's start; None if there is none."""
        return None

    async def prepare(self, run: Run, grant: Grant) -> None:
        """Do what makes the request faster, before the last checks."""
        return None

    @abstractmethod
    async def forward(
        self, run: Run, grant: Grant, attempt: Attempt, turn: StartCondition | None
    ) -> "Answer":
        """Hand a request to the target and its answer to the attempt's buffer.

        :param turn: result of :meth:`turn`, which has begun.
        :returns: the answer in the form in which a claim keeps it.
        :raises FailureError: as the target's adapter does.
        """


class Answer:
    """Answer of a plain service, as far as a claim keeps it.

    :param limit_bytes: larger bodies are not kept.
    """

    __slots__ = ("_limit_bytes", "body", "headers", "status", "too_large")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.status = 200
        self.headers: list[list[str]] = []
        self.body = bytearray()
        self.too_large = False

    def add(self, data: bytes) -> None:
        """Add a piece of the body."""
        if len(self.body) + len(data) > self._limit_bytes:
            self.too_large = True
            self.body.clear()
        if not self.too_large:
            self.body += data


class EngineBackend(Backend):
    """A model engine.

    :param engine: adapter of the engine.
    :param index: estimate of its cached blocks.
    :param clock: time source.
    """

    def __init__(self, engine: Engine, index: CacheIndex, clock: Clock) -> None:
        self._engine = engine
        self.index = index
        self._clock = clock
        self.prefills = PrefillTracker(index, clock)
        self.transfer: PrefixTransfer | None = None
        """Transfer of KV cache; None without a kept-cache service."""

    def cost(self, run: Run) -> float:
        return BASE_COST + len(run.keys) - self.index.match_all_keys(run.keys)

    def turn(self, run: Run, grant: Grant) -> PrefillStartCondition:
        return PrefillStartCondition(self.prefills, self.index, self._clock, run.keys, grant.priority)

    async def prepare(self, run: Run, grant: Grant) -> None:
        if self.transfer is not None:
            await self.transfer.import_prefix(run, grant.version, self.prefills.block_prefill_s)

    async def forward(self, run: Run, grant: Grant, attempt: Attempt, turn: StartCondition | None) -> Answer:
        assert isinstance(turn, PrefillStartCondition) and turn.prefill is not None
        return await self._generate(run, grant, attempt, turn.prefill)

    async def _generate(self, run: Run, grant: Grant, attempt: Attempt, prefill: Prefill) -> Answer:
        predicted = self.index.match_all_keys(run.keys)
        incarnation = self.index.incarnation
        started_s = self._clock.monotonic_s()
        first_s: float | None = None
        pieces = self._engine.generate(_generate_request(run, grant))
        async with aclosing(cast(Any, pieces)):
            async for piece in pieces:
                if first_s is None:
                    first_s = self._clock.monotonic_s() - started_s
                    attempt.begin()
                    self._note_first(run, prefill, incarnation)
                if isinstance(piece, TextChunk):
                    attempt.append(piece.text.encode(), piece.tokens)
                    continue
                self._finish(attempt, piece)
                if incarnation == self.index.incarnation:
                    self._learn(run, grant, prefill, predicted, piece, first_s)
                return Answer(0)
        raise FailureError(
            Failure(ErrorKind.ENGINE_FAILED, "the stream had no end mark", ExecutionState.UNKNOWN)
        )

    def _note_first(self, run: Run, prefill: Prefill, incarnation: str) -> None:
        """The first token shows that the whole prompt is computed and cached."""
        if incarnation == self.index.incarnation:
            self.index.store(run.keys)
        self.prefills.end(prefill)

    def _learn(
        self,
        run: Run,
        grant: Grant,
        prefill: Prefill,
        predicted: int,
        finish: GenerationEnd,
        first_s: float,
    ) -> None:
        blocks = len(run.keys)
        cached = self.index.to_cached_blocks(blocks, finish.prompt_tokens, finish.cached_tokens)
        self.index.correct_from_response(run.keys, predicted, cached)
        self.prefills.record_duration(prefill, blocks - cached, first_s)
        metrics.PREFIX_BLOCKS.add({"outcome": "cached"}, cached)
        metrics.PREFIX_BLOCKS.add({"outcome": "computed"}, blocks - cached)
        if self.transfer is not None:
            self.transfer.record_prompt(run, grant.version)

    def _finish(self, attempt: Attempt, finish: GenerationEnd) -> None:
        usage = {
            "prompt_tokens": finish.prompt_tokens,
            "completion_tokens": finish.completion_tokens,
            "cached_tokens": finish.cached_tokens,
        }
        attempt.finish(finish.finish_reason, usage)


class ServiceBackend(Backend):
    """A plain service.

    :param service: adapter of the service.
    :param outcome_bytes: largest body that a claim keeps.
    """

    def __init__(self, service: PlainService, outcome_bytes: int) -> None:
        self._service = service
        self._outcome_bytes = outcome_bytes

    def cost(self, run: Run) -> float:
        return BASE_COST

    async def forward(self, run: Run, grant: Grant, attempt: Attempt, turn: StartCondition | None) -> Answer:
        answer = Answer(self._outcome_bytes)
        headers = tuple((pair[0], pair[1]) for pair in run.headers if len(pair) == 2)
        call = ServiceCall(run.request_id, run.method, run.path, headers, run.body)
        parts = self._service.call(call)
        async with aclosing(cast(Any, parts)):
            async for part in parts:
                if isinstance(part, ServiceResponseHead):
                    answer.status = part.status
                    answer.headers = [list(pair) for pair in part.headers]
                    attempt.begin(part.status, answer.headers)
                    continue
                attempt.append(part)
                answer.add(part)
        attempt.finish()
        return answer


class Execution:
    """Runs one attempt that has passed the gate.

    :param run: message of the router.
    :param ask: what the gate judged.
    :param grant: the gate's decision.
    :param attempt: buffer of the answer.
    :param backend: the target.
    :param gate: judges once more before the request is forwarded.
    :param queue: queue in front of the target.
    :param claims: idempotency claims.
    :param clock: time source.
    """

    def __init__(
        self,
        run: Run,
        ask: Ask,
        grant: Grant,
        attempt: Attempt,
        backend: Backend,
        gate: AdmissionController,
        queue: FairQueue,
        claims: Claims,
        clock: Clock,
    ) -> None:
        self._run = run
        self._ask = ask
        self._grant = grant
        self._attempt = attempt
        self._backend = backend
        self._gate = gate
        self._queue = queue
        self._claims = claims
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._turn: StartCondition | None = None
        self.phase = Phase.WAITING

    def start(self) -> asyncio.Task[None]:
        """Enter the queue, in the same step as the gate's decision, and go on in a task."""
        cost = self._backend.cost(self._run)
        share = self._gate.share(self._run.customer, self._grant)
        self._turn = self._backend.turn(self._run, self._grant)
        ticket = self._queue.enter(share, cost, self._turn)
        self._attempt.accept(self._gate.engine_incarnation)
        self._task = asyncio.create_task(self._execute(ticket))
        # A task that is cancelled before its first step runs none of its own code, so the slot
        # is given back here.
        self._task.add_done_callback(lambda _: self._end(ticket))
        return self._task

    @property
    def may_be_stopped(self) -> bool:
        """Whether nothing is lost when the caller no longer waits."""
        return self._run.idempotent

    def cancel(self, failure: Failure) -> ExecutionState:
        """Stop the attempt.

        A call that must not be repeated is left to finish, since breaking its connection would
        hide its outcome from the claim.

        :param failure: recorded with the run state that is returned.
        """
        run = ExecutionState.UNKNOWN if self._attempt.forwarded else ExecutionState.NOT_RUN
        self._attempt.fail(failure.with_execution_state(run))
        interruptible = self.phase is Phase.WAITING or (
            self.phase is Phase.FORWARDED and self._run.idempotent
        )
        if interruptible and self._task is not None:
            self._task.cancel()
        return run

    async def close(self) -> None:
        """End the task at once; used when the process ends."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _execute(self, ticket: Ticket) -> None:
        try:
            await self._wait(ticket)
            await self._run_claimed()
        except FailureError as error:
            self._attempt.fail(error.failure)
        except Exception as error:
            self._attempt.fail(Failure(ErrorKind.INTERNAL, "the agent failed", self._run_state()))
            log.error(event("execution_failed", reason=repr(error), **self._log_fields()))

    def _end(self, ticket: Ticket) -> None:
        self.phase = Phase.ENDED
        self._queue.leave(ticket)
        self._attempt.fail(
            Failure(ErrorKind.CANCELLED, "the attempt was stopped", self._run_state())
        )
        self._report()

    async def _wait(self, ticket: Ticket) -> None:
        limit_s = self._gate.wait_limit_s(self._run.deadline_unix_s)
        try:
            async with asyncio.timeout(max(limit_s, 0)):
                await ticket.wait()
        except TimeoutError as error:
            raise FailureError(
                Failure(ErrorKind.OVERLOADED, "the queue moved slower than estimated")
            ) from error

    async def _run_claimed(self) -> None:
        await self._gate.wait_settled()
        await self._backend.prepare(self._run, self._grant)
        if self._run.idempotent or not self._run.idempotency_key:
            await self._forward()
            return
        self.phase = Phase.CLAIMING
        claimed = await self._claims.claim(
            self._run.customer, self._run.service, self._run.idempotency_key, digest_of(self._run)
        )
        if not isinstance(claimed, Success):
            raise FailureError(claimed.failure())
        claim = claimed.unwrap()
        if isinstance(claim, StoredOutcome):
            self._replay(claim)
            return
        await self._forward_claimed(claim)

    async def _forward_claimed(self, claim: Claim) -> None:
        try:
            answer = await self._forward()
        except BaseException as error:
            if _is_not_run(error) or not self._attempt.forwarded:
                await self._claims.release(claim)
            else:
                self._claims.record_unknown(claim)
            raise
        outcome = StoredOutcome(answer.status, answer.headers, bytes(answer.body), answer.too_large)
        self._claims.record(claim, outcome)

    async def _forward(self) -> Answer:
        judged = self._gate.confirm(self._ask)
        if not isinstance(judged, Success):
            raise FailureError(judged.failure())
        if self._attempt.ended_s is not None:
            raise FailureError(Failure(ErrorKind.CANCELLED, "the caller has gone"))
        # The last step before the adapter: an agent that resumes from a pause must not run what
        # the router has already given up.
        if self._clock.unix_s() >= self._run.deadline_unix_s:
            raise FailureError(Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"))
        self.phase = Phase.FORWARDED
        self._attempt.forwarded = True
        try:
            return await self._backend.forward(
                self._run, judged.unwrap(), self._attempt, self._turn
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
        self._attempt.begin(outcome.status, outcome.headers)
        self._attempt.append(outcome.body)
        self._attempt.finish()

    def _run_state(self) -> ExecutionState:
        return ExecutionState.UNKNOWN if self._attempt.forwarded else ExecutionState.NOT_RUN

    def _report(self) -> None:
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
            "revision": self._gate.revision_number,
        }


def digest_of(run: Run) -> str:
    """Digest of what a call asks for; a repeat with the same key must have the same."""
    total = hashlib.sha256()
    for part in (run.method.encode(), run.path.encode(), run.body):
        total.update(len(part).to_bytes(8, "big") + part)
    return total.hexdigest()


def ask_of(run: Run) -> Ask:
    """What a run message asks the gate for."""
    if run.kind == KIND_SERVICE_CALL:
        return Ask(
            run.customer,
            run.service,
            method=run.method,
            path=run.path,
            idempotent=run.idempotent,
        )
    return Ask(run.customer, "", run.model, run.adapter, run.version)


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
    return isinstance(error, FailureError) and error.failure.execution_state is ExecutionState.NOT_RUN
