"""Tests of the queue in which long prompts wait at a router for room at the engines."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootfront.scheduling import holding
from coltsfootfront.scheduling.dispatchqueue import (
    MAX_FAILED_PER_INTERVAL,
    MAX_SENT_PER_INTERVAL,
    TURN_INTERVAL_S,
    DispatchQueue,
    QueuedRequest,
)
from coltsfootfront.tests.support import ManualClock

FAR_S = 1e6

entries = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from(("large", "small", "other")),
        st.floats(0.001, 2.0),
    ),
    min_size=1,
    max_size=40,
)


class DispatchQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.queue = DispatchQueue(self.clock)
        self.waiting: list[QueuedRequest] = []

    def _enter(
        self, urgency: int = 0, customer: str = "c", work_s: float = 0.1, objective_s: float = FAR_S
    ) -> QueuedRequest:
        objective_at_s = self.clock.monotonic_s() + objective_s
        request = self.queue.enter(urgency, objective_at_s, customer, work_s)
        self.waiting.append(request)
        return request

    def _turn(self) -> QueuedRequest | None:
        return next((request for request in self.waiting if request.turn.is_set()), None)

    def _send(self, request: QueuedRequest) -> None:
        self.waiting.remove(request)
        self.queue.leave(request, is_sent=True)

    def _send_all(self, room_per_interval: int = MAX_SENT_PER_INTERVAL) -> list[QueuedRequest]:
        """Send requests in the order of their turns until none waits."""
        order = []
        while self.waiting:
            self.clock.advance(TURN_INTERVAL_S)
            self.queue.start_interval()
            room = room_per_interval
            while (request := self._turn()) is not None:
                if room:
                    room -= 1
                    order.append(request)
                    self._send(request)
                else:
                    self.queue.postpone(request)
        return order

    def test_the_more_urgent_goes_first(self) -> None:
        """Guards against serving a less urgent kind before a more urgent one."""
        later, first = self._enter(urgency=2), self._enter(urgency=0)
        self.assertEqual(self._send_all(), [first, later])

    def test_what_can_still_be_in_time_goes_before_what_is_late(self) -> None:
        """Guards against making all late in a burst, one after the other."""
        late = self._enter(objective_s=0.01)
        in_time = self._enter(objective_s=5.0)
        self.assertEqual(self._send_all(), [in_time, late])

    def test_a_large_customer_does_not_keep_a_small_one_waiting(self) -> None:
        """Guards against a small customer paying for the burst of a large one."""
        for _ in range(30):
            self._enter(customer="large")
        small = [self._enter(customer="small") for _ in range(2)]
        order = self._send_all()
        self.assertLess(max(order.index(request) for request in small), 5)

    def test_work_and_not_requests_is_shared(self) -> None:
        """Guards against a customer with long prompts getting several times the work of others."""
        for _ in range(20):
            self._enter(customer="long", work_s=0.4)
            self._enter(customer="short", work_s=0.1)
        order = self._send_all()[:20]
        work_s = {
            name: sum(request.work_s for request in order if request.customer == name)
            for name in ("long", "short")
        }
        self.assertLess(abs(work_s["long"] - work_s["short"]), 0.5)

    def test_an_interval_sends_no_herd(self) -> None:
        """Guards against all that waits going to the engine whose queue has become short."""
        for _ in range(20):
            self._enter()
        self.queue.start_interval()
        sent = 0
        while (request := self._turn()) is not None:
            sent += 1
            self._send(request)
        self.assertEqual(sent, MAX_SENT_PER_INTERVAL)

    def test_few_are_placed_in_vain_in_an_interval(self) -> None:
        """Guards against using up the processor by placing all that wait again and again."""
        for number in range(20):
            self._enter(work_s=0.5**number)
        self.queue.start_interval()
        failed = 0
        while (request := self._turn()) is not None:
            failed += 1
            self.queue.postpone(request)
        self.assertEqual(failed, MAX_FAILED_PER_INTERVAL)

    def test_a_long_prompt_without_room_does_not_keep_a_short_one_back(self) -> None:
        """Guards against shorter prompts, which engines begin sooner, waiting behind long ones."""
        longest, equal = self._enter(work_s=0.5), self._enter(work_s=0.5)
        short = self._enter(work_s=0.1)
        self.queue.start_interval()
        self.assertTrue(longest.turn.is_set())
        self.queue.postpone(longest)
        self.assertFalse(equal.turn.is_set())
        self.assertTrue(short.turn.is_set())

    def test_a_request_that_leaves_in_its_turn_passes_it_on(self) -> None:
        """Guards against a queue that stands still because a caller has left."""
        first, second = self._enter(), self._enter()
        self.queue.start_interval()
        self.assertTrue(first.turn.is_set())
        self.waiting.remove(first)
        self.queue.leave(first, is_sent=False)
        self.assertTrue(second.turn.is_set())

    def test_the_expected_wait_follows_the_rate_at_which_work_leaves(self) -> None:
        """Guards against refusing, or keeping, prompts by a wait that is not the real one."""
        for _ in range(200):
            self._enter(work_s=0.1)
        last = self.waiting[-1]
        self.assertIsNone(self.queue.expected_wait_s(last))
        for _ in range(60):
            self.clock.advance(TURN_INTERVAL_S)
            self.queue.start_interval()
            request = self._turn()
            assert request is not None
            self._send(request)
            while (other := self._turn()) is not None:
                self.queue.postpone(other)
        wait_s = self.queue.expected_wait_s(last)
        assert wait_s is not None
        self.assertAlmostEqual(wait_s, 139 * TURN_INTERVAL_S, delta=0.25 * wait_s)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(entries, st.integers(1, 4), st.randoms(use_true_random=False))
    def test_each_request_gets_its_turn(
        self, entered: list[tuple[int, str, float]], room: int, generator: random.Random
    ) -> None:
        """Guards against a request that is lost in the queue, whatever enters and leaves."""
        self.setUp()
        requests = []
        for urgency, customer, work_s in entered:
            requests.append(self._enter(urgency, customer, work_s, generator.uniform(0, 1)))
            if generator.random() < 0.2:
                gone = self.waiting.pop(generator.randrange(len(self.waiting)))
                requests.remove(gone)
                self.queue.leave(gone, is_sent=False)
        order = self._send_all(room)
        self.assertCountEqual(order, requests)
        self.assertFalse(len(self.queue))


class HoldingTest(unittest.TestCase):
    def test_a_prompt_is_held_only_while_the_target_would_begin_it_late(self) -> None:
        """Guards against holding prompts while there is room, and sending them without room."""
        self.assertTrue(holding.Candidate(8000, 0.2, 1.5).has_room())
        self.assertFalse(holding.Candidate(8000, 0.6, 1.5).has_room())

    def test_a_prompt_is_held_for_a_part_of_its_time(self) -> None:
        """Guards against starvation of prompts that others always come before."""
        self.assertAlmostEqual(
            holding.hold_until_s(100.0, 115.0), 100.0 + holding.MAX_HOLD_SHARE * 15
        )

    def test_short_prompts_are_not_held(self) -> None:
        """Guards against quick checks that wait at the router for their turn."""
        self.assertFalse(holding.Candidate(1200, 3.0, 0.4).may_be_held())

    def test_a_prompt_is_refused_at_once_only_if_its_wait_is_known_and_too_long(self) -> None:
        """Guards against refusing what could be served, and against holding what cannot."""
        self.assertFalse(holding.is_too_late(None, 0.0, 15.0))
        self.assertFalse(holding.is_too_late(5.0, 0.0, 15.0))
        self.assertTrue(holding.is_too_late(10.0, 0.0, 15.0))
