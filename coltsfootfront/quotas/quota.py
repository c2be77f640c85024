"""The quota of a customer, and what a request counts against it."""

from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on what a customer may use, over all routers together.

    :param rate_per_s: units that become available per second.
    :param burst: units that may be used at once.
    :param request_units: units of a request without a token usage.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    request_units: float = 1.0

    def cost(self, prompt_tokens: int, output_tokens: int) -> float:
        """Units that a request counts.

        :param prompt_tokens: number of tokens of its prompt.
        :param output_tokens: largest number of tokens of its response.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(prompt_tokens + output_tokens) or self.request_units
