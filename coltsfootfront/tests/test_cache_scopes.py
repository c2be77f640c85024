"""Tests of who shares cached prompt parts while customers become isolated and cease to be."""

import asyncio
import itertools
import json
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import aiohttp
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct.node import Node
from coltsfootfront.direct.routingconfig import Customer, RoutingConfig
from coltsfootfront.direct.targetclient import Directive
from coltsfootfront.direct.targetselection import compute_cache_salt
from coltsfootfront.platform.configdecoder import decode_config
from coltsfootfront.tests.direct_support import (
    MODEL,
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.test_platform_node import POLL_S, PROMPT_HEADERS, WAIT_S, make_node
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    CUSTOMER,
    HOST,
    PlatformFleet,
    configuration,
    settings_fields,
)

NAMES = ("a", "b", "c", "customer/a", "shared/a")
PARTS = (("aa", 500), ("bb", 100))
OTHER_PARTS = (("aa", 500), ("cc", 100))


def with_customers(isolated: frozenset[str], names: tuple[str, ...] = NAMES) -> RoutingConfig:
    """Create a configuration of customers, each with its own name as its key."""
    config = RoutingConfig(number=1)
    for name in names:
        config.add_customer(Customer(name, is_isolated=name in isolated), [name])
    return config


def decode(body: dict[str, Any]) -> RoutingConfig:
    """Decode a configuration as the operators write it."""
    return decode_config(json.dumps({"routes": [], "services": []} | body).encode()).unwrap()


class CacheScopeTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.frozensets(st.sampled_from(NAMES)),
                # Customers of which a router that lags behind still handles a request.
                st.lists(st.sampled_from(NAMES), max_size=3),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_no_part_of_an_isolated_customer_is_shared_after_any_changes(
        self, history: list[tuple[frozenset[str], list[str]]]
    ) -> None:
        """Guards against others that use the parts a customer made before it was isolated."""
        makers: dict[str, set[str]] = {}
        before = with_customers(frozenset())
        for isolated, late in history:
            config = with_customers(isolated)
            for name in late:
                makers.setdefault(before.cache_scope(Customer(name)), set()).add(name)
            for name, customer in config.customers.items():
                scope = config.cache_scope(customer)
                for maker in makers.setdefault(scope, set()) | {name}:
                    if maker != name:
                        self.assertFalse({maker, name} & isolated, (scope, maker, name))
                makers[scope].add(name)
            before = config

    def test_changes_that_isolate_nobody_keep_the_scope(self) -> None:
        """Guards against cached parts that are lost by changes which concern no isolation."""
        tenants: list[dict[str, Any]] = [
            {"name": "a", "api-keys": ["k1"], "isolated": True},
            {"name": "b", "api-keys": ["k2"], "isolated": False, "priority": 1},
            {"name": "c", "api-keys": ["k3"]},
        ]
        first = decode({"version": 1, "tenants": tenants})
        changes: dict[str, list[dict[str, Any]]] = {
            "order": tenants[::-1],
            "keys": [tenants[0] | {"api-keys": []}, tenants[1] | {"api-keys": ["k9"]}, tenants[2]],
            "priority": [tenants[0] | {"priority": 2}, tenants[1] | {"priority": 0}, tenants[2]],
            "added": [*tenants, {"name": "d", "api-keys": ["k4"]}],
            "removed": tenants[:2],
        }
        for name, changed in changes.items():
            with self.subTest(name):
                config = decode({"version": 2, "tenants": changed})
                self.assertEqual(first.shared_cache_scope, config.shared_cache_scope)
                for customer in first.customers.values():
                    self.assertEqual(first.cache_scope(customer), config.cache_scope(customer))

    def test_scopes_of_customers_are_none_of_the_shared_ones(self) -> None:
        """Guards against a customer whose name is the scope that others share."""
        shared = with_customers(frozenset("a")).shared_cache_scope
        self.assertTrue(shared)
        config = with_customers(frozenset(("a", shared)), ("a", "b", shared))
        scopes = [config.cache_scope(customer) for customer in config.customers.values()]
        self.assertEqual(3, len({*scopes}))
        self.assertNotIn(shared, scopes)

    def test_requests_without_a_customer_share_with_no_isolated_one(self) -> None:
        """Guards against parts of an isolated customer for callers without a key."""
        scopes = {with_customers(frozenset(names)).cache_scope(None) for names in ("", "a", "ab")}
        self.assertEqual(3, len(scopes))

    def test_customer_that_was_removed_stays_isolated_for_its_last_requests(self) -> None:
        """Guards against requests of a removed customer that run in the scope of the others."""
        customer = Customer("a", is_isolated=True)
        config = with_customers(frozenset(), ("b",))
        self.assertNotEqual(config.cache_scope(customer), config.cache_scope(None))

    def test_customer_that_is_listed_twice_is_isolated_if_either_is(self) -> None:
        """Guards against a second entry that lifts the isolation."""
        for flags in ((True, False), (False, True)):
            config = RoutingConfig(number=1)
            for key, flag in zip(("k1", "k2"), flags, strict=True):
                config.add_customer(Customer("a", is_isolated=flag), [key])
            self.assertNotEqual(config.shared_cache_scope, config.cache_scope(Customer("a")))
            self.assertEqual(["a"], config.isolated_customers())


class WaitingRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fixture = ForwarderFixture(SystemClock(), lambda *_: FakeResponse(chunks=(b"ok",)))
        route = make_route("/ask/", "engines", aim_s=2.0)
        self.config = make_config(route)
        self.config.add_customer(Customer("customer"), ["key"])
        self.fixture.forwarder.routing_config = self.config

    def isolate(self) -> RoutingConfig:
        """Put a configuration in force that isolates the customer."""
        config = replace(self.config, number=2, customers={}, customers_by_key={})
        config.add_customer(Customer("customer", is_isolated=True), ["key"])
        self.fixture.forwarder.routing_config = config
        return config

    async def _serve(self, name: str, parts: tuple[tuple[str, int], ...]) -> None:
        request = make_request("/ask/x", name, parts=parts)
        await self.fixture.forwarder.serve(request, FakeWriter())

    def _salt(self, scope: str) -> str:
        return compute_cache_salt(MODEL, 1, scope)

    async def test_request_that_waited_runs_under_the_salt_in_force(self) -> None:
        """Guards against a request whose customer was isolated while it waited for a target."""
        self.fixture.add(make_entry("t1"))
        target = self.fixture.directory.get("t1")
        assert target is not None
        target.loading_until_s = self.fixture.clock.monotonic_s() + 0.3
        waiting = asyncio.create_task(self._serve("r1", PARTS))
        await asyncio.sleep(0.05)
        self.assertEqual([], self.fixture.client.sent)
        config = self.isolate()
        await waiting
        directive: Directive = self.fixture.client.sent[0][1]
        self.assertEqual(self._salt(config.cache_scope(Customer("customer"))), directive.salt)

    async def test_placed_request_is_sent_under_the_salt_in_force(self) -> None:
        """Guards against a change of isolation between the choice of a target and its permit."""
        self.fixture.add(make_entry("t1"), make_entry("t2"))
        await self._serve("r1", OTHER_PARTS)
        acquire = self.fixture.permits.acquire

        async def acquire_late(*args: Any) -> bool:
            self.isolate()
            return await acquire(*args)

        self.fixture.permits.acquire = acquire_late  # type: ignore[method-assign, assignment]
        await self._serve("r2", PARTS)
        salts = [directive.salt for _, directive in self.fixture.client.sent]
        self.assertEqual([self._salt(""), self._salt("customer/customer")], salts)
        self.assertEqual("", self.fixture.client.sent[1][1].fetch_from)


class RoutersAgreeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.numbers = itertools.count()
        self.nodes: list[tuple[Node, str]] = []

    async def add_router(self) -> None:
        """Start another router and wait until it has a configuration."""
        fields = settings_fields(f"r{next(self.numbers)}", self.fleet.store.address, [])
        node = make_node(fields)
        await node.start()
        self.addAsyncCleanup(node.close)
        self.nodes.append((node, fields["listen"]["front"]))
        await self._until(lambda: node.is_ready)

    async def configure(self, version: int, is_isolated: bool, timeout_ms: int = 3000) -> None:
        """Write a configuration of two customers, and wait until it is in force everywhere."""
        tenants = [
            {"name": CUSTOMER, "api-keys": [API_KEY], "isolated": is_isolated},
            {"name": "other", "api-keys": ["key-2"]},
        ]
        config = configuration(version, timeout_ms=timeout_ms) | {"tenants": tenants}
        self.fleet.store.put_json("op/config", config)
        await self._until(
            lambda: all(node._forwarder.routing_config.number == version for node, _ in self.nodes)
        )

    async def salts(self, key: str) -> set[str]:
        """Salts under which a customer's prompts run through each router."""
        found = set()
        for _, address in self.nodes:
            request_id = f"q{next(self.numbers)}"
            headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
            headers |= PROMPT_HEADERS | {"Authorization": f"Token {key}"}
            async with self.session.post(f"http://{address}/long/a", headers=headers) as response:
                self.assertEqual(200, response.status)
                await response.read()
            found |= {
                run.salt
                for target in self.fleet.engine_targets
                for run in target.executions
                if run.request_id == request_id
            }
        return found

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - the awaited state has no event
                await asyncio.sleep(POLL_S)

    async def test_routers_of_any_age_use_one_salt_before_and_after_a_change(self) -> None:
        """Guards against parts of a customer that others use after it was isolated."""
        await self.add_router()
        await self.configure(5, is_isolated=False)
        (shared,) = await self.salts("key-2")
        self.assertEqual({shared}, await self.salts(API_KEY))
        await self.configure(9, is_isolated=True)
        await self.add_router()
        (others,) = await self.salts("key-2")
        (own,) = await self.salts(API_KEY)
        self.assertEqual(3, len({shared, others, own}))
        await self.configure(10, is_isolated=True, timeout_ms=2000)
        self.assertEqual(({others}, {own}), (await self.salts("key-2"), await self.salts(API_KEY)))
        await self.configure(12, is_isolated=False)
        await self.add_router()
        self.assertEqual(({shared},) * 2, (await self.salts("key-2"), await self.salts(API_KEY)))
        await self.configure(13, is_isolated=True)
        self.assertEqual(({others}, {own}), (await self.salts("key-2"), await self.salts(API_KEY)))


if __name__ == "__main__":
    unittest.main()
