"""Detects unreachable targets, which neither answer nor reset nor accept new connections.

An unreachable target gets requests again once it accepts a connection.

An overloaded target still answers some requests and accepts connections; an unreachable one does
neither. Only unreachable targets are ejected, since retrying the requests of an overloaded target
elsewhere would add to the load.
"""

import asyncio
import socket
from collections.abc import Callable

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.sockets import create_socket

log = logbook.Logger(__name__)

# A target with requests in flight that has sent nothing for this long is probed with a connection.
SILENCE_LIMIT_S = 0.5
# A connection to the other region opens within 50 ms.
CONNECT_TIMEOUT_S = 0.35
CHECK_INTERVAL_S = 0.1
# Interval at which an unreachable target is probed.
RECHECK_INTERVAL_S = 0.5


class LivenessWatch:
    """Probes targets that have stopped sending and ejects those that are unreachable.

    :param clock: time source.
    :param directory: targets.
    :param on_unreachable: called with a target that was just found unreachable.
    :param on_probe_failed: called with a target each time that it accepts no connection.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        on_unreachable: Callable[[Target], None],
        on_probe_failed: Callable[[Target], None],
    ) -> None:
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._on_probe_failed = on_probe_failed
        self._directory = directory
        self._probes: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Run the loop that probes targets, until cancelled."""
        try:
            while True:
                await self._clock.sleep(CHECK_INTERVAL_S)
                self._start_probes()
        finally:
            for task in self._probes.values():
                task.cancel()

    def confirm(self, target: Target) -> None:
        """Probe a target at once, as it has just lost a request."""
        task = self._probes.get(target.name)
        if task is None or task.done():
            self._probes[target.name] = asyncio.create_task(self._probe(target))

    def _start_probes(self) -> None:
        for name in [name for name, task in self._probes.items() if task.done()]:
            del self._probes[name]
        now_s = self._clock.monotonic_s()
        for target in self._directory.all():
            if target.name in self._probes:
                continue
            is_unresponsive = (
                bool(target.in_flight) and now_s - target.last_activity_s > SILENCE_LIMIT_S
            )
            is_recheck_due = (
                target.is_unreachable and now_s - target.last_activity_s > RECHECK_INTERVAL_S
            )
            # An unreachable target is probed at RECHECK_INTERVAL_S, also with requests in flight.
            is_unresponsive = is_unresponsive and not target.is_unreachable
            if is_unresponsive or is_recheck_due:
                self._probes[target.name] = asyncio.create_task(self._probe(target))

    async def _probe(self, target: Target) -> None:
        host, _, port = target.entry.address.rpartition(":")
        loop = asyncio.get_running_loop()
        address = (host, int(port))
        began_s = self._clock.monotonic_s()
        silent_s = began_s - target.last_activity_s
        address_info = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)
        connection = create_socket(address_info)
        try:
            async with ReadTimeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(connection, address)
            target.record_heard(self._clock.monotonic_s())
            if target.is_unreachable:
                target.is_unreachable = False
                log.info(event("target_back", target=target.name, silent_s=silent_s))
                self._directory.notify()
        except (OSError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and target.last_heard_s >= began_s:
                return
            self._on_probe_failed(target)
            if target.is_unreachable:
                target.move_exchanges(self._clock.monotonic_s())
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
            target.eject(self._clock.monotonic_s())
            self._on_unreachable(target)
        finally:
            connection.close()
