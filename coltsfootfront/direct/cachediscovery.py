"""Learns after a start which parts of prompts targets and kept caches still hold.

Targets and kept caches outlive the routers. A router that has just started and knows of no parts
would have every dossier read again; that load answers a restart of single routers, or of all of
them at once. It asks its peers first. When these have just started as well, each target is asked
by a few routers only, which tell the others.
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
from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.cacheindex import CacheIndex, kept_cache_name
from coltsfootfront.direct.targetselection import is_salt_of
from coltsfootfront.direct.routingconfig import RoutingConfig

log = logbook.Logger(__name__)

CachedPartLocation = tuple[str, str, str]
"""Salt, key and holder of a part."""

# Routers that ask one target; more than one, since any of them may be going down again.
READERS = 2
POLL_S = 0.05
# Entries of targets are in the store when a router reads it first.
SETTLE_S = 0.1
# A router tells others what it knows from this time after its start; before, it has heard only a
# part of what its peers have learned.
SEASONED_S = 3.0
# A target answers few such calls at once and refuses the others.
MAX_TRIES = 3
RETRY_S = 0.3


@dataclass(frozen=True, slots=True)
class CachedPart:
    """A part of a prompt that a target or kept cache holds."""

    salt: str
    key: str


class CachedPartReader(ABC):
    """Asks targets and kept caches which parts they hold."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for questions."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""

    @abstractmethod
    async def read_parts(self, address: str) -> list[CachedPart] | None:
        """Parts that are held at an address; None when it does not answer now."""


class PeerCaches(ABC):
    """What peers know of the parts."""

    @abstractmethod
    async def read_parts(self) -> list[CachedPartLocation]:
        """Salt, key and holder of all parts that a peer knows of; empty when none does."""

    @abstractmethod
    def names(self) -> list[str]:
        """Names of all routers, this one included, alike at every router."""

    @abstractmethod
    def own_name(self) -> str:
        """Name of this router among them."""


class CacheDiscovery:
    """Fills the holders once.

    :param find_document: returns the configuration in force.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        holders: CacheIndex,
        gossip: Gossip,
        copies: PeerCaches,
        reader: CachedPartReader,
        find_document: Callable[[], RoutingConfig],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._holders = holders
        self._gossip = gossip
        self._copies = copies
        self._reader = reader
        self._find_document = find_document
        self._generator = generator
        self._started_s = clock.monotonic_s()

    def parts_to_share(self) -> list[CachedPartLocation]:
        """What a router that has just started may take over; empty while this one is new."""
        if self._clock.monotonic_s() - self._started_s < SEASONED_S:
            return []
        return list(self._holders.all_locations())

    async def run(self) -> None:
        """Learn what is held; returns when that is done."""
        while not self._find_document().number or not self._engines():
            await self._clock.sleep(POLL_S)
        await self._clock.sleep(SETTLE_S)
        known = await self._copies.read_parts()
        if known:
            self._take(known)
            log.info(event("parts_learned", by="peer", parts=len(known)))
            return
        await asyncio.gather(
            *(self._ask(holder, address) for holder, address in self._own_share().items())
        )

    def _engines(self) -> dict[str, str]:
        """Addresses of the model engines by name."""
        return {
            target.name: target.entry.address
            for target in self._directory.all()
            if target.versions and target.is_usable()
        }

    def _own_share(self) -> dict[str, str]:
        """Addresses that this router asks, by the name of the holder."""
        routers = self._copies.names()
        own_name = self._copies.own_name()
        holders = self._engines()
        for cache in self._find_document().kept_caches():
            holders[kept_cache_name(cache.name)] = cache.address
        return {
            holder: address
            for holder, address in holders.items()
            if own_name in rank(holder.encode(), routers, READERS)
        }

    async def _ask(self, holder: str, address: str) -> None:
        for number in range(MAX_TRIES):
            if number:
                await self._clock.sleep(self._generator.uniform(0, RETRY_S))
            parts = await self._reader.read_parts(address)
            if parts is None:
                continue
            known = [(part.salt, part.key, holder) for part in parts if self._is_current(part.salt)]
            self._take(known)
            self._gossip.queue_learned(known)
            log.info(event("parts_learned", by=holder, parts=len(known), of=len(parts)))
            return
        log.info(event("parts_not_learned", by=holder, tries=MAX_TRIES))

    def _is_current(self, salt: str) -> bool:
        return any(
            is_salt_of(salt, model, version)
            for target in self._directory.all()
            for model, version in target.versions.items()
        )

    def _take(self, known: list[CachedPartLocation]) -> None:
        for salt, key, holder in known:
            self._holders.record_held(salt, key, holder)
