"""Tests of what is learned of the cost of requests, and of its use for placement."""

import contextlib
import random
import time
import unittest
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.costs.callcost import CallModel, PendingCalls, RouteWork
from coltsfootfront.costs.fitting import MAX_FACTOR, MIN_FACTOR, TimeRegression
from coltsfootfront.costs.model import CostModel
from coltsfootfront.costs.outputlength import OutputLengths
from coltsfootfront.costs.pace import TargetPace
from coltsfootfront.costs.pending import PEER_TTL_S, PRIORITIES, PendingWork
from coltsfootfront.costs.promptcost import PRIOR, FirstEventModel
from coltsfootfront.direct.backlog import PRIORITIES as TARGET_PRIORITIES
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.targetclient import ExchangeError, ExchangeFailure
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
    Wait,
)
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.tests.direct_support import (
    ENGINE_PROPERTIES,
    MODEL,
    REGIONS,
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.support import ManualClock


class PendingWorkTest(unittest.TestCase):
    def test_priorities_are_those_of_targets(self) -> None:
        """Guards against totals of one priority that count as another one's."""
        self.assertEqual(TARGET_PRIORITIES, PRIORITIES)

    def test_prompts_wait_for_more_urgent_ones_of_all_routers(self) -> None:
        """Guards against work of peers, or of a priority, that is missing in the estimate."""
        pending = PendingWork()
        pending.add(1, 500)
        pending.add(5, 9000)
        pending.record_peer("one", [0, 700, 0, 0, 0, 8000], 1.0)
        pending.record_peer("two", [300], 1.0)
        self.assertEqual([300, 1500, 18_500], [pending.ahead_tokens(p) for p in (0, 1, 9)])
        self.assertEqual(17_000, pending.behind_tokens(1))
        self.assertEqual([0, 500, 0, 0, 0, 9000], pending.own_totals())

    def test_later_totals_replace_earlier_ones(self) -> None:
        """Guards against work that stays for good after a lost message."""
        pending = PendingWork()
        for totals in ([0, 700], [0, 900, 50], [0, 100]):
            pending.record_peer("one", totals, 1.0)
        self.assertEqual(100, pending.ahead_tokens(9))
        pending.record_peer("one", [], 1.0)
        self.assertEqual(0, pending.ahead_tokens(9))

    def test_totals_of_a_router_that_has_gone_are_dropped(self) -> None:
        """Guards against targets that are avoided since a killed router had prompts there."""
        pending = PendingWork()
        pending.record_peer("one", [100], 1.0)
        pending.record_peer("two", [40], 1.0 + PEER_TTL_S)
        pending.drop_stale(1.1 + PEER_TTL_S)
        self.assertEqual(40, pending.ahead_tokens(9))

    def test_totals_of_further_priorities_are_ignored(self) -> None:
        """Guards against an error by the message of a later version."""
        pending = PendingWork()
        pending.record_peer("one", [1] * 20, 1.0)
        self.assertEqual(PRIORITIES, pending.ahead_tokens(9))


class TimeRegressionTest(unittest.TestCase):
    def test_median_is_found_despite_outliers(self) -> None:
        """Load: one outcome in eight takes ten times as long.

        Guards against an estimate that a few failing requests draw far above what is usual.
        """
        generator = random.Random(4)
        regression = TimeRegression(PRIOR)
        ratios = []
        for number in range(800):
            features = (1.0, generator.uniform(200, 9000), generator.uniform(0, 60_000), 8.0, 0.0)
            took_s = 0.02 + 1.1e-5 * features[1] + 0.8e-5 * features[2]
            took_s *= generator.lognormvariate(0.0, 0.3) * (10 if number % 8 == 0 else 1)
            if number > 300:
                ratios.append(took_s / regression.estimate_s(features))
            regression.record(features, took_s)
        self.assertTrue(0.85 < sorted(ratios)[len(ratios) // 2] < 1.2)

    def test_coefficients_stay_near_their_prior(self) -> None:
        """Guards against endless, zero or negative times after implausible outcomes."""
        for took_s in (0.0, 1e-9, 1e6):
            regression = TimeRegression(PRIOR)
            for _ in range(200):
                regression.record((1.0, 0.0, 5e5, 0.0, 1.0), took_s)
            for found, prior in zip(regression.coefficients, PRIOR, strict=True):
                self.assertTrue(
                    0.99 * MIN_FACTOR * prior <= found <= 1.01 * MAX_FACTOR * prior, found
                )

    def test_estimates_of_a_router_that_has_just_started_are_usable(self) -> None:
        """Guards against a router without outcomes that takes all targets for alike."""
        model, pace = FirstEventModel(), TargetPace()
        idle = model.estimate(2000, 0, 2, False, pace, 0.0)
        busy = model.estimate(2000, 50_000, 40, False, pace, 0.0)
        self.assertTrue(0.05 < idle.first_event_s < 0.2)
        self.assertGreater(busy.first_event_s, idle.first_event_s + 0.4)
        self.assertEqual(0.0, idle.begin_s)


class RouteWorkTest(unittest.TestCase):
    def test_mean_and_spread_are_learned(self) -> None:
        """Guards against a spread that one route's calls lend to another's."""
        generator = random.Random(2)
        light, heavy = RouteWork(0.06), RouteWork(0.06)
        for _ in range(2000):
            light.record(0.002)
            heavy.record(0.09 * generator.lognormvariate(-0.18, 0.6))
        self.assertAlmostEqual(0.002, light.mean_s, delta=0.0005)
        self.assertAlmostEqual(0.09, heavy.mean_s, delta=0.015)
        self.assertLess(light.spread2, 0.2)
        self.assertTrue(0.2 < heavy.spread2 < 0.8)

    def test_call_that_takes_long_is_not_expected_to_end_at_once(self) -> None:
        """Guards against a target that counts as free since its calls have passed their mean."""
        work = RouteWork(0.1, spread=0.6)
        self.assertAlmostEqual(0.1, work.remaining_s(0.0))
        self.assertAlmostEqual(0.05, work.remaining_s(0.05))
        self.assertAlmostEqual(0.036, work.remaining_s(0.5))


class CallModelTest(unittest.TestCase):
    def setUp(self) -> None:
        self.model = CallModel()
        for _ in range(300):
            for route, took_s in (("light", 0.01), ("heavy", 0.2)):
                cost = self.model.estimate(route, PendingCalls(), 0, 6, TargetPace(), 0.0)
                self.model.record(route, cost, took_s, 1.0)

    def test_calls_count_by_the_work_that_is_left(self) -> None:
        """Guards against a target with heavy calls that counts like one with light ones."""
        waits = []
        for route in ("light", "heavy"):
            calls = PendingCalls()
            for number in range(6):
                calls.begin(number, self.model.route(route), 0.0)
            cost = self.model.estimate("light", calls, 6, 6, TargetPace(), 0.0)
            waits.append(cost.wait_s)
        self.assertAlmostEqual(0.01, waits[0], delta=0.003)
        self.assertAlmostEqual(0.2, waits[1], delta=0.03)

    def test_call_at_free_slots_waits_hardly(self) -> None:
        """Guards against traffic to other data centres for the sake of slots that are not full."""
        cost = self.model.estimate("heavy", PendingCalls(), 2, 6, TargetPace(), 0.0)
        self.assertLess(cost.wait_s, 0.004)

    def test_call_that_has_waited_does_not_count_as_work(self) -> None:
        """Guards against calls that seem heavier the busier their targets are."""
        before_s = self.model.route("light").mean_s
        for _ in range(50):
            cost = self.model.estimate("light", PendingCalls(), 20, 6, TargetPace(), 0.0)
            self.model.record("light", cost, 0.9, 1.0)
        self.assertEqual(before_s, self.model.route("light").mean_s)

    def test_routes_are_bounded(self) -> None:
        """Guards against memory that grows with names of routes that have gone."""
        for number in range(1000):
            self.model.route(f"r{number}").record(0.1)
        self.assertIs(self.model.route("other1"), self.model.route("other2"))


class OutputLengthsTest(unittest.TestCase):
    def test_length_is_learned_from_the_hint(self) -> None:
        """Guards against hints, of which an event covers several, that are taken for lengths."""
        generator = random.Random(3)
        lengths = OutputLengths()
        for _ in range(300):
            hint = round(generator.lognormvariate(5.0, 0.8))
            lengths.record("r", hint, round(hint / 6 * generator.lognormvariate(0.0, 0.4)))
        for hint in (60, 150, 400):
            with self.subTest(hint=hint):
                self.assertAlmostEqual(1.0, lengths.estimate("r", hint, 0) / (hint / 6), delta=0.3)
        self.assertEqual(20.0, lengths.estimate("r", 4000, 20))

    def test_length_without_hint_is_the_mean_of_the_route(self) -> None:
        """Guards against long routes that count like short ones where callers give no hint."""
        lengths = OutputLengths()
        for _ in range(200):
            lengths.record("long", None, 60)
            lengths.record("short", None, 2)
        self.assertAlmostEqual(60.0, lengths.estimate("long", None, 0), delta=6.0)
        self.assertAlmostEqual(2.0, lengths.estimate("short", None, 0), delta=0.3)
        self.assertGreater(lengths.estimate("unknown", None, 0), 2.0)


class CostPlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.costs = CostModel()
        self.directory = Directory(self.clock, REGIONS)
        self.versions = WeightVersions(self.clock, self.directory, 10.0, 4.0)
        self.cache_index = CacheIndex(self.clock)
        planner = CachePlanner(self.clock, REGIONS, self.cache_index, self.versions)
        self.selector = PromptTargetSelector(
            self.clock, "east", planner, self.versions, PrefillRates(), self.costs
        )
        for number in range(4):
            self.directory.put(make_entry(f"e{number}"))

    def _choose(self, tokens: int = 0, wait_s: float = 0.0) -> Placement | Wait | None:
        request = make_request(
            parts=(("doc", 9000), ("own", 1000)) if not tokens else (("own", tokens),)
        )
        targets = self.directory.of_service("engines")
        until_s = self.clock.monotonic_s() + wait_s
        return self.selector.choose(request, "", targets, until_s, ENGINE_PROPERTIES, (), 0)

    def _place(self, tokens: int = 5000) -> Placement:
        found = self._choose(tokens)
        assert isinstance(found, Placement)
        return found

    def test_placement_without_quotas_and_told_paces_does_not_depend_on_what_is_learned(
        self,
    ) -> None:
        """Guards against changed placement in deployments that don't call for it."""
        before = self._place()
        before.target.pending.add(0, 500_000)
        pace = before.target.pace
        pace.outcomes = self.costs.outcomes("engines")
        for _ in range(50):
            pace.record_outcome(0.1, 1.0, self.clock.monotonic_s())
            self.costs.prompts("engines").record(
                FirstEventModel().estimate(5000, 0, 0, False, pace, 0.0), 3.0
            )
        after = self._place()
        self.assertEqual(before, after)
        self.assertIsNone(after.prompt_cost)
        plain = PlainTargetSelector(self.clock, "a", "east", random.Random(1), self.costs)
        found = plain.choose(self.directory.of_service("engines"), "route")
        assert found is not None
        self.assertIsNone(found.call_cost)
        self.costs.has_quotas = True
        self.assertIsNot(before.target, self._place().target)

    def test_pending_prompts_are_placed_around(self) -> None:
        """Guards against an engine whose queue does not drain as fast as assumed."""
        self.costs.has_quotas = True
        first = self._place()
        first.target.pending.record_peer("peer", [0, 0, 0, 0, 60_000], self.clock.monotonic_s())
        self.clock.advance(3.0)
        self.assertIsNot(first.target, self._place().target)

    def test_quick_prompts_go_where_they_overtake_fewer(self) -> None:
        """Guards against long prompts that are overtaken by all quick ones."""
        self.costs.has_quotas = True
        quick = self._place(600)
        quick.target.pending.add(5, 200_000)
        self.assertIsNot(quick.target, self._place(600).target)
        # The delay of others must not make a start on older weights seem too late, which is allowed
        # for 2 s more.
        for target in self.directory.all():
            target.pending.add(5, 4_000_000)
        self.versions.record_published(MODEL, 1, self.clock.monotonic_s())
        self.versions.record_published(MODEL, 2, self.clock.monotonic_s())
        self.clock.advance(8.0)
        self.assertGreater(self._place(600).price_s, 2.0)

    def test_prompts_wait_for_the_weights_and_for_what_waits_for_them(self) -> None:
        """Guards against a target that loads weights and counts as free in the moment it has."""
        self.costs.has_quotas = True
        target = self._place().target
        for name in ("e0", "e1", "e2", "e3"):
            if name != target.name:
                self.directory.put(make_entry(name, is_leaving=True))
        now_s = self.clock.monotonic_s()
        target.pending.add(0, 60_000)
        waiting_s = self._place().begin_s
        target.loading_until_s = now_s + 0.4
        found = self._choose()
        assert isinstance(found, Wait)
        assert found.placement is not None
        self.assertAlmostEqual(waiting_s + 0.4, found.placement.begin_s)
        self.assertGreater(waiting_s, 0.5)

    def test_prompts_that_wait_for_a_target_count_there(self) -> None:
        """Load: all prompts wait for the engine that loads the current weights.

        Guards against all of them being sent there in the moment in which it has loaded them.
        """
        self.costs.has_quotas = True
        preferred = self._place(0)
        self.cache_index.record_use(preferred.salt, "doc", preferred.target.name)
        target = preferred.target
        target.loading_until_s = self.clock.monotonic_s() + 0.05
        fixture = ForwarderFixture(SystemClock(), lambda *_: FakeResponse())
        with contextlib.ExitStack() as waiting:
            found = self._choose(wait_s=0.5)
            self.assertIsInstance(found, Wait)
            count = 0
            while isinstance(found, Wait) and count < 100:
                assert found.placement is not None
                self.assertIs(target, found.placement.target)
                waiting.enter_context(fixture.target_work.reserve(found.placement))
                found = self._choose(wait_s=0.5)
                count += 1
            self.assertTrue(10 < count < 70, count)
            self.assertEqual(count * 1000, target.pending.ahead_tokens(9))
        self.assertEqual(0, target.pending.ahead_tokens(9))
        self.assertIsInstance(self._choose(wait_s=0.5), Wait)

    def test_placement_among_many_targets_takes_little_time(self) -> None:
        """Guards against placement that takes a small VM's processor; the bound is generous."""
        self.costs.has_quotas = True
        for number in range(4, 25):
            self.directory.put(make_entry(f"e{number}"))
        now_s = self.clock.monotonic_s()
        for target in self.directory.all():
            target.pace.record_sample(170.0, now_s - 3)
            target.pace.record_sample(400.0, now_s)
            for router in range(27):
                target.pending.record_peer(f"r{router}", [100] * 6, now_s)
        began_s = time.process_time()
        for _ in range(200):
            self._place()
        self.assertLess((time.process_time() - began_s) / 200, 0.002)


class TargetWorkTest(unittest.IsolatedAsyncioTestCase):
    def _fixture(self, *chunks: bytes | Exception) -> tuple[ForwarderFixture, Target]:
        fixture = ForwarderFixture(SystemClock(), lambda *_: FakeResponse(chunks=chunks))
        fixture.costs.has_quotas = True
        fixture.add(make_entry("e1"))
        fixture.forwarder.routing_config = make_config(
            make_route("/plain/", "engines", RetryPolicy.ONCE, is_stream=True)
        )
        target = fixture.directory.get("e1")
        assert target is not None
        return fixture, target

    async def test_prompt_is_pending_until_its_first_event(self) -> None:
        """Guards against prompts that count as waiting while they generate, or after their end."""
        fixture, target = self._fixture(b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
        pending = []
        writer = FakeWriter()
        write = writer.write

        async def record(data: bytes) -> None:
            pending.append(target.pending.ahead_tokens(9))
            await write(data)

        writer.write = record  # type: ignore[method-assign]
        with mock.patch.object(Gossip, "queue_pending") as queue_pending:
            await fixture.forwarder.serve(make_request(parts=(("own", 900),)), writer)
        self.assertEqual({0}, set(pending))
        expected = fixture.costs.outputs("engines").estimate(make_route().name, None, 0)
        self.assertLess(expected, OutputLengths().estimate("", None, 0))
        totals = [call.args for call in queue_pending.call_args_list]
        self.assertEqual([("e1", [0, 900]), ("e1", [])], totals)

    async def test_prompt_is_not_pending_after_a_lost_attempt(self) -> None:
        """Guards against a target that is avoided for good after lost requests."""
        error = ExchangeError(ExchangeFailure.INVALID_RESPONSE, "cut off")
        fixture, target = self._fixture(error)
        await fixture.forwarder.serve(make_request(parts=(("own", 900),)), FakeWriter())
        self.assertEqual(0, target.pending.ahead_tokens(9))

    async def test_target_that_answers_nothing_counts_as_slow(self) -> None:
        """Guards against a target that seems usual since its requests are moved to others."""
        clock = ManualClock()
        fixture = ForwarderFixture(clock, lambda *_: FakeResponse())
        fixture.costs.has_quotas = True
        selector = PlainTargetSelector(clock, "a", "east", random.Random(1), fixture.costs)
        for name in ("silent", "good", "better"):
            fixture.add(make_entry(name, "plain"))
        paces = {}
        for number in range(240):
            name = ("silent", "good", "better")[number % 3]
            target = fixture.directory.get(name)
            assert target is not None
            placed = selector.choose([target], "ask")
            assert placed is not None
            attempt = fixture.target_work.begin(placed, "ask", False)
            clock.advance(0.4 if name == "silent" else 0.05)
            if name != "silent":
                attempt.record_response()
            attempt.end()
            paces[name] = target.pace.learned(clock.monotonic_s())
        self.assertGreater(paces["silent"], 1.5)
        self.assertLess(max(paces["good"], paces["better"]), 1.2)

    async def test_way_to_another_region_is_no_work(self) -> None:
        """Guards against far targets that seem slow, and routes that seem heavy, by the way."""
        clock = ManualClock()
        fixture = ForwarderFixture(clock, lambda *_: FakeResponse())
        fixture.costs.has_quotas = True
        selector = PlainTargetSelector(clock, "a", "east", random.Random(1), fixture.costs)
        fixture.add(make_entry("far", "plain", data_centre="c"))
        for _ in range(40):
            placed = selector.choose(fixture.directory.of_service("plain"), "light")
            assert placed is not None
            attempt = fixture.target_work.begin(placed, "light", False)
            clock.advance(0.045)
            attempt.record_response()
            attempt.end()
        self.assertLess(fixture.costs.calls("plain").route("light").mean_s, 0.015)

    async def test_work_of_calls_is_learned_from_their_responses(self) -> None:
        """Guards against calls that are never removed, or whose time is not learned."""
        fixture = ForwarderFixture(SystemClock(), lambda *_: FakeResponse())
        fixture.costs.has_quotas = True
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        for _ in range(30):
            await fixture.forwarder.serve(make_request(), FakeWriter())
        target = fixture.directory.get("t1")
        assert target is not None
        self.assertEqual(0, len(target.calls))
        route = make_route().name
        self.assertLess(fixture.costs.calls("plain").route(route).mean_s, 0.03)
