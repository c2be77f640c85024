"""Estimates of the time to the first event of a prompt at a target.

Which of them places a prompt depends on what the deployment tells, see
:class:`coltsfootfront.costs.model.CostModel`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from coltsfootfront.costs.model import CostModel
from coltsfootfront.costs.promptcost import PromptCost
from coltsfootfront.direct.cacheplanner import CachePlan
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.prefillrate import PrefillRates

# Weight of the prefill of a part that another target has cached: the work is redundant and delays
# the other requests at the target.
DUPLICATE_PREFILL_FACTOR = 3.0
# Added per running request: it indicates work at the engine that no router's estimate includes, and
# it is itself delayed by the prefill of a new prompt.
RUNNING_REQUEST_PENALTY_S = 0.005
# Share by which each running request slows prefill down, as decode steps run in between.
PREFILL_SLOWDOWN_PER_REQUEST = 0.05
# Added per request beyond the slots, which waits until a running request ends.
EXCESS_REQUEST_PENALTY_S = 0.05
# Length of a usual prompt that others overtake. A prompt delays each that it overtakes by its own
# prefill.
OVERTAKEN_PROMPT_TOKENS = 8_000.0
# Weight of that delay against its own. With 1, quick prompts are late in bursts, as they leave the
# engines that have their parts; without it, the longest prompts of uneven engines are.
OVERTAKING_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class PromptAtTarget:
    """A prompt and what a target has of it.

    :param target: where it would be placed.
    :param plan: what the target has cached or fetches.
    :param prefill_tokens: tokens that it prefills.
    :param priority: priority at the target.
    :param ready_s: monotonic time at which a part that is being prefilled there is ready.
    :param load: estimated number of requests at the target.
    """

    target: Target
    plan: CachePlan
    prefill_tokens: int
    priority: int
    ready_s: float
    load: int


@dataclass(frozen=True, slots=True)
class FirstEventEstimate:
    """Expected times of a prompt at a target.

    :param begin_s: until it begins with the prefill, without the transfer of parts.
    :param cost_s: until the first event, with the price of redundant prefills.
    :param cost: learned estimate, None if it was not used.
    :param overtaking_s: delay of the prompts that it overtakes, summed up.
    """

    begin_s: float
    cost_s: float
    cost: PromptCost | None = None
    overtaking_s: float = 0.0


class FirstEventEstimator(ABC):
    """Estimates the time to the first event."""

    @abstractmethod
    def estimate(self, prompt: PromptAtTarget, now_s: float) -> FirstEventEstimate:
        """Estimate the times of a prompt at a target."""

    @abstractmethod
    def prefill_time_s(self, tokens: float, target: Target, now_s: float) -> float:
        """Time in which a target prefills tokens."""


class BacklogEstimator(FirstEventEstimator):
    """Reckons with the work that routers have sent, drained at an assumed rate.

    :param prefill_rates: estimated prefill rates of the engines.
    """

    def __init__(self, prefill_rates: PrefillRates) -> None:
        self._prefill_rates = prefill_rates

    def estimate(self, prompt: PromptAtTarget, now_s: float) -> FirstEventEstimate:
        target, plan, load = prompt.target, prompt.plan, prompt.load
        rate = self._prefill_rates.get(target.entry.service)
        begin_s = target.wait_s(prompt.priority, now_s)
        cost_s = max(begin_s, prompt.ready_s - now_s)
        slowdown = 1 + PREFILL_SLOWDOWN_PER_REQUEST * load
        cost_s += rate.prefill_time_s(prompt.prefill_tokens) * slowdown
        cost_s += rate.prefill_time_s(plan.duplicate_tokens) * DUPLICATE_PREFILL_FACTOR
        cost_s += plan.transfer_s
        cost_s += RUNNING_REQUEST_PENALTY_S * load + EXCESS_REQUEST_PENALTY_S * max(
            0, load - target.entry.slots
        )
        return FirstEventEstimate(begin_s, cost_s)

    def prefill_time_s(self, tokens: float, target: Target, now_s: float) -> float:
        return self._prefill_rates.get(target.entry.service).prefill_time_s(tokens)


class LearnedEstimator(FirstEventEstimator):
    """Reckons with the prompts whose first event has not come, at the target's own pace.

    :param costs: what has been learned of the cost of prompts.
    """

    def __init__(self, costs: CostModel) -> None:
        self._costs = costs

    def estimate(self, prompt: PromptAtTarget, now_s: float) -> FirstEventEstimate:
        target, plan = prompt.target, prompt.plan
        model = self._costs.prompts(target.entry.service)
        cost = model.estimate(
            prompt.prefill_tokens,
            target.pending.ahead_tokens(prompt.priority),
            prompt.load,
            bool(plan.fetch_from),
            target.pace,
            now_s,
        )
        # What waits there is not prefilled while the target loads weights. Slots do not bind: they
        # are not full when prompts wait for their prefill.
        begin_s = cost.begin_s + max(0.0, target.loading_until_s - now_s)
        cost_s = cost.first_event_s + max(begin_s, prompt.ready_s - now_s) - cost.begin_s
        # The learned time of a fetch is that of a usual one, a far one takes longer.
        cost_s += max(0.0, plan.transfer_s - model.fetch_s)
        cost_s += DUPLICATE_PREFILL_FACTOR * model.prefill_s(
            plan.duplicate_tokens, target.pace, now_s
        )
        overtaken = target.pending.behind_tokens(prompt.priority) / OVERTAKEN_PROMPT_TOKENS
        overtaken *= OVERTAKING_WEIGHT
        overtaking_s = overtaken * model.prefill_s(prompt.prefill_tokens, target.pace, now_s)
        return FirstEventEstimate(begin_s, cost_s, cost, overtaking_s)

    def prefill_time_s(self, tokens: float, target: Target, now_s: float) -> float:
        return self._costs.prompts(target.entry.service).prefill_s(tokens, target.pace, now_s)
