"""Routers that share quotas, on a virtual clock, with delayed and lost messages."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

from coltsfootfront.common.clock import Clock
from coltsfootfront.quotas.quota import Quota, QuotaUnit
from coltsfootfront.quotas.quotas import Quotas
from coltsfootfront.quotas.tolerance import Tolerance
from coltsfootfront.quotas.usage import UsageReport

CUSTOMER = "customer"
WINDOW_S = 8.0
TOLERANCE = Tolerance(140_000, 0.1, WINDOW_S)
FLUSH_INTERVAL_S = 0.05
MESSAGE_DELAY_S = (0.002, 0.06)


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


@dataclass(slots=True)
class Arrival:
    """One request: when and where it arrived, and what became of it."""

    at_s: float
    router: int
    units: float
    is_admitted: bool
    is_owed: bool


@dataclass(slots=True)
class _Member:
    quotas: Quotas | None
    next_flush_s: float
    is_frozen: bool = False


@dataclass(slots=True)
class QuotaFleet:
    """Routers with one customer.

    :param loss: share of the messages that are lost.
    :param cuts: pairs of sender and receiver between which nothing arrives.
    """

    size: int
    quota: Quota
    seed: int = 1
    loss: float = 0.0
    is_first_start: bool = True
    cuts: set[tuple[int, int]] = field(default_factory=set)
    clock: VirtualClock = field(default_factory=VirtualClock)
    arrivals: list[Arrival] = field(default_factory=list)
    members: list[_Member] = field(default_factory=list)
    _ideal_level: float = 0.0
    _ideal_s: float = 0.0
    _messages: list[tuple[float, int, int, UsageReport]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)
    generator: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self.generator = random.Random(self.seed)
        self._ideal_level, self._ideal_s = self.quota.burst, self.clock.now_s
        for _ in range(self.size):
            self.members.append(_Member(None, 0.0))
        for number in range(self.size):
            self.start(number, self.is_first_start)

    def address(self, number: int) -> str:
        """Address of a router."""
        return f"10.0.{number // 250}.{number % 250 + 1}:80"

    def start(self, number: int, is_first_start: bool = False) -> None:
        """Start a router's process, in place of the one before."""
        quotas = Quotas(self.clock, self.address(number), is_first_start, self.generator)
        quotas.set_routers({self.address(other) for other in range(self.size)})
        quotas.set_tolerance(TOLERANCE)
        quotas.set_quotas({CUSTOMER: self.quota})
        first_s = self.clock.now_s + self.generator.uniform(0, FLUSH_INTERVAL_S)
        self.members[number] = _Member(quotas, first_s)

    def set_quota(self, quota: Quota) -> None:
        """Change the quota at all routers."""
        self._ideal_level = min(self._ideal_level, quota.burst)
        self.quota = quota
        for member in self.members:
            if member.quotas is not None:
                member.quotas.set_quotas({CUSTOMER: quota})

    def kill(self, number: int) -> None:
        """End a router's process."""
        self.members[number].quotas = None

    def isolate(self, routers: set[int]) -> None:
        """Cut a group of routers off from the others, both ways."""
        others = set(range(self.size)) - routers
        self.cuts |= {(a, b) for a in routers for b in others}
        self.cuts |= {(b, a) for a in routers for b in others}

    def run(
        self,
        for_s: float,
        demand_per_s: float,
        units: Callable[[], float],
        choose_router: Callable[[], int] | None = None,
    ) -> None:
        """Play some seconds of demand, in units per second."""
        end_s = self.clock.now_s + for_s
        mean = sum(units() for _ in range(200)) / 200
        gap_s = mean / demand_per_s
        next_s = self.clock.now_s + self.generator.expovariate(1 / gap_s)
        while True:
            at_s = min(next_s, self._next_event_s())
            if at_s >= end_s:
                self.clock.now_s = end_s
                return
            self.clock.now_s = max(at_s, self.clock.now_s)
            self._deliver()
            self._flush()
            if at_s == next_s:
                number = choose_router() if choose_router else self.generator.randrange(self.size)
                self._arrive(number, units())
                next_s += self.generator.expovariate(1 / gap_s)

    def overshoot(self, allowed_rate_per_s: float | None = None) -> float:
        """Largest use in any window, as a multiple of rate times window plus burst."""
        rate_per_s = allowed_rate_per_s or self.quota.rate_per_s
        admitted = [arrival for arrival in self.arrivals if arrival.is_admitted]
        most = used = 0.0
        start = 0
        for arrival in admitted:
            used += arrival.units
            while arrival.at_s - admitted[start].at_s > WINDOW_S:
                used -= admitted[start].units
                start += 1
            most = max(most, used)
        return most / (rate_per_s * WINDOW_S + self.quota.burst)

    def most_used(self) -> float:
        """Largest use in any window."""
        return self.overshoot() * (self.quota.rate_per_s * WINDOW_S + self.quota.burst)

    def wrongly_refused(self, since_s: float = 0.0) -> float:
        """Share of the units that a single bucket would have admitted and that were refused."""
        owed = [item for item in self.arrivals if item.is_owed and item.at_s >= since_s]
        total = sum(item.units for item in owed)
        return sum(item.units for item in owed if not item.is_admitted) / max(total, 1.0)

    def _arrive(self, number: int, units: float) -> None:
        member = self.members[number]
        if member.quotas is None or member.is_frozen:
            return
        now_s = self.clock.now_s
        self._ideal_level = min(
            self.quota.burst,
            self._ideal_level + (now_s - self._ideal_s) * self.quota.rate_per_s,
        )
        self._ideal_s = now_s
        is_owed = self._ideal_level >= units or self._ideal_level >= self.quota.burst
        if is_owed:
            self._ideal_level -= units
        is_admitted = member.quotas.admit(CUSTOMER, int(units), 0) is None
        self.arrivals.append(Arrival(now_s, number, units, is_admitted, is_owed))

    def _next_event_s(self) -> float:
        flush_s = min(
            (m.next_flush_s for m in self.members if m.quotas is not None and not m.is_frozen),
            default=float("inf"),
        )
        return min(flush_s, self._messages[0][0] if self._messages else float("inf"))

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.clock.now_s:
            _, _, receiver, report = heapq.heappop(self._messages)
            member = self.members[receiver]
            if member.quotas is not None and not member.is_frozen:
                member.quotas.handle_report(report)

    def _flush(self) -> None:
        now_s = self.clock.now_s
        for sender, member in enumerate(self.members):
            if member.quotas is None or member.is_frozen or member.next_flush_s > now_s:
                continue
            member.next_flush_s = now_s + FLUSH_INTERVAL_S
            for fields in member.quotas.take_reports():
                report = UsageReport.from_fields(fields)
                for receiver in range(self.size):
                    if receiver != sender and (sender, receiver) not in self.cuts:
                        self._send(receiver, report)

    def _send(self, receiver: int, report: UsageReport) -> None:
        if self.generator.random() < self.loss:
            return
        delay_s = self.generator.uniform(*MESSAGE_DELAY_S)
        message = (self.clock.now_s + delay_s, next(self._numbers), receiver, report)
        heapq.heappush(self._messages, message)


def make_quota(rate_per_s: float) -> Quota:
    """Quota in tokens with a burst of one second."""
    return Quota(rate_per_s, rate_per_s, QuotaUnit.TOKENS, 200.0)
