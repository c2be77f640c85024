"""Lets long prompts wait at the router until a target has room for them.

The most urgent routes are not held: their prompts come before the others at the engines anyway.
"""

from collections.abc import Awaitable, Callable

from coltsfootfront.common.clock import Clock
from coltsfootfront.direct.requeststate import RequestState
from coltsfootfront.direct.targetselection import Placement, WaitReason
from coltsfootfront.scheduling import holding
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue, QueuedRequest

# Longest wait for a target that is loading weights, once a prompt has its turn.
MAX_TURN_S = 0.5

# A prompt is refused at once if its first event is expected this many times later than its caller
# waits for. Half of the first events come sooner than expected.
LATE_FACTOR = 2.0

ChooseTarget = Callable[[RequestState, float], Awaitable[Placement]]


def _given_up_s(state: RequestState) -> float:
    """Monotonic time until which a caller waits for the first event."""
    return min(state.deadline_s, state.request.received_s + state.route.event_timeout_s)


class NoCapacityError(Exception):
    """No target is expected to have room for a prompt in time.

    :param room_after_s: time after which there is room for a further one.
    """

    def __init__(self, room_after_s: float) -> None:
        super().__init__("no target will have room in time")
        self.room_after_s = room_after_s


class CapacityWait:
    """Places prompts, and holds the long ones back while no target would begin them soon.

    It takes effect where prompts are placed by their learned cost.

    :param clock: time source.
    :param queue: prompts that wait at this router.
    """

    __slots__ = ("_clock", "_queue")

    def __init__(self, clock: Clock, queue: DispatchQueue) -> None:
        self._clock = clock
        self._queue = queue

    async def place(
        self, state: RequestState, wait_until_s: float, choose_target: ChooseTarget
    ) -> Placement:
        """Choose a target, and wait until it has room.

        :param wait_until_s: monotonic time until which a request may wait for a target.
        :param choose_target: chooses a target for a request within such a time.
        :raises NoCapacityError: if there will be none in time.
        """
        placement = await choose_target(state, wait_until_s)
        if not self.would_hold(state, placement):
            return placement
        customer = state.customer.name if state.customer else ""
        objective_at_s = state.request.received_s + state.route.latency_objective_s
        work_s = max(0.0, placement.expected_s - placement.begin_s)
        queued = self._queue.enter(state.urgency, objective_at_s, customer, work_s)
        state.waited_for = WaitReason.CAPACITY
        is_sent = False
        try:
            placement = await self._wait(state, queued, choose_target)
            is_sent = True
        finally:
            self._queue.leave(queued, is_sent)
        return placement

    def would_hold(self, state: RequestState, placement: Placement) -> bool:
        """Whether a prompt that has just arrived would wait for room.

        :raises NoCapacityError: if it would be refused.
        """
        self._check_first_event(state, placement)
        return self._must_hold(state, placement, None)

    async def _wait(
        self, state: RequestState, queued: QueuedRequest, choose_target: ChooseTarget
    ) -> Placement:
        hold_until_s = holding.hold_until_s(state.request.received_s, _given_up_s(state))
        while True:
            now_s = self._clock.monotonic_s()
            expected_s = self._queue.expected_wait_s(queued)
            if holding.is_too_late(expected_s, now_s, _given_up_s(state)):
                raise NoCapacityError(expected_s or 0.0)
            await self._queue.wait_turn(queued, hold_until_s - now_s)
            turn_until_s = min(self._clock.monotonic_s() + MAX_TURN_S, state.deadline_s)
            placement = await choose_target(state, turn_until_s)
            if not self._must_hold(state, placement, queued):
                self._check_first_event(state, placement)
                return placement
            self._queue.postpone(queued)

    def _check_first_event(self, state: RequestState, placement: Placement) -> None:
        """Refuse a prompt at once that would have no first event before its caller gives up.

        :raises NoCapacityError: if even the best target is expected to be too late.
        """
        cost = placement.prompt_cost
        if cost is None or state.has_response_begun:
            return
        left_s = _given_up_s(state) - self._clock.monotonic_s()
        if cost.first_event_s > LATE_FACTOR * left_s:
            raise NoCapacityError(
                holding.room_after_s(cost.begin_s, state.route.latency_objective_s)
            )

    def _must_hold(
        self, state: RequestState, placement: Placement, queued: QueuedRequest | None
    ) -> bool:
        is_most_urgent = not state.route.priority
        if placement.prompt_cost is None or state.has_response_begun or is_most_urgent:
            return False
        hold_until_s = holding.hold_until_s(state.request.received_s, _given_up_s(state))
        if self._clock.monotonic_s() >= hold_until_s:
            return False
        candidate = holding.Candidate(
            placement.prefill_tokens, placement.begin_s, state.route.latency_objective_s
        )
        if not candidate.may_be_held():
            return False
        if queued is None and self._queue.has_before(state.urgency):
            return True
        return not candidate.has_room()
