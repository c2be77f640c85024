"""Relays the responses of targets to callers."""

import random
from collections import deque
from collections.abc import AsyncIterator, Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct.cacheindex import CacheIndex, kept_cache_name
from coltsfootfront.direct.callerrequest import ResponseWriter
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.quarantinekeeper import QuarantineKeeper
from coltsfootfront.direct.relaypace import ExcessPacer, StreamPace, relay_cost_bytes, split_chunks
from coltsfootfront.direct.requeststate import RequestState, RetryError, build_refusal
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.routingconfig import RetryPolicy, Route
from coltsfootfront.direct.streambuilds import StreamBuild
from coltsfootfront.direct.takeups import TakeUps
from coltsfootfront.direct.targetclient import ExchangeError, ExchangeFailure, TargetResponse
from coltsfootfront.direct.targetselection import Placement

log = logbook.Logger(__name__)

# Minimum time without an event after which a resumable stream is resumed at another target.
MIN_EVENT_TIMEOUT_S = 1.0
# The timeout grows with the route's objective for the gap between events, and with the longest gap
# seen in the stream.
GAP_OBJECTIVE_FACTOR = 4.0
OBSERVED_GAP_FACTOR = 3.0
# A response up to this size is buffered before it is relayed, so that the request can be retried if
# the response breaks off.
MAX_BUFFERED_BYTES = 262144
# Size from which a new block is begun of what is kept; tiny chunks share one.
BLOCK_BYTES = 32768
# What is kept of a shorter response is part of the memory of each request.
MIN_HELD_BYTES = 32768
# A response that is not a stream is treated as endless and cut off beyond this size.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Events after which a target has not crashed at the beginning of its answer.
MIN_EVENTS_OF_ANSWER = 2
# Statuses from which a caller concludes that its request has not run; they are not relayed from a
# target that may have run it.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MIN_SERVER_ERROR_STATUS = 500


class ResponseRelay:
    """Relays responses, and updates the prefill rates and the cache index from them.

    :param budgets: retry budget of each service.
    :param prefill_rates: prefill rate of each service's engines, updated from times to first
        event.
    :param reserve_replacement: reserves another target for a request, if that is possible.
    :param take_ups: told of each stream that begins.
    """

    def __init__(
        self,
        clock: Clock,
        cache_index: CacheIndex,
        gossip: Gossip,
        budgets: ServiceRetryBudgets,
        prefill_rates: PrefillRates,
        quarantine: QuarantineKeeper,
        reserve_replacement: Callable[[RequestState], bool],
        take_ups: TakeUps,
        generator: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._reserve_replacement = reserve_replacement
        self._take_ups = take_ups
        self._clock = clock
        self._prefill_rates = prefill_rates
        self._cache_index = cache_index
        self._gossip = gossip
        self._budgets = budgets
        self._generator = generator
        self._pacer = ExcessPacer(clock)

    async def relay_body(
        self,
        state: RequestState,
        placement: Placement,
        response: TargetResponse,
        writer: ResponseWriter,
    ) -> None:
        """Relay a response that is not a stream.

        :raises RetryError: if the response is a server error and the request should be retried.
        """
        chunks = response.chunks()
        beginning, is_whole = await self._read_beginning(placement, chunks, writer)
        if state.work is not None and response.status < MIN_SERVER_ERROR_STATUS:
            state.work.record_response()
        self._record_answer(state)
        if response.status >= MIN_SERVER_ERROR_STATUS and state.may_retry and is_whole:
            can_retry = len(state.attempted) < state.route.max_attempts
            if can_retry and self._budgets.get(state.service).try_spend("target_error"):
                raise RetryError
        state.status = response.status
        if response.status in NOT_EXECUTED_STATUSES:
            raise build_refusal(
                state,
                f"the target answered {response.status}",
                self._clock.monotonic_s(),
                self._generator,
            )
        relayed_bytes = sum(map(len, beginning))
        length_bytes = relayed_bytes if is_whole else response.length_bytes
        state.has_response_begun = True
        await writer.begin(response.status, response.headers, length_bytes)
        await _write_beginning(beginning, writer)
        if not is_whole:
            async for chunk in chunks:
                placement.target.record_heard(self._clock.monotonic_s())
                relayed_bytes += len(chunk)
                if relayed_bytes > MAX_RESPONSE_BYTES:
                    raise ExchangeError(
                        ExchangeFailure.INVALID_RESPONSE, "the response exceeds the size limit"
                    )
                await writer.write(chunk)
        await writer.end()

    async def _read_beginning(
        self, placement: Placement, chunks: AsyncIterator[bytes], writer: ResponseWriter
    ) -> tuple[deque[bytearray], bool]:
        """Read a body until its end, or until there is no room to keep more of it.

        :returns: what has been read, and whether it is the whole body.
        """
        beginning: deque[bytearray] = deque()
        size_bytes = 0
        async for chunk in chunks:
            placement.target.record_heard(self._clock.monotonic_s())
            if beginning and len(beginning[-1]) < BLOCK_BYTES:
                beginning[-1] += chunk
            else:
                beginning.append(bytearray(chunk))
            size_bytes += len(chunk)
            if size_bytes > MIN_HELD_BYTES and not writer.hold(size_bytes):
                return beginning, False
            if size_bytes > MAX_BUFFERED_BYTES:
                return beginning, False
        return beginning, True

    async def relay_stream(
        self,
        state: RequestState,
        placement: Placement,
        response: TargetResponse,
        writer: ResponseWriter,
    ) -> None:
        """Relay the complete events of a stream as they arrive.

        :raises StreamBrokenError: if its events are out of order or it ends within one.
        """
        chunks = split_chunks(response.chunks())
        pace = self._pacer.start()
        is_first_event = True
        events_before = state.stream_validator.event_count
        progress = _StreamProgress(state.route, events_before, self._clock.monotonic_s())
        while True:
            chunk = await self._next_chunk(state, chunks, progress)
            now_s = self._clock.monotonic_s()
            placement.target.record_heard(now_s)
            if chunk is None:
                break
            await self._keep_pace(state, placement, pace, relay_cost_bytes(chunk))
            events = state.stream_validator.feed(chunk)
            progress.record(state.stream_validator.event_count, now_s)
            state.longest_pause_s = progress.longest_pause_s
            if state.stream_validator.event_count - events_before >= MIN_EVENTS_OF_ANSWER:
                self._record_answer(state)
            if not events:
                state.stream_validator.check()
                continue
            if is_first_event:
                is_first_event = False
                state.answer_begun_s = now_s
                if state.work is not None:
                    state.work.record_first_event()
                self._record_cached_parts(state, placement)
                self._record_prefill_rate(state, placement, now_s)
                self._record_build(state, placement)
            if not state.has_response_begun:
                await self._begin_stream(state, response, writer)
            await writer.write(events)
            state.stream_validator.check()
        state.stream_validator.finish()
        if state.work is not None and state.sends == 1 and state.request.resume_after is None:
            state.work.record_stream(state.stream_validator.event_count)
        self._record_answer(state)
        if not state.has_response_begun:
            await self._begin_stream(state, response, writer)
        await writer.end()

    def _record_build(self, state: RequestState, placement: Placement) -> None:
        """Record the build that has begun a stream, before its caller has an event of it."""
        if state.build or state.route.retry_policy is not RetryPolicy.RESUMABLE:
            return
        state.build = placement.target.entry.build_key
        customer = state.customer.name if state.customer else ""
        stream = StreamBuild(state.service, state.build)
        self._take_ups.record_begun(customer, state.request.request_id, stream)

    async def _keep_pace(
        self, state: RequestState, placement: Placement, pace: StreamPace, size_bytes: int
    ) -> None:
        """Delay a stream that arrives faster than a target generates it."""
        was_exceeded = pace.is_exceeded
        delay_s = pace.delay_s(size_bytes)
        if not delay_s:
            return
        if not was_exceeded:
            metrics.CONNECTION_EVENTS.inc({"event": "stream_paced"})
            log.warning(
                event(
                    "stream_paced",
                    id=state.request.request_id,
                    target=placement.target.name,
                    events=state.stream_validator.event_count,
                )
            )
        await self._clock.sleep(delay_s)

    def _record_answer(self, state: RequestState) -> None:
        """Record that the target has not crashed when it began to answer."""
        if state.exchange is not None and not state.exchange.is_answered:
            state.exchange.is_answered = True
            self._quarantine.record_answer(state.exchange.parts)

    async def _begin_stream(
        self, state: RequestState, response: TargetResponse, writer: ResponseWriter
    ) -> None:
        state.has_response_begun = True
        if state.exchange is not None:
            state.exchange.is_relayed = True
        state.status = response.status
        state.first_s = self._clock.monotonic_s() - state.request.received_s
        metrics.TIME_TO_FIRST_EVENT_S.observe({}, state.first_s)
        await writer.begin(response.status, response.headers, None)

    async def _next_chunk(
        self, state: RequestState, chunks: AsyncIterator[bytes], progress: "_StreamProgress"
    ) -> bytes | None:
        """Read the next chunk of a stream, None at its end.

        :raises ExchangeError: if no complete event has arrived in time and another target is
            certain to resume the stream.
        """
        next_chunk = anext(chunks, None)
        can_retry = (
            state.route.retry_policy is RetryPolicy.RESUMABLE
            and len(state.attempted) < state.route.max_attempts
        )
        if not can_retry:
            return await next_chunk
        remaining_s = progress.remaining_s(self._clock.monotonic_s())
        timeout = ReadTimeout(remaining_s, lambda: self._reserve_replacement(state))
        try:
            async with timeout:
                return await next_chunk
        except TimeoutError:
            if not timeout.expired():
                raise
            reason = f"no event within {progress.event_timeout_s:.2f} s"
            raise ExchangeError(ExchangeFailure.NO_RESPONSE, reason) from None

    def _record_prefill_rate(self, state: RequestState, placement: Placement, now_s: float) -> None:
        """Update the prefill rate from the time to the first event.

        Skipped after a retry and when the target fetched parts: the time then covers more than
        the prefill. Skipped as well when the prompt was placed by its cost, which is learned from
        its own outcomes.
        """
        if state.sends > 1 or placement.fetch_from or state.placed_s is None:
            return
        if placement.prompt_cost is not None:
            return
        prefill_rate = self._prefill_rates.get(placement.target.entry.service)
        ahead_tokens = placement.begin_s * prefill_rate.tokens_per_s
        sent_s = state.request.received_s + state.placed_s
        prefill_rate.add_sample(ahead_tokens + placement.prefill_tokens, now_s - sent_s)

    def _record_cached_parts(self, state: RequestState, placement: Placement) -> None:
        name = placement.target.name
        for part in state.request.shared_parts:
            names = [name, kept_cache_name(placement.save_to.name)] if placement.save_to else [name]
            for holder in names:
                if self._cache_index.record_use(placement.salt, part.key, holder):
                    self._gossip.queue_cached(placement.salt, part.key, holder)


async def _write_beginning(beginning: deque[bytearray], writer: ResponseWriter) -> None:
    """Write what has been kept of a body, and release each block once it is written."""
    size_bytes = sum(map(len, beginning))
    was_held = size_bytes > MIN_HELD_BYTES
    while beginning:
        block = bytes(beginning.popleft())
        await writer.write(block)
        size_bytes -= len(block)
        if was_held:
            writer.hold(size_bytes)


class _StreamProgress:
    """Progress of one target's stream, counted in complete events.

    :param events: number of events relayed before this target's stream.
    :param now_s: monotonic time at which this target's stream began.
    """

    __slots__ = ("_events", "_has_begun", "_last_event_s", "event_timeout_s", "longest_pause_s")

    def __init__(self, route: Route, events: int, now_s: float) -> None:
        self._last_event_s = now_s
        self._events = events
        self._has_begun = False
        self.event_timeout_s = max(
            MIN_EVENT_TIMEOUT_S, GAP_OBJECTIVE_FACTOR * route.event_gap_objective_s
        )
        self.longest_pause_s: float | None = None

    def record(self, events: int, now_s: float) -> None:
        """Record how many events have been relayed so far, and extend the timeout after a gap."""
        if events == self._events:
            return
        if self._has_begun:
            pause_s = now_s - self._last_event_s
            self.longest_pause_s = max(self.longest_pause_s or 0.0, pause_s)
            self.event_timeout_s = max(self.event_timeout_s, OBSERVED_GAP_FACTOR * pause_s)
        self._has_begun = True
        self._events = events
        self._last_event_s = now_s

    def remaining_s(self, now_s: float) -> float:
        """Time left until the next event is due."""
        return max(0.0, self._last_event_s + self.event_timeout_s - now_s)
