"""Tests of rebuilding the index of cached parts after a router starts."""

import random
import unittest

from coltsfootfront.direct.cachediscovery import (
    MIN_SHARING_AGE_S,
    ROUTERS_PER_HOLDER,
    CacheDiscovery,
    CachedPart,
    CachedPartLocation,
    CachedPartReader,
    PeerCaches,
)
from coltsfootfront.direct.cacheindex import RECENT_USE_S, CacheIndex, kept_cache_name
from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.routingconfig import Service
from coltsfootfront.tests.direct_support import (
    KEPT_CACHE,
    REGIONS,
    make_config,
    make_entry,
    make_route,
)
from coltsfootfront.tests.support import ManualClock

CURRENT_SALT = "m:1:"


class FakePartReader(CachedPartReader):
    """Answers for every address, after a number of refusals."""

    def __init__(self, refusals: int = 0) -> None:
        self.queried: list[str] = []
        self._refusals = refusals

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass

    async def read_parts(self, address: str) -> list[CachedPart] | None:
        self.queried.append(address)
        if self._refusals:
            self._refusals -= 1
            return None
        return [CachedPart(CURRENT_SALT, f"part of {address}"), CachedPart("m:0:", "old")]


class FakePeerCaches(PeerCaches):
    """Peers whose indexes list the given parts."""

    def __init__(self, own_name: str, names: list[str], parts: list[CachedPartLocation]) -> None:
        self._own_name = own_name
        self._names = names
        self._parts = parts

    async def read_parts(self) -> list[CachedPartLocation]:
        return self._parts

    def names(self) -> list[str]:
        return self._names

    def own_name(self) -> str:
        return self._own_name


class ImmediateClock(ManualClock):
    """Clock whose sleeps end at once."""

    async def sleep(self, delay_s: float) -> None:
        self.advance(delay_s)


class CacheDiscoveryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ImmediateClock()
        self.cache_index = CacheIndex(self.clock)
        self.directory = Directory(self.clock, REGIONS)
        for number in range(12):
            self.directory.put(make_entry(f"e{number}"))
        self.config = make_config(make_route())
        self.config.services["kept"] = Service("kept", kept_cache=KEPT_CACHE)

    def _make_discovery(
        self, reader: FakePartReader, peer_caches: FakePeerCaches
    ) -> CacheDiscovery:
        return CacheDiscovery(
            self.clock,
            self.directory,
            self.cache_index,
            Gossip(lambda kind, fields: None, "east", random.Random(1)),
            peer_caches,
            reader,
            lambda: self.config,
            random.Random(1),
        )

    async def test_parts_are_copied_from_a_peer(self) -> None:
        """Guards against querying all targets whenever a single router restarts."""
        reader = FakePartReader()
        peer_caches = FakePeerCaches("r0", ["r0", "r1"], [(CURRENT_SALT, "doc", "e1")])
        await self._make_discovery(reader, peer_caches).run()
        self.assertEqual([], reader.queried)
        self.assertTrue(self.cache_index.holds(CURRENT_SALT, "doc", "e1"))
        self.assertFalse(self.cache_index.is_recently_used(CURRENT_SALT, "doc", "e1"))

    async def test_targets_are_divided_among_the_routers(self) -> None:
        """Guards against a thundering herd: every router queries every target after a restart."""
        for count in (1, 2, 4, 30):
            with self.subTest(count):
                names = [f"r{number}" for number in range(count)]
                queried: list[str] = []
                for name in names:
                    reader = FakePartReader()
                    await self._make_discovery(reader, FakePeerCaches(name, names, [])).run()
                    queried += reader.queried
                addresses = {target.entry.address for target in self.directory.all()}
                self.assertEqual(addresses | {KEPT_CACHE.address}, set(queried))
                self.assertLessEqual(
                    len(queried), ROUTERS_PER_HOLDER * (len(self.directory.all()) + 1)
                )

    async def test_only_parts_of_current_weights_are_indexed(self) -> None:
        """Guards against an index filled with parts of old weights, which no request can use."""
        await self._make_discovery(FakePartReader(), FakePeerCaches("r0", ["r0"], [])).run()
        key = f"part of {KEPT_CACHE.address}"
        self.assertTrue(self.cache_index.holds(CURRENT_SALT, key, kept_cache_name(KEPT_CACHE.name)))
        self.assertEqual([], list(self.cache_index.find_holders("m:0:", "old")))

    async def test_target_that_refuses_is_queried_again(self) -> None:
        """Guards against parts that are not indexed as many routers queried the target at once."""
        reader = FakePartReader(refusals=2)
        await self._make_discovery(reader, FakePeerCaches("r0", ["r0"], [])).run()
        self.assertEqual(13, len(list(self.cache_index.all_locations())))

    async def test_new_router_shares_no_parts(self) -> None:
        """Guards against copying the incomplete index of a router that is new as well."""
        discovery = self._make_discovery(FakePartReader(), FakePeerCaches("r0", ["r0"], []))
        self.cache_index.record_use(CURRENT_SALT, "doc", "e1")
        self.assertEqual([], discovery.parts_to_share())
        self.clock.advance(MIN_SHARING_AGE_S)
        self.assertEqual([(CURRENT_SALT, "doc", "e1")], discovery.parts_to_share())

    async def test_copied_part_does_not_replace_a_recent_use(self) -> None:
        """Guards against fetching a part from elsewhere because its recent use was overwritten."""
        self.cache_index.record_use(CURRENT_SALT, "doc", "e1")
        self.cache_index.record_held(CURRENT_SALT, "doc", "e1")
        self.assertTrue(self.cache_index.is_recently_used(CURRENT_SALT, "doc", "e1"))
        self.clock.advance(RECENT_USE_S)
        self.assertFalse(self.cache_index.is_recently_used(CURRENT_SALT, "doc", "e1"))
