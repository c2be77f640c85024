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

from coltsfootfront_dev.processes import FleetError, FleetProcess
from coltsfootfront_dev.deployment import OPERATOR_KEY, FleetOptions, ProgramTable

START_LIMIT_S = 30.0
# Processes are disposable when the fleet ends, so they get little time to drain.
STOP_GRACE_S = 0.5
POLL_S = 0.05


class Fleet(ProgramTable):
    """Every process of a deployment.

    Use it as an asynchronous context manager; whatever happens inside, all processes are ended
    and the temporary directory is removed.

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

    # Life of the fleet

    async def start(self) -> None:
        """Start everything and wait until it is ready with the document in force.

        :raises FleetError: a process ended or did not become ready.
        """
        atexit.register(self.kill_all)
        self.add_all()
        await asyncio.gather(*(forwarder.start() for forwarder in self.forwarders.values()))
        stand_ins = [process for process in self.processes.values() if not process.is_own]
        for process in stand_ins:
            self.spawn(process)
        await _all(*(self._wait_stand_in(process) for process in stand_ins))
        await self.control_stand_in("vms", {"vms": self.vm_rows()})
        for process in self.processes.values():
            if process.is_own:
                self.spawn(process)
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
            self.signal_if_running(process, signal.SIGCONT)
            self.signal_if_running(process, signal.SIGTERM)
        await asyncio.to_thread(self.wait_all, STOP_GRACE_S)
        self.kill_all()
        self.ports.close()
        atexit.unregister(self.kill_all)
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
            self.check_alive(process, end_s, "did not become ready")
            await asyncio.sleep(POLL_S)

    async def wait_reports_ready(
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
            self.check_alive(process, end_s, f"did not answer {path}")
            await asyncio.sleep(POLL_S)

    async def restart(self, name: str, wait: bool = True) -> None:
        """Start a process again, with the same address; kills it first if it still runs.

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
        elif process.is_own:
            await self.wait_http(process)
        else:
            await self._wait_stand_in(process)

    async def _wait_stand_in(self, process: FleetProcess) -> None:
        output = self.output_path(process.name)
        end_s = time.monotonic() + START_LIMIT_S
        while b"\n" not in output.read_bytes():
            self.check_alive(process, end_s, "printed no address")
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

    async def control_stand_in(self, name: str, values: dict[str, Any]) -> None:
        """Switch faults of a stand-in.

        :param values: fault names and values, as the stand-in defines them.
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


async def _all(*waits: Coroutine[Any, Any, None]) -> None:
    """Wait for everything; the first failure cancels the others and is raised."""
    try:
        async with asyncio.TaskGroup() as group:
            for wait in waits:
                group.create_task(wait)
    except* FleetError as errors:
        raise errors.exceptions[0] from None
