"""Log lines about quotas, a few for each customer however many requests are refused."""

import logbook

from coltsfootfront.common.logs import event
from coltsfootfront.quotas.quota import Quota

log = logbook.Logger(__name__)

# Time without a refusal after which a customer counts as within its quota again, for the log. One
# that stays near its quota is refused every few seconds, and must not be logged each time.
QUIET_S = 10.0


class _Refusals:
    """Refusals of one customer since it exceeded its quota."""

    __slots__ = ("count", "last_s", "since_s")

    def __init__(self, now_s: float) -> None:
        self.count = 0
        self.since_s = self.last_s = now_s


class QuotaLog:
    """Logs which customers exceed their quotas, and since when."""

    __slots__ = ("_refusals",)

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusals] = {}

    def forget(self, customer: str) -> None:
        """Forget a customer that has no quota any more."""
        self._refusals.pop(customer, None)

    def record_change(self, customer: str, before: Quota, quota: Quota) -> None:
        """Log a changed limit."""
        log.info(
            event(
                "quota_changed",
                customer=customer,
                rate_per_s=quota.rate_per_s,
                before_per_s=before.rate_per_s,
                burst=quota.burst,
            )
        )

    def record_refusal(self, customer: str, now_s: float, **fields: float | bool | None) -> None:
        """Log once that a customer exceeds its quota; further refusals are counted.

        :param fields: further fields of the line.
        """
        refusals = self._refusals.get(customer)
        if refusals is None:
            refusals = self._refusals[customer] = _Refusals(now_s)
            log.info(event("quota_exceeded", customer=customer, **fields))
        refusals.count += 1
        refusals.last_s = now_s

    def record_admission(self, customer: str, now_s: float) -> None:
        """Log that a customer is within its quota again, if it has not been refused for long."""
        refusals = self._refusals.get(customer)
        if refusals is None or now_s - refusals.last_s < QUIET_S:
            return
        del self._refusals[customer]
        log.info(
            event(
                "quota_restored",
                customer=customer,
                refused=refusals.count,
                for_s=refusals.last_s - refusals.since_s,
            )
        )
