"""Process-level tests: leaving targets get no new work, and planned stops cut no request."""

import asyncio
import contextlib
import copy
import signal
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.adminclient import AdminClient
from coltsfootfront_dev.deployment import FleetOptions

CUSTOMER = "dossier-desk"
MODEL = "dossier-large"
# "A few seconds" from the moment a target is marked as leaving to its last admission.
LAST_ADMISSION_LIMIT_S = 3.0
QUIET_S = 2.0
STREAM_TOKENS = 150
CALLERS = 8


class Load:
    """Callers that send one stream after another, as a load balancer would spread them.

    :param tokens: tokens of each stream.
    """

    def __init__(self, fleet: Fleet, tokens: int) -> None:
        self._fleet = fleet
        self._caller = CheckingClient(fleet)
        self._tokens = tokens
        self._stop = asyncio.Event()
        self._ready = [process.name for process in fleet.routers]
        self._number = 0
        self.replies: list[Reply] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send while the body runs, then let every stream end."""
        balancer = asyncio.create_task(self._check_readiness())
        callers = [asyncio.create_task(self._send()) for _ in range(CALLERS)]
        try:
            yield
        finally:
            self._stop.set()
            await asyncio.gather(*callers)
            balancer.cancel()
            await asyncio.gather(balancer, return_exceptions=True)

    async def _send(self) -> None:
        while not self._stop.is_set():
            self._number += 1
            router = self._ready[self._number % len(self._ready)]
            call = self._caller.build_model_call(
                router, CUSTOMER, MODEL, f"Dossier {self._number}", self._tokens
            )
            self.replies.append(await self._caller.call_model(call))

    async def _check_readiness(self) -> None:
        """Take routers that are not ready out of the rotation, as the platform's balancer does."""
        while True:
            names = [process.name for process in self._fleet.routers]
            ready = await asyncio.gather(*(self._is_ready(name) for name in names))
            chosen = [name for name, good in zip(names, ready, strict=True) if good]
            self._ready = chosen or names
            await asyncio.sleep(0.1)

    async def _is_ready(self, name: str) -> bool:
        url = f"http://{self._fleet.processes[name].address}/readyz"
        try:
            async with self._fleet.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False


class FaultCase:
    """A fleet under load and the target that leaves."""

    def __init__(self, fleet: Fleet, target: str) -> None:
        self.fleet = fleet
        self.target = target
        self.operator = AdminClient(fleet)

    async def admitted(self) -> int:
        """Requests that the engine has got."""
        counters = await self.fleet.stand_in_counters(self.fleet.stand_in_of(self.target).name)
        return int(counters["requests"])

    async def last_admission_s(self) -> float:
        """Time until the last admission; waits until there was none for a while."""
        start_s = last_s = time.monotonic()
        count = await self.admitted()
        while time.monotonic() - last_s < QUIET_S:
            await asyncio.sleep(0.02)
            now = await self.admitted()
            if now != count:
                count, last_s = now, time.monotonic()
            if last_s - start_s > 4 * LAST_ADMISSION_LIMIT_S:
                break
        return last_s - start_s

    async def withdraw(self, withdrawn: bool) -> None:
        """Set the target's field in the document."""
        document = copy.deepcopy(self.fleet.document)
        document["targets"][self.target]["withdrawn"] = withdrawn
        await self.fleet.apply(document)

    async def list_as(self, state: str) -> None:
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


Leave = Callable[[FaultCase], Awaitable[None]]


async def _by_document(case: FaultCase) -> None:
    await case.withdraw(True)


async def _by_document_without_store(case: FaultCase) -> None:
    """Only the administration API reaches the store; routers learn from it and from agents."""
    await case.withdraw(True)
    await case.fleet.control_stand_in("store", {"outage": True})


async def _by_vm_list(case: FaultCase) -> None:
    await case.list_as("leaving")


async def _by_stop_signal(case: FaultCase) -> None:
    case.fleet.send_signal(case.fleet.agent_of(case.target).name, signal.SIGTERM)


async def _return(case: FaultCase) -> None:
    await case.fleet.control_stand_in("store", {"outage": False})
    if case.fleet.document["targets"][case.target].get("withdrawn"):
        await case.withdraw(False)
    await case.list_as("live")
    agent = case.fleet.agent_of(case.target)
    if not agent.is_running:
        await case.fleet.restart(agent.name)
    await case.fleet.wait_ready()


LEAVES: dict[str, Leave] = {
    "withdrawn by the document": _by_document,
    "withdrawn, then a store outage": _by_document_without_store,
    "leaving by the VM list": _by_vm_list,
    "stop signal of the agent": _by_stop_signal,
}


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_leaving_target_gets_no_new_work(self) -> None:
        """Guards against admissions long after a target was marked as leaving."""
        options = FleetOptions(target_kinds=("engine",))
        async with Fleet(options) as fleet:
            for name, leave in LEAVES.items():
                with self.subTest(name):
                    case = FaultCase(fleet, "assessor-3")
                    load = Load(fleet, 20)
                    async with load.running():
                        await self._wait_for_admissions(case)
                        await leave(case)
                        last_s = await case.last_admission_s()
                        if name == "stop signal of the agent":
                            code = await fleet.wait_exit(fleet.agent_of(case.target).name)
                            self.assertEqual(0, code)
                    wrong = [reply for reply in load.replies if not reply.is_correct]
                    self.assertEqual([], wrong[:3])
                    self.assertLess(last_s, LAST_ADMISSION_LIMIT_S)
                    await _return(case)

    async def _wait_for_admissions(self, case: FaultCase) -> None:
        before = await case.admitted()
        for _ in range(500):
            if await case.admitted() > before:
                return
            await asyncio.sleep(0.02)
        self.fail(f"{case.target} got no request")


class RollingRestartTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_rolling_restart_cuts_and_refuses_nothing(self) -> None:
        """Guards against a planned stop that cuts a stream or refuses what others could take."""
        options = FleetOptions(target_kinds=("engine",))
        async with Fleet(options) as fleet:
            load = Load(fleet, STREAM_TOKENS)
            async with load.running():
                await asyncio.sleep(1.0)
                for process in [*fleet.routers, *fleet.agents]:
                    code = await fleet.terminate(process.name)
                    self.assertEqual(0, code, process.name)
                    await fleet.restart(process.name)
            wrong = [reply for reply in load.replies if not reply.is_correct]
            self.assertGreater(len(load.replies), CALLERS * 3)
            self.assertEqual([], wrong[:3], f"{len(wrong)} of {len(load.replies)}")


if __name__ == "__main__":
    unittest.main()
