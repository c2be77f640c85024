"""Server side of the request protocol: handles the messages of connected routers."""

import asyncio
import json
import math
from collections.abc import Awaitable, Callable
from weakref import WeakValueDictionary

import logbook
from returns.result import Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.common.settings import AgentSettings
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration, ActiveRevision
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.keyvalue.claims import Claims
from coltsfootfront.peers.connection import Connection, Identity
from coltsfootfront.peers.messages import (
    Acknowledge,
    Cancel,
    Message,
    Probe,
    ProbeReply,
    Resume,
    Run,
    Status,
    StatusReply,
    fail_message,
)
from coltsfootfront.targets.admission import AdmissionController, AdmissionRequest
from coltsfootfront.targets.attempts import Attempt, AttemptKey, AttemptRegistry
from coltsfootfront.targets.execution import (
    Backend,
    EngineBackend,
    Execution,
    admission_request_for,
)
from coltsfootfront.targets.fairqueue import FairQueue

log = logbook.Logger(__name__)

# Time limit for the agent to reach the revision that was in force at the router that sent a
# request.
REVISION_TIMEOUT_S = 1.0
EXPIRY_INTERVAL_S = 1.0
# Total size of the request bodies of waiting and running requests.
MAX_TOTAL_BODY_BYTES = 8 * 1024 * 1024

AttemptsByStream = WeakValueDictionary[int, Attempt]


class RequestServer:
    """Handles the requests of routers.

    :param settings: settings of the agent.
    :param identity: identity of the agent.
    :param clock: time source.
    :param configuration: configuration in force.
    :param gossip: handles messages about the configuration.
    :param admission: decides whether a request may run.
    :param queue: queue in front of the target.
    :param attempts: response buffers of all attempts.
    :param claims: idempotency claims.
    :param pause_detector: checked before each message.
    """

    def __init__(
        self,
        settings: AgentSettings,
        identity: Identity,
        clock: Clock,
        configuration: ActiveConfiguration,
        gossip: ConfigurationGossip,
        admission: AdmissionController,
        queue: FairQueue,
        attempts: AttemptRegistry,
        claims: Claims,
        pause_detector: PauseDetector,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._configuration = configuration
        self._gossip = gossip
        self._admission = admission
        self._queue = queue
        self._attempts = attempts
        self._claims = claims
        self._pause_detector = pause_detector
        self._executions: dict[AttemptKey, Execution] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._body_bytes = 0
        self.backend: Backend | None = None
        """Forwards requests to the target; None until the document gives the target's kind."""
        self.describe_state: Callable[[], dict[str, object]] = dict
        """Returns the state for the reply to ``status``."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or a response is still being sent."""
        return bool(self._executions) or self._attempts.undelivered() > 0

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        # Weak references, so that a connection keeps no response that the registry has dropped.
        by_stream: AttemptsByStream = WeakValueDictionary()
        try:
            while True:
                message, router_revision = await connection.receive()
                self._pause_detector.check()
                if not await self._gossip.handle_client_message(
                    connection, message, router_revision
                ):
                    await self._handle(connection, by_stream, message, router_revision)
        finally:
            self._attempts.detach_connection(connection)

    async def run_expiry(self) -> None:
        """Periodically stop attempts whose router has gone, and drop expired ones."""
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_S)
            for attempt in self._attempts.abandoned():
                execution = self._executions.get(attempt.key)
                if execution is not None and execution.is_cancellable:
                    execution.cancel(Failure(ErrorKind.CANCELLED, "the router has gone"))
            self._attempts.expire()

    async def close(self) -> None:
        """Cancel all requests without waiting for them to end."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for execution in list(self._executions.values()):
            await execution.close()
        self._attempts.close()

    async def _handle(
        self,
        connection: Connection,
        by_stream: AttemptsByStream,
        message: Message,
        router_revision: int,
    ) -> None:
        if isinstance(message, Probe):
            await connection.send(self._reply_to_probe(message))
        elif isinstance(message, Run):
            await self._run(connection, by_stream, message, router_revision)
        elif isinstance(message, Acknowledge):
            attempt = by_stream.get(message.stream)
            if attempt is not None and attempt.key[1] == message.attempt:
                attempt.acknowledge(message.offset)
        elif isinstance(message, Cancel):
            await self._cancel(connection, message)
        elif isinstance(message, Resume):
            await self._resume(connection, by_stream, message)
        elif isinstance(message, Status):
            await connection.send(
                StatusReply(message.call, json.dumps(self.describe_state()).encode())
            )
        else:
            metrics.CONNECTION_EVENTS.inc({"event": "unexpected_message"})

    def _reply_to_probe(self, probe: Probe) -> ProbeReply:
        request = AdmissionRequest(
            probe.customer, probe.service, probe.model, probe.adapter, probe.version
        )
        decision = self._admission.admit(request, math.inf)
        incarnation = self._admission.engine_incarnation
        if not isinstance(decision, Success):
            failure = decision.failure()
            return ProbeReply(
                probe.call,
                0,
                0.0,
                0.0,
                failure.kind.value,
                incarnation,
                self._queue.load,
                failure.effective_retry_after_s or 0.0,
            )
        params = self._admission.scheduling_params(probe.customer, decision.unwrap())
        wait_s = self._queue.estimate_wait_s(params)
        matched, prefill_s = 0, 0.0
        if isinstance(self.backend, EngineBackend):
            prefills = self.backend.prefills
            matched = prefills.match(probe.depths, probe.keys)
            prefill_s = prefills.block_prefill_s
            wait_s += prefills.backlog_s(decision.unwrap().priority)
        reply = ProbeReply(
            probe.call, matched, wait_s, prefill_s, "", incarnation, self._queue.load
        )
        if probe.hold:
            self._queue.reserve(params, self._settings.hold_s)
        return reply

    async def _run(
        self, connection: Connection, by_stream: AttemptsByStream, run: Run, router_revision: int
    ) -> None:
        key = (run.request_id, run.attempt)
        execution_state = self._attempts.recorded_execution_state(key)
        if execution_state is not None:
            failure = Failure(ErrorKind.UNKNOWN_STREAM, "the attempt was given up", execution_state)
            await connection.send(fail_message(run.stream, run.attempt, failure))
            return
        attempt = self._attempts.get(key)
        if attempt is not None:
            metrics.STREAM_EVENTS.inc({"event": "run_repeated"})
            if not attempt.is_attached_to(connection, run.stream):
                self._attach(connection, by_stream, attempt, run.stream, 0)
            return
        if not self._has_room(run):
            failure = Failure(ErrorKind.OVERLOADED, "the agent's buffers are full")
            metrics.count_refusal(failure.kind.value)
            await connection.send(fail_message(run.stream, run.attempt, failure))
            return
        attempt = self._attempts.open(key, run.deadline_unix_s, run.idempotent)
        self._attach(connection, by_stream, attempt, run.stream, 0)
        if router_revision > self._configuration.number or not self._admission.revision_checked:
            self._spawn(self._run_at_revision(run, attempt, router_revision))
        else:
            self._admit(run, attempt)

    def _has_room(self, run: Run) -> bool:
        if self._body_bytes and self._body_bytes + len(run.body) > MAX_TOTAL_BODY_BYTES:
            return False
        return self._attempts.has_room()

    def _attach(
        self,
        connection: Connection,
        by_stream: AttemptsByStream,
        attempt: Attempt,
        stream: int,
        next_seq: int,
    ) -> None:
        by_stream[stream] = attempt
        attempt.attach(connection, connection.send, stream, next_seq)

    async def _run_at_revision(self, run: Run, attempt: Attempt, router_revision: int) -> None:
        await self._admission.wait_revision_checked()
        if await self._wait_for_revision(router_revision):
            self._admit(run, attempt)
            return
        metrics.count_refusal(ErrorKind.STALE_REVISION.value)
        attempt.fail(Failure(ErrorKind.STALE_REVISION, f"revision {router_revision} cannot be had"))

    async def _wait_for_revision(self, revision: int) -> bool:
        reached = asyncio.Event()

        def on_revision(active_revision: ActiveRevision) -> None:
            if active_revision.number >= revision:
                reached.set()

        subscription = self._configuration.changes.subscribe(on_revision)
        try:
            async with asyncio.timeout(REVISION_TIMEOUT_S):
                await reached.wait()
            return True
        except TimeoutError:
            return False
        finally:
            subscription.dispose()

    def _admit(self, run: Run, attempt: Attempt) -> None:
        """Decide on admission and enqueue the request.

        Nothing is awaited in between, so that the queue is unchanged since the decision.
        """
        if attempt.ended_s is not None:
            return
        request = admission_request_for(run)
        decision = self._admission.admit(request, run.deadline_unix_s)
        backend = self.backend
        if not isinstance(decision, Success) or backend is None:
            failure = Failure(ErrorKind.TARGET_UNREACHABLE, "the target is not known yet")
            failure = failure if isinstance(decision, Success) else decision.failure()
            metrics.count_refusal(failure.kind.value)
            log.info(
                event(
                    "request_refused",
                    request_id=run.request_id,
                    customer=run.customer,
                    revision=self._configuration.number,
                    reason=failure.kind.value,
                )
            )
            attempt.fail(failure)
            return
        execution = Execution(
            run,
            request,
            decision.unwrap(),
            attempt,
            backend,
            self._admission,
            self._queue,
            self._claims,
            self._clock,
        )
        task = execution.start()
        body_bytes = len(run.body)
        self._body_bytes += body_bytes
        self._executions[attempt.key] = execution
        task.add_done_callback(lambda _: self._on_execution_done(attempt.key, body_bytes))

    def _on_execution_done(self, key: AttemptKey, body_bytes: int) -> None:
        self._body_bytes -= body_bytes
        del self._executions[key]

    async def _cancel(self, connection: Connection, cancel: Cancel) -> None:
        key = (cancel.request_id, cancel.attempt)
        failure = Failure(ErrorKind.CANCELLED, "the router cancelled the attempt")
        execution_state = self._cancel_attempt(key, failure)
        await connection.send(
            fail_message(
                cancel.stream, cancel.attempt, failure.with_execution_state(execution_state)
            )
        )

    def _cancel_attempt(self, key: AttemptKey, failure: Failure) -> ExecutionState:
        attempt = self._attempts.get(key)
        if attempt is None:
            return self._attempts.add_tombstone(key)
        attempt.detach()
        execution = self._executions.get(key)
        if attempt.ended_s is not None:
            return (
                ExecutionState.UNKNOWN
                if attempt.failure is None
                else attempt.failure.execution_state
            )
        if execution is not None:
            return execution.cancel(failure)
        attempt.fail(failure)
        return ExecutionState.NOT_RUN

    async def _resume(
        self, connection: Connection, by_stream: AttemptsByStream, resume: Resume
    ) -> None:
        key = (resume.request_id, resume.attempt)
        attempt = self._attempts.get(key)
        if attempt is not None:
            metrics.STREAM_EVENTS.inc({"event": "resumed"})
            self._attach(connection, by_stream, attempt, resume.stream, resume.next_seq)
            return
        metrics.STREAM_EVENTS.inc({"event": "resume_unknown"})
        execution_state = ExecutionState.UNKNOWN
        if resume.incarnation == self._identity.incarnation:
            execution_state = self._attempts.add_tombstone(key)
        failure = Failure(
            ErrorKind.UNKNOWN_STREAM, "the attempt is not known here", execution_state
        )
        await connection.send(fail_message(resume.stream, resume.attempt, failure))

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
