"""Expected time to the first event of a prompt at a target, learned from first events.

Answers bursts and uneven engines: the time is linear in the tokens to prefill, the tokens that wait
ahead, the requests at the target and whether parts are fetched, all in proportion to the target's
pace. A service's targets share the coefficients.
"""

import math
from dataclasses import dataclass

from coltsfootfront.costs.fitting import TimeRegression
from coltsfootfront.costs.pace import TargetPace

# Coefficients before the first event has come, between those of two deployments whose engines
# prefill 112,000 and 157,000 tokens per second without other work: seconds for each request, for
# each token to prefill, for each token ahead, for each request at the target, and for a fetch.
PRIOR = (0.05, 1.7e-5, 1.4e-5, 0.001, 0.045)
# Some of what waits ahead is never prefilled: prompts that share a part, or are given up. Tokens
# ahead therefore count by this scale of a logarithm; of the scales tried from 75,000 tokens to
# none, it gave the best correlation without missing the median of long queues.
AHEAD_SCALE_TOKENS = 600_000.0
BASE, PREFILL, AHEAD, REQUESTS, FETCH = range(len(PRIOR))


@dataclass(frozen=True, slots=True)
class PromptCost:
    """Expected times of a prompt at one target.

    :param begin_s: until the target begins with its prefill.
    :param first_event_s: until its first event.
    :param features: inputs of the estimate, to learn from the outcome.
    """

    begin_s: float
    first_event_s: float
    features: tuple[float, ...]


class FirstEventModel:
    """Estimates times to the first event at the targets of one service."""

    __slots__ = ("_regression",)

    def __init__(self) -> None:
        self._regression = TimeRegression(PRIOR)

    def estimate(
        self,
        prefill_tokens: int,
        ahead_tokens: int,
        requests: int,
        has_fetch: bool,
        pace: TargetPace,
        now_s: float,
    ) -> PromptCost:
        """Estimate the times of a prompt at a target.

        :param ahead_tokens: tokens that wait there and are prefilled before.
        :param requests: requests at the target.
        :param has_fetch: whether the target fetches parts of the prompt.
        """
        coefficients = self._regression.coefficients
        lasting = pace.expected(now_s)
        counted_tokens = AHEAD_SCALE_TOKENS * math.log1p(ahead_tokens / AHEAD_SCALE_TOKENS)
        ahead_s = coefficients[AHEAD] * counted_tokens * lasting
        work_s = ahead_s + lasting * (
            coefficients[PREFILL] * prefill_tokens + coefficients[REQUESTS] * requests
        )
        slowed = pace.time_s(work_s, now_s) / work_s if work_s else 1.0
        factor = lasting * slowed
        fetches = 1.0 if has_fetch else 0.0
        features = (
            1.0,
            prefill_tokens * factor,
            counted_tokens * factor,
            requests * factor,
            fetches,
        )
        return PromptCost(ahead_s * slowed, self._regression.estimate_s(features), features)

    def prefill_s(self, tokens: float, pace: TargetPace, now_s: float) -> float:
        """Time in which a target of a pace prefills tokens while it runs other requests."""
        return self._regression.coefficients[PREFILL] * tokens * pace.expected(now_s)

    @property
    def base_s(self) -> float:
        """Part of the time that does not depend on the prompt."""
        return self._regression.coefficients[BASE]

    @property
    def fetch_s(self) -> float:
        """Time that a fetch of parts takes."""
        return self._regression.coefficients[FETCH]

    def record(self, cost: PromptCost, took_s: float) -> None:
        """Learn from the time from sending a prompt until its first event."""
        self._regression.record(cost.features, took_s)
