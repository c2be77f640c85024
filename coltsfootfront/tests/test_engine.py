"""Contract tests of engine clients, run for the OpenAI-compatible client on a stand-in engine."""

import asyncio
import json
import unittest
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import Any, TypeVar, cast

from returns.pipeline import is_successful

from coltsfootfront.calls import blocks
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, FailureError
from coltsfootfront.targets.engine import (
    CacheEvent,
    Engine,
    GenerateRequest,
    GenerationEnd,
    Order,
    TextChunk,
)
from coltsfootfront.targets.openaiengine import OpenAiEngine
from coltsfootfront.tests.support import fixed_response_server
from coltsfootfront_dev.engine import EngineStandIn, Options
from coltsfootfront_dev.generatedtext import expected_tokens

T = TypeVar("T")

MODEL, ADAPTER, VERSION = "assessor", "short", "v1"
PROMPT = "standard " * 1000  # 9,000 bytes: two full blocks and a partial one.
SALT = blocks.compute_cache_salt("mill", MODEL, "", VERSION)
BODY = {"prompt": PROMPT, "max_tokens": 20}
REQUEST = GenerateRequest(
    "request-1", json.dumps(BODY).encode(), False, MODEL, "", VERSION, SALT, 0
)


def expected(request: GenerateRequest) -> list[str]:
    """Tokens that the stand-in generates for a request without resumed text."""
    body = json.loads(request.body)
    prompt = blocks.prompt_bytes(body, request.chat)
    return expected_tokens(
        prompt, request.model, request.adapter, request.version, body["max_tokens"]
    )


@dataclass
class Outcome:
    """Result of one generation."""

    text: str = ""
    tokens: int = 0
    generation_end: GenerationEnd | None = None
    failure: tuple[ErrorKind, ExecutionState] | None = None

    @property
    def cached_tokens(self) -> int | None:
        """Prompt tokens that the engine reused, or None without an end of the generation."""
        return self.generation_end.cached_tokens if self.generation_end else None


async def collect(engine: Engine, request: GenerateRequest) -> Outcome:
    """Run a generation and collect its output and failure."""
    outcome = Outcome()
    try:
        async for item in engine.generate(request):
            if isinstance(item, TextChunk):
                outcome.text += item.text
                outcome.tokens += item.tokens
            else:
                outcome.generation_end = item
    except FailureError as error:
        outcome.failure = (error.failure.kind, error.failure.execution_state)
    return outcome


def closing(items: AsyncIterator[T]) -> aclosing[AsyncGenerator[T, None]]:
    """Close an engine's iterator at the end of a ``with`` block."""
    return aclosing(cast(AsyncGenerator[T, None], items))


class Contract:
    """Namespace that hides the abstract test cases from the test loader."""

    class EngineCases(unittest.IsolatedAsyncioTestCase, ABC):
        """Cases that every engine client must pass; its idle timeout is 1 s."""

        engine: Engine

        @abstractmethod
        async def set_fault(self, **faults: Any) -> None:
            """Inject faults into the engine; the names are those of ``POST /control``."""

        @abstractmethod
        def count(self, name: str) -> int:
            """Read a counter of the engine."""

        async def test_responses_are_complete(self) -> None:
            """Guards against lost or repeated text and a missing :class:`GenerationEnd`."""
            chat = {"messages": [{"role": "user", "content": PROMPT}], "max_tokens": 5}
            cases = {
                "completion": REQUEST,
                "chat": replace(REQUEST, chat=True, body=json.dumps(chat).encode()),
                "adapter": replace(REQUEST, adapter=ADAPTER),
            }
            for name, request in cases.items():
                with self.subTest(name):
                    outcome = await collect(self.engine, request)
                    self.assertIsNotNone(outcome.generation_end)
                    self.assertEqual("".join(expected(request)), outcome.text)
                    self.assertEqual(len(expected(request)), outcome.tokens)

        async def test_failures_state_whether_the_request_ran(self) -> None:
            """Guards against truncated responses accepted as complete, and a false ``not_run``."""
            failed = (ErrorKind.ENGINE_FAILED, ExecutionState.UNKNOWN)
            wrong_version = (ErrorKind.WRONG_VERSION, ExecutionState.NOT_RUN)
            bad_request = (ErrorKind.BAD_REQUEST, ExecutionState.NOT_RUN)
            no_count = json.dumps({"prompt": PROMPT, "max_tokens": "many"}).encode()
            cases: list[tuple[str, dict[str, Any], GenerateRequest, Any]] = [
                ("other version", {}, replace(REQUEST, version="v0"), wrong_version),
                ("other model", {}, replace(REQUEST, model="unknown"), wrong_version),
                ("other adapter", {}, replace(REQUEST, adapter="unknown"), wrong_version),
                ("not JSON", {}, replace(REQUEST, body=b"{"), bad_request),
                ("not an object", {}, replace(REQUEST, body=b"[]"), bad_request),
                ("engine refuses", {}, replace(REQUEST, body=no_count), bad_request),
                ("dies", {"die_after_tokens": 5, "refuse_s": 0.0}, REQUEST, failed),
                ("stream ends early", {"cut_after_tokens": 5}, REQUEST, failed),
                ("stays silent", {"cut_after_tokens": 0, "stall_s": 2.0}, REQUEST, failed),
            ]
            for name, faults, request, failure in cases:
                with self.subTest(name):
                    await self.set_fault(**faults)
                    outcome = await collect(self.engine, request)
                    self.assertEqual(failure, outcome.failure)
                    self.assertIsNone(outcome.generation_end)
                    self.assertTrue("".join(expected(REQUEST)).startswith(outcome.text))

        async def test_an_engine_that_is_down_has_not_run_the_request(self) -> None:
            """Guards against ``unknown`` for an unsent request, which would prevent its retry."""
            before = (await self.engine.state()).unwrap()
            await collect(self.engine, REQUEST)
            await self.set_fault(crash={"refuse_s": 0.2})
            outcome = await collect(self.engine, REQUEST)
            self.assertEqual(
                (ErrorKind.TARGET_UNREACHABLE, ExecutionState.NOT_RUN), outcome.failure
            )
            self.assertEqual(
                ErrorKind.TARGET_UNREACHABLE, (await self.engine.state()).failure().kind
            )
            await asyncio.sleep(0.3)
            outcome = await collect(self.engine, REQUEST)
            self.assertEqual(0, outcome.cached_tokens)
            after = (await self.engine.state()).unwrap()
            self.assertNotEqual(before.incarnation, after.incarnation)

        async def test_a_resumed_generation_continues_after_the_text(self) -> None:
            """Guards against repeated or missing text after a resume."""
            tokens = expected(REQUEST)
            for count in (0, 1, 7, len(tokens) - 1):
                with self.subTest(count):
                    request = replace(
                        REQUEST, resume_text="".join(tokens[:count]), resume_tokens=count
                    )
                    outcome = await collect(self.engine, request)
                    self.assertEqual("".join(tokens[count:]), outcome.text)
                    self.assertEqual(len(tokens) - count, outcome.tokens)

        async def test_closing_the_iterator_cancels(self) -> None:
            """Guards against an engine that keeps generating after the caller disconnected."""
            body = json.dumps({"prompt": PROMPT, "max_tokens": 5000}).encode()
            async with closing(self.engine.generate(replace(REQUEST, body=body))) as items:
                await anext(items)
            await self.until(lambda: self.counter_is_one("cancelled"))

        async def test_silence_within_a_stream_is_a_failure(self) -> None:
            """Guards against a caller that waits forever for an engine that hangs."""
            body = json.dumps({"prompt": PROMPT, "max_tokens": 500}).encode()
            async with closing(self.engine.generate(replace(REQUEST, body=body))) as items:
                await anext(items)
                await self.set_fault(stall_s=2.0)
                with self.assertRaises(FailureError) as caught:
                    async for _ in items:
                        pass
            failure = caught.exception.failure
            self.assertEqual(
                (ErrorKind.ENGINE_FAILED, ExecutionState.UNKNOWN),
                (failure.kind, failure.execution_state),
            )

        async def test_cached_blocks_are_reused_within_a_salt_only(self) -> None:
            """Guards against blocks of another customer or of older weights being reused."""
            newer = replace(REQUEST, version="v2", cache_salt="salt of v2")
            same_salt = replace(REQUEST, version="v2")
            load = Order("load", MODEL, "v2", fencing=1)
            steps: list[tuple[str, Order | None, GenerateRequest, int]] = [
                ("first", None, REQUEST, 0),
                ("again", None, REQUEST, 2000),
                ("other salt", None, replace(REQUEST, cache_salt="other"), 0),
                ("newer weights", load, newer, 0),
                ("older salt with newer weights", None, same_salt, 0),
            ]
            for name, order, request, cached_tokens in steps:
                with self.subTest(name):
                    if order is not None:
                        self.assertTrue(is_successful(await self.engine.order(order)))
                    outcome = await collect(self.engine, request)
                    self.assertEqual(cached_tokens, outcome.cached_tokens)
                    self.assertEqual("".join(expected(request)), outcome.text)

        async def test_cache_events_follow_the_cache(self) -> None:
            """Guards against cache events that differ from the blocks that the engine holds."""
            keys = blocks.truncate_keys(blocks.compute_block_keys(SALT, PROMPT.encode(), 4000))
            async with closing(self.engine.cache_events()) as events:
                collecting = asyncio.create_task(_take(events, 3))
                await self.until(lambda: self.counter_is_one("event_subscribers"))
                await collect(self.engine, REQUEST)
                await self.engine.order(Order("load", MODEL, "v2", fencing=1))
                taken = await collecting
            state = (await self.engine.state()).unwrap()
            self.assertEqual({state.incarnation}, {event.incarnation for event in taken})
            self.assertEqual(["stored", "stored", "removed"], [event.kind for event in taken])
            self.assertEqual(keys, [key for event in taken[:2] for key in event.keys])
            self.assertEqual(set(keys), set(taken[2].keys))
            self.assertEqual([1, 2], [event.seq - taken[0].seq for event in taken[1:]])

        async def test_lost_events_leave_a_gap_and_a_crash_ends_the_stream(self) -> None:
            """Guards against lost events or an engine restart going unnoticed."""
            async with closing(self.engine.cache_events()) as events:
                collecting = asyncio.create_task(_take(events, 4))
                await self.until(lambda: self.counter_is_one("event_subscribers"))
                await collect(self.engine, REQUEST)
                await self.set_fault(event_drop_share=1.0)
                await collect(self.engine, replace(REQUEST, cache_salt="lost"))
                await self.set_fault(event_drop_share=0.0)
                await collect(self.engine, replace(REQUEST, cache_salt="third"))
                taken = await collecting
                self.assertEqual([1, 3, 1], _differences([event.seq for event in taken]))
                await self.set_fault(crash={"refuse_s": 0.0})
                with self.assertRaises(FailureError) as caught:
                    await anext(events)
            self.assertEqual(ErrorKind.ENGINE_FAILED, caught.exception.failure.kind)

        async def test_orders_take_effect_before_they_return(self) -> None:
            """Guards against routing to a model that is not loaded yet."""
            orders: list[tuple[Order, dict[str, Any], str]] = [
                (Order("load", "second", "v9"), {"second": ("v9", ())}, "serve"),
                (Order("load_adapter", "second", adapter="x"), {"second": ("v9", ("x",))}, "serve"),
                (Order("unload_adapter", "second", adapter="x"), {"second": ("v9", ())}, "serve"),
                (Order("role", role="standby"), {"second": ("v9", ())}, "standby"),
            ]
            for order, models, role in orders:
                with self.subTest(order.kind):
                    self.assertTrue(is_successful(await self.engine.order(order)))
                    state = (await self.engine.state()).unwrap()
                    self.assertEqual({MODEL: (VERSION, (ADAPTER,)), **models}, state.models)
                    self.assertEqual(role, state.role)

        async def test_an_order_with_an_outdated_fencing_token_is_rejected(self) -> None:
            """Guards against a paused agent that reverts the orders of the next lease holder."""
            self.assertTrue(
                is_successful(await self.engine.order(Order("role", role="a", fencing=7)))
            )
            rejected = await self.engine.order(Order("role", role="b", fencing=6))
            self.assertEqual(
                (ErrorKind.FENCED, ExecutionState.NOT_RUN),
                (rejected.failure().kind, rejected.failure().execution_state),
            )
            self.assertEqual("a", (await self.engine.state()).unwrap().role)

        async def test_an_import_serves_only_its_salt_and_version(self) -> None:
            """Guards against imports of another customer's KV cache or one of older weights."""
            await collect(self.engine, REQUEST)
            keys = blocks.truncate_keys(blocks.compute_block_keys(SALT, PROMPT.encode(), 4000))
            data = (await self.engine.export_blocks(SALT, [*keys, b"missing."])).unwrap()
            await self.set_fault(crash={"refuse_s": 0.0})
            await self.until(self.is_reachable)
            self.assertEqual(0, (await self.engine.import_blocks("other", data)).unwrap())
            self.assertEqual(2, (await self.engine.import_blocks(SALT, data)).unwrap())
            self.assertEqual(2000, (await collect(self.engine, REQUEST)).cached_tokens)
            await self.engine.order(Order("load", MODEL, "v2", fencing=1))
            self.assertEqual(0, (await self.engine.import_blocks(SALT, data)).unwrap())
            damaged = await self.engine.import_blocks(SALT, b"damaged")
            self.assertFalse(is_successful(damaged))

        async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
            """Poll until a condition is true; fails after about 5 s."""
            for _ in range(1000):
                if await condition():
                    return
                await asyncio.sleep(0.005)
            self.fail("timed out waiting for the condition")

        async def is_reachable(self) -> bool:
            """Whether the engine responds."""
            return is_successful(await self.engine.state())

        async def counter_is_one(self, name: str) -> bool:
            """Whether a counter of the engine has reached 1."""
            return self.count(name) == 1

        async def test_the_state_names_what_the_engine_runs(self) -> None:
            """Guards against reconciling with a wrong reported state."""
            state = (await self.engine.state()).unwrap()
            self.assertEqual({MODEL: (VERSION, (ADAPTER,))}, state.models)
            self.assertTrue(state.incarnation)


async def _take(events: AsyncIterator[CacheEvent], count: int) -> list[CacheEvent]:
    async with asyncio.timeout(5.0):
        return [await anext(events) for _ in range(count)]


def _differences(numbers: list[int]) -> list[int]:
    return [after - before for before, after in pairwise(numbers)]


class OpenAiEngineTest(Contract.EngineCases):
    async def asyncSetUp(self) -> None:
        options = Options(
            model=[f"{MODEL}={VERSION}:{ADAPTER}"],
            block_ms=2,
            step_ms=1,
            load_s=0.01,
            event_delay_s=0.01,
            checks_fencing=True,
        )
        self.stand_in = EngineStandIn(options)
        address = await self.stand_in.start("127.0.0.1:0")
        self.engine = OpenAiEngine(f"http://{address}", 1.0, SystemClock())
        await self.engine.start()

    async def asyncTearDown(self) -> None:
        await self.engine.close()
        await self.stand_in.close()

    async def set_fault(self, **faults: Any) -> None:
        await self.stand_in.control(faults, None)

    def count(self, name: str) -> int:
        return int(getattr(self.stand_in.counters, name))


def _chunked(*events: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    lines = [b"data: " + event + b"\n\n" for event in events]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in lines) + end


TEXT = b'{"choices": [{"index": 0, "text": "abc ", "finish_reason": null}]}'
LAST = b'{"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]}'
DONE = b"[DONE]"


class OpenAiStreamTest(unittest.IsolatedAsyncioTestCase):
    async def collect_from(self, reply: bytes) -> Outcome:
        async with fixed_response_server(reply) as url:
            engine = OpenAiEngine(url, 0.5, SystemClock())
            await engine.start()
            try:
                return await collect(engine, REQUEST)
            finally:
                await engine.close()

    async def test_incomplete_streams_fail(self) -> None:
        """Guards against incomplete or invalid streams accepted as complete."""
        cases = {
            "no finish reason, no [DONE]": _chunked(TEXT, TEXT),
            "no finish reason": _chunked(TEXT, DONE),
            "no [DONE]": _chunked(TEXT, LAST),
            "cut within the body": _chunked(TEXT, LAST, DONE, end=b"")[:-9],
            "no last chunk": _chunked(TEXT, LAST, end=b""),
            "invalid JSON": _chunked(TEXT, b"{", LAST, DONE),
            "not an object": _chunked(TEXT, b"1", LAST, DONE),
            "error within the stream": _chunked(TEXT, b'{"error": {}}', LAST, DONE),
            "short body": b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\ndata: " + TEXT + b"\n\n",
            "not HTTP": b"abc\r\n\r\n",
            "nothing": b"",
            "error without a message": b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}",
        }
        for name, reply in cases.items():
            with self.subTest(name):
                outcome = await self.collect_from(reply)
                self.assertEqual((ErrorKind.ENGINE_FAILED, ExecutionState.UNKNOWN), outcome.failure)
                self.assertIsNone(outcome.generation_end)

    async def test_several_tokens_in_a_chunk_are_counted(self) -> None:
        """Guards against a token count that makes a resume start at the wrong token."""
        chunk = TEXT[:-1] + b', "usage": {"completion_tokens": 3}}'
        outcome = await self.collect_from(_chunked(chunk, TEXT, LAST, DONE))
        self.assertEqual((4, "abc abc "), (outcome.tokens, outcome.text))
