"""Timeout that does not expire before the event loop has read what has arrived."""

import asyncio
from collections.abc import Callable
from types import TracebackType

# After a stall of the event loop, a timer that was due meanwhile runs before the tasks that the
# data received meanwhile wakes. Within this time, they run.
READ_GRACE_S = 0.03
# A timer that is later than this shows that the loop was stalled again.
MAX_TIMER_DELAY_S = 0.02
# Limit on the extensions, for a loop that is always late.
MAX_EXTENSIONS = 2
# Interval at which a block that may not end yet is looked at again.
RECHECK_INTERVAL_S = 0.2


def _always() -> bool:
    return True


class ReadTimeout:
    """Asynchronous context manager that raises :class:`TimeoutError` when its time is up.

    :param delay_s: time in seconds, None for no limit.
    :param may_expire: asked when the time is up; while it returns False, the block goes on.
    :param is_deadline: whether the time is up at that moment, whatever has arrived.
    """

    __slots__ = (
        "_cancelling",
        "_delay_s",
        "_due_s",
        "_extensions",
        "_handle",
        "_has_expired",
        "_may_expire",
        "_task",
    )

    def __init__(
        self,
        delay_s: float | None,
        may_expire: Callable[[], bool] = _always,
        is_deadline: bool = False,
    ) -> None:
        self._delay_s = delay_s
        self._may_expire = may_expire
        self._task: asyncio.Task[object] | None = None
        self._cancelling = 0
        self._handle: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._extensions = MAX_EXTENSIONS if is_deadline else 0
        self._has_expired = False

    async def __aenter__(self) -> "ReadTimeout":
        self._task = asyncio.current_task()
        assert self._task is not None
        self._cancelling = self._task.cancelling()
        if self._delay_s is not None:
            self._schedule(max(0.0, self._delay_s))
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        task, self._task = self._task, None
        if self._handle is not None:
            self._handle.cancel()
        if not self._has_expired or task is None:
            return
        if task.uncancel() <= self._cancelling and error_type is asyncio.CancelledError:
            raise TimeoutError from error

    def expired(self) -> bool:
        """Whether the time was up, or :meth:`expire` was called, before the block ended."""
        return self._has_expired

    def expire(self) -> None:
        """End the block; without effect once it has ended, or from within it.

        Nothing runs in the block any more, so that what the caller has just checked still holds.
        """
        task = self._task
        if task is None or self._has_expired or task is asyncio.current_task():
            return
        self._has_expired = True
        task.cancel()

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._due_s = loop.time() + delay_s
        self._handle = loop.call_at(self._due_s, self._check)

    def _check(self) -> None:
        is_late = asyncio.get_running_loop().time() - self._due_s > MAX_TIMER_DELAY_S
        if self._extensions < MAX_EXTENSIONS and (is_late or not self._extensions):
            self._extensions += 1
            self._schedule(READ_GRACE_S)
        elif self._may_expire():
            self.expire()
        else:
            self._schedule(RECHECK_INTERVAL_S)
