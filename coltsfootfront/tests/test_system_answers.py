"""Process-level tests: each caller gets the whole answer to its own request.

Some hundred calls share the few connections between one router and the agents, while those
connections are held and cut. Every answer follows from its request, so a crossed, mixed or
delayed answer is seen in its bytes.
"""

import asyncio
import hashlib
import random
import unittest

from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.deployment import FleetOptions

SERVICE = "trials-registry"
MODELS = ("dossier-large", "label-small")
CUSTOMERS = ("dossier-desk", "sleep-panel", "factory-gate", "consumer-line", "foam-lab", "archive")
CALLS = 300
# The queues hold fewer requests than this, and the calls are to be answered, not refused.
AT_ONCE = 60
ATTEMPTS = 40
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
        self.limit = asyncio.Semaphore(AT_ONCE)
        self.refused = 0

    async def test_each_caller_gets_its_own_answer(self) -> None:
        """Guards against answers that reach another caller, come in parts, or come twice."""
        faults = asyncio.create_task(self._disturb())
        try:
            faulty = await asyncio.gather(*(self._call(number) for number in range(CALLS)))
        finally:
            faults.cancel()
        self.assertEqual([], [fault for fault in faulty if fault])
        self.assertLess(self.refused, CALLS)

    async def _disturb(self) -> None:
        """Delay and cut the connections to the agents, and those to their targets, in turn."""
        generator = random.Random(1)
        agents = [self.fleet.forwarders[process.name] for process in self.fleet.agents]
        servers = [
            self.fleet.forwarders[process.name] for process in self.fleet.of_role("service-standin")
        ]
        for process in self.fleet.of_role("service-standin"):
            await self.fleet.control_stand_in(process.name, {"delay_after_s": 0.05, "padding_bytes": 30_000})
        while True:
            for forwarder in generator.sample(agents, 3):
                forwarder.hold()
            await asyncio.sleep(0.1)
            for forwarder in agents:
                forwarder.release()
            for forwarder in generator.sample(agents, 3):
                forwarder.cut()
            generator.choice(servers).cut()
            await asyncio.sleep(0.1)

    async def _call(self, number: int) -> str:
        """Make one call, again when it is refused or breaks off.

        :returns: what was wrong with an answer that looked complete, or an empty string.
        """
        async with self.limit:
            for _ in range(ATTEMPTS):
                reply, fault = await (
                    self._call_service(number) if number % 3 == 0 else self._call_model(number)
                )
                if fault or reply.is_correct:
                    return fault
                self.refused += 1
                await asyncio.sleep(0.1)
        return f"call {number} was not answered: {reply}"

    async def _call_model(self, number: int) -> tuple[Reply, str]:
        """Models, customers, streams, chats and lengths vary independently."""
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
        """The server echoes what it got."""
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
