"""Checks from what a target received that routers together kept to the limit that it named."""

from bisect import bisect_left
from dataclasses import dataclass

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
