"""Tests of placement at engines that read prompts and make answers at the same time."""

import heapq
import random
import unittest
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from unittest import mock

from coltsfootfront.direct import placing
from coltsfootfront.direct.directory import Directory
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import Placement, PromptTargetSelector
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.tests.direct_support import FACTS, REGIONS, make_request, entry
from coltsfootfront.tests.support import ManualClock

# An engine of the users' third sheet.
STEP_S = 0.00473
TOKENS_PER_S = 38_400.0
CHUNK_TOKENS = 2048
# Pace of an engine that reads more than routers know of, such as parts that it has evicted.
SLOW_TOKENS_PER_S = 13_000.0
# Time from one region to the other.
FAR_S = 0.02
PLAY_S = 25.0


@dataclass(slots=True)
class _Kind:
    """A kind of request.

    :param read_tokens: mean length of its prompts.
    :param made_tokens: length of its answers.
    :param aim_s: time until the first event.
    """

    per_s: float
    read_tokens: float
    made_tokens: int
    aim_s: float
    deadline_s: float


NOTES = _Kind(per_s=17.0, read_tokens=600.0, made_tokens=290, aim_s=0.6, deadline_s=15.0)
REVIEWS = _Kind(per_s=9.0, read_tokens=5500.0, made_tokens=52, aim_s=0.8, deadline_s=6.0)


@dataclass(slots=True)
class _Run:
    """A request at an engine."""

    kind: _Kind
    router: "_Router"
    target: str
    began_s: float
    unread_tokens: float
    unmade_tokens: int
    first_s: float | None = None
    end_s: float | None = None

    @property
    def is_served(self) -> bool:
        """Whether it had its first event and its end in time."""
        return (
            self.first_s is not None
            and self.end_s is not None
            and self.first_s - self.began_s <= self.kind.aim_s
            and self.end_s - self.began_s <= self.kind.deadline_s
        )


@dataclass(slots=True)
class _Engine:
    """Reads a piece of one prompt in each step, and makes a token for each run.

    :param tokens_per_s: pace of its reading.
    """

    tokens_per_s: float = TOKENS_PER_S
    free_s: float = 0.0
    waiting: deque[_Run] = field(default_factory=deque)
    running: list[_Run] = field(default_factory=list)

    def step(self) -> Iterator[_Run]:
        """Make one step; returns the runs that have their first event."""
        took_s = STEP_S
        read = self.waiting[0] if self.waiting else None
        if read is not None:
            tokens = min(CHUNK_TOKENS, read.unread_tokens)
            read.unread_tokens -= tokens
            took_s += tokens / self.tokens_per_s
        self.free_s += took_s
        for run in list(self.running):
            run.unmade_tokens -= 1
            if run.unmade_tokens <= 0:
                run.end_s = self.free_s
                self.running.remove(run)
        if read is not None and read.unread_tokens <= 0:
            read.first_s = self.free_s
            self.running.append(self.waiting.popleft())
            yield read


# Data centres of the engines; the first is the only one of its region.
ENGINES = {"near": "c", "far1": "a", "far2": "a", "far3": "b"}


class _Router:
    """Placement of one router, with a directory of its own."""

    def __init__(self, clock: ManualClock, region: str, engines: dict[str, str]) -> None:
        self._clock = clock
        self.region = region
        self.directory = Directory(clock, REGIONS)
        for name, data_centre in engines.items():
            self.directory.put(entry(name, data_centre=data_centre))
        versions = WeightVersions(clock, self.directory, 10.0, 4.0)
        sources = CachePlanner(clock, REGIONS, CacheIndex(clock), versions)
        self._paces = PrefillRates()
        self._placement = PromptTargetSelector(clock, region, sources, versions, self._paces)

    def place(self, number: int, tokens: int) -> Placement:
        """Choose an engine and reckon with the work there."""
        request = make_request(request_id=str(number), parts=((f"own{number}", tokens),))
        targets = self.directory.of_service("engines")
        place = self._placement.choose(request, "", targets, 0.0, FACTS, (), 0)
        assert isinstance(place, Placement)
        place.target.in_flight += 1
        self.note_work(place.target.name, place.priority, place.read_tokens)
        return place

    def note_work(self, name: str, priority: int, tokens: int) -> None:
        """Reckon with a prompt that an engine has to read."""
        target = self.directory.get(name)
        assert target is not None
        work_s = self._paces.get("engines").read_s(tokens)
        target.backlog.add(priority, work_s, self._clock.monotonic_s())

    def note_load(self, name: str, load: int) -> None:
        """Take over a load that an engine reported."""
        target = self.directory.get(name)
        assert target is not None
        target.record_load(load, self._clock.monotonic_s())


class GeneratingLoadTest(unittest.TestCase):
    """Load: half of the callers are in a region with one engine, the other has three.

    The engine nearby reads more than routers reckon with. It then has hardly a step without
    reading, so that the answers it makes meanwhile take many times as long.
    """

    def _play(self, is_load_told: bool, seed: int) -> list[_Run]:
        generator = random.Random(seed)
        clock = ManualClock()
        start_s = clock.monotonic_s()
        routers = [_Router(clock, region, ENGINES) for region in ("west", "east")]
        engines = {name: _Engine(free_s=start_s) for name in ENGINES}
        engines["near"].tokens_per_s = SLOW_TOKENS_PER_S
        runs: list[_Run] = []
        for number, (at_s, kind) in enumerate(_arrivals(generator)):
            self._run_until(engines, start_s + at_s, clock, routers, is_load_told)
            clock.advance(max(0.0, start_s + at_s - clock.monotonic_s()))
            router = routers[generator.randrange(2)]
            tokens = int(generator.uniform(0.5, 1.5) * kind.read_tokens)
            place = router.place(number, tokens)
            for other in routers:
                if other is not router:
                    other.note_work(place.target.name, place.priority, place.read_tokens)
            way_s = 0.0 if place.target.region == router.region else 2 * FAR_S
            name = place.target.name
            run = _Run(kind, router, name, start_s + at_s - way_s, tokens, kind.made_tokens)
            runs.append(run)
            engine = engines[name]
            engine.free_s = max(engine.free_s, start_s + at_s)
            engine.waiting.append(run)
        self._run_until(engines, start_s + 2 * PLAY_S, clock, routers, is_load_told)
        return runs

    def _run_until(
        self,
        engines: dict[str, _Engine],
        until_s: float,
        clock: ManualClock,
        routers: list[_Router],
        is_load_told: bool,
    ) -> None:
        """Let the engines work; loads reach the routers in the order of time."""
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
                for router in routers if is_load_told else [run.router]:
                    router.note_load(name, load)
            self._note_ends(name, engine, before, routers)
            heapq.heappush(due, (engine.free_s, name))

    def _note_ends(self, name: str, engine: _Engine, before: int, routers: list[_Router]) -> None:
        """Count the requests under way at an engine anew at each router."""
        if len(engine.running) == before:
            return
        for router in routers:
            target = router.directory.get(name)
            assert target is not None
            here = [*engine.running, *engine.waiting]
            target.in_flight = sum(run.router is router for run in here)

    def test_more_callers_are_served_by_spreading_what_engines_run(self) -> None:
        """Guards against an engine that gets all work of its region until no answer ends."""
        before, now = [], []
        for seed in range(4):
            with mock.patch.multiple(placing, RUNNING_S=0.001, RUNNING_SHARE=0.0):
                before += self._play(is_load_told=False, seed=seed)
            now += self._play(is_load_told=True, seed=seed)
        for kind in (NOTES, REVIEWS):
            with self.subTest(kind=kind):
                self.assertGreater(_served(now, kind), _served(before, kind))

    def test_load_that_a_peer_was_told_keeps_requests_away(self) -> None:
        """Guards against a router that takes an engine for idle since it has asked it nothing."""
        clock = ManualClock()
        router = _Router(clock, "west", ENGINES)
        first = router.place(1, 5000).target
        self.assertEqual("near", first.name)
        first.in_flight = 0
        clock.advance(2.0)
        router.note_load("near", 60)
        self.assertNotEqual("near", router.place(2, 5000).target.name)


def _arrivals(generator: random.Random) -> list[tuple[float, _Kind]]:
    found = []
    for kind in (NOTES, REVIEWS):
        at_s = 0.0
        while (at_s := at_s + generator.expovariate(kind.per_s)) < PLAY_S:
            found.append((at_s, kind))
    return sorted(found, key=lambda item: item[0])


def _served(runs: list[_Run], kind: _Kind) -> float:
    ours = [run for run in runs if run.kind is kind]
    return sum(run.is_served for run in ours) / len(ours)
