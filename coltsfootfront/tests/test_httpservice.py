"""Contract of plain services, and the HTTP adapter against the service stand-in."""

import asyncio
import hashlib
import json
import unittest
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import Any

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, FailureError, ExecutionState
from coltsfootfront.targets.httpservice import HttpService
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead
from coltsfootfront.tests.support import ManualClock, fixed_response_server
from coltsfootfront_dev.service import Options, ServiceStandIn

CALL = ServiceCall("request-1", "POST", "/results?panel=7", (("X-Request-Id", "r1"),), b"sleep")


@dataclass
class Outcome:
    """What one call gave."""

    head: ServiceResponseHead | None = None
    body: bytes = b""
    pieces: int = 0
    failure: tuple[ErrorKind, ExecutionState] | None = None


async def collect(service: PlainService, call: ServiceCall) -> Outcome:
    """Make a call to its end."""
    outcome = Outcome()
    try:
        async for item in service.call(call):
            if isinstance(item, ServiceResponseHead):
                outcome.head = item
            else:
                outcome.body += item
                outcome.pieces += 1
    except FailureError as error:
        outcome.failure = (error.failure.kind, error.failure.execution_state)
    return outcome


class Contract:
    """Keeps the abstract cases away from the test loader."""

    class ServiceCases(unittest.IsolatedAsyncioTestCase, ABC):
        """Cases that every adapter of a plain service passes; its timeout is 0.6 s."""

        service: PlainService

        @abstractmethod
        async def set_fault(self, **faults: Any) -> None:
            """Switch faults of the service, as ``POST /control`` names them."""

        @abstractmethod
        def executed(self) -> int:
            """Number of calls that the service has executed."""

        async def test_calls_pass_through_whole(self) -> None:
            """Guards against a changed method, path, body or request id."""
            for method, body in (("POST", b"sleep"), ("PUT", b"\0" * 100000), ("GET", b"")):
                with self.subTest(method):
                    outcome = await collect(self.service, replace(CALL, method=method, body=body))
                    answer = json.loads(outcome.body)
                    self.assertEqual(
                        (method, "/results?panel=7", hashlib.sha256(body).hexdigest(), "r1"),
                        tuple(
                            answer[key] for key in ("method", "path", "body_sha256", "request_id")
                        ),
                    )

        async def test_large_answers_stream(self) -> None:
            """Guards against answers that are held in memory as a whole."""
            await self.set_fault(padding_bytes=3_000_000)
            outcome = await collect(self.service, CALL)
            self.assertEqual(3_000_000, len(json.loads(outcome.body)["padding"]))
            self.assertGreater(outcome.pieces, 5)

        async def test_failures_name_what_is_known(self) -> None:
            """Guards against a second execution after a false ``not_run``."""
            failed = (ErrorKind.TARGET_FAILED, ExecutionState.UNKNOWN)
            cases: list[tuple[str, dict[str, Any], int]] = [
                ("cut before executing", {"cut_before": 1}, 0),
                ("cut after executing", {"cut_after": 1}, 1),
                ("cut within the answer", {"cut_body": 1}, 1),
                ("silent after executing", {"delay_after_s": 0.9}, 1),
                ("silent before executing", {"delay_after_s": 0.0, "delay_before_s": 0.9}, 0),
            ]
            for name, faults, executed in cases:
                with self.subTest(name):
                    before = self.executed()
                    await self.set_fault(**faults)
                    outcome = await collect(self.service, CALL)
                    self.assertEqual(failed, outcome.failure)
                    self.assertEqual(executed, self.executed() - before)

        async def test_a_service_that_is_down_has_not_run_the_call(self) -> None:
            """Guards against an unsent call that is answered with ``unknown``."""
            await collect(self.service, CALL)
            await self.set_fault(crash={"refuse_s": 5.0})
            outcome = await collect(self.service, CALL)
            self.assertEqual((ErrorKind.TARGET_UNREACHABLE, ExecutionState.NOT_RUN), outcome.failure)
            self.assertFalse(await self.service.is_healthy())

        async def test_an_error_status_is_an_answer(self) -> None:
            """Guards against an application's own error being retried."""
            await self.set_fault(status=503, unhealthy=True)
            outcome = await collect(self.service, CALL)
            assert outcome.head is not None
            self.assertEqual((503, None), (outcome.head.status, outcome.failure))
            self.assertFalse(await self.service.is_healthy())
            await self.set_fault(unhealthy=False)
            self.assertTrue(await self.service.is_healthy())


class HttpServiceTest(Contract.ServiceCases):
    async def asyncSetUp(self) -> None:
        self.stand_in = ServiceStandIn(Options(name="trials"))
        address = await self.stand_in.start("127.0.0.1:0")
        self.service = HttpService(f"http://{address}", 0.6, SystemClock())
        await self.service.start()

    async def asyncTearDown(self) -> None:
        await self.service.close()
        await self.stand_in.close()

    async def set_fault(self, **faults: Any) -> None:
        await self.stand_in.control(faults, None)

    def executed(self) -> int:
        return self.stand_in.counters.executed

    async def test_invalid_requests_are_not_sent(self) -> None:
        """Guards against a second request hidden in a path or header."""
        cases = {
            "space in path": replace(CALL, path="/a HTTP/1.1"),
            "line break in path": replace(CALL, path="/a\r\nX: 1"),
            "path not ASCII": replace(CALL, path="/ä"),
            "invalid method": replace(CALL, method="GET /b"),
            "line break in value": replace(CALL, headers=(("X-A", "1\r\nX-B: 2"),)),
            "invalid header name": replace(CALL, headers=(("X A", "1"),)),
            "value not UTF-8": replace(CALL, headers=(("X-A", "\udcff"),)),
        }
        for name, call in cases.items():
            with self.subTest(name):
                outcome = await collect(self.service, call)
                self.assertEqual((ErrorKind.BAD_REQUEST, ExecutionState.NOT_RUN), outcome.failure)
        self.assertEqual(0, self.stand_in.counters.requests)


class HttpAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def collect_from(
        self, reply: bytes, call: ServiceCall = CALL, heads: list[bytes] | None = None
    ) -> Outcome:
        async with fixed_response_server(reply, heads) as url:
            service = HttpService(url, 0.5, SystemClock())
            await service.start()
            try:
                return await collect(service, call)
            finally:
                await service.close()

    async def test_incomplete_answers_fail(self) -> None:
        """Guards against a short body taken for a whole one."""
        start = b"HTTP/1.1 200 OK\r\n"
        cases = {
            "nothing": b"",
            "not HTTP": b"abc\r\n\r\n",
            "cut head": start + b"Content-Le",
            "short body": start + b"Content-Length: 10\r\n\r\nabc",
            "cut chunk": start + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            "no last chunk": start + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            "invalid chunk": start + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
        }
        for name, reply in cases.items():
            with self.subTest(name):
                outcome = await self.collect_from(reply)
                self.assertEqual((ErrorKind.TARGET_FAILED, ExecutionState.UNKNOWN), outcome.failure)

    async def test_hop_by_hop_headers_stay_behind(self) -> None:
        """Guards against headers of one connection reaching the caller."""
        outcome = await self.collect_from(
            b"HTTP/1.1 201 Created\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"
            b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\nSet-Cookie: a=1\r\n"
            b"Set-Cookie: b=2\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        )
        headers = (("Content-Encoding", "gzip"), ("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
        self.assertEqual(ServiceResponseHead(201, headers), outcome.head)
        self.assertEqual(b"ab", outcome.body)

    async def test_requests_carry_the_callers_headers_and_the_request_id(self) -> None:
        """Guards against an answer in an encoding that the caller did not ask for."""
        heads: list[bytes] = []
        headers = (
            ("Connection", "X-Hop"),
            ("X-Hop", "1"),
            ("Host", "else.where"),
            ("Content-Length", "99"),
            ("X-Kept", "2"),
        )
        reply = b"HTTP/1.1 204 No Content\r\n\r\n"
        await self.collect_from(reply, replace(CALL, headers=headers), heads)
        lines = heads[0].decode().strip().split("\r\n")
        names = {line.partition(":")[0] for line in lines[1:]}
        self.assertEqual({"Host", "X-Kept", "X-Request-Id", "Content-Length", "Connection"}, names)
        self.assertIn("Content-Length: 5", lines)

    async def test_silence_is_measured_on_the_injected_clock(self) -> None:
        """Guards against a call that waits for ever within an answer's body."""
        clock = ManualClock()
        stand_in = ServiceStandIn(Options())
        service = HttpService(f"http://{await stand_in.start('127.0.0.1:0')}", 60.0, clock)
        await service.start()
        await stand_in.control({"delay_before_s": 30.0}, None)
        calling = asyncio.create_task(collect(service, CALL))
        while not stand_in.counters.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        clock.advance(59.0)
        await asyncio.sleep(0.02)
        self.assertFalse(calling.done())
        clock.advance(1.5)
        outcome = await asyncio.wait_for(calling, 5.0)
        self.assertEqual((ErrorKind.TARGET_FAILED, ExecutionState.UNKNOWN), outcome.failure)
        await service.close()
        await stand_in.close()
