"""The program beside each target: the only access path to it."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable
from pathlib import Path

import logbook
from aiohttp import web

from coltsfootfront import __version__
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront.common.logs import event
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.common.runtime import Program, serve
from coltsfootfront.common.settings import AgentSettings, load_or_exit
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.configuration.document import KIND_ENGINE, KIND_KEPT_CACHE, KIND_SERVICE
from coltsfootfront.configuration.activeconfiguration import ActiveRevision, ActiveConfiguration
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.keyvalue.claims import MAX_OUTCOME_BYTES, Claims
from coltsfootfront.keyvalue.leases import LoadSlots, TargetLease
from coltsfootfront.keyvalue.store import Store
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Identity, Listener
from coltsfootfront.peers.vmlist import STATE_LIVE, Vm, VmList
from coltsfootfront.targets.cacheevents import CacheEventConsumer
from coltsfootfront.targets.drain import Drain
from coltsfootfront.targets.engine import Engine
from coltsfootfront.targets.execution import (
    EngineBackend,
    ServiceBackend,
)
from coltsfootfront.targets.fairqueue import FairQueue
from coltsfootfront.targets.admission import AdmissionController
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.keptcache import KeptCache
from coltsfootfront.targets.reconciler import TargetReconciler
from coltsfootfront.targets.prefills import PrefillTracker
from coltsfootfront.targets.requestserver import RequestServer
from coltsfootfront.targets.service import PlainService
from coltsfootfront.targets.attempts import Streams
from coltsfootfront.targets.targetmonitor import EngineWatch, ServiceWatch
from coltsfootfront.targets.prefixtransfer import PrefixTransfer, exportable_customers

log = logbook.Logger(__name__)

BOOTSTRAP_TIMEOUT_S = 5.0
# Time between two looks for peers while none is known.
BOOTSTRAP_WAIT_S = 0.5
# Limit for checking the revision after a pause; then the one in force is served on.
SETTLE_TIMEOUT_S = 1.0
IDLE_CHECK_INTERVAL_S = 15.0
DRAIN_CHECK_INTERVAL_S = 0.05
# Limit for writing the outcomes of claims before the process ends.
CLAIMS_FLUSH_S = 5.0
ROLE_ROUTER = "router"
# With fewer routers than this in the own data centre, routers of all of them are greeted.
MIN_NEAR_ROUTERS = 2


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
        from coltsfootfront.keyvalue.etcd import EtcdStore

        return EtcdStore(self._settings.store_address, self._settings.store_timeout_s)

    def engine(self) -> Engine:
        from coltsfootfront.targets.openaiengine import OpenAiEngine

        settings = self._settings
        return OpenAiEngine(settings.target_url, settings.target_timeout_s, self._clock)

    def service(self) -> PlainService:
        from coltsfootfront.targets.httpservice import HttpService

        settings = self._settings
        return HttpService(settings.target_url, settings.target_timeout_s, self._clock)

    def vm_list(self) -> VmList | None:
        if not self._settings.vm_list_url:
            return None
        from coltsfootfront.peers.vmlist import HttpVmList

        return HttpVmList(self._settings.vm_list_url, self._settings.store_timeout_s)

    def kept_cache(self) -> KeptCache | None:
        if not self._settings.kept_cache_url:
            return None
        from coltsfootfront.targets.httpkeptcache import HttpKeptCache

        settings = self._settings
        return HttpKeptCache(settings.kept_cache_url, settings.target_timeout_s, self._clock)


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
        self.revision = ActiveConfiguration()
        self.identity = Identity(
            "agent",
            settings.name,
            settings.data_centre,
            settings.peer_secret,
            lambda: self.revision.number,
        )
        self._pool = ChannelPool(self._channel)
        self.spread = ConfigurationGossip(
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
        self.gate = AdmissionController(
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
        self._transfer: PrefixTransfer | None = None
        self._prefills: PrefillTracker | None = None
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
        if self._prefills is not None:
            await self._prefills.close()
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
            state["prefill_s"] = self.server.backend.prefills.block_prefill_s
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
            self.spread.on_peer_revision,
            self.spread.on_server_message,
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

    def _on_revision(self, in_force: ActiveRevision) -> None:
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
        backend.prefills.on_change = self.queue.look_again
        self._prefills = backend.prefills
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
        orders = TargetReconciler(
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
        self._target.add("cache_events", CacheEventConsumer(engine, index, clock).run)
        self._target.add("orders", orders.run)
        await self._target.start()

    async def _start_transfer(self, backend: EngineBackend, engine: Engine) -> None:
        self._kept_cache = kept = self._adapters.kept_cache()
        if kept is None:
            return
        await kept.start()
        self._transfer = transfer = PrefixTransfer(engine, kept, backend.index, self._clock)
        backend.transfer = transfer

        def adopt(in_force: ActiveRevision) -> None:
            transfer.customers = exportable_customers(in_force.document, self._settings.data_centre)

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
            self._lease.invalidate()
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
