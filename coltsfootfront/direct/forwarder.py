"""Forwards one request: finds its route, sends it to targets and relays the response.

The route determines whether a request may be retried. A request that must run at most once is sent
to another target only if the first one is known not to have run it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from http import HTTPStatus

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct import gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.callerrequest import CallerRequest, ResponseWriter
from coltsfootfront.direct.capacitywait import CapacityWait, NoCapacityError
from coltsfootfront.direct.crashobserver import CrashObserver
from coltsfootfront.direct.directory import Directory, MovableExchange, Target
from coltsfootfront.direct.events import StreamBrokenError
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.limitrecorder import LimitRecorder
from coltsfootfront.direct.permits import Permits
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.quarantinekeeper import QuarantineKeeper
from coltsfootfront.direct.quotacounter import QuotaCounter
from coltsfootfront.direct.requeststate import (
    RefusedError,
    RequestState,
    RetryError,
    build_refusal,
    request_log_fields,
)
from coltsfootfront.direct.responseheads import ResponseHeadRecorder
from coltsfootfront.direct.responserelay import ResponseRelay
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.routingconfig import RetryPolicy, RoutingConfig
from coltsfootfront.direct.stopping import StopSchedule
from coltsfootfront.direct.takeups import TakeUps
from coltsfootfront.direct.targetclient import (
    Directive,
    ExchangeError,
    ExchangeFailure,
    TargetClient,
    TargetResponse,
)
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
    Wait,
    WaitReason,
    compute_cache_salt,
)
from coltsfootfront.direct.targetwork import TargetWorkRecorder
from coltsfootfront.direct.versions import WeightVersions

log = logbook.Logger(__name__)

# Share of the route's latency objective that a request may spend waiting for a target, such as one
# that is loading weights.
MAX_PLACEMENT_WAIT_SHARE = 0.6
# Delay before a request goes back to the targets that have rejected it.
REJECTION_RETRY_DELAY_S = 0.05
# Interval at which a stream that broke off looks for a target to resume it.
RESUMPTION_CHECK_INTERVAL_S = 0.1
# A request is refused after this many rejections; each retry counts against the retry budget.
MAX_REJECTIONS = 4
# A retryable request goes to another target if it has no response after this multiple of the
# route's latency objective.
RESPONSE_TIMEOUT_FACTOR = 3.0
# Above this load a missing response may only mean that the target lacks capacity, so the response
# timeout does not apply.
BUSY_LOAD = 8
MIN_RESPONSE_TIMEOUT_S = 0.4
# Short, since a caller that a stopping router refuses reaches another router.
STOPPING_RETRY_AFTER_S = 0.05
# Spreads the returns of callers whose requests were held back.
QUARANTINE_JITTER_S = 1.0
# Short, since another router may have a current configuration.
MIN_OUTDATED_RETRY_AFTER_S = 0.3
MAX_OUTDATED_RETRY_AFTER_S = 0.8
STOPPING_MESSAGE = "the router is stopping"
OUTDATED_MESSAGE = "the configuration may be outdated and does not allow this request"
UNKNOWN_BUILD_MESSAGE = "it is not known which target software began this stream"
UNCONFIRMED_BUILD_MESSAGE = "nobody confirms that only one target software begins streams"
NO_TARGET_OF_BUILD_MESSAGE = "no target has the software that began this stream"
QUARANTINE_MESSAGE = "targets have crashed on such requests"
UNREADABLE_KEYS_MESSAGE = "the customer or its keys cannot be read in the configuration"
# Refusals that a newer configuration may not give.
CONFIGURED_REFUSALS = (
    ErrorKind.NOT_FOUND,
    ErrorKind.UNAUTHENTICATED,
    ErrorKind.UNREADABLE_CONFIGURATION,
)
# Targets that the attempts at one request, or at others with its digest, may crash; only a caller
# sends it again.
MAX_CRASHES_BY_ATTEMPTS = 2
# Length of an unexpected error in the log.
MAX_ERROR_CHARACTERS = 200


class Forwarder:
    """Places requests at targets, retries them and relays the responses.

    :param budgets: retry budget of each service.
    :param prefill_rates: prefill rate of each service's engines, estimated from their responses.
    :param permits: permits for requests to targets with a limit.
    :param quarantine: holds requests back that crash targets.
    :param crash_observer: told of each exchange, and of its failure.
    :param take_ups: finds the build at which a stream may go on.
    :param quota_counter: counts requests against the quotas of the customers.
    :param target_work: told of each attempt, and of what it took.
    :param capacity_wait: holds long prompts until a target has room for them.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        client: TargetClient,
        plain_selector: PlainTargetSelector,
        prompt_selector: PromptTargetSelector,
        cache_index: CacheIndex,
        versions: WeightVersions,
        gossip: Gossip,
        budgets: ServiceRetryBudgets,
        prefill_rates: PrefillRates,
        limits: LimitRecorder,
        permits: Permits,
        quarantine: QuarantineKeeper,
        crash_observer: CrashObserver,
        take_ups: TakeUps,
        quota_counter: QuotaCounter,
        target_work: TargetWorkRecorder,
        capacity_wait: CapacityWait,
        generator: random.Random,
    ) -> None:
        self._capacity_wait = capacity_wait
        self._clock = clock
        self._target_work = target_work
        self._directory = directory
        self._client = client
        self._plain_selector = plain_selector
        self._prompt_selector = prompt_selector
        self._cache_index = cache_index
        self._gossip = gossip
        self._budgets = budgets
        self._generator = generator
        self._permits = permits
        self._quarantine = quarantine
        self._crash_observer = crash_observer
        self._take_ups = take_ups
        self._quota_counter = quota_counter
        self._head_recorder = ResponseHeadRecorder(
            clock, directory, cache_index, versions, gossip, limits, target_work.costs
        )
        self._relay = ResponseRelay(
            clock,
            cache_index,
            gossip,
            budgets,
            prefill_rates,
            quarantine,
            self._reserve_replacement,
            take_ups,
            generator,
        )
        self.routing_config = RoutingConfig()
        self.stop = StopSchedule()
        self.in_progress = 0
        self._unanswered: dict[ReadTimeout, RequestState] = {}
        self.confirm_configuration: Callable[[], Awaitable[bool]] = _is_always_current
        """Brings an old configuration up to date; False if nobody confirms it."""

    async def serve(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Serve one request and write the response or a refusal."""
        self.in_progress += 1
        state: RequestState | None = None
        try:
            state = await self._admit_by_current_configuration(request)
            await self._quota_counter.count(state)
            await self._serve_until_exit(state, writer)
            self._log_request_end(request, state, "answered", "")
        except RefusedError as refused:
            self._log_request_end(
                request, state, refused.failure.kind.value, refused.failure.message
            )
            metrics.count_refusal(refused.failure.kind.value)
            if state is not None and state.has_response_begun:
                writer.abort()
            else:
                await writer.refuse(refused.failure)
        except (asyncio.CancelledError, ConnectionError):
            # The writer raises a ConnectionError when the caller's connection has been closed.
            self._log_request_end(request, state, "caller_left", "")
            raise
        except Exception as error:
            self._log_request_end(request, state, "failed", repr(error)[:MAX_ERROR_CHARACTERS])
            raise
        finally:
            self.in_progress -= 1
            if state is not None:
                self._quota_counter.refund_unrun(state)

    def end_unanswered(self) -> None:
        """Respond with an error to each request whose response has not begun."""
        for timeout, state in self._unanswered.items():
            if not state.has_response_begun:
                timeout.expire()

    async def _serve_until_exit(self, state: RequestState, writer: ResponseWriter) -> None:
        """Serve an admitted request, unless :meth:`end_unanswered` ends it.

        :raises RefusedError: if it is refused or ended.
        """
        timeout = ReadTimeout(None)
        try:
            async with timeout:
                self._unanswered[timeout] = state
                self._budgets.get(state.service).record_request()
                state.is_trial = await self._quarantine.may_try(state.request.crash_keys)
                self._check_quarantine(state)
                await self._find_build(state)
                await self._serve_with_retries(state, writer)
        except TimeoutError:
            if not timeout.expired():
                raise
            state.reason = STOPPING_MESSAGE
            if state.execution_state is ExecutionState.NOT_RUN:
                raise RefusedError(_stopping_failure()) from None
            raise self._deadline_error(state, STOPPING_MESSAGE) from None
        finally:
            self._unanswered.pop(timeout, None)

    def _log_request_end(
        self, request: CallerRequest, state: RequestState | None, outcome: str, reason: str
    ) -> None:
        fields = request_log_fields(request, state)
        fields["reason"] = reason or fields["reason"]
        took_s = self._clock.monotonic_s() - request.received_s
        metrics.RESPONSE_DURATION_S.observe({"outcome": outcome}, took_s)
        config = self.routing_config.number
        log.info(event("request_ended", **fields, outcome=outcome, config=config, took_s=took_s))

    async def _admit_by_current_configuration(self, request: CallerRequest) -> RequestState:
        """Admit a request; only a configuration that is known to be current refuses one for good.

        :raises RefusedError: if it is refused.
        """
        try:
            return self._admit(request)
        except RefusedError as refused:
            if refused.failure.kind not in CONFIGURED_REFUSALS:
                raise
        is_current = await self.confirm_configuration()
        try:
            return self._admit(request)
        except RefusedError as refused:
            if is_current or refused.failure.kind not in CONFIGURED_REFUSALS:
                raise
        wait_s = self._generator.uniform(MIN_OUTDATED_RETRY_AFTER_S, MAX_OUTDATED_RETRY_AFTER_S)
        raise RefusedError(
            Failure(ErrorKind.NO_TARGET, OUTDATED_MESSAGE, retry_after_s=wait_s)
        ) from None

    def _admit(self, request: CallerRequest) -> RequestState:
        config = self.routing_config
        if not config.number:
            raise RefusedError(Failure(ErrorKind.NO_TARGET, "no configuration is known yet"))
        route = config.find_route(request.host, request.path)
        unreadable = config.find_unreadable(request.host, route)
        if unreadable:
            raise RefusedError(Failure(ErrorKind.UNREADABLE_CONFIGURATION, unreadable))
        if route is None:
            raise RefusedError(Failure(ErrorKind.NOT_FOUND, "no route for this host and path"))
        customer = None
        if config.requires_keys and not route.allows_anonymous:
            customer = config.customers_by_key.get(request.api_key)
            if customer is None and config.may_have_key(request.api_key):
                failure = Failure(ErrorKind.UNREADABLE_CONFIGURATION, UNREADABLE_KEYS_MESSAGE)
                raise RefusedError(failure)
            if customer is None:
                raise RefusedError(Failure(ErrorKind.UNAUTHENTICATED, "unknown API key"))
        service = route.choose_service(self._generator)
        deadline_s = min(request.deadline_s, request.received_s + route.timeout_s)
        state = RequestState(request, route, service, customer, deadline_s)
        self._check_stop(state)
        state.stream_validator.last_event_id = request.resume_after
        return state

    async def _find_build(self, state: RequestState) -> None:
        """Find the build at which a stream that its caller takes up may go on.

        :raises RefusedError: if it is unknown, or no service of the route has it.
        """
        request = state.request
        if request.resume_after is None or not state.route.is_stream:
            return
        customer = state.customer.name if state.customer else ""
        stream = await self._take_ups.find(customer, request.resumes, state.service)
        services = {choice.service for choice in state.route.weighted_services}
        if stream is not None and stream.service in services:
            state.service, state.build = stream
            return
        metrics.CONNECTION_EVENTS.inc({"event": "take_up_refused"})
        if stream is None and self._take_ups.may_find_later(state.service):
            state.reason = UNCONFIRMED_BUILD_MESSAGE
            wait_s = self._generator.uniform(MIN_OUTDATED_RETRY_AFTER_S, MAX_OUTDATED_RETRY_AFTER_S)
            raise RefusedError(
                Failure(ErrorKind.NO_TARGET, UNCONFIRMED_BUILD_MESSAGE, retry_after_s=wait_s)
            )
        state.reason = UNKNOWN_BUILD_MESSAGE
        raise RefusedError(Failure(ErrorKind.NO_TARGET, UNKNOWN_BUILD_MESSAGE, may_retry=False))

    async def _serve_with_retries(self, state: RequestState, writer: ResponseWriter) -> None:
        while True:
            await self._await_budget(state)
            state.placement = await self._take_replacement(state)
            if state.placement is None:
                state.placement = await self._wait_for_room(state)
            state.placed_s = self._clock.monotonic_s() - state.request.received_s
            # Its parts may have been quarantined since it arrived or since it was last sent.
            self._check_quarantine(state)
            self._check_stop(state)
            state.placement = self._with_current_scope(state, state.placement)
            try:
                await self._attempt(state, state.placement, writer)
                return
            except RetryError:
                continue

    def _with_current_scope(self, state: RequestState, placement: Placement) -> Placement:
        """Return a placement with the cache salt of the configuration in force.

        The configuration may have changed while the request waited for a permit of its target.
        """
        if placement.version is None:
            return placement
        scope = self.routing_config.cache_scope(state.customer)
        salt = compute_cache_salt(state.request.model, placement.version, scope)
        if salt == placement.salt:
            return placement
        log.info(
            event("cache_scope_changed", id=state.request.request_id, target=placement.target.name)
        )
        return replace(placement, salt=salt, fetch_from="", held_tokens=0)

    def _check_stop(self, state: RequestState) -> None:
        """Refuse a request that may not be finished before this process exits.

        :raises RefusedError: if it may not be sent any more.
        """
        may_have_run = state.execution_state is not ExecutionState.NOT_RUN
        now_s = self._clock.monotonic_s()
        if self.stop.may_pass_on(
            state.route, state.deadline_s, now_s, may_have_run, state.has_response_begun
        ):
            return
        state.reason = STOPPING_MESSAGE
        if may_have_run or state.has_response_begun:
            raise self._refusal(state, STOPPING_MESSAGE)
        raise RefusedError(_stopping_failure())

    def _check_quarantine(self, state: RequestState) -> None:
        """Refuse a request that is quarantined, or whose parts are, unless it is sent as a trial.

        :raises RefusedError: if it is held back.
        """
        if state.is_trial and not state.sends:
            return
        held_s = self._quarantine.held_for_s(state.request.crash_keys)
        if held_s is None and not (state.sends and self._has_crashed_targets(state)):
            return
        state.reason = QUARANTINE_MESSAGE
        if held_s is None:
            raise self._refusal(state, QUARANTINE_MESSAGE)
        if state.execution_state is not ExecutionState.NOT_RUN or state.has_response_begun:
            raise self._refusal(state, QUARANTINE_MESSAGE)
        retry_after_s = held_s + self._generator.uniform(0.0, QUARANTINE_JITTER_S)
        raise RefusedError(
            Failure(ErrorKind.QUARANTINED, QUARANTINE_MESSAGE, retry_after_s=retry_after_s)
        )

    def _has_crashed_targets(self, state: RequestState, lost_at: Target | None = None) -> bool:
        """Whether a request seems to have crashed so many targets that it is not sent again.

        :param lost_at: target that has just lost it, and has crashed by this assumption.
        """
        crashes = self._quarantine.count_crashes(state.request.digest, lost_at)
        return crashes + (lost_at is not None) >= MAX_CRASHES_BY_ATTEMPTS

    async def _wait_for_room(self, state: RequestState) -> Placement:
        wait_until_s = _placement_deadline_s(state)
        try:
            return await self._capacity_wait.place(state, wait_until_s, self._wait_for_target)
        except NoCapacityError as error:
            raise self._refusal(state, str(error), error.room_after_s) from None

    async def _wait_for_target(self, state: RequestState, wait_until_s: float) -> Placement:
        while True:
            self._check_stop(state)
            now_s = self._clock.monotonic_s()
            untried = self._untried_targets(state)
            available = [
                target
                for target in untried
                if target.name not in state.rejected and target.available_from_s() <= now_s
            ]
            choice = self._choose_target(state, available, wait_until_s)
            if isinstance(choice, Placement):
                if await self._permits.acquire(choice.target):
                    return choice
                continue
            if choice is None:
                choice = await self._choose_unavailable(state, untried, wait_until_s)
            if isinstance(choice, Placement):
                return choice
            now_s = self._clock.monotonic_s()
            if isinstance(choice, Wait) and now_s < wait_until_s:
                state.waited_for = choice.reason
                wait_s = min(choice.until_s, wait_until_s) - now_s
                with self._target_work.reserve(choice.placement):
                    await self._directory.wait_for_change(max(wait_s, 0.005))
                continue
            unavailable = _unavailable_targets(untried, now_s)
            if state.has_response_begun and untried and now_s < wait_until_s:
                state.rejected.clear()
                await self._directory.wait_for_change(RESUMPTION_CHECK_INTERVAL_S)
            elif state.rejected and now_s < wait_until_s:
                state.rejected.clear()
                if not any(target.is_paused(now_s) for target in unavailable):
                    await self._clock.sleep(REJECTION_RETRY_DELAY_S)
            else:
                raise self._unavailable_error(state, unavailable, now_s)

    def _untried_targets(self, state: RequestState) -> list[Target]:
        """Targets that have not had the request, or that may have it once more.

        :raises RefusedError: if no target can continue the stream any more.
        """
        untried = [
            target for target in self._candidates(state) if target.name not in state.attempted
        ] or self._silent_targets(state)
        if state.build and not untried:
            raise self._build_gone(state)
        return untried

    def _candidates(self, state: RequestState) -> list[Target]:
        """Targets that may serve a request, by the builds that the stream allows."""
        targets = self._directory.of_service(state.service)
        if state.build:
            return [target for target in targets if state.may_serve(target)]
        if state.route.retry_policy is not RetryPolicy.RESUMABLE:
            return targets
        recorded = [
            target
            for target in targets
            if self._take_ups.may_begin(state.service, target.entry.build_key)
        ]
        return recorded if any(target.is_usable() for target in recorded) else targets

    def _build_gone(self, state: RequestState) -> RefusedError:
        """Refuse a stream that no target can continue any more."""
        state.reason = NO_TARGET_OF_BUILD_MESSAGE
        if state.execution_state is not ExecutionState.NOT_RUN or state.has_response_begun:
            return self._refusal(state, NO_TARGET_OF_BUILD_MESSAGE)
        failure = Failure(ErrorKind.NO_TARGET, NO_TARGET_OF_BUILD_MESSAGE, may_retry=False)
        return RefusedError(failure)

    async def _choose_unavailable(
        self, state: RequestState, untried: list[Target], wait_until_s: float
    ) -> Placement | Wait | None:
        """Reserve a permit of a limited target, or wait for the end of a pause."""
        now_s = self._clock.monotonic_s()
        unavailable = _unavailable_targets(untried, now_s)
        for target in unavailable:
            is_only_limited = target.limit is not None and not target.is_paused(now_s)
            if not is_only_limited or target.name in state.rejected:
                continue
            if target.available_from_s() > wait_until_s:
                break
            placement = self._choose_target(state, [target], wait_until_s)
            if not isinstance(placement, Placement):
                continue
            state.waited_for = WaitReason.LIMIT
            max_wait_s = max(0.0, wait_until_s - self._clock.monotonic_s())
            if await self._permits.acquire(target, max_wait_s) and target.is_usable():
                return placement
        first = min(unavailable, key=Target.available_from_s, default=None)
        if first is None or first.available_from_s() > wait_until_s:
            return None
        reason = WaitReason.PAUSE if first.is_paused(now_s) else WaitReason.LIMIT
        return Wait(first.available_from_s(), reason)

    def _unavailable_error(
        self, state: RequestState, unavailable: list[Target], now_s: float
    ) -> RefusedError:
        """Refuse a request with the time at which the first target can be expected to take it."""
        if not unavailable:
            return self._refusal(state, "no target can take the request now")
        target = min(unavailable, key=lambda target: target.expected_return_s(now_s))
        return_s = target.expected_return_s(now_s)
        message = "the targets want no requests"
        if target.limit is not None:
            target.limit.record_refusal(return_s, state.request.deadline_s)
            message = "the limits of the targets admit no more requests"
        return self._refusal(state, message, return_s - now_s)

    def _choose_target(
        self, state: RequestState, targets: list[Target], wait_until_s: float
    ) -> Placement | Wait | None:
        if not state.route.has_prompt:
            return self._plain_selector.choose(targets, state.route.name)
        service = self.routing_config.services.get(state.service)
        engine_properties = service.engine if service else None
        return self._prompt_selector.choose(
            state.request,
            self.routing_config.cache_scope(state.customer),
            targets,
            wait_until_s,
            engine_properties,
            self.routing_config.kept_caches(),
            state.urgency,
        )

    def _refusal(
        self, state: RequestState, message: str, pause_s: float | None = None
    ) -> RefusedError:
        return build_refusal(state, message, self._clock.monotonic_s(), self._generator, pause_s)

    async def _attempt(
        self, state: RequestState, placement: Placement, writer: ResponseWriter
    ) -> None:
        target = placement.target
        remaining_s = state.deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            raise self._deadline_error(state)
        state.sends += 1
        self._quota_counter.count_further_run(state)
        state.answer_begun_s = None
        self._prompt_selector.record_placement(state.request, placement)
        state.work = self._target_work.begin(placement, state.route.name, state.route.has_prompt)
        self._record_expected_parts(state.request, placement)
        if not target.in_flight:
            target.last_activity_s = self._clock.monotonic_s()
        target.in_flight += 1
        timeout = ReadTimeout(remaining_s, is_deadline=True)
        keys = state.request.crash_keys
        state.exchange = self._crash_observer.begin(keys, timeout, state.is_trial)
        state.exchange.is_relayed = state.has_response_begun
        movable = MovableExchange(timeout, lambda: self._may_move(state))
        if state.may_retry:
            target.exchanges.add(movable)
        try:
            async with timeout:
                await self._exchange(state, placement, writer)
        except TimeoutError:
            state.execution_state = ExecutionState.UNKNOWN
            if state.exchange is not None and state.exchange.is_withdrawn:
                self._remove_expected_parts(state.request, placement)
                raise self._refusal(state, QUARANTINE_MESSAGE) from None
            if self._clock.monotonic_s() < state.deadline_s:
                raise self._handle_exchange_failure(
                    state, placement, ExchangeFailure.NO_RESPONSE, "the target became unreachable"
                ) from None
            raise self._deadline_error(state) from None
        except asyncio.CancelledError:
            state.execution_state = ExecutionState.UNKNOWN
            raise
        finally:
            target.in_flight -= 1
            state.work.end()
            target.exchanges.discard(movable)
            if state.exchange is not None:
                self._crash_observer.end(state.exchange)

    def _may_move(self, state: RequestState) -> bool:
        """Whether a request is certain to be taken over from a target that cannot be reached.

        That a target is silent says nothing about an answer that it has begun; a stream has a time
        limit of its own for its next event.
        """
        return not state.has_response_begun and self._reserve_replacement(state)

    def _reserve_replacement(self, state: RequestState) -> bool:
        """Reserve what an attempt at another target needs, before the present one is given up.

        :returns: whether the request may run at another target, one is free, and the budget has
            allowed the retry.
        """
        budget = self._budgets.get(state.service)
        if state.placement is None or not state.may_retry or not budget.can_spend():
            return False
        tried = {*state.attempted, state.placement.target.name}
        now_s = self._clock.monotonic_s()
        if len(tried) >= state.route.max_attempts or not self._may_send_again(state, now_s):
            return False
        free = [
            target
            for target in self._candidates(state)
            if target.name not in tried
            and target.is_healthy(now_s)
            and target.available_from_s() <= now_s
            # The permit of a limited target is asked for once the exchange has ended.
            and (target.limit is None or not state.has_response_begun)
        ]
        choice = self._choose_target(state, free, now_s)
        if not isinstance(choice, Placement) or not budget.try_spend("moved"):
            return False
        state.replacement = choice
        return True

    async def _await_budget(self, state: RequestState) -> None:
        """Wait until the budget allows an owed retry.

        :raises RefusedError: at the deadline.
        """
        reason, state.owed_retry = state.owed_retry, ""
        while reason and not self._budgets.get(state.service).can_spend():
            if self._clock.monotonic_s() >= state.deadline_s:
                raise self._deadline_error(state)
            self._check_stop(state)
            await self._clock.sleep(RESUMPTION_CHECK_INTERVAL_S)
        if reason:
            self._budgets.get(state.service).try_spend(reason)

    async def _take_replacement(self, state: RequestState) -> Placement | None:
        """Take the reserved target, None if there is none or it may not get the request now."""
        replacement = state.take_replacement()
        if replacement is None or not replacement.target.is_usable():
            return None
        if not state.may_serve(replacement.target):
            return None
        return replacement if await self._permits.acquire(replacement.target) else None

    def _silent_targets(self, state: RequestState) -> list[Target]:
        """Targets that may go on with an answer, though it was given up there for their silence."""
        if not state.has_response_begun:
            return []
        return [target for target in self._candidates(state) if target.name in state.silent]

    def _may_send_again(self, state: RequestState, now_s: float) -> bool:
        """Whether neither a planned stop nor a quarantine keeps a request from being sent again."""
        is_in_time = self.stop.may_pass_on(
            state.route, state.deadline_s, now_s, True, state.has_response_begun
        )
        is_held = self._quarantine.held_for_s(state.request.crash_keys) is not None
        return is_in_time and not is_held and not self._has_crashed_targets(state)

    def _record_expected_parts(self, request: CallerRequest, placement: Placement) -> None:
        if not placement.salt:
            return
        name = placement.target.name
        tokens = 0
        for part in request.shared_parts:
            tokens += part.tokens
            ready_in_s = self._target_work.ready_in_s(
                placement, max(0, tokens - placement.held_tokens)
            )
            if self._cache_index.record_expected(placement.salt, part.key, name, ready_in_s):
                self._gossip.queue_expected(placement.salt, part.key, name, ready_in_s)

    def _remove_expected_parts(self, request: CallerRequest, placement: Placement) -> None:
        for part in request.shared_parts:
            self._cache_index.remove_expected(placement.salt, part.key, placement.target.name)

    def _deadline_error(
        self, state: RequestState, message: str = "no answer in time"
    ) -> RefusedError:
        kind = ErrorKind.DEADLINE_EXCEEDED
        return RefusedError(Failure(kind, message, state.execution_state, may_retry=False))

    async def _exchange(
        self, state: RequestState, placement: Placement, writer: ResponseWriter
    ) -> None:
        response: TargetResponse | None = None
        sent_s = self._clock.monotonic_s()
        try:
            response = await self._send(state, placement)
            self._head_recorder.record(placement.target, state.request, response, sent_s)
            if response.is_not_executed:
                raise self._handle_rejection(state, placement, response)
            state.execution_state = ExecutionState.UNKNOWN
            state.attempted.append(placement.target.name)
            if state.exchange is not None:
                state.exchange.is_answering = True
            if state.has_response_begun and response.status != HTTPStatus.OK:
                # Only the rest of the stream may follow what the caller has received.
                raise ExchangeError(
                    ExchangeFailure.INVALID_RESPONSE,
                    f"status {response.status} in answer to a stream that is resumed",
                )
            if state.route.is_stream and response.status == 200:
                await self._relay.relay_stream(state, placement, response, writer)
            else:
                await self._relay.relay_body(state, placement, response, writer)
        except ExchangeError as error:
            raise self._handle_exchange_failure(
                state, placement, error.failure, str(error)
            ) from error
        except StreamBrokenError as stream_error:
            raise self._handle_exchange_failure(
                state, placement, ExchangeFailure.INVALID_RESPONSE, str(stream_error)
            ) from stream_error
        finally:
            if response is not None:
                response.close()

    async def _send(self, state: RequestState, placement: Placement) -> TargetResponse:
        directive = self._directive(state, placement)
        response_timeout_s = self._response_timeout_s(state, placement)
        if response_timeout_s is None:
            return await self._client.send(placement.target, state.request, directive)
        timeout = ReadTimeout(response_timeout_s, lambda: self._reserve_replacement(state))
        try:
            async with timeout:
                return await self._client.send(placement.target, state.request, directive)
        except TimeoutError:
            if not timeout.expired():
                raise
            raise ExchangeError(
                ExchangeFailure.NO_RESPONSE, f"no response within {response_timeout_s:.2f} s"
            ) from None

    def _response_timeout_s(self, state: RequestState, placement: Placement) -> float | None:
        """Time to wait for the target's response before the attempt is abandoned.

        :returns: None if the request may not go to another target, or if the target has so many
            requests that a missing response is no sign of a fault.
        """
        if not state.may_retry or len(state.attempted) + 1 >= state.route.max_attempts:
            return None
        if placement.load > BUSY_LOAD:
            return None
        return max(
            MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * state.route.latency_objective_s
        )

    def _directive(self, state: RequestState, placement: Placement) -> Directive:
        customer = state.customer
        return Directive(
            deadline_s=state.deadline_s - self._clock.monotonic_s(),
            customer=customer.name if customer else "",
            priority=placement.priority if state.route.has_prompt else None,
            version=placement.version,
            salt=placement.salt,
            fetch_from=placement.fetch_from,
            save_to=placement.save_to.address if placement.save_to else "",
            resume_after=state.stream_validator.last_event_id,
        )

    def _handle_rejection(
        self, state: RequestState, placement: Placement, response: TargetResponse
    ) -> Exception:
        self._remove_expected_parts(state.request, placement)
        state.rejected.add(placement.target.name)
        state.rejections += 1
        state.reason = f"rejected with {response.status}"
        log.info(
            event(
                "target_rejected",
                id=state.request.request_id,
                target=placement.target.name,
                status=response.status,
                weights=placement.version,
                other_target=response.is_other_target or None,
                other_version=response.is_other_version or None,
            )
        )
        if state.rejections >= MAX_REJECTIONS and not state.silent:
            return self._refusal(state, "targets rejected the request")
        return self._retry_or_refuse(state, "rejected", "a target rejected the request")

    def _handle_exchange_failure(
        self, state: RequestState, placement: Placement, failure: ExchangeFailure, reason: str
    ) -> Exception:
        now_s = self._clock.monotonic_s()
        target = placement.target
        self._remove_expected_parts(state.request, placement)
        is_refused = failure is ExchangeFailure.NOT_SENT
        is_dark = failure is ExchangeFailure.NO_CONNECTION and not target.is_heard(now_s)
        if (is_refused or is_dark) and not target.is_unreachable:
            target.mark_unreachable(now_s)
            self._gossip.broadcast(gossip.UNREACHABLE, [target.name, target.entry.started_ms])
        else:
            is_unanswered = is_refused or is_dark or failure is ExchangeFailure.NO_RESPONSE
            target.record_failure(now_s, is_unanswered)
        state.reason = reason
        log.info(
            event(
                "target_lost",
                id=state.request.request_id,
                target=target.name,
                loss=failure.value,
                reason=reason,
                last_event=state.stream_validator.last_event_id,
                answered_s=(
                    now_s - state.answer_begun_s if state.answer_begun_s is not None else None
                ),
                parts=",".join(state.request.crash_keys),
            )
        )
        if failure in (ExchangeFailure.NOT_SENT, ExchangeFailure.NO_CONNECTION):
            if is_refused or is_dark:
                self._crash_observer.record_down(target)
            return self._handle_unsent(state, target, is_refused)
        state.execution_state = ExecutionState.UNKNOWN
        if state.exchange is not None:
            self._crash_observer.record_loss(target, state.exchange)
        if target.name not in state.attempted:
            state.attempted.append(target.name)
        if state.replacement is not None and state.has_response_begun:
            state.silent.add(target.name)
        else:
            state.silent.discard(target.name)
        has_attempts = len(state.attempted) < state.route.max_attempts or bool(state.silent)
        can_retry = state.may_retry and has_attempts
        is_resumable = (
            state.route.retry_policy is RetryPolicy.RESUMABLE and state.status == HTTPStatus.OK
        )
        if state.has_response_begun and not is_resumable:
            can_retry = False
        is_suspect = state.exchange is not None and not state.exchange.is_answered
        if is_suspect and state.replacement is None and self._has_crashed_targets(state, target):
            can_retry = False
        if not can_retry:
            return self._refusal(state, "the target's answer was lost")
        state.stream_validator.restart()
        return self._retry_or_refuse(state, "lost", "the target's answer was lost")

    def _handle_unsent(self, state: RequestState, target: Target, is_refused: bool) -> Exception:
        """Handle an attempt whose connection was refused, or did not open in time."""
        state.rejected.add(target.name)
        state.rejections += 1
        if is_refused:
            state.silent.discard(target.name)
        if state.rejections >= MAX_REJECTIONS and not state.silent:
            return self._refusal(state, "targets cannot be reached")
        if not is_refused:
            # Nothing has arrived at the target, whose load the budget limits.
            return RetryError()
        return self._retry_or_refuse(state, "unreachable", "the target cannot be reached")

    def _retry_or_refuse(self, state: RequestState, reason: str, message: str) -> Exception:
        if state.replacement is not None:
            return RetryError()
        if self._budgets.get(state.service).try_spend(reason):
            return RetryError()
        if state.silent:
            state.owed_retry = reason
            return RetryError()
        return self._refusal(state, f"{message}, and the retry budget is used up")


async def _is_always_current() -> bool:
    return True


def _placement_deadline_s(state: RequestState) -> float:
    """Monotonic time until which a request may wait for a target.

    Without a target, an answer that its caller has begun to read would break off, so its time is
    limited by the deadline alone.
    """
    if state.has_response_begun:
        return state.deadline_s
    wait_s = MAX_PLACEMENT_WAIT_SHARE * state.route.latency_objective_s
    return min(state.request.received_s + wait_s, state.deadline_s)


def _stopping_failure() -> Failure:
    return Failure(ErrorKind.OVERLOADED, STOPPING_MESSAGE, retry_after_s=STOPPING_RETRY_AFTER_S)


def _unavailable_targets(targets: list[Target], now_s: float) -> list[Target]:
    """Targets that will accept requests after a pause, or when their limit admits another one.

    :returns: the earliest available first.
    """
    unavailable = [
        target for target in targets if target.is_usable() and target.available_from_s() > now_s
    ]
    return sorted(unavailable, key=Target.available_from_s)
