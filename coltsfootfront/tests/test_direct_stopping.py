"""Tests of what a stopping router still passes on."""

import asyncio
import unittest
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.stopping import RESPONSE_MARGIN_S, TYPICAL_MAX_REQUEST_S, StopSchedule
from coltsfootfront.direct.targetclient import Directive, TargetResponse
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

NOW_S = 1000.0
LONG_S = 15.0
OBJECTIVE_S = 0.5
EVENT = b"id: 0\ndata: a\n\n"
NEXT_EVENT = b"id: 1\ndata: b\n\n"


class StopScheduleTest(unittest.TestCase):
    def test_which_requests_are_passed_on(self) -> None:
        """Guards against requests that the exit cuts, and against needless refusals."""
        once, idempotent = RetryPolicy.ONCE, RetryPolicy.IDEMPOTENT
        resumable = RetryPolicy.RESUMABLE
        cases = (
            # Policy, time to the deadline, time in which a response can begin, whether it may have
            # run, whether its response has begun, whether it is passed on.
            (once, 3.0, 3.0, False, False, True),
            (once, 3.1, 3.0, False, False, False),
            (once, LONG_S, LONG_S - 0.1, False, False, False),
            (idempotent, LONG_S, TYPICAL_MAX_REQUEST_S, False, False, True),
            (idempotent, LONG_S, TYPICAL_MAX_REQUEST_S - 0.1, False, False, False),
            (idempotent, 1.0, 1.0, False, False, True),
            (idempotent, 1.0, 0.9, False, False, False),
            (idempotent, LONG_S, OBJECTIVE_S, True, False, True),
            (idempotent, LONG_S, OBJECTIVE_S - 0.1, True, False, False),
            (resumable, LONG_S, TYPICAL_MAX_REQUEST_S - 0.1, False, False, False),
            (resumable, LONG_S, 0.1, True, True, True),
            (resumable, LONG_S, 0.0, True, True, False),
        )
        for policy, deadline_s, remaining_s, may_have_run, has_begun, is_passed_on in cases:
            with self.subTest(policy=policy, deadline_s=deadline_s, remaining_s=remaining_s):
                schedule = StopSchedule(NOW_S + remaining_s + RESPONSE_MARGIN_S)
                route = make_route(retry_policy=policy, aim_s=OBJECTIVE_S)
                actual = schedule.may_pass_on(
                    route, NOW_S + deadline_s, NOW_S, may_have_run, has_begun
                )
                self.assertEqual(is_passed_on, actual)

    def test_running_router_passes_everything_on(self) -> None:
        """Guards against refusals by a router that is not stopped."""
        for policy in RetryPolicy:
            route = make_route(retry_policy=policy)
            self.assertTrue(StopSchedule().may_pass_on(route, NOW_S + LONG_S, NOW_S))


class StoppingForwarderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = SystemClock()
        self.responses: list[TargetResponse | Exception] = []
        self.fixture = ForwarderFixture(self.clock, self._respond)
        self.fixture.add(make_entry("t1", "plain"), make_entry("t2", "plain"))
        self._use_policy(RetryPolicy.ONCE)

    def _use_policy(self, retry_policy: RetryPolicy, objective_s: float = LONG_S) -> None:
        route = make_route(retry_policy=retry_policy, aim_s=objective_s, timeout_s=LONG_S)
        self.fixture.forwarder.routing_config = make_config(route)

    def _stop(self, remaining_s: float = 3.0) -> None:
        self.fixture.forwarder.stop.exit_at_s = self.clock.monotonic_s() + remaining_s
        self.fixture.directory.notify()

    def _respond(self, target: Target, sent: CallerRequest, directive: Directive) -> TargetResponse:
        # The stop begins while the target has the request.
        self._stop()
        response = self.responses.pop(0) if self.responses else FakeResponse()
        if isinstance(response, Exception):
            raise response
        return response

    async def _serve(self) -> FakeWriter:
        writer = FakeWriter()
        async with asyncio.timeout(1.0):
            await self.fixture.forwarder.serve(make_request(deadline_s=LONG_S), writer)
        return writer

    def _assert_refused(self, writer: FakeWriter, sends: int = 0) -> None:
        assert writer.failure is not None
        self.assertEqual(ErrorKind.OVERLOADED, writer.failure.kind)
        self.assertEqual(ExecutionState.NOT_RUN, writer.failure.execution_state)
        self.assertEqual(0.05, writer.failure.effective_retry_after_s)
        self.assertEqual(sends, len(self.fixture.client.sent))

    async def test_rejected_request_is_not_sent_again_during_a_stop(self) -> None:
        """Guards against a request that is passed on late as a target rejected it before."""
        for policy in RetryPolicy:
            with self.subTest(policy):
                self.fixture.client.sent.clear()
                self.fixture.forwarder.stop = StopSchedule()
                self._use_policy(policy)
                self.responses = [FakeResponse(503, is_not_executed=True), FakeResponse()]
                self._assert_refused(await self._serve(), sends=1)

    async def test_lost_request_is_not_sent_again_during_a_stop(self) -> None:
        """Guards against a retry that the exit cuts, and a false "not run" for its first run."""
        self._use_policy(RetryPolicy.IDEMPOTENT)
        self.responses = [exchange_error(), FakeResponse()]
        writer = await self._serve()
        assert writer.failure is not None
        self.assertEqual(ErrorKind.TARGET_FAILED, writer.failure.kind)
        self.assertEqual(1, len(self.fixture.client.sent))

    async def test_lost_request_is_sent_again_during_a_stop_if_its_objective_fits(self) -> None:
        """Guards against a failure that a stop causes although another target can respond."""
        for policy in (RetryPolicy.IDEMPOTENT, RetryPolicy.RESUMABLE):
            with self.subTest(policy):
                self.fixture.forwarder.stop = StopSchedule()
                self._use_policy(policy, OBJECTIVE_S)
                self.responses = [exchange_error(), FakeResponse()]
                self.assertTrue((await self._serve()).is_complete)

    async def test_broken_stream_is_resumed_during_a_stop(self) -> None:
        """Guards against a stream that ends early although it could be resumed until the exit."""
        route = make_route(
            "/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True, timeout_s=LONG_S
        )
        self.fixture.forwarder.routing_config = make_config(route)
        self.fixture.add(make_entry("e1"), make_entry("e2"))
        self.responses = [
            FakeResponse(chunks=(EVENT, exchange_error())),
            FakeResponse(chunks=(NEXT_EVENT,)),
        ]
        writer = FakeWriter()
        request = make_request("/ask/x", deadline_s=LONG_S, parts=(("p", 100), ("q", 10)))
        await self.fixture.forwarder.serve(request, writer)
        self.assertEqual((EVENT + NEXT_EVENT, True), (writer.body, writer.is_complete))

    async def test_request_that_waited_for_its_trial_is_not_sent_during_a_stop(self) -> None:
        """Guards against a request that is passed on late as the store answered slowly."""

        async def wait_for_store(parts: object) -> bool:
            self._stop()
            return True

        with mock.patch.object(self.fixture.quarantine, "may_try", wait_for_store):
            self._assert_refused(await self._serve())

    async def test_request_that_waited_for_a_permit_is_not_sent_during_a_stop(self) -> None:
        """Guards against a request that is passed on late as a target's limit held it back."""

        async def wait_for_permit(target: Target, max_wait_s: float = 0.0) -> bool:
            self._stop()
            return True

        with mock.patch.object(self.fixture.permits, "acquire", wait_for_permit):
            self._assert_refused(await self._serve())

    async def test_request_that_waits_for_a_target_is_refused_when_a_stop_begins(self) -> None:
        """Guards against a request that is held although it cannot be passed on any more."""
        for target in self.fixture.directory.of_service("plain"):
            target.paused_until_s = self.clock.monotonic_s() + 5.0
        serving = asyncio.create_task(self._serve())
        await asyncio.sleep(0.05)
        self._stop()
        self._assert_refused(await serving)

    async def _serve_until_end(self, response: TargetResponse) -> FakeWriter:
        """Serve a request that has no whole response when the router is about to exit."""
        self.responses = [response]
        serving = asyncio.create_task(self._serve())
        await asyncio.sleep(0.05)
        self.fixture.forwarder.end_unanswered()
        return await serving

    async def test_unanswered_request_gets_an_error_before_the_exit(self) -> None:
        """Guards against a closed connection or a false "not run" for a request that runs."""
        writer = await self._serve_until_end(FakeResponse(chunks=(LONG_S,)))
        assert writer.failure is not None
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, writer.failure.kind)
        self.assertEqual(ExecutionState.UNKNOWN, writer.failure.execution_state)
        self.assertIsNone(writer.failure.effective_retry_after_s)
        self.assertEqual(0, self.fixture.forwarder.in_progress)

    async def test_waiting_request_is_refused_before_the_exit(self) -> None:
        """Guards against a closed connection for a request that has certainly not run."""
        self._use_policy(RetryPolicy.IDEMPOTENT)
        for target in self.fixture.directory.of_service("plain"):
            target.paused_until_s = self.clock.monotonic_s() + 5.0
        self._assert_refused(await self._serve_until_end(FakeResponse()))

    async def test_response_that_has_begun_goes_on_until_the_exit(self) -> None:
        """Guards against a stream that is ended although it can still be completed."""
        route = make_route(
            "/ask/", "engines", RetryPolicy.RESUMABLE, is_stream=True, timeout_s=LONG_S
        )
        self.fixture.forwarder.routing_config = make_config(route)
        self.fixture.add(make_entry("e1"))
        self.responses = [FakeResponse(chunks=(EVENT, 0.1, NEXT_EVENT))]
        writer = FakeWriter()
        request = make_request("/ask/x", deadline_s=LONG_S, parts=(("p", 100), ("q", 10)))
        serving = asyncio.create_task(self.fixture.forwarder.serve(request, writer))
        await asyncio.sleep(0.05)
        self.fixture.forwarder.end_unanswered()
        await serving
        self.assertEqual((EVENT + NEXT_EVENT, True), (writer.body, writer.is_complete))

    async def test_request_that_was_received_slowly_is_judged_by_the_time_that_is_left(
        self,
    ) -> None:
        """Guards against a request that is accepted for the time at which its head arrived."""
        self._use_policy(RetryPolicy.IDEMPOTENT)
        self._stop(TYPICAL_MAX_REQUEST_S)
        received_s = self.clock.monotonic_s() - 2.0
        writer = FakeWriter()
        request = make_request(received_s=received_s, deadline_s=LONG_S)
        await self.fixture.forwarder.serve(request, writer)
        self._assert_refused(writer)
