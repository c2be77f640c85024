"""Checks from what targets received that routers together kept to the limits that they named."""

import time
from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field

from coltsfootfront_dev.platformtarget import SIGNATURE_HEADER, PlatformTargetStandIn

LIMIT_HEADER = "Server-Limit"
# Time after the first naming of a limit, and after a disturbance of a router, from which the users
# hold routers to it.
STABLE_S = 4.0

# Requests are counted in every window of this length.
WINDOW_S = 4.0
# Requests allowed in a window: a multiple of what the limit admits in it, and a fixed number.
ALLOWED_RATIO = 1.5
ALLOWED_FIXED = 5
# A router is bound from this long after it has passed on an answer that names the limit.
NOTICE_S = 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a target received.

    :param at_s: monotonic time.
    :param router: name of the router that sent it.
    """

    at_s: float
    router: str


@dataclass(frozen=True, slots=True)
class Period:
    """Period of monotonic time, with a limit that is named or a router that is excused."""

    begin_s: float
    end_s: float

    def contains(self, at_s: float) -> bool:
        """Whether a time lies within the period."""
        return self.begin_s <= at_s <= self.end_s


def excess_requests(
    arrivals: list[Arrival],
    named: Period,
    rate_per_s: float,
    told_s: dict[str, float],
    excused: dict[str, list[Period]],
    stable_s: float,
) -> str | None:
    """Describe the window with the most requests beyond the limit.

    :param arrivals: requests that the target received.
    :param named: when the target named the limit.
    :param told_s: when each router first passed on an answer that named the limit.
    :param excused: periods in which a router was restarted, frozen or cut off.
    :param stable_s: time after the first naming from which the limit is checked.
    :returns: None if the limit was kept in every window.
    """
    counted_s = sorted(
        arrival.at_s
        for arrival in arrivals
        if arrival.router in told_s
        and arrival.at_s >= told_s[arrival.router] + NOTICE_S
        and not any(period.contains(arrival.at_s) for period in excused.get(arrival.router, ()))
    )
    allowed = ALLOWED_RATIO * rate_per_s * WINDOW_S + ALLOWED_FIXED
    most, most_at_s = 0, 0.0
    for index, at_s in enumerate(counted_s):
        if named.begin_s + stable_s <= at_s <= named.end_s:
            count = index + 1 - bisect_left(counted_s, at_s - WINDOW_S)
            if count > most:
                most, most_at_s = count, at_s
    if most <= allowed:
        return None
    return (
        f"limit of {rate_per_s} a second: {most} requests in {WINDOW_S} s, allowed {allowed:.0f}, "
        f"{most_at_s - named.begin_s:.2f} s after it was named"
    )


@dataclass(slots=True)
class _NamedLimit:
    target: PlatformTargetStandIn
    rate_per_s: float
    begin_s: float
    end_s: float | None = None
    told_s: dict[str, float] = field(default_factory=dict)


class LimitMonitor:
    """Lets targets name limits, and follows which routers were told and which are excused."""

    def __init__(self) -> None:
        self.router_of_request: dict[str, str] = {}
        """Router that a caller sent each request to, by the ID of the request."""
        self._limits: list[_NamedLimit] = []
        self._excused: dict[str, list[Period]] = {}

    def name_limit(self, target: PlatformTargetStandIn, rate_per_s: float) -> None:
        """Let a target name a limit; an earlier one of it ends."""
        self.end_limit(target)
        self._limits.append(_NamedLimit(target, rate_per_s, time.monotonic()))
        target.faults.limit = str(rate_per_s)

    def end_limit(self, target: PlatformTargetStandIn) -> None:
        """Let a target name no limit any more."""
        target.faults.limit = ""
        for limit in self._limits:
            if limit.target is target and limit.end_s is None:
                limit.end_s = time.monotonic()

    def excuse(self, router: str, begin_s: float) -> None:
        """Excuse a router that was disturbed until now."""
        end_s = time.monotonic() + STABLE_S
        self._excused.setdefault(router, []).append(Period(begin_s, end_s))

    def record_response(self, router: str, headers: Mapping[str, str]) -> None:
        """Record that a router has passed on a response, which may name a limit."""
        name = headers.get(SIGNATURE_HEADER, "").rpartition(".")[0]
        for limit in self._limits:
            is_named = headers.get(LIMIT_HEADER) == str(limit.rate_per_s)
            if is_named and limit.target.name == name and limit.end_s is None:
                limit.told_s.setdefault(router, time.monotonic())

    def violations(self) -> list[str]:
        """Describe each limit that was not kept to."""
        found = []
        for limit in self._limits:
            arrivals = [
                Arrival(at_s, self.router_of_request[request_id])
                for at_s, request_id in limit.target.arrivals
            ]
            end_s = time.monotonic() if limit.end_s is None else limit.end_s
            excess = excess_requests(
                arrivals,
                Period(limit.begin_s, end_s),
                limit.rate_per_s,
                limit.told_s,
                self._excused,
                STABLE_S,
            )
            if excess is not None:
                found.append(f"{limit.target.name}: {excess}")
        return found
