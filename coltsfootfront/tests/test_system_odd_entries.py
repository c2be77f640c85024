"""Tests of odd entries and messages of other writers, with routers as processes."""

import asyncio
import itertools
import socket
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import aiohttp
import msgpack

from coltsfootfront.direct import gossip
from coltsfootfront.tests.oddvalues import (
    DEEP_JSON,
    DEEP_MSGPACK,
    ODD_ADDRESSES,
    ODD_MSGPACK,
    ODD_NUMBERS,
    ODD_TEXTS,
    RAW_JSON,
    to_json,
)
from coltsfootfront.tests.test_odd_entries import CONFIG, ENTRY, RECORD, ROUTER, UPDATES
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    HOST,
    PLAIN_SERVICE,
    PlatformFleet,
    configuration,
)
from coltsfootfront_dev.platformrouters import RouterProcess, RouterProcesses
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn

ROUTERS = 3
# A confirmed change is in force at every router within this time.
APPLY_S = 2.5
POLL_INTERVAL_S = 0.05
REQUEST_INTERVAL_S = 0.02
# What a log shows of an error that nothing expected.
UNEXPECTED = ("child_failed", "item_failed", "Traceback", "Fatal write error")


class SystemOddEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet(2, 2)
        await self.fleet.start()
        self.store = self.fleet.store
        self.processes = RouterProcesses(Path(self.folder.name), self.store.address)
        await self.processes.start(ROUTERS)
        self.session = aiohttp.ClientSession()
        self.numbers = itertools.count()
        self.failures: list[str] = []
        self.answered = 0
        # Peers know of each other.
        await asyncio.sleep(1.0)
        self.sending = asyncio.create_task(self._send_steadily())

    async def asyncTearDown(self) -> None:
        self.sending.cancel()
        await asyncio.gather(self.sending, return_exceptions=True)
        await self.session.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    async def _status(self, router: RouterProcess, path: str) -> int:
        headers = {
            "Host": HOST,
            "X-Request-Id": f"r{next(self.numbers)}",
            "X-Deadline-Ms": "2000",
            "Authorization": f"Token {API_KEY}",
        }
        url = f"http://{router.settings['listen']['front']}{path}x"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status

    async def _send_steadily(self) -> None:
        for router in itertools.cycle(self.processes.routers[:ROUTERS]):
            try:
                status = await self._status(router, "/look/")
                if status != 200:
                    self.failures.append(f"{router.name}: {status}")
                self.answered += 1
            except aiohttp.ClientError as error:
                self.failures.append(f"{router.name}: {error!r}")
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def _write_odd(self, prefix: str, body: dict[str, Any], fixed_key: str = "") -> None:
        """Write values with one odd field each, and ones that are nothing at all."""
        values = [DEEP_JSON, b"", b"\xff\xfe", b"null", b"[]", to_json("@deep-object")]
        for number, name in enumerate(body):
            odd = (*RAW_JSON, *ODD_TEXTS, *ODD_NUMBERS, *ODD_ADDRESSES)
            # Each field gets two odd values, each odd value a few fields.
            values += [
                to_json(body | {name: odd[(7 * number + turn) % len(odd)]}) for turn in (0, 3)
            ]
        values += [to_json(body | {name: "@deep"}) for name in body]
        for number, value in enumerate(values):
            self.store.put(fixed_key or f"{prefix}odd-{number}", value)

    def _send_odd_datagrams(self) -> None:
        datagrams = [DEEP_MSGPACK, b"", b"\xff", b"\x93\x02\xc3\x91\x92\xa4load" + DEEP_MSGPACK]
        for kind, fields in UPDATES.items():
            if kind in (gossip.QUARANTINED, gossip.CRASH):
                continue
            updates = [[kind, [*fields[:-1], odd]] for odd in ODD_MSGPACK if odd is not True]
            updates += [[kind, odd] for odd in ODD_MSGPACK]
            datagrams += [
                msgpack.packb([gossip.PROTOCOL_VERSION, False, [update]])
                for update in updates
                if len(repr(update)) < 10_000
            ]
        request = [7, "a\x00b:1", ["t1", 1, "zone-a"], 5.0, 1.0, 1, [], {}]
        datagrams.append(
            msgpack.packb([gossip.PROTOCOL_VERSION, True, [[gossip.PERMIT_REQUEST, request]]])
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for router in self.processes.routers:
                for datagram in datagrams:
                    sender.sendto(datagram, (router.ip, router.gossip_port))

    async def _query_oddly(self) -> None:
        for router in self.processes.routers:
            for query in (
                "after=x",
                "after=0&wait=nan",
                "era=%D9%A3",
                "wait=inf",
                "after=" + "9" * 5000,
            ):
                url = f"http://{router.settings['listen']['control']}/peer/copy?{query}"
                async with self.session.get(url) as response:
                    await response.read()

    async def _await_effect(self, routers: list[RouterProcess], path: str) -> list[str]:
        """Names of the routers at which a route is not in force in time."""
        deadline_s = time.monotonic() + APPLY_S
        missing = list(routers)
        while missing and time.monotonic() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            missing = [router for router in missing if await self._status(router, path) != 200]
        return [router.name for router in missing]

    async def _add_behind(self, number: int) -> None:
        """Write a target and a configuration, and wait until both have effect everywhere."""
        service = f"{PLAIN_SERVICE}-{number}"
        target = PlatformTargetStandIn(f"new-{number}", service)
        await target.start()
        self.fleet.plain_targets.append(target)
        self.fleet.register(target)
        config = configuration(number)
        path = f"/new{number}/"
        route = config["routes"][1] | {"name": "new", "prefix": path, "service": service}
        config["routes"].append(route)
        config["services"].append({"name": service, "max-conns": 50})
        self.store.put_json("op/config", config)
        self.assertEqual([], await self._await_effect(self.processes.routers, path))

    async def test_entries_behind_odd_ones_take_effect_and_no_process_notices(self) -> None:
        """Guards against routers that end, or follow the store no more, by an odd entry."""
        states = [router.state() for router in self.processes.routers]
        self._write_odd("servers/", ENTRY)
        await self._add_behind(2)
        self._write_odd("op/version/", {"model": "m", "version": 2})
        # What can be read of these is in force, and serves the callers.
        odd = CONFIG | {"version": 3, "tenants": configuration(3)["tenants"]}
        self._write_odd("", odd, "op/config")
        await self._add_behind(4)
        self._write_odd("coltsfootfront/routers/", ROUTER)
        self._write_odd("coltsfootfront/quarantine/", RECORD)
        await self._add_behind(5)
        self._send_odd_datagrams()
        await self._query_oddly()
        await self._add_behind(6)
        # A router that starts reads all of it at once.
        added = await self.processes.add()
        added.start()
        await added.wait_ready()
        await self._add_behind(7)
        self.sending.cancel()
        self.assertEqual([], self.failures)
        self.assertGreater(self.answered, 50)
        self.assertEqual(states, [router.state() for router in self.processes.routers[:ROUTERS]])
        for router in self.processes.routers:
            lines = router.log_path.read_text(errors="replace").splitlines()
            self.assertEqual(
                [], [line for line in lines if any(word in line for word in UNEXPECTED)]
            )
            self.assertLess(max(map(len, lines)), 8000)


if __name__ == "__main__":
    unittest.main()
