"""The program beside each target: the only access path to it."""

import asyncio
import json
import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from pathlib import Path
from weakref import WeakValueDictionary

import logbook
from aiohttp import web
from returns.result import Success

from coltsfootfront import __version__, metrics
from coltsfootfront.cacheevents import CacheEvents
from coltsfootfront.channel import Channel, ChannelPool
from coltsfootfront.claims import MAX_OUTCOME_BYTES, Claims
from coltsfootfront.clock import Clock, SystemClock
from coltsfootfront.connection import Connection, Identity, Listener
from coltsfootfront.document import KIND_ENGINE, KIND_KEPT_CACHE, KIND_SERVICE
from coltsfootfront.drain import Drain
from coltsfootfront.engine import Engine
from coltsfootfront.errors import ErrorKind, Failure, RunState
from coltsfootfront.execution import (
    Backend,
    EngineBackend,
    Execution,
    ServiceBackend,
    ask_of,
)
from coltsfootfront.fairqueue import FairQueue
from coltsfootfront.gate import Ask, Gate
from coltsfootfront.index import CacheIndex
from coltsfootfront.keptcache import KeptCache
from coltsfootfront.leases import LoadSlots, TargetLease
from coltsfootfront.leaving import STATE_LIVE, Vm, VmList
from coltsfootfront.logs import event
from coltsfootfront.messages import (
    Acknowledge,
    Cancel,
    Message,
    Probe,
    ProbeReply,
    Resume,
    Run,
    Status,
    StatusReply,
    fail_message,
)
from coltsfootfront.orders import Orders
from coltsfootfront.pause import PauseDetector
from coltsfootfront.revision import InForce, Revision
from coltsfootfront.runtime import Program, load_or_exit, serve
from coltsfootfront.service import PlainService
from coltsfootfront.settings import AgentSettings
from coltsfootfront.spread import Spread
from coltsfootfront.store import Store
from coltsfootfront.streams import Attempt, AttemptKey, Streams
from coltsfootfront.supervisor import Supervisor
from coltsfootfront.transfer import Transfer, allowed_customers

log = logbook.Logger(__name__)

# Limit for reaching the revision that a request's router has in force.
REVISION_TIMEOUT_S = 1.0
BOOTSTRAP_TIMEOUT_S = 5.0
# Time between two looks for peers while none is known.
BOOTSTRAP_WAIT_S = 0.5
# Limit for checking the revision after a pause; then the one in force is served on.
SETTLE_TIMEOUT_S = 1.0
# Failed reads of the target's state in a row after which it counts as not reachable.
MAX_FAILED_READS = 2
EXPIRY_INTERVAL_S = 1.0
IDLE_CHECK_INTERVAL_S = 15.0
DRAIN_CHECK_INTERVAL_S = 0.05
# Limit for writing the outcomes of claims before the process ends.
CLAIMS_FLUSH_S = 5.0
# Request bodies of waiting and running requests together.
MAX_BODY_BYTES = 8 * 1024 * 1024
ROLE_ROUTER = "router"
# With fewer routers than this in the own data centre, routers of all of them are greeted.
MIN_NEAR_ROUTERS = 2

Routes = WeakValueDictionary[int, Attempt]


class Adapters(ABC):
    """Makes the adapters of outside systems."""

    @abstractmethod
    def store(self) -> Store:
        """The platform's key-value service."""

    @abstractmethod
    def engine(self) -> Engine:
        """The target, if it is a model engine."""

    @abstractmethod
    def service(self) -> PlainService:
        """The target, if it is a plain service."""

    @abstractmethod
    def vm_list(self) -> VmList | None:
        """The platform's list of VMs, if there is one."""

    @abstractmethod
    def kept_cache(self) -> KeptCache | None:
        """The kept-cache service, if there is one."""


class HttpAdapters(Adapters):
    """Adapters that speak HTTP; each is imported when it is first needed."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock

    def store(self) -> Store:
        from coltsfootfront.etcd import EtcdStore

        return EtcdStore(self._settings.store_address, self._settings.store_timeout_s)

    def engine(self) -> Engine:
        from coltsfootfront.openai import OpenAiEngine

        settings = self._settings
        return OpenAiEngine(settings.target_url, settings.target_timeout_s, self._clock)

    def service(self) -> PlainService:
        from coltsfootfront.httpservice import HttpService

        settings = self._settings
        return HttpService(settings.target_url, settings.target_timeout_s, self._clock)

    def vm_list(self) -> VmList | None:
        if not self._settings.vm_list_url:
            return None
        from coltsfootfront.leaving import HttpVmList

        return HttpVmList(self._settings.vm_list_url, self._settings.store_timeout_s)

    def kept_cache(self) -> KeptCache | None:
        if not self._settings.kept_cache_url:
            return None
        from coltsfootfront.httpkeptcache import HttpKeptCache

        settings = self._settings
        return HttpKeptCache(settings.kept_cache_url, settings.target_timeout_s, self._clock)


class RequestServer:
    """Serves the requests of routers.

    :param settings: settings of the agent.
    :param identity: identity of the agent.
    :param clock: time source.
    :param revision: configuration in force.
    :param spread: takes the messages that concern the configuration.
    :param gate: decides on admission.
    :param queue: queue in front of the target.
    :param streams: answers of all attempts.
    :param claims: idempotency claims.
    :param pause: checked before each message.
    """

    def __init__(
        self,
        settings: AgentSettings,
        identity: Identity,
        clock: Clock,
        revision: Revision,
        spread: Spread,
        gate: Gate,
        queue: FairQueue,
        streams: Streams,
        claims: Claims,
        pause: PauseDetector,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._revision = revision
        self._spread = spread
        self._gate = gate
        self._queue = queue
        self._streams = streams
        self._claims = claims
        self._pause = pause
        self._executions: dict[AttemptKey, Execution] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._body_bytes = 0
        self.backend: Backend | None = None
        """The target; None until the document says what it is."""
        self.describe: Callable[[], dict[str, object]] = dict
        """Builds the state that ``status`` reports."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or an answer is still being sent."""
        return bool(self._executions) or self._streams.undelivered() > 0

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        # Weak, so that a connection keeps no answer that the streams have forgotten.
        routes: Routes = WeakValueDictionary()
        try:
            while True:
                message, number = await connection.receive()
                self._pause.check()
                if not await self._spread.handle(connection, message, number):
                    await self._handle(connection, routes, message, number)
        finally:
            self._streams.detach_owner(connection)

    async def expire(self) -> None:
        """Stop attempts whose router is gone and forget old ones, for ever."""
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_S)
            for attempt in self._streams.abandoned():
                execution = self._executions.get(attempt.key)
                if execution is not None and execution.may_be_stopped:
                    execution.cancel(Failure(ErrorKind.CANCELLED, "the router has gone"))
            self._streams.expire()

    async def close(self) -> None:
        """End everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for execution in list(self._executions.values()):
            await execution.close()
        self._streams.close()

    async def _handle(
        self, connection: Connection, routes: Routes, message: Message, number: int
    ) -> None:
        if isinstance(message, Probe):
            await connection.send(self._probe(message))
        elif isinstance(message, Run):
            await self._run(connection, routes, message, number)
        elif isinstance(message, Acknowledge):
            attempt = routes.get(message.stream)
            if attempt is not None and attempt.key[1] == message.attempt:
                attempt.acknowledge(message.offset)
        elif isinstance(message, Cancel):
            await self._cancel(connection, message)
        elif isinstance(message, Resume):
            await self._resume(connection, routes, message)
        elif isinstance(message, Status):
            await connection.send(StatusReply(message.call, json.dumps(self.describe()).encode()))
        else:
            metrics.CONNECTIONS.inc({"event": "unexpected_message"})

    def _probe(self, probe: Probe) -> ProbeReply:
        ask = Ask(probe.customer, probe.service, probe.model, probe.adapter, probe.version)
        judged = self._gate.admit(ask, math.inf)
        incarnation = self._gate.engine_incarnation
        if not isinstance(judged, Success):
            failure = judged.failure()
            return ProbeReply(
                probe.call,
                0,
                0.0,
                0.0,
                failure.kind.value,
                incarnation,
                self._queue.load,
                failure.wait_s or 0.0,
            )
        share = self._gate.share(probe.customer, judged.unwrap())
        wait_s = self._queue.estimate_s(share)
        matched, prefill_s = 0, 0.0
        if isinstance(self.backend, EngineBackend):
            matched = self.backend.index.match(probe.depths, probe.keys)
            prefill_s = self.backend.prefill_s
        reply = ProbeReply(
            probe.call, matched, wait_s, prefill_s, "", incarnation, self._queue.load
        )
        if probe.hold:
            self._queue.hold(probe.customer, self._settings.hold_s)
        return reply

    async def _run(self, connection: Connection, routes: Routes, run: Run, number: int) -> None:
        key = (run.request_id, run.attempt)
        record = self._streams.record_of(key)
        if record is not None:
            failure = Failure(ErrorKind.UNKNOWN_STREAM, "the attempt was given up", record)
            await connection.send(fail_message(run.stream, run.attempt, failure))
            return
        attempt = self._streams.get(key)
        if attempt is not None:
            metrics.STREAMS.inc({"event": "run_repeated"})
            if not attempt.is_attached_to(connection, run.stream):
                self._attach(connection, routes, attempt, run.stream, 0)
            return
        if not self._has_room(run):
            failure = Failure(ErrorKind.OVERLOADED, "the agent's buffers are full")
            metrics.refused(failure.kind.value)
            await connection.send(fail_message(run.stream, run.attempt, failure))
            return
        attempt = self._streams.open(key, run.deadline_unix_s, run.idempotent)
        self._attach(connection, routes, attempt, run.stream, 0)
        if number > self._revision.number or not self._gate.settled:
            self._spawn(self._run_at_revision(run, attempt, number))
        else:
            self._admit(run, attempt)

    def _has_room(self, run: Run) -> bool:
        if self._body_bytes and self._body_bytes + len(run.body) > MAX_BODY_BYTES:
            return False
        return self._streams.has_room()

    def _attach(
        self,
        connection: Connection,
        routes: Routes,
        attempt: Attempt,
        stream: int,
        next_seq: int,
    ) -> None:
        routes[stream] = attempt
        attempt.attach(connection, connection.send, stream, next_seq)

    async def _run_at_revision(self, run: Run, attempt: Attempt, number: int) -> None:
        await self._gate.wait_settled()
        if await self._reach(number):
            self._admit(run, attempt)
            return
        metrics.refused(ErrorKind.STALE_REVISION.value)
        attempt.fail(Failure(ErrorKind.STALE_REVISION, f"revision {number} cannot be had"))

    async def _reach(self, number: int) -> bool:
        reached = asyncio.Event()

        def adopt(in_force: InForce) -> None:
            if in_force.number >= number:
                reached.set()

        subscription = self._revision.changes.subscribe(adopt)
        try:
            async with asyncio.timeout(REVISION_TIMEOUT_S):
                await reached.wait()
            return True
        except TimeoutError:
            return False
        finally:
            subscription.dispose()

    def _admit(self, run: Run, attempt: Attempt) -> None:
        """Let a request in; nothing is awaited between the decision and the queue."""
        if attempt.ended_s is not None:
            return
        ask = ask_of(run)
        judged = self._gate.admit(ask, run.deadline_unix_s)
        backend = self.backend
        if not isinstance(judged, Success) or backend is None:
            failure = Failure(ErrorKind.TARGET_UNREACHABLE, "the target is not known yet")
            failure = failure if isinstance(judged, Success) else judged.failure()
            metrics.refused(failure.kind.value)
            log.info(
                event(
                    "request_refused",
                    request_id=run.request_id,
                    customer=run.customer,
                    revision=self._revision.number,
                    reason=failure.kind.value,
                )
            )
            attempt.fail(failure)
            return
        execution = Execution(
            run,
            ask,
            judged.unwrap(),
            attempt,
            backend,
            self._gate,
            self._queue,
            self._claims,
            self._clock,
        )
        task = execution.start()
        size = len(run.body)
        self._body_bytes += size
        self._executions[attempt.key] = execution
        task.add_done_callback(lambda _: self._ended(attempt.key, size))

    def _ended(self, key: AttemptKey, size: int) -> None:
        self._body_bytes -= size
        del self._executions[key]

    async def _cancel(self, connection: Connection, cancel: Cancel) -> None:
        key = (cancel.request_id, cancel.attempt)
        failure = Failure(ErrorKind.CANCELLED, "the router cancelled the attempt")
        run = self._stop(key, failure)
        await connection.send(fail_message(cancel.stream, cancel.attempt, failure.with_run(run)))

    def _stop(self, key: AttemptKey, failure: Failure) -> RunState:
        attempt = self._streams.get(key)
        if attempt is None:
            return self._streams.refuse(key)
        attempt.detach()
        execution = self._executions.get(key)
        if attempt.ended_s is not None:
            return RunState.UNKNOWN if attempt.failure is None else attempt.failure.run
        if execution is not None:
            return execution.cancel(failure)
        attempt.fail(failure)
        return RunState.NOT_RUN

    async def _resume(self, connection: Connection, routes: Routes, resume: Resume) -> None:
        key = (resume.request_id, resume.attempt)
        attempt = self._streams.get(key)
        if attempt is not None:
            metrics.STREAMS.inc({"event": "resumed"})
            self._attach(connection, routes, attempt, resume.stream, resume.next_seq)
            return
        metrics.STREAMS.inc({"event": "resume_unknown"})
        run = RunState.UNKNOWN
        if resume.incarnation == self._identity.incarnation:
            run = self._streams.refuse(key)
        failure = Failure(ErrorKind.UNKNOWN_STREAM, "the attempt is not known here", run)
        await connection.send(fail_message(resume.stream, resume.attempt, failure))

    def _spawn(self, body: Awaitable[None]) -> None:
        task = asyncio.ensure_future(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class TargetWatch(ABC):
    """Follows the target's state for the gate.

    :param gate: takes the state.
    :param clock: time source.
    :param interval_s: time between two reads.
    """

    def __init__(self, gate: Gate, clock: Clock, interval_s: float) -> None:
        self._gate = gate
        self._clock = clock
        self._interval_s = interval_s
        self._failed = 0

    async def run(self) -> None:
        """Read the state for ever."""
        while True:
            self._note(await self._read())
            await self._clock.sleep(self._interval_s)

    @abstractmethod
    async def _read(self) -> bool:
        """Read the state.

        :returns: whether the target answered.
        """

    def _note(self, answered: bool) -> None:
        self._failed = 0 if answered else self._failed + 1
        if answered:
            self._gate.reachable = True
        elif self._failed >= MAX_FAILED_READS and self._gate.reachable:
            self._gate.reachable = False
            self._gate.engine = None
            log.warning(event("target_unreachable", failed_reads=self._failed))


class EngineWatch(TargetWatch):
    """Follows an engine's report.

    :param engine: adapter of the engine.
    :param index: learns the incarnation and the capacity.
    """

    def __init__(
        self, gate: Gate, clock: Clock, interval_s: float, engine: Engine, index: CacheIndex
    ) -> None:
        super().__init__(gate, clock, interval_s)
        self._engine = engine
        self._index = index

    async def _read(self) -> bool:
        report = await self._engine.state()
        if not isinstance(report, Success):
            return False
        state = report.unwrap()
        self._index.note_incarnation(state.incarnation)
        self._index.set_capacity(state.capacity_blocks)
        self._gate.engine = state
        return True


class ServiceWatch(TargetWatch):
    """Follows the health of a plain service.

    :param service: adapter of the service.
    """

    def __init__(self, gate: Gate, clock: Clock, interval_s: float, service: PlainService) -> None:
        super().__init__(gate, clock, interval_s)
        self._service = service

    async def _read(self) -> bool:
        return await self._service.healthy()


class Agent(Program):
    """Wires the agent's parts together.

    :param settings: settings of the agent.
    :param adapters: makes the adapters of outside systems.
    :param clock: time source.
    """

    def __init__(self, settings: AgentSettings, adapters: Adapters, clock: Clock) -> None:
        self._settings = settings
        self._adapters = adapters
        self._clock = clock
        self.revision = Revision()
        self.identity = Identity(
            "agent",
            settings.name,
            settings.data_centre,
            settings.peer_secret,
            lambda: self.revision.number,
        )
        self._pool = ChannelPool(self._channel)
        self.spread = Spread(
            self.identity,
            self.revision,
            self._pool,
            clock,
            settings.seed_addresses,
            settings.peer_address,
            settings.greet_interval_s,
        )
        self.drain_state = Drain(settings.target, settings.peer_address, self.revision, clock)
        self.queue = FairQueue(clock)
        self.gate = Gate(
            settings.target,
            self.revision,
            self.drain_state,
            self.queue,
            clock,
            settings.max_queued,
        )
        self._store = adapters.store()
        self.claims = Claims(self._store, clock, settings.name, settings.claim_retention_s)
        self._pause = PauseDetector(clock, settings.pause_limit_s, self._on_pause)
        self.gate.pause = self._pause
        self.server = self._make_server()
        self._listener = Listener(settings.peer_address, self.identity, self.server.serve)
        self._supervisor = Supervisor("agent", clock)
        self._target = Supervisor("target", clock)
        self._lease: TargetLease | None = None
        self._engine: Engine | None = None
        self._service: PlainService | None = None
        self._kept_cache: KeptCache | None = None
        self._transfer: Transfer | None = None
        self._vm_list = adapters.vm_list()
        self._web: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_peers = bool(settings.seed_addresses)
        self.address = ""
        """Peer address in use."""

    async def start(self) -> None:
        """Listen, take the configuration from peers and follow the target."""
        await self._store.start()
        await self._start_web()
        self.address = await self._listener.start()
        self.revision.changes.subscribe(self._on_revision)
        await self.spread.start()
        self._supervisor.add("pause", self._pause.run)
        self._supervisor.add("bootstrap", self._bootstrap)
        self._supervisor.add("expiry", self.server.expire)
        self._supervisor.add("claims", self.claims.run)
        self._supervisor.add("idle_channels", self._close_idle)
        if self._vm_list is not None:
            await self._vm_list.start()
            self._supervisor.add("vm_list", self._follow_vms)
        await self._supervisor.start()
        log.info(
            event(
                "agent_started",
                target=self._settings.target,
                address=self.address,
                version=__version__,
            )
        )

    async def drain(self) -> None:
        self.drain_state.stop()
        await self._clock.sleep(self._settings.drain_wait_s)
        while self.server.is_busy:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL_S)
        try:
            async with asyncio.timeout(CLAIMS_FLUSH_S):
                while self.claims.pending:
                    await self._clock.sleep(DRAIN_CHECK_INTERVAL_S)
        except TimeoutError:
            log.warning(event("claims_not_written", pending=self.claims.pending))

    async def close(self) -> None:
        await self._listener.stop_accepting()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        await self._target.close()
        await self._supervisor.close()
        await self.spread.close()
        await self._pool.close()
        await self._listener.close()
        if self._web is not None:
            await self._web.cleanup()
        await self._close_adapters()
        self.gate.close()
        self.drain_state.close()

    async def _close_adapters(self) -> None:
        if self._transfer is not None:
            await self._transfer.close()
        adapters = (self._kept_cache, self._engine, self._service, self._vm_list, self._store)
        for adapter in adapters:
            if adapter is not None:
                await adapter.close()

    @property
    def is_ready(self) -> bool:
        """Whether the target takes new work."""
        return (
            self.revision.number > 0
            and self.gate.settled
            and self.gate.reachable
            and self.drain_state.failure() is None
        )

    def state(self) -> dict[str, object]:
        """State for people and for ``status``."""
        source = self.drain_state.source
        state: dict[str, object] = {
            "name": self._settings.name,
            "role": "agent",
            "target": self._settings.target,
            "version": __version__,
            "revision": self.revision.number,
            "digest": self.revision.digest,
            "ready": self.is_ready,
            "draining": None if source is None else source.value,
            "engine": self.gate.engine_incarnation,
            "running": self.queue.running,
            "waiting": self.queue.waiting,
            "load": self.queue.load,
            "service_s": self.queue.service_s,
            "claims_pending": self.claims.pending,
        }
        if isinstance(self.server.backend, EngineBackend):
            state["cached_blocks"] = len(self.server.backend.index)
            state["prefill_s"] = self.server.backend.prefill_s
        return state

    def _make_server(self) -> RequestServer:
        settings = self._settings
        streams = Streams(
            self._clock,
            settings.stream_linger_s,
            settings.window_bytes,
            settings.max_stream_bytes,
        )
        server = RequestServer(
            settings,
            self.identity,
            self._clock,
            self.revision,
            self.spread,
            self.gate,
            self.queue,
            streams,
            self.claims,
            self._pause,
        )
        server.describe = self.state
        return server

    def _channel(self, address: str) -> Channel:
        return Channel(
            address,
            self.identity,
            self._clock,
            self.spread.note_revision,
            self.spread.answer,
        )

    async def _bootstrap(self) -> None:
        while self.revision.number == 0:
            if self._has_peers:
                await self.spread.bootstrap(BOOTSTRAP_TIMEOUT_S)
            else:
                await self._clock.sleep(BOOTSTRAP_WAIT_S)

    async def _close_idle(self) -> None:
        while True:
            await self._clock.sleep(IDLE_CHECK_INTERVAL_S)
            await self._pool.close_idle()

    async def _follow_vms(self) -> None:
        assert self._vm_list is not None
        while True:
            # While the list cannot be read, what it said last holds.
            (await self._vm_list.read()).map(self._note_vms)
            await self._clock.sleep(self._settings.vm_list_interval_s)

    def _note_vms(self, vms: list[Vm]) -> None:
        self.drain_state.note_vms(vms)
        routers = [vm for vm in vms if vm.role == ROLE_ROUTER and vm.state == STATE_LIVE]
        near = [vm for vm in routers if vm.data_centre == self._settings.data_centre]
        chosen = near if len(near) >= MIN_NEAR_ROUTERS else routers
        self.spread.set_peers([vm.peer_address for vm in chosen])
        self._has_peers = bool(chosen or self._settings.seed_addresses)

    def _on_revision(self, in_force: InForce) -> None:
        if self.server.backend is not None:
            return
        if self.gate.kind == KIND_ENGINE:
            self._spawn(self._start_engine())
        elif self.gate.kind in (KIND_SERVICE, KIND_KEPT_CACHE):
            # A kept cache has a health check like a plain service; no terms cover calls to it.
            self._spawn(self._start_service())

    async def _start_engine(self) -> None:
        if self._engine is not None:
            return
        settings, clock = self._settings, self._clock
        self._engine = engine = self._adapters.engine()
        await engine.start()
        index = CacheIndex(clock)
        self.server.backend = backend = EngineBackend(engine, index, clock)
        await self._start_transfer(backend, engine)
        self._lease = TargetLease(
            self._store,
            clock,
            settings.target,
            self.identity.incarnation,
            settings.lease_s,
            settings.order_timeout_s,
        )
        slots = LoadSlots(self._store, clock, settings.order_timeout_s + settings.lease_s)
        orders = Orders(
            self.gate,
            engine,
            self._lease,
            slots,
            clock,
            settings.target,
            settings.order_timeout_s,
        )
        watch = EngineWatch(self.gate, clock, settings.load_interval_s, engine, index)
        self._target.add("state", watch.run)
        self._target.add("cache_events", CacheEvents(engine, index, clock).run)
        self._target.add("orders", orders.run)
        await self._target.start()

    async def _start_transfer(self, backend: EngineBackend, engine: Engine) -> None:
        self._kept_cache = kept = self._adapters.kept_cache()
        if kept is None:
            return
        await kept.start()
        self._transfer = transfer = Transfer(engine, kept, backend.index, self._clock)
        backend.transfer = transfer

        def adopt(in_force: InForce) -> None:
            transfer.customers = allowed_customers(in_force.document, self._settings.data_centre)

        self.revision.changes.subscribe(adopt)

    async def _start_service(self) -> None:
        if self._service is not None:
            return
        self._service = service = self._adapters.service()
        await service.start()
        self.server.backend = ServiceBackend(service, MAX_OUTCOME_BYTES)
        interval_s = self._settings.load_interval_s
        self._target.add("state", ServiceWatch(self.gate, self._clock, interval_s, service).run)
        await self._target.start()

    def _on_pause(self, gap_s: float) -> None:
        if self._lease is not None:
            self._lease.doubt()
        if self.gate.settled and self._has_peers:
            self.gate.settled = False
            self._spawn(self._settle())

    async def _settle(self) -> None:
        try:
            await self.spread.bootstrap(SETTLE_TIMEOUT_S)
        finally:
            self.gate.settled = True

    async def _start_web(self) -> None:
        app = web.Application()
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_get("/readyz", self._handle_ready)
        app.router.add_get("/metrics", metrics.handle_metrics)
        self._web = web.AppRunner(app, access_log=None)
        await self._web.setup()
        host, _, port = self._settings.http_address.rpartition(":")
        await web.TCPSite(self._web, host, int(port)).start()

    async def _handle_health(self, _: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _handle_ready(self, _: web.Request) -> web.Response:
        ready = self.is_ready
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    def _spawn(self, body: Awaitable[None]) -> None:
        task = asyncio.ensure_future(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def main() -> None:
    """Run the program ``coltsfootfront-agent``."""
    config = _parse_arguments()
    settings = load_or_exit(config, AgentSettings)
    clock = SystemClock()
    serve(_Main(settings, clock), settings.name, settings.log_level)


class _Main(Program):
    """Builds the agent inside the event loop, which its parts need."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._agent: Agent | None = None

    async def start(self) -> None:
        adapters = HttpAdapters(self._settings, self._clock)
        self._agent = Agent(self._settings, adapters, self._clock)
        await self._agent.start()

    async def drain(self) -> None:
        assert self._agent is not None
        await self._agent.drain()

    async def close(self) -> None:
        assert self._agent is not None
        await self._agent.close()


def _parse_arguments() -> Path:
    from dataclasses import dataclass
    from typing import Annotated

    import cappa

    @cappa.command(name="coltsfootfront-agent", help="Agent beside one target.")
    @dataclass
    class Arguments:
        config: Annotated[Path, cappa.Arg(long=True, help="Settings file in TOML.")]

    return cappa.parse(Arguments, version=__version__).config


if __name__ == "__main__":
    main()
