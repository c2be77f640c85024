"""Bounds what a router holds for callers that don't read their responses.

The load: callers that stop reading, or read slowly, while targets go on sending. Without bounds,
one such caller was seen to take 6.3 MB of buffers, and a response that had been written to its end
was kept for as long as its caller held the connection open.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.sockets import count_unsent_bytes

# Buffer of a caller's socket, which the kernel doubles. Callers are a few milliseconds away, and a
# link of 100 Mbit/s has 75 kB under way within 6 ms.
SEND_BUFFER_BYTES = 131_072
CHECK_INTERVAL_S = 1.0
# Limits the log when many callers stop reading at once.
MAX_LOGGED_PER_CHECK = 3
# Offset of tcpi_bytes_acked in Linux's struct tcp_info.
ACKNOWLEDGED_OFFSET_BYTES = 120
TCP_INFO_BYTES = 256
COUNTER = struct.Struct("Q")

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


class UnreadResponses:
    """Ends connections whose callers take nothing of a response for too long.

    :param list_connections: transports of the callers' connections.
    :param limit_s: returns the time without progress after which a connection is ended.
    """

    def __init__(
        self,
        clock: Clock,
        list_connections: Callable[[], Iterable[asyncio.Transport]],
        limit_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._list_connections = list_connections
        self._limit_s = limit_s
        self._progress: dict[asyncio.Transport, tuple[int, float]] = {}
        """Of each connection with unread bytes: what its caller has taken, and since when."""

    async def run(self) -> None:
        """Run the loop that checks the connections."""
        while True:
            await self._clock.sleep(min(CHECK_INTERVAL_S, self._limit_s() / 2))
            self.check()

    def check(self) -> None:
        """End the connections whose callers have taken nothing for the time limit."""
        now_s = self._clock.monotonic_s()
        ended = []
        progress = {}
        for connection in self._list_connections():
            unread_bytes = count_unsent_bytes(connection)
            taken_bytes = count_acknowledged_bytes(connection) if unread_bytes else None
            if taken_bytes is None:
                continue
            before_bytes, since_s = self._progress.get(connection, (-1, now_s))
            if taken_bytes != before_bytes:
                since_s = now_s
            progress[connection] = (taken_bytes, since_s)
            if now_s - since_s >= self._limit_s():
                ended.append((connection, unread_bytes))
        self._progress = progress
        for number, (connection, unread_bytes) in enumerate(ended):
            del self._progress[connection]
            metrics.CONNECTION_EVENTS.inc({"event": "caller_not_reading"})
            if number < MAX_LOGGED_PER_CHECK:
                log.warning(
                    event(
                        "caller_not_reading",
                        unread_bytes=unread_bytes,
                        limit_s=self._limit_s(),
                        others=len(ended) - 1,
                    )
                )
            connection.abort()
