"""Rate at which a router uses a quota, and the size of the requests that use it."""

import math

from coltsfootfront.quotas.unreported import RATE_HALF_LIFE_S

# Weight of a request in the mean size; some tens of requests tell a customer's mix.
SIZE_WEIGHT = 0.05
LN_2 = math.log(2)


def fading(passed_s: float) -> float:
    """Part of a rate that remains after a time without use."""
    return float(0.5 ** (max(0.0, passed_s) / RATE_HALF_LIFE_S))


def recent_units(rate_per_s: float) -> float:
    """Units that have been used of late, as a rate weighs them."""
    return rate_per_s * RATE_HALF_LIFE_S / LN_2


class UsageRate:
    """Rate at which units have been used lately."""

    __slots__ = ("_rate_per_s", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._rate_per_s = 0.0
        self._updated_s = now_s

    def add(self, units: float, now_s: float) -> None:
        """Add units that were used."""
        # The integral of the decaying weight is the half-life over ln 2.
        self._rate_per_s = max(0.0, self.per_s(now_s) + units * LN_2 / RATE_HALF_LIFE_S)

    def per_s(self, now_s: float) -> float:
        """Units per second."""
        self._rate_per_s *= fading(now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        return self._rate_per_s


class RequestSize:
    """Units of the request to which a unit belongs, on average over all units."""

    __slots__ = ("_mean", "_mean_square")

    def __init__(self) -> None:
        self._mean = self._mean_square = 0.0

    def add(self, units: float) -> None:
        """Add a request."""
        weight = SIZE_WEIGHT if self._mean else 1.0
        self._mean += weight * (units - self._mean)
        self._mean_square += weight * (units**2 - self._mean_square)

    @property
    def units(self) -> float:
        """Mean size of a request, weighted by size."""
        return self._mean_square / self._mean if self._mean else 0.0
