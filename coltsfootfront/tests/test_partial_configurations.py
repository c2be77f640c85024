"""Tests of configurations of which a part cannot be read, or has values that nothing bounds."""

import json
import random
import unittest
from typing import Any
from unittest import mock

from returns.result import Success

from coltsfootfront.common import metrics
from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.routingconfig import RetryPolicy, RoutingConfig, request_urgency
from coltsfootfront.direct.targetselection import prefill_priority
from coltsfootfront.platform import configdecoder
from coltsfootfront.platform.configdecoder import LEAST_URGENT, MAX_LOGGED_FAULTS, decode_config
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue
from coltsfootfront.tests.direct_support import (
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    make_entry,
    make_request,
)
from coltsfootfront.tests.support import ManualClock

SERVICE = "plain"
# Ranks that the pages allow, in the order of their urgency.
RANKS = (0, 9, 10, 100, 2**31)
ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "h",
    "prefix": "/r/",
    "kind": "idempotent",
    "service": SERVICE,
    "timeout-ms": 1500,
    "max-attempts": 2,
}
# Values of a field of one route with which the route cannot be used.
UNUSABLE: dict[str, tuple[Any, ...]] = {
    "service": (None, 7, ""),
    "timeout-ms": (None, -5, "1500"),
    "kind": (),
    "traffic-split": ([{"service": SERVICE, "weight": 0}], 7, [None]),
    "sticky": ("no", [1]),
}


def decode(
    *routes: Any, tenants: list[Any] | None = None, version: int = 2, **body: Any
) -> RoutingConfig:
    """Decode a configuration as operators write it, with one customer unless others are given."""
    known = [{"name": "c", "api-keys": ["key"]}] if tenants is None else tenants
    document = {"version": version, "services": [{"name": SERVICE}], "tenants": known}
    decoded = decode_config(json.dumps(document | {"routes": list(routes)} | body).encode())
    assert isinstance(decoded, Success), decoded
    config: RoutingConfig = decoded.unwrap()
    return config


class RankTest(unittest.TestCase):
    def test_rank_of_any_size_is_in_force(self) -> None:
        """Guards against a rank above 9 that keeps a whole version out of force (CONFIG)."""
        routes = [ROUTE | {"prefix": f"/{rank}/", "priority": rank} for rank in RANKS]
        tenants = [{"name": f"c{rank}", "api-keys": [], "priority": rank} for rank in RANKS]
        config = decode(*routes, tenants=tenants)
        route = config.find_route("h", "/100/x")
        assert route is not None
        self.assertEqual(100, route.priority)
        urgencies = [request_urgency(route, customer) for customer in config.customers.values()]
        self.assertEqual(list(RANKS), urgencies)

    def test_callers_that_wait_keep_the_order_of_their_ranks(self) -> None:
        """Guards against ranks above 9 that all count as the same among those that wait here."""
        queue = DispatchQueue(ManualClock())
        shuffled = random.Random(1).sample(RANKS, len(RANKS))
        waiting = [queue.enter(rank, 10.0, f"c{rank}", 0.1) for rank in shuffled]
        order = []
        queue.start_interval()
        while waiting:
            if not any(request.turn.is_set() for request in waiting):
                queue.start_interval()
            (first,) = [request for request in waiting if request.turn.is_set()]
            order.append(first.urgency)
            waiting.remove(first)
            queue.leave(first, is_sent=True)
        self.assertEqual(list(RANKS), order)

    def test_targets_and_peers_get_the_priorities_that_they_know(self) -> None:
        """Guards against a header or an update with a priority beyond those that others read."""
        found = [prefill_priority(100, rank) for rank in RANKS]
        self.assertEqual(sorted(found), found)
        self.assertEqual({0, PRIORITIES - 1}, {*found})


class UnreadableEntriesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fixture = ForwarderFixture(ManualClock(), lambda *_: FakeResponse(chunks=(b"ok",)))
        self.fixture.add(make_entry("t1", SERVICE))

    async def status(self, config: RoutingConfig, path: str, key: str = "key") -> int:
        """Status that a caller gets, with the text "not run" behind it."""
        self.fixture.forwarder.routing_config = config
        before = len(self.fixture.client.sent)
        request = make_request(path, key=key, received_s=self.fixture.clock.monotonic_s())
        writer = FakeWriter()
        await self.fixture.forwarder.serve(request, writer)
        if writer.failure is None:
            return writer.status
        self.assertEqual(before, len(self.fixture.client.sent))
        self.assertIsNone(writer.failure.effective_retry_after_s)
        return writer.failure.error_response.status

    async def check_others(self, config: RoutingConfig) -> None:
        """Check that the other entries of a version are in force, and the withdrawn key is out."""
        self.assertEqual(200, await self.status(config, "/other/x"))
        self.assertIn(await self.status(config, "/other/x", "withdrawn"), (401, 503))

    async def test_unreadable_route_leaves_the_others_in_force(self) -> None:
        """Guards against one route that keeps withdrawn keys in force (CONFIG)."""
        other = ROUTE | {"prefix": "/other/"}
        outer = ROUTE | {"prefix": "/", "anonymous": True}
        for name, values in UNUSABLE.items():
            missing = {key: value for key, value in ROUTE.items() if key != name}
            changed = [ROUTE | {name: value} for value in values]
            for route in [missing, *changed] if name in ROUTE else changed:
                with self.subTest(name=name, value=route.get(name)):
                    config = decode(outer, route, other)
                    await self.check_others(config)
                    # It takes its callers from the route of the shorter prefix.
                    self.assertEqual(503, await self.status(config, "/r/x"))
                    self.assertEqual(503, await self.status(config, "/r/x", ""))
                    self.assertEqual(200, await self.status(config, "/x", ""))

    async def test_route_of_an_unknown_prefix_lets_nobody_in_without_a_key(self) -> None:
        """Guards against a caller who gets past a key by the route of a shorter prefix."""
        other = ROUTE | {"prefix": "/other/"}
        outer = ROUTE | {"prefix": "/", "anonymous": True}
        elsewhere = ROUTE | {"host": "h2", "prefix": "/", "anonymous": True}
        odd_routes: tuple[Any, ...] = (
            *(ROUTE | {"prefix": 7}, ROUTE | {"host": None}),
            *(None, "r", []),
        )
        for odd in odd_routes:
            with self.subTest(odd=odd):
                config = decode(outer, odd, other, elsewhere)
                await self.check_others(config)
                self.assertEqual(503, await self.status(config, "/x", ""))
                is_located = isinstance(odd, dict) and odd["host"] == "h"
                found = config.find_unreadable("h2", config.find_route("h2", "/x"))
                self.assertEqual(is_located, not found)
                # It may be the one that was asked for.
                config = decode(odd, other)
                self.assertEqual(503, await self.status(config, "/r/x"))

    async def test_rank_and_other_fields_that_let_nobody_in_have_a_default(self) -> None:
        """Guards against callers refused for a field that others can do without."""
        odd_ranks: tuple[Any, ...] = (-1, 2.5, "high", [])
        odd_attempts: tuple[Any, ...] = (None, "2", -1)
        odd_flags: tuple[Any, ...] = ("no", "yes", [], 7)
        cases: tuple[tuple[str, str, Any, Any], ...] = (
            *(("priority", "priority", value, LEAST_URGENT) for value in odd_ranks),
            ("priority", "priority", None, 0),
            *(("max-attempts", "max_attempts", value, 1) for value in odd_attempts),
            ("target-latency-ms", "latency_objective_s", "soon", 1.5),
            ("gap-aim-ms", "event_gap_objective_s", -1, 0.0),
            *(("anonymous", "allows_anonymous", value, False) for value in odd_flags),
            ("resumable", "retry_policy", "no", RetryPolicy.ONCE),
        )
        for name, field, odd, expected in cases:
            with self.subTest(name=name, odd=odd):
                kind = "stream" if name == "resumable" else "idempotent"
                route = decode(ROUTE | {"kind": kind, name: odd}).find_route("h", "/r/x")
                assert route is not None
                self.assertFalse(route.is_unreadable)
                self.assertEqual(expected, getattr(route, field))

    async def test_name_of_a_route_has_any_length_and_characters(self) -> None:
        """Guards against a name that only logs show and that drops a version, or floods the log."""
        names = ("x" * 5000, "x" * 5000 + "y", "a\nb", "\ud800", "")
        routes = [ROUTE | {"prefix": f"/{n}/", "name": name} for n, name in enumerate(names)]
        config = decode(*routes)
        found = [config.find_route("h", f"/{number}/x") for number in range(len(names))]
        shown = [route.name for route in found if route is not None]
        self.assertEqual(len(names), len({*shown}))
        self.assertTrue(all(name.isprintable() and 0 < len(name) <= 200 for name in shown))

    async def test_unreadable_customer_leaves_the_others_in_force(self) -> None:
        """Guards against one customer that keeps the withdrawn keys of others in force (CONFIG)."""
        good = {"name": "c", "api-keys": ["key"]}
        other = ROUTE | {"prefix": "/other/"}
        cases: tuple[tuple[Any, int], ...] = (
            ({"name": 7, "api-keys": ["k2"]}, 503),
            ({"api-keys": ["k2"]}, 503),
            ({"name": "d", "api-keys": "k2"}, 503),
            ({"name": "d"}, 503),
            ({"name": "d", "api-keys": ["k2", 7, None, ""]}, 200),
            ({"name": "d", "api-keys": ["k2"], "priority": "high"}, 200),
            ("k2", 503),
            (None, 503),
        )
        for odd, expected in cases:
            for tenants in ([odd, good], [good, odd]):
                with self.subTest(odd=odd):
                    config = decode(other, tenants=tenants)
                    await self.check_others(config)
                    self.assertEqual(expected, await self.status(config, "/other/x", "k2"))

    async def test_unknown_key_is_refused_for_good_while_all_keys_can_be_read(self) -> None:
        """Guards against callers whose wrong key is answered as if it might become right."""
        odd = {"name": 7, "api-keys": ["k2"]}
        config = decode(
            ROUTE | {"prefix": "/other/"}, tenants=[odd, {"name": "c", "api-keys": ["key"]}]
        )
        self.assertEqual(401, await self.status(config, "/other/x", "withdrawn"))

    def test_unclear_isolation_isolates(self) -> None:
        """Guards against a customer who shares cached parts as its isolation is odd (WALL)."""
        for value, expected in ((True, True), (False, False), (None, False), ("no", True)):
            tenant = {"name": "c", "api-keys": ["key"], "isolated": value}
            config = decode(ROUTE, tenants=[tenant])
            self.assertEqual(["c"] if expected else [], config.isolated_customers())

    async def test_service_and_limits_that_cannot_be_read_leave_routes_in_force(self) -> None:
        """Guards against a service's engine, or a limit, that drops a version (CONFIG)."""
        engine = {"name": SERVICE, "engine": {"kv-token-bytes": -1}}
        kept = {"name": "kept", "kv-store-addr": "nowhere"}
        config = decode(
            ROUTE | {"prefix": "/other/"},
            services=[None, engine, kept, {"name": 7}],
            limits={"idle-timeout-ms": "15000", "max-body-bytes": 100},
        )
        await self.check_others(config)
        self.assertEqual(((), 15.0, 100), (config.kept_caches(), *self._limits(config)))

    def _limits(self, config: RoutingConfig) -> tuple[float, int]:
        return config.limits.idle_s, config.limits.body_bytes

    def test_log_and_counter_tell_each_part_at_every_reading(self) -> None:
        """Guards against an entry left out of force of which operators learn nothing."""
        odd = [ROUTE | {"name": f"odd-{n}", "timeout-ms": -5} for n in range(MAX_LOGGED_FAULTS * 2)]
        secret = {"name": 7, "api-keys": ["secret", ["secret"]]}
        counter, label = metrics.CONFIGURATION_EVENTS, {"event": "part_unreadable"}
        for _ in range(2):
            before = counter.values.get(label) or 0
            with mock.patch.object(configdecoder.log, "warning") as warning:
                decode(*odd, tenants=[secret, "secret"])
            lines = [str(call.args[0]) for call in warning.call_args_list]
            self.assertEqual(MAX_LOGGED_FAULTS + 1, len(lines))
            self.assertIn("odd-0", lines[0])
            self.assertIn("-5", lines[0])
            self.assertIn(str(len(odd) + 3), lines[-1])
            self.assertFalse([line for line in lines if "secret" in line])
            self.assertEqual(before + len(odd) + 3, counter.values.get(label))


if __name__ == "__main__":
    unittest.main()
