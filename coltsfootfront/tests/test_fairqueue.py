"""Tests of the weighted fair queue."""

import random
import unittest

from coltsfootfront.targets.fairqueue import MAX_SKIPPED_STARTS, FairQueue, SchedulingParams, Ticket
from coltsfootfront.tests.support import ManualClock


class FairQueueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.queue = FairQueue(self.clock)

    def _serve(self, tickets: list[Ticket]) -> list[str]:
        """Release running requests until all have run; return customers in order of start."""
        order: list[str] = []
        waiting = list(tickets)
        while waiting:
            started = [ticket for ticket in waiting if ticket.started_s is not None]
            self.assertTrue(started, "no request was started")
            for ticket in started:
                waiting.remove(ticket)
                order.append(ticket.params.customer)
            for ticket in started:
                self.queue.release(ticket)
        return order

    async def test_flood_does_not_delay_a_small_customer(self) -> None:
        """Guards against a customer at ten times its share that delays a small one."""
        flood = [self.queue.enqueue(SchedulingParams("large", "x", 5)) for _ in range(50)]
        small = [self.queue.enqueue(SchedulingParams("small", "x", 5)) for _ in range(5)]
        self.queue.set_slots(1)
        order = self._serve([*flood, *small])
        positions = [index for index, customer in enumerate(order) if customer == "small"]
        self.assertLessEqual(positions[0], 1)
        self.assertLessEqual(positions[-1], 10)

    async def test_weights_share_the_target(self) -> None:
        """Guards against weights without effect on the distribution of slots."""
        tickets = [self.queue.enqueue(SchedulingParams("a", "x", 5, weight=3.0)) for _ in range(40)]
        tickets += [
            self.queue.enqueue(SchedulingParams("b", "x", 5, weight=1.0)) for _ in range(40)
        ]
        self.queue.set_slots(1)
        first = self._serve(tickets)[:40]
        self.assertAlmostEqual(30, first.count("a"), delta=1)

    async def test_urgent_requests_go_first_and_starve_nobody(self) -> None:
        """Guards against starvation of less urgent requests by urgent load."""
        patient = self.queue.enqueue(SchedulingParams("patient", "x", 9))
        urgent = [self.queue.enqueue(SchedulingParams("urgent", "x", 0)) for _ in range(30)]
        self.queue.set_slots(1)
        order = self._serve([patient, *urgent])
        self.assertEqual(["urgent"] * MAX_SKIPPED_STARTS, order[:MAX_SKIPPED_STARTS])
        self.assertEqual(MAX_SKIPPED_STARTS, order.index("patient"))

    async def test_limits_of_running_requests(self) -> None:
        """Guards against a customer with more slots than its limit or that of its terms."""
        self.queue.set_slots(8)
        by_customer = [
            self.queue.enqueue(SchedulingParams("a", "x", 5, customer_max_running=2))
            for _ in range(4)
        ]
        by_terms = [
            self.queue.enqueue(SchedulingParams("b", "y", 5, terms_max_running=1)) for _ in range(3)
        ]
        other_terms = self.queue.enqueue(SchedulingParams("b", "z", 5))
        self.assertEqual(2, sum(ticket.started_s is not None for ticket in by_customer))
        self.assertEqual(1, sum(ticket.started_s is not None for ticket in by_terms))
        self.assertIsNotNone(other_terms.started_s, "the limit of other terms must not apply")

    async def test_estimates(self) -> None:
        """Guards against estimates that ignore queue, running requests or reservations."""
        self.queue.set_slots(2)
        self.queue.service_s = 1.0
        params = SchedulingParams("a", "x", 5)
        self.assertEqual(0.0, self.queue.estimate_wait_s(params))
        self.queue.reserve(params, 0.05)
        self.queue.reserve(SchedulingParams("b", "x", 5), 0.05)
        self.assertEqual(0.5, self.queue.estimate_wait_s(params))
        self.clock.advance(0.1)
        self.assertEqual(0.0, self.queue.estimate_wait_s(params), "reservations expire")
        for _ in range(4):
            self.queue.enqueue(params)
        self.assertEqual(1.5, self.queue.estimate_wait_s(params))
        self.assertEqual(
            0.5,
            self.queue.estimate_wait_s(SchedulingParams("b", "x", 1)),
            "urgent requests wait less",
        )
        self.assertEqual(
            0.5,
            self.queue.estimate_wait_s(SchedulingParams("b", "x", 5)),
            "customer a has used its share",
        )

    async def test_reservations_do_not_inflate_the_estimate_of_another_customer(self) -> None:
        """Guards against refusing a small customer because of another customer's many probes."""
        self.queue.set_slots(1)
        self.queue.service_s = 1.0
        self.queue.enqueue(SchedulingParams("large", "x", 5))
        small = SchedulingParams("small", "x", 5)
        for _ in range(50):
            self.queue.reserve(SchedulingParams("large", "x", 5), 0.05)
            self.queue.reserve(SchedulingParams("patient", "x", 6), 0.05)
        self.assertEqual(
            1.0, self.queue.estimate_wait_s(small), "one request runs, none starts before"
        )
        self.queue.reserve(SchedulingParams("urgent", "x", 4), 0.05)
        self.assertEqual(
            2.0, self.queue.estimate_wait_s(small), "the urgent reservation comes first"
        )

    async def test_queue_is_empty_after_any_order_of_events(self) -> None:
        """Guards against slots lost when requests are released in any state (seeds 0 to 19)."""
        for seed in range(20):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                queue = FairQueue(self.clock)
                tickets: list[Ticket] = []
                for _ in range(300):
                    queue.set_slots(rng.randint(0, 4))
                    if tickets and rng.random() < 0.5:
                        queue.release(tickets.pop(rng.randrange(len(tickets))))
                    else:
                        params = SchedulingParams(
                            rng.choice("abc"), "x", rng.randint(0, 2), 1.0, 3, 2
                        )
                        tickets.append(queue.enqueue(params, rng.uniform(0.5, 5)))
                for ticket in tickets:
                    queue.release(ticket)
                    queue.release(ticket)
                self.assertEqual((0, 0, 0.0), (queue.running, queue.waiting, queue.load))
