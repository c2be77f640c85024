"""Continuous batching of the simulated engine."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock
from coltsfootfront_dev.prefixcache import PrefixCache


@dataclass(slots=True)
class Speed:
    """Concurrency and speed of the engine.

    :param slots: requests that run concurrently.
    :param block_s: prefill time of one block in seconds.
    :param step_s: duration of one decode step of the whole batch in seconds.
    :param block_tokens: tokens in one block.
    """

    slots: int = 8
    block_s: float = 0.03
    step_s: float = 0.01
    block_tokens: int = 1000


@dataclass(slots=True)
class BatchCounters:
    """Counters since the start of the process; only full blocks are counted as blocks."""

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

    :param stall_s: pause before the next step in seconds; reset to 0 when the pause begins.
    :param slow_factor: factor by which the duration of every step is multiplied.
    :param die_after_tokens: generated tokens until the engine crashes; 0 for never.
    """

    stall_s: float = 0.0
    slow_factor: float = 1.0
    die_after_tokens: int = 0


@dataclass(slots=True)
class Generation:
    """One queued or running request.

    :param keys: keys of the full blocks of the context.
    :param context_tokens: number of tokens of the prompt and the resumed text.
    :param tokens: the tokens to generate.
    :param prompt_tokens: number of tokens of the prompt alone.
    :param cached_tokens: number of context tokens that were found in the prefix cache.
    :param uncomputed_tokens: number of context tokens that are left to prefill.
    :param produced: number of tokens generated so far.
    :param progressed: set when ``produced`` or ``rejected`` changes.
    :param rejected: whether the weights changed while the request was queued.
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
    progressed: asyncio.Event = field(default_factory=asyncio.Event)
    rejected: bool = False

    @property
    def finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.produced >= len(self.tokens)


class Batch:
    """Runs generations in steps.

    Each step prefills up to one block of context and generates one token for every generation
    whose prefill is complete.

    :param has_current_weights: whether the engine still has the weights of a generation.
    :param on_crash: called when ``die_after_tokens`` has counted down to 0.
    """

    def __init__(
        self,
        speed: Speed,
        cache: PrefixCache,
        counters: BatchCounters,
        faults: BatchFaults,
        clock: Clock,
        has_current_weights: Callable[[Generation], bool],
        on_crash: Callable[[], None],
    ) -> None:
        self._speed = speed
        self._cache = cache
        self._counters = counters
        self._faults = faults
        self._clock = clock
        self._has_current_weights = has_current_weights
        self._on_crash = on_crash
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._arrival_count = 0
        self._work_available = asyncio.Event()
        self._step_end_s = 0.0

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queue a generation; a lower priority value goes first, then the earlier arrival."""
        self._arrival_count += 1
        heapq.heappush(self._waiting, (generation.priority, self._arrival_count, generation))
        self._work_available.set()

    def cancel(self, generation: Generation) -> None:
        """Remove a generation from the batch and the queue."""
        if generation in self._running:
            self._running.remove(generation)
        remaining = [entry for entry in self._waiting if entry[2] is not generation]
        if len(remaining) != len(self._waiting):
            self._waiting = remaining
            heapq.heapify(self._waiting)

    def clear(self) -> None:
        """Remove all generations."""
        self._running.clear()
        self._waiting.clear()

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._work_available.clear()
                await self._work_available.wait()
                self._step_end_s = self._clock.monotonic_s()
                continue
            await self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._speed.slots:
            generation = heapq.heappop(self._waiting)[2]
            if not self._has_current_weights(generation):
                generation.rejected = True
                generation.progressed.set()
                continue
            # The last context token is always computed, since its output is the first new token.
            reusable_blocks = (generation.context_tokens - 1) // self._speed.block_tokens
            cached_blocks = self._cache.match(
                generation.keys[:reusable_blocks], self._clock.monotonic_s()
            )
            generation.cached_tokens = cached_blocks * self._speed.block_tokens
            generation.uncomputed_tokens = generation.context_tokens - generation.cached_tokens
            self._counters.blocks_reused += cached_blocks
            self._running.append(generation)

    async def _step(self) -> None:
        if self._faults.stall_s:
            stall_s, self._faults.stall_s = self._faults.stall_s, 0.0
            await self._clock.sleep(stall_s)
        prefill_tokens = self._plan_prefill()
        has_decode = any(not generation.uncomputed_tokens for generation in self._running)
        duration_s = self._speed.step_s if has_decode else 0.0
        duration_s += sum(prefill_tokens.values()) * self._speed.block_s / self._speed.block_tokens
        now_s = self._clock.monotonic_s()
        self._step_end_s = max(self._step_end_s, now_s - self._speed.step_s)
        self._step_end_s += duration_s * self._faults.slow_factor
        await self._clock.sleep(max(self._step_end_s - now_s, 0.0))
        for generation in list(self._running):
            if not self._running:
                break
            self._advance(generation, prefill_tokens.get(id(generation), 0))

    def _plan_prefill(self) -> dict[int, int]:
        """Assign a budget of one block of context tokens, lowest priority value first."""
        budget = self._speed.block_tokens
        plan = {}
        for generation in sorted(self._running, key=lambda item: item.priority):
            tokens = min(budget, generation.uncomputed_tokens)
            if tokens:
                plan[id(generation)] = tokens
                budget -= tokens
        return plan

    def _advance(self, generation: Generation, computed_tokens: int) -> None:
        if generation.uncomputed_tokens:
            self._prefill(generation, computed_tokens)
        if generation.uncomputed_tokens:
            return
        if generation.produced < len(generation.tokens):
            generation.produced += 1
            self._counters.tokens_generated += 1
            self._count_down_to_crash()
        generation.progressed.set()
        if generation.finished and generation in self._running:
            self._running.remove(generation)

    def _prefill(self, generation: Generation, tokens: int) -> None:
        block_tokens = self._speed.block_tokens
        computed_before = generation.context_tokens - generation.uncomputed_tokens
        generation.uncomputed_tokens -= tokens
        self._counters.tokens_computed += tokens
        keys = generation.keys[
            computed_before // block_tokens : (computed_before + tokens) // block_tokens
        ]
        self._counters.blocks_computed += len(keys)
        if keys and self._has_current_weights(generation):
            now_s = self._clock.monotonic_s()
            self._cache.store(keys, generation.model, generation.adapter, now_s)

    def _count_down_to_crash(self) -> None:
        if self._faults.die_after_tokens:
            self._faults.die_after_tokens -= 1
            if not self._faults.die_after_tokens:
                self._on_crash()
