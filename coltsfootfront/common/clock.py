"""Time as an interface, so that tests can control it."""

import asyncio
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime


class Clock(ABC):
    """Source of monotonic time, wall-clock time and delays."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Seconds on a clock that never steps back and runs on while the process is stopped."""

    @abstractmethod
    def now(self) -> datetime:
        """Current wall-clock time, aware, in UTC."""

    @abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task.

        :param delay_s: seconds to wait.
        """

    def unix_s(self) -> float:
        """Current wall-clock time in seconds since the epoch."""
        return self.now().timestamp()


class SystemClock(Clock):
    """The operating system's clocks."""

    __slots__ = ()

    def monotonic_s(self) -> float:
        # Unlike CLOCK_MONOTONIC it counts the time in which the VM is suspended.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)

    def unix_s(self) -> float:
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
