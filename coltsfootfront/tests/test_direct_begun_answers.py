"""Tests that answers which a caller has begun to read end only on evidence about their exchange."""

import asyncio
import functools
import socket
import threading
import time
import unittest
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.crashobserver import CrashObserver
from coltsfootfront.direct.directory import HEARD_FRESH_S, Target, TargetEntry
from coltsfootfront.direct.gossip import UNREACHABLE, Gossip
from coltsfootfront.direct.liveness import CONNECT_TIMEOUT_S, SILENCE_LIMIT_S, LivenessWatch
from coltsfootfront.direct.responserelay import MIN_EVENT_TIMEOUT_S
from coltsfootfront.direct.routingconfig import RetryPolicy
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
# The first tests' pauses exceed every time limit that applies to a silent stream.
LONG_PAUSE_S = MIN_EVENT_TIMEOUT_S + 0.7
STREAM_ROUTE = make_route(
    "/ask/", retry_policy=RetryPolicy.RESUMABLE, is_stream=True, max_attempts=3, timeout_s=6.0
)


class _SocketResponse(FakeResponse):
    """A stream whose events a thread sends over a socket, whatever the event loop does.

    :param events: number of events.
    :param interval_s: time between them.
    """

    def __init__(self, events: int, interval_s: float) -> None:
        super().__init__()
        self._receiver, self._sender = socket.socketpair()
        self._thread = threading.Thread(target=self._send, args=(events, interval_s))

    async def chunks(self) -> AsyncIterator[bytes]:
        reader, writer = await asyncio.open_connection(sock=self._receiver)
        self._thread.start()
        try:
            while chunk := await reader.read(65536):
                yield chunk
        finally:
            writer.close()
            await asyncio.to_thread(self._thread.join)

    def _send(self, events: int, interval_s: float) -> None:
        with self._sender:
            for number in range(events):
                self._sender.sendall(b"id: %d\ndata: x\n\n" % number)
                time.sleep(interval_s)


class BegunAnswersTest(unittest.IsolatedAsyncioTestCase):
    def _fixture(
        self, *responses: TargetResponse | Exception, retries: float = 100.0, targets: int = 2
    ) -> ForwarderFixture:
        remaining = list(responses)

        def respond(target: Target, sent: CallerRequest, directive: Directive) -> TargetResponse:
            response = remaining.pop(0)
            if isinstance(response, Exception):
                raise response
            return response

        fixture = ForwarderFixture(SystemClock(), respond, retries)
        fixture.add(*(make_entry(f"t{number}", "plain") for number in range(targets)))
        fixture.forwarder.routing_config = make_config(STREAM_ROUTE)
        return fixture

    async def _serve(self, fixture: ForwarderFixture, deadline_s: float = 6.0) -> FakeWriter:
        writer = FakeWriter()
        await fixture.forwarder.serve(make_request("/ask/x", deadline_s=deadline_s), writer)
        return writer

    def _assert_whole(self, writer: FakeWriter, body: bytes) -> None:
        self.assertEqual((None, False), (writer.failure, writer.is_aborted))
        self.assertEqual((body, True), (writer.body, writer.is_complete))

    async def test_stalled_loop_does_not_end_a_stream_whose_events_have_arrived(self) -> None:
        """Guards against timers that fire after a stall before what has arrived is read."""
        response = _SocketResponse(events=30, interval_s=0.1)
        fixture = self._fixture(response)
        serving = asyncio.create_task(self._serve(fixture))
        await asyncio.sleep(0.35)
        time.sleep(LONG_PAUSE_S)  # noqa: ASYNC251 - stalls the event loop
        writer = await serving
        self._assert_whole(writer, b"".join(b"id: %d\ndata: x\n\n" % n for n in range(30)))
        self.assertEqual(1, len(fixture.client.sent))

    async def test_begun_stream_is_kept_while_the_budget_allows_no_replacement(self) -> None:
        """Guards against a stream that is given up and cannot be resumed elsewhere."""
        fixture = self._fixture(FakeResponse(chunks=(EVENTS, LONG_PAUSE_S, NEXT_EVENT)), retries=0)
        self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)
        self.assertEqual(1, len(fixture.client.sent))

    async def test_begun_stream_is_kept_while_no_other_target_is_free(self) -> None:
        """Guards against a stream that is given up although nothing could go on with it."""
        response = FakeResponse(chunks=(EVENTS, LONG_PAUSE_S, NEXT_EVENT))
        fixture = self._fixture(response, targets=1)
        self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)

    async def test_silent_stream_is_resumed_once_a_replacement_is_certain(self) -> None:
        """Guards against a caller that waits for a dark target although another one is free."""
        first = FakeResponse(chunks=(EVENTS, 5.0, NEXT_EVENT))
        fixture = self._fixture(first, FakeResponse(chunks=(NEXT_EVENT,)))
        began_s = time.monotonic()
        self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)
        self.assertLess(time.monotonic() - began_s, MIN_EVENT_TIMEOUT_S + 1.0)
        self.assertEqual([None, 1], [sent.resume_after for _, sent in fixture.client.sent])
        self.assertTrue(first.is_closed)

    async def test_request_is_kept_when_its_head_is_late_and_the_budget_is_used_up(self) -> None:
        """Guards against an error in place of an answer that is under way."""
        route = replace(STREAM_ROUTE, latency_objective_s=0.1)

        class LateClientResponse(FakeResponse):
            pass

        fixture = self._fixture(retries=0)
        fixture.forwarder.routing_config = make_config(route)

        async def send(
            target: Target, request: CallerRequest, directive: Directive
        ) -> TargetResponse:
            await asyncio.sleep(1.0)
            return LateClientResponse(chunks=(EVENTS,))

        fixture.client.send = send  # type: ignore[method-assign]
        self._assert_whole(await self._serve(fixture), EVENTS)

    async def test_stream_that_breaks_off_late_waits_for_a_target_to_resume_at(self) -> None:
        """Guards against a resumption whose time to find a target passed before it began."""
        broken = FakeResponse(chunks=(EVENTS, 0.5, exchange_error()))
        fixture = self._fixture(broken, FakeResponse(chunks=(NEXT_EVENT,)))
        other = fixture.directory.all()[1]
        other.pause(1.0, fixture.clock.monotonic_s())
        self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)

    async def test_answer_given_up_for_silence_goes_on_when_its_replacement_fails(self) -> None:
        """Guards against a replacement that was certain only until it was asked."""
        rejection = FakeResponse(503, is_not_executed=True)
        unopened = exchange_error(ExchangeFailure.NO_CONNECTION)
        cases: tuple[tuple[str, float, int, list[TargetResponse | Exception]], ...] = (
            ("rejected, no budget", 1.5, 3, [rejection]),
            ("rejected again and again", 100.0, 3, [rejection] * 4),
            ("no connection, no budget", 1.5, 3, [unopened] * 5),
            ("lost, no other target", 100.0, 2, [exchange_error()]),
        )
        for name, retries, targets, failures in cases:
            with self.subTest(name):
                fixture = self._fixture(
                    FakeResponse(chunks=(EVENTS, 9.0)),
                    *failures,
                    FakeResponse(chunks=(NEXT_EVENT,)),
                    retries=retries,
                    targets=targets,
                )
                raise_budget = functools.partial(
                    fixture.forwarder._budgets.set_limits, 0.2, 100.0, 10.0
                )
                loop = asyncio.get_running_loop()
                rises = loop.call_later(MIN_EVENT_TIMEOUT_S + 1.0, raise_budget)
                self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)
                rises.cancel()
                self.assertEqual(2 + len(failures), len(fixture.client.sent))

    async def test_only_a_target_that_may_take_the_request_is_a_replacement(self) -> None:
        """Guards against a stream that is given up for a target which cannot go on with it."""

        def drain(fixture: ForwarderFixture, other: Target) -> None:
            fixture.directory.mark_draining(other.name, other.entry.started_ms, "a test")

        def limit(fixture: ForwarderFixture, other: Target) -> None:
            fixture.limits.record_response(other, 100.0, fixture.clock.monotonic_s())

        def stop(fixture: ForwarderFixture, other: Target) -> None:
            fixture.forwarder.stop.exit_at_s = fixture.clock.monotonic_s() + 0.1

        cases: dict[str, Callable[[ForwarderFixture, Target], None]] = {
            "paused": lambda fixture, other: other.pause(9.0, fixture.clock.monotonic_s()),
            "unreachable": lambda fixture, other: setattr(other, "is_unreachable", True),
            "draining": drain,
            "limited": limit,
            "stopping": stop,
        }
        for name, prevent in cases.items():
            with self.subTest(name):
                fixture = self._fixture(FakeResponse(chunks=(EVENTS, LONG_PAUSE_S, NEXT_EVENT)))
                serving = asyncio.create_task(self._serve(fixture))
                await asyncio.sleep(0.1)
                first = fixture.client.sent[0][0]
                for other in fixture.directory.all():
                    if other.name != first:
                        prevent(fixture, other)
                self._assert_whole(await serving, EVENTS + NEXT_EVENT)
                self.assertEqual(1, len(fixture.client.sent))

    async def test_stream_that_has_no_attempts_left_is_kept(self) -> None:
        """Guards against a stream that is sent to more targets than its route allows."""
        fixture = self._fixture(FakeResponse(chunks=(EVENTS, LONG_PAUSE_S, NEXT_EVENT)))
        fixture.forwarder.routing_config = make_config(replace(STREAM_ROUTE, max_attempts=1))
        self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)
        self.assertEqual(1, len(fixture.client.sent))

    async def test_replacement_is_spent_once(self) -> None:
        """Guards against two retries of the budget for one move to another target."""
        first = FakeResponse(chunks=(EVENTS, 5.0))
        fixture = self._fixture(first, FakeResponse(chunks=(NEXT_EVENT,)))
        self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)
        self.assertEqual(1, fixture.forwarder._budgets.get("plain").count_retries())

    async def test_request_without_an_answer_moves_to_targets_that_rejected_it_or_have_a_limit(
        self,
    ) -> None:
        """Guards against a caller who waits for a silent target while another one is free."""
        route = replace(STREAM_ROUTE, latency_objective_s=0.1)
        for has_limits in (False, True):
            with self.subTest(has_limits=has_limits):
                fixture = self._fixture()
                fixture.forwarder.routing_config = make_config(route)
                answers = [FakeResponse(503, is_not_executed=True), None, FakeResponse()]
                answers = answers[1:] if has_limits else answers

                async def send(
                    target: Target,
                    request: CallerRequest,
                    directive: Directive,
                    answers: list[FakeResponse | None] = answers,
                ) -> TargetResponse:
                    answer = answers.pop(0)
                    if answer is None:
                        await asyncio.sleep(60.0)
                    return (
                        FakeResponse(503, is_not_executed=True)
                        if answer and (answer.is_not_executed)
                        else FakeResponse(chunks=(EVENTS,))
                    )

                fixture.client.send = send  # type: ignore[method-assign]
                if has_limits:
                    for target in fixture.directory.all():
                        fixture.limits.record_response(target, 100.0, fixture.clock.monotonic_s())
                began_s = time.monotonic()
                self._assert_whole(await self._serve(fixture), EVENTS)
                self.assertLess(time.monotonic() - began_s, 2.0)

    async def test_body_that_arrives_slowly_shows_that_its_target_runs(self) -> None:
        """Guards against a target that is left as dark while the body of its answer arrives."""
        fixture = self._fixture(FakeResponse(chunks=(b"x", 0.1) * 15))
        fixture.forwarder.routing_config = make_config(
            replace(STREAM_ROUTE, is_stream=False, retry_policy=RetryPolicy.IDEMPOTENT)
        )
        watch, failed = self._watch(fixture)
        probing = asyncio.create_task(watch.run())
        try:
            self._assert_whole(await self._serve(fixture), b"x" * 15)
        finally:
            probing.cancel()
        self.assertEqual(([], 1), (failed, len(fixture.client.sent)))

    async def test_deadline_holds_in_a_loop_that_is_always_late(self) -> None:
        """Guards against callers who get no answer half a second after their route's timeout."""
        fixture = self._fixture(FakeResponse(chunks=(60.0,)), targets=1)
        route = replace(STREAM_ROUTE, timeout_s=1.0)
        fixture.forwarder.routing_config = make_config(route)

        async def keep_busy() -> None:
            while True:
                time.sleep(0.03)  # noqa: ASYNC251 - stalls the event loop
                await asyncio.sleep(0)

        busy = asyncio.create_task(keep_busy())
        began_s = time.monotonic()
        writer = await self._serve(fixture)
        busy.cancel()
        self.assertIsNotNone(writer.failure)
        self.assertLess(time.monotonic() - began_s, 1.0 + 0.5)

    async def test_connection_that_did_not_open_spends_no_retry(self) -> None:
        """Guards against a full link that uses up the retries of answers that have begun."""
        unopened = exchange_error(ExchangeFailure.NO_CONNECTION)
        fixture = self._fixture(unopened, FakeResponse(chunks=(EVENTS,)), retries=0)
        self._assert_whole(await self._serve(fixture), EVENTS)
        refused = self._fixture(exchange_error(ExchangeFailure.NOT_SENT), retries=0)
        self.assertIsNotNone((await self._serve(refused)).failure)

    async def test_probe_without_a_connection_does_not_end_a_begun_stream(self) -> None:
        """Guards against a silent target taken as evidence about another exchange."""
        for retries in (0.0, 100.0):
            with self.subTest(retries=retries):
                pause_s = MIN_EVENT_TIMEOUT_S - 0.1
                chunks = (EVENTS, pause_s, NEXT_EVENT)
                fixture = self._fixture(FakeResponse(chunks=chunks), retries=retries)
                watch, failed = self._watch(fixture)
                probing = asyncio.create_task(watch.run())
                try:
                    self._assert_whole(await self._serve(fixture), EVENTS + NEXT_EVENT)
                finally:
                    probing.cancel()
                self.assertTrue(failed)
                self.assertEqual(1, len(fixture.client.sent))

    async def test_probe_without_a_connection_moves_a_request_that_has_no_answer_yet(self) -> None:
        """Guards against requests that wait for a dark target until their deadline."""
        fixture = self._fixture(FakeResponse(chunks=(5.0, EVENTS)), FakeResponse(chunks=(EVENTS,)))
        watch, _ = self._watch(fixture)
        probing = asyncio.create_task(watch.run())
        began_s = time.monotonic()
        try:
            self._assert_whole(await self._serve(fixture), EVENTS)
        finally:
            probing.cancel()
        self.assertEqual(2, len(fixture.client.sent))
        self.assertLess(time.monotonic() - began_s, SILENCE_LIMIT_S + CONNECT_TIMEOUT_S + 0.5)

    async def test_stalled_loop_does_not_make_a_probed_target_unreachable(self) -> None:
        """Guards against a probe that reports the stall of its own process."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        fixture = self._fixture()
        entry = make_entry("live", "plain")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        fixture.add(_at(entry, address))
        target = fixture.directory.get("live")
        assert target is not None
        dark: list[Target] = []
        watch = LivenessWatch(fixture.clock, fixture.directory, dark.append, dark.append)
        watch.confirm(target)
        await asyncio.sleep(0)
        time.sleep(CONNECT_TIMEOUT_S + 0.2)  # noqa: ASYNC251 - stalls the event loop
        await asyncio.sleep(0.3)
        self.assertEqual(([], False), (dark, target.is_unreachable))

    async def test_real_failure_of_a_begun_answer_ends_it_when_nothing_may_resume_it(self) -> None:
        """Guards against a caller who waits for the rest of an answer that cannot come."""
        broken = FakeResponse(chunks=(EVENTS, exchange_error(ExchangeFailure.INVALID_RESPONSE)))
        writer = await self._serve(self._fixture(broken, retries=0))
        self.assertTrue(writer.is_aborted)
        self.assertFalse(writer.is_complete)
        refused = await self._serve(self._fixture(exchange_error(), retries=0))
        assert refused.failure is not None
        self.assertEqual(ErrorKind.TARGET_FAILED, refused.failure.kind)

    async def test_connection_not_opened_in_time_says_nothing_about_a_target_that_sends(
        self,
    ) -> None:
        """Guards against routers with a full link that take live targets for crashed."""
        cases = (
            (ExchangeFailure.NO_CONNECTION, 0.0, False),
            (ExchangeFailure.NO_CONNECTION, HEARD_FRESH_S, True),
            (ExchangeFailure.NOT_SENT, 0.0, True),
            (ExchangeFailure.NOT_SENT, HEARD_FRESH_S, True),
        )
        for failure, silent_s, is_down in cases:
            with (
                self.subTest(failure=failure, silent_s=silent_s),
                mock.patch.object(Gossip, "broadcast") as broadcast,
                mock.patch.object(CrashObserver, "record_down") as record_down,
            ):
                fixture = self._fixture(exchange_error(failure), FakeResponse(chunks=(EVENTS,)))
                for target in fixture.directory.all():
                    target.record_heard(fixture.clock.monotonic_s() - silent_s)
                self._assert_whole(await self._serve(fixture), EVENTS)
                self.assertEqual(2, len(fixture.client.sent))
                told = [call.args[0] for call in broadcast.call_args_list]
                self.assertEqual(is_down, UNREACHABLE in told)
                self.assertEqual(is_down, record_down.called)

    async def test_suspicion_of_a_peer_says_nothing_about_a_target_that_sends(self) -> None:
        """Guards against one router's full link that makes targets unreachable for all routers."""
        fixture = self._fixture()
        now_s = fixture.clock.monotonic_s()
        live, silent = fixture.directory.all()
        live.record_heard(now_s)
        silent.record_heard(now_s - HEARD_FRESH_S)
        for target in (live, silent):
            fixture.directory.suspect(target.name, target.entry.started_ms)
        self.assertEqual((False, True), (live.is_unreachable, silent.is_unreachable))

    async def test_probe_without_a_connection_says_nothing_about_a_target_that_sends(self) -> None:
        """Guards against a probe that waits behind the answers of the same target."""

        async def connect(*arguments: object) -> None:
            await asyncio.sleep(3 * CONNECT_TIMEOUT_S)

        for sends in (True, False):
            with self.subTest(sends=sends):
                fixture = self._fixture()
                target = fixture.directory.all()[0]
                watch, failed = self._watch(fixture)
                loop = asyncio.get_running_loop()
                with mock.patch.object(type(loop), "sock_connect", connect):
                    watch.confirm(target)
                    await asyncio.sleep(CONNECT_TIMEOUT_S / 2)
                    if sends:
                        target.record_heard(fixture.clock.monotonic_s())
                    await asyncio.sleep(CONNECT_TIMEOUT_S)
                self.assertEqual(not sends, bool(failed))

    def _watch(self, fixture: ForwarderFixture) -> tuple[LivenessWatch, list[Target]]:
        """Watch targets at addresses that accept no connection."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        for target in fixture.directory.all():
            target.entry = _at(target.entry, address)
        failed: list[Target] = []
        return LivenessWatch(fixture.clock, fixture.directory, failed.append, failed.append), failed


def _at(entry: TargetEntry, address: str) -> TargetEntry:
    return replace(entry, address=address)
