"""Process-level tests: a router that restarts serves at once, with no cold start."""

import asyncio
import time
import unittest

from coltsfootfront_dev.checkingclient import CheckingClient
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.adminclient import AdminClient
from coltsfootfront_dev.deployment import FleetOptions

CUSTOMER = "dossier-desk"
MODEL = "dossier-large"
BLOCK_BYTES = 4000
BLOCKS = 6
# Start of the interpreter and imports take about 0.6 s of it on one machine for all processes;
# the rest is the time to get the configuration from peers or agents.
FIRST_ANSWER_LIMIT_S = 5.0


def _prompt(name: str) -> str:
    return (f"Dossier {name}. " + "The cover was washed five times. " * 1000)[
        : BLOCKS * BLOCK_BYTES
    ] + " Summarise."


class RouterRestartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # A probe that is late on a busy machine leads to a placement by rank alone, as designed;
        # the restarted router shall place by the agents' answers here.
        options = FleetOptions(
            target_kinds=("engine",), use_forwarders=True, router_settings={"probe_timeout_s": 1.0}
        )
        self.fleet = await Fleet(options).__aenter__()
        self.addAsyncCleanup(self.fleet.stop)
        self.caller = CheckingClient(self.fleet)
        self.operator = AdminClient(self.fleet)

    async def _cached_tokens(self, router: str, name: str) -> int:
        call = self.caller.build_model_call(router, CUSTOMER, MODEL, _prompt(name), 4, stream=False)
        reply = await self.caller.call_model(call)
        self.assertTrue(reply.is_correct, reply)
        details = reply.value["usage"]["prompt_tokens_details"]
        return int(details["cached_tokens"])

    async def _first_answer_s(self, router: str, name: str) -> float:
        """Ask again and again until the first answer that is not a refusal; it must be right."""
        start_s = time.monotonic()
        while time.monotonic() - start_s < FIRST_ANSWER_LIMIT_S:
            call = self.caller.build_model_call(router, CUSTOMER, MODEL, _prompt(name), 4)
            reply = await self.caller.call_model(call)
            if reply.is_correct:
                return time.monotonic() - start_s
            self.assertIn(reply.status, (0, 503), reply)
            if reply.status == 503:
                self.assertEqual("not_run", reply.execution_state, reply)
            await asyncio.sleep(0.02)
        raise AssertionError(f"{router} gave no answer: {reply}")

    async def test_killed_routers_serve_again_at_once(self) -> None:
        """Guards against a router that needs the store or a warm-up before its first answer."""
        change = self.operator.document_with_contact("newest")
        accepted = await self.operator.apply(change, self.fleet.revision)
        self.fleet.revision = accepted.revision
        await self.operator.wait_until_active(accepted.revision, 12.0)
        cases: list[tuple[str, list[str], bool, bool]] = [
            ("one router", ["router-1"], False, False),
            ("all routers", ["router-1", "router-2"], False, False),
            ("one router, store down", ["router-1"], True, False),
            ("all routers, store down", ["router-1", "router-2"], True, False),
            ("all routers, store and VM list down", ["router-1", "router-2"], True, True),
        ]
        for name, routers, store_down, vms_down in cases:
            with self.subTest(name):
                await self._cached_tokens("router-2", name)
                await self.fleet.control_stand_in("store", {"outage": store_down})
                if vms_down:
                    await self.fleet.kill("vms")
                await asyncio.gather(*(self.fleet.restart(each, wait=False) for each in routers))
                times = await asyncio.gather(
                    *(self._first_answer_s(each, name) for each in routers)
                )
                self.assertLess(max(times), FIRST_ANSWER_LIMIT_S)
                for each in routers:
                    running = await self.fleet.revision_of(self.fleet.processes[each])
                    self.assertEqual(accepted.revision, running)
                await self.fleet.control_stand_in("store", {"outage": False})

    async def test_a_restarted_router_finds_the_cached_prefix(self) -> None:
        """Guards against placement that depends on what a router learned before its restart."""
        for number in range(6):
            with self.subTest(number):
                name = f"restart {number}"
                self.assertEqual(0, await self._cached_tokens("router-1", name))
                await self.fleet.restart("router-1")
                cached = await self._cached_tokens("router-1", name)
                self.assertEqual(BLOCKS * BLOCK_BYTES // 4, cached)


if __name__ == "__main__":
    unittest.main()
