"""Assembles a router that calls targets directly, and runs its background tasks."""

import math
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
from coltsfootfront.costs.model import CostModel
from coltsfootfront.direct import gossip
from coltsfootfront.direct.cachediscovery import CacheDiscovery, CachedPartReader
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.callerrequest import CallerRequest, ResponseWriter
from coltsfootfront.direct.capacitywait import CapacityWait
from coltsfootfront.direct.crashobserver import CrashObserver
from coltsfootfront.direct.directory import Directory, Target, TargetEntry
from coltsfootfront.direct.explanation import (
    EXPLAIN_PATH,
    Explainer,
    ExplanationHandler,
    Occupancy,
)
from coltsfootfront.direct.forwarder import Forwarder
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.gossipfields import (
    decode_limit,
    decode_position,
    decode_suspicion,
)
from coltsfootfront.direct.handover import HandoverRecord
from coltsfootfront.direct.limitrecorder import LimitRecorder
from coltsfootfront.direct.liveness import LivenessWatch
from coltsfootfront.direct.orders import OrderClient, OrderIssuer
from coltsfootfront.direct.peers import Peers
from coltsfootfront.direct.permitgossip import GossipPermitChannel
from coltsfootfront.direct.permitmessages import PermitRequest, PermitResponse
from coltsfootfront.direct.permits import Permits
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.quarantinekeeper import QUARANTINE_PREFIX, QuarantineKeeper
from coltsfootfront.direct.quotacounter import QuotaCounter
from coltsfootfront.direct.registration import (
    ROUTER_PREFIX,
    Registration,
    RouterEntry,
    decode_router_entry,
)
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.roster import RouterRoster
from coltsfootfront.direct.routingconfig import CallerLimits, RoutingConfig
from coltsfootfront.direct.servicebuilds import BUILDS_PREFIX, ServiceBuilds
from coltsfootfront.direct.settings import NodeSettings
from coltsfootfront.direct.storefollower import Follower, Item, Position, WatchableStore
from coltsfootfront.direct.takeups import TakeUps
from coltsfootfront.direct.targetclient import TargetClient
from coltsfootfront.direct.targetselection import PlainTargetSelector, PromptTargetSelector
from coltsfootfront.direct.targetupdates import TargetUpdates
from coltsfootfront.direct.targetwork import TargetWorkRecorder
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.keyvalue.leases import LeaseLock
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import REQUEST_BYTES, caller_budget, service_budget
from coltsfootfront.memory.limits import LimitReport
from coltsfootfront.memory.resident import ProcessMemory
from coltsfootfront.memory.server import ChargedServer, listen
from coltsfootfront.quotas.quotas import Quotas
from coltsfootfront.quotas.usage import UsageReport
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue

log = logbook.Logger(__name__)

Serve = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]

ORDERS_LEASE_KEY = "coltsfootfront/orders"
# Short, since no weights are loaded from the crash of a lease holder until its lease expires. Long
# enough for a few renewals while the store takes 50 times as long as usual.
ORDERS_LEASE_S = 2.0
# The platform takes a router out of rotation after two failed readiness checks, a second apart.
ROTATION_REMOVAL_S = 2.5
# Times after the stop signal at which idle connections are closed. A request that arrived later on
# one of them might not finish within the grace period.
CLOSE_IDLE_AT_S = (1.5, ROTATION_REMOVAL_S, ROTATION_REMOVAL_S + 0.5)
# Requests in progress are aborted this long before the end of the grace period.
ABORT_MARGIN_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
REVISION_CHECK_INTERVAL_S = 0.3
# Shortest process pause after which the copy of the store is revalidated, since keys may have been
# revoked and targets drained meanwhile. Well below the time within which a change must be in force.
PAUSE_LIMIT_S = 1.0
# Time for which a router whose entry has disappeared may still issue permits. When the entries of
# all routers expire in an outage of the store, they are back about two seconds after its end.
ISSUER_GRACE_S = 5.0
# Time for which a router whose entry has disappeared is still told and asked. All entries may lapse
# at once; the routers register again, and the others read that after their batch delays.
RETURN_GRACE_S = 5.0
ROSTER_CHECK_INTERVAL_S = 1.0
# The settings are polled, since they may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 2.0


class StoreUpdateHandler(ABC):
    """Receives the decoded changes of the store's keys."""

    @abstractmethod
    def apply_config(self, config: RoutingConfig) -> None:
        """Apply a configuration, unless it is older than the one in force."""

    @abstractmethod
    def apply_version(self, model: str, version: int) -> None:
        """Apply an announced version of a model's weights."""

    @abstractmethod
    def apply_entry(self, entry: TargetEntry) -> None:
        """Apply the entry of a target that was added or changed."""

    @abstractmethod
    def remove_entry(self, name: str) -> None:
        """Record that the entry of a target has disappeared from the store."""


class ItemDecoder(ABC):
    """Decodes the keys that operators and targets write to the store."""

    @abstractmethod
    def decode(self, item: Item, handler: StoreUpdateHandler) -> None:
        """Decode a changed key and pass it to the handler; an invalid value is ignored."""


class CallerServer(ABC):
    """Server for callers' connections."""

    is_draining: bool
    account: Account
    """What the connections of callers are charged to."""

    @abstractmethod
    def set_limits(self, limits: CallerLimits) -> None:
        """Set the limits for new connections."""

    @abstractmethod
    async def start(self, address: str) -> None:
        """Listen for callers."""

    @abstractmethod
    def close_idle(self) -> None:
        """Close connections on which no request is in progress."""

    @abstractmethod
    def stop_listening(self) -> None:
        """Accept no further connections; open ones stay open."""

    @abstractmethod
    def count_active(self) -> int:
        """Count the connections on which a request has begun to arrive and is not answered yet."""

    @abstractmethod
    def count_connections(self) -> int:
        """Count the open connections."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class Node(Program, StoreUpdateHandler):
    """The process of one router.

    :param load_settings: reads the settings; called repeatedly to detect changes.
    :param store: the platform's key-value service.
    :param decoder: decodes the keys that operators and targets write to the store.
    :param target_client: sends requests to targets.
    :param order_client: sends orders, such as loading weights, to targets.
    :param part_reader: reads which prompt parts targets have cached.
    :param make_caller_server: builds the server for callers; called when the event loop runs.
    """

    def __init__(
        self,
        load_settings: Callable[[], NodeSettings],
        clock: Clock,
        store: WatchableStore,
        decoder: ItemDecoder,
        target_client: TargetClient,
        order_client: OrderClient,
        part_reader: CachedPartReader,
        make_caller_server: Callable[[Serve], CallerServer],
        generator: random.Random,
    ) -> None:
        settings = load_settings()
        self._load_settings = load_settings
        self._settings = settings
        self._clock = clock
        self._store = store
        self._decoder = decoder
        self._target_client = target_client
        self._order_client = order_client
        self._generator = generator
        self._is_stopping = False
        self._runners: list[web.ServerRunner] = []
        self._supervisor = Supervisor("router", clock)
        bounds = settings.bounds
        router = RouterEntry(
            settings.peer_address,
            settings.data_centre,
            settings.region,
            settings.link_mbit_per_s,
        )
        self._resident = ProcessMemory()
        self._caller_limits = LimitReport("callers", clock)
        self._caller_account = Account(
            caller_budget(settings.memory_bytes, settings.max_descriptors),
            clock,
            self._caller_limits.count,
            self._resident,
        )
        target_client.account = self._caller_account
        self._service_limits = LimitReport("services", clock)
        self._service_account = Account(
            service_budget(settings.max_descriptors), clock, self._service_limits.count
        )
        self._peers = Peers(router, settings.seed_addresses, generator, self._service_account)
        self._gossip = Gossip(self._handle_message, settings.region, generator)
        self._gossip.router = settings.name
        self._costs = CostModel()
        self._dispatch_queue = DispatchQueue(clock)
        self._directory = Directory(clock, settings.regions)
        self._versions = WeightVersions(clock, self._directory, bounds.version_s, bounds.stable_s)
        self._cache_index = CacheIndex(clock)
        self._target_updates = TargetUpdates(
            clock, self._directory, self._cache_index, self._gossip
        )
        self._budgets = ServiceRetryBudgets(
            clock,
            bounds.retry_ratio,
            bounds.retry_fixed,
            bounds.retry_window_s,
            # No process before it has spent any.
            -math.inf if settings.is_first_start else clock.monotonic_s(),
        )
        self._quotas = Quotas(clock, settings.peer_address, settings.is_first_start, generator)
        self._quotas.set_tolerance(bounds.quota_tolerance)
        self._gossip.take_usage_reports = self._quotas.take_reports
        self._limits = LimitRecorder(clock, self._directory, self._announce_limit)
        self._roster = RouterRoster(clock, max(ISSUER_GRACE_S, bounds.retry_window_s))
        self._permits = Permits(
            clock,
            self._directory,
            settings.regions,
            settings.peer_address,
            GossipPermitChannel(self._gossip, settings.gossip_port),
            generator,
        )
        self._liveness = LivenessWatch(
            clock,
            self._directory,
            self._target_updates.announce_unreachable,
            lambda target: self._crash_observer.record_down(target),
        )
        self._crash_observer = CrashObserver(
            clock,
            lambda target, suspects: self._quarantine.record_crash(target, suspects),
            self._liveness.confirm,
        )
        self._quarantine = QuarantineKeeper(
            clock,
            settings.name,
            self._gossip,
            store,
            lambda key: self._follower.revision_of(key),
            self._crash_observer.withdraw,
            generator,
        )
        self._builds = ServiceBuilds(
            clock,
            self._directory,
            store,
            lambda key: self._follower.revision_of(key),
            self._peers.names,
            self._peers.own_name(),
            generator,
            self._store_era,
        )
        self._builds.is_first_start = settings.is_first_start
        self._take_ups = TakeUps(clock, self._builds, self._gossip, self._peers)
        self._forwarder = self._build_forwarder()
        self._follower = Follower(store, self._peers, clock, "", self._handle_item, generator)
        self._follower.apply_limit_s = bounds.config_apply_s
        self._forwarder.confirm_configuration = self._confirm_configuration
        self._peers.follower = self._follower
        self._peers.list_streams_to_share = self._take_ups.streams_to_share
        self._builds.copy_age_s = self._follower.freshness.age_s
        self._builds.update_copy = self._follower.update
        lease_ttl_s = max(ORDERS_LEASE_S, settings.store.min_lease_ttl_s)
        lease = LeaseLock(store, clock, ORDERS_LEASE_KEY, lease_ttl_s)
        handover = HandoverRecord(
            lambda key: self._follower.get(key),
            lambda key: self._follower.revision_of(key),
            lambda: self._follower.revision > 0,
            self._store_era,
        )
        self._orders = OrderIssuer(
            clock,
            lease,
            0.0 if bounds.targets_check_fencing else bounds.lease_s,
            None if bounds.targets_check_fencing else handover,
            self._directory,
            self._versions,
            order_client,
            self._target_updates.announce_loading,
            self._target_updates.announce_loaded,
            generator,
        )
        self._part_reader = part_reader
        self._cache_discovery = CacheDiscovery(
            clock,
            self._directory,
            self._cache_index,
            self._gossip,
            self._peers,
            part_reader,
            lambda: self._forwarder.routing_config,
            generator,
        )
        self._peers.list_parts_to_share = self._cache_discovery.parts_to_share
        self._registration = Registration(store, clock, settings.name, router, generator)
        self._follower.on_restored = self._registration.register_again
        self._pause = PauseDetector(clock, PAUSE_LIMIT_S, self._on_pause)
        self._follower.freshness.check_pause = self._pause.check
        self._make_caller_server = make_caller_server
        self._caller_server: CallerServer | None = None

    def _store_era(self) -> int:
        """Latest known era of the store, which a peer's copy may tell before the store."""
        return max(self._store.era, self._follower.era)

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections to this router."""
        return bool(self._forwarder.routing_config.number) and not self._is_stopping

    async def serve(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Answer one request, after revalidating the copy of the store if it is stale."""
        self._pause.check()
        await self._follower.revalidate()
        await self._forwarder.serve(request, writer)

    async def _confirm_configuration(self) -> bool:
        """Whether the configuration is at most as old as the bound for changes allows."""
        return await self._follower.confirm_age(self._settings.bounds.config_apply_s)

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
        try:
            self._resident.start()
        except OSError as error:
            log.warning(event("resident_memory_not_read", reason=str(error)))
        await self._store.start()
        await self._target_client.start()
        await self._order_client.start()
        await self._part_reader.start()
        await self._peers.start()
        await self._gossip.start(settings.ip, settings.gossip_port)
        await self._listen(settings.ready_address, self._answer_ready)
        await self._listen(f"{settings.ip}:{settings.metrics_port}", self._answer_operator)
        supervisor = self._supervisor
        supervisor.add("follow_store", self._follower.follow_store)
        supervisor.add("follow_peers", self._follower.follow_peers)
        supervisor.add("drop_missing", self._directory.drop_missing)
        supervisor.add("liveness", self._liveness.run)
        supervisor.add("quarantine", self._quarantine.run)
        supervisor.add("quarantine_writes", self._quarantine.run_writes)
        supervisor.add("builds", self._builds.run)
        supervisor.add("limits", self._limits.run)
        supervisor.add("dispatch_queue", self._dispatch_queue.run)
        supervisor.add("caller_limits", self._caller_limits.run)
        supervisor.add("service_limits", self._service_limits.run)
        supervisor.add("permits", self._permits.run)
        supervisor.add("roster", self._drop_routers)
        supervisor.add("gossip", self._gossip.flush)
        supervisor.add("pending_work", self._target_work.repeat)
        supervisor.add("revision", self._announce_revision)
        supervisor.add("registration", self._registration.run)
        supervisor.add("orders", self._orders.run)
        supervisor.add("pause", self._pause.run)
        supervisor.add("learning", self._cache_discovery.run)
        supervisor.add("settings", self._watch_settings)
        await supervisor.start()
        self._caller_server = self._make_caller_server(self.serve)
        self._caller_server.account = self._caller_account
        self._caller_server.set_limits(self._forwarder.routing_config.limits)
        await self._caller_server.start(settings.caller_address)

    async def drain(self) -> None:
        """Fail readiness checks, then serve open connections until they are idle or time is up."""
        began_s = self._clock.monotonic_s()
        self._is_stopping = True
        callers = self._caller_server
        log.info(event("router_stopping", in_progress=self._forwarder.in_progress))
        if callers is None:
            return
        callers.is_draining = True
        self._permits.resign()
        grace_s = self._settings.bounds.grace_s
        stop = self._forwarder.stop
        stop.exit_at_s = began_s + grace_s - ABORT_MARGIN_S
        # Requests that wait for a target and may not be sent any more are refused at once.
        self._directory.notify()
        await self._supervisor.stop("orders")
        await self._orders.resign()
        close_times_s = list(CLOSE_IDLE_AT_S)
        is_listening = True
        while True:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            passed_s = now_s - began_s
            if close_times_s and passed_s >= close_times_s[0]:
                del close_times_s[0]
                callers.close_idle()
            if not close_times_s and is_listening:
                # Connections that have been accepted until now are still served.
                callers.stop_listening()
                is_listening = False
                continue
            if now_s >= stop.respond_by_s:
                self._forwarder.end_unanswered()
            if now_s >= stop.exit_at_s:
                return
            if not close_times_s and not self._forwarder.in_progress and not callers.count_active():
                return

    def _on_pause(self, gap_s: float) -> None:
        self._follower.mark_stale()

    def reload(self) -> None:
        """Apply changed settings, except for addresses and names."""
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
        self._follower.apply_limit_s = bounds.config_apply_s
        self._quotas.set_tolerance(bounds.quota_tolerance)
        self._peers.seed_addresses = settings.seed_addresses

    async def _watch_settings(self) -> None:
        while True:
            await self._clock.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload()

    async def close(self) -> None:
        log.info(event("router_stopped", in_progress=self._forwarder.in_progress))
        if self._caller_server is not None:
            await self._caller_server.close()
        await self._registration.deregister()
        await self._supervisor.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._gossip.close()
        await self._peers.close()
        await self._target_client.close()
        await self._order_client.close()
        await self._part_reader.close()
        await self._store.close()
        self._resident.close()

    def apply_config(self, config: RoutingConfig) -> None:
        before = self._forwarder.routing_config.number
        if config.number <= before:
            return
        self._forwarder.routing_config = config
        self._builds.set_services(config.resumable_timeouts_s())
        self._quotas.set_quotas(config.quotas())
        self._costs.has_quotas = bool(config.quotas())
        if self._caller_server is not None:
            self._caller_server.set_limits(config.limits)
        metrics.REVISION.set({}, config.number)
        log.info(
            event(
                "configuration_in_force",
                version=config.number,
                before=before,
                isolated_customers=len(config.isolated_customers()),
                cache_scope=config.shared_cache_scope or None,
            )
        )
        self._directory.notify()

    def apply_version(self, model: str, version: int) -> None:
        bound = self._follower.change_bound
        self._versions.record_published(model, version, bound.written_after_s, bound.is_after_pause)

    def apply_entry(self, entry: TargetEntry) -> None:
        before = self._directory.get(entry.name)
        versions = dict(before.versions) if before is not None else {}
        self._directory.put(entry, is_from_restore=self._follower.is_restoring)
        self._builds.observe(entry.service)
        target = self._directory.get(entry.name)
        if target is not None and versions and target.versions != versions:
            self._cache_index.remove_holder(entry.name)

    def remove_entry(self, name: str) -> None:
        self._directory.remove(name)

    def _build_forwarder(self) -> Forwarder:
        settings = self._settings
        prefill_rates = PrefillRates()
        self._target_work = TargetWorkRecorder(
            self._clock, self._directory, self._gossip, prefill_rates, self._costs
        )
        plain = PlainTargetSelector(
            self._clock, settings.data_centre, settings.region, self._generator, self._costs
        )
        self._cache_planner = CachePlanner(
            self._clock, settings.regions, self._cache_index, self._versions
        )
        prompt = PromptTargetSelector(
            self._clock,
            settings.region,
            self._cache_planner,
            self._versions,
            prefill_rates,
            self._costs,
        )
        capacity_wait = CapacityWait(self._clock, self._dispatch_queue)
        self._explanations = ExplanationHandler(
            Explainer(
                self._clock,
                self._directory,
                plain,
                prompt,
                self._versions,
                self._quarantine,
                lambda: self._forwarder.routing_config,
                self._occupancy,
                self._take_ups.may_begin,
                capacity_wait,
                lambda customer: self._quotas.describe(customer.name),
            )
        )
        return Forwarder(
            self._clock,
            self._directory,
            self._target_client,
            plain,
            prompt,
            self._cache_index,
            self._versions,
            self._gossip,
            self._budgets,
            prefill_rates,
            self._limits,
            self._permits,
            self._quarantine,
            self._crash_observer,
            self._take_ups,
            QuotaCounter(self._quotas),
            self._target_work,
            capacity_wait,
            self._generator,
        )

    def _handle_item(self, item: Item) -> None:
        if item.key == ORDERS_LEASE_KEY:
            self._orders.lease_may_be_free = item.value is None
        elif item.key.startswith(ROUTER_PREFIX):
            self._handle_router(item)
        elif item.key.startswith(QUARANTINE_PREFIX):
            record_id = item.key.removeprefix(QUARANTINE_PREFIX)
            self._quarantine.handle_stored(record_id, item.value)
        elif item.key.startswith(BUILDS_PREFIX):
            self._builds.handle_stored(item.key.removeprefix(BUILDS_PREFIX), item.value)
        else:
            self._decoder.decode(item, self)

    def _handle_router(self, item: Item) -> None:
        name = item.key.removeprefix(ROUTER_PREFIX)
        router = decode_router_entry(item.value) if item.value is not None else None
        if router is not None:
            self._peers.add(name, router)
            self._roster.put(name, router)
        else:
            self._peers.remove(name)
            self._roster.remove(name)
            if name == self._settings.name and not self._is_stopping:
                self._registration.register_again()
        self._apply_roster()

    def _apply_roster(self) -> None:
        """Pass the routers on to all that share a limit or a budget with them."""
        self._permits.set_routers(self._roster.current(ISSUER_GRACE_S))
        # The retries of a router that has gone count until the end of the window.
        sharing = self._roster.current(self._settings.bounds.retry_window_s)
        count = len({*sharing, self._settings.peer_address})
        self._budgets.set_router_count(count)
        self._quotas.set_routers({*sharing, self._settings.peer_address})
        self._follower.set_router_count(count)
        self._cache_planner.set_router_count(count)
        self._apply_peers()

    def _apply_peers(self) -> None:
        """Pass on which routers to tell and to ask.

        Those whose entries have disappeared recently may go on. In another region one of them is
        told only if no router is registered there, as a single one is to pass messages on.
        """
        registered = self._peers.others()
        known = {router.address for router in registered} | {self._settings.peer_address}
        recent = self._roster.current(RETURN_GRACE_S)
        missing = [router for address, router in recent.items() if address not in known]
        self._peers.missing = missing
        regions = {router.region for router in registered} - {self._settings.region}
        addresses: dict[str, list[gossip.Address]] = {}
        for router in (*registered, *(other for other in missing if other.region not in regions)):
            address = (router.ip, self._settings.gossip_port)
            addresses.setdefault(router.region, []).append(address)
        self._gossip.set_peers(addresses)

    def _handle_message(self, kind: str, fields: list[Any]) -> None:
        handlers: dict[str, Callable[[list[Any]], None]] = self._target_updates.handlers | {
            gossip.REVISION: self._handle_revision,
            gossip.LIMIT: lambda found: self._limits.record_peer(*decode_limit(found)),
            gossip.PERMIT_REQUEST: lambda found: self._permits.handle_request(
                PermitRequest.from_fields(found)
            ),
            gossip.PERMIT_RESPONSE: lambda found: self._permits.handle_response(
                PermitResponse.from_fields(found)
            ),
            gossip.CRASH: self._quarantine.handle_crash,
            gossip.RESENT: self._quarantine.handle_resent,
            gossip.BEGUN: self._take_ups.handle_begun,
            gossip.ANSWERED: self._quarantine.handle_answered,
            gossip.QUARANTINED: self._quarantine.handle_quarantined,
            gossip.RELEASED: self._quarantine.handle_released,
            gossip.USAGE: lambda found: self._quotas.handle_report(UsageReport.from_fields(found)),
            gossip.ISSUER_SUSPECTED: lambda found: self._permits.handle_suspicion(
                *decode_suspicion(found)
            ),
        }
        if kind in handlers:
            handlers[kind](fields)

    def _handle_revision(self, fields: list[Any]) -> None:
        position, address = decode_position(fields)
        if position > self._follower.peer_position:
            self._follower.peer_position = position
            self._peers.announcer = address

    async def _drop_routers(self) -> None:
        """Run the loop that drops routers whose entries have been missing for long."""
        while True:
            await self._clock.sleep(ROSTER_CHECK_INTERVAL_S)
            self._apply_roster()

    async def _announce_revision(self) -> None:
        """Run the loop that sends new store positions to peers, so that lagging ones catch up."""
        announced = Position(0, 0)
        while True:
            await self._clock.sleep(REVISION_CHECK_INTERVAL_S)
            if self._follower.position != announced:
                announced = self._follower.position
                self._gossip.send_position(
                    announced.era, announced.revision, self._settings.peer_address
                )

    def _announce_limit(self, target: Target, rate_per_s: float | None) -> None:
        self._gossip.broadcast(gossip.LIMIT, [target.name, target.entry.started_ms, rate_per_s])

    def _occupancy(self) -> Occupancy:
        forwarder = self._forwarder
        max_in_progress = forwarder.in_progress + self._caller_account.free_bytes // REQUEST_BYTES
        return Occupancy(forwarder.in_progress, max_in_progress, forwarder.stop)

    async def _answer_operator(self, request: Any) -> web.Response:
        """Answer on the metrics address."""
        if request.path == EXPLAIN_PATH:
            return await self._explanations.handle(request)
        return await metrics.handle_metrics(request)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _listen(self, address: str, handler: Any) -> None:
        runner = web.ServerRunner(ChargedServer(handler, self._service_account))
        await runner.setup()
        self._runners.append(runner)
        await listen(runner, address)
