"""Common parts of the review's scripts: routers as processes, servers, clients, and the record.

The router is started with the command of ``deploy/system.toml``. The platform's store is the
project's stand-in. Servers and clients are small ones on raw sockets, so that they see each byte.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coltsfootfront_dev.platformstore import PlatformStoreStandIn
from coltsfootfront_dev.ports import PortReservations

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 20.0
SCRIPT_TIMEOUT_S = 110.0
HOST = "jepu9.example"
MODEL = "daka510000"


def has_trouble() -> bool:
    """Whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt`` beside the script, each with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def time_of(self, monotonic_s: float) -> float:
        """Time since the start that a monotonic time stands for."""
        return monotonic_s - self._began_s

    def close(self) -> None:
        self._file.close()


def settings_text(name: str, ip: str, store: str, ports: list[int], **overrides: Any) -> str:
    """Settings file of a router, with the figures of the sheet for ``gbc-fleet``."""
    front, ready, control, first, last = ports
    bounds = {
        "seed-lag-s": 3,
        "reuse-after-s": 2,
        "stable-ms": 4000,
        "ack-ms": 5000,
        "catch-up-s": 4,
        "drain-ms": 2500,
        "grace-s": 8,
        "loss-slack-ms": 200,
        "config-apply-ms": 2500,
        "downgrade-slack-ms": 250,
        "skew-max-ms": 6000,
        "strict-revoke": False,
        "revoke-ms": 5000,
        "retry-budget-ratio": 0.2,
        "budget-window-s": 10,
        "retry-budget-slack": 52,
        "recovery-s": 12,
        "transit-ms": 300,
        "reuse-window-s": 10,
        "require-fence": True,
        "lease-ms": 3000,
        "thaw-ms": 300,
        "version-ms": 6000,
        "version-all-ms": 8400,
    }
    limits = {
        "cpu-share": 0.817,
        "cpu-cores": 1,
        "memory-mb": 150,
        "max-fds": 4100,
        "link-mbps": 1000.0,
        "disk-mb": 0,
    }
    limits |= overrides.get("limits", {})
    tables = {
        "zones": {"cambridge-a": "mass-east"},
        "listen": {
            "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}",
            "control": f"{ip}:{control}",
        },
        "limits": limits,
        "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": bounds | overrides.get("bounds", {}),
        "provider": {
            "address": store,
            "form": "kv",
            "writes-per-s": 400,
            "reads-per-s": 2000,
            "retention-s": 20,
            "value-bytes": 1048576,
            "ttl-min-ms": 1000,
        },
    }
    top = {
        "node": name,
        "role": "router",
        "machine-class": "front",
        "serves": ["front", "control"],
        "ip": ip,
        "zone": "cambridge-a",
        "region": "mass-east",
        "port-range": [first, last],
        "seed-addrs": [f"{ip}:{control}"],
        "bootstrap": True,
        "fault-counted": False,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat-ms": 1200,
    }
    lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
    for table, fields in tables.items():
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    return "\n".join([*lines, ""])


class Router:
    """One router process, started as the deploy file says."""

    def __init__(
        self, number: int, folder: Path, store: str, ports: PortReservations, **overrides: Any
    ) -> None:
        self.name = f"front-cambridge-a-{number}"
        # Routers send gossip to the same port of each peer, so each has an address of its own.
        self.ip = f"127.0.1.{number}"
        front, ready, control, *rest = (ports.reserve() for _ in range(5))
        first, last = sorted(rest)
        self.front = (self.ip, front)
        self._ready = (self.ip, ready)
        self._settings_path = folder / f"{self.name}.toml"
        self._log_path = folder / f"{self.name}.log"
        text = settings_text(
            self.name, self.ip, store, [front, ready, control, first, last], **overrides
        )
        self._settings_path.write_text(text, encoding="utf-8")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= role["env"]
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["COLTSFOOTFRONT_CONFIG"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def resident_mb(self) -> float:
        """Memory of the process in MB, 0 when it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def wait_ready(self) -> None:
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                head = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
                answer = await exchange(self._ready, head, 1.0)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready: {self.log()[-2000:]}")

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def log(self) -> str:
        return self._log_path.read_text(errors="replace") if self._log_path.exists() else ""


@dataclass(slots=True)
class Message:
    """Head and body of one HTTP message, as its bytes came."""

    start_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        return int(self.start_line.split(" ")[1])

    def get(self, name: str) -> str | None:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return Message(start, [(name, value.strip()) for name, _, value in pairs])


async def read_body(reader: asyncio.StreamReader, message: Message, has_end: bool = False) -> None:
    """Read the body of a message.

    :param has_end: a body without a length ends with the connection.
    """
    coding = message.get("Transfer-Encoding")
    length = message.get("Content-Length")
    body = bytearray()
    try:
        if coding is not None and "chunked" in coding.lower():
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif length is not None:
            remaining = int(length)
            while remaining:
                data = await reader.read(min(remaining, 65536))
                if not data:
                    message.is_complete = False
                    break
                body += data
                remaining -= len(data)
        elif has_end:
            body += await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_complete = False
    message.body = bytes(body)


async def exchange(address: tuple[str, int], data: bytes, timeout_s: float) -> Message:
    """Send one request on a new connection and read the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                raise ConnectionError("closed without an answer")
            await read_body(reader, answer, has_end=True)
            return answer
        finally:
            writer.close()


@dataclass(slots=True)
class Run:
    """A request that a server began to work on."""

    message: Message
    at_s: float

    @property
    def request_id(self) -> str:
        return self.message.get("X-Request-Id") or ""


Work = Callable[["Server", Run, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Server:
    """A server of one service, which runs each request whole and records it.

    :param name: its id.
    :param work: writes the answer to one request.
    :param version: version of its weights; None for a plain service.
    """

    name: str
    service: str
    work: Work
    version: int | None = None
    slots: int = 32
    runs: list[Run] = field(default_factory=list)
    address: str = ""
    sequence: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=2**20)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def entry(self) -> dict[str, Any]:
        """What it writes to the store about itself."""
        fields: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "cambridge-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": self.sequence,
        }
        if self.version is not None:
            fields["stage"] = "both"
            fields["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        return fields

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                if not message.is_complete:
                    return
                await self._answer(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        path = message.start_line.split(" ")[1].partition("?")[0]
        if path == "/v1/report":
            report = {
                "stage": "both",
                "models": [{"name": MODEL, "version": self.version, "adapters": []}],
                "busy": False,
                "sequence": self.sequence,
                "queued": 0,
                "running": 0,
                "kv-used": 0,
                "kv-total": 90000,
                "handles": 0,
            }
            await send(writer, 200, {}, json.dumps(report).encode())
        elif path == "/v1/kv-events":
            await self.send_cache_events(writer)
        elif message.get("X-Expect-Instance") not in (None, self.name):
            fields = {"X-Request-Id": message.get("X-Request-Id") or "", "X-Instance-Id": self.name}
            await send(writer, 421, fields, b"")
        else:
            run = Run(message, time.monotonic())
            self.runs.append(run)
            await self.work(self, run, writer)

    async def send_cache_events(self, writer: asyncio.StreamWriter) -> None:
        """Answer the call for cache events; there are none."""
        events = {"boot-epoch": 1, "next": 0, "lost": False, "events": []}
        await send(writer, 200, {}, json.dumps(events).encode())

    def answer_fields(self, run: Run) -> dict[str, str]:
        """Headers of each answer to a request."""
        fields = {
            "X-Request-Id": run.request_id,
            "X-Response-Signature": f"{self.name}.{run.request_id}",
            "X-Instance-Id": self.name,
        }
        if self.version is not None:
            fields["X-Weight-Versions"] = str(self.version)
        return fields


async def send(
    writer: asyncio.StreamWriter, status: int, fields: dict[str, str], body: bytes
) -> None:
    """Send an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
    await writer.drain()


def request_head(
    method: str, path: str, request_id: str, key: str, deadline_ms: int, **fields: str
) -> bytes:
    """Head of a client's request, without its last empty line."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n"


def route(prefix: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
    """A route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 12000,
        "target-latency-ms": 800,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
    } | overrides


def configuration(
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
    version: int = 1,
) -> dict[str, Any]:
    """A whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": tenants,
    }


PLAIN = {"health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}
ENGINE = PLAIN | {
    "max-conns": 230,
    "engine": {
        "slots": 32,
        "kv-capacity": 210254,
        "kv-token-bytes": 327680,
        "link-mbps": 740000.0,
        "models": [{"name": MODEL}],
    },
}


@contextlib.asynccontextmanager
async def deployment(
    folder: Path, servers: list[Server], config: dict[str, Any], routers: int, **overrides: Any
) -> AsyncIterator[tuple[PlatformStoreStandIn, list[Router]]]:
    """Store, servers and routers; the routers are started by the script."""
    store = PlatformStoreStandIn()
    ports = PortReservations()
    started: list[Router] = []
    try:
        await store.start()
        for server in servers:
            await server.start()
            store.put_json(f"servers/{server.name}", server.entry())
        store.put_json("op/config", config)
        for number in range(1, routers + 1):
            started.append(Router(number, folder, store.address, ports, **overrides))
        yield store, started
    finally:
        for router in started:
            router.kill()
        ports.close()


def play(script: str, main: Callable[[Path, Record], Awaitable[bool]]) -> None:
    """Run a script's case and exit with its result.

    :param main: returns whether the rule was broken.
    """
    status = NOT_RUN
    try:
        record = Record(Path(script).resolve().parent)
    except OSError as error:
        print(f"the record cannot be written: {error!r}", file=sys.stderr)
        os._exit(NOT_RUN)
    try:
        with tempfile.TemporaryDirectory() as work_folder:
            is_broken = asyncio.run(_limited(main(Path(work_folder), record)))
        status = BROKEN if is_broken else HELD
        record.add("the rule was broken" if is_broken else "the rule held")
    except BaseException as error:
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    record.close()
    os._exit(status)


async def _limited(case: Awaitable[bool]) -> bool:
    async with asyncio.timeout(SCRIPT_TIMEOUT_S):
        return await case
