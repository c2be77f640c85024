"""Tree of supervised tasks with restart and backoff."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event

log = logbook.Logger(__name__)

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# A child that ran this long before it failed starts again at the initial delay.
STABLE_RUN_S = 30.0

Body = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs named children and restarts those that fail.

    :param name: name of this node of the tree.
    :param clock: time source.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self._clock = clock
        self._bodies: dict[str, Body] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def add(self, name: str, body: Body) -> None:
        """Add a child.

        :param name: name of the child, unique within this supervisor.
        :param body: coroutine function; runs again with a growing delay when it raises, and
            ends for good when it returns.
        """
        self._bodies[name] = body

    def add_tree(self, child: "Supervisor") -> None:
        """Add a supervisor as a child; it is closed with this one."""
        self.add(child.name, child.run)

    async def start(self) -> None:
        """Start every child that does not run yet."""
        for name, body in self._bodies.items():
            if name not in self._tasks:
                self._tasks[name] = asyncio.create_task(self._keep(name, body))

    async def run(self) -> None:
        """Start every child and run until cancelled."""
        await self.start()
        try:
            await asyncio.Event().wait()
        finally:
            await self.close()

    async def stop(self, name: str) -> None:
        """Stop one child for good."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def close(self) -> None:
        """Stop the children, the last one first."""
        while self._tasks:
            _, task = self._tasks.popitem()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _keep(self, name: str, body: Body) -> None:
        delay_s = INITIAL_BACKOFF_S
        while True:
            started_s = self._clock.monotonic_s()
            try:
                await body()
                return
            except Exception as error:
                metrics.CONNECTION_EVENTS.inc({"event": "child_restarted"})
                log.error(event("child_failed", child=f"{self.name}/{name}", reason=repr(error)))
            if self._clock.monotonic_s() - started_s > STABLE_RUN_S:
                delay_s = INITIAL_BACKOFF_S
            await self._clock.sleep(random.uniform(0, delay_s))
            delay_s = min(delay_s * 2, MAX_BACKOFF_S)
