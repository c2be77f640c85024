"""Chooses the target of a request by its estimated time to first event.

Prompt lengths vary widely, so the number of requests at a target is a poor estimate of the wait
there. Each router estimates the prefill work queued at a target from its own requests and from the
long prompts that its peers announce. A target that has the KV cache of a prompt's shared parts
skips their prefill; another target may fetch that cache from one that has it.
"""

import bisect
import random
from dataclasses import dataclass
from enum import Enum

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.costs.callcost import CallCost
from coltsfootfront.costs.model import CostModel
from coltsfootfront.costs.promptcost import PromptCost
from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.firstevent import (
    DUPLICATE_PREFILL_FACTOR,
    BacklogEstimator,
    FirstEventEstimator,
    LearnedEstimator,
    PromptAtTarget,
)
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.routingconfig import EngineProperties, KeptCache
from coltsfootfront.direct.versions import WeightVersions

# Load per slot that is added for a target in another data centre or region.
OTHER_DATA_CENTRE_PENALTY_LOAD = 0.05
OTHER_REGION_PENALTY_LOAD = 0.6

# Round trip to another region, which is no work of the target.
OTHER_REGION_ROUND_TRIP_S = 0.04
# Round trip to another region, with an allowance for the price of the traffic.
OTHER_REGION_PENALTY_S = 0.06
# Round trip to another data centre of the region, with an allowance for the price of the traffic.
OTHER_DATA_CENTRE_PENALTY_S = 0.004
# Added for all targets but the first in the rendezvous order, so that routers send prompts with the
# same shared part to the same target without coordination.
AFFINITY_PENALTY_S = 0.03
# A shared part whose prefill ends within this time is not waited for.
MIN_PREFILL_WAIT_S = 0.01
# Added for a target with outdated weights, whose responses are worth less.
OUTDATED_WEIGHTS_PENALTY_S = 0.15
# Prefill lengths at which the next priority class begins; each is twice the one before.
PRIORITY_BOUNDS_TOKENS = (800, 1600, 3200, 6400)


@dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a request, with the estimates behind the choice.

    :param version: version of the weights that the target must use, None for plain services.
    :param salt: cache salt, which separates cached parts of different versions and of isolated
        customers.
    :param fetch_from: address from which the target should fetch KV cache, empty for none.
    :param save_to: kept cache in which the target should save the prompt's parts, None for
        none.
    :param held_tokens: tokens of the prompt whose KV cache the target is expected to have.
    :param prefill_tokens: tokens of the prompt that the target is expected to prefill.
    :param shared_tokens: tokens of the prompt's parts that other requests may share.
    :param priority: 0 to 9 for the target, 0 is the most urgent.
    :param begin_s: expected time until the target begins the prefill.
    :param expected_s: expected time until the first event, with the penalties.
    :param load: estimated load of the target when it was chosen.
    :param distance_s: part of the response time that is the way to the target.
    :param overtaking_s: delay of the prompts that it overtakes, summed up; no part of its own time.
    :param prompt_cost: learned estimate for a prompt, None if it was not used.
    :param call_cost: learned estimate for a plain call, None if it was not used.
    """

    target: Target
    version: int | None = None
    salt: str = ""
    fetch_from: str = ""
    save_to: KeptCache | None = None
    held_tokens: int = 0
    prefill_tokens: int = 0
    shared_tokens: int = 0
    priority: int = 0
    begin_s: float = 0.0
    expected_s: float = 0.0
    load: int = 0
    distance_s: float = 0.0
    overtaking_s: float = 0.0
    prompt_cost: PromptCost | None = None
    call_cost: CallCost | None = None

    @property
    def price_s(self) -> float:
        """Expected time until the first event, with the delay of others."""
        return self.expected_s + self.overtaking_s


class WaitReason(Enum):
    """Why a request waits for its target."""

    WEIGHTS = "weights"
    """The target is loading weights."""
    PREFILL = "part"
    """The target is prefilling a shared part for another request."""
    PAUSE = "pause"
    """Every target has asked this router to send no requests for a while."""
    CAPACITY = "capacity"
    """No target would begin the prefill soon."""
    LIMIT = "limit"
    """The limits of all targets admit no request now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request should wait and be placed again later.

    :param until_s: monotonic time at which the reason for the wait is expected to end.
    :param placement: where the request would go then, None if that is open.
    """

    until_s: float
    reason: WaitReason
    placement: Placement | None = None


def compute_cache_salt(model: str, version: int, cache_scope: str) -> str:
    """Cache salt of a model's version within one sharing scope.

    :param cache_scope: see :meth:`RoutingConfig.cache_scope`.
    """
    return f"{model}:{version}:{cache_scope}"


def _can_run(request: CallerRequest, target: Target) -> bool:
    """Whether a target is usable and has the request's model.

    Without its version there is no salt that keeps isolated customers apart.
    """
    return target.is_usable() and (not request.model or request.model in target.versions)


def has_salt_version(salt: str, model: str, version: int) -> bool:
    """Whether a cache salt belongs to a version of a model, in any sharing scope."""
    return salt.startswith(compute_cache_salt(model, version, ""))


def prefill_priority(prefill_tokens: int, rank_offset: int) -> int:
    """Priority of a prompt at its target: shortest prefill first.

    When targets are overloaded, this lets most requests still get their first event in time, and
    a response is worth more for each prefilled token the shorter its prompt is.
    """
    return min(
        PRIORITIES - 1, bisect.bisect_right(PRIORITY_BOUNDS_TOKENS, prefill_tokens) + rank_offset
    )


def healthy_targets(targets: list[Target], now_s: float) -> list[Target]:
    """Targets that answer and are registered; if none, those not suspended; if none, all."""
    healthy = [item for item in targets if item.is_healthy(now_s) and item.missing_since_s is None]
    if healthy:
        return healthy
    return [item for item in targets if now_s >= item.suspended_until_s] or targets


def _round_trip_s(target: Target, region: str) -> float:
    return OTHER_REGION_ROUND_TRIP_S if target.region != region else 0.0


class PlainTargetSelector:
    """Chooses targets of plain services, which get many short requests and have few slots.

    :param clock: time source.
    :param data_centre: data centre of this router.
    :param region: region of this router.
    :param costs: what has been learned of the cost of calls.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        region: str,
        generator: random.Random,
        costs: CostModel | None = None,
    ) -> None:
        self._costs = costs or CostModel()
        self._clock = clock
        self._data_centre = data_centre
        self._region = region
        self._generator = generator

    def choose(self, targets: list[Target], route: str = "") -> Placement | None:
        """Choose the target with the lowest expected time, or the lowest load per slot.

        :param route: name of the route, which tells how much work the call is.
        """
        now_s = self._clock.monotonic_s()
        usable = [target for target in targets if target.is_usable()]
        if not usable:
            return None
        healthy = healthy_targets(usable, now_s)
        if self.places_by_cost(usable):
            placements = self._estimate_calls(healthy, route, now_s)
            return min(placements, key=lambda item: (item.expected_s, self._generator.random()))
        return Placement(min(healthy, key=lambda item: self._cost(item, now_s)))

    def places_by_cost(self, targets: list[Target]) -> bool:
        """Whether calls go to targets by their expected time, not by the load per slot."""
        return self._costs.applies(target.pace for target in targets)

    def _estimate_calls(self, targets: list[Target], route: str, now_s: float) -> list[Placement]:
        model = self._costs.calls(targets[0].entry.service)
        return [
            Placement(
                target,
                expected_s=cost.total_s + self._distance_price_s(target),
                distance_s=_round_trip_s(target, self._region),
                call_cost=cost,
            )
            for target in targets
            for load in (target.load(now_s),)
            for cost in (
                model.estimate(route, target.calls, load, target.entry.slots, target.pace, now_s),
            )
        ]

    def _distance_price_s(self, target: Target) -> float:
        if target.region != self._region:
            return OTHER_REGION_PENALTY_S
        if target.entry.data_centre != self._data_centre:
            return OTHER_DATA_CENTRE_PENALTY_S
        return 0.0

    def weigh(self, targets: list[Target], route: str) -> list[tuple[Target, float]]:
        """Estimate the cost of a request at each target, without choosing one.

        :param route: name of its route.
        :returns: times in seconds where calls are placed by their cost, else loads per slot.
        """
        now_s = self._clock.monotonic_s()
        if targets and self.places_by_cost(targets):
            placements = self._estimate_calls(targets, route, now_s)
            return [(placement.target, placement.expected_s) for placement in placements]
        return [(target, self._load_cost(target, now_s)) for target in targets]

    def _cost(self, target: Target, now_s: float) -> tuple[float, float]:
        return self._load_cost(target, now_s), self._generator.random()

    def _load_cost(self, target: Target, now_s: float) -> float:
        cost = target.load(now_s) / max(1, target.entry.slots)
        if target.region != self._region:
            cost += OTHER_REGION_PENALTY_LOAD
        elif target.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_PENALTY_LOAD
        return cost


class PromptTargetSelector:
    """Chooses targets of model engines, for prompts that share long parts.

    :param clock: time source.
    :param region: region of this router.
    :param cache_planner: plans what a target reuses, fetches and saves.
    :param versions: published versions of the weights.
    :param prefill_rates: estimated prefill rates of the engines.
    :param costs: what has been learned of the cost of prompts.
    """

    def __init__(
        self,
        clock: Clock,
        region: str,
        cache_planner: CachePlanner,
        versions: WeightVersions,
        prefill_rates: PrefillRates,
        costs: CostModel | None = None,
    ) -> None:
        self._clock = clock
        self._costs = costs or CostModel()
        self._backlog = BacklogEstimator(prefill_rates)
        self._learned = LearnedEstimator(self._costs)
        self._region = region
        self._cache_planner = cache_planner
        self._versions = versions

    def choose(
        self,
        request: CallerRequest,
        cache_scope: str,
        targets: list[Target],
        wait_until_s: float,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
        rank_offset: int,
    ) -> Placement | Wait | None:
        """Choose the target with the lowest expected time to first event.

        :param cache_scope: scope within which the customer shares cached parts.
        :param targets: targets of the service that have not been tried.
        :param wait_until_s: monotonic time until which the request may wait for its target.
        :param engine_properties: configured properties of the engines.
        :param kept_caches: kept caches that engines may save parts to and fetch them from.
        :param rank_offset: priority of the route or the customer, 0 is the most urgent.
        """
        now_s = self._clock.monotonic_s()
        usable = [target for target in targets if _can_run(request, target)]
        usable = self._versions.allowed(request.model, usable)
        if not usable:
            return None
        usable = healthy_targets(usable, now_s)
        placements = [
            placement
            for placement in self.weigh(
                request, cache_scope, usable, engine_properties, kept_caches, rank_offset
            )
            if self._versions.allows(request.model, placement.target, placement.expected_s)
        ]
        if not placements:
            return None
        ready = [placement for placement in placements if not placement.target.is_loading(now_s)]
        best = min(placements, key=lambda placement: placement.price_s)
        if not best.target.is_loading(now_s):
            return self._wait_for_prefill(request, best, wait_until_s)
        if best.target.loading_until_s <= wait_until_s or not ready:
            return Wait(best.target.loading_until_s, WaitReason.WEIGHTS, best)
        return self._wait_for_prefill(
            request, min(ready, key=lambda placement: placement.price_s), wait_until_s
        )

    def weigh(
        self,
        request: CallerRequest,
        cache_scope: str,
        targets: list[Target],
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
        rank_offset: int,
    ) -> list[Placement]:
        """Estimate the placement of a request at each target, without choosing one.

        :param targets: targets among which the request would be placed; parameters as in
            :meth:`choose`.
        """
        preferred_name = self._affinity_target(request, cache_scope, targets)
        is_by_cost = self._costs.applies(target.pace for target in targets)
        estimator = self._learned if is_by_cost else self._backlog
        return [
            self._estimate_placement(
                request,
                cache_scope,
                target,
                preferred_name,
                engine_properties,
                kept_caches,
                rank_offset,
                estimator,
            )
            for target in targets
        ]

    def record_placement(self, request: CallerRequest, placement: Placement) -> None:
        """Record that a request was sent to the target chosen for it."""
        if placement.save_to is not None:
            self._cache_planner.record_save(placement.save_to, request.prompt_tokens)

    def _wait_for_prefill(
        self, request: CallerRequest, placement: Placement, wait_until_s: float
    ) -> Placement | Wait:
        """Let a request wait while its target prefills a shared part for another request.

        An engine can reuse a part only once its prefill has ended; without the wait, requests that
        arrive close together with the same new part would each have it prefilled.
        """
        now_s = self._clock.monotonic_s()
        ready_s = self._cache_planner.ready_s(request, placement.salt, placement.target)
        if ready_s <= now_s + MIN_PREFILL_WAIT_S:
            return placement
        # A longer wait would cost this request more than the redundant prefill costs all requests.
        estimator = self._learned if placement.prompt_cost is not None else self._backlog
        saved_s = estimator.prefill_time_s(placement.held_tokens, placement.target, now_s)
        until_s = min(wait_until_s, now_s + DUPLICATE_PREFILL_FACTOR * saved_s)
        return Wait(ready_s, WaitReason.PREFILL, placement) if ready_s <= until_s else placement

    def _affinity_target(
        self, request: CallerRequest, cache_scope: str, targets: list[Target]
    ) -> str:
        shared = request.shared_parts
        key = shared[-1].key if shared else request.request_id
        return rank(f"{cache_scope}/{key}".encode(), [target.name for target in targets], 1)[0]

    def _estimate_placement(
        self,
        request: CallerRequest,
        cache_scope: str,
        target: Target,
        preferred_name: str,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
        rank_offset: int,
        estimator: FirstEventEstimator,
    ) -> Placement:
        now_s = self._clock.monotonic_s()
        version = target.versions.get(request.model)
        salt = (
            compute_cache_salt(request.model, version, cache_scope) if version is not None else ""
        )
        plan = self._cache_planner.find(request, salt, target, engine_properties, kept_caches)
        prefill_tokens = max(0, request.prompt_tokens - plan.held_tokens - plan.fetched_tokens)
        priority = prefill_priority(prefill_tokens, rank_offset)
        load = target.load(now_s)
        ready_s = self._cache_planner.ready_s(request, salt, target)
        prompt = PromptAtTarget(target, plan, prefill_tokens, priority, ready_s, load)
        estimate = estimator.estimate(prompt, now_s)
        cost_s = estimate.cost_s
        if target.region != self._region:
            cost_s += OTHER_REGION_PENALTY_S
        if target.name != preferred_name:
            cost_s += AFFINITY_PENALTY_S
        if self._versions.is_outdated(request.model, target):
            cost_s += OUTDATED_WEIGHTS_PENALTY_S
        return Placement(
            target=target,
            version=version,
            salt=salt,
            fetch_from=plan.fetch_from,
            save_to=self._cache_planner.save_to(request, salt, target, kept_caches),
            held_tokens=plan.held_tokens,
            prefill_tokens=prefill_tokens,
            shared_tokens=sum(part.tokens for part in request.shared_parts),
            priority=priority,
            begin_s=estimate.begin_s + plan.transfer_s,
            expected_s=cost_s,
            load=load,
            distance_s=_round_trip_s(target, self._region),
            overtaking_s=estimate.overtaking_s,
            prompt_cost=estimate.cost,
        )
