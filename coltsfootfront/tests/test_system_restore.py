"""Tests of a store that is restored from an older copy, with routers as processes."""

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from coltsfootfront_dev.platformfleet import (
    API_KEY,
    ENGINE_SERVICE,
    HOST,
    PLAIN_SERVICE,
    PlatformFleet,
    configuration,
)
from coltsfootfront_dev.platformrouters import PROCESS_TIMEOUT_S, RouterProcess, RouterProcesses

ROUTERS = 3
# A confirmed change is in force at every router within this time.
APPLY_S = 2.5
# Weights that are named are loaded by every target within this time.
LOAD_S = 8.0
OUTAGE_S = 0.5
POLL_INTERVAL_S = 0.05


class SystemRestoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet(2, 2)
        await self.fleet.start()
        self.store = self.fleet.store
        self.version = 1
        self.added: list[dict[str, Any]] = []
        self.processes = RouterProcesses(Path(self.folder.name), self.store.address)
        await self.processes.start(ROUTERS)
        self.routers = self.processes.routers
        self.session = aiohttp.ClientSession()
        # Peers know of each other.
        await asyncio.sleep(1.0)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    def _add_route(self) -> str:
        """Confirm a further configuration with one more route.

        :returns: path of the route.
        """
        self.version += 1
        config: dict[str, Any] = configuration(self.version)
        route = dict(config["routes"][1])
        path = f"/new{self.version}/"
        self.added.append(route | {"name": path.strip("/"), "prefix": path})
        config["routes"] += self.added
        self.store.put_json("op/config", config)
        return path

    def _write_much(self) -> None:
        for _ in range(10):
            self._add_route()
            for target in self.fleet.targets:
                self.fleet.register(target)

    async def _status(self, router: RouterProcess, path: str) -> int:
        headers = {
            "Host": HOST,
            "X-Request-Id": f"r{time.monotonic_ns()}",
            "X-Deadline-Ms": "2000",
            "Authorization": f"Token {API_KEY}",
        }
        url = f"http://{router.settings['listen']['front']}{path}x"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status

    async def _await_route(self, path: str, routers: list[RouterProcess]) -> list[str]:
        """Names of the routers at which a route is not in force in time."""
        deadline_s = time.monotonic() + APPLY_S
        missing = list(routers)
        while missing and time.monotonic() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            missing = [r for r in missing if await self._status(r, path) != 200]
        return [router.name for router in missing]

    async def test_change_after_a_restore_is_in_force_at_every_router(self) -> None:
        """Guards against a change that is dropped, as its revision was given out before."""
        for rewrite_delay_s in (0.0, 0.6):
            with self.subTest(rewrite_delay_s=rewrite_delay_s):
                checkpoint = self.store.checkpoint()
                self._write_much()
                before = self._add_route()
                self.assertEqual([], await self._await_route(before, self.routers))
                await self.fleet.restore_store(checkpoint, OUTAGE_S, rewrite_delay_s)
                self.assertEqual([], await self._await_route(before, self.routers))
                after = self._add_route()
                self.assertEqual([], await self._await_route(after, self.routers))
                self.assertEqual([], await self._await_route(before, self.routers))

    async def test_router_that_sleeps_through_a_restore_misses_no_change(self) -> None:
        """Guards against a copy that skips the changes below its revision (CONFIG)."""
        checkpoint = self.store.checkpoint()
        self._write_much()
        self.assertEqual([], await self._await_route(self._add_route(), self.routers))
        frozen, cut, present = self.routers
        frozen.signal(signal.SIGSTOP)
        cut.store_proxy.refuses_connections = True
        cut.store_proxy.abort_connections()
        await self.fleet.restore_store(checkpoint, OUTAGE_S, 0.0)
        during = self._add_route()
        self.assertEqual([], await self._await_route(during, [present, cut]))
        # Other keys take the store's revision beyond the one that the sleeping router has.
        for _ in range(20):
            for target in self.fleet.targets:
                self.fleet.register(target)
        frozen.signal(signal.SIGCONT)
        self.assertEqual([], await self._await_route(during, self.routers))
        cut.store_proxy.refuses_connections = False
        after = self._add_route()
        self.assertEqual([], await self._await_route(after, self.routers))

    async def test_router_that_starts_after_a_restore_has_the_newest_changes(self) -> None:
        """Guards against a peer's copy from before the restore that a new router takes (CONFIG)."""
        checkpoint = self.store.checkpoint()
        self._write_much()
        self.assertEqual([], await self._await_route(self._add_route(), self.routers))
        # This router keeps the copy from before.
        old = self.routers[0]
        old.signal(signal.SIGSTOP)
        await self.fleet.restore_store(checkpoint, OUTAGE_S, 0.0)
        after = self._add_route()
        self.assertEqual([], await self._await_route(after, self.routers[1:]))
        restarted = self.routers[1]
        restarted.signal(signal.SIGKILL)
        await restarted.wait(PROCESS_TIMEOUT_S)
        self.store.faults.refuses = True
        old.signal(signal.SIGCONT)
        restarted.start()
        await restarted.wait_ready()
        self.assertEqual([], await self._await_route(after, self.routers))
        self.store.faults.refuses = False
        self.assertEqual([], await self._await_route(self._add_route(), self.routers))

    async def test_weights_named_after_a_restore_are_loaded(self) -> None:
        """Guards against orders that targets refuse since fencing tokens have fallen (VERSION)."""
        checkpoint = self.store.checkpoint()
        self._write_much()
        # Another router takes the lease of orders, with a token above those after the restore.
        self.store.expire_leases()
        self.store.put_json("op/version/m", {"model": "m", "version": 2})
        await self._await_weights(2)
        await self.fleet.restore_store(checkpoint, OUTAGE_S, 0.0)
        self.store.put_json("op/version/m", {"model": "m", "version": 3})
        await self._await_weights(3)
        for target in self.fleet.engine_targets:
            tokens = [order["fence"] for order in target.orders]
            self.assertEqual(sorted(tokens), tokens)

    async def _await_weights(self, version: int) -> None:
        deadline_s = time.monotonic() + LOAD_S
        engines = [t for t in self.fleet.engine_targets if t.service == ENGINE_SERVICE]
        while any(target.version != version for target in engines):
            self.assertLess(time.monotonic(), deadline_s, [target.orders for target in engines])
            await asyncio.sleep(POLL_INTERVAL_S)

    async def test_target_that_drains_is_left_also_after_a_restore(self) -> None:
        """Guards against a draining target that an older copy shows as ready (DRAIN)."""
        leaving, other = self.fleet.plain_targets
        self.assertEqual(PLAIN_SERVICE, leaving.service)
        checkpoint = self.store.checkpoint()
        self.fleet.register(leaving, "draining")
        await asyncio.sleep(1.0)
        await self.fleet.restore_store(checkpoint, OUTAGE_S, 3.0 * OUTAGE_S)
        arrived = len(leaving.arrivals)
        for _ in range(20):
            for router in self.routers:
                self.assertEqual(200, await self._status(router, "/look/"))
        self.assertEqual(arrived, len(leaving.arrivals))
        self.assertTrue(other.arrivals)


if __name__ == "__main__":
    unittest.main()
