"""One connection, and what the account of memory knows of it."""

import enum
import math
from collections.abc import Callable

# In a shortage, a connection without progress for this time is closed for others.
STALL_S = 1.0


class Phase(enum.Enum):
    """What a connection is doing."""

    NEW = "new"
    """Nothing of its first request has been read yet."""
    IDLE = "idle"
    """Its last request has ended."""
    RECEIVING = "receiving"
    """The head or the body of a request is incomplete, or discarded."""
    SERVING = "serving"
    WRITING = "writing"
    """The response is not read, or further requests wait behind the one that is served."""


class Holder:
    """One connection, and what it holds.

    :param address: address of the other side, without its port.
    :param close: closes the connection at once; called with the reason.
    """

    __slots__ = (
        "_close",
        "address",
        "began_s",
        "closing_bytes",
        "closing_descriptors",
        "customer",
        "descriptors",
        "held_bytes",
        "is_open",
        "phase",
        "progress_s",
        "received_bytes",
    )

    def __init__(self, address: str, close: Callable[[str], None], now_s: float) -> None:
        self.address = address
        self.customer = ""
        self.held_bytes = 0
        self.descriptors = 0
        self.phase = Phase.NEW
        self.began_s = now_s
        """Time at which the request began to arrive."""
        self.progress_s = now_s
        """Time of the last byte that was received or read, or of the last change of the phase."""
        self.received_bytes = 0
        """Bytes of the request that have arrived."""
        self.is_open = True
        self.closing_bytes = 0
        """What it held when it was closed for others, until its connection has ended."""
        self.closing_descriptors = 0
        """The same of its descriptors."""
        self._close = close

    def enter(self, phase: Phase, now_s: float) -> None:
        """Record what the connection does from now on."""
        if phase is not self.phase:
            if phase is Phase.RECEIVING:
                self.began_s, self.received_bytes = now_s, 0
            self.phase = phase
            self.progress_s = now_s

    def close(self, reason: str) -> None:
        """Close the connection."""
        self.is_open = False
        self._close(reason)

    def rate(self, now_s: float) -> float:
        """Bytes per second at which its request has arrived, infinite at its beginning."""
        passed_s = now_s - self.began_s
        return self.received_bytes / passed_s if passed_s >= STALL_S else math.inf
