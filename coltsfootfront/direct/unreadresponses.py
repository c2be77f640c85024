"""Bounds what a router holds for callers that don't read their responses.

The load: callers that stop reading, or read slowly, while targets go on sending. Without bounds,
one such caller was seen to take 6.3 MB of buffers, and a response that had been written to its end
was kept for as long as its caller held the connection open.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import Generic, TypeVar

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.sockets import count_unsent_bytes

# Buffer of a caller's socket, which the kernel doubles. Callers are a few milliseconds away, and a
# link of 100 Mbit/s has 75 kB under way within 6 ms.
SEND_BUFFER_BYTES = 131_072
CHECK_INTERVAL_S = 1.0
# A shorter limit would end connections whose callers are only delayed by a lost packet.
MIN_LIMIT_S = 0.5
# Limits the log when many callers stop reading at once.
MAX_LOGGED_PER_CHECK = 3
# Offset of tcpi_bytes_acked in Linux's struct tcp_info.
ACKNOWLEDGED_OFFSET_BYTES = 120
TCP_INFO_BYTES = 256
COUNTER = struct.Struct("Q")

ConnectionT = TypeVar("ConnectionT", bound=Hashable)

log = logbook.Logger(__name__)


def limit_send_buffer(transport: asyncio.BaseTransport) -> None:
    """Bound what the kernel holds for a caller; by itself it takes up to 4 MB."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None:
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def count_acknowledged_bytes(transport: asyncio.Transport) -> int | None:
    """Count the bytes that the other end of a connection has taken, None if that is unknown."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is None or connection_socket.fileno() < 0:
        return None
    info = connection_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < ACKNOWLEDGED_OFFSET_BYTES + COUNTER.size:
        return None
    count: int = COUNTER.unpack_from(info, ACKNOWLEDGED_OFFSET_BYTES)[0]
    return count


class Progress(Generic[ConnectionT]):
    """Finds the connections whose callers take nothing of what waits for them."""

    __slots__ = ("_taken",)

    def __init__(self) -> None:
        self._taken: dict[ConnectionT, tuple[int, float]] = {}
        """Of each connection with unread bytes: what its caller has taken, and since when."""

    def find_stalled(
        self, taken_bytes: Mapping[ConnectionT, int], now_s: float, limit_s: float
    ) -> list[ConnectionT]:
        """Compare the connections with what they were.

        :param taken_bytes: what the caller of each connection with unread bytes has taken so far.
        :param limit_s: time without progress from which a connection is stalled.
        """
        before, self._taken = self._taken, {}
        stalled = []
        for connection, taken in taken_bytes.items():
            taken_before, since_s = before.get(connection, (taken, now_s))
            if taken != taken_before:
                since_s = now_s
            if now_s - since_s >= limit_s:
                stalled.append(connection)
            else:
                self._taken[connection] = (taken, since_s)
        return stalled


class UnreadResponses:
    """Ends connections whose callers take nothing of a response for too long.

    :param list_connections: transports of the callers' connections.
    :param get_limit_s: returns the time without progress after which a connection is ended.
    """

    def __init__(
        self,
        clock: Clock,
        list_connections: Callable[[], Iterable[asyncio.Transport]],
        get_limit_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._list_connections = list_connections
        self._get_limit_s = get_limit_s
        self._progress: Progress[asyncio.Transport] = Progress()

    async def run(self) -> None:
        """Run the loop that checks the connections."""
        while True:
            await self._clock.sleep(min(CHECK_INTERVAL_S, self._limit_s() / 2))
            self._check()

    def _limit_s(self) -> float:
        return max(MIN_LIMIT_S, self._get_limit_s())

    def _check(self) -> None:
        unread_bytes: dict[asyncio.Transport, int] = {}
        taken_bytes: dict[asyncio.Transport, int] = {}
        for connection in self._list_connections():
            unread = count_unsent_bytes(connection)
            taken = count_acknowledged_bytes(connection) if unread else None
            if taken is not None:
                unread_bytes[connection], taken_bytes[connection] = unread, taken
        limit_s = self._limit_s()
        stalled = self._progress.find_stalled(taken_bytes, self._clock.monotonic_s(), limit_s)
        for number, connection in enumerate(stalled):
            metrics.CONNECTION_EVENTS.inc({"event": "caller_not_reading"})
            if number < MAX_LOGGED_PER_CHECK:
                log.warning(
                    event(
                        "caller_not_reading",
                        unread_bytes=unread_bytes[connection],
                        limit_s=limit_s,
                        others=len(stalled) - 1,
                    )
                )
            connection.abort()
