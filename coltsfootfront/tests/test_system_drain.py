"""Process-level tests: draining targets get no new requests, and planned stops abort none."""

import asyncio
import contextlib
import copy
import signal
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from coltsfootfront_dev.adminclient import AdminClient
from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet

CUSTOMER = "dossier-desk"
MODEL = "dossier-large"
# Time from the start of a target's drain to its last admitted request.
LAST_ADMISSION_LIMIT_S = 3.0
QUIET_PERIOD_S = 2.0
STREAM_TOKENS = 150
CALLER_COUNT = 8


class LoadGenerator:
    """Callers that send streams back to back, spread over the ready routers.

    :param tokens: tokens of each stream.
    """

    def __init__(self, fleet: Fleet, tokens: int) -> None:
        self._fleet = fleet
        self._caller = CheckingClient(fleet)
        self._tokens = tokens
        self._stop = asyncio.Event()
        self._ready_routers = [process.name for process in fleet.routers]
        self._number = 0
        self.replies: list[Reply] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send while the body of the context runs, then wait for every stream to end."""
        readiness_checks = asyncio.create_task(self._check_readiness())
        callers = [asyncio.create_task(self._send()) for _ in range(CALLER_COUNT)]
        try:
            yield
        finally:
            self._stop.set()
            await asyncio.gather(*callers)
            readiness_checks.cancel()
            await asyncio.gather(readiness_checks, return_exceptions=True)

    async def _send(self) -> None:
        while not self._stop.is_set():
            self._number += 1
            router = self._ready_routers[self._number % len(self._ready_routers)]
            call = self._caller.build_model_call(
                router, CUSTOMER, MODEL, f"Dossier {self._number}", self._tokens
            )
            self.replies.append(await self._caller.call_model(call))

    async def _check_readiness(self) -> None:
        """Take routers that are not ready out of rotation, as the platform's load balancer does."""
        while True:
            names = [process.name for process in self._fleet.routers]
            ready = await asyncio.gather(*(self._is_ready(name) for name in names))
            chosen = [name for name, is_ready in zip(names, ready, strict=True) if is_ready]
            self._ready_routers = chosen or names
            await asyncio.sleep(0.1)

    async def _is_ready(self, name: str) -> bool:
        url = f"http://{self._fleet.processes[name].address}/readyz"
        try:
            async with self._fleet.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False


class DrainCase:
    """A fleet under load and the target that drains."""

    def __init__(self, fleet: Fleet, target: str) -> None:
        self.fleet = fleet
        self.target = target
        self.operator = AdminClient(fleet)

    async def admitted_requests(self) -> int:
        """Number of requests that the target's engine has received."""
        counters = await self.fleet.stand_in_counters(self.fleet.stand_in_of(self.target).name)
        return int(counters["requests"])

    async def last_admission_s(self) -> float:
        """Time until the last admission; returns once there was none for ``QUIET_PERIOD_S``."""
        start_s = last_s = time.monotonic()
        count = await self.admitted_requests()
        while time.monotonic() - last_s < QUIET_PERIOD_S:
            await asyncio.sleep(0.02)
            now = await self.admitted_requests()
            if now != count:
                count, last_s = now, time.monotonic()
            if last_s - start_s > 4 * LAST_ADMISSION_LIMIT_S:
                break
        return last_s - start_s

    async def set_withdrawn(self, withdrawn: bool) -> None:
        """Apply a document that withdraws the target or restores it."""
        document = copy.deepcopy(self.fleet.document)
        document["targets"][self.target]["withdrawn"] = withdrawn
        await self.fleet.apply(document)

    async def set_vm_state(self, state: str) -> None:
        """Set the state of the target's VM in the platform's list."""
        agent = self.fleet.agent_of(self.target)
        row = {
            "name": self.target,
            "role": "target",
            "data_centre": self.fleet.document["targets"][self.target]["data_centre"],
            "peer_address": agent.peer_address,
            "state": state,
        }
        await self.fleet.control_stand_in("vms", {"update": [row]})


DrainTrigger = Callable[[DrainCase], Awaitable[None]]


async def _withdraw(case: DrainCase) -> None:
    await case.set_withdrawn(True)


async def _withdraw_then_store_outage(case: DrainCase) -> None:
    """Withdraw the target, then lose the store; routers learn of it from admin and agents."""
    await case.set_withdrawn(True)
    await case.fleet.control_stand_in("store", {"outage": True})


async def _mark_vm_leaving(case: DrainCase) -> None:
    await case.set_vm_state("leaving")


async def _terminate_agent(case: DrainCase) -> None:
    case.fleet.send_signal(case.fleet.agent_of(case.target).name, signal.SIGTERM)


async def _restore_target(case: DrainCase) -> None:
    await case.fleet.control_stand_in("store", {"outage": False})
    if case.fleet.document["targets"][case.target].get("withdrawn"):
        await case.set_withdrawn(False)
    await case.set_vm_state("live")
    agent = case.fleet.agent_of(case.target)
    if not agent.is_running:
        await case.fleet.restart(agent.name)
    await case.fleet.wait_ready()


DRAIN_TRIGGERS: dict[str, DrainTrigger] = {
    "withdrawn by the document": _withdraw,
    "withdrawn, then a store outage": _withdraw_then_store_outage,
    "leaving by the VM list": _mark_vm_leaving,
    "stop signal of the agent": _terminate_agent,
}


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def test_draining_target_gets_no_new_requests(self) -> None:
        """Guards against admissions long after a target began to drain."""
        options = FleetOptions(target_kinds=("engine",))
        async with Fleet(options) as fleet:
            for name, start_drain in DRAIN_TRIGGERS.items():
                with self.subTest(name):
                    case = DrainCase(fleet, "assessor-3")
                    load_generator = LoadGenerator(fleet, 20)
                    async with load_generator.running():
                        await self._wait_for_admissions(case)
                        await start_drain(case)
                        last_s = await case.last_admission_s()
                        if name == "stop signal of the agent":
                            code = await fleet.wait_exit(fleet.agent_of(case.target).name)
                            self.assertEqual(0, code)
                    wrong = [reply for reply in load_generator.replies if not reply.is_correct]
                    self.assertEqual([], wrong[:3])
                    self.assertLess(last_s, LAST_ADMISSION_LIMIT_S)
                    await _restore_target(case)

    async def _wait_for_admissions(self, case: DrainCase) -> None:
        before = await case.admitted_requests()
        for _ in range(500):
            if await case.admitted_requests() > before:
                return
            await asyncio.sleep(0.02)
        self.fail(f"{case.target} received no request")


class RollingRestartTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_rolling_restart_cuts_and_refuses_nothing(self) -> None:
        """Guards against a planned stop that aborts a stream or refuses what others could take."""
        options = FleetOptions(target_kinds=("engine",))
        async with Fleet(options) as fleet:
            load_generator = LoadGenerator(fleet, STREAM_TOKENS)
            async with load_generator.running():
                await asyncio.sleep(1.0)
                for process in [*fleet.routers, *fleet.agents]:
                    code = await fleet.terminate(process.name)
                    self.assertEqual(0, code, process.name)
                    await fleet.restart(process.name)
            wrong = [reply for reply in load_generator.replies if not reply.is_correct]
            self.assertGreater(len(load_generator.replies), CALLER_COUNT * 3)
            self.assertEqual([], wrong[:3], f"{len(wrong)} of {len(load_generator.replies)}")


if __name__ == "__main__":
    unittest.main()
