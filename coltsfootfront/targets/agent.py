"""The agent program: runs on each target's VM and carries all requests to the target."""

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
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration, ActiveRevision
from coltsfootfront.configuration.document import KIND_ENGINE, KIND_KEPT_CACHE, KIND_SERVICE
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.keyvalue.claims import MAX_OUTCOME_BYTES, Claims
from coltsfootfront.keyvalue.leases import LoadSlots, TargetLease
from coltsfootfront.keyvalue.store import Store
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Identity, Listener
from coltsfootfront.peers.vmlist import STATE_LIVE, Vm, VmList
from coltsfootfront.targets.admission import AdmissionController
from coltsfootfront.targets.attempts import AttemptRegistry
from coltsfootfront.targets.cacheevents import CacheEventConsumer
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.drain import DrainState
from coltsfootfront.targets.engine import Engine
from coltsfootfront.targets.execution import (
    EngineBackend,
    ServiceBackend,
)
from coltsfootfront.targets.fairqueue import FairQueue
from coltsfootfront.targets.keptcache import KeptCache
from coltsfootfront.targets.prefills import PrefillTracker
from coltsfootfront.targets.prefixtransfer import PrefixTransfer, exportable_customers
from coltsfootfront.targets.reconciler import TargetReconciler
from coltsfootfront.targets.requestserver import RequestServer
from coltsfootfront.targets.service import PlainService
from coltsfootfront.targets.targetmonitor import EngineMonitor, ServiceMonitor

log = logbook.Logger(__name__)

BOOTSTRAP_TIMEOUT_S = 5.0
# Interval at which the agent checks for known peers while it has none.
BOOTSTRAP_RETRY_S = 0.5
# If no peer confirms the revision within this time after a pause, requests are served at the
# revision in force.
REVISION_CHECK_TIMEOUT_S = 1.0
IDLE_CHECK_INTERVAL_S = 15.0
DRAIN_CHECK_INTERVAL_S = 0.05
# Time limit for writing the outcomes of idempotency claims before the process ends.
CLAIMS_FLUSH_TIMEOUT_S = 5.0
ROLE_ROUTER = "router"
# With fewer live routers than this in its own data centre, the agent exchanges revisions with
# the routers of all data centres.
MIN_LOCAL_ROUTERS = 2


class AdapterFactory(ABC):
    """Creates the adapters, the clients of external systems."""

    @abstractmethod
    def store(self) -> Store:
        """Adapter of the platform's key-value store."""

    @abstractmethod
    def engine(self) -> Engine:
        """Adapter of the target if it is a model engine."""

    @abstractmethod
    def service(self) -> PlainService:
        """Adapter of the target if it is a plain HTTP service."""

    @abstractmethod
    def vm_list(self) -> VmList | None:
        """The platform's list of VMs, or None if there is none."""

    @abstractmethod
    def kept_cache(self) -> KeptCache | None:
        """Adapter of the service that stores exported KV cache, or None if there is none."""


class HttpAdapterFactory(AdapterFactory):
    """Adapters that use HTTP; each module is imported when it is first needed."""

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
    """Connects the components of the agent.

    :param settings: settings of the agent.
    :param adapters: creates the adapters of external systems.
    :param clock: time source.
    """

    def __init__(self, settings: AgentSettings, adapters: AdapterFactory, clock: Clock) -> None:
        self._settings = settings
        self._adapters = adapters
        self._clock = clock
        self.configuration = ActiveConfiguration()
        self.identity = Identity(
            "agent",
            settings.name,
            settings.data_centre,
            settings.peer_secret,
            lambda: self.configuration.number,
        )
        self._pool = ChannelPool(self._make_channel)
        self.gossip = ConfigurationGossip(
            self.identity,
            self.configuration,
            self._pool,
            clock,
            settings.seed_addresses,
            settings.peer_address,
            settings.greet_interval_s,
        )
        self.drain_state = DrainState(
            settings.target, settings.peer_address, self.configuration, clock
        )
        self.queue = FairQueue(clock)
        self.admission = AdmissionController(
            settings.target,
            self.configuration,
            self.drain_state,
            self.queue,
            clock,
            settings.max_queued,
        )
        self._store = adapters.store()
        self.claims = Claims(self._store, clock, settings.name, settings.claim_retention_s)
        self._pause_detector = PauseDetector(clock, settings.pause_limit_s, self._on_pause)
        self.admission.pause_detector = self._pause_detector
        self.server = self._make_server()
        self._listener = Listener(settings.peer_address, self.identity, self.server.serve)
        self._supervisor = Supervisor("agent", clock)
        self._target_supervisor = Supervisor("target", clock)
        self._lease: TargetLease | None = None
        self._engine: Engine | None = None
        self._service: PlainService | None = None
        self._kept_cache: KeptCache | None = None
        self._transfer: PrefixTransfer | None = None
        self._prefills: PrefillTracker | None = None
        self._vm_list = adapters.vm_list()
        self._web_runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_peers = bool(settings.seed_addresses)
        self.address = ""
        """Address on which routers reach the agent; empty until it listens."""

    async def start(self) -> None:
        """Listen for routers, fetch the configuration from peers and monitor the target."""
        await self._store.start()
        await self._start_web()
        self.address = await self._listener.start()
        self.configuration.changes.subscribe(self._on_revision)
        await self.gossip.start()
        self._supervisor.add("pause", self._pause_detector.run)
        self._supervisor.add("bootstrap", self._bootstrap)
        self._supervisor.add("expiry", self.server.run_expiry)
        self._supervisor.add("claims", self.claims.run)
        self._supervisor.add("idle_channels", self._close_idle)
        if self._vm_list is not None:
            await self._vm_list.start()
            self._supervisor.add("vm_list", self._poll_vm_list)
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
        self.drain_state.record_stop_signal()
        await self._clock.sleep(self._settings.drain_wait_s)
        while self.server.is_busy:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL_S)
        try:
            async with asyncio.timeout(CLAIMS_FLUSH_TIMEOUT_S):
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
        await self._target_supervisor.close()
        await self._supervisor.close()
        await self.gossip.close()
        await self._pool.close()
        await self._listener.close()
        if self._web_runner is not None:
            await self._web_runner.cleanup()
        await self._close_adapters()
        self.admission.close()
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
        """Whether the target accepts new requests."""
        return (
            self.configuration.number > 0
            and self.admission.revision_checked
            and self.admission.reachable
            and self.drain_state.failure() is None
        )

    def state(self) -> dict[str, object]:
        """State reported to operators in the reply to ``status``."""
        source = self.drain_state.source
        state: dict[str, object] = {
            "name": self._settings.name,
            "role": "agent",
            "target": self._settings.target,
            "version": __version__,
            "revision": self.configuration.number,
            "digest": self.configuration.digest,
            "ready": self.is_ready,
            "draining": None if source is None else source.value,
            "engine": self.admission.engine_incarnation,
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
        attempts = AttemptRegistry(
            self._clock,
            settings.stream_linger_s,
            settings.window_bytes,
            settings.max_stream_bytes,
        )
        server = RequestServer(
            settings,
            self.identity,
            self._clock,
            self.configuration,
            self.gossip,
            self.admission,
            self.queue,
            attempts,
            self.claims,
            self._pause_detector,
        )
        server.describe_state = self.state
        return server

    def _make_channel(self, address: str) -> Channel:
        return Channel(
            address,
            self.identity,
            self._clock,
            self.gossip.on_peer_revision,
            self.gossip.on_server_message,
        )

    async def _bootstrap(self) -> None:
        while self.configuration.number == 0:
            if self._has_peers:
                await self.gossip.bootstrap(BOOTSTRAP_TIMEOUT_S)
            else:
                await self._clock.sleep(BOOTSTRAP_RETRY_S)

    async def _close_idle(self) -> None:
        while True:
            await self._clock.sleep(IDLE_CHECK_INTERVAL_S)
            await self._pool.close_idle()

    async def _poll_vm_list(self) -> None:
        assert self._vm_list is not None
        while True:
            # After a failed read the last list that was read stays in effect.
            (await self._vm_list.read()).map(self._apply_vm_list)
            await self._clock.sleep(self._settings.vm_list_interval_s)

    def _apply_vm_list(self, vms: list[Vm]) -> None:
        self.drain_state.record_vms(vms)
        routers = [vm for vm in vms if vm.role == ROLE_ROUTER and vm.state == STATE_LIVE]
        local_routers = [vm for vm in routers if vm.data_centre == self._settings.data_centre]
        chosen = local_routers if len(local_routers) >= MIN_LOCAL_ROUTERS else routers
        self.gossip.set_peers([vm.peer_address for vm in chosen])
        self._has_peers = bool(chosen or self._settings.seed_addresses)

    def _on_revision(self, active_revision: ActiveRevision) -> None:
        if self.server.backend is not None:
            return
        if self.admission.kind == KIND_ENGINE:
            self._spawn(self._start_engine())
        elif self.admission.kind in (KIND_SERVICE, KIND_KEPT_CACHE):
            # A kept cache is monitored by its health check like a plain service. Requests to it are
            # refused at admission.
            self._spawn(self._start_service())

    async def _start_engine(self) -> None:
        if self._engine is not None:
            return
        settings, clock = self._settings, self._clock
        self._engine = engine = self._adapters.engine()
        await engine.start()
        index = CacheIndex(clock)
        self.server.backend = backend = EngineBackend(engine, index, clock)
        backend.prefills.on_change = self.queue.start_ready
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
        reconciler = TargetReconciler(
            self.admission,
            engine,
            self._lease,
            slots,
            clock,
            settings.target,
            settings.order_timeout_s,
        )
        monitor = EngineMonitor(self.admission, clock, settings.load_interval_s, engine, index)
        self._target_supervisor.add("state", monitor.run)
        self._target_supervisor.add("cache_events", CacheEventConsumer(engine, index, clock).run)
        self._target_supervisor.add("orders", reconciler.run)
        await self._target_supervisor.start()

    async def _start_transfer(self, backend: EngineBackend, engine: Engine) -> None:
        self._kept_cache = kept_cache = self._adapters.kept_cache()
        if kept_cache is None:
            return
        await kept_cache.start()
        self._transfer = transfer = PrefixTransfer(engine, kept_cache, backend.index, self._clock)
        backend.transfer = transfer

        def update_customers(active_revision: ActiveRevision) -> None:
            transfer.customers = exportable_customers(
                active_revision.document, self._settings.data_centre
            )

        self.configuration.changes.subscribe(update_customers)

    async def _start_service(self) -> None:
        if self._service is not None:
            return
        self._service = service = self._adapters.service()
        await service.start()
        self.server.backend = ServiceBackend(service, MAX_OUTCOME_BYTES)
        interval_s = self._settings.load_interval_s
        self._target_supervisor.add(
            "state", ServiceMonitor(self.admission, self._clock, interval_s, service).run
        )
        await self._target_supervisor.start()

    def _on_pause(self, gap_s: float) -> None:
        if self._lease is not None:
            self._lease.invalidate()
        if self.admission.revision_checked and self._has_peers:
            self.admission.revision_checked = False
            self._spawn(self._check_revision())

    async def _check_revision(self) -> None:
        try:
            await self.gossip.bootstrap(REVISION_CHECK_TIMEOUT_S)
        finally:
            self.admission.revision_checked = True

    async def _start_web(self) -> None:
        app = web.Application()
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_get("/readyz", self._handle_ready)
        app.router.add_get("/metrics", metrics.handle_metrics)
        self._web_runner = web.AppRunner(app, access_log=None)
        await self._web_runner.setup()
        host, _, port = self._settings.http_address.rpartition(":")
        await web.TCPSite(self._web_runner, host, int(port)).start()

    async def _handle_health(self, _: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _handle_ready(self, _: web.Request) -> web.Response:
        ready = self.is_ready
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def main() -> None:
    """Run the program ``coltsfootfront-agent``."""
    config = _parse_arguments()
    settings = load_or_exit(config, AgentSettings)
    clock = SystemClock()
    serve(_AgentProgram(settings, clock), settings.name, settings.log_level)


class _AgentProgram(Program):
    """Creates the agent inside the running event loop, which its components need."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._agent: Agent | None = None

    async def start(self) -> None:
        adapters = HttpAdapterFactory(self._settings, self._clock)
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
