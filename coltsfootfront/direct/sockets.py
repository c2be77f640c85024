"""TCP options of connections, and what waits in them."""

import asyncio
import fcntl
import socket
import struct
import termios

from aiohappyeyeballs import AddrInfoType

# Time after which unacknowledged data or unanswered keep-alive probes close a connection.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
INTEGER = struct.Struct("i")
# On, for 0 s: closing the socket sends a reset.
LINGER_NONE = struct.pack("ii", 1, 0)


def create_socket(address: AddrInfoType) -> socket.socket:
    """Create a TCP socket that detects an unresponsive peer within about three seconds."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return created


def count_unsent_bytes(connection: asyncio.Transport) -> int:
    """Count the bytes that were written to a connection and not acknowledged by its peer."""
    buffered_bytes = connection.get_write_buffer_size()
    connection_socket = connection.get_extra_info("socket")
    if connection_socket is None or connection_socket.fileno() < 0:
        return buffered_bytes
    # The peer's end of the connection acknowledges all that it has received.
    answer = fcntl.ioctl(connection_socket.fileno(), termios.TIOCOUTQ, b"\0" * INTEGER.size)
    queued_bytes: int = INTEGER.unpack(answer)[0]
    return buffered_bytes + queued_bytes


def reset(connection: asyncio.Transport) -> None:
    """End a connection at once, and discard what has been written to it and not sent."""
    connection_socket = connection.get_extra_info("socket")
    if connection_socket is not None and connection_socket.fileno() >= 0:
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    connection.abort()
