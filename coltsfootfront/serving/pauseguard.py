"""Keeps a router that was paused from serving with an old revision."""

import asyncio
from collections.abc import Awaitable, Callable

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.pause import PauseDetector

# A gap of the event loop that load alone does not cause on an entry VM.
PAUSE_LIMIT_S = 1.0


class PauseGuard:
    """Rechecks the revision with peers after a pause, before requests are taken.

    :param clock: time source.
    :param recheck: asks peers for the newest revision; ends within a bounded time, also when
        no peer answers. Agents refuse what newer terms do not allow, so that a router without
        peers may go on with what it has.
    """

    def __init__(self, clock: Clock, recheck: Callable[[], Awaitable[object]]) -> None:
        self._recheck = recheck
        self._detector = PauseDetector(clock, PAUSE_LIMIT_S, self._on_pause)
        self._task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Look for pauses for ever."""
        await self._detector.run()

    async def settle(self) -> None:
        """Return when no recheck is under way; looks for a pause first."""
        self._detector.check()
        task = self._task
        if task is not None:
            await asyncio.shield(task)

    async def close(self) -> None:
        """End a recheck."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _on_pause(self, gap_s: float) -> None:
        if self._task is None:
            self._task = asyncio.create_task(self._run_recheck())

    async def _run_recheck(self) -> None:
        try:
            await self._recheck()
        finally:
            self._task = None
