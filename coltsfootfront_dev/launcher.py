"""Starts every process of a deployment on loopback, and stops, pauses or restarts any of them."""

import asyncio
import atexit
import shutil
import signal
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp

from coltsfootfront_dev.deployment import OPERATOR_KEY, DeploymentProcesses, FleetOptions
from coltsfootfront_dev.processes import FleetError, FleetProcess

START_TIMEOUT_S = 30.0
# Nothing uses the processes after the fleet stops, so they get little time to drain.
STOP_GRACE_S = 0.5
POLL_INTERVAL_S = 0.05


class Fleet(DeploymentProcesses):
    """Every process of a deployment.

    An asynchronous context manager. On exit, also after an exception, it stops all processes
    and removes the temporary directory.

    :param options: what to start.
    """

    def __init__(self, options: FleetOptions | None = None) -> None:
        directory = Path(tempfile.mkdtemp(prefix="coltsfootfront-"))
        super().__init__(options or FleetOptions(), directory)
        self.revision = 0
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

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client for calls to the fleet."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=60.0)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    # Lifecycle

    async def start(self) -> None:
        """Start all processes, apply the document and wait until routers and agents are ready.

        :raises FleetError: a process exited or did not become ready.
        """
        atexit.register(self.kill_all)
        self.add_processes()
        await asyncio.gather(*(forwarder.start() for forwarder in self.forwarders.values()))
        stand_ins = [
            process for process in self.processes.values() if not process.is_product_program
        ]
        for process in stand_ins:
            self.spawn(process)
        await _wait_for_all(*(self._wait_stand_in_started(process) for process in stand_ins))
        await self.control_stand_in("vms", {"vms": self.vm_list()})
        for process in self.processes.values():
            if process.is_product_program:
                self.spawn(process)
        await _wait_for_all(
            *(self.wait_healthy(admin) for admin in self.processes_of_role("admin"))
        )
        await self.apply(self.document)
        await self.wait_ready()

    async def stop(self) -> None:
        """Stop every process by its pid and remove the temporary directory."""
        if self._session is not None:
            await self._session.close()
            self._session = None
        for forwarder in self.forwarders.values():
            await forwarder.close()
        for process in self.processes.values():
            self.signal_if_running(process, signal.SIGCONT)
            self.signal_if_running(process, signal.SIGTERM)
        await asyncio.to_thread(self.wait_all_exited, STOP_GRACE_S)
        self.kill_all()
        self.ports.close()
        atexit.unregister(self.kill_all)
        shutil.rmtree(self.directory, ignore_errors=True)

    async def wait_ready(self) -> None:
        """Wait until every router and agent is ready and has the newest applied revision."""
        processes = [*self.routers, *self.agents]
        await _wait_for_all(*(self.wait_process_ready(process) for process in processes))

    async def wait_process_ready(
        self, process: FleetProcess, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until one router or agent is ready and has the newest applied revision.

        :raises FleetError: it exited or the timeout expired.
        """
        deadline_s = time.monotonic() + timeout_s
        while not await self._is_ready(process):
            self.check_alive(process, deadline_s, "did not become ready")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_reports_ready(
        self, process: FleetProcess, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until ``/readyz`` of a process returns 200, whatever its revision."""
        await self._wait_http_ok(process, "/readyz", timeout_s)

    async def wait_healthy(self, process: FleetProcess, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until ``/healthz`` of a process returns 200."""
        await self._wait_http_ok(process, "/healthz", timeout_s)

    async def _wait_http_ok(self, process: FleetProcess, path: str, timeout_s: float) -> None:
        deadline_s = time.monotonic() + timeout_s
        while not await self._returns_http_ok(process, path):
            self.check_alive(process, deadline_s, f"did not answer {path}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def restart(self, name: str, wait: bool = True) -> None:
        """Restart a process on the same address; a process that still runs is killed first.

        :param wait: whether to wait until it is ready.
        """
        process = self.processes[name]
        if process.is_running:
            await self.kill(name)
        self.spawn(process)
        if not wait:
            return
        if process.role in ("router", "agent"):
            await self.wait_process_ready(process)
        elif process.is_product_program:
            await self.wait_healthy(process)
        else:
            await self._wait_stand_in_started(process)

    async def _wait_stand_in_started(self, process: FleetProcess) -> None:
        output = self.output_path(process.name)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while b"\n" not in output.read_bytes():
            self.check_alive(process, deadline_s, "printed no address")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, process: FleetProcess) -> bool:
        if not await self._returns_http_ok(process, "/readyz"):
            return False
        try:
            return await self.revision_of(process) >= self.revision
        except (aiohttp.ClientError, OSError):
            return False

    async def _returns_http_ok(self, process: FleetProcess, path: str) -> bool:
        try:
            async with self.session.get(f"http://{process.address}{path}") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def control_stand_in(self, name: str, values: dict[str, Any]) -> None:
        """Set faults or other state of a stand-in through its control interface.

        :param values: names and values, as the stand-in defines them.
        """
        url = f"http://{self.processes[name].address}/control"
        async with self.session.post(url, json=values) as response:
            if response.status != 200:
                raise FleetError(f"{name}: control call answered {response.status}")

    async def stand_in_counters(self, name: str) -> dict[str, Any]:
        """Read the counters of a stand-in."""
        url = f"http://{self.processes[name].address}/control/counters"
        async with self.session.get(url) as response:
            values: dict[str, Any] = await response.json()
            return values

    # Configuration

    async def apply(self, document: dict[str, Any]) -> int:
        """Apply a document through the administration API.

        :returns: its revision.
        :raises FleetError: the API rejected it.
        """
        admin = self.processes_of_role("admin")[0]
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


async def _wait_for_all(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run coroutines concurrently; the first failure cancels the others and is raised."""
    try:
        async with asyncio.TaskGroup() as group:
            for coroutine in coroutines:
                group.create_task(coroutine)
    except* FleetError as errors:
        raise errors.exceptions[0] from None
