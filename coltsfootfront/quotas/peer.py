"""What a router knows of the process of one peer."""

import math

# Former processes of a peer of which reports may still be under way.
MAX_FORMER = 4
# Rate at which the offset between the clocks of two processes may grow unnoticed. Far more than
# clocks drift, and too little to matter for a pause of some seconds.
OFFSET_DRIFT = 1e-3
# Reports that come this late for this long are not left over from a pause of this process. The
# peer's clock stood still while its machine was suspended.
LATE_S = 1.0
LATE_FOR_S = 2.0
# Time within which a peer that misses many routers has named each of them once more.
NAMED_FOR_S = 3.0


class Peer:
    """Process of one peer.

    :param incarnation: tells it from other processes at its address.
    :param now_s: monotonic time at which it is first heard.
    :param former: earlier processes.
    """

    __slots__ = (
        "_late_since_s",
        "_named_s",
        "_offset_s",
        "_received_s",
        "former",
        "heard_since_s",
        "incarnation",
        "uptime_s",
    )

    def __init__(self, incarnation: int, now_s: float, former: tuple[int, ...] = ()) -> None:
        self.incarnation = incarnation
        self.heard_since_s = now_s
        """Since when it is heard without having been silent."""
        self.former = former
        self.uptime_s = 0.0
        """Uptime of the process in its latest report."""
        self._named_s = -math.inf
        """When it has named this router as missing; negative infinity if it hears it."""
        self._offset_s: float | None = None
        self._received_s = 0.0
        self._late_since_s: float | None = None

    def successor(self, incarnation: int, now_s: float) -> "Peer":
        """Return the process that follows this one."""
        return Peer(incarnation, now_s, (self.incarnation, *self.former)[:MAX_FORMER])

    def record_reception(self, is_named: bool, is_complete: bool, now_s: float) -> None:
        """Record whether a report names this router as missing.

        :param is_complete: the report names all that are missing, not some of many.
        """
        if is_named:
            self._named_s = now_s
        elif is_complete:
            self._named_s = -math.inf

    def is_receiving(self, now_s: float) -> bool:
        """Whether the peer has lately received the reports of this router."""
        return now_s - self._named_s > NAMED_FOR_S

    def sent_s(self, uptime_s: float, now_s: float) -> float:
        """Return about when a report was sent, on the clock of this router.

        A process that was paused finds the reports of that time waiting. They say nothing about
        the present. The report that took the least time shows how the two clocks differ.

        :param uptime_s: uptime of the peer when it sent the report.
        :param now_s: monotonic time at which it is read.
        """
        offset_s = now_s - uptime_s
        if self._offset_s is None:
            self._offset_s, self._received_s = offset_s, now_s
        drift_s = OFFSET_DRIFT * (now_s - self._received_s)
        self._received_s = now_s
        self._offset_s = min(self._offset_s + drift_s, offset_s)
        if offset_s - self._offset_s <= LATE_S:
            self._late_since_s = None
        elif self._late_since_s is None:
            self._late_since_s = now_s
        elif now_s - self._late_since_s > LATE_FOR_S:
            self._offset_s, self._late_since_s = offset_s, None
        return self._offset_s + uptime_s
