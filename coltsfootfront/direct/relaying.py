"""Passes the answers of targets on to callers."""

import asyncio
import random

from coltsfootfront.common.clock import Clock
from coltsfootfront.direct.call import CallerWriter
from coltsfootfront.direct.course import AgainError, State, refusal
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.holders import Holders, kept_name
from coltsfootfront.direct.placing import Place
from coltsfootfront.direct.retrying import ServiceBudgets
from coltsfootfront.direct.targetclient import Loss, Reply, TargetLostError
from coltsfootfront.direct.traffic import Repeat

# Longest pause between two events of a resumable stream before it goes on at another target.
EVENT_SILENCE_S = 1.0
# An answer up to this size is read whole before it is passed on, so that a broken one can be
# replaced.
BUFFER_BYTES = 262144
# Answers whose status promises that the request has not run.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
FIRST_ERROR_STATUS = 500


class Relay:
    """Passes answers on.

    :param budgets: retries allowed for each service.
    """

    def __init__(
        self,
        clock: Clock,
        holders: Holders,
        gossip: Gossip,
        budgets: ServiceBudgets,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._holders = holders
        self._gossip = gossip
        self._budgets = budgets
        self._generator = generator

    async def relay_body(
        self, state: State, place: Place, reply: Reply, writer: CallerWriter
    ) -> None:
        """Pass on an answer that is not a stream.

        :raises AgainError: when a failed answer should be replaced by that of another target.
        """
        body = bytearray()
        pieces = reply.pieces()
        async for piece in pieces:
            body += piece
            if len(body) > BUFFER_BYTES:
                break
        whole = len(body) <= BUFFER_BYTES
        if reply.status >= FIRST_ERROR_STATUS and state.may_repeat and whole:
            can_go_on = len(state.tried) < state.route.max_attempts
            if can_go_on and self._budgets.of(state.service).take("target_error"):
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
            async for piece in pieces:
                await writer.write(piece)
        await writer.end()

    async def relay_stream(
        self, state: State, place: Place, reply: Reply, writer: CallerWriter
    ) -> None:
        """Pass on the whole events of a stream as they arrive.

        :raises StreamBrokenError: when its events are not in order or it ends within one.
        """
        pieces = reply.pieces()
        is_first = True
        while True:
            piece = await self._next_piece(state, pieces)
            place.target.heard_s = self._clock.monotonic_s()
            if piece is None:
                break
            events = state.checker.feed(piece)
            if not events:
                continue
            if is_first:
                is_first = False
                self._note_parts(state, place)
            if not state.has_begun:
                await self._begin_stream(state, reply, writer)
            await writer.write(events)
        state.checker.finish()
        if not state.has_begun:
            await self._begin_stream(state, reply, writer)
        await writer.end()

    async def _begin_stream(self, state: State, reply: Reply, writer: CallerWriter) -> None:
        state.has_begun = True
        state.status = reply.status
        state.first_s = self._clock.monotonic_s() - state.call.received_s
        await writer.begin(reply.status, reply.headers, None)

    async def _next_piece(self, state: State, pieces: object) -> bytes | None:
        step = anext(pieces, None)  # type: ignore[call-overload]
        can_go_on = (
            state.route.repeat is Repeat.RESUMABLE and len(state.tried) < state.route.max_attempts
        )
        if not can_go_on:
            return await step  # type: ignore[no-any-return]
        try:
            async with asyncio.timeout(EVENT_SILENCE_S) as limit:
                return await step  # type: ignore[no-any-return]
        except TimeoutError:
            if not limit.expired():
                raise
            raise TargetLostError(Loss.NO_ANSWER, f"no event in {EVENT_SILENCE_S} s") from None

    def _note_parts(self, state: State, place: Place) -> None:
        name = place.target.name
        for part in state.call.shared_parts:
            names = [name, kept_name(place.save_to.name)] if place.save_to else [name]
            for holder in names:
                if self._holders.note(place.salt, part.key, holder):
                    self._gossip.tell_held(place.salt, part.key, holder)
