"""Process-level tests: no request relies on cache entries that are not its own.

These are the entries of a dead engine, another customer or older weights.

The engine stand-in reports with each whole answer how many tokens it took from its cache, and
its text depends on the weights version, so a mixture of versions is seen in the text.
"""

import asyncio
import copy
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import aiohttp

from coltsfootfront_dev.checkingclient import CheckingClient, ModelCall, Reply
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.deployment import FleetOptions

MODEL = "dossier-large"
ADAPTER = f"{MODEL}:toppers-ro"
CUSTOMER = "dossier-desk"
TARGETS = ("assessor-1", "assessor-3")
VERSIONS = frozenset({"v1", "v2"})
CAPACITY_BLOCKS = 40
PROMPT_BLOCKS = 6
# A stream of this many tokens takes longer than a fault of these tests lasts.
LONG_TOKENS = 250
# With this pause the workers' calls are fewer than the customer's request rate, 200 a second, even
# where every call is refused at once.
WORKERS = 8
WORKER_PAUSE_S = 0.05
OPTIONS = FleetOptions(
    target_kinds=("engine", "kept_cache"),
    engine_arguments=("--step-ms=5", "--block-ms=20", f"--capacity-blocks={CAPACITY_BLOCKS}"),
    router_settings={"retry_floor_per_s": 50.0, "retry_ratio": 1.0},
    use_forwarders=True,
)


def small_fleet(targets: tuple[str, ...] = TARGETS) -> Fleet:
    """Two engines of one owner and a kept cache that may hold blocks of its customers."""
    fleet = Fleet(OPTIONS)
    document = fleet.document
    document["targets"] = {
        name: target
        for name, target in document["targets"].items()
        if name in (*targets, "prompt-keep-1")
    }
    for terms in document["terms"].values():
        terms["targets"] = [name for name in terms["targets"] if name in document["targets"]]
    document["terms"] = {name: item for name, item in document["terms"].items() if item["targets"]}
    document["terms"]["assessment-dossiers"]["targets"].append("prompt-keep-1")
    return fleet


def prompt_of(name: str, blocks: int = PROMPT_BLOCKS) -> str:
    """A prompt of full blocks and a short rest that no other prompt shares."""
    return (name + ". ").ljust(4000, "x") * blocks + "question"


async def until(holds: Callable[[], Awaitable[bool]], limit_s: float = 15.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not await holds():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


class CacheCase(unittest.IsolatedAsyncioTestCase):
    """Calls and readings that the cases share."""

    fleet: Fleet
    caller: CheckingClient

    async def begin(self, fleet: Fleet) -> None:
        """Start a fleet for one test."""
        self.fleet = await self.enterAsyncContext(fleet)
        self.caller = CheckingClient(fleet)
        # Kept blocks would be taken in where the cases expect an empty cache.
        await self.keep(False)

    async def keep(self, works: bool) -> None:
        """Let the kept-cache service work or fail."""
        await self.fleet.control_stand_in("standin-prompt-keep-1", {"status": 0 if works else 503})

    def call(
        self,
        prompt: str,
        customer: str = CUSTOMER,
        model: str = MODEL,
        tokens: int = 4,
        stream: bool = False,
    ) -> ModelCall:
        """A call whose answer may come from any version that the document has had."""
        call = self.caller.build_model_call("router-1", customer, model, prompt, tokens, stream)
        return replace(call, versions=VERSIONS)

    async def cached(self, call: ModelCall) -> int:
        """Send a whole-answer call that must succeed; returns the tokens taken from the cache."""
        reply = await self.caller.call_model(call)
        self.assertTrue(reply.is_correct, reply)
        return int(reply.value["usage"]["prompt_tokens_details"]["cached_tokens"])

    async def count(self, name: str) -> int:
        """Sum of a counter over all engines."""
        rows = [await self.fleet.stand_in_counters(process.name) for process in self.fleet.engines]
        return sum(int(row[name]) for row in rows)

    async def believed(self) -> int:
        """Blocks that the agents believe to be cached, over all engines."""
        url = f"http://{self.fleet.of_role('admin')[0].address}/v1/status"
        headers = {"Authorization": f"Bearer {self.fleet.operator_key}"}
        async with self.fleet.session.get(url, headers=headers) as response:
            rows = (await response.json())["processes"]
        return sum(int(row.get("cached_blocks", 0)) for row in rows)

    async def control(self, targets: tuple[str, ...], **values: object) -> None:
        """Switch a fault of some engines."""
        for name in targets:
            await self.fleet.control_stand_in(self.fleet.stand_in_of(name).name, dict(values))

    async def is_served(self) -> bool:
        """Whether all engines can be reached and a call is answered."""
        try:
            await self.count("requests")
        except aiohttp.ClientError:
            return False
        return (await self.caller.call_model(self.call("ready?"))).is_correct

    async def load(self, versions: dict[str, str], adapters: bool = True) -> None:
        """Apply a document with other versions or without adapters, and wait for the engines."""
        document = copy.deepcopy(self.fleet.document)
        for name, version in versions.items():
            document["targets"][name]["models"][0]["version"] = version
            document["targets"][name]["models"][0]["adapters"] = ["toppers-ro"] * adapters
        await self.fleet.apply(document)
        await until(self._is_loaded)

    async def _is_loaded(self) -> bool:
        for name, target in self.fleet.document["targets"].items():
            wanted: dict[str, Any] = next(iter(target.get("models", [])), {})
            if not wanted:
                continue
            url = f"http://{self.fleet.stand_in_of(name).address}/engine/state"
            async with self.fleet.session.get(url) as response:
                loaded = (await response.json())["models"][MODEL]
            if loaded != {"version": wanted["version"], "adapters": wanted["adapters"]}:
                return False
        return True


class CacheTest(CacheCase):
    """Caches of dead engines and of other customers."""

    async def test_caches(self) -> None:
        """Runs the cases on one fleet; each says what it guards against."""
        await self.begin(small_fleet())
        for case in (self._customers, self._crash, self._events, self._kept):
            with self.subTest(case.__name__):
                await case()

    async def _customers(self) -> None:
        """Guards against blocks that are shared between customers or adapters."""
        prompt = prompt_of("shared by customers")
        self.assertEqual(0, await self.cached(self.call(prompt)))
        await until(lambda: self._is_cached(self.call(prompt)))
        for customer, model in (("sleep-panel", MODEL), (CUSTOMER, ADAPTER)):
            call = self.call(prompt, customer, model)
            self.assertEqual(0, await self.cached(call), f"{customer} {model}")
            await until(lambda asked=call: self._is_cached(asked))  # type: ignore[misc]

    async def _is_cached(self, call: ModelCall) -> bool:
        # A call may be placed on the engine that has not seen the prompt yet.
        return await self.cached(call) > 0

    async def _crash(self) -> None:
        """Guards against a belief in the cache of an engine that came back empty."""
        prompts = [prompt_of(f"before the crash {number}") for number in range(3)]
        for prompt in prompts:
            await self.cached(self.call(prompt))
        self.assertGreaterEqual(await self.believed(), 3 * PROMPT_BLOCKS)
        running = [
            asyncio.create_task(
                self.caller.call_model(self.call(prompt, tokens=LONG_TOKENS, stream=number % 2 == 0))
            )
            for number, prompt in enumerate(prompts * 2)
        ]
        await asyncio.sleep(0.2)
        await self.control((TARGETS[0],), crash={"refuse_s": 0.3})
        for reply in await asyncio.gather(*running):
            self.assertTrue(reply.is_correct, reply)
        await until(self.is_served)
        await self.control(TARGETS, crash={"refuse_s": 0.3})
        await until(self.is_served)

        async def is_forgotten() -> bool:
            return await self.believed() == 0

        await until(is_forgotten, limit_s=3.0)
        reused = await self.count("blocks_reused")
        for prompt in prompts:
            self.assertEqual(0, await self.cached(self.call(prompt + "?")))
        self.assertEqual(reused, await self.count("blocks_reused"))

    async def _events(self) -> None:
        """Guards against answers or an index that late, lost and reordered events spoil."""
        faults: list[dict[str, object]] = [
            {"event_delay_s": 1.0},
            {"event_delay_s": 0.05, "event_jitter_s": 0.5},
            {"event_jitter_s": 0.0, "event_drop_share": 0.6},
            {"event_jitter_s": 0.3, "event_drop_share": 0.3},
        ]
        for number, fault in enumerate(faults):
            await self.control(TARGETS, **fault)
            if number == 2:
                await self.control((TARGETS[1],), crash={"refuse_s": 0.2})
            calls = [
                self.call(prompt_of(f"evicts {index % 14}"), stream=index % 2 == 0)
                for index in range(40)
            ]
            replies = await asyncio.gather(*(self.caller.call_model(call) for call in calls))
            with self.subTest(fault=fault):
                self.assertEqual([], [reply for reply in replies if not reply.is_correct])
        await self.control(TARGETS, event_jitter_s=0.0, event_drop_share=0.0)
        await until(self.is_served)
        # The index is bounded by what an engine can hold, whatever was lost.
        self.assertLessEqual(await self.believed(), int(2 * CAPACITY_BLOCKS * 1.1))

    async def _kept(self) -> None:
        """Guards against kept blocks of older weights that an engine takes in."""
        prompt = prompt_of("kept")
        await self.keep(True)

        async def is_kept() -> bool:
            await self.cached(self.call(prompt))
            return int((await self.fleet.stand_in_counters("standin-prompt-keep-1"))["puts"]) > 0

        await until(is_kept)
        await self._lose_caches()

        # Within one version kept blocks are taken in, or the rest would show nothing.
        async def is_imported() -> bool:
            await self.cached(self.call(prompt))
            if await self.count("blocks_imported"):
                return True
            await self._lose_caches()
            return False

        await until(is_imported)
        await self.load(dict.fromkeys(TARGETS, "v2"))
        before = await self.count("blocks_imported")
        self.assertEqual(0, await self.cached(self.call(prompt)))
        await self._lose_caches()
        self.assertEqual(before, await self.count("blocks_imported"))

    async def _lose_caches(self) -> None:
        await self.control(TARGETS, crash={"refuse_s": 0.1})
        await until(self.is_served)


class WeightsTest(CacheCase):
    """Changes of weights and adapters while requests run."""

    async def test_weights(self) -> None:
        """Runs the cases on one fleet; each says what it guards against."""
        await self.begin(small_fleet())
        for case in (self._adapter, self._change_one, self._resume, self._change_all):
            with self.subTest(case.__name__):
                await case()

    async def _run_while(self, fault: Awaitable[None], model: str = MODEL) -> list[Reply]:
        """Keep calls running until a change is over."""
        change = asyncio.ensure_future(fault)
        replies: list[Reply] = []

        async def work(worker: int) -> None:
            number = 0
            while not change.done():
                number += 1
                prompt = prompt_of(f"worker {worker % 4}", 2)
                tokens = 20 + worker
                call = self.call(prompt, model=model, tokens=tokens, stream=number % 2 == 0)
                replies.append(await self.caller.call_model(call))
                await asyncio.sleep(WORKER_PAUSE_S)

        await asyncio.gather(*(work(worker) for worker in range(WORKERS)))
        await change
        return replies

    def _check(self, replies: list[Reply]) -> None:
        """Each answer is that of one version as a whole, or an explicit error; some are right."""
        wrong = [
            reply
            for reply in replies
            if not reply.is_correct
            and not (reply.status >= 400 and reply.error_kind and reply.execution_state)
            and not reply.problem.startswith("error in the stream")
        ]
        self.assertEqual([], wrong)
        self.assertTrue(any(reply.is_correct for reply in replies))

    async def _adapter(self) -> None:
        """Guards against answers without the adapter, and against blocks of an unloaded one."""
        call = self.call(prompt_of("adapter"), model=ADAPTER)
        await self.cached(call)

        async def change() -> None:
            await self.load({TARGETS[0]: "v1"}, adapters=False)
            await self.load(dict.fromkeys(TARGETS, "v1"), adapters=False)
            await self.load(dict.fromkeys(TARGETS, "v1"))

        self._check(await self._run_while(change(), ADAPTER))
        await until(self.is_served)
        self.assertEqual(0, await self.cached(call))

    async def _change_one(self) -> None:
        """Guards against answers that mix two versions while one engine changes and crashes."""
        await self.cached(self.call(prompt_of("of old weights")))

        async def change() -> None:
            await self.load({TARGETS[0]: "v2"})
            await self.control((TARGETS[0],), crash={"refuse_s": 0.2})

        self._check(await self._run_while(change()))
        await until(self.is_served)

    async def _change_all(self) -> None:
        """Guards against answers of the older version, or out of its blocks, after the change."""

        async def change() -> None:
            await self.load(dict.fromkeys(TARGETS, "v2"))
            self.fleet.forwarders[f"agent-{TARGETS[1]}"].cut()

        self._check(await self._run_while(change()))
        await until(self.is_served)
        call = replace(self.call(prompt_of("of old weights")), versions=frozenset({"v2"}))
        self.assertEqual(0, await self.cached(call))

    async def _resume(self) -> None:
        """Guards against a stream that goes on with other weights after its engine has died."""
        for target in TARGETS:
            calls = [
                self.call(f"long {target} {number}", tokens=LONG_TOKENS, stream=number % 3 > 0)
                for number in range(12)
            ]
            before = await self.count("tokens_generated")
            running = [asyncio.create_task(self.caller.call_model(call)) for call in calls]

            async def is_generating(before: int = before) -> bool:
                return await self.count("tokens_generated") > before + 200

            await until(is_generating)
            await self.control((target,), crash={"refuse_s": 0.3})
            replies = await asyncio.gather(*running)
            self._check(replies)
            self.assertFalse(all(reply.is_correct for reply in replies), "no stream was cut off")
            await until(self.is_served)


if __name__ == "__main__":
    unittest.main()
