"""Tests that a copy of the store is brought up to date as of the moment of a question."""

import asyncio
import random
import unittest
from typing import Any
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import Failure
from coltsfootfront.direct import peers as peers_module
from coltsfootfront.direct.copyupdate import MIN_READ_INTERVAL_S, CopyUpdate
from coltsfootfront.direct.freshness import Freshness
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.storefollower import (
    UPDATE_TIMEOUT_S,
    Changes,
    Follower,
    Item,
    Snapshot,
)
from coltsfootfront.tests.copy_fleet import (
    WIDE_LINK_BYTES_PER_S,
    Link,
    LinkedRouter,
)
from coltsfootfront.tests.support import ManualClock
from coltsfootfront.tests.test_direct_state import UNAVAILABLE, OnePeer, ScriptedStore, _value
from coltsfootfront_dev.platformstore import PlatformStoreStandIn
from coltsfootfront_dev.ports import PortReservations

CALLERS = 20


class CopyUpdateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.freshness = Freshness(self.clock)
        self.update = CopyUpdate(self.clock, self.freshness, self.read)
        self.reads = 0
        self.may_answer = asyncio.Event()
        self.has_failed = False

    async def read(self) -> None:
        self.reads += 1
        sent_s = self.clock.monotonic_s()
        await self.may_answer.wait()
        if not self.has_failed:
            self.freshness.record_complete(sent_s)

    def ask(self) -> asyncio.Task[bool]:
        since_s = self.clock.monotonic_s()
        return asyncio.create_task(self.update.wait(since_s, UPDATE_TIMEOUT_S))

    async def settle(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_read_that_began_before_the_question_does_not_answer_it(self) -> None:
        """Guards against a copy that lacks what was written while it was on its way (ORDER)."""
        first = self.ask()
        await self.settle()
        self.clock.advance(MIN_READ_INTERVAL_S / 2)
        second = self.ask()
        self.may_answer.set()
        await self.settle()
        self.assertTrue(first.done())
        self.assertFalse(second.done())
        self.clock.advance(MIN_READ_INTERVAL_S)
        self.assertTrue(await second)
        self.assertEqual(2, self.reads)

    async def test_all_that_wait_share_a_read(self) -> None:
        """Guards against a call to the store for each stream that is taken up in a burst."""
        self.may_answer.set()
        asked = [self.ask() for _ in range(CALLERS)]
        self.assertEqual([True] * CALLERS, await asyncio.gather(*asked))
        self.assertEqual(1, self.reads)

    async def test_read_that_fails_is_not_repeated_for_the_same_question(self) -> None:
        """Guards against callers that are held, and a store that is asked on, in an outage."""
        self.has_failed = True
        self.may_answer.set()
        self.assertFalse(await self.ask())
        self.assertEqual(1, self.reads)

    async def test_answer_that_is_read_late_counts_from_its_call(self) -> None:
        """Guards against an age counted from when a router that stood still went on (ORDER)."""
        sent_s = self.clock.monotonic_s()
        self.clock.advance(0.9)
        self.freshness.confirm(sent_s)
        self.freshness.record_complete(sent_s)
        self.assertEqual(0.0, self.freshness.age_s())
        self.assertFalse(self.freshness.is_complete_at(sent_s + 0.1))


class FollowerUpdateTest(unittest.IsolatedAsyncioTestCase):
    def make_follower(self, *responses: Any) -> Follower:
        store: Any = ScriptedStore(*responses)
        follower = Follower(
            store, OnePeer(None), SystemClock(), "", lambda item: None, random.Random(1)
        )
        follower._take_snapshot(Snapshot([_value("a", b"1", 5)], 5), 0.0)
        return follower

    async def update(self, *responses: Result[Changes, Failure]) -> tuple[bool, bytes | None]:
        follower = self.make_follower(*responses)
        is_current = await follower.update(SystemClock().monotonic_s())
        return is_current, follower.get("a")

    async def test_store_that_answers_brings_the_copy_up_to_date(self) -> None:
        """Guards against a change that was acknowledged before the question and is missing."""
        found = await self.update(Success(Changes([Item("a", b"2", 9)], 9)))
        self.assertEqual((True, b"2"), found)

    async def test_copy_is_not_current_while_nobody_reads_the_store(self) -> None:
        """Guards against a router that takes its own word for the store's."""
        self.assertEqual((False, b"1"), await self.update(Failed(UNAVAILABLE)))
        # A path that stands still.
        self.assertEqual((False, b"1"), await self.update())


class UpdateThroughPeersTest(unittest.IsolatedAsyncioTestCase):
    """A router whose path to the store stands still, and a peer that reaches the store."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.store.put_json("op/config", {"version": 1})
        self.link = Link(WIDE_LINK_BYTES_PER_S)
        self.addAsyncCleanup(self.link.close)
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.routers = [await self.add(ports.reserve()) for _ in range(2)]
        self.cut, self.peer = self.routers
        for router in self.routers:
            await router.load()
        self.cut.peers.add("peer", self.peer.entry)

    async def add(self, port: int) -> LinkedRouter:
        entry = RouterEntry(f"127.0.0.1:{port}", "a", "east")
        store = (
            self.store.address if self.link.proxies else await self.link.connect(self.store.address)
        )
        router = LinkedRouter(entry, self.link, store, port)
        await self.link.connect(entry.address)
        await router.start()
        self.addAsyncCleanup(router.store.close)
        self.addAsyncCleanup(router.peers.close)
        return router

    async def update(self) -> tuple[bool, bool]:
        """Change a key, and return whether the cut router is told of it, and has it."""
        self.link.proxies[self.store.address].pause()
        self.store.put_json("op/config", {"version": 2})
        is_current = await self.cut.follower.update(SystemClock().monotonic_s())
        return is_current, b"2" in (self.cut.follower.get("op/config") or b"")

    async def test_change_is_read_through_a_peer(self) -> None:
        """Guards against a router without a path to the store that its peers could tell (ORDER)."""
        self.assertEqual((True, True), await self.update())

    async def test_peer_that_does_not_reach_the_store_confirms_nothing(self) -> None:
        """Guards against two routers out of step that confirm each other (ORDER)."""
        self.store.faults.refuses = True
        self.assertEqual((False, False), await self.update())

    async def test_copy_of_a_peer_of_an_earlier_version_confirms_nothing(self) -> None:
        """Guards against a copy that was not read for this question (ORDER)."""
        answer = self.peer.peers._answer_copy

        async def answer_as_before(request: Any, follower: Follower) -> Any:
            response = await answer(request, follower)
            response.headers.pop(peers_module.CURRENT_COPY_HEADER, None)
            return response

        with mock.patch.object(self.peer.peers, "_answer_copy", answer_as_before):
            self.assertFalse((await self.update())[0])


if __name__ == "__main__":
    unittest.main()
