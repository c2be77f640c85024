"""Optimal cache hit rate for a sequence of requests, and the computation that was wasted."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

BlockKeys = Sequence[bytes]
NEVER_USED_AGAIN = 1 << 60


class OptimalCache:
    """A single cache as large as those of the whole fleet, with knowledge of all later requests.

    Evicts the block whose next use is farthest in the future (Belady's algorithm), and the
    deepest one of equals. The next use of a block is never later than that of the blocks behind
    it in the prompt, so the cache always holds whole prefixes.

    :param requests: chained block keys of each request in order of arrival.
    :param capacity_blocks: capacity of the cache in blocks.
    """

    def __init__(self, requests: Sequence[BlockKeys], capacity_blocks: int) -> None:
        self._requests = requests
        self._capacity = capacity_blocks
        self._next_uses = _next_uses(requests)
        self._cached: dict[bytes, int] = {}
        self._eviction_heap: list[tuple[int, int, bytes]] = []
        self._position = 0

    def holds(self, key: bytes) -> bool:
        """Whether a block is in the cache now."""
        return key in self._cached

    def advance(self) -> int:
        """Serve the next request.

        :returns: leading blocks that were in the cache.
        """
        keys = self._requests[self._position]
        uses = self._next_uses[self._position]
        self._position += 1
        hits = leading_hits(self._cached, keys)
        for depth, (key, use) in enumerate(zip(keys, uses, strict=True)):
            self._cached[key] = use
            heapq.heappush(self._eviction_heap, (-use, -depth, key))
        while len(self._cached) > self._capacity:
            use, _, key = heapq.heappop(self._eviction_heap)
            if self._cached.get(key) == -use:
                del self._cached[key]
        return hits


class LruCacheModel:
    """Model of one engine's cache with LRU eviction, updated from the requests it answered.

    :param capacity_blocks: capacity of the engine's cache in blocks.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._keys: OrderedDict[bytes, None] = OrderedDict()

    def holds(self, key: bytes) -> bool:
        """Whether the engine is expected to hold a block."""
        return key in self._keys

    def record_answer(self, keys: BlockKeys, cached_blocks: int) -> None:
        """Record that the engine answered a request with ``cached_blocks`` leading cache hits."""
        for key in keys[cached_blocks:]:
            self._keys.pop(key, None)
        # The deepest block of a prompt counts as the least recently used and is evicted first.
        for key in reversed(keys):
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._capacity:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Record that the engine lost its cache."""
        self._keys.clear()


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """One answered request.

    :param keys: chained keys of its full blocks.
    :param cached_blocks: leading blocks that the engine did not compute.
    :param caches_lost_before: targets that lost their cache since the previous request.
    """

    keys: BlockKeys
    target: str
    cached_blocks: int
    caches_lost_before: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CacheReuse:
    """Result of :func:`evaluate_reuse`, in prompt blocks.

    :param wasted: computed blocks that another target's cache held, or that another target had
        computed before and the optimal cache still holds.
    :param ideal: hits of the optimal cache.
    """

    blocks: int
    cached: int
    computed: int
    wasted: int
    ideal: int

    @property
    def hit_rate(self) -> float:
        """Share of prompt blocks that were not computed."""
        return self.cached / self.blocks if self.blocks else 0.0

    @property
    def ideal_hit_rate(self) -> float:
        """Share of prompt blocks that the optimal cache hits."""
        return self.ideal / self.blocks if self.blocks else 0.0

    @property
    def wasted_ratio(self) -> float:
        """Share of computed blocks that were wasted."""
        return self.wasted / self.computed if self.computed else 0.0


def evaluate_reuse(
    requests: Sequence[ServedRequest], targets: int, capacity_blocks: int
) -> CacheReuse:
    """Compare the engines' cache hits with those of an optimal cache of the same total size.

    :param requests: answered requests in order of arrival.
    :param targets: number of engines.
    :param capacity_blocks: capacity of one engine's cache in blocks.
    """
    optimal_cache = OptimalCache([request.keys for request in requests], targets * capacity_blocks)
    models: dict[str, LruCacheModel] = {}
    computed_by: dict[bytes, set[str]] = {}
    blocks = cached = wasted = ideal = 0
    for request in requests:
        for name in request.caches_lost_before:
            if name in models:
                models[name].clear()
        model = models.setdefault(request.target, LruCacheModel(capacity_blocks))
        for key in request.keys[request.cached_blocks :]:
            targets_before = computed_by.setdefault(key, set())
            is_cached_elsewhere = any(
                other.holds(key) for other in models.values() if other is not model
            )
            is_reusable = optimal_cache.holds(key) and bool(targets_before - {request.target})
            wasted += is_cached_elsewhere or is_reusable
            targets_before.add(request.target)
        model.record_answer(request.keys, request.cached_blocks)
        ideal += optimal_cache.advance()
        blocks += len(request.keys)
        cached += request.cached_blocks
    return CacheReuse(blocks, cached, blocks - cached, wasted, ideal)


def leading_hits(cache: dict[bytes, int], keys: BlockKeys) -> int:
    """Count the leading keys that are in the cache."""
    for number, key in enumerate(keys):
        if key not in cache:
            return number
    return len(keys)


def _next_uses(requests: Sequence[BlockKeys]) -> list[list[int]]:
    """For each key of each request, the position of the next request that has it."""
    seen: dict[bytes, int] = {}
    result: list[list[int]] = []
    for position in range(len(requests) - 1, -1, -1):
        keys = requests[position]
        result.append([seen.get(key, NEVER_USED_AGAIN) for key in keys])
        seen.update(dict.fromkeys(keys, position))
    result.reverse()
    return result
