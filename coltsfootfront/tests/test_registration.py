"""Tests of a router's entry in the store."""

import asyncio
import random
import unittest

from coltsfootfront.direct.registration import (
    LEASE_TTL_S,
    RENEWALS_PER_TTL,
    ROUTER_PREFIX,
    Registration,
    RouterEntry,
)
from coltsfootfront.tests.support import InMemoryStore, ManualClock, run_ready_tasks

KEY = ROUTER_PREFIX + "router-1"
STEP_S = 0.1
# Entries are back within this time after a restore.
RETURN_S = 2.0


class RestoredStore(InMemoryStore):
    """Store whose client learns of a restore from the answers to its own calls."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.told_era = 1
        self.current_era = 1

    @property
    def era(self) -> int:
        return self.told_era

    def restore(self) -> None:
        """Go back to before the router's entry was written; its lease stays."""
        self.values.clear()
        self.current_era += 1

    def _next_fault(self) -> str:
        self.told_era = self.current_era
        return super()._next_fault()


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.store = RestoredStore(self.clock)
        entry = RouterEntry("127.0.0.1:1", "a", "east")
        self.registration = Registration(
            self.store, self.clock, "router-1", entry, random.Random(1)
        )
        self.task = asyncio.create_task(self.registration.run())
        self.addCleanup(self.task.cancel)

    async def wait(self, for_s: float) -> None:
        for _ in range(round(for_s / STEP_S)):
            await run_ready_tasks(10)
            self.clock.advance(STEP_S)
        await run_ready_tasks(10)

    async def test_router_that_hears_of_a_restore_from_others_registers_at_once(self) -> None:
        """Guards against routers that the others do not know of for seconds after a restore."""
        await self.wait(1.0)
        self.assertIn(KEY, self.store.values)
        self.store.restore()
        self.registration.register_again()
        await self.wait(RETURN_S)
        self.assertIn(KEY, self.store.values)

    async def test_restore_that_a_renewal_tells_of_is_acted_on_at_once(self) -> None:
        """Guards against a router that finds out by itself and waits for another renewal."""
        await self.wait(1.0)
        self.store.restore()
        await self.wait(LEASE_TTL_S / RENEWALS_PER_TTL + RETURN_S)
        self.assertIn(KEY, self.store.values)

    async def test_router_that_has_deregistered_stays_away(self) -> None:
        """Guards against a router that leaves and registers once more as it is woken."""
        await self.wait(1.0)
        await self.registration.deregister()
        self.registration.register_again()
        await self.wait(RETURN_S)
        self.assertNotIn(KEY, self.store.values)

    async def test_calm_router_only_renews_its_lease(self) -> None:
        """Guards against calls to the store that no restore pays for."""
        await self.wait(1.0)
        revision = self.store.revision
        await self.wait(3 * LEASE_TTL_S)
        self.assertEqual(revision, self.store.revision)


if __name__ == "__main__":
    unittest.main()
