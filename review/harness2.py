"""Deployment on loopback for the scripts of the second review: store, servers, routers, clients.

The store and the servers are the project's own stand-ins. The routers are processes that are
started with the command of the deploy file, with settings of a small deployment.
"""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from coltsfootfront_dev.platformfleet import API_KEY, HOST, PLAIN_SERVICE, to_toml
from coltsfootfront_dev.platformstore import PlatformStoreStandIn
from coltsfootfront_dev.platformtarget import PlatformTargetStandIn

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_LIMIT_S = 15.0
HEARTBEAT_S = 1.0
RUN_LIMIT_S = 110.0
# The bounds of the sheet "Topper Trials Routing Fleet Operations Memo".
BOUNDS = {
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
    "retry-budget-slack": 56,
    "recovery-s": 12,
    "transit-ms": 300,
    "reuse-window-s": 10,
    "require-fence": True,
    "lease-ms": 3000,
    "thaw-ms": 300,
    "version-ms": 10000,
    "version-all-ms": 14000,
}


def has_trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def write(self, text: str, shown: bool = False) -> None:
        line = f"{time.monotonic() - self.began_s:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if shown:
            print(line, flush=True)


class Server(PlatformTargetStandIn):
    """Server of a plain service whose answer has as many bytes as the end of the path says."""

    def __init__(self, name: str, record: Record, service: str = PLAIN_SERVICE) -> None:
        super().__init__(name, service)
        self._record = record
        self.ends_s: dict[str, float] = {}
        """Monotonic time at which each request's whole answer was made."""

    async def _send_plain_response(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        size = request.path.rpartition("/")[2]
        body = b"x" * int(size) if size.isdigit() else b"done"
        request_id = headers["X-Request-Id"]
        self.ends_s[request_id] = time.monotonic()
        self._record.write(f"server {self.name} has run {request_id}, answers {len(body)} bytes")
        return web.Response(body=body, headers=headers)

    def has_run(self, request_id: str) -> bool:
        return any(run.request_id == request_id for run in self.executions)


class Router:
    """Process of one router, started with the command of the deploy file."""

    def __init__(
        self, number: int, folder: Path, store: str, memory_mb: int, bounds: dict[str, Any]
    ) -> None:
        self.name = f"front-brasov-a-{number}"
        self.ip = f"127.0.3.{number}"
        front, ready, control, first, last = _free_ports(self.ip, 5)
        first, last = sorted((first, last))
        self.front = (self.ip, front)
        self._ready = (self.ip, ready)
        self.control = f"{self.ip}:{control}"
        self.memory_mb = memory_mb
        self.fields: dict[str, Any] = {
            "node": self.name,
            "role": "router",
            "machine-class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-1",
            "port-range": [first, last],
            "seed-addrs": [],
            "bootstrap": True,
            "heartbeat-ms": 1200,
            "zones": {"zone-a": "region-1"},
            "listen": {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
                "control": self.control,
            },
            "limits": {
                "cpu-share": 0.817,
                "cpu-cores": 1,
                "memory-mb": memory_mb,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "bounds": bounds,
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
        self._path = folder / f"{self.name}.toml"
        self._log_path = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self._path.write_text(to_toml(self.fields), encoding="utf-8")
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COLTSFOOTFRONT_CONFIG": str(self._path),
            **role.get("env", {}),
        }
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_bytes(self) -> int:
        """Resident memory of the process, 0 once it has ended."""
        if self.process is None:
            return 0
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0
        for line in lines.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready.

        :raises TimeoutError: if it does not in time.
        """
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            await asyncio.to_thread(self.process.wait)


class Deployment:
    """Store, servers and routers of one script."""

    def __init__(
        self,
        record: Record,
        routers: int = 1,
        servers: int = 2,
        memory_mb: int = 300,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        self.record = record
        self.store = PlatformStoreStandIn()
        self.servers = [Server(f"i-{number}", record) for number in range(1, servers + 1)]
        self.routers: list[Router] = []
        self._counts = routers, memory_mb, BOUNDS | (bounds or {})
        self._folder = Path(tempfile.mkdtemp())
        self._extra: list[Any] = []

    async def start(self, configuration: dict[str, Any]) -> None:
        await self.store.start()
        for server in self.servers:
            await server.start()
            self.register(server)
        self.store.put_json("op/version/m", {"model": "m", "version": 1})
        self.write_configuration(configuration)
        count, memory_mb, bounds = self._counts
        for number in range(1, count + 1):
            self.routers.append(
                Router(number, self._folder, self.store.address, memory_mb, dict(bounds))
            )
        seeds = [router.control for router in self.routers][:3]
        for router in self.routers:
            router.fields["seed-addrs"] = seeds
            router.start()
        await asyncio.gather(*(router.wait_ready() for router in self.routers))

    def register(self, server: PlatformTargetStandIn, state: str = "ready") -> None:
        self.store.put_json(f"servers/{server.name}", server.registration(state))

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        self.store.put_json("op/config", configuration)
        self.record.write(f"configuration {configuration['version']} acknowledged")

    def has_run(self, request_id: str) -> bool:
        return any(server.has_run(request_id) for server in self.servers)

    def ended_s(self, request_id: str) -> float | None:
        """Monotonic time at which a server had made the whole answer."""
        for server in self.servers:
            if request_id in server.ends_s:
                return server.ends_s[request_id]
        return None

    async def close(self) -> None:
        for router in self.routers:
            await router.stop()
        for server in self.servers:
            server.abort_connections()
            await server.close()
        await self.store.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def make_configuration(
    version: int, timeout_ms: int = 15_000, objective_ms: int = 800, **changes: Any
) -> dict[str, Any]:
    """Configuration with a route for each kind of plain request."""

    def route(name: str, kind: str, attempts: int) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": timeout_ms,
            "target-latency-ms": objective_ms,
            "priority": 0,
            "service": PLAIN_SERVICE,
            "max-attempts": attempts,
            "anonymous": False,
            "sticky": False,
            "resumable": False,
        }

    return {
        "version": version,
        "routes": [route("file", "non_idempotent", 1), route("look", "idempotent", 2)],
        "services": [
            {
                "name": PLAIN_SERVICE,
                "health-path": "/health",
                "max-conns": 2000,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "sese880", "api-keys": [API_KEY], "priority": 1, "isolated": False}],
    } | changes


def encode_head(
    path: str,
    request_id: str,
    deadline_ms: int,
    method: str = "GET",
    body_bytes: int | None = None,
    key: str = API_KEY,
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
    ]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode()


class Answer:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.length = 0
        """Length that the head tells."""
        self.got = 0
        """Bytes of the body that arrived."""
        self.is_closing = False
        self.end = ""

    @property
    def is_whole(self) -> bool:
        return bool(self.status) and self.got == self.length

    def __str__(self) -> str:
        if not self.status:
            return f"no answer ({self.end})"
        whole = "whole" if self.is_whole else f"cut off after {self.got} of {self.length} bytes"
        return f"{self.status}, {whole}" + (f" ({self.end})" if self.end else "")


class Client:
    """Client on one connection.

    :param bytes_per_s: pace at which it reads answers, None for as fast as they come.
    :param source: its own address.
    """

    def __init__(
        self,
        address: tuple[str, int],
        bytes_per_s: float | None = None,
        window_bytes: int = 16_384,
        source: str = "127.0.0.1",
    ) -> None:
        self._address = address
        self._source = source
        self._bytes_per_s = bytes_per_s
        self._window_bytes = window_bytes
        self._socket: socket.socket | None = None
        self._data = b""

    async def connect(self) -> None:
        connection = socket.socket()
        if self._bytes_per_s is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes)
        connection.bind((self._source, 0))
        connection.setblocking(False)
        self._socket = connection
        await asyncio.get_running_loop().sock_connect(connection, self._address)

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket, self._data = None, b""

    async def send(self, data: bytes) -> None:
        assert self._socket is not None
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read_answer(self) -> Answer:
        answer = Answer()
        try:
            await self._read(answer)
        except OSError as error:
            answer.end = type(error).__name__
        return answer

    async def _read(self, answer: Answer) -> None:
        while b"\r\n\r\n" not in self._data:
            if not await self._receive():
                answer.end = "connection closed"
                return
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
        answer.length = int(fields.get("content-length", "0"))
        answer.is_closing = fields.get("connection", "").lower() == "close"
        began_s, got_before = time.monotonic(), 0
        while True:
            take = min(len(self._data), answer.length - answer.got)
            answer.got += take
            self._data = self._data[take:]
            if answer.got >= answer.length:
                return
            if self._bytes_per_s is not None:
                due_s = began_s + (answer.got - got_before) / self._bytes_per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if not await self._receive():
                answer.end = "connection closed"
                return

    async def _receive(self) -> bool:
        assert self._socket is not None
        data = await asyncio.get_running_loop().sock_recv(self._socket, 16_384)
        self._data += data
        return bool(data)


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind((ip, 0))
        return [int(listener.getsockname()[1]) for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


def run(folder: str, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Run a script and exit with its result.

    :param play: returns whether the rule was broken.
    """
    record = Record(Path(folder).resolve())
    record.write(f"TROUBLE={'1' if has_trouble() else '0'}", shown=True)
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(record), RUN_LIMIT_S))
    except Exception as error:
        record.write(f"the case could not run: {error!r}", shown=True)
        sys.exit(COULD_NOT_RUN)
    record.write("the rule was broken" if is_broken else "the rule held", shown=True)
    sys.exit(BROKEN if is_broken else HELD)
