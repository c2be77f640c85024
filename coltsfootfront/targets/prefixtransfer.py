"""Transfer of KV cache between engines through a kept-cache service.

Prefixes that several requests share are exported to the service. Before a request is forwarded to
the engine, its longest stored prefix is imported if that is faster than to compute it. All entries
are keyed by the cache salt, so that no KV cache is shared between customers, models or versions,
and the engine checks the version once more.
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
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.engine import Engine
from coltsfootfront.targets.keptcache import KeptCache

log = logbook.Logger(__name__)

# Shorter prefixes are computed faster than they are looked up, exported and imported.
MIN_BLOCKS = 2
# Number of requests with the same prefix from which on the prefix is exported.
MIN_SHARING_REQUESTS = 2
# A prefix is exported again after this time, as the service may have evicted it.
EXPORT_INTERVAL_S = 60.0
# A prefix that was not found is not looked up again for this time.
MISS_TTL_S = 5.0
MAX_LOOKUPS_PER_REQUEST = 2
# Imports are paused for this time after a failed lookup or an import that timed out.
FAILURE_PAUSE_S = 5.0
MAX_MAP_ENTRIES = 4096
# Maximum estimated cost of an import, as a share of the time that it saves.
MAX_COST_SHARE = 0.5
# Durations that are assumed before the first observation.
INITIAL_LOOKUP_S = 0.005
INITIAL_BLOCK_IMPORT_S = 0.005
SMOOTHING = 0.2


def exportable_customers(document: Document, data_centre: str) -> frozenset[str]:
    """Find the customers whose KV cache may be exported.

    The owner of every kept cache in the region must allow it in its terms, and a withdrawn kept
    cache rules out all customers: an agent's settings give only the URL of its kept cache, not
    which target of the document it is. KV cache never leaves the region.

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


def transfer_depths(blocks: int) -> list[int]:
    """Prefix lengths in blocks at which a prompt is exported and looked up, longest first."""
    powers = [1 << power for power in range(blocks.bit_length())]
    depths = {depth for depth in (*powers, blocks) if MIN_BLOCKS <= depth <= blocks}
    return sorted(depths, reverse=True)


class _BoundedMap:
    """Map from block keys to times or counts; evicts the least recently set entry when full."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: OrderedDict[bytes, float] = OrderedDict()

    def get(self, key: bytes, default: float) -> float:
        return self._values.get(key, default)

    def set(self, key: bytes, value: float) -> None:
        self._values[key] = value
        self._values.move_to_end(key)
        if len(self._values) > MAX_MAP_ENTRIES:
            self._values.popitem(last=False)


class PrefixTransfer:
    """Imports stored prefixes into the engine and exports shared ones.

    Only one transfer is in progress at a time, which bounds the memory that exports take.

    :param engine: client of the engine.
    :param kept_cache: client of the kept-cache service.
    :param index: estimate of the engine's cached blocks.
    :param clock: time source.
    """

    def __init__(
        self, engine: Engine, kept_cache: KeptCache, index: CacheIndex, clock: Clock
    ) -> None:
        self._engine = engine
        self._kept_cache = kept_cache
        self._index = index
        self._clock = clock
        self._lookup_s = INITIAL_LOOKUP_S
        self._block_import_s = INITIAL_BLOCK_IMPORT_S
        self._request_counts = _BoundedMap()
        self._next_export_s = _BoundedMap()
        self._missed_until_s = _BoundedMap()
        self._paused_until_s = 0.0
        self._transfer_lock = asyncio.Lock()
        self._export_task: asyncio.Task[None] | None = None
        self.customers: frozenset[str] = frozenset()
        """Customers whose KV cache may be exported and imported."""

    async def import_prefix(self, run: Run, version: str, block_prefill_s: float) -> int:
        """Import the longest stored prefix of a prompt if that is faster than to compute it.

        :param version: weights version that the engine serves the request with.
        :param block_prefill_s: time to compute one block.
        :returns: number of blocks imported.
        """
        if run.customer not in self.customers or self._transfer_lock.locked():
            return 0
        if self._clock.monotonic_s() < self._paused_until_s:
            return 0
        matched = self._index.match_all_keys(run.keys)
        limit_s = (len(run.keys) - matched) * block_prefill_s * MAX_COST_SHARE
        try:
            async with asyncio.timeout(limit_s), self._transfer_lock:
                return await self._import_longest(run, version, matched, block_prefill_s)
        except TimeoutError:
            metrics.PREFIX_BLOCKS.inc({"outcome": "import_timed_out"})
            self._paused_until_s = self._clock.monotonic_s() + FAILURE_PAUSE_S
            return 0

    def record_prompt(self, run: Run, version: str) -> None:
        """Count a prompt that the engine has cached and export its longest shared prefix if due."""
        if run.customer not in self.customers:
            return
        chosen = 0
        for depth in transfer_depths(len(run.keys)):
            key = run.keys[depth - 1]
            requests = self._request_counts.get(key, 0) + 1
            self._request_counts.set(key, requests)
            if requests >= MIN_SHARING_REQUESTS and not chosen and self._is_export_due(key):
                chosen = depth
        if chosen and not self._transfer_lock.locked():
            self._export_task = asyncio.create_task(self._export_prefix(run, version, chosen))

    async def close(self) -> None:
        """Cancel an export in progress."""
        if self._export_task is not None:
            self._export_task.cancel()
            await asyncio.gather(self._export_task, return_exceptions=True)

    async def _import_longest(
        self, run: Run, version: str, matched: int, block_prefill_s: float
    ) -> int:
        cache_salt = compute_cache_salt(run.customer, run.model, run.adapter, version)
        lookups = 0
        for depth in transfer_depths(len(run.keys)):
            if lookups >= MAX_LOOKUPS_PER_REQUEST or not self._is_worthwhile(
                depth, matched, block_prefill_s
            ):
                return 0
            if self._clock.monotonic_s() < self._paused_until_s:
                return 0
            if self._missed_until_s.get(run.keys[depth - 1], 0.0) > self._clock.monotonic_s():
                continue
            lookups += 1
            data = await self._look_up(cache_salt, run.keys[depth - 1])
            if data is not None:
                return await self._import(cache_salt, data, run.keys[:depth])
        return 0

    def _is_worthwhile(self, depth: int, matched: int, block_prefill_s: float) -> bool:
        saved_s = (depth - matched) * block_prefill_s
        cost_s = self._lookup_s + depth * self._block_import_s
        return depth - matched >= MIN_BLOCKS and cost_s <= saved_s * MAX_COST_SHARE

    async def _look_up(self, cache_salt: str, key: bytes) -> bytes | None:
        started_s = self._clock.monotonic_s()
        found = await self._kept_cache.get(cache_salt, key)
        now_s = self._clock.monotonic_s()
        self._lookup_s += (now_s - started_s - self._lookup_s) * SMOOTHING
        if not isinstance(found, Success):
            self._paused_until_s = now_s + FAILURE_PAUSE_S
            return None
        data: bytes | None = found.unwrap()
        if data is None:
            self._missed_until_s.set(key, now_s + MISS_TTL_S)
        return data

    async def _import(self, cache_salt: str, data: bytes, keys: list[bytes]) -> int:
        started_s = self._clock.monotonic_s()
        imported = await self._engine.import_blocks(cache_salt, data)
        if not isinstance(imported, Success) or not imported.unwrap():
            return 0
        blocks: int = min(imported.unwrap(), len(keys))
        observed_s = (self._clock.monotonic_s() - started_s) / blocks
        self._block_import_s += (observed_s - self._block_import_s) * SMOOTHING
        self._index.store(keys[:blocks])
        metrics.PREFIX_BLOCKS.add({"outcome": "imported"}, blocks)
        return blocks

    def _is_export_due(self, key: bytes) -> bool:
        return self._next_export_s.get(key, 0.0) <= self._clock.monotonic_s()

    async def _export_prefix(self, run: Run, version: str, depth: int) -> None:
        cache_salt = compute_cache_salt(run.customer, run.model, run.adapter, version)
        key = run.keys[depth - 1]
        self._next_export_s.set(key, self._clock.monotonic_s() + EXPORT_INTERVAL_S)
        async with self._transfer_lock:
            exported = await self._engine.export_blocks(cache_salt, run.keys[:depth])
            if not isinstance(exported, Success):
                return
            stored = await self._kept_cache.put(cache_salt, key, exported.unwrap())
        if isinstance(stored, Success):
            metrics.PREFIX_BLOCKS.add({"outcome": "exported"}, depth)
        log.debug(event("blocks_exported", blocks=depth, kept=isinstance(stored, Success)))
