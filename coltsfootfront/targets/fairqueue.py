"""Weighted fair queue in front of the target.

The most urgent priority starts first. Within a priority customers share the target by weight
(start-time fair queueing): a customer that sends ten times its share waits behind its own
requests and does not move the wait of a small one.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from coltsfootfront.common.clock import Clock

# A priority that could start but was passed over this often starts one request next, so that
# urgent load leaves every ninth start to the others.
MAX_PASSED = 8
# Assumed until requests have been observed.
INITIAL_SERVICE_S = 0.5
# Weight of the latest service time in the running mean.
SERVICE_SMOOTHING = 0.1
MAX_HOLDS = 256


@dataclass(frozen=True, slots=True)
class Share:
    """Conditions under which a request waits.

    :param terms: name of the terms that allow it.
    :param priority: 0 is the most urgent.
    :param weight: share relative to other customers.
    :param customer_running: requests of the customer that may run at once.
    :param terms_running: requests of the customer that may run at once under these terms.
    """

    customer: str
    terms: str
    priority: int
    weight: float = 1.0
    customer_running: int = 64
    terms_running: int = 64


class StartCondition(ABC):
    """Condition under which a request may start, beside its place in the queue."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the request may start now; asked whenever a slot is free."""

    @abstractmethod
    def on_start(self) -> None:
        """Take note that the request has its slot."""

    @abstractmethod
    def on_finish(self) -> None:
        """Take note that the request has given its slot back."""


class Ticket:
    """One request that waits or runs.

    :param cost: work of the request relative to others, above 0.
    :param turn: further condition for its start, or None.
    """

    __slots__ = ("_started", "cost", "left", "share", "started_s", "turn")

    def __init__(self, share: Share, cost: float, turn: StartCondition | None) -> None:
        self.share = share
        self.cost = cost
        self.turn = turn
        self.started_s: float | None = None
        self.left = False
        self._started = asyncio.Event()

    def start(self, now_s: float) -> None:
        """Give the request its slot."""
        if self.turn is not None:
            self.turn.on_start()
        self.started_s = now_s
        self._started.set()

    async def wait(self) -> None:
        """Wait until the request has a slot."""
        await self._started.wait()


class _Class:
    """Requests of one priority."""

    __slots__ = ("finish", "flows", "passed", "virtual")

    def __init__(self) -> None:
        self.flows: dict[str, deque[Ticket]] = {}
        self.finish: dict[str, float] = {}
        self.virtual = 0.0
        self.passed = 0

    def start_of(self, customer: str) -> float:
        """Virtual start time of the customer's next request."""
        return max(self.virtual, self.finish.get(customer, 0.0))

    def ahead_of(self, share: Share, held: dict[str, list[Share]]) -> float:
        """Count what would start before a new request of a customer.

        However many requests of another customer wait or have reserved a slot, only those count
        whose turn comes before.

        :param held: reservations by customer.
        """
        own = self.flows.get(share.customer, deque())
        own_held = len(held.get(share.customer, ()))
        work = sum(ticket.cost for ticket in own) + own_held
        start = self.start_of(share.customer) + work / share.weight
        ahead = float(len(own) + own_held)
        for customer in {*self.flows, *held} - {share.customer}:
            flow, reserved = self.flows.get(customer, deque()), held.get(customer, [])
            weight = (flow[0].share if flow else reserved[0]).weight
            step = (flow[0].cost if flow else 1.0) / weight
            turns = (start - self.start_of(customer)) // step + 1
            ahead += min(len(flow) + len(reserved), max(turns, 0))
        return ahead

    def take(self, ticket: Ticket) -> None:
        """Remove a ticket that starts and charge its customer."""
        customer = ticket.share.customer
        self.virtual = self.start_of(customer)
        self.finish[customer] = self.virtual + ticket.cost / ticket.share.weight
        self.remove(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        customer = ticket.share.customer
        flow = self.flows[customer]
        flow.remove(ticket)
        if not flow:
            del self.flows[customer]
        if len(self.finish) > 2 * len(self.flows) + 16:
            self.finish = {name: at for name, at in self.finish.items() if at > self.virtual}


class FairQueue:
    """Gives out the target's slots.

    :param clock: time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slots = 0
        self._classes: dict[int, _Class] = {}
        self._running = 0
        self._running_of: Counter[str] = Counter()
        self._running_under: Counter[tuple[str, str]] = Counter()
        self._waiting_of: Counter[str] = Counter()
        self._holds: deque[tuple[float, Share]] = deque()
        self.waiting = 0
        self.service_s = INITIAL_SERVICE_S
        """Mean time for which a request holds its slot."""

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def load(self) -> float:
        """Running, waiting and reserved requests divided by slots."""
        return (self._running + self.waiting + self._held()) / max(self._slots, 1)

    def waiting_of(self, customer: str) -> int:
        """Waiting requests of a customer."""
        return self._waiting_of[customer]

    def set_slots(self, slots: int) -> None:
        """Change the number of requests that may run at once."""
        self._slots = slots
        self._start_next()

    def enter(self, share: Share, cost: float = 1.0, turn: StartCondition | None = None) -> Ticket:
        """Add a request; it may have its slot at once.

        A reservation of the same customer is used up.

        :param turn: further condition for its start; :meth:`look_again` is called when it may
            have changed.
        """
        self._use_hold(share.customer)
        ticket = Ticket(share, cost, turn)
        group = self._classes.setdefault(share.priority, _Class())
        group.flows.setdefault(share.customer, deque()).append(ticket)
        self.waiting += 1
        self._waiting_of[share.customer] += 1
        self._start_next()
        return ticket

    def look_again(self) -> None:
        """Start requests that were not ready before."""
        self._start_next()

    def leave(self, ticket: Ticket) -> None:
        """Give up the place in the queue or the slot; repeated calls have no effect."""
        if ticket.left:
            return
        ticket.left = True
        if ticket.started_s is None:
            self._classes[ticket.share.priority].remove(ticket)
            self._count_waiting(ticket.share, -1)
        else:
            took_s = self._clock.monotonic_s() - ticket.started_s
            self.service_s += (took_s - self.service_s) * SERVICE_SMOOTHING
            self._count_running(ticket.share, -1)
            if ticket.turn is not None:
                ticket.turn.on_finish()
        self._start_next()

    def hold(self, share: Share, life_s: float) -> None:
        """Reserve one slot softly: it counts in estimates and in nothing else."""
        if life_s > 0 and len(self._holds) < MAX_HOLDS:
            self._holds.append((self._clock.monotonic_s() + life_s, share))

    def estimate_s(self, share: Share) -> float:
        """Estimate how long a request that arrives now would wait."""
        turns = self._ahead(share) - (self._slots - self._running) + 1
        wait_s = max(turns, 0) * self.service_s / max(self._slots, 1)
        limit = max(min(share.customer_running, share.terms_running), 1)
        own = self._running_of[share.customer] + self._waiting_of[share.customer]
        return max(wait_s, (own - limit + 1) * self.service_s / limit, 0.0)

    def _ahead(self, share: Share) -> float:
        """Count requests and reservations that would start before a new request."""
        self._drop_old_holds()
        ahead = 0.0
        for priority, group in self._classes.items():
            if priority < share.priority:
                ahead += sum(len(flow) for flow in group.flows.values())
        held: dict[str, list[Share]] = {}
        for _, reserved in self._holds:
            if reserved.priority < share.priority:
                ahead += 1
            elif reserved.priority == share.priority:
                held.setdefault(reserved.customer, []).append(reserved)
        own_class = self._classes.get(share.priority) or _Class()
        return ahead + own_class.ahead_of(share, held)

    def _start_next(self) -> None:
        while self._running < self._slots and self.waiting:
            ticket = self._pick()
            if ticket is None:
                return
            self._classes[ticket.share.priority].take(ticket)
            self._count_waiting(ticket.share, -1)
            self._count_running(ticket.share, 1)
            ticket.start(self._clock.monotonic_s())

    def _pick(self) -> Ticket | None:
        ready: list[tuple[_Class, Ticket]] = []
        for priority in sorted(self._classes):
            group = self._classes[priority]
            ticket = self._first_ready(group)
            if ticket is not None:
                ready.append((group, ticket))
            elif not group.flows:
                del self._classes[priority]
        if not ready:
            return None
        chosen = ready[0]
        for candidate in ready[1:]:
            passed = candidate[0].passed
            if passed >= MAX_PASSED and passed > chosen[0].passed:
                chosen = candidate
        for group, _ in ready:
            group.passed = 0 if group is chosen[0] else group.passed + 1
        return chosen[1]

    def _first_ready(self, group: _Class) -> Ticket | None:
        best: Ticket | None = None
        best_start = 0.0
        for customer, flow in group.flows.items():
            ticket = next(self._startable(flow), None)
            if ticket is None:
                continue
            start = group.start_of(customer)
            if best is None or start < best_start:
                best, best_start = ticket, start
        return best

    def _startable(self, flow: deque[Ticket]) -> Iterator[Ticket]:
        for ticket in flow:
            share = ticket.share
            if self._running_of[share.customer] >= share.customer_running:
                return
            if self._running_under[(share.customer, share.terms)] >= share.terms_running:
                continue
            if ticket.turn is None or ticket.turn.is_ready():
                yield ticket

    def _count_waiting(self, share: Share, change: int) -> None:
        self.waiting += change
        _add(self._waiting_of, share.customer, change)

    def _count_running(self, share: Share, change: int) -> None:
        self._running += change
        _add(self._running_of, share.customer, change)
        _add(self._running_under, (share.customer, share.terms), change)

    def _held(self) -> int:
        self._drop_old_holds()
        return len(self._holds)

    def _drop_old_holds(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._holds and self._holds[0][0] <= now_s:
            self._holds.popleft()

    def _use_hold(self, customer: str) -> None:
        for hold in self._holds:
            if hold[1].customer == customer:
                self._holds.remove(hold)
                return


def _add(counter: Counter[Any], key: Any, change: int) -> None:
    counter[key] += change
    if not counter[key]:
        del counter[key]
