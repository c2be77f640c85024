"""Tests that a router that reaches peers goes on with an old copy of the store only briefly."""

import asyncio
import random
import unittest
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.direct import storefollower
from coltsfootfront.direct.peers import PROMPT_ANSWER_S, Peers
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.storefollower import Changes, Follower, Item, Position, Snapshot
from coltsfootfront.direct.transfers import OnProgress
from coltsfootfront.tests import copy_fleet
from coltsfootfront.tests.copy_fleet import (
    CONFIG_KEY,
    WIDE_LINK_BYTES_PER_S,
    CopyFleet,
    LinkedRouter,
    make_configuration,
)
from coltsfootfront.tests.direct_support import (
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.test_direct_state import HISTORY_COMPACTED, OnePeer, ScriptedStore, _value
from coltsfootfront_dev.platformstore import PlatformStoreStandIn

# Time within which a change must be in force everywhere.
APPLY_LIMIT_S = 2.5
WAIT_S = 12.0
# Net rate of a small link that other traffic takes most of.
BUSY_LINK_BYTES_PER_S = 250_000
OLD = Success(Snapshot([_value("a", b"1", 5)], 5))
NEW = Success(Snapshot([_value("a", b"2", 9)], 9))
AHEAD = Changes([Item("a", b"2", 9)], 9)


class TricklingStore(ScriptedStore):
    """Store whose changes keep arriving without an end once the script is over."""

    async def changes(
        self, prefix: str, after: Position, wait_s: float, on_progress: OnProgress | None = None
    ) -> Result[Changes, Failure]:
        while not self.responses:
            self.is_exhausted.set()
            if on_progress is not None:
                on_progress()
            await asyncio.sleep(0.05)
        return self.responses.pop(0)  # type: ignore[return-value]


class RecordingStore(ScriptedStore):
    """Store that records after which revisions changes are asked for."""

    def __init__(self, *responses: Result[Snapshot, Failure] | Result[Changes, Failure]) -> None:
        super().__init__(*responses)
        self.asked: list[object] = []
        self.snapshots = 0

    async def snapshot(self, prefix: str) -> Result[Snapshot, Failure]:
        self.snapshots += 1
        return await super().snapshot(prefix)

    async def changes(
        self, prefix: str, after: Position, wait_s: float, on_progress: OnProgress | None = None
    ) -> Result[Changes, Failure]:
        self.asked.append(after)
        return await super().changes(prefix, after, wait_s, on_progress)


class LatePeer(OnePeer):
    """A peer that has a change after it was read a few times, and a relay that has failed."""

    def __init__(self, after_reads: int) -> None:
        super().__init__(None, relay_responses=[None])
        self._reads_left = after_reads

    async def read_peer_changes(self, after: Position) -> Changes | None:
        self._reads_left -= 1
        return AHEAD if self._reads_left < 0 else None


class WaitingPeer(OnePeer):
    """Peers of which a paused one keeps each read waiting."""

    def __init__(self) -> None:
        super().__init__(None)
        self.reads_s: list[float] = []

    async def read_peer_changes(self, after: Position) -> Changes | None:
        self.reads_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(PROMPT_ANSWER_S)
        return None


class SilentRelay(OnePeer):
    """A relay that does not answer at all."""

    async def wait_for_peer_changes(
        self, address: str, after: Position, wait_s: float, on_progress: OnProgress
    ) -> Changes | None:
        await asyncio.sleep(wait_s + 0.4)
        return None


class UnannouncedChangeTest(unittest.IsolatedAsyncioTestCase):
    """A peer has a change of which no announcement arrives."""

    def make_follower(
        self, store: ScriptedStore, peer: Changes | None = AHEAD, limit_s: float = 0.5
    ) -> Follower:
        self.changed = asyncio.Event()
        follower = Follower(
            store,  # type: ignore[arg-type]
            OnePeer(peer),
            SystemClock(),
            "",
            self.on_item,
            random.Random(1),
        )
        follower.apply_limit_s = limit_s
        return follower

    def on_item(self, item: Item) -> None:
        if item.value == b"2":
            self.changed.set()

    async def follow_until_changed(self, follower: Follower) -> None:
        tasks = [
            asyncio.create_task(run()) for run in (follower.follow_store, follower.follow_peers)
        ]
        try:
            async with asyncio.timeout(APPLY_LIMIT_S):
                await self.changed.wait()
        except TimeoutError:
            self.fail("the change of the peer is not in force in time")
        finally:
            for task in tasks:
                task.cancel()

    async def test_paused_peer_does_not_stretch_the_time_between_polls(self) -> None:
        """Guards against a change that is polled for more rarely for one paused peer (CONFIG)."""
        peers = WaitingPeer()
        follower = self.make_follower(ScriptedStore())
        follower._peers = peers
        task = asyncio.create_task(follower.follow_peers())
        await asyncio.sleep(5.5 * storefollower.PEER_POLL_INTERVAL_S)
        task.cancel()
        self.assertGreaterEqual(len(peers.reads_s), 5)

    async def test_router_reads_a_peer_while_its_watch_is_overdue(self) -> None:
        """Guards against an old copy for as long as a slow store takes to answer."""
        with mock.patch.object(storefollower, "WATCH_WAIT_S", 0.2):
            await self.follow_until_changed(self.make_follower(ScriptedStore(OLD)))

    async def test_router_reads_a_peer_while_changes_keep_arriving(self) -> None:
        """Guards against an old copy for as long as a transfer over a full link takes."""
        await self.follow_until_changed(self.make_follower(TricklingStore(OLD)))

    async def test_router_reads_a_peer_when_the_history_was_dropped(self) -> None:
        """Guards against a large snapshot read by every router that follows a relay."""
        store = ScriptedStore(OLD, Failed(HISTORY_COMPACTED))
        await self.follow_until_changed(self.make_follower(store, limit_s=10.0))

    async def test_router_behind_a_relay_leaves_a_snapshot_to_its_relay(self) -> None:
        """Guards against a narrow link that every router of a region reads all keys over."""
        store = RecordingStore(OLD, Failed(HISTORY_COMPACTED))
        follower = self.make_follower(store, limit_s=10.0)
        follower._peers = LatePeer(after_reads=2)
        await self.follow_until_changed(follower)
        self.assertEqual(1, store.snapshots)

    async def test_router_behind_a_silent_relay_reads_a_snapshot_at_once(self) -> None:
        """Guards against a wait for a relay that is paused and brings nothing."""
        store = RecordingStore(OLD, Failed(HISTORY_COMPACTED), NEW)
        follower = self.make_follower(store, limit_s=10.0)
        follower._peers = SilentRelay(None, relay_responses=[])
        began_s = asyncio.get_running_loop().time()
        await self.follow_until_changed(follower)
        passed_s = asyncio.get_running_loop().time() - began_s
        self.assertLess(passed_s, storefollower.RELAY_WAIT_S + storefollower.SNAPSHOT_PATIENCE_S)

    async def test_change_that_a_peer_has_brought_is_not_received_again(self) -> None:
        """Guards against a small link that a superseded watch keeps full."""
        store = RecordingStore(OLD)
        with mock.patch.object(storefollower, "WATCH_WAIT_S", 0.2):
            follower = self.make_follower(store)
            await self.follow_until_changed(follower)
            task = asyncio.create_task(follower.follow_store())
            await asyncio.sleep(0.1)
            task.cancel()
        self.assertEqual([5, 9], store.asked[:2])

    async def test_copy_of_a_peer_that_is_as_old_confirms_nothing(self) -> None:
        """Guards against routers behind a silent store that take each other for current."""
        store = ScriptedStore(OLD)
        follower = self.make_follower(store, Changes([], 5, copy_age_s=9.0))
        await follower._read_store()
        await asyncio.sleep(0.6)
        self.assertFalse(await follower.confirm_age(0.5))

    async def test_peer_that_is_current_confirms_the_copy_while_the_store_is_silent(self) -> None:
        """Guards against refusals for as long as the store's connection is silent."""
        store = ScriptedStore(OLD)
        follower = self.make_follower(store, Changes([], 5, copy_age_s=0.1))
        await follower._read_store()
        await asyncio.sleep(0.6)
        self.assertTrue(await follower.confirm_age(0.5))


class DroppedHistoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = PlatformStoreStandIn()
        await self.stand_in.start()
        self.addAsyncCleanup(self.stand_in.close)
        self.fleet = CopyFleet(self.stand_in.address)
        self.addAsyncCleanup(self.fleet.close)

    async def test_large_configuration_is_in_force_in_time_when_the_history_is_dropped(
        self,
    ) -> None:
        """Guards against a route refused for seconds by routers that all read the store anew."""
        self.stand_in.put(CONFIG_KEY, b"")
        routers: list[LinkedRouter] = [
            await self.fleet.add(WIDE_LINK_BYTES_PER_S, data_centre="b"),
            *[await self.fleet.add(BUSY_LINK_BYTES_PER_S) for _ in range(5)],
        ]
        for router in routers:
            router.follow()
        await asyncio.gather(*(router.wait_for(b"") for router in routers))
        await asyncio.sleep(0.3)
        configuration = make_configuration(4200, 2)
        arrivals = [asyncio.create_task(router.wait_for(configuration)) for router in routers]
        await asyncio.sleep(0)
        self.stand_in.faults.deaf = True
        self.stand_in.put(CONFIG_KEY, configuration)
        self.stand_in.compact()
        self.stand_in.faults.deaf = False
        async with asyncio.timeout(WAIT_S):
            passed_s = max(await asyncio.gather(*arrivals))
        self.assertLess(passed_s, copy_fleet.APPLY_LIMIT_S)


class QueriedPeersTest(unittest.IsolatedAsyncioTestCase):
    async def test_peer_of_the_own_data_centre_is_among_those_asked(self) -> None:
        """Guards against an old copy for as long as the links to all other places are full."""
        for seed in range(20):
            own = RouterEntry("own:1", "a", "east")
            peers = Peers(own, [], random.Random(seed))
            peers.add("near", RouterEntry("near:1", "a", "east"))
            peers.add("region", RouterEntry("region:1", "b", "east"))
            for number in range(20):
                peers.add(f"far{number}", RouterEntry(f"far{number}:1", "c", "west"))
            with mock.patch.object(peers, "_request_position", return_value=None) as asked:
                await peers.read_peer_changes(Position(0, 5))
            addresses = {call.args[0] for call in asked.call_args_list}
            self.assertIn("near:1", addresses)
            self.assertTrue(any(address.startswith("far") for address in addresses), addresses)

    async def test_paused_peer_does_not_keep_the_answer_of_another_back(self) -> None:
        """Guards against a copy that is old for a second more with each paused peer."""
        peers = Peers(RouterEntry("own:1", "a", "east"), [], random.Random(1))
        for name in ("paused", "running"):
            peers.add(name, RouterEntry(f"{name}:1", "a", "east"))

        async def answer(address: str) -> tuple[Position, float] | None:
            if address.startswith("paused"):
                await asyncio.sleep(WAIT_S)
                return None
            return Position(0, 5), 0.1

        with mock.patch.object(peers, "_request_position", answer):
            async with asyncio.timeout(0.8):
                changes = await peers.read_peer_changes(Position(0, 5))
        assert changes is not None
        self.assertEqual(0.1, changes.copy_age_s)

    async def test_peer_that_is_ahead_is_read_before_a_paused_one_has_had_its_time(self) -> None:
        """Guards against a change that each paused peer keeps back (CONFIG)."""
        peers = Peers(RouterEntry("own:1", "a", "east"), [], random.Random(1))
        for name in ("paused", "ahead", "further"):
            peers.add(name, RouterEntry(f"{name}:1", "a", "east"))
        answers = {"paused:1": (WAIT_S, 9), "ahead:1": (0.0, 6), "further:1": (0.04, 7)}

        async def answer(address: str) -> tuple[Position, float] | None:
            delay_s, revision = answers[address]
            await asyncio.sleep(delay_s)
            return Position(0, revision), 0.1

        with mock.patch.object(peers, "_request_position", answer):
            async with asyncio.timeout(PROMPT_ANSWER_S - 0.05):
                told = await peers._request_positions(peers.addresses(), Position(0, 5))
        self.assertEqual({"ahead:1", "further:1"}, set(told))


class RefusalByAnOldCopyTest(unittest.IsolatedAsyncioTestCase):
    """Requests that the configuration in force does not allow."""

    def setUp(self) -> None:
        self.fixture = ForwarderFixture(
            SystemClock(), lambda target, request, directive: FakeResponse()
        )
        self.fixture.add(make_entry("p1", "plain"))
        self.fixture.forwarder.routing_config = make_config(make_route("/old/"))
        self.confirmations = 0

    async def refuse(self, is_confirmed: bool, path: str, key: str) -> Failure | None:
        async def confirm() -> bool:
            self.confirmations += 1
            return is_confirmed

        self.fixture.forwarder.confirm_configuration = confirm
        writer = FakeWriter()
        await self.fixture.forwarder.serve(make_request(path, key=key), writer)
        return writer.failure

    async def test_unknown_route_or_key_is_refused_for_good_only_by_a_current_copy(self) -> None:
        """Guards against 404 and 401 for what was added longer ago than changes may take."""
        cases = {
            ErrorKind.NOT_FOUND: ("/new/x", "key"),
            ErrorKind.UNAUTHENTICATED: ("/old/x", "new"),
        }
        for kind, (path, key) in cases.items():
            with self.subTest(kind):
                failure = await self.refuse(True, path, key)
                assert failure is not None
                self.assertIs(kind, failure.kind)
                failure = await self.refuse(False, path, key)
                assert failure is not None
                self.assertEqual(503, failure.error_response.status)
                self.assertIsNotNone(failure.effective_retry_after_s)

    async def test_route_that_the_confirmation_brings_is_served(self) -> None:
        """Guards against a refusal although the router has just read the newer configuration."""
        forwarder = self.fixture.forwarder

        async def confirm() -> bool:
            route = make_route("/new/", retry_policy=RetryPolicy.IDEMPOTENT)
            forwarder.routing_config = make_config(route)
            return True

        forwarder.confirm_configuration = confirm
        writer = FakeWriter()
        await forwarder.serve(make_request("/new/x"), writer)
        self.assertEqual((200, None), (writer.status, writer.failure))


if __name__ == "__main__":
    unittest.main()
