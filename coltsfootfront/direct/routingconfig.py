"""The part of the configuration that a router needs to send requests directly to targets."""

import hashlib
import json
import random
from bisect import insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from coltsfootfront.quotas.quota import Quota

# Prefixes of cache scopes, so that no customer's name is the scope of others.
CUSTOMER_SCOPE = "customer/"
SHARED_SCOPE = "shared/"
SCOPE_DIGEST_BYTES = 8
# Callers give up a stream after the longest of these times without an event: a fixed one, and
# multiples of the latency objective and of the objective for the gap between events.
MIN_EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0
EVENT_TIMEOUT_GAPS = 8.0


class RetryPolicy(Enum):
    """Whether a route's requests may be retried, or resumed at another target."""

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

    :param retry_policy: whether a request may run more than once, or resume at another target.
    :param is_stream: the response is a stream of events.
    :param has_prompt: requests carry a prompt whose parts are shared with others.
    :param timeout_s: longest time until the end of the response, in seconds.
    :param latency_objective_s: latency objective for the response, or its first event, in seconds.
    :param priority: priority of the route's requests, 0 is the most urgent.
    :param max_attempts: number of targets that one request may be sent to.
    :param allows_anonymous: callers need no API key.
    :param event_gap_objective_s: objective for the time between events, in seconds; 0 when not set.
    :param is_unreadable: nothing but its host and prefix could be read, so that its requests are
        refused.
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
    is_unreadable: bool = False

    @property
    def event_timeout_s(self) -> float:
        """Time without an event after which callers give up a stream, also before the first one."""
        if not self.is_stream:
            return self.timeout_s
        return max(
            MIN_EVENT_TIMEOUT_S,
            EVENT_TIMEOUT_OBJECTIVES * self.latency_objective_s,
            EVENT_TIMEOUT_GAPS * self.event_gap_objective_s,
        )

    def choose_service(self, generator: random.Random) -> str:
        """Choose a service at random, by the weights of the split."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [service.weight for service in self.weighted_services]
        return generator.choices(self.weighted_services, weights)[0].service


@dataclass(frozen=True, slots=True)
class EngineProperties:
    """Configured properties of the engines of a service.

    :param token_bytes: size of one token's KV cache in bytes.
    :param link_bytes_per_s: rate at which an engine transfers KV cache.
    :param models: names of the models that the engines serve.
    :param capacity_tokens: tokens that fit into the memory of an engine, 0 when not set.
    """

    token_bytes: int
    link_bytes_per_s: float
    models: tuple[str, ...]
    capacity_tokens: int = 0


@dataclass(frozen=True, slots=True)
class KeptCache:
    """Kept cache: a service in which engines save the KV cache of prompt parts.

    :param address: host and port that engines use.
    :param link_bytes_per_s: rate at which it transfers KV cache, 0 when not set.
    :param capacity_tokens: tokens whose KV cache it can store, 0 when not set.
    """

    name: str
    address: str
    data_centre: str
    link_bytes_per_s: float
    capacity_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets.

    :param engine: properties of model engines, None for plain services and kept caches.
    :param kept_cache: set for a kept cache, None for all others.
    """

    name: str
    engine: EngineProperties | None = None
    kept_cache: KeptCache | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer.

    :param priority: overrides the priority of the route; None when not set.
    :param is_isolated: shares no cached prompt part with other customers.
    :param quota: limit on its use, over all routers together; None if there is none.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers may send.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param idle_s: time after which an idle connection is closed, in seconds.
    :param header_s: time in which the head of a request arrives, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_s: float = 15.0
    header_s: float = 3.0


def make_unreadable_route(name: str, host: str, prefix: str) -> Route:
    """Create a route that takes its requests from those of shorter prefixes, and serves none."""
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        weighted_services=(),
        retry_policy=RetryPolicy.ONCE,
        is_stream=False,
        has_prompt=False,
        timeout_s=0.0,
        latency_objective_s=0.0,
        priority=0,
        max_attempts=0,
        allows_anonymous=False,
        is_unreadable=True,
    )


def request_urgency(route: Route, customer: Customer | None) -> int:
    """Urgency of a request, 0 is the highest; the customer's goes before the route's."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


class HostRoutes:
    """Routes of one host by prefix, with a lookup that does not depend on their number."""

    __slots__ = ("_by_prefix", "_prefix_lengths")

    def __init__(self) -> None:
        self._by_prefix: dict[str, Route] = {}
        self._prefix_lengths: list[int] = []
        """Distinct lengths of the prefixes, in ascending order."""

    def __iter__(self) -> Iterator[Route]:
        return iter(self._by_prefix.values())

    def add(self, route: Route) -> None:
        """Add a route; the first one of a prefix holds."""
        length = len(route.prefix)
        if length not in self._prefix_lengths:
            insort(self._prefix_lengths, length)
        self._by_prefix.setdefault(route.prefix, route)

    def find(self, path: str) -> Route | None:
        """Find the route whose prefix is the longest that begins the path."""
        for length in reversed(self._prefix_lengths):
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(slots=True)
class RoutingConfig:
    """Routes, services, customers and limits of one version of the configuration.

    :param number: version; grows with each change.
    :param customers_by_key: customer of each API key; empty when callers need no keys at all.
    :param customers: all customers by name, those without a key included.
    :param unusable_keys: API keys of customers that could not be read.
    :param has_unknown_keys: a customer may have further keys, which could not be read.
    :param shared_cache_scope: scope within which the customers that are not isolated share cached
        prompt parts.
    """

    number: int = 0
    routes: dict[str, HostRoutes] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    customers_by_key: dict[str, Customer] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    unusable_keys: set[str] = field(default_factory=set)
    has_unknown_keys: bool = False
    shared_cache_scope: str = ""
    requires_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)
    _unlocated_hosts: set[str | None] = field(default_factory=set)
    """Hosts of routes whose prefix could not be read; None for a host that could not either."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a host whose prefix is the longest that begins the path."""
        routes = self.routes.get(host)
        return routes.find(path) if routes is not None else None

    def add_route(self, route: Route) -> None:
        """Add a route; of two with the same host and prefix the first one holds."""
        routes = self.routes.get(route.host)
        if routes is None:
            routes = self.routes[route.host] = HostRoutes()
        routes.add(route)

    def add_unlocated_route(self, host: str | None) -> None:
        """Add a route of an unknown prefix.

        :param host: None if it is unknown as well.
        """
        self._unlocated_hosts.add(host)

    def find_unreadable(self, host: str, route: Route | None) -> str:
        """Why a request is refused for a route that could not be read.

        A route without a prefix may have stood before one that admits callers without a key, or may
        be the one that a path is found to lack. It does not matter for routes that ask for a key,
        as keys are as good at any route.

        :param route: route found for the request, None if there is none.
        :returns: empty if it is not.
        """
        if route is not None and route.is_unreadable:
            return "the route cannot be read in the configuration"
        is_open = route is None or route.allows_anonymous
        if is_open and not self._unlocated_hosts.isdisjoint((host, None)):
            return "a route of this host cannot be read in the configuration"
        return ""

    def may_have_key(self, key: str) -> bool:
        """Whether an API key that no customer has may be one of those that could not be read."""
        return self.has_unknown_keys or key in self.unusable_keys

    def resumable_timeouts_s(self) -> dict[str, float]:
        """Longest timeout of the routes with resumable streams, for each service that has any."""
        timeouts_s: dict[str, float] = {}
        for route in (route for host in self.routes.values() for route in host):
            if route.retry_policy is RetryPolicy.RESUMABLE:
                for choice in route.weighted_services:
                    longest_s = max(route.timeout_s, timeouts_s.get(choice.service, 0.0))
                    timeouts_s[choice.service] = longest_s
        return timeouts_s

    def add_customer(self, customer: Customer, keys: Iterable[str]) -> None:
        """Add a customer with its API keys; one that is listed twice is isolated if either is."""
        known = self.customers.get(customer.name)
        if known is not None and known.is_isolated:
            customer = replace(customer, is_isolated=True)
        self.customers[customer.name] = customer
        self.customers_by_key.update(dict.fromkeys(keys, customer))
        if customer.is_isolated:
            self.shared_cache_scope = _compute_shared_scope(self.isolated_customers())

    def quotas(self) -> dict[str, Quota]:
        """Quotas of the customers that have one, by customer."""
        return {
            name: customer.quota
            for name, customer in self.customers.items()
            if customer.quota is not None
        }

    def isolated_customers(self) -> list[str]:
        """Names of the customers that share no cached prompt part, in a fixed order."""
        return sorted(name for name, customer in self.customers.items() if customer.is_isolated)

    def cache_scope(self, customer: Customer | None) -> str:
        """Scope within which a customer's requests share cached prompt parts.

        It depends on nothing but who is isolated, so that routers agree on it by themselves and
        other changes keep the cached parts in use.

        :param customer: customer as of the configuration in which its request was admitted, None
            for a request without one.
        """
        if customer is None:
            return self.shared_cache_scope
        # A customer that has been removed since stays as it was.
        current = self.customers.get(customer.name, customer)
        return CUSTOMER_SCOPE + current.name if current.is_isolated else self.shared_cache_scope

    def kept_caches(self) -> tuple[KeptCache, ...]:
        """The kept caches."""
        found = (service.kept_cache for service in self.services.values())
        return tuple(cache for cache in found if cache is not None)


def _compute_shared_scope(isolated_customers: list[str]) -> str:
    """Scope of the customers that are not isolated, a new one for each set of isolated customers.

    A customer's parts stay in the targets' caches when it becomes isolated. The parts in the scope
    were all made while the same customers were isolated, hence by none of them.

    :param isolated_customers: names in a fixed order.
    """
    if not isolated_customers:
        return ""
    encoded = json.dumps(isolated_customers).encode()
    return SHARED_SCOPE + hashlib.blake2b(encoded, digest_size=SCOPE_DIGEST_BYTES).hexdigest()
