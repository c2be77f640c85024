"""Tests of placement: cache affinity, fetches, versions of weights, and latency under load."""

import heapq
import math
import random
import unittest
from dataclasses import dataclass, field, replace

from coltsfootfront.direct.cacheindex import CACHED_TTL_S, CacheIndex, kept_cache_name
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.prefillrate import (
    MAX_BASE_S,
    MAX_TOKENS_PER_S,
    MIN_TOKENS_PER_S,
    PrefillRate,
    PrefillRates,
)
from coltsfootfront.direct.routingconfig import KeptCache
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
    Wait,
    compute_cache_salt,
    prefill_priority,
)
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.tests.direct_support import (
    ENGINE_PROPERTIES,
    KEPT_CACHE,
    MODEL,
    REGIONS,
    make_entry,
    make_request,
)
from coltsfootfront.tests.support import ManualClock

# Objective for the time to first event of a short request, and the prefill rate of an engine.
AIM_S = 0.4
ENGINE_TOKENS_PER_S = 82_000.0


class PrefillRateTest(unittest.TestCase):
    def test_rate_of_slow_and_fast_engines_is_estimated(self) -> None:
        """Guards against an estimate that fits the engines of one deployment only."""
        for tokens_per_s in (20_000.0, 38_400.0, 81_900.0, 200_000.0):
            for base_s in (0.02, 0.12):
                with self.subTest(tokens_per_s=tokens_per_s, base_s=base_s):
                    generator = random.Random(1)
                    rate = PrefillRate()
                    for _ in range(400):
                        tokens = generator.uniform(200, 12_000)
                        noise = generator.uniform(0.9, 1.1)
                        rate.add_sample(tokens, (base_s + tokens / tokens_per_s) * noise)
                    expected_s = base_s + 8000 / tokens_per_s
                    self.assertAlmostEqual(
                        expected_s, rate.base_s + rate.prefill_time_s(8000), delta=0.15 * expected_s
                    )
                    self.assertLess(abs(rate.tokens_per_s / tokens_per_s - 1), 0.3)

    def test_estimates_stay_within_bounds(self) -> None:
        """Guards against implausible estimates after outliers or samples that allow no fit."""
        cases = (
            ("long", [(100.0, 50.0)] * 50),
            ("falling", [(100.0, 2.0), (8000.0, 0.1)] * 50),
            ("same length", [(500.0, 0.1)] * 500),
            ("nothing prefilled", [(0.0, 0.0)] * 500),
        )
        for name, samples in cases:
            with self.subTest(name):
                rate = PrefillRate()
                for tokens, took_s in samples:
                    rate.add_sample(tokens, took_s)
                self.assertTrue(MIN_TOKENS_PER_S <= rate.tokens_per_s <= MAX_TOKENS_PER_S)
                self.assertTrue(0 <= rate.base_s <= MAX_BASE_S)

    def test_rate_follows_engines_that_become_slower(self) -> None:
        """Guards against estimates that old samples hold at a former rate."""
        rate = PrefillRate()
        for tokens_per_s in (80_000.0, 20_000.0):
            for number in range(500):
                tokens = 500.0 + number * 37 % 9000
                rate.add_sample(tokens, 0.05 + tokens / tokens_per_s)
        self.assertLess(abs(rate.tokens_per_s / 20_000 - 1), 0.2)


class PromptTargetSelectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.kept_caches: tuple[KeptCache, ...] = (KEPT_CACHE,)
        self.directory = Directory(self.clock, REGIONS)
        self.cache_index = CacheIndex(self.clock)
        self.versions = WeightVersions(self.clock, self.directory, 10.0, 4.0)
        cache_planner = CachePlanner(self.clock, REGIONS, self.cache_index, self.versions)
        self.selector = PromptTargetSelector(
            self.clock, "east", cache_planner, self.versions, PrefillRates()
        )
        for number in range(6):
            self.directory.put(make_entry(f"e{number}", data_centre="ab"[number % 2]))

    def _choose(
        self, request: CallerRequest, cache_scope: str = "", wait_s: float = 0.0
    ) -> Placement | Wait | None:
        until_s = self.clock.monotonic_s() + wait_s
        targets = self.directory.of_service("engines")
        return self.selector.choose(
            request, cache_scope, targets, until_s, ENGINE_PROPERTIES, self.kept_caches, 0
        )

    def _choose_placement(self, request: CallerRequest, cache_scope: str = "") -> Placement:
        found = self._choose(request, cache_scope)
        assert isinstance(found, Placement)
        return found

    def test_prompts_with_the_same_part_go_to_one_target(self) -> None:
        """Guards against spreading a shared part's requests, so that every target prefills it."""
        names = set()
        for number in range(20):
            request = make_request(parts=(("std", 500), ("doc", 5000), (f"own{number}", 100)))
            names.add(self._choose_placement(request).target.name)
        self.assertEqual(1, len(names))

    def test_isolated_customers_get_salts_of_their_own(self) -> None:
        """Guards against cached parts that are reused across isolated customers or versions."""
        salts = {
            compute_cache_salt(MODEL, version, cache_scope)
            for version in (1, 2)
            for cache_scope in ("", "one", "two")
        }
        self.assertEqual(6, len(salts))
        request = make_request(parts=(("std", 500), ("own", 100)))
        self.assertNotEqual(
            self._choose_placement(request).salt, self._choose_placement(request, "one").salt
        )

    def test_busy_target_is_passed_over_and_its_parts_are_fetched(self) -> None:
        """Guards against a queue at one target, and against a prefill of its parts elsewhere."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        preferred = self._choose_placement(request)
        for key in ("std", "doc"):
            self.cache_index.record_use(preferred.salt, key, preferred.target.name)
        preferred.target.backlog.add(0, 2.0, self.clock.monotonic_s())
        other = self._choose_placement(request)
        self.assertNotEqual(preferred.target.name, other.target.name)
        self.assertEqual(preferred.target.entry.address, other.fetch_from)

    def test_part_that_is_being_prefilled_is_not_prefilled_elsewhere(self) -> None:
        """Guards against concurrent first requests that each cause a prefill of the same part."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        preferred = self._choose_placement(request)
        preferred.target.backlog.add(0, 0.1, self.clock.monotonic_s())
        other = self._choose_placement(request)
        self.assertNotEqual(preferred.target.name, other.target.name)
        for key in ("std", "doc"):
            self.assertTrue(
                self.cache_index.record_expected(preferred.salt, key, preferred.target.name, 0.2)
            )
            self.assertFalse(
                self.cache_index.record_expected(preferred.salt, key, preferred.target.name, 0.2)
            )
        self.assertEqual(preferred.target.name, self._choose_placement(request).target.name)
        # A part can be fetched only if its prefill ends before the fetching target's begins.
        preferred.target.backlog.add(0, 2.0, self.clock.monotonic_s())
        self.assertEqual("", self._choose_placement(request).fetch_from)
        for number in range(6):
            target = self.directory.get(f"e{number}")
            assert target is not None
            target.backlog.add(0, 0.3, self.clock.monotonic_s())
        self.assertEqual(preferred.target.entry.address, self._choose_placement(request).fetch_from)

    def test_request_waits_while_its_part_is_prefilled_for_another(self) -> None:
        """Guards against a second prefill of a part while the first one has not ended."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        preferred = self._choose_placement(request)
        now_s = self.clock.monotonic_s()
        for key in ("std", "doc"):
            self.cache_index.record_expected(preferred.salt, key, preferred.target.name, 0.2)
        found = self._choose(request, wait_s=0.5)
        assert isinstance(found, Wait)
        self.assertAlmostEqual(now_s + 0.2, found.until_s)
        # A request that may not wait that long is placed at once.
        self.assertIsInstance(self._choose(request, wait_s=0.1), Placement)
        for key in ("std", "doc"):
            self.cache_index.record_use(preferred.salt, key, preferred.target.name)
        self.assertIsInstance(self._choose(request, wait_s=0.5), Placement)

    def test_popular_new_part_is_prefilled_once(self) -> None:
        """Counts the prefills of a new part that many concurrent requests share."""
        prefill_counts = {}
        for waits in (False, True):
            self.setUp()
            ready_s: dict[str, float] = {}
            arrivals = [(0.01 * number, number) for number in range(40)]
            heapq.heapify(arrivals)
            prefill_counts[waits] = 0
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
                    prefill_counts[waits] += 1
                took_s = found.begin_s + 5500 / ENGINE_TOKENS_PER_S
                ready_s.setdefault(name, self.clock.monotonic_s() + took_s)
                for key in ("std", "doc"):
                    self.cache_index.record_expected(found.salt, key, name, took_s)
        self.assertEqual(1, prefill_counts[True])
        self.assertGreater(prefill_counts[False], 3)

    def test_part_whose_expected_prefill_failed_is_not_listed(self) -> None:
        """Guards against an index that lists parts whose request was rejected or lost."""
        self.cache_index.record_expected("s", "doc", "e0", 0.2)
        self.cache_index.remove_expected("s", "doc", "e0")
        self.assertFalse(self.cache_index.holds("s", "doc", "e0"))
        self.cache_index.record_expected("s", "doc", "e0", 0.2)
        self.cache_index.record_expected("s", "doc", "e1", 0.2)
        self.cache_index.record_use("s", "doc", "e1")
        self.cache_index.remove_expected("s", "doc", "e1")
        self.clock.advance(1.3)
        self.assertEqual(["e1"], list(self.cache_index.find_holders("s", "doc")))
        self.assertFalse(self.cache_index.holds("s", "doc", "e0"))

    def test_parts_that_may_be_evicted_come_from_the_kept_cache(self) -> None:
        """Guards against prefilling again what the target has evicted meanwhile."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        preferred = self._choose_placement(request)
        self.assertIsNone(preferred.save_to)
        for key in ("std", "doc"):
            self.cache_index.record_use(preferred.salt, key, preferred.target.name)
        self.assertIs(KEPT_CACHE, self._choose_placement(request).save_to)
        for key in ("std", "doc"):
            self.cache_index.record_use(preferred.salt, key, kept_cache_name(KEPT_CACHE.name))
        # Under load a target evicts a part within a second; passing the kept cache's address costs
        # nothing.
        self.assertEqual("kept:1", self._choose_placement(request).fetch_from)
        self.clock.advance(8.0)
        again = self._choose_placement(request)
        self.assertEqual(("kept:1", None), (again.fetch_from, again.save_to))

    def test_parts_are_saved_on_their_first_use_while_there_is_room(self) -> None:
        """Guards against parts lost by eviction at busy targets, and against cache thrashing."""
        cache = replace(KEPT_CACHE, capacity_tokens=2_000_000)
        self.kept_caches = (cache,)
        saved = []
        for number in range(400):
            request = make_request(parts=(("std", 500), (f"doc{number}", 5000), ("own", 6000)))
            placement = self._choose_placement(request)
            self.selector.record_placement(request, placement)
            saved.append(placement.save_to is not None)
            self.clock.advance(0.02)
        self.assertTrue(saved[0])
        self.assertFalse(all(saved))
        # Saved parts stay in the cache for as long as they are likely to be used again.
        saved_tokens_per_s = sum(saved) * 11_500 / (400 * 0.02)
        self.assertLess(saved_tokens_per_s * CACHED_TTL_S, 1.6 * cache.capacity_tokens)

    def test_part_is_fetched_from_the_nearer_of_two_sources(self) -> None:
        """Guards against transfers between regions while a copy is near."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        self.directory.put(make_entry("near", data_centre="c"))
        salt = self._choose_placement(request).salt
        for key in ("std", "doc"):
            self.cache_index.record_use(salt, key, "e0")
            self.cache_index.record_use(salt, key, kept_cache_name(KEPT_CACHE.name))
        for target in self.directory.of_service("engines"):
            target.backlog.add(0, 0.0 if target.name == "near" else 2.0, self.clock.monotonic_s())
        self.assertEqual("kept:1", self._choose_placement(request).fetch_from)
        for target in self.directory.of_service("engines"):
            target.backlog.add(0, 0.0 if target.name == "e1" else 4.0, self.clock.monotonic_s())
        holder = self.directory.get("e0")
        assert holder is not None
        self.assertEqual(holder.entry.address, self._choose_placement(request).fetch_from)

    def test_kept_caches_divide_the_parts_of_their_region(self) -> None:
        """Guards against one kept cache that evicts parts while others nearby are empty."""
        names = ("one", "two", "three", "far")
        self.kept_caches = tuple(
            KeptCache(name, f"{name}:1", "c" if name == "far" else "a", 5e9) for name in names
        )
        saved = set()
        for number in range(30):
            request = make_request(parts=((f"doc{number}", 5000), ("own", 100)))
            placement = self._choose_placement(request)
            self.cache_index.record_use(placement.salt, f"doc{number}", placement.target.name)
            first = self._choose_placement(request).save_to
            assert first is not None
            saved.add(first.name)
            self.cache_index.record_use(placement.salt, f"doc{number}", kept_cache_name(first.name))
            self.assertIsNone(self._choose_placement(request).save_to)
            self.clock.advance(8.0)
            self.assertEqual(first.address, self._choose_placement(request).fetch_from)
        self.assertEqual({"one", "two", "three"}, saved)

    def test_target_that_loads_weights_is_waited_for_only_briefly(self) -> None:
        """Guards against waiting beyond a request's limit for the target that has its part."""
        request = make_request(parts=(("std", 500), ("doc", 5000), ("own", 100)))
        preferred = self._choose_placement(request)
        for key in ("std", "doc"):
            self.cache_index.record_use(preferred.salt, key, preferred.target.name)
        preferred.target.loading_until_s = self.clock.monotonic_s() + 0.02
        self.assertIsInstance(self._choose(request, wait_s=0.3), Wait)
        preferred.target.loading_until_s = self.clock.monotonic_s() + 1.0
        self.assertNotEqual(preferred.target.name, self._choose_placement(request).target.name)

    def test_outdated_weights_are_avoided_and_excluded_in_time(self) -> None:
        """Guards against requests that begin on outdated weights after the limit."""
        self.versions.record_published(MODEL, 1, self.clock.monotonic_s())
        self.versions.record_published(MODEL, 2, self.clock.monotonic_s())
        current = self.directory.get("e3")
        assert current is not None
        current.versions[MODEL] = 2
        self.clock.advance(2.0)
        for number in range(10):
            request = make_request(parts=((f"doc{number}", 5000), ("own", 100)))
            self.assertEqual("e3", self._choose_placement(request).target.name)
        current.backlog.add(0, 1.0, self.clock.monotonic_s())
        self.assertNotEqual("e3", self._choose_placement(request).target.name)
        self.clock.advance(7.5)
        self.assertEqual("e3", self._choose_placement(request).target.name)
        current.versions[MODEL] = 1
        self.assertIsNone(self._choose(request))

    def test_request_that_would_begin_too_late_on_outdated_weights_is_not_sent_there(self) -> None:
        """Guards against a request queued at a busy engine until its weights are past the limit."""
        self.versions.record_published(MODEL, 1, self.clock.monotonic_s())
        self.versions.record_published(MODEL, 2, self.clock.monotonic_s())
        request = make_request(parts=(("doc", 5000), ("own", 100)))
        self.clock.advance(8.0)
        self.assertIsInstance(self._choose(request), Placement)
        for target in self.directory.of_service("engines"):
            target.backlog.add(0, 1.5, self.clock.monotonic_s())
        self.assertIsNone(self._choose(request))
        current = self.directory.get("e3")
        assert current is not None
        current.versions[MODEL] = 2
        self.assertEqual("e3", self._choose_placement(request).target.name)

    def test_each_version_has_its_own_limit(self) -> None:
        """Guards against a limit that restarts whenever another version is published."""
        self.versions.record_published(MODEL, 1, self.clock.monotonic_s())
        self.versions.record_published(MODEL, 2, self.clock.monotonic_s())
        self.clock.advance(5.0)
        self.versions.record_published(MODEL, 3, self.clock.monotonic_s())
        for number in range(1, 6):
            target = self.directory.get(f"e{number}")
            assert target is not None
            target.versions[MODEL] = 2
        self.clock.advance(4.5)
        allowed = self.versions.allowed(MODEL, self.directory.of_service("engines"))
        self.assertEqual({f"e{number}" for number in range(1, 6)}, {item.name for item in allowed})

    def test_unreachable_and_draining_targets_get_no_requests(self) -> None:
        """Guards against requests to targets that are unreachable or draining."""
        for number in range(6):
            target = self.directory.get(f"e{number}")
            assert target is not None
            if number % 3 == 0:
                target.is_unreachable = True
            elif number % 3 == 1:
                self.directory.put(make_entry(target.name, is_leaving=True))
        chosen = {
            self._choose_placement(
                make_request(parts=((f"d{number}", 50), ("own", 10)))
            ).target.name
            for number in range(30)
        }
        self.assertEqual({"e2", "e5"}, chosen)

    def test_target_that_does_not_tell_the_version_of_a_model_gets_no_prompts_for_it(self) -> None:
        """Guards against prompts of isolated customers that are cached without a salt (WALL)."""
        for number in range(6):
            entry = make_entry(f"e{number}")
            if number != 4:
                versions = {} if number % 2 else {"other": 1}
                self.directory.put(replace(entry, versions=versions, started_ms=2))
        chosen = {
            self._choose_placement(
                make_request(parts=((f"d{number}", 50), ("own", 10))), "isolated"
            ).target.name
            for number in range(30)
        }
        self.assertEqual({"e4"}, chosen)

    def test_short_prompts_get_higher_priority(self) -> None:
        """Guards against head-of-line blocking of short prompts by long ones."""
        ranks = [prefill_priority(tokens, 0) for tokens in (100, 1000, 5000, 50_000)]
        self.assertEqual(sorted(set(ranks)), ranks)
        self.assertEqual(9, prefill_priority(50_000, 8))


class PlainTargetSelectorTest(unittest.TestCase):
    def test_load_and_distance(self) -> None:
        """Guards against choosing a busy target nearby while a distant one is free."""
        clock = ManualClock()
        directory = Directory(clock, REGIONS)
        selector = PlainTargetSelector(clock, "a", "east", random.Random(1))
        for name, data_centre in (("near", "a"), ("next", "b"), ("far", "c")):
            directory.put(make_entry(name, "plain", data_centre))
        near, nearby, far = (directory.get(name) for name in ("near", "next", "far"))
        assert near and nearby and far
        for busy, expected in (((0, 0, 0), near), ((2, 0, 0), nearby), ((6, 6, 0), far)):
            with self.subTest(busy=busy):
                near.in_flight, nearby.in_flight, far.in_flight = busy
                found = selector.choose(directory.of_service("plain"))
                assert found is not None
                self.assertIs(expected, found.target)


@dataclass(slots=True)
class _Engine:
    """Prefills one prompt at a time by priority, without preemption."""

    free_s: float = 0.0
    queue: list[tuple[int, int, float, int]] = field(default_factory=list)

    def run_until(self, now_s: float, done: dict[int, float]) -> None:
        while self.queue and self.free_s <= now_s:
            _, number, work_s, _ = heapq.heappop(self.queue)
            self.free_s += work_s
            done[number] = self.free_s


class LoadTest(unittest.TestCase):
    """Load of prompts of very different length on four engines, as when two of six are unreachable.

    At 90 prompts a second the engines are busy, at 110 they are overloaded.
    """

    REQUESTS = 1500
    ENGINES = 4

    def _simulate(
        self, rate_per_s: float, by_expected_time: bool, shortest_first: bool
    ) -> list[float]:
        """Time from arrival to the end of the prefill, for each request."""
        generator = random.Random(7)
        clock = ManualClock()
        directory = Directory(clock, REGIONS)
        versions = WeightVersions(clock, directory, 10.0, 4.0)
        cache_planner = CachePlanner(clock, REGIONS, CacheIndex(clock), versions)
        selector = PromptTargetSelector(clock, "east", cache_planner, versions, PrefillRates())
        engines: dict[str, _Engine] = {}
        for number in range(self.ENGINES):
            directory.put(make_entry(f"e{number}"))
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
            target = self._target(by_expected_time, request, selector, directory, waiting)
            priority = prefill_priority(tokens, 0) if shortest_first else 0
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
        by_expected_time: bool,
        request: CallerRequest,
        selector: PromptTargetSelector,
        directory: Directory,
        waiting: dict[str, list[int]],
    ) -> Target:
        targets = directory.of_service("engines")
        if not by_expected_time:
            return min(targets, key=lambda item: len(waiting[item.name]))
        found = selector.choose(request, "", targets, 0.0, ENGINE_PROPERTIES, (), 0)
        assert isinstance(found, Placement)
        return found.target

    def test_placement_by_expected_time_meets_more_objectives_on_busy_engines(self) -> None:
        """Guards against a policy that does worse than least outstanding requests."""
        least = _in_time(self._simulate(90.0, by_expected_time=False, shortest_first=False))
        placed = _in_time(self._simulate(90.0, by_expected_time=True, shortest_first=False))
        self.assertGreater(placed, least)

    def test_shortest_first_meets_more_objectives_on_overloaded_engines(self) -> None:
        """Guards against an overload in which nearly every answer is late."""
        placed = _in_time(self._simulate(110.0, by_expected_time=True, shortest_first=False))
        ranked = _in_time(self._simulate(110.0, by_expected_time=True, shortest_first=True))
        self.assertGreater(ranked, 2 * placed)


def _in_time(times: list[float]) -> float:
    return sum(time_s <= AIM_S for time_s in times) / len(times)
