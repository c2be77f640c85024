"""Tests of the election of watchers and of the watch on the head in the store."""

import asyncio
import unittest

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.publisher import Publisher
from coltsfootfront.configuration.records import ChangeRequest
from coltsfootfront.configuration.watcher import Watcher, choose_watchers
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront_dev.store import EtcdStandIn

DEADLINE_S = 5.0
CLOCK_SPEEDUP = 30


class FastClock(SystemClock):
    """Runs faster than real time, so that half a minute passes within a second."""

    def monotonic_s(self) -> float:
        return super().monotonic_s() * CLOCK_SPEEDUP

    async def sleep(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s / CLOCK_SPEEDUP)


def count_of(name: str) -> float:
    """Value of a counter of configuration events."""
    return float(metrics.CONFIGURATION_EVENTS.values.get({"event": name}) or 0)


class WatcherChoiceTest(unittest.TestCase):
    """The choice of watchers by rendezvous hash."""

    def test_two_watchers_and_minimal_reassignment(self) -> None:
        """Guards against more watches than the store's rate limits allow."""
        routers = [f"r-{number}" for number in range(32)]
        chosen = choose_watchers("a", routers)
        self.assertEqual(2, len(chosen))
        self.assertEqual(chosen, choose_watchers("a", reversed(routers)))
        without_first = choose_watchers("a", [name for name in routers if name != chosen[0]])
        self.assertEqual(chosen[1], without_first[0])
        for unchosen in set(routers) - set(chosen):
            self.assertEqual(
                chosen, choose_watchers("a", [name for name in routers if name != unchosen])
            )


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """One watcher against the stand-in of the store."""

    async def asyncSetUp(self) -> None:
        self.stand_in = EtcdStandIn()
        self.address = await self.stand_in.start("127.0.0.1:0")
        self.addAsyncCleanup(self.stand_in.close)
        operator_store = EtcdStore(f"http://{self.address}", 1.0)
        await operator_store.start()
        self.addAsyncCleanup(operator_store.close)
        self.publisher = Publisher(operator_store, SystemClock())
        self.published = 0

    async def publish(self) -> int:
        """Publish one more revision."""
        entries = {"owners/o": b'{"contact":"%d"}' % self.published}
        change = ChangeRequest(f"op-{self.published}", "duty", self.published)
        result = await self.publisher.apply(entries, change)
        self.published = result.unwrap().record.revision
        return self.published

    async def make_watcher(self, routers: list[str]) -> tuple[Watcher, ActiveConfiguration]:
        """A started watcher named r-0."""
        store = EtcdStore(f"http://{self.address}", 1.0)
        await store.start()
        self.addAsyncCleanup(store.close)
        configuration = ActiveConfiguration()
        watcher = Watcher("r-0", "a", store, configuration, FastClock(), lambda: routers)
        await watcher.start()
        self.addAsyncCleanup(watcher.close)
        return watcher, configuration

    async def wait_for_revision(self, configuration: ActiveConfiguration, number: int) -> None:
        """Wait until a revision is active."""
        reached = asyncio.Event()
        subscription = configuration.changes.subscribe(
            lambda active: reached.set() if active.number >= number else None
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                await reached.wait()
        finally:
            subscription.dispose()

    async def wait_for_watch(self) -> None:
        """Wait until the stand-in holds a watch."""
        async with asyncio.timeout(DEADLINE_S):
            while not self.stand_in.keys.watches:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_reads_the_head_and_follows_the_watch(self) -> None:
        """Guards against a watcher that misses a change before or after its start."""
        await self.publish()
        _, configuration = await self.make_watcher([])
        await self.wait_for_revision(configuration, 1)
        await self.wait_for_watch()
        reads = self.stand_in.counters["/v3/kv/range"]
        await self.publish()
        await self.wait_for_revision(configuration, 2)
        self.assertLess(self.stand_in.counters["/v3/kv/range"] - reads, 5)

    async def test_unelected_routers_make_no_calls(self) -> None:
        """Guards against routers that are not elected and use up the store's rate limits."""
        routers = [f"r-{number}" for number in range(40)]
        self.assertNotIn("r-0", choose_watchers("a", routers))
        watcher, _ = await self.make_watcher(routers)
        await asyncio.sleep(0.2)
        self.assertFalse(watcher.is_watching)
        self.assertEqual({}, dict(self.stand_in.counters))
        routers.clear()
        await self.wait_for_watch()

    async def test_faults_of_the_store(self) -> None:
        """Guards against a watcher that stays behind after a failure of the store."""
        table: tuple[tuple[dict[str, object], dict[str, object]], ...] = (
            ({"outage": True, "close_watches": True}, {"outage": False}),
            ({"silent_watches": True}, {}),
            ({"silent_watches": True}, {"silent_watches": False, "close_watches": True}),
            ({"rate_limit_per_s": 0, "close_watches": True}, {"rate_limit_per_s": None}),
        )
        _, configuration = await self.make_watcher([])
        await self.wait_for_watch()
        for fault, end in table:
            with self.subTest(fault=fault, end=end):
                self.stand_in.control(fault)
                await asyncio.sleep(0.2)
                if "silent_watches" not in fault:
                    self.stand_in.control(end)
                number = await self.publish()
                if "silent_watches" in fault:
                    self.stand_in.control(end)
                await self.wait_for_revision(configuration, number)

    async def test_older_head_is_ignored_and_counted(self) -> None:
        """Guards against activating an older revision when the store returns a stale value."""
        _, configuration = await self.make_watcher([])
        for number in (1, 2):
            await self.publish()
            await self.wait_for_revision(configuration, number)
        before = count_of("older_head_ignored")
        self.stand_in.control({"stale_reads": True})
        async with asyncio.timeout(DEADLINE_S):
            while count_of("older_head_ignored") == before:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.assertEqual(2, configuration.number)

    async def test_reconnects_are_spread_out(self) -> None:
        """Guards against a thundering herd of watchers when the store recovers."""
        await self.make_watcher([])
        await self.wait_for_watch()
        self.stand_in.control({"outage": True, "close_watches": True})
        before = self.stand_in.counters["/v3/watch"]
        # 0.5 s are 15 s on the watcher's clock; at full backoff the mean delay is 2.5 s.
        await asyncio.sleep(0.5)
        self.assertLess(self.stand_in.counters["/v3/watch"] - before, 25)


if __name__ == "__main__":
    unittest.main()
