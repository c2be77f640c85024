"""Estimated contents of the engine's KV cache.

A wrong entry costs time but never correctness, since the engine alone decides what it reuses.
Entries are kept in order of last use, each with the tick of that use; ticks grow with time. An
entry is uncertain if its removal event may have been lost. Marking all current entries uncertain
only stores the current tick, and expiry takes constant time per dropped entry.
"""

from collections import OrderedDict
from itertools import islice

from coltsfootfront.calls.blocks import KEY_BYTES
from coltsfootfront.common.clock import Clock

# Time resolution of entries. Entries of the same tick share one int object, which keeps the
# memory at about 110 bytes per block.
TICK_S = 0.25
# Used until the engine has reported its capacity.
DEFAULT_CAPACITY_BLOCKS = 40_000
# Entries kept beyond the reported capacity, as a share of it, since removal events lag.
CAPACITY_MARGIN = 0.1
# Share of the uncertain blocks that is counted as cached.
UNCERTAIN_SHARE = 0.5
# Age at which an uncertain entry is dropped, as a multiple of the mean age at eviction.
MAX_UNCERTAIN_AGE_FACTOR = 1.0
# Age at which any entry is dropped, as a multiple of the mean age at eviction.
MAX_AGE_FACTOR = 4.0
# Weight of the latest eviction in the moving average of the age at eviction.
EVICTION_AGE_SMOOTHING = 0.02
# Evictions that must have been observed before entries are dropped by age.
MIN_EVICTIONS = 50
MAX_PAST_INCARNATIONS = 16
# Interval between searches for expired entries.
EXPIRY_INTERVAL_TICKS = 4


class CacheIndex:
    """Estimate of the blocks that the engine has cached.

    :param clock: time source.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_evictions",
        "_last_tick",
        "_last_used_ticks",
        "_mean_eviction_age_s",
        "_next_expiry_tick",
        "_past_incarnations",
        "_start_s",
        "_uncertain_tick",
        "incarnation",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start_s = clock.monotonic_s()
        self._last_used_ticks: dict[bytes, int] = {}
        self._last_tick = 0
        self._uncertain_tick = -1
        self._capacity = DEFAULT_CAPACITY_BLOCKS
        self._mean_eviction_age_s = 0.0
        self._evictions = 0
        self._next_expiry_tick = 0
        self._past_incarnations: OrderedDict[str, None] = OrderedDict()
        self.incarnation = ""
        """Incarnation of the engine to which the entries belong."""

    def __len__(self) -> int:
        return len(self._last_used_ticks)

    @property
    def mean_eviction_age_s(self) -> float:
        """Moving average of the age of blocks at eviction; 0 before the first eviction."""
        return self._mean_eviction_age_s

    def set_capacity(self, blocks: int) -> None:
        """Set the number of blocks that the engine can hold; 0 leaves it unchanged."""
        if blocks > 0:
            self._capacity = blocks
            self._trim_to_capacity()

    def observe_incarnation(self, incarnation: str) -> bool:
        """Process the incarnation in a state report or event.

        A new incarnation means that the engine has restarted with an empty cache. Reports and
        events of an earlier incarnation are outdated.

        :returns: whether it is the current incarnation.
        """
        if incarnation == self.incarnation:
            return True
        if not incarnation or incarnation in self._past_incarnations:
            return False
        if self.incarnation:
            self._past_incarnations[self.incarnation] = None
        while len(self._past_incarnations) > MAX_PAST_INCARNATIONS:
            self._past_incarnations.popitem(last=False)
        self.incarnation = incarnation
        self.clear()
        return True

    def clear(self) -> None:
        """Drop all entries."""
        self._last_used_ticks.clear()

    def clear_uncertain(self) -> None:
        """Drop the uncertain entries."""
        self._drop_up_to(self._uncertain_tick)

    def mark_all_uncertain(self) -> None:
        """Mark all entries as uncertain after events were lost."""
        self._uncertain_tick = self._tick()
        self._last_tick += 1

    def store(self, keys: tuple[bytes, ...] | list[bytes]) -> None:
        """Record blocks that the engine has just stored or used."""
        tick = self._tick()
        last_used = self._last_used_ticks
        # Reversed, so that the last blocks of a prefix are dropped before its first, as in the
        # engine.
        for key in reversed(keys):
            if len(key) == KEY_BYTES:
                # Removed first, so that the entry moves to the most recently used end.
                last_used.pop(key, None)
                last_used[key] = tick
        self._trim_to_capacity()
        self._expire(tick)

    def remove(self, keys: tuple[bytes, ...] | list[bytes]) -> None:
        """Record evictions and update the mean age at eviction."""
        tick = self._tick()
        for key in keys:
            last_used = self._last_used_ticks.pop(key, None)
            if last_used is None:
                continue
            age_s = (tick - last_used) * TICK_S
            self._evictions += 1
            weight = max(EVICTION_AGE_SMOOTHING, 1 / self._evictions)
            self._mean_eviction_age_s += (age_s - self._mean_eviction_age_s) * weight

    def remove_out_of_order(self, keys: tuple[bytes, ...] | list[bytes]) -> None:
        """Apply an eviction that arrives out of order; blocks stored after the gap stay."""
        for key in keys:
            if self._last_used_ticks.get(key, self._uncertain_tick + 1) <= self._uncertain_tick:
                del self._last_used_ticks[key]

    def match(self, depths: list[int], keys: list[bytes]) -> int:
        """Estimate the length of the cached prefix of a prompt.

        :param depths: prefix lengths in blocks, ascending.
        :param keys: key of the last block of each prefix.
        :returns: number of blocks, in which uncertain ones count as a fraction.
        """
        certain = deepest = 0
        for depth, key in zip(depths, keys, strict=False):
            last_used = self._last_used_ticks.get(key)
            if last_used is None or self._is_expired(last_used):
                continue
            deepest = max(deepest, depth)
            if last_used > self._uncertain_tick:
                certain = max(certain, depth)
        return certain + int((deepest - certain) * UNCERTAIN_SHARE)

    def match_all_keys(self, keys: list[bytes]) -> int:
        """Estimate as :meth:`match` does, given the key of every block of the prompt."""
        return self.match(list(range(1, len(keys) + 1)), keys)

    def to_cached_blocks(self, blocks: int, prompt_tokens: int, cached_tokens: int) -> int:
        """Convert the number of cached tokens that an engine reported into blocks.

        :param blocks: number of full blocks in the prompt.
        :returns: length of the cached prefix in blocks.
        """
        if not blocks or prompt_tokens <= 0:
            return 0
        # The last block is partial, so the prompt is between blocks and blocks + 1 blocks long.
        estimate = round(cached_tokens * (blocks + 0.5) / prompt_tokens)
        return max(0, min(estimate, blocks))

    def correct_from_response(self, keys: list[bytes], predicted: int, cached: int) -> None:
        """Correct the estimate by what the engine reported with a response.

        If fewer blocks were cached than predicted, uncertain entries last used no later than the
        most recently used missing block are dropped as well.

        :param keys: block keys of the prompt.
        :param predicted: estimated length of the cached prefix in blocks.
        :param cached: length of the prefix that the engine reused, in blocks.
        """
        if cached < predicted:
            stale = max(
                (self._last_used_ticks.get(key, -1) for key in keys[cached:predicted]), default=-1
            )
            self._drop_up_to(min(stale, self._uncertain_tick))
        # The engine has processed the whole prompt, so all of its blocks are cached now.
        self.store(keys)

    def _tick(self) -> int:
        tick = int((self._clock.monotonic_s() - self._start_s) / TICK_S)
        # mark_all_uncertain() advances the tick, so that entries stored afterwards are certain even
        # if the clock has not reached the next tick.
        if tick > self._last_tick:
            self._last_tick = tick
        return self._last_tick

    def _is_expired(self, last_used: int) -> bool:
        if self._evictions < MIN_EVICTIONS:
            return False
        limit = MAX_UNCERTAIN_AGE_FACTOR if last_used <= self._uncertain_tick else MAX_AGE_FACTOR
        return (self._tick() - last_used) * TICK_S > limit * self._mean_eviction_age_s + TICK_S

    def _expire(self, tick: int) -> None:
        if self._evictions < MIN_EVICTIONS or tick < self._next_expiry_tick:
            return
        self._next_expiry_tick = tick + EXPIRY_INTERVAL_TICKS
        limit = int(MAX_AGE_FACTOR * self._mean_eviction_age_s / TICK_S) + 1
        self._drop_up_to(tick - limit)
        limit = int(MAX_UNCERTAIN_AGE_FACTOR * self._mean_eviction_age_s / TICK_S) + 1
        self._drop_up_to(min(tick - limit, self._uncertain_tick))

    def _drop_up_to(self, tick: int) -> None:
        """Drop entries that were last used at ``tick`` or before."""
        # Collected in one pass: next(iter(dict)) after each removal would scan the slots of all
        # entries removed before.
        dropped = []
        for key, last_used in self._last_used_ticks.items():
            if last_used > tick:
                break
            dropped.append(key)
        for key in dropped:
            del self._last_used_ticks[key]

    def _trim_to_capacity(self) -> None:
        if len(self._last_used_ticks) <= int(self._capacity * (1 + CAPACITY_MARGIN)):
            return
        for key in list(islice(self._last_used_ticks, len(self._last_used_ticks) - self._capacity)):
            del self._last_used_ticks[key]
