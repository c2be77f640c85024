"""Settings of each program: a dataclass with defaults, read from a TOML file.

Each field also declares its unit, allowed range and description. An unknown key, a wrong type or a
value out of range raises an error of one line with the file, the key, the value and the allowed
values.
"""

import re
import sys
import tomllib
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path
from typing import Any, TypeVar

from coltsfootfront.common.errors import EXIT_BAD_SETTING, SettingsError

T = TypeVar("T")

_KEY_HASH = re.compile("[0-9a-f]{64}")
LOG_LEVELS = ("debug", "info", "warning", "error")


def _setting(
    default: Any,
    unit: str,
    text: str,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
) -> Any:
    meta = {"unit": unit, "text": text, "min": minimum, "max": maximum, "choices": choices}
    if default is MISSING:
        return field(metadata=meta)
    if isinstance(default, list):
        return field(default_factory=lambda: list(default), metadata=meta)
    return field(default=default, metadata=meta)


def _name() -> Any:
    return _setting(MISSING, "name", "Unique name of this process.")


def _data_centre() -> Any:
    return _setting(MISSING, "name", "Data centre of this process, as named in the document.")


def _peer_secret() -> Any:
    return _setting(MISSING, "secret", "Shared secret that the system's processes prove.")


def _log_level() -> Any:
    return _setting("info", "level", "Least severe level that is logged.", choices=LOG_LEVELS)


def _store_address() -> Any:
    return _setting(MISSING, "URL", "Key-value service, for example http://10.0.0.5:2379.")


def _seed_addresses() -> Any:
    return _setting([], "host:port", "Peer addresses of routers to ask for the configuration.")


def _vm_list_url() -> Any:
    return _setting("", "URL", "The platform's list of VMs; empty to do without it.")


def _drain_wait_s() -> Any:
    return _setting(
        2.0, "seconds", "Time to serve on after not being ready, for the balancer to notice.", 0, 60
    )


@dataclass(slots=True)
class RouterSettings:
    """Settings of ``coltsfootfront-router``."""

    name: str = _name()
    data_centre: str = _data_centre()
    peer_secret: str = _peer_secret()
    store_address: str = _store_address()
    http_address: str = _setting("127.0.0.1:8080", "host:port", "Address for callers.")
    peer_address: str = _setting("127.0.0.1:8081", "host:port", "Address for other processes.")
    advertised_address: str = _setting(
        "", "host:port", "Peer address that others use; empty takes peer_address."
    )
    seed_addresses: list[str] = _seed_addresses()
    vm_list_url: str = _vm_list_url()
    log_level: str = _log_level()
    policy: str = _setting(
        "rendezvous",
        "name",
        "Placement policy.",
        choices=("rendezvous", "round_robin", "least_loaded", "prefix_hash", "bounded_load"),
    )
    max_body_bytes: int = _setting(
        2 * 1024 * 1024, "bytes", "Largest request body.", 1024, 3 * 1024 * 1024
    )
    max_header_bytes: int = _setting(16384, "bytes", "Largest header.", 1024, 65536)
    max_connections: int = _setting(2048, "connections", "Open caller connections.", 1, 65536)
    max_requests: int = _setting(1024, "requests", "Requests in progress.", 1, 65536)
    body_timeout_s: float = _setting(10.0, "seconds", "Limit for receiving a body.", 0.1, 300)
    write_timeout_s: float = _setting(
        30.0, "seconds", "Limit for a caller that reads nothing.", 0.1, 600
    )
    request_timeout_s: float = _setting(
        120.0, "seconds", "Default and largest time from arrival to start.", 0.1, 3600
    )
    stream_idle_timeout_s: float = _setting(
        20.0, "seconds", "Longest silence within a stream before it is resumed.", 0.1, 600
    )
    probe_timeout_s: float = _setting(0.05, "seconds", "Limit for a probe.", 0.001, 5)
    probe_count: int = _setting(5, "agents", "Agents probed for one request.", 1, 16)
    connect_timeout_s: float = _setting(0.5, "seconds", "Limit for reaching an agent.", 0.01, 30)
    accept_timeout_s: float = _setting(
        2.0, "seconds", "Limit for an agent to accept or refuse a request.", 0.05, 60
    )
    retry_ratio: float = _setting(
        0.2, "share", "Retries allowed as a share of recent requests.", 0, 1
    )
    retry_floor_per_s: float = _setting(
        1.0, "retries/s", "Retries allowed regardless of the share.", 0, 100
    )
    max_attempts: int = _setting(4, "attempts", "Attempts for one request.", 1, 16)
    greet_interval_s: float = _setting(2.0, "seconds", "Time between greetings.", 0.1, 60)
    vm_list_interval_s: float = _setting(1.0, "seconds", "Time between reads.", 0.1, 60)
    drain_wait_s: float = _drain_wait_s()


@dataclass(slots=True)
class AgentSettings:
    """Settings of ``coltsfootfront-agent``."""

    name: str = _name()
    data_centre: str = _data_centre()
    peer_secret: str = _peer_secret()
    store_address: str = _store_address()
    target: str = _setting(MISSING, "name", "Name of the target in the document.")
    target_url: str = _setting(MISSING, "URL", "Address of the target on this VM.")
    peer_address: str = _setting("127.0.0.1:8090", "host:port", "Address for other processes.")
    http_address: str = _setting("127.0.0.1:8091", "host:port", "Address for health and metrics.")
    seed_addresses: list[str] = _seed_addresses()
    vm_list_url: str = _vm_list_url()
    kept_cache_url: str = _setting("", "URL", "Kept-cache service; empty to do without it.")
    log_level: str = _log_level()
    max_queued: int = _setting(256, "requests", "Requests that may wait.", 1, 65536)
    max_stream_bytes: int = _setting(
        4 * 1024 * 1024, "bytes", "Largest answer.", 4096, 64 * 1024 * 1024
    )
    window_bytes: int = _setting(
        256 * 1024, "bytes", "Answer bytes sent ahead of the caller.", 4096, 4 * 1024 * 1024
    )
    stream_linger_s: float = _setting(
        15.0, "seconds", "Time for which a finished or cut stream can be resumed.", 0.1, 600
    )
    target_timeout_s: float = _setting(60.0, "seconds", "Longest silence of the target.", 0.1, 3600)
    hold_s: float = _setting(0.05, "seconds", "Life of a soft reservation.", 0, 5)
    pause_limit_s: float = _setting(
        0.5, "seconds", "Longest gap of the event loop before leases are checked again.", 0.05, 10
    )
    greet_interval_s: float = _setting(2.0, "seconds", "Time between greetings.", 0.1, 60)
    # Routers read the list every second and stop sending to the VM; the agent's reads are a second
    # safeguard. With a read every second, an agent's control work in a full-size deployment would
    # take 1.24% of a core and exceed its budget of 1.2%.
    vm_list_interval_s: float = _setting(2.0, "seconds", "Time between reads.", 0.1, 60)
    load_interval_s: float = _setting(0.5, "seconds", "Time between load reports.", 0.05, 60)
    claim_retention_s: float = _setting(
        86400.0, "seconds", "Life of an idempotency claim.", 1, 30 * 86400
    )
    store_timeout_s: float = _setting(1.0, "seconds", "Limit for a store call.", 0.05, 30)
    lease_s: float = _setting(10.0, "seconds", "Life of the target lease.", 1, 300)
    order_timeout_s: float = _setting(10.0, "seconds", "Longest order.", 0.5, 300)
    drain_wait_s: float = _drain_wait_s()


@dataclass(slots=True)
class AdminSettings:
    """Settings of ``coltsfootfront-admin``."""

    name: str = _name()
    data_centre: str = _data_centre()
    peer_secret: str = _peer_secret()
    store_address: str = _store_address()
    http_address: str = _setting("127.0.0.1:8070", "host:port", "Address for operators.")
    seed_addresses: list[str] = _seed_addresses()
    bootstrap_key_hash: str = _setting(
        "", "SHA-256 hex", "Operator key accepted while no document names an operator."
    )
    log_level: str = _log_level()
    max_body_bytes: int = _setting(
        32 * 1024 * 1024, "bytes", "Largest document.", 1024, 256 * 1024 * 1024
    )
    store_timeout_s: float = _setting(2.0, "seconds", "Limit for a store call.", 0.05, 30)
    drain_wait_s: float = _drain_wait_s()


@dataclass(slots=True)
class OperatorSettings:
    """Settings of the ``coltsfootfront`` command."""

    admin_url: str = _setting("http://127.0.0.1:8070", "URL", "Administration API.")
    operator: str = _setting("", "name", "Name of the operator.")
    key: str = _setting("", "secret", "Operator key.")
    timeout_s: float = _setting(10.0, "seconds", "Limit for one call.", 0.1, 600)


def load_or_exit(path: Path, cls: type[T]) -> T:
    """Read settings; on an error print one line and exit with status 2."""
    try:
        return load(path, cls)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)


def load(path: Path, cls: type[T]) -> T:
    """Read a settings file.

    :param path: TOML file.
    :param cls: one of the settings classes of this module.
    :returns: checked settings.
    :raises SettingsError: with one line that names file, key, value and what is allowed.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse(table, cls, str(path))


def parse(table: dict[str, Any], cls: type[T], source: str) -> T:
    """Check a table of settings.

    :param table: keys and values.
    :param cls: one of the settings classes of this module.
    :param source: file name for messages.
    :returns: checked settings.
    :raises SettingsError: with one line that names file, key, value and what is allowed.
    """
    known = {item.name: item for item in fields(cls)}  # type: ignore[arg-type]
    for key, value in table.items():
        if key not in known:
            allowed = ", ".join(sorted(known))
            raise SettingsError(f"{source}: {key} = {value!r}: unknown key; allowed: {allowed}")
        _check(known[key], value, source)
    for name, item in known.items():
        missing = item.default is MISSING and item.default_factory is MISSING
        if missing and name not in table:
            raise SettingsError(f"{source}: {name}: missing; allowed: {item.metadata['unit']}")
    return cls(**table)


def _check(item: Field[Any], value: Any, source: str) -> None:
    allowed = describe_allowed(item)
    meta = item.metadata
    shown = "***" if meta["unit"] == "secret" else repr(value)
    error = SettingsError(f"{source}: {item.name} = {shown}: allowed: {allowed}")
    if not _has_type(item, value):
        raise error
    if meta["choices"] and value not in meta["choices"]:
        raise error
    if meta["min"] is not None and not meta["min"] <= value <= meta["max"]:
        raise error
    if meta["unit"] == "host:port":
        addresses = value if isinstance(value, list) else [value]
        if not all(_is_address(address) for address in addresses if address):
            raise error
    if meta["unit"] == "SHA-256 hex" and value and not _KEY_HASH.fullmatch(value):
        raise error
    if item.default is MISSING and item.default_factory is MISSING and value == "":
        raise error


def _has_type(item: Field[Any], value: Any) -> bool:
    if isinstance(value, bool):
        return item.type is bool
    if item.type is float:
        return isinstance(value, (int, float))
    if item.type in (int, str):
        return isinstance(value, item.type)
    return isinstance(value, list) and all(isinstance(entry, str) for entry in value)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65536


def describe_allowed(item: Field[Any]) -> str:
    """Describe the allowed values of a setting in a few words."""
    meta = item.metadata
    if meta["choices"]:
        return "one of " + ", ".join(meta["choices"])
    if meta["min"] is not None:
        return f"{meta['min']} to {meta['max']} {meta['unit']}"
    if item.type is str:
        return str(meta["unit"])
    return f"list of {meta['unit']}"


def reference() -> str:
    """Render the reference page of all settings in Markdown."""
    lines = ["# Settings", "", "Each program reads one TOML file, given with `--config`."]
    programs = (
        ("coltsfootfront-router", RouterSettings),
        ("coltsfootfront-agent", AgentSettings),
        ("coltsfootfront-admin", AdminSettings),
        ("coltsfootfront", OperatorSettings),
    )
    for program, cls in programs:
        lines += ["", f"## {program}", "", "| key | default | allowed | meaning |"]
        lines += ["|---|---|---|---|"]
        lines += [_reference_row(item) for item in fields(cls)]
    return "\n".join(lines) + "\n"


def _reference_row(item: Field[Any]) -> str:
    default: Any = item.default
    if item.default_factory is not MISSING:
        default = item.default_factory()
    shown = "required" if default is MISSING else f"`{default!r}`".replace("'", '"')
    return f"| `{item.name}` | {shown} | {describe_allowed(item)} | {item.metadata['text']} |"
