"""What the peers have probably admitted of a quota since their last reports.

Load it answers: hundreds of requests per second of many customers, in a fleet of hundreds of
routers. The sum over all peers is computed a few times per second, not for each request, and
reports change only their own part of it.
"""

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass

# Half-life of a router's rate. Long enough for a rate of a few requests per second, short enough
# that reports follow a burst within the time that the quota's burst covers.
RATE_HALF_LIFE_S = 0.7
# Shortest time from an admission until a peer has read of it, on the way to another region. The
# time since a peer was heard counts from when it sent, which tells the rest.
REPORT_DELAY_S = 0.02
# Longest time for which the sum is carried on, for a decision.
MAX_AGE_S = 0.05
# Rates that have faded to this are left out.
MIN_WEIGHT = 2.0**-8


@dataclass(slots=True)
class _PeerRate:
    """Rate of a peer, and its part of the sum.

    :param sent_s: monotonic time at which it was reported.
    :param units: its part of the sum.
    :param growth_per_s: its part of the sum's growth.
    """

    rate_per_s: float
    sent_s: float
    units: float
    growth_per_s: float


class UnreportedUse:
    """Units of one customer that the peers have probably admitted since they were last heard."""

    __slots__ = ("_computed_s", "_growth_per_s", "_rates", "_units")

    def __init__(self) -> None:
        self._rates: dict[str, _PeerRate] = {}
        self._units = self._growth_per_s = 0.0
        self._computed_s = -math.inf

    def record(self, router: str, rate_per_s: float, sent_s: float, now_s: float) -> None:
        """Record the rate that a peer has reported."""
        before = self._rates.pop(router, None)
        if before is not None:
            self._units -= before.units
            self._growth_per_s -= before.growth_per_s
        if not rate_per_s:
            return
        # As of the time of the last computation, so that the growth since brings it to now.
        units = 0.0
        if math.isfinite(self._computed_s):
            units = rate_per_s * (REPORT_DELAY_S + self._computed_s - sent_s)
        self._rates[router] = _PeerRate(rate_per_s, sent_s, units, rate_per_s)
        self._units += units
        self._growth_per_s += rate_per_s

    @property
    def rate_per_s(self) -> float:
        """Recent rate of all peers that are heard, as of the last computation."""
        return max(0.0, self._growth_per_s)

    def forget(self, router: str) -> None:
        """Leave out a peer that has gone."""
        self.record(router, 0.0, 0.0, 0.0)

    def recompute(self) -> None:
        """Compute the sum anew at the next request."""
        self._computed_s = -math.inf

    def units(
        self,
        heard_s: Mapping[str, float],
        silent: Container[str],
        now_s: float,
        max_age_s: float = MAX_AGE_S,
    ) -> float:
        """Return the units that are probably missing.

        :param heard_s: monotonic time at which each peer was last heard.
        :param silent: peers whose use is assumed otherwise.
        :param max_age_s: longest time for which the sum may be carried on.
        """
        if now_s - self._computed_s > max_age_s:
            self._compute(heard_s, silent, now_s)
        return max(0.0, self._units + self._growth_per_s * (now_s - self._computed_s))

    def _compute(self, heard_s: Mapping[str, float], silent: Container[str], now_s: float) -> None:
        self._units = self._growth_per_s = 0.0
        self._computed_s = now_s
        for router, peer in list(self._rates.items()):
            peer_heard_s = heard_s.get(router, now_s)
            # A report without this customer tells that nothing was used. While none comes, the
            # peer may go on as before.
            weight = 0.5 ** (max(0.0, peer_heard_s - peer.sent_s) / RATE_HALF_LIFE_S)
            if weight < MIN_WEIGHT:
                del self._rates[router]
                continue
            is_counted = router not in silent
            peer.growth_per_s = peer.rate_per_s * weight * is_counted
            peer.units = peer.growth_per_s * (now_s - peer_heard_s + REPORT_DELAY_S)
            self._units += peer.units
            self._growth_per_s += peer.growth_per_s
