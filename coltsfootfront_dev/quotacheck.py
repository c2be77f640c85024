"""Checks that targets run no more of a customer's requests than its quota allows."""

from collections.abc import Iterable
from typing import Any

from coltsfootfront_dev.platformfleet import (
    QUOTA_OVERAGE,
    QUOTA_SLACK_TOKENS,
    QUOTA_WINDOW_S,
)
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn


class QuotaMonitor:
    """Records what requests cost, and compares what targets have run with a quota.

    :param rate_per_s: tokens per second.
    :param burst: tokens at once.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens: dict[str, int] = {}

    def quota_fields(self) -> dict[str, Any]:
        """Fields of a customer's quota in a configuration."""
        return {"rate-per-s": self._rate_per_s, "burst": self._burst, "unit": "tokens"}

    def record_request(self, request_id: str, tokens: int) -> None:
        """Record what a request counts."""
        self._tokens[request_id] = tokens

    def violations(self, targets: Iterable[PlatformTargetStandIn], customer: str) -> list[str]:
        """Return the windows in which targets have run more than is allowed, at most one."""
        runs: list[tuple[float, int]] = []
        for target in targets:
            # A request may have been rejected by this target before it ran.
            arrived_s = {request_id: at_s for at_s, request_id in target.arrivals}
            runs += [
                (arrived_s[run.request_id], self._tokens[run.request_id])
                for run in target.executions
                if run.customer == customer
            ]
        runs.sort()
        allowed = (self._rate_per_s * QUOTA_WINDOW_S + self._burst) * (
            1 + QUOTA_OVERAGE
        ) + QUOTA_SLACK_TOKENS
        used = most = first = 0
        for at_s, tokens in runs:
            used += tokens
            while at_s - runs[first][0] > QUOTA_WINDOW_S:
                used -= runs[first][1]
                first += 1
            most = max(most, used)
        if most <= allowed:
            return []
        return [f"{customer} used {most} tokens in {QUOTA_WINDOW_S} s, allowed are {allowed:.0f}"]
