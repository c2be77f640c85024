"""Options of outgoing connections, so that peers that fall silent are noticed."""

import socket

from aiohappyeyeballs import AddrInfoType

# Time after which unacknowledged data or unanswered keep-alive probes end a connection.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def create_socket(address: AddrInfoType) -> socket.socket:
    """Create a socket that notices a silent peer within about three seconds."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made
