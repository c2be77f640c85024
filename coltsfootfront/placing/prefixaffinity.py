"""Prefix-aware placement: rendezvous hashing at several prefix lengths, refined by probes.

Prompts share nested prefixes (system prompt, document, conversation), and a router has no marker
of where each shared part ends. Each depth (prefixes of 1, 2, 4, 8 … blocks and the whole prompt)
therefore has its own rendezvous target. The *anchor* is the largest power of two within three
quarters of the prompt's blocks; the rendezvous target at that depth is the request's *home*.
Prompts of similar length that share most of their blocks thus have the same home. The whole
prompt is unsuitable as an anchor, because prompts that differ only in their tails would hash to
different targets.
"""

import heapq
import random
from collections import OrderedDict
from itertools import zip_longest

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.configuration.document import Grant, PolicySettings
from coltsfootfront.placing.policy import (
    PlacementDecision,
    PlacementRequest,
    Policy,
    TargetEstimate,
    TargetLoad,
)

# When the recent load of a prefix's target exceeds this, the next target in hash order is a
# candidate as well.
REPLICATION_LOAD = 0.9
# Bounds how far placement replicates a hot prefix.
MAX_TARGETS_PER_DEPTH = 3
# Older load reports are ignored.
MAX_LOAD_AGE_S = 2.0
# Block keys of recent prompts; they show where the shared prefixes of current prompts end.
MAX_RECENT_KEYS = 8192
# Share of a prompt's blocks within which its anchor lies. The rest is assumed to be a tail that
# few other prompts share; without this margin, a longer prompt would have another home than a
# shorter one with the same prefix.
ANCHOR_SHARE = 0.75
# With at least this many probes, two candidates are chosen by load instead of one.
MIN_PROBES_FOR_TWO_BY_LOAD = 6


def estimate_ttft_s(request: PlacementRequest, estimate: TargetEstimate) -> float:
    """Estimated time to first token on a target that answered a probe, in seconds."""
    uncached = max(0, len(request.block_keys) - estimate.matched_blocks)
    return estimate.wait_s + uncached * estimate.block_prefill_s + 2 * estimate.latency_s


class PrefixAffinityPolicy(Policy):
    """Rendezvous hashing of prompt prefixes at several depths.

    :param probe_count: maximum number of candidates.
    :param clock: time source for the age of load reports.
    :param generator: source of randomness for ties in load and for targets of unknown load.
    """

    uses_probes = True

    def __init__(self, probe_count: int, clock: Clock, generator: random.Random) -> None:
        self._probe_count = probe_count
        self._clock = clock
        self._generator = generator
        self._recent_keys: OrderedDict[bytes, None] = OrderedDict()
        self.policy_settings = PolicySettings()
        """Cost weights from the active configuration."""

    def depths(self, request: PlacementRequest) -> list[int]:
        depths = set(super().depths(request))
        depths.add(self._deepest_recent_depth(request))
        depths.discard(0)
        return sorted(depths)

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        names = [grant.target for grant in grants]
        load_slots = 2 if self._probe_count >= MIN_PROBES_FOR_TWO_BY_LOAD else 1
        if not request.block_keys:
            load_slots = self._probe_count
        depth_slots = max(1, self._probe_count - load_slots)
        chosen: list[str] = []
        for depth in self._depths_by_priority(request):
            if len(chosen) >= depth_slots:
                break
            for name in self._targets_at_depth(request.block_keys[depth - 1], names, loads):
                _append_unique(chosen, name, depth_slots)
        for name in self._least_loaded(names, loads, set(chosen)):
            _append_unique(chosen, name, self._probe_count)
        return chosen

    def choose(
        self, request: PlacementRequest, candidates: list[str], estimates: list[TargetEstimate]
    ) -> PlacementDecision:
        if not estimates:
            return PlacementDecision(tuple(candidates), "rank only, no answers")
        position = {name: index for index, name in enumerate(candidates)}
        ranked = sorted(
            estimates,
            key=lambda estimate: (
                self._cost_s(request, estimate),
                position.get(estimate.target, len(position)),
            ),
        )
        best = ranked[0]
        reason = (
            f"{best.target}: {estimate_ttft_s(request, best):.3f} s, "
            f"{best.matched_blocks} of {len(request.block_keys)} blocks cached, "
            f"wait {best.wait_s:.3f} s"
        )
        answered = [estimate.target for estimate in ranked]
        unanswered = [name for name in candidates if name not in answered]
        return PlacementDecision((*answered, *unanswered), reason)

    def record_placement(self, request: PlacementRequest) -> None:
        for key in request.block_keys:
            self._recent_keys[key] = None
            self._recent_keys.move_to_end(key)
        while len(self._recent_keys) > MAX_RECENT_KEYS:
            self._recent_keys.popitem(last=False)

    def _cost_s(self, request: PlacementRequest, estimate: TargetEstimate) -> float:
        """Estimated time to first token plus the cost of the choice to other requests."""
        settings = self.policy_settings
        compute_s = (
            max(0, len(request.block_keys) - estimate.matched_blocks) * estimate.block_prefill_s
        )
        cost_s = estimate_ttft_s(request, estimate) + settings.recompute_weight * compute_s
        return cost_s - settings.hysteresis_s if estimate.is_home else cost_s

    def _deepest_recent_depth(self, request: PlacementRequest) -> int:
        for depth in range(len(request.block_keys), 0, -1):
            if request.block_keys[depth - 1] in self._recent_keys:
                return depth
        return 0

    def _depths_by_priority(self, request: PlacementRequest) -> list[int]:
        """Depths by priority: the anchor, the deepest recent one, then the rest, deepest first."""
        blocks = len(request.block_keys)
        if not blocks:
            return []
        anchor = _anchor_depth(blocks)
        others = [depth for depth in reversed(self.depths(request)) if depth != anchor]
        recent = self._deepest_recent_depth(request)
        if recent in others:
            others.remove(recent)
            others.insert(0, recent)
        return [anchor, *others]

    def _targets_at_depth(
        self, key: bytes, names: list[str], loads: dict[str, TargetLoad]
    ) -> list[str]:
        """First target in hash order, and further ones while those before them are overloaded."""
        ranked = rank(key, names, MAX_TARGETS_PER_DEPTH)
        width = 1
        while (
            width < len(ranked) and self._recent_load(ranked[width - 1], loads) > REPLICATION_LOAD
        ):
            width += 1
        return ranked[:width]

    def _recent_load(self, name: str, loads: dict[str, TargetLoad]) -> float:
        target_load = loads.get(name)
        if target_load is None or target_load.updated_s is None:
            return 0.0
        if self._clock.monotonic_s() - target_load.updated_s > MAX_LOAD_AGE_S:
            return 0.0
        return target_load.load

    def _least_loaded(
        self, names: list[str], loads: dict[str, TargetLoad], chosen: set[str]
    ) -> list[str]:
        """Targets by recent load, alternating with random ones whose load is unknown."""
        oldest_s = self._clock.monotonic_s() - MAX_LOAD_AGE_S
        recent: list[tuple[float, float, str]] = []
        unknown: list[str] = []
        for name in names:
            if name in chosen:
                continue
            target_load = loads.get(name)
            if (
                target_load is None
                or target_load.updated_s is None
                or target_load.updated_s < oldest_s
            ):
                unknown.append(name)
            else:
                recent.append((target_load.load, self._generator.random(), name))
        remaining_slots = self._probe_count - len(chosen)
        least_loaded = [name for _, _, name in heapq.nsmallest(remaining_slots, recent)]
        sampled = self._generator.sample(unknown, min(remaining_slots, len(unknown)))
        pairs = zip_longest(least_loaded, sampled)
        return [name for pair in pairs for name in pair if name is not None]


def _anchor_depth(blocks: int) -> int:
    """Depth whose rendezvous target is the home of a prompt with this many blocks."""
    shared = max(1, int(blocks * ANCHOR_SHARE))
    return 1 << (shared.bit_length() - 1)


def _append_unique(chosen: list[str], name: str, limit: int) -> None:
    if name not in chosen and len(chosen) < limit:
        chosen.append(name)
