"""Prevents a router from serving with an outdated configuration after a pause of its process."""

import asyncio
from collections.abc import Awaitable, Callable

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.pause import PauseDetector

# Longer than the gaps that load alone causes in the event loop on an entry VM.
PAUSE_THRESHOLD_S = 1.0


class PauseGuard:
    """Delays requests after a pause of the process until peers are asked for a newer revision.

    :param clock: time source.
    :param recheck: asks peers for the newest revision. It ends within a bounded time even if no
        peer replies: agents refuse requests that newer terms forbid, so a router without peers
        may continue with its active revision.
    """

    def __init__(self, clock: Clock, recheck: Callable[[], Awaitable[object]]) -> None:
        self._recheck = recheck
        self._detector = PauseDetector(clock, PAUSE_THRESHOLD_S, self._on_pause)
        self._task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        await self._detector.run()

    async def wait_until_current(self) -> None:
        """Check for a pause, then wait until no recheck is running."""
        self._detector.check()
        task = self._task
        if task is not None:
            await asyncio.shield(task)

    async def close(self) -> None:
        """Cancel a running recheck."""
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
