"""Prompts that the engine is computing at the moment.

An engine looks for cached blocks when a request enters its batch. Two requests with the same
prompt that run side by side therefore both compute it. The second one is held in the queue,
where it takes no slot, until the shared blocks are cached.
"""

import asyncio
from collections.abc import Callable

from coltsfootfront.common.clock import Clock
from coltsfootfront.targets.fairqueue import StartCondition
from coltsfootfront.targets.cacheindex import CacheIndex

# Time between two looks at the index while a request is held; cache events come one by one.
LOOK_INTERVAL_S = 0.02
# Longest hold, in multiples of the time to compute the shared blocks, and in addition.
MAX_HOLD_FACTOR = 3.0
EXTRA_HOLD_S = 0.1
INITIAL_PREFILL_S = 0.05
"""Assumed time to compute one block until one has been observed."""
# Weight of the latest observation in the running mean.
PREFILL_SMOOTHING = 0.2


class Prefill:
    """One prompt under way.

    :param keys: block keys that were not cached when it began.
    :param priority: 0 is the most urgent.
    :param alone: whether no other prompt was being computed.
    """

    __slots__ = ("alone", "keys", "number", "priority", "started_s")

    def __init__(
        self, keys: list[bytes], priority: int, started_s: float, alone: bool, number: int
    ) -> None:
        self.keys = keys
        self.priority = priority
        self.started_s = started_s
        self.alone = alone
        self.number = number


class PrefillTracker:
    """Keeps the prompts under way and learns how long a block takes.

    :param index: estimate of the engine's cached blocks.
    :param clock: time source.
    """

    def __init__(self, index: CacheIndex, clock: Clock) -> None:
        self._index = index
        self._clock = clock
        self._current: dict[int, Prefill] = {}
        self._computing: dict[bytes, Prefill] = {}
        self._begun = 0
        self._look: asyncio.Task[None] | None = None
        self.block_prefill_s = INITIAL_PREFILL_S
        """Observed time to compute one block."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when held requests may be able to start."""

    @property
    def is_idle(self) -> bool:
        """Whether no prompt is under way."""
        return not self._current

    def begin(self, keys: list[bytes], priority: int) -> Prefill:
        """Record that a prompt is about to be computed."""
        matched = self._index.match_all_keys(keys)
        self._begun += 1
        prefill = Prefill(
            keys[matched:], priority, self._clock.monotonic_s(), not self._current, self._begun
        )
        self._current[prefill.number] = prefill
        for key in prefill.keys:
            self._computing.setdefault(key, prefill)
        return prefill

    def end(self, prefill: Prefill) -> None:
        """Record that a prompt is computed or given up; repeated calls have no effect."""
        if self._current.pop(prefill.number, None) is None:
            return
        for key in prefill.keys:
            if self._computing.get(key) is prefill:
                del self._computing[key]
        self.on_change()

    def record_duration(self, prefill: Prefill, computed_blocks: int, took_s: float) -> None:
        """Learn from a prompt that had the engine to itself.

        :param computed_blocks: blocks that the engine computed, by its own word.
        :param took_s: time until the first token.
        """
        if computed_blocks > 0 and prefill.alone and prefill.number == self._begun:
            self.block_prefill_s += (took_s / computed_blocks - self.block_prefill_s) * PREFILL_SMOOTHING

    def backlog_s(self, priority: int) -> float:
        """Estimate how long the engine computes prompts that go before a new one.

        :param priority: priority of the new one; less urgent prompts give way to it.
        """
        now_s = self._clock.monotonic_s()
        backlog_s = 0.0
        for prefill in self._current.values():
            if prefill.priority <= priority:
                left_s = len(prefill.keys) * self.block_prefill_s - (now_s - prefill.started_s)
                backlog_s += max(left_s, 0.0)
        return backlog_s

    def match(self, depths: list[int], keys: list[bytes]) -> int:
        """Estimate leading blocks that are cached or will be when the engine is free.

        :param depths: numbers of leading blocks that ``keys`` describe, ascending.
        """
        matched = self._index.match(depths, keys)
        for depth, key in zip(depths, keys, strict=False):
            if depth > matched and key in self._computing:
                matched = depth
        return matched

    async def close(self) -> None:
        """End the look at the index."""
        if self._look is not None:
            self._look.cancel()
            await asyncio.gather(self._look, return_exceptions=True)

    def shared(self, keys: list[bytes], matched: int, priority: int) -> int:
        """Count the blocks behind ``matched`` that another prompt is about to have cached.

        A less urgent prompt does not count, since it gives way in the engine.
        """
        shared = 0
        for key in keys[matched:]:
            prefill = self._computing.get(key)
            if prefill is None or prefill.priority > priority:
                break
            shared += 1
        return shared

    def look_later(self) -> None:
        """Call :attr:`on_change` in a moment."""
        if self._look is None or self._look.done():
            self._look = asyncio.create_task(self._look_again())

    async def _look_again(self) -> None:
        await self._clock.sleep(LOOK_INTERVAL_S)
        self._look = None
        self.on_change()


class PrefillStartCondition(StartCondition):
    """Holds a request while another one computes blocks that both need.

    :param prefills: prompts under way.
    :param keys: block keys of the request's prompt.
    :param priority: 0 is the most urgent.
    """

    __slots__ = ("_clock", "_index", "_keys", "_prefills", "_priority", "_until_s", "prefill")

    def __init__(
        self,
        prefills: PrefillTracker,
        index: CacheIndex,
        clock: Clock,
        keys: list[bytes],
        priority: int,
    ) -> None:
        self._prefills = prefills
        self._index = index
        self._clock = clock
        self._keys = keys
        self._priority = priority
        self._until_s: float | None = None
        self.prefill: Prefill | None = None
        """The request's own entry, once it has its slot."""

    def is_ready(self) -> bool:
        if self._prefills.is_idle or not self._keys:
            return True
        matched = self._index.match_all_keys(self._keys)
        shared = self._prefills.shared(self._keys, matched, self._priority)
        if not shared:
            return True
        now_s = self._clock.monotonic_s()
        if self._until_s is None:
            hold_s = shared * self._prefills.block_prefill_s * MAX_HOLD_FACTOR + EXTRA_HOLD_S
            self._until_s = now_s + hold_s
        if now_s >= self._until_s:
            return True
        self._prefills.look_later()
        return False

    def on_start(self) -> None:
        self.prefill = self._prefills.begin(self._keys, self._priority)

    def on_finish(self) -> None:
        if self.prefill is not None:
            self._prefills.end(self.prefill)
