"""Decodes the operators' configuration of routes, services and customers.

An entry that cannot be read keeps no other entry out of force: keys that the same version withdraws
have to be refused whatever else it holds. Nor may it let in a caller whom its operator has shut
out, so what it may have covered is refused (:mod:`coltsfootfront.direct.routingconfig`). A field
that decides neither who is let in nor what may run takes the value that costs others least.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple, TypeVar

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    describe,
    load_json,
    read_address,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.direct.routingconfig import (
    CallerLimits,
    Customer,
    EngineProperties,
    KeptCache,
    RetryPolicy,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
    make_unreadable_route,
)
from coltsfootfront.quotas.quota import Quota, QuotaUnit

# Rank of a route whose rank cannot be read: the least urgent one that targets tell apart.
LEAST_URGENT = 9
# Longest name of a route that is kept; a longer one keeps its beginning and a digest.
MAX_ROUTE_NAME_LENGTH = 200
DIGEST_BYTES = 8
# Log lines about the entries of one version; all are counted.
MAX_LOGGED_FAULTS = 20

Json = dict[str, Any]
T = TypeVar("T")

log = logbook.Logger(__name__)


class _Fault(NamedTuple):
    """Part of a configuration that cannot be read.

    :param where: list, place in it and name of the entry, and the field if the rest was read.
    """

    where: str
    reason: str


class _Faults:
    """Parts of one configuration that could not be read."""

    __slots__ = ("_found",)

    def __init__(self) -> None:
        self._found: list[_Fault] = []

    def add(self, where: str, error: Exception) -> None:
        """Record a part that is not used."""
        self._found.append(_Fault(where, describe(error)))

    def read_or(self, default: T, read: Callable[[Any], T], item: Json, field: str, of: str) -> T:
        """Read a field; one that is null or missing, or cannot be read, has a default.

        :param of: entry that has the field, for the log.
        """
        value = item.get(field)
        if value is None:
            return default
        try:
            return read(value)
        except DecodingError as error:
            self.add(f"{of} {field}", error)
            return default

    def report(self, version: int) -> None:
        """Count all parts, and log the first ones."""
        if not self._found:
            return
        metrics.CONFIGURATION_EVENTS.add({"event": "part_unreadable"}, len(self._found))
        for fault in self._found[:MAX_LOGGED_FAULTS]:
            log.warning(event("configuration_part_unreadable", version=version, **fault._asdict()))
        log.warning(
            event("configuration_partly_unreadable", version=version, parts=len(self._found))
        )


def decode_config(value: bytes) -> Result[RoutingConfig, str]:
    """Decode a routing configuration.

    :returns: a failure if its version, or one of its lists as a whole, cannot be read.
    """
    try:
        with decoding("configuration"):
            return Success(_decode_config(read_object(load_json(value))))
    except DecodingError as error:
        return Failed(str(error))


def _decode_config(body: Json) -> RoutingConfig:
    faults = _Faults()
    config = RoutingConfig(
        number=read_integer(body["version"]),
        requires_keys="tenants" in body,
        limits=_decode_limits(body, faults),
    )
    for number, item in enumerate(read_list(body["services"])):
        _add_service(config, _describe_entry("services", number, item), item, faults)
    for number, item in enumerate(read_list(body["routes"])):
        _add_route(config, _describe_entry("routes", number, item), item, faults)
    for number, item in enumerate(read_list(body.get("tenants", []))):
        _add_customer(config, _describe_entry("tenants", number, item), item, faults)
    faults.report(config.number)
    return config


def _describe_entry(kind: str, number: int, item: Any) -> str:
    name = item.get("name") if isinstance(item, dict) else None
    return f"{kind}[{number}]" if name is None else f"{kind}[{number}] {describe(name)}"


def _decode_limits(body: Json, faults: _Faults) -> CallerLimits:
    default = CallerLimits()
    unset: Json = {}
    item = faults.read_or(unset, read_object, body, "limits", "configuration")

    def read_seconds(field: str, default_s: float) -> float:
        return faults.read_or(default_s * 1000, read_number, item, field, "limits") / 1000

    return CallerLimits(
        header_bytes=faults.read_or(
            default.header_bytes, read_integer, item, "max-header-bytes", "limits"
        ),
        body_bytes=faults.read_or(
            default.body_bytes, read_integer, item, "max-body-bytes", "limits"
        ),
        idle_s=read_seconds("idle-timeout-ms", default.idle_s),
        header_s=read_seconds("header-timeout-ms", default.header_s),
    )


def _add_route(config: RoutingConfig, where: str, item: Any, faults: _Faults) -> None:
    try:
        with decoding("route"):
            config.add_route(_decode_route(read_object(item), where, faults))
    except DecodingError as error:
        faults.add(where, error)
        host = _read_or_none(item, "host")
        prefix = _read_or_none(item, "prefix")
        if host is not None and prefix is not None:
            config.add_route(make_unreadable_route(where, host, prefix))
        else:
            config.add_unlocated_route(host)


def _read_or_none(item: Any, field: str) -> str | None:
    try:
        return read_text(read_object(item).get(field))
    except DecodingError:
        return None


def _decode_route(item: Json, where: str, faults: _Faults) -> Route:
    kind = item["kind"]
    is_stream = kind == "stream"
    if kind == "idempotent":
        retry_policy = RetryPolicy.IDEMPOTENT
    elif is_stream and faults.read_or(False, _read_flag, item, "resumable", where):
        retry_policy = RetryPolicy.RESUMABLE
    else:
        retry_policy = RetryPolicy.ONCE
    timeout_ms = read_number(item["timeout-ms"])
    objective_ms = faults.read_or(timeout_ms, read_number, item, "target-latency-ms", where)
    gap_ms = faults.read_or(0.0, read_number, item, "gap-aim-ms", where)
    priority = item.get("priority")
    return Route(
        name=_read_route_name(item.get("name"), where),
        host=read_text(item["host"]),
        prefix=read_text(item["prefix"]),
        weighted_services=_decode_weighted_services(item),
        retry_policy=retry_policy,
        is_stream=is_stream,
        # Despite its name, "sticky" has nothing to do with session affinity: it marks routes whose
        # requests list the parts of their prompt.
        has_prompt=_read_flag(item.get("sticky") or False),
        timeout_s=timeout_ms / 1000,
        latency_objective_s=(objective_ms or timeout_ms) / 1000,
        priority=(
            0
            if priority is None
            else faults.read_or(LEAST_URGENT, read_integer, item, "priority", where)
        ),
        max_attempts=faults.read_or(1, read_integer, item, "max-attempts", where),
        allows_anonymous=faults.read_or(False, _read_flag, item, "anonymous", where),
        event_gap_objective_s=gap_ms / 1000,
    )


def _read_route_name(value: Any, where: str) -> str:
    """Return the name of a route, by which only logs and estimates know it.

    :returns: the place of the route if it has none.
    """
    if not isinstance(value, str) or not value:
        return where
    if value.isprintable() and len(value) <= MAX_ROUTE_NAME_LENGTH:
        return value
    digest = blake2b(value.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()
    shown = "".join(found if found.isprintable() else "?" for found in value)
    return f"{shown[: MAX_ROUTE_NAME_LENGTH - len(digest) - 1]}~{digest}"


def _decode_weighted_services(item: Json) -> tuple[WeightedService, ...]:
    split = item.get("traffic-split")
    if not split:
        return (WeightedService(read_text(item["service"]), 1.0),)
    services = tuple(
        WeightedService(read_text(part["service"]), read_number(part["weight"]))
        for part in read_list(split)
    )
    if not any(service.weight for service in services):
        raise DecodingError("the weights of a split are all 0")
    return services


def _add_service(config: RoutingConfig, where: str, item: Any, faults: _Faults) -> None:
    """Add a service; what describes its engines or a kept cache only serves estimates."""
    try:
        name = read_text(read_object(item).get("name"))
    except DecodingError as error:
        # No route can name it.
        faults.add(where, error)
        return

    def decode_engine(engine: Any) -> EngineProperties | None:
        return _decode_engine(read_object(engine), where, faults) if engine else None

    def decode_kept_cache(address: Any) -> KeptCache | None:
        return _decode_kept_cache(name, item) if address else None

    engine = faults.read_or(None, decode_engine, item, "engine", where)
    kept_cache = faults.read_or(None, decode_kept_cache, item, "kv-store-addr", where)
    config.services[name] = Service(name, engine, kept_cache)


@decoding("engine")
def _decode_engine(engine: Json, where: str, faults: _Faults) -> EngineProperties:
    return EngineProperties(
        token_bytes=read_integer(engine["kv-token-bytes"]),
        link_bytes_per_s=_link_bytes_per_s(engine),
        models=tuple(read_text(model["name"]) for model in read_list(engine.get("models", []))),
        capacity_tokens=faults.read_or(0, read_integer, engine, "kv-capacity", f"{where} engine"),
    )


@decoding("kept cache")
def _decode_kept_cache(name: str, item: Json) -> KeptCache:
    return KeptCache(
        name=name,
        address=read_address(item["kv-store-addr"]),
        data_centre=read_text(item.get("zone", ""), is_optional=True),
        link_bytes_per_s=_link_bytes_per_s(item),
        capacity_tokens=read_integer(item.get("kv-capacity") or 0),
    )


def _link_bytes_per_s(item: Json) -> float:
    return read_number(item.get("link-mbps", 0)) * 1e6 / 8


def _add_customer(config: RoutingConfig, where: str, item: Any, faults: _Faults) -> None:
    if not isinstance(item, dict):
        # The log must not show keys.
        faults.add(where, DecodingError("the customer is not an object"))
        config.has_unknown_keys = True
        return
    keys = _read_keys(config, where, item.get("api-keys"), faults)
    try:
        config.add_customer(_decode_customer(item, where, faults), keys)
    except DecodingError as error:
        faults.add(where, error)
        config.unusable_keys.update(keys)


def _read_keys(config: RoutingConfig, where: str, items: Any, faults: _Faults) -> list[str]:
    """Read the keys of a customer, and note in the configuration if there may be others."""
    if not isinstance(items, list):
        faults.add(f"{where} api-keys", DecodingError("the keys are not a list"))
        config.has_unknown_keys = True
        return []
    keys: list[str] = []
    for number, item in enumerate(items):
        try:
            keys.append(read_text(item))
        except DecodingError:
            faults.add(
                f"{where} api-keys[{number}]", DecodingError("the key is not text of one line")
            )
            config.has_unknown_keys = True
    return keys


def _decode_customer(tenant: Json, where: str, faults: _Faults) -> Customer:
    return Customer(
        name=read_text(tenant.get("name")),
        priority=faults.read_or(None, read_integer, tenant, "priority", where),
        is_isolated=_read_isolation(tenant, where, faults),
        quota=_decode_quota(tenant),
    )


def _read_isolation(tenant: Json, where: str, faults: _Faults) -> bool:
    """Whether a customer is isolated, which it is as well if that cannot be read."""
    is_isolated = tenant.get("isolated")
    return is_isolated is not None and faults.read_or(True, _read_flag, tenant, "isolated", where)


def _read_flag(value: Any) -> bool:
    if value not in (False, True):
        raise DecodingError(f"{describe(value)} is not true or false")
    return bool(value)


def _decode_quota(tenant: Json) -> Quota | None:
    """Decode a customer's quota, None if it has none.

    A malformed one is ignored: without it the customer is served, and the others as well.
    """
    try:
        with decoding("quota"):
            rate_per_s = read_number(tenant.get("rate-per-s") or 0)
            if not rate_per_s:
                return None
            return Quota(
                rate_per_s=rate_per_s,
                burst=read_number(tenant.get("burst") or 0),
                unit=QuotaUnit.TOKENS if tenant.get("unit") == "tokens" else QuotaUnit.REQUESTS,
                request_units=read_number(tenant.get("plain-tokens") or 1),
            )
    except DecodingError as error:
        log.warning(
            event("quota_ignored", customer=describe(tenant.get("name")), reason=str(error))
        )
        return None
