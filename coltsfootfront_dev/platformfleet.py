"""A small deployment of the users' platform on loopback, made of stand-ins."""

import asyncio
import json
import socket
from typing import Any

from coltsfootfront_dev.platformstore import PlatformStoreStandIn
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn

KEY = "key-1"
CUSTOMER = "customer-1"
ENGINES = "engines"
PLAIN = "records"
HOST = "host.example"
HEARTBEAT_S = 1.0


def free_ports(count: int) -> list[int]:
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


def settings_fields(name: str, store: str, seeds: list[str]) -> dict[str, Any]:
    """Fields of a router's settings file."""
    front, ready, control, gossip, metrics = free_ports(5)
    first, last = min(gossip, metrics), max(gossip, metrics)
    return {
        "node": name,
        "ip": "127.0.0.1",
        "zone": "zone-a",
        "region": "region-1",
        "port-range": [first, last],
        "seed-addrs": seeds,
        "zones": {"zone-a": "region-1"},
        "listen": {
            "front": f"127.0.0.1:{front}",
            "ready": f"127.0.0.1:{ready}",
            "control": f"127.0.0.1:{control}",
        },
        "limits": {"memory-mb": 300, "max-fds": 1024},
        "bounds": {
            "grace-s": 3,
            "drain-ms": 2500,
            "lease-ms": 1000,
            "retry-budget-ratio": 0.2,
            "retry-budget-slack": 56,
            "budget-window-s": 10,
            "version-ms": 10000,
            "stable-ms": 4000,
            "require-fence": True,
        },
        "provider": {"address": store, "ttl-min-ms": 500},
    }


def configuration(version: int, keys: tuple[str, ...] = (KEY,)) -> dict[str, Any]:
    """Configuration with one route for each kind of request."""

    def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": prefix.strip("/"),
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout-ms": 3000,
            "target-latency-ms": 400,
            "max-attempts": 2,
            "sticky": service == ENGINES,
        } | more

    return {
        "version": version,
        "routes": [
            route("/file/", "non_idempotent", PLAIN, **{"max-attempts": 1}),
            route("/look/", "idempotent", PLAIN),
            route("/ask/", "stream", ENGINES, resumable=True),
            route("/long/", "stream", ENGINES, **{"max-attempts": 1}),
        ],
        "services": [
            {"name": PLAIN, "max-conns": 50},
            {
                "name": ENGINES,
                "max-conns": 100,
                "engine": {"slots": 8, "kv-capacity": 100000, "kv-token-bytes": 1000},
            },
        ],
        "limits": {"idle-timeout-ms": 15000},
        "tenants": [{"name": CUSTOMER, "api-keys": list(keys)}],
    }


class PlatformFleet:
    """Store and targets.

    :param plain: number of plain targets.
    :param engines: number of model engines.
    """

    def __init__(self, plain: int = 2, engines: int = 2) -> None:
        self.store = PlatformStoreStandIn()
        self.plain = [PlatformTargetStandIn(f"p{number}", PLAIN) for number in range(plain)]
        self.engines = [
            PlatformTargetStandIn(f"e{number}", ENGINES, 1) for number in range(engines)
        ]

    @property
    def targets(self) -> list[PlatformTargetStandIn]:
        """Every target."""
        return [*self.plain, *self.engines]

    async def start(self) -> None:
        """Start store and targets, and write the first configuration."""
        await self.store.start()
        for target in self.targets:
            await target.start()
            target.on_loaded = self._beat_soon
            self.register(target)
        self.store.put_json("op/version/m", {"model": "m", "version": 1})
        self.store.put_json("op/config", configuration(1))

    async def close(self) -> None:
        """Stop everything."""
        for target in self.targets:
            await target.close()
        await self.store.close()

    def _beat_soon(self, target: PlatformTargetStandIn) -> None:
        """Write a target's entry with its next heartbeat."""
        asyncio.get_running_loop().call_later(HEARTBEAT_S, self.register, target)

    def register(self, target: PlatformTargetStandIn, state: str = "ready") -> None:
        """Write a target's entry."""
        self.store.put_json(f"servers/{target.name}", target.entry(state))

    def runs(self, request_id: str) -> int:
        """How often a request has run."""
        return sum(run.request_id == request_id for target in self.targets for run in target.runs)


def to_toml(fields: dict[str, Any]) -> str:
    """Write settings fields as TOML; a JSON value is also a value in TOML."""
    plain = [
        f"{key} = {json.dumps(value)}"
        for key, value in fields.items()
        if not isinstance(value, dict)
    ]
    tables = [
        "\n".join([f"[{key}]", *(f"{name} = {json.dumps(item)}" for name, item in value.items())])
        for key, value in fields.items()
        if isinstance(value, dict)
    ]
    return "\n".join([*plain, *tables, ""])
