"""Which peers a router hears, and whether they hear it."""

from coltsfootfront.quotas.peer import Peer
from coltsfootfront.quotas.usage import UsageReport

# A peer that has reported nothing for this long counts as silent.
SILENT_AFTER_S = 1.0
# A peer that has been heard for this long has reported all its recent use.
FAMILIAR_AFTER_S = 1.5
# Routers that one report names as missing, and the share of the peers that have to name a router.
# One peer alone may have lost its own link; it learns from the levels of the others.
MAX_MISSING_NAMED = 32
MISSING_SHARE = 0.25
MIN_MISSING = 2
# Time for which some router counts as missed after a report has named one.
MISSED_FOR_S = 3.0


class Reachability:
    """Reports that arrive from the peers, or do not.

    :param address: address of this router.
    :param now_s: monotonic time.
    """

    __slots__ = (
        "_address",
        "_known_since_s",
        "_missed_s",
        "_next_named",
        "_peers",
        "heard_s",
        "silent",
    )

    def __init__(self, address: str, now_s: float) -> None:
        self._address = address
        self._peers: dict[str, Peer] = {}
        self._known_since_s: dict[str, float] = {}
        """When each peer was last heard; one that never was, when it has become known."""
        self.heard_s: dict[str, float] = {}
        """When each peer that is not silent was last heard."""
        self.silent: dict[str, float] = {}
        """When each silent peer was last heard."""
        self._missed_s = now_s - MISSED_FOR_S
        self._next_named = 0
        """Position of the first peer to be named, if too many are missing for one report."""

    @property
    def peer_count(self) -> int:
        """Number of peers, heard or not."""
        return len(self._known_since_s)

    def set_peers(self, peers: set[str], now_s: float) -> bool:
        """Set the addresses of the peers; return whether they have changed."""
        if peers == self._known_since_s.keys():
            return False
        for address in self._known_since_s.keys() - peers:
            del self._known_since_s[address]
            self._peers.pop(address, None)
            self.heard_s.pop(address, None)
            self.silent.pop(address, None)
        for address in peers - self._known_since_s.keys():
            self._known_since_s[address] = now_s
        return True

    def resume(self, now_s: float) -> None:
        """Begin to listen anew, after a pause of this process."""
        self.heard_s.clear()
        self.silent = {}
        self._known_since_s = dict.fromkeys(self._known_since_s, now_s)

    def receive(self, report: UsageReport, now_s: float) -> tuple[float, bool] | None:
        """Record a report.

        :returns: when it was sent, and whether its router has been heard for long; None if it says
            nothing about the present.
        """
        if report.router not in self._known_since_s:
            return None
        peer = self._peers.get(report.router)
        if peer is None:
            peer = self._peers[report.router] = Peer(report.incarnation, now_s)
        elif report.incarnation in peer.former:
            return None
        elif peer.incarnation != report.incarnation:
            peer = self._peers[report.router] = peer.successor(report.incarnation, now_s)
        sent_s = peer.sent_s(report.uptime_s, now_s)
        if now_s - sent_s > SILENT_AFTER_S:
            # Left over from a pause; the totals of the next report contain its own.
            return None
        if report.router not in self.heard_s:
            peer.heard_since_s = now_s
        self.heard_s[report.router] = max(sent_s, self.heard_s.get(report.router, sent_s))
        self._known_since_s[report.router] = max(sent_s, self._known_since_s[report.router])
        if report.uptime_s >= peer.uptime_s:
            peer.uptime_s = report.uptime_s
            if report.missing:
                self._missed_s = now_s
            is_complete = len(report.missing) < MAX_MISSING_NAMED
            peer.record_reception(self._address in report.missing, is_complete, now_s)
        return sent_s, now_s - peer.heard_since_s > FAMILIAR_AFTER_S

    def update_silent(self, now_s: float) -> bool:
        """Find out which peers are silent; return whether these have changed."""
        before = self.silent.keys()
        self.silent = {
            address: heard_s
            for address, heard_s in self._known_since_s.items()
            if now_s - heard_s > SILENT_AFTER_S
        }
        for address in self.silent:
            self.heard_s.pop(address, None)
        return self.silent.keys() != before

    def is_cut_off(self, now_s: float) -> bool:
        """Whether this router has to keep to what its peers take it to admit."""
        # Also right after a pause of the process, before any message is read.
        heard = [
            address
            for address, heard_s in self.heard_s.items()
            if now_s - heard_s <= SILENT_AFTER_S
        ]
        if 2 * len(heard) < len(self._known_since_s):
            return True
        missing = sum(not self._peers[address].is_receiving(now_s) for address in heard)
        return missing >= MIN_MISSING and missing > MISSING_SHARE * len(heard)

    def is_any_missed(self, now_s: float) -> bool:
        """Whether some router has lately not heard another."""
        return bool(self.silent) or now_s - self._missed_s < MISSED_FOR_S

    def name_missing(self) -> tuple[str, ...]:
        """Return the peers whose reports are missing, by turns if there are many."""
        names = sorted(self.silent)
        if len(names) <= MAX_MISSING_NAMED:
            return tuple(names)
        first = self._next_named % len(names)
        self._next_named = first + MAX_MISSING_NAMED
        return tuple((names[first:] + names[:first])[:MAX_MISSING_NAMED])
