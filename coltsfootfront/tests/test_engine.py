"""Contract of engines, and the OpenAI-style adapter against the engine stand-in."""

import json
import unittest
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import Any

from coltsfootfront import blocks
from coltsfootfront.clock import SystemClock
from coltsfootfront.engine import Engine, Finish, GenerateRequest, Piece
from coltsfootfront.errors import ErrorKind, FailureError, RunState
from coltsfootfront.openai import OpenAiEngine
from coltsfootfront_dev.engine import EngineStandIn, Options
from coltsfootfront_dev.text import expected_text

MODEL, ADAPTER, VERSION = "assessor", "short", "v1"
PROMPT = "standard " * 1000  # 9,000 bytes: two full blocks and a rest.
SALT = blocks.salt("mill", MODEL, "", VERSION)
BODY = {"prompt": PROMPT, "max_tokens": 20}
REQUEST = GenerateRequest(
    "request-1", json.dumps(BODY).encode(), False, MODEL, "", VERSION, SALT, 0
)


def expected(request: GenerateRequest) -> list[str]:
    """Tokens that the stand-in generates for a request without resumed text."""
    body = json.loads(request.body)
    prompt = blocks.prompt_bytes(body, request.chat)
    return expected_text(
        prompt, request.model, request.adapter, request.version, body["max_tokens"]
    )


@dataclass
class Outcome:
    """What one generation gave."""

    text: str = ""
    tokens: int = 0
    finish: Finish | None = None
    failure: tuple[ErrorKind, RunState] | None = None


async def collect(engine: Engine, request: GenerateRequest) -> Outcome:
    """Run a generation to its end."""
    outcome = Outcome()
    try:
        async for item in engine.generate(request):
            if isinstance(item, Piece):
                outcome.text += item.text
                outcome.tokens += item.tokens
            else:
                outcome.finish = item
    except FailureError as error:
        outcome.failure = (error.failure.kind, error.failure.run)
    return outcome


class Contract:
    """Keeps the abstract cases away from the test loader."""

    class EngineCases(unittest.IsolatedAsyncioTestCase, ABC):
        """Cases that every adapter of an engine passes."""

        engine: Engine

        @abstractmethod
        async def set_fault(self, **faults: Any) -> None:
            """Switch faults of the engine, as ``POST /control`` names them."""

        @abstractmethod
        def count(self, name: str) -> int:
            """Read a counter of the engine."""

        async def test_answers_are_whole(self) -> None:
            """Guards against lost or repeated text, and against a missing end mark."""
            chat = {"messages": [{"role": "user", "content": PROMPT}], "max_tokens": 5}
            cases = {
                "completion": REQUEST,
                "chat": replace(REQUEST, chat=True, body=json.dumps(chat).encode()),
                "adapter": replace(REQUEST, adapter=ADAPTER),
            }
            for name, request in cases.items():
                with self.subTest(name):
                    outcome = await collect(self.engine, request)
                    self.assertIsNotNone(outcome.finish)
                    self.assertEqual("".join(expected(request)), outcome.text)
                    self.assertEqual(len(expected(request)), outcome.tokens)

        async def test_the_state_names_what_the_engine_runs(self) -> None:
            """Guards against orders being compared with a wrong state."""
            state = (await self.engine.state()).unwrap()
            self.assertEqual({MODEL: (VERSION, (ADAPTER,))}, state.models)
            self.assertTrue(state.incarnation)


class OpenAiEngineTest(Contract.EngineCases):
    async def asyncSetUp(self) -> None:
        options = Options(model=[f"{MODEL}={VERSION}:{ADAPTER}"], block_ms=2, step_ms=1, load_s=0)
        self.stand_in = EngineStandIn(options)
        address = await self.stand_in.start("127.0.0.1:0")
        self.engine = OpenAiEngine(f"http://{address}", 5.0, SystemClock())
        await self.engine.start()

    async def asyncTearDown(self) -> None:
        await self.engine.close()
        await self.stand_in.close()

    async def set_fault(self, **faults: Any) -> None:
        await self.stand_in.control(faults, None)

    def count(self, name: str) -> int:
        return int(getattr(self.stand_in.counters, name))
