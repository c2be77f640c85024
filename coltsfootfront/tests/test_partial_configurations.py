"""Tests of configurations with values that nothing bounds."""

import json
import random
import unittest
from typing import Any

from returns.result import Success

from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.routingconfig import RoutingConfig, request_urgency
from coltsfootfront.direct.targetselection import prefill_priority
from coltsfootfront.platform.decoder import decode_config
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue
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


if __name__ == "__main__":
    unittest.main()
