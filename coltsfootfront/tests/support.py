"""Shared parts of the tests."""

import asyncio
from datetime import UTC, datetime, timedelta

from coltsfootfront.clock import Clock

START = datetime(2026, 1, 1, tzinfo=UTC)


class ManualClock(Clock):
    """A clock that moves only when a test says so."""

    def __init__(self) -> None:
        self._elapsed_s = 1000.0
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        return self._elapsed_s

    def now(self) -> datetime:
        return START + timedelta(seconds=self._elapsed_s)

    async def sleep(self, delay_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._elapsed_s + delay_s, future))
        await future

    def advance(self, delay_s: float) -> None:
        """Move the clock and wake every sleeper whose time has come."""
        self._elapsed_s += delay_s
        due = [item for item in self._sleepers if item[0] <= self._elapsed_s]
        self._sleepers = [item for item in self._sleepers if item[0] > self._elapsed_s]
        for _, future in due:
            if not future.done():
                future.set_result(None)
