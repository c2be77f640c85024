"""Targets that may be used, and what this router knows of each."""

import asyncio
import math
from collections import OrderedDict
from dataclasses import dataclass, field

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.backlog import Backlog

log = logbook.Logger(__name__)

# An entry that vanished is back within two seconds if the target lives; after that it is gone.
MISSING_S = 2.0
# A load that a target reported counts in full for this long, about the time between two reports
# of a target in use, and then loses half of its weight in each further interval.
LOAD_AGE_S = 0.2
LOAD_HALF_S = 1.5
# Weight of the latest result in the running share of failures.
FAILURE_SMOOTHING = 0.25
# Share of failures from which a target is only used when no other is left.
FAILURE_LIMIT = 0.45
# Failures in a row without an answer that suspend a target at once, and for how long.
SILENT_LIMIT = 2
FIRST_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
# A target that turned a request away, as it was full or loaded weights that this router had not
# heard of, is passed over for about as long as a load takes.
REJECTION_COOLDOWN_S = 0.3
# Time in which the share of failures halves when the target gets no requests.
FORGET_S = 2.0
PRUNE_INTERVAL_S = 0.2
# Targets that have left and are remembered, in case an older entry of one of them comes back.
MAX_LEFT = 1024


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a target says of itself.

    :param name: identifies one start of the target, except that a restart may keep it.
    :param address: host and port.
    :param is_draining: the target takes no new work.
    :param versions: version of the weights of each model.
    :param started_ms: Unix time of the target's start in milliseconds, 0 when not said.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    versions: dict[str, int] = field(default_factory=dict)
    started_ms: int = 0


@dataclass(slots=True, eq=False)
class Target:
    """A target and what this router has seen of it.

    :param in_flight: requests of this router that the target has not answered yet.
    :param missing_since_s: when its entry vanished, None while it is there.
    :param loading_until_s: until when it is expected to load weights.
    """

    entry: TargetEntry
    region: str
    in_flight: int = 0
    missing_since_s: float | None = None
    loading_until_s: float = 0.0
    backlog: Backlog = field(default_factory=Backlog)
    versions: dict[str, int] = field(default_factory=dict)
    ordered_versions: dict[str, int] = field(default_factory=dict)
    """Versions that it has been ordered to take."""
    is_unreachable: bool = False
    """It takes no connections."""
    failure_rate: float = 0.0
    silent_failures: int = 0
    suspended_until_s: float = 0.0
    suspension_s: float = FIRST_SUSPENSION_S
    result_s: float = 0.0
    reported_load: int = 0
    reported_own: int = 0
    reported_s: float = -math.inf
    last_activity_s: float = 0.0
    """When it sent something last, or got its first request after a pause."""
    exchange_timeouts: set[asyncio.Timeout] = field(default_factory=set)
    """Limits of the exchanges that may be given up when the target is dark."""
    is_replaced: bool = False
    """Another target answers at this address."""
    has_said_leaving: bool = False
    """One of its answers said that it leaves; an older entry in the store does not undo this."""
    paused_until_s: float = 0.0
    """Until when it wants no requests from this router."""
    rejecting_until_s: float = 0.0
    """Until when it is expected to turn requests away, since it has just turned one away."""

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.entry.name

    def load(self, now_s: float) -> int:
        """Requests that the target is estimated to have, from all routers."""
        age_s = max(0.0, now_s - self.reported_s - LOAD_AGE_S)
        others = max(0, self.reported_load - self.reported_own)
        weight: float = 0.5 ** (age_s / LOAD_HALF_S)
        return self.in_flight + round(others * weight)

    def record_load(self, total: int, now_s: float) -> None:
        """Take over the load that the target reported with an answer."""
        self.reported_load = total
        self.reported_own = self.in_flight
        self.reported_s = now_s

    def wait_s(self, priority: int, now_s: float) -> float:
        """Estimated time until it can begin to read another prompt of a priority."""
        return max(self.loading_until_s - now_s, self.backlog.wait_s(priority, now_s))

    def is_loading(self, now_s: float) -> bool:
        """Whether the target is expected to refuse requests while it loads weights."""
        return now_s < self.loading_until_s

    def is_healthy(self, now_s: float) -> bool:
        """Whether requests to this target have mostly been answered lately."""
        if self.is_unreachable or now_s < max(self.suspended_until_s, self.rejecting_until_s):
            return False
        age_s = now_s - self.result_s
        forgotten: float = 0.5 ** (age_s / FORGET_S)
        return self.failure_rate * forgotten < FAILURE_LIMIT

    def is_usable(self) -> bool:
        """Whether the target may get requests at all."""
        return not (self.entry.is_draining or self.has_said_leaving or self.is_replaced)

    def is_paused(self, now_s: float) -> bool:
        """Whether the target has turned a request away and wants none from this router yet."""
        return now_s < self.paused_until_s

    def pause(self, for_s: float, now_s: float) -> None:
        """Note that the target wants no requests for some time."""
        self.paused_until_s = max(self.paused_until_s, now_s + for_s)

    def record_rejection(self, now_s: float) -> None:
        """Note a request that the target turned away."""
        self.rejecting_until_s = now_s + REJECTION_COOLDOWN_S

    def record_success(self, now_s: float) -> None:
        """Note a request that the target answered."""
        self.is_unreachable = False
        self.rejecting_until_s = 0.0
        self.failure_rate *= 1 - FAILURE_SMOOTHING
        self.silent_failures = 0
        self.suspension_s = FIRST_SUSPENSION_S
        self.result_s = now_s

    def cut_off(self, now_s: float) -> None:
        """Give up the exchanges with a dark target that may go elsewhere, and suspend it."""
        self.mark_unreachable(now_s)
        self.give_up_exchanges(now_s)

    def mark_unreachable(self, now_s: float) -> None:
        """Note that the target takes no connections, and suspend it."""
        if not self.is_unreachable:
            self.silent_failures = SILENT_LIMIT - 1
        self.record_failure(now_s, is_unanswered=True)

    def give_up_exchanges(self, now_s: float) -> None:
        """End the exchanges that may go elsewhere."""
        self.last_activity_s = now_s
        for limit in self.exchange_timeouts:
            limit.reschedule(asyncio.get_running_loop().time())
        self.exchange_timeouts.clear()

    def record_failure(self, now_s: float, is_unanswered: bool) -> None:
        """Note a request that failed at the target.

        :param is_unanswered: it could not be reached, or did not answer.
        """
        self.failure_rate += (1 - self.failure_rate) * FAILURE_SMOOTHING
        self.result_s = now_s
        if not is_unanswered:
            return
        self.silent_failures += 1
        if self.silent_failures >= SILENT_LIMIT:
            self.is_unreachable = True
        if self.silent_failures >= SILENT_LIMIT and now_s >= self.suspended_until_s:
            self.suspended_until_s = now_s + self.suspension_s
            self.suspension_s = min(MAX_SUSPENSION_S, self.suspension_s * 2)
            metrics.CONNECTION_EVENTS.inc({"event": "target_suspended"})
            log.warning(
                event(
                    "target_suspended",
                    target=self.name,
                    failures=self.silent_failures,
                    for_s=self.suspended_until_s - now_s,
                )
            )


class Directory:
    """Targets by name.

    :param clock: time source.
    :param regions: region of each data centre.
    """

    def __init__(self, clock: Clock, regions: dict[str, str]) -> None:
        self._clock = clock
        self._regions = regions
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._left: OrderedDict[tuple[str, int], None] = OrderedDict()
        """Names and starts of targets that have said that they leave."""
        self._changed = asyncio.Event()

    def get(self, name: str) -> Target | None:
        """Target of a name."""
        return self._targets.get(name)

    def of_service(self, service: str) -> list[Target]:
        """Targets of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def all(self) -> list[Target]:
        """Every target."""
        return list(self._targets.values())

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait until a target may be usable that was not before.

        :param limit_s: longest wait in seconds.
        """
        changed = self._changed
        try:
            async with asyncio.timeout(limit_s):
                await changed.wait()
        except TimeoutError:
            return

    def notify(self) -> None:
        """Wake those who wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put(self, entry: TargetEntry) -> None:
        """Take over what a target says of itself."""
        target = self._targets.get(entry.name)
        if target is None or target.entry.started_ms != entry.started_ms:
            target = self._add(entry, target)
        if entry.is_draining and not target.entry.is_draining:
            log.info(event("target_leaves", target=entry.name, service=entry.service))
        target.entry = entry
        target.missing_since_s = None
        target.versions.update(entry.versions)
        self.notify()

    def suspect(self, name: str, started_ms: int) -> None:
        """Note that a peer found a target dark; it is used again once it takes a connection.

        Without this each of many routers would lose requests to find out by itself.
        """
        target = self._targets.get(name)
        if target is None or target.entry.started_ms != started_ms or target.is_unreachable:
            return
        target.is_unreachable = True
        target.last_activity_s = -math.inf
        log.info(event("target_suspected", target=name))

    def mark_draining(self, name: str, started_ms: int, reported_by: str) -> bool:
        """Note that a target has said that it leaves.

        :param started_ms: the start of the target that said so; a later one may be used.
        :param reported_by: who knows it, for the log.
        :returns: whether this is new.
        """
        self._left[(name, started_ms)] = None
        if len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)
        target = self._targets.get(name)
        if target is None or target.entry.started_ms != started_ms or target.has_said_leaving:
            return False
        target.has_said_leaving = True
        log.info(event("target_leaves", target=name, service=target.entry.service, by=reported_by))
        self.notify()
        return True

    def remove(self, name: str) -> None:
        """Note that the entry of a target has vanished."""
        target = self._targets.get(name)
        if target is not None and target.missing_since_s is None:
            target.missing_since_s = self._clock.monotonic_s()
            log.info(event("target_missing", target=name, service=target.entry.service))

    async def drop_missing(self) -> None:
        """Forget targets whose entry has been missing for too long, for ever."""
        while True:
            await self._clock.sleep(PRUNE_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            for target in self.all():
                since_s = target.missing_since_s
                if since_s is not None and now_s - since_s >= MISSING_S:
                    log.info(event("target_gone", target=target.name, missing_s=now_s - since_s))
                    self._drop(target)

    def _add(self, entry: TargetEntry, before: Target | None) -> Target:
        if before is not None:
            self._drop(before)
        region = self._regions.get(entry.data_centre, "")
        target = Target(entry, region, versions=dict(entry.versions))
        target.has_said_leaving = (entry.name, entry.started_ms) in self._left
        self._targets[entry.name] = target
        self._by_service.setdefault(entry.service, []).append(target)
        log.info(
            event(
                "target_found",
                target=entry.name,
                service=entry.service,
                address=entry.address,
                data_centre=entry.data_centre,
            )
        )
        return target

    def _drop(self, target: Target) -> None:
        self._targets.pop(target.name, None)
        self._by_service[target.entry.service].remove(target)
