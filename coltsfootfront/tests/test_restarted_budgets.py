"""Tests that routers that start keep to the retries that all routers may use together."""

import json
import math
import random
import unittest
from dataclasses import asdict

from coltsfootfront.common.retries import WINDOW_S
from coltsfootfront.direct.node import Node
from coltsfootfront.direct.registration import ROUTER_PREFIX, RouterEntry
from coltsfootfront.direct.retrybudgets import BUDGET_SHARE
from coltsfootfront.direct.settings import NodeSettings
from coltsfootfront.direct.storefollower import Item
from coltsfootfront.platform import program, settings
from coltsfootfront.tests.support import ManualClock
from coltsfootfront_dev.platformfleet import settings_fields

ROUTERS = 5
SERVICE = "bench"
# Routers that start together register within this time.
REGISTERED_S = 2.0
STEP_S = 0.1


class RestartedBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.spent_s: list[float] = []
        self.requests_s: list[float] = []

    def start(self) -> list[Node]:
        """Start all routers, as after a kill that has outlasted their entries."""
        nodes = []
        for number in range(ROUTERS):
            fields = settings_fields(f"router-{number}", "127.0.0.1:1", []) | {"bootstrap": False}
            node_settings = settings.decode(fields, "test")
            nodes.append(self.make_node(node_settings))
        self.fixed = nodes[0]._settings.bounds.retry_fixed
        self.ratio = nodes[0]._settings.bounds.retry_ratio
        return nodes

    def make_node(self, node_settings: NodeSettings) -> Node:
        return program.make_node(node_settings, lambda: node_settings, random.Random(1), self.clock)

    def register(self, nodes: list[Node]) -> None:
        for node in nodes:
            for number in range(ROUTERS):
                entry = RouterEntry(f"10.0.0.{number}:1", "zone-a", "region-1")
                value = json.dumps(asdict(entry)).encode()
                node._handle_item(Item(f"{ROUTER_PREFIX}router-{number}", value, 1))

    def retry_at_every_chance(
        self, nodes: list[Node], for_s: float, has_requests: bool = False
    ) -> None:
        for _ in range(round(for_s / STEP_S)):
            for node in nodes:
                if has_requests:
                    self.record_request(node)
                while node._budgets.get(SERVICE).try_spend("rejected"):
                    self.spent_s.append(self.clock.monotonic_s())
            self.clock.advance(STEP_S)

    def record_request(self, node: Node) -> None:
        node._budgets.get(SERVICE).record_request()
        self.requests_s.append(self.clock.monotonic_s())

    def excess(self) -> float:
        """Retries beyond what the users allow, in the window that has most of these."""
        return max(
            self.count(self.spent_s, begin_s) - self.ratio * self.requests_of(begin_s) - self.fixed
            for begin_s in self.spent_s
        )

    def requests_of(self, begin_s: float) -> int:
        """Requests by which the retries of a window are judged."""
        begins_s = (begin_s, begin_s - WINDOW_S / 2, begin_s - WINDOW_S)
        return max(self.count(self.requests_s, begin_s) for begin_s in begins_s)

    def count(self, times_s: list[float], begin_s: float) -> int:
        return sum(1 for at_s in times_s if begin_s <= at_s < begin_s + WINDOW_S)

    def most_in_a_window(self) -> int:
        return max(
            (
                sum(1 for other_s in self.spent_s if begin_s <= other_s < begin_s + WINDOW_S)
                for begin_s in self.spent_s
            ),
            default=0,
        )

    def test_routers_that_start_together_keep_to_one_retry_budget(self) -> None:
        """Guards against a whole retry budget for each router that knows no other yet (BUDGET)."""
        nodes = self.start()
        self.retry_at_every_chance(nodes, REGISTERED_S)
        self.register(nodes)
        self.retry_at_every_chance(nodes, 2 * WINDOW_S)
        self.assertGreater(len(self.spent_s), 0)
        self.assertLessEqual(self.most_in_a_window(), self.fixed)

    def test_routers_that_are_killed_in_series_keep_to_one_retry_budget(self) -> None:
        """Guards against the retries of a window once more after each restart (BUDGET)."""
        for _ in range(5):
            nodes = self.start()
            self.register(nodes)
            self.retry_at_every_chance(nodes, 2.5)
        self.assertLessEqual(self.most_in_a_window(), self.fixed)

    def test_retries_right_before_a_restart_count_after_it(self) -> None:
        """Guards against a window's retries right before a restart, and again after it (BUDGET)."""
        nodes = self.start()
        self.register(nodes)
        for _ in range(round(2 * WINDOW_S / STEP_S)):
            for node in nodes:
                self.record_request(node)
            self.clock.advance(STEP_S)
        self.retry_at_every_chance(nodes, 0.5, has_requests=True)
        nodes = self.start()
        self.register(nodes)
        self.retry_at_every_chance(nodes, 2 * WINDOW_S, has_requests=True)
        self.assertLessEqual(self.excess(), 0)

    def test_router_that_has_run_for_a_window_has_its_whole_part(self) -> None:
        """Guards against callers who lose their retries for longer than a restart explains."""
        nodes = self.start()
        self.register(nodes)
        self.clock.advance(WINDOW_S + 1.0)
        self.retry_at_every_chance(nodes, STEP_S)
        # Each counts its own entry at the address of its settings as well, and no part of a retry.
        part = BUDGET_SHARE * self.fixed / (ROUTERS + 1)
        self.assertGreaterEqual(len(self.spent_s), ROUTERS * math.floor(part))


if __name__ == "__main__":
    unittest.main()
