"""Tests of the course of one request: what is repeated, and what the caller gets."""

import asyncio
import unittest
from dataclasses import dataclass, replace
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState
from coltsfootfront.direct.admission import max_requests_for_memory
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import REJECTION_COOLDOWN_S, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.liveness import LivenessWatch
from coltsfootfront.direct.targetclient import Directive, ExchangeFailure, TargetResponse
from coltsfootfront.direct.routingconfig import RetryPolicy, RoutingConfig
from coltsfootfront.tests.direct_support import (
    Bench,
    FakeResponse,
    FakeWriter,
    make_request,
    document,
    entry,
    lost,
    route,
)

EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
MORE = b"id: 2\ndata: c\n\n"


@dataclass(frozen=True, slots=True)
class Case:
    """One course of a request with two targets, of which the first one fails in some way."""

    name: str
    repeat: RetryPolicy
    first: TargetResponse | Exception
    sends: int
    kind: ErrorKind | None
    run: ExecutionState = ExecutionState.NOT_RUN


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    def _bench(self, *answers: TargetResponse | Exception, retries: float = 100.0) -> Bench:
        left = list(answers)

        def script(target: Target, sent: CallerRequest, directive: Directive) -> TargetResponse:
            answer = left.pop(0) if left else FakeResponse()
            if isinstance(answer, Exception):
                raise answer
            return answer

        return Bench(SystemClock(), script, retries)

    async def test_what_is_repeated_after_a_failure(self) -> None:
        """Guards against a second run of a request that may run once, and false "not run"."""
        once, idempotent = RetryPolicy.ONCE, RetryPolicy.IDEMPOTENT
        failed, refused = ErrorKind.TARGET_FAILED, ErrorKind.OVERLOADED
        not_run = FakeResponse(503, is_not_run=True)
        cases = (
            Case("once lost", once, lost(), 1, failed, ExecutionState.UNKNOWN),
            Case("once crossed", once, lost(ExchangeFailure.INVALID_RESPONSE), 1, failed, ExecutionState.UNKNOWN),
            Case("once not sent", once, lost(ExchangeFailure.NOT_SENT), 2, None),
            Case("once rejected", once, not_run, 2, None),
            Case(
                "once broken", once, FakeResponse(pieces=(b"x", lost())), 1, failed, ExecutionState.UNKNOWN
            ),
            Case("once 503 that ran", once, FakeResponse(503), 1, failed, ExecutionState.UNKNOWN),
            Case("idempotent lost", idempotent, lost(), 2, None),
            Case("idempotent error", idempotent, FakeResponse(500), 2, None),
            Case("idempotent broken", idempotent, FakeResponse(pieces=(b"x", lost())), 2, None),
        )
        self.assertNotEqual(failed, refused)
        for case in cases:
            with self.subTest(case.name):
                bench = self._bench(case.first)
                bench.add(entry("t1", "plain"), entry("t2", "plain"))
                attempts = 1 if case.repeat is once else 2
                bench.forwarder.routing_config = document(
                    route(repeat=case.repeat, max_attempts=attempts)
                )
                writer = FakeWriter()
                await bench.forwarder.serve(make_request(), writer)
                self.assertEqual(case.sends, len(bench.client.sent))
                if case.kind is None:
                    self.assertEqual((200, b"body"), (writer.status, writer.body))
                    self.assertTrue(writer.is_complete)
                else:
                    assert writer.failure is not None
                    self.assertEqual(case.kind, writer.failure.kind)
                    self.assertEqual(case.run, writer.failure.execution_state)
                    self.assertIsNone(writer.failure.effective_retry_after_s)

    async def test_refusals_before_a_target_is_chosen(self) -> None:
        """Guards against 401 and 404 from a router that knows no configuration yet."""
        known = document(route())
        cases = (
            ("no configuration", RoutingConfig(), make_request(), ErrorKind.NO_TARGET),
            ("no route", known, make_request("/other/x"), ErrorKind.NOT_FOUND),
            ("unknown key", known, make_request(key="other"), ErrorKind.UNAUTHENTICATED),
            ("no target", known, make_request(), ErrorKind.OVERLOADED),
        )
        for name, configuration, request, kind in cases:
            with self.subTest(name):
                bench = self._bench()
                bench.forwarder.routing_config = configuration
                writer = FakeWriter()
                await bench.forwarder.serve(request, writer)
                assert writer.failure is not None
                self.assertEqual(kind, writer.failure.kind)

    async def test_requests_under_way_are_bounded_by_memory(self) -> None:
        """Guards against a process that is ended since its requests outgrow its memory."""
        bound = max_requests_for_memory(150 * 1024 * 1024)
        self.assertLess(80 * 1024 * 1024 + bound * 104 * 1024, 150 * 1024 * 1024)
        self.assertGreater(max_requests_for_memory(300 * 1024 * 1024), 2 * bound)
        self.assertGreater(max_requests_for_memory(0), 0)
        bench = self._bench()
        bench.forwarder.routing_config = document(route())
        bench.add(entry("p0", service="plain"))
        bench.forwarder.max_in_progress = 3
        for before, kind in ((3, ErrorKind.OVERLOADED), (2, None)):
            bench.forwarder.in_progress = before
            writer = FakeWriter()
            await bench.forwarder.serve(make_request(), writer)
            self.assertEqual(kind, writer.failure.kind if writer.failure else None)
            self.assertEqual(before, bench.forwarder.in_progress)
            if writer.failure:
                self.assertGreater(writer.failure.effective_retry_after_s or 0, 0)

    async def test_refusal_says_when_to_come_back_within_a_third_of_the_time(self) -> None:
        """Guards against a wait that the caller cannot keep to."""
        bench = self._bench()
        bench.forwarder.routing_config = document(route())
        writer = FakeWriter()
        await bench.forwarder.serve(make_request(deadline_s=0.6), writer)
        assert writer.failure is not None and writer.failure.effective_retry_after_s is not None
        self.assertLessEqual(writer.failure.effective_retry_after_s, 0.2)

    async def test_retries_end_with_the_budget(self) -> None:
        """Guards against repeats that multiply the load of a failing service."""
        bench = self._bench(*[lost() for _ in range(50)], retries=5.0)
        bench.add(entry("t1", "plain"), entry("t2", "plain"))
        bench.forwarder.routing_config = document(route())
        for number in range(10):
            await bench.forwarder.serve(make_request(request_id=str(number)), FakeWriter())
        self.assertLessEqual(len(bench.client.sent) - 10, 5 * 0.8 + 10 * 0.2)

    async def test_resumable_stream_goes_on_elsewhere_without_gap_or_repeat(self) -> None:
        """Guards against lost, repeated and cut events when a target dies in a stream."""
        first = FakeResponse(pieces=(EVENTS, b"id: 2\nda", lost()))
        bench = self._bench(first, FakeResponse(pieces=(b"id: 1\ndata: b\n\n", MORE)))
        bench.add(entry("e1"), entry("e2"))
        bench.forwarder.routing_config = document(
            route("/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True)
        )
        writer = FakeWriter()
        await bench.forwarder.serve(make_request("/ask/x", parts=(("p", 100), ("q", 10))), writer)
        self.assertEqual(EVENTS + MORE, writer.body)
        self.assertTrue(writer.is_complete)
        self.assertEqual([None, 1], [sent.resume_after for _, sent in bench.client.sent])
        self.assertNotEqual(bench.client.sent[0][0], bench.client.sent[1][0])

    async def test_stream_that_may_run_once_breaks_off_visibly(self) -> None:
        """Guards against a short stream that looks complete."""
        bench = self._bench(FakeResponse(pieces=(EVENTS, lost())))
        bench.add(entry("e1"), entry("e2"))
        bench.forwarder.routing_config = document(
            route("/ask/", "engines", RetryPolicy.ONCE, is_stream=True, max_attempts=1)
        )
        writer = FakeWriter()
        await bench.forwarder.serve(make_request("/ask/x", parts=(("p", 100), ("q", 10))), writer)
        self.assertTrue(writer.is_aborted)
        self.assertFalse(writer.is_complete)
        self.assertEqual(1, len(bench.client.sent))

    async def test_stopping_router_takes_no_request_that_may_outlast_it(self) -> None:
        """Guards against long answers that are cut when the grace time ends."""
        clock = SystemClock()
        bench = self._bench()
        bench.add(entry("t1", "plain"))
        bench.forwarder.routing_config = document(route(timeout_s=15.0), route("/short/", timeout_s=1.0))
        bench.forwarder.exit_at_s = clock.monotonic_s() + 3.0
        for path, is_taken in (("/plain/x", False), ("/short/x", True)):
            with self.subTest(path):
                writer = FakeWriter()
                await bench.forwarder.serve(make_request(path), writer)
                self.assertEqual(is_taken, writer.is_complete)
                self.assertEqual(is_taken, writer.failure is None)

    async def test_engine_with_other_weights_than_believed_is_used_at_the_next_try(self) -> None:
        """Guards against a restarted router that goes on to expect an old version."""
        rejected = FakeResponse(421, is_not_run=True, is_other_version=True)
        bench = self._bench(rejected, FakeResponse(pieces=(EVENTS,)))
        bench.add(entry("e1", version=1))
        bench.versions.record_published("m", 3, is_new=True)
        bench.forwarder.routing_config = document(
            route("/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True)
        )
        writer = FakeWriter()
        await bench.forwarder.serve(make_request("/ask/x", parts=(("p", 100), ("q", 10))), writer)
        self.assertEqual([1, 3], [sent.version for _, sent in bench.client.sent])
        self.assertIsNone(writer.failure)

    async def test_another_target_at_the_address_gets_no_more_requests(self) -> None:
        """Guards against requests to an address that was given to another target."""
        bench = self._bench(FakeResponse(421, is_not_run=True, is_other_target=True))
        bench.add(entry("t1", "plain"))
        bench.forwarder.routing_config = document(route())
        writer = FakeWriter()
        await bench.forwarder.serve(make_request(), writer)
        await bench.forwarder.serve(make_request(), FakeWriter())
        self.assertEqual(1, len(bench.client.sent))
        self.assertEqual(ErrorKind.OVERLOADED, writer.failure and writer.failure.kind)

    async def test_target_that_has_said_that_it_leaves_gets_no_more_requests(self) -> None:
        """Guards against new work for a leaving target, also after an older entry comes back."""
        for first in (
            FakeResponse(is_leaving=True),
            FakeResponse(500, is_leaving=True),
            FakeResponse(503, is_not_run=True, is_leaving=True),
        ):
            with self.subTest(status=first.status):
                bench = self._bench(first)
                bench.add(entry("t1", "plain"))
                bench.forwarder.routing_config = document(route())
                await bench.forwarder.serve(make_request(), FakeWriter())
                self.assertEqual(1, len(bench.client.sent))
                bench.add(entry("t1", "plain"))
                writer = FakeWriter()
                await bench.forwarder.serve(make_request(), writer)
                self.assertEqual(1, len(bench.client.sent))
                assert writer.failure is not None
                self.assertEqual(ErrorKind.OVERLOADED, writer.failure.kind)
                bench.add(entry("t1", "plain", started_ms=2))
                writer = FakeWriter()
                await bench.forwarder.serve(make_request(), writer)
                self.assertTrue(writer.is_complete)

    async def test_leaving_outlasts_the_entry(self) -> None:
        """Guards against a target that is used again since its entry was seen anew."""
        bench = self._bench(FakeResponse(is_leaving=True))
        bench.add(entry("t1", "plain"))
        bench.forwarder.routing_config = document(route())
        await bench.forwarder.serve(make_request(), FakeWriter())
        target = bench.directory.get("t1")
        assert target is not None
        bench.directory._drop(target)
        bench.add(entry("t1", "plain"))
        await bench.forwarder.serve(make_request(), FakeWriter())
        self.assertEqual(1, len(bench.client.sent))

    async def test_target_is_left_alone_for_as_long_as_it_asks(self) -> None:
        """Guards against requests that reach a full target during the pause it asked for."""
        full = FakeResponse(503, is_not_run=True, pause_s=0.4)
        bench = self._bench(full)
        bench.add(entry("t1", "plain"))
        bench.forwarder.routing_config = document(route(aim_s=0.2))
        began_s = bench.clock.monotonic_s()
        for number in range(5):
            writer = FakeWriter()
            await bench.forwarder.serve(make_request(request_id=str(number)), writer)
            assert writer.failure is not None and writer.failure.effective_retry_after_s is not None
            self.assertEqual(ExecutionState.NOT_RUN, writer.failure.execution_state)
            ends_s = bench.clock.monotonic_s() + writer.failure.effective_retry_after_s
            self.assertGreaterEqual(ends_s, began_s + 0.4)
        # Whoever cannot be served is told at once.
        self.assertLess(bench.clock.monotonic_s() - began_s, 0.2)
        self.assertEqual(1, len(bench.client.sent))
        bench.add(entry("t2", "plain"))
        await bench.forwarder.serve(make_request(), FakeWriter())
        self.assertEqual(["t1", "t2"], [name for name, _ in bench.client.sent])
        await asyncio.sleep(0.45)
        target = bench.directory.get("t1")
        assert target is not None
        self.assertFalse(target.is_paused(bench.clock.monotonic_s()))

    async def test_reported_load_is_noted_and_told_to_peers(self) -> None:
        """Guards against peers that take a target for idle since they have asked it nothing."""
        bench = Bench(SystemClock(), lambda target, call, directive: FakeResponse(load=5))
        bench.add(entry("t1", "plain"))
        bench.forwarder.routing_config = document(route())
        with mock.patch.object(Gossip, "tell_load") as told:
            await bench.forwarder.serve(make_request(), FakeWriter())
        told.assert_called_once_with("t1", 5)
        target = bench.directory.get("t1")
        assert target is not None
        self.assertEqual(5 - 1, target.load(bench.clock.monotonic_s()))

    async def test_target_that_turns_requests_away_does_not_use_up_the_retries(self) -> None:
        """Load: one of three engines loads weights that this router has not heard of.

        Guards against a retry budget that is spent on one target, so that callers are refused
        while the other two have room.
        """

        def script(target: Target, request: CallerRequest, directive: Directive) -> TargetResponse:
            if target.name == "e0":
                return FakeResponse(status=503, is_not_run=True)
            return FakeResponse(pieces=(EVENTS,))

        bench = Bench(SystemClock(), script, fixed_retries=20.0)
        bench.add(*(entry(f"e{number}") for number in range(3)))
        bench.forwarder.routing_config = document(route("/p/", "engines", RetryPolicy.RESUMABLE, True))
        writers = []
        for number in range(60):
            writers.append(FakeWriter())
            request = make_request("/p/x", f"r{number}", parts=((f"own{number}", 400),))
            await bench.forwarder.serve(request, writers[-1])
            await asyncio.sleep(0.005)
        self.assertEqual(len(writers), sum(writer.is_complete for writer in writers))
        # One request finds out what the others need not try.
        asked = [name for name, _ in bench.client.sent].count("e0")
        self.assertLessEqual(asked, 1 + 60 * 0.01 / REJECTION_COOLDOWN_S)

    async def test_short_pause_is_waited_for(self) -> None:
        """Guards against refusals though the only target is back within the aim."""
        bench = self._bench(FakeResponse(503, is_not_run=True, pause_s=0.05))
        bench.add(entry("t1", "plain"))
        bench.forwarder.routing_config = document(route(aim_s=1.0))
        writer = FakeWriter()
        await bench.forwarder.serve(make_request(), writer)
        self.assertTrue(writer.is_complete)
        self.assertEqual(2, len(bench.client.sent))


class DarkTargetTest(unittest.IsolatedAsyncioTestCase):
    """Targets that take no connections, and what routers tell each other of them."""

    async def test_target_that_takes_no_connection_gets_no_second_request(self) -> None:
        """Guards against each router losing several requests to find out that a target is dark."""
        bench = Bench(SystemClock(), lambda target, sent, directive: self._answer(target))
        bench.add(entry("t1", "plain"), entry("t2", "plain"))
        bench.forwarder.routing_config = document(route())
        for number in range(20):
            writer = FakeWriter()
            await bench.forwarder.serve(make_request(request_id=str(number)), writer)
            self.assertTrue(writer.is_complete)
        sent = [name for name, _ in bench.client.sent]
        self.assertLessEqual(sent.count("t1"), 1)

    def _answer(self, target: Target) -> TargetResponse:
        if target.name == "t1":
            raise lost(ExchangeFailure.NOT_SENT)
        return FakeResponse()

    async def test_suspected_target_is_passed_over_until_it_takes_a_connection(self) -> None:
        """Guards against requests to a target that a peer found dark, and a false word of one."""
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        bench = Bench(SystemClock(), lambda target, sent, directive: FakeResponse())
        bench.add(replace(entry("t1", "plain"), address=f"{host}:{port}"), entry("t2", "plain"))
        bench.forwarder.routing_config = document(route())
        found: list[Target] = []
        watch = asyncio.create_task(LivenessWatch(bench.clock, bench.directory, found.append).run())
        bench.directory.suspect("t1", 1)
        bench.directory.suspect("t1", 7)
        for number in range(6):
            await bench.forwarder.serve(make_request(request_id=str(number)), FakeWriter())
        self.assertEqual({"t2"}, {name for name, _ in bench.client.sent})
        target = bench.directory.get("t1")
        assert target is not None
        async with asyncio.timeout(3.0):
            while target.is_unreachable:  # noqa: ASYNC110 - the directory tells of more than this
                await asyncio.sleep(0.01)
        watch.cancel()
        server.close()
        self.assertEqual([], found)


class StreamProgressTest(unittest.IsolatedAsyncioTestCase):
    """Streams of targets that are slow, stalled, or send what is no event."""

    async def _serve(self, first: FakeResponse) -> tuple[Bench, FakeWriter]:
        answers = [first, FakeResponse(pieces=(MORE,))]
        bench = Bench(SystemClock(), lambda target, sent, directive: answers.pop(0))
        bench.add(entry("e1"), entry("e2"))
        bench.forwarder.routing_config = document(
            route("/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True, timeout_s=8.0)
        )
        writer = FakeWriter()
        request = make_request("/ask/x", parts=(("p", 100), ("q", 10)), deadline_s=8.0)
        async with asyncio.timeout(6.0):
            await bench.forwarder.serve(request, writer)
        return bench, writer

    async def test_stalled_stream_that_drips_goes_on_elsewhere(self) -> None:
        """Guards against a stream that single bytes keep alive until its deadline."""
        drips: tuple[bytes | float, ...] = (0.3, b"i") * 40
        for first in (
            FakeResponse(pieces=(EVENTS, *drips)),
            FakeResponse(pieces=(EVENTS, *((0.3, b": wait\n\n") * 40))),
        ):
            bench, writer = await self._serve(first)
            self.assertEqual(2, len(bench.client.sent))
            self.assertTrue(writer.is_complete)
            self.assertTrue(writer.body.endswith(MORE))
            self.assertTrue(first.is_closed)

    async def test_slow_but_sound_stream_is_not_cut(self) -> None:
        """Guards against a stream that is given up since its events are far apart."""
        slow = FakeResponse(
            pieces=(b"id: 0\n\n", 0.9, b"id: 1\n\n", 1.6, b"id: 2\n\n", 0.8, b"id: 3\n\n")
        )
        bench, writer = await self._serve(slow)
        self.assertEqual(1, len(bench.client.sent))
        self.assertTrue(writer.is_complete)
        self.assertIn(b"id: 3", writer.body)

    async def test_bytes_without_events_are_bounded(self) -> None:
        """Guards against a stream of comments, or one endless event, that fills the memory."""
        for filler in (b": comment\n\n" * 100, b"x" * 1000):
            first = FakeResponse(pieces=(EVENTS, *(filler,) * 1000))
            bench, writer = await self._serve(first)
            self.assertEqual(2, len(bench.client.sent))
            self.assertTrue(writer.is_complete)
            self.assertLess(len(writer.body), 200_000)
            target = bench.directory.get(bench.client.sent[0][0])
            assert target is not None
            self.assertGreater(target.failure_rate, 0)
