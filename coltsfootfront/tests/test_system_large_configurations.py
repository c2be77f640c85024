"""Tests of what callers get while large configurations change, with routers as processes."""

import asyncio
import json
import re
import signal
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp

from coltsfootfront_dev.platformfleet import (
    API_KEY,
    HOST,
    PlatformFleet,
    added_prefix,
    configuration,
)
from coltsfootfront_dev.platformrouters import PROCESS_TIMEOUT_S, RouterProcess, RouterProcesses
from coltsfootfront_dev.ratelimitedlink import RateLimitedLink

# A confirmed change is in force at every router within this time.
APPLY_S = 2.5
POLL_INTERVAL_S = 0.05
ROUTES_PER_CHANGE = 1400
EVENTS = 50
EVENT_INTERVAL_S = 0.07
PLAIN_INTERVAL_S = 0.1
ROUTE_TIMEOUT_MS = 9000
STREAM_PATHS = ("/ask/", "/ask/", "/long/")
LINK_BYTES_PER_S = 5e6 / 8
# No target fails in these tests.
LOSS_PATTERN = re.compile(r"event=(?:target_dark|target_lost)\b.*")
VERSION_PATTERN = re.compile(r"event=configuration_in_force version=(\d+)")
PROMPT_HEADERS = {"X-Model": "m", "X-Token-Usage": "700,50", "X-Prompt-Prefix": "aa:500,bb:200"}


class SystemLargeConfigurationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.fleet = PlatformFleet(2, 2)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        for engine in self.fleet.engine_targets:
            engine.event_count = EVENTS
            engine.event_interval_s = EVENT_INTERVAL_S
            engine.event_data_format = "{number} {request_id}"
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=15.0))
        self.addAsyncCleanup(self.session.close)
        self.version = 1
        self.added_routes = 0
        self.timeout_ms = ROUTE_TIMEOUT_MS
        self.written_s = 0.0
        self.sent = 0
        self.whole = 0
        self.problems: list[str] = []
        self.is_over = False

    async def _start(
        self, routers: int, allows_retries: bool, link: RateLimitedLink | None = None
    ) -> list[RouterProcess]:
        """Start routers that know each other, with a configuration without further routes.

        :param link: network link of the routers to the store and the targets.
        """
        store = self.fleet.store.address
        if link is not None:
            store = await link.add(store)
            for target in self.fleet.targets:
                target.address = await link.add(target.address)
                self.fleet.register(target)
        processes = RouterProcesses(Path(self.folder.name), store)
        self.addAsyncCleanup(processes.close)
        self._write()
        await processes.start(routers, allows_retries)
        # Routers get to know each other.
        await asyncio.sleep(0.5)
        return processes.routers

    def _write(self, added_routes: int = 0, timeout_ms: int = 0) -> None:
        """Confirm a further version.

        :param added_routes: routes more than before; negative for routes fewer.
        :param timeout_ms: timeout of all routes from now on; 0 for the one before.
        """
        self.version += 1
        self.added_routes += added_routes
        self.timeout_ms = timeout_ms or self.timeout_ms
        fields = configuration(
            self.version, added_routes=self.added_routes, timeout_ms=self.timeout_ms
        )
        self.fleet.store.put("op/config", json.dumps(fields).encode())
        self.written_s = time.monotonic()

    async def _check_in_force(
        self, routers: list[RouterProcess], since_s: float | None = None
    ) -> None:
        """Record each router at which the newest configuration is not in force in time.

        :param since_s: monotonic time from which the time counts; None for that of the change.
        """
        deadline_s = (self.written_s if since_s is None else since_s) + APPLY_S
        while missing := [router for router in routers if self._version(router) != self.version]:
            if time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        for router in missing:
            self.problems.append(
                f"{router.name} has version {self._version(router)}, not {self.version}"
            )
        for router in set(routers) - set(missing):
            for number in range(self.added_routes - 1, self.added_routes + 1):
                status = await self._status(router, added_prefix(number))
                expected = 200 if 0 <= number < self.added_routes else 404
                if number >= 0 and status != expected:
                    self.problems.append(f"{router.name} answers {status}, not {expected}")

    def _version(self, router: RouterProcess) -> int:
        versions = VERSION_PATTERN.findall(router.log_path.read_text())
        return int(versions[-1]) if versions else 0

    def _headers(self) -> dict[str, str]:
        self.sent += 1
        return {
            "Host": HOST,
            "X-Request-Id": f"r{self.sent}",
            "X-Deadline-Ms": "10000",
            "Authorization": f"Token {API_KEY}",
        }

    async def _status(self, router: RouterProcess, path: str) -> int:
        url = f"http://{router.settings['listen']['front']}{path}x"
        async with self.session.get(url, headers=self._headers()) as response:
            await response.read()
            return response.status

    async def _call(self, router: RouterProcess, path: str) -> None:
        """Send a request and check that its answer is whole, in order and its own."""
        headers = self._headers()
        request_id = headers["X-Request-Id"]
        url = f"http://{router.settings['listen']['front']}{path}x"
        is_stream = path in STREAM_PATHS
        if is_stream:
            headers |= PROMPT_HEADERS
            request = self.session.post(url, data=b"body", headers=headers)
        else:
            request = self.session.get(url, headers=headers)
        label, body = f"{request_id} {path} at {router.name}", b""
        try:
            async with request as response:
                label += f": {response.status}"
                async for chunk in response.content.iter_any():
                    body += chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.problems.append(f"{label}, {len(body)} bytes, then {error!r}")
            return
        events = (f"id: {number}\ndata: {number} {request_id}\n\n" for number in range(EVENTS))
        is_whole = (
            body == "".join(events).encode()
            if is_stream
            else body.endswith(b" " + request_id.encode())
        )
        is_own = response.headers.get("X-Request-Id") == request_id
        if response.status != 200 or not is_whole or not is_own:
            self.problems.append(f"{label}, {body[-60:]!r}")
            return
        self.whole += 1

    async def _call_repeatedly(
        self, router: RouterProcess, path: str, begin_after_s: float
    ) -> None:
        await asyncio.sleep(begin_after_s)
        while not self.is_over:
            await self._call(router, path)
            await asyncio.sleep(PLAIN_INTERVAL_S)

    def _start_callers(self, routers: list[RouterProcess]) -> list[asyncio.Task[None]]:
        """Start callers whose streams overlap, so that some are open at any moment."""
        return [
            asyncio.create_task(self._call_repeatedly(router, path, 0.6 * number))
            for router in routers
            for number, path in enumerate(("/look/", *STREAM_PATHS))
        ]

    async def _finish(
        self, callers: list[asyncio.Task[None]], routers: list[RouterProcess]
    ) -> None:
        """Await the last answers and check that nothing was amiss."""
        self.is_over = True
        await asyncio.gather(*callers)
        losses = [
            f"{router.name}: {line}"
            for router in routers
            for line in LOSS_PATTERN.findall(router.log_path.read_text())
        ]
        report = "\n".join([*self.problems, *losses])
        self.assertFalse(report, report)
        self.assertGreater(self.whole, 3 * len(callers))

    async def test_answers_are_whole_while_configurations_grow_and_shrink_in_series(self) -> None:
        """Guards against answers that end, or versions that come late, beside large changes."""
        *routers, restarted = await self._start(3, allows_retries=True)
        callers = self._start_callers(routers)
        await asyncio.sleep(1.5)
        for change in range(3):
            self._write(ROUTES_PER_CHANGE)
            if change == 1:
                restarted.signal(signal.SIGKILL)
                await restarted.wait(PROCESS_TIMEOUT_S)
            await asyncio.sleep(0.3)
            self._write()
            await self._check_in_force(routers if change == 1 else [*routers, restarted])
            if change == 1:
                restarted.start()
                await restarted.wait_ready()
                await self._check_in_force([restarted], time.monotonic())
        self._write(-2 * ROUTES_PER_CHANGE)
        await asyncio.sleep(0.3)
        self._write(timeout_ms=ROUTE_TIMEOUT_MS - 1000)
        await self._check_in_force([*routers, restarted])
        await self._finish(callers, [*routers, restarted])

    async def test_answers_are_whole_while_configurations_fill_a_slow_link(self) -> None:
        """Guards against targets taken for lost as their events wait behind a configuration."""
        link = RateLimitedLink(LINK_BYTES_PER_S)
        self.addCleanup(link.close)
        routers = await self._start(1, allows_retries=False, link=link)
        callers = self._start_callers(routers)
        await asyncio.sleep(1.5)
        for has_second_version in (True, False):
            self._write(ROUTES_PER_CHANGE)
            if has_second_version:
                await asyncio.sleep(0.3)
                self._write()
            await self._check_in_force(routers)
            await asyncio.sleep(0.5)
        await self._finish(callers, routers)

    async def test_stream_that_pauses_beside_a_large_change_is_kept_without_a_retry(self) -> None:
        """Guards against an answer that is given up while nothing may take its place."""
        routers = await self._start(2, allows_retries=False)
        callers = self._start_callers(routers)
        await asyncio.sleep(1.5)
        for _ in range(2):
            for engine in self.fleet.engine_targets:
                engine.events_held_until_s = time.monotonic() + 1.2
            self._write(ROUTES_PER_CHANGE)
            await self._check_in_force(routers)
            await asyncio.sleep(1.0)
        await self._finish(callers, routers)

    async def test_streams_go_on_after_their_router_was_stopped_for_a_while(self) -> None:
        """Guards against a router that takes its own pause for the silence of its targets."""
        routers = await self._start(2, allows_retries=False)
        stopped = routers[0]
        callers = self._start_callers(routers)
        await asyncio.sleep(1.5)
        for added_routes, stop_s in ((0, 1.5), (ROUTES_PER_CHANGE, 2.0)):
            stopped.signal(signal.SIGSTOP)
            if added_routes:
                self._write(added_routes)
            checking = asyncio.create_task(self._check_in_force(routers[1:]))
            await asyncio.sleep(stop_s)
            stopped.signal(signal.SIGCONT)
            await self._check_in_force([stopped], time.monotonic())
            await checking
            await asyncio.sleep(0.5)
        await self._finish(callers, routers)


if __name__ == "__main__":
    unittest.main()
