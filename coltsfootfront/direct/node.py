"""A router that runs targets directly: what it knows, and what runs in it."""

import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import logbook
from aiohttp import web

from coltsfootfront import __version__
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import SettingsError
from coltsfootfront.common.logs import event
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.common.runtime import Program
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.direct import admission, gossip
from coltsfootfront.direct.callerrequest import CallerRequest, ResponseWriter
from coltsfootfront.direct.directory import Directory, TargetEntry, Target
from coltsfootfront.direct.storefollower import Follower, Item, WatchableStore
from coltsfootfront.direct.forwarder import Forwarder
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cachediscovery import CacheDiscovery, CachedPartReader
from coltsfootfront.direct.liveness import LivenessWatch
from coltsfootfront.direct.orders import OrderClient, OrderIssuer
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.peers import Peers
from coltsfootfront.direct.targetselection import PlainTargetSelector, PromptTargetSelector
from coltsfootfront.direct.registration import ROUTER_PREFIX, Registration, RouterEntry, decode_router_entry
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.settings import NodeSettings
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.targetclient import TargetClient
from coltsfootfront.direct.routingconfig import CallerLimits, RoutingConfig
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.keyvalue.leases import LeaseLock

log = logbook.Logger(__name__)

Serve = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]

LEASE_KEY = "coltsfootfront/orders"
# Short, since no weights are loaded between the loss of a holder and the end of its lease; long
# enough for a few renewals at a store that takes 50 times as long as usual.
LEASE_LIFE_S = 2.0
# The platform takes a router out of its rotation after two misses, a second apart.
ROTATION_REMOVAL_S = 2.5
# Idle connections are closed at these times after the stop signal. A request that came later on
# one of them might not end within the grace time.
CLOSE_IDLE_S = (1.5, ROTATION_REMOVAL_S, ROTATION_REMOVAL_S + 0.5)
# Requests under way are given up this long before the end of the grace time.
GIVE_UP_S = 0.5
DRAIN_POLL_S = 0.05
REVISION_INTERVAL_S = 0.3
# A pause after which keys may have been withdrawn and targets may have left without this router
# having been told; well below the time within which a change must be in force.
PAUSE_LIMIT_S = 1.0
# The settings may change without a signal.
SETTINGS_INTERVAL_S = 2.0


class StoreUpdateHandler(ABC):
    """What the keys of the store mean to a router."""

    @abstractmethod
    def apply_config(self, config: RoutingConfig) -> None:
        """Take over a configuration."""

    @abstractmethod
    def apply_version(self, model: str, version: int) -> None:
        """Take over a named version of a model's weights."""

    @abstractmethod
    def apply_entry(self, entry: TargetEntry) -> None:
        """Take over what a target says of itself."""

    @abstractmethod
    def remove_entry(self, name: str) -> None:
        """Note that the entry of a target has vanished."""


class ItemDecoder(ABC):
    """Decodes the keys that operators and targets write to the store."""

    @abstractmethod
    def decode(self, item: Item, handler: StoreUpdateHandler) -> None:
        """Hand on what a key says now; a key that cannot be read changes nothing."""


class CallerServer(ABC):
    """Takes callers' connections."""

    is_draining: bool

    @abstractmethod
    def set_limits(self, limits: CallerLimits) -> None:
        """Set the limits for new connections."""

    @abstractmethod
    async def start(self, address: str) -> None:
        """Listen for callers."""

    @abstractmethod
    def close_idle(self) -> None:
        """Close connections on which no request is under way."""

    @abstractmethod
    def stop_listening(self) -> None:
        """Take no further connections; open ones go on."""

    @abstractmethod
    def count_active(self) -> int:
        """Number of connections on which a request has begun to arrive and is not answered."""

    @abstractmethod
    def count_connections(self) -> int:
        """Number of open connections."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class Node(Program, StoreUpdateHandler):
    """One router.

    :param load_settings: reads the settings; asked again to notice changes.
    :param store: the platform's key-value service.
    :param decoder: decodes what operators and targets write there.
    :param targets: gives requests to targets.
    :param orders: gives orders to targets.
    :param parts: asks targets which parts of prompts they hold.
    :param make_callers: builds the server of callers; called when the event loop runs.
    """

    def __init__(
        self,
        load_settings: Callable[[], NodeSettings],
        clock: Clock,
        store: WatchableStore,
        decoder: ItemDecoder,
        targets: TargetClient,
        orders: OrderClient,
        parts: CachedPartReader,
        make_callers: Callable[[Serve], CallerServer],
        generator: random.Random,
    ) -> None:
        settings = load_settings()
        self._load_settings = load_settings
        self._settings = settings
        self._clock = clock
        self._store = store
        self._decoder = decoder
        self._client = targets
        self._order_client = orders
        self._generator = generator
        self._is_stopping = False
        self._runners: list[web.ServerRunner] = []
        self._supervisor = Supervisor("router", clock)
        bounds = settings.bounds
        router = RouterEntry(settings.peer_address, settings.data_centre, settings.region)
        self._peers = Peers(router, settings.seed_addresses, generator)
        self._gossip = Gossip(self._handle_message, settings.region, generator)
        self._directory = Directory(clock, settings.regions)
        self._versions = WeightVersions(clock, self._directory, bounds.version_s, bounds.stable_s)
        self._cache_index = CacheIndex(clock)
        self._budgets = ServiceRetryBudgets(
            clock, bounds.retry_ratio, bounds.retry_fixed, bounds.retry_window_s
        )
        self._forwarder = self._build_forwarder()
        self._forwarder.max_in_progress = admission.max_requests_for_memory(settings.memory_bytes)
        self._follower = Follower(store, self._peers, clock, "", self._take_item, generator)
        self._peers.follower = self._follower
        lease_life_s = max(LEASE_LIFE_S, settings.store.min_lease_ttl_s)
        lease = LeaseLock(store, clock, LEASE_KEY, lease_life_s)
        self._lease = lease
        self._orders = OrderIssuer(
            clock,
            lease,
            0.0 if bounds.targets_check_fencing else bounds.lease_s,
            self._directory,
            self._versions,
            orders,
            self._tell_loading,
            self._tell_loaded,
            generator,
        )
        self._part_reader = parts
        self._cache_discovery = CacheDiscovery(
            clock,
            self._directory,
            self._cache_index,
            self._gossip,
            self._peers,
            parts,
            lambda: self._forwarder.routing_config,
            generator,
        )
        self._peers.find_parts = self._cache_discovery.parts_to_share
        self._registration = Registration(store, clock, settings.name, router, generator)
        self._pause = PauseDetector(clock, PAUSE_LIMIT_S, self._note_pause)
        self._make_callers = make_callers
        self._caller_server: CallerServer | None = None

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        return bool(self._forwarder.routing_config.number) and not self._is_stopping

    async def serve(self, call: CallerRequest, writer: ResponseWriter) -> None:
        """Answer one request."""
        self._pause.check()
        await self._follower.confirm()
        await self._forwarder.serve(call, writer)

    async def start(self) -> None:
        settings = self._settings
        log.info(
            event(
                "router_started",
                version=__version__,
                name=settings.name,
                data_centre=settings.data_centre,
                callers=settings.caller_address,
            )
        )
        await self._store.start()
        await self._client.start()
        await self._order_client.start()
        await self._part_reader.start()
        await self._peers.start()
        await self._gossip.start(settings.ip, settings.gossip_port)
        await self._listen(settings.ready_address, self._answer_ready)
        await self._listen(f"{settings.ip}:{settings.metrics_port}", metrics.handle_metrics)
        supervisor = self._supervisor
        supervisor.add("follow_store", self._follower.follow_store)
        supervisor.add("follow_peers", self._follower.follow_peers)
        supervisor.add("drop_missing", self._directory.drop_missing)
        supervisor.add("liveness", LivenessWatch(self._clock, self._directory, self._tell_dark).run)
        supervisor.add("gossip", self._gossip.flush)
        supervisor.add("revision", self._tell_revision)
        supervisor.add("registration", self._registration.run)
        supervisor.add("orders", self._orders.run)
        supervisor.add("pause", self._pause.run)
        supervisor.add("learning", self._cache_discovery.run)
        supervisor.add("settings", self._watch_settings)
        await supervisor.start()
        self._caller_server = self._make_callers(self.serve)
        self._caller_server.set_limits(self._forwarder.routing_config.limits)
        await self._caller_server.start(settings.caller_address)

    async def drain(self) -> None:
        """Leave the rotation, serve what comes on open connections, and finish."""
        began_s = self._clock.monotonic_s()
        self._is_stopping = True
        callers = self._caller_server
        log.info(event("router_stopping", in_progress=self._forwarder.in_progress))
        if callers is None:
            return
        callers.is_draining = True
        grace_s = self._settings.bounds.grace_s
        self._forwarder.exit_at_s = began_s + grace_s - GIVE_UP_S
        await self._supervisor.stop("orders")
        await self._lease.release()
        due_s = list(CLOSE_IDLE_S)
        is_listening = True
        while True:
            await self._clock.sleep(DRAIN_POLL_S)
            passed_s = self._clock.monotonic_s() - began_s
            if due_s and passed_s >= due_s[0]:
                del due_s[0]
                callers.close_idle()
            if not due_s and is_listening:
                # What has been accepted until now is still answered.
                callers.stop_listening()
                is_listening = False
                continue
            if passed_s >= grace_s - GIVE_UP_S:
                return
            if not due_s and not self._forwarder.in_progress and not callers.count_active():
                return

    def _note_pause(self, gap_s: float) -> None:
        self._follower.doubt()

    def reload(self) -> None:
        """Take over changed settings; addresses and names stay as they are."""
        try:
            settings = self._load_settings()
        except SettingsError as error:
            log.error(event("settings_rejected", reason=str(error)))
            return
        if settings == self._settings:
            return
        log.info(event("settings_changed", bounds=settings.bounds))
        self._settings = settings
        bounds = settings.bounds
        self._budgets.set_limits(bounds.retry_ratio, bounds.retry_fixed, bounds.retry_window_s)
        self._versions.max_outdated_s = bounds.version_s
        self._peers.seed_addresses = settings.seed_addresses

    async def _watch_settings(self) -> None:
        while True:
            await self._clock.sleep(SETTINGS_INTERVAL_S)
            self.reload()

    async def close(self) -> None:
        log.info(event("router_stopped", in_progress=self._forwarder.in_progress))
        if self._caller_server is not None:
            await self._caller_server.close()
        await self._registration.end()
        await self._supervisor.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._gossip.close()
        await self._peers.close()
        await self._client.close()
        await self._order_client.close()
        await self._part_reader.close()
        await self._store.close()

    def apply_config(self, config: RoutingConfig) -> None:
        before = self._forwarder.routing_config.number
        if config.number <= before:
            return
        self._forwarder.routing_config = config
        if self._caller_server is not None:
            self._caller_server.set_limits(config.limits)
        metrics.REVISION.set({}, config.number)
        log.info(event("configuration_in_force", version=config.number, before=before))
        self._directory.notify()

    def apply_version(self, model: str, version: int) -> None:
        self._versions.record_published(model, version, is_new=self._follower.has_copy)

    def apply_entry(self, entry: TargetEntry) -> None:
        before = self._directory.get(entry.name)
        versions = dict(before.versions) if before is not None else {}
        self._directory.put(entry)
        target = self._directory.get(entry.name)
        if target is not None and versions and target.versions != versions:
            self._cache_index.remove_holder(entry.name)

    def remove_entry(self, name: str) -> None:
        self._directory.remove(name)

    def _build_forwarder(self) -> Forwarder:
        settings = self._settings
        paces = PrefillRates()
        plain = PlainTargetSelector(self._clock, settings.data_centre, settings.region, self._generator)
        self._sources = CachePlanner(self._clock, settings.regions, self._cache_index, self._versions)
        return Forwarder(
            self._clock,
            self._directory,
            self._client,
            plain,
            PromptTargetSelector(self._clock, settings.region, self._sources, self._versions, paces),
            self._cache_index,
            self._versions,
            self._gossip,
            self._budgets,
            paces,
            self._generator,
        )

    def _take_item(self, item: Item) -> None:
        if item.key == LEASE_KEY:
            self._orders.lease_may_be_free = item.value is None
        elif item.key.startswith(ROUTER_PREFIX):
            self._take_router(item)
        else:
            self._decoder.decode(item, self)

    def _take_router(self, item: Item) -> None:
        name = item.key.removeprefix(ROUTER_PREFIX)
        router = decode_router_entry(item.value) if item.value is not None else None
        if router is None:
            self._peers.remove(name)
        else:
            self._peers.add(name, router)
        self._budgets.set_router_count(self._peers.count())
        self._follower.share_among(self._peers.count())
        self._sources.set_router_count(self._peers.count())
        addresses: dict[str, list[gossip.Address]] = {}
        for other in self._peers.others():
            address = (other.ip, self._settings.gossip_port)
            addresses.setdefault(other.region, []).append(address)
        self._gossip.set_peers(addresses)

    def _handle_message(self, kind: str, fields: list[Any]) -> None:
        handlers: dict[str, Callable[[list[Any]], None]] = {
            gossip.HELD: self._take_held,
            gossip.LEARNED: self._take_learned,
            gossip.COMING: self._take_coming,
            gossip.WORK: self._take_work,
            gossip.LOAD: self._take_loads,
            gossip.DRAINING: lambda found: self._take_leaving(*found),
            gossip.UNREACHABLE: lambda found: self._directory.suspect(*found),
            gossip.LOADING: lambda found: self._take_loading(kind, *found),
            gossip.LOADED: lambda found: self._take_loading(kind, *found),
            gossip.REVISION: self._take_revision,
        }
        if kind in handlers:
            handlers[kind](fields)

    def _take_held(self, fields: list[Any]) -> None:
        for salt, key, name in fields:
            self._cache_index.record_use(salt, key, name)

    def _take_learned(self, fields: list[Any]) -> None:
        for salt, key, name in fields:
            self._cache_index.record_held(salt, key, name)

    def _take_coming(self, fields: list[Any]) -> None:
        for salt, key, name, in_s in fields:
            self._cache_index.record_expected(salt, key, name, in_s)

    def _take_leaving(self, name: str, started_ms: int) -> None:
        self._directory.mark_draining(name, started_ms, reported_by="a peer")

    def _take_revision(self, fields: list[Any]) -> None:
        self._follower.peer_revision = max(self._follower.peer_revision, fields[0])

    def _take_work(self, fields: list[Any]) -> None:
        for name, priority, work_s in fields:
            target = self._directory.get(name)
            if target is not None:
                target.backlog.add(priority, work_s, self._clock.monotonic_s())

    def _take_loads(self, fields: list[Any]) -> None:
        for name, load in fields:
            target = self._directory.get(name)
            if target is not None:
                target.record_load(load, self._clock.monotonic_s())

    def _take_loading(self, kind: str, name: str, model: str, version: int, for_s: float) -> None:
        target = self._directory.get(name)
        if target is None:
            return
        if kind == gossip.LOADING:
            self._note_loading(target, model, version, for_s)
        elif kind == gossip.LOADED:
            self._note_loaded(target, model, version)

    async def _tell_revision(self) -> None:
        """Tell peers how far the copy of the store is, so that one behind reads it here."""
        told = 0
        while True:
            await self._clock.sleep(REVISION_INTERVAL_S)
            if self._follower.revision != told:
                told = self._follower.revision
                self._gossip.tell_revision(told)

    def _tell_dark(self, target: Target) -> None:
        self._gossip.broadcast(gossip.UNREACHABLE, [target.name, target.entry.started_ms])

    def _tell_loading(self, target: Target, model: str, version: int, for_s: float) -> None:
        self._note_loading(target, model, version, for_s)
        self._gossip.broadcast(gossip.LOADING, [target.name, model, version, for_s])

    def _tell_loaded(self, target: Target, model: str, version: int) -> None:
        self._note_loaded(target, model, version)
        self._gossip.broadcast(gossip.LOADED, [target.name, model, version, 0.0])

    def _note_loading(self, target: Target, model: str, version: int, for_s: float) -> None:
        target.loading_until_s = self._clock.monotonic_s() + for_s
        target.ordered_versions[model] = version

    def _note_loaded(self, target: Target, model: str, version: int) -> None:
        target.loading_until_s = 0.0
        if version > target.versions.get(model, 0):
            target.versions[model] = version
            self._cache_index.remove_holder(target.name)
        self._directory.notify()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _listen(self, address: str, handler: Any) -> None:
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
