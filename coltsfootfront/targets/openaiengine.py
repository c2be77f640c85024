"""HTTP adapter of model engines with an OpenAI-style API."""

import json
from collections.abc import AsyncIterator
from typing import Any, TypeVar

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState
from coltsfootfront.targets.engine import (
    CacheEvent,
    Engine,
    EngineState,
    GenerationEnd,
    GenerateRequest,
    Order,
    TextChunk,
)
from coltsfootfront.targets.httpclient import Exchange, HttpClient

T = TypeVar("T")

_JSON = (("Content-Type", "application/json"),)
_DATA = b"data:"
_DONE = b"[DONE]"
_MAX_LINE_BYTES = 1024 * 1024
_MAX_STATE_BYTES = 1024 * 1024
MAX_EXPORT_BYTES = 64 * 1024 * 1024
"""Largest KV cache export."""


class OpenAiEngine(Engine):
    """A model engine that speaks HTTP.

    :param base_url: address of the engine, such as ``http://127.0.0.1:8000``.
    :param timeout_s: longest silence of the engine in seconds.
    """

    __slots__ = ("_client",)

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        self._client = HttpClient(base_url, timeout_s, clock, ErrorKind.ENGINE_FAILED)

    async def generate(self, request: GenerateRequest) -> AsyncIterator[TextChunk | GenerationEnd]:
        path = "/v1/chat/completions" if request.chat else "/v1/completions"
        body = _generation_body(request)
        async with self._client.exchange("POST", path, body, _JSON) as exchange:
            await exchange.raise_refusal()
            stream = _GenerationStream(request.chat)
            async for data in _sse_data(exchange):
                piece = stream.take(data)
                if piece is not None:
                    yield piece
                if stream.done:
                    break
            yield stream.finish()

    async def state(self) -> Result[EngineState, Failure]:
        try:
            async with self._client.exchange("GET", "/engine/state") as exchange:
                await exchange.raise_refusal()
                body = await exchange.read(_MAX_STATE_BYTES)
                return Success(_parse_state(_parse_object(body)))
        except FailureError as error:
            return Failed(error.failure)

    async def cache_events(self) -> AsyncIterator[CacheEvent]:
        path = "/engine/cache_events"
        async with self._client.exchange("GET", path, endless=True) as exchange:
            await exchange.raise_refusal()
            async for data in _sse_data(exchange):
                yield _parse_event(_parse_object(data))
        raise _engine_failed("event stream ended")

    async def order(self, order: Order) -> Result[None, Failure]:
        body = {
            "kind": order.kind,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "role": order.role,
            "fencing": order.fencing,
        }
        answer = await self._post("/engine/orders", json.dumps(body).encode(), _MAX_STATE_BYTES)
        return answer.map(lambda _: None)

    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        body = {"cache_salt": cache_salt, "keys": [key.hex() for key in keys]}
        return await self._post("/engine/export", json.dumps(body).encode(), MAX_EXPORT_BYTES)

    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        path = f"/engine/import?cache_salt={cache_salt}"
        answer = await self._post(path, data, _MAX_STATE_BYTES)
        return answer.bind(_parse_count)

    async def _post(self, path: str, body: bytes, limit_bytes: int) -> Result[bytes, Failure]:
        try:
            async with self._client.exchange("POST", path, body, _JSON) as exchange:
                await exchange.raise_refusal()
                return Success(await exchange.read(limit_bytes))
        except FailureError as error:
            return Failed(error.failure)

    async def start(self) -> None:
        await self._client.start()

    async def close(self) -> None:
        await self._client.close()


class _GenerationStream:
    """Reads the chunks of one generation.

    :param chat: whether the chunks are those of a chat.
    """

    __slots__ = ("_chat", "_finish_reason", "_tokens", "_usage", "done")

    def __init__(self, chat: bool) -> None:
        self.done = False
        self._chat = chat
        self._finish_reason = ""
        self._tokens = 0
        self._usage: dict[str, Any] = {}

    def take(self, data: bytes) -> TextChunk | None:
        """Read one event's data; returns its text, if it has any."""
        if data == _DONE:
            self.done = True
            return None
        chunk = _parse_object(data)
        if "error" in chunk:
            raise _engine_failed("engine reported an error within the stream")
        usage = chunk.get("usage")
        if isinstance(usage, dict):
            self._usage = usage
        for choice in _objects(chunk.get("choices")):
            return self._take_choice(choice)
        return None

    def _take_choice(self, choice: dict[str, Any]) -> TextChunk | None:
        reason = choice.get("finish_reason")
        if isinstance(reason, str):
            self._finish_reason = reason
        source = choice.get("delta", {}) if self._chat else choice
        text = source.get("content" if self._chat else "text") if isinstance(source, dict) else ""
        if not isinstance(text, str) or not text:
            return None
        # An engine that puts several tokens into a chunk reports a running total with each.
        total = max(_number(self._usage, "completion_tokens"), self._tokens + 1)
        piece = TextChunk(text, total - self._tokens)
        self._tokens = total
        return piece

    def finish(self) -> GenerationEnd:
        """Build the end mark.

        :raises FailureError: ``engine_failed`` if the engine's end marks did not both arrive.
        """
        if not self.done or not self._finish_reason:
            raise _engine_failed("stream ended without an end mark")
        details = self._usage.get("prompt_tokens_details")
        return GenerationEnd(
            self._finish_reason,
            _number(self._usage, "prompt_tokens"),
            _number(self._usage, "completion_tokens") or self._tokens,
            _number(details if isinstance(details, dict) else {}, "cached_tokens"),
        )


def _generation_body(request: GenerateRequest) -> bytes:
    try:
        body = json.loads(request.body)
    except ValueError as error:
        raise FailureError(Failure(ErrorKind.BAD_REQUEST, "body is not JSON")) from error
    if not isinstance(body, dict):
        raise FailureError(Failure(ErrorKind.BAD_REQUEST, "body is not an object"))
    # Fields that decide on isolation and order never come from the caller's body.
    body["model"] = f"{request.model}:{request.adapter}" if request.adapter else request.model
    body["stream"] = True
    body["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
    body["cache_salt"] = request.cache_salt
    body["priority"] = request.priority
    body["request_id"] = request.request_id
    body["weights_version"] = request.version
    body["resume_text"] = request.resume_text
    body["resume_tokens"] = request.resume_tokens
    return json.dumps(body).encode()


async def _sse_data(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event; every event of an engine has one data line."""
    rest = b""
    async for piece in exchange.pieces():
        lines = (rest + piece).split(b"\n")
        rest = lines.pop()
        if len(rest) > _MAX_LINE_BYTES:
            raise _engine_failed("line of the event stream is too long")
        for line in lines:
            if line.startswith(_DATA):
                yield line[len(_DATA) :].strip()


def _engine_failed(message: str) -> FailureError:
    return FailureError(Failure(ErrorKind.ENGINE_FAILED, message, ExecutionState.UNKNOWN))


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except ValueError as error:
        raise _engine_failed("engine sent no valid JSON") from error
    if not isinstance(value, dict):
        raise _engine_failed("engine sent no JSON object")
    return value


def _objects(value: Any) -> list[dict[str, Any]]:
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _number(values: dict[str, Any], name: str) -> int:
    value = values.get(name)
    return value if isinstance(value, int) and value > 0 else 0


def _parse_state(body: dict[str, Any]) -> EngineState:
    try:
        models = {
            str(name): (str(model["version"]), tuple(str(item) for item in model["adapters"]))
            for name, model in body["models"].items()
        }
        incarnation, role = str(body["incarnation"]), str(body["role"])
    except (AttributeError, KeyError, TypeError) as error:
        raise _engine_failed("engine sent an invalid state") from error
    return EngineState(
        incarnation,
        models,
        role,
        _number(body, "running"),
        _number(body, "waiting"),
        _number(body, "capacity_blocks"),
    )


def _parse_event(body: dict[str, Any]) -> CacheEvent:
    try:
        return CacheEvent(
            str(body["incarnation"]),
            int(body["seq"]),
            str(body["kind"]),
            tuple(bytes.fromhex(key) for key in body.get("keys", ())),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _engine_failed("engine sent an invalid cache event") from error


def _parse_count(body: bytes) -> Result[int, Failure]:
    try:
        return Success(_number(_parse_object(body), "blocks"))
    except FailureError as error:
        return Failed(error.failure)
