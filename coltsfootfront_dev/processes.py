"""Operating-system processes of a fleet: start, signals, end."""

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
OWN_ROLES = ("router", "agent", "admin")


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
    def is_own(self) -> bool:
        """Whether it is a program of the product."""
        return self.role in OWN_ROLES

    @property
    def pid(self) -> int:
        """Process number, 0 before the first start."""
        return self.popen.pid if self.popen is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
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
                # Programs of the product log where stand-ins print their address.
                stdout=log if process.is_own else out,
                stderr=log,
                start_new_session=True,
            )

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

    def check_alive(self, process: FleetProcess, end_s: float, fault: str) -> None:
        """Check that a process which is waited for still runs.

        :param end_s: monotonic time at which the wait ends.
        :param fault: what did not happen.
        :raises FleetError: it has ended, or the time has come.
        """
        if process.is_running and time.monotonic() < end_s:
            return
        lines = self.log_path(process.name).read_text(errors="replace").splitlines()[-5:]
        status = process.popen.poll() if process.popen is not None else None
        raise FleetError(f"{process.name} {fault}; exit status {status}; {' | '.join(lines)}")

    def signal_if_running(self, process: FleetProcess, number: signal.Signals) -> None:
        """Send a signal to a process unless it has ended."""
        if process.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)

    def wait_all(self, limit_s: float) -> None:
        """Wait until all have ended, or the limit has passed."""
        end_s = time.monotonic() + limit_s
        for process in self.processes.values():
            if process.popen is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    process.popen.wait(max(end_s - time.monotonic(), 0.0))

    def kill_all(self) -> None:
        """End all that still run."""
        for process in self.processes.values():
            self.signal_if_running(process, signal.SIGKILL)
        for process in self.processes.values():
            if process.popen is not None:
                process.popen.wait()
