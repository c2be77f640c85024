"""Tests of the limits that targets name on the requests of all routers together."""

import asyncio
import unittest

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.limitrecorder import LimitRecorder
from coltsfootfront.direct.permitmessages import PermitRequest, TargetKey
from coltsfootfront.direct.targetclient import Directive, TargetResponse
from coltsfootfront.tests.direct_support import (
    REGIONS,
    FakeClient,
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.support import ManualClock


class LimitRecorderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock, REGIONS)
        self.announced: list[tuple[str, float | None]] = []
        self.recorder = LimitRecorder(
            self.clock,
            self.directory,
            lambda target, rate_per_s: self.announced.append((target.name, rate_per_s)),
        )
        self.target = self._add("t1")

    def _add(self, name: str, started_ms: int = 1) -> Target:
        self.directory.put(make_entry(name, started_ms=started_ms))
        target = self.directory.get(name)
        assert target is not None
        return target

    def _metric(self) -> float | None:
        return metrics.TARGET_LIMIT_PER_S.values.get({"target": "t1"})

    def test_limit_is_in_force_until_a_later_request_is_answered_without_it(self) -> None:
        """Guards against a limit that never ends, and one that an overtaken response ends."""
        self.recorder.record_response(self.target, 1.5, self.clock.monotonic_s())
        self.assertEqual(1.5, self._metric())
        named_s = self.clock.monotonic_s()
        self.clock.advance(0.2)
        self.recorder.record_response(self.target, None, named_s - 0.1)
        assert self.target.limit is not None
        self.assertEqual((1.5, named_s), (self.target.limit.rate_per_s, self.target.limit.since_s))
        self.recorder.record_response(self.target, None, named_s + 0.1)
        self.assertIsNone(self.target.limit)
        self.assertIsNone(self._metric())

    def test_limit_of_a_target_that_has_gone_ends(self) -> None:
        """Guards against a metric that reports a limit of a target that no longer exists."""
        self.recorder.record_response(self.target, 2.0, self.clock.monotonic_s())
        self.recorder.end_stale()
        self.assertEqual(2.0, self._metric())
        restarted = self._add("t1", started_ms=2)
        self.recorder.end_stale()
        self.assertIsNone(self._metric())
        self.assertIsNone(restarted.limit)

    def test_each_change_is_announced_to_peers(self) -> None:
        """Guards against a limit that only the router that was told knows of."""
        for rate_per_s in (2.0, 2.0, 3.0, None, None):
            self.recorder.record_response(self.target, rate_per_s, self.clock.monotonic_s())
        self.assertEqual([("t1", 2.0), ("t1", 3.0), ("t1", None)], self.announced)

    def test_limit_that_stays_in_force_is_announced_again(self) -> None:
        """Guards against routers that started after a limit was named and never learn of it."""
        for _ in range(30):
            self.recorder.record_response(self.target, 2.0, self.clock.monotonic_s())
            self.clock.advance(0.1)
        self.assertEqual([("t1", 2.0)] * 3, self.announced)

    def test_limit_reported_by_a_peer(self) -> None:
        """Guards against a peer's report that is ignored, repeated, or applied to a later start."""
        self.recorder.record_peer("t1", 1, 2.0)
        assert self.target.limit is not None
        self.assertEqual("a peer", self.target.limit.source)
        self.recorder.record_peer("unknown", 1, 2.0)
        self.recorder.record_peer("t1", 7, 9.0)
        self.assertEqual(2.0, self.target.limit.rate_per_s)
        self.recorder.record_peer("t1", 1, None)
        self.assertIsNone(self.target.limit)
        self.assertEqual([], self.announced)


class LimitedForwardingTest(unittest.IsolatedAsyncioTestCase):
    def _fixture(
        self, limited: tuple[str, ...], rate_per_s: float, aim_s: float = 2.0
    ) -> ForwarderFixture:
        def respond(target: Target, sent: CallerRequest, directive: Directive) -> TargetResponse:
            return FakeResponse(limit_per_s=rate_per_s if target.name in limited else None)

        fixture = ForwarderFixture(SystemClock(), respond)
        fixture.add(make_entry("t1", "plain"), make_entry("t2", "plain"))
        for name in limited:
            target = fixture.directory.get(name)
            assert target is not None
            fixture.limits.record_response(target, rate_per_s, 0.0)
        fixture.forwarder.routing_config = make_config(make_route(aim_s=aim_s))
        return fixture

    async def _serve(self, fixture: ForwarderFixture, count: int) -> list[FakeWriter]:
        writers = [FakeWriter() for _ in range(count)]
        await asyncio.gather(
            *(
                fixture.forwarder.serve(
                    make_request(request_id=f"r{number}", deadline_s=60.0), writer
                )
                for number, writer in enumerate(writers)
            )
        )
        return writers

    async def test_requests_beyond_the_limit_go_to_other_targets(self) -> None:
        """Guards against refused or waiting requests while another target has no limit."""
        fixture = self._fixture(("t1",), rate_per_s=1.0)
        began_s = fixture.clock.monotonic_s()
        writers = await self._serve(fixture, 20)
        self.assertEqual({200}, {writer.status for writer in writers})
        # The first permit is available after a second, for which a request might wait.
        self.assertLess(fixture.clock.monotonic_s() - began_s, 0.8)
        self.assertEqual({"t2"}, {name for name, _ in fixture.client.sent})

    async def test_request_that_no_limit_admits_is_refused_at_once(self) -> None:
        """Guards against refusals after a wait, and against a Retry-After that cannot be true."""
        rate_per_s = 0.5
        fixture = self._fixture(("t1", "t2"), rate_per_s)
        began_s = fixture.clock.monotonic_s()
        writers = await self._serve(fixture, 9)
        # A request may wait 1.2 s for a target, and the first permit is available after 2 s.
        self.assertLess(fixture.clock.monotonic_s() - began_s, 0.8)
        retry_after_s = sorted(
            writer.failure.effective_retry_after_s or 0.0
            for writer in writers
            if writer.failure is not None
        )
        self.assertEqual(9, len(retry_after_s))
        self.assertEqual({503}, {w.failure.error_response.status for w in writers if w.failure})
        # Each target accepts one request in two seconds.
        for number, seconds in enumerate(retry_after_s):
            earliest_s = (1 + number // 2) / rate_per_s
            self.assertGreaterEqual(seconds, earliest_s - 1.0)
            self.assertLess(seconds, earliest_s + 1.0)

    async def test_request_waits_for_a_permit_that_is_available_in_time(self) -> None:
        """Guards against refusals of requests that the limit admits before they would be late."""
        fixture = self._fixture(("t1", "t2"), rate_per_s=10.0)
        began_s = fixture.clock.monotonic_s()
        writers = await self._serve(fixture, 4)
        self.assertEqual({200}, {writer.status for writer in writers})
        self.assertGreaterEqual(fixture.clock.monotonic_s() - began_s, 0.15)

    async def test_every_attempt_needs_a_permit(self) -> None:
        """Guards against retries that are sent beyond the limit."""
        fixture = self._fixture(("t1", "t2"), rate_per_s=1.0, aim_s=0.2)
        for name in ("t1", "t2"):
            target = fixture.directory.get(name)
            assert target is not None
            fixture.permits._issue(
                PermitRequest(0, "own:1", TargetKey(name, 1, "a"), 1.0, 0.0, 1, [], {})
            )
        await asyncio.sleep(1.05)
        fixture.client = fixture.forwarder._client = FakeClient(
            lambda target, sent, directive: FakeResponse(503, is_not_executed=True, limit_per_s=1.0)
        )
        writers = await self._serve(fixture, 1)
        self.assertEqual(2, len(fixture.client.sent))
        self.assertIsNotNone(writers[0].failure)
