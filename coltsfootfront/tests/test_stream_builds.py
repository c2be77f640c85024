"""Tests of what a router knows about the software that began a stream."""

import asyncio
import json
import random
import socket
import time
import unittest
from unittest import mock

from returns.result import Success

from coltsfootfront.common.decoding import DecodingError
from coltsfootfront.direct import gossip, servicebuilds
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.peers import Peers
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.servicebuilds import BUILDS_PREFIX, STAGGER_S, ServiceBuilds
from coltsfootfront.direct.streambuilds import KEY_BYTES, StreamBuild, StreamTable, stream_key
from coltsfootfront.direct.takeups import (
    MIN_READ_INTERVAL_S,
    READ_TIMEOUT_S,
    OnStreams,
    PeerStreams,
    Streams,
    TakeUps,
)
from coltsfootfront.direct.targetclient import Directive
from coltsfootfront.keyvalue.store import Put, Transaction
from coltsfootfront.platform.requestdecoder import _parse_resumes
from coltsfootfront.tests.direct_support import (
    REGIONS,
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    NoPeerStreams,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.support import InMemoryStore, ManualClock
from coltsfootfront_dev.platformfleet import free_ports

SERVICE = "engines"
KEY = BUILDS_PREFIX + SERVICE
ROUTER = "own:1"


async def nobody_answers(since_s: float) -> bool:
    """Brings no copy of the store up to date."""
    return False


class RecordedGossip(Gossip):
    """Gossip whose queued streams can be delivered to another router."""

    def __init__(self) -> None:
        super().__init__(lambda kind, fields: None, "east", random.Random(1))
        self.messages: list[list[object]] = []

    def _broadcast(self, message: list[list[object]]) -> None:
        self.messages += message

    def delivered(self) -> list[list[object]]:
        self._flush_begun(self._pending.begun)
        messages, self.messages = self.messages, []
        return [fields for kind, fields in messages if kind == gossip.BEGUN]  # type: ignore[misc]


class Peer(PeerStreams):
    """A peer with given streams."""

    def __init__(self) -> None:
        self.streams: Streams = []
        self.reads = 0
        self.is_silent = False
        self.is_one_silent = False
        """Whether another peer does not answer."""

    async def read_streams(
        self, limit_s: float, receive: OnStreams, must_ask_all: bool = False
    ) -> bool:
        self.reads += 1
        if not self.is_silent:
            receive(self.streams)
        return not self.is_silent and not (must_ask_all and self.is_one_silent)


class Router:
    """The parts of a router that follow builds, on a store that several of them share."""

    def __init__(self, clock: ManualClock, store: InMemoryStore, name: str = ROUTER) -> None:
        self.clock = clock
        self.store = store
        self.directory = Directory(clock, REGIONS)
        self.gossip = RecordedGossip()
        self.peer = Peer()
        self.revision: int | None = 0
        self.builds = ServiceBuilds(
            clock,
            self.directory,
            store,
            lambda key: self.revision,
            lambda: [ROUTER, "peer:1", "peer:2"],
            name,
            random.Random(1),
            lambda: store.era,
        )
        self.take_ups = TakeUps(clock, self.builds, self.gossip, self.peer)
        self.builds.set_services({SERVICE: 10.0})

    async def read_store(self) -> None:
        """Read the record, as a router does that starts or that a watch has told of a change."""
        found = await self.store.get(KEY)
        assert isinstance(found, Success)
        stored = found.unwrap()
        self.revision = stored.mod_revision if stored is not None else 0
        self.builds.handle_stored(SERVICE, stored.value if stored is not None else None)

    def put(self, name: str, build: str) -> None:
        entry = make_entry(name)
        self.directory.put(
            type(entry)(entry.name, SERVICE, entry.address, "a", 8, False, entry.versions, 1, build)
        )
        self.builds.observe(SERVICE)

    def drop(self, name: str) -> None:
        target = self.directory.get(name)
        assert target is not None
        self.directory._drop(target)

    async def wait(self, for_s: float) -> None:
        """Let time pass, with the checks of the loop."""
        for _ in range(round(for_s / 0.25)):
            self.clock.advance(0.25)
            if not self.builds._is_copy_current():
                self.builds._services[SERVICE].since_s = self.clock.monotonic_s()
            await self.builds._check(SERVICE)
            await self.read_store()

    def begin(self, request_id: str, build: str, customer: str = "c") -> None:
        self.take_ups.record_begun(customer, request_id, StreamBuild(SERVICE, build))


class ServiceBuildsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)

    def make_router(self, name: str = ROUTER) -> Router:
        return Router(self.clock, self.store, name)

    async def record(self, only: str | None, era: int = 0) -> None:
        value = json.dumps({"only": only, "era": era}).encode()
        await self.store.commit(Transaction(puts=[Put(KEY, value)]))

    async def test_router_that_has_just_started_does_not_know_which_builds_served(self) -> None:
        """Guards against streams of servers that left a second ago that go on at others (ORDER)."""
        router = self.make_router()
        router.put("t2", "v2")
        self.assertIsNone(router.builds.only_build(SERVICE))
        self.assertIsNone(await router.take_ups.find("c", "r1", SERVICE))
        for only in (None, "v1"):
            await self.record(only)
            await router.read_store()
            self.assertIsNone(router.builds.only_build(SERVICE))

    async def test_record_of_a_single_build_holds_for_a_router_that_starts(self) -> None:
        """Guards against take-ups refused after a kill although one version serves (LOST)."""
        await self.record("v1")
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        found = await router.take_ups.find("c", "r1", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v1"), found)

    async def test_build_is_the_only_one_once_it_was_alone_for_the_life_of_a_stream(self) -> None:
        """Guards against a release after which take-ups are refused, or joined, for good."""
        await self.record("v1")
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        router.put("t2", "v2")
        await router.wait(2 * STAGGER_S + 1)
        record = router.builds._services[SERVICE].record
        assert record is not None
        self.assertIsNone(record.only)
        router.drop("t1")
        await router.wait(router.builds.life_s - 2)
        self.assertIsNone(router.builds.only_build(SERVICE))
        await router.wait(4 + 2 * STAGGER_S)
        self.assertEqual("v2", router.builds.only_build(SERVICE))

    async def test_streams_begin_at_a_new_build_only_once_it_is_recorded(self) -> None:
        """Guards against a kill of all routers right after a release has begun (ORDER)."""
        await self.record("v1")
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        router.put("t2", "v2")
        self.assertFalse(router.builds.may_begin(SERVICE, "v2"))
        self.assertTrue(router.builds.may_begin(SERVICE, "v1"))
        await router.wait(2 * STAGGER_S + 1)
        self.assertTrue(router.builds.may_begin(SERVICE, "v2"))

    async def test_router_that_has_missed_changes_does_not_vouch_for_a_single_build(self) -> None:
        """Guards against a build that came and went while the copy was old (ORDER)."""
        await self.record(None)
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        router.builds.copy_age_s = lambda: router.builds.life_s
        await router.wait(2 * router.builds.life_s)
        self.assertIsNone(router.builds.only_build(SERVICE))

    async def test_record_that_a_restore_has_lost_is_written_again(self) -> None:
        """Guards against take-ups refused from a restore of the store on."""
        await self.record("v1")
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        await router.wait(router.builds.life_s + 1)
        await self.store.commit(Transaction(deletes=[KEY]))
        await router.read_store()
        self.assertIsNone(router.builds.only_build(SERVICE))
        await router.wait(2 * STAGGER_S + 1)
        self.assertEqual("v1", router.builds.only_build(SERVICE))

    async def test_record_of_before_a_restore_says_nothing_to_a_router_that_starts(self) -> None:
        """Guards against a restore that brings back a single build of before a release (ORDER)."""
        await self.record("v1")
        self.store.current_era = 1
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        self.assertIsNone(router.builds.only_build(SERVICE))
        self.assertIsNone(await router.take_ups.find("c", "r1", SERVICE))
        await router.wait(router.builds.life_s + 2 * STAGGER_S + 1)
        self.assertEqual("v1", router.builds.only_build(SERVICE))

    async def test_record_of_before_a_restore_holds_for_a_router_that_has_seen_all(self) -> None:
        """Guards against take-ups refused after each restore, and a record left as it was."""
        await self.record("v1")
        router = self.make_router()
        await router.read_store()
        router.put("t1", "v1")
        await router.wait(router.builds.life_s + 1)
        self.store.current_era = 1
        self.assertEqual("v1", router.builds.only_build(SERVICE))
        await router.wait(2 * STAGGER_S + 1)
        started = self.make_router("peer:1")
        await started.read_store()
        started.put("t1", "v1")
        self.assertEqual("v1", started.builds.only_build(SERVICE))

    async def test_nothing_is_written_while_one_build_serves(self) -> None:
        """Guards against calls to the store that no release pays for."""
        await self.record("v1")
        router = self.make_router()
        await router.read_store()
        before = router.revision
        router.put("t1", "v1")
        router.begin("r1", "v1")
        await router.wait(2 * router.builds.life_s)
        self.assertEqual((before, []), (router.revision, router.gossip.delivered()))

    async def test_one_of_the_routers_records_a_build(self) -> None:
        """Guards against a write of each router at each release."""
        await self.record("v1")
        routers = [self.make_router(name) for name in (ROUTER, "peer:1", "peer:2")]
        before = 0
        for router in routers:
            await router.read_store()
            before = router.revision or 0
            router.put("t1", "v1")
            router.put("t2", "v2")
        for _ in range(20):
            self.clock.advance(0.25)
            for router in routers:
                await router.builds._check(SERVICE)
            for router in routers:
                await router.read_store()
        self.assertEqual(before + 1, routers[0].revision)

    async def test_odd_records_are_no_single_build(self) -> None:
        """Guards against a record of another writer that joins streams, or ends the router."""
        router = self.make_router()
        router.put("t1", "v1")
        for value in (
            b"",
            b"[]",
            b"\xff",
            b'{"only": 7, "era": 0}',
            b'{"only": ["v1"], "era": 0}',
            b'{"only": "v1"}',
            b'{"only": "v1", "era": "0"}',
            b"{}",
        ):
            with self.subTest(value):
                router.builds.handle_stored(SERVICE, value)
                self.assertIsNone(router.builds.only_build(SERVICE))


class TakeUpTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        store = InMemoryStore(self.clock)
        self.here, self.there = Router(self.clock, store), Router(self.clock, store, "peer:1")
        for router in (self.here, self.there):
            router.put("t1", "v1")
            router.put("t2", "v2")

    def deliver(self) -> None:
        for fields in self.there.gossip.delivered():
            self.here.take_ups.handle_begun(fields)

    async def test_stream_goes_on_through_another_router_at_its_build(self) -> None:
        """Guards against take-ups that only the router of the first try can serve (LOST)."""
        self.there.begin("r1", "v2")
        self.deliver()
        found = await self.here.take_ups.find("c", "r1", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v2"), found)
        self.assertEqual(0, self.here.peer.reads)

    async def test_streams_from_before_a_release_are_told_when_it_begins(self) -> None:
        """Guards against take-ups refused for streams that began while one version served."""
        await self.there.store.commit(Transaction(puts=[Put(KEY, b'{"only": "v1", "era": 0}')]))
        router = Router(self.clock, self.there.store, "peer:2")
        await router.read_store()
        router.put("t1", "v1")
        router.begin("r1", "v1")
        self.assertEqual([], router.gossip.delivered())
        router.put("t2", "v2")
        (fields,) = router.gossip.delivered()
        self.here.take_ups.handle_begun(fields)
        self.assertIsNotNone(await self.here.take_ups.find("c", "r1", SERVICE))

    async def test_stream_whose_announcement_was_lost_is_asked_for(self) -> None:
        """Guards against take-ups refused for a lost datagram, or after a start (LOST)."""
        self.there.begin("r1", "v1")
        self.here.peer.streams = self.there.take_ups.streams_to_share()
        found = await self.here.take_ups.find("c", "r1", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v1"), found)
        for number in range(20):
            self.assertIsNone(await self.here.take_ups.find("c", f"x{number}", SERVICE))
        self.assertEqual(1, self.here.peer.reads)

    async def make_outdated_router(self) -> Router:
        """Create a router whose copy of the store is of before a release."""
        record = Put(KEY, b'{"only": "v1", "era": 0}')
        await self.here.store.commit(Transaction(puts=[record]))
        router = Router(self.clock, self.here.store, "peer:2")
        await router.read_store()
        router.put("t1", "v1")
        router.builds.copy_age_s = lambda: 60.0
        router.builds.update_copy = nobody_answers
        return router

    async def test_router_with_an_old_copy_asks_peers_before_it_relies_on_a_single_build(
        self,
    ) -> None:
        """Guards against a router cut off from a release that joins its streams (ORDER)."""
        router = await self.make_outdated_router()
        self.there.begin("r1", "v2")
        router.peer.streams = self.there.take_ups.streams_to_share()
        found = await router.take_ups.find("c", "r1", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v2"), found)
        self.assertIsNone(await router.take_ups.find("c", "r2", SERVICE))

    async def test_router_with_a_young_copy_brings_it_up_to_date_before_it_relies_on_it(
        self,
    ) -> None:
        """Guards against a copy that is some moments behind a release (ORDER)."""
        router = await self.make_outdated_router()
        router.builds.copy_age_s = lambda: 0.1

        async def read_store(since_s: float) -> bool:
            router.put("t2", "v2")
            return True

        router.builds.update_copy = read_store
        self.assertIsNone(await router.take_ups.find("c", "r1", SERVICE))
        self.there.begin("r2", "v2")
        router.peer.streams = self.there.take_ups.streams_to_share()
        self.clock.advance(MIN_READ_INTERVAL_S)
        found = await router.take_ups.find("c", "r2", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v2"), found)

    async def test_answer_of_peers_to_an_earlier_take_up_says_nothing_of_a_later_one(self) -> None:
        """Guards against a stream that began after peers were asked (ORDER)."""
        router = await self.make_outdated_router()
        self.assertIsNotNone(await router.take_ups.find("c", "r0", SERVICE))
        self.clock.advance(0.4)
        self.there.begin("r1", "v2")
        router.peer.streams = self.there.take_ups.streams_to_share()
        finding = asyncio.create_task(router.take_ups.find("c", "r1", SERVICE))
        await asyncio.sleep(0.01)
        self.clock.advance(MIN_READ_INTERVAL_S)
        self.assertEqual(StreamBuild(SERVICE, "v2"), await finding)

    async def test_one_silent_peer_leaves_it_open_whether_there_is_a_single_build(self) -> None:
        """Guards against a peer that is out of step itself and speaks for all others (ORDER)."""
        router = await self.make_outdated_router()
        router.peer.is_one_silent = True
        self.assertIsNone(await router.take_ups.find("c", "r1", SERVICE))
        self.assertTrue(router.take_ups.may_find_later(SERVICE))

    async def test_router_that_goes_by_its_own_sight_after_a_restore_asks_all_peers(self) -> None:
        """Guards against a release that a restore has taken back, and its streams (ORDER)."""
        router = await self.make_outdated_router()
        router.builds.copy_age_s = lambda: 0.1
        router.builds.update_copy = servicebuilds._is_always_current
        self.clock.advance(router.builds.life_s)
        router.put("t1", "v1")
        self.assertIsNotNone(await router.take_ups.find("c", "r1", SERVICE))
        self.assertEqual(0, router.peer.reads)
        self.here.store.current_era = 1
        self.assertEqual("v1", router.builds.only_build(SERVICE))
        self.there.begin("r2", "v2")
        router.peer.streams = self.there.take_ups.streams_to_share()
        found = await router.take_ups.find("c", "r2", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v2"), found)

    async def test_old_copy_is_no_reason_to_refuse_while_peers_know_no_other_build(self) -> None:
        """Guards against take-ups refused in an outage of the store (LOST)."""
        router = await self.make_outdated_router()
        found = await router.take_ups.find("c", "r1", SERVICE)
        self.assertEqual(StreamBuild(SERVICE, "v1"), found)

    async def test_router_that_is_cut_off_relies_on_no_single_build(self) -> None:
        """Guards against a router that nothing reaches but its callers (ORDER)."""
        router = await self.make_outdated_router()
        router.peer.is_silent = True
        self.assertIsNone(await router.take_ups.find("c", "r1", SERVICE))

    async def test_announced_stream_of_another_build_ends_the_belief_in_a_single_one(self) -> None:
        """Guards against a copy that is one change behind a release (ORDER)."""
        router = await self.make_outdated_router()
        router.builds.copy_age_s = lambda: 0.1
        self.there.begin("r1", "v2")
        for fields in self.there.gossip.delivered():
            router.take_ups.handle_begun(fields)
        self.assertIsNone(await router.take_ups.find("c", "r2", SERVICE))

    async def test_names_that_fit_no_stream_find_none_and_take_no_memory(self) -> None:
        """Guards against another customer's stream, and memory that callers can fill."""
        self.here.begin("r1", "v1")
        for customer, name in (("d", "r1"), ("c", ""), ("c", "x" * 100_000), ("cr", "1")):
            self.assertIsNone(await self.here.take_ups.find(customer, name, SERVICE))
        self.assertEqual(1, len(self.here.take_ups.table))
        self.assertEqual(KEY_BYTES, len(stream_key("c", "\udcff" * 100_000)))
        self.assertEqual("", _parse_resumes(["r1", "r2"]))
        self.assertEqual("", _parse_resumes([]))

    async def test_odd_announcements_are_refused(self) -> None:
        """Guards against a peer's message that ends a router or fills its memory."""
        odd: list[list[object]] = [[], [SERVICE], [SERVICE, "v1", 7], [SERVICE, "v1", [b"short"]]]
        for fields in odd:
            with self.subTest(fields), self.assertRaises((DecodingError, ValueError)):
                self.here.take_ups.handle_begun(fields)
        self.assertEqual(0, len(self.here.take_ups.table))

    def test_table_is_bounded_in_number_and_time(self) -> None:
        """Guards against memory that grows with the streams of a day."""
        table = StreamTable(self.clock, 20.0, max_streams=100)
        for number in range(1000):
            table.record(number.to_bytes(KEY_BYTES), StreamBuild(SERVICE, "v1"))
        self.assertEqual(100, len(table))
        self.clock.advance(20.1)
        self.assertIsNone(table.find((999).to_bytes(KEY_BYTES)))
        self.assertEqual(0, len(table))


class PeerStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.addresses = [f"127.0.0.1:{port}" for port in free_ports(3)]
        clock = ManualClock()
        self.there = Router(clock, InMemoryStore(clock))
        self.there.put("t1", "v1")
        self.there.put("t2", "v2")
        self.there.begin("r1", "v1")
        self.here = Router(clock, InMemoryStore(clock))
        self.here.put("t1", "v1")
        self.here.put("t2", "v2")
        self.routers = [
            Peers(RouterEntry(a, "a", "east"), [], random.Random(1)) for a in self.addresses
        ]
        reader, answering, _ = self.routers
        answering.list_streams_to_share = self.there.take_ups.streams_to_share
        for peers in (reader, answering):
            await peers.start()
            self.addAsyncCleanup(peers.close)
        for name, address in zip("bc", self.addresses[1:], strict=True):
            reader.add(name, RouterEntry(address, "a", "east"))
        self.take_ups = TakeUps(clock, self.here.builds, self.here.gossip, reader)

    async def test_silent_peer_does_not_hide_what_others_know(self) -> None:
        """Guards against take-ups refused, or held, as one of the peers is frozen (LOST)."""
        host, _, port = self.addresses[2].rpartition(":")
        # Connections are accepted by the system, and nobody reads from them.
        silent = socket.create_server((host, int(port)))
        began_s = time.monotonic()
        found = await self.take_ups.find("c", "r1", SERVICE)
        took_s = time.monotonic() - began_s
        self.assertIsNone(await self.take_ups.find("c", "r2", SERVICE))
        silent.close()
        self.assertEqual(StreamBuild(SERVICE, "v1"), found)
        self.assertLess(took_s, READ_TIMEOUT_S)

    async def test_peers_that_all_refuse_connections_have_not_answered(self) -> None:
        """Guards against a router that takes the silence of all peers for their word (ORDER)."""
        await self.routers[1].close()
        self.assertFalse(await self.routers[0].read_streams(READ_TIMEOUT_S, lambda streams: None))

    async def test_all_peers_have_answered_only_if_each_one_has(self) -> None:
        """Guards against the routers that began streams and are not among those that answer."""
        for must_ask_all, expected in ((False, True), (True, False)):
            answered = await self.routers[0].read_streams(
                READ_TIMEOUT_S, lambda streams: None, must_ask_all
            )
            self.assertEqual(expected, answered)


class TakenUpStreamTest(unittest.IsolatedAsyncioTestCase):
    """Take-ups by callers, at a router that knows the stream."""

    def setUp(self) -> None:
        self.asked: list[str] = []
        self.fixture = ForwarderFixture(ManualClock(), self.respond)
        forwarder = self.fixture.forwarder
        self.route = make_route(
            "/s/", service="plain", retry_policy=RetryPolicy.RESUMABLE, is_stream=True
        )
        forwarder.routing_config = make_config(self.route)
        for name, build in (("t1", "v1"), ("t22", "v2"), ("t333", "v2"), ("t4444", "v2")):
            entry = make_entry(name, "plain")
            self.fixture.add(
                type(entry)(
                    name, "plain", entry.address, "a", 8, False, {}, started_ms=1, build=build
                )
            )

    def respond(self, target: Target, request: CallerRequest, directive: Directive) -> FakeResponse:
        self.asked.append(target.name)
        return FakeResponse(chunks=(b"id: 3\ndata: b\n\n",))

    async def take_up(self, resumes: str) -> FakeWriter:
        request = make_request("/s/x", request_id="r2", received_s=self.fixture.clock.monotonic_s())
        request.resume_after = 2
        request.resumes = resumes
        writer = FakeWriter()
        await self.fixture.forwarder.serve(request, writer)
        return writer

    async def test_taken_up_stream_goes_on_at_its_build(self) -> None:
        """Guards against a stream joined over a caller's tries (ORDER)."""
        for number in range(10):
            stream = StreamBuild("plain", "v1")
            self.fixture.take_ups.record_begun("customer", f"r{number}", stream)
            writer = await self.take_up(f"r{number}")
            self.assertEqual(200, writer.status)
        self.assertEqual({"t1"}, set(self.asked))

    async def test_take_up_that_nobody_confirms_may_come_back(self) -> None:
        """Guards against a stream lost for good at a router that is only out of touch (LOST)."""
        builds = self.fixture.builds
        with mock.patch.object(builds, "only_build", return_value="v1"):
            builds.update_copy = nobody_answers
            with mock.patch.object(NoPeerStreams, "read_streams", return_value=False):
                writer = await self.take_up("r1")
        assert writer.failure is not None
        self.assertEqual(503, writer.failure.error_response.status)
        self.assertIsNotNone(writer.failure.effective_retry_after_s)
        self.assertEqual([], self.asked)

    async def test_stream_whose_build_has_left_is_refused_at_once(self) -> None:
        """Guards against callers that wait, or return, for servers that never come back."""
        stream = StreamBuild("plain", "v0")
        self.fixture.take_ups.record_begun("customer", "r1", stream)
        began_s = self.fixture.clock.monotonic_s()
        writer = await self.take_up("r1")
        assert writer.failure is not None
        self.assertEqual(503, writer.failure.error_response.status)
        self.assertIsNone(writer.failure.effective_retry_after_s)
        self.assertEqual(began_s, self.fixture.clock.monotonic_s())
        self.assertEqual([], self.asked)

    async def test_stream_of_another_service_is_not_taken_up(self) -> None:
        """Guards against a stream that goes on at the service to which its route has moved."""
        stream = StreamBuild("engines", "v1")
        self.fixture.take_ups.record_begun("customer", "r1", stream)
        writer = await self.take_up("r1")
        self.assertIsNotNone(writer.failure)
        self.assertEqual([], self.asked)


if __name__ == "__main__":
    unittest.main()
