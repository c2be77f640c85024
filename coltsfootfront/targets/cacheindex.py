"""Estimate of the blocks in the engine's cache.

A wrong entry costs time and never correctness: only the engine decides what it reuses. Entries
lie in the order of their last use, and their value is a tick that grows with time, so that both
marking everything up to now as doubtful and ageing take constant time for each entry.
"""

from collections import OrderedDict
from itertools import islice

from coltsfootfront.calls.blocks import KEY_BYTES
from coltsfootfront.common.clock import Clock

# Time resolution of entries. Entries of one tick share their value object, which leaves about
# 110 bytes for each block.
TICK_S = 0.25
# Used while the engine has not reported its capacity.
DEFAULT_CAPACITY_BLOCKS = 40_000
# Entries kept beyond the reported capacity, as a share of it: events of removals come late.
CAPACITY_MARGIN = 0.1
# Share of doubtful blocks that is counted as cached.
DOUBT_SHARE = 0.5
# Age at which a doubtful entry is dropped, in multiples of the mean age at eviction.
DOUBTFUL_LIFETIMES = 1.0
# Age at which any entry is dropped, in the same unit.
MAX_LIFETIMES = 4.0
# Weight of the latest eviction in the mean age.
LIFETIME_SMOOTHING = 0.02
# Evictions that must have been seen before entries are dropped by age.
MIN_EVICTIONS = 50
MAX_PAST_INCARNATIONS = 16
# Ticks between two searches for entries that are too old.
EXPIRY_TICKS = 4


class CacheIndex:
    """Blocks believed to be cached by the engine.

    :param clock: time source.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_doubt_tick",
        "_evictions",
        "_last_tick",
        "_lifetime_s",
        "_next_expiry",
        "_past",
        "_seen",
        "_start_s",
        "incarnation",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start_s = clock.monotonic_s()
        self._seen: dict[bytes, int] = {}
        self._last_tick = 0
        self._doubt_tick = -1
        self._capacity = DEFAULT_CAPACITY_BLOCKS
        self._lifetime_s = 0.0
        self._evictions = 0
        self._next_expiry = 0
        self._past: OrderedDict[str, None] = OrderedDict()
        self.incarnation = ""
        """Incarnation of the engine whose blocks are held."""

    def __len__(self) -> int:
        return len(self._seen)

    @property
    def lifetime_s(self) -> float:
        """Mean age of blocks at eviction; 0 before any was seen."""
        return self._lifetime_s

    def set_capacity(self, blocks: int) -> None:
        """Set the number of blocks that the engine can hold; 0 leaves it unchanged."""
        if blocks > 0:
            self._capacity = blocks
            self._shrink()

    def observe_incarnation(self, incarnation: str) -> bool:
        """Take note of the incarnation that a report or event names.

        A new one means that the engine has started again with an empty cache. Reports and
        events of an earlier one are late.

        :returns: whether it is the present incarnation.
        """
        if incarnation == self.incarnation:
            return True
        if not incarnation or incarnation in self._past:
            return False
        if self.incarnation:
            self._past[self.incarnation] = None
        while len(self._past) > MAX_PAST_INCARNATIONS:
            self._past.popitem(last=False)
        self.incarnation = incarnation
        self.clear()
        return True

    def clear(self) -> None:
        """Forget every block."""
        self._seen.clear()

    def clear_doubtful(self) -> None:
        """Forget the blocks that are doubtful."""
        self._drop_up_to(self._doubt_tick)

    def doubt(self) -> None:
        """Mark every block as doubtful, since events were lost."""
        self._doubt_tick = self._tick()
        self._last_tick += 1

    def store(self, keys: tuple[bytes, ...] | list[bytes]) -> None:
        """Record blocks that are in the cache now."""
        tick = self._tick()
        seen = self._seen
        # Like the engine, a chain loses its end before its start.
        for key in reversed(keys):
            if len(key) == KEY_BYTES:
                # Removed first, so that the entry moves behind all others.
                seen.pop(key, None)
                seen[key] = tick
        self._shrink()
        self._expire(tick)

    def remove(self, keys: tuple[bytes, ...] | list[bytes]) -> None:
        """Record evictions and learn their pace."""
        tick = self._tick()
        for key in keys:
            seen = self._seen.pop(key, None)
            if seen is None:
                continue
            age_s = (tick - seen) * TICK_S
            self._evictions += 1
            weight = max(LIFETIME_SMOOTHING, 1 / self._evictions)
            self._lifetime_s += (age_s - self._lifetime_s) * weight

    def remove_late(self, keys: tuple[bytes, ...] | list[bytes]) -> None:
        """Apply an eviction that arrives out of order; blocks stored since then stay."""
        for key in keys:
            if self._seen.get(key, self._doubt_tick + 1) <= self._doubt_tick:
                del self._seen[key]

    def match(self, depths: list[int], keys: list[bytes]) -> int:
        """Estimate the leading blocks of a prompt that are cached.

        :param depths: numbers of leading blocks that ``keys`` describe, ascending.
        :param keys: block key at each depth.
        :returns: number of blocks; doubtful ones count in part.
        """
        certain = deepest = 0
        for depth, key in zip(depths, keys, strict=False):
            seen = self._seen.get(key)
            if seen is None or self._is_old(seen):
                continue
            deepest = max(deepest, depth)
            if seen > self._doubt_tick:
                certain = max(certain, depth)
        return certain + int((deepest - certain) * DOUBT_SHARE)

    def match_all_keys(self, keys: list[bytes]) -> int:
        """Estimate as :meth:`match` does, for a chain given in full."""
        return self.match(list(range(1, len(keys) + 1)), keys)

    def to_cached_blocks(self, blocks: int, prompt_tokens: int, cached_tokens: int) -> int:
        """Convert an engine's count of cached tokens into blocks.

        :param blocks: full blocks in the prompt.
        :returns: number of leading blocks that were cached.
        """
        if not blocks or prompt_tokens <= 0:
            return 0
        # The prompt holds between blocks and blocks + 1 blocks' worth of tokens.
        estimate = round(cached_tokens * (blocks + 0.5) / prompt_tokens)
        return max(0, min(estimate, blocks))

    def correct_from_response(self, keys: list[bytes], predicted: int, cached: int) -> None:
        """Learn from a response what the cache held.

        :param keys: block keys of the prompt.
        :param predicted: blocks that were believed to be cached.
        :param cached: blocks that the engine did reuse.
        """
        if cached < predicted:
            stale = max((self._seen.get(key, -1) for key in keys[cached:predicted]), default=-1)
            self._drop_up_to(min(stale, self._doubt_tick))
        # The response has passed through all blocks, so they are cached now.
        self.store(keys)

    def _tick(self) -> int:
        tick = int((self._clock.monotonic_s() - self._start_s) / TICK_S)
        # A tick after a doubt is later than the doubt, whatever the clock says.
        if tick > self._last_tick:
            self._last_tick = tick
        return self._last_tick

    def _is_old(self, seen: int) -> bool:
        if self._evictions < MIN_EVICTIONS:
            return False
        limit = DOUBTFUL_LIFETIMES if seen <= self._doubt_tick else MAX_LIFETIMES
        return (self._tick() - seen) * TICK_S > limit * self._lifetime_s + TICK_S

    def _expire(self, tick: int) -> None:
        if self._evictions < MIN_EVICTIONS or tick < self._next_expiry:
            return
        self._next_expiry = tick + EXPIRY_TICKS
        limit = int(MAX_LIFETIMES * self._lifetime_s / TICK_S) + 1
        self._drop_up_to(tick - limit)
        limit = int(DOUBTFUL_LIFETIMES * self._lifetime_s / TICK_S) + 1
        self._drop_up_to(min(tick - limit, self._doubt_tick))

    def _drop_up_to(self, tick: int) -> None:
        """Forget entries that were last seen at ``tick`` or before."""
        # Collected in one pass: looking up the first key of a dict anew after each removal
        # walks over all entries removed before.
        gone = []
        for key, seen in self._seen.items():
            if seen > tick:
                break
            gone.append(key)
        for key in gone:
            del self._seen[key]

    def _shrink(self) -> None:
        if len(self._seen) <= int(self._capacity * (1 + CAPACITY_MARGIN)):
            return
        for key in list(islice(self._seen, len(self._seen) - self._capacity)):
            del self._seen[key]
