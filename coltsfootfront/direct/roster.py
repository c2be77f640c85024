"""Registered routers among which limits and budgets are shared."""

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.registration import RouterEntry

log = logbook.Logger(__name__)


class RouterRoster:
    """Routers that are registered, or were until recently.

    All entries may disappear at once, when their leases expire in an outage of the store, although
    the routers go on. A router that then counted itself alone would use the share of all.

    :param clock: time source.
    :param retention_s: longest time for which a router can count after its entry has disappeared.
    """

    __slots__ = ("_clock", "_removed_s", "_retention_s", "_routers")

    def __init__(self, clock: Clock, retention_s: float) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._routers: dict[str, RouterEntry] = {}
        self._removed_s: dict[str, float] = {}

    def put(self, name: str, router: RouterEntry) -> None:
        """Add or update a registered router."""
        self._routers[name] = router
        self._removed_s.pop(name, None)

    def remove(self, name: str) -> None:
        """Record that a router's entry has disappeared."""
        if name in self._routers:
            self._removed_s.setdefault(name, self._clock.monotonic_s())

    def current(self, grace_s: float) -> dict[str, RouterEntry]:
        """Routers that are registered or were within a grace period, by address."""
        now_s = self._clock.monotonic_s()
        for name, removed_s in list(self._removed_s.items()):
            if now_s - removed_s >= self._retention_s:
                del self._removed_s[name], self._routers[name]
                log.info(event("router_dropped", router=name, missing_s=now_s - removed_s))
        return {
            router.address: router
            for name, router in self._routers.items()
            if now_s - self._removed_s.get(name, now_s) < grace_s
        }
