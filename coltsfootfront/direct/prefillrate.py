"""Estimates the prefill rate of a service's engines.

The time to first event is fitted by linear regression on the number of tokens prefilled before it;
the intercept is the base time that does not depend on the prompt. Samples lose weight with age, so
that the fit follows changes of weights and of load.
"""

from coltsfootfront.common import metrics

# Initial estimate, mid-range: engines in use prefill 20,000 to 200,000 tokens per second.
PRIOR_TOKENS_PER_S = 65_000.0
PRIOR_BASE_S = 0.05
# The prior has the weight of this many responses without prefill and as many with a long prompt.
PRIOR_SAMPLES = 4.0
PRIOR_PROMPT_TOKENS = 8_000.0
# Bounds of the estimates.
MIN_TOKENS_PER_S = 5_000.0
MAX_TOKENS_PER_S = 400_000.0
MAX_BASE_S = 0.5
# Factor on the weight of a sample for each later one; the half-life is about 70 samples.
SAMPLE_DECAY = 0.99
# Responses that took longer are ignored: the target failed or was full.
MAX_SAMPLE_S = 3.0


class PrefillRate:
    """Estimated prefill rate of the engines of one service."""

    __slots__ = ("_base_s", "_n", "_tokens_per_s", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        n, x = PRIOR_SAMPLES, PRIOR_PROMPT_TOKENS
        y = PRIOR_BASE_S + x / PRIOR_TOKENS_PER_S
        self._n = 2 * n
        self._x = n * x
        self._y = n * (PRIOR_BASE_S + y)
        self._xx = n * x * x
        self._xy = n * x * y
        self._tokens_per_s = PRIOR_TOKENS_PER_S
        self._base_s = PRIOR_BASE_S

    @property
    def tokens_per_s(self) -> float:
        """Tokens that an engine prefills per second while it also runs other requests."""
        return self._tokens_per_s

    @property
    def base_s(self) -> float:
        """Part of the time to first event that does not depend on the prompt."""
        return self._base_s

    def prefill_time_s(self, tokens: float) -> float:
        """Time in which an engine prefills a number of tokens."""
        return tokens / self._tokens_per_s

    def add_sample(self, tokens: float, took_s: float) -> None:
        """Add a response to the regression.

        :param tokens: tokens that the engine had to prefill before the first event.
        :param took_s: time from sending the request until the first event.
        """
        if took_s > MAX_SAMPLE_S:
            return
        error_s = took_s - self._base_s - self.prefill_time_s(tokens)
        metrics.ESTIMATE_ERROR_S.observe({}, abs(error_s))
        self._n = SAMPLE_DECAY * self._n + 1
        self._x = SAMPLE_DECAY * self._x + tokens
        self._y = SAMPLE_DECAY * self._y + took_s
        self._xx = SAMPLE_DECAY * self._xx + tokens * tokens
        self._xy = SAMPLE_DECAY * self._xy + tokens * took_s
        self._fit()

    def _fit(self) -> None:
        variance = self._n * self._xx - self._x * self._x
        if variance <= 0:
            return
        slope_s = (self._n * self._xy - self._x * self._y) / variance
        slope_s = min(max(slope_s, 1 / MAX_TOKENS_PER_S), 1 / MIN_TOKENS_PER_S)
        self._tokens_per_s = 1 / slope_s
        base_s = (self._y - slope_s * self._x) / self._n
        self._base_s = min(max(base_s, 0.0), MAX_BASE_S)


class PrefillRates:
    """Prefill rates of all services."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, PrefillRate] = {}

    def get(self, service: str) -> PrefillRate:
        """Prefill rate of the engines of a service."""
        return self._rates.setdefault(service, PrefillRate())
