"""The part of the configuration that decides how a request is routed straight to targets."""

import random
from dataclasses import dataclass, field
from enum import Enum


class RetryPolicy(Enum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a weighted split.

    :param weight: share of the requests relative to the other services of the split.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are handled.

    :param retry_policy: whether a request may run more than once, or continue at another target.
    :param is_stream: the answer is a stream of events.
    :param has_prompt: requests carry a prompt whose parts are shared with others.
    :param timeout_s: longest time until the final answer, in seconds.
    :param latency_objective_s: time until the answer, or its first event, that counts as good, in seconds.
    :param priority: rank of the route's requests, 0 is the most urgent.
    :param max_attempts: number of targets that one request may be given to.
    :param allows_anonymous: callers need no key.
    :param event_gap_objective_s: longest pause between events that counts as good, 0 when not said.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    retry_policy: RetryPolicy
    is_stream: bool
    has_prompt: bool
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_attempts: int
    allows_anonymous: bool
    event_gap_objective_s: float = 0.0

    def choose_service(self, generator: random.Random) -> str:
        """Draw a service by the weights of the split."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [share.weight for share in self.weighted_services]
        return generator.choices(self.weighted_services, weights)[0].service


@dataclass(frozen=True, slots=True)
class EngineProperties:
    """What the configuration says of the engines of a service.

    :param token_bytes: size of one token's KV cache in bytes.
    :param link_bytes_per_s: rate at which an engine gives and takes KV cache.
    :param models: names of the models that the engines serve.
    """

    token_bytes: int
    link_bytes_per_s: float
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeptCache:
    """A service in which engines save parts of prompts that they have read.

    :param address: host and port that engines use.
    :param link_bytes_per_s: rate at which it gives and takes KV cache, 0 when not said.
    :param capacity_tokens: tokens that it holds, 0 when not said.
    """

    name: str
    address: str
    data_centre: str
    link_bytes_per_s: float
    capacity_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """Targets that do the same work.

    :param engine: facts about model engines, None for plain services and kept cache.
    :param kept_cache: None for all others.
    """

    name: str
    engine: EngineProperties | None = None
    kept_cache: KeptCache | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer.

    :param priority: goes before the priority of the route; None when not set.
    :param is_isolated: shares no cached prompt part with other customers.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers may send.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param idle_s: time after which an idle connection is closed, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_s: float = 15.0


@dataclass(slots=True)
class RoutingConfig:
    """Routes, services, customers and limits of one version of the configuration.

    :param number: version; grows with each change.
    :param customers_by_key: customer of each API key; empty when callers need no keys at all.
    """

    number: int = 0
    routes: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    customers_by_key: dict[str, Customer] = field(default_factory=dict)
    requires_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a host whose prefix is the longest that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def add_route(self, route: Route) -> None:
        """Add a route; the longest prefix of a host stands first."""
        routes = self.routes.setdefault(route.host, [])
        routes.append(route)
        routes.sort(key=lambda item: len(item.prefix), reverse=True)

    def kept_caches(self) -> tuple[KeptCache, ...]:
        """The kept-cache services."""
        found = (service.kept_cache for service in self.services.values())
        return tuple(cache for cache in found if cache is not None)
