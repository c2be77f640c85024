"""Explains where a request would go now and why, without sending it.

An operator asks one router, whose answer follows from its state at that moment and leaves it as it
is. API keys are neither asked for nor shown: the customer is named.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import DecodingError
from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.capacitywait import CapacityWait, NoCapacityError
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.forwarder import MAX_PLACEMENT_WAIT_SHARE
from coltsfootfront.direct.quarantinekeeper import QuarantineKeeper
from coltsfootfront.direct.question import Question, decode_question
from coltsfootfront.direct.quotacounter import QUOTA_MESSAGE
from coltsfootfront.direct.requeststate import RequestState
from coltsfootfront.direct.routingconfig import (
    Customer,
    RetryPolicy,
    Route,
    RoutingConfig,
)
from coltsfootfront.direct.stopping import StopSchedule
from coltsfootfront.direct.targetdescription import (
    describe_bad_health,
    describe_placement,
    describe_route,
    describe_target,
    find_absence,
    find_waits,
    finite,
)
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
    Wait,
    healthy_targets,
)
from coltsfootfront.direct.versions import WeightVersions

EXPLAIN_PATH = "/explain"
MAX_QUESTION_BYTES = 1024 * 1024
REQUEST_ID = "explain"
OK = 200
BAD_REQUEST = 400

Json = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Occupancy:
    """What a router has under way.

    :param in_progress: requests under way.
    :param max_in_progress: limit on them.
    :param stop: times of a planned stop.
    """

    in_progress: int
    max_in_progress: float
    stop: StopSchedule


@dataclass(frozen=True, slots=True)
class _Outlook:
    """What would happen to a request.

    :param target: name of the target that would get it, None if that is open.
    :param is_refused: no target would get it.
    """

    target: str | None
    reason: str
    is_refused: bool = False


class Explainer:
    """Explains the placement of requests.

    :param get_config: returns the configuration in force.
    :param get_occupancy: returns what the router has under way.
    :param may_begin: whether streams of a service may begin at a build.
    :param capacity_wait: holds long prompts until a target has room for them.
    :param describe_quota: returns the state of a customer's quota, None without one.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        plain_selector: PlainTargetSelector,
        prompt_selector: PromptTargetSelector,
        versions: WeightVersions,
        quarantine: QuarantineKeeper,
        get_config: Callable[[], RoutingConfig],
        get_occupancy: Callable[[], Occupancy],
        may_begin: Callable[[str, str], bool],
        capacity_wait: CapacityWait,
        describe_quota: Callable[[Customer], Json | None] = lambda customer: None,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._plain_selector = plain_selector
        self._prompt_selector = prompt_selector
        self._versions = versions
        self._quarantine = quarantine
        self._get_config = get_config
        self._get_occupancy = get_occupancy
        self._may_begin = may_begin
        self._capacity_wait = capacity_wait
        self._describe_quota = describe_quota

    def explain(self, question: Question) -> Json:
        """Explain where a request would go now."""
        config = self._get_config()
        route = config.find_route(question.host, question.path)
        customer = None
        if route is not None and config.requires_keys and not route.allows_anonymous:
            customer = config.customers.get(question.customer)
        described = self._describe_customer(customer)
        answer: Json = {
            "configuration": config.number,
            "route": describe_route(route) if route is not None else None,
            "customer": described,
            "refusal": self._find_refusal(question, config, route, customer, described),
            "services": [],
        }
        if route is None or route.is_unreadable:
            return answer
        request = self._make_request(question, route)
        weights = sum(choice.weight for choice in route.weighted_services)
        for choice in route.weighted_services:
            share = choice.weight / weights if weights else 1.0
            explained = self._explain_service(request, route, choice.service, config, customer)
            answer["services"].append({"service": choice.service, "share": share, **explained})
        if answer["refusal"] is None and all(item["is_refused"] for item in answer["services"]):
            answer["refusal"] = answer["services"][0]["reason"]
        return answer

    def _find_refusal(
        self,
        question: Question,
        config: RoutingConfig,
        route: Route | None,
        customer: Customer | None,
        described: Json | None,
    ) -> str | None:
        """Why the router refuses the request whatever its targets do, None if it does not."""
        occupancy = self._get_occupancy()
        if occupancy.in_progress >= occupancy.max_in_progress:
            return f"{occupancy.in_progress} requests are under way"
        if not config.number:
            return "no configuration is known yet"
        unreadable = config.find_unreadable(question.host, route)
        if unreadable:
            return unreadable
        if route is None:
            return "no route for this host and path"
        if customer is None and config.requires_keys and not route.allows_anonymous:
            return "unknown customer" if question.customer else "the route requires an API key"
        now_s = self._clock.monotonic_s()
        if not occupancy.stop.may_pass_on(route, now_s + route.timeout_s, now_s):
            return "the router is stopping"
        left_s = self._quarantine.quarantined_for_s(tuple(part.key for part in question.parts[:-1]))
        if left_s is not None:
            return f"targets have crashed on such requests, for {max(0.0, left_s):.1f} s more"
        quota = described["quota"] if described is not None else None
        if quota is not None and quota["is_used_up"]:
            return QUOTA_MESSAGE
        return None

    def _make_request(self, question: Question, route: Route) -> CallerRequest:
        now_s = self._clock.monotonic_s()
        return CallerRequest(
            request_id=REQUEST_ID,
            host=question.host,
            method="POST",
            path=question.path,
            headers=[],
            body=b"",
            received_s=now_s,
            deadline_s=now_s + route.timeout_s,
            model=question.model,
            prompt_tokens=question.prompt_tokens,
            output_tokens=question.output_tokens,
            parts=question.parts,
        )

    def _explain_service(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        config: RoutingConfig,
        customer: Customer | None,
    ) -> Json:
        now_s = self._clock.monotonic_s()
        targets = self._directory.of_service(service)
        obstacles = {
            target.name: self._find_obstacles(request, target, now_s) for target in targets
        }
        self._add_build_obstacles(route, targets, obstacles)
        free = [target for target in targets if not obstacles[target.name]]
        # Others are weighed only while none of these is left.
        weighed = healthy_targets(free, now_s)
        for target in free:
            if target not in weighed:
                obstacles[target.name].append(describe_bad_health(target, now_s))
        if route.has_prompt:
            state = RequestState(request, route, service, customer, request.deadline_s)
            estimates, outlook = self._weigh_prompt(state, weighed, config)
        else:
            estimates, outlook = self._weigh_plain(route, weighed)
        for target in weighed:
            if target.is_loading(now_s) and target.name != outlook.target:
                loading_s = target.loading_until_s - now_s
                obstacles[target.name].append(f"is loading weights for {loading_s:.2f} s")
        candidates = [
            describe_target(target, now_s)
            | {"passed_over": obstacles[target.name], "estimate": estimates.get(target.name)}
            for target in targets
        ]
        if not free:
            reason = "no target can take the request now" if targets else "no targets are known"
            outlook = _Outlook(None, reason, is_refused=True)
        return {
            "target": outlook.target,
            "reason": outlook.reason,
            "is_refused": outlook.is_refused,
            "candidates": candidates,
        }

    def _find_obstacles(self, request: CallerRequest, target: Target, now_s: float) -> list[str]:
        """Why a target gets no request now."""
        return [
            *find_absence(target),
            *find_waits(target, now_s),
            *self._find_version_obstacles(request, target),
        ]

    def _add_build_obstacles(
        self, route: Route, targets: list[Target], obstacles: dict[str, list[str]]
    ) -> None:
        """Pass over targets of unrecorded software while a usable one has recorded software."""
        if route.retry_policy is not RetryPolicy.RESUMABLE:
            return
        unrecorded = [
            target
            for target in targets
            if not self._may_begin(target.entry.service, target.entry.build_key)
        ]
        if any(target.is_usable() and target not in unrecorded for target in targets):
            for target in unrecorded:
                obstacles[target.name].append("its software is not recorded in the store yet")

    def _find_version_obstacles(self, request: CallerRequest, target: Target) -> list[str]:
        if not request.model:
            return []
        if request.model not in target.versions:
            return ["does not have the model"]
        if not self._versions.allows(request.model, target, 0.0):
            return ["has weights that are too old"]
        return []

    def _weigh_plain(self, route: Route, targets: list[Target]) -> tuple[dict[str, Json], _Outlook]:
        costs = self._plain_selector.weigh(targets, route.name)
        unit = "expected_s" if self._plain_selector.places_by_cost(targets) else "cost"
        estimates = {target.name: {unit: finite(cost)} for target, cost in costs}
        if not costs:
            return estimates, _Outlook(None, "")
        best, _ = min(costs, key=lambda item: item[1])
        reason = "lowest expected time" if unit == "expected_s" else "lowest load per slot"
        return estimates, _Outlook(best.name, f"{reason}, with its distance")

    def _weigh_prompt(
        self, state: RequestState, targets: list[Target], config: RoutingConfig
    ) -> tuple[dict[str, Json], _Outlook]:
        if not targets:
            return {}, _Outlook(None, "")
        service = config.services.get(state.service)
        properties = service.engine if service is not None else None
        scope, caches = config.cache_scope(state.customer), config.kept_caches()
        request, urgency = state.request, state.urgency
        placements = self._prompt_selector.weigh(
            request, scope, targets, properties, caches, urgency
        )
        estimates = {item.target.name: describe_placement(item) for item in placements}
        max_wait_s = MAX_PLACEMENT_WAIT_SHARE * state.route.latency_objective_s
        until_s = self._clock.monotonic_s() + max_wait_s
        choice = self._prompt_selector.choose(
            request, scope, targets, until_s, properties, caches, urgency
        )
        if isinstance(choice, Placement):
            return estimates, self._expect(state, choice)
        if isinstance(choice, Wait):
            wait_s = max(0.0, choice.until_s - self._clock.monotonic_s())
            name = choice.placement.target.name if choice.placement is not None else None
            return estimates, _Outlook(name, f"waits {wait_s:.2f} s for {choice.reason.value}")
        reason = "no target would begin in time on weights that are new enough"
        return estimates, _Outlook(None, reason, is_refused=True)

    def _expect(self, state: RequestState, placement: Placement) -> _Outlook:
        """Tell whether a prompt would be sent at once to the target chosen for it."""
        try:
            is_held = self._capacity_wait.would_hold(state, placement)
        except NoCapacityError as error:
            return _Outlook(None, str(error), is_refused=True)
        if is_held:
            begin_s = placement.begin_s
            reason = f"waits at this router, as the best target would begin it in {begin_s:.2f} s"
            return _Outlook(None, reason)
        reason = "lowest expected time to the first event"
        if placement.overtaking_s:
            reason += ", with the delay of the prompts that it overtakes"
        return _Outlook(placement.target.name, reason)

    def _describe_customer(self, customer: Customer | None) -> Json | None:
        if customer is None:
            return None
        return {
            "name": customer.name,
            "priority": customer.priority,
            "is_isolated": customer.is_isolated,
            "quota": self._describe_quota(customer),
        }


class ExplanationHandler:
    """Answers operators' questions in JSON.

    :param explainer: explains them.
    """

    def __init__(self, explainer: Explainer) -> None:
        self._explainer = explainer

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer ``POST /explain``."""
        try:
            data = await request.content.read(MAX_QUESTION_BYTES + 1)
            while len(data) <= MAX_QUESTION_BYTES and not request.content.at_eof():
                data += await request.content.read(MAX_QUESTION_BYTES)
            if len(data) > MAX_QUESTION_BYTES:
                raise DecodingError(f"more than {MAX_QUESTION_BYTES} bytes")
            answer = self._explainer.explain(decode_question(data))
        except DecodingError as error:
            message = {"kind": ErrorKind.BAD_REQUEST.value, "message": str(error)}
            return _encode({"error": message}, BAD_REQUEST)
        return _encode(answer, OK)


def _encode(value: Json, status: int) -> web.Response:
    return web.Response(
        text=json.dumps(value, allow_nan=False), status=status, content_type="application/json"
    )
