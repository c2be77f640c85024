"""Explains where a request would go now and why, without sending it.

An operator asks one router, whose answer follows from its state at that moment and leaves it as it
is. API keys are neither asked for nor shown: the customer is named.
"""

import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    load_json,
    read_integer,
    read_list,
    read_object,
    read_text,
)
from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.callerrequest import CallerRequest, PromptPart
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.forwarder import MAX_PLACEMENT_WAIT_SHARE
from coltsfootfront.direct.quarantinekeeper import QuarantineKeeper
from coltsfootfront.direct.routingconfig import (
    Customer,
    RetryPolicy,
    Route,
    RoutingConfig,
    request_urgency,
)
from coltsfootfront.direct.stopping import StopSchedule
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
MAX_PARTS = 1000
REQUEST_ID = "explain"
OK = 200
BAD_REQUEST = 400

Json = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Question:
    """A request as an operator describes it.

    :param customer: name of the customer, empty for a caller without an API key.
    """

    host: str
    path: str
    customer: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


def decode_question(data: bytes) -> Question:
    """Decode an operator's question.

    :raises DecodingError: if it is malformed.
    """
    with decoding("question"):
        body = read_object(load_json(data))
        parts = tuple(
            PromptPart(read_text(key), read_integer(tokens))
            for key, tokens in map(read_list, read_list(body.get("parts", [])))
        )
        if len(parts) > MAX_PARTS:
            raise DecodingError(f"more than {MAX_PARTS} parts")
        return Question(
            host=read_text(body["host"]),
            path=read_text(body["path"]),
            customer=read_text(body.get("customer", ""), is_optional=True),
            model=read_text(body.get("model", ""), is_optional=True),
            prompt_tokens=read_integer(
                body.get("prompt_tokens") or sum(part.tokens for part in parts)
            ),
            output_tokens=read_integer(body.get("output_tokens", 0)),
            parts=parts,
        )


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


class Explainer:
    """Explains the placement of requests.

    :param get_config: returns the configuration in force.
    :param get_occupancy: returns what the router has under way.
    :param may_begin: whether streams of a service may begin at a build.
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
        self._describe_quota = describe_quota

    def explain(self, question: Question) -> Json:
        """Explain where a request would go now."""
        config = self._get_config()
        route = config.find_route(question.host, question.path)
        customer = None
        if route is not None and config.requires_keys and not route.allows_anonymous:
            customer = config.customers.get(question.customer)
        answer: Json = {
            "configuration": config.number,
            "route": _describe_route(route) if route is not None else None,
            "customer": self._describe_customer(customer),
            "refusal": self._find_refusal(question, config, route, customer),
            "services": [],
        }
        if route is None:
            return answer
        request = self._make_request(question, route)
        weights = sum(choice.weight for choice in route.weighted_services)
        for choice in route.weighted_services:
            share = choice.weight / weights if weights else 1.0
            explained = self._explain_service(request, route, choice.service, config, customer)
            answer["services"].append({"service": choice.service, "share": share, **explained})
        if answer["refusal"] is None and not any(item["target"] for item in answer["services"]):
            answer["refusal"] = answer["services"][0]["reason"]
        return answer

    def _find_refusal(
        self,
        question: Question,
        config: RoutingConfig,
        route: Route | None,
        customer: Customer | None,
    ) -> str | None:
        """Why the router refuses the request whatever its targets do, None if it does not."""
        occupancy = self._get_occupancy()
        if occupancy.in_progress >= occupancy.max_in_progress:
            return f"{occupancy.in_progress} requests are under way"
        if not config.number:
            return "no configuration is known yet"
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
                obstacles[target.name].append(_describe_bad_health(target, now_s))
        if route.has_prompt:
            estimates, name, reason = self._weigh_prompt(request, route, weighed, config, customer)
        else:
            estimates, name, reason = self._weigh_plain(route, weighed)
        for target in weighed:
            if target.is_loading(now_s) and target.name != name:
                loading_s = target.loading_until_s - now_s
                obstacles[target.name].append(f"is loading weights for {loading_s:.2f} s")
        candidates = [
            _describe_target(target, now_s)
            | {"passed_over": obstacles[target.name], "estimate": estimates.get(target.name)}
            for target in targets
        ]
        if not free:
            reason = "no target can take the request now" if targets else "no targets are known"
        return {"target": name, "reason": reason, "candidates": candidates}

    def _find_obstacles(self, request: CallerRequest, target: Target, now_s: float) -> list[str]:
        """Why a target gets no request now."""
        return [
            *_find_absence(target),
            *_find_waits(target, now_s),
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

    def _weigh_plain(
        self, route: Route, targets: list[Target]
    ) -> tuple[dict[str, Json], str | None, str]:
        costs = self._plain_selector.weigh(targets, route.name)
        estimates = {target.name: {"cost": _finite(cost)} for target, cost in costs}
        if not costs:
            return estimates, None, ""
        best, _ = min(costs, key=lambda item: item[1])
        return estimates, best.name, "lowest expected cost, with its distance"

    def _weigh_prompt(
        self,
        request: CallerRequest,
        route: Route,
        targets: list[Target],
        config: RoutingConfig,
        customer: Customer | None,
    ) -> tuple[dict[str, Json], str | None, str]:
        if not targets:
            return {}, None, ""
        service = config.services.get(targets[0].entry.service)
        properties = service.engine if service is not None else None
        rank_offset = request_urgency(route, customer)
        scope, caches = config.cache_scope(customer), config.kept_caches()
        placements = self._prompt_selector.weigh(
            request, scope, targets, properties, caches, rank_offset
        )
        estimates = {item.target.name: _describe_placement(item) for item in placements}
        max_wait_s = MAX_PLACEMENT_WAIT_SHARE * route.latency_objective_s
        until_s = self._clock.monotonic_s() + max_wait_s
        choice = self._prompt_selector.choose(
            request, scope, targets, until_s, properties, caches, rank_offset
        )
        if isinstance(choice, Placement):
            return estimates, choice.target.name, "lowest expected time to the first event"
        if isinstance(choice, Wait):
            wait_s = max(0.0, choice.until_s - self._clock.monotonic_s())
            return estimates, None, f"waits {wait_s:.2f} s for {choice.reason.value}"
        return estimates, None, "no target would begin in time on weights that are new enough"

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


def _describe_route(route: Route) -> Json:
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "retries": route.retry_policy.value,
        "is_stream": route.is_stream,
        "has_prompt": route.has_prompt,
        "timeout_s": route.timeout_s,
        "latency_objective_s": route.latency_objective_s,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
    }


def _describe_placement(placement: Placement) -> Json:
    return {
        "expected_s": _finite(placement.expected_s),
        "begin_s": _finite(placement.begin_s),
        "priority": placement.priority,
        "prefill_tokens": placement.prefill_tokens,
        "held_tokens": placement.held_tokens,
        "fetch_from": placement.fetch_from,
        "version": placement.version,
    }


def _describe_target(target: Target, now_s: float) -> Json:
    limit = target.limit
    return {
        "name": target.name,
        "address": target.entry.address,
        "data_centre": target.entry.data_centre,
        "region": target.region,
        "slots": target.entry.slots,
        "in_flight": target.in_flight,
        "load": target.load(now_s),
        "backlog_s": _finite(target.backlog.wait_s(PRIORITIES - 1, now_s)),
        "loading_s": _finite(max(0.0, target.loading_until_s - now_s)),
        "is_healthy": target.is_healthy(now_s),
        "failure_rate": target.failure_rate,
        "heard_s_ago": _finite(now_s - target.last_heard_s),
        "limit_per_s": limit.rate_per_s if limit is not None else None,
        "versions": dict(target.versions),
    }


def _find_absence(target: Target) -> list[str]:
    found = []
    if target.entry.is_draining or target.has_announced_drain:
        found.append("is draining")
    if target.is_replaced:
        found.append("another target answers at its address")
    return found


def _find_waits(target: Target, now_s: float) -> list[str]:
    found = []
    if target.is_paused(now_s):
        found.append(f"has asked for no requests for {target.paused_until_s - now_s:.2f} s")
    limit = target.limit
    if limit is not None and limit.blocked_until_s > now_s:
        found.append(f"its limit admits no request for {limit.blocked_until_s - now_s:.2f} s")
    return found


def _describe_bad_health(target: Target, now_s: float) -> str:
    if target.missing_since_s is not None:
        return "its entry has disappeared from the store"
    if now_s < target.suspended_until_s:
        return f"is suspended for {target.suspended_until_s - now_s:.2f} s"
    if now_s < target.rejection_cooldown_until_s:
        return "has just rejected a request"
    return "is unreachable" if target.is_unreachable else "fails too often"


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None
