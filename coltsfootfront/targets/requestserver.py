"""The agent's side of the request protocol: connections of routers and their messages."""

import asyncio
import json
import math
from collections.abc import Awaitable, Callable
from weakref import WeakValueDictionary

import logbook
from returns.result import Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.common.settings import AgentSettings
from coltsfootfront.configuration.activeconfiguration import ActiveRevision, ActiveConfiguration
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
from coltsfootfront.targets.execution import Backend, EngineBackend, Execution, ask_of
from coltsfootfront.targets.fairqueue import FairQueue
from coltsfootfront.targets.admission import Ask, AdmissionController
from coltsfootfront.targets.attempts import Attempt, AttemptKey, Streams

log = logbook.Logger(__name__)

# Limit for reaching the revision that a request's router has in force.
REVISION_TIMEOUT_S = 1.0
EXPIRY_INTERVAL_S = 1.0
# Request bodies of waiting and running requests together.
MAX_BODY_BYTES = 8 * 1024 * 1024

Routes = WeakValueDictionary[int, Attempt]


class RequestServer:
    """Serves the requests of routers.

    :param settings: settings of the agent.
    :param identity: identity of the agent.
    :param clock: time source.
    :param revision: configuration in force.
    :param spread: takes the messages that concern the configuration.
    :param gate: decides on admission.
    :param queue: queue in front of the target.
    :param streams: answers of all attempts.
    :param claims: idempotency claims.
    :param pause: checked before each message.
    """

    def __init__(
        self,
        settings: AgentSettings,
        identity: Identity,
        clock: Clock,
        revision: ActiveConfiguration,
        spread: ConfigurationGossip,
        gate: AdmissionController,
        queue: FairQueue,
        streams: Streams,
        claims: Claims,
        pause: PauseDetector,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._revision = revision
        self._spread = spread
        self._gate = gate
        self._queue = queue
        self._streams = streams
        self._claims = claims
        self._pause = pause
        self._executions: dict[AttemptKey, Execution] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._body_bytes = 0
        self.backend: Backend | None = None
        """The target; None until the document says what it is."""
        self.describe: Callable[[], dict[str, object]] = dict
        """Builds the state that ``status`` reports."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or an answer is still being sent."""
        return bool(self._executions) or self._streams.undelivered() > 0

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        # Weak, so that a connection keeps no answer that the streams have forgotten.
        routes: Routes = WeakValueDictionary()
        try:
            while True:
                message, number = await connection.receive()
                self._pause.check()
                if not await self._spread.handle_client_message(connection, message, number):
                    await self._handle(connection, routes, message, number)
        finally:
            self._streams.detach_owner(connection)

    async def expire(self) -> None:
        """Stop attempts whose router is gone and forget old ones, for ever."""
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_S)
            for attempt in self._streams.abandoned():
                execution = self._executions.get(attempt.key)
                if execution is not None and execution.may_be_stopped:
                    execution.cancel(Failure(ErrorKind.CANCELLED, "the router has gone"))
            self._streams.expire()

    async def close(self) -> None:
        """End everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for execution in list(self._executions.values()):
            await execution.close()
        self._streams.close()

    async def _handle(
        self, connection: Connection, routes: Routes, message: Message, number: int
    ) -> None:
        if isinstance(message, Probe):
            await connection.send(self._probe(message))
        elif isinstance(message, Run):
            await self._run(connection, routes, message, number)
        elif isinstance(message, Acknowledge):
            attempt = routes.get(message.stream)
            if attempt is not None and attempt.key[1] == message.attempt:
                attempt.acknowledge(message.offset)
        elif isinstance(message, Cancel):
            await self._cancel(connection, message)
        elif isinstance(message, Resume):
            await self._resume(connection, routes, message)
        elif isinstance(message, Status):
            await connection.send(StatusReply(message.call, json.dumps(self.describe()).encode()))
        else:
            metrics.CONNECTION_EVENTS.inc({"event": "unexpected_message"})

    def _probe(self, probe: Probe) -> ProbeReply:
        ask = Ask(probe.customer, probe.service, probe.model, probe.adapter, probe.version)
        judged = self._gate.admit(ask, math.inf)
        incarnation = self._gate.engine_incarnation
        if not isinstance(judged, Success):
            failure = judged.failure()
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
        share = self._gate.share(probe.customer, judged.unwrap())
        wait_s = self._queue.estimate_s(share)
        matched, prefill_s = 0, 0.0
        if isinstance(self.backend, EngineBackend):
            prefills = self.backend.prefills
            matched = prefills.match(probe.depths, probe.keys)
            prefill_s = prefills.block_prefill_s
            wait_s += prefills.backlog_s(judged.unwrap().priority)
        reply = ProbeReply(
            probe.call, matched, wait_s, prefill_s, "", incarnation, self._queue.load
        )
        if probe.hold:
            self._queue.hold(share, self._settings.hold_s)
        return reply

    async def _run(self, connection: Connection, routes: Routes, run: Run, number: int) -> None:
        key = (run.request_id, run.attempt)
        record = self._streams.record_of(key)
        if record is not None:
            failure = Failure(ErrorKind.UNKNOWN_STREAM, "the attempt was given up", record)
            await connection.send(fail_message(run.stream, run.attempt, failure))
            return
        attempt = self._streams.get(key)
        if attempt is not None:
            metrics.STREAM_EVENTS.inc({"event": "run_repeated"})
            if not attempt.is_attached_to(connection, run.stream):
                self._attach(connection, routes, attempt, run.stream, 0)
            return
        if not self._has_room(run):
            failure = Failure(ErrorKind.OVERLOADED, "the agent's buffers are full")
            metrics.count_refusal(failure.kind.value)
            await connection.send(fail_message(run.stream, run.attempt, failure))
            return
        attempt = self._streams.open(key, run.deadline_unix_s, run.idempotent)
        self._attach(connection, routes, attempt, run.stream, 0)
        if number > self._revision.number or not self._gate.settled:
            self._spawn(self._run_at_revision(run, attempt, number))
        else:
            self._admit(run, attempt)

    def _has_room(self, run: Run) -> bool:
        if self._body_bytes and self._body_bytes + len(run.body) > MAX_BODY_BYTES:
            return False
        return self._streams.has_room()

    def _attach(
        self,
        connection: Connection,
        routes: Routes,
        attempt: Attempt,
        stream: int,
        next_seq: int,
    ) -> None:
        routes[stream] = attempt
        attempt.attach(connection, connection.send, stream, next_seq)

    async def _run_at_revision(self, run: Run, attempt: Attempt, number: int) -> None:
        await self._gate.wait_settled()
        if await self._reach(number):
            self._admit(run, attempt)
            return
        metrics.count_refusal(ErrorKind.STALE_REVISION.value)
        attempt.fail(Failure(ErrorKind.STALE_REVISION, f"revision {number} cannot be had"))

    async def _reach(self, number: int) -> bool:
        reached = asyncio.Event()

        def adopt(in_force: ActiveRevision) -> None:
            if in_force.number >= number:
                reached.set()

        subscription = self._revision.changes.subscribe(adopt)
        try:
            async with asyncio.timeout(REVISION_TIMEOUT_S):
                await reached.wait()
            return True
        except TimeoutError:
            return False
        finally:
            subscription.dispose()

    def _admit(self, run: Run, attempt: Attempt) -> None:
        """Let a request in; nothing is awaited between the decision and the queue."""
        if attempt.ended_s is not None:
            return
        ask = ask_of(run)
        judged = self._gate.admit(ask, run.deadline_unix_s)
        backend = self.backend
        if not isinstance(judged, Success) or backend is None:
            failure = Failure(ErrorKind.TARGET_UNREACHABLE, "the target is not known yet")
            failure = failure if isinstance(judged, Success) else judged.failure()
            metrics.count_refusal(failure.kind.value)
            log.info(
                event(
                    "request_refused",
                    request_id=run.request_id,
                    customer=run.customer,
                    revision=self._revision.number,
                    reason=failure.kind.value,
                )
            )
            attempt.fail(failure)
            return
        execution = Execution(
            run,
            ask,
            judged.unwrap(),
            attempt,
            backend,
            self._gate,
            self._queue,
            self._claims,
            self._clock,
        )
        task = execution.start()
        size = len(run.body)
        self._body_bytes += size
        self._executions[attempt.key] = execution
        task.add_done_callback(lambda _: self._ended(attempt.key, size))

    def _ended(self, key: AttemptKey, size: int) -> None:
        self._body_bytes -= size
        del self._executions[key]

    async def _cancel(self, connection: Connection, cancel: Cancel) -> None:
        key = (cancel.request_id, cancel.attempt)
        failure = Failure(ErrorKind.CANCELLED, "the router cancelled the attempt")
        run = self._stop(key, failure)
        await connection.send(fail_message(cancel.stream, cancel.attempt, failure.with_execution_state(run)))

    def _stop(self, key: AttemptKey, failure: Failure) -> ExecutionState:
        attempt = self._streams.get(key)
        if attempt is None:
            return self._streams.refuse(key)
        attempt.detach()
        execution = self._executions.get(key)
        if attempt.ended_s is not None:
            return ExecutionState.UNKNOWN if attempt.failure is None else attempt.failure.execution_state
        if execution is not None:
            return execution.cancel(failure)
        attempt.fail(failure)
        return ExecutionState.NOT_RUN

    async def _resume(self, connection: Connection, routes: Routes, resume: Resume) -> None:
        key = (resume.request_id, resume.attempt)
        attempt = self._streams.get(key)
        if attempt is not None:
            metrics.STREAM_EVENTS.inc({"event": "resumed"})
            self._attach(connection, routes, attempt, resume.stream, resume.next_seq)
            return
        metrics.STREAM_EVENTS.inc({"event": "resume_unknown"})
        run = ExecutionState.UNKNOWN
        if resume.incarnation == self._identity.incarnation:
            run = self._streams.refuse(key)
        failure = Failure(ErrorKind.UNKNOWN_STREAM, "the attempt is not known here", run)
        await connection.send(fail_message(resume.stream, resume.attempt, failure))

    def _spawn(self, body: Awaitable[None]) -> None:
        task = asyncio.ensure_future(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
