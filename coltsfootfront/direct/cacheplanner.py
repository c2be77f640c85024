"""Where a target gets the parts of a prompt from, and when the kept cache should get them.

A part that the target holds costs nothing, one that another target or the kept cache has costs a
transfer, and all others are read again.
"""

import math
from dataclasses import dataclass

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.callerrequest import CallerRequest, PromptPart
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.cacheindex import CACHED_TTL_S, CacheIndex, is_kept_name, kept_cache_name
from coltsfootfront.direct.routingconfig import EngineProperties, KeptCache
from coltsfootfront.direct.versions import WeightVersions

# Transfers between data centres take twice, between regions ten times as long.
OTHER_DATA_CENTRE_FACTOR = 2.0
OTHER_REGION_FACTOR = 10.0
# A part of this length is read in 4 ms, about what a transfer takes with its delays; below it
# measured no better.
MIN_SAVED_TOKENS = 256
# Window over which the rate of saves is taken.
RATE_WINDOW_S = 5.0


@dataclass(slots=True)
class Source:
    """Where the parts of a prompt come from at one target.

    :param held_tokens: tokens that the target is believed to hold.
    :param fetched_tokens: tokens that come from ``fetch_from``.
    :param reread_tokens: tokens of parts that it reads though another target has read them.
    :param fetch_from: address of the other target or the kept cache, empty for none.
    :param transfer_s: time that the transfer takes.
    """

    held_tokens: int = 0
    fetched_tokens: int = 0
    reread_tokens: int = 0
    fetch_from: str = ""
    transfer_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Giver:
    """What can give a part: a target or the kept cache."""

    address: str
    factor: float
    link_bytes_per_s: float


class _Rate:
    """Running rate of something counted, over the last :data:`RATE_WINDOW_S`."""

    __slots__ = ("_at_s", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at_s = 0.0

    def add(self, count: float, now_s: float) -> None:
        """Count something."""
        self._sum = self.per_s(now_s) * RATE_WINDOW_S + count
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """The rate now."""
        return self._sum * math.exp((self._at_s - now_s) / RATE_WINDOW_S) / RATE_WINDOW_S


class CachePlanner:
    """Finds the sources of prompt parts.

    :param clock: time source.
    :param regions: region of each data centre.
    :param holders: which targets have read which parts.
    :param versions: named versions of the weights.
    """

    def __init__(
        self, clock: Clock, regions: dict[str, str], holders: CacheIndex, versions: WeightVersions
    ) -> None:
        self._clock = clock
        self._regions = regions
        self._holders = holders
        self._versions = versions
        self._saves: dict[str, _Rate] = {}
        self._routers = 1

    def find(
        self,
        call: CallerRequest,
        salt: str,
        target: Target,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
    ) -> Source:
        """Find out what a target holds of a prompt, and where it can get more.

        :param salt: salt of the cached parts, empty when they cannot be shared.
        :param engine_properties: what the configuration says of the engines.
        """
        result = Source()
        if not salt:
            return result
        shared = call.shared_parts
        depth = self._held_parts(salt, shared, target)
        result.held_tokens = sum(part.tokens for part in shared[:depth])
        giver: _Giver | None = None
        for end in range(len(shared), depth, -1):
            giver = self._giver(call, salt, shared[end - 1].key, target, engine_properties, kept_caches)
            if giver is not None:
                result.fetched_tokens = sum(part.tokens for part in shared[depth:end])
                depth = end
                break
        giver = giver or self._kept_copy(salt, shared, target, engine_properties, kept_caches)
        if giver is not None:
            result.fetch_from = giver.address
            result.transfer_s = _transfer_s(giver, result.fetched_tokens, engine_properties)
        for part in shared[depth:]:
            if any(True for _ in self._holders.find_holders(salt, part.key)):
                result.reread_tokens += part.tokens
        return result

    def ready_s(self, call: CallerRequest, salt: str, target: Target) -> float:
        """Monotonic time from which a target has those parts that it is reading for others.

        :returns: minus infinity when it reads none of them.
        """
        times_s = [
            self._holders.ready_s(salt, part.key, target.name)
            for part in call.shared_parts
            if salt and self._holders.holds(salt, part.key, target.name)
        ]
        return max(times_s, default=-math.inf)

    def save_to(
        self, call: CallerRequest, salt: str, target: Target, kept_caches: tuple[KeptCache, ...]
    ) -> KeptCache | None:
        """Kept cache that should get the deepest shared part from a target.

        A part that is used again is likely to be used often; the kept caches' links cannot take
        every part when new weights empty all targets. Several kept caches share the parts of a
        region, so that each part is kept once, near its target.
        """
        shared = call.shared_parts
        if not kept_caches or not salt or not shared:
            return None
        part = shared[-1]
        if part.tokens < MIN_SAVED_TOKENS:
            return None
        if any(self._is_kept(salt, part.key, cache) for cache in kept_caches):
            return None
        near = {
            cache.name: cache
            for cache in kept_caches
            if self._regions.get(cache.data_centre) == target.region
        }
        candidates = near or {cache.name: cache for cache in kept_caches}
        cache = candidates[rank(f"{salt}/{part.key}".encode(), list(candidates), 1)[0]]
        is_used_again = any(True for _ in self._holders.find_holders(salt, part.key))
        return cache if is_used_again or self._has_room(cache) else None

    def note_save(self, cache: KeptCache, tokens: int) -> None:
        """Note that a prompt is given to a target that saves it."""
        rate = self._saves.setdefault(cache.name, _Rate())
        rate.add(tokens, self._clock.monotonic_s())

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that save; they are taken to save alike."""
        self._routers = max(1, routers)

    def _has_room(self, cache: KeptCache) -> bool:
        """Whether a kept cache holds what is saved now for long enough to be used again.

        While it does, parts are saved on their first use, since engines under load drop them
        within a second. Where it does not, parts that are used once would push out others.
        """
        saves = self._saves.get(cache.name)
        if saves is None:
            return cache.capacity_tokens > 0
        per_s = saves.per_s(self._clock.monotonic_s()) * self._routers
        return per_s * CACHED_TTL_S < cache.capacity_tokens

    def _is_kept(self, salt: str, key: str, cache: KeptCache) -> bool:
        return self._holders.holds(salt, key, kept_cache_name(cache.name))

    def _held_parts(self, salt: str, shared: tuple[PromptPart, ...], target: Target) -> int:
        depth = 0
        while depth < len(shared) and self._holders.holds(salt, shared[depth].key, target.name):
            depth += 1
        return depth

    def _kept_copy(
        self,
        salt: str,
        shared: tuple[PromptPart, ...],
        target: Target,
        facts: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
    ) -> _Giver | None:
        """The nearest kept copy of parts that the target may have evicted by now.

        It costs nothing to name one to a target that still has them.
        """
        if not shared:
            return None
        givers = [
            self._kept_giver(target, facts, cache)
            for cache in kept_caches
            if self._is_kept(salt, shared[-1].key, cache)
        ]
        return min(givers, key=lambda giver: giver.factor, default=None)

    def _giver(
        self,
        call: CallerRequest,
        salt: str,
        key: str,
        target: Target,
        facts: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
    ) -> _Giver | None:
        """The best giver of a part.

        A holder that may have evicted the part is asked when there is no other: it costs little
        to find nothing.
        """
        best: _Giver | None = None
        best_rank = (math.inf, math.inf)
        caches = {kept_cache_name(cache.name): cache for cache in kept_caches}
        for name in self._holders.find_holders(salt, key):
            is_doubtful = False
            if is_kept_name(name):
                if name not in caches:
                    continue
                giver = self._kept_giver(target, facts, caches[name])
            else:
                holder = self._versions.target(name)
                if holder is None or not self._can_give(call, salt, key, holder, target):
                    continue
                is_doubtful = not self._holders.is_recently_used(salt, key, name)
                factor = self._factor(holder.entry.data_centre, target)
                giver = _Giver(holder.entry.address, factor, _link_bytes_per_s(facts))
            giver_rank = (float(is_doubtful), giver.factor)
            if giver_rank < best_rank:
                best, best_rank = giver, giver_rank
        return best

    def _can_give(self, call: CallerRequest, salt: str, key: str, holder: Target, target: Target) -> bool:
        now_s = self._clock.monotonic_s()
        return (
            holder is not target
            and holder.missing_since_s is None
            and holder.is_healthy(now_s)
            and not holder.is_loading(now_s)
            and holder.versions.get(call.model) == target.versions.get(call.model)
            # A part that is still being read must be there when the target comes to it.
            and self._holders.ready_s(salt, key, holder.name) <= now_s + target.wait_s(0, now_s)
        )

    def _kept_giver(
        self, target: Target, facts: EngineProperties | None, kept_cache: KeptCache
    ) -> _Giver:
        link = min(
            _link_bytes_per_s(facts), kept_cache.link_bytes_per_s or _link_bytes_per_s(facts)
        )
        return _Giver(kept_cache.address, self._factor(kept_cache.data_centre, target), link)

    def _factor(self, data_centre: str, target: Target) -> float:
        """How much longer than usual a transfer from a data centre to a target takes."""
        if data_centre == target.entry.data_centre:
            return 1.0
        is_near = self._regions.get(data_centre) == target.region
        return OTHER_DATA_CENTRE_FACTOR if is_near else OTHER_REGION_FACTOR


def _link_bytes_per_s(facts: EngineProperties | None) -> float:
    return facts.link_bytes_per_s if facts is not None else 0.0


def _transfer_s(giver: _Giver, tokens: int, facts: EngineProperties | None) -> float:
    if facts is None or not giver.link_bytes_per_s:
        return 0.0
    return giver.factor * tokens * facts.token_bytes / giver.link_bytes_per_s
