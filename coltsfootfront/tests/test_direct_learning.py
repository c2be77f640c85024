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
from coltsfootfront.tests.direct_support import KEPT, REGIONS, document, entry, route
from coltsfootfront.tests.support import ManualClock

CURRENT_SALT = "m:1:"


class FakeReader(CachedPartReader):
    """Answers for every address, after a number of refusals."""

    def __init__(self, refusals: int = 0) -> None:
        self.asked: list[str] = []
        self._refusals = refusals

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass

    async def read_parts(self, address: str) -> list[CachedPart] | None:
        self.asked.append(address)
        if self._refusals:
            self._refusals -= 1
            return None
        return [CachedPart(CURRENT_SALT, f"part of {address}"), CachedPart("m:0:", "old")]


class FakeCopies(PeerCaches):
    """Peers that know of the given parts."""

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


class PartLearnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ImmediateClock()
        self.holders = CacheIndex(self.clock)
        self.directory = Directory(self.clock, REGIONS)
        for number in range(12):
            self.directory.put(entry(f"e{number}"))
        self.document = document(route())
        self.document.services["kept"] = Service("kept", kept_cache=KEPT)

    def _learner(self, reader: FakeReader, copies: FakeCopies) -> CacheDiscovery:
        return CacheDiscovery(
            self.clock,
            self.directory,
            self.holders,
            Gossip(lambda kind, fields: None, "east", random.Random(1)),
            copies,
            reader,
            lambda: self.document,
            random.Random(1),
        )

    async def test_parts_are_copied_from_a_peer(self) -> None:
        """Guards against asking all targets whenever a single router restarts."""
        reader = FakeReader()
        copies = FakeCopies("r0", ["r0", "r1"], [(CURRENT_SALT, "doc", "e1")])
        await self._learner(reader, copies).run()
        self.assertEqual([], reader.asked)
        self.assertTrue(self.holders.holds(CURRENT_SALT, "doc", "e1"))
        self.assertFalse(self.holders.is_recently_used(CURRENT_SALT, "doc", "e1"))

    async def test_targets_are_divided_among_the_routers(self) -> None:
        """Guards against a thundering herd: every router asks every target after a restart."""
        for count in (1, 2, 4, 30):
            with self.subTest(count):
                names = [f"r{number}" for number in range(count)]
                asked: list[str] = []
                for name in names:
                    reader = FakeReader()
                    await self._learner(reader, FakeCopies(name, names, [])).run()
                    asked += reader.asked
                addresses = {target.entry.address for target in self.directory.all()}
                self.assertEqual(addresses | {KEPT.address}, set(asked))
                self.assertLessEqual(
                    len(asked), ROUTERS_PER_HOLDER * (len(self.directory.all()) + 1)
                )

    async def test_only_parts_of_current_weights_are_indexed(self) -> None:
        """Guards against an index filled with parts of old weights, which no request can use."""
        await self._learner(FakeReader(), FakeCopies("r0", ["r0"], [])).run()
        key = f"part of {KEPT.address}"
        self.assertTrue(self.holders.holds(CURRENT_SALT, key, kept_cache_name(KEPT.name)))
        self.assertEqual([], list(self.holders.find_holders("m:0:", "old")))

    async def test_target_that_refuses_is_asked_again(self) -> None:
        """Guards against parts that stay unknown because the target was asked by many at once."""
        reader = FakeReader(refusals=2)
        await self._learner(reader, FakeCopies("r0", ["r0"], [])).run()
        self.assertEqual(13, len(list(self.holders.all_locations())))

    async def test_new_router_shares_no_parts(self) -> None:
        """Guards against copying the incomplete index of a router that is new as well."""
        learner = self._learner(FakeReader(), FakeCopies("r0", ["r0"], []))
        self.holders.record_use(CURRENT_SALT, "doc", "e1")
        self.assertEqual([], learner.parts_to_share())
        self.clock.advance(MIN_SHARING_AGE_S)
        self.assertEqual([(CURRENT_SALT, "doc", "e1")], learner.parts_to_share())

    async def test_copied_part_does_not_replace_a_recent_use(self) -> None:
        """Guards against fetching a part from elsewhere because its recent use was overwritten."""
        self.holders.record_use(CURRENT_SALT, "doc", "e1")
        self.holders.record_held(CURRENT_SALT, "doc", "e1")
        self.assertTrue(self.holders.is_recently_used(CURRENT_SALT, "doc", "e1"))
        self.clock.advance(RECENT_USE_S)
        self.assertFalse(self.holders.is_recently_used(CURRENT_SALT, "doc", "e1"))
