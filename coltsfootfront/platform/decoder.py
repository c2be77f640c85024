"""Decodes the operators' configuration and the targets' registry entries from the store.

The store has other writers too, so an entry may have missing fields or fields of other types. Such
an entry is ignored, and the reason is returned for the log.
"""

from typing import Any

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

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
from coltsfootfront.direct.directory import TargetEntry
from coltsfootfront.direct.node import ItemDecoder, StoreUpdateHandler
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
)
from coltsfootfront.direct.storefollower import Item
from coltsfootfront.quotas.quota import Quota, QuotaUnit

CONFIG_KEY = "op/config"
VERSION_PREFIX = "op/version/"
TARGET_PREFIX = "servers/"
# Routers tell each other builds by name.
MAX_BUILD_CHARACTERS = 64
# A target with more slots than any machine has attracts every request.
MAX_SLOTS = 1_000_000

Json = dict[str, Any]

log = logbook.Logger(__name__)


class PlatformDecoder(ItemDecoder):
    """Decodes the keys that operators and targets write to the platform's store."""

    def decode(self, item: Item, handler: StoreUpdateHandler) -> None:
        if item.key.startswith(TARGET_PREFIX):
            self._decode_target_entry(item, handler)
        elif item.value is None:
            return
        elif item.key == CONFIG_KEY:
            config = decode_config(item.value)
            if isinstance(config, Success):
                handler.apply_config(config.unwrap())
            else:
                self._log_ignored_key(item, config.failure())
        elif item.key.startswith(VERSION_PREFIX):
            version = decode_version(item.value)
            if isinstance(version, Success):
                handler.apply_version(*version.unwrap())
            else:
                self._log_ignored_key(item, version.failure())

    def _decode_target_entry(self, item: Item, handler: StoreUpdateHandler) -> None:
        if item.value is None:
            handler.remove_entry(item.key.removeprefix(TARGET_PREFIX))
            return
        entry = decode_target_entry(item.key, item.value)
        if isinstance(entry, Success):
            handler.apply_entry(entry.unwrap())
        else:
            self._log_ignored_key(item, entry.failure())

    def _log_ignored_key(self, item: Item, reason: str) -> None:
        log.warning(event("key_ignored", key=item.key, revision=item.revision, reason=reason))


def decode_config(value: bytes) -> Result[RoutingConfig, str]:
    """Decode a routing configuration."""
    try:
        with decoding("configuration"):
            return Success(_decode_config(read_object(load_json(value))))
    except DecodingError as error:
        return Failed(str(error))


def _decode_config(body: Json) -> RoutingConfig:
    config = RoutingConfig(
        number=read_integer(body["version"]),
        services={
            read_text(item["name"]): _decode_service(item) for item in read_list(body["services"])
        },
        requires_keys="tenants" in body,
        limits=_decode_limits(read_object(body.get("limits", {}))),
    )
    for item in read_list(body["routes"]):
        config.add_route(_decode_route(item))
    for tenant in read_list(body.get("tenants", [])):
        keys = [read_text(key) for key in read_list(tenant["api-keys"])]
        config.add_customer(_decode_customer(tenant), keys)
    return config


def _decode_limits(item: Json) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=read_integer(item.get("max-header-bytes", defaults.header_bytes)),
        body_bytes=read_integer(item.get("max-body-bytes", defaults.body_bytes)),
        idle_s=read_number(item.get("idle-timeout-ms", defaults.idle_s * 1000)) / 1000,
        header_s=read_number(item.get("header-timeout-ms", defaults.header_s * 1000)) / 1000,
    )


def _decode_route(item: Json) -> Route:
    kind = item["kind"]
    is_stream = kind == "stream"
    if kind == "idempotent":
        retry_policy = RetryPolicy.IDEMPOTENT
    elif is_stream and item.get("resumable"):
        retry_policy = RetryPolicy.RESUMABLE
    else:
        retry_policy = RetryPolicy.ONCE
    return Route(
        name=read_text(item["name"]),
        host=read_text(item["host"]),
        prefix=read_text(item["prefix"]),
        weighted_services=_decode_weighted_services(item),
        retry_policy=retry_policy,
        is_stream=is_stream,
        # Despite its name, "sticky" has nothing to do with session affinity: it marks routes whose
        # requests list the parts of their prompt.
        has_prompt=bool(item.get("sticky")),
        timeout_s=read_number(item["timeout-ms"]) / 1000,
        latency_objective_s=read_number(item.get("target-latency-ms") or item["timeout-ms"]) / 1000,
        priority=read_integer(item.get("priority", 0)),
        max_attempts=read_integer(item.get("max-attempts", 1)),
        allows_anonymous=bool(item.get("anonymous")),
        event_gap_objective_s=read_number(item.get("gap-aim-ms") or 0) / 1000,
    )


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


def _decode_service(item: Json) -> Service:
    engine = item.get("engine")
    engine_properties = None
    if engine:
        engine_properties = EngineProperties(
            token_bytes=read_integer(engine["kv-token-bytes"]),
            link_bytes_per_s=_link_bytes_per_s(engine),
            models=tuple(read_text(model["name"]) for model in read_list(engine.get("models", []))),
            capacity_tokens=_read_engine_capacity(engine.get("kv-capacity")),
        )
    kept_cache = None
    if item.get("kv-store-addr"):
        kept_cache = KeptCache(
            name=read_text(item["name"]),
            address=read_address(item["kv-store-addr"]),
            data_centre=read_text(item.get("zone", ""), is_optional=True),
            link_bytes_per_s=_link_bytes_per_s(item),
            capacity_tokens=read_integer(item.get("kv-capacity") or 0),
        )
    return Service(name=read_text(item["name"]), engine=engine_properties, kept_cache=kept_cache)


def _read_engine_capacity(value: Any) -> int:
    """Tokens that fit into an engine's memory, 0 if that is not set or cannot be read.

    Configurations were in force with any value here before it was read.
    """
    if value is None:
        return 0
    try:
        return read_integer(value)
    except DecodingError as error:
        log.warning(event("engine_capacity_ignored", reason=str(error)))
        return 0


def _link_bytes_per_s(item: Json) -> float:
    return read_number(item.get("link-mbps", 0)) * 1e6 / 8


def _decode_customer(tenant: Json) -> Customer:
    priority = tenant.get("priority")
    return Customer(
        name=read_text(tenant["name"]),
        priority=read_integer(priority) if priority is not None else None,
        is_isolated=bool(tenant.get("isolated")),
        quota=_decode_quota(tenant),
    )


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
        log.warning(event("quota_ignored", customer=describe(tenant["name"]), reason=str(error)))
        return None


def decode_version(value: bytes) -> Result[tuple[str, int], str]:
    """Decode the version of a model's weights that operators ask for."""
    try:
        with decoding("version"):
            body = read_object(load_json(value))
            return Success((read_text(body["model"]), read_integer(body["version"])))
    except DecodingError as error:
        return Failed(str(error))


def decode_target_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Decode the registry entry that a target writes.

    :param key: key of the entry, which ends with the target's name.
    """
    try:
        with decoding("entry"):
            return Success(_decode_target_entry(key, read_object(load_json(value))))
    except DecodingError as error:
        return Failed(str(error))


def _decode_target_entry(key: str, body: Json) -> TargetEntry:
    state = body["state"]
    if state not in ("ready", "draining"):
        raise DecodingError(f"{describe(state)} is not a known state")
    return TargetEntry(
        name=read_text(key.removeprefix(TARGET_PREFIX)),
        service=read_text(body["service"]),
        address=read_address(body["address"]),
        data_centre=read_text(body["zone"]),
        slots=read_integer(body["slots"], high=MAX_SLOTS),
        is_draining=state == "draining",
        versions={
            read_text(model["name"]): read_integer(model["version"])
            for model in read_list(body.get("models", []))
        },
        started_ms=read_integer(body.get("born", 0)),
        build=_read_build(body.get("version")),
    )


def _read_build(version: Any) -> str:
    """Version of a target's software, empty if it cannot be told from others."""
    try:
        build = read_text(version)
    except DecodingError:
        return ""
    return build if len(build) <= MAX_BUILD_CHARACTERS else ""
