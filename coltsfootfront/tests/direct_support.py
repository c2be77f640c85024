"""Fixtures shared by the tests of direct routing."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable

from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront.common.errors import Failure
from coltsfootfront.costs.model import CostModel
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.callerrequest import CallerRequest, PromptPart, ResponseWriter
from coltsfootfront.direct.capacitywait import CapacityWait
from coltsfootfront.direct.crashobserver import CrashObserver
from coltsfootfront.direct.directory import Directory, Target, TargetEntry
from coltsfootfront.direct.forwarder import Forwarder
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.limitrecorder import LimitRecorder
from coltsfootfront.direct.permitmessages import PermitChannel, PermitRequest, PermitResponse
from coltsfootfront.direct.permits import Permits
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.quarantinekeeper import QuarantineKeeper
from coltsfootfront.direct.quotacounter import QuotaCounter
from coltsfootfront.direct.retrybudgets import ServiceRetryBudgets
from coltsfootfront.direct.routingconfig import (
    Customer,
    EngineProperties,
    KeptCache,
    RetryPolicy,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
)
from coltsfootfront.direct.servicebuilds import ServiceBuilds
from coltsfootfront.direct.takeups import OnStreams, PeerStreams, TakeUps
from coltsfootfront.direct.targetclient import (
    Directive,
    ExchangeError,
    ExchangeFailure,
    TargetClient,
    TargetResponse,
)
from coltsfootfront.direct.targetselection import PlainTargetSelector, PromptTargetSelector
from coltsfootfront.direct.targetwork import TargetWorkRecorder
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.quotas.quotas import Quotas
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue
from coltsfootfront.tests.support import InMemoryStore

REGIONS = {"a": "east", "b": "east", "c": "west"}
MODEL = "m"
ENGINE_PROPERTIES = EngineProperties(token_bytes=18_432, link_bytes_per_s=35e9, models=(MODEL,))
# A part of 5,000 tokens occupies its link for 18 ms within its data centre, and for 180 ms to
# another region.
KEPT_CACHE = KeptCache("kept", "kept:1", "c", 5e9)


def make_entry(
    name: str,
    service: str = "engines",
    data_centre: str = "a",
    version: int = 1,
    is_leaving: bool = False,
    started_ms: int = 1,
) -> TargetEntry:
    """Create the entry of a target."""
    versions = {MODEL: version} if service == "engines" else {}
    address = f"10.0.0.{len(name)}:80{abs(hash(name)) % 90 + 10}"
    return TargetEntry(
        name=name,
        service=service,
        address=address,
        data_centre=data_centre,
        slots=64 if service == "engines" else 6,
        is_draining=is_leaving,
        versions=versions,
        started_ms=started_ms,
        build="v1",
    )


def make_route(
    prefix: str = "/plain/",
    service: str = "plain",
    retry_policy: RetryPolicy = RetryPolicy.IDEMPOTENT,
    is_stream: bool = False,
    max_attempts: int = 2,
    aim_s: float = 0.2,
    timeout_s: float = 1.5,
) -> Route:
    """Create a route of the host ``h``."""
    return Route(
        name=f"route{prefix}",
        host="h",
        prefix=prefix,
        weighted_services=(WeightedService(service, 1.0),),
        retry_policy=retry_policy,
        is_stream=is_stream,
        has_prompt=service == "engines",
        timeout_s=timeout_s,
        latency_objective_s=aim_s,
        priority=0,
        max_attempts=max_attempts,
        allows_anonymous=False,
    )


def make_config(*routes: Route) -> RoutingConfig:
    """Create a configuration with one customer."""
    config = RoutingConfig(number=1, requires_keys=True)
    config.customers_by_key = {"key": Customer("customer")}
    config.services = {
        "plain": Service("plain"),
        "engines": Service("engines", engine=ENGINE_PROPERTIES),
    }
    for item in routes:
        config.add_route(item)
    return config


def make_request(
    path: str = "/plain/x",
    request_id: str = "r1",
    received_s: float | None = None,
    deadline_s: float = 3.0,
    parts: tuple[tuple[str, int], ...] = (),
    key: str = "key",
) -> CallerRequest:
    """Create a caller's request, received now unless `received_s` is given."""
    if received_s is None:
        received_s = SystemClock().monotonic_s()
    prompt = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return CallerRequest(
        request_id=request_id,
        host="h",
        method="POST" if parts else "GET",
        path=path,
        headers=[],
        body=b"",
        received_s=received_s,
        deadline_s=received_s + deadline_s,
        api_key=key,
        model=MODEL if parts else "",
        prompt_tokens=sum(part.tokens for part in prompt),
        parts=prompt,
    )


class FakeResponse(TargetResponse):
    """A response with given chunks; an exception breaks it off, a number is a delay in seconds."""

    def __init__(
        self,
        status: int = 200,
        chunks: tuple[bytes | float | Exception, ...] = (b"body",),
        is_not_executed: bool = False,
        version: int | None = None,
        is_other_target: bool = False,
        is_other_version: bool = False,
        is_leaving: bool = False,
        pause_s: float | None = None,
        load: int | None = None,
        limit_per_s: float | None = None,
        pace_percent: float | None = None,
    ) -> None:
        self.status = status
        self.headers = []
        self.length_bytes = None
        self.is_not_executed = is_not_executed
        self.is_other_target = is_other_target
        self.is_other_version = is_other_version
        self.version = version
        self.load = load
        self.pace_percent = pace_percent
        self.is_draining = is_leaving
        self.retry_after_s = pause_s
        self.limit_per_s = limit_per_s
        self.is_closed = False
        self._chunks = chunks

    async def chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            if isinstance(chunk, Exception):
                raise chunk
            if isinstance(chunk, float):
                await asyncio.sleep(chunk)
                continue
            yield chunk

    def close(self) -> None:
        self.is_closed = True


Responder = Callable[[Target, CallerRequest, Directive], TargetResponse]


class FakeClient(TargetClient):
    """Answers requests by a function and records them."""

    def __init__(self, responder: Responder) -> None:
        self.sent: list[tuple[str, Directive]] = []
        self._responder = responder

    async def send(
        self, target: Target, request: CallerRequest, directive: Directive
    ) -> TargetResponse:
        self.sent.append((target.name, directive))
        return self._responder(target, request, directive)

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass


def exchange_error(failure: ExchangeFailure = ExchangeFailure.NO_RESPONSE) -> ExchangeError:
    """Create the error of an exchange without a valid response."""
    return ExchangeError(failure, "exchange failed by the test")


class FakeWriter(ResponseWriter):
    """Records what a caller receives."""

    def __init__(self) -> None:
        self.failure: Failure | None = None
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.is_aborted = False

    async def refuse(self, failure: Failure) -> None:
        self.failure = failure

    async def begin(
        self, status: int, headers: list[tuple[str, str]], length_bytes: int | None
    ) -> None:
        self.status = status

    async def write(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.is_complete = True

    def abort(self) -> None:
        self.is_aborted = True


class NoPeers(PermitChannel):
    """Channel of a router that is alone."""

    def send_request(self, router: str, request: PermitRequest) -> None:
        pass

    def send_response(self, router: str, response: PermitResponse) -> None:
        pass

    def announce_suspicion(self, router: str, for_s: float) -> None:
        pass

    def send_suspicion(self, router: str, for_s: float) -> None:
        pass


class NoPeerStreams(PeerStreams):
    """Streams of a router that is alone."""

    async def read_streams(
        self, limit_s: float, receive: OnStreams, must_ask_all: bool = False
    ) -> bool:
        return True


class ForwarderFixture:
    """A forwarder with its collaborators and a fake client."""

    def __init__(self, clock: Clock, responder: Responder, fixed_retries: float = 100.0) -> None:
        generator = random.Random(1)
        self.clock = clock
        self.directory = Directory(clock, REGIONS)
        self.cache_index = CacheIndex(clock)
        self.versions = WeightVersions(clock, self.directory, 10.0, 4.0)
        self.limits = LimitRecorder(clock, self.directory, lambda target, rate_per_s: None)
        self.permits = Permits(clock, self.directory, REGIONS, "own:1", NoPeers(), generator)
        self.client = FakeClient(responder)
        self.prefill_rates = PrefillRates()
        self.costs = CostModel()
        cache_planner = CachePlanner(clock, REGIONS, self.cache_index, self.versions)
        self.selector = PromptTargetSelector(
            clock, "east", cache_planner, self.versions, self.prefill_rates, self.costs
        )
        channel = Gossip(lambda kind, fields: None, "east", generator)
        self.crash_observer = CrashObserver(
            clock,
            lambda target, suspects: self.quarantine.record_crash(target, suspects),
            lambda target: None,
        )
        self.quarantine = QuarantineKeeper(
            clock,
            "own",
            channel,
            InMemoryStore(clock),
            lambda key: 0,
            self.crash_observer.withdraw,
            generator,
        )
        self.builds = ServiceBuilds(
            clock,
            self.directory,
            InMemoryStore(clock),
            lambda key: 0,
            lambda: ["own:1"],
            "own:1",
            generator,
            lambda: 0,
        )
        self.take_ups = TakeUps(clock, self.builds, channel, NoPeerStreams())
        self.quotas = Quotas(clock, "10.0.0.1:1", True, generator)
        self.target_work = TargetWorkRecorder(
            clock, self.directory, channel, self.prefill_rates, self.costs
        )
        self.dispatch_queue = DispatchQueue(clock)
        self.forwarder = Forwarder(
            clock,
            self.directory,
            self.client,
            PlainTargetSelector(clock, "a", "east", generator, self.costs),
            self.selector,
            self.cache_index,
            self.versions,
            channel,
            ServiceRetryBudgets(clock, 0.2, fixed_retries, 10.0),
            self.prefill_rates,
            self.limits,
            self.permits,
            self.quarantine,
            self.crash_observer,
            self.take_ups,
            QuotaCounter(self.quotas),
            self.target_work,
            CapacityWait(clock, self.dispatch_queue),
            generator,
        )

    def add(self, *entries: TargetEntry) -> None:
        """Add targets."""
        for item in entries:
            self.directory.put(item)
