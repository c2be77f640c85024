"""Serves one request: finds its route, gives it to targets and passes the answer on.

What may be repeated follows from the route. A request that may run once is given to one target;
it goes to another only when the first certainly did not run it.
"""

import asyncio
import math
import random

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.direct import admission, gossip
from coltsfootfront.direct.responseheads import AnswerHeads
from coltsfootfront.direct.callerrequest import CallerRequest, ResponseWriter
from coltsfootfront.direct.requeststate import AgainError, RefusedError, State, course_fields, refusal
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.events import StreamBrokenError
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
    Wait,
    WaitReason,
)
from coltsfootfront.direct.responserelay import Relay
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.targetclient import Directive, ExchangeFailure, TargetResponse, TargetClient, ExchangeError
from coltsfootfront.direct.routingconfig import RetryPolicy, RoutingConfig
from coltsfootfront.direct.versions import WeightVersions

log = logbook.Logger(__name__)

# Share of the aim for which a request waits for a target that loads weights.
HOLD_SHARE = 0.6
# Pause before a request that a target rejected goes to the same target again.
REJECTED_PAUSE_S = 0.05
# Rejections after which a request is refused; each one is an arrival that the budget counts.
MAX_REJECTIONS = 4
# A repeatable request without an answer after this multiple of its aim goes to another target.
SILENCE_FACTOR = 3.0
# At a target with more requests than this an answer may take longer for want of capacity.
BUSY_LOAD = 8
MIN_SILENCE_S = 0.4
# Part of the base time that passes before a prompt has been read; the rest makes the first event.
READ_BASE_SHARE = 0.5
# Nearly all runs end within this time; a stopping router takes no request that may not.
LONG_RUN_S = 5.0
# A caller that a stopping router refuses reaches another one.
STOPPING_RETRY_S = 0.05


class Forwarder:
    """Serves requests.

    :param budgets: retries allowed for each service.
    :param paces: how fast engines read, learned from their answers.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        client: TargetClient,
        plain: PlainTargetSelector,
        prompts: PromptTargetSelector,
        holders: CacheIndex,
        versions: WeightVersions,
        gossip: Gossip,
        budgets: ServiceRetryBudgets,
        paces: PrefillRates,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._paces = paces
        self._directory = directory
        self._client = client
        self._plain = plain
        self._prompts = prompts
        self._holders = holders
        self._gossip = gossip
        self._budgets = budgets
        self._generator = generator
        self._heads = AnswerHeads(clock, directory, holders, versions, gossip)
        self._relay = Relay(clock, holders, gossip, budgets, paces, generator)
        self.routing_config = RoutingConfig()
        self.exit_at_s = math.inf
        """Monotonic time at which this process ends."""
        self.in_progress = 0
        self.max_in_progress = math.inf
        """Bound on requests under way, by the memory of the VM."""

    async def serve(self, call: CallerRequest, writer: ResponseWriter) -> None:
        """Answer one request."""
        self.in_progress += 1
        state: State | None = None
        try:
            state = self._admit(call)
            self._budgets.get(state.service).record_request()
            await self._run(state, writer)
            self._log_end(call, state, "answered", "")
        except RefusedError as refused:
            self._log_end(call, state, refused.failure.kind.value, refused.failure.message)
            metrics.count_refusal(refused.failure.kind.value)
            if state is not None and state.has_begun:
                writer.abort()
            else:
                await writer.refuse(refused.failure)
        except asyncio.CancelledError:
            self._log_end(call, state, "caller_left", "")
            raise
        finally:
            self.in_progress -= 1

    def _log_end(self, call: CallerRequest, state: State | None, outcome: str, reason: str) -> None:
        fields = course_fields(call, state)
        fields["reason"] = reason or fields["reason"]
        took_s = self._clock.monotonic_s() - call.received_s
        metrics.RESPONSE_DURATION_S.observe({"outcome": outcome}, took_s)
        config = self.routing_config.number
        log.info(event("request_ended", **fields, outcome=outcome, config=config, took_s=took_s))

    def _admit(self, call: CallerRequest) -> State:
        if self.in_progress > self.max_in_progress:
            message = f"{self.in_progress} requests are under way"
            failure = Failure(ErrorKind.OVERLOADED, message, retry_after_s=admission.RETRY_AFTER_S)
            raise RefusedError(failure)
        document = self.routing_config
        if not document.number:
            raise RefusedError(Failure(ErrorKind.NO_TARGET, "no configuration is known yet"))
        route = document.find_route(call.host, call.path)
        if route is None:
            raise RefusedError(Failure(ErrorKind.NOT_FOUND, "no route for this host and path"))
        customer = None
        if document.requires_keys and not route.allows_anonymous:
            customer = document.customers_by_key.get(call.api_key)
            if customer is None:
                raise RefusedError(Failure(ErrorKind.UNAUTHENTICATED, "unknown API key"))
        left_s = self.exit_at_s - call.received_s
        if left_s < min(route.timeout_s, LONG_RUN_S):
            message = "the router is stopping"
            failure = Failure(ErrorKind.OVERLOADED, message, retry_after_s=STOPPING_RETRY_S)
            raise RefusedError(failure)
        service = route.choose_service(self._generator)
        end_s = min(call.deadline_s, call.received_s + route.timeout_s)
        state = State(call, route, service, customer, end_s)
        state.checker.last_event_id = call.resume_after
        return state

    async def _run(self, state: State, writer: ResponseWriter) -> None:
        while True:
            state.place = await self._find_place(state)
            state.placed_s = self._clock.monotonic_s() - state.call.received_s
            try:
                await self._attempt(state, state.place, writer)
                return
            except AgainError:
                continue

    async def _find_place(self, state: State) -> Placement:
        call, route = state.call, state.route
        hold_until_s = min(call.received_s + HOLD_SHARE * route.latency_objective_s, state.end_s)
        while True:
            now_s = self._clock.monotonic_s()
            untried = [
                target
                for target in self._directory.of_service(state.service)
                if target.name not in state.tried
            ]
            targets = [
                target
                for target in untried
                if target.name not in state.rejected and not target.is_paused(now_s)
            ]
            found = self._choose(state, targets, hold_until_s)
            if isinstance(found, Placement):
                return found
            pause_end_s = _pause_end_s(untried, now_s)
            if found is None and pause_end_s <= hold_until_s:
                found = Wait(pause_end_s, WaitReason.PAUSE)
            if isinstance(found, Wait) and now_s < hold_until_s:
                state.waited_for = found.reason
                wait_s = min(found.until_s, hold_until_s) - now_s
                await self._directory.wait_for_change(max(wait_s, 0.005))
                continue
            if state.rejected and now_s < hold_until_s:
                state.rejected.clear()
                if pause_end_s == math.inf:
                    await self._clock.sleep(REJECTED_PAUSE_S)
                continue
            if pause_end_s < math.inf:
                raise self._refusal(state, "the targets want no requests", pause_end_s - now_s)
            raise self._refusal(state, "no target can take the request now")

    def _choose(self, state: State, targets: list[Target], until_s: float) -> Placement | Wait | None:
        if not state.route.has_prompt:
            return self._plain.choose(targets)
        wall = ""
        if state.customer is not None and state.customer.is_isolated:
            wall = state.customer.name
        service = self.routing_config.services.get(state.service)
        facts = service.engine if service else None
        rank_offset = state.route.priority
        if state.customer is not None and state.customer.priority is not None:
            rank_offset = state.customer.priority
        return self._prompts.choose(
            state.call, wall, targets, until_s, facts, self.routing_config.kept_caches(), rank_offset
        )

    def _refusal(self, state: State, message: str, pause_s: float | None = None) -> RefusedError:
        return refusal(state, message, self._clock.monotonic_s(), self._generator, pause_s)

    async def _attempt(self, state: State, place: Placement, writer: ResponseWriter) -> None:
        target = place.target
        left_s = state.end_s - self._clock.monotonic_s()
        if left_s <= 0:
            raise self._timeout(state)
        state.sends += 1
        self._prompts.record_placement(state.call, place)
        self._note_work(place)
        self._expect_parts(state.call, place)
        if not target.in_flight:
            target.last_activity_s = self._clock.monotonic_s()
        target.in_flight += 1
        limit = asyncio.timeout(left_s)
        if state.may_repeat:
            target.exchange_timeouts.add(limit)
        try:
            async with limit:
                await self._exchange(state, place, writer)
        except TimeoutError:
            state.run = ExecutionState.UNKNOWN
            if self._clock.monotonic_s() < state.end_s:
                raise self._lost(state, place, ExchangeFailure.NO_RESPONSE, "the target is dark") from None
            raise self._timeout(state) from None
        finally:
            target.in_flight -= 1
            target.exchange_timeouts.discard(limit)

    def _note_work(self, place: Placement) -> None:
        if not place.read_tokens:
            return
        work_s = self._paces.get(place.target.entry.service).read_s(place.read_tokens)
        place.target.backlog.add(place.priority, work_s, self._clock.monotonic_s())
        self._gossip.queue_prefill_work(place.target.name, place.priority, work_s)

    def _expect_parts(self, call: CallerRequest, place: Placement) -> None:
        if not place.salt:
            return
        name = place.target.name
        pace = self._paces.get(place.target.entry.service)
        tokens = 0
        for part in call.shared_parts:
            tokens += part.tokens
            read_s = pace.read_s(max(0, tokens - place.held_tokens))
            ready_s = place.begin_s + pace.base_s * READ_BASE_SHARE + read_s
            if self._holders.record_expected(place.salt, part.key, name, ready_s):
                self._gossip.queue_expected(place.salt, part.key, name, ready_s)

    def _withdraw_parts(self, call: CallerRequest, place: Placement) -> None:
        for part in call.shared_parts:
            self._holders.remove_expected(place.salt, part.key, place.target.name)

    def _timeout(self, state: State) -> RefusedError:
        kind = ErrorKind.DEADLINE_EXCEEDED
        return RefusedError(Failure(kind, "no answer in time", state.run, may_retry=False))

    async def _exchange(self, state: State, place: Placement, writer: ResponseWriter) -> None:
        reply: TargetResponse | None = None
        try:
            reply = await self._send(state, place)
            self._heads.note(place.target, state.call, reply)
            if reply.is_not_executed:
                raise self._rejected(state, place, reply)
            state.run = ExecutionState.UNKNOWN
            state.tried.append(place.target.name)
            if state.route.is_stream and reply.status == 200:
                await self._relay.relay_stream(state, place, reply, writer)
            else:
                await self._relay.relay_body(state, place, reply, writer)
        except ExchangeError as lost:
            raise self._lost(state, place, lost.failure, str(lost)) from lost
        except StreamBrokenError as broken:
            raise self._lost(state, place, ExchangeFailure.INVALID_RESPONSE, str(broken)) from broken
        finally:
            if reply is not None:
                reply.close()

    async def _send(self, state: State, place: Placement) -> TargetResponse:
        directive = self._directive(state, place)
        silence_s = self._silence_s(state, place)
        if silence_s is None:
            return await self._client.send(place.target, state.call, directive)
        try:
            async with asyncio.timeout(silence_s) as limit:
                return await self._client.send(place.target, state.call, directive)
        except TimeoutError:
            if not limit.expired():
                raise
            raise ExchangeError(ExchangeFailure.NO_RESPONSE, f"no answer in {silence_s:.2f} s") from None

    def _silence_s(self, state: State, place: Placement) -> float | None:
        """Time after which a request that got no answer is given up at its target.

        :returns: None while there is no alternative, or while the target has so much to do that
            its silence is no sign of a fault.
        """
        if not state.may_repeat or len(state.tried) + 1 >= state.route.max_attempts:
            return None
        if place.load > BUSY_LOAD:
            return None
        return max(MIN_SILENCE_S, SILENCE_FACTOR * state.route.latency_objective_s)

    def _directive(self, state: State, place: Placement) -> Directive:
        customer = state.customer
        return Directive(
            deadline_s=state.end_s - self._clock.monotonic_s(),
            customer=customer.name if customer else "",
            priority=place.priority if state.route.has_prompt else None,
            version=place.version,
            salt=place.salt,
            fetch_from=place.fetch_from,
            save_to=place.save_to.address if place.save_to else "",
            resume_after=state.checker.last_event_id,
        )

    def _rejected(self, state: State, place: Placement, reply: TargetResponse) -> Exception:
        self._withdraw_parts(state.call, place)
        state.rejected.add(place.target.name)
        state.rejections += 1
        state.reason = f"rejected with {reply.status}"
        log.info(
            event(
                "target_rejected",
                id=state.call.request_id,
                target=place.target.name,
                status=reply.status,
                weights=place.version,
                other_target=reply.is_other_target or None,
                other_version=reply.is_other_version or None,
            )
        )
        if state.rejections >= MAX_REJECTIONS:
            return self._refusal(state, "targets rejected the request")
        return self._again_or(state, "rejected", "a target rejected the request")

    def _lost(self, state: State, place: Placement, loss: ExchangeFailure, reason: str) -> Exception:
        now_s = self._clock.monotonic_s()
        target = place.target
        self._withdraw_parts(state.call, place)
        if loss is ExchangeFailure.NOT_SENT and not target.is_unreachable:
            target.mark_unreachable(now_s)
            self._gossip.broadcast(gossip.UNREACHABLE, [target.name, target.entry.started_ms])
        else:
            target.record_failure(now_s, is_unanswered=loss is not ExchangeFailure.INVALID_RESPONSE)
        state.reason = reason
        log.info(
            event(
                "target_lost",
                id=state.call.request_id,
                target=target.name,
                loss=loss.value,
                reason=reason,
                last_event=state.checker.last_event_id,
            )
        )
        if loss is ExchangeFailure.NOT_SENT:
            state.rejected.add(target.name)
            state.rejections += 1
            if state.rejections >= MAX_REJECTIONS:
                return self._refusal(state, "targets cannot be reached")
            return self._again_or(state, "unreachable", "the target cannot be reached")
        state.run = ExecutionState.UNKNOWN
        if target.name not in state.tried:
            state.tried.append(target.name)
        can_go_on = state.may_repeat and len(state.tried) < state.route.max_attempts
        if state.has_begun and state.route.retry_policy is not RetryPolicy.RESUMABLE:
            can_go_on = False
        if not can_go_on:
            return self._refusal(state, "the target's answer was lost")
        state.checker.restart()
        return self._again_or(state, "lost", "the target's answer was lost")

    def _again_or(self, state: State, reason: str, message: str) -> Exception:
        if self._budgets.get(state.service).try_spend(reason):
            return AgainError()
        return self._refusal(state, f"{message}, and the retry budget is used up")


def _pause_end_s(targets: list[Target], now_s: float) -> float:
    """Monotonic time at which the first of the paused targets takes requests again.

    :returns: infinity when none is paused.
    """
    return min(
        (
            target.paused_until_s
            for target in targets
            if target.is_usable() and target.is_paused(now_s)
        ),
        default=math.inf,
    )
