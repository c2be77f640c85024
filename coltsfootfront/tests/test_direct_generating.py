"""Tests of placement at engines that interleave prefill and decoding."""

import heapq
import random
import unittest
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from unittest import mock

from coltsfootfront.direct import firstevent
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import Placement, PromptTargetSelector
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.tests.direct_support import ENGINE_PROPERTIES, REGIONS, make_entry, make_request
from coltsfootfront.tests.support import ManualClock

# Duration of a decode step, prefill rate and chunk size of an engine.
STEP_S = 0.00473
TOKENS_PER_S = 38_400.0
CHUNK_TOKENS = 2048
# Prefill rate of an engine with more work than routers estimate, such as parts that it has evicted.
SLOW_TOKENS_PER_S = 13_000.0
# One-way delay between regions.
CROSS_REGION_DELAY_S = 0.02
SIMULATED_S = 25.0


@dataclass(slots=True)
class _RequestKind:
    """A kind of request.

    :param mean_prompt_tokens: mean length of its prompts.
    :param output_tokens: length of its answers.
    :param aim_s: objective for the time to first event.
    """

    rate_per_s: float
    mean_prompt_tokens: float
    output_tokens: int
    aim_s: float
    deadline_s: float


NOTES = _RequestKind(
    rate_per_s=17.0, mean_prompt_tokens=600.0, output_tokens=290, aim_s=0.6, deadline_s=15.0
)
REVIEWS = _RequestKind(
    rate_per_s=9.0, mean_prompt_tokens=5500.0, output_tokens=52, aim_s=0.8, deadline_s=6.0
)


@dataclass(slots=True)
class _Run:
    """A request at an engine."""

    kind: _RequestKind
    router: "_Router"
    target: str
    start_s: float
    prefill_tokens_left: float
    output_tokens_left: int
    first_s: float | None = None
    end_s: float | None = None

    @property
    def is_served(self) -> bool:
        """Whether the first event met the objective and the end met the deadline."""
        return (
            self.first_s is not None
            and self.end_s is not None
            and self.first_s - self.start_s <= self.kind.aim_s
            and self.end_s - self.start_s <= self.kind.deadline_s
        )


@dataclass(slots=True)
class _Engine:
    """Prefills a chunk of one prompt in each step, and decodes a token for each run.

    :param tokens_per_s: prefill rate.
    """

    tokens_per_s: float = TOKENS_PER_S
    free_s: float = 0.0
    waiting: deque[_Run] = field(default_factory=deque)
    running: list[_Run] = field(default_factory=list)

    def step(self) -> Iterator[_Run]:
        """Run one step and yield the requests that get their first event."""
        took_s = STEP_S
        prefilling = self.waiting[0] if self.waiting else None
        if prefilling is not None:
            tokens = min(CHUNK_TOKENS, prefilling.prefill_tokens_left)
            prefilling.prefill_tokens_left -= tokens
            took_s += tokens / self.tokens_per_s
        self.free_s += took_s
        for run in list(self.running):
            run.output_tokens_left -= 1
            if run.output_tokens_left <= 0:
                run.end_s = self.free_s
                self.running.remove(run)
        if prefilling is not None and prefilling.prefill_tokens_left <= 0:
            prefilling.first_s = self.free_s
            self.running.append(self.waiting.popleft())
            yield prefilling


# Data centre of each engine; the first engine is the only one of its region.
ENGINES = {"near": "c", "far1": "a", "far2": "a", "far3": "b"}


class _Router:
    """Placement of one router, with a directory of its own."""

    def __init__(self, clock: ManualClock, region: str, engines: dict[str, str]) -> None:
        self._clock = clock
        self.region = region
        self.directory = Directory(clock, REGIONS)
        for name, data_centre in engines.items():
            self.directory.put(make_entry(name, data_centre=data_centre))
        versions = WeightVersions(clock, self.directory, 10.0, 4.0)
        cache_planner = CachePlanner(clock, REGIONS, CacheIndex(clock), versions)
        self._prefill_rates = PrefillRates()
        self._selector = PromptTargetSelector(
            clock, region, cache_planner, versions, self._prefill_rates
        )

    def place(self, number: int, tokens: int) -> Placement:
        """Choose an engine and add the prompt to its estimated backlog."""
        request = make_request(request_id=str(number), parts=((f"own{number}", tokens),))
        targets = self.directory.of_service("engines")
        placement = self._selector.choose(request, "", targets, 0.0, ENGINE_PROPERTIES, (), 0)
        assert isinstance(placement, Placement)
        placement.target.in_flight += 1
        self.add_backlog(placement.target.name, placement.priority, placement.prefill_tokens)
        return placement

    def add_backlog(self, name: str, priority: int, tokens: int) -> None:
        """Add the prefill of a prompt to an engine's estimated backlog."""
        target = self.directory.get(name)
        assert target is not None
        work_s = self._prefill_rates.get("engines").prefill_time_s(tokens)
        target.backlog.add(priority, work_s, self._clock.monotonic_s())

    def set_reported_load(self, name: str, load: int) -> None:
        """Set the load that an engine reported."""
        target = self.directory.get(name)
        assert target is not None
        target.record_load(load, self._clock.monotonic_s())


class GeneratingLoadTest(unittest.TestCase):
    """Load from two regions with equally many callers, one with one engine, one with three.

    The single engine has more to prefill than the routers estimate. Nearly each of its steps then
    includes a prefill chunk, so that its decoding takes many times as long.
    """

    def _simulate(self, is_load_shared: bool, seed: int) -> list[_Run]:
        generator = random.Random(seed)
        clock = ManualClock()
        start_s = clock.monotonic_s()
        routers = [_Router(clock, region, ENGINES) for region in ("west", "east")]
        engines = {name: _Engine(free_s=start_s) for name in ENGINES}
        engines["near"].tokens_per_s = SLOW_TOKENS_PER_S
        runs: list[_Run] = []
        for number, (at_s, kind) in enumerate(_arrivals(generator)):
            self._run_until(engines, start_s + at_s, clock, routers, is_load_shared)
            clock.advance(max(0.0, start_s + at_s - clock.monotonic_s()))
            router = routers[generator.randrange(2)]
            tokens = int(generator.uniform(0.5, 1.5) * kind.mean_prompt_tokens)
            placement = router.place(number, tokens)
            for other in routers:
                if other is not router:
                    other.add_backlog(
                        placement.target.name, placement.priority, placement.prefill_tokens
                    )
            transit_s = (
                0.0 if placement.target.region == router.region else 2 * CROSS_REGION_DELAY_S
            )
            name = placement.target.name
            run = _Run(kind, router, name, start_s + at_s - transit_s, tokens, kind.output_tokens)
            runs.append(run)
            engine = engines[name]
            engine.free_s = max(engine.free_s, start_s + at_s)
            engine.waiting.append(run)
        self._run_until(engines, start_s + 2 * SIMULATED_S, clock, routers, is_load_shared)
        return runs

    def _run_until(
        self,
        engines: dict[str, _Engine],
        until_s: float,
        clock: ManualClock,
        routers: list[_Router],
        is_load_shared: bool,
    ) -> None:
        """Run the engines until a time; their loads reach the routers in the order of time."""
        due = [(engine.free_s, name) for name, engine in engines.items()]
        heapq.heapify(due)
        while due:
            at_s, name = heapq.heappop(due)
            engine = engines[name]
            if at_s >= until_s or not (engine.waiting or engine.running):
                continue
            before = len(engine.running)
            for run in engine.step():
                clock.advance(max(0.0, engine.free_s - clock.monotonic_s()))
                load = len(engine.running) + len(engine.waiting)
                for router in routers if is_load_shared else [run.router]:
                    router.set_reported_load(name, load)
            self._update_in_flight(name, engine, before, routers)
            heapq.heappush(due, (engine.free_s, name))

    def _update_in_flight(
        self, name: str, engine: _Engine, before: int, routers: list[_Router]
    ) -> None:
        """Update each router's number of requests in flight at an engine."""
        if len(engine.running) == before:
            return
        for router in routers:
            target = router.directory.get(name)
            assert target is not None
            here = [*engine.running, *engine.waiting]
            target.in_flight = sum(run.router is router for run in here)

    def test_more_callers_are_served_when_placement_considers_running_requests(self) -> None:
        """Guards against an engine that gets all requests of its region until none ends in time."""
        before, now = [], []
        for seed in range(4):
            with mock.patch.multiple(
                firstevent, RUNNING_REQUEST_PENALTY_S=0.001, PREFILL_SLOWDOWN_PER_REQUEST=0.0
            ):
                before += self._simulate(is_load_shared=False, seed=seed)
            now += self._simulate(is_load_shared=True, seed=seed)
        for kind in (NOTES, REVIEWS):
            with self.subTest(kind=kind):
                self.assertGreater(_served(now, kind), _served(before, kind))

    def test_load_that_an_engine_reported_to_a_peer_keeps_requests_away(self) -> None:
        """Guards against taking an engine for idle because this router has no requests there."""
        clock = ManualClock()
        router = _Router(clock, "west", ENGINES)
        first = router.place(1, 5000).target
        self.assertEqual("near", first.name)
        first.in_flight = 0
        clock.advance(2.0)
        router.set_reported_load("near", 60)
        self.assertNotEqual("near", router.place(2, 5000).target.name)


def _arrivals(generator: random.Random) -> list[tuple[float, _RequestKind]]:
    found = []
    for kind in (NOTES, REVIEWS):
        at_s = 0.0
        while (at_s := at_s + generator.expovariate(kind.rate_per_s)) < SIMULATED_S:
            found.append((at_s, kind))
    return sorted(found, key=lambda item: item[0])


def _served(runs: list[_Run], kind: _RequestKind) -> float:
    ours = [run for run in runs if run.kind is kind]
    return sum(run.is_served for run in ours) / len(ours)
