"""Finds targets that have fallen silent: no reset, no answer, and no new connection either.

A dark target gets requests again when it takes connections.

An overloaded target still answers some requests and takes connections; a target that is dark
does neither. Only the latter is cut off, since sending the work of an overloaded target again
elsewhere would add to the load.
"""

import asyncio
import socket
from collections.abc import Callable

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.sockets import create_socket

log = logbook.Logger(__name__)

# A target that owes answers and has sent nothing for this long is asked for a connection.
SILENT_S = 0.5
# A connection to the other region opens within 50 ms.
CONNECT_TIMEOUT_S = 0.35
CHECK_INTERVAL_S = 0.1
# Interval at which a dark target is asked for a connection.
RECHECK_S = 0.5


class LivenessWatch:
    """Checks silent targets and cuts off those that are dark.

    :param clock: time source.
    :param directory: targets.
    :param on_dark: called with a target that was just found dark.
    """

    def __init__(
        self, clock: Clock, directory: Directory, on_dark: Callable[[Target], None]
    ) -> None:
        self._clock = clock
        self._on_dark = on_dark
        self._directory = directory
        self._checks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Check silent targets, for ever."""
        try:
            while True:
                await self._clock.sleep(CHECK_INTERVAL_S)
                self._start_checks()
        finally:
            for task in self._checks.values():
                task.cancel()

    def _start_checks(self) -> None:
        for name in [name for name, task in self._checks.items() if task.done()]:
            del self._checks[name]
        now_s = self._clock.monotonic_s()
        for target in self._directory.all():
            if target.name in self._checks:
                continue
            is_silent = bool(target.in_flight) and now_s - target.last_activity_s > SILENT_S
            is_due = target.is_unreachable and now_s - target.last_activity_s > RECHECK_S
            # A dark target that owes answers is asked at the same interval.
            is_silent = is_silent and not target.is_unreachable
            if is_silent or is_due:
                self._checks[target.name] = asyncio.create_task(self._check(target))

    async def _check(self, target: Target) -> None:
        host, _, port = target.entry.address.rpartition(":")
        loop = asyncio.get_running_loop()
        address = (host, int(port))
        silent_s = self._clock.monotonic_s() - target.last_activity_s
        kind = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)
        probe = create_socket(kind)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(probe, address)
            target.last_activity_s = self._clock.monotonic_s()
            if target.is_unreachable:
                target.is_unreachable = False
                log.info(event("target_back", target=target.name, silent_s=silent_s))
                self._directory.notify()
        except (OSError, TimeoutError) as error:
            if target.is_unreachable:
                target.give_up_exchanges(self._clock.monotonic_s())
                return
            log.warning(
                event(
                    "target_dark",
                    target=target.name,
                    silent_s=silent_s,
                    in_flight=target.in_flight,
                    reason=repr(error),
                )
            )
            target.cut_off(self._clock.monotonic_s())
            self._on_dark(target)
        finally:
            probe.close()
