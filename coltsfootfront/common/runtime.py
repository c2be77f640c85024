"""Start and stop of a long-running program."""

import asyncio
import signal
from abc import ABC, abstractmethod

from coltsfootfront.common import logs


class Program(ABC):
    """A long-running program."""

    def reload(self) -> None:  # noqa: B027 - does nothing in programs that cannot reload
        """Apply changed settings after a SIGHUP."""

    @abstractmethod
    async def start(self) -> None:
        """Start serving."""

    @abstractmethod
    async def drain(self) -> None:
        """Report not ready, accept no new work and finish the work in progress."""

    @abstractmethod
    async def close(self) -> None:
        """Release all resources."""


def serve(program: Program, name: str, log_level: str) -> None:
    """Run a program until SIGTERM or SIGINT, then drain and close it.

    :param program: program to run.
    :param name: name of the process for log lines.
    :param log_level: least severe level that is logged.
    """
    handler = logs.setup(log_level, name)
    try:
        asyncio.run(_serve(program))
    finally:
        handler.pop_application()


async def _serve(program: Program) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    await program.start()
    try:
        await stop.wait()
        await program.drain()
    finally:
        await program.close()
