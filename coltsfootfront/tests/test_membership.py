"""Tests of live routers and leaving targets."""

import unittest
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.peers.membership import Membership
from coltsfootfront.peers.messages import Heartbeat
from coltsfootfront.peers.vmlist import Vm, VmList
from coltsfootfront.tests.support import ManualClock


class ScriptedList(VmList):
    """VM list that the test sets; None simulates an outage."""

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
        self.membership = Membership(
            "r1", "dc-1", self.clock, self.vm_list, 1.0, 2.0, self._on_change
        )

    def _on_change(self) -> None:
        self.changes += 1

    def send_heartbeat(self, name: str, data_centre: str = "dc-1", role: str = "router") -> None:
        self.membership.record_heartbeat(Heartbeat(1, name, role, data_centre, f"{name}:1"))

    async def test_the_list_names_routers_and_leaving_targets(self) -> None:
        """Guards against placing requests on targets whose VM is about to be shut down."""
        self.vm_list.vms = [
            router("r2"),
            router("r3", "leaving"),
            router("r4", data_centre="dc-2"),
            Vm("t1", "target", "dc-1", "t1:1", "leaving"),
            Vm("t2", "target", "dc-1", "t2:1", "live"),
        ]
        await self.membership.refresh()
        self.assertEqual(["r1", "r2"], self.membership.routers())
        self.assertEqual(["r2:1", "r4:1"], self.membership.peers())
        self.assertEqual(["t2:1"], self.membership.agents())
        self.assertEqual(3, self.membership.count_routers(["dc-1", "dc-2"]))
        leaving = [self.membership.is_leaving(name) for name in ("t1", "t2")]
        self.assertEqual([True, False], leaving)
        await self.membership.refresh()
        self.assertEqual(1, self.changes)

    async def test_an_outage_of_the_list_changes_nothing(self) -> None:
        """Guards against placing requests on leaving targets while the VM list is unavailable."""
        self.vm_list.vms = [router("r2"), Vm("t1", "target", "dc-1", "t1:1", "leaving")]
        await self.membership.refresh()
        self.vm_list.vms = None
        self.assertFalse(await self.membership.refresh())
        self.assertEqual(
            (["r1", "r2"], True), (self.membership.routers(), self.membership.is_leaving("t1"))
        )

    async def test_heartbeats_add_routers_while_the_list_lags(self) -> None:
        """Guards against a new router staying unknown until the VM list includes it."""
        self.send_heartbeat("r2")
        self.send_heartbeat("a1", role="agent")
        self.send_heartbeat("r1")
        self.send_heartbeat("r5", "dc-2")
        self.assertEqual(["r1", "r2"], self.membership.routers())
        self.assertEqual(["r2:1", "r5:1"], self.membership.peers())
        self.clock.advance(9.0)
        await self.membership.refresh()
        self.assertEqual((["r1"], []), (self.membership.routers(), self.membership.peers()))
        self.assertEqual(3, self.changes)

    async def test_a_leaving_router_does_not_count(self) -> None:
        """Guards against assigning the configuration watch to a router that is about to go."""
        self.send_heartbeat("r2")
        self.vm_list.vms = [router("r2", "leaving")]
        await self.membership.refresh()
        self.assertEqual(["r1"], self.membership.routers())

    async def test_heartbeats_are_bounded(self) -> None:
        """Guards against unbounded memory growth from heartbeats with ever new names."""
        with mock.patch("coltsfootfront.peers.membership.MAX_HEARTBEAT_ROUTERS", 16):
            for number in range(40):
                self.send_heartbeat(f"r{number + 2}")
        self.assertEqual(17, len(self.membership.routers()))
