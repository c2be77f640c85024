"""Plans where a target gets the KV cache of a prompt's parts, and which parts it should save.

A part that the target has cached costs nothing, one that another target or a kept cache has
costs a transfer, and all others need a prefill.
"""

import math
from dataclasses import dataclass

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.cacheindex import (
    CACHED_TTL_S,
    CacheIndex,
    is_kept_cache,
    kept_cache_name,
)
from coltsfootfront.direct.callerrequest import CallerRequest, PromptPart
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.routingconfig import EngineProperties, KeptCache
from coltsfootfront.direct.versions import WeightVersions

# Duration of a transfer, relative to one within a data centre.
OTHER_DATA_CENTRE_FACTOR = 2.0
OTHER_REGION_FACTOR = 10.0
# Prefill of a part of this length takes 4 ms, about as long as fetching it; saving shorter ones
# gains nothing.
MIN_SAVE_TOKENS = 256
# Time constant of the rate of saves.
SAVE_RATE_WINDOW_S = 5.0


@dataclass(slots=True)
class CachePlan:
    """Which tokens of a prompt one target has cached, fetches or prefills.

    :param held_tokens: tokens whose KV cache the target is expected to have.
    :param fetched_tokens: tokens whose KV cache comes from ``fetch_from``.
    :param duplicate_tokens: tokens that it prefills although their KV cache exists elsewhere.
    :param fetch_from: address of another target or a kept cache, empty for none.
    :param transfer_s: expected duration of the transfer.
    """

    held_tokens: int = 0
    fetched_tokens: int = 0
    duplicate_tokens: int = 0
    fetch_from: str = ""
    transfer_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _FetchSource:
    """Target or kept cache that a part can be fetched from.

    :param distance_factor: duration of a transfer, relative to one within a data centre.
    """

    address: str
    distance_factor: float
    link_bytes_per_s: float


class _DecayingRate:
    """Rate of events, averaged with the time constant :data:`SAVE_RATE_WINDOW_S`."""

    __slots__ = ("_last_add_s", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._last_add_s = 0.0

    def add(self, count: float, now_s: float) -> None:
        self._sum = self.per_s(now_s) * SAVE_RATE_WINDOW_S + count
        self._last_add_s = now_s

    def per_s(self, now_s: float) -> float:
        return (
            self._sum
            * math.exp((self._last_add_s - now_s) / SAVE_RATE_WINDOW_S)
            / SAVE_RATE_WINDOW_S
        )


class CachePlanner:
    """Plans which parts of a prompt a target reuses, fetches and saves.

    :param clock: time source.
    :param regions: region of each data centre.
    :param cache_index: index of the targets that have prompt parts cached.
    :param versions: published versions of the weights.
    """

    def __init__(
        self,
        clock: Clock,
        regions: dict[str, str],
        cache_index: CacheIndex,
        versions: WeightVersions,
    ) -> None:
        self._clock = clock
        self._regions = regions
        self._cache_index = cache_index
        self._versions = versions
        self._saves: dict[str, _DecayingRate] = {}
        self._routers = 1

    def find(
        self,
        request: CallerRequest,
        salt: str,
        target: Target,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
    ) -> CachePlan:
        """Plan what a target reuses of a prompt, and where it fetches more.

        :param salt: cache salt, empty when the parts cannot be shared.
        :param engine_properties: configured properties of the engines.
        """
        plan = CachePlan()
        if not salt:
            return plan
        shared = request.shared_parts
        depth = self._count_cached_parts(salt, shared, target)
        plan.held_tokens = sum(part.tokens for part in shared[:depth])
        source: _FetchSource | None = None
        for end in range(len(shared), depth, -1):
            source = self._find_fetch_source(
                request, salt, shared[end - 1].key, target, engine_properties, kept_caches
            )
            if source is not None:
                plan.fetched_tokens = sum(part.tokens for part in shared[depth:end])
                depth = end
                break
        source = source or self._find_kept_copy(
            salt, shared, target, engine_properties, kept_caches
        )
        if source is not None:
            plan.fetch_from = source.address
            plan.transfer_s = _transfer_s(source, plan.fetched_tokens, engine_properties)
        for part in shared[depth:]:
            if any(True for _ in self._cache_index.find_holders(salt, part.key)):
                plan.duplicate_tokens += part.tokens
        return plan

    def ready_s(self, request: CallerRequest, salt: str, target: Target) -> float:
        """Monotonic time at which other requests' prefills of a request's parts end at a target.

        :returns: minus infinity when it prefills none of them.
        """
        times_s = [
            self._cache_index.ready_s(salt, part.key, target.name)
            for part in request.shared_parts
            if salt and self._cache_index.holds(salt, part.key, target.name)
        ]
        return max(times_s, default=-math.inf)

    def save_to(
        self, request: CallerRequest, salt: str, target: Target, kept_caches: tuple[KeptCache, ...]
    ) -> KeptCache | None:
        """Kept cache in which a target should save the prompt's last shared part.

        A part that is used a second time is likely to be used often. The caches' links cannot take
        every part when new weights empty the KV cache of all targets. The kept caches of a
        region divide its parts among them, so that each part is saved once, near its target.
        """
        shared = request.shared_parts
        if not kept_caches or not salt or not shared:
            return None
        part = shared[-1]
        if part.tokens < MIN_SAVE_TOKENS:
            return None
        if any(self._is_in_kept_cache(salt, part.key, cache) for cache in kept_caches):
            return None
        near = {
            cache.name: cache
            for cache in kept_caches
            if self._regions.get(cache.data_centre) == target.region
        }
        candidates = near or {cache.name: cache for cache in kept_caches}
        cache = candidates[rank(f"{salt}/{part.key}".encode(), list(candidates), 1)[0]]
        is_used_again = any(True for _ in self._cache_index.find_holders(salt, part.key))
        return cache if is_used_again or self._can_retain(cache) else None

    def record_save(self, cache: KeptCache, tokens: int) -> None:
        """Record that a target was instructed to save a prompt, for the rate of saves."""
        rate = self._saves.setdefault(cache.name, _DecayingRate())
        rate.add(tokens, self._clock.monotonic_s())

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers; all are assumed to request saves at the same rate."""
        self._routers = max(1, routers)

    def _can_retain(self, cache: KeptCache) -> bool:
        """Whether a kept cache retains new parts for long enough to be used again.

        While it does, parts are saved on their first use, since engines under load evict them
        within a second. Otherwise, parts that are used only once would evict more useful ones.
        """
        saves = self._saves.get(cache.name)
        if saves is None:
            return cache.capacity_tokens > 0
        per_s = saves.per_s(self._clock.monotonic_s()) * self._routers
        return per_s * CACHED_TTL_S < cache.capacity_tokens

    def _is_in_kept_cache(self, salt: str, key: str, cache: KeptCache) -> bool:
        return self._cache_index.holds(salt, key, kept_cache_name(cache.name))

    def _count_cached_parts(self, salt: str, shared: tuple[PromptPart, ...], target: Target) -> int:
        depth = 0
        while depth < len(shared) and self._cache_index.holds(salt, shared[depth].key, target.name):
            depth += 1
        return depth

    def _find_kept_copy(
        self,
        salt: str,
        shared: tuple[PromptPart, ...],
        target: Target,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
    ) -> _FetchSource | None:
        """Nearest kept copy of the shared parts, which the target may have evicted by now.

        Passing its address costs nothing when the target still has them.
        """
        if not shared:
            return None
        sources = [
            self._kept_fetch_source(target, engine_properties, cache)
            for cache in kept_caches
            if self._is_in_kept_cache(salt, shared[-1].key, cache)
        ]
        return min(sources, key=lambda source: source.distance_factor, default=None)

    def _find_fetch_source(
        self,
        request: CallerRequest,
        salt: str,
        key: str,
        target: Target,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
    ) -> _FetchSource | None:
        """Nearest source that a target can fetch a part from.

        A holder that may have evicted the part is still used when there is no other source, since a
        fetch that finds nothing costs little.
        """
        best: _FetchSource | None = None
        best_rank = (math.inf, math.inf)
        caches = {kept_cache_name(cache.name): cache for cache in kept_caches}
        for name in self._cache_index.find_holders(salt, key):
            is_doubtful = False
            if is_kept_cache(name):
                if name not in caches:
                    continue
                source = self._kept_fetch_source(target, engine_properties, caches[name])
            else:
                holder = self._versions.get_target(name)
                if holder is None or not self._can_export(request, salt, key, holder, target):
                    continue
                is_doubtful = not self._cache_index.is_recently_used(salt, key, name)
                factor = self._distance_factor(holder.entry.data_centre, target)
                source = _FetchSource(
                    holder.entry.address, factor, _link_bytes_per_s(engine_properties)
                )
            source_rank = (float(is_doubtful), source.distance_factor)
            if source_rank < best_rank:
                best, best_rank = source, source_rank
        return best

    def _can_export(
        self, request: CallerRequest, salt: str, key: str, holder: Target, target: Target
    ) -> bool:
        now_s = self._clock.monotonic_s()
        return (
            holder is not target
            and holder.missing_since_s is None
            and holder.is_healthy(now_s)
            and not holder.is_loading(now_s)
            and holder.versions.get(request.model) == target.versions.get(request.model)
            # The part's prefill at the holder must end before the target's prefill begins.
            and self._cache_index.ready_s(salt, key, holder.name) <= now_s + target.wait_s(0, now_s)
        )

    def _kept_fetch_source(
        self, target: Target, engine_properties: EngineProperties | None, kept_cache: KeptCache
    ) -> _FetchSource:
        link = min(
            _link_bytes_per_s(engine_properties),
            kept_cache.link_bytes_per_s or _link_bytes_per_s(engine_properties),
        )
        return _FetchSource(
            kept_cache.address, self._distance_factor(kept_cache.data_centre, target), link
        )

    def _distance_factor(self, data_centre: str, target: Target) -> float:
        """Duration of a transfer from a data centre, relative to one within the target's own."""
        if data_centre == target.entry.data_centre:
            return 1.0
        is_near = self._regions.get(data_centre) == target.region
        return OTHER_DATA_CENTRE_FACTOR if is_near else OTHER_REGION_FACTOR


def _link_bytes_per_s(engine_properties: EngineProperties | None) -> float:
    return engine_properties.link_bytes_per_s if engine_properties is not None else 0.0


def _transfer_s(
    source: _FetchSource, tokens: int, engine_properties: EngineProperties | None
) -> float:
    if engine_properties is None or not source.link_bytes_per_s:
        return 0.0
    return source.distance_factor * tokens * engine_properties.token_bytes / source.link_bytes_per_s
