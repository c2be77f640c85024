"""Tests of a router on the users' platform, against stand-ins over loopback."""

import asyncio
import itertools
import random
import unittest
from collections.abc import Callable
from typing import Any

import aiohttp

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct import gossip
from coltsfootfront.direct.node import ROTATION_REMOVAL_S, Node
from coltsfootfront.direct.orders import OrderResult
from coltsfootfront.platform import program, settings
from coltsfootfront.platform.orders import PlatformOrders
from coltsfootfront_dev.platformfleet import (
    CUSTOMER,
    HOST,
    KEY,
    PlatformFleet,
    configuration,
    settings_fields,
)

WAIT_S = 8.0
POLL_S = 0.02
# The users count a store as stable again this long after a disruption.
STABLE_S = 4.0
PROMPT = {
    "X-Model": "m",
    "X-Token-Usage": "700,10",
    "X-Prompt-Prefix": "aa:500,bb:100,cc:100",
}
FORGED = {
    "X-Tenant": "somebody",
    "X-Cache-Salt": "mine",
    "X-Hold": "h",
    "Kv-From": "x",
    "X-Expect-Instance": "i-other",
}


def make_node(fields: dict[str, Any]) -> Node:
    """A router with the given settings."""
    found = settings.decode(fields, "test")
    return program.make_node(found, lambda: found, random.Random(1))


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

    async def _until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not holds():  # noqa: ASYNC110 - the state belongs to another process in use
                await asyncio.sleep(POLL_S)

    async def _send(
        self, path: str, method: str = "GET", key: str = KEY, **headers: str
    ) -> tuple[int, bytes, str]:
        request_id = f"r{next(self.numbers)}"
        url = f"http://{self.fields['listen']['front']}{path}"
        sent = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {key}",
        }
        body = b"body" if method == "POST" else None
        async with self.session.request(method, url, data=body, headers=sent | headers) as response:
            return response.status, await response.read(), request_id

    async def test_each_kind_of_request_is_served(self) -> None:
        """Guards against a path on which no request comes through whole."""
        for path, method, headers in (
            ("/look/a?b=%20c", "GET", {}),
            ("/file/a", "POST", {}),
            ("/ask/a", "POST", PROMPT),
            ("/long/a", "POST", PROMPT),
        ):
            with self.subTest(path):
                status, body, request_id = await self._send(path, method, **headers)
                self.assertEqual(200, status)
                self.assertIn(b"data: 5" if headers else request_id.encode(), body)
                self.assertEqual(1, self.fleet.runs(request_id))
        paths = {run.path for target in self.fleet.plain for run in target.runs}
        self.assertEqual({"/look/a", "/file/a"}, paths)

    async def test_headers_of_the_system_are_not_taken_from_callers(self) -> None:
        """Guards against callers who name another customer or another salt."""
        await self._send("/long/a", "POST", **PROMPT, **FORGED)
        runs = [run for target in self.fleet.engines for run in target.runs]
        self.assertEqual([(CUSTOMER, "m:1:")], [(run.customer, run.salt) for run in runs])

    async def test_refusals(self) -> None:
        """Guards against served requests without a right, and refusals of what is allowed."""
        self.assertEqual(404, (await self._send("/none/a"))[0])
        self.assertEqual(401, (await self._send("/look/a", key="wrong"))[0])

    async def test_faults_of_targets(self) -> None:
        """Guards against second runs, false "not run" and answers that only look complete."""
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
                for target in self.fleet.plain:
                    setattr(target.faults, fault, True)
                method = "POST" if path.startswith("/file") else "GET"
                answered, body, request_id = await self._send(path, method)
                self.assertEqual(status, answered, body)
                limit = 0 if fault == "rejects" else 1 if method == "POST" else 2
                self.assertLessEqual(self.fleet.runs(request_id), limit)
                for target in self.fleet.plain:
                    setattr(target.faults, fault, False)

    async def test_resumable_stream_survives_a_cut(self) -> None:
        """Guards against a stream that ends early though another engine could go on."""
        self.fleet.engines[0].faults.cuts = True
        for _ in range(6):
            status, body, _ = await self._send("/ask/a", "POST", **PROMPT)
            self.assertEqual(200, status)
            self.assertEqual(6, body.count(b"id: "))

    async def test_a_caller_that_leaves_ends_the_work(self) -> None:
        """Guards against engines that work on for callers who are gone."""
        for engine in self.fleet.engines:
            engine.event_interval_s = 0.5
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.4):
                await self._send("/long/a", "POST", **PROMPT)
        await self._until(lambda: sum(item.cancelled for item in self.fleet.engines) == 1)

    async def test_new_weights_are_ordered_and_expected(self) -> None:
        """Guards against engines that stay on old weights, and salts that outlive them."""
        named_s = SystemClock().monotonic_s()
        self.fleet.store.put_json("op/version/m", {"model": "m", "version": 2})
        await self._until(lambda: all(engine.version == 2 for engine in self.fleet.engines))
        # A name that comes while the router runs is not taken for an old one.
        newest = self.node._versions.newest("m")
        assert newest is not None
        self.assertGreaterEqual(newest.named_s, named_s)
        await self._until(lambda: bool(self.fleet.engines[0].orders))
        fences = {order["fence"] for engine in self.fleet.engines for order in engine.orders}
        self.assertEqual(1, len(fences))
        await asyncio.sleep(0.5)
        status, _, request_id = await self._send("/long/a", "POST", **PROMPT)
        self.assertEqual(200, status)
        runs = [run for engine in self.fleet.engines for run in engine.runs]
        self.assertEqual(["m:2:"], [run.salt for run in runs if run.request_id == request_id])

    async def test_leaving_and_missing_targets_get_no_more_requests(self) -> None:
        """Guards against new work for targets that leave."""
        leaving, staying = self.fleet.plain
        self.fleet.register(leaving, "draining")
        await asyncio.sleep(0.3)
        for _ in range(10):
            await self._send("/look/a")
        self.assertEqual((0, 10), (len(leaving.runs), len(staying.runs)))

    async def test_revoked_key_and_older_configuration(self) -> None:
        """Guards against keys that outlive their removal, and a configuration that goes back."""
        self.fleet.store.put_json("op/config", configuration(5, ("other",)))
        await asyncio.sleep(0.3)
        self.assertEqual(401, (await self._send("/look/a"))[0])
        self.fleet.store.put_json("op/config", configuration(4))
        await asyncio.sleep(0.3)
        self.assertEqual(401, (await self._send("/look/a"))[0])

    async def test_keys_that_cannot_be_read_change_nothing(self) -> None:
        """Guards against an entry of another writer that takes a target away."""
        for value in (b"\xff", b"[]", b'{"service": 3}', b'{"state": "odd"}'):
            self.fleet.store.put("servers/other", value)
            self.fleet.store.put("op/config", value)
        await asyncio.sleep(0.3)
        self.assertEqual(200, (await self._send("/look/a"))[0])

    async def test_store_outage_and_lost_history(self) -> None:
        """Guards against a router that stops serving, or misses changes after an outage."""
        self.fleet.store.faults.refuses = True
        await asyncio.sleep(0.5)
        self.assertEqual(200, (await self._send("/look/a"))[0])
        self.fleet.store.put_json("op/config", configuration(2, ("other",)))
        self.fleet.store.compact()
        self.fleet.store.faults.refuses = False
        await asyncio.sleep(2.0)
        self.assertEqual(401, (await self._send("/look/a"))[0])

    async def test_watch_that_hears_nothing(self) -> None:
        """Guards against a configuration that comes too late after the history was dropped."""
        self.fleet.store.faults.deaf = True
        self.fleet.store.put_json("op/config", configuration(3, ("other",)))
        self.fleet.store.compact()
        async with asyncio.timeout(STABLE_S):
            while self.node._forwarder.routing_config.number < 3:  # noqa: ASYNC110 - see above
                await asyncio.sleep(POLL_S)

    async def test_peer_that_the_store_turns_away_learns_from_others(self) -> None:
        """Guards against revoked keys that one router goes on to take."""
        refused = PlatformFleet(0, 0)
        refused.store.faults.refuses = True
        await refused.store.start()
        seeds = [self.fields["listen"]["control"]]
        other = make_node(settings_fields("router-2", refused.store.address, seeds))
        await other.start()
        await self._until(lambda: other.is_ready)
        self.fleet.store.put_json("op/config", configuration(7, ("other",)))
        await self._until(lambda: other._forwarder.routing_config.number == 7)
        await other.close()
        await refused.store.close()

    async def test_stop_answers_what_is_under_way_and_closes_idle_connections(self) -> None:
        """Guards against requests that are cut by a planned stop."""
        for target in self.fleet.plain:
            target.work_s = 0.5
        await self._send("/look/a")
        under_way = asyncio.create_task(self._send("/look/a"))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(self.node.drain())
        self.assertEqual(200, (await under_way)[0])
        async with self.session.get(f"http://{self.fields['listen']['ready']}/v1/ready") as ready:
            self.assertEqual(503, ready.status)
        await stopping
        callers = self.node._caller_server
        assert callers is not None
        self.assertEqual(0, callers.count_connections())

    async def test_request_whose_body_still_arrives_outlasts_a_planned_stop(self) -> None:
        """Guards against a stop that cuts a request which is accepted but not yet read."""
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
            f"X-Deadline-Ms: 6000\r\nAuthorization: Token {KEY}\r\nContent-Length: 4\r\n\r\n"
        )
        writer.write(head[:4].encode())
        await asyncio.sleep(ROTATION_REMOVAL_S - 0.5)
        # The time of the request begins with its head.
        writer.write(head[4:].encode() + b"bo")
        await asyncio.sleep(1.5)
        writer.write(b"dy")
        answer = await reader.read(2000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertIn(b"connection: close", answer.lower())
        writer.close()
        await stopping

    async def _stop(self, node: Node) -> None:
        await node.drain()
        await node.close()

    async def test_connections_that_end_are_forgotten(self) -> None:
        """Guards against a stop that waits for callers who left in the middle of a request."""
        host, _, port = self.fields["listen"]["front"].rpartition(":")
        callers = self.node._caller_server
        assert callers is not None
        for sent in (b"GET /look/a HTT", b"rubbish\r\n\r\n", b"POST /x HTTP/1.1\r\n"):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(sent)
            await asyncio.sleep(0.05)
            writer.transport.abort()
        await self._until(lambda: not callers.count_active())

    async def test_order_is_withheld_when_its_permission_has_ended(self) -> None:
        """Guards against an order that goes out after the lease ended while it connected."""
        engine = self.fleet.engines[0]
        target = self.node._directory.get(engine.name)
        assert target is not None
        before = len(engine.orders)
        client = PlatformOrders("router-1")
        await client.start()
        answers = []
        for number, may_send in enumerate((bool, lambda: True)):
            fencing = 10**6 + number
            answers.append(await client.load_version(target, "m", 5, 0, fencing, may_send))
        await client.close()
        self.assertEqual([OrderResult.WITHHELD, OrderResult.ACCEPTED], answers)
        self.assertEqual(before + 1, len(engine.orders))

    async def test_peers_learn_that_a_target_leaves(self) -> None:
        """Guards against new work from a router that has not heard the target itself."""
        first, second = self.fleet.plain
        started_ms = first.entry()["born"]
        self.node._handle_message(gossip.DRAINING, [first.name, started_ms])
        for _ in range(6):
            self.assertEqual(200, (await self._send("/look/a"))[0])
        self.assertEqual((0, 6), (len(first.runs), len(second.runs)))

    async def test_parts_are_known_again_after_a_restart(self) -> None:
        """Guards against prompts that are read again after all routers were killed."""
        await self._send("/long/a", "POST", **PROMPT)
        node = make_node(settings_fields("router-2", self.fleet.store.address, []))
        await node.start()
        try:
            await self._until(lambda: any(True for _ in node._cache_index.all_locations()))
            keys = {key for _, key, _ in node._cache_index.all_locations()}
            self.assertLessEqual({"aa", "bb"}, keys)
        finally:
            await node.close()
