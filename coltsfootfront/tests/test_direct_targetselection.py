"""Tests of placement: homes, fetches, weights, and what callers get under load."""

import heapq
import math
import random
import unittest
from dataclasses import dataclass, field, replace

from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.cacheindex import CACHED_TTL_S, CacheIndex, kept_cache_name
from coltsfootfront.direct.prefillrate import (
    MAX_BASE_S,
    MAX_TOKENS_PER_S,
    MIN_TOKENS_PER_S,
    ReadPace,
    PrefillRates,
)
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
    Wait,
    read_priority,
    salt_of,
)
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.routingconfig import KeptCache
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.tests.direct_support import FACTS, KEPT, MODEL, REGIONS, make_request, entry
from coltsfootfront.tests.support import ManualClock

# Aim of a short request, and what an engine reads in a second, from the users' sheet.
AIM_S = 0.4
ENGINE_TOKENS_PER_S = 82_000.0


class ReadPaceTest(unittest.TestCase):
    def test_pace_of_slow_and_fast_engines_is_learned(self) -> None:
        """Guards against a constant that fits the engines of one deployment only."""
        for tokens_per_s in (20_000.0, 38_400.0, 81_900.0, 200_000.0):
            for base_s in (0.02, 0.12):
                with self.subTest(tokens_per_s=tokens_per_s, base_s=base_s):
                    generator = random.Random(1)
                    pace = ReadPace()
                    for _ in range(400):
                        tokens = generator.uniform(200, 12_000)
                        noise = generator.uniform(0.9, 1.1)
                        pace.note(tokens, (base_s + tokens / tokens_per_s) * noise)
                    expected_s = base_s + 8000 / tokens_per_s
                    self.assertAlmostEqual(
                        expected_s, pace.base_s + pace.read_s(8000), delta=0.15 * expected_s
                    )
                    self.assertLess(abs(pace.tokens_per_s / tokens_per_s - 1), 0.3)

    def test_pace_stays_within_bounds(self) -> None:
        """Guards against estimates that a few odd answers drive to nonsense."""
        cases = (
            ("long", [(100.0, 50.0)] * 50),
            ("falling", [(100.0, 2.0), (8000.0, 0.1)] * 50),
            ("same length", [(500.0, 0.1)] * 500),
            ("nothing read", [(0.0, 0.0)] * 500),
        )
        for name, answers in cases:
            with self.subTest(name):
                pace = ReadPace()
                for tokens, took_s in answers:
                    pace.note(tokens, took_s)
                self.assertTrue(MIN_TOKENS_PER_S <= pace.tokens_per_s <= MAX_TOKENS_PER_S)
                self.assertTrue(0 <= pace.base_s <= MAX_BASE_S)

    def test_pace_follows_engines_that_turn_slow(self) -> None:
        """Guards against estimates that keep to what was true before."""
        pace = ReadPace()
        for tokens_per_s in (80_000.0, 20_000.0):
            for number in range(500):
                tokens = 500.0 + number * 37 % 9000
                pace.note(tokens, 0.05 + tokens / tokens_per_s)
        self.assertLess(abs(pace.tokens_per_s / 20_000 - 1), 0.2)


class PromptPlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.kept: tuple[KeptCache, ...] = (KEPT,)
        self.directory = Directory(self.clock, REGIONS)
        self.holders = CacheIndex(self.clock)
        self.versions = WeightVersions(self.clock, self.directory, 10.0, 4.0)
        sources = CachePlanner(self.clock, REGIONS, self.holders, self.versions)
        self.placement = PromptTargetSelector(self.clock, "east", sources, self.versions, PrefillRates())
        for number in range(6):
            self.directory.put(entry(f"e{number}", data_centre="ab"[number % 2]))

    def _choose(self, request: CallerRequest, wall: str = "", wait_s: float = 0.0) -> Placement | Wait | None:
        until_s = self.clock.monotonic_s() + wait_s
        targets = self.directory.of_service("engines")
        return self.placement.choose(request, wall, targets, until_s, FACTS, self.kept, 0)

    def _place(self, request: CallerRequest, wall: str = "") -> Placement:
        found = self._choose(request, wall)
        assert isinstance(found, Placement)
        return found

    def test_prompts_with_the_same_part_meet(self) -> None:
        """Guards against shared parts that every target reads for itself."""
        names = set()
        for number in range(20):
            request = make_request(parts=(("std", 500), ("doc", 5000), (f"own{number}", 100)))
            names.add(self._place(request).target.name)
        self.assertEqual(1, len(names))

    def test_isolated_customers_get_salts_of_their_own(self) -> None:
        """Guards against cached parts that cross the wall of a customer or a version."""
        salts = {salt_of(MODEL, version, wall) for version in (1, 2) for wall in ("", "one", "two")}
        self.assertEqual(6, len(salts))
        request = make_request(parts=(("std", 500), ("own", 100)))
        self.assertNotEqual(self._place(request).salt, self._place(request, "one").salt)

    def test_busy_home_is_passed_over_and_its_parts_are_fetched(self) -> None:
        """Guards against a queue at one target, and against reading its parts again elsewhere."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        home = self._place(request)
        for key in ("std", "doc"):
            self.holders.record_use(home.salt, key, home.target.name)
        home.target.backlog.add(0, 2.0, self.clock.monotonic_s())
        other = self._place(request)
        self.assertNotEqual(home.target.name, other.target.name)
        self.assertEqual(home.target.entry.address, other.fetch_from)

    def test_part_that_is_being_read_is_not_read_elsewhere(self) -> None:
        """Guards against concurrent first requests that each have the same part read."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        home = self._place(request)
        home.target.backlog.add(0, 0.1, self.clock.monotonic_s())
        other = self._place(request)
        self.assertNotEqual(home.target.name, other.target.name)
        for key in ("std", "doc"):
            self.assertTrue(self.holders.record_expected(home.salt, key, home.target.name, 0.2))
            self.assertFalse(self.holders.record_expected(home.salt, key, home.target.name, 0.2))
        self.assertEqual(home.target.name, self._place(request).target.name)
        # A part that is not there yet cannot be fetched; one that will be when the reading begins
        # can.
        home.target.backlog.add(0, 2.0, self.clock.monotonic_s())
        self.assertEqual("", self._place(request).fetch_from)
        for number in range(6):
            target = self.directory.get(f"e{number}")
            assert target is not None
            target.backlog.add(0, 0.3, self.clock.monotonic_s())
        self.assertEqual(home.target.entry.address, self._place(request).fetch_from)

    def test_request_waits_while_its_part_is_read_for_another(self) -> None:
        """Guards against a part that is read twice since the first reading has not ended."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        home = self._place(request)
        now_s = self.clock.monotonic_s()
        for key in ("std", "doc"):
            self.holders.record_expected(home.salt, key, home.target.name, 0.2)
        found = self._choose(request, wait_s=0.5)
        assert isinstance(found, Wait)
        self.assertAlmostEqual(now_s + 0.2, found.until_s)
        # One that cannot wait so long goes at once.
        self.assertIsInstance(self._choose(request, wait_s=0.1), Placement)
        for key in ("std", "doc"):
            self.holders.record_use(home.salt, key, home.target.name)
        self.assertIsInstance(self._choose(request, wait_s=0.5), Placement)

    def test_hot_new_part_is_read_once(self) -> None:
        """Plays a part that is new and asked for by many at once, and counts its readings."""
        readings = {}
        for waits in (False, True):
            self.setUp()
            ready_s: dict[str, float] = {}
            arrivals = [(0.01 * number, number) for number in range(40)]
            heapq.heapify(arrivals)
            readings[waits] = 0
            while arrivals:
                at_s, number = heapq.heappop(arrivals)
                self.clock.advance(max(0.0, at_s - self.clock.monotonic_s()))
                request = make_request(parts=(("std", 500), ("doc", 5000), (f"own{number}", 100)))
                found = self._choose(request, wait_s=0.5 if waits else 0.0)
                if isinstance(found, Wait):
                    heapq.heappush(arrivals, (found.until_s, number))
                    continue
                assert isinstance(found, Placement)
                name = found.target.name
                if self.clock.monotonic_s() < ready_s.get(name, math.inf) and not found.fetch_from:
                    readings[waits] += 1
                took_s = found.begin_s + 5500 / ENGINE_TOKENS_PER_S
                ready_s.setdefault(name, self.clock.monotonic_s() + took_s)
                for key in ("std", "doc"):
                    self.holders.record_expected(found.salt, key, name, took_s)
        self.assertEqual(1, readings[True])
        self.assertGreater(readings[False], 3)

    def test_part_that_was_not_read_as_expected_is_not_relied_on(self) -> None:
        """Guards against belief in parts whose request was rejected or lost."""
        self.holders.record_expected("s", "doc", "e0", 0.2)
        self.holders.remove_expected("s", "doc", "e0")
        self.assertFalse(self.holders.holds("s", "doc", "e0"))
        self.holders.record_expected("s", "doc", "e0", 0.2)
        self.holders.record_expected("s", "doc", "e1", 0.2)
        self.holders.record_use("s", "doc", "e1")
        self.holders.remove_expected("s", "doc", "e1")
        self.clock.advance(1.3)
        self.assertEqual(["e1"], list(self.holders.find_holders("s", "doc")))
        self.assertFalse(self.holders.holds("s", "doc", "e0"))

    def test_parts_that_may_be_evicted_come_from_the_kept_cache(self) -> None:
        """Guards against reading again what the target has dropped meanwhile."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        home = self._place(request)
        self.assertIsNone(home.save_to)
        for key in ("std", "doc"):
            self.holders.record_use(home.salt, key, home.target.name)
        self.assertIs(KEPT, self._place(request).save_to)
        for key in ("std", "doc"):
            self.holders.record_use(home.salt, key, kept_cache_name(KEPT.name))
        # Under load a target drops a part within a second; naming the kept copy costs nothing.
        self.assertEqual("kept:1", self._place(request).fetch_from)
        self.clock.advance(8.0)
        again = self._place(request)
        self.assertEqual(("kept:1", None), (again.fetch_from, again.save_to))

    def test_parts_are_saved_on_their_first_use_while_there_is_room(self) -> None:
        """Guards against parts that busy targets drop, and against a kept cache that churns."""
        kept = replace(KEPT, capacity_tokens=2_000_000)
        self.kept = (kept,)
        saved = []
        for number in range(400):
            request = make_request(parts=(("std", 500), (f"doc{number}", 5000), ("own", 6000)))
            place = self._place(request)
            self.placement.record_placement(request, place)
            saved.append(place.save_to is not None)
            self.clock.advance(0.02)
        self.assertTrue(saved[0])
        self.assertFalse(all(saved))
        # What is saved stays for as long as parts are taken to be of use.
        saved_tokens_per_s = sum(saved) * 11_500 / (400 * 0.02)
        self.assertLess(saved_tokens_per_s * CACHED_TTL_S, 1.6 * kept.capacity_tokens)

    def test_part_is_fetched_from_the_nearer_of_two_givers(self) -> None:
        """Guards against transfers between regions while a copy is near."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        self.directory.put(entry("near", data_centre="c"))
        salt = self._place(request).salt
        for key in ("std", "doc"):
            self.holders.record_use(salt, key, "e0")
            self.holders.record_use(salt, key, kept_cache_name(KEPT.name))
        for target in self.directory.of_service("engines"):
            target.backlog.add(0, 0.0 if target.name == "near" else 2.0, self.clock.monotonic_s())
        self.assertEqual("kept:1", self._place(request).fetch_from)
        for target in self.directory.of_service("engines"):
            target.backlog.add(0, 0.0 if target.name == "e1" else 4.0, self.clock.monotonic_s())
        holder = self.directory.get("e0")
        assert holder is not None
        self.assertEqual(holder.entry.address, self._place(request).fetch_from)

    def test_kept_caches_share_the_parts_of_their_region(self) -> None:
        """Guards against one kept cache that drops what it was given while others stand empty."""
        names = ("one", "two", "three", "far")
        self.kept = tuple(
            KeptCache(name, f"{name}:1", "c" if name == "far" else "a", 5e9) for name in names
        )
        saved = set()
        for number in range(30):
            request = make_request(parts=((f"doc{number}", 5000), ("own", 100)))
            place = self._place(request)
            self.holders.record_use(place.salt, f"doc{number}", place.target.name)
            first = self._place(request).save_to
            assert first is not None
            saved.add(first.name)
            self.holders.record_use(place.salt, f"doc{number}", kept_cache_name(first.name))
            self.assertIsNone(self._place(request).save_to)
            self.clock.advance(8.0)
            self.assertEqual(first.address, self._place(request).fetch_from)
        self.assertEqual({"one", "two", "three"}, saved)

    def test_target_that_loads_weights_is_waited_for_only_briefly(self) -> None:
        """Guards against requests that wait past their aim for the target of their part."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        home = self._place(request)
        for key in ("std", "doc"):
            self.holders.record_use(home.salt, key, home.target.name)
        home.target.loading_until_s = self.clock.monotonic_s() + 0.02
        self.assertIsInstance(self._choose(request, wait_s=0.3), Wait)
        home.target.loading_until_s = self.clock.monotonic_s() + 1.0
        self.assertNotEqual(home.target.name, self._place(request).target.name)

    def test_old_weights_give_way_and_are_left_in_time(self) -> None:
        """Guards against requests that begin on old weights after their limit."""
        self.versions.record_published(MODEL, 1, is_new=True)
        self.versions.record_published(MODEL, 2, is_new=True)
        current = self.directory.get("e3")
        assert current is not None
        current.versions[MODEL] = 2
        self.clock.advance(2.0)
        for number in range(10):
            request = make_request(parts=((f"doc{number}", 5000), ("own", 100)))
            self.assertEqual("e3", self._place(request).target.name)
        current.backlog.add(0, 1.0, self.clock.monotonic_s())
        self.assertNotEqual("e3", self._place(request).target.name)
        self.clock.advance(7.5)
        self.assertEqual("e3", self._place(request).target.name)
        current.versions[MODEL] = 1
        self.assertIsNone(self._choose(request))

    def test_request_that_would_begin_too_late_on_old_weights_is_not_sent_there(self) -> None:
        """Guards against a request that waits at a busy engine until its weights are too old."""
        self.versions.record_published(MODEL, 1, is_new=True)
        self.versions.record_published(MODEL, 2, is_new=True)
        request = make_request(parts=(("doc", 5000), ("own", 100)))
        self.clock.advance(8.0)
        self.assertIsInstance(self._choose(request), Placement)
        for target in self.directory.of_service("engines"):
            target.backlog.add(0, 1.5, self.clock.monotonic_s())
        self.assertIsNone(self._choose(request))
        current = self.directory.get("e3")
        assert current is not None
        current.versions[MODEL] = 2
        self.assertEqual("e3", self._place(request).target.name)

    def test_each_version_has_its_own_limit(self) -> None:
        """Guards against a limit that starts anew whenever a further version is named."""
        self.versions.record_published(MODEL, 1, is_new=True)
        self.versions.record_published(MODEL, 2, is_new=True)
        self.clock.advance(5.0)
        self.versions.record_published(MODEL, 3, is_new=True)
        for number in range(1, 6):
            target = self.directory.get(f"e{number}")
            assert target is not None
            target.versions[MODEL] = 2
        self.clock.advance(4.5)
        allowed = self.versions.allowed(MODEL, self.directory.of_service("engines"))
        self.assertEqual({f"e{number}" for number in range(1, 6)}, {item.name for item in allowed})

    def test_dark_and_leaving_targets_get_nothing(self) -> None:
        """Guards against requests to targets that are gone or leave."""
        for number in range(6):
            target = self.directory.get(f"e{number}")
            assert target is not None
            if number % 3 == 0:
                target.is_unreachable = True
            elif number % 3 == 1:
                self.directory.put(entry(target.name, is_leaving=True))
        chosen = {
            self._place(make_request(parts=((f"d{number}", 50), ("own", 10)))).target.name
            for number in range(30)
        }
        self.assertEqual({"e2", "e5"}, chosen)

    def test_short_prompts_rank_first(self) -> None:
        """Guards against a short request that waits behind long ones."""
        ranks = [read_priority(tokens, 0) for tokens in (100, 1000, 5000, 50_000)]
        self.assertEqual(sorted(set(ranks)), ranks)
        self.assertEqual(9, read_priority(50_000, 8))


class PlainPlacementTest(unittest.TestCase):
    def test_load_and_distance(self) -> None:
        """Guards against a busy target nearby that is taken while another is free."""
        clock = ManualClock()
        directory = Directory(clock, REGIONS)
        placement = PlainTargetSelector(clock, "a", "east", random.Random(1))
        for name, place in (("near", "a"), ("next", "b"), ("far", "c")):
            directory.put(entry(name, "plain", place))
        near, nearby, far = (directory.get(name) for name in ("near", "next", "far"))
        assert near and nearby and far
        for busy, expected in (((0, 0, 0), near), ((2, 0, 0), nearby), ((6, 6, 0), far)):
            with self.subTest(busy=busy):
                near.in_flight, nearby.in_flight, far.in_flight = busy
                found = placement.choose(directory.of_service("plain"))
                assert found is not None
                self.assertIs(expected, found.target)


@dataclass(slots=True)
class _Engine:
    """Reads one prompt at a time, the most urgent first, and does not put back what it began."""

    free_s: float = 0.0
    queue: list[tuple[int, int, float, int]] = field(default_factory=list)

    def run_until(self, now_s: float, done: dict[int, float]) -> None:
        while self.queue and self.free_s <= now_s:
            _, number, work_s, _ = heapq.heappop(self.queue)
            self.free_s += work_s
            done[number] = self.free_s


class LoadTest(unittest.TestCase):
    """Load: prompts of very different length at four of six engines, the other two are dark.

    90 prompts a second keep the engines busy, 110 are more than they can read.
    """

    REQUESTS = 1500
    ENGINES = 4

    def _play(self, rate_per_s: float, by_time: bool, short_first: bool) -> list[float]:
        """Times to the end of reading, for each request."""
        generator = random.Random(7)
        clock = ManualClock()
        directory = Directory(clock, REGIONS)
        versions = WeightVersions(clock, directory, 10.0, 4.0)
        sources = CachePlanner(clock, REGIONS, CacheIndex(clock), versions)
        placement = PromptTargetSelector(clock, "east", sources, versions, PrefillRates())
        engines: dict[str, _Engine] = {}
        for number in range(self.ENGINES):
            directory.put(entry(f"e{number}"))
            engines[f"e{number}"] = _Engine(clock.monotonic_s())
        began: list[float] = []
        done: dict[int, float] = {}
        waiting: dict[str, list[int]] = {name: [] for name in engines}
        for number in range(self.REQUESTS):
            clock.advance(generator.expovariate(rate_per_s))
            now_s = clock.monotonic_s()
            for name, engine in engines.items():
                engine.run_until(now_s, done)
                waiting[name] = [item for item in waiting[name] if done.get(item, 1e18) > now_s]
            tokens = int(min(50_000, generator.lognormvariate(7.3, 1.3)))
            request = make_request(request_id=str(number), parts=((f"own{number}", tokens),))
            target = self._target(by_time, request, placement, directory, waiting)
            priority = read_priority(tokens, 0) if short_first else 0
            work_s = tokens / ENGINE_TOKENS_PER_S
            target.backlog.add(priority, work_s, now_s)
            engine = engines[target.name]
            engine.free_s = max(engine.free_s, now_s)
            heapq.heappush(engine.queue, (priority, number, work_s, tokens))
            waiting[target.name].append(number)
            began.append(now_s)
        for engine in engines.values():
            engine.run_until(1e18, done)
        return [done[number] - start_s for number, start_s in enumerate(began)]

    def _target(
        self,
        by_time: bool,
        request: CallerRequest,
        placement: PromptTargetSelector,
        directory: Directory,
        waiting: dict[str, list[int]],
    ) -> Target:
        targets = directory.of_service("engines")
        if not by_time:
            return min(targets, key=lambda item: len(waiting[item.name]))
        found = placement.choose(request, "", targets, 0.0, FACTS, (), 0)
        assert isinstance(found, Placement)
        return found.target

    def test_expected_time_serves_more_in_time_on_busy_engines(self) -> None:
        """Guards against a policy that serves fewer callers in time than a count of requests."""
        least = _in_time(self._play(90.0, by_time=False, short_first=False))
        placed = _in_time(self._play(90.0, by_time=True, short_first=False))
        self.assertGreater(placed, least)

    def test_short_first_serves_more_in_time_when_engines_cannot_read_all(self) -> None:
        """Guards against an overload that makes nearly every answer late."""
        placed = _in_time(self._play(110.0, by_time=True, short_first=False))
        ranked = _in_time(self._play(110.0, by_time=True, short_first=True))
        self.assertGreater(ranked, 2 * placed)


def _in_time(times: list[float]) -> float:
    return sum(time_s <= AIM_S for time_s in times) / len(times)
