"""Directory of the targets, with this router's view of the load and health of each."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.costs.callcost import PendingCalls
from coltsfootfront.costs.pace import TargetPace
from coltsfootfront.costs.pending import PendingWork
from coltsfootfront.direct.backlog import Backlog
from coltsfootfront.direct.limits import TargetLimit

log = logbook.Logger(__name__)

# Grace period after a target's entry disappears from the store. A live target has written it
# again by then.
MISSING_GRACE_S = 2.0
# A reported load counts in full for LOAD_FRESH_S, about the interval between two reports of a
# target in use. After that its weight halves every LOAD_HALF_LIFE_S.
LOAD_FRESH_S = 0.2
LOAD_HALF_LIFE_S = 1.5
# Weight of the latest result in the moving average of the failure rate.
FAILURE_SMOOTHING = 0.25
# Failure rate from which a target is used only when there is no healthy one.
FAILURE_RATE_LIMIT = 0.45
# Number of consecutive requests without a response after which a target is suspended. The
# suspension doubles each time, up to the maximum.
UNANSWERED_LIMIT = 2
FIRST_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
# A target that was heard from this recently is not taken for unreachable because a connection did
# not open in time, or because a peer says so: the fault may be this router's or its link's.
HEARD_FRESH_S = 0.5
# A target that rejects a request is full, or is loading weights of which this router has no record.
# It is avoided for about as long as loading weights takes.
REJECTION_COOLDOWN_S = 0.3
# Half-life of the failure rate while the target gets no requests.
FAILURE_HALF_LIFE_S = 2.0
PRUNE_INTERVAL_S = 0.2
UNKNOWN_BUILD_PREFIX = "unknown/"
# Number of starts of targets that are recorded as draining or gone, in case an older entry of one
# is read later.
MAX_RECORDED_STARTS = 1024
# Time after a restore of the store for which a target that had gone is not used although its entry
# is back. The store drops an entry after three missed heartbeats, which are up to 1.2 s apart.
RESTORED_ENTRY_DOUBT_S = 4.0


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Entry with which a target registers in the store.

    :param name: usually unique to one start of the target; a restart may keep it.
    :param address: host and port.
    :param is_draining: the target is draining and accepts no new requests.
    :param versions: version of the weights of each model.
    :param started_ms: Unix time of the target's start in milliseconds, 0 if unknown.
    :param build: version of the target's software, empty if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    versions: dict[str, int] = field(default_factory=dict)
    started_ms: int = 0
    build: str = ""

    @property
    def build_key(self) -> str:
        """Build whose streams the target may continue; an unknown one is unlike all others."""
        return self.build or f"{UNKNOWN_BUILD_PREFIX}{self.name}/{self.started_ms}"


@dataclass(frozen=True, slots=True, eq=False)
class MovableExchange:
    """An exchange with a target that may move to another one.

    :param timeout: ends the exchange.
    :param may_move: makes sure of a replacement, and tells whether there is one.
    """

    timeout: ReadTimeout
    may_move: Callable[[], bool]


@dataclass(slots=True, eq=False)
class Target:
    """A target, with this router's view of its load and health.

    :param in_flight: requests of this router that the target has not answered yet.
    :param missing_since_s: when its entry disappeared from the store, None while it exists.
    :param loading_until_s: when it is expected to finish loading weights.
    """

    entry: TargetEntry
    region: str
    in_flight: int = 0
    missing_since_s: float | None = None
    loading_until_s: float = 0.0
    backlog: Backlog = field(default_factory=Backlog)
    versions: dict[str, int] = field(default_factory=dict)
    ordered_versions: dict[str, int] = field(default_factory=dict)
    """Version of the weights of each model that it has been ordered to load."""
    is_unreachable: bool = False
    """It accepts no connections."""
    failure_rate: float = 0.0
    unanswered_failures: int = 0
    suspended_until_s: float = 0.0
    suspension_s: float = FIRST_SUSPENSION_S
    last_result_s: float = 0.0
    pace: TargetPace = field(default_factory=TargetPace)
    pending: PendingWork = field(default_factory=PendingWork)
    calls: PendingCalls = field(default_factory=PendingCalls)
    reported_load: int = 0
    in_flight_at_report: int = 0
    last_report_s: float = -math.inf
    last_activity_s: float = 0.0
    """When it last sent data, was probed, or got its first request after being idle."""
    last_heard_s: float = -math.inf
    """When it last sent data or accepted a connection."""
    exchanges: set[MovableExchange] = field(default_factory=set)
    """Open exchanges whose requests may run more than once."""
    is_replaced: bool = False
    """Another target now answers at this address."""
    has_announced_drain: bool = False
    """It has announced that it is draining; a stale entry in the store does not undo this."""
    paused_until_s: float = 0.0
    """Until when it has asked this router to send no requests."""
    rejection_cooldown_until_s: float = 0.0
    """Until when it is avoided because it has just rejected a request."""
    limit: TargetLimit | None = None
    """Limit on the requests that it accepts from all routers together; None while it names none."""

    @property
    def name(self) -> str:
        """Name under which the target is registered."""
        return self.entry.name

    def load(self, now_s: float) -> int:
        """Estimated number of requests at the target, from all routers."""
        age_s = max(0.0, now_s - self.last_report_s - LOAD_FRESH_S)
        others_load = max(0, self.reported_load - self.in_flight_at_report)
        weight: float = 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return self.in_flight + round(others_load * weight)

    def record_load(self, total: int, now_s: float) -> None:
        """Record the total load that the target reported, together with this router's share."""
        self.reported_load = total
        self.in_flight_at_report = self.in_flight
        self.last_report_s = now_s

    def wait_s(self, priority: int, now_s: float) -> float:
        """Estimated time until it can start the prefill of another prompt of a priority."""
        return max(self.loading_until_s - now_s, self.backlog.wait_s(priority, now_s))

    def is_loading(self, now_s: float) -> bool:
        """Whether the target is expected to reject requests because it is loading weights."""
        return now_s < self.loading_until_s

    def is_healthy(self, now_s: float) -> bool:
        """Whether the target is reachable and its recent failure rate is below the limit."""
        if self.is_unreachable or now_s < max(
            self.suspended_until_s, self.rejection_cooldown_until_s
        ):
            return False
        age_s = now_s - self.last_result_s
        decay: float = 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
        return self.failure_rate * decay < FAILURE_RATE_LIMIT

    def is_usable(self) -> bool:
        """Whether the target may get requests: it is not draining and has not been replaced."""
        return not (self.entry.is_draining or self.has_announced_drain or self.is_replaced)

    def is_paused(self, now_s: float) -> bool:
        """Whether the target has asked this router to send no requests for now."""
        return now_s < self.paused_until_s

    def available_from_s(self) -> float:
        """Monotonic time from which it may get requests, by its pause and its limit."""
        blocked_until_s = self.limit.blocked_until_s if self.limit is not None else 0.0
        return max(self.paused_until_s, blocked_until_s)

    def expected_return_s(self, now_s: float) -> float:
        """Monotonic time at which a caller that is refused now can expect it to take a request."""
        if self.limit is None:
            return self.paused_until_s
        return max(self.paused_until_s, self.limit.expected_return_s(now_s))

    def pause(self, for_s: float, now_s: float) -> None:
        """Send the target no requests for some time, as it has asked."""
        self.paused_until_s = max(self.paused_until_s, now_s + for_s)

    def record_rejection(self, now_s: float) -> None:
        """Avoid the target for a while, since it has rejected a request."""
        self.rejection_cooldown_until_s = now_s + REJECTION_COOLDOWN_S

    def record_success(self, now_s: float) -> None:
        """Record a request that the target answered, and reset the suspension backoff."""
        self.is_unreachable = False
        self.rejection_cooldown_until_s = 0.0
        self.failure_rate *= 1 - FAILURE_SMOOTHING
        self.unanswered_failures = 0
        self.suspension_s = FIRST_SUSPENSION_S
        self.last_result_s = now_s

    def record_heard(self, now_s: float) -> None:
        """Record that the target has sent data or accepted a connection."""
        self.last_heard_s = self.last_activity_s = now_s

    def is_heard(self, now_s: float) -> bool:
        """Whether it has shown just now that it runs and can be reached."""
        return now_s - self.last_heard_s < HEARD_FRESH_S

    def eject(self, now_s: float) -> None:
        """Suspend an unreachable target, and move its unanswered exchanges to other targets."""
        self.mark_unreachable(now_s)
        self.move_exchanges(now_s)

    def mark_unreachable(self, now_s: float) -> None:
        """Mark the target as accepting no connections, and suspend it."""
        if not self.is_unreachable:
            self.unanswered_failures = UNANSWERED_LIMIT - 1
        self.record_failure(now_s, is_unanswered=True)

    def move_exchanges(self, now_s: float) -> None:
        """End the exchanges for which another target is certain to take over."""
        self.last_activity_s = now_s
        for exchange in list(self.exchanges):
            if exchange.may_move():
                self.exchanges.discard(exchange)
                exchange.timeout.expire()

    def record_failure(self, now_s: float, is_unanswered: bool) -> None:
        """Record a request that failed at the target.

        :param is_unanswered: the target could not be reached, or did not answer.
        """
        self.failure_rate += (1 - self.failure_rate) * FAILURE_SMOOTHING
        self.last_result_s = now_s
        if not is_unanswered:
            return
        self.unanswered_failures += 1
        if self.unanswered_failures >= UNANSWERED_LIMIT:
            self.is_unreachable = True
        if self.unanswered_failures >= UNANSWERED_LIMIT and now_s >= self.suspended_until_s:
            self.suspended_until_s = now_s + self.suspension_s
            self.suspension_s = min(MAX_SUSPENSION_S, self.suspension_s * 2)
            metrics.CONNECTION_EVENTS.inc({"event": "target_suspended"})
            log.warning(
                event(
                    "target_suspended",
                    target=self.name,
                    failures=self.unanswered_failures,
                    for_s=self.suspended_until_s - now_s,
                )
            )


class _RecentStarts:
    """Names and start times of targets, the latest MAX_RECORDED_STARTS of them."""

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: OrderedDict[tuple[str, int], None] = OrderedDict()

    def add(self, name: str, started_ms: int) -> None:
        self._starts[(name, started_ms)] = None
        if len(self._starts) > MAX_RECORDED_STARTS:
            self._starts.popitem(last=False)

    def has(self, name: str, started_ms: int) -> bool:
        return (name, started_ms) in self._starts


class Directory:
    """Known targets, by name and by service.

    :param clock: time source.
    :param regions: region of each data centre.
    """

    def __init__(self, clock: Clock, regions: dict[str, str]) -> None:
        self._clock = clock
        self._regions = regions
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._drained_starts = _RecentStarts()
        """Starts of targets that have announced that they are draining."""
        self._gone_starts = _RecentStarts()
        """Starts of targets whose entries have disappeared."""
        self._changed = asyncio.Event()

    def get(self, name: str) -> Target | None:
        """Return a target by name, None if it is unknown."""
        return self._targets.get(name)

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service, draining ones included."""
        return self._by_service.get(service, [])

    def all(self) -> list[Target]:
        """Return a copy of the list of all targets."""
        return list(self._targets.values())

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait until the directory changes in a way that may make another target usable.

        :param limit_s: longest wait in seconds.
        """
        changed = self._changed
        try:
            async with asyncio.timeout(limit_s):
                await changed.wait()
        except TimeoutError:
            return

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put(self, entry: TargetEntry, is_from_restore: bool = False) -> None:
        """Add or update a target from its entry; a new start replaces the earlier one.

        :param is_from_restore: the store has gone back to an older copy that has this entry.
        """
        target = self._targets.get(entry.name)
        if target is None or target.entry.started_ms != entry.started_ms:
            target = self._add(entry, target)
        if entry.is_draining and not target.entry.is_draining:
            log.info(event("target_leaves", target=entry.name, service=entry.service))
        if entry.is_draining and entry.started_ms:
            # A target does not stop draining; an older entry of the same start does not undo it.
            self._drained_starts.add(entry.name, entry.started_ms)
            target.has_announced_drain = True
        if is_from_restore and (
            target.missing_since_s is not None
            or self._gone_starts.has(entry.name, entry.started_ms)
        ):
            target.pause(RESTORED_ENTRY_DOUBT_S, self._clock.monotonic_s())
            log.info(event("target_doubted", target=entry.name, for_s=RESTORED_ENTRY_DOUBT_S))
        target.entry = entry
        target.missing_since_s = None
        target.versions.update(entry.versions)
        self.notify()

    def suspect(self, name: str, started_ms: int) -> None:
        """Mark a target as unreachable that a peer has found so, until it accepts a connection.

        Without this, every router would lose requests before it noticed the outage itself.
        """
        target = self._targets.get(name)
        if target is None or target.entry.started_ms != started_ms or target.is_unreachable:
            return
        if target.is_heard(self._clock.monotonic_s()):
            return
        target.is_unreachable = True
        target.last_activity_s = -math.inf
        log.info(event("target_suspected", target=name))

    def mark_draining(self, name: str, started_ms: int, reported_by: str) -> bool:
        """Record that a target has announced that it is draining.

        :param started_ms: start time of the draining process; a later start may be used.
        :param reported_by: source of the information, for the log.
        :returns: whether a target in the directory was newly marked.
        """
        self._drained_starts.add(name, started_ms)
        target = self._targets.get(name)
        if target is None or target.entry.started_ms != started_ms or target.has_announced_drain:
            return False
        target.has_announced_drain = True
        log.info(event("target_leaves", target=name, service=target.entry.service, by=reported_by))
        self.notify()
        return True

    def remove(self, name: str) -> None:
        """Record that the entry of a target has disappeared from the store."""
        target = self._targets.get(name)
        if target is not None and target.missing_since_s is None:
            target.missing_since_s = self._clock.monotonic_s()
            log.info(event("target_missing", target=name, service=target.entry.service))

    async def drop_missing(self) -> None:
        """Run a loop that drops targets whose entry has been missing for MISSING_GRACE_S."""
        while True:
            await self._clock.sleep(PRUNE_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            for target in self.all():
                missing_since_s = target.missing_since_s
                if missing_since_s is not None and now_s - missing_since_s >= MISSING_GRACE_S:
                    log.info(
                        event("target_gone", target=target.name, missing_s=now_s - missing_since_s)
                    )
                    self._gone_starts.add(target.name, target.entry.started_ms)
                    self._drop(target)

    def _add(self, entry: TargetEntry, previous: Target | None) -> Target:
        if previous is not None:
            self._drop(previous)
        region = self._regions.get(entry.data_centre, "")
        target = Target(entry, region, versions=dict(entry.versions))
        target.has_announced_drain = self._drained_starts.has(entry.name, entry.started_ms)
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
