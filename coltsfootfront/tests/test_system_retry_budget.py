"""Tests of the retries of several router processes, as the targets see them."""

import asyncio
import bisect
import random
import signal
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

import aiohttp

from coltsfootfront_dev.platformfleet import API_KEY, HOST, PlatformFleet, configuration
from coltsfootfront_dev.platformrouters import RouterProcess, RouterProcesses

ROUTERS = 3
REQUEST_INTERVAL_S = 0.04
PLAY_S = 21.0
WINDOW_S = 10.0
RATIO = 0.2
FIXED = 56
DEADLINE_S = 1.5
CALL_TIMEOUT = aiohttp.ClientTimeout(total=4.0)
EXECUTION_S = 0.2


class RetryBudgetProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = PlatformFleet(plain=4)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        config = configuration(2)
        for route in config["routes"]:
            route |= {"target-latency-ms": 200, "timeout-ms": int(DEADLINE_S * 1000)}
        self.fleet.store.put_json("op/config", config)
        for target in self.fleet.plain_targets:
            target.execution_time_s = EXECUTION_S
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.routers = RouterProcesses(Path(folder.name), self.fleet.store.address)
        self.addAsyncCleanup(self.routers.close)
        await self.routers.start(ROUTERS)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(self.session.close)
        self.sent_s: list[float] = []
        self.generator = random.Random(1)

    async def _request(self, router: RouterProcess, number: int) -> None:
        headers = {
            "Host": HOST,
            "X-Request-Id": f"{router.name}-{number}",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Token {API_KEY}",
        }
        url = f"http://{router.settings['listen']['front']}/look/a"
        self.sent_s.append(time.monotonic())
        try:
            async with self.session.get(url, headers=headers, timeout=CALL_TIMEOUT) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            # What callers get while targets are mute is the matter of other tests.
            pass

    async def _send_requests(self, router: RouterProcess, until_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            number = 0
            while time.monotonic() < until_s:
                group.create_task(self._request(router, number))
                number += 1
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _disturb(self, until_s: float, change: Callable[[int], None]) -> None:
        step = 0
        while time.monotonic() < until_s:
            change(step)
            step += 1
            await asyncio.sleep(0.5)

    async def _play(self, change: Callable[[int], None]) -> None:
        until_s = time.monotonic() + PLAY_S
        await asyncio.gather(
            *(self._send_requests(router, until_s) for router in self.routers.routers),
            self._disturb(until_s, change),
        )

    def _check_budget(self) -> None:
        """Check each window that ends with a retry, by the rule of the users."""
        arrivals = sorted(
            arrival for target in self.fleet.plain_targets for arrival in target.arrivals
        )
        seen: set[str] = set()
        retries_s = []
        for arrived_s, request_id in arrivals:
            if request_id in seen:
                retries_s.append(arrived_s)
            seen.add(request_id)
        self.assertGreater(len(retries_s), FIXED)
        requests_s = sorted(self.sent_s)
        for end_s in retries_s:
            retries = _count(retries_s, end_s - WINDOW_S, end_s)
            requests = max(
                _count(requests_s, end_s - WINDOW_S - earlier_s, end_s - earlier_s)
                for earlier_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            self.assertLessEqual(retries, RATIO * requests + FIXED)

    async def test_reloads_allow_no_further_retries(self) -> None:
        """Guards against a retry budget that each change of the settings fills again."""

        def change(step: int) -> None:
            self._mute_some()
            for router in self.routers.routers:
                # A bound that has nothing to do with retries.
                router.settings["bounds"]["lease-ms"] = 1000 + step
                router.rewrite_settings()
                router.signal(signal.SIGHUP)

        await self._play(change)
        self._check_budget()

    def _mute_some(self) -> None:
        for target in self.fleet.plain_targets:
            target.faults.hangs = self.generator.random() < 0.6


def _count(sorted_s: list[float], begin_s: float, end_s: float) -> int:
    return bisect.bisect_right(sorted_s, end_s) - bisect.bisect_left(sorted_s, begin_s)


if __name__ == "__main__":
    unittest.main()
