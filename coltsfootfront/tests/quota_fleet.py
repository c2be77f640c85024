"""Routers that share quotas, on a virtual clock, with messages that are late, lost or doubled."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from functools import partial
from typing import NamedTuple

from coltsfootfront.common.clock import Clock
from coltsfootfront.direct import gossip
from coltsfootfront.quotas.quota import Quota, QuotaUnit
from coltsfootfront.quotas.quotas import Quotas
from coltsfootfront.quotas.tolerance import Tolerance
from coltsfootfront.quotas.usage import UsageReport

CUSTOMER = "customer"
WINDOW_S = 8.0
TOLERANCE = Tolerance(140_000, 0.1, WINDOW_S)
MESSAGE_DELAY_S = (0.001, 0.04)
# Routers that get a message at the same time; a time for each of 300 would take too long.
DELAY_GROUPS = 4
# Longest time for which callers wait for a router that is paused.
CALLER_TIMEOUT_S = 3.0


class VirtualClock(Clock):
    """Clock that a test advances."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.now_s, UTC)

    async def sleep(self, delay_s: float) -> None:
        raise NotImplementedError


class Arrival(NamedTuple):
    """One request, and what became of it.

    :param is_owed: one bucket for the whole fleet admits it.
    """

    at_s: float
    router: int
    units: int
    is_admitted: bool
    is_owed: bool


class _Member:
    """One router."""

    def __init__(self, quotas: Quotas) -> None:
        self.quotas: Quotas | None = quotas
        self.is_paused = False
        self.waiting: list[UsageReport] = []
        self.callers: list[tuple[float, int]] = []


class QuotaFleet:
    """Routers with one customer.

    :param loss: share of the messages that are lost.
    :param doubled: share of the messages that arrive twice.
    """

    def __init__(
        self, size: int, quota: Quota, seed: int = 1, loss: float = 0.0, doubled: float = 0.0
    ) -> None:
        self.size = size
        self.quota = quota
        self.loss = loss
        self.doubled = doubled
        self.delay_s = MESSAGE_DELAY_S
        self.cuts: set[tuple[int, int]] = set()
        """Pairs of sender and receiver between which nothing arrives."""
        self.clock = VirtualClock()
        self.generator = random.Random(seed)
        self.arrivals: list[Arrival] = []
        self.members: list[_Member] = []
        self._ideal_level, self._ideal_s = quota.burst, self.clock.now_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        batches = max(1.0, (size - 1) / gossip.BATCH_DELAY_PEERS)
        self._flush_s = min(gossip.MAX_BATCH_DELAY_S, gossip.BATCH_DELAY_S * batches)
        for number in range(size):
            self.members.append(_Member(self._make_quotas(number, True)))
            self._at(self.generator.uniform(0, self._flush_s), partial(self._flush, number))

    def start(self, number: int) -> None:
        """Start a router's process, in place of the one before."""
        self.members[number] = _Member(self._make_quotas(number, False))

    def kill(self, number: int) -> None:
        """End a router's process."""
        self.members[number].quotas = None

    def pause(self, number: int) -> None:
        """Stop a router's process for a while; what it is sent waits."""
        self.members[number].is_paused = True

    def resume(self, number: int) -> None:
        """Let a paused process go on: it reads callers and peers by turns, oldest first."""
        member = self.members[number]
        member.is_paused = False
        reports, member.waiting = member.waiting, []
        callers, member.callers = member.callers, []
        oldest_s = self.clock.now_s - CALLER_TIMEOUT_S
        remaining = [units for at_s, units in callers if at_s >= oldest_s]
        for report, units in itertools.zip_longest(reports, remaining):
            if units is not None:
                self._arrive(number, units)
            if report is not None and member.quotas is not None:
                member.quotas.handle_report(report)

    def isolate(self, routers: Iterable[int]) -> None:
        """Cut a group of routers off from the others, both ways."""
        group = set(routers)
        others = set(range(self.size)) - group
        self.cuts |= {(a, b) for a in group for b in others}
        self.cuts |= {(b, a) for a in group for b in others}

    def set_quota(self, quota: Quota) -> None:
        """Change the quota at all routers."""
        self._ideal_level = min(self._ideal_level, quota.burst)
        self.quota = quota
        for member in self.members:
            if member.quotas is not None:
                member.quotas.set_quotas({CUSTOMER: quota})

    def run(
        self,
        for_s: float,
        demand_per_s: float,
        choose_router: Callable[[], int] | None = None,
        units: Callable[[], int] | None = None,
        is_within: bool = False,
    ) -> None:
        """Play some seconds of demand, in units per second.

        :param choose_router: number of the router of the next request; None for any of them.
        :param units: units of the next request; None for :meth:`mixed_units`.
        :param is_within: the customer sends nothing for which one bucket has no room.
        """
        units = units or self.mixed_units
        end_s = self.clock.now_s + for_s
        gap_s = sum(units() for _ in range(2000)) / 2000 / demand_per_s
        next_s = self.clock.now_s + self.generator.expovariate(1 / gap_s)
        while min(next_s, self._events[0][0]) < end_s:
            if self._events[0][0] <= next_s:
                self.clock.now_s, _, act = heapq.heappop(self._events)
                act()
                continue
            self.clock.now_s = next_s
            number = choose_router() if choose_router else self.generator.randrange(self.size)
            wanted = units()
            if not is_within or self._has_room(wanted):
                self._arrive(number, wanted)
            next_s += self.generator.expovariate(1 / gap_s)
        self.clock.now_s = end_s

    def mixed_units(self) -> int:
        """Units of a request, from a quick check to a long analysis."""
        return int(200 * 270 ** self.generator.random())

    def chooser(self, pattern: str) -> Callable[[], int]:
        """Return a function that chooses the routers of requests, but none that does not run.

        :param pattern: ``even``, ``skewed`` (few routers get most) or ``moving`` (a quarter of the
            routers gets all, others every 2.5 s).
        """

        def choose() -> int:
            if pattern == "even":
                return self.generator.randrange(self.size)
            if pattern == "skewed":
                return int(self.generator.expovariate(8 / self.size)) % self.size
            first = int(self.clock.now_s / 2.5) * 7
            return (first + self.generator.randrange(1 + self.size // 4)) % self.size

        def choose_running() -> int:
            number = choose()
            for _ in range(self.size):
                if self.members[number].quotas is not None:
                    break
                number = (number + 1) % self.size
            return number

        return choose_running

    def most_used(self, since_s: float = 0.0) -> float:
        """Largest use in any window that begins after a time."""
        admitted = [item for item in self.arrivals if item.is_admitted and item.at_s >= since_s]
        most = used = 0.0
        start = 0
        for arrival in admitted:
            used += arrival.units
            while arrival.at_s - admitted[start].at_s > WINDOW_S:
                used -= admitted[start].units
                start += 1
            most = max(most, used)
        return most

    @property
    def allowed(self) -> float:
        """Units that may be used in a window."""
        quota = self.quota
        return quota.rate_per_s * WINDOW_S + quota.burst + TOLERANCE.units_of(quota)

    def wrongly_refused(self) -> float:
        """Share of the units that a single bucket would have admitted and that were refused."""
        owed = [item for item in self.arrivals if item.is_owed]
        refused = sum(item.units for item in owed if not item.is_admitted)
        return refused / max(1.0, sum(item.units for item in owed))

    def admitted(self) -> float:
        """Units that were admitted, as a multiple of those that a single bucket would admit."""
        owed = sum(item.units for item in self.arrivals if item.is_owed)
        return sum(item.units for item in self.arrivals if item.is_admitted) / max(1.0, owed)

    def _make_quotas(self, number: int, is_first_start: bool) -> Quotas:
        quotas = Quotas(self.clock, _address(number), is_first_start, self.generator)
        quotas.set_routers({_address(other) for other in range(self.size)})
        quotas.set_tolerance(TOLERANCE)
        quotas.set_quotas({CUSTOMER: self.quota})
        return quotas

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.clock.now_s + delay_s, next(self._numbers), act))

    def _arrive(self, number: int, units: int) -> None:
        member = self.members[number]
        if member.is_paused:
            member.callers.append((self.clock.now_s, units))
            return
        if member.quotas is None:
            return
        is_admitted = member.quotas.admit(CUSTOMER, units, 0) is None
        is_owed = self._is_owed(units)
        self.arrivals.append(Arrival(self.clock.now_s, number, units, is_admitted, is_owed))

    def _has_room(self, units: int) -> bool:
        """Whether one bucket for the whole fleet has room for a request, without debt."""
        self._refill_ideal()
        return self._ideal_level >= units

    def _refill_ideal(self) -> None:
        passed_s = self.clock.now_s - self._ideal_s
        self._ideal_s = self.clock.now_s
        refilled = self._ideal_level + passed_s * self.quota.rate_per_s
        self._ideal_level = min(self.quota.burst, refilled)

    def _is_owed(self, units: int) -> bool:
        self._refill_ideal()
        # A bucket that may go into debt, as one above the burst would never be served otherwise.
        if self._ideal_level < 0:
            return False
        self._ideal_level -= units
        return True

    def _flush(self, number: int) -> None:
        self._at(self._flush_s, partial(self._flush, number))
        member = self.members[number]
        if member.quotas is None or member.is_paused:
            return
        for fields in member.quotas.take_reports():
            self._broadcast(number, UsageReport.from_fields(fields))

    def _broadcast(self, sender: int, report: UsageReport) -> None:
        if len(self.members) == 1:
            return
        first = self.generator.randrange(DELAY_GROUPS)
        for group in range(DELAY_GROUPS):
            receivers = range((first + group) % DELAY_GROUPS, self.size, DELAY_GROUPS)
            times = 1 + (self.generator.random() < self.doubled)
            for _ in range(times):
                self._at(
                    self.generator.uniform(*self.delay_s),
                    partial(self._deliver, sender, receivers, report),
                )

    def _deliver(self, sender: int, receivers: Iterable[int], report: UsageReport) -> None:
        for number in receivers:
            if number == sender or (sender, number) in self.cuts:
                continue
            if self.loss and self.generator.random() < self.loss:
                continue
            member = self.members[number]
            if member.is_paused:
                member.waiting.append(report)
            elif member.quotas is not None:
                member.quotas.handle_report(report)


def make_quota(rate_per_s: float) -> Quota:
    """Quota in tokens with a burst of one second."""
    return Quota(rate_per_s, rate_per_s, QuotaUnit.TOKENS, 200.0)


def _address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250 + 1}:80"
