"""Well-known placement policies, for comparison with the project's own.

None of them probes: each orders the allowed targets from what the router itself knows.
"""

import hashlib
import itertools
import math

from coltsfootfront.configuration.document import Grant
from coltsfootfront.placing.policy import TargetEstimate, PlacementDecision, PlacementRequest, Policy, TargetLoad

# Leading blocks that the hash policies use. Less would send everything that shares the
# standards to one target, more would separate the cases of one dossier.
PREFIX_BLOCKS = 4
# Share of the average load that one target may reach; 1.25 is the usual choice.
LOAD_FACTOR = 1.25


class _OrderedPolicy(Policy):
    """A policy whose candidates are already the order to try."""

    def choose(
        self, request: PlacementRequest, candidates: list[str], answers: list[TargetEstimate]
    ) -> PlacementDecision:
        return PlacementDecision(tuple(candidates), type(self).__name__)


class RoundRobin(_OrderedPolicy):
    """Takes the allowed targets in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        return _rotated([grant.target for grant in grants], next(self._turns))


class LeastLoaded(_OrderedPolicy):
    """Takes the target with the fewest requests of this router, equal ones in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        names = _rotated([grant.target for grant in grants], next(self._turns))
        return sorted(names, key=lambda name: _in_flight(loads, name))


class PrefixHash(_OrderedPolicy):
    """Ranks the targets by a rendezvous hash of the prompt's prefix and ignores load.

    Requests without a full block have no prefix and go to the least loaded target.
    """

    def __init__(self) -> None:
        self._fallback = LeastLoaded()

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        if not request.block_keys:
            return self._fallback.candidates(request, grants, loads)
        return _ranked(request, [grant.target for grant in grants])


class BoundedLoad(PrefixHash):
    """Consistent hashing with bounded loads.

    The first target in the order of the hash that has room gets the request. A target has room
    while its requests, the new one included, stay within ``LOAD_FACTOR`` times the average.
    """

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        order = super().candidates(request, grants, loads)
        total = sum(_in_flight(loads, name) for name in order)
        bound = math.ceil(LOAD_FACTOR * (total + 1) / len(order))
        with_room = [name for name in order if _in_flight(loads, name) < bound]
        without = [name for name in order if _in_flight(loads, name) >= bound]
        return with_room + without


_BASELINES: dict[str, type[Policy]] = {
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "prefix_hash": PrefixHash,
    "bounded_load": BoundedLoad,
}


def make_baseline(name: str) -> Policy | None:
    """Build a policy of this module.

    :param name: value of the router's setting ``policy``.
    :returns: the policy, or None when the name is not one of this module's.
    """
    cls = _BASELINES.get(name)
    return cls() if cls is not None else None


def _rotated(names: list[str], turn: int) -> list[str]:
    start = turn % len(names)
    return names[start:] + names[:start]


def _in_flight(loads: dict[str, TargetLoad], name: str) -> int:
    load = loads.get(name)
    return load.in_flight if load is not None else 0


def _ranked(request: PlacementRequest, names: list[str]) -> list[str]:
    # A chained key covers all blocks before it, so the last key of the prefix is enough.
    prefix = request.block_keys[min(PREFIX_BLOCKS, len(request.block_keys)) - 1]
    base = hashlib.blake2b(request.affinity.encode() + b"\0" + prefix, digest_size=16).digest()

    def weight(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), key=base, digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)
