"""Tests of the HTTP adapter to the platform's VM list."""

import asyncio
import unittest

from returns.result import Success

from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.peers.vmlist import HttpVmList, Vm
from coltsfootfront_dev.vms import VmListStandIn


def entry(name: str, state: str = "live") -> dict[str, str]:
    """Entry of the VM list in the platform's format."""
    address = "127.0.0.1:1"
    return {
        "name": name,
        "role": "router",
        "data_centre": "a",
        "peer_address": address,
        "state": state,
    }


class HttpVmListTest(unittest.IsolatedAsyncioTestCase):
    """Runs the adapter against a stand-in of the platform's VM list."""

    async def asyncSetUp(self) -> None:
        self.stand_in = VmListStandIn()
        address = await self.stand_in.start("127.0.0.1:0")
        self.addAsyncCleanup(self.stand_in.close)
        self.vm_list = HttpVmList(f"http://{address}", 0.5)
        await self.vm_list.start()
        self.addAsyncCleanup(self.vm_list.close)

    async def test_list_lags_behind(self) -> None:
        """Guards against changes that are visible before the lag has passed, or never."""
        self.stand_in.control({"vms": [entry("r-1")], "lag_s": 0})
        live = Vm("r-1", "router", "a", "127.0.0.1:1", "live")
        self.assertEqual(Success([live]), await self.vm_list.read())
        self.stand_in.control({"update": [entry("r-1", "leaving")], "lag_s": 0.2})
        self.assertEqual(Success([live]), await self.vm_list.read())
        await asyncio.sleep(0.25)
        leaving = Vm("r-1", "router", "a", "127.0.0.1:1", "leaving")
        self.assertEqual(Success([leaving]), await self.vm_list.read())

    async def test_an_unchanged_list_is_not_sent_again(self) -> None:
        """Guards against 270 KB of control traffic per second and node with a full-size list."""
        self.stand_in.control({"vms": [entry(f"r-{number}") for number in range(1780)]})
        first = (await self.vm_list.read()).unwrap()
        self.assertEqual(1780, len(first))
        self.assertIs(first, (await self.vm_list.read()).unwrap())
        self.stand_in.control({"remove": ["r-7"]})
        self.assertEqual(1779, len((await self.vm_list.read()).unwrap()))

    async def test_malformed_entries_are_skipped(self) -> None:
        """Guards against losing all entries because of a malformed one."""
        malformed: list[object] = [{"name": "x"}, {**entry("y"), "state": 3}]
        self.stand_in.control({"vms": [*malformed, entry("r-1")]})
        found = (await self.vm_list.read()).unwrap()
        self.assertEqual(["r-1"], [vm.name for vm in found])

    async def test_unreachable_list_is_a_failure(self) -> None:
        """Guards against treating an unreachable list as empty."""
        await self.stand_in.close()
        result = await self.vm_list.read()
        self.assertEqual(ErrorKind.TARGET_UNREACHABLE, result.failure().kind)


if __name__ == "__main__":
    unittest.main()
