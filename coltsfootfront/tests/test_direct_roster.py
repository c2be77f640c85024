"""Tests of the routers among which limits and budgets are shared."""

import json
import random
import unittest
from dataclasses import asdict

from coltsfootfront.direct.node import RETURN_GRACE_S, Node
from coltsfootfront.direct.registration import ROUTER_PREFIX, RouterEntry
from coltsfootfront.direct.roster import RouterRoster
from coltsfootfront.direct.storefollower import Item
from coltsfootfront.platform import program, settings
from coltsfootfront.tests.support import ManualClock
from coltsfootfront_dev.platformfleet import settings_fields

ROUTERS = 5
SERVICE = "records"


def make_node(name: str, clock: ManualClock) -> Node:
    """Build a router that is not started."""
    node_settings = settings.decode(settings_fields(name, "127.0.0.1:1", []), "test")
    return program.make_node(node_settings, lambda: node_settings, random.Random(1), clock)


class RouterRosterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.roster = RouterRoster(self.clock, 10.0)
        self.entries = [RouterEntry(f"10.0.0.{number}:1", "a", "east") for number in range(3)]
        for number, entry in enumerate(self.entries):
            self.roster.put(f"router-{number}", entry)

    def test_router_counts_for_a_while_after_its_entry_has_disappeared(self) -> None:
        """Guards against routers that believe themselves alone when all entries expire at once."""
        for number in range(3):
            self.roster.remove(f"router-{number}")
        self.clock.advance(4.0)
        self.assertEqual(3, len(self.roster.current(5.0)))
        self.roster.put("router-0", self.entries[0])
        self.clock.advance(2.0)
        self.assertEqual(1, len(self.roster.current(5.0)))
        self.assertEqual(3, len(self.roster.current(10.0)))
        self.clock.advance(5.0)
        self.assertEqual([self.entries[0].address], list(self.roster.current(10.0)))

    def test_router_that_returns_at_another_address(self) -> None:
        """Guards against an earlier address of a router that counts as a further router."""
        self.roster.remove("router-0")
        self.roster.put("router-0", RouterEntry("10.0.0.9:1", "a", "east"))
        self.assertEqual(3, len(self.roster.current(10.0)))


class MissingRoutersTest(unittest.TestCase):
    """Routers whose entries have disappeared, although they may go on."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.node = make_node("router-0", self.clock)
        self.regions = {"router-0": "region-1", "router-1": "region-1", "router-2": "region-1"}
        self.regions |= {"router-3": "region-2", "router-4": "region-2"}
        for name in self.regions:
            self.put(name)

    def put(self, name: str) -> None:
        address = self.node._settings.peer_address if name == "router-0" else f"10.0.0.{name[-1]}:1"
        entry = RouterEntry(address, "zone-a", self.regions[name])
        self.node._handle_item(Item(ROUTER_PREFIX + name, json.dumps(asdict(entry)).encode(), 1))

    def remove(self, name: str) -> None:
        self.node._handle_item(Item(ROUTER_PREFIX + name, None, 2))

    def told(self) -> dict[str, set[str]]:
        """IP addresses that gossip is sent to, by region."""
        peers = self.node._gossip._peers.items()
        return {region: {ip for ip, _ in addresses} for region, addresses in peers}

    def test_routers_are_told_and_asked_while_all_entries_are_missing(self) -> None:
        """Guards against gossip and questions that reach nobody once all leases lapse (LOST)."""
        before = self.told()
        self.assertEqual({"10.0.0.1", "10.0.0.2"}, before["region-1"])
        for name in self.regions:
            self.remove(name)
        self.assertEqual(before, self.told())
        self.assertEqual(4, len(self.node._peers.addresses()))
        self.put("router-1")
        self.clock.advance(RETURN_GRACE_S)
        self.node._apply_roster()
        self.assertEqual({"region-1": {"10.0.0.1"}}, self.told())
        self.assertEqual(["10.0.0.1:1"], self.node._peers.addresses())

    def test_router_that_may_have_left_is_not_relied_on_in_another_region(self) -> None:
        """Guards against messages for a region that a stopped router there should pass on."""
        self.remove("router-3")
        self.assertEqual({"10.0.0.4"}, self.told()["region-2"])

    def test_router_whose_own_entry_is_missing_registers_at_once(self) -> None:
        """Guards against a router that the others miss until its next renewal."""
        self.remove("router-1")
        self.assertFalse(self.node._registration._restored.is_set())
        self.remove("router-0")
        self.assertTrue(self.node._registration._restored.is_set())

    def test_router_that_stops_does_not_register_again(self) -> None:
        """Guards against an entry of a router that has left on purpose."""
        self.node._is_stopping = True
        self.remove("router-0")
        self.assertFalse(self.node._registration._restored.is_set())


class SharedBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def test_routers_whose_entries_expire_together_keep_to_one_retry_budget(self) -> None:
        """Guards against a whole retry budget for each router without entries (BUDGET)."""
        nodes = [make_node(f"router-{number}", self.clock) for number in range(ROUTERS)]
        # A router that has just started has no part of the fixed number yet.
        self.clock.advance(20.0)
        entries = {
            f"{ROUTER_PREFIX}router-{number}": RouterEntry(
                f"10.0.0.{number}:1", "zone-a", "region-1"
            )
            for number in range(ROUTERS)
        }
        for node in nodes:
            for key, entry in entries.items():
                node._handle_item(Item(key, json.dumps(asdict(entry)).encode(), 1))
            for key in entries:
                node._handle_item(Item(key, None, 2))
        fixed = nodes[0]._settings.bounds.retry_fixed
        spent = 0
        for node in nodes:
            while node._budgets.get(SERVICE).try_spend("rejected"):
                spent += 1
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, fixed)
