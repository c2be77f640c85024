"""Fakes and helpers that several tests use."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError
from coltsfootfront.configuration import entries
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.keyvalue.store import (
    KeyValue,
    Store,
    Transaction,
    TransactionResult,
    WatchEvent,
)
from coltsfootfront.targets.engine import (
    CacheEvent,
    Engine,
    EngineState,
    GenerateRequest,
    GenerationEnd,
    Order,
    TextChunk,
)
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead

START = datetime(2026, 1, 1, tzinfo=UTC)
# Time in which a client reads a reply before its connection is reset.
RESET_DELAY_S = 0.05


class ManualClock(Clock):
    """A clock that advances only by calls of :meth:`advance`."""

    def __init__(self) -> None:
        self._elapsed_s = 1000.0
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        return self._elapsed_s

    def now(self) -> datetime:
        return START + timedelta(seconds=self._elapsed_s)

    async def sleep(self, delay_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._elapsed_s + delay_s, future))
        await future

    def advance(self, delay_s: float) -> None:
        """Advance the clock and wake every sleeper that is due."""
        self._elapsed_s += delay_s
        due = [item for item in self._sleepers if item[0] <= self._elapsed_s]
        self._sleepers = [item for item in self._sleepers if item[0] > self._elapsed_s]
        for _, future in due:
            if not future.done():
                future.set_result(None)


def make_configuration(sections: dict[str, dict[str, Any]]) -> ActiveConfiguration:
    """A revision whose active document is this one, with number 1."""
    revision = ActiveConfiguration()
    install_document(revision, 1, sections)
    return revision


def install_document(
    configuration: ActiveConfiguration, number: int, sections: dict[str, dict[str, Any]]
) -> None:
    """Make another document active."""
    parts = entries.split_document(sections)
    assert configuration.install(number, parts, entries.digest(parts))


def single_target_document(
    kind: str = "engine", target: dict[str, Any] | None = None, **terms: Any
) -> dict[str, dict[str, Any]]:
    """Sections of a document with one target, whose terms allow ``small`` and ``large``.

    The customer ``stranger`` has no terms.

    :param target: fields of the target that replace the defaults.
    :param terms: fields of the terms that replace the defaults.
    """
    engine = kind == "engine"
    models = [{"model": "m", "version": "v1", "adapters": ["a"]}] if engine else []
    given = {"models": ["m"], "adapters": ["a"]} if engine else {}
    return {
        "owners": {"o": {}},
        "services": {"s": {"kind": kind}},
        "models": {"m": {}},
        "customers": {
            "small": {"key_hashes": [], "max_queued": 4},
            "large": {"key_hashes": []},
            "stranger": {"key_hashes": []},
        },
        "targets": {
            "t": {
                "owner": "o",
                "service": "s",
                "data_centre": "d",
                "agent_address": "127.0.0.1:1",
                "slots": 2,
                "models": models,
                **(target or {}),
            }
        },
        "terms": {
            "x": {
                "owner": "o",
                "customers": ["small", "large"],
                "targets": ["t"],
                **given,
                **terms,
            }
        },
    }


class NoopLifecycle:
    """Mixin for fakes without resources to open or close."""

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass


class InMemoryStore(NoopLifecycle, Store):
    """In-memory store with leases and fault injection.

    ``faults`` lists the results of the next calls: ``down`` (unavailable, no effect), ``lost`` (a
    write takes effect but its answer is lost), ``dropped`` (a write has no effect and its answer
    is lost) or ``ok``. While it is empty, ``mode`` applies to every call.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.values: dict[str, KeyValue] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 100
        self.current_era = 0
        self.mode = "ok"
        self.faults: list[str] = []

    @property
    def era(self) -> int:
        return self.current_era

    async def get(self, key: str) -> Result[KeyValue | None, Failure]:
        if self._next_fault() != "ok":
            return Failed(Failure(ErrorKind.STORE_UNAVAILABLE))
        return Success(self.values.get(key))

    async def list_prefix(self, prefix: str) -> Result[list[KeyValue], Failure]:
        if self._next_fault() != "ok":
            return Failed(Failure(ErrorKind.STORE_UNAVAILABLE))
        return Success([self.values[key] for key in sorted(self.values) if key.startswith(prefix)])

    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        fault = self._next_fault()
        if fault == "down":
            return Failed(Failure(ErrorKind.STORE_UNAVAILABLE))
        if fault == "dropped":
            return Failed(Failure(ErrorKind.STORE_AMBIGUOUS))
        outcome = self._apply_transaction(transaction)
        if fault == "lost":
            return Failed(Failure(ErrorKind.STORE_AMBIGUOUS))
        return Success(outcome)

    async def grant_lease(self, ttl_s: float) -> Result[int, Failure]:
        if self._next_fault() != "ok":
            return Failed(Failure(ErrorKind.STORE_UNAVAILABLE))
        self.revision += 1
        self.leases[self.revision] = (ttl_s, self._clock.monotonic_s() + ttl_s)
        return Success(self.revision)

    async def keep_alive(self, lease: int) -> Result[float, Failure]:
        if self._next_fault() != "ok":
            return Failed(Failure(ErrorKind.STORE_UNAVAILABLE))
        life_s, _ = self.leases.get(lease, (0.0, 0.0))
        if life_s:
            self.leases[lease] = (life_s, self._clock.monotonic_s() + life_s)
        return Success(life_s)

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        if self._next_fault() != "ok":
            return Failed(Failure(ErrorKind.STORE_UNAVAILABLE))
        self._end_lease(lease)
        return Success(None)

    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        raise NotImplementedError

    def _next_fault(self) -> str:
        for lease, (_, expires_s) in list(self.leases.items()):
            if expires_s <= self._clock.monotonic_s():
                self._end_lease(lease)
        return self.faults.pop(0) if self.faults else self.mode

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        self.values = {key: value for key, value in self.values.items() if value.lease != lease}

    def _apply_transaction(self, transaction: Transaction) -> TransactionResult:
        for compare in transaction.compares:
            found = self.values.get(compare.key)
            if (found.mod_revision if found else 0) != compare.mod_revision:
                read = [
                    self.values[key] for key in transaction.read_on_failure if key in self.values
                ]
                return TransactionResult(False, self.revision, read)
        self.revision += 1
        for put in transaction.puts:
            known = self.values.get(put.key)
            created = known.create_revision if known else self.revision
            self.values[put.key] = KeyValue(put.key, put.value, created, self.revision, put.lease)
        for key in transaction.deletes:
            self.values.pop(key, None)
        return TransactionResult(True, self.revision)


class FakeEngine(NoopLifecycle, Engine):
    """Engine with a scripted response.

    ``parts`` are yielded in order; a :class:`Failure` among them is raised, an
    :class:`asyncio.Event` is awaited.
    """

    def __init__(
        self, items: Sequence[TextChunk | GenerationEnd | Failure | asyncio.Event] = ()
    ) -> None:
        self.items = items
        self.requests: list[GenerateRequest] = []
        self.closed_streams = 0
        self.reported_state = EngineState("e1", {"m": ("v1", ("a",))})
        self.orders: list[Order] = []
        self.on_order: Callable[[Order], Awaitable[Result[None, Failure]]] | None = None

    async def generate(self, request: GenerateRequest) -> AsyncIterator[TextChunk | GenerationEnd]:
        self.requests.append(request)
        try:
            for part in self.items:
                if isinstance(part, Failure):
                    raise FailureError(part)
                if isinstance(part, asyncio.Event):
                    await part.wait()
                    continue
                yield part
        finally:
            self.closed_streams += 1

    async def state(self) -> Result[EngineState, Failure]:
        return Success(self.reported_state)

    async def cache_events(self) -> AsyncIterator[CacheEvent]:
        raise FailureError(Failure(ErrorKind.ENGINE_FAILED))
        yield

    async def order(self, order: Order) -> Result[None, Failure]:
        self.orders.append(order)
        return Success(None) if self.on_order is None else await self.on_order(order)

    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        return Failed(Failure(ErrorKind.NOT_FOUND))

    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        return Failed(Failure(ErrorKind.NOT_FOUND))


class FakeService(NoopLifecycle, PlainService):
    """Service with a scripted response that records its calls; see :class:`FakeEngine`."""

    def __init__(
        self, items: Sequence[ServiceResponseHead | bytes | Failure | asyncio.Event]
    ) -> None:
        self.items = items
        self.calls: list[ServiceCall] = []

    async def call(self, request: ServiceCall) -> AsyncIterator[ServiceResponseHead | bytes]:
        self.calls.append(request)
        for part in self.items:
            if isinstance(part, Failure):
                raise FailureError(part)
            if isinstance(part, asyncio.Event):
                await part.wait()
                continue
            yield part

    async def is_healthy(self) -> bool:
        return True


async def run_ready_tasks(rounds: int = 30) -> None:
    """Yield to the event loop until ready tasks have run."""
    for _ in range(rounds):
        await asyncio.sleep(0)


@asynccontextmanager
async def fixed_response_server(
    reply: bytes, request_heads: list[bytes] | None = None, resets: bool = False
) -> AsyncIterator[str]:
    """HTTP server that answers each request with the same bytes and closes the connection.

    :param request_heads: list to which the request line and headers of each request are appended.
    :param resets: whether connections are reset shortly after the reply instead of closed.
    :returns: base URL of the server.
    """

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if request_heads is not None:
            request_heads.append(head)
        _, _, rest = head.lower().partition(b"content-length:")
        await reader.readexactly(int(rest.split(b"\r\n")[0] or 0))
        writer.write(reply)
        await writer.drain()
        try:
            if resets:
                await asyncio.sleep(RESET_DELAY_S)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        finally:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.close()
        await server.wait_closed()
