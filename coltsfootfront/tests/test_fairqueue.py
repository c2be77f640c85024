"""Tests of the weighted fair queue."""

import random
import unittest

from coltsfootfront.targets.fairqueue import MAX_PASSED, FairQueue, Share, Ticket
from coltsfootfront.tests.support import ManualClock


class FairQueueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.queue = FairQueue(self.clock)

    def _serve(self, tickets: list[Ticket]) -> list[str]:
        """End running requests one by one; return customers in the order of their start."""
        order: list[str] = []
        waiting = list(tickets)
        while waiting:
            started = [ticket for ticket in waiting if ticket.started_s is not None]
            self.assertTrue(started, "the queue must not stand still")
            for ticket in started:
                waiting.remove(ticket)
                order.append(ticket.share.customer)
            for ticket in started:
                self.queue.leave(ticket)
        return order

    async def test_a_flood_does_not_move_a_small_customer(self) -> None:
        """Guards against a customer at ten times its share delaying a small one."""
        flood = [self.queue.enter(Share("large", "x", 5)) for _ in range(50)]
        small = [self.queue.enter(Share("small", "x", 5)) for _ in range(5)]
        self.queue.set_slots(1)
        order = self._serve([*flood, *small])
        positions = [index for index, customer in enumerate(order) if customer == "small"]
        self.assertLessEqual(positions[0], 1)
        self.assertLessEqual(positions[-1], 10)

    async def test_weights_share_the_target(self) -> None:
        """Guards against weights without effect."""
        tickets = [self.queue.enter(Share("a", "x", 5, weight=3.0)) for _ in range(40)]
        tickets += [self.queue.enter(Share("b", "x", 5, weight=1.0)) for _ in range(40)]
        self.queue.set_slots(1)
        first = self._serve(tickets)[:40]
        self.assertAlmostEqual(30, first.count("a"), delta=1)

    async def test_urgent_requests_go_first_and_starve_nobody(self) -> None:
        """Guards against urgent load that keeps others out for ever."""
        patient = self.queue.enter(Share("patient", "x", 9))
        urgent = [self.queue.enter(Share("urgent", "x", 0)) for _ in range(30)]
        self.queue.set_slots(1)
        order = self._serve([patient, *urgent])
        self.assertEqual(["urgent"] * MAX_PASSED, order[:MAX_PASSED])
        self.assertEqual(MAX_PASSED, order.index("patient"))

    async def test_limits_of_running_requests(self) -> None:
        """Guards against a customer that holds more slots than it or its terms may."""
        self.queue.set_slots(8)
        by_customer = [self.queue.enter(Share("a", "x", 5, customer_running=2)) for _ in range(4)]
        by_terms = [self.queue.enter(Share("b", "y", 5, terms_running=1)) for _ in range(3)]
        other_terms = self.queue.enter(Share("b", "z", 5))
        self.assertEqual(2, sum(ticket.started_s is not None for ticket in by_customer))
        self.assertEqual(1, sum(ticket.started_s is not None for ticket in by_terms))
        self.assertIsNotNone(other_terms.started_s, "a limit of other terms must not block it")

    async def test_estimates(self) -> None:
        """Guards against estimates that ignore queue, running requests or reservations."""
        self.queue.set_slots(2)
        self.queue.service_s = 1.0
        share = Share("a", "x", 5)
        self.assertEqual(0.0, self.queue.estimate_s(share))
        self.queue.hold(share, 0.05)
        self.queue.hold(Share("b", "x", 5), 0.05)
        self.assertEqual(0.5, self.queue.estimate_s(share))
        self.clock.advance(0.1)
        self.assertEqual(0.0, self.queue.estimate_s(share), "reservations end by themselves")
        for _ in range(4):
            self.queue.enter(share)
        self.assertEqual(1.5, self.queue.estimate_s(share))
        self.assertEqual(0.5, self.queue.estimate_s(Share("b", "x", 1)), "urgent ones wait less")
        self.assertEqual(0.5, self.queue.estimate_s(Share("b", "x", 5)), "a has had its turns")

    async def test_reservations_of_one_customer_bound_the_estimate_of_another(self) -> None:
        """Guards against probes of a flood that get a small customer refused as overloaded."""
        self.queue.set_slots(1)
        self.queue.service_s = 1.0
        self.queue.enter(Share("large", "x", 5))
        small = Share("small", "x", 5)
        for _ in range(50):
            self.queue.hold(Share("large", "x", 5), 0.05)
            self.queue.hold(Share("patient", "x", 6), 0.05)
        self.assertEqual(1.0, self.queue.estimate_s(small), "one request runs, none goes before")
        self.queue.hold(Share("urgent", "x", 4), 0.05)
        self.assertEqual(2.0, self.queue.estimate_s(small), "urgent ones go first")

    async def test_any_order_of_events_leaves_the_queue_empty(self) -> None:
        """Guards against lost slots when requests leave in any state (seeds 0 to 19)."""
        for seed in range(20):
            with self.subTest(seed=seed):
                source = random.Random(seed)
                queue = FairQueue(self.clock)
                tickets: list[Ticket] = []
                for _ in range(300):
                    queue.set_slots(source.randint(0, 4))
                    if tickets and source.random() < 0.5:
                        queue.leave(tickets.pop(source.randrange(len(tickets))))
                    else:
                        share = Share(source.choice("abc"), "x", source.randint(0, 2), 1.0, 3, 2)
                        tickets.append(queue.enter(share, source.uniform(0.5, 5)))
                for ticket in tickets:
                    queue.leave(ticket)
                    queue.leave(ticket)
                self.assertEqual((0, 0, 0.0), (queue.running, queue.waiting, queue.load))
