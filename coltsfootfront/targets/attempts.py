"""Answers of running and finished attempts, kept so that a router can resume a cut stream.

An attempt is named by request id and attempt number. Its answer stays until some time after
its end. An attempt that was refused, cancelled or forgotten leaves a record, so that a delayed
or repeated ``run`` for it is not executed.
"""

import asyncio
from array import array
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Accepted, Chunk, End, Fail, Head, Message, fail_message

log = logbook.Logger(__name__)

AttemptKey = tuple[str, int]
Send = Callable[[Message], Awaitable[object]]

MAX_CHUNK_BYTES = 64 * 1024
# The process may use 64 MB, 44 of them after its imports.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
MAX_RECORDS = 8192
# Attempts that are remembered after their answer was forgotten; about 140 bytes each.
MAX_PAST = 16384
# A connection that lost its peer is given up by the operating system within this time, so a
# router does not ask for an attempt that ended earlier.
PAST_LIFE_S = 900.0
# The largest request_timeout_s of a router: a run that arrives after this time is past its
# deadline and refused for that reason.
RECORD_LIFE_S = 3600.0


class _Buffered:
    """Bytes of all answers together."""

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = 0


class Attempt:
    """The answer of one attempt and the router that receives it.

    :param key: request id and attempt number.
    :param deadline_unix_s: wall-clock time after which the request must not start.
    :param clock: time source.
    :param window_bytes: bytes sent beyond the last acknowledgement.
    :param max_bytes: largest answer.
    :param idempotent: whether the request may be executed twice.
    :param buffered: counts the bytes of all answers.
    """

    __slots__ = (
        "__weakref__",
        "_accepted",
        "_acked",
        "_buffered",
        "_changed",
        "_clock",
        "_data",
        "_end",
        "_ends",
        "_failure",
        "_head",
        "_max_bytes",
        "_sender",
        "_stream",
        "_tokens",
        "_window_bytes",
        "deadline_unix_s",
        "delivered",
        "detached_s",
        "ended_s",
        "forwarded",
        "idempotent",
        "key",
        "owner",
    )

    def __init__(
        self,
        key: AttemptKey,
        deadline_unix_s: float,
        clock: Clock,
        window_bytes: int,
        max_bytes: int,
        idempotent: bool,
        buffered: _Buffered,
    ) -> None:
        self.key = key
        self._buffered = buffered
        self.idempotent = idempotent
        self.deadline_unix_s = deadline_unix_s
        self._clock = clock
        self._window_bytes = window_bytes
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._ends = array("Q")
        self._tokens = array("I")
        self._accepted: str | None = None
        self._head: tuple[int, list[list[str]]] | None = None
        self._end: tuple[str, dict[str, int]] | None = None
        self._failure: Failure | None = None
        self._acked = 0
        self._changed = asyncio.Event()
        self._sender: asyncio.Task[None] | None = None
        self._stream = 0
        self.owner: object = None
        """Connection of the router that receives the answer, or None."""
        self.forwarded = False
        """Whether the request may have reached the target."""
        self.delivered = False
        """Whether the last message has been sent to a router."""
        self.ended_s: float | None = None
        self.detached_s: float | None = clock.monotonic_s()

    @property
    def size(self) -> int:
        """Bytes of the answer so far."""
        return len(self._data)

    @property
    def failure(self) -> Failure | None:
        """How the attempt failed, or None."""
        return self._failure

    def accept(self, engine: str) -> None:
        """Record that the request passed the gate.

        :param engine: incarnation of the engine.
        """
        self._accepted = engine
        self._changed.set()

    def begin(self, status: int = 200, headers: list[list[str]] | None = None) -> None:
        """Record that the target has answered."""
        self._head = (status, headers or [])
        self._changed.set()

    def append(self, data: bytes, tokens: int = 0) -> None:
        """Add a piece of the answer; ignored after the end.

        :raises FailureError: the answer exceeds its limit.
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
        self._buffered.size += len(data)
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            self._data += data[start : start + MAX_CHUNK_BYTES]
            self._ends.append(len(self._data))
            self._tokens.append(tokens if start == 0 else 0)
        self._changed.set()

    def finish(self, reason: str = "stop", usage: dict[str, int] | None = None) -> None:
        """Record the target's own end mark; ignored after the end."""
        if self.ended_s is None:
            self._end = (reason, usage or {})
            self._stop()

    def fail(self, failure: Failure) -> None:
        """Record the failure of the attempt; ignored after the end."""
        if self.ended_s is None:
            self._failure = failure
            self._stop()

    def is_attached_to(self, owner: object, stream: int) -> bool:
        """Whether this stream of this connection receives the answer."""
        return self.owner is owner and self._stream == stream

    def attach(self, owner: object, send: Send, stream: int, next_seq: int = 0) -> None:
        """Send the answer to a router, in place of any other.

        :param owner: connection of the router.
        :param send: sends one message on that connection.
        :param stream: number of the stream on that connection.
        :param next_seq: first chunk to send.
        """
        self.detach()
        self.owner = owner
        self.detached_s = None
        self.delivered = False
        self._stream = stream
        self._acked = max(self._acked, self._offset_of(next_seq))
        self._sender = asyncio.create_task(self._send_from(next_seq, send))

    def detach(self) -> None:
        """Stop sending; the answer stays for a later :meth:`attach`."""
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.cancel()
        if self.owner is not None:
            self.owner = None
            self.detached_s = self._clock.monotonic_s()

    def acknowledge(self, offset: int) -> None:
        """Record how far the caller has been served, which opens the window."""
        self._acked = max(self._acked, offset)
        self._changed.set()

    def _stop(self) -> None:
        self.ended_s = self._clock.monotonic_s()
        self._changed.set()

    def _offset_of(self, seq: int) -> int:
        if seq <= 0 or not self._ends:
            return 0
        return self._ends[min(seq, len(self._ends)) - 1]

    async def _send_from(self, next_seq: int, send: Send) -> None:
        try:
            await self._send_front(send)
            while True:
                self._changed.clear()
                next_seq = await self._send_chunks(next_seq, send)
                if self.ended_s is not None and next_seq >= len(self._ends):
                    break
                if not self._changed.is_set():
                    await self._changed.wait()
            await send(self._last_message())
            self.delivered = True
        except ConnectionLostError as error:
            log.debug(event("stream_cut", request_id=self.key[0], reason=error))
            metrics.STREAM_EVENTS.inc({"event": "cut"})
            self._sender = None
            self.detach()

    async def _send_front(self, send: Send) -> None:
        while self._accepted is None and self.ended_s is None:
            self._changed.clear()
            await self._changed.wait()
        if self._accepted is not None:
            await send(Accepted(self._stream, self.key[1], self._accepted))
        while self._head is None and self.ended_s is None:
            self._changed.clear()
            await self._changed.wait()
        if self._head is not None:
            status, headers = self._head
            await send(Head(self._stream, self.key[1], status, headers))

    async def _send_chunks(self, seq: int, send: Send) -> int:
        while seq < len(self._ends):
            offset = self._offset_of(seq)
            if offset >= self._acked + self._window_bytes:
                return seq
            data = bytes(self._data[offset : self._ends[seq]])
            await send(Chunk(self._stream, self.key[1], seq, offset, data, self._tokens[seq]))
            seq += 1
        return seq

    def _last_message(self) -> Message:
        if self._end is not None:
            reason, usage = self._end
            return End(self._stream, self.key[1], len(self._ends), len(self._data), reason, usage)
        return self._fail_message()

    def _fail_message(self) -> Fail:
        failure = self._failure or Failure(ErrorKind.INTERNAL, "", ExecutionState.UNKNOWN)
        return fail_message(self._stream, self.key[1], failure)


class Streams:
    """All attempts that this agent knows.

    :param clock: time source.
    :param linger_s: time for which a finished or cut attempt can be resumed.
    :param window_bytes: answer bytes sent ahead of the caller.
    :param max_bytes: largest answer.
    """

    def __init__(self, clock: Clock, linger_s: float, window_bytes: int, max_bytes: int) -> None:
        self._clock = clock
        self._linger_s = linger_s
        self._window_bytes = window_bytes
        self._max_bytes = max_bytes
        self._attempts: OrderedDict[AttemptKey, Attempt] = OrderedDict()
        self._buffered = _Buffered()
        self._refused: OrderedDict[AttemptKey, float] = OrderedDict()
        self._past: OrderedDict[int, tuple[float, ExecutionState]] = OrderedDict()
        self._forgetful_until_s = 0.0

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return an attempt that is running or can still be resumed."""
        return self._attempts.get(key)

    def record_of(self, key: AttemptKey) -> ExecutionState | None:
        """What is known of an attempt that must not run, or None for a new one."""
        if key in self._refused:
            return ExecutionState.NOT_RUN
        past = self._past.get(hash(key))
        return None if past is None else past[1]

    def open(self, key: AttemptKey, deadline_unix_s: float, idempotent: bool = True) -> Attempt:
        """Make the buffer of a new attempt."""
        attempt = Attempt(
            key,
            deadline_unix_s,
            self._clock,
            self._window_bytes,
            self._max_bytes,
            idempotent,
            self._buffered,
        )
        self._attempts[key] = attempt
        return attempt

    def has_room(self) -> bool:
        """Whether another answer may be buffered; forgets finished ones if it must."""
        if self._buffered.size <= MAX_BUFFERED_BYTES:
            return True
        self.expire()
        for key, attempt in list(self._attempts.items()):
            if self._buffered.size <= MAX_BUFFERED_BYTES:
                break
            if attempt.ended_s is not None and attempt.delivered:
                self._forget(key, attempt)
        return self._buffered.size <= MAX_BUFFERED_BYTES

    def refuse(self, key: AttemptKey) -> ExecutionState:
        """Record that an attempt which never arrived must not run later.

        :returns: ``not_run``; ``unknown`` when it cannot be recorded, so that a delayed run
            might be executed.
        """
        known = self.record_of(key)
        if known is not None:
            return known
        if self._clock.monotonic_s() < self._forgetful_until_s:
            # It may be one that has run and whose record had to make room.
            return ExecutionState.UNKNOWN
        if len(self._refused) >= MAX_RECORDS:
            self._expire_refused()
        if len(self._refused) >= MAX_RECORDS:
            log.warning(event("refusal_not_recorded", request_id=key[0]))
            return ExecutionState.UNKNOWN
        self._refused[key] = self._clock.unix_s() + RECORD_LIFE_S
        return ExecutionState.NOT_RUN

    def detach_owner(self, owner: object) -> None:
        """Stop sending to a connection that has ended."""
        for attempt in self._attempts.values():
            if attempt.owner is owner:
                attempt.detach()

    def abandoned(self) -> list[Attempt]:
        """Running attempts whose router has been away for longer than they can be resumed."""
        limit_s = self._clock.monotonic_s() - self._linger_s
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.ended_s is None
            and attempt.detached_s is not None
            and attempt.detached_s < limit_s
        ]

    def expire(self) -> None:
        """Forget attempts that ended long enough ago, and old records.

        An attempt that did not run is forgotten as soon as the router has been told, so that a
        flood of refusals leaves nothing behind.
        """
        limit_s = self._clock.monotonic_s() - self._linger_s
        for key, attempt in list(self._attempts.items()):
            if attempt.ended_s is None:
                continue
            refused = attempt.failure is not None and not attempt.forwarded
            if attempt.ended_s < limit_s or (refused and attempt.delivered):
                self._forget(key, attempt)
        self._expire_refused()

    def undelivered(self) -> int:
        """Attempts that run or whose answer a connected router has not received in full."""
        return sum(
            attempt.ended_s is None or (attempt.owner is not None and not attempt.delivered)
            for attempt in self._attempts.values()
        )

    def close(self) -> None:
        """Stop every sender."""
        for attempt in self._attempts.values():
            attempt.detach()

    def _forget(self, key: AttemptKey, attempt: Attempt) -> None:
        attempt.detach()
        del self._attempts[key]
        self._buffered.size -= attempt.size
        if attempt.idempotent and not attempt.forwarded:
            return
        now_s = self._clock.monotonic_s()
        run = ExecutionState.UNKNOWN if attempt.forwarded else ExecutionState.NOT_RUN
        self._past[hash(key)] = (now_s, run)
        if len(self._past) > MAX_PAST:
            _, (recorded_s, _) = self._past.popitem(last=False)
            self._forgetful_until_s = max(self._forgetful_until_s, recorded_s + PAST_LIFE_S)

    def _expire_refused(self) -> None:
        now_s = self._clock.unix_s()
        while self._refused:
            key, until_s = next(iter(self._refused.items()))
            if until_s > now_s:
                return
            del self._refused[key]
