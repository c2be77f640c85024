"""HTTP client of model engines with an OpenAI-compatible API."""

import json
from collections.abc import AsyncIterator
from typing import Any, TypeVar

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import DecodingError, decoding, load_json, read_integer
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.targets.engine import (
    CacheEvent,
    Engine,
    EngineState,
    GenerateRequest,
    GenerationEnd,
    Order,
    TextChunk,
)
from coltsfootfront.targets.httpclient import Exchange, HttpClient

T = TypeVar("T")

_JSON_HEADERS = (("Content-Type", "application/json"),)
_SSE_DATA_PREFIX = b"data:"
_SSE_DONE = b"[DONE]"
_MAX_LINE_BYTES = 1024 * 1024
_MAX_STATE_BYTES = 1024 * 1024
MAX_EXPORT_BYTES = 64 * 1024 * 1024
"""Size limit of one KV cache export."""


class OpenAiEngine(Engine):
    """Model engine reached over HTTP.

    :param base_url: address of the engine, such as ``http://127.0.0.1:8000``.
    :param timeout_s: idle timeout in seconds: longest wait for data from the engine.
    """

    __slots__ = ("_client",)

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        self._client = HttpClient(base_url, timeout_s, clock, ErrorKind.ENGINE_FAILED)

    async def generate(self, request: GenerateRequest) -> AsyncIterator[TextChunk | GenerationEnd]:
        path = "/v1/chat/completions" if request.chat else "/v1/completions"
        body = _generation_body(request)
        async with self._client.exchange("POST", path, body, _JSON_HEADERS) as exchange:
            await exchange.raise_for_error_status()
            parser = _CompletionStreamParser(request.chat)
            async for data in _sse_data(exchange):
                chunk = parser.feed(data)
                if chunk is not None:
                    yield chunk
                if parser.done:
                    break
            yield parser.build_generation_end()

    async def state(self) -> Result[EngineState, Failure]:
        try:
            async with self._client.exchange("GET", "/engine/state") as exchange:
                await exchange.raise_for_error_status()
                body = await exchange.read(_MAX_STATE_BYTES)
                return Success(_parse_state(_parse_object(body)))
        except FailureError as error:
            return Failed(error.failure)

    async def cache_events(self) -> AsyncIterator[CacheEvent]:
        path = "/engine/cache_events"
        async with self._client.exchange("GET", path, may_idle=True) as exchange:
            await exchange.raise_for_error_status()
            async for data in _sse_data(exchange):
                yield _parse_cache_event(_parse_object(data))
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
        response = await self._post("/engine/orders", json.dumps(body).encode(), _MAX_STATE_BYTES)
        return response.map(lambda _: None)

    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        body = {"cache_salt": cache_salt, "keys": [key.hex() for key in keys]}
        return await self._post("/engine/export", json.dumps(body).encode(), MAX_EXPORT_BYTES)

    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        path = f"/engine/import?cache_salt={cache_salt}"
        response = await self._post(path, data, _MAX_STATE_BYTES)
        return response.bind(_parse_block_count)

    async def _post(self, path: str, body: bytes, limit_bytes: int) -> Result[bytes, Failure]:
        try:
            async with self._client.exchange("POST", path, body, _JSON_HEADERS) as exchange:
                await exchange.raise_for_error_status()
                return Success(await exchange.read(limit_bytes))
        except FailureError as error:
            return Failed(error.failure)

    async def start(self) -> None:
        await self._client.start()

    async def close(self) -> None:
        await self._client.close()


class _CompletionStreamParser:
    """Parses the server-sent events of one streamed completion.

    :param chat: whether the events are those of a chat completion.
    """

    __slots__ = ("_chat", "_finish_reason", "_token_count", "_usage", "done")

    def __init__(self, chat: bool) -> None:
        self.done = False
        self._chat = chat
        self._finish_reason = ""
        self._token_count = 0
        self._usage: dict[str, Any] = {}

    def feed(self, data: bytes) -> TextChunk | None:
        """Parse the data of one event; returns its text, if it has any."""
        if data == _SSE_DONE:
            self.done = True
            return None
        chunk = _parse_object(data)
        if "error" in chunk:
            raise _engine_failed("engine reported an error within the stream")
        usage = chunk.get("usage")
        if isinstance(usage, dict):
            self._usage = usage
        for choice in _dict_items(chunk.get("choices")):
            return self._parse_choice(choice)
        return None

    def _parse_choice(self, choice: dict[str, Any]) -> TextChunk | None:
        reason = choice.get("finish_reason")
        if isinstance(reason, str):
            self._finish_reason = reason
        source = choice.get("delta", {}) if self._chat else choice
        text = source.get("content" if self._chat else "text") if isinstance(source, dict) else ""
        if not isinstance(text, str) or not text:
            return None
        # An engine that sends several tokens in one event includes the running total in each.
        total = max(_positive_int(self._usage, "completion_tokens"), self._token_count + 1)
        chunk = TextChunk(text, total - self._token_count)
        self._token_count = total
        return chunk

    def build_generation_end(self) -> GenerationEnd:
        """Build the end of the generation from the usage that the engine reported.

        :raises FailureError: ``engine_failed`` unless both a finish reason and ``[DONE]`` arrived.
        """
        if not self.done or not self._finish_reason:
            raise _engine_failed("stream ended without an end mark")
        details = self._usage.get("prompt_tokens_details")
        return GenerationEnd(
            self._finish_reason,
            _positive_int(self._usage, "prompt_tokens"),
            _positive_int(self._usage, "completion_tokens") or self._token_count,
            _positive_int(details if isinstance(details, dict) else {}, "cached_tokens"),
        )


def _generation_body(request: GenerateRequest) -> bytes:
    try:
        body = json.loads(request.body)
    except ValueError as error:
        raise FailureError(Failure(ErrorKind.BAD_REQUEST, "body is not JSON")) from error
    if not isinstance(body, dict):
        raise FailureError(Failure(ErrorKind.BAD_REQUEST, "body is not an object"))
    # Fields for scheduling and the isolation of customers are never taken from the caller's body.
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
    """Yield the data of each server-sent event; engines send one data line per event."""
    buffer = b""
    async for chunk in exchange.chunks():
        lines = (buffer + chunk).split(b"\n")
        buffer = lines.pop()
        if len(buffer) > _MAX_LINE_BYTES:
            raise _engine_failed("line of the event stream is too long")
        for line in lines:
            if line.startswith(_SSE_DATA_PREFIX):
                yield line[len(_SSE_DATA_PREFIX) :].strip()


def _engine_failed(message: str) -> FailureError:
    return FailureError(Failure(ErrorKind.ENGINE_FAILED, message, ExecutionState.UNKNOWN))


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        with decoding("JSON"):
            value = load_json(data)
    except DecodingError as error:
        raise _engine_failed("engine sent no valid JSON") from error
    if not isinstance(value, dict):
        raise _engine_failed("engine sent no JSON object")
    return value


def _dict_items(value: Any) -> list[dict[str, Any]]:
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _positive_int(values: dict[str, Any], name: str) -> int:
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
        _positive_int(body, "running"),
        _positive_int(body, "waiting"),
        _positive_int(body, "capacity_blocks"),
    )


def _parse_cache_event(body: dict[str, Any]) -> CacheEvent:
    try:
        with decoding("cache event"):
            return CacheEvent(
                str(body["incarnation"]),
                read_integer(body["seq"]),
                str(body["kind"]),
                tuple(bytes.fromhex(key) for key in body.get("keys", ())),
            )
    except DecodingError as error:
        raise _engine_failed("engine sent an invalid cache event") from error


def _parse_block_count(body: bytes) -> Result[int, Failure]:
    try:
        return Success(_positive_int(_parse_object(body), "blocks"))
    except FailureError as error:
        return Failed(error.failure)
