"""Starts every process of a deployment on loopback, and stops, pauses or restarts any of them."""

import asyncio
import atexit
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp

from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.entries import split
from coltsfootfront_dev.forwarder import Forwarder

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
DEPLOYMENTS = ("agency", "granite")
# Accepted as bootstrap key at first, and named by the example documents afterwards.
OPERATOR_KEY = "operator-example-key"
PEER_SECRET = "example-peer-secret"
START_LIMIT_S = 30.0
# Processes are disposable when the fleet ends, so they get little time to drain.
STOP_GRACE_S = 0.5
POLL_S = 0.05
# Below the range from which the kernel takes ports of outgoing connections, so that a process
# can be restarted with its address.
FIRST_PORT = 20_000
LAST_PORT = 32_000

STAND_IN_ROLES = {
    "engine": "engine-standin",
    "service": "service-standin",
    "kept_cache": "kept-cache-standin",
}
STAND_IN_MODULES = {"engine": "engine", "service": "service", "kept_cache": "keptcache"}


class FleetError(Exception):
    """A process of the fleet did not start or answered with an error."""


@dataclass(slots=True)
class FleetProcess:
    """One process of the fleet.

    :param address: ``host:port`` of its main interface.
    :param peer_address: ``host:port`` for other processes of the system, or an empty string.
    :param target: target of an agent or of a target's stand-in, or an empty string.
    """

    name: str
    role: str
    command: list[str]
    address: str
    peer_address: str = ""
    target: str = ""
    popen: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def pid(self) -> int:
        """Process number, 0 before the first start."""
        return self.popen.pid if self.popen is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.popen is not None and self.popen.poll() is None


@dataclass(slots=True)
class FleetOptions:
    """What can be varied.

    :param routers: number of routers, at least two in a whole system.
    :param target_kinds: kinds of targets to start; the others are left out of the document.
    :param engine_arguments: further command-line arguments of every engine stand-in.
    :param router_settings: further settings of every router.
    :param agent_settings: further settings of every agent.
    :param forwarded: puts a :class:`Forwarder` in front of each agent, target and the store.
    """

    deployment: str = "agency"
    routers: int = 2
    target_kinds: tuple[str, ...] = ("engine", "service", "kept_cache")
    engine_arguments: tuple[str, ...] = ()
    router_settings: dict[str, Any] = field(default_factory=dict)
    agent_settings: dict[str, Any] = field(default_factory=dict)
    admin_settings: dict[str, Any] = field(default_factory=dict)
    forwarded: bool = False


class Fleet:
    """Every process of a deployment.

    Use it as an asynchronous context manager; whatever happens inside, all processes are ended
    and the temporary directory is removed.

    :param options: what to start.
    """

    def __init__(self, options: FleetOptions | None = None) -> None:
        self.options = options or FleetOptions()
        self.processes: dict[str, FleetProcess] = {}
        self.forwarders: dict[str, Forwarder] = {}
        """By the name of the process behind each."""
        self.revision = 0
        self._settings: dict[str, dict[str, Any]] = {}
        self._ports = PortReservations()
        self.document = self._read_document()
        self.directory = Path(tempfile.mkdtemp(prefix="coltsfootfront-"))
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    # Addresses and keys

    @property
    def operator_key(self) -> str:
        """Key of an operator who may change the document."""
        return OPERATOR_KEY

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client for calls to the fleet."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=60.0)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    def of_role(self, role: str) -> list[FleetProcess]:
        """Processes of one role, in order of their start."""
        return [process for process in self.processes.values() if process.role == role]

    @property
    def routers(self) -> list[FleetProcess]:
        """All routers; their addresses are those for callers."""
        return self.of_role("router")

    @property
    def agents(self) -> list[FleetProcess]:
        """All agents; their addresses are those for health and metrics."""
        return self.of_role("agent")

    @property
    def engines(self) -> list[FleetProcess]:
        """All engine stand-ins."""
        return self.of_role("engine-standin")

    def stand_in_of(self, target: str) -> FleetProcess:
        """Stand-in of a target."""
        return self.processes[f"standin-{target}"]

    def agent_of(self, target: str) -> FleetProcess:
        """Agent of a target."""
        return self.processes[f"agent-{target}"]

    def api_key(self, customer: str) -> str:
        """API key of a customer of the example document."""
        return f"{customer}-example-key"

    def typed_document(self) -> Document:
        """The document in typed form."""
        return Document.empty().changed(split(self.document), [])

    def customers(self) -> list[dict[str, Any]]:
        """Customers with name, API key and models, those with the largest weight first."""
        document = self.typed_document()
        order = sorted(document.customers, key=lambda name: -document.customers[name].weight)
        return [
            {"name": name, "api_key": self.api_key(name), "models": document.models_of(name)}
            for name in order
        ]

    def table(self) -> list[dict[str, Any]]:
        """Process table with role, name, pid, address and, for agents, target."""
        rows = []
        for process in self.processes.values():
            row: dict[str, Any] = {
                "role": process.role,
                "name": process.name,
                "pid": process.pid,
                "address": process.address,
            }
            if process.target:
                row["target"] = process.target
            rows.append(row)
        return rows

    def log_path(self, name: str) -> Path:
        """File with everything that a process wrote to standard error."""
        return self.directory / f"{name}.log"

    # Life of the fleet

    async def start(self) -> None:
        """Start everything and wait until it is ready with the document in force.

        :raises FleetError: a process ended or did not become ready.
        """
        atexit.register(self._kill_all)
        self._add_platform()
        self._add_stand_ins()
        self._add_programs()
        await asyncio.gather(*(forwarder.start() for forwarder in self.forwarders.values()))
        stand_ins = [process for process in self.processes.values() if not _is_own(process)]
        for process in stand_ins:
            self._spawn(process)
        await _all(*(self._wait_stand_in(process) for process in stand_ins))
        await self.control("vms", {"vms": self._vm_rows()})
        for process in self.processes.values():
            if _is_own(process):
                self._spawn(process)
        await _all(*(self.wait_http(admin) for admin in self.of_role("admin")))
        await self.apply(self.document)
        await self.wait_ready()

    async def stop(self) -> None:
        """End every process by its number and remove the temporary directory."""
        if self._session is not None:
            await self._session.close()
            self._session = None
        for forwarder in self.forwarders.values():
            await forwarder.close()
        for process in self.processes.values():
            self._signal_if_running(process, signal.SIGCONT)
            self._signal_if_running(process, signal.SIGTERM)
        await asyncio.to_thread(self._wait_all, STOP_GRACE_S)
        self._kill_all()
        self._ports.close()
        atexit.unregister(self._kill_all)
        shutil.rmtree(self.directory, ignore_errors=True)

    async def wait_ready(self) -> None:
        """Wait until every router and agent is ready and has the newest applied revision."""
        own = [*self.routers, *self.agents]
        await _all(*(self.wait_process_ready(process) for process in own))

    async def wait_process_ready(
        self, process: FleetProcess, limit_s: float = START_LIMIT_S
    ) -> None:
        """Wait until one router or agent is ready and has the newest applied revision.

        :raises FleetError: it ended or the limit has passed.
        """
        end_s = time.monotonic() + limit_s
        while not await self._is_ready(process):
            self._check_alive(process, end_s, "did not become ready")
            await asyncio.sleep(POLL_S)

    async def wait_ready_answer(
        self, process: FleetProcess, limit_s: float = START_LIMIT_S
    ) -> None:
        """Wait until a process answers that it is ready, whatever its revision."""
        await self._wait_answer(process, "/readyz", limit_s)

    async def wait_http(self, process: FleetProcess, limit_s: float = START_LIMIT_S) -> None:
        """Wait until a process answers ``/healthz``."""
        await self._wait_answer(process, "/healthz", limit_s)

    async def _wait_answer(self, process: FleetProcess, path: str, limit_s: float) -> None:
        end_s = time.monotonic() + limit_s
        while not await self._answers(process, path):
            self._check_alive(process, end_s, f"did not answer {path}")
            await asyncio.sleep(POLL_S)

    # Faults

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        process = self.processes[name]
        if not process.is_running:
            raise FleetError(f"{name} does not run")
        os.kill(process.pid, number)

    async def kill(self, name: str) -> None:
        """End a process with SIGKILL and wait until it is gone."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_exit(name)

    async def terminate(self, name: str, limit_s: float = 30.0) -> int:
        """Stop a process with SIGTERM.

        :returns: its exit status.
        """
        self.send_signal(name, signal.SIGTERM)
        return await self.wait_exit(name, limit_s)

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.send_signal(name, signal.SIGCONT)

    async def restart(self, name: str, wait: bool = True) -> None:
        """Start a process again, with the same address; kills it first if it still runs.

        :param wait: whether to wait until it is ready.
        """
        process = self.processes[name]
        if process.is_running:
            await self.kill(name)
        self._spawn(process)
        if not wait:
            return
        if process.role in ("router", "agent"):
            await self.wait_process_ready(process)
        elif _is_own(process):
            await self.wait_http(process)
        else:
            await self._wait_stand_in(process)

    async def wait_exit(self, name: str, limit_s: float = 30.0) -> int:
        """Wait until a process has ended.

        :returns: its exit status.
        """
        popen = self.processes[name].popen
        if popen is None:
            raise FleetError(f"{name} was not started")
        end_s = time.monotonic() + limit_s
        while popen.poll() is None:
            if time.monotonic() > end_s:
                raise FleetError(f"{name} did not end within {limit_s} s")
            await asyncio.sleep(0.01)
        return int(popen.returncode)

    async def control(self, name: str, values: dict[str, Any]) -> None:
        """Switch faults of a stand-in.

        :param values: fault names and values, as the stand-in defines them.
        """
        url = f"http://{self.processes[name].address}/control"
        async with self.session.post(url, json=values) as response:
            if response.status != 200:
                raise FleetError(f"{name}: control call answered {response.status}")

    async def counters(self, name: str) -> dict[str, Any]:
        """Read the counters of a stand-in."""
        url = f"http://{self.processes[name].address}/control/counters"
        async with self.session.get(url) as response:
            values: dict[str, Any] = await response.json()
            return values

    # Configuration

    async def apply(self, document: dict[str, Any]) -> int:
        """Apply a document through the administration API.

        :returns: its revision.
        :raises FleetError: it was refused.
        """
        admin = self.of_role("admin")[0]
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        body = {"document": document, "expected_revision": self.revision}
        url = f"http://{admin.address}/v1/apply"
        async with self.session.post(url, json=body, headers=headers) as response:
            answer = await response.json()
            if response.status != 200:
                raise FleetError(f"apply answered {response.status}: {answer}")
        self.document = document
        self.revision = int(answer["revision"])
        return self.revision

    async def revision_of(self, process: FleetProcess) -> int:
        """Revision in force at a router or agent, read from its metrics; 0 before any."""
        url = f"http://{process.address}/metrics"
        async with self.session.get(url) as response:
            for line in (await response.text()).splitlines():
                if line.startswith("coltsfootfront_revision"):
                    return int(float(line.rsplit(" ", 1)[1]))
        return 0

    def _read_document(self) -> dict[str, Any]:
        path = EXAMPLES / self.options.deployment / "document.json"
        document: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
        kinds = {name: service["kind"] for name, service in document["services"].items()}
        document["targets"] = {
            name: target
            for name, target in document["targets"].items()
            if kinds[target["service"]] in self.options.target_kinds
        }
        for terms in document["terms"].values():
            terms["targets"] = [name for name in terms["targets"] if name in document["targets"]]
        document["terms"] = {
            name: terms for name, terms in document["terms"].items() if terms["targets"]
        }
        for target in document["targets"].values():
            target["agent_address"] = self._free_address()
        return document

    def _add_platform(self) -> None:
        self._add_stand_in("store", "store-standin", "store", ())
        self._add_stand_in("vms", "vm-list-standin", "vms", ())
        self._add_stand_in("weights", "weight-store-standin", "weights", ())

    def _add_stand_ins(self) -> None:
        for name, target in self.document["targets"].items():
            kind = self.document["services"][target["service"]]["kind"]
            arguments: tuple[str, ...] = ()
            if kind == "engine":
                arguments = self._engine_arguments(target)
            role = STAND_IN_ROLES[kind]
            module = STAND_IN_MODULES[kind]
            self._add_stand_in(f"standin-{name}", role, module, arguments, name)

    def _engine_arguments(self, target: dict[str, Any]) -> tuple[str, ...]:
        arguments = [f"--slots={target.get('slots', 8)}"]
        arguments.append(f"--weights-address={self.processes['weights'].address}")
        for loaded in target.get("models", []):
            adapters = ",".join(loaded.get("adapters", []))
            arguments.append(f"--model={loaded['model']}={loaded['version']}:{adapters}")
        if target.get("checks_fencing"):
            arguments.append("--checks-fencing")
        return (*arguments, *self.options.engine_arguments)

    def _add_stand_in(
        self, name: str, role: str, module: str, arguments: tuple[str, ...], target: str = ""
    ) -> None:
        address = self._free_address()
        command = ["-m", f"coltsfootfront_dev.{module}", "--address", address, *arguments]
        self.processes[name] = FleetProcess(name, role, command, address, target=target)

    def _add_programs(self) -> None:
        data_centres = self._data_centres()
        peers = {f"router-{n + 1}": self._free_address() for n in range(self.options.routers)}
        seeds = list(peers.values())
        for number, (name, peer) in enumerate(peers.items()):
            settings = {
                "peer_address": peer,
                "data_centre": data_centres[number % len(data_centres)],
                "seed_addresses": [address for address in seeds if address != peer],
                "vm_list_url": self._url("vms"),
                **self.options.router_settings,
            }
            self._add_program(name, "router", settings)
        for name, target in self.document["targets"].items():
            settings = {
                "target": name,
                "target_url": self._url(f"standin-{name}"),
                "peer_address": self._behind_forwarder(f"agent-{name}", target["agent_address"]),
                "data_centre": target["data_centre"],
                "seed_addresses": seeds,
                "vm_list_url": self._url("vms"),
                "kept_cache_url": self._kept_cache_url(target),
                **self.options.agent_settings,
            }
            self._add_program(f"agent-{name}", "agent", settings, name)
        settings = {
            "data_centre": data_centres[0],
            "seed_addresses": seeds,
            "bootstrap_key_hash": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            **self.options.admin_settings,
        }
        self._add_program("admin-1", "admin", settings)

    def _add_program(
        self, name: str, role: str, settings: dict[str, Any], target: str = ""
    ) -> None:
        address = self._free_address()
        common = {
            "name": name,
            "peer_secret": PEER_SECRET,
            "store_address": self._url("store"),
            "http_address": address,
        }
        path = self.directory / f"{name}.toml"
        self._settings[name] = {**common, **settings}
        path.write_text(_toml(self._settings[name]), encoding="utf-8")
        path.chmod(0o600)
        command = ["-m", f"coltsfootfront.{role}", "--config", str(path)]
        peer = str(settings.get("peer_address", ""))
        if role == "agent":
            peer = self.document["targets"][target]["agent_address"]
        self.processes[name] = FleetProcess(name, role, command, address, peer, target)

    def _vm_rows(self) -> list[dict[str, str]]:
        """The platform's list of VMs, with every process of the system as live."""
        rows = []
        for process in (*self.routers, *self.agents):
            role = "router" if process.role == "router" else "target"
            rows.append(
                {
                    "name": process.target or process.name,
                    "role": role,
                    "data_centre": self._settings[process.name]["data_centre"],
                    "peer_address": process.peer_address,
                    "state": "live",
                }
            )
        return rows

    def _data_centres(self) -> list[str]:
        """Data centres with targets, those of the largest region first."""
        regions = self.document["regions"].values()
        used = {target["data_centre"] for target in self.document["targets"].values()}
        ordered = sorted(regions, key=lambda region: -len(region["data_centres"]))
        listed = [name for region in ordered for name in region["data_centres"]]
        return [name for name in listed if name in used] or listed

    def _kept_cache_url(self, target: dict[str, Any]) -> str:
        services = self.document["services"]
        if services[target["service"]]["kind"] != "engine":
            return ""
        kept = self.of_role("kept-cache-standin")
        return f"http://{kept[0].address}" if kept else ""

    def _url(self, name: str) -> str:
        address = self.processes[name].address
        if self.options.forwarded and (name == "store" or self.processes[name].target):
            if name not in self.forwarders:
                self.forwarders[name] = Forwarder(self._free_address(), address)
            address = self.forwarders[name].address
        return f"http://{address}"

    def _behind_forwarder(self, name: str, address: str) -> str:
        """Address on which a process listens whose peers use ``address``."""
        if not self.options.forwarded:
            return address
        listen = self._free_address()
        self.forwarders[name] = Forwarder(address, listen)
        return listen

    def _free_address(self) -> str:
        return f"127.0.0.1:{self._ports.take()}"

    # Processes

    def _spawn(self, process: FleetProcess) -> None:
        process.starts += 1
        output = self.directory / f"{process.name}.out"
        with output.open("wb") as out, self.log_path(process.name).open("ab") as log:
            process.popen = subprocess.Popen(
                [sys.executable, *process.command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                # Programs of the product log where stand-ins print their address.
                stdout=log if _is_own(process) else out,
                stderr=log,
                start_new_session=True,
            )

    async def _wait_stand_in(self, process: FleetProcess) -> None:
        output = self.directory / f"{process.name}.out"
        end_s = time.monotonic() + START_LIMIT_S
        while b"\n" not in output.read_bytes():
            self._check_alive(process, end_s, "printed no address")
            await asyncio.sleep(POLL_S)

    async def _is_ready(self, process: FleetProcess) -> bool:
        if not await self._answers(process, "/readyz"):
            return False
        try:
            return await self.revision_of(process) >= self.revision
        except (aiohttp.ClientError, OSError):
            return False

    async def _answers(self, process: FleetProcess, path: str) -> bool:
        try:
            async with self.session.get(f"http://{process.address}{path}") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _check_alive(self, process: FleetProcess, end_s: float, fault: str) -> None:
        if process.is_running and time.monotonic() < end_s:
            return
        lines = self.log_path(process.name).read_text(errors="replace").splitlines()[-5:]
        status = process.popen.poll() if process.popen is not None else None
        raise FleetError(f"{process.name} {fault}; exit status {status}; {' | '.join(lines)}")

    def _signal_if_running(self, process: FleetProcess, number: signal.Signals) -> None:
        if process.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)

    def _wait_all(self, limit_s: float) -> None:
        end_s = time.monotonic() + limit_s
        for process in self.processes.values():
            if process.popen is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    process.popen.wait(max(end_s - time.monotonic(), 0.0))

    def _kill_all(self) -> None:
        for process in self.processes.values():
            self._signal_if_running(process, signal.SIGKILL)
        for process in self.processes.values():
            if process.popen is not None:
                process.popen.wait()


async def _all(*waits: Coroutine[Any, Any, None]) -> None:
    """Wait for everything; the first failure cancels the others and is raised."""
    try:
        async with asyncio.TaskGroup() as group:
            for wait in waits:
                group.create_task(wait)
    except* FleetError as errors:
        raise errors.exceptions[0] from None


def _is_own(process: FleetProcess) -> bool:
    return process.role in ("router", "agent", "admin")


class PortReservations:
    """Ports that no other fleet on this machine takes.

    Each port stays bound, without listening, for the life of the fleet. Fleets that started at
    the same moment otherwise chose the same free ports.
    """

    def __init__(self) -> None:
        ports = list(range(FIRST_PORT, LAST_PORT))
        start = random.randrange(len(ports))
        self._candidates = iter(ports[start:] + ports[:start])
        self._held: list[socket.socket] = []

    def take(self) -> int:
        """Reserve one port."""
        for port in self._candidates:
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:
                holder.close()
                continue
            # Set after the exclusive bind: servers, which set it too, can then bind and listen.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._held.append(holder)
            return port
        raise FleetError("no free port is left")

    def close(self) -> None:
        """Give all ports back."""
        for holder in self._held:
            holder.close()
        self._held.clear()


def _toml(settings: dict[str, Any]) -> str:
    # JSON notation of text, numbers, truth values and lists of text is valid TOML.
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items())
