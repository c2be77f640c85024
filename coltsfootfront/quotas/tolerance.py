"""Use beyond a quota that operators tolerate."""

from dataclasses import dataclass

from coltsfootfront.quotas.quota import Quota, QuotaUnit


@dataclass(frozen=True, slots=True)
class Tolerance:
    """Use beyond each quota in a window, over all routers together.

    :param tokens: for quotas in tokens.
    :param share: for any quota, of its rate times the window plus its burst.
    :param window_s: length of the window in seconds.
    """

    tokens: float = 0.0
    share: float = 0.0
    window_s: float = 1.0

    def units_of(self, quota: Quota) -> float:
        """Units that a customer may use beyond a quota in one window."""
        fixed = self.tokens if quota.unit is QuotaUnit.TOKENS else 0.0
        return fixed + self.share * (quota.rate_per_s * self.window_s + quota.burst)
