"""Tests of what targets may say and send, against stand-ins over loopback."""

import asyncio
import tracemalloc
import unittest

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, TargetEntry, Target
from coltsfootfront.direct.targetclient import Directive, ExchangeFailure, TargetResponse, ExchangeError
from coltsfootfront.platform.targets import MAX_PAUSE_S, PlatformTargetClient
from coltsfootfront.tests import direct_support
from coltsfootfront_dev.endless import ENDLESS
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn

# Far below the deadline of a request: what is endless must be noticed by its bytes.
NOTICED_S = 3.0
MANY_TARGETS = 100
# A target may make the client hold its head, the segment that brings it, and unread pieces.
MEMORY_PER_TARGET_BYTES = 512 * 1024


def _target(stand_in: PlatformTargetStandIn) -> Target:
    directory = Directory(SystemClock(), {})
    found = TargetEntry(stand_in.name, "plain", stand_in.address, "a", 8, False)
    directory.put(found)
    target = directory.get(stand_in.name)
    assert target is not None
    return target


class PlatformAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = PlatformTargetStandIn("p0", "plain")
        await self.stand_in.start()
        self.target = _target(self.stand_in)
        self.client = PlatformTargetClient()
        await self.client.start()

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.stand_in.close()

    def _call(self, request_id: str, method: str = "GET") -> CallerRequest:
        made = direct_support.make_request(request_id=request_id)
        made.method = method
        made.headers = [("X-Request-Id", request_id)]
        return made

    async def _send(self, request_id: str, method: str = "GET") -> TargetResponse:
        return await self.client.send(
            self.target, self._call(request_id, method), Directive(deadline_s=3.0)
        )

    async def _read(self, request_id: str, method: str = "GET") -> bytes:
        reply = await self._send(request_id, method)
        try:
            return b"".join([piece async for piece in reply.chunks()])
        finally:
            reply.close()

    async def test_pause_that_a_full_target_asks_for(self) -> None:
        """Guards against requests to a target that wants none, and against obeying nonsense."""
        cases = (
            ("2", 2.0),
            ("0.25", 0.25),
            ("", None),
            ("soon", None),
            ("nan", None),
            ("-3", None),
            ("Wed, 21 Oct 2026 07:28:00 GMT", None),
            ("86400", MAX_PAUSE_S),
            ("inf", MAX_PAUSE_S),
        )
        self.stand_in.faults.rejects = True
        for value, pause_s in cases:
            with self.subTest(value):
                self.stand_in.faults.pause = value
                reply = await self._send("r1")
                self.assertTrue(reply.is_not_executed)
                self.assertEqual(pause_s, reply.retry_after_s)
                reply.close()

    async def test_leaving_is_read_from_every_answer(self) -> None:
        """Guards against new work for a target that has said that it leaves."""
        for rejects in (False, True):
            for is_leaving in (False, True):
                with self.subTest(rejects=rejects, is_leaving=is_leaving):
                    self.stand_in.faults.rejects = rejects
                    self.stand_in.faults.is_leaving = is_leaving
                    reply = await self._send("r1")
                    self.assertEqual(is_leaving, reply.is_draining)
                    reply.close()

    async def test_connections_are_used_again(self) -> None:
        """Guards against a new connection for each request, which targets must set up."""
        for method in ("GET", "POST"):
            for number in range(5):
                await self._read(f"{method}{number}", method)
        self.assertEqual(2, self.stand_in.connections)

    async def test_second_copy_of_an_answer_never_reaches_the_next_caller(self) -> None:
        """Guards against an answer that a target sends again on a connection in use again."""
        for method in ("GET", "POST"):
            for delay_s in (0.001, 0.03):
                with self.subTest(method=method, delay_s=delay_s):
                    self.stand_in.faults.repeats = delay_s
                    for number in range(20):
                        request_id = f"{method}{delay_s}.{number}"
                        try:
                            body = await self._read(request_id, method)
                        except ExchangeError as lost:
                            self.assertIs(ExchangeFailure.INVALID_RESPONSE, lost.failure)
                        else:
                            self.assertEqual(f"p0 {request_id}".encode(), body)
                        await asyncio.sleep(0.01 * (number % 3))

    async def test_second_copy_that_came_before_the_next_request_costs_nothing(self) -> None:
        """Guards against requests that fail since a connection held an old answer."""
        self.stand_in.faults.repeats = 0.001
        for number in range(10):
            self.assertEqual(f"p0 r{number}".encode(), await self._read(f"r{number}", "POST"))
            await asyncio.sleep(0.02)

    async def test_second_copy_of_a_rejection_is_not_taken_for_another_one(self) -> None:
        """Guards against a request that runs while its caller is told that it did not."""
        self.stand_in.faults.rejects = True
        first = await self._send("r1", "POST")
        self.assertTrue(first.is_not_executed)
        first.close()
        self.assertEqual([], self._idle_connections())

    def _idle_connections(self) -> list[object]:
        assert self.client._once is not None
        connector = self.client._once.connector
        assert connector is not None
        return [
            held
            for connections in connector._conns.values()
            for held, _ in connections
            if held.is_connected()
        ]

    async def test_answer_without_a_request_id_is_nobodys(self) -> None:
        """Guards against a late rejection that is believed by the next request."""
        self.stand_in.faults.crosses = True
        with self.assertRaises(ExchangeError) as caught:
            await self._send("r1")
        self.assertIs(ExchangeFailure.INVALID_RESPONSE, caught.exception.failure)

    async def test_bytes_without_end_are_noticed(self) -> None:
        """Guards against targets that keep a request until its deadline with bytes of no use."""
        for kind in ENDLESS:
            if kind in ("body", "comments"):
                # Bounded where the body is passed on, see the tests of the relay.
                continue
            with self.subTest(kind):
                self.stand_in.faults.endless = kind
                async with asyncio.timeout(NOTICED_S):
                    try:
                        self.assertEqual(b"body", await self._read("r1"))
                    except ExchangeError as lost:
                        self.assertIn(lost.failure, (ExchangeFailure.NO_RESPONSE, ExchangeFailure.INVALID_RESPONSE))
                        self.assertNotEqual("after", kind)
                    await self._until_closed()

    async def _until_closed(self) -> None:
        async with asyncio.timeout(NOTICED_S):
            while self.stand_in.open_requests:  # noqa: ASYNC110 - the stand-in has no event
                await asyncio.sleep(0.01)

    async def test_a_hundred_targets_with_endless_answers_take_bounded_memory(self) -> None:
        """Guards against a router that targets in trouble bring to its memory limit."""
        self.stand_in.faults.endless = "fields"
        tracemalloc.start()
        try:
            results = await asyncio.gather(
                *(self._read(f"r{number}") for number in range(MANY_TARGETS)),
                return_exceptions=True,
            )
            _, most_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertTrue(all(isinstance(result, ExchangeError) for result in results))
        self.assertLess(most_bytes, MANY_TARGETS * MEMORY_PER_TARGET_BYTES)
