"""Tests of a router on the users' platform, against stand-ins over loopback."""

import asyncio
import gzip
import itertools
import random
import unittest
import zlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct import gossip
from coltsfootfront.direct.node import ROTATION_REMOVAL_S, Node
from coltsfootfront.direct.orders import OrderResult
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.storefollower import MAX_BATCH_DELAY_S, WATCH_WAIT_S
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import CONNECTION_BYTES, REQUEST_BYTES, Budget
from coltsfootfront.platform import program, settings
from coltsfootfront.platform.orders import PlatformOrderClient
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    CUSTOMER,
    HOST,
    PlatformFleet,
    configuration,
    settings_fields,
)

WAIT_S = 8.0
CALLER_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
POLL_S = 0.02
# A configuration is in force this long after it was acknowledged.
CONFIG_APPLY_S = 2.5
# Time after a disruption from which the users expect the store to be usable again.
STABLE_S = 4.0
LONG_BODY_BYTES = 1024 * 1024
PROMPT_HEADERS = {
    "X-Model": "m",
    "X-Token-Usage": "700,10",
    "X-Prompt-Prefix": "aa:500,bb:100,cc:100",
}
FORGED_HEADERS = {
    "X-Tenant": "somebody",
    "X-Cache-Salt": "mine",
    "X-Hold": "h",
    "Kv-From": "x",
    "X-Expect-Instance": "i-other",
}


def make_node(fields: dict[str, Any]) -> Node:
    """Build a router with the given settings."""
    node_settings = settings.decode(fields, "test")
    return program.make_node(node_settings, lambda: node_settings, random.Random(1))


class PlatformNodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.fields = settings_fields("router-1", self.fleet.store.address, [])
        self.node = make_node(self.fields)
        await self.node.start()
        self.session = aiohttp.ClientSession()
        self.numbers = itertools.count()
        await self._until(lambda: self.node.is_ready)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.node.close()
        await self.fleet.close()

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - the awaited state has no event
                await asyncio.sleep(POLL_S)

    async def _send(
        self, path: str, method: str = "GET", key: str = API_KEY, **headers: str
    ) -> tuple[int, bytes, str]:
        body = b"body" if method == "POST" else None
        return await self._send_body(path, method, body, headers, key)

    async def _send_body(
        self,
        path: str,
        method: str,
        body: bytes | AsyncIterator[bytes] | None,
        headers: dict[str, str],
        key: str = API_KEY,
    ) -> tuple[int, bytes, str]:
        request_id = f"r{next(self.numbers)}"
        url = f"http://{self.fields['listen']['front']}{path}"
        default_headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {key}",
        }
        async with self.session.request(
            method, url, data=body, headers=default_headers | headers, timeout=CALLER_TIMEOUT
        ) as response:
            return response.status, await response.read(), request_id

    async def test_each_kind_of_request_is_served(self) -> None:
        """Guards against a kind of route on which requests fail or are answered incompletely."""
        for path, method, headers in (
            ("/look/a?b=%20c", "GET", {}),
            ("/file/a", "POST", {}),
            ("/ask/a", "POST", PROMPT_HEADERS),
            ("/long/a", "POST", PROMPT_HEADERS),
        ):
            with self.subTest(path):
                status, body, request_id = await self._send(path, method, **headers)
                self.assertEqual(200, status)
                self.assertIn(b"data: 5" if headers else request_id.encode(), body)
                self.assertEqual(1, self.fleet.execution_count(request_id))
        paths = {run.path for target in self.fleet.plain_targets for run in target.executions}
        self.assertEqual({"/look/a", "/file/a"}, paths)

    async def test_version_with_ranks_above_those_of_targets_is_in_force(self) -> None:
        """Guards against a withdrawn key that is accepted on beside a rank above 9 (CONFIG)."""
        config = configuration(2, ("key-2",))
        for route in config["routes"]:
            route["priority"] = 10
        config["tenants"][0]["priority"] = 2**31
        self.fleet.store.put_json("op/config", config)
        await self._until(lambda: self.node._forwarder.routing_config.number == 2)
        self.assertEqual(401, (await self._send("/look/a"))[0])
        for path in ("/ask/a", "/long/a", "/look/a"):
            sent = await self._send(path, "POST", key="key-2", **PROMPT_HEADERS)
            self.assertEqual(200, sent[0])

    async def test_other_routers_learn_the_capacity_of_the_link(self) -> None:
        """Guards against relays that are chosen without regard to their links."""
        await self._until(lambda: bool(self.node._peers._routers))
        (entry,) = self.node._peers._routers.values()
        self.assertEqual(1000.0, entry.link_mbit_per_s)

    async def test_reserved_headers_of_callers_are_dropped(self) -> None:
        """Guards against callers that set another customer or cache salt by themselves."""
        await self._send("/long/a", "POST", **PROMPT_HEADERS, **FORGED_HEADERS)
        runs = [run for target in self.fleet.engine_targets for run in target.executions]
        self.assertEqual([(CUSTOMER, "m:1:")], [(run.customer, run.salt) for run in runs])

    async def test_compressed_body_is_forwarded_as_it_was_sent(self) -> None:
        """Guards against a body that targets get decompressed under its old header (UNASKED)."""
        for coding, content in (
            ("gzip", gzip.compress(b"body" * 200)),
            ("deflate", zlib.compress(b"body" * 200)),
            ("gzip", b"not compressed"),
        ):
            with self.subTest(coding, content=content[:3]):
                headers = {"Content-Encoding": coding}
                status, _, request_id = await self._send_body("/file/a", "POST", content, headers)
                self.assertEqual(200, status)
                runs = [run for target in self.fleet.plain_targets for run in target.executions]
                found = [run.body for run in runs if run.request_id == request_id]
                self.assertEqual([content], found)

    async def test_long_bodies_beyond_the_memory_are_refused_before_they_are_read(self) -> None:
        """Guards against a process that is killed for the bodies of a burst of requests (LOST)."""
        caller_server = self.node._caller_server
        assert caller_server is not None
        budget = Budget(int(1.5 * LONG_BODY_BYTES) + 4 * REQUEST_BYTES, 100)
        caller_server.account = Account(budget, SystemClock())
        for target in self.fleet.plain_targets:
            target.execution_time_s = 0.5

        async def pieces() -> AsyncIterator[bytes]:
            yield bytes(LONG_BODY_BYTES // 2)
            yield bytes(LONG_BODY_BYTES // 2)

        for content in (bytes(LONG_BODY_BYTES), pieces):
            with self.subTest(type(content)):
                contents = [content if isinstance(content, bytes) else content() for _ in range(3)]
                answers = await asyncio.gather(
                    *(self._send_body("/file/a", "POST", body, {}) for body in contents),
                    self._send("/file/a", "POST"),
                )
                self.assertEqual([200, 200, 503, 503], sorted(answer[0] for answer in answers))
                self.assertEqual(200, answers[-1][0])
                for status, _, request_id in answers:
                    runs = 1 if status == 200 else 0
                    self.assertEqual(runs, self.fleet.execution_count(request_id))
        await self._until(lambda: not caller_server.count_active())
        connections = caller_server.account.connections
        self.assertEqual(connections * CONNECTION_BYTES, caller_server.account.held_bytes)

    async def test_refusals(self) -> None:
        """Guards against requests without a route or a valid key that are served."""
        self.assertEqual(404, (await self._send("/none/a"))[0])
        self.assertEqual(401, (await self._send("/look/a", key="wrong"))[0])

    async def test_faults_of_targets(self) -> None:
        """Guards against duplicate runs, false "not executed" and truncated responses."""
        cases = (
            ("/file/a", "cuts", 502),
            ("/file/a", "unframed", 502),
            ("/file/a", "crosses", 502),
            ("/file/a", "rejects", 503),
            ("/look/a", "cuts", 502),
            ("/look/a", "crosses", 502),
        )
        for path, fault, status in cases:
            with self.subTest(path=path, fault=fault):
                for target in self.fleet.plain_targets:
                    setattr(target.faults, fault, True)
                method = "POST" if path.startswith("/file") else "GET"
                actual_status, body, request_id = await self._send(path, method)
                self.assertEqual(status, actual_status, body)
                limit = 0 if fault == "rejects" else 1 if method == "POST" else 2
                self.assertLessEqual(self.fleet.execution_count(request_id), limit)
                for target in self.fleet.plain_targets:
                    setattr(target.faults, fault, False)

    async def test_resumable_stream_survives_a_cut(self) -> None:
        """Guards against a stream that ends early although another engine could resume it."""
        self.fleet.engine_targets[0].faults.cuts = True
        for _ in range(6):
            status, body, _ = await self._send("/ask/a", "POST", **PROMPT_HEADERS)
            self.assertEqual(200, status)
            self.assertEqual(6, body.count(b"id: "))

    async def test_repeated_refusal_on_a_kept_connection(self) -> None:
        """Guards against "not run" for a request that ran, as an earlier refusal came once more."""
        for target in self.fleet.targets:
            target.faults.repeats_refusals = True
        for path, headers in (("/file/a", {}), ("/long/a", PROMPT_HEADERS)):
            for _ in range(6):
                with self.subTest(path):
                    status, _, request_id = await self._send(path, "POST", **headers)
                    runs = self.fleet.execution_count(request_id)
                    self.assertLessEqual(runs, 0 if status == 503 else 1, status)

    async def test_error_of_the_target_that_resumes_a_stream(self) -> None:
        """Guards against an error's text within a stream, or a stream that looks complete."""
        for engine in self.fleet.engine_targets:
            engine.faults.cuts = True
        for status in (400, 404, 500, 502, 503):
            for engine in self.fleet.engine_targets:
                engine.faults.resumed_status = status
            with self.subTest(status), self.assertRaises(aiohttp.ClientError):
                await self._send("/ask/a", "POST", **PROMPT_HEADERS)

    async def test_target_that_stops_within_the_head_of_its_answer(self) -> None:
        """Guards against an empty or short answer that looks complete."""
        lengths = (1, 9, 12, 15, 16, 17, 30, 60, 80, 100, 110, 114, 115, 116, 117, 118, 119)
        for path, headers in (("/file/a", {}), ("/long/a", PROMPT_HEADERS)):
            for length in lengths:
                for target in self.fleet.targets:
                    target.faults.head_bytes = length
                with self.subTest(path=path, length=length):
                    status, _, _ = await self._send(path, "POST", **headers)
                    self.assertEqual(502, status)

    async def test_stream_that_ends_with_its_connection(self) -> None:
        """Guards against a whole stream without a length that fails, or a cut one that succeeds."""
        for engine in self.fleet.engine_targets:
            engine.faults.unframed_events = 6
        status, body, _ = await self._send("/long/a", "POST", **PROMPT_HEADERS)
        self.assertEqual((200, 6), (status, body.count(b"id: ")))
        for engine in self.fleet.engine_targets:
            engine.faults.unframed_events = 3
        with self.assertRaises(aiohttp.ClientError):
            await self._send("/long/a", "POST", **PROMPT_HEADERS)

    async def test_disconnect_of_a_caller_stops_the_generation(self) -> None:
        """Guards against engines that go on generating for callers that have disconnected."""
        for engine in self.fleet.engine_targets:
            engine.event_interval_s = 0.5
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.4):
                await self._send("/long/a", "POST", **PROMPT_HEADERS)
        await self._until(
            lambda: sum(item.cancelled_requests for item in self.fleet.engine_targets) == 1
        )

    async def test_new_weights_are_ordered_and_expected(self) -> None:
        """Guards against engines that keep old weights, and cache salts of old weights in use."""
        announced_s = SystemClock().monotonic_s()
        known_age_s = self.node._follower.freshness.age_s()
        assert known_age_s is not None
        self.fleet.store.put_json("op/version/m", {"model": "m", "version": 2})
        await self._until(lambda: all(engine.version == 2 for engine in self.fleet.engine_targets))
        # The age of a version counts from the last moment before at which there was none.
        newest = self.node._versions.newest("m")
        assert newest is not None
        self.assertLess(known_age_s, WATCH_WAIT_S + MAX_BATCH_DELAY_S)
        self.assertGreaterEqual(newest.published_s, announced_s - known_age_s)
        await self._until(lambda: bool(self.fleet.engine_targets[0].orders))
        fences = {order["fence"] for engine in self.fleet.engine_targets for order in engine.orders}
        self.assertEqual(1, len(fences))
        await asyncio.sleep(0.5)
        status, _, request_id = await self._send("/long/a", "POST", **PROMPT_HEADERS)
        self.assertEqual(200, status)
        runs = [run for engine in self.fleet.engine_targets for run in engine.executions]
        self.assertEqual(["m:2:"], [run.salt for run in runs if run.request_id == request_id])

    async def test_draining_target_gets_no_more_requests(self) -> None:
        """Guards against new requests to targets that are draining."""
        draining, ready = self.fleet.plain_targets
        self.fleet.register(draining, "draining")
        await asyncio.sleep(0.3)
        for _ in range(10):
            await self._send("/look/a")
        self.assertEqual((0, 10), (len(draining.executions), len(ready.executions)))

    async def test_revoked_key_and_older_configuration(self) -> None:
        """Guards against accepting removed API keys, and returning to an older configuration."""
        self.fleet.store.put_json("op/config", configuration(5, ("other",)))
        async with asyncio.timeout(CONFIG_APPLY_S):
            while (await self._send("/look/a"))[0] != 401:  # noqa: ASYNC110 - no event tells of it
                await asyncio.sleep(POLL_S)
        self.fleet.store.put_json("op/config", configuration(4))
        for _ in range(20):
            await asyncio.sleep(0.05)
            self.assertEqual(401, (await self._send("/look/a"))[0])

    async def test_malformed_store_values_are_ignored(self) -> None:
        """Guards against a malformed entry that removes a target or the configuration."""
        for value in (b"\xff", b"[]", b'{"service": 3}', b'{"state": "odd"}'):
            self.fleet.store.put("servers/other", value)
            self.fleet.store.put("op/config", value)
        await asyncio.sleep(0.3)
        self.assertEqual(200, (await self._send("/look/a"))[0])

    async def test_store_outage_and_lost_history(self) -> None:
        """Guards against a router that stops serving in an outage, or misses changes after it."""
        self.fleet.store.faults.refuses = True
        await asyncio.sleep(0.5)
        self.assertEqual(200, (await self._send("/look/a"))[0])
        self.fleet.store.put_json("op/config", configuration(2, ("other",)))
        self.fleet.store.compact()
        self.fleet.store.faults.refuses = False
        await asyncio.sleep(2.0)
        self.assertEqual(401, (await self._send("/look/a"))[0])

    async def test_watch_that_reports_no_changes(self) -> None:
        """Guards against late configuration from a watch that stalls after a compaction."""
        self.fleet.store.faults.deaf = True
        self.fleet.store.put_json("op/config", configuration(3, ("other",)))
        self.fleet.store.compact()
        async with asyncio.timeout(STABLE_S):
            while self.node._forwarder.routing_config.number < 3:  # noqa: ASYNC110 - no event
                await asyncio.sleep(POLL_S)

    async def test_router_that_the_store_refuses_reads_from_peers(self) -> None:
        """Guards against revoked keys that a router without access to the store still accepts."""
        unavailable_fleet = PlatformFleet(0, 0)
        unavailable_fleet.store.faults.refuses = True
        await unavailable_fleet.store.start()
        seeds = [self.fields["listen"]["control"]]
        other = make_node(settings_fields("router-2", unavailable_fleet.store.address, seeds))
        await other.start()
        await self._until(lambda: other.is_ready)
        self.fleet.store.put_json("op/config", configuration(7, ("other",)))
        await self._until(lambda: other._forwarder.routing_config.number == 7)
        await other.close()
        await unavailable_fleet.store.close()

    async def test_router_that_the_store_refuses_reads_from_a_peer_without_a_known_entry(
        self,
    ) -> None:
        """Guards against an old configuration when all peers have started again in an outage."""
        unavailable_fleet = PlatformFleet(0, 0)
        unavailable_fleet.store.faults.refuses = True
        await unavailable_fleet.store.start()
        other = make_node(settings_fields("router-2", unavailable_fleet.store.address, []))
        await other.start()
        other._peers.add("router-3", RouterEntry("127.0.0.1:9", "zone-a", "region-1"))
        position = self.node._follower.position
        address = self.fields["listen"]["control"]
        other._handle_message(gossip.REVISION, [position.revision, position.era, address])
        try:
            await self._until(lambda: other._forwarder.routing_config.number == 1)
        finally:
            await other.close()
            await unavailable_fleet.close()

    async def test_stop_finishes_requests_in_progress_and_closes_idle_connections(self) -> None:
        """Guards against requests that are aborted by a planned stop."""
        for target in self.fleet.plain_targets:
            target.execution_time_s = 0.5
        await self._send("/look/a")
        in_progress = asyncio.create_task(self._send("/look/a"))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(self.node.drain())
        self.assertEqual(200, (await in_progress)[0])
        async with self.session.get(f"http://{self.fields['listen']['ready']}/v1/ready") as ready:
            self.assertEqual(503, ready.status)
        await stopping
        callers = self.node._caller_server
        assert callers is not None
        self.assertEqual(0, callers.count_connections())

    async def test_request_whose_body_is_still_arriving_survives_a_planned_stop(self) -> None:
        """Guards against a stop that aborts a request that is accepted but not yet read."""
        fields = settings_fields("router-2", self.fleet.store.address, [])
        fields["bounds"]["grace-s"] = 8
        node = make_node(fields)
        await node.start()
        await self._until(lambda: node.is_ready)
        host, _, port = fields["listen"]["front"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        stopping = asyncio.create_task(self._stop(node))
        head = (
            f"POST /file/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: slow\r\n"
            f"X-Deadline-Ms: 6000\r\nAuthorization: Token {API_KEY}\r\nContent-Length: 4\r\n\r\n"
        )
        writer.write(head[:4].encode())
        await asyncio.sleep(ROTATION_REMOVAL_S - 0.5)
        # The deadline of the request counts from the end of its head.
        writer.write(head[4:].encode() + b"bo")
        await asyncio.sleep(1.5)
        writer.write(b"dy")
        response = await reader.read(2000)
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertIn(b"connection: close", response.lower())
        writer.close()
        await stopping

    async def _stop(self, node: Node) -> None:
        await node.drain()
        await node.close()

    async def test_closed_connections_are_not_counted_as_active(self) -> None:
        """Guards against a stop that waits for callers that disconnected within a request."""
        host, _, port = self.fields["listen"]["front"].rpartition(":")
        callers = self.node._caller_server
        assert callers is not None
        for sent in (b"GET /look/a HTT", b"rubbish\r\n\r\n", b"POST /x HTTP/1.1\r\n"):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(sent)
            await asyncio.sleep(0.05)
            writer.transport.abort()
        await self._until(lambda: not callers.count_active())

    async def test_order_is_withheld_after_its_lease_has_expired(self) -> None:
        """Guards against an order that is sent although the lease expired while it connected."""
        engine = self.fleet.engine_targets[0]
        target = self.node._directory.get(engine.name)
        assert target is not None
        before = len(engine.orders)
        client = PlatformOrderClient("router-1")
        await client.start()
        results = []
        for number, may_send in enumerate((bool, lambda: True)):
            fencing_token = 10**6 + number
            results.append(await client.load_version(target, "m", 5, 0, fencing_token, may_send))
        await client.close()
        self.assertEqual([OrderResult.WITHHELD, OrderResult.ACCEPTED], results)
        self.assertEqual(before + 1, len(engine.orders))

    async def test_drain_reported_by_a_peer_stops_new_requests(self) -> None:
        """Guards against new requests to a target that only a peer reports as draining."""
        first, second = self.fleet.plain_targets
        started_ms = first.registration()["born"]
        self.node._handle_message(gossip.DRAINING, [first.name, started_ms])
        for _ in range(6):
            self.assertEqual(200, (await self._send("/look/a"))[0])
        self.assertEqual((0, 6), (len(first.executions), len(second.executions)))

    async def test_cached_parts_are_discovered_after_a_restart(self) -> None:
        """Guards against repeated prefills of cached prompts after a restart of all routers."""
        await self._send("/long/a", "POST", **PROMPT_HEADERS)
        node = make_node(settings_fields("router-2", self.fleet.store.address, []))
        await node.start()
        try:
            await self._until(lambda: any(True for _ in node._cache_index.all_locations()))
            keys = {key for _, key, _ in node._cache_index.all_locations()}
            self.assertLessEqual({"aa", "bb"}, keys)
        finally:
            await node.close()
