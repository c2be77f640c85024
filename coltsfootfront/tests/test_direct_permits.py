"""Tests of the permits with which routers share a target's limit, on a virtual clock."""

import asyncio
import math
import unittest
from collections import Counter

from coltsfootfront.direct.issuers import SUSPICION_S
from coltsfootfront.direct.limits import DemandShares, PermitSchedule, TargetLimit
from coltsfootfront.direct.permitmessages import TargetKey
from coltsfootfront.direct.permits import RESEND_INTERVAL_S, SETTLE_S
from coltsfootfront.tests.permit_simulation import (
    STABLE_S,
    PermitSimulation,
    SimulatedRouter,
)
from coltsfootfront_dev.limitcheck import Period, excess_requests

# A few routers with most of the traffic, and some with hardly any.
UNEVEN = (60.0, 25.0, 10.0, 4.0, 1.0)
RATES_PER_S = (0.0, 0.5, 1.3, 10.0, 50.0)


class PermitScheduleTest(unittest.TestCase):
    def test_permits_are_spaced_by_the_rate(self) -> None:
        """Guards against bursts beyond the limit, and against permits that are not issued."""
        for rate_per_s in (0.5, 1.3, 10.0):
            schedule = PermitSchedule(rate_per_s, 0.0)
            granted = sum(schedule.reserve(0.0, step / 100)[0] for step in range(2001))
            self.assertAlmostEqual(20 * rate_per_s, granted, delta=1)
            burst = 0
            while schedule.reserve(0.0, 60.0)[0]:
                burst += 1
            self.assertLessEqual(burst, 1 + rate_per_s / 2)

    def test_new_schedule_has_no_accumulated_permits(self) -> None:
        """Guards against a second burst when another router becomes the issuer."""
        self.assertEqual((False, 0.5), PermitSchedule(2.0, 10.0).reserve(0.0, 10.0))

    def test_reserved_permits_follow_each_other(self) -> None:
        """Guards against waiting requests that are all sent at the same moment."""
        schedule = PermitSchedule(10.0, 0.0)
        waits_s = [schedule.reserve(0.35, 0.0) for _ in range(4)]
        self.assertEqual([True, True, True, False], [is_granted for is_granted, _ in waits_s])
        for expected_s, (_, wait_s) in zip((0.1, 0.2, 0.3, 0.4), waits_s, strict=True):
            self.assertAlmostEqual(expected_s, wait_s)

    def test_change_of_the_rate(self) -> None:
        """Guards against a raised limit that takes effect only after a long interval."""
        schedule = PermitSchedule(0.0, 0.0)
        schedule.set_rate(10.0, 1.0)
        self.assertTrue(schedule.reserve(0.0, 1.1)[0])

    def test_target_that_accepts_nothing_is_still_asked_now_and_then(self) -> None:
        """Guards against a limit of 0 that can never be seen to end."""
        schedule = PermitSchedule(0.0, 0.0)
        granted = sum(schedule.reserve(0.0, step / 10)[0] for step in range(201))
        self.assertEqual(4, granted)


class LimitAccountingTest(unittest.TestCase):
    def test_shares_follow_the_demand(self) -> None:
        """Guards against equal shares for routers of unequal traffic."""
        shares = DemandShares(0.0)
        for step in range(200):
            shares.add("small", 1, step / 10)
            large = shares.add("large", 9, step / 10)
        self.assertAlmostEqual(0.9, large, delta=0.02)
        self.assertGreater(shares.add("small", 1, 120.0), 0.9)

    def test_refused_callers_are_told_to_return_one_after_the_other(self) -> None:
        """Guards against a Retry-After at which only one of many callers can be served."""
        limit = TargetLimit(2.0, 0.0, 0.0, "the test", blocked_until_s=1.0, share=0.5)
        returns_s = []
        for _ in range(4):
            return_s = limit.expected_return_s(0.0)
            limit.record_refusal(return_s, deadline_s=3.5)
            returns_s.append(return_s)
        # The last two callers' deadlines pass before, so that they take no place.
        self.assertEqual([1.0, 2.0, 3.0, 4.0], returns_s)
        self.assertEqual(4.0, limit.expected_return_s(0.0))
        self.assertEqual(5, limit.take_demand())
        self.assertEqual(1, limit.take_demand())


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # Debug mode records the stack of each task, which takes most of the time.
        asyncio.get_running_loop().set_debug(False)

    def _simulate(
        self, seed: int, rate_per_s: float, weights: tuple[float, ...]
    ) -> PermitSimulation:
        simulation = PermitSimulation(seed, rate_per_s, weights)
        self.addCleanup(simulation.close)
        return simulation

    def _excess(self, simulation: PermitSimulation, begin_s: float) -> str | None:
        named = Period(begin_s, simulation.time.now_s)
        told_s = dict.fromkeys(simulation.routers, -math.inf)
        return excess_requests(
            simulation.arrivals,
            named,
            simulation.rate_per_s,
            told_s,
            simulation.excused,
            STABLE_S,
        )

    def _issuer(self, simulation: PermitSimulation) -> SimulatedRouter:
        router = next(iter(simulation.routers.values()))
        return simulation.routers[router.permits._issuers.first(TargetKey.of(router.target))]

    async def test_routers_of_unequal_traffic_use_the_whole_limit(self) -> None:
        """Guards against a limit that is exceeded, or left unused since each has a fixed part."""
        for routers in (1, 5, 68):
            for rate_per_s in RATES_PER_S:
                with self.subTest(routers=routers, rate_per_s=rate_per_s):
                    weights = (UNEVEN * 14)[:routers]
                    simulation = self._simulate(1, rate_per_s, weights)
                    begin_s = simulation.time.now_s
                    await simulation.send_for(20.0, 10.0 + 3 * rate_per_s)
                    self.assertIsNone(self._excess(simulation, begin_s))
                    # A second's worth and one request may be lost before the first permit.
                    self.assertGreaterEqual(len(simulation.arrivals), rate_per_s * 19 - 1)

    async def test_permits_follow_the_traffic(self) -> None:
        """Guards against a router near the issuer that gets the permits of all others."""
        simulation = self._simulate(2, 10.0, UNEVEN)
        await simulation.send_for(60.0, 40.0)
        served = Counter(arrival.router for arrival in simulation.arrivals)
        for router, weight in zip(simulation.routers.values(), UNEVEN, strict=True):
            share = served[router.name] / served.total()
            self.assertGreater(share, weight / sum(UNEVEN) / 2, served)
            self.assertLess(share, weight / sum(UNEVEN) * 2, served)

    async def test_limit_holds_under_random_disturbances(self) -> None:
        """Guards against two issuers at once when routers are killed, frozen, cut off or added."""
        for seed in range(24):
            with self.subTest(seed=seed):
                rate_per_s = RATES_PER_S[seed % len(RATES_PER_S)]
                simulation = self._simulate(seed, rate_per_s, UNEVEN)
                simulation.loss_rate = (0.0, 0.02, 0.1)[seed % 3]
                begin_s = simulation.time.now_s
                running = []
                for _ in range(12):
                    await simulation.send_for(simulation.generator.uniform(0.3, 3.0), 60.0)
                    router = simulation.generator.choice(list(simulation.routers.values()))
                    kind = simulation.generator.choice(("kill", "freeze", "cut", "add"))
                    if kind == "add":
                        simulation.excuse(simulation.add(20.0), 0.0)
                    elif router.is_running and not router.is_cut:
                        for_s = simulation.generator.uniform(0.1, 3.0)
                        running.append(
                            asyncio.ensure_future(simulation.disturb(router, kind, for_s))
                        )
                await simulation.send_for(STABLE_S, 60.0)
                await asyncio.gather(*running)
                self.assertIsNone(self._excess(simulation, begin_s))

    async def test_next_router_issues_when_the_issuer_is_silent(self) -> None:
        """Guards against a limit that nobody may use once its issuer has crashed."""
        simulation = self._simulate(3, 5.0, UNEVEN)
        await simulation.send_for(2.0, 40.0)
        issuer = self._issuer(simulation)
        issuer.kill()
        before = len(simulation.arrivals)
        await simulation.send_for(6.0, 40.0)
        self.assertGreaterEqual(len(simulation.arrivals) - before, 5.0 * 4)
        self.assertIsNone(self._excess(simulation, simulation.time.now_s - 6.0))

    async def test_suspected_issuer_that_is_alive_refers_to_the_next(self) -> None:
        """Guards against two issuers after a router was suspected by mistake."""
        simulation = self._simulate(4, 50.0, UNEVEN)
        await simulation.send_for(5.0, 200.0)
        issuer = self._issuer(simulation)
        for _ in range(3):
            accuser = next(item for item in simulation.routers.values() if item is not issuer)
            accuser.permits.handle_suspicion(issuer.name, SUSPICION_S)
            accuser.announce_suspicion(issuer.name, SUSPICION_S)
            await simulation.send_for(SUSPICION_S / 2, 200.0)
            self.assertFalse(issuer.permits._issuances)
        self.assertIsNone(self._excess(simulation, simulation.time.now_s - 3 * SUSPICION_S))

    async def test_router_that_has_just_started_does_not_issue(self) -> None:
        """Guards against two issuers while some routers still suspect one that has restarted."""
        simulation = self._simulate(5, 5.0, UNEVEN)
        await simulation.send_for(SETTLE_S + 1.0, 40.0)
        issuer = self._issuer(simulation)
        issuer.kill()
        issuer.start()
        before = len(simulation.arrivals)
        await simulation.send_for(SETTLE_S - 1.0, 40.0)
        self.assertFalse(issuer.permits._issuances)
        self.assertGreaterEqual(len(simulation.arrivals) - before, 5.0 * (SETTLE_S - 2.0))
        await simulation.send_for(3.0, 40.0)
        self.assertTrue(issuer.permits._issuances)

    async def test_router_that_stops_hands_over_at_once(self) -> None:
        """Guards against permits that wait for a router which is stopping."""
        simulation = self._simulate(6, 5.0, UNEVEN)
        await simulation.send_for(SETTLE_S + 1.0, 40.0)
        issuer = self._issuer(simulation)
        issuer.permits.resign()
        before = len(simulation.arrivals)
        await simulation.send_for(2 * SUSPICION_S, 40.0)
        self.assertGreaterEqual(len(simulation.arrivals) - before, 5.0 * (2 * SUSPICION_S - 1.0))
        self.assertFalse(issuer.permits._issuances)

    async def test_limit_that_ends_while_a_permit_is_asked_for(self) -> None:
        """Guards against a request that waits for a permit which it no longer needs."""
        simulation = self._simulate(8, 0.5, UNEVEN)
        issuer = "10.0.0.1:80"
        for router in simulation.routers.values():
            router.is_cut = True
            issuer = router.permits._issuers.first(TargetKey.of(router.target))
        asking = next(item for item in simulation.routers.values() if item.name != issuer)
        task = asyncio.ensure_future(asking.permits.acquire(asking.target))
        await simulation.time.run_until(simulation.time.now_s + RESEND_INTERVAL_S)
        asking.target.limit = None
        await simulation.time.run_until(simulation.time.now_s + 1.0)
        self.assertTrue(task.done() and task.result())

    async def test_permit_is_not_used_after_a_pause(self) -> None:
        """Guards against a router that acts on a permission that ran out while it was frozen."""
        simulation = self._simulate(7, 1.0, UNEVEN)
        await simulation.send_for(5.0, 0.001)
        for router in simulation.routers.values():
            router.run(router.serve(max_wait_s=3.0))
        await simulation.time.run_until(simulation.time.now_s + 0.1)
        sent = len(simulation.arrivals)
        for router in simulation.routers.values():
            router.clock.frozen_until_s = simulation.time.now_s + 5.0
        await simulation.send_for(6.0, 0.001)
        self.assertEqual(sent, len(simulation.arrivals))
