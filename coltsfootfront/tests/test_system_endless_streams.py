"""Tests of what streams without end take from the other callers of a router."""

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp
import psutil

from coltsfootfront.tests.test_platform_node import PROMPT_HEADERS
from coltsfootfront_dev.platformfleet import API_KEY, HOST, PlatformFleet
from coltsfootfront_dev.platformrouters import RouterProcess
from coltsfootfront_dev.ports import PortReservations

FLOODS = 4
CALLERS = 6
CALL_INTERVAL_S = 0.02
MEASURED_S = 3.0
EXIT_TIMEOUT_S = 15.0
# Memory of a small VM.
MEMORY_LIMIT_BYTES = 128 * 1024 * 1024
# Share of their answers within the latency objective that others must still get.
MIN_SHARE = 0.9
LATENCY_OBJECTIVE_S = 0.4


class EndlessStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.router = RouterProcess(1, Path(folder.name), self.fleet.store.address, ports)
        await self.router.store_proxy.start()
        self.addAsyncCleanup(self.router.store_proxy.close)
        self.router.start()
        self.addAsyncCleanup(self._stop_router)
        await self.router.wait_ready()
        self.session = aiohttp.ClientSession(
            f"http://{self.router.settings['listen']['front']}",
            connector=aiohttp.TCPConnector(limit=0),
        )
        self.addAsyncCleanup(self.session.close)

    async def _stop_router(self) -> None:
        self.router.signal(signal.SIGTERM)
        await self.router.wait(EXIT_TIMEOUT_S)

    def _headers(self, request_id: str, deadline_s: float) -> dict[str, str]:
        return {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": f"Token {API_KEY}",
        }

    async def _read_flood(self, number: int) -> None:
        headers = self._headers(f"flood-{number}", 60.0) | PROMPT_HEADERS
        async with self.session.post("/long/x", headers=headers) as response:
            async for _ in response.content.iter_any():
                pass

    async def _count_answers(self, label: str) -> int:
        """Count the answers in time that other callers get."""
        counts = await asyncio.gather(
            *(self._call(f"{label}-{number}") for number in range(CALLERS))
        )
        return sum(counts)

    async def _call(self, name: str) -> int:
        answers = 0
        until_s = time.monotonic() + MEASURED_S
        while time.monotonic() < until_s:
            began_s = time.monotonic()
            headers = self._headers(f"{name}-{began_s}", 1.5)
            async with self.session.get("/look/x", headers=headers) as response:
                await response.read()
                in_time = time.monotonic() - began_s <= LATENCY_OBJECTIVE_S
                answers += response.status == 200 and in_time
            await asyncio.sleep(CALL_INTERVAL_S)
        return answers

    async def test_floods_of_events_leave_others_their_answers(self) -> None:
        """Guards against a target whose events without end take the router from all callers."""
        before = await self._count_answers("before")
        for target in self.fleet.engine_targets:
            target.faults.floods = True
        floods = [asyncio.create_task(self._read_flood(number)) for number in range(FLOODS)]
        try:
            await asyncio.sleep(0.5)
            during = await self._count_answers("during")
        finally:
            for flood in floods:
                flood.cancel()
            await asyncio.gather(*floods, return_exceptions=True)
        self.assertGreater(before, 0)
        self.assertGreaterEqual(during, MIN_SHARE * before)
        pid = self.router.state().partition("pid ")[2].partition(",")[0]
        self.assertLess(psutil.Process(int(pid)).memory_info().rss, MEMORY_LIMIT_BYTES)


if __name__ == "__main__":
    unittest.main()
