"""Simulated deployment of the platform on loopback: a store and targets."""

import asyncio
import json
import socket
import time
from typing import Any

from coltsfootfront_dev.clientstream import BUILD_DATA_FORMAT
from coltsfootfront_dev.platformstore import PlatformStoreStandIn, StoreCheckpoint
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn

API_KEY = "key-1"
CUSTOMER = "customer-1"
ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "records"
HOST = "host.example"
HEARTBEAT_INTERVAL_S = 1.0
# A target that has crashed is back after this time, under another name.
RESTART_S = 1.5
# What routers tolerate beyond a quota.
QUOTA_WINDOW_S = 8.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK_TOKENS = 3_000.0


def free_ports(count: int) -> list[int]:
    """Return ports that were free when checked; they are not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind(("127.0.0.1", 0))
    ports = [int(listener.getsockname()[1]) for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def settings_fields(
    name: str,
    store: str,
    seeds: list[str],
    ip: str = "127.0.0.1",
    ports: tuple[int, int, int, int, int] | None = None,
) -> dict[str, Any]:
    """Return the fields of a router's settings file.

    :param ports: for callers, readiness, peers, gossip and metrics; None takes free ones.
    """
    front, ready, control, gossip, metrics = ports or free_ports(5)
    first_port, last_port = min(gossip, metrics), max(gossip, metrics)
    return {
        "node": name,
        "bootstrap": True,
        "ip": ip,
        "zone": "zone-a",
        "region": "region-1",
        "port-range": [first_port, last_port],
        "seed-addrs": seeds,
        "zones": {"zone-a": "region-1"},
        "listen": {
            "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}",
            "control": f"{ip}:{control}",
        },
        "limits": {"memory-mb": 300, "max-fds": 1024, "link-mbps": 1000.0},
        "bounds": {
            "grace-s": 3,
            "drain-ms": 2500,
            "lease-ms": 1000,
            "retry-budget-ratio": 0.2,
            "retry-budget-slack": 56,
            "budget-window-s": 10,
            "version-ms": 10000,
            "config-apply-ms": 2500,
            "stable-ms": 4000,
            "require-fence": True,
            "quota-window-s": QUOTA_WINDOW_S,
            "quota-overage": QUOTA_OVERAGE,
            "quota-slack": QUOTA_SLACK_TOKENS,
        },
        "provider": {"address": store, "ttl-min-ms": 500},
    }


def configuration(
    version: int, keys: tuple[str, ...] = (API_KEY,), added_routes: int = 0, timeout_ms: int = 3000
) -> dict[str, Any]:
    """Return a configuration with one route for each kind of request.

    :param added_routes: number of further routes, each with the prefix of :func:`added_prefix`.
    :param timeout_ms: timeout of every route.
    """

    def route(prefix: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
        return {
            "name": prefix.strip("/"),
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout-ms": timeout_ms,
            "target-latency-ms": 400,
            "max-attempts": 2,
            "sticky": service == ENGINE_SERVICE,
        } | overrides

    return {
        "version": version,
        "routes": [
            route("/file/", "non_idempotent", PLAIN_SERVICE, **{"max-attempts": 1}),
            route("/look/", "idempotent", PLAIN_SERVICE),
            route("/ask/", "stream", ENGINE_SERVICE, resumable=True),
            route("/long/", "stream", ENGINE_SERVICE, **{"max-attempts": 1}),
            *(
                route(added_prefix(number), "idempotent", PLAIN_SERVICE)
                for number in range(added_routes)
            ),
        ],
        "services": [
            {"name": PLAIN_SERVICE, "max-conns": 50},
            {
                "name": ENGINE_SERVICE,
                "max-conns": 100,
                "engine": {"slots": 8, "kv-capacity": 100000, "kv-token-bytes": 1000},
            },
        ],
        "limits": {"idle-timeout-ms": 15000},
        "tenants": [{"name": CUSTOMER, "api-keys": list(keys)}],
    }


def added_prefix(number: int) -> str:
    """Prefix of one of the further routes of a configuration, by its number from 0."""
    return f"/added/{number}/"


class PlatformFleet:
    """A key-value store, plain targets and model engines.

    :param plain: number of plain targets.
    :param engines: number of model engines.
    """

    def __init__(self, plain: int = 2, engines: int = 2) -> None:
        self.store = PlatformStoreStandIn()
        self.plain_targets = [
            PlatformTargetStandIn(f"p{number}", PLAIN_SERVICE) for number in range(plain)
        ]
        self.engine_targets = [
            PlatformTargetStandIn(f"e{number}", ENGINE_SERVICE, 1) for number in range(engines)
        ]
        self.crashes_s: list[float] = []
        """Monotonic time of each crash of a target."""
        self._restarts: set[asyncio.Task[None]] = set()

    @property
    def targets(self) -> list[PlatformTargetStandIn]:
        """All plain targets and model engines."""
        return [*self.plain_targets, *self.engine_targets]

    async def start(self) -> None:
        """Start the store and the targets, register them and write the first configuration."""
        await self.store.start()
        for target in self.targets:
            await target.start()
            target.on_loaded = self._register_at_next_heartbeat
            target.on_crash = self.crash
            self.register(target)
        self.store.put_json("op/version/m", {"model": "m", "version": 1})
        self.store.put_json("op/config", configuration(1))

    async def close(self) -> None:
        """Stop the targets and the store."""
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        for target in self.targets:
            await target.close()
        await self.store.close()

    def crash(self, target: PlatformTargetStandIn) -> None:
        """Crash a target; it starts again after RESTART_S."""
        if target.is_down:
            return
        target.is_down = True
        self.crashes_s.append(time.monotonic())
        task = asyncio.create_task(self._restart(target))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, target: PlatformTargetStandIn) -> None:
        await target.crash()
        await asyncio.sleep(RESTART_S)
        self._rename(target)
        await target.start()
        target.is_down = False
        self.register(target)

    def replace(self, target: PlatformTargetStandIn, build: str) -> None:
        """Let a new instance, of another software version, take the place of a target."""
        self._rename(target)
        target.abort_connections()
        target.build = build
        target.event_data_format = BUILD_DATA_FORMAT.format(build=build)
        self.register(target)

    def _rename(self, target: PlatformTargetStandIn) -> None:
        self.store.delete(f"servers/{target.name}")
        target.born += 1
        target.name = f"{target.name.partition('.')[0]}.{target.born}"

    async def restore_store(
        self, checkpoint: StoreCheckpoint, outage_s: float, rewrite_delay_s: float
    ) -> None:
        """Let the store be away, come back from a copy, and get what others wrote since again."""
        self.store.faults.refuses = True
        await asyncio.sleep(outage_s)
        lost = self.store.restore(checkpoint)
        self.store.faults.refuses = False
        await asyncio.sleep(rewrite_delay_s)
        self.store.rewrite(lost)

    def _register_at_next_heartbeat(self, target: PlatformTargetStandIn) -> None:
        """Write the registration of a target after a heartbeat interval."""
        asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.register, target)

    def register(self, target: PlatformTargetStandIn, state: str = "ready") -> None:
        """Write the registration of a target to the store."""
        self.store.put_json(f"servers/{target.name}", target.registration(state))

    def execution_count(self, request_id: str) -> int:
        """Return how many times a request was executed."""
        return sum(
            run.request_id == request_id for target in self.targets for run in target.executions
        )


def to_toml(fields: dict[str, Any]) -> str:
    """Encode settings fields as TOML; the JSON form of each value is also valid TOML."""
    top_level = [
        f"{key} = {json.dumps(value)}"
        for key, value in fields.items()
        if not isinstance(value, dict)
    ]
    tables = [
        "\n".join([f"[{key}]", *(f"{name} = {json.dumps(item)}" for name, item in value.items())])
        for key, value in fields.items()
        if isinstance(value, dict)
    ]
    return "\n".join([*top_level, *tables, ""])
