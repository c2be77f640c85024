"""Tests of what a holder of the orders' lease leaves to the next one."""

import asyncio
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from coltsfootfront.direct import orders
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.handover import HANDOVER_KEY, HandoverRecord
from coltsfootfront.direct.orders import OrderClient, OrderIssuer, OrderResult, TargetState
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.keyvalue.leases import LeaseLock
from coltsfootfront.keyvalue.store import Put, Transaction
from coltsfootfront.tests.direct_support import MODEL, REGIONS, make_entry
from coltsfootfront.tests.support import InMemoryStore, ManualClock, run_ready_tasks

LEASE_KEY = "orders"
TTL_S = 2.0
# Orders of two holders have to be this far apart.
SETTLE_S = 3.0
STEP_S = 0.1


class RecordingClient(OrderClient):
    """Records when each order is sent."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.sent_s: list[float] = []

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass

    async def load_version(
        self,
        target: Target,
        model: str,
        version: int,
        accepted_orders: int,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        self.sent_s.append(self._clock.monotonic_s())
        return OrderResult.BUSY

    async def read_state(self, target: Target) -> TargetState | None:
        return TargetState({MODEL: 1}, 0, False, 0, 0)


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)
        self.store.current_era = 1
        self.has_copy = True

    def make_holder(self) -> tuple[OrderIssuer, RecordingClient]:
        directory = Directory(self.clock, REGIONS)
        versions = WeightVersions(self.clock, directory, 10.0, 4.0)
        directory.put(replace(make_entry("e1"), started_ms=2))
        client = RecordingClient(self.clock)
        store = self.store
        record = HandoverRecord(
            lambda key: store.values[key].value if key in store.values else None,
            lambda key: store.values[key].mod_revision if key in store.values else 0,
            lambda: self.has_copy,
            lambda: store.era,
        )
        issuer = OrderIssuer(
            self.clock,
            LeaseLock(store, self.clock, LEASE_KEY, TTL_S),
            SETTLE_S,
            record,
            directory,
            versions,
            client,
            lambda target, model, version, time_s: None,
            lambda target, model, version: None,
            random.Random(1),
        )
        versions.record_published(MODEL, 2, self.clock.monotonic_s())
        return issuer, client

    async def hold(self, for_s: float, is_killed: bool = False) -> list[float]:
        """Let a router take the lease, hold it for some time, and resign.

        :returns: when it sent orders.
        """
        issuer, client = self.make_holder()
        task = asyncio.create_task(issuer.run())
        for _ in range(round(for_s / STEP_S)):
            await run_ready_tasks(10)
            self.clock.advance(STEP_S)
        await run_ready_tasks(10)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if not is_killed:
            await issuer.resign()
        return client.sent_s

    async def test_holders_that_resign_in_turn_begin_the_wait_once(self) -> None:
        """Guards against weights that stay old while routers are stopped in series (VERSION)."""
        await self.hold(SETTLE_S + 2.0)
        stopped_s = self.clock.monotonic_s()
        for _ in range(3):
            self.assertEqual([], await self.hold(SETTLE_S / 3))
        sent_s = await self.hold(SETTLE_S)
        self.assertLess(sent_s[0] - stopped_s, 3 * SETTLE_S)

    async def test_router_that_has_just_started_reads_what_is_left_before_it_takes_the_lease(
        self,
    ) -> None:
        """Guards against a wait begun anew for a copy that is not read yet (VERSION)."""
        await self.hold(SETTLE_S - 0.5)
        self.has_copy = False
        self.assertEqual([], await self.hold(1.0))
        self.has_copy = True
        began_s = self.clock.monotonic_s()
        sent_s = await self.hold(SETTLE_S)
        self.assertLess(sent_s[0] - began_s, SETTLE_S)

    async def test_router_that_stops_does_not_wait_for_a_slow_store(self) -> None:
        """Guards against connections that stay open past the stop for a lease (DRAIN)."""
        issuer, _ = self.make_holder()
        with (
            mock.patch.object(issuer._lease, "release", lambda left: asyncio.sleep(60)),
            mock.patch.object(orders, "RESIGN_TIMEOUT_S", 0.05),
        ):
            async with asyncio.timeout(1.0):
                await issuer.resign()

    async def test_orders_of_two_holders_are_apart(self) -> None:
        """Guards against a holder that begins too soon after the orders of another (ONE)."""
        for pauses_s in ((0.0,), (1.0,), (0.3, 0.3, 0.3), (2.0, 0.1)):
            with self.subTest(pauses_s):
                self.setUp()
                first_s = await self.hold(SETTLE_S + 2.0)
                for pause_s in pauses_s:
                    await self.hold(pause_s)
                later_s = await self.hold(3 * SETTLE_S)
                self.assertGreaterEqual(later_s[0] - first_s[-1], SETTLE_S)

    async def test_killed_holder_leaves_nothing(self) -> None:
        """Guards against what an earlier holder has left, after orders of another (ONE)."""
        await self.hold(0.5)
        first_s = await self.hold(SETTLE_S + 2.0, is_killed=True)
        self.clock.advance(TTL_S)
        taken_s = self.clock.monotonic_s()
        later_s = await self.hold(2 * SETTLE_S)
        self.assertGreater(len(first_s), 0)
        self.assertGreaterEqual(later_s[0] - taken_s, SETTLE_S)

    async def test_record_that_a_restore_brings_back_says_nothing(self) -> None:
        """Guards against a wait that a restored store takes for over (ONE)."""
        await self.hold(SETTLE_S + 2.0)
        self.clock.advance(SETTLE_S)
        await self.hold(0.1)
        left = self.store.values[HANDOVER_KEY].value
        await self.hold(SETTLE_S + 2.0, is_killed=True)
        self.store.current_era += 1
        self.store.values.clear()
        self.store.leases.clear()
        await self.store.commit(Transaction(puts=[Put(HANDOVER_KEY, left)]))
        taken_s = self.clock.monotonic_s()
        later_s = await self.hold(2 * SETTLE_S)
        self.assertGreaterEqual(later_s[0] - taken_s, SETTLE_S)

    async def test_odd_records_say_nothing(self) -> None:
        """Guards against a record of another writer that ends the orders, or the wait for them."""
        odd = (b"", b"[]", b"\xff", b'{"wait_s": 0}', b'{"wait_s": -1, "era": 1}', b'{"era": 1}')
        for value in odd:
            with self.subTest(value):
                self.setUp()
                await self.store.commit(Transaction(puts=[Put(HANDOVER_KEY, value)]))
                taken_s = self.clock.monotonic_s()
                later_s = await self.hold(2 * SETTLE_S)
                self.assertGreaterEqual(later_s[0] - taken_s, SETTLE_S)


if __name__ == "__main__":
    unittest.main()
