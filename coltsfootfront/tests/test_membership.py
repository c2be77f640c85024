"""Tests of live routers and leaving targets."""

import unittest
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.peers.vmlist import Vm, VmList
from coltsfootfront.peers.membership import Membership
from coltsfootfront.peers.messages import Heartbeat
from coltsfootfront.tests.support import ManualClock


class ScriptedList(VmList):
    """A list that a test sets; None stands for an outage."""

    def __init__(self) -> None:
        self.vms: list[Vm] | None = []

    async def read(self) -> Result[list[Vm], Failure]:
        if self.vms is None:
            return Failed(Failure(ErrorKind.INTERNAL, "down"))
        return Success(self.vms)

    async def start(self) -> None:
        return None

    async def close(self) -> None:
        return None


def router(name: str, state: str = "live", data_centre: str = "dc-1") -> Vm:
    return Vm(name, "router", data_centre, f"{name}:1", state)


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.vm_list = ScriptedList()
        self.changes = 0
        self.members = Membership(
            "r1", "dc-1", self.clock, self.vm_list, 1.0, 2.0, self._note_change
        )

    def _note_change(self) -> None:
        self.changes += 1

    def greet(self, name: str, data_centre: str = "dc-1", role: str = "router") -> None:
        self.members.record_heartbeat(Heartbeat(1, name, role, data_centre, f"{name}:1"))

    async def test_the_list_names_routers_and_leaving_targets(self) -> None:
        """Guards against work for targets whose VM is about to go."""
        self.vm_list.vms = [
            router("r2"),
            router("r3", "leaving"),
            router("r4", data_centre="dc-2"),
            Vm("t1", "target", "dc-1", "t1:1", "leaving"),
            Vm("t2", "target", "dc-1", "t2:1", "live"),
        ]
        await self.members.refresh()
        self.assertEqual(["r1", "r2"], self.members.routers())
        self.assertEqual(["r2:1", "r4:1"], self.members.peers())
        self.assertEqual(["t2:1"], self.members.agents())
        self.assertEqual(3, self.members.count_routers(["dc-1", "dc-2"]))
        leaving = [self.members.is_leaving(name) for name in ("t1", "t2")]
        self.assertEqual([True, False], leaving)
        await self.members.refresh()
        self.assertEqual(1, self.changes)

    async def test_an_outage_of_the_list_changes_nothing(self) -> None:
        """Guards against leaving targets that get work again while the list is down."""
        self.vm_list.vms = [router("r2"), Vm("t1", "target", "dc-1", "t1:1", "leaving")]
        await self.members.refresh()
        self.vm_list.vms = None
        self.assertFalse(await self.members.refresh())
        self.assertEqual(
            (["r1", "r2"], True), (self.members.routers(), self.members.is_leaving("t1"))
        )

    async def test_greetings_fill_in_while_the_list_lags(self) -> None:
        """Guards against a new router that stays unknown until the list catches up."""
        self.greet("r2")
        self.greet("a1", role="agent")
        self.greet("r1")
        self.greet("r5", "dc-2")
        self.assertEqual(["r1", "r2"], self.members.routers())
        self.assertEqual(["r2:1", "r5:1"], self.members.peers())
        self.clock.advance(9.0)
        await self.members.refresh()
        self.assertEqual((["r1"], []), (self.members.routers(), self.members.peers()))
        self.assertEqual(3, self.changes)

    async def test_a_leaving_router_does_not_count(self) -> None:
        """Guards against a watch that is left to a router which is about to go."""
        self.greet("r2")
        self.vm_list.vms = [router("r2", "leaving")]
        await self.members.refresh()
        self.assertEqual(["r1"], self.members.routers())

    async def test_greetings_are_bounded(self) -> None:
        """Guards against memory that grows with greetings of ever new names."""
        with mock.patch("coltsfootfront.peers.membership.MAX_GREETED", 16):
            for number in range(40):
                self.greet(f"r{number + 2}")
        self.assertEqual(17, len(self.members.routers()))
