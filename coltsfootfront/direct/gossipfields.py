"""Decoders of the updates that routers send each other as gossip.

Each raises an error if the fields are malformed; the receiver drops the update, or the row of it.
"""

from typing import Any

from coltsfootfront.common.decoding import (
    DecodingError,
    describe,
    read_address,
    read_integer,
    read_ip_address,
    read_list,
    read_number,
    read_seconds,
    read_text,
)
from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.storefollower import Position
from coltsfootfront.direct.streambuilds import KEY_BYTES, StreamBuild


def decode_location(row: Any) -> tuple[str, str, str]:
    """Decode the salt, key and holder of a cached prompt part."""
    salt, key, holder = read_list(row)
    return read_text(salt, is_optional=True), read_text(key), read_text(holder)


def decode_expected(row: Any) -> tuple[str, str, str, float]:
    """Decode the salt, key and holder of a part, and the time in which it will be there."""
    *location, in_s = read_list(row)
    return *decode_location(location), read_seconds(in_s)


def decode_prefill_work(row: Any) -> tuple[str, int, float]:
    """Decode a target's name, and the priority and time of the work that it has got."""
    name, priority, work_s = read_list(row)
    return read_text(name), read_integer(priority, high=PRIORITIES - 1), read_seconds(work_s)


def decode_load(row: Any) -> tuple[str, int]:
    """Decode a target's name and the load that it has reported."""
    name, load = read_list(row)
    return read_text(name), read_integer(load)


def decode_pace(row: Any) -> tuple[str, float]:
    """Decode a target's name and the pace that it has reported, in percent of the usual time."""
    name, percent = read_list(row)
    return read_text(name), read_number(percent)


def decode_pending(row: Any) -> tuple[str, list[int]]:
    """Decode a target's name, and the tokens by priority that a router's prompts wait for there."""
    name, totals = read_list(row)
    return read_text(name), [read_integer(tokens) for tokens in read_list(totals)]


def decode_start(fields: Any) -> tuple[str, int]:
    """Decode a target's name and the Unix time of its start in milliseconds."""
    name, started_ms = read_list(fields)
    return read_text(name), read_integer(started_ms)


def decode_limit(fields: Any) -> tuple[str, int, float | None]:
    """Decode a target's name and start, and its limit in requests per second."""
    *start, rate_per_s = read_list(fields)
    return *decode_start(start), None if rate_per_s is None else read_number(rate_per_s)


def decode_loading(fields: Any) -> tuple[str, str, int, float]:
    """Decode a target's name, the model and version that it loads, and the time it takes."""
    name, model, version, for_s = read_list(fields)
    return read_text(name), read_text(model), read_integer(version), read_seconds(for_s)


def decode_suspicion(fields: Any) -> tuple[str, float]:
    """Decode the address of a suspected router, and the time for which it is."""
    router, for_s = read_list(fields)
    return read_ip_address(router), read_seconds(for_s)


def decode_begun(fields: Any) -> tuple[StreamBuild, list[bytes]]:
    """Decode a service and a build, and the keys of the streams that it has begun."""
    service, build, keys = read_list(fields)
    return StreamBuild(read_text(service), read_text(build)), [
        _read_key(key) for key in read_list(keys)
    ]


def _read_key(key: Any) -> bytes:
    if type(key) is not bytes or len(key) != KEY_BYTES:
        raise DecodingError(f"{describe(key)} is not the key of a stream")
    return key


def decode_position(fields: Any) -> tuple[Position, str | None]:
    """Decode the position of a peer's copy, and the address where it can be read."""
    revision, *rest = read_list(fields)
    # A peer of an earlier version tells no era, or no address.
    era = read_integer(rest[0]) if rest else 0
    return Position(era, read_integer(revision)), read_address(rest[1]) if rest[1:] else None
