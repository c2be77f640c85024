"""Simulated model engine with continuous batching and a prefix cache.

Run as ``python -m coltsfootfront_dev.engine --address 127.0.0.1:0 --model name=version``.
"""

import asyncio
import json
import secrets
from dataclasses import dataclass, field
from typing import Annotated, Any

import aiohttp
import cappa
from aiohttp import web

from coltsfootfront.calls import blocks
from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront_dev.batch import Batch, BatchCounters, BatchFaults, Generation, Speed
from coltsfootfront_dev.eventfeed import EventFeed, FeedFaults
from coltsfootfront_dev.generatedtext import TOKEN_BYTES, expected_tokens
from coltsfootfront_dev.prefixcache import CachedBlock, PrefixCache
from coltsfootfront_dev.standin import RefusedError, StandIn, json_object, serve

_DEFAULT_MAX_TOKENS = 16
_MAX_TOKENS_LIMIT = 65536
_MAX_PRIORITY_VALUE = 1000
_STREAM_DONE = b"data: [DONE]\n\n"
_EVICTION_INTERVAL_S = 0.2
_BAD_REQUEST, _NOT_FOUND, _CONFLICT, _BAD_GATEWAY, _UNAVAILABLE = 400, 404, 409, 502, 503


@dataclass
class Options:
    """Simulated model engine."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    model: Annotated[
        list[str], cappa.Arg(long=True, help="name=version[:adapter,adapter]; repeatable")
    ] = field(default_factory=list)
    slots: Annotated[int, cappa.Arg(long=True, help="requests that run concurrently")] = 8
    block_ms: Annotated[float, cappa.Arg(long=True, help="prefill time of a block")] = 30.0
    step_ms: Annotated[float, cappa.Arg(long=True, help="duration of a decode step")] = 10.0
    capacity_blocks: Annotated[int, cappa.Arg(long=True, help="capacity of the prefix cache")] = 512
    evict_after_s: Annotated[
        float, cappa.Arg(long=True, help="idle time after which blocks are evicted; 0 for never")
    ] = 0.0
    max_waiting: Annotated[int, cappa.Arg(long=True, help="longest queue of requests")] = 256
    load_lag_s: Annotated[
        float, cappa.Arg(long=True, help="interval of updates of the reported load")
    ] = 0.3
    event_delay_s: Annotated[float, cappa.Arg(long=True, help="delay of cache events")] = 0.05
    event_drop_share: Annotated[
        float, cappa.Arg(long=True, help="share of cache events that are lost")
    ] = 0.0
    import_block_ms: Annotated[float, cappa.Arg(long=True, help="time to import a block")] = 2.0
    weights_address: Annotated[
        str, cappa.Arg(long=True, help="host:port of the weight store; empty for none")
    ] = ""
    load_s: Annotated[float, cappa.Arg(long=True, help="load time without a weight store")] = 0.2
    checks_fencing: Annotated[
        bool, cappa.Arg(long=True, help="refuse orders with stale fencing tokens")
    ] = False
    role: Annotated[str, cappa.Arg(long=True, help="role at the start")] = "serve"


@dataclass(slots=True)
class LoadedModel:
    """A model whose weights are loaded."""

    version: str
    adapters: set[str]


@dataclass
class EngineFaults(BatchFaults, FeedFaults):
    """Faults that ``POST /control`` sets.

    :param cut_after_tokens: tokens after which a stream is closed cleanly, but without
        ``[DONE]``; 0 for never.
    :param refuse_s: seconds for which connections are refused after a crash by
        ``die_after_tokens``.
    :param forget_weights: whether a crash restores the models and the role of the command line.
    """

    cut_after_tokens: int = 0
    refuse_s: float = 0.5
    forget_weights: bool = False


class EngineStandIn(StandIn):
    """HTTP server of the simulated engine.

    :param options: options of the command line.
    """

    def __init__(self, options: Options, clock: Clock | None = None) -> None:
        self.counters = BatchCounters()
        self.faults = EngineFaults(
            event_delay_s=options.event_delay_s, event_drop_share=options.event_drop_share
        )
        super().__init__(self.faults, self.counters, cancel_handlers=True)
        self._options = options
        self._clock = clock or SystemClock()
        self._speed = Speed(options.slots, options.block_ms / 1000, options.step_ms / 1000)
        self._feed = EventFeed(self.faults)
        self._cache = PrefixCache(
            options.capacity_blocks, options.evict_after_s, self._feed.publish
        )
        self._batch = Batch(
            self._speed,
            self._cache,
            self.counters,
            self.faults,
            self._clock,
            self._has_current_weights,
            self._schedule_crash,
        )
        self._models = _parse_models(options.model)
        self._role = options.role
        self._highest_fencing_token = 0
        self._incarnation = ""
        self._reported_load = (0, 0)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._order_tasks: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        return [
            web.post("/v1/completions", self._handle_completion),
            web.post("/v1/chat/completions", self._handle_chat),
            web.get("/engine/state", self._handle_state),
            web.get("/engine/cache_events", self._handle_events),
            web.post("/engine/orders", self._handle_order),
            web.post("/engine/export", self._handle_export),
            web.post("/engine/import", self._handle_import),
        ]

    async def before_start(self) -> None:
        self._start_incarnation()
        for background_loop in (self._batch.run(), self._report_load(), self._evict_idle_blocks()):
            self._track_task(asyncio.create_task(background_loop))

    async def after_close(self) -> None:
        tasks = [*self._tasks, *self._order_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_crash(self) -> None:
        self._batch.clear()
        for task in self._order_tasks:
            task.cancel()
        if self.faults.forget_weights:
            self._models = _parse_models(self._options.model)
            self._role = self._options.role
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self._cache.clear()
        self._incarnation = secrets.token_hex(8)
        self._feed.restart(self._incarnation)

    def _track_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _schedule_crash(self) -> None:
        self._batch.clear()
        self._track_task(asyncio.create_task(self.crash(self.faults.refuse_s)))

    async def _report_load(self) -> None:
        while True:
            self._reported_load = (self._batch.running, self._batch.waiting)
            await self._clock.sleep(self._options.load_lag_s)

    async def _evict_idle_blocks(self) -> None:
        while self._options.evict_after_s:
            self._cache.evict_idle(self._clock.monotonic_s())
            await self._clock.sleep(_EVICTION_INTERVAL_S)

    # Generation.

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        return await self._generate(request, chat=False)

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._generate(request, chat=True)

    async def _generate(self, request: web.Request, chat: bool) -> web.StreamResponse:
        self.counters.requests += 1
        try:
            body = await json_object(request)
            generation = self._admit(body, chat)
        except RefusedError:
            self.counters.refused += 1
            raise
        self._batch.submit(generation)
        try:
            return await self._respond(request, generation, body, chat)
        finally:
            self._end_request(generation)

    def _end_request(self, generation: Generation) -> None:
        if generation.rejected:
            self.counters.refused += 1
        elif not generation.finished:
            self.counters.cancelled += 1
        self._batch.cancel(generation)

    def _admit(self, body: dict[str, Any], chat: bool) -> Generation:
        name = _string_field(body, "model")
        model, _, adapter = name.partition(":")
        loaded = self._models.get(model)
        if loaded is None or (adapter and adapter not in loaded.adapters):
            raise RefusedError(_CONFLICT, "wrong_version", "model or adapter is not loaded")
        required_version = _string_field(body, "weights_version")
        if required_version and required_version != loaded.version:
            raise RefusedError(_CONFLICT, "wrong_version", f"engine runs {loaded.version}")
        if self._batch.waiting >= self._options.max_waiting:
            raise RefusedError(_UNAVAILABLE, "overloaded", "queue is full")
        return self._new_generation(body, chat, model, adapter, loaded.version)

    def _new_generation(
        self, body: dict[str, Any], chat: bool, model: str, adapter: str, version: str
    ) -> Generation:
        max_tokens = _integer_field(body, "max_tokens", _DEFAULT_MAX_TOKENS, _MAX_TOKENS_LIMIT)
        resume_tokens = _integer_field(body, "resume_tokens", 0, max_tokens)
        prompt = blocks.prompt_bytes(body, chat)
        context = prompt + _string_field(body, "resume_text").encode()
        block_bytes = self._speed.block_tokens * TOKEN_BYTES
        salt = _string_field(body, "cache_salt")
        return Generation(
            model,
            adapter,
            version,
            _integer_field(body, "priority", 0, _MAX_PRIORITY_VALUE),
            blocks.truncate_keys(blocks.compute_block_keys(salt, context, block_bytes)),
            max(_token_count(context), 1),
            expected_tokens(prompt, model, adapter, version, max_tokens)[resume_tokens:],
            _token_count(prompt),
        )

    def _has_current_weights(self, generation: Generation) -> bool:
        return self._has_loaded(generation.model, generation.adapter, generation.version)

    def _has_loaded(self, model: str, adapter: str, version: str) -> bool:
        loaded = self._models.get(model)
        if loaded is None or loaded.version != version:
            return False
        return not adapter or adapter in loaded.adapters

    async def _respond(
        self, request: web.Request, generation: Generation, body: dict[str, Any], chat: bool
    ) -> web.StreamResponse:
        await self._wait_for_progress(generation)
        if body.get("stream"):
            return await self._stream(request, generation, body, chat)
        while not generation.finished:
            await self._wait_for_progress(generation)
        return web.json_response(_completion_response(generation, body, chat))

    async def _wait_for_progress(self, generation: Generation) -> None:
        await generation.progressed.wait()
        generation.progressed.clear()
        if generation.rejected:
            raise RefusedError(_CONFLICT, "wrong_version", "weights changed while waiting")

    async def _stream(
        self, request: web.Request, generation: Generation, body: dict[str, Any], chat: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        before, after = _chunk_affixes(body, chat)
        sent_tokens = 0
        while True:
            if sent_tokens < generation.produced:
                tokens = generation.tokens[sent_tokens : generation.produced]
                sent_tokens = generation.produced
                await response.write(b"".join(before + token.encode() + after for token in tokens))
            if self.faults.cut_after_tokens and sent_tokens >= self.faults.cut_after_tokens:
                return response
            if generation.finished:
                break
            await self._wait_for_progress(generation)
        await response.write(_final_chunks(generation, body, chat) + _STREAM_DONE)
        return response

    # State, cache events, orders and cache transfer.

    async def _handle_events(self, request: web.Request) -> web.StreamResponse:
        self.counters.event_subscribers += 1
        return await self._feed.handle(request)

    async def _handle_state(self, request: web.Request) -> web.Response:
        models = {
            name: {"version": model.version, "adapters": sorted(model.adapters)}
            for name, model in self._models.items()
        }
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "models": models,
                "role": self._role,
                "running": self._reported_load[0],
                "waiting": self._reported_load[1],
                "capacity_blocks": self._options.capacity_blocks,
            }
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        # The order completes even if its sender disconnects.
        task = asyncio.create_task(self._execute_order(await json_object(request)))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        await asyncio.shield(task)
        return web.json_response({})

    async def _execute_order(self, body: dict[str, Any]) -> None:
        self._check_fencing_token(body)
        self.counters.orders += 1
        kind, model, adapter = (
            _string_field(body, "kind"),
            _string_field(body, "model"),
            _string_field(body, "adapter"),
        )
        if kind == "load":
            await self._load_model(model, _string_field(body, "version"))
        elif kind == "load_adapter":
            await self._fetch_weights(model, adapter)
            self._loaded_model(model).adapters.add(adapter)
        elif kind == "unload_adapter":
            self._loaded_model(model).adapters.discard(adapter)
            self._cache.remove_model(model, adapter)
        elif kind == "role":
            self._role = _string_field(body, "role")
        else:
            raise RefusedError(_BAD_REQUEST, "bad_request", "unknown order")

    def _check_fencing_token(self, body: dict[str, Any]) -> None:
        fencing = _integer_field(body, "fencing", 0, 2**63)
        if self._options.checks_fencing and fencing < self._highest_fencing_token:
            self.counters.orders_fenced += 1
            raise RefusedError(
                _CONFLICT, "fenced", f"an order with {self._highest_fencing_token} came"
            )
        self._highest_fencing_token = max(self._highest_fencing_token, fencing)

    def _loaded_model(self, model: str) -> LoadedModel:
        if model not in self._models:
            raise RefusedError(_NOT_FOUND, "not_found", "model is not loaded")
        return self._models[model]

    async def _load_model(self, model: str, version: str) -> None:
        await self._fetch_weights(model, version)
        previous = self._models.get(model)
        adapters = previous.adapters if previous else set()
        self._models[model] = LoadedModel(version, adapters)
        self._cache.remove_model(model)

    async def _fetch_weights(self, model: str, name: str) -> None:
        if not model or not name:
            raise RefusedError(_BAD_REQUEST, "bad_request", "order names no weights")
        if not self._options.weights_address:
            await self._clock.sleep(self._options.load_s)
            return
        url = f"http://{self._options.weights_address}/weights/{model}/{name}"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                response.raise_for_status()
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise RefusedError(_BAD_GATEWAY, "target_failed", "no weights") from error

    async def _handle_export(self, request: web.Request) -> web.Response:
        body = await json_object(request)
        salt = _string_field(body, "cache_salt")
        exported: list[str] = []
        last_block = CachedBlock("", "", 0.0)
        for key in _block_keys(body):
            block = self._cache.peek(key)
            if block is None:
                break
            exported.append(key.hex())
            last_block = block
        self.counters.blocks_exported += len(exported)
        loaded = self._models.get(last_block.model)
        return web.json_response(
            {
                "cache_salt": salt,
                "model": last_block.model,
                "adapter": last_block.adapter,
                "version": loaded.version if loaded else "",
                "keys": exported,
            }
        )

    async def _handle_import(self, request: web.Request) -> web.Response:
        body = await json_object(request)
        keys = _block_keys(body)
        model, adapter, version = (
            _string_field(body, name) for name in ("model", "adapter", "version")
        )
        same_salt = _string_field(body, "cache_salt") == request.query.get("cache_salt", "")
        if not same_salt or not self._has_loaded(model, adapter, version):
            return web.json_response({"blocks": 0})
        await self._clock.sleep(len(keys) * self._options.import_block_ms / 1000)
        # The weights may have changed during the import.
        if not self._has_loaded(model, adapter, version):
            return web.json_response({"blocks": 0})
        self._cache.store(keys, model, adapter, self._clock.monotonic_s())
        self.counters.blocks_imported += len(keys)
        return web.json_response({"blocks": len(keys)})


def _block_keys(body: dict[str, Any]) -> list[bytes]:
    try:
        return [bytes.fromhex(key)[: blocks.KEY_BYTES] for key in body["keys"]]
    except (KeyError, TypeError, ValueError) as error:
        raise RefusedError(_BAD_REQUEST, "bad_request", "no block keys") from error


def _parse_models(specs: list[str]) -> dict[str, LoadedModel]:
    models = {}
    for spec in specs:
        name, _, rest = spec.partition("=")
        version, _, adapters = rest.partition(":")
        models[name] = LoadedModel(version, set(filter(None, adapters.split(","))))
    return models


def _string_field(body: dict[str, Any], name: str) -> str:
    value = body.get(name, "")
    if not isinstance(value, str):
        raise RefusedError(_BAD_REQUEST, "bad_request", f"{name} is not a text")
    return value


def _integer_field(body: dict[str, Any], name: str, default: int, maximum: int) -> int:
    value = body.get(name, default)
    if type(value) is not int or not 0 <= value <= maximum:
        raise RefusedError(_BAD_REQUEST, "bad_request", f"{name} is not 0 to {maximum}")
    return value


def _token_count(text: bytes) -> int:
    return -(-len(text) // TOKEN_BYTES)


def _usage(generation: Generation) -> dict[str, Any]:
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.produced,
        "total_tokens": generation.prompt_tokens + generation.produced,
        "prompt_tokens_details": {
            "cached_tokens": min(generation.cached_tokens, generation.prompt_tokens)
        },
    }


def _envelope(body: dict[str, Any], chat: bool, chunk: bool) -> dict[str, Any]:
    kind = ("chat.completion.chunk" if chunk else "chat.completion") if chat else "text_completion"
    return {
        "id": _string_field(body, "request_id"),
        "object": kind,
        "created": 0,
        "model": body["model"],
    }


def _choice(text: str, chat: bool, finish_reason: str | None, chunk: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if not chat:
        choice["text"] = text
    elif chunk:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["message"] = {"role": "assistant", "content": text}
    return choice


def _completion_response(
    generation: Generation, body: dict[str, Any], chat: bool
) -> dict[str, Any]:
    answer = _envelope(body, chat, chunk=False)
    answer["choices"] = [_choice("".join(generation.tokens), chat, "length", chunk=False)]
    answer["usage"] = _usage(generation)
    return answer


def _chunk_affixes(body: dict[str, Any], chat: bool) -> tuple[bytes, bytes]:
    """Serialize what precedes and follows the text in every chunk of a stream."""
    chunk = _envelope(body, chat, chunk=True)
    chunk["choices"] = [_choice("\0", chat, None, chunk=True)]
    before, _, after = json.dumps(chunk).partition("\\u0000")
    return b"data: " + before.encode(), after.encode() + b"\n\n"


def _final_chunks(generation: Generation, body: dict[str, Any], chat: bool) -> bytes:
    final = _envelope(body, chat, chunk=True)
    final["choices"] = [_choice("", chat, "length", chunk=True)]
    chunks = [final]
    options = body.get("stream_options")
    if isinstance(options, dict) and options.get("include_usage"):
        chunks.append({**final, "choices": [], "usage": _usage(generation)})
    return b"".join(b"data: " + json.dumps(line).encode() + b"\n\n" for line in chunks)


def main() -> None:
    """Run the simulated engine until SIGTERM."""
    options = cappa.parse(Options)
    serve(EngineStandIn(options), "engine", options.address)


if __name__ == "__main__":
    main()
