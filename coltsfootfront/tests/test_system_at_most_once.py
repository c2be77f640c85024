"""Process-level tests: a call that must not be repeated runs at most once, and "not run" is true.

The plain-service stand-ins count what they execute; that count is the proof.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.deployment import FleetOptions

SERVICE = "trials-registry"
CUSTOMER = "sleep-panel"
OPTIONS = FleetOptions(
    target_kinds=("service",),
    use_forwarders=True,
    router_settings={"request_timeout_s": 1.5, "accept_timeout_s": 0.5},
)
# Longer than every timeout between the moment a router sends a call and gives it up: request
# timeout, margin after the deadline, accept timeout and the wait for the answer to a cancel.
FREEZE_S = 5.5
# Repeats after which a call must no longer be refused as "not run" once the fault is over.
REPEATS = 3


class FaultCase:
    """One case: its fleet, its body and what its calls were answered."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.caller = CheckingClient(fleet)
        self.body = name.encode()
        self.key = f"key of {name}"
        self.replies: list[Reply] = []

    @property
    def agents(self) -> list[str]:
        """Names of the agents of the service."""
        return [process.name for process in self.fleet.agents]

    @property
    def servers(self) -> list[str]:
        """Names of the servers of the service."""
        return [process.name for process in self.fleet.of_role("service-standin")]

    async def call(self, router: str, key: bool = True) -> Reply:
        """File once through a router."""
        reply = await self.caller.call_service(
            router, CUSTOMER, SERVICE, "filings", self.body, self.key if key else ""
        )
        self.replies.append(reply)
        return reply

    async def settle(self) -> None:
        """Repeat the call as a caller does that is told "not run" and when to come back.

        A process that was frozen refuses until it has checked its revision again.
        """
        for _ in range(REPEATS):
            if self.replies[-1].execution_state != "not_run":
                return
            await asyncio.sleep(float(self.replies[-1].retry_after))
            await self.call("router-2")

    async def executions(self) -> int:
        """How often the filing was executed."""
        return await self.caller.execution_count(SERVICE, self.body)

    async def start_call(self) -> asyncio.Task[Reply]:
        """File through the first router and wait until a server has executed it.

        The answer takes so long that a fault can strike before it.
        """
        await self.set_service_faults(delay_after_s=0.5)
        task = asyncio.create_task(self.call("router-1"))
        await self.started()
        return task

    async def end_call(self, task: asyncio.Task[Reply]) -> None:
        """Wait for the first answer, then repeat the call through the second router."""
        await task
        await self.set_service_faults(delay_after_s=0.0)
        await self.call("router-2")

    async def freeze(self, names: list[str]) -> None:
        """Pause processes for longer than every timeout."""
        for name in names:
            self.fleet.pause(name)
        await asyncio.sleep(FREEZE_S)
        for name in names:
            self.fleet.resume(name)

    async def set_service_faults(self, **values: object) -> None:
        """Switch a fault of every server."""
        for name in self.servers:
            await self.fleet.control_stand_in(name, dict(values))

    async def started(self) -> None:
        """Wait until a server has executed the filing."""
        for _ in range(400):
            if await self.executions():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the filing was not executed")


Fault = Callable[[FaultCase], Awaitable[None]]


async def _repeat(case: FaultCase) -> None:
    for router in ("router-1", "router-2", "router-1"):
        await case.call(router)


async def _repeat_at_the_same_time(case: FaultCase) -> None:
    await case.set_service_faults(delay_after_s=0.2)
    await asyncio.gather(*(case.call(f"router-{n % 2 + 1}") for n in range(12)))
    await case.set_service_faults(delay_after_s=0.0)


async def _restart_agents(case: FaultCase) -> None:
    await case.call("router-1")
    await asyncio.gather(*(case.fleet.restart(name) for name in case.agents))
    await case.call("router-2")


async def _kill_agents_while_it_runs(case: FaultCase) -> None:
    first = await case.start_call()
    await asyncio.gather(*(case.fleet.restart(name) for name in case.agents))
    await case.end_call(first)


async def _kill_router_while_it_runs(case: FaultCase) -> None:
    await case.set_service_faults(delay_after_s=0.5)
    first = asyncio.create_task(case.call("router-1"))
    await case.started()
    await case.fleet.restart("router-1")
    await first
    await asyncio.sleep(0.6)
    await case.set_service_faults(delay_after_s=0.0)
    await case.call("router-1")


async def _lose_store_answers(case: FaultCase) -> None:
    await case.fleet.control_stand_in("store", {"lose_answers": 1})
    await case.call("router-1")
    await case.call("router-2")


async def _lose_more_store_answers(case: FaultCase) -> None:
    await case.fleet.control_stand_in("store", {"lose_answers": 3})
    await case.call("router-1")
    await case.fleet.control_stand_in("store", {"lose_answers": 0})
    await case.call("router-2")


async def _store_outage_before(case: FaultCase) -> None:
    await case.fleet.control_stand_in("store", {"outage": True})
    await case.call("router-1")
    await case.call("router-2")
    await case.fleet.control_stand_in("store", {"outage": False})
    await case.call("router-2")


async def _store_outage_while_it_runs(case: FaultCase) -> None:
    first = await case.start_call()
    await case.fleet.control_stand_in("store", {"outage": True})
    await case.end_call(first)
    await case.fleet.control_stand_in("store", {"outage": False})
    await case.call("router-2")


async def _store_outage_and_agent_restart(case: FaultCase) -> None:
    await case.set_service_faults(delay_after_s=0.5)
    first = asyncio.create_task(case.call("router-1"))
    await case.started()
    await case.fleet.control_stand_in("store", {"outage": True})
    await asyncio.gather(*(case.fleet.restart(name, wait=False) for name in case.agents))
    await first
    await case.fleet.control_stand_in("store", {"outage": False})
    await case.set_service_faults(delay_after_s=0.0)
    await case.fleet.wait_ready()
    await case.call("router-2")


async def _server_cuts_before(case: FaultCase) -> None:
    await case.set_service_faults(cut_before=1)
    await case.call("router-1")
    await case.set_service_faults(cut_before=0)
    await case.call("router-2")


async def _server_cuts_after(case: FaultCase) -> None:
    await case.set_service_faults(cut_after=1)
    await case.call("router-1")
    await case.set_service_faults(cut_after=0)
    await case.call("router-2")


async def _server_cuts_within_the_answer(case: FaultCase) -> None:
    await case.set_service_faults(cut_body=1)
    await case.call("router-1")
    await case.set_service_faults(cut_body=0)
    await case.call("router-2")


async def _cut_between_router_and_agent(case: FaultCase) -> None:
    first = await case.start_call()
    for name in case.agents:
        case.fleet.forwarders[name].cut()
    await case.end_call(first)


async def _cut_off_the_agents(case: FaultCase) -> None:
    """The call has reached the server, and its agent cannot be asked what became of it."""
    first = await case.start_call()
    forwarders = [case.fleet.forwarders[name] for name in case.agents]
    for forwarder in forwarders:
        forwarder.refuse = True
        forwarder.cut()
    await first
    for forwarder in forwarders:
        forwarder.refuse = False
    await case.end_call(first)


async def _hold_between_router_and_agent(case: FaultCase) -> None:
    forwarders = [case.fleet.forwarders[name] for name in case.agents]
    for forwarder in forwarders:
        forwarder.hold()
    await case.call("router-1")
    for forwarder in forwarders:
        forwarder.release()
    await asyncio.sleep(0.5)
    await case.call("router-2")


async def _freeze_agents(case: FaultCase) -> None:
    for name in case.agents:
        case.fleet.pause(name)
    first = asyncio.create_task(case.call("router-1"))
    await case.freeze(case.agents)
    await asyncio.sleep(0.5)
    await case.end_call(first)


async def _freeze_agents_while_they_claim(case: FaultCase) -> None:
    await case.fleet.control_stand_in("store", {"delay_s": 0.3})
    first = asyncio.create_task(case.call("router-1"))
    await asyncio.sleep(0.2)
    for name in case.agents:
        case.fleet.pause(name)
    await case.fleet.control_stand_in("store", {"delay_s": 0.0})
    await case.freeze(case.agents)
    await asyncio.sleep(0.5)
    await case.end_call(first)


async def _freeze_agents_while_it_runs(case: FaultCase) -> None:
    first = await case.start_call()
    await case.freeze(case.agents)
    await case.end_call(first)


async def _freeze_servers(case: FaultCase) -> None:
    for name in case.servers:
        case.fleet.pause(name)
    first = asyncio.create_task(case.call("router-1"))
    await case.freeze(case.servers)
    await case.end_call(first)


async def _freeze_router(case: FaultCase) -> None:
    first = await case.start_call()
    await case.freeze(["router-1"])
    await case.end_call(first)


FAULTS: dict[str, Fault] = {
    "repeats through both routers": _repeat,
    "repeats at the same time": _repeat_at_the_same_time,
    "agents restarted between": _restart_agents,
    "agents killed while it runs": _kill_agents_while_it_runs,
    "router killed while it runs": _kill_router_while_it_runs,
    "answer to the claim lost": _lose_store_answers,
    "several answers of the store lost": _lose_more_store_answers,
    "store outage before": _store_outage_before,
    "store outage while it runs": _store_outage_while_it_runs,
    "store outage and agents restarted": _store_outage_and_agent_restart,
    "server cuts before executing": _server_cuts_before,
    "server cuts after executing": _server_cuts_after,
    "server cuts within the answer": _server_cuts_within_the_answer,
    "connection to the agent cut": _cut_between_router_and_agent,
    "agents cut off while it runs": _cut_off_the_agents,
    "connection to the agent held": _hold_between_router_and_agent,
}

FREEZES: dict[str, Fault] = {
    "agents frozen before": _freeze_agents,
    "agents frozen while they claim": _freeze_agents_while_they_claim,
    "agents frozen while it runs": _freeze_agents_while_it_runs,
    "servers frozen": _freeze_servers,
    "router frozen": _freeze_router,
}


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Each case repeats one filing with the same idempotency key around a fault."""

    async def _run_cases(self, faults: dict[str, Fault]) -> None:
        async with Fleet(OPTIONS) as fleet:
            for name, fault in faults.items():
                with self.subTest(name):
                    case = FaultCase(fleet, name)
                    await fault(case)
                    await case.settle()
                    await self._check(case)

    async def _check(self, case: FaultCase) -> None:
        count = await case.executions()
        shown = f"{count} executions, replies {case.replies}"
        self.assertLessEqual(count, 1, shown)
        last = case.replies[-1]
        if last.is_correct:
            self.assertEqual(1, count, shown)
        else:
            # After the fault is over only an unknown first run may keep a repeat from running.
            self.assertIn(last.execution_state, ("unknown", "completed"), shown)
        for reply in case.replies:
            self.assertNotEqual(500, reply.status, shown)
        if case.replies and all(reply.execution_state == "not_run" for reply in case.replies):
            self.assertEqual(0, count, shown)

    async def test_repeats_run_at_most_once(self) -> None:
        """Guards against a filed result or a paid reservation that runs twice."""
        await self._run_cases(FAULTS)

    async def test_repeats_run_at_most_once_after_freezes(self) -> None:
        """Guards against a thawed process that runs what was already answered or repeated."""
        await self._run_cases(FREEZES)


class NotRunTest(unittest.IsolatedAsyncioTestCase):
    """Each case sends one call without an idempotency key into a fault."""

    async def test_not_run_is_true(self) -> None:
        """Guards against a refusal that says "not run" for a call that runs, even later."""
        async with Fleet(OPTIONS) as fleet:
            for name, fault in {**FAULTS, **FREEZES}.items():
                with self.subTest(name):
                    case = FaultCase(fleet, f"unkeyed {name}")
                    case.key = ""
                    await fault(case)
                    await asyncio.sleep(0.5)
                    count = await case.executions()
                    shown = f"{count} executions, replies {case.replies}"
                    may_have_run = [reply for reply in case.replies if reply.execution_state != "not_run"]
                    for reply in may_have_run:
                        self.assertEqual("", reply.retry_after, "no invitation to run it again")
                    executed = await case.caller.executed_request_ids(SERVICE, case.body)
                    self.assertNotIn("", executed, "an execution without a request id")
                    for reply in case.replies:
                        if reply.execution_state == "not_run":
                            self.assertTrue(reply.request_id)
                            self.assertNotIn(reply.request_id, executed, shown)
                    right = [reply for reply in case.replies if reply.is_correct]
                    self.assertLessEqual(count, len(may_have_run), shown)
                    self.assertGreaterEqual(count, len(right), shown)


if __name__ == "__main__":
    unittest.main()
