"""Tests of what callers receive from a router that stops, over raw connections."""

import asyncio
import random
import unittest
from collections.abc import Callable
from typing import Any

from coltsfootfront.direct.node import Node
from coltsfootfront.platform import program, settings
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    HOST,
    PlatformFleet,
    configuration,
    settings_fields,
)

WAIT_S = 8.0
POLL_S = 0.02
GRACE_S = 6
# Long enough that its end cannot be awaited in the grace period.
LONG_TIMEOUT_MS = 15_000
NEVER_S = 60.0
PROMPT_HEADERS = {
    "X-Model": "m",
    "X-Token-Usage": "700,10",
    "X-Prompt-Prefix": "aa:500,bb:100,cc:100",
}


def make_configuration() -> dict[str, Any]:
    """Return a configuration whose routes allow long responses and long waits for a target."""
    fields = configuration(2)
    for route in fields["routes"]:
        route["timeout-ms"] = LONG_TIMEOUT_MS
        route["target-latency-ms"] = LONG_TIMEOUT_MS
    return fields


class PlatformStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.fleet.store.put_json("op/config", make_configuration())
        self.fields = settings_fields("router-1", self.fleet.store.address, [])
        self.fields["bounds"]["grace-s"] = GRACE_S
        node_settings = settings.decode(self.fields, "test")
        self.node: Node = program.make_node(node_settings, lambda: node_settings, random.Random(1))
        await self.node.start()
        self.stopping: asyncio.Task[None] | None = None
        await self._until(lambda: self.node.is_ready)
        await self._until(lambda: self.node._forwarder.routing_config.number == 2)

    async def asyncTearDown(self) -> None:
        await (self.stopping or self._stop())
        await self.fleet.close()

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - the awaited state has no event
                await asyncio.sleep(POLL_S)

    async def _stop(self) -> None:
        await self.node.drain()
        await self.node.close()

    def _begin_stop(self) -> None:
        self.stopping = asyncio.create_task(self._stop())

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.fields["listen"]["front"].rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def _head(self, path: str, request_id: str, body_bytes: int = 0) -> bytes:
        method = "POST" if body_bytes else "GET"
        return (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {LONG_TIMEOUT_MS}\r\nAuthorization: Token {API_KEY}\r\n"
            f"Content-Length: {body_bytes}\r\n\r\n"
        ).encode()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Read all that the router sends until it closes the connection."""
        async with asyncio.timeout(GRACE_S + 1.0):
            return await reader.read(-1)

    def _assert_refused(self, response: bytes, request_id: str) -> None:
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertIn(b"\r\nRetry-After: 0.05\r\n", response)
        self.assertEqual(0, self.fleet.execution_count(request_id))

    async def test_request_that_may_run_once_is_not_passed_on_when_its_body_ends_late(self) -> None:
        """Guards against a request that is passed on late in the grace period and then cut."""
        for target in self.fleet.plain_targets:
            target.execution_time_s = NEVER_S
        reader, writer = await self._connect()
        self._begin_stop()
        writer.write(self._head("/file/a", "late", 4) + b"bo")
        await asyncio.sleep(GRACE_S - 2.0)
        writer.write(b"dy")
        self._assert_refused(await self._read(reader), "late")
        writer.close()

    async def test_request_that_may_run_once_is_not_passed_on_if_it_may_outlast_the_stop(
        self,
    ) -> None:
        """Guards against a request that arrives early in the grace period and is then cut."""
        for target in self.fleet.plain_targets:
            target.execution_time_s = NEVER_S
        reader, writer = await self._connect()
        self._begin_stop()
        writer.write(self._head("/file/a", "early", 4) + b"body")
        self._assert_refused(await self._read(reader), "early")
        writer.close()

    async def test_request_in_progress_is_answered_before_the_router_exits(self) -> None:
        """Guards against connections that are closed without an answer at the end of a stop."""
        for target in self.fleet.plain_targets:
            target.execution_time_s = NEVER_S
        connections = []
        for path, body in (("/file/a", b"body"), ("/look/a", b"")):
            reader, writer = await self._connect()
            writer.write(self._head(path, path[1:5], len(body)) + body)
            connections.append((path, reader, writer))
        await self._until(lambda: self.node._forwarder.in_progress == len(connections))
        await asyncio.sleep(0.2)
        self._begin_stop()
        for path, reader, writer in connections:
            with self.subTest(path):
                response = await self._read(reader)
                self.assertTrue(response.startswith(b"HTTP/1.1 504"), response)
                self.assertNotIn(b"Retry-After", response)
                self.assertEqual(1, self.fleet.execution_count(path[1:5]))
            writer.close()

    async def test_stream_that_outlasts_the_stop_is_relayed_until_the_exit_and_broken_off(
        self,
    ) -> None:
        """Guards against a stream that looks complete or ends early at the end of a stop."""
        for engine in self.fleet.engine_targets:
            engine.event_interval_s = (GRACE_S - 1.0) / 2
        reader, writer = await self._connect()
        head = self._head("/long/a", "stream", 4)
        fields = "".join(f"{name}: {value}\r\n" for name, value in PROMPT_HEADERS.items())
        writer.write(head.removesuffix(b"\r\n") + fields.encode() + b"\r\nbody")
        self.assertIn(b"200 OK", await reader.readline())
        self._begin_stop()
        response = await self._read(reader)
        self.assertIn(b"id: 1\n", response)
        self.assertFalse(response.endswith(b"0\r\n\r\n"), response)
        writer.close()

    async def test_request_that_waits_for_a_target_is_refused_before_the_router_exits(self) -> None:
        """Guards against a request that is never passed on, and cut at the end of a stop."""
        for target in self.fleet.plain_targets:
            target.faults.rejects = True
            target.faults.pause = "8"
        connections = []
        for path, body in (("/file/a", b"body"), ("/look/a", b"")):
            reader, writer = await self._connect()
            writer.write(self._head(path, path[1:5], len(body)) + body)
            connections.append((path, reader, writer))
        await self._until(lambda: self.node._forwarder.in_progress == len(connections))
        await asyncio.sleep(0.2)
        self._begin_stop()
        for path, reader, writer in connections:
            with self.subTest(path):
                self._assert_refused(await self._read(reader), path[1:5])
            writer.close()

    async def test_pipelined_request_is_finished_during_a_stop(self) -> None:
        """Guards against a request in progress whose connection is closed as idle."""
        for target in self.fleet.plain_targets:
            target.execution_time_s = 2.0
        reader, writer = await self._connect()
        head = self._head("/look/a", "first").replace(b"15000", b"4000")
        writer.write(head + head.replace(b"first", b"second"))
        await self._until(lambda: self.fleet.execution_count("second") == 1)
        self._begin_stop()
        response = await self._read(reader)
        self.assertEqual(2, response.count(b"HTTP/1.1 200"), response)
        writer.close()
