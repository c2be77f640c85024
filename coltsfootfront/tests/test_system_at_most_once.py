"""Process-level tests: a non-idempotent call runs at most once, and ``not_run`` is never wrong.

The plain-service stand-ins record each request that they execute, and the tests compare these
records with the replies.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet

SERVICE = "trials-registry"
CUSTOMER = "sleep-panel"
OPTIONS = FleetOptions(
    target_kinds=("service",),
    use_forwarders=True,
    router_settings={"request_timeout_s": 1.5, "accept_timeout_s": 0.5},
)
# Longer than a router takes to give up a call: request timeout, margin after the deadline, accept
# timeout and the wait for the answer to a cancellation.
PAUSE_S = 5.5
# Retries after which a call must no longer be refused as ``not_run`` once the fault is over.
MAX_RETRIES = 3


class FaultCase:
    """One case: its fleet, the body that identifies its request, and the replies."""

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
        return [process.name for process in self.fleet.processes_of_role("service-standin")]

    async def call(self, router: str, with_key: bool = True) -> Reply:
        """Send the request once through a router."""
        reply = await self.caller.call_service(
            router, CUSTOMER, SERVICE, "filings", self.body, self.key if with_key else ""
        )
        self.replies.append(reply)
        return reply

    async def retry_not_run(self) -> None:
        """Retry a call that was refused as ``not_run``, after the time in ``Retry-After``.

        A process that was paused refuses calls until it has checked its revision again.
        """
        for _ in range(MAX_RETRIES):
            if self.replies[-1].execution_state != "not_run":
                return
            await asyncio.sleep(float(self.replies[-1].retry_after))
            await self.call("router-2")

    async def executions(self) -> int:
        """How often the request was executed."""
        return await self.caller.execution_count(SERVICE, self.body)

    async def start_delayed_call(self) -> asyncio.Task[Reply]:
        """Send the request through the first router and wait until a server has executed it.

        The response is delayed, so that a fault can be injected before it.
        """
        await self.set_service_faults(delay_after_s=0.5)
        task = asyncio.create_task(self.call("router-1"))
        await self.wait_executed()
        return task

    async def finish_and_retry(self, task: asyncio.Task[Reply]) -> None:
        """Wait for the first reply, then retry the call through the second router."""
        await task
        await self.set_service_faults(delay_after_s=0.0)
        await self.call("router-2")

    async def pause_beyond_timeouts(self, names: list[str]) -> None:
        """Pause processes until routers have given up their calls."""
        for name in names:
            self.fleet.pause(name)
        await asyncio.sleep(PAUSE_S)
        for name in names:
            self.fleet.resume(name)

    async def set_service_faults(self, **values: object) -> None:
        """Set faults of every server."""
        for name in self.servers:
            await self.fleet.control_stand_in(name, dict(values))

    async def wait_executed(self) -> None:
        """Wait until a server has executed the request."""
        for _ in range(400):
            if await self.executions():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the request was not executed")


Fault = Callable[[FaultCase], Awaitable[None]]


async def _retry(case: FaultCase) -> None:
    for router in ("router-1", "router-2", "router-1"):
        await case.call(router)


async def _retry_concurrently(case: FaultCase) -> None:
    await case.set_service_faults(delay_after_s=0.2)
    await asyncio.gather(*(case.call(f"router-{n % 2 + 1}") for n in range(12)))
    await case.set_service_faults(delay_after_s=0.0)


async def _restart_agents(case: FaultCase) -> None:
    await case.call("router-1")
    await asyncio.gather(*(case.fleet.restart(name) for name in case.agents))
    await case.call("router-2")


async def _kill_agents_while_it_runs(case: FaultCase) -> None:
    first = await case.start_delayed_call()
    await asyncio.gather(*(case.fleet.restart(name) for name in case.agents))
    await case.finish_and_retry(first)


async def _kill_router_while_it_runs(case: FaultCase) -> None:
    await case.set_service_faults(delay_after_s=0.5)
    first = asyncio.create_task(case.call("router-1"))
    await case.wait_executed()
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
    first = await case.start_delayed_call()
    await case.fleet.control_stand_in("store", {"outage": True})
    await case.finish_and_retry(first)
    await case.fleet.control_stand_in("store", {"outage": False})
    await case.call("router-2")


async def _store_outage_and_agent_restart(case: FaultCase) -> None:
    await case.set_service_faults(delay_after_s=0.5)
    first = asyncio.create_task(case.call("router-1"))
    await case.wait_executed()
    await case.fleet.control_stand_in("store", {"outage": True})
    await asyncio.gather(*(case.fleet.restart(name, wait=False) for name in case.agents))
    await first
    await case.fleet.control_stand_in("store", {"outage": False})
    await case.set_service_faults(delay_after_s=0.0)
    await case.fleet.wait_ready()
    await case.call("router-2")


async def _cut_before_execution(case: FaultCase) -> None:
    await case.set_service_faults(cut_before=1)
    await case.call("router-1")
    await case.set_service_faults(cut_before=0)
    await case.call("router-2")


async def _cut_after_execution(case: FaultCase) -> None:
    await case.set_service_faults(cut_after=1)
    await case.call("router-1")
    await case.set_service_faults(cut_after=0)
    await case.call("router-2")


async def _cut_within_body(case: FaultCase) -> None:
    await case.set_service_faults(cut_body=1)
    await case.call("router-1")
    await case.set_service_faults(cut_body=0)
    await case.call("router-2")


async def _cut_between_router_and_agent(case: FaultCase) -> None:
    first = await case.start_delayed_call()
    for name in case.agents:
        case.fleet.forwarders[name].abort_connections()
    await case.finish_and_retry(first)


async def _isolate_agents(case: FaultCase) -> None:
    """The server has executed the call, but its agent cannot be asked for the outcome."""
    first = await case.start_delayed_call()
    forwarders = [case.fleet.forwarders[name] for name in case.agents]
    for forwarder in forwarders:
        forwarder.refuses_connections = True
        forwarder.abort_connections()
    await first
    for forwarder in forwarders:
        forwarder.refuses_connections = False
    await case.finish_and_retry(first)


async def _hold_between_router_and_agent(case: FaultCase) -> None:
    forwarders = [case.fleet.forwarders[name] for name in case.agents]
    for forwarder in forwarders:
        forwarder.pause()
    await case.call("router-1")
    for forwarder in forwarders:
        forwarder.resume()
    await asyncio.sleep(0.5)
    await case.call("router-2")


async def _pause_agents(case: FaultCase) -> None:
    for name in case.agents:
        case.fleet.pause(name)
    first = asyncio.create_task(case.call("router-1"))
    await case.pause_beyond_timeouts(case.agents)
    await asyncio.sleep(0.5)
    await case.finish_and_retry(first)


async def _pause_agents_while_they_claim(case: FaultCase) -> None:
    await case.fleet.control_stand_in("store", {"delay_s": 0.3})
    first = asyncio.create_task(case.call("router-1"))
    await asyncio.sleep(0.2)
    for name in case.agents:
        case.fleet.pause(name)
    await case.fleet.control_stand_in("store", {"delay_s": 0.0})
    await case.pause_beyond_timeouts(case.agents)
    await asyncio.sleep(0.5)
    await case.finish_and_retry(first)


async def _pause_agents_while_it_runs(case: FaultCase) -> None:
    first = await case.start_delayed_call()
    await case.pause_beyond_timeouts(case.agents)
    await case.finish_and_retry(first)


async def _pause_servers(case: FaultCase) -> None:
    for name in case.servers:
        case.fleet.pause(name)
    first = asyncio.create_task(case.call("router-1"))
    await case.pause_beyond_timeouts(case.servers)
    await case.finish_and_retry(first)


async def _pause_router(case: FaultCase) -> None:
    first = await case.start_delayed_call()
    await case.pause_beyond_timeouts(["router-1"])
    await case.finish_and_retry(first)


FAULTS: dict[str, Fault] = {
    "repeats through both routers": _retry,
    "repeats at the same time": _retry_concurrently,
    "agents restarted between": _restart_agents,
    "agents killed while it runs": _kill_agents_while_it_runs,
    "router killed while it runs": _kill_router_while_it_runs,
    "answer to the claim lost": _lose_store_answers,
    "several answers of the store lost": _lose_more_store_answers,
    "store outage before": _store_outage_before,
    "store outage while it runs": _store_outage_while_it_runs,
    "store outage and agents restarted": _store_outage_and_agent_restart,
    "server cuts before executing": _cut_before_execution,
    "server cuts after executing": _cut_after_execution,
    "server cuts within the answer": _cut_within_body,
    "connection to the agent cut": _cut_between_router_and_agent,
    "agents cut off while it runs": _isolate_agents,
    "connection to the agent held": _hold_between_router_and_agent,
}

PAUSES: dict[str, Fault] = {
    "agents frozen before": _pause_agents,
    "agents frozen while they claim": _pause_agents_while_they_claim,
    "agents frozen while it runs": _pause_agents_while_it_runs,
    "servers frozen": _pause_servers,
    "router frozen": _pause_router,
}


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Each case retries one request with the same idempotency key around a fault."""

    async def _run_cases(self, faults: dict[str, Fault]) -> None:
        async with Fleet(OPTIONS) as fleet:
            for name, fault in faults.items():
                with self.subTest(name):
                    case = FaultCase(fleet, name)
                    await fault(case)
                    await case.retry_not_run()
                    await self._check(case)

    async def _check(self, case: FaultCase) -> None:
        count = await case.executions()
        details = f"{count} executions, replies {case.replies}"
        self.assertLessEqual(count, 1, details)
        last = case.replies[-1]
        if last.is_correct:
            self.assertEqual(1, count, details)
        else:
            # After the fault only a first attempt of unknown outcome may block a retry.
            self.assertIn(last.execution_state, ("unknown", "completed"), details)
        for reply in case.replies:
            self.assertNotEqual(500, reply.status, details)
        if case.replies and all(reply.execution_state == "not_run" for reply in case.replies):
            self.assertEqual(0, count, details)

    async def test_retries_run_at_most_once(self) -> None:
        """Guards against a non-idempotent request, such as a payment, that is executed twice."""
        await self._run_cases(FAULTS)

    async def test_retries_run_at_most_once_after_pauses(self) -> None:
        """Guards against a resumed process that executes what was already answered or retried."""
        await self._run_cases(PAUSES)


class NotRunTest(unittest.IsolatedAsyncioTestCase):
    """Each case sends one call without an idempotency key into a fault."""

    async def test_calls_reported_not_run_are_never_executed(self) -> None:
        """Guards against a refusal as ``not_run`` of a call that was executed or still will be."""
        async with Fleet(OPTIONS) as fleet:
            for name, fault in {**FAULTS, **PAUSES}.items():
                with self.subTest(name):
                    case = FaultCase(fleet, f"unkeyed {name}")
                    case.key = ""
                    await fault(case)
                    await asyncio.sleep(0.5)
                    count = await case.executions()
                    details = f"{count} executions, replies {case.replies}"
                    may_have_run = [
                        reply for reply in case.replies if reply.execution_state != "not_run"
                    ]
                    for reply in may_have_run:
                        self.assertEqual(
                            "", reply.retry_after, "a call that may have run got Retry-After"
                        )
                    executed = await case.caller.executed_request_ids(SERVICE, case.body)
                    self.assertNotIn("", executed, "an execution without a request id")
                    for reply in case.replies:
                        if reply.execution_state == "not_run":
                            self.assertTrue(reply.request_id)
                            self.assertNotIn(reply.request_id, executed, details)
                    correct = [reply for reply in case.replies if reply.is_correct]
                    self.assertLessEqual(count, len(may_have_run), details)
                    self.assertGreaterEqual(count, len(correct), details)


if __name__ == "__main__":
    unittest.main()
