"""Tests of lease-based locks."""

import asyncio
import unittest

from returns.result import Success

from coltsfootfront.keyvalue.leases import LeaseLock, LoadSlots, TargetLease
from coltsfootfront.tests.support import InMemoryStore, ManualClock, run_ready_tasks

KEY = "leases/target/t"


class LeasesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)

    def _lease(self, agent: str) -> TargetLease:
        return TargetLease(self.store, self.clock, "t", agent, 10.0, 20.0)

    async def _acquire(self, lease: TargetLease, checks_fencing: bool = False) -> bool | str:
        acquired = await lease.acquire(checks_fencing)
        return acquired.unwrap() if isinstance(acquired, Success) else acquired.failure().kind.value

    async def test_one_holder(self) -> None:
        """Guards against two agents that send orders to one target."""
        first, second = self._lease("a"), self._lease("b")
        self.assertTrue(await self._acquire(first))
        self.assertFalse(await self._acquire(second))
        self.assertFalse(second.is_held)
        await first.release(clean=True)
        self.assertTrue(await self._acquire(second), "no wait after a clean release")
        self.assertGreater(second.fencing_token, first.fencing_token)

    async def test_a_paused_holder_detects_its_expired_lease(self) -> None:
        """Guards against orders from a holder whose lease expired while its process was stopped."""
        lease = self._lease("a")
        await self._acquire(lease)
        self.clock.advance(6)
        self.assertTrue(lease.is_held)
        self.clock.advance(2)
        self.assertFalse(lease.is_held, "within the safety margin")
        self.assertTrue(await lease.renew())
        self.clock.advance(11)
        self.assertFalse(lease.is_held)
        self.assertFalse(await lease.renew(), "the lease no longer exists in the store")
        lease = self._lease("a")
        await self._acquire(lease)
        lease.invalidate()
        self.assertFalse(lease.is_held)

    async def test_lease_ends_when_the_store_is_restored(self) -> None:
        """Guards against two holders after a restore, and against fencing tokens that fall."""
        first, second = (LeaseLock(self.store, self.clock, KEY, 10.0) for _ in range(2))
        self.store.current_era = 1
        self.assertTrue((await first.acquire()).unwrap())
        self.assertTrue(first.is_held)
        # The store goes back to before the lease, and gives out its number and revision again.
        self.store.values.clear()
        self.store.leases.clear()
        self.store.revision = 50
        self.store.current_era = 2
        self.assertFalse(first.is_held)
        self.assertTrue((await second.acquire()).unwrap())
        self.assertGreater(second.fencing_token, first.fencing_token)
        self.store.leases[first._lease] = (10.0, self.clock.monotonic_s() + 10.0)
        self.assertFalse(await first.renew())
        await first.release()
        self.assertTrue(second.is_held)
        self.assertEqual(2, len(self.store.leases))

    async def test_a_successor_waits_for_orders_in_progress(self) -> None:
        """Guards against orders of a new holder that overlap with those of a failed holder."""
        cases = [(False, False, True), (True, False, False), (False, True, False)]
        for checks_fencing, same_agent, waits in cases:
            with self.subTest(checks_fencing=checks_fencing, same_agent=same_agent):
                self.setUp()
                await self._acquire(self._lease("a"))
                self.clock.advance(11)
                successor = self._lease("a" if same_agent else "b")
                acquiring = asyncio.create_task(self._acquire(successor, checks_fencing))
                await run_ready_tasks()
                for _ in range(12 if waits else 0):
                    self.assertFalse(acquiring.done())
                    self.clock.advance(2.5)
                    await run_ready_tasks()
                self.assertTrue(acquiring.done())
                self.assertTrue(await asyncio.wait_for(acquiring, 1.0))
                self.assertTrue(successor.is_held)

    async def test_a_release_with_an_order_in_progress_is_not_clean(self) -> None:
        """Guards against a new holder that does not wait for an order without response."""
        first = self._lease("a")
        await self._acquire(first)
        await first.release(clean=False)
        acquiring = asyncio.create_task(self._acquire(self._lease("b")))
        await run_ready_tasks()
        self.assertFalse(acquiring.done())
        acquiring.cancel()
        await asyncio.gather(acquiring, return_exceptions=True)

    async def test_faults_of_the_store(self) -> None:
        """Guards against wrongly assuming a lock is held, or leaving one behind after a failure."""
        cases: dict[str, tuple[list[str], bool | str]] = {
            "down": (["down"], "store_unavailable"),
            "down at the grant": (["ok", "down"], "store_unavailable"),
            "down at the write": (["ok", "ok", "down"], "store_unavailable"),
            "response lost": (["ok", "ok", "lost"], True),
            "write dropped": (["ok", "ok", "dropped"], False),
            "response lost, read fails": (["ok", "ok", "lost", "down"], "store_unavailable"),
        }
        for name, (faults, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.store.faults = list(faults)
                lease = self._lease("a")
                self.assertEqual(expected, await self._acquire(lease))
                self.assertEqual(expected is True, lease.is_held)
                self.store.faults = []
                self.assertEqual(expected is not True, await self._acquire(self._lease("a")))

    async def test_renewal_through_an_outage(self) -> None:
        """Guards against relying on a lease that could not be renewed."""
        lease = self._lease("a")
        await self._acquire(lease)
        renewal = asyncio.create_task(lease.renew_forever())
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
        renewal.cancel()
        await asyncio.gather(renewal, return_exceptions=True)

    async def test_two_load_slots(self) -> None:
        """Guards against more than two concurrent loads of weights."""
        slots = [LoadSlots(self.store, self.clock, 20.0) for _ in range(3)]
        held = [(await item.acquire()).unwrap() for item in slots]
        self.assertEqual([True, True, False], [item is not None for item in held])
        assert held[0] is not None
        await held[0].release()
        self.assertIsNotNone((await slots[2].acquire()).unwrap())
        self.clock.advance(21)
        self.assertIsNotNone(
            (await slots[2].acquire()).unwrap(), "the slot of a failed holder expires"
        )
