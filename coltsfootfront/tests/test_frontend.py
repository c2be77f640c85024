"""Tests of callers' HTTP requests to a complete router with scripted agents."""

import asyncio
import json
import unittest
from typing import Any
from unittest import mock

import aiohttp
import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.settings import RouterSettings
from coltsfootfront.peers.channel import Channel
from coltsfootfront.peers.connection import Connection
from coltsfootfront.peers.messages import Accepted, Chunk, End, Explain, ExplainReply, Head, Run
from coltsfootfront.serving import responsewriters
from coltsfootfront.serving.pauseguard import PauseGuard
from coltsfootfront.serving.responses import ModelResponseFormat
from coltsfootfront.serving.router import Router
from coltsfootfront.tests.support import ManualClock
from coltsfootfront_dev.fakeagent import (
    SECRET,
    FakeAgent,
    configuration_for_agents,
    peer_identity,
    send_text_response,
)

KEY = {"Authorization": "Bearer key-c"}
BODY: dict[str, Any] = {"model": "m", "prompt": "a prompt of several blocks"}


def settings(**changes: Any) -> RouterSettings:
    values: dict[str, Any] = {
        "http_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "max_body_bytes": 4096,
        "max_header_bytes": 2048,
        "body_timeout_s": 0.3,
        "write_timeout_s": 0.3,
        "drain_wait_s": 0.1,
        **changes,
    }
    return RouterSettings("r1", "dc-1", SECRET, "http://127.0.0.1:1", **values)


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.agents = [FakeAgent("t1"), FakeAgent("t2"), FakeAgent("s1")]
        await self.start()

    async def start(self, **changes: Any) -> None:
        for agent in self.agents:
            await agent.start()
        self.agents[0].revision = configuration_for_agents(self.agents)
        seeds = [self.agents[0].address]
        self.router = Router(settings(seed_addresses=seeds, **changes), SystemClock())
        await self.router.start()
        for _ in range(200):
            if self.router.configuration.number:
                break
            await asyncio.sleep(0.02)
        url = f"http://{self.router.http_address}"
        self.session = aiohttp.ClientSession(url, headers=KEY)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.router.close()
        for agent in self.agents:
            await agent.stop()

    async def restart(self, **changes: Any) -> None:
        await self.asyncTearDown()
        await self.start(**changes)

    async def post(self, path: str, body: Any, **options: Any) -> tuple[int, str, Any]:
        async with self.session.post(path, json=body, **options) as response:
            return response.status, await response.text(), response.headers

    async def raw(self, data: bytes, timeout_s: float = 2.0) -> bytes:
        """Send bytes on a new connection and read until it is closed or the timeout passes."""
        host, _, port = self.router.http_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        received = b""
        try:
            async with asyncio.timeout(timeout_s):
                while chunk := await reader.read(65536):
                    received += chunk
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return received

    def request(self, path: str, body: Any) -> bytes:
        data = json.dumps(body).encode()
        return (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-c\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data

    async def test_responses_of_both_endpoints(self) -> None:
        """Guards against responses that OpenAI clients cannot parse."""
        chat = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
        for path, body in (("/v1/completions", BODY), ("/v1/chat/completions", chat)):
            with self.subTest(path):
                status, text, headers = await self.post(path, body)
                response = json.loads(text)
                choice = response["choices"][0]
                got = choice["message"]["content"] if "message" in choice else choice["text"]
                self.assertEqual(
                    (200, "one two three", "stop"), (status, got, choice["finish_reason"])
                )
                self.assertEqual(13, response["usage"]["total_tokens"])
                self.assertIn(headers["X-Request-Id"], response["id"])
                status, text, _ = await self.post(path, {**body, "stream": True})
                self.assertTrue(text.endswith("data: [DONE]\n\n"))
                self.assertNotIn("usage", text)

    async def test_bad_input_is_refused_in_the_common_error_format(self) -> None:
        """Guards against bad input that ends a process, hangs, or is answered in another format."""
        long_text = "x" * 5000
        chat = "/v1/chat/completions"
        cases: list[tuple[str, Any, int, str]] = [
            ("/v1/completions", {"model": "m"}, 400, "bad_request"),
            ("/v1/completions", {"prompt": "x"}, 400, "bad_request"),
            ("/v1/completions", [1], 400, "bad_request"),
            ("/v1/completions", {**BODY, "prompt": "\ud800"}, 400, "bad_request"),
            ("/v1/completions", {**BODY, "max_tokens": 101}, 400, "bad_request"),
            ("/v1/completions", {**BODY, "max_tokens": True}, 400, "bad_request"),
            ("/v1/completions", {**BODY, "stream": "yes"}, 400, "bad_request"),
            ("/v1/completions", {**BODY, "stream_options": 1}, 400, "bad_request"),
            ("/v1/completions", {**BODY, "n": 2}, 400, "bad_request"),
            ("/v1/completions", {**BODY, "prompt": long_text}, 413, "body_too_large"),
            ("/v1/completions", {**BODY, "model": "other"}, 404, "not_found"),
            ("/v1/completions", {**BODY, "model": "m:adapter"}, 403, "forbidden"),
            (chat, {"model": "m", "messages": [1]}, 400, "bad_request"),
            (chat, {"model": "m", "messages": [{"role": "u", "content": 1}]}, 400, "bad_request"),
            ("/v1/nothing", {}, 404, "not_found"),
            ("/v1/models", {}, 405, "method_not_allowed"),
            ("/services/none/x", {}, 404, "not_found"),
            ("/services/llm/x", {}, 404, "not_found"),
            ("/services/desk/a/%2e%2e/b", {}, 400, "bad_request"),
            ("/services/desk/a%2fb", {}, 400, "bad_request"),
        ]
        for path, body, status, kind in cases:
            with self.subTest(path=path, body=str(body)[:60]):
                before = metrics.REFUSALS.values.get({"reason": kind}) or 0
                url = f"http://{self.router.http_address}{path}"
                async with self.session.post(_preencoded_url(url), json=body) as response:
                    error = (await response.json())["error"]
                    self.assertEqual((status, kind), (response.status, error["kind"]))
                    self.assertEqual("not_run", error["run"])
                    self.assertEqual(response.headers["X-Request-Id"], error["request_id"])
                self.assertEqual(before + 1, metrics.REFUSALS.values[{"reason": kind}])
        self.assertEqual([], [run for agent in self.agents for run in agent.runs])

    async def test_keys_are_checked(self) -> None:
        """Guards against access without a valid key, or by customers without terms."""
        cases = (
            ("", 401),
            ("Basic key-c", 401),
            ("Bearer", 401),
            ("Bearer wrong", 401),
            ("Bearer " + "x" * 300, 401),
            ("Bearer key-none", 403),
        )
        for value, status in cases:
            with self.subTest(value):
                headers = {"Authorization": value}
                found, _, _ = await self.post("/v1/completions", BODY, headers=headers)
                self.assertEqual(status, found)

    async def test_malformed_http(self) -> None:
        """Guards against hangs and crashes on invalid HTTP, oversized heads and missing bodies."""
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-c\r\n"
        deep = b"[" * 3000
        cases = {
            "garbage": b"\x16\x03\x01\x00garbage\r\n\r\n",
            "long header": head + b"X: " + b"y" * 4000 + b"\r\n\r\n",
            "many headers": head + b"".join(b"X-%d: y\r\n" % n for n in range(500)) + b"\r\n",
            "body that is never sent": head + b"Content-Length: 10\r\n\r\nabc",
            "body that is not JSON": head + b"Content-Length: 3\r\n\r\nabc",
            "deep nesting": head + b"Content-Length: 3000\r\n\r\n" + deep,
            "bad chunks": head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            "bad timeout": head + b"X-Request-Timeout: x\r\nContent-Length: 0\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                response = await self.raw(data, 1.0)
                self.assertIn(b" 400 ", response.split(b"\r\n")[0])
                self.assertIn(b'"kind": "bad_request"', response)
        status, _, _ = await self.post("/v1/completions", BODY)
        self.assertEqual(200, status)

    async def test_requests_beyond_the_limit_are_refused_at_once(self) -> None:
        """Guards against requests beyond the limit that wait instead of being refused."""
        release = asyncio.Event()

        async def hold(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await release.wait()
            await send_text_response(agent, connection, run)

        await self.restart(max_requests=1, accept_timeout_s=5.0)
        for agent in self.agents:
            agent.script = hold
        first = asyncio.create_task(self.post("/v1/completions", BODY))
        await asyncio.sleep(0.1)
        status, text, headers = await self.post("/v1/completions", BODY)
        release.set()
        self.assertEqual(200, (await first)[0])
        self.assertEqual((503, "1"), (status, headers["Retry-After"]))
        self.assertIn("overloaded", text)

    async def test_connections_beyond_the_limit_are_refused(self) -> None:
        """Guards against callers that exhaust the file descriptors."""
        await self.restart(max_connections=2)
        host, _, port = self.router.http_address.rpartition(":")
        kept = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
        await asyncio.sleep(0.05)
        response = await self.raw(b"")
        for _, writer in kept:
            writer.close()
        self.assertIn(b" 503 ", response)
        await asyncio.sleep(0.05)
        self.assertEqual(200, (await self.post("/v1/completions", BODY))[0])

    async def test_rate_limit_of_a_customer(self) -> None:
        """Guards against one customer that uses the router's whole capacity."""
        self.router.configuration.document.customers["c"].requests_per_s = 2.0
        results = [await self.post("/v1/completions", BODY) for _ in range(3)]
        self.assertEqual([200, 200, 429], [status for status, _, _ in results])
        self.assertEqual("1", results[2][2]["Retry-After"])

    async def test_refusals_of_all_agents_are_answered_at_once(self) -> None:
        """Guards against a request that waits although every agent has refused it."""
        for agent, wait_s in zip(self.agents, (9.0, 4.0, 1.0), strict=True):
            agent.probe_reply_fields = {"refusal": "overloaded", "retry_after_s": wait_s}
        status, text, headers = await asyncio.wait_for(self.post("/v1/completions", BODY), 1.0)
        self.assertEqual((503, "4"), (status, headers["Retry-After"]))
        self.assertEqual("not_run", json.loads(text)["error"]["run"])

    async def test_a_failed_stream_does_not_look_complete(self) -> None:
        """Guards against a truncated response that a caller takes as complete."""

        async def broken(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await connection.send(Accepted(run.stream, run.attempt, "e1"))
            await connection.send(Head(run.stream, run.attempt, 200, []))
            await connection.send(Chunk(run.stream, run.attempt, 0, 0, b"part"))
            await connection.send(End(run.stream, run.attempt, 1, 99))

        for agent in self.agents:
            agent.script = broken
        response = await self.raw(self.request("/v1/completions", {**BODY, "stream": True}))
        self.assertIn(b"event: error\ndata: ", response)
        self.assertIn(b'"run":"unknown"', response)
        self.assertNotIn(b"[DONE]", response)
        self.assertFalse(response.endswith(b"0\r\n\r\n"))
        response = await self.raw(self.request("/services/desk/file", {}))
        self.assertIn(b"part", response)
        self.assertFalse(response.endswith(b"0\r\n\r\n"))

    async def test_a_body_shorter_than_its_length_resets_the_connection(self) -> None:
        """Guards against a client that reads the next response as the rest of a short body."""

        async def short(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await connection.send(Accepted(run.stream, run.attempt, ""))
            head = Head(run.stream, run.attempt, 200, [["Content-Length", "10"], ["X\r\nY", "1"]])
            await connection.send(head)
            await connection.send(Chunk(run.stream, run.attempt, 0, 0, b"part"))
            await connection.send(End(run.stream, run.attempt, 1, 4))

        self.agents[2].script = short
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.post("/services/desk/file", {})

    def send_response(self, status: int, headers: list[list[str]], body: bytes = b"part") -> None:
        """Let the service's agent send one response."""

        async def send(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await connection.send(Accepted(run.stream, run.attempt, ""))
            await connection.send(Head(run.stream, run.attempt, status, headers))
            if body:
                await connection.send(Chunk(run.stream, run.attempt, 0, 0, body))
            await connection.send(End(run.stream, run.attempt, int(bool(body)), len(body)))

        self.agents[2].script = send

    async def test_invalid_headers_of_a_service_leave_the_response_whole(self) -> None:
        """Guards against a second response whose bytes continue after the end of its body."""
        for pair in (
            ["X-A", "a\x01b"],
            ["X-A", "a\x7fb"],
            ["X\x01A", "b"],
            ["X A", "b"],
            ["X:A", "b"],
            ["", "b"],
        ):
            with self.subTest(pair):
                self.send_response(200, [pair, ["X-Kept", "1"]])
                async with self.session.post("/services/desk/file", json={}) as response:
                    self.assertEqual((200, b"part"), (response.status, await response.read()))
                    self.assertEqual("1", response.headers["X-Kept"])
                    self.assertNotIn("b", response.headers.values())
                received = await self.raw(self.request("/services/desk/file", {}), 0.2)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 OK\r\n"))
                self.assertEqual(b"4\r\npart\r\n0\r\n\r\n", received.partition(b"\r\n\r\n")[2])

    async def test_a_head_that_cannot_be_written_closes_the_connection(self) -> None:
        """Guards against an error response with the framing of the response before it."""
        self.send_response(200, [["X-A", "a\x01b"]])
        with (
            mock.patch.object(responsewriters, "is_valid_header", return_value=True),
            logbook.TestHandler().applicationbound() as records,
        ):
            received = await self.raw(self.request("/services/desk/file", {}), 1.0)
        self.assertEqual(b"", received)
        self.assertTrue(any("head_failed" in line for line in records.formatted_records))

    async def test_an_error_within_a_response_closes_the_connection(self) -> None:
        """Guards against an error response within the response that has begun."""
        streamed = self.request("/v1/completions", {**BODY, "stream": True})
        service = self.request("/services/desk/file", {})
        cases: tuple[tuple[type, str, bytes], ...] = (
            (ModelResponseFormat, "text_event", streamed),
            (ModelResponseFormat, "final_events", streamed),
            (responsewriters.ServiceResponseWriter, "finish", service),
        )
        for owner, name, request in cases:
            with (
                self.subTest(name),
                mock.patch.object(owner, name, side_effect=ValueError("failed")),
                logbook.TestHandler().applicationbound() as records,
            ):
                received = await self.raw(2 * request, 1.0)
                self.assertEqual(1, received.count(b"HTTP/1.1 "))
                self.assertFalse(received.endswith(b"0\r\n\r\n"))
                lines = records.formatted_records
                self.assertTrue(any("event=request_failed" in line for line in lines))

    async def test_an_interim_response_needs_http_1_1(self) -> None:
        """Guards against an interim response that an HTTP/1.0 caller reads as the response."""
        request = self.request("/services/desk/file", {})
        request = request.replace(b"Host: x", b"Host: x\r\nExpect: 100-continue")
        self.send_response(200, [])
        received = await self.raw(request, 0.3)
        self.assertTrue(received.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"))
        received = await self.raw(request.replace(b"HTTP/1.1", b"HTTP/1.0"), 0.3)
        self.assertTrue(received.startswith(b"HTTP/1.0 200 OK\r\n"))

    async def test_no_body_follows_a_response_that_has_none(self) -> None:
        """Guards against bytes that a caller reads as the beginning of the next response."""
        request = self.request("/services/desk/file", {})
        for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304)):
            with self.subTest(method=method, status=status):
                self.send_response(status, [])
                received = await self.raw(request.replace(b"POST", method.encode()), 1.0)
                head, _, body = received.partition(b"\r\n\r\n")
                self.assertTrue(head.startswith(f"HTTP/1.1 {status} ".encode()))
                self.assertEqual(b"", body)

    async def test_a_length_without_a_body_does_not_reset_the_connection(self) -> None:
        """Guards against a lost response to a conditional request, and a lost connection."""
        for status in (204, 304):
            with self.subTest(status):
                self.send_response(status, [["Content-Length", "4"]], b"")
                received = await self.raw(2 * self.request("/services/desk/file", {}), 0.5)
                self.assertEqual(2, received.count(f"HTTP/1.1 {status} ".encode()))

    async def test_requests_to_services(self) -> None:
        """Guards against changed paths, leaked keys, and calls wrongly treated as idempotent."""
        cases: list[tuple[str, str, dict[str, str], bool, bool]] = [
            ("POST", "/file?x=%20y", {"Idempotency-Key": "k"}, False, True),
            ("POST", "/file", {}, False, False),
            ("POST", "/read/x", {"Idempotency-Key": "k"}, True, False),
            ("POST", "/readable", {}, False, False),
            ("PATCH", "/file", {}, False, False),
            ("GET", "/file", {}, True, False),
            ("PUT", "/file", {}, True, False),
        ]
        for method, path, headers, idempotent, has_key in cases:
            with self.subTest(method=method, path=path):
                url = _preencoded_url(f"http://{self.router.http_address}/services/desk{path}")
                async with self.session.request(method, url, headers=headers) as response:
                    self.assertEqual("one two three", await response.text())
                run = self.agents[2].runs[-1]
                self.assertEqual((method, path), (run.method, run.path))
                self.assertEqual(idempotent, run.idempotent)
                self.assertEqual(has_key, len(run.idempotency_key) == 64)
                self.assertNotIn("authorization", [name.lower() for name, _ in run.headers])

    async def test_a_disconnected_caller_cancels_the_request(self) -> None:
        """Guards against engines that continue for a disconnected caller, streamed or not."""

        async def hold(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await connection.send(Accepted(run.stream, run.attempt, "e1"))

        for agent in self.agents:
            agent.script = hold
        for stream in (False, True):
            await self.raw(self.request("/v1/completions", {**BODY, "stream": stream}), 0.2)
        await asyncio.sleep(0.1)
        self.assertEqual(2, sum(len(agent.cancels) for agent in self.agents))
        self.assertEqual(0, self.router.frontend.in_progress)

    async def test_a_caller_that_does_not_read_is_disconnected(self) -> None:
        """Guards against a caller that occupies a stream and its buffers without reading."""

        async def flood(agent: FakeAgent, connection: Connection, run: Run) -> None:
            pieces = [b"x" * 60000] * 400
            await connection.send(Accepted(run.stream, run.attempt, ""))
            await connection.send(Head(run.stream, run.attempt))
            await agent.send_chunks(connection, run.stream, run.attempt, pieces)

        self.agents[2].script = flood
        host, _, port = self.router.http_address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(self.request("/services/desk/file", {}))
        for _ in range(100):
            await asyncio.sleep(0.05)
            if self.agents[2].cancels:
                break
        writer.close()
        self.assertEqual(1, len(self.agents[2].cancels))

    async def test_drain_finishes_requests(self) -> None:
        """Guards against a drain that breaks a request in progress."""

        async def slow(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await asyncio.sleep(0.3)
            await send_text_response(agent, connection, run)

        for agent in self.agents:
            agent.script = slow
        running = asyncio.create_task(self.post("/v1/completions", BODY))
        await asyncio.sleep(0.05)
        drain = asyncio.create_task(self.router.drain())
        await asyncio.sleep(0.02)
        async with self.session.get("/readyz") as response:
            self.assertEqual(503, response.status)
        await asyncio.wait_for(drain, 5)
        self.assertEqual(200, (await running)[0])
        with self.assertRaises(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session:
                await session.get(f"http://{self.router.http_address}/healthz")

    async def test_explain_sends_nothing(self) -> None:
        """Guards against an explain call that runs the request or holds a reservation."""
        channel = Channel(self.router.peer_address, peer_identity("admin", "a"), SystemClock())
        explain_request = {"customer": "c", "model": "m", "prompt": "a prompt of several blocks"}
        cases = (
            (json.dumps(explain_request).encode(), "targets"),
            (b"[", "error"),
            (b"{}", "error"),
        )
        for body, field in cases:
            message = Explain(channel.next_number(), body)
            reply = await channel.call(message, ExplainReply, 2.0)
            self.assertIn(field, json.loads(reply.body))
        await channel.close()
        self.assertEqual([False], sorted({probe.hold for a in self.agents for probe in a.probes}))
        self.assertEqual([], [run for agent in self.agents for run in agent.runs])


class PauseGuardTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_wait_for_the_recheck_after_a_pause(self) -> None:
        """Guards against a router that serves withdrawn terms after a pause of its process."""
        clock, done, calls = ManualClock(), asyncio.Event(), []

        async def recheck() -> None:
            calls.append(1)
            await done.wait()

        guard = PauseGuard(clock, recheck)
        await guard.wait_until_current()
        clock.advance(5.0)
        waiting = [asyncio.create_task(guard.wait_until_current()) for _ in range(3)]
        await asyncio.sleep(0.01)
        self.assertEqual([False] * 3, [task.done() for task in waiting])
        done.set()
        await asyncio.gather(*waiting)
        self.assertEqual([1], calls)


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_start_without_store_and_peers(self) -> None:
        """Guards against a router that exits, or accepts requests, without a configuration."""
        agent = FakeAgent("t1")
        await agent.start()
        await agent.stop()
        router = Router(settings(seed_addresses=[agent.address]), SystemClock())
        await router.start()
        url = f"http://{router.http_address}"
        async with aiohttp.ClientSession(url, headers=KEY) as session:
            async with session.get("/readyz") as response:
                self.assertEqual(503, response.status)
            async with session.post("/v1/completions", json=BODY) as response:
                self.assertEqual((503, "1"), (response.status, response.headers["Retry-After"]))
            await agent.start()
            agent.revision = configuration_for_agents([agent])
            for _ in range(100):
                await asyncio.sleep(0.05)
                async with session.get("/readyz") as response:
                    if response.status == 200:
                        break
            async with session.post("/v1/completions", json=BODY) as response:
                self.assertEqual(200, response.status)
        await router.close()
        await agent.stop()


def _preencoded_url(url: str) -> Any:
    """A URL whose percent-encoding the client keeps."""
    from yarl import URL

    return URL(url, encoded=True)
