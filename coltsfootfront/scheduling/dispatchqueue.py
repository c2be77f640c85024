"""Queue of a router's long prompts while the engines have no room for them.

Load it answers: bursts in which more prompts arrive than the engines can prefill. An engine ranks
what waits there, but what has been sent stays sent: it is rejected together when the engine loads
weights, which uses up the retry budget, and a prompt cannot move to an engine that becomes free.
Long prompts therefore wait at the router, and go to an engine whose own queue is short.

Order: the more urgent first; then those that can still meet their objective, as an answer in time
is worth more than one that is late in any case; then by fair shares of the work between customers.
None waits without end: :mod:`coltsfootfront.scheduling.holding` limits the time.
"""

import asyncio
import math
from dataclasses import dataclass, field

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

# Interval at which waiting requests are placed again. Reports of the engines' queues come about as
# often; with a shorter one, all routers would send to the same engine before they see its queue
# grow.
TURN_INTERVAL_S = 0.06
# Requests that may be sent in one interval, and of those that find no room before it ends.
MAX_SENT_PER_INTERVAL = 4
MAX_FAILED_PER_INTERVAL = 3
# Where one has found no room, only those with less work than this share of its own are placed next:
# engines rank prompts by their length, so a shorter one may begin sooner.
SHORTER_SHARE = 0.7
# Half-life of the measured rate at which work leaves the queue.
RATE_HALF_LIFE_S = 1.0
# A rate that was measured over less than this time is not relied on.
MIN_MEASURED_S = 1.0


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for room.

    :param urgency: 0 is the most urgent.
    :param objective_at_s: monotonic time until which its answer is in time.
    :param work_s: expected time of its prefill.
    :param virtual_start: place among the customers' requests, in units of work.
    """

    urgency: int
    objective_at_s: float
    customer: str
    work_s: float
    virtual_start: float
    entered_s: float
    turn: asyncio.Event = field(default_factory=asyncio.Event)

    def rank(self, now_s: float) -> tuple[int, bool, float]:
        """Sort key; the lowest comes first."""
        return self.urgency, now_s > self.objective_at_s, self.virtual_start


class DispatchQueue:
    """Waiting requests of one router.

    :param clock: time source.
    """

    __slots__ = (
        "_active_s",
        "_clock",
        "_failed",
        "_failed_work_s",
        "_finish",
        "_is_turn_out",
        "_rate_s_per_s",
        "_sent",
        "_updated_s",
        "_virtual_time",
        "_waiting",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[QueuedRequest] = []
        self._finish: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sent = self._failed = 0
        self._failed_work_s = math.inf
        self._is_turn_out = False
        self._rate_s_per_s = 0.0
        self._active_s = 0.0
        self._updated_s = clock.monotonic_s()

    def __len__(self) -> int:
        return len(self._waiting)

    async def run(self) -> None:
        """Run the loop that gives waiting requests their turns."""
        while True:
            await self._clock.sleep(TURN_INTERVAL_S)
            self.start_interval()

    def start_interval(self) -> None:
        """Begin an interval, in which the first requests are placed again."""
        self._sent = self._failed = 0
        self._failed_work_s = math.inf
        self._is_turn_out = False
        self._update_rate(0.0)
        self._give_turn(set())

    def enter(
        self, urgency: int, objective_at_s: float, customer: str, work_s: float
    ) -> QueuedRequest:
        """Add a request."""
        virtual_start = max(self._virtual_time, self._finish.get(customer, 0.0))
        self._finish[customer] = virtual_start + work_s
        request = QueuedRequest(
            urgency,
            objective_at_s,
            customer,
            work_s,
            virtual_start,
            self._clock.monotonic_s(),
        )
        if not self._waiting:
            self._active_s = 0.0
        self._waiting.append(request)
        metrics.HELD_REQUESTS.set({}, len(self._waiting))
        return request

    def leave(self, request: QueuedRequest, is_sent: bool) -> None:
        """Remove a request, because it is sent or because it has ended."""
        self._waiting.remove(request)
        metrics.HELD_REQUESTS.set({}, len(self._waiting))
        metrics.HOLD_DURATION_S.observe({}, self._clock.monotonic_s() - request.entered_s)
        if not self._waiting:
            self._finish.clear()
            self._virtual_time = 0.0
        had_turn = request.turn.is_set()
        if is_sent:
            self._virtual_time = max(self._virtual_time, request.virtual_start)
            self._update_rate(request.work_s)
            self._sent += had_turn
        if had_turn:
            self._is_turn_out = False
            self._give_turn({request})

    def postpone(self, request: QueuedRequest) -> None:
        """Let a request wait on, as it has found no room in its turn."""
        request.turn.clear()
        self._failed += 1
        self._failed_work_s = min(self._failed_work_s, request.work_s)
        self._is_turn_out = False
        self._give_turn({request})

    async def wait_turn(self, request: QueuedRequest, limit_s: float) -> None:
        """Wait until a request may be placed again.

        :param limit_s: longest wait in seconds.
        """
        try:
            async with asyncio.timeout(limit_s):
                await request.turn.wait()
        except TimeoutError:
            return

    def has_before(self, urgency: int) -> bool:
        """Whether requests wait that come before a new one of an urgency."""
        return any(request.urgency <= urgency for request in self._waiting)

    def expected_wait_s(self, request: QueuedRequest) -> float | None:
        """Expected time until a waiting request is sent, None if it is unknown."""
        if self._active_s < MIN_MEASURED_S or self._rate_s_per_s <= 0:
            return None
        now_s = self._clock.monotonic_s()
        rank = request.rank(now_s)
        before = [other for other in self._waiting if other.rank(now_s) < rank]
        return sum(other.work_s for other in before) / self._rate_s_per_s

    def _give_turn(self, excluded: set[QueuedRequest]) -> None:
        """Let the first request that has had no turn in this interval be placed again."""
        if self._is_turn_out or self._sent >= MAX_SENT_PER_INTERVAL:
            return
        if self._failed >= MAX_FAILED_PER_INTERVAL:
            return
        now_s = self._clock.monotonic_s()
        candidates = [
            request
            for request in self._waiting
            if request not in excluded
            and not request.turn.is_set()
            and (not self._failed or request.work_s < SHORTER_SHARE * self._failed_work_s)
        ]
        if not candidates:
            return
        first = min(candidates, key=lambda request: request.rank(now_s))
        self._is_turn_out = True
        first.turn.set()

    def _update_rate(self, work_s: float) -> None:
        """Measure the rate at which work leaves while requests wait."""
        now_s = self._clock.monotonic_s()
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        if self._waiting:
            self._active_s += passed_s
        self._rate_s_per_s *= 0.5 ** (passed_s / RATE_HALF_LIFE_S)
        # The integral of the decaying weight is the half-life over ln 2.
        self._rate_s_per_s += work_s * math.log(2) / RATE_HALF_LIFE_S
