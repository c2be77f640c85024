"""Tests of the pace of targets: learned from samples and outcomes, told to peers, and placed by."""

import asyncio
import random
import unittest
from typing import Any
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.costs.pace import SLOW_STRETCH_S, ServiceOutcomes, TargetPace
from coltsfootfront.direct import gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.gossipfields import decode_load, decode_pace
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
)
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.platform.targets import _parse_load, _parse_pace
from coltsfootfront.tests.direct_support import (
    ENGINE_PROPERTIES,
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
from coltsfootfront.tests.test_platform_node import make_node
from coltsfootfront_dev.platformfleet import settings_fields


def fill(pace: TargetPace, percent: float, from_s: float = 0.0, for_s: float = 6.0) -> float:
    """Record samples of one pace every 0.1 s; returns the time of the last one."""
    count = round(for_s / 0.1)
    for number in range(count):
        pace.record_sample(percent, from_s + 0.1 * number)
    return from_s + 0.1 * (count - 1)


class TargetPaceTest(unittest.TestCase):
    def test_target_that_tells_nothing_has_the_usual_pace(self) -> None:
        """Guards against times that change where no target tells its pace."""
        pace = TargetPace()
        self.assertEqual((1.0, 1.0), (pace.lasting, pace.factor(5.0)))
        for work_s in (0.0, 0.1, 0.3, 1 / 3, 12.3):
            self.assertEqual(work_s, pace.time_s(work_s, 5.0))

    def test_slow_stretch_is_momentary_and_does_not_last(self) -> None:
        """Load: an engine of pace 0.7 takes 2.5 times as long for 0.3 s.

        Guards against a target that is avoided for seconds after a slow stretch, or is not avoided
        during one.
        """
        pace = TargetPace()
        now_s = fill(pace, 70.0)
        self.assertAlmostEqual(0.7, pace.factor(now_s))
        now_s = fill(pace, 175.0, now_s + 0.1, 0.3)
        self.assertAlmostEqual(0.7, pace.lasting)
        self.assertAlmostEqual(1.75, pace.factor(now_s))
        self.assertAlmostEqual(0.05 * 2.5, pace.time_s(0.05, now_s), delta=0.025)
        # Long work loses at most the rest of the stretch.
        self.assertLess(pace.time_s(5.0, now_s), 5.0 + SLOW_STRETCH_S)
        self.assertLess(pace.factor(now_s + 1.5), 0.75)
        pace.record_sample(70.0, now_s + 0.05)
        self.assertAlmostEqual(0.7, pace.factor(now_s + 0.05))

    def test_lasting_change_is_learned_within_seconds(self) -> None:
        """Guards against the former pace of a machine that has become slower for good."""
        pace = TargetPace()
        now_s = fill(pace, 100.0)
        fill(pace, 170.0, now_s, 5.0)
        self.assertAlmostEqual(1.7, pace.lasting)

    def test_implausible_samples_are_ignored(self) -> None:
        """Guards against one malformed figure that makes a target endlessly fast or slow."""
        pace = TargetPace()
        for percent in (0.0, -5.0, 1e9, float("nan"), float("inf")):
            self.assertFalse(pace.record_sample(percent, 1.0))
        self.assertFalse(pace.is_reported)
        self.assertEqual(1.0, pace.factor(1.0))

    def test_samples_that_change_nothing_are_seldom_told_to_peers(self) -> None:
        """Guards against gossip of a figure with every response."""
        pace = TargetPace()
        told = sum(pace.record_sample(70.0, 0.01 * number) for number in range(300))
        self.assertLessEqual(told, 4)
        self.assertTrue(pace.record_sample(175.0, 3.01))
        self.assertTrue(pace.record_sample(70.0, 3.02))

    def test_slow_target_is_recognised_by_outcomes_among_its_service(self) -> None:
        """Load: six targets, of which one takes twice as long; times vary threefold.

        Guards against a slow target that is unnoticed where targets tell no pace, and against
        targets that all count as slow since the expectation is too low.
        """
        generator = random.Random(3)
        outcomes = ServiceOutcomes()
        paces = [TargetPace() for _ in range(6)]
        for pace in paces:
            pace.outcomes = outcomes
        now_s = 0.0
        for number in range(600):
            now_s += 0.02
            slow = 2.0 if number % 6 == 0 else 1.0
            took_s = 0.1 * slow * generator.lognormvariate(0.0, 0.5)
            paces[number % 6].record_outcome(0.06, took_s, now_s)
        self.assertGreater(paces[0].factor(now_s), 1.4)
        for pace in paces[1:]:
            self.assertLess(abs(pace.factor(now_s) - 1), 0.25)
        self.assertLess(paces[0].factor(now_s + 60), 1.15)

    def test_few_outcomes_do_not_change_the_pace_much(self) -> None:
        """Guards against a target that is avoided since one request of it was large."""
        pace = TargetPace()
        pace.outcomes = ServiceOutcomes()
        pace.record_outcome(0.1, 0.5, 1.0)
        self.assertLess(pace.factor(1.0), 1.25)


class LoadHeaderTest(unittest.TestCase):
    def test_known_figures_survive_further_and_malformed_ones(self) -> None:
        """Guards against a load that is lost as the header has more figures than the known ones."""
        target = Target(make_entry("t"), "east")
        cases: tuple[tuple[str, int | None, float | None], ...] = (
            ("3,2,8", 5, None),
            ("3,2,8,170", 5, 170.0),
            ("3, 2, 8, 170.5", 5, 170.5),
            ("3,2,8,170,9,x,", 5, 170.0),
            ("3,2,8,", 5, None),
            ("3,2,8,x", 5, None),
            ("3,2,8,-70", 5, None),
            ("3,2,8,0", 5, None),
            ("3,2,8,nan", 5, None),
            ("3,2,8,1e3", 5, None),
            ("3,2,8," + "9" * 400, 5, None),
            ("3,2,8,\u0661", 5, None),
            ("3,x,8,70", None, 70.0),
            ("3,2", None, None),
            ("", None, None),
        )
        for text, load, percent in cases:
            with self.subTest(text=text[:20]):
                self.assertEqual(load, _parse_load(target, text))
                self.assertEqual(percent, _parse_pace(target, text))


class PaceGossipTest(unittest.IsolatedAsyncioTestCase):
    async def test_pace_is_recorded_and_told_to_peers(self) -> None:
        """Guards against peers that learn of a slow stretch only by their own slow responses."""
        fixture = ForwarderFixture(
            SystemClock(), lambda *_: FakeResponse(load=5, pace_percent=170.0)
        )
        fixture.add(make_entry("t1", "plain"))
        fixture.forwarder.routing_config = make_config(make_route())
        with mock.patch.object(Gossip, "queue_pace") as queue_pace:
            await fixture.forwarder.serve(make_request(), FakeWriter())
            await fixture.forwarder.serve(make_request(), FakeWriter())
        queue_pace.assert_called_once_with("t1", 170.0)
        target = fixture.directory.get("t1")
        assert target is not None
        self.assertEqual(1.7, target.pace.lasting)

    async def test_update_on_the_load_is_understood_by_routers_of_earlier_versions(self) -> None:
        """Guards against a further field, with which those routers drop the load as well."""
        sent: list[list[Any]] = []
        sender = Gossip(lambda *_: None, "east", random.Random(1))
        sender.queue_load("t1", 5)
        sender.queue_pace("t1", 170.0)
        with mock.patch.object(sender, "_broadcast", side_effect=sent.append):
            flushing = asyncio.create_task(sender.flush())
            await asyncio.sleep(0.1)
            flushing.cancel()
        (message,) = sent
        updates = dict(message)
        self.assertEqual(("t1", 5), decode_load(updates[gossip.LOAD][0]))
        self.assertEqual(("t1", 170.0), decode_pace(updates[gossip.PACE][0]))


class OddMessageTest(unittest.TestCase):
    def test_malformed_rows_of_peers_affect_nothing_else(self) -> None:
        """Guards against a peer's message that ends the handling of gossip, or all its rows."""
        node = make_node(settings_fields("router-1", "127.0.0.1:1", []))
        node._directory.put(make_entry("t1"))
        target = node._directory.get("t1")
        assert target is not None
        odd: tuple[Any, ...] = (
            None,
            [],
            ["t1"],
            ["t1", None],
            ["t1", "x"],
            ["t1", [-5]],
            ["t1", [0.5]],
            ["t1", [True]],
            ["t1", [10**30]],
            ["t1", -70.0],
            ["t1", float("nan")],
            ["t1", 1e300],
            ["unknown", [5]],
            [1, 100],
        )
        for row in odd:
            with self.subTest(row=row):
                node._handle_message(gossip.PACE, [row, ["t1", 170.0]])
                node._handle_message(gossip.PENDING, ["peer", [row, ["t1", [0, 900]]]])
                self.assertEqual(1.7, target.pace.lasting)
                self.assertEqual(900, target.pending.ahead_tokens(9))


class PlacementByPaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock, REGIONS)
        for number in range(4):
            self.directory.put(make_entry(f"e{number}"))

    def _choose(self, name: str) -> Target:
        versions = WeightVersions(self.clock, self.directory, 10.0, 4.0)
        cache_planner = CachePlanner(self.clock, REGIONS, CacheIndex(self.clock), versions)
        selector = PromptTargetSelector(self.clock, "east", cache_planner, versions, PrefillRates())
        request = make_request(parts=((name, 10_000),))
        targets = self.directory.of_service("engines")
        found = selector.choose(request, "", targets, 0.0, ENGINE_PROPERTIES, (), 0)
        assert isinstance(found, Placement)
        return found.target

    def test_long_prompts_go_to_fast_engines(self) -> None:
        """Load: three engines of pace 1.7 and one of 0.7, without other work.

        Guards against long prompts that are spread as if all engines were alike.
        """
        for target in self.directory.all():
            fill(target.pace, 70.0 if target.name == "e2" else 170.0, self.clock.monotonic_s())
        self.clock.advance(10.0)
        self.assertEqual({"e2"}, {self._choose(f"own{number}").name for number in range(8)})

    def test_momentarily_slow_engine_is_passed_over(self) -> None:
        """Load: engines of pace 1.0, the preferred one in a slow stretch of a neighbour."""
        now_s = self.clock.monotonic_s()
        for target in self.directory.all():
            fill(target.pace, 100.0, now_s)
        self.clock.advance(10.0)
        preferred = self._choose("own")
        preferred.pace.record_sample(400.0, self.clock.monotonic_s())
        self.assertIsNot(preferred, self._choose("own"))
        self.clock.advance(2.0)
        self.assertIs(preferred, self._choose("own"))

    def test_plain_calls_go_to_the_faster_target(self) -> None:
        """Guards against calls at a slow target while a faster one has as many requests."""
        now_s = self.clock.monotonic_s()
        targets = self.directory.all()
        for target in targets:
            target.in_flight = 2
            fill(target.pace, 70.0 if target.name == "e3" else 170.0, now_s)
        selector = PlainTargetSelector(self.clock, "a", "east", random.Random(1))
        found = selector.choose(targets)
        assert found is not None
        self.assertEqual("e3", found.target.name)
