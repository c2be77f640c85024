"""Process-level tests: no request uses KV cache entries that are not valid for it.

Entries of a crashed engine, of another customer or adapter, and of older weights are not valid.

The engine stand-in reports the number of cached prompt tokens with each non-streaming response, and
its text depends on the weights version, so a mixture of versions shows in the text.
"""

import asyncio
import copy
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import aiohttp

from coltsfootfront_dev.checkingclient import CheckingClient, ModelCall, Reply
from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet

MODEL = "dossier-large"
ADAPTER = f"{MODEL}:toppers-ro"
CUSTOMER = "dossier-desk"
TARGETS = ("assessor-1", "assessor-3")
VERSIONS = frozenset({"v1", "v2"})
CAPACITY_BLOCKS = 40
PROMPT_BLOCKS = 6
# A stream of this length outlasts each fault of these tests.
LONG_STREAM_TOKENS = 250
# Keeps the workers' calls below the customer's rate limit of 200 requests a second even if every
# call is refused immediately.
WORKER_COUNT = 8
WORKER_PAUSE_S = 0.05
OPTIONS = FleetOptions(
    target_kinds=("engine", "kept_cache"),
    engine_arguments=("--step-ms=5", "--block-ms=20", f"--capacity-blocks={CAPACITY_BLOCKS}"),
    router_settings={"retry_floor_per_s": 50.0, "retry_ratio": 1.0},
    use_forwarders=True,
)


def make_two_engine_fleet(targets: tuple[str, ...] = TARGETS) -> Fleet:
    """Two engines of one owner, and a kept cache that the terms of their customers include."""
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


def make_prompt(name: str, blocks: int = PROMPT_BLOCKS) -> str:
    """A prompt of full cache blocks and a short rest; prompts of different names share no block."""
    return (name + ". ").ljust(4000, "x") * blocks + "question"


async def wait_until(condition: Callable[[], Awaitable[bool]], limit_s: float = 15.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


class CacheTestCase(unittest.IsolatedAsyncioTestCase):
    """Calls, fault injection and counters for tests of the KV cache."""

    fleet: Fleet
    caller: CheckingClient

    async def start_fleet(self, fleet: Fleet) -> None:
        self.fleet = await self.enterAsyncContext(fleet)
        self.caller = CheckingClient(fleet)
        # Engines would import kept blocks where the cases expect an empty cache.
        await self.set_kept_cache_available(False)

    async def set_kept_cache_available(self, available: bool) -> None:
        """Let the kept-cache stand-in serve requests or answer 503."""
        await self.fleet.control_stand_in(
            "standin-prompt-keep-1", {"status": 0 if available else 503}
        )

    def call(
        self,
        prompt: str,
        customer: str = CUSTOMER,
        model: str = MODEL,
        tokens: int = 4,
        stream: bool = False,
    ) -> ModelCall:
        """A call that may be answered with any weights version that the document has had."""
        call = self.caller.build_model_call("router-1", customer, model, prompt, tokens, stream)
        return replace(call, versions=VERSIONS)

    async def cached_tokens(self, call: ModelCall) -> int:
        """Send a non-streaming call that must succeed; returns its cached prompt tokens."""
        reply = await self.caller.call_model(call)
        self.assertTrue(reply.is_correct, reply)
        return int(reply.value["usage"]["prompt_tokens_details"]["cached_tokens"])

    async def sum_engine_counter(self, name: str) -> int:
        """Sum of a counter over all engines."""
        rows = [await self.fleet.stand_in_counters(process.name) for process in self.fleet.engines]
        return sum(int(row[name]) for row in rows)

    async def indexed_blocks(self) -> int:
        """Blocks that the agents' indexes list as cached, over all engines."""
        url = f"http://{self.fleet.processes_of_role('admin')[0].address}/v1/status"
        headers = {"Authorization": f"Bearer {self.fleet.operator_key}"}
        async with self.fleet.session.get(url, headers=headers) as response:
            rows = (await response.json())["processes"]
        return sum(int(row.get("cached_blocks", 0)) for row in rows)

    async def control(self, targets: tuple[str, ...], **values: object) -> None:
        """Set faults of some engine stand-ins."""
        for name in targets:
            await self.fleet.control_stand_in(self.fleet.stand_in_of(name).name, dict(values))

    async def is_serving(self) -> bool:
        """Whether all engines can be reached and a call succeeds."""
        try:
            await self.sum_engine_counter("requests")
        except aiohttp.ClientError:
            return False
        return (await self.caller.call_model(self.call("ready?"))).is_correct

    async def apply_versions(self, versions: dict[str, str], adapters: bool = True) -> None:
        """Apply a document with these weights versions and wait until the engines have loaded them.

        :param adapters: whether the document lists the adapter.
        """
        document = copy.deepcopy(self.fleet.document)
        for name, version in versions.items():
            document["targets"][name]["models"][0]["version"] = version
            document["targets"][name]["models"][0]["adapters"] = ["toppers-ro"] * adapters
        await self.fleet.apply(document)
        await wait_until(self._engines_match_document)

    async def _engines_match_document(self) -> bool:
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


class CacheTest(CacheTestCase):
    """Isolation of customers, engine crashes, lost cache events and kept blocks."""

    async def test_caches(self) -> None:
        """Runs the cases on one fleet; each says what it guards against."""
        await self.start_fleet(make_two_engine_fleet())
        for case in (
            self._isolate_customers,
            self._crash_and_forget,
            self._disturb_cache_events,
            self._change_weights_of_kept_blocks,
        ):
            with self.subTest(case.__name__):
                await case()

    async def _isolate_customers(self) -> None:
        """Guards against cached blocks that are shared between customers or adapters."""
        prompt = make_prompt("shared by customers")
        self.assertEqual(0, await self.cached_tokens(self.call(prompt)))
        await wait_until(lambda: self._is_cached(self.call(prompt)))
        for customer, model in (("sleep-panel", MODEL), (CUSTOMER, ADAPTER)):
            call = self.call(prompt, customer, model)
            self.assertEqual(0, await self.cached_tokens(call), f"{customer} {model}")
            await wait_until(lambda sent_call=call: self._is_cached(sent_call))  # type: ignore[misc]

    async def _is_cached(self, call: ModelCall) -> bool:
        # A call may be placed on the engine that has not seen the prompt yet.
        return await self.cached_tokens(call) > 0

    async def _crash_and_forget(self) -> None:
        """Guards against an index that still lists blocks of an engine restarted with no cache."""
        prompts = [make_prompt(f"before the crash {number}") for number in range(3)]
        for prompt in prompts:
            await self.cached_tokens(self.call(prompt))
        self.assertGreaterEqual(await self.indexed_blocks(), 3 * PROMPT_BLOCKS)
        running = [
            asyncio.create_task(
                self.caller.call_model(
                    self.call(prompt, tokens=LONG_STREAM_TOKENS, stream=number % 2 == 0)
                )
            )
            for number, prompt in enumerate(prompts * 2)
        ]
        await asyncio.sleep(0.2)
        await self.control((TARGETS[0],), crash={"refuse_s": 0.3})
        for reply in await asyncio.gather(*running):
            self.assertTrue(reply.is_correct, reply)
        await wait_until(self.is_serving)
        await self.control(TARGETS, crash={"refuse_s": 0.3})
        await wait_until(self.is_serving)

        async def is_forgotten() -> bool:
            return await self.indexed_blocks() == 0

        await wait_until(is_forgotten, limit_s=3.0)
        reused = await self.sum_engine_counter("blocks_reused")
        for prompt in prompts:
            self.assertEqual(0, await self.cached_tokens(self.call(prompt + "?")))
        self.assertEqual(reused, await self.sum_engine_counter("blocks_reused"))

    async def _disturb_cache_events(self) -> None:
        """Guards against wrong responses, or an unbounded index, when cache events go wrong.

        Events are delayed, lost and reordered, partly while an engine restarts.
        """
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
                self.call(make_prompt(f"evicts {index % 14}"), stream=index % 2 == 0)
                for index in range(40)
            ]
            replies = await asyncio.gather(*(self.caller.call_model(call) for call in calls))
            with self.subTest(fault=fault):
                self.assertEqual([], [reply for reply in replies if not reply.is_correct])
        await self.control(TARGETS, event_jitter_s=0.0, event_drop_share=0.0)
        await wait_until(self.is_serving)
        # The index lists no more than the engines can hold, whichever events were lost.
        self.assertLessEqual(await self.indexed_blocks(), int(2 * CAPACITY_BLOCKS * 1.1))

    async def _change_weights_of_kept_blocks(self) -> None:
        """Guards against an engine that imports kept blocks of older weights."""
        prompt = make_prompt("kept")
        await self.set_kept_cache_available(True)

        async def is_kept() -> bool:
            await self.cached_tokens(self.call(prompt))
            return int((await self.fleet.stand_in_counters("standin-prompt-keep-1"))["puts"]) > 0

        await wait_until(is_kept)
        await self._empty_caches()

        # Shows that the import works at all: within one version, kept blocks are imported.
        async def is_imported() -> bool:
            await self.cached_tokens(self.call(prompt))
            if await self.sum_engine_counter("blocks_imported"):
                return True
            await self._empty_caches()
            return False

        await wait_until(is_imported)
        await self.apply_versions(dict.fromkeys(TARGETS, "v2"))
        before = await self.sum_engine_counter("blocks_imported")
        self.assertEqual(0, await self.cached_tokens(self.call(prompt)))
        await self._empty_caches()
        self.assertEqual(before, await self.sum_engine_counter("blocks_imported"))

    async def _empty_caches(self) -> None:
        """Crash every engine, which loses its cache, and wait until all serve again."""
        await self.control(TARGETS, crash={"refuse_s": 0.1})
        await wait_until(self.is_serving)


class WeightsTest(CacheTestCase):
    """Changes of weights and adapters while requests are in progress."""

    async def test_weights(self) -> None:
        """Runs the cases on one fleet; each says what it guards against."""
        await self.start_fleet(make_two_engine_fleet())
        for case in (
            self._reload_adapter,
            self._change_one_engine,
            self._resume_streams,
            self._change_all_engines,
        ):
            with self.subTest(case.__name__):
                await case()

    async def _call_while(self, operation: Awaitable[None], model: str = MODEL) -> list[Reply]:
        """Send calls from several workers until an operation has finished."""
        change = asyncio.ensure_future(operation)
        replies: list[Reply] = []

        async def work(worker: int) -> None:
            number = 0
            while not change.done():
                number += 1
                prompt = make_prompt(f"worker {worker % 4}", 2)
                tokens = 20 + worker
                call = self.call(prompt, model=model, tokens=tokens, stream=number % 2 == 0)
                replies.append(await self.caller.call_model(call))
                await asyncio.sleep(WORKER_PAUSE_S)

        await asyncio.gather(*(work(worker) for worker in range(WORKER_COUNT)))
        await change
        return replies

    def _check_replies(self, replies: list[Reply]) -> None:
        """Each response is complete and of one version, or an explicit error; some are correct."""
        wrong = [
            reply
            for reply in replies
            if not reply.is_correct
            and not (reply.status >= 400 and reply.error_kind and reply.execution_state)
            and not reply.problem.startswith("error in the stream")
        ]
        self.assertEqual([], wrong)
        self.assertTrue(any(reply.is_correct for reply in replies))

    async def _reload_adapter(self) -> None:
        """Guards against responses without the adapter, and blocks from before its reload."""
        call = self.call(make_prompt("adapter"), model=ADAPTER)
        await self.cached_tokens(call)

        async def change() -> None:
            await self.apply_versions({TARGETS[0]: "v1"}, adapters=False)
            await self.apply_versions(dict.fromkeys(TARGETS, "v1"), adapters=False)
            await self.apply_versions(dict.fromkeys(TARGETS, "v1"))

        self._check_replies(await self._call_while(change(), ADAPTER))
        await wait_until(self.is_serving)
        self.assertEqual(0, await self.cached_tokens(call))

    async def _change_one_engine(self) -> None:
        """Guards against responses that mix versions while one engine reloads and crashes."""
        await self.cached_tokens(self.call(make_prompt("of old weights")))

        async def change() -> None:
            await self.apply_versions({TARGETS[0]: "v2"})
            await self.control((TARGETS[0],), crash={"refuse_s": 0.2})

        self._check_replies(await self._call_while(change()))
        await wait_until(self.is_serving)

    async def _change_all_engines(self) -> None:
        """Guards against responses of the older version, or from its blocks, after the change."""

        async def change() -> None:
            await self.apply_versions(dict.fromkeys(TARGETS, "v2"))
            self.fleet.forwarders[f"agent-{TARGETS[1]}"].abort_connections()

        self._check_replies(await self._call_while(change()))
        await wait_until(self.is_serving)
        call = replace(self.call(make_prompt("of old weights")), versions=frozenset({"v2"}))
        self.assertEqual(0, await self.cached_tokens(call))

    async def _resume_streams(self) -> None:
        """Guards against a stream that resumes with other weights after its engine has crashed."""
        for target in TARGETS:
            calls = [
                self.call(
                    f"long {target} {number}", tokens=LONG_STREAM_TOKENS, stream=number % 3 > 0
                )
                for number in range(12)
            ]
            before = await self.sum_engine_counter("tokens_generated")
            running = [asyncio.create_task(self.caller.call_model(call)) for call in calls]

            async def is_generating(before: int = before) -> bool:
                return await self.sum_engine_counter("tokens_generated") > before + 200

            await wait_until(is_generating)
            await self.control((target,), crash={"refuse_s": 0.3})
            replies = await asyncio.gather(*running)
            self._check_replies(replies)
            self.assertFalse(
                all(reply.is_correct for reply in replies), "no stream was interrupted"
            )
            await wait_until(self.is_serving)


if __name__ == "__main__":
    unittest.main()
