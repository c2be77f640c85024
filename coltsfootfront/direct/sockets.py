"""TCP options of outgoing connections that detect unresponsive peers."""

import socket

from aiohappyeyeballs import AddrInfoType

# Time after which unacknowledged data or unanswered keep-alive probes close a connection.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


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
