"""Tests of leases."""

import asyncio
import unittest

from returns.result import Success

from coltsfootfront.keyvalue.leases import LoadSlots, TargetLease
from coltsfootfront.tests.support import ManualClock, InMemoryStore, run_ready_tasks

KEY = "leases/target/t"


class LeasesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)

    def _lease(self, agent: str) -> TargetLease:
        return TargetLease(self.store, self.clock, "t", agent, 10.0, 20.0)

    async def _take(self, lease: TargetLease, checks_fencing: bool = False) -> bool | str:
        taken = await lease.acquire(checks_fencing)
        return taken.unwrap() if isinstance(taken, Success) else taken.failure().kind.value

    async def test_one_holder(self) -> None:
        """Guards against two agents that give orders to one target."""
        first, second = self._lease("a"), self._lease("b")
        self.assertTrue(await self._take(first))
        self.assertFalse(await self._take(second))
        self.assertFalse(second.is_held)
        await first.release(clean=True)
        self.assertTrue(await self._take(second), "no wait after a clean release")
        self.assertGreater(second.fencing_token, first.fencing_token)

    async def test_a_paused_holder_notices(self) -> None:
        """Guards against orders by a holder whose lease ended while it was stopped."""
        lease = self._lease("a")
        await self._take(lease)
        self.clock.advance(6)
        self.assertTrue(lease.is_held)
        self.clock.advance(2)
        self.assertFalse(lease.is_held, "within the margin")
        self.assertTrue(await lease.renew())
        self.clock.advance(11)
        self.assertFalse(lease.is_held)
        self.assertFalse(await lease.renew(), "the store no longer knows the lease")
        lease = self._lease("a")
        await self._take(lease)
        lease.invalidate()
        self.assertFalse(lease.is_held)

    async def test_a_successor_waits_for_orders_under_way(self) -> None:
        """Guards against a successor whose order meets that of a holder that disappeared."""
        cases = [(False, False, True), (True, False, False), (False, True, False)]
        for checks_fencing, same_agent, waits in cases:
            with self.subTest(checks_fencing=checks_fencing, same_agent=same_agent):
                self.setUp()
                await self._take(self._lease("a"))
                self.clock.advance(11)
                successor = self._lease("a" if same_agent else "b")
                taking = asyncio.create_task(self._take(successor, checks_fencing))
                await run_ready_tasks()
                for _ in range(12 if waits else 0):
                    self.assertFalse(taking.done())
                    self.clock.advance(2.5)
                    await run_ready_tasks()
                self.assertTrue(taking.done())
                self.assertTrue(await asyncio.wait_for(taking, 1.0))
                self.assertTrue(successor.is_held)

    async def test_a_release_with_an_order_under_way_is_not_clean(self) -> None:
        """Guards against a successor that does not wait for an order without answer."""
        first = self._lease("a")
        await self._take(first)
        await first.release(clean=False)
        taking = asyncio.create_task(self._take(self._lease("b")))
        await run_ready_tasks()
        self.assertFalse(taking.done())
        taking.cancel()
        await asyncio.gather(taking, return_exceptions=True)

    async def test_faults_of_the_store(self) -> None:
        """Guards against a lease that is believed to be held, or held and forgotten."""
        cases: dict[str, tuple[list[str], bool | str]] = {
            "down": (["down"], "store_unavailable"),
            "down at the grant": (["ok", "down"], "store_unavailable"),
            "down at the write": (["ok", "ok", "down"], "store_unavailable"),
            "answer lost": (["ok", "ok", "lost"], True),
            "write dropped": (["ok", "ok", "dropped"], False),
            "answer lost, read fails": (["ok", "ok", "lost", "down"], "store_unavailable"),
        }
        for name, (faults, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.store.faults = list(faults)
                lease = self._lease("a")
                self.assertEqual(expected, await self._take(lease))
                self.assertEqual(expected is True, lease.is_held)
                self.store.faults = []
                self.assertEqual(expected is not True, await self._take(self._lease("a")))

    async def test_keeping_through_an_outage(self) -> None:
        """Guards against trust in a lease that could not be extended."""
        lease = self._lease("a")
        await self._take(lease)
        keeper = asyncio.create_task(lease.renew_forever())
        await run_ready_tasks()
        for _ in range(10):
            self.clock.advance(2.5)
            await run_ready_tasks()
            self.assertTrue(lease.is_held)
        self.store.mode = "down"
        for _ in range(4):
            self.clock.advance(2.5)
            await run_ready_tasks()
        self.assertFalse(lease.is_held)
        keeper.cancel()
        await asyncio.gather(keeper, return_exceptions=True)

    async def test_two_load_slots(self) -> None:
        """Guards against more than two loads of weights at once."""
        slots = [LoadSlots(self.store, self.clock, 20.0) for _ in range(3)]
        held = [(await item.acquire()).unwrap() for item in slots]
        self.assertEqual([True, True, False], [item is not None for item in held])
        assert held[0] is not None
        await held[0].release()
        self.assertIsNotNone((await slots[2].acquire()).unwrap())
        self.clock.advance(21)
        self.assertIsNotNone((await slots[2].acquire()).unwrap(), "a holder that disappeared")
