"""Tests of prompt parts that crash targets, with routers as processes."""

import asyncio
import random
import signal
import tempfile
import time
import unittest
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from coltsfootfront_dev.platformfleet import API_KEY, HOST, PlatformFleet
from coltsfootfront_dev.platformrouters import RouterProcess, RouterProcesses

ROUTERS = 3
ENGINES = 6
PLAIN_TARGETS = 6
STABLE_S = 4.0
# Crashes after which users count the requests with a part that crashes targets, and how many of
# them may reach targets later than STABLE_S.
CRASHES = 5
ALLOWED = 3
SOUND_PER_S = 20.0
DEADLY_PER_S = 2.0
# A request that is refused at once is answered within this time, beside other tests.
REFUSAL_LIMIT_S = 0.25


@dataclass(frozen=True, slots=True)
class Response:
    """What a caller got; status 0 if the connection broke off."""

    request_id: str
    sent_s: float
    took_s: float
    status: int
    retry_after_s: float


class SystemQuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet(PLAIN_TARGETS, ENGINES)
        await self.fleet.start()
        for target in self.fleet.targets:
            target.execution_time_s = 0.05
        self.processes = RouterProcesses(Path(self.folder.name), self.fleet.store.address)
        await self.processes.start(ROUTERS)
        self.routers = list(self.processes.routers)
        self.session = aiohttp.ClientSession()
        self.responses: list[Response] = []
        self.generator = random.Random(1)
        self.sent = 0
        self.deadly_part = ""

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    async def _send(
        self, router: RouterProcess, path: str, prefix: str, kind: str, body: bytes = b"body"
    ) -> None:
        self.sent += 1
        request_id = f"{kind}-{self.sent}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {API_KEY}",
        }
        if prefix:
            headers |= {
                "X-Model": "m",
                "X-Token-Usage": "700,10",
                "X-Prompt-Prefix": f"{prefix},{self.sent:x}:50",
            }
        sent_s = time.monotonic()
        url = f"http://{router.settings['listen']['front']}{path}"
        status, retry_after = 0, "nan"
        try:
            async with self.session.post(url, headers=headers, data=body) as response:
                await response.read()
                status = response.status
                retry_after = response.headers.get("Retry-After", retry_after)
        except aiohttp.ClientError:
            pass
        took_s = time.monotonic() - sent_s
        self.responses.append(Response(request_id, sent_s, took_s, status, float(retry_after)))

    async def _send_for(
        self, duration_s: float, deadly_per_s: float, path: str = "/long/a"
    ) -> None:
        """Send sound requests at a steady rate, and deadly ones among them."""
        end_s = time.monotonic() + duration_s
        requests = []
        while time.monotonic() < end_s:
            router = self.generator.choice(self.routers)
            document = f"b{self.generator.randrange(4)}:100"
            prefix, kind = f"aa:500,{document}", "sound"
            if self.generator.random() < deadly_per_s / SOUND_PER_S:
                prefix, kind = f"aa:500,b0:100,{self.deadly_part}:40", "deadly"
            requests.append(asyncio.create_task(self._send(router, path, prefix, kind)))
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*requests)

    async def _send_plain_for(self, duration_s: float, path: str, deadly_body: bytes) -> None:
        """Send sound requests to the plain service, and one with a deadly body repeatedly."""
        end_s = time.monotonic() + duration_s
        requests = []
        while time.monotonic() < end_s:
            is_deadly = self.generator.random() < DEADLY_PER_S / SOUND_PER_S
            kind = "deadly" if is_deadly else "sound"
            body = deadly_body if is_deadly else b"body"
            sending = self._send(self.generator.choice(self.routers), path, "", kind, body)
            requests.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*requests)

    def _set_deadly(self, part: str, crashes_before_head: bool = False) -> None:
        self.deadly_part = part
        self.fleet.crashes_s.clear()
        for target in self.fleet.engine_targets:
            target.deadly_parts = frozenset((part,))
            target.crashes_before_head = crashes_before_head

    def _deadly_arrivals_after(self, begin_s: float) -> list[str]:
        return [
            request_id
            for target in self.fleet.targets
            for at_s, request_id in target.arrivals
            if at_s > begin_s and request_id.startswith("deadly")
        ]

    def _served(self, kind: str, after_s: float) -> tuple[int, int]:
        """Requests of a kind that were answered, and all of them."""
        found = [r for r in self.responses if r.request_id.startswith(kind) and r.sent_s > after_s]
        return sum(response.status == 200 for response in found), len(found)

    def _has_logged(self, name: str) -> bool:
        logs = [router.log_path.read_text() for router in self.processes.routers]
        return any(f"event={name} " in log for log in logs)

    def _check_quarantine(self) -> None:
        crashes_s = self.fleet.crashes_s
        self.assertGreaterEqual(len(crashes_s), 3)
        bound_s = crashes_s[min(len(crashes_s), CRASHES) - 1] + STABLE_S
        self.assertLessEqual(len(self._deadly_arrivals_after(bound_s)), ALLOWED)
        _, deadly = self._served("deadly", bound_s)
        self.assertGreater(deadly, ALLOWED)
        served, sound = self._served("sound", bound_s)
        self.assertGreaterEqual(served, 0.95 * sound)

    async def test_part_that_crashes_targets_is_held_back_by_all_routers(self) -> None:
        """Guards against requests with one part that crash target after target (BUDGET)."""
        for part, crashes_before_head, path in (("d1", False, "/long/a"), ("d2", True, "/ask/a")):
            with self.subTest(crashes_before_head=crashes_before_head, path=path):
                self._set_deadly(part, crashes_before_head)
                await self._send_for(12.0, DEADLY_PER_S, path)
                self._check_quarantine()
        refused = [r for r in self.responses if r.status == 503 and r.request_id[0] == "d"]
        took_s = sorted(response.took_s for response in refused)
        self.assertLess(took_s[len(took_s) // 2], REFUSAL_LIMIT_S)
        self.assertTrue(all(response.retry_after_s > 0 for response in refused))
        arrived = set(self._deadly_arrivals_after(0.0))
        self.assertFalse(arrived & {response.request_id for response in refused})

    async def test_plain_request_that_crashes_targets_is_held_back_by_all_routers(self) -> None:
        """Guards against a request without a prompt that crashes target after target (BUDGET)."""
        for path in ("/look/a", "/file/a"):
            with self.subTest(path=path):
                self.fleet.crashes_s.clear()
                deadly_body = f"deadly {path}".encode()
                for target in self.fleet.plain_targets:
                    target.deadly_body = deadly_body
                await self._send_plain_for(10.0, path, deadly_body)
                self._check_quarantine()

    async def test_new_and_restarted_routers_hold_the_part_back(self) -> None:
        """Guards against a part that crashes targets again through routers that start later."""
        self._set_deadly("d1")
        sending = asyncio.create_task(self._send_for(18.0, DEADLY_PER_S))
        await asyncio.sleep(7.0)
        added = await self.processes.add()
        added.start()
        for router in self.processes.routers[:ROUTERS]:
            router.signal(signal.SIGKILL)
            await router.wait(STABLE_S)
            router.start()
        await asyncio.gather(*(router.wait_ready() for router in self.processes.routers))
        self.routers.append(added)
        await sending
        crashes_s = self.fleet.crashes_s
        bound_s = crashes_s[min(len(crashes_s), CRASHES) - 1] + STABLE_S
        self.assertLessEqual(len(self._deadly_arrivals_after(bound_s)), ALLOWED)

    async def test_crashes_for_another_reason_quarantine_nothing(self) -> None:
        """Guards against sound requests that are held back after kills of targets or routers."""
        sending = asyncio.create_task(self._send_for(12.0, 0.0))
        for number in range(6):
            await asyncio.sleep(0.7)
            self.fleet.crash(self.fleet.engine_targets[number])
        for target in self.fleet.engine_targets[:3]:
            await asyncio.sleep(0.4)
            self.fleet.crash(target)
        self.routers[0].signal(signal.SIGKILL)
        await self.routers[0].wait(STABLE_S)
        self.routers[0].start()
        await self.routers[0].wait_ready()
        await sending
        self.assertTrue(self._has_logged("target_crashed"))
        self.assertFalse(self._has_logged("parts_quarantined"))
        served, sound = self._served("sound", time.monotonic() - 3.0)
        self.assertEqual(served, sound)
