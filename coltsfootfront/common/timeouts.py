"""Timeout that does not expire before the event loop has read what has arrived."""

import asyncio
from collections.abc import Callable
from types import TracebackType

# After a stall of the event loop, a timer that was due meanwhile runs before the tasks that the
# data received meanwhile wakes. Within this time, they run.
READ_GRACE_S = 0.05
# A timer that is later than this shows that the loop was stalled again.
MAX_TIMER_DELAY_S = 0.02
# Limit on the extension, for a loop that is always late.
MAX_READ_GRACE_S = 1.0
# Interval at which a block that may not end yet is looked at again.
RECHECK_INTERVAL_S = 0.1


def _always() -> bool:
    return True


class ReadTimeout:
    """Asynchronous context manager that raises :class:`TimeoutError` when its time is up.

    :param delay_s: time in seconds, None for no limit.
    :param may_expire: asked when the time is up; while it returns False, the block goes on.
    """

    __slots__ = ("_delay_s", "_due_s", "_extended_s", "_handle", "_may_expire", "_timeout")

    def __init__(self, delay_s: float | None, may_expire: Callable[[], bool] = _always) -> None:
        self._delay_s = delay_s
        self._may_expire = may_expire
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._extended_s = 0.0

    async def __aenter__(self) -> "ReadTimeout":
        await self._timeout.__aenter__()
        if self._delay_s is not None:
            self._schedule(max(0.0, self._delay_s))
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()
        await self._timeout.__aexit__(error_type, error, traceback)

    def expired(self) -> bool:
        """Whether the time was up, or :meth:`expire` was called, before the block ended."""
        return self._timeout.expired()

    def expire(self) -> None:
        """End the block now."""
        if not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._due_s = loop.time() + delay_s
        self._handle = loop.call_at(self._due_s, self._check)

    def _check(self) -> None:
        late_s = asyncio.get_running_loop().time() - self._due_s
        is_read = self._extended_s > 0 and late_s <= MAX_TIMER_DELAY_S
        if not is_read and self._extended_s < MAX_READ_GRACE_S:
            self._extended_s += READ_GRACE_S + late_s
            self._schedule(READ_GRACE_S)
        elif self._may_expire():
            self.expire()
        else:
            self._schedule(RECHECK_INTERVAL_S)
