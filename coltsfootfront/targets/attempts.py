"""Buffered responses of attempts, from which a router can resume an interrupted stream.

An attempt is identified by its request id and attempt number. Its response is buffered until some
time after the attempt has ended. Delayed or repeated ``run`` messages must not be executed. For
this, a tombstone is stored for an attempt that a router cancels or resumes before it arrives. When
the buffer of an attempt that was forwarded or is not idempotent is dropped, its execution state is
kept.
"""

import asyncio
from array import array
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Accepted, Chunk, End, Fail, Head, Message, fail_message

log = logbook.Logger(__name__)

AttemptKey = tuple[str, int]
Send = Callable[[Message], Awaitable[object]]

MAX_CHUNK_BYTES = 64 * 1024
# The process is limited to 64 MB of memory; 44 MB are in use once its modules are imported.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
MAX_TOMBSTONES = 8192
# Execution states kept of attempts whose buffers were dropped; about 140 bytes each.
MAX_PAST_ATTEMPTS = 16384
# The operating system closes a connection that has lost its peer within this time, so no router
# asks for an attempt that ended earlier.
PAST_ATTEMPT_LIFETIME_S = 900.0
# The largest request_timeout_s of a router: a ``run`` message that arrives later is past its
# deadline and is refused for that reason.
TOMBSTONE_LIFETIME_S = 3600.0


class _BufferUsage:
    """Memory used by the response buffers of all attempts."""

    __slots__ = ("total_bytes",)

    def __init__(self) -> None:
        self.total_bytes = 0


class Attempt:
    """Response buffer of one attempt, and the connection on which it is sent.

    :param key: request id and attempt number.
    :param deadline_unix_s: wall-clock time after which the request must not start.
    :param clock: time source.
    :param window_bytes: send window; a chunk is sent once it starts less than this many bytes
        after the acknowledged offset.
    :param max_bytes: largest response.
    :param idempotent: whether the request may be executed twice.
    :param buffer_usage: counts the bytes of all responses.
    """

    __slots__ = (
        "__weakref__",
        "_accepted_incarnation",
        "_acked_offset",
        "_buffer_usage",
        "_changed",
        "_chunk_ends",
        "_chunk_tokens",
        "_clock",
        "_data",
        "_end",
        "_failure",
        "_head",
        "_max_bytes",
        "_sender",
        "_stream",
        "_window_bytes",
        "connection",
        "deadline_unix_s",
        "delivered",
        "detached_s",
        "ended_s",
        "forwarded",
        "idempotent",
        "key",
    )

    def __init__(
        self,
        key: AttemptKey,
        deadline_unix_s: float,
        clock: Clock,
        window_bytes: int,
        max_bytes: int,
        idempotent: bool,
        buffer_usage: _BufferUsage,
    ) -> None:
        self.key = key
        self._buffer_usage = buffer_usage
        self.idempotent = idempotent
        self.deadline_unix_s = deadline_unix_s
        self._clock = clock
        self._window_bytes = window_bytes
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._chunk_ends = array("Q")
        self._chunk_tokens = array("I")
        self._accepted_incarnation: str | None = None
        self._head: tuple[int, list[list[str]]] | None = None
        self._end: tuple[str, dict[str, int]] | None = None
        self._failure: Failure | None = None
        self._acked_offset = 0
        self._changed = asyncio.Event()
        self._sender: asyncio.Task[None] | None = None
        self._stream = 0
        self.connection: object = None
        """Connection to the router that receives the response, or None."""
        self.forwarded = False
        """Whether the request may have reached the target."""
        self.delivered = False
        """Whether the final message has been sent to a router."""
        self.ended_s: float | None = None
        self.detached_s: float | None = clock.monotonic_s()

    @property
    def size_bytes(self) -> int:
        """Size of the response so far."""
        return len(self._data)

    @property
    def failure(self) -> Failure | None:
        """How the attempt failed, or None."""
        return self._failure

    def accept(self, incarnation: str) -> None:
        """Record that the request was admitted.

        :param incarnation: incarnation of the engine.
        """
        self._accepted_incarnation = incarnation
        self._changed.set()

    def start_response(self, status: int = 200, headers: list[list[str]] | None = None) -> None:
        """Record the status and headers of the target's response."""
        self._head = (status, headers or [])
        self._changed.set()

    def append(self, data: bytes, tokens: int = 0) -> None:
        """Add a part of the response body; ignored after the end.

        :raises FailureError: the response exceeds its size limit.
        """
        if self.ended_s is not None:
            return
        if len(self._data) + len(data) > self._max_bytes:
            raise FailureError(
                Failure(
                    ErrorKind.TARGET_FAILED,
                    f"the answer exceeds {self._max_bytes} bytes",
                    ExecutionState.UNKNOWN,
                )
            )
        self._buffer_usage.total_bytes += len(data)
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            self._data += data[start : start + MAX_CHUNK_BYTES]
            self._chunk_ends.append(len(self._data))
            self._chunk_tokens.append(tokens if start == 0 else 0)
        self._changed.set()

    def finish(self, reason: str = "stop", usage: dict[str, int] | None = None) -> None:
        """Record that the target ended its response; ignored after the end."""
        if self.ended_s is None:
            self._end = (reason, usage or {})
            self._mark_ended()

    def fail(self, failure: Failure) -> None:
        """Record the failure of the attempt; ignored after the end."""
        if self.ended_s is None:
            self._failure = failure
            self._mark_ended()

    def is_attached_to(self, connection: object, stream: int) -> bool:
        """Whether the response is sent on this stream of this connection."""
        return self.connection is connection and self._stream == stream

    def attach(self, connection: object, send: Send, stream: int, next_seq: int = 0) -> None:
        """Send the response to a router, and to no other router from now on.

        :param connection: connection to the router.
        :param send: sends one message on that connection.
        :param stream: number of the stream on that connection.
        :param next_seq: first chunk to send.
        """
        self.detach()
        self.connection = connection
        self.detached_s = None
        self.delivered = False
        self._stream = stream
        self._acked_offset = max(self._acked_offset, self._offset_of(next_seq))
        self._sender = asyncio.create_task(self._send_from(next_seq, send))

    def detach(self) -> None:
        """Stop sending; the response stays buffered for a later :meth:`attach`."""
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.cancel()
        if self.connection is not None:
            self.connection = None
            self.detached_s = self._clock.monotonic_s()

    def acknowledge(self, offset: int) -> None:
        """Record how many bytes the caller has received, which advances the send window."""
        self._acked_offset = max(self._acked_offset, offset)
        self._changed.set()

    def _mark_ended(self) -> None:
        self.ended_s = self._clock.monotonic_s()
        self._changed.set()

    def _offset_of(self, seq: int) -> int:
        if seq <= 0 or not self._chunk_ends:
            return 0
        return self._chunk_ends[min(seq, len(self._chunk_ends)) - 1]

    async def _send_from(self, next_seq: int, send: Send) -> None:
        try:
            try:
                await self._send_response(next_seq, send)
            except ConnectionLostError:
                raise
            except Exception as error:
                # Without a message the router would wait for its idle timeout.
                log.error(event("response_failed", request_id=self.key[0], reason=repr(error)))
                failure = Failure(
                    ErrorKind.INTERNAL, "the response cannot be sent", ExecutionState.UNKNOWN
                )
                await send(fail_message(self._stream, self.key[1], failure))
            self.delivered = True
        except ConnectionLostError as error:
            log.debug(event("stream_cut", request_id=self.key[0], reason=error))
            metrics.STREAM_EVENTS.inc({"event": "cut"})
            self._sender = None
            self.detach()

    async def _send_response(self, next_seq: int, send: Send) -> None:
        await self._send_preamble(send)
        while True:
            self._changed.clear()
            next_seq = await self._send_chunks(next_seq, send)
            if self.ended_s is not None and next_seq >= len(self._chunk_ends):
                break
            if not self._changed.is_set():
                await self._changed.wait()
        await send(self._last_message())

    async def _send_preamble(self, send: Send) -> None:
        while self._accepted_incarnation is None and self.ended_s is None:
            self._changed.clear()
            await self._changed.wait()
        if self._accepted_incarnation is not None:
            await send(Accepted(self._stream, self.key[1], self._accepted_incarnation))
        while self._head is None and self.ended_s is None:
            self._changed.clear()
            await self._changed.wait()
        if self._head is not None:
            status, headers = self._head
            await send(Head(self._stream, self.key[1], status, headers))

    async def _send_chunks(self, seq: int, send: Send) -> int:
        while seq < len(self._chunk_ends):
            offset = self._offset_of(seq)
            if offset >= self._acked_offset + self._window_bytes:
                return seq
            data = bytes(self._data[offset : self._chunk_ends[seq]])
            await send(Chunk(self._stream, self.key[1], seq, offset, data, self._chunk_tokens[seq]))
            seq += 1
        return seq

    def _last_message(self) -> Message:
        if self._end is not None:
            reason, usage = self._end
            return End(
                self._stream, self.key[1], len(self._chunk_ends), len(self._data), reason, usage
            )
        return self._fail_message()

    def _fail_message(self) -> Fail:
        failure = self._failure or Failure(ErrorKind.INTERNAL, "", ExecutionState.UNKNOWN)
        return fail_message(self._stream, self.key[1], failure)


class AttemptRegistry:
    """The agent's attempts, and records of those that must not run again.

    :param clock: time source.
    :param linger_s: time for which a finished or interrupted attempt can be resumed.
    :param window_bytes: send window of each attempt.
    :param max_bytes: largest response.
    """

    def __init__(self, clock: Clock, linger_s: float, window_bytes: int, max_bytes: int) -> None:
        self._clock = clock
        self._linger_s = linger_s
        self._window_bytes = window_bytes
        self._max_bytes = max_bytes
        self._attempts: OrderedDict[AttemptKey, Attempt] = OrderedDict()
        self._buffer_usage = _BufferUsage()
        self._tombstones: OrderedDict[AttemptKey, float] = OrderedDict()
        self._past_attempts: OrderedDict[int, tuple[float, ExecutionState]] = OrderedDict()
        self._past_incomplete_until_s = 0.0

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return an attempt that is running or can still be resumed."""
        return self._attempts.get(key)

    def recorded_execution_state(self, key: AttemptKey) -> ExecutionState | None:
        """Execution state of an attempt that must not be run again, or None for a new attempt."""
        if key in self._tombstones:
            return ExecutionState.NOT_RUN
        past = self._past_attempts.get(hash(key))
        return None if past is None else past[1]

    def open(self, key: AttemptKey, deadline_unix_s: float, idempotent: bool = True) -> Attempt:
        """Create the buffer of a new attempt."""
        attempt = Attempt(
            key,
            deadline_unix_s,
            self._clock,
            self._window_bytes,
            self._max_bytes,
            idempotent,
            self._buffer_usage,
        )
        self._attempts[key] = attempt
        return attempt

    def has_room(self) -> bool:
        """Whether another response may be buffered; drops delivered ones if space is short."""
        if self._buffer_usage.total_bytes <= MAX_BUFFERED_BYTES:
            return True
        self.expire()
        for key, attempt in list(self._attempts.items()):
            if self._buffer_usage.total_bytes <= MAX_BUFFERED_BYTES:
                break
            if attempt.ended_s is not None and attempt.delivered:
                self._drop(key, attempt)
        return self._buffer_usage.total_bytes <= MAX_BUFFERED_BYTES

    def add_tombstone(self, key: AttemptKey) -> ExecutionState:
        """Record that an attempt which has not arrived must not run if it arrives later.

        :returns: the recorded execution state of an earlier attempt; for others ``not_run``, or
            ``unknown`` if no tombstone can be stored or the attempt may have run before.
        """
        recorded = self.recorded_execution_state(key)
        if recorded is not None:
            return recorded
        if self._clock.monotonic_s() < self._past_incomplete_until_s:
            # The attempt may have run and its execution state may have been evicted since.
            return ExecutionState.UNKNOWN
        if len(self._tombstones) >= MAX_TOMBSTONES:
            self._expire_tombstones()
        if len(self._tombstones) >= MAX_TOMBSTONES:
            log.warning(event("tombstone_not_stored", request_id=key[0]))
            return ExecutionState.UNKNOWN
        self._tombstones[key] = self._clock.unix_s() + TOMBSTONE_LIFETIME_S
        return ExecutionState.NOT_RUN

    def detach_connection(self, connection: object) -> None:
        """Detach all attempts from a connection that has ended."""
        for attempt in self._attempts.values():
            if attempt.connection is connection:
                attempt.detach()

    def abandoned(self) -> list[Attempt]:
        """Running attempts that have had no connection for longer than they can be resumed."""
        limit_s = self._clock.monotonic_s() - self._linger_s
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.ended_s is None
            and attempt.detached_s is not None
            and attempt.detached_s < limit_s
        ]

    def expire(self) -> None:
        """Drop attempts that can no longer be resumed, and expired tombstones.

        An attempt that did not run is dropped as soon as its failure is delivered, so that a
        burst of refused requests uses no memory afterwards.
        """
        limit_s = self._clock.monotonic_s() - self._linger_s
        for key, attempt in list(self._attempts.items()):
            if attempt.ended_s is None:
                continue
            not_run = attempt.failure is not None and not attempt.forwarded
            if attempt.ended_s < limit_s or (not_run and attempt.delivered):
                self._drop(key, attempt)
        self._expire_tombstones()

    def undelivered(self) -> int:
        """Count attempts that run or whose response a connected router has not fully received."""
        return sum(
            attempt.ended_s is None or (attempt.connection is not None and not attempt.delivered)
            for attempt in self._attempts.values()
        )

    def close(self) -> None:
        """Detach all attempts from their connections."""
        for attempt in self._attempts.values():
            attempt.detach()

    def _drop(self, key: AttemptKey, attempt: Attempt) -> None:
        attempt.detach()
        del self._attempts[key]
        self._buffer_usage.total_bytes -= attempt.size_bytes
        if attempt.idempotent and not attempt.forwarded:
            return
        now_s = self._clock.monotonic_s()
        execution_state = ExecutionState.UNKNOWN if attempt.forwarded else ExecutionState.NOT_RUN
        self._past_attempts[hash(key)] = (now_s, execution_state)
        if len(self._past_attempts) > MAX_PAST_ATTEMPTS:
            _, (recorded_s, _) = self._past_attempts.popitem(last=False)
            self._past_incomplete_until_s = max(
                self._past_incomplete_until_s, recorded_s + PAST_ATTEMPT_LIFETIME_S
            )

    def _expire_tombstones(self) -> None:
        now_s = self._clock.unix_s()
        while self._tombstones:
            key, until_s = next(iter(self._tombstones.items()))
            if until_s > now_s:
                return
            del self._tombstones[key]
