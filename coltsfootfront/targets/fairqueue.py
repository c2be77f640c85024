"""Weighted fair queue in front of the target.

Requests of the most urgent priority start first. Within a priority, start-time fair queueing
divides the target among customers by weight: the requests of a customer that sends ten times its
share wait behind one another and do not delay those of other customers.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from coltsfootfront.common.clock import Clock

# A priority with a startable request that was skipped this often starts the next request, so
# that under urgent load every ninth start is left to less urgent requests.
MAX_SKIPPED_STARTS = 8
# Estimate until the first request has ended.
INITIAL_SERVICE_S = 0.5
# Weight of the latest service time in the exponential moving average.
SERVICE_SMOOTHING = 0.1
MAX_RESERVATIONS = 256


@dataclass(frozen=True, slots=True)
class SchedulingParams:
    """Priority, weight and concurrency limits of a request.

    :param terms: name of the terms under which the request is allowed.
    :param priority: 0 is the most urgent.
    :param weight: weight relative to other customers.
    :param customer_max_running: limit of the customer's concurrent requests.
    :param terms_max_running: limit of the customer's concurrent requests under these terms.
    """

    customer: str
    terms: str
    priority: int
    weight: float = 1.0
    customer_max_running: int = 64
    terms_max_running: int = 64


class StartCondition(ABC):
    """Condition for the start of a request, in addition to its place in the queue."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the request may start now; called whenever a slot is free."""

    @abstractmethod
    def on_start(self) -> None:
        """Called when the request gets its slot."""

    @abstractmethod
    def on_finish(self) -> None:
        """Called when the request has released its slot."""


class Ticket:
    """A waiting or running request.

    :param cost: cost of the request relative to others, above 0.
    :param start_condition: additional condition for its start, or None.
    """

    __slots__ = ("_started", "cost", "params", "released", "start_condition", "started_s")

    def __init__(
        self, params: SchedulingParams, cost: float, start_condition: StartCondition | None
    ) -> None:
        self.params = params
        self.cost = cost
        self.start_condition = start_condition
        self.started_s: float | None = None
        self.released = False
        self._started = asyncio.Event()

    def start(self, now_s: float) -> None:
        """Assign a slot to the request."""
        if self.start_condition is not None:
            self.start_condition.on_start()
        self.started_s = now_s
        self._started.set()

    async def wait(self) -> None:
        """Wait until the request has its slot."""
        await self._started.wait()


class _PriorityClass:
    """Waiting requests of one priority, with the virtual times of their customers."""

    __slots__ = ("finish_times", "flows", "skipped_starts", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, deque[Ticket]] = {}
        self.finish_times: dict[str, float] = {}
        self.virtual_time = 0.0
        self.skipped_starts = 0

    def virtual_start(self, customer: str) -> float:
        """Virtual start time of the customer's next request."""
        return max(self.virtual_time, self.finish_times.get(customer, 0.0))

    def count_ahead(
        self, params: SchedulingParams, reservations: dict[str, list[SchedulingParams]]
    ) -> float:
        """Count the requests and reservations that would start before a new request.

        Those of other customers count only if their virtual start time is not later than that of
        the new request.

        :param reservations: reservations by customer.
        """
        own = self.flows.get(params.customer, deque())
        own_reserved = len(reservations.get(params.customer, ()))
        work = sum(ticket.cost for ticket in own) + own_reserved
        start = self.virtual_start(params.customer) + work / params.weight
        ahead = float(len(own) + own_reserved)
        for customer in {*self.flows, *reservations} - {params.customer}:
            flow, reserved = self.flows.get(customer, deque()), reservations.get(customer, [])
            weight = (flow[0].params if flow else reserved[0]).weight
            step = (flow[0].cost if flow else 1.0) / weight
            # Requests of this customer whose virtual start is not later than `start`, if its queue
            # were unlimited.
            starts = (start - self.virtual_start(customer)) // step + 1
            ahead += min(len(flow) + len(reserved), max(starts, 0))
        return ahead

    def dequeue(self, ticket: Ticket) -> None:
        """Remove a ticket that starts and advance its customer's virtual finish time."""
        customer = ticket.params.customer
        self.virtual_time = self.virtual_start(customer)
        self.finish_times[customer] = self.virtual_time + ticket.cost / ticket.params.weight
        self.remove(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket without a charge to its customer."""
        customer = ticket.params.customer
        flow = self.flows[customer]
        flow.remove(ticket)
        if not flow:
            del self.flows[customer]
        if len(self.finish_times) > 2 * len(self.flows) + 16:
            self.finish_times = {
                name: at for name, at in self.finish_times.items() if at > self.virtual_time
            }


class FairQueue:
    """Assigns the target's slots to requests.

    :param clock: time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slots = 0
        self._priority_classes: dict[int, _PriorityClass] = {}
        self._running = 0
        self._running_by_customer: Counter[str] = Counter()
        self._running_by_terms: Counter[tuple[str, str]] = Counter()
        self._waiting_by_customer: Counter[str] = Counter()
        self._reservations: deque[tuple[float, SchedulingParams]] = deque()
        self.waiting = 0
        self.service_s = INITIAL_SERVICE_S
        """Moving average of the time for which a request holds its slot."""

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def load(self) -> float:
        """Running, waiting and reserved requests divided by slots."""
        return (self._running + self.waiting + self._count_reservations()) / max(self._slots, 1)

    def count_waiting(self, customer: str) -> int:
        """Number of waiting requests of a customer."""
        return self._waiting_by_customer[customer]

    def set_slots(self, slots: int) -> None:
        """Change the number of requests that may run at once."""
        self._slots = slots
        self._start_next()

    def enqueue(
        self,
        params: SchedulingParams,
        cost: float = 1.0,
        start_condition: StartCondition | None = None,
    ) -> Ticket:
        """Add a request; it may get its slot at once.

        Consumes one reservation of the customer, if there is one.

        :param start_condition: additional condition for its start; when it may have changed,
            the caller must call :meth:`start_ready`.
        """
        self._consume_reservation(params.customer)
        ticket = Ticket(params, cost, start_condition)
        priority_class = self._priority_classes.setdefault(params.priority, _PriorityClass())
        priority_class.flows.setdefault(params.customer, deque()).append(ticket)
        self.waiting += 1
        self._waiting_by_customer[params.customer] += 1
        self._start_next()
        return ticket

    def start_ready(self) -> None:
        """Start requests whose start conditions have become true."""
        self._start_next()

    def release(self, ticket: Ticket) -> None:
        """Release the slot, or the place in the queue; repeated calls have no effect."""
        if ticket.released:
            return
        ticket.released = True
        if ticket.started_s is None:
            self._priority_classes[ticket.params.priority].remove(ticket)
            self._adjust_waiting(ticket.params, -1)
        else:
            took_s = self._clock.monotonic_s() - ticket.started_s
            self.service_s += (took_s - self.service_s) * SERVICE_SMOOTHING
            self._adjust_running(ticket.params, -1)
            if ticket.start_condition is not None:
                ticket.start_condition.on_finish()
        self._start_next()

    def reserve(self, params: SchedulingParams, lifetime_s: float) -> None:
        """Reserve one slot in wait estimates and load; a reservation delays no request."""
        if lifetime_s > 0 and len(self._reservations) < MAX_RESERVATIONS:
            self._reservations.append((self._clock.monotonic_s() + lifetime_s, params))

    def estimate_wait_s(self, params: SchedulingParams) -> float:
        """Estimate the wait of a request that arrives now."""
        releases_needed = self._count_ahead(params) - (self._slots - self._running) + 1
        wait_s = max(releases_needed, 0) * self.service_s / max(self._slots, 1)
        limit = max(min(params.customer_max_running, params.terms_max_running), 1)
        own = (
            self._running_by_customer[params.customer] + self._waiting_by_customer[params.customer]
        )
        return max(wait_s, (own - limit + 1) * self.service_s / limit, 0.0)

    def _count_ahead(self, params: SchedulingParams) -> float:
        """Count requests and reservations that would start before a new request."""
        self._expire_reservations()
        ahead = 0.0
        for priority, priority_class in self._priority_classes.items():
            if priority < params.priority:
                ahead += sum(len(flow) for flow in priority_class.flows.values())
        reservations: dict[str, list[SchedulingParams]] = {}
        for _, reserved in self._reservations:
            if reserved.priority < params.priority:
                ahead += 1
            elif reserved.priority == params.priority:
                reservations.setdefault(reserved.customer, []).append(reserved)
        own_class = self._priority_classes.get(params.priority) or _PriorityClass()
        return ahead + own_class.count_ahead(params, reservations)

    def _start_next(self) -> None:
        while self._running < self._slots and self.waiting:
            ticket = self._pick_ticket()
            if ticket is None:
                return
            self._priority_classes[ticket.params.priority].dequeue(ticket)
            self._adjust_waiting(ticket.params, -1)
            self._adjust_running(ticket.params, 1)
            ticket.start(self._clock.monotonic_s())

    def _pick_ticket(self) -> Ticket | None:
        ready: list[tuple[_PriorityClass, Ticket]] = []
        for priority in sorted(self._priority_classes):
            priority_class = self._priority_classes[priority]
            ticket = self._first_ready(priority_class)
            if ticket is not None:
                ready.append((priority_class, ticket))
            elif not priority_class.flows:
                del self._priority_classes[priority]
        if not ready:
            return None
        chosen = ready[0]
        for candidate in ready[1:]:
            skipped = candidate[0].skipped_starts
            if skipped >= MAX_SKIPPED_STARTS and skipped > chosen[0].skipped_starts:
                chosen = candidate
        for priority_class, _ in ready:
            priority_class.skipped_starts = (
                0 if priority_class is chosen[0] else priority_class.skipped_starts + 1
            )
        return chosen[1]

    def _first_ready(self, priority_class: _PriorityClass) -> Ticket | None:
        best: Ticket | None = None
        best_start = 0.0
        for customer, flow in priority_class.flows.items():
            ticket = next(self._startable_tickets(flow), None)
            if ticket is None:
                continue
            start = priority_class.virtual_start(customer)
            if best is None or start < best_start:
                best, best_start = ticket, start
        return best

    def _startable_tickets(self, flow: deque[Ticket]) -> Iterator[Ticket]:
        for ticket in flow:
            params = ticket.params
            if self._running_by_customer[params.customer] >= params.customer_max_running:
                return
            if self._running_by_terms[(params.customer, params.terms)] >= params.terms_max_running:
                continue
            if ticket.start_condition is None or ticket.start_condition.is_ready():
                yield ticket

    def _adjust_waiting(self, params: SchedulingParams, change: int) -> None:
        self.waiting += change
        _adjust_counter(self._waiting_by_customer, params.customer, change)

    def _adjust_running(self, params: SchedulingParams, change: int) -> None:
        self._running += change
        _adjust_counter(self._running_by_customer, params.customer, change)
        _adjust_counter(self._running_by_terms, (params.customer, params.terms), change)

    def _count_reservations(self) -> int:
        self._expire_reservations()
        return len(self._reservations)

    def _expire_reservations(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._reservations and self._reservations[0][0] <= now_s:
            self._reservations.popleft()

    def _consume_reservation(self, customer: str) -> None:
        for reservation in self._reservations:
            if reservation[1].customer == customer:
                self._reservations.remove(reservation)
                return


def _adjust_counter(counter: Counter[Any], key: Any, change: int) -> None:
    counter[key] += change
    if not counter[key]:
        del counter[key]
