"""Continuous batching of the engine stand-in."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock
from coltsfootfront_dev.prefixcache import PrefixCache


@dataclass(slots=True)
class Speed:
    """How fast the engine computes.

    :param slots: requests that run at once.
    :param block_s: seconds to compute one block of a prompt.
    :param step_s: seconds for one decode step of the whole batch.
    :param block_tokens: tokens in one block.
    """

    slots: int = 8
    block_s: float = 0.03
    step_s: float = 0.01
    block_tokens: int = 1000


@dataclass(slots=True)
class BatchCounters:
    """Work done; blocks are full blocks of prompts."""

    requests: int = 0
    refused: int = 0
    cancelled: int = 0
    blocks_computed: int = 0
    blocks_reused: int = 0
    tokens_computed: int = 0
    tokens_generated: int = 0
    orders: int = 0
    orders_fenced: int = 0
    blocks_imported: int = 0
    blocks_exported: int = 0
    event_subscribers: int = 0


@dataclass
class BatchFaults:
    """Faults of the step loop.

    :param stall_s: pause before the next step in seconds; taken once.
    :param slow_factor: factor on the duration of every step.
    :param die_after_tokens: tokens until the engine dies; 0 for never.
    """

    stall_s: float = 0.0
    slow_factor: float = 1.0
    die_after_tokens: int = 0


@dataclass(slots=True)
class Generation:
    """One request in the engine.

    :param keys: block keys of the prompt and the resumed text.
    :param context_tokens: tokens of the prompt and the resumed text.
    :param tokens: tokens to generate.
    :param prompt_tokens: tokens of the prompt alone.
    :param cached_tokens: tokens of the context that were found in the cache.
    :param uncomputed_tokens: tokens of the context that are not computed yet.
    :param produced: number of generated tokens.
    :param wake: set when ``produced`` changes.
    :param dropped: the engine refused it after it had waited.
    """

    model: str
    adapter: str
    version: str
    priority: int
    keys: list[bytes]
    context_tokens: int
    tokens: list[str]
    prompt_tokens: int
    cached_tokens: int = 0
    uncomputed_tokens: int = 0
    produced: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    dropped: bool = False

    @property
    def finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.produced >= len(self.tokens)


class Batch:
    """Runs generations in steps.

    Each step computes up to one block of context and gives one token to every generation whose
    context is complete.

    :param is_current: whether a generation's weights are those that the engine runs.
    :param on_death: called when the fault ``die_after_tokens`` strikes.
    """

    def __init__(
        self,
        speed: Speed,
        cache: PrefixCache,
        counters: BatchCounters,
        faults: BatchFaults,
        clock: Clock,
        is_current: Callable[[Generation], bool],
        on_death: Callable[[], None],
    ) -> None:
        self._speed = speed
        self._cache = cache
        self._counters = counters
        self._faults = faults
        self._clock = clock
        self._is_current = is_current
        self._on_death = on_death
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._arrivals = 0
        self._work = asyncio.Event()
        self._next_s = 0.0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Put a generation into the queue; priority 0 first, then in order of arrival."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (generation.priority, self._arrivals, generation))
        self._work.set()

    def cancel(self, generation: Generation) -> None:
        """Forget a generation."""
        if generation in self._running:
            self._running.remove(generation)
        remaining = [entry for entry in self._waiting if entry[2] is not generation]
        if len(remaining) != len(self._waiting):
            self._waiting = remaining
            heapq.heapify(self._waiting)

    def clear(self) -> None:
        """Forget all generations."""
        self._running.clear()
        self._waiting.clear()

    async def run(self) -> None:
        """Run steps for ever."""
        while True:
            self._admit()
            if not self._running:
                self._work.clear()
                await self._work.wait()
                self._next_s = self._clock.monotonic_s()
                continue
            await self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._speed.slots:
            generation = heapq.heappop(self._waiting)[2]
            if not self._is_current(generation):
                generation.dropped = True
                generation.wake.set()
                continue
            # The last token of the context is always computed; it yields the first new token.
            usable = (generation.context_tokens - 1) // self._speed.block_tokens
            cached = self._cache.match(generation.keys[:usable], self._clock.monotonic_s())
            generation.cached_tokens = cached * self._speed.block_tokens
            generation.uncomputed_tokens = generation.context_tokens - generation.cached_tokens
            self._counters.blocks_reused += cached
            self._running.append(generation)

    async def _step(self) -> None:
        if self._faults.stall_s:
            stall_s, self._faults.stall_s = self._faults.stall_s, 0.0
            await self._clock.sleep(stall_s)
        work = self._plan()
        decodes = any(not generation.uncomputed_tokens for generation in self._running)
        duration_s = self._speed.step_s if decodes else 0.0
        duration_s += sum(work.values()) * self._speed.block_s / self._speed.block_tokens
        now_s = self._clock.monotonic_s()
        self._next_s = max(self._next_s, now_s - self._speed.step_s)
        self._next_s += duration_s * self._faults.slow_factor
        await self._clock.sleep(max(self._next_s - now_s, 0.0))
        for generation in list(self._running):
            if not self._running:
                break
            self._advance(generation, work.get(id(generation), 0))

    def _plan(self) -> dict[int, int]:
        """Share one block's worth of context tokens out, the most urgent generations first."""
        budget = self._speed.block_tokens
        work = {}
        for generation in sorted(self._running, key=lambda item: item.priority):
            tokens = min(budget, generation.uncomputed_tokens)
            if tokens:
                work[id(generation)] = tokens
                budget -= tokens
        return work

    def _advance(self, generation: Generation, computed_tokens: int) -> None:
        if generation.uncomputed_tokens:
            self._compute(generation, computed_tokens)
        if generation.uncomputed_tokens:
            return
        if generation.produced < len(generation.tokens):
            generation.produced += 1
            self._counters.tokens_generated += 1
            self._count_down()
        generation.wake.set()
        if generation.finished and generation in self._running:
            self._running.remove(generation)

    def _compute(self, generation: Generation, tokens: int) -> None:
        block = self._speed.block_tokens
        before = generation.context_tokens - generation.uncomputed_tokens
        generation.uncomputed_tokens -= tokens
        self._counters.tokens_computed += tokens
        keys = generation.keys[before // block : (before + tokens) // block]
        self._counters.blocks_computed += len(keys)
        if keys and self._is_current(generation):
            now_s = self._clock.monotonic_s()
            self._cache.store(keys, generation.model, generation.adapter, now_s)

    def _count_down(self) -> None:
        if self._faults.die_after_tokens:
            self._faults.die_after_tokens -= 1
            if not self._faults.die_after_tokens:
                self._on_death()
