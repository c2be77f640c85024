"""Tests of malformed reports and cache events of targets."""

import unittest
from typing import Any

from coltsfootfront.platform.cachedparts import PlatformPartReader
from coltsfootfront.platform.orders import PlatformOrderClient
from coltsfootfront.tests.test_repeated_responses import RepeatingServer, json_response, make_target

REPORTS: tuple[Any, ...] = (
    [],
    {"models": None},
    {"models": [1]},
    {"models": [{"name": "a", "version": None}]},
    {"models": [], "sequence": None},
)
EVENTS: tuple[Any, ...] = ([], "x", {}, {"events": None}, {"events": [1]}, {"events": [[1, "+"]]})


class MalformedTargetStateTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, body: Any) -> str:
        server = RepeatingServer(lambda line: json_response(body), 0.0)
        await server.start()
        self.addAsyncCleanup(server.close)
        return server.address

    async def test_a_malformed_report_counts_as_unanswered(self) -> None:
        """Guards against one target that ends the reading of all targets' order counts."""
        client = PlatformOrderClient("router-1")
        await client.start()
        self.addAsyncCleanup(client.close)
        for body in REPORTS:
            with self.subTest(body):
                target = make_target(await self.start(body))
                self.assertIsNone(await client.read_state(target))

    async def test_malformed_cache_events_count_as_unread(self) -> None:
        """Guards against one target that makes a router read all targets' events repeatedly."""
        reader = PlatformPartReader()
        await reader.start()
        self.addAsyncCleanup(reader.close)
        for body in EVENTS:
            with self.subTest(body):
                self.assertIsNone(await reader.read_parts(await self.start(body)))
