"""Tests of requests that crash each target which runs them, told from others by their digest."""

import json
import random
import unittest
from unittest import mock

from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct import gossip
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.crashevidence import (
    EPISODE_S,
    MAX_SUSPECTS_PER_CRASH,
    SETTLE_S,
    CrashEvidence,
    Parts,
    Suspect,
)
from coltsfootfront.direct.crashobserver import CrashObserver
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.quarantinekeeper import QuarantineKeeper
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.targetclient import Directive, TargetResponse
from coltsfootfront.tests.direct_support import (
    REGIONS,
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    exchange_error,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.support import InMemoryStore, ManualClock

EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"
DEADLY_BODY = b"deadly"
DEADLY: Parts = ("shared", "document", "request:deadly")


class DigestEvidenceTest(unittest.TestCase):
    """Evidence about requests with a digest beside their shared parts."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.evidence = CrashEvidence(self.clock)
        self.crashes = 0

    def _crash(self, *requests: Parts, after_s: float = 1.0) -> None:
        self.clock.advance(after_s)
        self.crashes += 1
        suspects = [Suspect(parts, False) for parts in requests]
        self.evidence.record_crash(f"t{self.crashes}", 1, suspects)

    def _convicted(self, *convicted: frozenset[str]) -> frozenset[str]:
        self.clock.advance(SETTLE_S)
        conviction = self.evidence.convict(list(convicted))
        return conviction.parts if conviction is not None else frozenset()

    def test_repeated_request_is_convicted_without_its_parts(self) -> None:
        """Guards against sound requests that are held back for parts of a deadly one."""
        for _ in range(3):
            self._crash(DEADLY)
        self.assertEqual({"request:deadly"}, self._convicted())

    def test_digest_is_convicted_before_a_part_of_more_crashes(self) -> None:
        """Guards against a sound part that is held back as it is at one more crash."""
        for _ in range(3):
            self._crash(DEADLY)
        self._crash(("shared", "document", "request:other"))
        self.assertEqual({"request:deadly"}, self._convicted())

    def test_part_of_different_requests_is_convicted(self) -> None:
        """Guards against a deadly part that hides behind the digests of its requests."""
        for number in range(3):
            self._crash(("shared", "deadly", f"request:{number}"))
            self.evidence.record_answer(("shared", f"request:sound{number}"))
        self.assertEqual({"deadly"}, self._convicted())

    def test_part_is_convicted_beside_a_digest_of_it(self) -> None:
        """Guards against a deadly part that starts anew once one of its requests is convicted."""
        for _ in range(3):
            self._crash(("shared", "deadly", "request:1"))
            self.evidence.record_answer(("shared", "request:sound"))
        first = self._convicted()
        self.assertEqual({"request:1"}, first)
        for number in (2, 3):
            self._crash(("shared", "deadly", f"request:{number}"))
            self.evidence.record_answer(("shared", "request:sound"))
        self.assertEqual({"deadly"}, self._convicted(first))

    def test_reports_of_peers_without_digests_convict_parts(self) -> None:
        """Guards against evidence of routers of an earlier version that is lost."""
        self._crash(("shared", "deadly"))
        self._crash(("shared", "deadly", "request:1"))
        self._crash(("shared", "deadly"))
        self.evidence.record_answer(("shared", "request:sound"))
        self.assertEqual({"deadly"}, self._convicted())

    def test_memory_is_bounded(self) -> None:
        """Guards against evidence that grows with the digests of all lost requests."""
        for number in range(3):
            requests = [(f"request:{number}-{index}",) for index in range(400)]
            self._crash(*requests)
        for crash in self.evidence._crashes.values():
            self.assertEqual(MAX_SUSPECTS_PER_CRASH, len(crash.suspects))


class DigestTest(unittest.TestCase):
    def test_digest_tells_requests_apart(self) -> None:
        """Guards against requests that are held back for another one, or show their key."""
        requests = [make_request(), make_request("/plain/y"), make_request(key="other")]
        for change in ({"method": "PUT"}, {"host": "g"}, {"body": b"a"}):
            requests.append(make_request())
            for name, value in change.items():
                setattr(requests[-1], name, value)
        digests = {request.digest for request in requests}
        self.assertEqual(len(requests), len(digests))
        self.assertEqual(requests[0].digest, make_request(request_id="r2").digest)
        self.assertFalse([digest for digest in digests if "key" in digest or "other" in digest])


class QuickCrashesTest(unittest.IsolatedAsyncioTestCase):
    """Crashes that follow each other within EPISODE_S."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock, REGIONS)
        self.sent: list[tuple[str, list[object]]] = []
        channel = mock.Mock(spec=gossip.Gossip)
        channel.broadcast.side_effect = lambda kind, fields: self.sent.append((kind, fields))
        self.keeper = self._make_keeper(channel)
        self.observer = CrashObserver(self.clock, self.keeper.record_crash, lambda target: None)

    def _make_keeper(self, channel: gossip.Gossip) -> QuarantineKeeper:
        store = InMemoryStore(self.clock)
        return QuarantineKeeper(
            self.clock, "r", channel, store, lambda key: 0, lambda parts: 0, random.Random(1)
        )

    def _target(self, name: str) -> Target:
        self.directory.put(make_entry(name))
        target = self.directory.get(name)
        assert target is not None
        return target

    def _convicted(self, keeper: QuarantineKeeper) -> list[set[str]]:
        self.clock.advance(SETTLE_S)
        keeper._convict()
        return [set(record.parts) for record in keeper._quarantine.records()]

    def _crash_in_turn(self, *others: Parts) -> None:
        """Crash targets by a request that is sent to the next one after each crash."""
        for number in range(3):
            target = self._target(f"t{number}")
            for parts in (DEADLY, *others):
                exchange = self.observer.begin(parts, ReadTimeout(1.0), False)
                self.clock.advance(EPISODE_S / 20)
                self.observer.record_loss(target, exchange)
                self.observer.end(exchange)
            self.observer.record_down(target)

    def _crash_together(self, count: int, requests: dict[str, list[Parts]]) -> None:
        """Crash targets at the same moment, with requests that had been sent to them before.

        :param requests: requests at each target besides those of the name "all".
        """
        targets = [self._target(f"t{number}") for number in range(count)]
        lost = [
            (target, self.observer.begin(parts, ReadTimeout(1.0), False))
            for target in targets
            for parts in (*requests["all"], *requests.get(target.name, []))
        ]
        for target, exchange in lost:
            self.clock.advance(EPISODE_S / 1000)
            self.observer.record_loss(target, exchange)
        for target in targets:
            self.observer.record_down(target)

    async def test_crashes_by_attempts_in_turn_count_singly(self) -> None:
        """Guards against quick attempts of one request that are taken for a power failure."""
        self._crash_in_turn()
        self.assertEqual([{"request:deadly"}], self._convicted(self.keeper))

    async def test_peers_count_crashes_by_attempts_in_turn_singly(self) -> None:
        """Guards against a conviction that only the router reaches which sent the attempts."""
        self._crash_in_turn()
        peer = self._make_keeper(mock.Mock(spec=gossip.Gossip))
        for kind, fields in self.sent:
            handler = getattr(peer, f"handle_{kind}")
            handler(list(fields))
        self.assertEqual([{"request:deadly"}], self._convicted(peer))

    async def test_power_failure_does_not_convict_a_popular_request(self) -> None:
        """Guards against a request of many callers that is held back after a power failure."""
        popular: Parts = ("request:popular",)
        alone: dict[str, list[Parts]] = {
            f"t{number}": [(f"request:{number}",)] for number in range(6)
        }
        self._crash_together(6, {"all": [popular], **alone})
        self.assertEqual([], self._convicted(self.keeper))

    async def test_power_failure_of_targets_one_after_the_other_convicts_nothing(self) -> None:
        """Guards against a popular request that is sent on to targets which fail a moment later."""
        popular: Parts = ("request:popular",)
        for number in range(6):
            target = self._target(f"t{number}")
            requests = [(f"request:{number}",)] if number % 3 == 1 else [popular]
            for parts in requests:
                exchange = self.observer.begin(parts, ReadTimeout(1.0), False)
                self.clock.advance(EPISODE_S / 20)
                self.observer.record_loss(target, exchange)
            self.observer.record_down(target)
        self.assertEqual([], self._convicted(self.keeper))

    async def test_record_of_an_earlier_version_holds_only_its_request_back(self) -> None:
        """Guards against a record with parts and digest that holds sound requests back."""
        record = {"id": "x", "parts": list(DEADLY), "targets": 3, "hold_s": 20.0, "trials": 0}
        record |= {"since_ms": 1, "reported_by": "peer", "is_released": False}
        self.keeper.handle_quarantined([json.dumps(record).encode()])
        self.assertIsNotNone(self.keeper.held_for_s(DEADLY))
        self.assertIsNone(self.keeper.held_for_s((*DEADLY[:-1], "request:sound")))

    async def test_answer_clears_only_the_request_that_it_proves_sound(self) -> None:
        """Guards against a popular request that stays suspected, or clears a deadly one."""
        popular: Parts = ("shared", "request:popular")
        for number in range(3):
            self.clock.advance(1.0)
            target = self._target(f"t{number}")
            for parts in (popular, DEADLY):
                exchange = self.observer.begin(parts, ReadTimeout(1.0), False)
                self.observer.record_loss(target, exchange)
            self.observer.record_down(target)
            with mock.patch("coltsfootfront.direct.quarantinekeeper.log") as log:
                self.keeper.record_answer(popular)
            self.assertEqual(1, log.info.call_count)
        self.assertEqual([{"request:deadly"}], self._convicted(self.keeper))


class DeadlyRequestTest(unittest.IsolatedAsyncioTestCase):
    """A forwarder whose targets crash on requests with one body."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.fixture = ForwarderFixture(self.clock, self._respond)
        self.fixture.crash_observer._confirm = self._confirm
        self.lost: list[str] = []
        self.unconfirmed = 0
        self.starts = 1

    def _use(self, policy: RetryPolicy, max_attempts: int, service: str = "plain") -> None:
        is_stream = service == "engines"
        route = make_route("/x/", service, policy, is_stream, max_attempts)
        self.fixture.forwarder.routing_config = make_config(route)
        self.service = service
        self._restart()

    def _restart(self) -> None:
        self.starts += 1
        for number in range(5):
            name = f"t{number}"
            self.fixture.directory.put(make_entry(name, self.service, started_ms=self.starts))

    def _respond(self, target: Target, sent: CallerRequest, directive: Directive) -> TargetResponse:
        if sent.body == DEADLY_BODY:
            self.lost.append(target.name)
            raise exchange_error()
        return FakeResponse(chunks=(EVENTS,), version=1)

    def _confirm(self, target: Target) -> None:
        if len(self.lost) <= 1 or not self.unconfirmed:
            self.fixture.crash_observer.record_down(target)

    async def _serve(self, body: bytes, parts: tuple[tuple[str, int], ...] = ()) -> FakeWriter:
        request = make_request("/x/a", received_s=self.clock.monotonic_s(), parts=parts)
        request.body = body
        writer = FakeWriter()
        await self.fixture.forwarder.serve(request, writer)
        self.clock.advance(1.0)
        self.fixture.quarantine._convict()
        return writer

    async def _check_held_back(self, policy: RetryPolicy) -> None:
        self._use(policy, 1)
        for _ in range(3):
            await self._serve(DEADLY_BODY)
            self.assertEqual(200, (await self._serve(b"sound")).status)
            self._restart()
        writer = await self._serve(DEADLY_BODY)
        assert writer.failure is not None
        self.assertEqual(ErrorKind.QUARANTINED, writer.failure.kind)
        self.assertGreater(writer.failure.effective_retry_after_s or 0.0, 1.0)
        self.assertEqual(3, len(self.lost))
        self.assertEqual(200, (await self._serve(b"sound")).status)

    async def test_plain_request_is_held_back(self) -> None:
        """Guards against a request without a prompt that crashes target after target (BUDGET)."""
        await self._check_held_back(RetryPolicy.IDEMPOTENT)

    async def test_request_that_may_run_once_is_held_back(self) -> None:
        """Guards against a run-once request that crashes target after target (BUDGET)."""
        await self._check_held_back(RetryPolicy.ONCE)

    async def test_sound_requests_with_its_parts_do_not_clear_it(self) -> None:
        """Guards against a deadly request that sound ones with the same parts hide, or suffer."""
        self._use(RetryPolicy.ONCE, 1, "engines")
        for number in range(3):
            await self._serve(DEADLY_BODY, (("shared", 500), ("document", 100), ("d", 10)))
            parts = (("shared", 500), ("document", 100), (f"s{number}", 10))
            self.assertEqual(200, (await self._serve(b"sound", parts)).status)
            self._restart()
        for body, parts, kind in (
            (DEADLY_BODY, (("shared", 500), ("document", 100), ("d", 10)), ErrorKind.QUARANTINED),
            (b"sound", (("shared", 500), ("document", 100), ("s", 10)), None),
        ):
            writer = await self._serve(body, parts)
            self.assertEqual(kind, writer.failure.kind if writer.failure else None)

    async def test_router_does_not_send_it_to_a_third_target(self) -> None:
        """Guards against the attempts of one request that crash more than two targets."""
        for unconfirmed in (0, 1):
            with self.subTest(unconfirmed=unconfirmed):
                await self.asyncSetUp()
                self.unconfirmed = unconfirmed
                self._use(RetryPolicy.IDEMPOTENT, 4)
                await self._serve(DEADLY_BODY)
                self.assertEqual(2, len(self.lost))


if __name__ == "__main__":
    unittest.main()
