"""The program ``coltsfootfront-router``: takes callers' requests on an entry VM."""

import asyncio
import json
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import logbook
from aiohttp import web

from coltsfootfront import __version__
from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront.common.logs import event
from coltsfootfront.common.retries import RetryBudget
from coltsfootfront.common.runtime import Program, serve
from coltsfootfront.common.settings import RouterSettings, load_or_exit
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.configuration.document import Region
from coltsfootfront.configuration.activeconfiguration import ActiveRevision, ActiveConfiguration
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.configuration.watcher import Watcher
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront.keyvalue.store import Store
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Connection, Identity, Listener
from coltsfootfront.peers.vmlist import HttpVmList, VmList
from coltsfootfront.peers.liveness import AgentLiveness
from coltsfootfront.peers.membership import Membership
from coltsfootfront.peers.messages import Explain, ExplainReply, Heartbeat, Message, Status, StatusReply
from coltsfootfront.placing.baselines import make_baseline
from coltsfootfront.placing.breaker import Breaker
from coltsfootfront.placing.prefixaffinity import PrefixAffinityPolicy
from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.placing.policy import Policy
from coltsfootfront.placing.placer import Placer
from coltsfootfront.placing.probes import LoadTable, Prober
from coltsfootfront.serving.attempt import AttemptLimits
from coltsfootfront.serving.dispatch import Dispatcher
from coltsfootfront.serving.explain import explain
from coltsfootfront.serving.frontend import Frontend
from coltsfootfront.serving.httpserver import CallerServer
from coltsfootfront.serving.pauseguard import PauseGuard
from coltsfootfront.serving.ratelimit import RateLimiter

log = logbook.Logger(__name__)

PROGRAM = "coltsfootfront-router"
STORE_TIMEOUT_S = 2.0
BOOTSTRAP_TIMEOUT_S = 2.0
# After a pause requests wait for this time at most, since they must not be held for long.
RECHECK_TIMEOUT_S = 0.5
# Full jitter between attempts to get a first configuration, so that many restarted routers do
# not ask the same peers at once.
BOOTSTRAP_PAUSE_S = 0.5
# Agents asked for the configuration when no router has one.
BOOTSTRAP_AGENTS = 3
# Longest wait for a first configuration before callers may connect.
START_WAIT_S = 1.0
CLOSE_IDLE_INTERVAL_S = 10.0
DRAIN_POLL_S = 0.05
# Callers whose connection stays open after a drain are idle.
SHUTDOWN_TIMEOUT_S = 1.0


class Router(Program):
    """Wires the parts of a router together.

    :param settings: checked settings.
    :param clock: time source.
    :param vm_list: the platform's list of VMs, or None to do without it.
    :param store: the platform's key-value service, or None to do without it.
    """

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        vm_list: VmList | None = None,
        store: Store | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._generator = random.Random()
        self._vm_list = vm_list
        self._store = store
        self._is_draining = False
        self._has_asked_peers = asyncio.Event()
        self.configuration = ActiveConfiguration()
        self._identity = Identity(
            "router",
            settings.name,
            settings.data_centre,
            settings.peer_secret,
            lambda: self.configuration.number,
        )
        self._pool = ChannelPool(self._open_channel)
        self._liveness = AgentLiveness(clock, settings.accept_timeout_s)
        self._table = LoadTable(clock)
        self._breaker = Breaker(clock)
        self.link = LinkBudget(clock)
        self._limiter = RateLimiter(clock)
        self._prober = Prober(
            self._pool, self._table, clock, settings.probe_timeout_s, settings.connect_timeout_s
        )
        self._membership = Membership(
            settings.name,
            settings.data_centre,
            clock,
            vm_list,
            settings.vm_list_interval_s,
            settings.greet_interval_s,
            self._members_changed,
        )
        self._policy = _build_policy(settings, clock, self._generator)
        self._pause_guard = PauseGuard(clock, self._recheck_revision)
        self.dispatcher = self._build_dispatcher()
        self.frontend = Frontend(
            settings,
            self.configuration,
            self.dispatcher,
            self._limiter,
            clock,
            self._pause_guard.settle,
            self.unready_reason,
        )
        self._listener = Listener(settings.peer_address, self._identity, self._serve_peer)
        self._tree = Supervisor("router", clock)
        self._spread: ConfigurationGossip | None = None
        self._watcher: Watcher | None = None
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self.peer_address = ""
        self.http_address = ""

    async def start(self) -> None:
        self.peer_address = await self._listener.start()
        own_address = self._settings.advertised_address or self.peer_address
        self._spread = self._build_spread(own_address)
        self.configuration.changes.subscribe(on_next=self._configuration_changed)
        if self._vm_list is not None:
            await self._vm_list.start()
        await self._spread.start()
        self._tree.add("membership", self._membership.run)
        self._tree.add("bootstrap", self._bootstrap)
        self._tree.add("pauses", self._pause_guard.run)
        self._tree.add("idle_channels", self._close_idle_channels)
        await self._tree.start()
        await self._start_watcher()
        await self._await_configuration()
        await self._start_http()
        log.info(event("router_started", peer=self.peer_address, http=self.http_address))

    async def drain(self) -> None:
        self._is_draining = True
        self.frontend.is_draining = True
        log.info(event("drain_started", in_progress=self.frontend.in_progress))
        await self._clock.sleep(self._settings.drain_wait_s)
        if self._site is not None:
            await self._site.stop()
        while self.frontend.in_progress:
            await self._clock.sleep(DRAIN_POLL_S)
        log.info(event("drain_finished"))

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
        await self._tree.close()
        await self._pause_guard.close()
        if self._watcher is not None:
            await self._watcher.close()
        if self._spread is not None:
            await self._spread.close()
        await self._listener.close()
        await self._prober.close()
        await self._liveness.close()
        await self._pool.close()
        if self._vm_list is not None:
            await self._vm_list.close()
        if self._store is not None:
            await self._store.close()

    def unready_reason(self) -> str:
        """Why this router takes no new work, or an empty string."""
        if self._is_draining:
            return "draining"
        if not self.configuration.number:
            return "no configuration"
        if not self._has_asked_peers.is_set():
            return "peers not asked for a newer configuration"
        return ""

    def _build_dispatcher(self) -> Dispatcher:
        settings = self._settings
        placer = Placer(
            self.configuration,
            settings.data_centre,
            self._policy,
            self._prober,
            self._table,
            self._breaker,
            self._membership,
            self.link,
        )
        return Dispatcher(
            self.configuration,
            placer,
            self._pool,
            self._table,
            self._breaker,
            RetryBudget(self._clock, settings.retry_ratio, settings.retry_floor_per_s),
            self.link,
            self._liveness,
            self._clock,
            AttemptLimits(settings.accept_timeout_s, settings.stream_idle_timeout_s),
            settings.max_attempts,
            self._generator,
        )

    def _build_spread(self, own_address: str) -> ConfigurationGossip:
        return ConfigurationGossip(
            self._identity,
            self.configuration,
            self._pool,
            self._clock,
            self._settings.seed_addresses,
            own_address,
            self._settings.greet_interval_s,
        )

    async def _start_watcher(self) -> None:
        if self._store is None:
            return
        await self._store.start()
        self._watcher = Watcher(
            self._settings.name,
            self._settings.data_centre,
            self._store,
            self.configuration,
            self._clock,
            self._membership.routers,
        )
        await self._watcher.start()

    async def _start_http(self) -> None:
        settings = self._settings
        server = CallerServer(
            self.frontend.handle,
            settings.max_connections,
            settings.max_header_bytes,
            settings.max_body_bytes,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        host, _, port = settings.http_address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()
        name = self._runner.addresses[0]
        self.http_address = f"{name[0]}:{name[1]}"

    def _open_channel(self, address: str) -> Channel:
        return Channel(
            address,
            self._identity,
            self._clock,
            self._note_revision,
            self._answer,
            self._settings.connect_timeout_s,
        )

    def _note_revision(self, channel: Channel, number: int) -> None:
        self._liveness.record_message(channel.address)
        if self._spread is not None:
            self._spread.on_peer_revision(channel, number)

    def _answer(self, channel: Channel, message: Message) -> None:
        if self._spread is not None:
            self._spread.on_server_message(channel, message)

    async def _serve_peer(self, connection: Connection) -> None:
        spread = self._spread
        assert spread is not None
        while True:
            message, number = await connection.receive()
            if isinstance(message, Heartbeat):
                self._membership.record_heartbeat(message)
            if isinstance(message, Status):
                await connection.send(StatusReply(message.call, self._state()))
            elif isinstance(message, Explain):
                number = self.configuration.number
                answer = await explain(message.body, self.dispatcher, self._clock, number)
                await connection.send(ExplainReply(message.call, answer))
            elif not await spread.handle_client_message(connection, message, number):
                log.debug(event("message_ignored", peer=connection.peer, type=message.TYPE))

    def _state(self) -> bytes:
        state = {
            "role": "router",
            "name": self._settings.name,
            "data_centre": self._settings.data_centre,
            "revision": self.configuration.number,
            "digest": self.configuration.digest,
            "ready": not self.unready_reason(),
            "in_progress": self.frontend.in_progress,
            "routers": self._membership.routers(),
        }
        return json.dumps(state).encode()

    def _configuration_changed(self, in_force: ActiveRevision) -> None:
        document = in_force.document
        targets = set(document.targets)
        self._table.keep_only(targets)
        self._breaker.keep_only(targets)
        self._prober.keep_only(targets)
        self._limiter.keep_only(set(document.customers))
        self._liveness.keep_only({item.agent_address for item in document.targets.values()})
        if isinstance(self._policy, PrefixAffinityPolicy):
            self._policy.policy_settings = document.policy
        self._share_link()

    def _members_changed(self) -> None:
        if self._spread is not None:
            self._spread.set_peers(self._membership.peers())
        self._share_link()

    def _share_link(self) -> None:
        document = self.configuration.document
        own = document.region_of(self._settings.data_centre)
        region = document.regions.get(own, Region())
        data_centres = region.data_centres or [self._settings.data_centre]
        count = self._membership.count_routers(data_centres)
        self.link.set_rate(region.link_bytes_per_s, count)

    async def _bootstrap(self) -> None:
        """Get the newest configuration from peers and agents; the store is not needed.

        Peers are asked also when the store has answered already: it may answer with an older
        value, and the router must not serve by a revision that others have left behind.
        """
        spread = self._spread
        assert spread is not None
        while not self._has_asked_peers.is_set():
            await spread.bootstrap(BOOTSTRAP_TIMEOUT_S)
            # Peers that restart at the same time know no more than this router.
            await self._pull_from_agents(spread)
            if self.configuration.number:
                self._has_asked_peers.set()
            else:
                await self._clock.sleep(self._generator.uniform(0, BOOTSTRAP_PAUSE_S))

    async def _recheck_revision(self) -> None:
        if self._spread is not None:
            await self._spread.bootstrap(RECHECK_TIMEOUT_S)

    async def _await_configuration(self) -> None:
        """Give peers a moment, so that the first callers are not refused for lack of a document.

        Without peers and store the router listens all the same and reports that it is not ready.
        """
        if not self._settings.seed_addresses and self._vm_list is None:
            return
        try:
            async with asyncio.timeout(START_WAIT_S):
                await self._has_asked_peers.wait()
        except TimeoutError:
            log.warning(event("started_without_configuration"))

    async def _pull_from_agents(self, spread: ConfigurationGossip) -> None:
        agents = self._membership.agents() or self._agents_of_document()
        chosen = self._generator.sample(agents, min(BOOTSTRAP_AGENTS, len(agents)))
        await asyncio.gather(*(spread.pull_from(address) for address in chosen))

    def _agents_of_document(self) -> list[str]:
        targets = self.configuration.document.targets.values()
        return [target.agent_address for target in targets]

    async def _close_idle_channels(self) -> None:
        while True:
            await self._clock.sleep(CLOSE_IDLE_INTERVAL_S)
            await self._pool.close_idle()


def _build_policy(settings: RouterSettings, clock: Clock, generator: random.Random) -> Policy:
    baseline = make_baseline(settings.policy)
    if baseline is not None:
        return baseline
    return PrefixAffinityPolicy(settings.probe_count, clock, generator)


def main() -> None:
    """Run the program."""
    import cappa

    @cappa.command(name=PROGRAM, help="Takes callers' requests and routes them to targets.")
    @dataclass
    class Command:
        config: Annotated[Path, cappa.Arg(long=True, help="Settings file in TOML.")]

    command = cappa.parse(Command, version=__version__, completion=False)
    settings = load_or_exit(command.config, RouterSettings)
    vm_list = HttpVmList(settings.vm_list_url) if settings.vm_list_url else None
    store = EtcdStore(settings.store_address, STORE_TIMEOUT_S)
    router = Router(settings, SystemClock(), vm_list, store)
    serve(router, settings.name, settings.log_level)


if __name__ == "__main__":
    main()
