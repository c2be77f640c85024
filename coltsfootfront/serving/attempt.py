"""One attempt of a request at one agent: run, relay, resume, give up."""

import asyncio
from dataclasses import dataclass

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.peers.channel import Channel, StreamInbox
from coltsfootfront.peers.connection import MAX_FRAME_BYTES, ConnectionLostError
from coltsfootfront.peers.liveness import AgentLiveness
from coltsfootfront.peers.messages import (
    Accepted,
    Acknowledge,
    Cancel,
    Chunk,
    End,
    Fail,
    Head,
    Message,
    Resume,
    Run,
    failure_from_message,
)
from coltsfootfront.placing.placer import Destination
from coltsfootfront.serving.responses import Caller, Progress, StreamCheck, Verdict

log = logbook.Logger(__name__)

# Bytes delivered before they are acknowledged; half of the smallest send window.
ACKNOWLEDGE_BYTES = 2048
# A remainder below that is acknowledged after this pause, so that a window never stays full.
ACKNOWLEDGE_PAUSE_S = 0.1
# Resumes without a new chunk before the agent of an attempt counts as lost.
MAX_RESUMES = 5
# Reconnects to the agent of a lost connection. A non-idempotent request has no other way to
# its answer, so it tries for longer than a request that may run elsewhere.
RECONNECTS = 2
RECONNECTS_NOT_IDEMPOTENT = 6
RECONNECT_DELAY_S = 0.1
# Room for the fields of a run besides body, text, headers and keys.
RUN_OVERHEAD_BYTES = 64 * 1024
# Time for an agent to answer a cancel.
CANCEL_TIMEOUT_S = 0.5
# Time beyond the deadline after which an agent that has not started the request is given up.
DEADLINE_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Times of one attempt in seconds.

    :param accept_s: for an agent to accept or refuse, and to answer a question.
    :param idle_s: longest silence before the stream is resumed.
    """

    accept_s: float
    idle_s: float


class _InterruptedError(Exception):
    """The stream needs a resume: the connection was cut, or a frame is missing.

    :param reason: for the log.
    :param counts: whether the resume counts towards the limit.
    """

    def __init__(self, reason: str, counts: bool = True) -> None:
        super().__init__(reason)
        self.counts = counts


class _OverdueError(Exception):
    """The agent neither accepted nor refused, or did not start the request, in time."""

    def __init__(self, kind: ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class Attempt:
    """Runs a request at one agent and relays its answer.

    :param channel: channel to the agent.
    :param job: the request.
    :param place: where the request goes.
    :param number: number of the attempt, from 1.
    :param progress: what the caller has already got.
    :param caller: receives the answer.
    """

    def __init__(
        self,
        channel: Channel,
        job: CallerRequest,
        place: Destination,
        number: int,
        keys: tuple[bytes, ...],
        progress: Progress,
        caller: Caller,
        limits: AttemptLimits,
        liveness: AgentLiveness,
        clock: Clock,
    ) -> None:
        self._channel = channel
        self._job = job
        self._place = place
        self._number = number
        self._keys = keys
        self._progress = progress
        self._caller = caller
        self._limits = limits
        self._liveness = liveness
        self._clock = clock
        self._inbox: StreamInbox | None = None
        self._check = StreamCheck(0, number)
        self._acknowledged = 0
        self._accepted = False
        self._has_head = False
        self.agent = ""
        self.engine = ""

    @property
    def received_bytes(self) -> int:
        """Answer bytes received in this attempt."""
        return self._check.offset

    async def run(self) -> Result[End, Failure]:
        """Run the attempt to its end.

        :returns: the end mark, or a failure whose run state is true.
        :raises CallerGoneError: the caller has gone; the agent has been told to stop.
        """
        if self._run_bytes() > MAX_FRAME_BYTES:
            # A frame that is too large would end the connection and every stream on it.
            message = "request and the text so far are too large to go on elsewhere"
            return Failed(Failure(ErrorKind.BODY_TOO_LARGE, message, ExecutionState.NOT_RUN))
        try:
            self.agent = await self._channel.open()
        except ConnectionLostError as error:
            message = f"agent of {self._place.target} cannot be reached"
            log.debug(event("agent_unreachable", target=self._place.target, reason=error))
            return Failed(Failure(ErrorKind.TARGET_UNREACHABLE, message, ExecutionState.NOT_RUN))
        self._progress.begin_attempt()
        self._bind()
        try:
            return await self._run_and_resume()
        except BaseException:
            # The caller has gone or this process stops: nobody waits for the answer.
            await asyncio.shield(asyncio.create_task(self._send_cancel()))
            raise
        finally:
            self._unbind()

    async def _run_and_resume(self) -> Result[End, Failure]:
        is_bound = await self._send_run()
        resumes, reached = 0, 0
        while resumes < MAX_RESUMES:
            if is_bound:
                try:
                    return await self._follow()
                except _InterruptedError as error:
                    log.info(self._event("stream_interrupted", reason=error))
                    resumes += error.counts
                except _OverdueError as error:
                    return Failed(await self._give_up(error.kind, str(error)))
            if self._check.next_seq > reached:
                resumes, reached = 0, self._check.next_seq
            is_bound = await self._resume()
            if not is_bound:
                break
        return Failed(self._lost())

    def _run_bytes(self) -> int:
        """Upper estimate of the size of the run message."""
        job = self._job
        headers = sum(len(name) + len(value) + 8 for name, value in job.headers)
        text = len(self._progress.text.encode())
        keys = 16 * len(self._keys)
        return len(job.body) + text + keys + headers + len(job.path) + RUN_OVERHEAD_BYTES

    def _lost(self) -> Failure:
        message = f"connection to the agent of {self._place.target} was lost"
        return Failure(ErrorKind.CONNECTION_LOST, message, ExecutionState.UNKNOWN)

    async def _send_run(self) -> bool:
        job = self._job
        message = Run(
            self._check.stream,
            job.request_id,
            self._number,
            job.customer,
            job.service,
            job.kind,
            job.deadline_unix_s,
            job.body,
            job.model,
            job.adapter,
            self._place.version,
            job.method,
            job.path,
            job.headers,
            job.idempotent,
            job.idempotency_key,
            list(self._keys),
            self._progress.text,
            self._progress.tokens,
        )
        return await self._try_send(message)

    async def _resume(self) -> bool:
        """Reconnect and ask the same agent to go on.

        :returns: whether the question was sent.
        """
        metrics.STREAM_EVENTS.inc({"event": "resume"})
        tries = RECONNECTS if self._job.idempotent else RECONNECTS_NOT_IDEMPOTENT
        for number in range(tries):
            if number:
                await self._clock.sleep(RECONNECT_DELAY_S * number)
            self._bind()
            message = Resume(
                self._check.stream,
                self._job.request_id,
                self._number,
                self._check.next_seq,
                self.agent,
            )
            if await self._try_send(message):
                # The agent answers a stream it does not know, and need not repeat `accepted`.
                self._accepted = True
                return True
        return False

    async def _try_send(self, message: Message) -> bool:
        try:
            async with asyncio.timeout(self._limits.accept_s):
                await self._channel.send(message)
        except ConnectionLostError as error:
            log.debug(self._event("send_failed", message=message.TYPE, reason=error))
            return False
        except TimeoutError:
            # A frozen agent takes nothing from its connection; a new one tells at once.
            log.info(self._event("send_timed_out", message=message.TYPE))
            await self._channel.close()
            return False
        return True

    def _bind(self) -> None:
        """Take a new stream number; frames for an earlier one are dropped by the channel."""
        self._unbind()
        self._inbox = self._channel.open_stream()
        self._check.rebind(self._inbox.stream)

    def _unbind(self) -> None:
        if self._inbox is not None:
            self._inbox.close()
            self._inbox = None

    async def _follow(self) -> Result[End, Failure]:
        """Take messages until the end, a failure or an interruption."""
        while True:
            message = await self._receive()
            if not self._is_current(message):
                continue
            if isinstance(message, Fail):
                return Failed(self._read_failure(message))
            try:
                outcome = await self._take(message)
            except UnicodeDecodeError:
                outcome = Failed(self._broken("answer is not UTF-8"))
            if outcome is not None:
                return outcome

    def _is_current(self, message: Message) -> bool:
        stream = getattr(message, "stream", 0)
        attempt = getattr(message, "attempt", 0)
        return self._check.is_current(stream, attempt)

    async def _take(self, message: Message) -> Result[End, Failure] | None:
        if isinstance(message, Accepted):
            self._accepted = True
            self.engine = message.engine
        elif isinstance(message, Head):
            self._accepted = True
            await self._take_head(message)
        elif isinstance(message, Chunk):
            self._accepted = True
            return await self._take_chunk(message)
        elif isinstance(message, End):
            return self._take_end(message)
        return None

    async def _take_head(self, head: Head) -> None:
        if self._has_head:
            return
        self._has_head = True
        if self._progress.head is None:
            self._progress.head = head
            await self._caller.start(head)

    async def _take_chunk(self, chunk: Chunk) -> Result[End, Failure] | None:
        if not self._has_head:
            if self._job.kind == KIND_SERVICE:
                return Failed(self._broken("body came before the head"))
            await self._take_head(Head(chunk.stream, chunk.attempt))
        verdict = self._check.take_chunk(chunk)
        if verdict is Verdict.GAP:
            raise _InterruptedError("a chunk is missing")
        if verdict is Verdict.BROKEN:
            return Failed(self._broken("chunk has a wrong offset"))
        if verdict is Verdict.NEW:
            await self._deliver(chunk)
        return None

    async def _deliver(self, chunk: Chunk) -> None:
        if self._job.kind == KIND_SERVICE:
            await self._caller.write(chunk.data)
        else:
            text = self._progress.take(chunk.data, chunk.tokens)
            if text:
                await self._caller.write(text.encode())
        if self._check.offset - self._acknowledged >= ACKNOWLEDGE_BYTES:
            await self._acknowledge()

    async def _acknowledge(self) -> None:
        self._acknowledged = self._check.offset
        await self._try_send(Acknowledge(self._check.stream, self._number, self._check.offset))

    def _take_end(self, end: End) -> Result[End, Failure]:
        verdict = self._check.take_end(end)
        if verdict is Verdict.GAP:
            raise _InterruptedError("the end came before its chunks")
        if verdict is Verdict.BROKEN or self._progress.has_open_character:
            return Failed(self._broken("end has wrong totals"))
        if self._job.kind == KIND_SERVICE and not self._has_head:
            return Failed(self._broken("end came before the head"))
        return Success(end)

    def _broken(self, reason: str) -> Failure:
        metrics.STREAM_EVENTS.inc({"event": "broken"})
        log.error(self._event("stream_broken", reason=reason))
        message = f"stream of {self._place.target} is broken: {reason}"
        return Failure(ErrorKind.TARGET_FAILED, message, ExecutionState.UNKNOWN)

    def _read_failure(self, message: Fail) -> Failure:
        failure = failure_from_message(message)
        if self._has_head and failure.execution_state is ExecutionState.NOT_RUN:
            # The target has answered, so the request has run.
            return failure.with_execution_state(ExecutionState.UNKNOWN)
        return failure

    async def _receive(self) -> Message:
        """Wait for the next message; looks after silent agents and small acknowledgements.

        :raises _InterruptedError: the connection ended, or the stream was silent for long.
        :raises _OverdueError: the agent did not accept or start the request in time.
        """
        inbox = self._inbox
        assert inbox is not None
        started_s = self._clock.monotonic_s()
        while True:
            try:
                async with asyncio.timeout(self._pause_s()):
                    return await inbox.get()
            except ConnectionLostError as error:
                raise _InterruptedError(str(error)) from error
            except TimeoutError:
                await self._pass_pause(started_s)

    def _pause_s(self) -> float:
        if self._acknowledged < self._check.offset:
            return ACKNOWLEDGE_PAUSE_S
        return self._limits.accept_s

    async def _pass_pause(self, started_s: float) -> None:
        if self._acknowledged < self._check.offset:
            await self._acknowledge()
            return
        if not self._accepted:
            raise _OverdueError(ErrorKind.TARGET_UNREACHABLE, "neither accepted nor refused")
        if not await self._liveness.is_alive(self._channel):
            raise _InterruptedError("the agent does not answer")
        if self._is_overdue():
            raise _OverdueError(ErrorKind.DEADLINE_EXCEEDED, "did not start the request in time")
        if self._clock.monotonic_s() - started_s >= self._limits.idle_s:
            # A request may wait in a queue for as long as its deadline allows.
            raise _InterruptedError("the stream was silent for too long", self._has_head)

    def _is_overdue(self) -> bool:
        if self._has_head:
            return False
        return self._clock.unix_s() > self._job.deadline_unix_s + DEADLINE_MARGIN_S

    async def _give_up(self, kind: ErrorKind, reason: str) -> Failure:
        """Cancel the attempt and wait a short time for the agent's own word on it."""
        message = f"agent of {self._place.target} {reason}"
        unknown = Failure(kind, message, ExecutionState.UNKNOWN)
        if not await self._send_cancel():
            return unknown
        inbox = self._inbox
        assert inbox is not None
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                while True:
                    answer = await inbox.get()
                    if isinstance(answer, Fail) and self._is_current(answer):
                        return unknown.with_execution_state(self._read_failure(answer).execution_state)
        except (TimeoutError, ConnectionLostError):
            return unknown

    async def _send_cancel(self) -> bool:
        metrics.STREAM_EVENTS.inc({"event": "cancel"})
        cancel = Cancel(self._check.stream, self._job.request_id, self._number)
        return await self._try_send(cancel)

    def _event(self, name: str, **fields: object) -> str:
        return event(
            name,
            request_id=self._job.request_id,
            customer=self._job.customer,
            target=self._place.target,
            attempt=self._number,
            **fields,
        )
