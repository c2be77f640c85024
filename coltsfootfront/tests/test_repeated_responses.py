"""Tests of HTTP clients whose server sends a response twice on a kept connection."""

import asyncio
import base64
import itertools
import json
import unittest
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from returns.result import Result, Success

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.direct.cachediscovery import CachedPart
from coltsfootfront.direct.directory import Directory, Target, TargetEntry
from coltsfootfront.direct.orders import OrderResult
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront.keyvalue.store import Compare, KeyValue, Put, Transaction
from coltsfootfront.platform.cachedparts import PlatformPartReader
from coltsfootfront.platform.orders import PlatformOrderClient
from coltsfootfront.platform.store import PlatformStore

Respond = Callable[[str], bytes]

REPORT = {"models": [], "sequence": 0, "busy": False, "running": 0, "queued": 0}


class RepeatingServer:
    """Raw HTTP server that sends every response a second time.

    :param respond: returns the response to a request line.
    :param repeat_after_s: delay of the second response; None sends it on the next request, before
        the response to that one.
    """

    def __init__(self, respond: Respond, repeat_after_s: float | None) -> None:
        self._respond = respond
        self._repeat_after_s = repeat_after_s
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.address = ""
        self.requests: list[str] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        repeated = b""
        try:
            while True:
                line = await self._read_request(reader)
                self.requests.append(line)
                response = self._respond(line)
                writer.write(repeated + response)
                await writer.drain()
                if self._repeat_after_s is None:
                    repeated = response
                else:
                    await asyncio.sleep(self._repeat_after_s)
                    writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> str:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
        await reader.readexactly(int(headers.get("content-length", 0)))
        return head.partition("\r\n")[0]


def json_response(body: Any, status: str = "200 OK") -> bytes:
    """Encode a response with a length."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}"
    return head.encode() + b"\r\n\r\n" + data


def store_response(line: str) -> bytes:
    """Response of a store in which each key holds its own name."""
    url = urlsplit(line.split(" ")[1])
    query = parse_qs(url.query)
    if url.path == "/v1/kv-txn":
        return json_response({"revision": 7})
    key = query["key"][0] if "key" in query else query["prefix"][0] + "1"
    value = base64.b64encode(key.encode()).decode()
    item = {"key": key, "value": value, "revision": 5, "create-rev": 5}
    if url.path == "/v1/kv-key":
        return json_response(item)
    field = "items" if url.path == "/v1/kv-range" else "events"
    return json_response({field: [item], "store-revision": 5})


class RepeatedStoreResponseTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, repeat_after_s: float | None) -> PlatformStore:
        server = RepeatingServer(store_response, repeat_after_s)
        await server.start()
        self.addAsyncCleanup(server.close)
        store = PlatformStore(server.address)
        await store.start()
        self.addAsyncCleanup(store.close)
        return store

    async def test_a_repeated_response_is_not_read_as_the_value_of_another_key(self) -> None:
        """Guards against a configuration, lease or entry that is the value of another key."""
        for repeat_after_s in (0.0, 0.02):
            with self.subTest(repeat_after_s=repeat_after_s):
                store = await self.start(repeat_after_s)
                for key in ("a", "b", "c"):
                    found = (await store.get(key)).unwrap()
                    assert found is not None
                    self.assertEqual((key, key.encode()), (found.key, found.value))
                    await asyncio.sleep(0.06)

    async def test_a_late_repeated_response_is_not_read_as_the_value_of_another_key(self) -> None:
        """Guards against another key's value that arrives once the next call has been sent."""
        store = await self.start(None)
        self.assertEqual("a", _key_of(await store.get("a")))
        self.assertIsNone(_key_of(await store.get("b")))
        self.assertEqual("b", _key_of(await store.get("b")))
        listed = await store.list_prefix("c")
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, listed.failure().kind)
        self.assertEqual(["c1"], [found.key for found in (await store.list_prefix("c")).unwrap()])

    async def test_a_repeated_response_to_a_write_is_not_read_as_an_absent_key(self) -> None:
        """Guards against an existing key that counts as absent by the response to a write."""
        for repeat_after_s in (0.02, None):
            with self.subTest(repeat_after_s=repeat_after_s):
                store = await self.start(repeat_after_s)
                put = Transaction([Compare("b", 0)], [Put("b", b"b")])
                self.assertEqual(7, (await store.commit(put)).unwrap().store_revision)
                await asyncio.sleep(0.06)
                read = await store.get("a")
                self.assertNotEqual(Success(None), read)
                if repeat_after_s is not None:
                    self.assertEqual("a", _key_of(read))

    async def test_a_response_of_another_call_is_a_failure_of_the_call(self) -> None:
        """Guards against exceptions that end the task that follows the store."""
        server = RepeatingServer(lambda line: json_response({"revision": 7}), 0.0)
        await server.start()
        self.addAsyncCleanup(server.close)
        store = PlatformStore(server.address)
        await store.start()
        self.addAsyncCleanup(store.close)
        unavailable, ambiguous = ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_AMBIGUOUS
        self.assertEqual(unavailable, (await store.get("a")).failure().kind)
        self.assertEqual(unavailable, (await store.snapshot("")).failure().kind)
        self.assertEqual(unavailable, (await store.changes("", 1, 0.0)).failure().kind)
        self.assertEqual(ambiguous, (await store.grant_lease(5.0)).failure().kind)


def _key_of(read: Result[KeyValue | None, Failure]) -> str | None:
    """Key of the item that was read, None if the call failed."""
    found = read.value_or(None)
    return found.key if found is not None else None


class RepeatedEtcdResponseTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, repeat_after_s: float | None) -> EtcdStore:
        """Start a store whose n-th response has the key ``kn``."""
        numbers = itertools.count(1)

        def respond(line: str) -> bytes:
            key = base64.b64encode(f"k{next(numbers)}".encode()).decode()
            return json_response({"header": {"revision": "5"}, "kvs": [{"key": key}]})

        server = RepeatingServer(respond, repeat_after_s)
        await server.start()
        self.addAsyncCleanup(server.close)
        store = EtcdStore(f"http://{server.address}", 1.0)
        await store.start()
        self.addAsyncCleanup(store.close)
        return store

    async def test_a_repeated_response_is_not_read_as_the_value_of_another_key(self) -> None:
        """Guards against a revision or claim that is the value of another key."""
        for repeat_after_s in (0.0, 0.02, None):
            with self.subTest(repeat_after_s=repeat_after_s):
                store = await self.start(repeat_after_s)
                for number in range(1, 5):
                    key = _key_of(await store.get(f"k{number}"))
                    # A late response can only be told from the right one by its key.
                    allowed = {f"k{number}"} if repeat_after_s is not None else {f"k{number}", None}
                    self.assertIn(key, allowed)
                    await asyncio.sleep(0.06)

    async def test_a_response_of_another_call_is_a_failure_of_the_call(self) -> None:
        """Guards against exceptions that end the task that made the call."""
        server = RepeatingServer(lambda line: json_response({"result": []}), 0.0)
        await server.start()
        self.addAsyncCleanup(server.close)
        store = EtcdStore(f"http://{server.address}", 1.0)
        await store.start()
        self.addAsyncCleanup(store.close)
        unavailable, ambiguous = ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_AMBIGUOUS
        put = Transaction([], [Put("a", b"")])
        self.assertEqual(unavailable, (await store.get("a")).failure().kind)
        self.assertEqual(unavailable, (await store.list_prefix("a")).failure().kind)
        self.assertEqual(ambiguous, (await store.commit(put)).failure().kind)
        self.assertEqual(ambiguous, (await store.grant_lease(5.0)).failure().kind)
        self.assertEqual(ambiguous, (await store.keep_alive(5)).failure().kind)


class RepeatedTargetResponseTest(unittest.IsolatedAsyncioTestCase):
    def _respond(self, line: str) -> bytes:
        if " /v1/order " in line:
            return json_response({}, "202 Accepted")
        return json_response(REPORT)

    async def test_a_repeated_report_is_not_read_as_the_response_to_an_order(self) -> None:
        """Guards against weights that count as loaded while the target still loads them."""
        for repeat_after_s in (0.0, 0.02, None):
            with self.subTest(repeat_after_s=repeat_after_s):
                server = RepeatingServer(self._respond, repeat_after_s)
                await server.start()
                client = PlatformOrderClient("router-1")
                await client.start()
                try:
                    target = make_target(server.address)
                    self.assertIsNotNone(await client.read_state(target))
                    await asyncio.sleep(0.06)
                    result = await client.load_version(target, "m", 2, 0, 1, lambda: True)
                    self.assertIs(OrderResult.ACCEPTED, result)
                finally:
                    await client.close()
                    await server.close()

    async def test_a_repeated_response_to_an_order_is_not_read_as_that_of_another(self) -> None:
        """Guards against an order that counts as accepted by the response to an earlier one."""
        responses = iter((json_response({}, "202 Accepted"), json_response({}, "409 Conflict")))
        server = RepeatingServer(lambda line: next(responses), None)
        await server.start()
        self.addAsyncCleanup(server.close)
        client = PlatformOrderClient("router-1")
        await client.start()
        self.addAsyncCleanup(client.close)
        target = make_target(server.address)
        results = [
            await client.load_version(target, "m", version, version, 1, lambda: True)
            for version in (2, 3)
        ]
        self.assertEqual([OrderResult.ACCEPTED, OrderResult.BUSY], results)


class RepeatedCacheEventsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_repeated_refusal_does_not_refuse_the_retry(self) -> None:
        """Guards against cached parts that are not discovered, as a refusal counts twice."""
        refusal = json_response({}, "429 Too Many Requests")
        events = json_response({"events": [[1, "+", "salt", "key"]]})
        responses = iter((refusal, events))
        server = RepeatingServer(lambda line: next(responses), 0.02)
        await server.start()
        self.addAsyncCleanup(server.close)
        reader = PlatformPartReader()
        await reader.start()
        self.addAsyncCleanup(reader.close)
        self.assertIsNone(await reader.read_parts(server.address))
        await asyncio.sleep(0.06)
        parts = await reader.read_parts(server.address)
        self.assertEqual([CachedPart("salt", "key")], parts)


def make_target(address: str) -> Target:
    """Build the directory's record of a target at an address."""
    directory = Directory(SystemClock(), {})
    directory.put(TargetEntry("t1", "s", address, "a", 8, False))
    target = directory.get("t1")
    assert target is not None
    return target
