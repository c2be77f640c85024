"""Rebuilds the index of cached prompt parts after a router starts.

Targets and kept caches keep their contents when one router or all of them restart. A router
that started with an empty index would have every shared prompt prefilled again. It reads the index
of a peer first. If all peers have just started as well, each target is queried by a few routers
only, which send the result to the others.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.cacheindex import CacheIndex, kept_cache_name
from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.routingconfig import RoutingConfig
from coltsfootfront.direct.targetselection import has_salt_version

log = logbook.Logger(__name__)

CachedPartLocation = tuple[str, str, str]
"""Salt, key and holder of a part."""

# Number of routers that query each holder; more than one, since any of them may stop meanwhile.
ROUTERS_PER_HOLDER = 2
CONFIG_POLL_INTERVAL_S = 0.05
# Wait for the entries of the remaining targets, which the first read of the store brings.
STORE_READ_DELAY_S = 0.1
# Age from which a router shares its index with peers; until then the index may be incomplete.
MIN_SHARING_AGE_S = 3.0
# Targets refuse calls beyond a few concurrent ones, so a refused call is retried.
MAX_READ_ATTEMPTS = 3
MAX_RETRY_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class CachedPart:
    """A prompt part whose KV cache a target or kept cache has."""

    salt: str
    key: str


class CachedPartReader(ABC):
    """Reads which parts targets and kept caches have."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare the client."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""

    @abstractmethod
    async def read_parts(self, address: str) -> list[CachedPart] | None:
        """Parts cached at an address; None when it refuses or does not answer."""


class PeerCaches(ABC):
    """Access to the indexes of cached parts of peer routers."""

    @abstractmethod
    async def read_parts(self) -> list[CachedPartLocation]:
        """Salt, key and holder of all parts in a peer's index; empty when no peer has any."""

    @abstractmethod
    def names(self) -> list[str]:
        """Names of all routers, this one included; the same at every router."""

    @abstractmethod
    def own_name(self) -> str:
        """Name of this router among them."""


class CacheDiscovery:
    """Fills the index of cached parts once after a start.

    :param peer_caches: access to the indexes of peers.
    :param reader: reads which parts targets and kept caches have.
    :param get_config: returns the configuration in force.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        cache_index: CacheIndex,
        gossip: Gossip,
        peer_caches: PeerCaches,
        reader: CachedPartReader,
        get_config: Callable[[], RoutingConfig],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._cache_index = cache_index
        self._gossip = gossip
        self._peer_caches = peer_caches
        self._reader = reader
        self._get_config = get_config
        self._generator = generator
        self._started_s = clock.monotonic_s()

    def parts_to_share(self) -> list[CachedPartLocation]:
        """Parts that a starting peer may copy; empty while this router is itself new."""
        if self._clock.monotonic_s() - self._started_s < MIN_SHARING_AGE_S:
            return []
        return list(self._cache_index.all_locations())

    async def run(self) -> None:
        """Fill the index, then return."""
        while not self._get_config().number or not self._engines():
            await self._clock.sleep(CONFIG_POLL_INTERVAL_S)
        await self._clock.sleep(STORE_READ_DELAY_S)
        locations = await self._peer_caches.read_parts()
        if locations:
            self._add_parts(locations)
            log.info(event("parts_learned", by="peer", parts=len(locations)))
            return
        await asyncio.gather(
            *(
                self._read_holder(holder, address)
                for holder, address in self._assigned_holders().items()
            )
        )

    def _engines(self) -> dict[str, str]:
        """Addresses of the model engines by name."""
        return {
            target.name: target.entry.address
            for target in self._directory.all()
            if target.versions and target.is_usable()
        }

    def _assigned_holders(self) -> dict[str, str]:
        """Addresses of the holders that this router must query, by name."""
        routers = self._peer_caches.names()
        own_name = self._peer_caches.own_name()
        holders = self._engines()
        for cache in self._get_config().kept_caches():
            holders[kept_cache_name(cache.name)] = cache.address
        return {
            holder: address
            for holder, address in holders.items()
            if own_name in rank(holder.encode(), routers, ROUTERS_PER_HOLDER)
        }

    async def _read_holder(self, holder: str, address: str) -> None:
        for number in range(MAX_READ_ATTEMPTS):
            if number:
                await self._clock.sleep(self._generator.uniform(0, MAX_RETRY_DELAY_S))
            parts = await self._reader.read_parts(address)
            if parts is None:
                continue
            locations = [
                (part.salt, part.key, holder) for part in parts if self._is_current(part.salt)
            ]
            self._add_parts(locations)
            self._gossip.queue_learned(locations)
            log.info(event("parts_learned", by=holder, parts=len(locations), of=len(parts)))
            return
        log.info(event("parts_not_learned", by=holder, tries=MAX_READ_ATTEMPTS))

    def _is_current(self, salt: str) -> bool:
        return any(
            has_salt_version(salt, model, version)
            for target in self._directory.all()
            for model, version in target.versions.items()
        )

    def _add_parts(self, locations: list[CachedPartLocation]) -> None:
        for salt, key, holder in locations:
            self._cache_index.record_held(salt, key, holder)
