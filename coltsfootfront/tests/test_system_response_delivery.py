"""Process-level tests: no caller gets a truncated response that looks complete.

Covers large responses of plain services, callers that read slowly or disconnect, a router that is
killed, and the loss of all engines.
"""

import asyncio
import json
import socket
import time
import unittest
from dataclasses import replace

from coltsfootfront.tests.test_system_streams import CUSTOMER, MODEL, OPTIONS, FaultCase, wait_until
from coltsfootfront_dev.checkingclient import Reply, check_stream
from coltsfootfront_dev.launcher import Fleet

SERVICE = "trials-registry"
PADDING_BYTES = 400_000
# Without a working engine, calls are refused long before their deadline of 120 s.
REFUSAL_LIMIT_S = 4.0
# Time from a caller's disconnect until its engine must have stopped generating.
CANCEL_LIMIT_S = 1.0
# Calls while all engines are down: at most 60 a second. Without the pause between batches they
# would exceed the customer's rate limit and be answered 429 instead.
BATCH_CALLS = 6
BATCH_PAUSE_S = 0.1


class CallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        options = replace(OPTIONS, target_kinds=("engine", "service"))
        self.fleet = await self.enterAsyncContext(Fleet(options))
        self.case = FaultCase(self.fleet, "callers")
        self.servers = self.fleet.processes_of_role("service-standin")
        await self._set_service_faults(padding_bytes=PADDING_BYTES)

    async def test_callers(self) -> None:
        """Runs the cases on one fleet; each says what it guards against."""
        cases = (
            self._read_service_answers_slowly,
            self._break_service_answers,
            self._disconnect,
            self._crash_all_engines,
            self._read_stream_late,
            self._kill_router,
        )
        for case in cases:
            with self.subTest(case.__name__):
                try:
                    await case()
                finally:
                    await self._recover()

    async def _recover(self) -> None:
        """Clear all faults, so that a case that fails doesn't make the next ones fail too."""
        for forwarder in self.fleet.forwarders.values():
            forwarder.abort_after_bytes = 0
        for process in self.fleet.processes.values():
            if not process.is_running:
                await self.fleet.restart(process.name, wait=False)
        await self.fleet.wait_ready()
        await self._set_service_faults(
            padding_bytes=PADDING_BYTES, delay_before_s=0.0, cut_body=0, chunked=False
        )
        await self.case.wait_recovered()

    async def _set_service_faults(self, **values: object) -> None:
        for process in self.servers:
            await self.fleet.control_stand_in(process.name, dict(values))

    async def _get(self, path: str) -> Reply:
        return await self.case.caller.call_service(
            "router-1", CUSTOMER, SERVICE, path, method="GET"
        )

    def _check_reply(self, reply: Reply, path: str, may_fail: bool) -> None:
        if may_fail and not reply.is_correct:
            # A body cut short ends with an aborted connection, which no client takes as complete.
            self.assertTrue(
                reply.status == 0 or (reply.error_kind and reply.execution_state), str(reply)[:300]
            )
            return
        self.assertTrue(reply.is_correct, str(reply)[:300])
        self.assertEqual(f"/{path}", reply.value["path"])
        self.assertEqual("x" * PADDING_BYTES, reply.value["padding"])

    async def _break_service_answers(self) -> None:
        """Guards against truncated bodies whose connection closes cleanly."""
        await self._cut_at_offsets("agent", may_fail=False)
        await self._cut_repeatedly()
        await self._cut_for_http_1_0_client()
        await self._kill_agents()
        await self._cut_at_offsets("standin", may_fail=True)
        for chunked in (False, True):
            await self._set_service_faults(cut_body=2, chunked=chunked)
            for number in range(4):
                path = f"within/{chunked}/{number}"
                self._check_reply(await self._get(path), path, may_fail=True)
        await self._set_service_faults(cut_body=0, chunked=False)

    async def _cut_at_offsets(self, prefix: str, may_fail: bool) -> None:
        forwarders = [self.fleet.forwarders[f"{prefix}-{item.target}"] for item in self.servers]
        for offset in (1, 100, 5_000, 70_000, 200_000, 300_000, 399_000, 400_050, 400_200):
            with self.subTest(prefix, offset=offset):
                for forwarder in forwarders:
                    forwarder.abort_after_bytes = offset
                path = f"cut/{prefix}/{offset}"
                self._check_reply(await self._get(path), path, may_fail)
        for forwarder in forwarders:
            forwarder.abort_after_bytes = 0

    async def _cut_for_http_1_0_client(self) -> None:
        """An HTTP/1.0 client takes a clean close as the end of a body of unknown length."""
        await self._set_service_faults(cut_body=1, chunked=True)
        reader, writer = await self._open_slow_reader("within/old", "1.0")
        with self.assertRaises(OSError, msg="a truncated body has a clean end"):
            self.assertIn(b"200 OK", await reader.read())
        writer.close()
        await self._set_service_faults(cut_body=0, chunked=False)

    async def _cut_repeatedly(self) -> None:
        """Each connection carries a further part of the response, so that it completes."""
        await self._set_service_faults(padding_bytes=1_500_000)
        forwarders = [self.fleet.forwarders[f"agent-{item.target}"] for item in self.servers]
        call = asyncio.create_task(self._get("cut/often"))
        cuts = 0
        while not call.done():
            for forwarder in forwarders:
                if not forwarder.abort_after_bytes:
                    forwarder.abort_after_bytes = 150_000
                    cuts += 1
            await asyncio.sleep(0.005)
        for forwarder in forwarders:
            forwarder.abort_after_bytes = 0
        reply = await call
        self.assertTrue(reply.is_correct, f"{cuts} cuts: {str(reply)[:300]}")
        self.assertEqual("x" * 1_500_000, reply.value["padding"])
        await self._set_service_faults(padding_bytes=PADDING_BYTES)

    async def _kill_agents(self) -> None:
        await self._set_service_faults(delay_before_s=0.3)
        paths = [f"kill/{number}" for number in range(8)]
        calls = asyncio.gather(*(self._get(path) for path in paths))
        await asyncio.sleep(0.15)
        await self.fleet.restart(f"agent-{self.servers[0].target}", wait=False)
        for path, reply in zip(paths, await calls, strict=True):
            with self.subTest(path):
                self._check_reply(reply, path, may_fail=False)
        await self._set_service_faults(delay_before_s=0.0)
        await self.fleet.wait_ready()

    async def _read_service_answers_slowly(self) -> None:
        """Guards against slow callers that delay others or whose responses are truncated."""
        await self._set_service_faults(padding_bytes=2_000_000)
        slow = [await self._open_slow_reader(f"slow/{number}") for number in range(4)]
        await self._set_service_faults(padding_bytes=PADDING_BYTES)
        started_s = time.monotonic()
        paths = [f"fast/{number}" for number in range(8)]
        replies = await asyncio.gather(*(self._get(path) for path in paths))
        self.assertLess(time.monotonic() - started_s, 3.0)
        for path, reply in zip(paths, replies, strict=True):
            self._check_reply(reply, path, may_fail=False)
        self.case.cut(f"agent-{item.target}" for item in self.servers)
        for number, (reader, writer) in enumerate(slow):
            with self.subTest("slow", number=number):
                body = (await reader.read()).partition(b"\r\n\r\n")[2]
                value = json.loads(body)
                self.assertEqual(f"/slow/{number}", value["path"])
                self.assertEqual("x" * 2_000_000, value["padding"])
            writer.close()

    async def _open_slow_reader(
        self, path: str, version: str = "1.1"
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request on a connection with small buffers and wait for the first bytes."""
        host, _, port = self.fleet.routers[0].address.rpartition(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=connection, limit=4096)
        key = self.fleet.api_key(CUSTOMER)
        writer.write(
            f"GET /services/{SERVICE}/{path} HTTP/{version}\r\n"
            f"Host: router\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n\r\n".encode()
        )
        await reader.readuntil(b" ")
        return reader, writer

    async def _cancelled_requests(self) -> int:
        rows = [await self.fleet.stand_in_counters(process.name) for process in self.fleet.engines]
        return sum(int(row["cancelled"]) for row in rows)

    async def _disconnect(self) -> None:
        """Guards against engines that go on generating for a disconnected caller."""
        for stream in (True, False):
            with self.subTest(stream=stream):
                before = await self._cancelled_requests()
                self.case.tokens_before = await self.case.generated_tokens()
                call = self.case.caller.build_model_call(
                    "router-1", CUSTOMER, MODEL, f"left {stream}", 3000, stream
                )
                task = asyncio.create_task(self.case.caller.call_model(call))
                await wait_until(self.case.is_generating)
                task.cancel()
                await asyncio.sleep(CANCEL_LIMIT_S)
                self.assertEqual(before + 1, await self._cancelled_requests())

    async def _crash_all_engines(self) -> None:
        """Guards against refusals that wait for the deadline or lack ``Retry-After``."""
        rate_per_s = self.fleet.document["customers"][CUSTOMER]["requests_per_s"]
        self.assertLess(BATCH_CALLS / BATCH_PAUSE_S, rate_per_s)
        await self.case.control(self.case.engine_targets, crash={"refuse_s": 3.0})
        started_s = time.monotonic()
        while time.monotonic() < started_s + 1.0:
            call_s = time.monotonic()
            calls = (self.case.call(number) for number in range(BATCH_CALLS))
            for reply in await asyncio.gather(*calls):
                self.assertIn(reply.status, (502, 503), reply)
                self.assertTrue(reply.execution_state and reply.retry_after, reply)
            self.assertLess(time.monotonic() - call_s, REFUSAL_LIMIT_S)
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _read_stream_late(self) -> None:
        """Guards against a stream that loses events while its caller does not read."""
        call = self.case.caller.build_model_call("router-1", CUSTOMER, MODEL, "late reader", 400)
        headers = self.case.caller.headers(CUSTOMER)
        url = f"http://{call.router_address}/v1/completions"
        async with self.fleet.session.post(url, json=call.body(), headers=headers) as response:
            replies = await asyncio.gather(*(self.case.call(number) for number in range(9)))
            self.assertEqual([], [reply for reply in replies if not reply.is_correct])
            self.case.cut(self.case.agents)
            self.assertEqual("", await check_stream(response, call))

    async def _kill_router(self) -> None:
        """Guards against streams that end cleanly although their router was killed."""
        # Long enough that every response is in progress when the router is killed.
        replies = await self.case.start_calls(tokens=600)
        await self.fleet.kill("router-1")
        for reply in await replies:
            self.assertEqual(0, reply.status, reply)


if __name__ == "__main__":
    unittest.main()
