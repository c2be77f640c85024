"""Operating-system processes of a fleet: starting, signalling and waiting for them."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PRODUCT_ROLES = ("router", "agent", "admin")


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
    def is_product_program(self) -> bool:
        """Whether it runs a program of the product, not a stand-in."""
        return self.role in PRODUCT_ROLES

    @property
    def pid(self) -> int:
        """Process id; 0 before the first start."""
        return self.popen.pid if self.popen is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.popen is not None and self.popen.poll() is None


class ProcessTable:
    """Every process of a fleet, by its name.

    :param directory: where the output of the processes goes.
    """

    def __init__(self, directory: Path) -> None:
        self.processes: dict[str, FleetProcess] = {}
        self.directory = directory

    def log_path(self, name: str) -> Path:
        """File with everything that a process wrote to standard error."""
        return self.directory / f"{name}.log"

    def output_path(self, name: str) -> Path:
        """File in which a stand-in writes its address."""
        return self.directory / f"{name}.out"

    def spawn(self, process: FleetProcess) -> None:
        """Start a process."""
        process.starts += 1
        output = self.output_path(process.name)
        with output.open("wb") as out, self.log_path(process.name).open("ab") as log:
            process.popen = subprocess.Popen(
                [sys.executable, *process.command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                # Product programs log to standard output; stand-ins print their address there.
                stdout=log if process.is_product_program else out,
                stderr=log,
                start_new_session=True,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        process = self.processes[name]
        if not process.is_running:
            raise FleetError(f"{name} is not running")
        os.kill(process.pid, number)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_exit(name)

    async def terminate(self, name: str, timeout_s: float = 30.0) -> int:
        """Stop a process with SIGTERM.

        :returns: its exit status.
        """
        self.send_signal(name, signal.SIGTERM)
        return await self.wait_exit(name, timeout_s)

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self.send_signal(name, signal.SIGCONT)

    async def wait_exit(self, name: str, timeout_s: float = 30.0) -> int:
        """Wait until a process has exited.

        :returns: its exit status.
        """
        popen = self.processes[name].popen
        if popen is None:
            raise FleetError(f"{name} was not started")
        deadline_s = time.monotonic() + timeout_s
        while popen.poll() is None:
            if time.monotonic() > deadline_s:
                raise FleetError(f"{name} did not exit within {timeout_s} s")
            await asyncio.sleep(0.01)
        return int(popen.returncode)

    def check_alive(self, process: FleetProcess, deadline_s: float, problem: str) -> None:
        """Check that a process being waited for still runs and that the deadline is not reached.

        :param deadline_s: deadline in monotonic time.
        :param problem: what the process did not do, for the error message.
        :raises FleetError: the process has exited, or the deadline is reached.
        """
        if process.is_running and time.monotonic() < deadline_s:
            return
        lines = self.log_path(process.name).read_text(errors="replace").splitlines()[-5:]
        status = process.popen.poll() if process.popen is not None else None
        raise FleetError(f"{process.name} {problem}; exit status {status}; {' | '.join(lines)}")

    def signal_if_running(self, process: FleetProcess, number: signal.Signals) -> None:
        """Send a signal to a process unless it has exited."""
        if process.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)

    def wait_all_exited(self, timeout_s: float) -> None:
        """Wait until all processes have exited, or the timeout expires."""
        deadline_s = time.monotonic() + timeout_s
        for process in self.processes.values():
            if process.popen is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    process.popen.wait(max(deadline_s - time.monotonic(), 0.0))

    def kill_all(self) -> None:
        """Kill every process that still runs and reap it."""
        for process in self.processes.values():
            self.signal_if_running(process, signal.SIGKILL)
        for process in self.processes.values():
            if process.popen is not None:
                process.popen.wait()
