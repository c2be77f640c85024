"""Which router issues the permits of a limited target."""

from collections.abc import Collection, Mapping

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.permitmessages import TargetKey
from coltsfootfront.direct.registration import RouterEntry

log = logbook.Logger(__name__)

# Time for which a router that did not answer is not asked.
SUSPICION_S = 3.0
# Targets whose order of routers is kept.
MAX_ORDERS = 2048


class Issuers:
    """Order of the routers in which they issue the permits of each target.

    All routers derive the same order from the registered routers by rendezvous hashing; routers
    near the target come first. A suspected router is passed over for a while.

    :param clock: time source.
    :param regions: region of each data centre.
    :param own_address: address of this router.
    """

    __slots__ = ("_clock", "_orders", "_own_address", "_regions", "_routers", "_suspected_until_s")

    def __init__(self, clock: Clock, regions: dict[str, str], own_address: str) -> None:
        self._clock = clock
        self._regions = regions
        self._own_address = own_address
        self._routers: Mapping[str, RouterEntry] = {}
        self._orders: dict[TargetKey, list[str]] = {}
        self._suspected_until_s: dict[str, float] = {}

    def set_routers(self, routers: Mapping[str, RouterEntry]) -> bool:
        """Set the registered routers, by address.

        :returns: whether they have changed.
        """
        if routers == self._routers:
            return False
        self._routers = routers
        self._orders.clear()
        return True

    def first(self, key: TargetKey, skipped: Collection[str] = ()) -> str:
        """First router that is not suspected; if all are, the first one.

        :param skipped: routers that are not considered.
        """
        order = [router for router in self.order(key) if router not in skipped]
        unsuspected = (router for router in order if not self.is_suspected(router))
        return next(unsuspected, order[0] if order else self._own_address)

    def order(self, key: TargetKey) -> list[str]:
        """All routers in their order for a target."""
        order = self._orders.get(key)
        if order is None:
            order = rank(f"{key.name}/{key.started_ms}".encode(), self._routers)
            # The sort is stable and keeps the rendezvous order among equally near routers.
            order.sort(key=lambda router: self._distance(router, key.data_centre))
            self._orders[key] = order
            if len(self._orders) > MAX_ORDERS:
                del self._orders[next(iter(self._orders))]
        return order

    def suspect(self, router: str, for_s: float, by: str) -> bool:
        """Suspect a router for some time.

        :param by: who found it silent, for the log.
        :returns: whether it was not suspected before.
        """
        is_new = not self.is_suspected(router)
        until_s = self._clock.monotonic_s() + min(for_s, SUSPICION_S)
        self._suspected_until_s[router] = max(until_s, self._suspected_until_s.get(router, 0.0))
        if is_new:
            metrics.CONNECTION_EVENTS.inc({"event": "issuer_suspected"})
            log.info(event("permit_issuer_suspected", router=router, by=by))
        return is_new

    def is_suspected(self, router: str) -> bool:
        """Whether a router is suspected now."""
        until_s = self._suspected_until_s.get(router)
        if until_s is None:
            return False
        if self._clock.monotonic_s() >= until_s:
            del self._suspected_until_s[router]
            return False
        return True

    def suspicions(self) -> dict[str, float]:
        """Suspected routers, with the time in seconds for which they still are."""
        now_s = self._clock.monotonic_s()
        return {
            router: until_s - now_s
            for router, until_s in list(self._suspected_until_s.items())
            if self.is_suspected(router)
        }

    def _distance(self, router: str, data_centre: str) -> int:
        entry = self._routers[router]
        if entry.data_centre == data_centre:
            return 0
        return 1 if entry.region == self._regions.get(data_centre) else 2
