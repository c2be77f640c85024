"""Tests of quotas over several router processes that fail in different ways."""

import asyncio
import random
import signal
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path

import aiohttp

from coltsfootfront_dev.platformfleet import HOST, PlatformFleet, configuration
from coltsfootfront_dev.platformrouters import PROCESS_TIMEOUT_S, RouterProcess, RouterProcesses
from coltsfootfront_dev.quotacheck import QuotaMonitor

ROUTERS = 3
RATE_PER_S = 20_000.0
TOKENS = 1_000
# Requests per second: three times the quota, and two fifths of it.
DEMAND_PER_S = {"excess": 60.0, "modest": 8.0}
CALLER_TIMEOUT_S = 3.0


class SystemQuotaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet(3, 0)
        await self.fleet.start()
        self.monitor = QuotaMonitor(RATE_PER_S, RATE_PER_S)
        fields = configuration(2)
        fields["tenants"] = [
            {"name": name, "api-keys": [f"key-{name}"], **self.monitor.quota_fields()}
            for name in DEMAND_PER_S
        ]
        self.fleet.store.put_json("op/config", fields)
        self.processes = RouterProcesses(Path(self.folder.name), self.fleet.store.address)
        await self.processes.start(ROUTERS)
        self.routers = self.processes.routers
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(CALLER_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=0),
        )
        self.statuses: dict[str, Counter[int]] = {name: Counter() for name in DEMAND_PER_S}
        self.generator = random.Random(1)
        self.requests: set[asyncio.Task[None]] = set()
        self.sent = 0

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*self.requests, return_exceptions=True)
        await self.session.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    async def _send(self, customer: str, router: RouterProcess) -> None:
        self.sent += 1
        request_id = f"{customer}-{self.sent}"
        self.monitor.record_request(request_id, TOKENS)
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "X-Token-Usage": f"{TOKENS - 10},10",
            "Authorization": f"Token key-{customer}",
        }
        url = f"http://{router.settings['listen']['front']}/look/a"
        try:
            async with self.session.get(url, headers=headers) as response:
                await response.read()
                self.statuses[customer][response.status] += 1
        except (aiohttp.ClientError, TimeoutError):
            self.statuses[customer][0] += 1

    async def _send_for(self, duration_s: float) -> None:
        """Send the requests of both customers, each through any of the routers."""
        end_s = time.monotonic() + duration_s

        async def send(customer: str) -> None:
            while time.monotonic() < end_s:
                router = self.generator.choice(self.routers)
                task = asyncio.create_task(self._send(customer, router))
                self.requests.add(task)
                task.add_done_callback(self.requests.discard)
                await asyncio.sleep(1 / DEMAND_PER_S[customer])

        await asyncio.gather(*(send(customer) for customer in DEMAND_PER_S))

    def _check(self) -> None:
        self.assertEqual([], self.monitor.violations(self.fleet.targets, "excess"))
        self.assertEqual(0, self.statuses["modest"][429], self.statuses)
        self.assertGreater(self.statuses["modest"][200], 20)
        self.assertGreater(self.statuses["excess"][429], 20)

    async def test_customer_above_its_quota_while_a_router_restarts_and_one_is_paused(self) -> None:
        """Guards against a burst that a router gives away which has just started or resumed, and
        against a customer below its quota that is refused meanwhile."""
        killed, paused, _ = self.routers
        await self._send_for(4.0)
        killed.signal(signal.SIGKILL)
        await killed.wait(PROCESS_TIMEOUT_S)
        await self._send_for(2.0)
        killed.settings["bootstrap"] = False
        killed.start()
        await self._send_for(4.0)
        paused.signal(signal.SIGSTOP)
        await self._send_for(2.5)
        paused.signal(signal.SIGCONT)
        await self._send_for(4.0)
        await asyncio.gather(*self.requests)
        self._check()

    async def test_customer_above_its_quota_while_a_router_is_cut_off(self) -> None:
        """Guards against a whole quota on each side of a cut in the gossip."""
        await self._send_for(4.0)
        self.processes.set_gossip_loss(self.routers[0], 1.0)
        await self._send_for(9.0)
        self.processes.set_gossip_loss(self.routers[0], 0.0)
        await self._send_for(3.0)
        await asyncio.gather(*self.requests)
        self._check()
        log = self.routers[0].log_path.read_text(encoding="utf-8")
        self.assertIn("event=quotas_cut_off", log)
        self.assertIn("event=quotas_reconnected", log)
