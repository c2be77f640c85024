"""Learns how fast the engines of a service read prompts.

The time until the first event is fitted to the tokens that had to be read before it, a line with
a base time for all that does not depend on the prompt. Old answers are forgotten, so that the
fit follows other weights and busier engines.
"""

from coltsfootfront.common import metrics

# Assumed until answers have shown better: middle of the engines in use, 20 to 200 tokens a ms.
PRIOR_TOKENS_PER_S = 65_000.0
PRIOR_BASE_S = 0.05
# The prior counts as much as this many answers with nothing and as many with a long prompt.
PRIOR_ANSWERS = 4.0
PRIOR_PROMPT_TOKENS = 8_000.0
# Bounds of what is believed, whatever the answers show.
MIN_TOKENS_PER_S = 5_000.0
MAX_TOKENS_PER_S = 400_000.0
MAX_BASE_S = 0.5
# Weight that an answer keeps with each later one; half of it is forgotten after 70.
KEPT_WEIGHT = 0.99
# An answer that took longer than this says nothing of the pace: its target failed, or was full.
MAX_TOOK_S = 3.0


class ReadPace:
    """Pace of the engines of one service."""

    __slots__ = ("_base_s", "_n", "_tokens_per_s", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        n, x = PRIOR_ANSWERS, PRIOR_PROMPT_TOKENS
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
        """Tokens that an engine reads in a second, beside the requests that it runs."""
        return self._tokens_per_s

    @property
    def base_s(self) -> float:
        """Time until the first event that does not depend on the prompt."""
        return self._base_s

    def read_s(self, tokens: float) -> float:
        """Time in which an engine reads so many tokens."""
        return tokens / self._tokens_per_s

    def note(self, tokens: float, took_s: float) -> None:
        """Note an answer.

        :param tokens: tokens that the engine had to read before the first event.
        :param took_s: time from sending the request until the first event.
        """
        if took_s > MAX_TOOK_S:
            return
        error_s = took_s - self._base_s - self.read_s(tokens)
        metrics.ESTIMATE_ERROR_S.observe({}, abs(error_s))
        self._n = KEPT_WEIGHT * self._n + 1
        self._x = KEPT_WEIGHT * self._x + tokens
        self._y = KEPT_WEIGHT * self._y + took_s
        self._xx = KEPT_WEIGHT * self._xx + tokens * tokens
        self._xy = KEPT_WEIGHT * self._xy + tokens * took_s
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
    """Paces of all services."""

    __slots__ = ("_paces",)

    def __init__(self) -> None:
        self._paces: dict[str, ReadPace] = {}

    def get(self, service: str) -> ReadPace:
        """Pace of the engines of a service."""
        return self._paces.setdefault(service, ReadPace())
