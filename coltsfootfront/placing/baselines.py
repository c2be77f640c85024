"""Well-known placement policies that serve as baselines for the default policy.

None of them sends probes: each orders the allowed targets by the router's own state.
"""

import hashlib
import itertools
import math

from coltsfootfront.configuration.document import Grant
from coltsfootfront.placing.policy import (
    PlacementDecision,
    PlacementRequest,
    Policy,
    TargetEstimate,
    TargetLoad,
)

# Leading blocks that the hash policies use. Fewer would map all prompts with the same general
# preamble to one target; more would spread prompts that share a longer document.
PREFIX_BLOCKS = 4
# Multiple of the average load that one target may reach; 1.25 is the usual value.
LOAD_FACTOR = 1.25


class _OrderedPolicy(Policy):
    """A policy whose list of candidates is already the order in which they are tried."""

    def choose(
        self, request: PlacementRequest, candidates: list[str], estimates: list[TargetEstimate]
    ) -> PlacementDecision:
        return PlacementDecision(tuple(candidates), type(self).__name__)


class RoundRobin(_OrderedPolicy):
    """Cycles through the allowed targets."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        return _rotated([grant.target for grant in grants], next(self._counter))


class LeastLoaded(_OrderedPolicy):
    """Prefers the target with the fewest requests from this router; ties rotate."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        names = _rotated([grant.target for grant in grants], next(self._counter))
        return sorted(names, key=lambda name: _in_flight(loads, name))


class PrefixHash(_OrderedPolicy):
    """Orders the targets by a rendezvous hash of the prompt's prefix and ignores load.

    Requests without a full block have no prefix and go to the least loaded target.
    """

    def __init__(self) -> None:
        self._fallback = LeastLoaded()

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        if not request.block_keys:
            return self._fallback.candidates(request, grants, loads)
        return _rendezvous_order(request, [grant.target for grant in grants])


class BoundedLoad(PrefixHash):
    """Consistent hashing with bounded loads.

    The request goes to the first target in hash order that is below the bound. The bound is
    ``LOAD_FACTOR`` times the average load, counting the new request.
    """

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        order = super().candidates(request, grants, loads)
        total = sum(_in_flight(loads, name) for name in order)
        bound = math.ceil(LOAD_FACTOR * (total + 1) / len(order))
        below_bound = [name for name in order if _in_flight(loads, name) < bound]
        at_bound = [name for name in order if _in_flight(loads, name) >= bound]
        return below_bound + at_bound


_BASELINES: dict[str, type[Policy]] = {
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "prefix_hash": PrefixHash,
    "bounded_load": BoundedLoad,
}


def make_baseline(name: str) -> Policy | None:
    """Build a baseline policy.

    :param name: value of the router's setting ``policy``.
    :returns: the policy, or None when no baseline has this name.
    """
    cls = _BASELINES.get(name)
    return cls() if cls is not None else None


def _rotated(names: list[str], offset: int) -> list[str]:
    start = offset % len(names)
    return names[start:] + names[:start]


def _in_flight(loads: dict[str, TargetLoad], name: str) -> int:
    load = loads.get(name)
    return load.in_flight if load is not None else 0


def _rendezvous_order(request: PlacementRequest, names: list[str]) -> list[str]:
    # Each chained key covers all earlier blocks, so the last key identifies the whole prefix.
    prefix = request.block_keys[min(PREFIX_BLOCKS, len(request.block_keys)) - 1]
    base = hashlib.blake2b(request.cache_salt.encode() + b"\0" + prefix, digest_size=16).digest()

    def weight(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), key=base, digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)
