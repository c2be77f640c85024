"""Tests of what a router learns of held parts after its start."""

import random
import unittest

from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.cacheindex import FRESH_S, CacheIndex, kept_cache_name
from coltsfootfront.direct.cachediscovery import (
    READERS,
    SEASONED_S,
    CachedPart,
    CachedPartLocation,
    PeerCaches,
    CacheDiscovery,
    CachedPartReader,
)
from coltsfootfront.direct.routingconfig import Service
from coltsfootfront.tests.direct_support import KEPT, REGIONS, document, entry, route
from coltsfootfront.tests.support import ManualClock

CURRENT = "m:1:"


class FakeReader(CachedPartReader):
    """Answers for every address, after some refusals."""

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
        return [CachedPart(CURRENT, f"part of {address}"), CachedPart("m:0:", "old")]


class FakeCopies(PeerCaches):
    """Routers that know the given parts."""

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

    async def test_peer_that_knows_is_believed(self) -> None:
        """Guards against targets that each restart of a router asks."""
        reader = FakeReader()
        copies = FakeCopies("r0", ["r0", "r1"], [(CURRENT, "doc", "e1")])
        await self._learner(reader, copies).run()
        self.assertEqual([], reader.asked)
        self.assertTrue(self.holders.holds(CURRENT, "doc", "e1"))
        self.assertFalse(self.holders.is_recently_used(CURRENT, "doc", "e1"))

    async def test_targets_are_shared_among_the_routers(self) -> None:
        """Guards against a herd of routers that all ask every target."""
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
                self.assertLessEqual(len(asked), READERS * (len(self.directory.all()) + 1))

    async def test_only_parts_of_current_weights_are_taken(self) -> None:
        """Guards against memory that is filled with parts which nobody can use."""
        await self._learner(FakeReader(), FakeCopies("r0", ["r0"], [])).run()
        key = f"part of {KEPT.address}"
        self.assertTrue(self.holders.holds(CURRENT, key, kept_cache_name(KEPT.name)))
        self.assertEqual([], list(self.holders.find_holders("m:0:", "old")))

    async def test_target_that_refuses_is_asked_again(self) -> None:
        """Guards against parts that stay unknown since many routers asked at once."""
        reader = FakeReader(refusals=2)
        await self._learner(reader, FakeCopies("r0", ["r0"], [])).run()
        self.assertEqual(13, len(list(self.holders.all_locations())))

    async def test_new_router_tells_nothing_yet(self) -> None:
        """Guards against routers that take over the little that another new one has heard."""
        learner = self._learner(FakeReader(), FakeCopies("r0", ["r0"], []))
        self.holders.record_use(CURRENT, "doc", "e1")
        self.assertEqual([], learner.parts_to_share())
        self.clock.advance(SEASONED_S)
        self.assertEqual([(CURRENT, "doc", "e1")], learner.parts_to_share())

    async def test_what_is_learned_does_not_replace_what_is_known(self) -> None:
        """Guards against a fresh part that is asked for elsewhere since it seems old."""
        self.holders.record_use(CURRENT, "doc", "e1")
        self.holders.record_held(CURRENT, "doc", "e1")
        self.assertTrue(self.holders.is_recently_used(CURRENT, "doc", "e1"))
        self.clock.advance(FRESH_S)
        self.assertFalse(self.holders.is_recently_used(CURRENT, "doc", "e1"))
