"""Tests of how old changes of the store can be, by when and how a router reads them."""

import asyncio
import random
import unittest
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.freshness import Freshness
from coltsfootfront.direct.storefollower import Changes, Follower, Item, Position, Snapshot
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.keyvalue.store import KeyValue
from coltsfootfront.tests.copy_fleet import CONFIG_KEY, CopyFleet, make_configuration
from coltsfootfront.tests.direct_support import REGIONS, make_entry
from coltsfootfront.tests.support import ManualClock
from coltsfootfront.tests.test_direct_state import OnePeer, ScriptedStore
from coltsfootfront_dev.platformstore import PlatformStoreStandIn

KEY = "op/version/m"
UNAVAILABLE = Failure(ErrorKind.STORE_UNAVAILABLE, "down")
VERSION_S = 8.0
SETTLE_S = 4.0


class PromptClock(ManualClock):
    """Manual clock on which delays take no time."""

    async def sleep(self, delay_s: float) -> None:
        await asyncio.sleep(0)


class FreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.freshness = Freshness(self.clock)

    def read(self, took_s: float = 0.0, is_waiting: bool = False) -> float | None:
        """Receive a response, and return the bound of its changes relative to now."""
        sent_s = self.clock.monotonic_s()
        self.clock.advance(took_s)
        bound = self.freshness.bound(sent_s, is_waiting=is_waiting)
        self.freshness.confirm(sent_s)
        if bound.written_after_s is None:
            return None
        return round(bound.written_after_s - self.clock.monotonic_s(), 3)

    def test_age_of_the_first_copy_is_unknown(self) -> None:
        """Guards against a version that was named long ago and is taken for new at a start."""
        self.assertIsNone(self.read())
        self.assertEqual(0.0, self.read())

    def test_change_that_was_not_waited_for_is_younger_than_the_last_response(self) -> None:
        """Guards against a change that is taken for new since its watch had gone silent."""
        self.read()
        self.clock.advance(3.0)
        self.assertEqual(-3.0, self.read(is_waiting=True))

    def test_change_that_was_waited_for_is_new(self) -> None:
        """Guards against weights that lose a part of their time while routers wait for changes."""
        self.read()
        self.assertEqual(0.0, self.read(took_s=2.0, is_waiting=True))

    def test_change_that_arrived_during_a_pause_is_as_old_as_the_last_response(self) -> None:
        """Guards against a version named while the process was frozen that is taken for new."""
        self.read()
        sent_s = self.clock.monotonic_s()
        self.clock.advance(5.0)
        self.freshness.check_pause = self.freshness.record_pause
        bound = self.freshness.bound(sent_s, is_waiting=True)
        self.assertEqual((sent_s, True), (bound.written_after_s, bound.is_after_pause))

    def test_response_that_waited_through_a_pause_confirms_only_when_it_was_asked_for(self) -> None:
        """Guards against a pause that is forgotten with the first response after it."""
        self.read()
        sent_s = self.clock.monotonic_s()
        self.clock.advance(5.0)
        self.freshness.record_pause()
        self.freshness.confirm(sent_s)
        self.clock.advance(0.1)
        bound = self.freshness.bound(self.clock.monotonic_s())
        self.assertEqual((sent_s, True), (bound.written_after_s, bound.is_after_pause))

    def test_changes_after_an_outage_are_younger_than_the_last_failed_call(self) -> None:
        """Guards against weights that are refused at once since the store was away for long."""
        self.read()
        for _ in range(3):
            self.clock.advance(4.0)
            self.freshness.record_failure(self.clock.monotonic_s())
        self.clock.advance(0.5)
        self.assertEqual(-0.5, self.read())

    def test_copy_of_a_peer_does_not_end_an_outage(self) -> None:
        """Guards against weights that are refused after an outage in which peers were read."""
        self.read()
        for _ in range(3):
            self.clock.advance(4.0)
            self.freshness.record_failure(self.clock.monotonic_s())
            self.freshness.confirm(self.clock.monotonic_s(), 9.0, ends_outage=False)
        self.clock.advance(0.5)
        self.assertEqual(-0.5, self.read())

    def test_one_lost_call_is_no_outage(self) -> None:
        """Guards against a connection gone silent that makes what it missed seem new."""
        self.read()
        sent_s = self.clock.monotonic_s()
        self.clock.advance(4.0)
        self.freshness.record_failure(sent_s)
        self.assertEqual(-4.0, self.read())

    def test_copy_of_a_sender_is_as_old_as_it_says(self) -> None:
        """Guards against a relay whose own watch is silent and that makes changes seem new."""
        self.freshness.confirm(self.clock.monotonic_s(), copy_age_s=3.0)
        self.clock.advance(1.0)
        bound = self.freshness.bound(self.clock.monotonic_s())
        self.assertEqual(self.clock.monotonic_s() - 4.0, bound.written_after_s)
        told = self.freshness.bound(self.clock.monotonic_s(), items_age_s=0.5)
        self.assertEqual(self.clock.monotonic_s() - 0.5, told.written_after_s)


class WeightsAfterLateReadTest(unittest.IsolatedAsyncioTestCase):
    """Routers that read a version late, with the time for which they go on with older weights."""

    def setUp(self) -> None:
        self.clock = PromptClock()
        self.directory = Directory(self.clock, REGIONS)
        self.directory.put(make_entry("e1", version=1))
        self.versions = WeightVersions(self.clock, self.directory, VERSION_S, SETTLE_S)
        self.follower = self.make_follower()

    def make_follower(self, *responses: object, peer: Changes | None = None) -> Follower:
        """Create a follower that records versions as a router does."""

        def listen(item: Item) -> None:
            bound = follower.change_bound
            self.versions.record_published(
                "m", item.revision, bound.written_after_s, bound.is_after_pause
            )

        follower = Follower(
            ScriptedStore(*responses),  # type: ignore[arg-type]
            OnePeer(peer),
            self.clock,
            "",
            listen,
            random.Random(1),
        )
        return follower

    def usable_for_s(self) -> float:
        """Return for how long older weights stay usable from now on."""
        targets = self.directory.of_service("engines")
        passed_s = 0.0
        while self.versions.allowed("m", targets) and passed_s < 2 * VERSION_S:
            self.clock.advance(0.1)
            passed_s += 0.1
        return passed_s

    async def test_first_copy_of_any_era_has_versions_of_unknown_age(self) -> None:
        """Guards against old weights in use after a restart, once the store was restored."""
        item = KeyValue(KEY, b"2", 2, 2)
        for era in (0, 1, 3):
            copy = Changes([Item(KEY, b"2", 2)], 2, is_full_copy=True, era=era)
            readers: dict[str, tuple[Follower, Callable[[Follower], object]]] = {
                "store": (
                    self.make_follower(Success(Snapshot([item], 2, era))),
                    lambda follower: follower._read_store(),
                ),
                "peer": (self.make_follower(peer=copy), lambda follower: follower._read_peer()),
            }
            for name, (follower, read) in readers.items():
                with self.subTest(era=era, source=name):
                    self.versions = WeightVersions(self.clock, self.directory, VERSION_S, SETTLE_S)
                    await read(follower)  # type: ignore[misc]
                    self.assertEqual(Position(era, 2), follower.position)
                    # The limit binds a router from this time after its start.
                    self.assertLess(self.usable_for_s(), SETTLE_S)

    async def test_version_that_a_silent_relay_held_back_keeps_its_age(self) -> None:
        """Guards against weights used beyond their limit after a relay was frozen."""
        follower = self.make_follower(
            Success(Snapshot([KeyValue(KEY, b"1", 1, 1)], 1)),
            Success(Changes([Item(KEY, b"2", 2)], 2)),
        )
        await follower._read_store()
        self.clock.advance(3.0)
        await follower._read_store()
        self.assertLess(self.usable_for_s(), VERSION_S - 3.0)

    async def test_version_named_during_a_pause_is_not_taken_for_new(self) -> None:
        """Guards against weights used beyond their limit after the process was frozen."""
        follower = self.make_follower(
            Success(Snapshot([KeyValue(KEY, b"1", 1, 1)], 1)),
            Success(Changes([Item(KEY, b"2", 2)], 2)),
        )
        await follower._read_store()
        self.clock.advance(6.0)
        follower.freshness.check_pause = follower.mark_stale
        await follower._read_store()
        usable_s = self.usable_for_s()
        # Until the limit binds the router again, so that requests are not refused before.
        self.assertLess(usable_s, SETTLE_S)
        self.assertGreater(usable_s, SETTLE_S / 2)

    async def test_ages_reach_peers_with_the_changes(self) -> None:
        """Guards against a relay's late change that is new to the routers behind it."""
        follower = self.make_follower(
            Success(Snapshot([KeyValue(KEY, b"1", 1, 1), KeyValue("k", b"1", 1, 1)], 1)),
            Success(Changes([Item(KEY, b"2", 2)], 2)),
        )
        await follower._read_store()
        self.clock.advance(3.0)
        await follower._read_store()
        self.clock.advance(0.5)
        changes = follower.changes_after(Position(0, 1))
        self.assertEqual((0.5, 3.5), (changes.copy_age_s, changes.items_age_s))
        # The age of the items of the first copy is unknown.
        self.assertIsNone(follower.changes_after(Position(1, 0)).items_age_s)

    async def test_items_keep_their_age_when_the_store_is_restored(self) -> None:
        """Guards against a version that seems new to a lagging peer after a restore."""
        follower = self.make_follower(
            Success(Snapshot([KeyValue(KEY, b"1", 1, 1)], 1)),
            Success(Changes([Item(KEY, b"2", 2)], 2)),
            Success(Changes([], 1, era=1)),
            Success(Snapshot([KeyValue(KEY, b"2", 5, 5)], 5, era=1)),
        )
        for _ in range(4):
            await follower._read_store()
            self.clock.advance(2.0)
        self.assertEqual(1, follower.era)
        changes = follower.changes_after(Position(0, 2))
        self.assertEqual((2.0, 8.0), (changes.copy_age_s, changes.items_age_s))

    async def test_snapshot_of_an_earlier_era_confirms_nothing(self) -> None:
        """Guards against a copy that seems current since an older store was read."""
        follower = self.make_follower(
            Success(Snapshot([KeyValue(KEY, b"1", 1, 1)], 1, era=2)),
            Success(Snapshot([KeyValue(KEY, b"1", 9, 9)], 9, era=1)),
        )
        for _ in range(2):
            follower.is_complete = False
            await follower._read_store()
            self.clock.advance(3.0)
        self.assertEqual(6.0, follower.freshness.age_s())

    async def test_calls_that_fail_are_told_to_the_freshness(self) -> None:
        """Guards against an outage that is taken for a connection gone silent."""
        follower = self.make_follower(
            Success(Snapshot([KeyValue(KEY, b"1", 1, 1)], 1)),
            Failed(UNAVAILABLE),
            Failed(UNAVAILABLE),
            Success(Changes([Item(KEY, b"2", 2)], 2)),
        )
        for _ in range(4):
            await follower._read_store()
            self.clock.advance(3.0)
        self.assertGreater(self.usable_for_s(), VERSION_S - 3.0 - 3.0 - 1.0 - 0.2)


class CopyAgeOnTheWireTest(unittest.IsolatedAsyncioTestCase):
    async def test_age_of_a_copy_passes_between_routers(self) -> None:
        """Guards against ages that get lost, or that a kept body repeats."""
        stand_in = PlatformStoreStandIn()
        await stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        fleet = CopyFleet(stand_in.address)
        self.addAsyncCleanup(fleet.close)
        relay = await fleet.add()
        await relay.load()
        before = relay.follower.position
        stand_in.put(CONFIG_KEY, make_configuration(1000))
        await relay.follower._read_store()
        reader = await fleet.add()
        await reader.load()
        ages = []
        for _ in range(2):
            changes = await reader.peers.wait_for_peer_changes(
                relay.entry.address, before, 0.1, lambda: None
            )
            assert changes is not None and changes.items_age_s is not None
            self.assertGreaterEqual(changes.items_age_s, changes.copy_age_s)
            ages.append(changes.copy_age_s)
            await asyncio.sleep(0.2)
        self.assertGreaterEqual(ages[1], ages[0] + 0.2)


if __name__ == "__main__":
    unittest.main()
