"""What a cache with perfect knowledge would have reached, and which computation was wasted."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

Keys = Sequence[bytes]
NEVER = 1 << 60


class Oracle:
    """One cache with the memory of the whole fleet that knows all later requests.

    It drops the block whose next use is farthest away (Belady's rule), of equal ones the
    deepest. A block is never used later than the blocks behind it, so what it keeps always
    consists of whole prefixes.

    :param requests: chained block keys of each request in order of arrival.
    :param capacity_blocks: blocks that the cache holds.
    """

    def __init__(self, requests: Sequence[Keys], capacity_blocks: int) -> None:
        self._requests = requests
        self._capacity = capacity_blocks
        self._next_uses = _next_uses(requests)
        self._held: dict[bytes, int] = {}
        self._heap: list[tuple[int, int, bytes]] = []
        self._position = 0

    def holds(self, key: bytes) -> bool:
        """Whether a block is in the cache now."""
        return key in self._held

    def advance(self) -> int:
        """Serve the next request.

        :returns: leading blocks that were in the cache.
        """
        keys = self._requests[self._position]
        uses = self._next_uses[self._position]
        self._position += 1
        hits = leading(self._held, keys)
        for depth, (key, use) in enumerate(zip(keys, uses, strict=True)):
            self._held[key] = use
            heapq.heappush(self._heap, (-use, -depth, key))
        while len(self._held) > self._capacity:
            use, _, key = heapq.heappop(self._heap)
            if self._held.get(key) == -use:
                del self._held[key]
        return hits


class CacheModel:
    """Estimate of one engine's cache from the requests it answered, evicting the oldest use.

    :param capacity_blocks: blocks that the engine holds.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._keys: OrderedDict[bytes, None] = OrderedDict()

    def holds(self, key: bytes) -> bool:
        """Whether the engine is believed to hold a block."""
        return key in self._keys

    def served(self, keys: Keys, cached: int) -> None:
        """Take in that the engine answered a request and reported ``cached`` leading blocks."""
        for key in keys[cached:]:
            self._keys.pop(key, None)
        # The deepest block is the least recently used of a prompt, so it goes first.
        for key in reversed(keys):
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._capacity:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Take in that the engine lost its cache."""
        self._keys.clear()


@dataclass(frozen=True, slots=True)
class Served:
    """One answered request.

    :param keys: chained keys of its full blocks.
    :param cached: leading blocks that the engine did not compute.
    :param lost_before: targets that lost their cache since the previous request.
    """

    keys: Keys
    target: str
    cached: int
    lost_before: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Reuse:
    """Result of :func:`judge`, in prompt blocks.

    :param wasted: computed blocks that another target held, or had computed while a cache with
        the fleet's memory would still hold them.
    :param ideal: blocks that the oracle would have found.
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
        """Share of prompt blocks that the oracle would not have computed."""
        return self.ideal / self.blocks if self.blocks else 0.0

    @property
    def wasted_ratio(self) -> float:
        """Share of computed blocks that were wasted."""
        return self.wasted / self.computed if self.computed else 0.0


def judge(requests: Sequence[Served], targets: int, capacity_blocks: int) -> Reuse:
    """Compare what the engines computed with what the fleet's memory would have allowed.

    :param requests: answered requests in order of arrival.
    :param targets: number of engines.
    :param capacity_blocks: blocks that one engine holds.
    """
    oracle = Oracle([request.keys for request in requests], targets * capacity_blocks)
    models: dict[str, CacheModel] = {}
    computed_by: dict[bytes, set[str]] = {}
    blocks = cached = wasted = ideal = 0
    for request in requests:
        for name in request.lost_before:
            if name in models:
                models[name].clear()
        model = models.setdefault(request.target, CacheModel(capacity_blocks))
        for key in request.keys[request.cached :]:
            others = computed_by.setdefault(key, set())
            elsewhere = any(other.holds(key) for other in models.values() if other is not model)
            remembered = oracle.holds(key) and bool(others - {request.target})
            wasted += elsewhere or remembered
            others.add(request.target)
        model.served(request.keys, request.cached)
        ideal += oracle.advance()
        blocks += len(request.keys)
        cached += request.cached
    return Reuse(blocks, cached, blocks - cached, wasted, ideal)


def leading(held: dict[bytes, int], keys: Keys) -> int:
    """Count the leading keys that are held."""
    for number, key in enumerate(keys):
        if key not in held:
            return number
    return len(keys)


def _next_uses(requests: Sequence[Keys]) -> list[list[int]]:
    seen: dict[bytes, int] = {}
    result: list[list[int]] = []
    for position in range(len(requests) - 1, -1, -1):
        keys = requests[position]
        result.append([seen.get(key, NEVER) for key in keys])
        seen.update(dict.fromkeys(keys, position))
    result.reverse()
    return result
