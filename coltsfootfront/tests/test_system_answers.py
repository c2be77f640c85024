"""Process-level tests: each caller gets the complete response to its own request.

Concurrent calls share the few connections between one router and the agents while a fault injector
stalls and aborts these connections. Every response is a function of its request, so one that is
crossed, mixed or late shows in its bytes.
"""

import asyncio
import hashlib
import random
import unittest

from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet

SERVICE = "trials-registry"
MODELS = ("dossier-large", "label-small")
CUSTOMERS = ("dossier-desk", "sleep-panel", "factory-gate", "consumer-line", "foam-lab", "archive")
CALL_COUNT = 300
# The queues hold fewer than CALL_COUNT requests and refuse more, so concurrency is limited.
MAX_CONCURRENT_CALLS = 60
MAX_ATTEMPTS = 40
OPTIONS = FleetOptions(
    target_kinds=("engine", "service"),
    engine_arguments=("--step-ms=5",),
    router_settings={"retry_floor_per_s": 100.0, "retry_ratio": 1.0},
    use_forwarders=True,
)


class OwnAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Concurrent calls of several customers through one router."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(Fleet(OPTIONS))
        self.caller = CheckingClient(self.fleet)
        self.semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self.refused = 0

    async def test_each_caller_gets_its_own_answer(self) -> None:
        """Guards against responses that are misrouted, truncated or duplicated."""
        fault_injector = asyncio.create_task(self._inject_faults())
        try:
            call_faults = await asyncio.gather(
                *(self._call_with_retries(number) for number in range(CALL_COUNT))
            )
        finally:
            fault_injector.cancel()
        self.assertEqual([], [fault for fault in call_faults if fault])
        self.assertLess(self.refused, CALL_COUNT)

    async def _inject_faults(self) -> None:
        """Stall and abort random connections to agents and plain services until cancelled."""
        generator = random.Random(1)
        agents = [self.fleet.forwarders[process.name] for process in self.fleet.agents]
        servers = [
            self.fleet.forwarders[process.name]
            for process in self.fleet.processes_of_role("service-standin")
        ]
        for process in self.fleet.processes_of_role("service-standin"):
            await self.fleet.control_stand_in(
                process.name, {"delay_after_s": 0.05, "padding_bytes": 30_000}
            )
        while True:
            for forwarder in generator.sample(agents, 3):
                forwarder.pause()
            await asyncio.sleep(0.1)
            for forwarder in agents:
                forwarder.resume()
            for forwarder in generator.sample(agents, 3):
                forwarder.abort_connections()
            generator.choice(servers).abort_connections()
            await asyncio.sleep(0.1)

    async def _call_with_retries(self, number: int) -> str:
        """Make one call and retry it while it is refused or its connection is lost.

        :returns: what was wrong with a response that looked complete, or that every attempt
            failed; empty if the response was correct.
        """
        async with self.semaphore:
            for _ in range(MAX_ATTEMPTS):
                reply, fault = await (
                    self._call_service(number) if number % 3 == 0 else self._call_model(number)
                )
                if fault or reply.is_correct:
                    return fault
                self.refused += 1
                await asyncio.sleep(0.1)
        return f"call {number} was not answered: {reply}"

    async def _call_model(self, number: int) -> tuple[Reply, str]:
        """Make a model call; model, customer, streaming, API and length vary independently.

        :returns: the reply, and what was wrong with it if it looked complete.
        """
        model, customer = MODELS[number % 2], CUSTOMERS[number % 4]
        if model == "dossier-large":
            customer = CUSTOMERS[number // 2 % 3]
        prompt = f"question {number} of {customer}" + " and more" * (number % 7 * 300)
        call = self.caller.build_model_call(
            "router-1",
            customer,
            model,
            prompt,
            10 + number % 40,
            stream=number % 4 < 2,
            chat=number % 5 < 2,
        )
        reply = await self.caller.call_model(call)
        looks_complete = reply.status == 200 and not reply.problem.startswith("error in the stream")
        return reply, f"call {number}: {reply.problem}" if looks_complete and reply.problem else ""

    async def _call_service(self, number: int) -> tuple[Reply, str]:
        """Call the plain service, whose stand-in echoes the request.

        :returns: the reply, and the echo if it is not that of this request.
        """
        body, customer = f"filing {number}".encode() * 50, CUSTOMERS[number // 3 % len(CUSTOMERS)]
        path = f"v1/search?number={number}"
        reply = await self.caller.call_service("router-1", customer, SERVICE, path, body)
        if not reply.is_correct:
            return reply, ""
        echoed = (reply.value["path"], reply.value["body_sha256"], len(reply.value["padding"]))
        expected = (f"/{path}", hashlib.sha256(body).hexdigest(), 30_000)
        return reply, "" if echoed == expected else f"call {number}: {echoed}"


if __name__ == "__main__":
    unittest.main()
