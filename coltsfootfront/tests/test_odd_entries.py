"""Tests that what other programs write is refused piece by piece, however odd it is."""

import asyncio
import base64
import dataclasses
import json
import math
import random
import unittest
from collections.abc import Callable
from typing import Any

import aiohttp
import msgpack
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from hypothesis import example, given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Failure as Failed
from returns.result import Success

from coltsfootfront.common.logs import event
from coltsfootfront.direct import gossip
from coltsfootfront.direct.directory import TargetEntry
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.node import Node
from coltsfootfront.direct.peers import COPY_PATH, PARTS_PATH, POSITION_PATH
from coltsfootfront.direct.permitmessages import PermitRequest, PermitResponse
from coltsfootfront.direct.registration import RouterEntry, decode_router_entry
from coltsfootfront.direct.routingconfig import RoutingConfig
from coltsfootfront.direct.storefollower import Changes, Follower, Item, Position, Snapshot
from coltsfootfront.direct.transfers import Transfer
from coltsfootfront.keyvalue.store import KeyValue
from coltsfootfront.platform import requestdecoder
from coltsfootfront.platform.cachedparts import PlatformPartReader
from coltsfootfront.platform.configdecoder import decode_config
from coltsfootfront.platform.decoder import decode_target_entry, decode_version
from coltsfootfront.platform.orders import PlatformOrderClient
from coltsfootfront.platform.store import PlatformStore
from coltsfootfront.tests.direct_support import make_entry
from coltsfootfront.tests.oddvalues import (
    DEEP_JSON,
    DEEP_MSGPACK,
    ODD_ADDRESSES,
    ODD_MSGPACK,
    ODD_NUMBERS,
    fields_like,
    json_like,
    msgpack_like,
    to_json,
)
from coltsfootfront.tests.test_direct_state import ScriptedStore
from coltsfootfront.tests.test_platform_node import make_node
from coltsfootfront.tests.test_repeated_responses import make_target
from coltsfootfront_dev.platformfleet import configuration, settings_fields

repeatable = settings(derandomize=True, deadline=None, max_examples=200)
repeatable_slow = settings(derandomize=True, deadline=None, max_examples=60)

LARGEST = 2**53
# Bounds a log line of a few odd values.
MAX_LINE = 4000

ENTRY = {
    "service": "records",
    "address": "127.0.0.1:8080",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 1}],
}
ROUTER = {"address": "127.0.0.1:8080", "data_centre": "zone-a", "region": "region-1"}
CONFIG = configuration(2) | {
    "services": [
        *configuration(2)["services"],
        {
            "name": "kept",
            "kv-store-addr": "127.0.0.1:81",
            "zone": "zone-a",
            "kv-capacity": 1,
            "link-mbps": 100,
        },
    ],
    "routes": [
        *configuration(2)["routes"],
        configuration(2)["routes"][1]
        | {
            "priority": 1,
            "gap-aim-ms": 500,
            "traffic-split": [
                {"service": "records", "weight": 1},
                {"service": "engines", "weight": 2.5},
            ],
        },
    ],
    "tenants": [{"name": "c", "api-keys": ["k"], "priority": 1, "isolated": True}],
}
RECORD = {
    "id": "abc",
    "parts": ["p1", "p2"],
    "targets": 3,
    "hold_s": 20.0,
    "trials": 1,
    "since_ms": 1,
    "reported_by": "router-2",
    "is_released": False,
}
PERMIT_REQUEST = [
    *(7, "127.0.0.2:80", ["t1", 1, "zone-a"], 5.0, 1.0, 1),
    *(["127.0.0.3:80"], {"127.0.0.3:80": 1.0}),
]
UPDATES: dict[str, list[Any]] = {
    gossip.CACHED: [["salt", "key", "t1"]],
    gossip.LEARNED: [["salt", "key", "t1"]],
    gossip.EXPECTED: [["salt", "key", "t1", 0.5]],
    gossip.PREFILL_WORK: [["t1", 5, 0.5]],
    gossip.LOAD: [["t1", 3]],
    gossip.DRAINING: ["t2", 1],
    gossip.UNREACHABLE: ["t2", 1],
    gossip.WEIGHTS_LOADING: ["t1", "m", 2, 0.5],
    gossip.WEIGHTS_LOADED: ["t1", "m", 2, 0.0],
    gossip.REVISION: [7, 1, "127.0.0.2:80"],
    gossip.LIMIT: ["t1", 1, 5.0],
    gossip.PERMIT_REQUEST: PERMIT_REQUEST,
    gossip.PERMIT_RESPONSE: [7, "granted", 0.1, 0.5, ""],
    gossip.CRASH: ["t2", 1, [[True, ["p1"]], [False, ["p2", "p3"]]]],
    gossip.ANSWERED: ["p1"],
    gossip.QUARANTINED: [json.dumps(RECORD).encode()],
    gossip.RELEASED: ["abc", "answered"],
    gossip.ISSUER_SUSPECTED: ["127.0.0.3:80", 1.0],
}


def _values(found: Any) -> list[Any]:
    """All plain values within a decoded object."""
    if dataclasses.is_dataclass(found) and not isinstance(found, type):
        found = [getattr(found, item.name) for item in dataclasses.fields(found)]
    if isinstance(found, dict):
        found = [*found.keys(), *found.values()]
    if isinstance(found, list | tuple | set | frozenset):
        return [value for item in found for value in _values(item)]
    return [found]


async def start_server(data: bytes, content_type: str) -> tuple[web.ServerRunner, str]:
    """Start a server that gives one answer to all, and return it with its address."""

    async def answer(request: web.BaseRequest) -> web.Response:
        headers = {"Content-Type": content_type, "Store-Era": "1"}
        return web.Response(body=data, headers=headers)

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port, *_ = runner.addresses[0]
    return runner, f"{host}:{port}"


class OddValuesCase(unittest.TestCase):
    def check_sane(self, found: Any) -> None:
        """Check that numbers are usable in arithmetic, and names in headers, URLs and messages."""
        for value in _values(found):
            if isinstance(value, int | float):
                self.assertTrue(-LARGEST < value < LARGEST and math.isfinite(value), repr(value))
            if isinstance(value, str):
                self.assertTrue(value.isprintable(), repr(value))
                self.assertLess(len(value), 10_000)

    def check_address(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.assertRegex(host, r"\A[A-Za-z0-9._\[\]:-]{1,255}\Z")
        self.assertRegex(port, r"\A[0-9]+\Z")
        self.assertIn(int(port), range(1, 65536))


class OddStoredValuesTest(OddValuesCase):
    @repeatable
    @given(json_like(ENTRY))
    @example(DEEP_JSON)
    def test_odd_target_entry_names_no_target(self, value: bytes) -> None:
        """Guards against an entry that ends the following of the store."""
        result = decode_target_entry("servers/t1", value)
        if isinstance(result, Success):
            entry: TargetEntry = result.unwrap()
            self.check_sane(entry)
            self.check_address(entry.address)
        else:
            self.assertLess(len(result.failure()), MAX_LINE)

    @repeatable
    @given(json_like(CONFIG))
    @example(DEEP_JSON)
    def test_odd_configuration_is_refused_or_lacks_a_part(self, value: bytes) -> None:
        """Guards against a configuration that ends the following of the store."""
        result = decode_config(value)
        if isinstance(result, Success):
            config: RoutingConfig = result.unwrap()
            self.check_sane(config)
            for cache in config.kept_caches():
                self.check_address(cache.address)
            for route in (route for routes in config.routes.values() for route in routes):
                if route.is_unreadable:
                    self.assertTrue(config.find_unreadable(route.host, route))
                else:
                    self.assertTrue(route.choose_service(random.Random(1)))
        else:
            self.assertLess(len(result.failure()), MAX_LINE)

    def test_each_odd_number_and_address_is_refused(self) -> None:
        """Guards against a number that fails in later arithmetic, or an address that no one has."""
        for odd in (*ODD_NUMBERS, "@digits", "@exponent", "@deep"):
            for name in ("slots", "born"):
                with self.subTest(name=name, odd=str(type(odd))):
                    self._check_refused(decode_target_entry, ENTRY | {name: odd})
            with self.subTest(name="version", odd=str(type(odd))):
                self._check_refused(
                    lambda _, value: decode_version(value), {"model": "m", "version": odd}
                )
                self._check_refused(
                    lambda _, value: decode_config(value), CONFIG | {"version": odd}
                )
        for odd in ODD_ADDRESSES:
            with self.subTest(address=odd[:40]):
                self._check_refused(decode_target_entry, ENTRY | {"address": odd})

    def _check_refused(self, decode: Callable[[str, bytes], Any], body: Any) -> None:
        self.assertIsInstance(decode("servers/t1", to_json(body)), Failed)

    @repeatable
    @given(json_like({"model": "m", "version": 2}))
    @example(DEEP_JSON)
    def test_odd_version_is_refused(self, value: bytes) -> None:
        """Guards against a named version that ends the following of the store."""
        result = decode_version(value)
        if isinstance(result, Success):
            self.check_sane(result.unwrap())

    @repeatable
    @given(json_like(ROUTER))
    @example(DEEP_JSON)
    @example(to_json(ROUTER | {"address": "a\x00b:1"}))
    def test_odd_router_entry_names_no_router(self, value: bytes) -> None:
        """Guards against an entry to whose address no datagram can be sent."""
        router: RouterEntry | None = decode_router_entry(value)
        if router is not None:
            self.check_sane(router)
            self.check_address(router.address)
            self.assertRegex(router.ip, r"\A[0-9a-f.:]+\Z")

    @repeatable
    @given(fields_like(PERMIT_REQUEST))
    def test_odd_permit_request_is_refused(self, fields: Any) -> None:
        """Guards against a router that answers at an address to which nothing can be sent."""
        try:
            request = PermitRequest.from_fields(fields)
        except ValueError:
            return
        self.check_sane(request)
        self.check_address(request.router)

    @repeatable
    @given(fields_like([7, "granted", 0.1, 0.5, "127.0.0.2:80"]))
    def test_odd_permit_response_is_refused(self, fields: Any) -> None:
        """Guards against a permit whose wait never ends."""
        try:
            response = PermitResponse.from_fields(fields)
        except ValueError:
            return
        self.check_sane(response)


class OddUpdatesTest(OddValuesCase):
    """Updates of peers at a router that does not run."""

    def _make_node(self) -> Node:
        node = make_node(settings_fields("router-1", "127.0.0.1:1", []))
        node._directory.put(make_entry("t1", data_centre="zone-a"))
        return node

    def _check_node(self, node: Node) -> None:
        target = node._directory.get("t1")
        assert target is not None
        now_s = node._clock.monotonic_s()
        self.check_sane([target.wait_s(5, now_s), target.load(now_s), target.loading_until_s])
        self.check_sane([target.versions, target.ordered_versions])
        self.check_sane([*node._follower.peer_position, node._peers.announcer])
        self.check_sane(list(node._cache_index.all_locations()))
        self.check_sane([record.hold_s for record in node._quarantine._quarantine.records()])
        if target.limit is not None:
            self.check_sane(target.limit.rate_per_s)

    @repeatable
    @given(st.sampled_from(sorted(UPDATES)), st.data())
    def test_odd_update_does_not_keep_back_those_behind_it(
        self, kind: str, data: st.DataObject
    ) -> None:
        """Guards against a datagram whose readable updates are lost, or that ends the gossip."""
        node = self._make_node()
        fields = data.draw(fields_like(UPDATES[kind]))
        message = [[kind, fields], [gossip.LOAD, [["t1", 3]]]]
        try:
            packed = msgpack.packb([gossip.PROTOCOL_VERSION, False, message])
        except (OverflowError, ValueError):
            return
        node._gossip.datagram_received(packed, ("127.0.0.2", 1))
        self._check_node(node)
        target = node._directory.get("t1")
        assert target is not None
        self.assertEqual(3, target.reported_load)

    def test_each_odd_value_in_each_update(self) -> None:
        """Guards against a kind of update in which one odd value is taken over."""
        node = self._make_node()
        for kind, fields in UPDATES.items():
            for odd in ODD_MSGPACK:
                rows = [odd, *fields] if isinstance(fields[0], list) else [odd, *fields[1:]]
                for changed in (odd, rows, [*fields[:-1], odd]):
                    message = [[kind, changed], [gossip.LOAD, [["t1", 3]]]]
                    packed = msgpack.packb([gossip.PROTOCOL_VERSION, True, message])
                    with self.subTest(kind=kind, odd=repr(odd)[:40]):
                        node._gossip.datagram_received(packed, ("127.0.0.2", 1))
                        self._check_node(node)

    def test_rows_around_an_odd_one_are_taken_over(self) -> None:
        """Guards against an odd row that loses the other rows of its update."""
        node = self._make_node()
        for odd in (*ODD_MSGPACK, ["salt", [], "t1"], [1, 2]):
            rows = [odd, ["salt", repr(odd)[:40], "t1"]]
            packed = msgpack.packb([gossip.PROTOCOL_VERSION, False, [[gossip.CACHED, rows]]])
            node._gossip.datagram_received(packed, ("127.0.0.2", 1))
            self.assertTrue(node._cache_index.holds("salt", repr(odd)[:40], "t1"), repr(odd)[:40])

    @repeatable
    @given(msgpack_like([gossip.PROTOCOL_VERSION, True, [[gossip.LOAD, [["t1", 3]]]]]))
    @example(DEEP_MSGPACK)
    @example(b"\x93\x02\xc3\x91\x92\xa4load" + DEEP_MSGPACK[-601:])
    def test_odd_datagram_raises_nothing(self, data: bytes) -> None:
        """Guards against a datagram that brings the receiver an exception."""
        node = self._make_node()
        node._gossip.datagram_received(data, ("127.0.0.2", 1))
        self._check_node(node)

    @repeatable
    @given(json_like(RECORD))
    @example(DEEP_JSON)
    def test_odd_quarantine_record_is_ignored(self, value: bytes) -> None:
        """Guards against a record that ends the following of the store, or holds for no time."""
        node = self._make_node()
        node._handle_item(Item("coltsfootfront/quarantine/abc", value, 1))
        for record in node._quarantine._quarantine.records():
            self.check_sane([record.parts, record.hold_s, record.trials, record.since_ms])
            self.assertTrue(all(len(part) > 1 for part in RECORD["parts"]))  # type: ignore[attr-defined]
            self.assertLessEqual(record.parts, {"p1", "p2", *ODD_ADDRESSES})


class OddItemsTest(unittest.IsolatedAsyncioTestCase):
    def _follower(self, store: ScriptedStore, listener: Callable[[Item], None]) -> Follower:
        node = make_node(settings_fields("router-1", "127.0.0.1:1", []))
        return Follower(
            store,  # type: ignore[arg-type]
            node._peers,
            node._clock,
            "",
            listener,
            random.Random(1),
        )

    async def test_item_that_the_listener_fails_at_does_not_end_the_following(self) -> None:
        """Guards against one odd item that loses the rest of its batch, again and again."""
        told: list[str] = []

        def listen(item: Item) -> None:
            told.append(item.key)
            if item.key.startswith("odd"):
                raise RecursionError("maximum recursion depth exceeded " + "x" * 100_000)

        snapshot = Snapshot([KeyValue(key, b"1", 1, 1) for key in ("a", "odd1", "b")], 1, 1)
        changes = Changes([Item(key, b"2", 2) for key in ("odd2", "c")], 2, era=1)
        restored = Snapshot([KeyValue(key, b"3", 1, 1) for key in ("a", "odd1", "b", "c")], 1, 2)
        store = ScriptedStore(
            Success(snapshot), Success(changes), Success(Changes([], 1, era=2)), Success(restored)
        )
        store.era = 2  # type: ignore[attr-defined]
        follower = self._follower(store, listen)
        follower.batch_delay_s = 0.0
        task = asyncio.create_task(follower.follow_store())
        await asyncio.wait(
            (task, asyncio.create_task(store.is_exhausted.wait())),
            return_when=asyncio.FIRST_COMPLETED,
            timeout=5.0,
        )
        self.assertFalse(task.done())
        task.cancel()
        self.assertEqual(["a", "odd1", "b", "odd2", "c"], told[:5])
        self.assertEqual({"a", "odd1", "b", "c", "odd2"}, set(told[5:]))
        self.assertEqual(Position(2, 1), follower.position)


class OddAnswersTest(unittest.IsolatedAsyncioTestCase, OddValuesCase):
    async def _serve(self, data: bytes, content_type: str = "application/json") -> str:
        runner, address = await start_server(data, content_type)
        self.addAsyncCleanup(runner.cleanup)
        return address

    async def _store(self, data: bytes) -> PlatformStore:
        store = PlatformStore(await self._serve(data))
        await store.start()
        self.addAsyncCleanup(store.close)
        return store

    ODD_ITEMS: tuple[Any, ...] = (
        *(None, [], "x", 1, {}),
        {"key": 1, "value": "YQ==", "revision": 2, "create-rev": 2},
        {"key": [], "value": "YQ==", "revision": 2, "create-rev": 2},
        {"key": "\ud800", "value": "YQ==", "revision": 2, "create-rev": 2},
        *(
            {"key": "odd", "value": "YQ==", "revision": odd, "create-rev": 2}
            for odd in ODD_NUMBERS[1:6]
        ),
        {"key": "odd", "value": "YQ==", "revision": [], "create-rev": 2},
    )

    def _items(self, odd: Any) -> list[Any]:
        value = base64.b64encode(b"1").decode()
        good = [
            {"key": key, "value": value, "revision": 2, "create-rev": 2, "lease": 0} for key in "ab"
        ]
        return [good[0], odd, good[1], odd]

    async def test_odd_item_does_not_lose_the_other_items_of_a_page(self) -> None:
        """Guards against one key that keeps a router from reading all others."""
        for odd in self.ODD_ITEMS:
            with self.subTest(repr(odd)[:60]):
                body = {"items": self._items(odd), "has-more": False, "store-revision": 3}
                read = await (await self._store(to_json(body))).snapshot("")
                self.assertIsInstance(read, Success)
                self.assertEqual(["a", "b"], [found.key for found in read.unwrap().items])

    async def test_odd_item_does_not_lose_the_other_changes(self) -> None:
        """Guards against one change that keeps a router from reading those behind it."""
        for odd in self.ODD_ITEMS:
            with self.subTest(repr(odd)[:60]):
                body = {"events": self._items(odd), "store-revision": 3}
                read = await (await self._store(to_json(body))).changes("", 1, 0.0)
                self.assertIsInstance(read, Success)
                self.assertEqual(["a", "b"], [found.key for found in read.unwrap().items])

    async def test_key_with_an_unreadable_value_is_not_taken_for_removed(self) -> None:
        """Guards against a target that is dropped since its entry was overwritten by another."""
        values: tuple[Any, ...] = (None, 1, "%", "a", [])
        for odd in values:
            with self.subTest(odd):
                item = {"key": "odd", "value": odd, "revision": 2, "create-rev": 2}
                body = {"items": self._items(item), "has-more": False, "store-revision": 3}
                read = await (await self._store(to_json(body))).snapshot("")
                self.assertIsInstance(read, Success)
                self.assertIn("odd", {found.key for found in read.unwrap().items})

    @repeatable_slow
    @given(json_like({"items": [], "events": [], "has-more": True, "store-revision": 3}))
    @example(DEEP_JSON)
    def test_odd_answer_of_the_store_is_a_failure(self, data: bytes) -> None:
        """Guards against an answer that ends the following of the store."""
        asyncio.run(self._read_store(data))

    async def _read_store(self, data: bytes) -> None:
        runner, address = await start_server(data, "application/json")
        store = PlatformStore(address)
        await store.start()
        try:
            async with asyncio.timeout(5.0):
                await store.snapshot("")
                await store.changes("", 1, 0.0)
                await store.grant_lease(1.0)
                await store.get("a")
        finally:
            await store.close()
            await runner.cleanup()

    async def test_odd_report_counts_as_unanswered(self) -> None:
        """Guards against a report that ends the reading of all targets' reports."""
        report = {
            "models": [{"name": "m", "version": 1}],
            "sequence": 1,
            "busy": False,
            "running": 1,
            "queued": 1,
        }
        odd_reports = [DEEP_JSON, *(to_json(report | {"running": odd}) for odd in ODD_NUMBERS)]
        odd_reports.append(to_json(report | {"models": [{"name": {}, "version": 1}]}))
        client = PlatformOrderClient("router-1")
        await client.start()
        self.addAsyncCleanup(client.close)
        for data in odd_reports:
            for content_type in ("application/json", "application/json; charset=zlib"):
                with self.subTest(data[-60:], content_type=content_type):
                    target = make_target(await self._serve(data, content_type))
                    self.assertIsNone(await client.read_state(target))

    async def test_cache_events_around_an_odd_one_are_read(self) -> None:
        """Guards against one event that loses the others, or ends the learning of parts."""
        reader = PlatformPartReader()
        await reader.start()
        self.addAsyncCleanup(reader.close)
        self.assertIsNone(await reader.read_parts(await self._serve(DEEP_JSON)))
        rows: tuple[Any, ...] = (None, 1, [], [1, "+"], [1, "+", "s", "\ud800"], [1, "+", [], "k"])
        for odd in rows:
            with self.subTest(odd):
                body = {"events": [[1, "+", "s", "k1"], odd, [2, "+", "s", "k2"]]}
                parts = await reader.read_parts(await self._serve(to_json(body)))
                self.assertEqual(["k1", "k2"], [part.key for part in parts or []])


class OddMessagesBetweenRoutersTest(unittest.IsolatedAsyncioTestCase, OddValuesCase):
    async def asyncSetUp(self) -> None:
        self.fields = settings_fields("router-1", "127.0.0.1:1", [])
        self.node = make_node(self.fields)
        self.address = self.fields["listen"]["control"]
        await self.node._peers.start()
        self.addAsyncCleanup(self.node._peers.close)

    async def test_odd_query_of_a_peer_is_refused(self) -> None:
        """Guards against a wait that is no number and disturbs every timer of the process."""
        odd = ("x", "-1", "\u0663", "9" * 5000, "1e3", "nan")
        queries = [{"after": "0", "era": value} for value in odd]
        queries += [{"after": value, "era": "0"} for value in odd]
        queries += [
            {"after": "0", "wait": value} for value in ("nan", "inf", "-1", "x", "1e999", "1e9")
        ]
        async with aiohttp.ClientSession() as session:
            for query in queries:
                with self.subTest(str(query)[:60]):
                    url = f"http://{self.address}{COPY_PATH}"
                    limit = aiohttp.ClientTimeout(total=1.0)
                    async with session.get(url, params=query, timeout=limit) as response:
                        self.assertEqual(400, response.status)

    @repeatable_slow
    @given(msgpack_like([7, [["op/config", b"x", 7], ["servers/t1", None, 7]], True, 1]))
    @example(DEEP_MSGPACK)
    def test_odd_copy_of_a_peer_counts_as_no_answer(self, data: bytes) -> None:
        """Guards against a copy that ends the following of the relay or of the peers."""
        changes = asyncio.run(self._read(data, COPY_PATH))
        if changes is not None:
            self.check_sane([changes.revision, changes.era])
            for item in changes.items:
                self.assertIsInstance(item.key, str)
                self.assertIsInstance(item.value, bytes | None)
                self.check_sane(item.revision)

    @repeatable_slow
    @given(msgpack_like([1, 7]))
    @example(DEEP_MSGPACK)
    def test_odd_position_of_a_peer_counts_as_no_answer(self, data: bytes) -> None:
        """Guards against a position that ends the following of the peers."""
        changes = asyncio.run(self._read(data, POSITION_PATH))
        if changes is not None:
            self.check_sane([changes.revision, changes.era])

    @repeatable_slow
    @given(msgpack_like([["salt", "key", "t1"], ["salt", "key2", "t1"]]))
    @example(DEEP_MSGPACK)
    def test_odd_parts_of_a_peer_are_left_out(self, data: bytes) -> None:
        """Guards against parts that end the learning of what targets have cached."""
        self.check_sane(asyncio.run(self._read(data, PARTS_PATH)))

    async def _read(self, data: bytes, path: str) -> Any:
        node = make_node(self.fields)

        async def receive(address: str, asked: str, *limits: Any, **params: str) -> Transfer:
            is_position_known = asked == POSITION_PATH != path
            body = msgpack.packb([1, 7]) if is_position_known else data
            return Transfer(200, CIMultiDictProxy(CIMultiDict()), body, len(body), 0.0)

        node._peers._receive = receive  # type: ignore[assignment, method-assign]
        node._peers.seed_addresses = ["127.0.0.2:80"]
        if path in (COPY_PATH, POSITION_PATH):
            return await node._peers.read_peer_changes(Position(0, 0))
        return await node._peers.read_parts()

    async def test_gossip_survives_addresses_to_which_nothing_can_be_sent(self) -> None:
        """Guards against the end of all gossip by one request, or one router's entry."""
        received: list[str] = []
        port = self.fields["port-range"][0]
        node = make_node(self.fields)
        await node._gossip.start("127.0.0.1", port)
        self.addAsyncCleanup(node._gossip.close)
        odd_address = "a\x00b:1"
        node._handle_item(
            Item("coltsfootfront/routers/odd", to_json(ROUTER | {"address": odd_address}), 1)
        )
        fields = [1, odd_address, *PERMIT_REQUEST[2:]]
        sender = Gossip(lambda kind, found: received.append(kind), "region-1", random.Random(1))
        sender_port = self.fields["port-range"][1]
        await sender.start("127.0.0.1", sender_port)
        self.addAsyncCleanup(sender.close)
        sender.send(("127.0.0.1", port), gossip.PERMIT_REQUEST, fields)
        await asyncio.sleep(0.1)
        node._gossip.broadcast(gossip.LOAD, [["t1", 3]])
        node._gossip.send(("127.0.0.1", sender_port), gossip.LOAD, [["t1", 3]])
        await asyncio.sleep(0.1)
        self.assertEqual([gossip.LOAD], received)


class OddCallerHeadersTest(OddValuesCase):
    def test_odd_header_of_a_caller_is_malformed(self) -> None:
        """Guards against a caller whose prompt ends the gossip, or whose deadline is no time."""
        names = ("X-Deadline-Ms", "X-Token-Usage", "X-Prompt-Prefix", "Last-Event-Id")
        for text in ("nan", "inf", "1e999", "9" * 400, "9" * 5000, "x", "1,nan", "-" + "9" * 400):
            for name in names:
                with self.subTest(name=name, text=text[:20]):
                    self._check_malformed(name, text)
        for text in (
            "a\u2028:100",
            ":100",
            "aa:-1",
            "aa:" + "9" * 400,
            "a\x85:1",
            "x" * 5000 + ":1",
        ):
            with self.subTest(text=text[:20]):
                self._check_malformed("X-Prompt-Prefix", text)
        # aiohttp decodes bytes that are no UTF-8 as surrogates.
        with self.assertRaises(ValueError):
            requestdecoder._parse_prompt_parts("\udcff:100")

    def _check_malformed(self, name: str, text: str) -> None:
        request = make_mocked_request("POST", "/ask/x", headers={name: text})
        with self.assertRaises(ValueError):
            requestdecoder.decode_caller_request(request, b"", 0.0)


class LogLinesTest(unittest.TestCase):
    def test_line_of_an_odd_value_is_one_bounded_line(self) -> None:
        """Guards against a log that others fill, or in which they forge lines."""
        for odd in ("x" * 1_000_000, "a\nevent=forged b\r\x85\u2028", "\ud800"):
            line = event("key_ignored", key=odd, reason=odd)
            self.assertLess(len(line), MAX_LINE)
            self.assertEqual(1, len(line.splitlines()))
            line.encode()


if __name__ == "__main__":
    unittest.main()
