"""Port allocation for the processes of a fleet."""

import random
import socket

# Below the kernel's range of ephemeral ports, so that no outgoing connection takes the port of a
# process while it restarts.
FIRST_PORT = 20_000
LAST_PORT = 32_000


class PortReservations:
    """Reserves ports against other fleets on the same machine.

    Each port stays bound, without listening, until :meth:`close`. Without the reservation, fleets
    that start at the same time choose the same free ports.
    """

    def __init__(self) -> None:
        ports = list(range(FIRST_PORT, LAST_PORT))
        start = random.randrange(len(ports))
        self._candidates = iter(ports[start:] + ports[:start])
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserve one port.

        :raises OSError: if no port is free.
        """
        for port in self._candidates:
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            # Set only after binding, so that the bind is exclusive. Servers set it before they bind
            # and can therefore listen on the reserved port.
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sockets.append(reservation)
            return port
        raise OSError("no free port is left")

    def close(self) -> None:
        """Release all ports."""
        for reservation in self._sockets:
            reservation.close()
        self._sockets.clear()
