"""Passes the answers of targets on to callers."""

import asyncio
import random
from collections.abc import AsyncIterator

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.direct.callerrequest import ResponseWriter
from coltsfootfront.direct.requeststate import AgainError, State, refusal
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.cacheindex import CacheIndex, kept_cache_name
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import Placement
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.targetclient import ExchangeFailure, TargetResponse, ExchangeError
from coltsfootfront.direct.routingconfig import RetryPolicy, Route

# Shortest pause between two events of a resumable stream before it goes on at another target.
EVENT_SILENCE_S = 1.0
# The pause is longer where the route allows long ones, or the stream has shown that it is slow.
GAP_FACTOR = 4.0
SLOW_FACTOR = 3.0
# An answer up to this size is read whole before it is passed on, so that a broken one can be
# replaced.
BUFFER_BYTES = 262144
# An answer that is not a stream and grows beyond this has no end.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Answers whose status promises that the request has not run.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
FIRST_ERROR_STATUS = 500


class Relay:
    """Passes answers on.

    :param budgets: retries allowed for each service.
    :param paces: learned from the times of first events.
    """

    def __init__(
        self,
        clock: Clock,
        holders: CacheIndex,
        gossip: Gossip,
        budgets: ServiceRetryBudgets,
        paces: PrefillRates,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._paces = paces
        self._holders = holders
        self._gossip = gossip
        self._budgets = budgets
        self._generator = generator

    async def relay_body(
        self, state: State, place: Placement, reply: TargetResponse, writer: ResponseWriter
    ) -> None:
        """Pass on an answer that is not a stream.

        :raises AgainError: when a failed answer should be replaced by that of another target.
        """
        body = bytearray()
        pieces = reply.chunks()
        async for piece in pieces:
            body += piece
            if len(body) > BUFFER_BYTES:
                break
        whole = len(body) <= BUFFER_BYTES
        if reply.status >= FIRST_ERROR_STATUS and state.may_repeat and whole:
            can_go_on = len(state.tried) < state.route.max_attempts
            if can_go_on and self._budgets.get(state.service).try_spend("target_error"):
                raise AgainError
        state.status = reply.status
        if reply.status in PROMISES_NOT_RUN:
            raise refusal(
                state,
                f"the target answered {reply.status}",
                self._clock.monotonic_s(),
                self._generator,
            )
        length_bytes = len(body) if whole else reply.length_bytes
        state.has_begun = True
        await writer.begin(reply.status, reply.headers, length_bytes)
        await writer.write(bytes(body))
        if not whole:
            passed_bytes = len(body)
            async for piece in pieces:
                passed_bytes += len(piece)
                if passed_bytes > MAX_ANSWER_BYTES:
                    raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, "the answer has no end")
                await writer.write(piece)
        await writer.end()

    async def relay_stream(
        self, state: State, place: Placement, reply: TargetResponse, writer: ResponseWriter
    ) -> None:
        """Pass on the whole events of a stream as they arrive.

        :raises StreamBrokenError: when its events are not in order or it ends within one.
        """
        pieces = reply.chunks()
        is_first = True
        progress = _Progress(state.route, state.checker.event_count, self._clock.monotonic_s())
        while True:
            piece = await self._next_piece(state, pieces, progress)
            now_s = self._clock.monotonic_s()
            place.target.last_activity_s = now_s
            if piece is None:
                break
            events = state.checker.feed(piece)
            progress.note(state.checker.event_count, now_s)
            state.longest_pause_s = progress.longest_pause_s
            if not events:
                continue
            if is_first:
                is_first = False
                self._note_parts(state, place)
                self._note_pace(state, place, now_s)
            if not state.has_begun:
                await self._begin_stream(state, reply, writer)
            await writer.write(events)
        state.checker.finish()
        if not state.has_begun:
            await self._begin_stream(state, reply, writer)
        await writer.end()

    async def _begin_stream(self, state: State, reply: TargetResponse, writer: ResponseWriter) -> None:
        state.has_begun = True
        state.status = reply.status
        state.first_s = self._clock.monotonic_s() - state.call.received_s
        metrics.TIME_TO_FIRST_EVENT_S.observe({}, state.first_s)
        await writer.begin(reply.status, reply.headers, None)

    async def _next_piece(
        self, state: State, pieces: AsyncIterator[bytes], progress: "_Progress"
    ) -> bytes | None:
        """Next bytes of a stream, None at its end.

        :raises TargetLostError: when no whole event has come for too long, and the stream may go
            on at another target.
        """
        step = anext(pieces, None)
        can_go_on = (
            state.route.retry_policy is RetryPolicy.RESUMABLE and len(state.tried) < state.route.max_attempts
        )
        if not can_go_on:
            return await step
        left_s = progress.left_s(self._clock.monotonic_s())
        try:
            async with asyncio.timeout(left_s) as limit:
                return await step
        except TimeoutError:
            if not limit.expired():
                raise
            reason = f"no event in {progress.limit_s:.2f} s"
            raise ExchangeError(ExchangeFailure.NO_RESPONSE, reason) from None

    def _note_pace(self, state: State, place: Placement, now_s: float) -> None:
        """Learn from an answer to a prompt that came whole and at once to this target."""
        if state.sends > 1 or place.fetch_from or state.placed_s is None:
            return
        pace = self._paces.get(place.target.entry.service)
        ahead_tokens = place.begin_s * pace.tokens_per_s
        sent_s = state.call.received_s + state.placed_s
        pace.note(ahead_tokens + place.read_tokens, now_s - sent_s)

    def _note_parts(self, state: State, place: Placement) -> None:
        name = place.target.name
        for part in state.call.shared_parts:
            names = [name, kept_cache_name(place.save_to.name)] if place.save_to else [name]
            for holder in names:
                if self._holders.record_use(place.salt, part.key, holder):
                    self._gossip.queue_cached(place.salt, part.key, holder)


class _Progress:
    """Progress of one target's stream, judged by whole events.

    :param events: number of events that were passed on before this target's.
    :param now_s: monotonic time at which the target's stream began.
    """

    __slots__ = ("_event_s", "_events", "_has_begun", "limit_s", "longest_pause_s")

    def __init__(self, route: Route, events: int, now_s: float) -> None:
        self._event_s = now_s
        self._events = events
        self._has_begun = False
        self.limit_s = max(EVENT_SILENCE_S, GAP_FACTOR * route.event_gap_objective_s)
        self.longest_pause_s: float | None = None

    def note(self, events: int, now_s: float) -> None:
        """Note how many events have been passed on so far."""
        if events == self._events:
            return
        if self._has_begun:
            pause_s = now_s - self._event_s
            self.longest_pause_s = max(self.longest_pause_s or 0.0, pause_s)
            self.limit_s = max(self.limit_s, SLOW_FACTOR * pause_s)
        self._has_begun = True
        self._events = events
        self._event_s = now_s

    def left_s(self, now_s: float) -> float:
        """Time in which the next event must come."""
        return max(0.0, self._event_s + self.limit_s - now_s)
