"""Tracks prefills in progress, so that concurrent requests do not compute the same prefix twice.

An engine looks up cached blocks when a request enters its batch. Two concurrent requests with the
same prompt would therefore both compute it. The second one is held in the queue, where it takes no
slot, until the shared blocks are cached.
"""

import asyncio
from collections.abc import Callable

from coltsfootfront.common.clock import Clock
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.fairqueue import StartCondition

# Interval at which the cache index is checked while a request is held, since cache events add
# the shared blocks one by one.
RECHECK_INTERVAL_S = 0.02
# A request is held for at most this multiple of the time to compute the shared blocks, plus
# EXTRA_HOLD_S.
MAX_HOLD_FACTOR = 3.0
EXTRA_HOLD_S = 0.1
INITIAL_BLOCK_PREFILL_S = 0.05
"""Time to compute one block that is assumed before the first observation."""
# Weight of the latest observation in the moving average.
PREFILL_SMOOTHING = 0.2


class Prefill:
    """Prefill of one prompt, in progress.

    :param keys: keys of the blocks that were not cached when it started.
    :param priority: 0 is the most urgent.
    :param started_alone: whether no other prefill was in progress when it started.
    :param sequence: number of the prefill, consecutive from 1.
    """

    __slots__ = ("keys", "priority", "sequence", "started_alone", "started_s")

    def __init__(
        self, keys: list[bytes], priority: int, started_s: float, started_alone: bool, sequence: int
    ) -> None:
        self.keys = keys
        self.priority = priority
        self.started_s = started_s
        self.started_alone = started_alone
        self.sequence = sequence


class PrefillTracker:
    """Tracks prefills in progress and estimates the time to compute one block.

    :param index: estimate of the engine's cached blocks.
    :param clock: time source.
    """

    def __init__(self, index: CacheIndex, clock: Clock) -> None:
        self._index = index
        self._clock = clock
        self._active: dict[int, Prefill] = {}
        self._prefill_by_key: dict[bytes, Prefill] = {}
        self._last_sequence = 0
        self._recheck_task: asyncio.Task[None] | None = None
        self.block_prefill_s = INITIAL_BLOCK_PREFILL_S
        """Moving average of the time to compute one block."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when held requests may be able to start."""

    @property
    def is_idle(self) -> bool:
        """Whether no prefill is in progress."""
        return not self._active

    def begin(self, keys: list[bytes], priority: int) -> Prefill:
        """Record the start of a prefill."""
        matched = self._index.match_all_keys(keys)
        self._last_sequence += 1
        prefill = Prefill(
            keys[matched:],
            priority,
            self._clock.monotonic_s(),
            not self._active,
            self._last_sequence,
        )
        self._active[prefill.sequence] = prefill
        for key in prefill.keys:
            self._prefill_by_key.setdefault(key, prefill)
        return prefill

    def end(self, prefill: Prefill) -> None:
        """Record that a prefill has completed or was cancelled; idempotent."""
        if self._active.pop(prefill.sequence, None) is None:
            return
        for key in prefill.keys:
            if self._prefill_by_key.get(key) is prefill:
                del self._prefill_by_key[key]
        self.on_change()

    def record_duration(self, prefill: Prefill, computed_blocks: int, ttft_s: float) -> None:
        """Update the time per block from a prefill that ran with no other in parallel.

        :param computed_blocks: number of blocks that the engine reported as computed.
        :param ttft_s: time to the first token.
        """
        if (
            computed_blocks > 0
            and prefill.started_alone
            and prefill.sequence == self._last_sequence
        ):
            self.block_prefill_s += (
                ttft_s / computed_blocks - self.block_prefill_s
            ) * PREFILL_SMOOTHING

    def backlog_s(self, priority: int) -> float:
        """Estimate the remaining time of the prefills that delay a new request.

        :param priority: priority of the new request; the engine runs it before less urgent
            prefills.
        """
        now_s = self._clock.monotonic_s()
        backlog_s = 0.0
        for prefill in self._active.values():
            if prefill.priority <= priority:
                left_s = len(prefill.keys) * self.block_prefill_s - (now_s - prefill.started_s)
                backlog_s += max(left_s, 0.0)
        return backlog_s

    def match(self, depths: list[int], keys: list[bytes]) -> int:
        """Estimate the length of the prefix that is cached or being computed.

        :param depths: prefix lengths in blocks, ascending.
        :param keys: key of the last block of each prefix.
        """
        matched = self._index.match(depths, keys)
        for depth, key in zip(depths, keys, strict=False):
            if depth > matched and key in self._prefill_by_key:
                matched = depth
        return matched

    async def close(self) -> None:
        """Cancel a scheduled recheck."""
        if self._recheck_task is not None:
            self._recheck_task.cancel()
            await asyncio.gather(self._recheck_task, return_exceptions=True)

    def count_shared(self, keys: list[bytes], matched: int, priority: int) -> int:
        """Count the consecutive blocks after ``matched`` that prefills in progress will cache.

        Less urgent prefills do not count, since the engine runs them after this request.
        """
        shared = 0
        for key in keys[matched:]:
            prefill = self._prefill_by_key.get(key)
            if prefill is None or prefill.priority > priority:
                break
            shared += 1
        return shared

    def schedule_recheck(self) -> None:
        """Call :attr:`on_change` after the recheck interval."""
        if self._recheck_task is None or self._recheck_task.done():
            self._recheck_task = asyncio.create_task(self._recheck())

    async def _recheck(self) -> None:
        await self._clock.sleep(RECHECK_INTERVAL_S)
        self._recheck_task = None
        self.on_change()


class PrefillStartCondition(StartCondition):
    """Holds a request in the queue while another one computes blocks that both need.

    :param prefills: prefills in progress.
    :param keys: block keys of the request's prompt.
    :param priority: 0 is the most urgent.
    """

    __slots__ = ("_clock", "_hold_until_s", "_index", "_keys", "_prefills", "_priority", "prefill")

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
        self._hold_until_s: float | None = None
        self.prefill: Prefill | None = None
        """Prefill of the request itself, once it has a slot."""

    def is_ready(self) -> bool:
        if self._prefills.is_idle or not self._keys:
            return True
        matched = self._index.match_all_keys(self._keys)
        shared = self._prefills.count_shared(self._keys, matched, self._priority)
        if not shared:
            return True
        now_s = self._clock.monotonic_s()
        if self._hold_until_s is None:
            hold_s = shared * self._prefills.block_prefill_s * MAX_HOLD_FACTOR + EXTRA_HOLD_S
            self._hold_until_s = now_s + hold_s
        if now_s >= self._hold_until_s:
            return True
        self._prefills.schedule_recheck()
        return False

    def on_start(self) -> None:
        self.prefill = self._prefills.begin(self._keys, self._priority)

    def on_finish(self) -> None:
        if self.prefill is not None:
            self._prefills.end(self.prefill)
