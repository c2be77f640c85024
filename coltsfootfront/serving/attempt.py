"""One attempt to run a request at one agent, including resumes and cancellation."""

import asyncio
from dataclasses import dataclass

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
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
from coltsfootfront.serving.responses import (
    DeliveryProgress,
    FrameStatus,
    ResponseWriter,
    StreamValidator,
)

log = logbook.Logger(__name__)

# Delivered bytes that trigger an acknowledgement: half of the smallest send window.
ACKNOWLEDGE_BYTES = 2048
# Fewer bytes are acknowledged after this delay, so that a send window never stays full.
ACKNOWLEDGE_DELAY_S = 0.1
# Consecutive resumes without a new chunk after which the connection counts as lost.
MAX_RESUMES = 5
# Reconnects to an agent after its connection is lost. A non-idempotent request cannot be retried
# at another target, so its response is requested for longer.
MAX_RECONNECTS = 2
MAX_RECONNECTS_NON_IDEMPOTENT = 6
RECONNECT_DELAY_S = 0.1
# Allowance for the fields of a `Execution` message besides body, text, headers and block keys.
RUN_OVERHEAD_BYTES = 64 * 1024
# Time for an agent to confirm a cancellation.
CANCEL_TIMEOUT_S = 0.5
# Time beyond the start deadline after which a request that has not started is cancelled.
DEADLINE_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Timeouts of one attempt in seconds.

    :param accept_s: limit for an agent to accept or refuse a request, and for sending a message.
    :param idle_s: longest time without a message before the stream is resumed.
    """

    accept_s: float
    idle_s: float


class _StreamInterruptedError(Exception):
    """The stream has to be resumed: the connection is lost, or a frame is missing.

    :param reason: text for the log.
    :param counts_towards_limit: whether the resume counts towards ``MAX_RESUMES``.
    """

    def __init__(self, reason: str, counts_towards_limit: bool = True) -> None:
        super().__init__(reason)
        self.counts_towards_limit = counts_towards_limit


class _AgentTimeoutError(Exception):
    """The agent did not accept, refuse or start the request in time."""

    def __init__(self, kind: ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class Attempt:
    """Runs a request at one agent and relays the response to the caller.

    :param channel: channel to the agent.
    :param caller_request: the request to run.
    :param destination: target that the request is sent to.
    :param attempt_number: number of the attempt, from 1.
    :param block_keys: block keys of the prompt, for the prefix cache.
    :param progress: what all attempts have delivered to the caller so far.
    :param writer: receives the response.
    :param liveness: distinguishes an idle stream from an agent that does not respond.
    """

    def __init__(
        self,
        channel: Channel,
        caller_request: CallerRequest,
        destination: Destination,
        attempt_number: int,
        block_keys: tuple[bytes, ...],
        progress: DeliveryProgress,
        writer: ResponseWriter,
        timeouts: AttemptTimeouts,
        liveness: AgentLiveness,
        clock: Clock,
    ) -> None:
        self._channel = channel
        self._caller_request = caller_request
        self._destination = destination
        self._attempt_number = attempt_number
        self._block_keys = block_keys
        self._progress = progress
        self._writer = writer
        self._timeouts = timeouts
        self._liveness = liveness
        self._clock = clock
        self._inbox: StreamInbox | None = None
        self._validator = StreamValidator(0, attempt_number)
        self._acknowledged_bytes = 0
        self._accepted = False
        self._has_head = False
        self.agent_incarnation = ""
        self.engine_incarnation = ""

    @property
    def received_bytes(self) -> int:
        """Response bytes received in this attempt."""
        return self._validator.offset

    async def run(self) -> Result[End, Failure]:
        """Run the attempt until the response ends or fails.

        :returns: the end message, or a failure that says whether the request may have run.
        :raises CallerDisconnectedError: the caller has disconnected; the agent has been sent a
            cancellation.
        """
        if self._estimate_run_bytes() > MAX_FRAME_BYTES:
            # An oversized frame closes the connection and with it every other stream.
            message = "request and the text so far are too large to go on elsewhere"
            return Failed(Failure(ErrorKind.BODY_TOO_LARGE, message, ExecutionState.NOT_RUN))
        try:
            self.agent_incarnation = await self._channel.open()
        except ConnectionLostError as error:
            message = f"agent of {self._destination.target} cannot be reached"
            log.debug(event("agent_unreachable", target=self._destination.target, reason=error))
            return Failed(Failure(ErrorKind.TARGET_UNREACHABLE, message, ExecutionState.NOT_RUN))
        self._progress.begin_attempt()
        self._open_stream()
        try:
            return await self._run_and_resume()
        except BaseException:
            # The caller has disconnected or this process stops, so the response is not needed.
            await asyncio.shield(asyncio.create_task(self._send_cancel()))
            raise
        finally:
            self._close_stream()

    async def _run_and_resume(self) -> Result[End, Failure]:
        is_sent = await self._send_run()
        resumes, last_seq = 0, 0
        while resumes < MAX_RESUMES:
            if is_sent:
                try:
                    return await self._receive_response()
                except _StreamInterruptedError as error:
                    log.info(self._event("stream_interrupted", reason=error))
                    resumes += error.counts_towards_limit
                except _AgentTimeoutError as error:
                    return Failed(await self._cancel_and_confirm(error.kind, str(error)))
            if self._validator.next_seq > last_seq:
                resumes, last_seq = 0, self._validator.next_seq
            is_sent = await self._resume()
            if not is_sent:
                break
        return Failed(self._connection_lost_failure())

    def _estimate_run_bytes(self) -> int:
        """Upper bound for the size of the ``Execution`` message."""
        caller_request = self._caller_request
        header_bytes = sum(len(name) + len(value) + 8 for name, value in caller_request.headers)
        text_bytes = len(self._progress.text.encode())
        key_bytes = 16 * len(self._block_keys)
        return (
            len(caller_request.body)
            + text_bytes
            + key_bytes
            + header_bytes
            + len(caller_request.path)
            + RUN_OVERHEAD_BYTES
        )

    def _connection_lost_failure(self) -> Failure:
        message = f"connection to the agent of {self._destination.target} was lost"
        return Failure(ErrorKind.CONNECTION_LOST, message, ExecutionState.UNKNOWN)

    async def _send_run(self) -> bool:
        caller_request = self._caller_request
        message = Run(
            self._validator.stream,
            caller_request.request_id,
            self._attempt_number,
            caller_request.customer,
            caller_request.service,
            caller_request.kind,
            caller_request.deadline_unix_s,
            caller_request.body,
            caller_request.model,
            caller_request.adapter,
            self._destination.version,
            caller_request.method,
            caller_request.path,
            caller_request.headers,
            caller_request.idempotent,
            caller_request.idempotency_key,
            list(self._block_keys),
            self._progress.text,
            self._progress.tokens,
        )
        return await self._try_send(message)

    async def _resume(self) -> bool:
        """Reconnect and ask the same agent to continue the stream.

        :returns: whether the resume message was sent.
        """
        metrics.STREAM_EVENTS.inc({"event": "resume"})
        max_tries = (
            MAX_RECONNECTS if self._caller_request.idempotent else MAX_RECONNECTS_NON_IDEMPOTENT
        )
        for reconnects in range(max_tries):
            if reconnects:
                await self._clock.sleep(RECONNECT_DELAY_S * reconnects)
            self._open_stream()
            message = Resume(
                self._validator.stream,
                self._caller_request.request_id,
                self._attempt_number,
                self._validator.next_seq,
                self.agent_incarnation,
            )
            if await self._try_send(message):
                # The agent reports an unknown stream as a failure and need not repeat `Accepted`.
                self._accepted = True
                return True
        return False

    async def _try_send(self, message: Message) -> bool:
        try:
            async with ReadTimeout(self._timeouts.accept_s):
                await self._channel.send(message)
        except ConnectionLostError as error:
            log.debug(self._event("send_failed", message=message.TYPE, reason=error))
            return False
        except TimeoutError:
            # A frozen agent does not read from its connection. Opening a new connection shows at
            # once whether the agent responds.
            log.info(self._event("send_timed_out", message=message.TYPE))
            await self._channel.close()
            return False
        return True

    def _open_stream(self) -> None:
        """Open a new stream; the channel drops frames of the previous one."""
        self._close_stream()
        self._inbox = self._channel.open_stream()
        self._validator.rebind(self._inbox.stream)

    def _close_stream(self) -> None:
        if self._inbox is not None:
            self._inbox.close()
            self._inbox = None

    async def _receive_response(self) -> Result[End, Failure]:
        """Handle messages until the response ends, fails or is interrupted."""
        while True:
            message = await self._receive()
            if not self._is_current(message):
                continue
            if isinstance(message, Fail):
                return Failed(self._failure_from_message(message))
            try:
                outcome = await self._handle_message(message)
            except UnicodeDecodeError:
                outcome = Failed(self._broken_stream_failure("answer is not UTF-8"))
            if outcome is not None:
                return outcome

    def _is_current(self, message: Message) -> bool:
        stream = getattr(message, "stream", 0)
        attempt = getattr(message, "attempt", 0)
        return self._validator.is_current(stream, attempt)

    async def _handle_message(self, message: Message) -> Result[End, Failure] | None:
        if isinstance(message, Accepted):
            self._accepted = True
            self.engine_incarnation = message.engine
        elif isinstance(message, Head):
            self._accepted = True
            await self._handle_head(message)
        elif isinstance(message, Chunk):
            self._accepted = True
            return await self._handle_chunk(message)
        elif isinstance(message, End):
            return self._handle_end(message)
        return None

    async def _handle_head(self, head: Head) -> None:
        if self._has_head:
            return
        self._has_head = True
        if self._progress.head is None:
            self._progress.head = head
            await self._writer.start(head)

    async def _handle_chunk(self, chunk: Chunk) -> Result[End, Failure] | None:
        if not self._has_head:
            if self._caller_request.kind == KIND_SERVICE:
                return Failed(self._broken_stream_failure("body came before the head"))
            await self._handle_head(Head(chunk.stream, chunk.attempt))
        status = self._validator.check_chunk(chunk)
        if status is FrameStatus.GAP:
            raise _StreamInterruptedError("a chunk is missing")
        if status is FrameStatus.BROKEN:
            return Failed(self._broken_stream_failure("chunk has a wrong offset"))
        if status is FrameStatus.NEW:
            await self._deliver(chunk)
        return None

    async def _deliver(self, chunk: Chunk) -> None:
        if self._caller_request.kind == KIND_SERVICE:
            await self._writer.write(chunk.data)
        else:
            text = self._progress.decode(chunk.data, chunk.tokens)
            if text:
                await self._writer.write(text.encode())
        if self._validator.offset - self._acknowledged_bytes >= ACKNOWLEDGE_BYTES:
            await self._acknowledge()

    async def _acknowledge(self) -> None:
        self._acknowledged_bytes = self._validator.offset
        await self._try_send(
            Acknowledge(self._validator.stream, self._attempt_number, self._validator.offset)
        )

    def _handle_end(self, end: End) -> Result[End, Failure]:
        status = self._validator.check_end(end)
        if status is FrameStatus.GAP:
            raise _StreamInterruptedError("the end came before its chunks")
        if status is FrameStatus.BROKEN or self._progress.has_partial_character:
            return Failed(self._broken_stream_failure("end has wrong totals"))
        if self._caller_request.kind == KIND_SERVICE and not self._has_head:
            return Failed(self._broken_stream_failure("end came before the head"))
        return Success(end)

    def _broken_stream_failure(self, reason: str) -> Failure:
        metrics.STREAM_EVENTS.inc({"event": "broken"})
        log.error(self._event("stream_broken", reason=reason))
        message = f"stream of {self._destination.target} is broken: {reason}"
        return Failure(ErrorKind.TARGET_FAILED, message, ExecutionState.UNKNOWN)

    def _failure_from_message(self, message: Fail) -> Failure:
        failure = failure_from_message(message)
        if self._has_head and failure.execution_state is ExecutionState.NOT_RUN:
            # The target has sent a response head, so the request has run.
            return failure.with_execution_state(ExecutionState.UNKNOWN)
        return failure

    async def _receive(self) -> Message:
        """Wait for the next message; meanwhile acknowledge small remainders and check the agent.

        :raises _StreamInterruptedError: the connection is lost, the agent does not respond, or the
            stream is idle for too long.
        :raises _AgentTimeoutError: the agent did not accept or start the request in time.
        """
        inbox = self._inbox
        assert inbox is not None
        started_s = self._clock.monotonic_s()
        while True:
            try:
                async with ReadTimeout(self._receive_timeout_s()):
                    return await inbox.get()
            except ConnectionLostError as error:
                raise _StreamInterruptedError(str(error)) from error
            except TimeoutError:
                await self._handle_receive_timeout(started_s)

    def _receive_timeout_s(self) -> float:
        if self._acknowledged_bytes < self._validator.offset:
            return ACKNOWLEDGE_DELAY_S
        return self._timeouts.accept_s

    async def _handle_receive_timeout(self, started_s: float) -> None:
        if self._acknowledged_bytes < self._validator.offset:
            await self._acknowledge()
            return
        if not self._accepted:
            raise _AgentTimeoutError(ErrorKind.TARGET_UNREACHABLE, "neither accepted nor refused")
        if not await self._liveness.is_alive(self._channel):
            raise _StreamInterruptedError("the agent does not respond")
        if self._is_past_start_deadline():
            raise _AgentTimeoutError(
                ErrorKind.DEADLINE_EXCEEDED, "did not start the request in time"
            )
        if self._clock.monotonic_s() - started_s >= self._timeouts.idle_s:
            # A request may be queued until its deadline, so only idle time after the head counts.
            raise _StreamInterruptedError("the stream was idle for too long", self._has_head)

    def _is_past_start_deadline(self) -> bool:
        if self._has_head:
            return False
        return self._clock.unix_s() > self._caller_request.deadline_unix_s + DEADLINE_MARGIN_S

    async def _cancel_and_confirm(self, kind: ErrorKind, reason: str) -> Failure:
        """Cancel the attempt and wait briefly for the execution state that the agent reports."""
        message = f"agent of {self._destination.target} {reason}"
        unknown = Failure(kind, message, ExecutionState.UNKNOWN)
        if not await self._send_cancel():
            return unknown
        inbox = self._inbox
        assert inbox is not None
        try:
            async with ReadTimeout(CANCEL_TIMEOUT_S):
                while True:
                    reply = await inbox.get()
                    if isinstance(reply, Fail) and self._is_current(reply):
                        return unknown.with_execution_state(
                            self._failure_from_message(reply).execution_state
                        )
        except (TimeoutError, ConnectionLostError):
            return unknown

    async def _send_cancel(self) -> bool:
        metrics.STREAM_EVENTS.inc({"event": "cancel"})
        cancel = Cancel(
            self._validator.stream, self._caller_request.request_id, self._attempt_number
        )
        return await self._try_send(cancel)

    def _event(self, name: str, **fields: object) -> str:
        return event(
            name,
            request_id=self._caller_request.request_id,
            customer=self._caller_request.customer,
            target=self._destination.target,
            attempt=self._attempt_number,
            **fields,
        )
