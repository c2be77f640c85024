"""Ports for the processes of a fleet."""

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections, so that a process
# can be restarted with its address.
FIRST_PORT = 20_000
LAST_PORT = 32_000


class PortReservations:
    """Ports that no other fleet on this machine takes.

    Each port stays bound, without listening, for the life of the fleet. Fleets that started at
    the same moment otherwise chose the same free ports.
    """

    def __init__(self) -> None:
        ports = list(range(FIRST_PORT, LAST_PORT))
        start = random.randrange(len(ports))
        self._candidates = iter(ports[start:] + ports[:start])
        self._held: list[socket.socket] = []

    def take(self) -> int:
        """Reserve one port.

        :raises OSError: none is free.
        """
        for port in self._candidates:
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:
                holder.close()
                continue
            # Set after the exclusive bind: servers, which set it too, can then bind and listen.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._held.append(holder)
            return port
        raise OSError("no free port is left")

    def close(self) -> None:
        """Give all ports back."""
        for holder in self._held:
            holder.close()
        self._held.clear()
