"""KV cache transfer through a kept-cache service.

Blocks that several requests share are exported once. A request whose prompt is kept, and that
would take longer to compute than to import, has it imported before it is forwarded. Everything
is keyed by the salt, so nothing passes between customers, models or versions, and the engine
checks the version again.
"""

import asyncio
from collections import OrderedDict

import logbook
from returns.result import Success

from coltsfootfront.calls.blocks import compute_cache_salt
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.document import KIND_KEPT_CACHE, Document
from coltsfootfront.peers.messages import Run
from coltsfootfront.targets.engine import Engine
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.keptcache import KeptCache

log = logbook.Logger(__name__)

# Fewer blocks are computed faster than they are looked up, exported and imported.
MIN_BLOCKS = 2
# Requests that must have shared a prefix before it is exported.
MIN_REQUESTS = 2
# Time after which a prefix is exported again; the service may have dropped it.
EXPORT_INTERVAL_S = 60.0
# Time for which a prefix that was not found is not looked up again.
MISS_LIFE_S = 5.0
MAX_LOOKUPS = 2
# Time without lookups after the service has failed or was too slow.
FAILURE_PAUSE_S = 5.0
MAX_REMEMBERED = 4096
# An import must promise to take at most this share of the time that it saves.
MAX_COST_SHARE = 0.5
# Assumed until they have been observed.
INITIAL_LOOKUP_S = 0.005
INITIAL_IMPORT_S = 0.005
SMOOTHING = 0.2


def exportable_customers(document: Document, data_centre: str) -> frozenset[str]:
    """Customers whose blocks may be kept: the terms of every kept cache of the region allow it.

    An agent knows its kept cache by URL only, so one that is withdrawn, or whose owner has not
    agreed, rules out all of them. KV cache never leaves the region.

    :param data_centre: data centre of the agent.
    """
    region = document.region_of(data_centre)
    allowed: set[str] | None = None
    for name, target in document.targets.items():
        service = document.services.get(target.service)
        if service is None or service.kind != KIND_KEPT_CACHE:
            continue
        if document.region_of(target.data_centre) != region:
            continue
        covered = {
            customer
            for terms in document.terms.values()
            if name in terms.targets and terms.owner == target.owner and not target.withdrawn
            for customer in terms.customers
        }
        allowed = covered if allowed is None else allowed & covered
    return frozenset(allowed or ())


def depths_of(blocks: int) -> list[int]:
    """Numbers of leading blocks at which a chain is kept, the deepest first."""
    powers = [1 << power for power in range(blocks.bit_length())]
    depths = {depth for depth in (*powers, blocks) if MIN_BLOCKS <= depth <= blocks}
    return sorted(depths, reverse=True)


class _Remembered:
    """Bounded map of block keys to times or counts; the oldest entry makes room."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: OrderedDict[bytes, float] = OrderedDict()

    def get(self, key: bytes, default: float) -> float:
        return self._values.get(key, default)

    def set(self, key: bytes, value: float) -> None:
        self._values[key] = value
        self._values.move_to_end(key)
        if len(self._values) > MAX_REMEMBERED:
            self._values.popitem(last=False)


class PrefixTransfer:
    """Brings kept blocks into the engine and keeps blocks that are worth it.

    One transfer is under way at a time, which bounds the memory that exports take.

    :param engine: adapter of the engine.
    :param kept: adapter of the kept-cache service.
    :param index: estimate of the engine's cached blocks.
    :param clock: time source.
    """

    def __init__(self, engine: Engine, kept: KeptCache, index: CacheIndex, clock: Clock) -> None:
        self._engine = engine
        self._kept = kept
        self._index = index
        self._clock = clock
        self._lookup_s = INITIAL_LOOKUP_S
        self._import_s = INITIAL_IMPORT_S
        self._requests = _Remembered()
        self._exported = _Remembered()
        self._missed = _Remembered()
        self._failed_until_s = 0.0
        self._busy = asyncio.Lock()
        self._export: asyncio.Task[None] | None = None
        self.customers: frozenset[str] = frozenset()
        """Customers whose blocks may be kept."""

    async def import_prefix(self, run: Run, version: str, prefill_s: float) -> int:
        """Import what is kept of a prompt, if that is faster than to compute it.

        :param version: weights version that the request will run on.
        :param prefill_s: time to compute one block.
        :returns: number of blocks imported.
        """
        if run.customer not in self.customers or self._busy.locked():
            return 0
        if self._clock.monotonic_s() < self._failed_until_s:
            return 0
        matched = self._index.match_all_keys(run.keys)
        limit_s = (len(run.keys) - matched) * prefill_s * MAX_COST_SHARE
        try:
            async with asyncio.timeout(limit_s), self._busy:
                return await self._bring(run, version, matched, prefill_s)
        except TimeoutError:
            metrics.PREFIX_BLOCKS.inc({"outcome": "import_timed_out"})
            self._failed_until_s = self._clock.monotonic_s() + FAILURE_PAUSE_S
            return 0

    def record_prompt(self, run: Run, version: str) -> None:
        """Take note of a prompt that the engine now holds, and export it if it is shared."""
        if run.customer not in self.customers:
            return
        chosen = 0
        for depth in depths_of(len(run.keys)):
            key = run.keys[depth - 1]
            requests = self._requests.get(key, 0) + 1
            self._requests.set(key, requests)
            if requests >= MIN_REQUESTS and not chosen and self._is_due(key):
                chosen = depth
        if chosen and not self._busy.locked():
            self._export = asyncio.create_task(self._keep(run, version, chosen))

    async def close(self) -> None:
        """End an export that is under way."""
        if self._export is not None:
            self._export.cancel()
            await asyncio.gather(self._export, return_exceptions=True)

    async def _bring(self, run: Run, version: str, matched: int, prefill_s: float) -> int:
        cache_salt = compute_cache_salt(run.customer, run.model, run.adapter, version)
        lookups = 0
        for depth in depths_of(len(run.keys)):
            if lookups >= MAX_LOOKUPS or not self._pays(depth, matched, prefill_s):
                return 0
            if self._clock.monotonic_s() < self._failed_until_s:
                return 0
            if self._missed.get(run.keys[depth - 1], 0.0) > self._clock.monotonic_s():
                continue
            lookups += 1
            data = await self._look_up(cache_salt, run.keys[depth - 1])
            if data is not None:
                return await self._import(cache_salt, data, run.keys[:depth])
        return 0

    def _pays(self, depth: int, matched: int, prefill_s: float) -> bool:
        saved_s = (depth - matched) * prefill_s
        cost_s = self._lookup_s + depth * self._import_s
        return depth - matched >= MIN_BLOCKS and cost_s <= saved_s * MAX_COST_SHARE

    async def _look_up(self, cache_salt: str, key: bytes) -> bytes | None:
        started_s = self._clock.monotonic_s()
        found = await self._kept.get(cache_salt, key)
        now_s = self._clock.monotonic_s()
        self._lookup_s += (now_s - started_s - self._lookup_s) * SMOOTHING
        if not isinstance(found, Success):
            self._failed_until_s = now_s + FAILURE_PAUSE_S
            return None
        data: bytes | None = found.unwrap()
        if data is None:
            self._missed.set(key, now_s + MISS_LIFE_S)
        return data

    async def _import(self, cache_salt: str, data: bytes, keys: list[bytes]) -> int:
        started_s = self._clock.monotonic_s()
        taken = await self._engine.import_blocks(cache_salt, data)
        if not isinstance(taken, Success) or not taken.unwrap():
            return 0
        blocks: int = min(taken.unwrap(), len(keys))
        observed_s = (self._clock.monotonic_s() - started_s) / blocks
        self._import_s += (observed_s - self._import_s) * SMOOTHING
        self._index.store(keys[:blocks])
        metrics.PREFIX_BLOCKS.add({"outcome": "imported"}, blocks)
        return blocks

    def _is_due(self, key: bytes) -> bool:
        return self._exported.get(key, 0.0) <= self._clock.monotonic_s()

    async def _keep(self, run: Run, version: str, depth: int) -> None:
        cache_salt = compute_cache_salt(run.customer, run.model, run.adapter, version)
        key = run.keys[depth - 1]
        self._exported.set(key, self._clock.monotonic_s() + EXPORT_INTERVAL_S)
        async with self._busy:
            exported = await self._engine.export_blocks(cache_salt, run.keys[:depth])
            if not isinstance(exported, Success):
                return
            kept = await self._kept.put(cache_salt, key, exported.unwrap())
        if isinstance(kept, Success):
            metrics.PREFIX_BLOCKS.add({"outcome": "exported"}, depth)
        log.debug(event("blocks_exported", blocks=depth, kept=isinstance(kept, Success)))
