"""The operators' configuration and the targets' entries, decoded into the product's types.

An entry may come from another writer, with fields missing or of other types. It names no target
then; the reason is returned for the log.
"""

import json
from typing import Any

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import TargetEntry
from coltsfootfront.direct.storefollower import Item
from coltsfootfront.direct.node import ItemDecoder, StoreUpdateHandler
from coltsfootfront.direct.routingconfig import (
    CallerLimits,
    Customer,
    EngineProperties,
    KeptCache,
    RetryPolicy,
    Route,
    Service,
    WeightedService,
    RoutingConfig,
)

CONFIG_KEY = "op/config"
VERSION_PREFIX = "op/version/"
TARGET_PREFIX = "servers/"

Json = dict[str, Any]

log = logbook.Logger(__name__)


class PlatformDecoder(ItemDecoder):
    """Decodes what operators and targets write to the platform's store."""

    def decode(self, item: Item, handler: StoreUpdateHandler) -> None:
        if item.key.startswith(TARGET_PREFIX):
            self._decode_entry(item, handler)
        elif item.value is None:
            return
        elif item.key == CONFIG_KEY:
            found = decode_config(item.value)
            if isinstance(found, Success):
                handler.apply_config(found.unwrap())
            else:
                self._ignore(item, found.failure())
        elif item.key.startswith(VERSION_PREFIX):
            named = decode_version(item.value)
            if isinstance(named, Success):
                handler.apply_version(*named.unwrap())
            else:
                self._ignore(item, named.failure())

    def _decode_entry(self, item: Item, knowledge: StoreUpdateHandler) -> None:
        if item.value is None:
            knowledge.remove_entry(item.key.removeprefix(TARGET_PREFIX))
            return
        entry = decode_entry(item.key, item.value)
        if isinstance(entry, Success):
            knowledge.apply_entry(entry.unwrap())
        else:
            self._ignore(item, entry.failure())

    def _ignore(self, item: Item, reason: str) -> None:
        log.warning(event("key_ignored", key=item.key, revision=item.revision, reason=reason))


def decode_config(value: bytes) -> Result[RoutingConfig, str]:
    """Decode the newest configuration."""
    try:
        body = json.loads(value)
        document = RoutingConfig(
            number=int(body["version"]),
            services={item["name"]: _service(item) for item in body["services"]},
            requires_keys="tenants" in body,
            limits=_limits(body.get("limits", {})),
        )
        for item in body["routes"]:
            document.add_route(_route(item))
        for tenant in body.get("tenants", []):
            customer = _customer(tenant)
            document.customers_by_key.update(dict.fromkeys(tenant["api-keys"], customer))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failed(f"configuration cannot be read: {error!r}")
    return Success(document)


def _limits(item: Json) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.get("max-header-bytes", usual.header_bytes)),
        body_bytes=int(item.get("max-body-bytes", usual.body_bytes)),
        idle_s=float(item.get("idle-timeout-ms", usual.idle_s * 1000)) / 1000,
    )


def _route(item: Json) -> Route:
    kind = item["kind"]
    is_stream = kind == "stream"
    if kind == "idempotent":
        repeat = RetryPolicy.IDEMPOTENT
    elif is_stream and item.get("resumable"):
        repeat = RetryPolicy.RESUMABLE
    else:
        repeat = RetryPolicy.ONCE
    split = item.get("traffic-split")
    if split:
        shares = tuple(WeightedService(part["service"], float(part["weight"])) for part in split)
    else:
        shares = (WeightedService(item["service"], 1.0),)
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["prefix"],
        weighted_services=shares,
        retry_policy=repeat,
        is_stream=is_stream,
        # The wire's name suggests sessions; it marks routes whose requests name prompt parts.
        has_prompt=bool(item.get("sticky")),
        timeout_s=float(item["timeout-ms"]) / 1000,
        latency_objective_s=float(item.get("target-latency-ms") or item["timeout-ms"]) / 1000,
        priority=int(item.get("priority", 0)),
        max_attempts=int(item.get("max-attempts", 1)),
        allows_anonymous=bool(item.get("anonymous")),
        event_gap_objective_s=float(item.get("gap-aim-ms") or 0) / 1000,
    )


def _service(item: Json) -> Service:
    engine = item.get("engine")
    facts = None
    if engine:
        facts = EngineProperties(
            token_bytes=int(engine["kv-token-bytes"]),
            link_bytes_per_s=_bytes_per_s(engine),
            models=tuple(model["name"] for model in engine.get("models", [])),
        )
    kept_cache = None
    if item.get("kv-store-addr"):
        kept_cache = KeptCache(
            name=item["name"],
            address=item["kv-store-addr"],
            data_centre=item.get("zone", ""),
            link_bytes_per_s=_bytes_per_s(item),
            capacity_tokens=int(item.get("kv-capacity") or 0),
        )
    return Service(name=item["name"], engine=facts, kept_cache=kept_cache)


def _bytes_per_s(item: Json) -> float:
    return float(item.get("link-mbps", 0)) * 1e6 / 8


def _customer(tenant: Json) -> Customer:
    priority = tenant.get("priority")
    return Customer(
        name=tenant["name"],
        priority=int(priority) if priority is not None else None,
        is_isolated=bool(tenant.get("isolated")),
    )


def decode_version(value: bytes) -> Result[tuple[str, int], str]:
    """Decode a named version of a model's weights."""
    try:
        body = json.loads(value)
        return Success((str(body["model"]), int(body["version"])))
    except (ValueError, KeyError, TypeError) as error:
        return Failed(f"version cannot be read: {error!r}")


def decode_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Decode what a target says of itself.

    :param key: key of the entry, which holds the target's name.
    """
    try:
        body = json.loads(value)
        state = body["state"]
        if state not in ("ready", "draining"):
            return Failed(f"unknown state {state!r}")
        return Success(
            TargetEntry(
                name=key.removeprefix(TARGET_PREFIX),
                service=_text(body["service"]),
                address=_address(body["address"]),
                data_centre=_text(body["zone"]),
                slots=_whole(body["slots"]),
                is_draining=state == "draining",
                versions={
                    _text(model["name"]): _whole(model["version"])
                    for model in body.get("models", [])
                },
                started_ms=_whole(body.get("born", 0)),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failed(f"entry cannot be read: {error!r}")


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a text")
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not an address")
    return str(value)
