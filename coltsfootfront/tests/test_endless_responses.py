"""Tests of responses to the router's own calls that do not end, or that decompress to far more."""

import asyncio
import gzip
import random
import tracemalloc
import unittest
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from returns.result import Success

from coltsfootfront.direct.copyencoding import MAX_COPY_BYTES
from coltsfootfront.direct.orders import OrderResult
from coltsfootfront.direct.peers import (
    COPY_PATH,
    MAX_RESPONSE_BYTES,
    PARTS_PATH,
    POSITION_PATH,
    Peers,
)
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.storefollower import Position
from coltsfootfront.keyvalue.store import Put, Transaction
from coltsfootfront.platform.cachedparts import MAX_EVENTS_BYTES, PlatformPartReader
from coltsfootfront.platform.orders import MAX_REPORT_BYTES, PlatformOrderClient
from coltsfootfront.platform.store import MAX_RESPONSE_BYTES as MAX_STORE_BYTES
from coltsfootfront.platform.store import PlatformStore
from coltsfootfront.tests.test_repeated_responses import make_target
from coltsfootfront_dev.endlessresponse import send_endless_response
from coltsfootfront_dev.platformfleet import free_ports

MIB = 1024 * 1024
# Buffers of both ends of a connection, and what the test itself keeps.
BUFFERS_BYTES = 4 * MIB
BOMB_BYTES = 192 * MIB
BOMBS = {
    "gzip": gzip.compress(bytes(BOMB_BYTES), 9),
    "deflate": zlib.compress(bytes(BOMB_BYTES), 9),
}
WAIT_S = 20.0
KINDS = ("fields", "line", "interim", "extension", "trailer", "chunks", "unframed")

Call = Callable[[str], Awaitable[Any]]


class EndlessResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode would count the time and memory of its own records.
        asyncio.get_running_loop().set_debug(False)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def serve(self, kind: str) -> str:
        """Start a server whose responses do not end.

        :param kind: one of ``KINDS`` or ``BOMBS``.
        """

        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            if kind in BOMBS:
                return web.Response(body=BOMBS[kind], headers={"Content-Encoding": kind})
            return await send_endless_response(request, {}, kind)

        runner = web.ServerRunner(web.Server(respond, access_log=None), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port, *_ = runner.addresses[0]
        return f"{host}:{port}"

    async def check(self, call: Call, limit_bytes: int, expected: Any = None) -> None:
        """Check that a call fails, and keeps the encoded and the decoded body at most."""
        for kind in (*KINDS, *BOMBS):
            with self.subTest(kind):
                address = await self.serve(kind)
                tracemalloc.reset_peak()
                before_bytes, _ = tracemalloc.get_traced_memory()
                async with asyncio.timeout(WAIT_S):
                    self.assertEqual(expected, await call(address))
                _, peak_bytes = tracemalloc.get_traced_memory()
                self.assertLess(peak_bytes - before_bytes, 2 * limit_bytes + BUFFERS_BYTES)

    async def test_endless_cache_events_do_not_fill_the_memory(self) -> None:
        """Guards against routers that one target's cache events kill, again after each restart."""
        reader = PlatformPartReader()
        await reader.start()
        self.addAsyncCleanup(reader.close)
        await self.check(reader.read_parts, MAX_EVENTS_BYTES)

    async def test_endless_reports_do_not_fill_the_memory(self) -> None:
        """Guards against routers that one target's report kills."""
        client = PlatformOrderClient("router-1")
        await client.start()
        self.addAsyncCleanup(client.close)
        await self.check(lambda address: client.read_state(make_target(address)), MAX_REPORT_BYTES)

    async def test_endless_responses_to_orders_do_not_fill_the_memory(self) -> None:
        """Guards against routers that one target's response to an order kills."""
        client = PlatformOrderClient("router-1")
        await client.start()
        self.addAsyncCleanup(client.close)

        async def order(address: str) -> bool:
            result = await client.load_version(make_target(address), "m", 2, 0, 1, lambda: True)
            # The status of a response is enough, so one that does not end is an answer as well.
            return result in (OrderResult.UNKNOWN, OrderResult.ALREADY_LOADED)

        await self.check(order, 0, True)

    async def test_endless_responses_of_peers_do_not_fill_the_memory(self) -> None:
        """Guards against routers that another process at a peer's address kills."""
        own = RouterEntry(f"127.0.0.1:{free_ports(1)[0]}", "a", "east", None)
        peers = Peers(own, [], random.Random(1))
        await peers.start()
        self.addAsyncCleanup(peers.close)
        for path in (COPY_PATH, POSITION_PATH, PARTS_PATH):
            with self.subTest(path):
                await self.check(
                    lambda address, path=path: peers._get(address, path),  # type: ignore[misc]
                    MAX_RESPONSE_BYTES[path],
                )

    async def test_endless_responses_of_several_peers_do_not_add_up(self) -> None:
        """Guards against a router that reads a whole copy of each peer at once."""
        own = RouterEntry(f"127.0.0.1:{free_ports(1)[0]}", "a", "east", None)
        peers = Peers(own, [], random.Random(1))
        await peers.start()
        self.addAsyncCleanup(peers.close)

        async def read(address: str) -> Any:
            peers.seed_addresses = [address, *[await self.serve("unframed") for _ in range(4)]]
            return await peers.read_peer_changes(Position(0, 0))

        await self.check(read, MAX_COPY_BYTES)

    async def test_endless_responses_of_the_store_do_not_fill_the_memory(self) -> None:
        """Guards against routers that another process at the store's address kills."""
        calls: dict[str, Callable[[PlatformStore], Awaitable[Any]]] = {
            "get": lambda store: store.get("k"),
            "changes": lambda store: store.changes("", 1, 0.1),
            "commit": lambda store: store.commit(Transaction([], [Put("k", b"v")])),
        }
        for name, call in calls.items():
            with self.subTest(name):
                await self.check(
                    lambda address, call=call: self._ask(address, call),  # type: ignore[misc]
                    MAX_STORE_BYTES,
                    False,
                )

    async def _ask(self, address: str, call: Callable[[PlatformStore], Awaitable[Any]]) -> bool:
        store = PlatformStore(address)
        await store.start()
        try:
            return isinstance(await call(store), Success)
        finally:
            await store.close()


if __name__ == "__main__":
    unittest.main()
