"""Contract tests of plain-service clients, run for the HTTP client on a stand-in service."""

import asyncio
import hashlib
import json
import unittest
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import Any

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, FailureError
from coltsfootfront.targets.httpservice import HttpService
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead
from coltsfootfront.tests.support import ManualClock, fixed_response_server
from coltsfootfront_dev.service import Options, ServiceStandIn

UNKNOWN = ExecutionState.UNKNOWN
CALL = ServiceCall("request-1", "POST", "/results?panel=7", (("X-Request-Id", "r1"),), b"sleep")


@dataclass
class Outcome:
    """Result of one call."""

    head: ServiceResponseHead | None = None
    body: bytes = b""
    chunks: int = 0
    failure: tuple[ErrorKind, ExecutionState] | None = None


async def collect(service: PlainService, call: ServiceCall) -> Outcome:
    """Make a call and collect its response and failure."""
    outcome = Outcome()
    try:
        async for item in service.call(call):
            if isinstance(item, ServiceResponseHead):
                outcome.head = item
            else:
                outcome.body += item
                outcome.chunks += 1
    except FailureError as error:
        outcome.failure = (error.failure.kind, error.failure.execution_state)
    return outcome


class Contract:
    """Namespace that hides the abstract test cases from the test loader."""

    class ServiceCases(unittest.IsolatedAsyncioTestCase, ABC):
        """Cases that every plain-service client must pass; its idle timeout is 0.6 s."""

        service: PlainService

        @abstractmethod
        async def set_fault(self, **faults: Any) -> None:
            """Inject faults into the service; the names are those of ``POST /control``."""

        @abstractmethod
        def executed(self) -> int:
            """Number of calls that the service has executed."""

        async def test_calls_are_forwarded_unchanged(self) -> None:
            """Guards against a changed method, path, body or request id."""
            for method, body in (("POST", b"sleep"), ("PUT", b"\0" * 100000), ("GET", b"")):
                with self.subTest(method):
                    outcome = await collect(self.service, replace(CALL, method=method, body=body))
                    response = json.loads(outcome.body)
                    self.assertEqual(
                        (method, "/results?panel=7", hashlib.sha256(body).hexdigest(), "r1"),
                        tuple(
                            response[key] for key in ("method", "path", "body_sha256", "request_id")
                        ),
                    )

        async def test_large_responses_are_streamed(self) -> None:
            """Guards against buffering whole responses in memory."""
            await self.set_fault(padding_bytes=3_000_000)
            outcome = await collect(self.service, CALL)
            self.assertEqual(3_000_000, len(json.loads(outcome.body)["padding"]))
            self.assertGreater(outcome.chunks, 5)

        async def test_failures_state_whether_the_call_ran(self) -> None:
            """Guards against a second execution after a false ``not_run``."""
            failed = (ErrorKind.TARGET_FAILED, ExecutionState.UNKNOWN)
            cases: list[tuple[str, dict[str, Any], int]] = [
                ("cut before executing", {"cut_before": 1}, 0),
                ("cut after executing", {"cut_after": 1}, 1),
                ("cut within the response", {"cut_body": 1}, 1),
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
            """Guards against ``unknown`` for an unsent call, which would prevent its retry."""
            await collect(self.service, CALL)
            await self.set_fault(crash={"refuse_s": 5.0})
            outcome = await collect(self.service, CALL)
            self.assertEqual(
                (ErrorKind.TARGET_UNREACHABLE, ExecutionState.NOT_RUN), outcome.failure
            )
            self.assertFalse(await self.service.is_healthy())

        async def test_an_error_status_is_not_a_failure(self) -> None:
            """Guards against retries of an error status that the application returned."""
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
        """Guards against request smuggling through a path or header."""
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


class HttpServiceResponseTest(unittest.IsolatedAsyncioTestCase):
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

    async def test_incomplete_responses_fail(self) -> None:
        """Guards against truncated responses accepted as complete."""
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

    async def test_a_reset_response_without_a_length_fails(self) -> None:
        """Guards against a body that a reset cut off and that looks complete."""
        start = b"HTTP/1.1 200 OK\r\n"
        chunked = start + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
        cases = (
            ("cut off", start + b"\r\npart", True, (ErrorKind.TARGET_FAILED, UNKNOWN)),
            ("ended", start + b"\r\npart", False, None),
            ("with a length", start + b"Content-Length: 4\r\n\r\npart", True, None),
            ("chunked", chunked, True, None),
        )
        for name, reply, resets, failure in cases:
            with self.subTest(name):
                async with fixed_response_server(reply, resets=resets) as url:
                    service = HttpService(url, 0.5, SystemClock())
                    await service.start()
                    outcome = await collect(service, CALL)
                    await service.close()
                self.assertEqual((b"part", failure), (outcome.body, outcome.failure))

    async def test_hop_by_hop_headers_are_removed(self) -> None:
        """Guards against hop-by-hop headers of the target reaching the caller."""
        outcome = await self.collect_from(
            b"HTTP/1.1 201 Created\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"
            b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\nSet-Cookie: a=1\r\n"
            b"Set-Cookie: b=2\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        )
        headers = (("Content-Encoding", "gzip"), ("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
        self.assertEqual(ServiceResponseHead(201, headers), outcome.head)
        self.assertEqual(b"ab", outcome.body)

    async def test_invalid_headers_leave_the_response_whole(self) -> None:
        """Guards against a request without a response, as its head cannot be passed on."""
        for value in (b"\xff", b"a\x01b", b"a\x7fb"):
            with self.subTest(value):
                reply = b"HTTP/1.1 200 OK\r\nX-A: " + value + b"\r\nX-B: 2\r\n"
                outcome = await self.collect_from(reply + b"Content-Length: 4\r\n\r\nbody")
                head = ServiceResponseHead(200, (("X-B", "2"), ("Content-Length", "4")))
                self.assertEqual((head, b"body"), (outcome.head, outcome.body))

    async def test_requests_carry_the_callers_headers_and_the_request_id(self) -> None:
        """Guards against added headers, such as one that asks for an unwanted encoding."""
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

    async def test_the_idle_timeout_follows_the_injected_clock(self) -> None:
        """Guards against an idle timeout that does not follow the injected clock."""
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
