"""Tests of a target's limit on the requests of all routers, with routers as processes."""

import asyncio
import random
import signal
import tempfile
import time
import unittest
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from coltsfootfront_dev.limitcheck import STABLE_S, LimitMonitor, Period
from coltsfootfront_dev.platformfleet import API_KEY, HOST, PlatformFleet
from coltsfootfront_dev.platformrouters import RouterProcess, RouterProcesses
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn

ROUTERS = 3
# Relative traffic of each router; the last one is added later.
TRAFFIC = (0.8, 0.15, 0.05, 0.3)
REQUESTS_PER_S = 40.0
LIMIT_PER_S = 5.0
NAMED_S = 10.0
# A request that is refused at once is answered within this time, beside other tests.
REFUSAL_LIMIT_S = 0.25


@dataclass(frozen=True, slots=True)
class Response:
    """What a caller got."""

    router: str
    sent_s: float
    took_s: float
    status: int
    retry_after_s: float | None


class SystemLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet(2, 0)
        await self.fleet.start()
        self.limited, self.other = self.fleet.plain_targets
        self.processes = RouterProcesses(Path(self.folder.name), self.fleet.store.address)
        await self.processes.start(ROUTERS)
        self.routers = list(self.processes.routers)
        self.session = aiohttp.ClientSession()
        self.responses: list[Response] = []
        self.monitor = LimitMonitor()
        self.generator = random.Random(1)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    async def _send(self, router: RouterProcess) -> None:
        request_id = f"r{len(self.monitor.router_of_request)}"
        self.monitor.router_of_request[request_id] = router.name
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {API_KEY}",
        }
        sent_s = time.monotonic()
        url = f"http://{router.settings['listen']['front']}/look/a"
        try:
            async with self.session.get(url, headers=headers) as response:
                await response.read()
        except aiohttp.ClientError:
            return
        self.monitor.record_response(router.name, response.headers)
        retry_after = response.headers.get("Retry-After")
        self.responses.append(
            Response(
                router.name,
                sent_s,
                time.monotonic() - sent_s,
                response.status,
                float(retry_after) if retry_after else None,
            )
        )

    async def _send_for(self, duration_s: float) -> Period:
        """Send requests at a steady rate, unevenly over the routers."""
        begin_s = time.monotonic()
        requests = []
        while time.monotonic() < begin_s + duration_s:
            router = self.generator.choices(self.routers, TRAFFIC[: len(self.routers)])[0]
            requests.append(asyncio.create_task(self._send(router)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*requests)
        return Period(begin_s, begin_s + duration_s)

    def _arrivals(self, target: PlatformTargetStandIn, period: Period) -> int:
        return sum(period.contains(at_s) for at_s, _ in target.arrivals)

    async def test_routers_together_keep_to_a_limit_and_use_it(self) -> None:
        """Guards against a limit that each router applies alone, or not at all (LIMIT)."""
        self.monitor.name_limit(self.limited, LIMIT_PER_S)
        named = await self._send_for(NAMED_S)
        self.assertEqual([], self.monitor.violations())
        # All that the target accepts is used, but for a second's worth and a request of each.
        used = self._arrivals(self.limited, named)
        self.assertGreaterEqual(used, (NAMED_S - 1) * LIMIT_PER_S - ROUTERS)
        # The other target takes what the first one does not.
        self.assertEqual({200}, {response.status for response in self.responses})
        self.assertEqual({r.name for r in self.routers}, {r.router for r in self.responses})

    async def test_requests_beyond_every_limit_are_refused_at_once(self) -> None:
        """Guards against requests that wait for a limit until they fail, or go beyond it."""
        for target in self.fleet.plain_targets:
            self.monitor.name_limit(target, LIMIT_PER_S)
        named = await self._send_for(NAMED_S)
        self.assertEqual([], self.monitor.violations())
        for target in self.fleet.plain_targets:
            used = self._arrivals(target, named)
            self.assertGreaterEqual(used, (NAMED_S - 1) * LIMIT_PER_S - ROUTERS)
        settled_s = named.begin_s + 1.0
        refusals = [r for r in self.responses if r.status == 503 and r.sent_s > settled_s]
        self.assertTrue(refusals)
        self.assertTrue(all(r.retry_after_s is not None for r in refusals))
        took_s = sorted(r.took_s for r in refusals)
        # The median, as other tests may slow down a few.
        self.assertLess(took_s[len(took_s) // 2], REFUSAL_LIMIT_S)
        served = Counter(r.router for r in self.responses if r.status == 200)
        sent = Counter(r.router for r in self.responses)
        total_share = served.total() / sent.total()
        for router in self.routers:
            # A router with little traffic gets its part of the limit, and no more than that.
            share = served[router.name] / sent[router.name]
            self.assertGreater(share, total_share / 3, (served, sent))

    async def test_limit_that_is_no_longer_named_ends(self) -> None:
        """Guards against a limit that outlives its naming, or an unreadable one that is applied."""
        for limit, is_limited in ((str(LIMIT_PER_S), True), ("", False), ("few", False)):
            with self.subTest(limit):
                for target in self.fleet.plain_targets:
                    target.faults.limit = limit
                await self._send_for(1.0)
                before = len(self.responses)
                await self._send_for(2.0)
                statuses = {response.status for response in self.responses[before:]}
                self.assertEqual({200, 503} if is_limited else {200}, statuses)
        log = "".join(router.log_path.read_text() for router in self.routers)
        for name in ("target_limit_named", "target_limit_ended", "target_limit_invalid"):
            self.assertIn(f"event={name}", log)

    async def test_limit_holds_while_routers_are_killed_frozen_and_added(self) -> None:
        """Guards against a limit that is exceeded while its routers change (LIMIT)."""
        self.monitor.name_limit(self.limited, LIMIT_PER_S)
        sending = asyncio.create_task(self._send_for(2 * NAMED_S))
        await asyncio.sleep(STABLE_S)
        for number, router in enumerate(list(self.routers)):
            begin_s = time.monotonic()
            router.signal(signal.SIGSTOP if number % 2 else signal.SIGKILL)
            await asyncio.sleep(1.5)
            if number % 2:
                router.signal(signal.SIGCONT)
            else:
                await router.wait(STABLE_S)
                router.start()
                await router.wait_ready()
            self.monitor.excuse(router.name, begin_s)
        added = await self.processes.add()
        added.start()
        await added.wait_ready()
        self.routers.append(added)
        await sending
        self.assertEqual([], self.monitor.violations())
