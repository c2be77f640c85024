"""Tests of forwarding one request: what is retried, and what the caller receives."""

import asyncio
import unittest
from dataclasses import dataclass, replace
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import REJECTION_COOLDOWN_S, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.liveness import LivenessWatch
from coltsfootfront.direct.routingconfig import RetryPolicy, RoutingConfig
from coltsfootfront.direct.targetclient import Directive, ExchangeFailure, TargetResponse
from coltsfootfront.tests.direct_support import (
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    exchange_error,
    make_config,
    make_entry,
    make_request,
    make_route,
)

EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
NEXT_EVENT = b"id: 2\ndata: c\n\n"


@dataclass(frozen=True, slots=True)
class Case:
    """A request to a service with two targets, of which the first one tried fails."""

    name: str
    retry_policy: RetryPolicy
    first: TargetResponse | Exception
    sends: int
    kind: ErrorKind | None
    execution_state: ExecutionState = ExecutionState.NOT_RUN


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    def _fixture(
        self, *responses: TargetResponse | Exception, retries: float = 100.0
    ) -> ForwarderFixture:
        remaining = list(responses)

        def respond(target: Target, sent: CallerRequest, directive: Directive) -> TargetResponse:
            response = remaining.pop(0) if remaining else FakeResponse()
            if isinstance(response, Exception):
                raise response
            return response

        return ForwarderFixture(SystemClock(), respond, retries)

    async def test_which_failures_are_retried(self) -> None:
        """Guards against a second run of a request that may run once, and a false `NOT_RUN`."""
        once, idempotent = RetryPolicy.ONCE, RetryPolicy.IDEMPOTENT
        failed, refused = ErrorKind.TARGET_FAILED, ErrorKind.OVERLOADED
        not_executed = FakeResponse(503, is_not_executed=True)
        cases = (
            Case("once lost", once, exchange_error(), 1, failed, ExecutionState.UNKNOWN),
            Case(
                "once wrong response",
                once,
                exchange_error(ExchangeFailure.INVALID_RESPONSE),
                1,
                failed,
                ExecutionState.UNKNOWN,
            ),
            Case("once not sent", once, exchange_error(ExchangeFailure.NOT_SENT), 2, None),
            Case("once rejected", once, not_executed, 2, None),
            Case(
                "once broken",
                once,
                FakeResponse(chunks=(b"x", exchange_error())),
                1,
                failed,
                ExecutionState.UNKNOWN,
            ),
            Case("once 503 that ran", once, FakeResponse(503), 1, failed, ExecutionState.UNKNOWN),
            Case("idempotent lost", idempotent, exchange_error(), 2, None),
            Case("idempotent error", idempotent, FakeResponse(500), 2, None),
            Case(
                "idempotent broken",
                idempotent,
                FakeResponse(chunks=(b"x", exchange_error())),
                2,
                None,
            ),
        )
        self.assertNotEqual(failed, refused)
        for case in cases:
            with self.subTest(case.name):
                fixture = self._fixture(case.first)
                fixture.add(make_entry("t1", "plain"), make_entry("t2", "plain"))
                attempts = 1 if case.retry_policy is once else 2
                fixture.forwarder.routing_config = make_config(
                    make_route(retry_policy=case.retry_policy, max_attempts=attempts)
                )
                writer = FakeWriter()
                await fixture.forwarder.serve(make_request(), writer)
                self.assertEqual(case.sends, len(fixture.client.sent))
                if case.kind is None:
                    self.assertEqual((200, b"body"), (writer.status, writer.body))
                    self.assertTrue(writer.is_complete)
                else:
                    assert writer.failure is not None
                    self.assertEqual(case.kind, writer.failure.kind)
                    self.assertEqual(case.execution_state, writer.failure.execution_state)
                    self.assertIsNone(writer.failure.effective_retry_after_s)

    async def test_refusals_before_a_target_is_chosen(self) -> None:
        """Guards against 401 and 404 from a router that has no configuration yet."""
        known = make_config(make_route())
        cases = (
            ("no configuration", RoutingConfig(), make_request(), ErrorKind.NO_TARGET),
            ("no route", known, make_request("/other/x"), ErrorKind.NOT_FOUND),
            ("unknown key", known, make_request(key="other"), ErrorKind.UNAUTHENTICATED),
            ("no target", known, make_request(), ErrorKind.OVERLOADED),
        )
        for name, configuration, request, kind in cases:
            with self.subTest(name):
                fixture = self._fixture()
                fixture.forwarder.routing_config = configuration
                writer = FakeWriter()
                await fixture.forwarder.serve(request, writer)
                assert writer.failure is not None
                self.assertEqual(kind, writer.failure.kind)

    async def test_retry_after_is_at_most_a_third_of_the_remaining_time(self) -> None:
        """Guards against a ``Retry-After`` that is too long for the caller's deadline."""
        fixture = self._fixture()
        fixture.forwarder.routing_config = make_config(make_route())
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request(deadline_s=0.6), writer)
        assert writer.failure is not None and writer.failure.effective_retry_after_s is not None
        self.assertLessEqual(writer.failure.effective_retry_after_s, 0.2)

    async def test_retries_stop_when_the_budget_is_exhausted(self) -> None:
        """Guards against retries that multiply the load of a failing service."""
        fixture = self._fixture(*[exchange_error() for _ in range(50)], retries=5.0)
        fixture.add(make_entry("t1", "plain"), make_entry("t2", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        for number in range(10):
            await fixture.forwarder.serve(make_request(request_id=str(number)), FakeWriter())
        self.assertLessEqual(len(fixture.client.sent) - 10, 5 * 0.8 + 10 * 0.2)

    async def test_stream_resumes_elsewhere_without_gap_or_duplicate(self) -> None:
        """Guards against lost, duplicate and truncated events when a target fails mid-stream."""
        first = FakeResponse(chunks=(EVENTS, b"id: 2\nda", exchange_error()))
        fixture = self._fixture(first, FakeResponse(chunks=(b"id: 1\ndata: b\n\n", NEXT_EVENT)))
        fixture.add(make_entry("e1"), make_entry("e2"))
        fixture.forwarder.routing_config = make_config(
            make_route("/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True)
        )
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request("/ask/x", parts=(("p", 100), ("q", 10))), writer)
        self.assertEqual(EVENTS + NEXT_EVENT, writer.body)
        self.assertTrue(writer.is_complete)
        self.assertEqual([None, 1], [sent.resume_after for _, sent in fixture.client.sent])
        self.assertNotEqual(fixture.client.sent[0][0], fixture.client.sent[1][0])

    async def test_broken_stream_that_may_run_once_is_aborted(self) -> None:
        """Guards against a truncated stream that looks complete."""
        fixture = self._fixture(FakeResponse(chunks=(EVENTS, exchange_error())))
        fixture.add(make_entry("e1"), make_entry("e2"))
        fixture.forwarder.routing_config = make_config(
            make_route("/ask/", "engines", RetryPolicy.ONCE, is_stream=True, max_attempts=1)
        )
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request("/ask/x", parts=(("p", 100), ("q", 10))), writer)
        self.assertTrue(writer.is_aborted)
        self.assertFalse(writer.is_complete)
        self.assertEqual(1, len(fixture.client.sent))

    async def test_stopping_router_refuses_requests_that_may_not_finish(self) -> None:
        """Guards against long responses that are cut off when the grace period ends."""
        clock = SystemClock()
        fixture = self._fixture()
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(
            make_route(timeout_s=15.0), make_route("/short/", timeout_s=1.0)
        )
        fixture.forwarder.stop.exit_at_s = clock.monotonic_s() + 3.0
        for path, is_accepted in (("/plain/x", False), ("/short/x", True)):
            with self.subTest(path):
                writer = FakeWriter()
                await fixture.forwarder.serve(make_request(path), writer)
                self.assertEqual(is_accepted, writer.is_complete)
                self.assertEqual(is_accepted, writer.failure is None)

    async def test_engine_with_unexpected_weights_is_used_on_retry(self) -> None:
        """Guards against a restarted router that keeps expecting an old version of the weights."""
        rejected = FakeResponse(421, is_not_executed=True, is_other_version=True)
        fixture = self._fixture(rejected, FakeResponse(chunks=(EVENTS,)))
        fixture.add(make_entry("e1", version=1))
        fixture.versions.record_published("m", 3, fixture.clock.monotonic_s())
        fixture.forwarder.routing_config = make_config(
            make_route("/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True)
        )
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request("/ask/x", parts=(("p", 100), ("q", 10))), writer)
        self.assertEqual([1, 3], [sent.version for _, sent in fixture.client.sent])
        self.assertIsNone(writer.failure)

    async def test_peers_are_told_of_a_replaced_target_where_capacity_is_short(self) -> None:
        """Guards against a rejection, and a retry of the budget, at each router for each crash."""
        for has_quotas in (False, True):
            with self.subTest(has_quotas=has_quotas):
                fixture = self._fixture(
                    FakeResponse(421, is_not_executed=True, is_other_target=True)
                )
                fixture.costs.has_quotas = has_quotas
                fixture.forwarder.routing_config = make_config(make_route())
                fixture.add(make_entry("p0", service="plain"))
                with mock.patch.object(Gossip, "broadcast") as broadcast:
                    await fixture.forwarder.serve(make_request(), FakeWriter())
                told = [call.args for call in broadcast.call_args_list]
                self.assertEqual(told, [("leaving", ["p0", 1])] if has_quotas else [])

    async def test_another_target_at_the_address_gets_no_more_requests(self) -> None:
        """Guards against requests to an address that has been reassigned to another target."""
        fixture = self._fixture(FakeResponse(421, is_not_executed=True, is_other_target=True))
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request(), writer)
        await fixture.forwarder.serve(make_request(), FakeWriter())
        self.assertEqual(1, len(fixture.client.sent))
        self.assertEqual(ErrorKind.OVERLOADED, writer.failure and writer.failure.kind)

    async def test_draining_target_gets_no_more_requests(self) -> None:
        """Guards against new work for a draining target, also after an outdated entry reappears."""
        for first in (
            FakeResponse(is_leaving=True),
            FakeResponse(500, is_leaving=True),
            FakeResponse(503, is_not_executed=True, is_leaving=True),
        ):
            with self.subTest(status=first.status):
                fixture = self._fixture(first)
                fixture.add(make_entry("t1", "plain"))
                fixture.forwarder.routing_config = make_config(make_route())
                await fixture.forwarder.serve(make_request(), FakeWriter())
                self.assertEqual(1, len(fixture.client.sent))
                fixture.add(make_entry("t1", "plain"))
                writer = FakeWriter()
                await fixture.forwarder.serve(make_request(), writer)
                self.assertEqual(1, len(fixture.client.sent))
                assert writer.failure is not None
                self.assertEqual(ErrorKind.OVERLOADED, writer.failure.kind)
                fixture.add(make_entry("t1", "plain", started_ms=2))
                writer = FakeWriter()
                await fixture.forwarder.serve(make_request(), writer)
                self.assertTrue(writer.is_complete)

    async def test_drain_state_is_kept_after_the_entry_is_removed(self) -> None:
        """Guards against using a draining target again because its entry reappeared."""
        fixture = self._fixture(FakeResponse(is_leaving=True))
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        await fixture.forwarder.serve(make_request(), FakeWriter())
        target = fixture.directory.get("t1")
        assert target is not None
        fixture.directory._drop(target)
        fixture.add(make_entry("t1", "plain"))
        await fixture.forwarder.serve(make_request(), FakeWriter())
        self.assertEqual(1, len(fixture.client.sent))

    async def test_paused_target_gets_no_requests_until_the_pause_ends(self) -> None:
        """Guards against requests to a full target during the pause that it asked for."""
        full = FakeResponse(503, is_not_executed=True, pause_s=0.4)
        fixture = self._fixture(full)
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route(aim_s=0.2))
        began_s = fixture.clock.monotonic_s()
        for number in range(5):
            writer = FakeWriter()
            await fixture.forwarder.serve(make_request(request_id=str(number)), writer)
            assert writer.failure is not None and writer.failure.effective_retry_after_s is not None
            self.assertEqual(ExecutionState.NOT_RUN, writer.failure.execution_state)
            ends_s = fixture.clock.monotonic_s() + writer.failure.effective_retry_after_s
            self.assertGreaterEqual(ends_s, began_s + 0.4)
        # A request that cannot be served within its objective is refused at once.
        self.assertLess(fixture.clock.monotonic_s() - began_s, 0.2)
        self.assertEqual(1, len(fixture.client.sent))
        fixture.add(make_entry("t2", "plain"))
        await fixture.forwarder.serve(make_request(), FakeWriter())
        self.assertEqual(["t1", "t2"], [name for name, _ in fixture.client.sent])
        await asyncio.sleep(0.45)
        target = fixture.directory.get("t1")
        assert target is not None
        self.assertFalse(target.is_paused(fixture.clock.monotonic_s()))

    async def test_reported_load_is_recorded_and_shared_with_peers(self) -> None:
        """Guards against peers that take a target for idle because they sent it no requests."""
        fixture = ForwarderFixture(
            SystemClock(), lambda target, call, directive: FakeResponse(load=5)
        )
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        with mock.patch.object(Gossip, "queue_load") as queue_load:
            await fixture.forwarder.serve(make_request(), FakeWriter())
        queue_load.assert_called_once_with("t1", 5)
        target = fixture.directory.get("t1")
        assert target is not None
        self.assertEqual(5 - 1, target.load(fixture.clock.monotonic_s()))

    async def test_rejecting_target_does_not_exhaust_the_retry_budget(self) -> None:
        """Load: one of three engines rejects requests while it loads weights unknown to the router.

        Guards against a retry budget that is spent on one target, so that callers are refused
        while the other two targets have capacity.
        """

        def respond(target: Target, request: CallerRequest, directive: Directive) -> TargetResponse:
            if target.name == "e0":
                return FakeResponse(status=503, is_not_executed=True)
            return FakeResponse(chunks=(EVENTS,))

        fixture = ForwarderFixture(SystemClock(), respond, fixed_retries=20.0)
        fixture.add(*(make_entry(f"e{number}") for number in range(3)))
        fixture.forwarder.routing_config = make_config(
            make_route("/p/", "engines", RetryPolicy.RESUMABLE, True)
        )
        writers = []
        for number in range(60):
            writers.append(FakeWriter())
            request = make_request("/p/x", f"r{number}", parts=((f"own{number}", 400),))
            await fixture.forwarder.serve(request, writers[-1])
            await asyncio.sleep(0.005)
        self.assertEqual(len(writers), sum(writer.is_complete for writer in writers))
        # After one rejection, other requests avoid the target.
        rejection_count = [name for name, _ in fixture.client.sent].count("e0")
        self.assertLessEqual(rejection_count, 1 + 60 * 0.01 / REJECTION_COOLDOWN_S)

    async def test_short_pause_is_waited_for(self) -> None:
        """Guards against refusals although the only target is back within the latency objective."""
        fixture = self._fixture(FakeResponse(503, is_not_executed=True, pause_s=0.05))
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route(aim_s=1.0))
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request(), writer)
        self.assertTrue(writer.is_complete)
        self.assertEqual(2, len(fixture.client.sent))


class UnreachableTargetTest(unittest.IsolatedAsyncioTestCase):
    """Targets that accept no connections, and reports of peers about them."""

    async def test_unreachable_target_gets_no_second_request(self) -> None:
        """Guards against several failed attempts before a target is known to be unreachable."""
        fixture = ForwarderFixture(
            SystemClock(), lambda target, sent, directive: self._answer(target)
        )
        fixture.add(make_entry("t1", "plain"), make_entry("t2", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        for number in range(20):
            writer = FakeWriter()
            await fixture.forwarder.serve(make_request(request_id=str(number)), writer)
            self.assertTrue(writer.is_complete)
        sent = [name for name, _ in fixture.client.sent]
        self.assertLessEqual(sent.count("t1"), 1)

    def _answer(self, target: Target) -> TargetResponse:
        if target.name == "t1":
            raise exchange_error(ExchangeFailure.NOT_SENT)
        return FakeResponse()

    async def test_suspected_target_gets_no_requests_until_it_is_reachable(self) -> None:
        """Guards against requests to a target that a peer reports unreachable.

        A report about another start of the target, or about a reachable one, has no lasting effect.
        """
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        fixture = ForwarderFixture(SystemClock(), lambda target, sent, directive: FakeResponse())
        fixture.add(
            replace(make_entry("t1", "plain"), address=f"{host}:{port}"), make_entry("t2", "plain")
        )
        fixture.forwarder.routing_config = make_config(make_route())
        unreachable_targets: list[Target] = []
        watch = asyncio.create_task(
            LivenessWatch(
                fixture.clock, fixture.directory, unreachable_targets.append, lambda target: None
            ).run()
        )
        fixture.directory.suspect("t1", 1)
        fixture.directory.suspect("t1", 7)
        for number in range(6):
            await fixture.forwarder.serve(make_request(request_id=str(number)), FakeWriter())
        self.assertEqual({"t2"}, {name for name, _ in fixture.client.sent})
        target = fixture.directory.get("t1")
        assert target is not None
        async with asyncio.timeout(3.0):
            while target.is_unreachable:  # noqa: ASYNC110 - the directory signals other changes too
                await asyncio.sleep(0.01)
        watch.cancel()
        server.close()
        self.assertEqual([], unreachable_targets)


class StreamProgressTest(unittest.IsolatedAsyncioTestCase):
    """Streams that are slow, stalled, or contain bytes that are not events."""

    async def _serve(self, first: FakeResponse) -> tuple[ForwarderFixture, FakeWriter]:
        responses = [first, FakeResponse(chunks=(NEXT_EVENT,))]
        fixture = ForwarderFixture(SystemClock(), lambda target, sent, directive: responses.pop(0))
        fixture.add(make_entry("e1"), make_entry("e2"))
        fixture.forwarder.routing_config = make_config(
            make_route("/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True, timeout_s=8.0)
        )
        writer = FakeWriter()
        request = make_request("/ask/x", parts=(("p", 100), ("q", 10)), deadline_s=8.0)
        async with asyncio.timeout(6.0):
            await fixture.forwarder.serve(request, writer)
        return fixture, writer

    async def test_stalled_stream_with_single_bytes_resumes_elsewhere(self) -> None:
        """Guards against single bytes that keep a stalled stream alive until its deadline."""
        drips: tuple[bytes | float, ...] = (0.3, b"i") * 40
        for first in (
            FakeResponse(chunks=(EVENTS, *drips)),
            FakeResponse(chunks=(EVENTS, *((0.3, b": wait\n\n") * 40))),
        ):
            fixture, writer = await self._serve(first)
            self.assertEqual(2, len(fixture.client.sent))
            self.assertTrue(writer.is_complete)
            self.assertTrue(writer.body.endswith(NEXT_EVENT))
            self.assertTrue(first.is_closed)

    async def test_slow_stream_is_not_abandoned(self) -> None:
        """Guards against abandoning a stream because its events are far apart."""
        slow = FakeResponse(
            chunks=(b"id: 0\n\n", 0.9, b"id: 1\n\n", 1.6, b"id: 2\n\n", 0.8, b"id: 3\n\n")
        )
        fixture, writer = await self._serve(slow)
        self.assertEqual(1, len(fixture.client.sent))
        self.assertTrue(writer.is_complete)
        self.assertIn(b"id: 3", writer.body)

    async def test_bytes_without_events_are_limited(self) -> None:
        """Guards against a stream of comments, or one endless event, that exhausts memory."""
        for filler in (b": comment\n\n" * 100, b"x" * 1000):
            first = FakeResponse(chunks=(EVENTS, *(filler,) * 1000))
            fixture, writer = await self._serve(first)
            self.assertEqual(2, len(fixture.client.sent))
            self.assertTrue(writer.is_complete)
            self.assertLess(len(writer.body), 200_000)
            target = fixture.directory.get(fixture.client.sent[0][0])
            assert target is not None
            self.assertGreater(target.failure_rate, 0)
