"""Placement by rendezvous hashing at several depths of the prompt, with probes.

Prompts share prefixes that are nested in levels, and a router does not know where a level ends.
Each depth (1, 2, 4, 8 … blocks and the whole chain) therefore has its own rendezvous target.
Requests of like length that share most of their blocks have the same *anchor*, the largest
power of two within three quarters of the chain, and so the same home. The whole chain is no good
home, because a prompt with a tail of its own would be alone in its rank.
"""

import heapq
import random
from collections import OrderedDict
from itertools import zip_longest

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.configuration.document import Grant, PolicySettings
from coltsfootfront.placing.policy import TargetEstimate, PlacementDecision, PlacementRequest, Policy, TargetLoad

# A target whose load was above this when last seen gets the next rank beside it.
WIDEN_LOAD = 0.9
# Ranks that one depth may have; bounds how far a hot prefix is replicated by placement.
MAX_WIDTH = 3
# A load older than this says nothing about a target.
LOAD_AGE_S = 2.0
# Short keys seen lately; they show where the shared prefixes of current prompts end.
SEEN_KEYS = 8192
# Share of a prompt's blocks within which its anchor lies. The rest is taken for a tail that the
# prompt shares with few others; a longer prompt would otherwise have another home than a shorter
# one with the same prefix.
ANCHOR_SHARE = 0.75
# From this number of candidates on, two of them are chosen by load instead of one.
TWO_BY_LOAD = 6


def estimate_s(request: PlacementRequest, answer: TargetEstimate) -> float:
    """Estimated time to first token on a target that answered a probe, in seconds."""
    uncached = max(0, len(request.block_keys) - answer.matched_blocks)
    return answer.wait_s + uncached * answer.block_prefill_s + 2 * answer.latency_s


class PrefixAffinityPolicy(Policy):
    """Multi-depth rendezvous hashing.

    :param probe_count: largest number of candidates.
    :param clock: time source for the age of loads.
    :param generator: source of randomness for prompts without a full block.
    """

    uses_probes = True

    def __init__(self, probe_count: int, clock: Clock, generator: random.Random) -> None:
        self._probe_count = probe_count
        self._clock = clock
        self._generator = generator
        self._seen: OrderedDict[bytes, None] = OrderedDict()
        self.policy_settings = PolicySettings()
        """Weights of the document in force."""

    def depths(self, request: PlacementRequest) -> list[int]:
        depths = set(super().depths(request))
        depths.add(self._deepest_seen(request))
        depths.discard(0)
        return sorted(depths)

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        names = [grant.target for grant in grants]
        by_load = 2 if self._probe_count >= TWO_BY_LOAD else 1
        if not request.block_keys:
            by_load = self._probe_count
        by_depth = max(1, self._probe_count - by_load)
        chosen: list[str] = []
        for depth in self._depths_by_value(request):
            if len(chosen) >= by_depth:
                break
            for name in self._ranks(request.block_keys[depth - 1], names, loads):
                _append(chosen, name, by_depth)
        for name in self._by_load(names, loads, set(chosen)):
            _append(chosen, name, self._probe_count)
        return chosen

    def choose(
        self, request: PlacementRequest, candidates: list[str], answers: list[TargetEstimate]
    ) -> PlacementDecision:
        if not answers:
            return PlacementDecision(tuple(candidates), "rank only, no answers")
        order = {name: place for place, name in enumerate(candidates)}
        ranked = sorted(
            answers,
            key=lambda answer: (
                self._cost_s(request, answer),
                order.get(answer.target, len(order)),
            ),
        )
        best = ranked[0]
        reason = (
            f"{best.target}: {estimate_s(request, best):.3f} s, "
            f"{best.matched_blocks} of {len(request.block_keys)} blocks cached, wait {best.wait_s:.3f} s"
        )
        answered = [answer.target for answer in ranked]
        silent = [name for name in candidates if name not in answered]
        return PlacementDecision((*answered, *silent), reason)

    def placed(self, request: PlacementRequest) -> None:
        for key in request.block_keys:
            self._seen[key] = None
            self._seen.move_to_end(key)
        while len(self._seen) > SEEN_KEYS:
            self._seen.popitem(last=False)

    def _cost_s(self, request: PlacementRequest, answer: TargetEstimate) -> float:
        """Estimated time to first token, with what the choice costs other requests."""
        weights = self.policy_settings
        compute_s = max(0, len(request.block_keys) - answer.matched_blocks) * answer.block_prefill_s
        cost_s = estimate_s(request, answer) + weights.recompute_weight * compute_s
        return cost_s - weights.hysteresis_s if answer.home else cost_s

    def _deepest_seen(self, request: PlacementRequest) -> int:
        for depth in range(len(request.block_keys), 0, -1):
            if request.block_keys[depth - 1] in self._seen:
                return depth
        return 0

    def _depths_by_value(self, request: PlacementRequest) -> list[int]:
        """Depths in the order of their worth: the anchor first, then the deepest ones."""
        blocks = len(request.block_keys)
        if not blocks:
            return []
        anchor = _anchor(blocks)
        others = [depth for depth in reversed(self.depths(request)) if depth != anchor]
        seen = self._deepest_seen(request)
        if seen in others:
            others.remove(seen)
            others.insert(0, seen)
        return [anchor, *others]

    def _ranks(self, key: bytes, names: list[str], loads: dict[str, TargetLoad]) -> list[str]:
        """The best rank of a depth, and the next ones while those before them are loaded."""
        ranked = rank(key, names, MAX_WIDTH)
        width = 1
        while width < len(ranked) and self._recent_load(ranked[width - 1], loads) > WIDEN_LOAD:
            width += 1
        return ranked[:width]

    def _recent_load(self, name: str, loads: dict[str, TargetLoad]) -> float:
        known = loads.get(name)
        if known is None or known.updated_s is None:
            return 0.0
        if self._clock.monotonic_s() - known.updated_s > LOAD_AGE_S:
            return 0.0
        return known.load

    def _by_load(
        self, names: list[str], loads: dict[str, TargetLoad], chosen: set[str]
    ) -> list[str]:
        """Least loaded of the targets seen lately, in turn with unseen ones at random."""
        oldest_s = self._clock.monotonic_s() - LOAD_AGE_S
        recent: list[tuple[float, float, str]] = []
        others: list[str] = []
        for name in names:
            if name in chosen:
                continue
            known = loads.get(name)
            if known is None or known.updated_s is None or known.updated_s < oldest_s:
                others.append(name)
            else:
                recent.append((known.load, self._generator.random(), name))
        wanted = self._probe_count - len(chosen)
        least = [name for _, _, name in heapq.nsmallest(wanted, recent)]
        unseen = self._generator.sample(others, min(wanted, len(others)))
        pairs = zip_longest(least, unseen)
        return [name for pair in pairs for name in pair if name is not None]


def _anchor(blocks: int) -> int:
    """Depth whose rendezvous target is the home of a prompt of this length."""
    shared = max(1, int(blocks * ANCHOR_SHARE))
    return 1 << (shared.bit_length() - 1)


def _append(chosen: list[str], name: str, limit: int) -> None:
    if name not in chosen and len(chosen) < limit:
        chosen.append(name)
