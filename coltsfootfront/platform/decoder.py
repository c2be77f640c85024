"""Decodes the operators' configuration and the targets' registry entries from the store.

The store has other writers too, so an entry may have missing fields or fields of other types. Such
an entry is ignored, and the reason is returned for the log.
"""

import json
from typing import Any

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

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

CONFIG_KEY = "op/config"
VERSION_PREFIX = "op/version/"
TARGET_PREFIX = "servers/"

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
        body = json.loads(value)
        config = RoutingConfig(
            number=int(body["version"]),
            services={item["name"]: _decode_service(item) for item in body["services"]},
            requires_keys="tenants" in body,
            limits=_decode_limits(body.get("limits", {})),
        )
        for item in body["routes"]:
            config.add_route(_decode_route(item))
        for tenant in body.get("tenants", []):
            customer = _decode_customer(tenant)
            config.customers_by_key.update(dict.fromkeys(tenant["api-keys"], customer))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failed(f"configuration cannot be read: {error!r}")
    return Success(config)


def _decode_limits(item: Json) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.get("max-header-bytes", defaults.header_bytes)),
        body_bytes=int(item.get("max-body-bytes", defaults.body_bytes)),
        idle_s=float(item.get("idle-timeout-ms", defaults.idle_s * 1000)) / 1000,
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
    split = item.get("traffic-split")
    if split:
        weighted_services = tuple(
            WeightedService(part["service"], float(part["weight"])) for part in split
        )
    else:
        weighted_services = (WeightedService(item["service"], 1.0),)
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["prefix"],
        weighted_services=weighted_services,
        retry_policy=retry_policy,
        is_stream=is_stream,
        # Despite its name, "sticky" has nothing to do with session affinity: it marks routes whose
        # requests list the parts of their prompt.
        has_prompt=bool(item.get("sticky")),
        timeout_s=float(item["timeout-ms"]) / 1000,
        latency_objective_s=float(item.get("target-latency-ms") or item["timeout-ms"]) / 1000,
        priority=int(item.get("priority", 0)),
        max_attempts=int(item.get("max-attempts", 1)),
        allows_anonymous=bool(item.get("anonymous")),
        event_gap_objective_s=float(item.get("gap-aim-ms") or 0) / 1000,
    )


def _decode_service(item: Json) -> Service:
    engine = item.get("engine")
    engine_properties = None
    if engine:
        engine_properties = EngineProperties(
            token_bytes=int(engine["kv-token-bytes"]),
            link_bytes_per_s=_link_bytes_per_s(engine),
            models=tuple(model["name"] for model in engine.get("models", [])),
        )
    kept_cache = None
    if item.get("kv-store-addr"):
        kept_cache = KeptCache(
            name=item["name"],
            address=item["kv-store-addr"],
            data_centre=item.get("zone", ""),
            link_bytes_per_s=_link_bytes_per_s(item),
            capacity_tokens=int(item.get("kv-capacity") or 0),
        )
    return Service(name=item["name"], engine=engine_properties, kept_cache=kept_cache)


def _link_bytes_per_s(item: Json) -> float:
    return float(item.get("link-mbps", 0)) * 1e6 / 8


def _decode_customer(tenant: Json) -> Customer:
    priority = tenant.get("priority")
    return Customer(
        name=tenant["name"],
        priority=int(priority) if priority is not None else None,
        is_isolated=bool(tenant.get("isolated")),
    )


def decode_version(value: bytes) -> Result[tuple[str, int], str]:
    """Decode the version of a model's weights that operators ask for."""
    try:
        body = json.loads(value)
        return Success((str(body["model"]), int(body["version"])))
    except (ValueError, KeyError, TypeError) as error:
        return Failed(f"version cannot be read: {error!r}")


def decode_target_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Decode the registry entry that a target writes.

    :param key: key of the entry, which ends with the target's name.
    """
    try:
        body = json.loads(value)
        state = body["state"]
        if state not in ("ready", "draining"):
            return Failed(f"unknown state {state!r}")
        return Success(
            TargetEntry(
                name=key.removeprefix(TARGET_PREFIX),
                service=_non_empty_string(body["service"]),
                address=_host_and_port(body["address"]),
                data_centre=_non_empty_string(body["zone"]),
                slots=_non_negative_int(body["slots"]),
                is_draining=state == "draining",
                versions={
                    _non_empty_string(model["name"]): _non_negative_int(model["version"])
                    for model in body.get("models", [])
                },
                started_ms=_non_negative_int(body.get("born", 0)),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failed(f"entry cannot be read: {error!r}")


def _non_empty_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _non_negative_int(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is not an integer of 0 or more")
    return value


def _host_and_port(value: Any) -> str:
    host, _, port = _non_empty_string(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not an address of the form HOST:PORT")
    return str(value)
