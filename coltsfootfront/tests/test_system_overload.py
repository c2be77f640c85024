"""Process-level tests: fairness under overload, bounded retries, and herds of restarts."""

import asyncio
import time
import unittest

from coltsfootfront.common.retries import WINDOW_S
from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.deployment import FleetOptions

LARGE, SMALL = "dossier-desk", "foam-lab"
MODEL = "dossier-large"
ENGINES_ONLY = FleetOptions(target_kinds=("engine",))
# The target's bound on the first token for 95 in 100 requests.
FIRST_TOKEN_LIMIT_S = 0.7
# A refusal needs no more than some probes and one answer of an agent.
REFUSAL_LIMIT_S = 1.0
# Ten times what six engines of eight slots give to one of eight customers: each call takes about
# 0.6 s of a slot, so that they serve some 75 a second. The callers ignore Retry-After.
FLOOD_CALLERS = 120
FLOOD_TOKENS = 60
FLOOD_PAUSE_S = 0.5
SMALL_REQUESTS = 60
# The router's settings retry_ratio and retry_floor_per_s; the floor may be used up at once for the
# time over which requests are counted.
RETRY_RATIO = 0.2
RETRY_FLOOR_PER_S = 1.0
# Reads and writes a second that the platform's key-value service takes.
STORE_CALLS_PER_S = 2000
ROUTERS_AT_FULL_SIZE = 380


class Timed:
    """A reply and how long it took."""

    __slots__ = ("reply", "took_s")

    def __init__(self, reply: Reply, took_s: float) -> None:
        self.reply = reply
        self.took_s = took_s


async def _timed(caller: CheckingClient, router: str, customer: str, prompt: str, tokens: int) -> Timed:
    start_s = time.monotonic()
    # Unstreamed, so that reading thousands of events does not delay this process's own clock.
    call = caller.build_model_call(router, customer, MODEL, prompt, tokens, stream=False)
    reply = await caller.call_model(call)
    return Timed(reply, time.monotonic() - start_s)


def _percentile_s(results: list[Timed], share: float) -> float:
    times = sorted(result.took_s for result in results)
    return times[min(int(len(times) * share), len(times) - 1)]


class FairnessTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_flood_of_one_customer_does_not_move_another_ones_tail(self) -> None:
        """Guards against a large customer that fills queues and slots of all targets."""
        # The flood waits longer than that in the queues, so part of it must be refused.
        options = FleetOptions(target_kinds=("engine",), router_settings={"request_timeout_s": 1.0})
        async with Fleet(options) as fleet:
            caller = CheckingClient(fleet)
            alone = await self._small_requests(caller, "alone")
            stop = asyncio.Event()
            flood = [
                asyncio.create_task(self._flood(caller, number, stop))
                for number in range(FLOOD_CALLERS)
            ]
            await asyncio.sleep(1.5)
            crowded = await self._small_requests(caller, "crowded")
            stop.set()
            flooded = [result for results in await asyncio.gather(*flood) for result in results]
        self.assertEqual([], [item.reply for item in alone + crowded if not item.reply.is_correct])
        shown = f"alone {_percentile_s(alone, 0.95):.3f} s"
        self.assertLess(_percentile_s(crowded, 0.95), FIRST_TOKEN_LIMIT_S, shown)
        refused = [item for item in flooded if not item.reply.is_correct]
        self.assertGreater(len(refused), FLOOD_CALLERS, "the flood was no overload")
        for item in refused:
            self.assertIn(item.reply.status, (429, 503), item.reply)
            self.assertEqual("not_run", item.reply.execution_state, item.reply)
            self.assertGreater(float(item.reply.retry_after), 0, item.reply)
        self.assertLess(_percentile_s(refused, 0.95), REFUSAL_LIMIT_S)

    async def _small_requests(self, caller: CheckingClient, name: str) -> list[Timed]:
        results: list[Timed] = []
        for number in range(SMALL_REQUESTS):
            router = f"router-{number % 2 + 1}"
            # One token, so that the whole answer takes as long as the first token.
            results.append(await _timed(caller, router, SMALL, f"{name} {number}", 1))
            await asyncio.sleep(0.05)
        return results

    async def _flood(self, caller: CheckingClient, number: int, stop: asyncio.Event) -> list[Timed]:
        results: list[Timed] = []
        while not stop.is_set():
            router = f"router-{number % 2 + 1}"
            prompt = f"flood {number} {len(results)}"
            results.append(await _timed(caller, router, LARGE, prompt, FLOOD_TOKENS))
            await asyncio.sleep(FLOOD_PAUSE_S)
        return results


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def test_dead_targets_do_not_multiply_the_load(self) -> None:
        """Guards against retries that turn the loss of a data centre into an overload."""
        for dead in (3, 6):
            with self.subTest(dead=dead):
                await self._lose_targets(dead)

    async def _lose_targets(self, dead: int) -> None:
        async with Fleet(ENGINES_ONLY) as fleet:
            caller = CheckingClient(fleet)
            before = await self._retries(fleet)
            start_s = time.monotonic()
            for agent in fleet.agents[:dead]:
                await fleet.kill(agent.name)
            results: list[Timed] = []
            for number in range(10):
                calls = (
                    _timed(caller, f"router-{n % 2 + 1}", LARGE, f"{number} {n}", 4)
                    for n in range(20)
                )
                results += await asyncio.gather(*calls)
            took_s = time.monotonic() - start_s
            retries = await self._retries(fleet) - before
            floor = RETRY_FLOOR_PER_S * (took_s + WINDOW_S) * len(fleet.routers)
        allowed = RETRY_RATIO * len(results) + floor
        self.assertLessEqual(retries, allowed, f"{retries} retries in {took_s:.1f} s")
        wrong = [item for item in results if not item.reply.is_correct]
        if dead < len(fleet.agents):
            self.assertEqual([], [item.reply for item in wrong])
        for item in wrong:
            self.assertIn(item.reply.status, (502, 503), item.reply)
            self.assertEqual("not_run", item.reply.execution_state, item.reply)
            self.assertNotEqual("", item.reply.retry_after, item.reply)
            self.assertLess(item.took_s, 2 * REFUSAL_LIMIT_S)

    async def _retries(self, fleet: Fleet) -> float:
        total = 0.0
        for router in fleet.routers:
            async with fleet.session.get(f"http://{router.address}/metrics") as response:
                for line in (await response.text()).splitlines():
                    if line.startswith("coltsfootfront_retries_total{"):
                        total += float(line.rsplit(" ", 1)[1])
        return total


class HerdTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_herd_of_restarts_spares_the_store(self) -> None:
        """Guards against routers that all turn to the store when they restart or it returns."""
        options = FleetOptions(routers=8, target_kinds=("service",))
        async with Fleet(options) as fleet:
            cases = {"routers restart": self._restart_routers, "store returns": self._store_returns}
            for name, fault in cases.items():
                with self.subTest(name):
                    before = await self._store_calls(fleet)
                    start_s = time.monotonic()
                    await fault(fleet)
                    await fleet.wait_ready()
                    await asyncio.sleep(3.0)
                    calls = await self._store_calls(fleet) - before
                    rate = calls / (time.monotonic() - start_s)
                    scaled = rate / len(fleet.routers) * ROUTERS_AT_FULL_SIZE
                    self.assertLess(scaled, STORE_CALLS_PER_S / 2, f"{calls} calls")

    async def _restart_routers(self, fleet: Fleet) -> None:
        await asyncio.gather(*(fleet.restart(router.name, wait=False) for router in fleet.routers))

    async def _store_returns(self, fleet: Fleet) -> None:
        await fleet.control_stand_in("store", {"outage": True})
        await asyncio.sleep(2.0)
        await fleet.control_stand_in("store", {"outage": False})

    async def _store_calls(self, fleet: Fleet) -> int:
        counters = await fleet.stand_in_counters("store")
        return sum(int(count) for count in counters["calls"].values())


if __name__ == "__main__":
    unittest.main()
