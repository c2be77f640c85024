"""Loads played on a virtual clock, with placement by cost and with the placement before it.

Three routers place requests at targets; what they tell each other arrives 50 ms later.
"""

import heapq
import random
import unittest
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from coltsfootfront.costs.model import CostModel
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import (
    Placement,
    PlainTargetSelector,
    PromptTargetSelector,
)
from coltsfootfront.direct.targetwork import TargetWorkRecorder
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.tests.direct_support import ENGINE_PROPERTIES, REGIONS, make_entry, make_request
from coltsfootfront.tests.support import ManualClock

GOSSIP_DELAY_S = 0.05
TOKENS_PER_S = 90_000.0
ROUTERS = 3
PLAYED_S = 20.0
# Engines prefill in chunks, and choose the next one by priority.
CHUNK_S = 1024 / TOKENS_PER_S
Pace = Callable[[str, float], float]
# Priority, number, work in seconds, and what is called at its end.
_Work = tuple[int, int, float, Callable[[], None]]


@dataclass(frozen=True, slots=True)
class _Kind:
    """A kind of request, with tokens of its prompts or the mean work of its calls."""

    name: str
    rate_per_s: float
    aim_s: float
    tokens: int = 0
    work_s: float = 0.0


@dataclass(slots=True)
class _Server:
    """Target that runs the most urgent waiting requests in its slots, one after the other."""

    slots: int
    running: int = 0
    waiting: list[_Work] = field(default_factory=list)


class _Channel(Gossip):
    """Tells the other routers of a fleet after a delay."""

    def __init__(self, fleet: "_Fleet", number: int) -> None:
        super().__init__(lambda *_: None, "east", random.Random(1))
        self._fleet = fleet
        self._number = number

    def queue_pending(self, target: str, totals: list[int]) -> None:
        name = str(self._number)
        self._tell(target, lambda t, now_s: t.pending.record_peer(name, totals, now_s))

    def queue_prefill_work(self, target: str, priority: int, work_s: float) -> None:
        self._tell(target, lambda t, now_s: t.backlog.add(priority, work_s, now_s))

    def queue_load(self, target: str, load: int) -> None:
        self._tell(target, lambda t, now_s: t.record_load(load, now_s))

    def queue_pace(self, target: str, percent: float) -> None:
        self._tell(target, lambda t, now_s: t.pace.record_sample(percent, now_s))

    def _tell(self, target: str, apply: Callable[[Target, float], object]) -> None:
        for router in self._fleet.routers:
            if router.channel is not self:
                found = router.directory.get(target)
                assert found is not None
                self._fleet.after(GOSSIP_DELAY_S, partial(self._apply, apply, found))

    def _apply(self, apply: Callable[[Target, float], object], target: Target) -> None:
        apply(target, self._fleet.clock.monotonic_s())


class _Router:
    def __init__(self, fleet: "_Fleet", number: int) -> None:
        clock = fleet.clock
        self.directory = Directory(clock, REGIONS)
        self.channel = _Channel(fleet, number)
        self.rates = PrefillRates()
        self.costs = CostModel()
        self.costs.has_quotas = fleet.has_quotas
        versions = WeightVersions(clock, self.directory, 10.0, 4.0)
        planner = CachePlanner(clock, REGIONS, CacheIndex(clock), versions)
        self.prompts = PromptTargetSelector(
            clock, "east", planner, versions, self.rates, self.costs
        )
        self.plain = PlainTargetSelector(clock, "a", "east", random.Random(number), self.costs)
        self.work = TargetWorkRecorder(clock, self.directory, self.channel, self.rates, self.costs)


class _Fleet:
    """Routers and targets.

    :param pace: pace of a target at a time.
    :param is_reported: whether targets report their pace.
    :param has_quotas: whether customers have quotas.
    """

    def __init__(
        self,
        targets: int,
        slots: int,
        pace: Pace,
        is_reported: bool = False,
        has_quotas: bool = False,
    ) -> None:
        self.clock = ManualClock()
        self.has_quotas = has_quotas
        self.took_s: dict[str, list[float]] = defaultdict(list)
        self._pace = pace
        self._is_reported = is_reported
        self._generator = random.Random(5)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.routers: list[_Router] = [_Router(self, number) for number in range(ROUTERS)]
        self._servers = {f"t{number}": _Server(slots) for number in range(targets)}
        for router in self.routers:
            for name in self._servers:
                router.directory.put(replace(make_entry(name), slots=128 if slots == 1 else slots))

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.clock.monotonic_s() + delay_s, self._number, run))

    def play(self, kinds: tuple[_Kind, ...], for_s: float) -> dict[str, float]:
        """Share of the requests of each kind whose response came within the objective."""
        for kind in kinds:
            at_s = 0.0
            while (at_s := at_s + self._generator.expovariate(kind.rate_per_s)) < for_s:
                self.after(at_s, partial(self._arrive, kind))
        while self._events:
            at_s, _, run = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.monotonic_s()))
            run()
        return {
            kind.name: sum(took_s <= kind.aim_s for took_s in self.took_s[kind.name])
            / len(self.took_s[kind.name])
            for kind in kinds
        }

    def _arrive(self, kind: _Kind) -> None:
        router = self._generator.choice(self.routers)
        targets = router.directory.of_service("engines")
        self._number += 1
        if kind.tokens:
            tokens = round(kind.tokens * self._generator.lognormvariate(-0.1, 0.45))
            work_s = tokens / TOKENS_PER_S
            request = make_request(
                request_id=str(self._number), parts=((f"own{self._number}", tokens),)
            )
            placed = router.prompts.choose(request, "", targets, 0.0, ENGINE_PROPERTIES, (), 0)
        else:
            work_s = kind.work_s * self._generator.lognormvariate(-0.15, 0.55)
            placed = router.plain.choose(targets, kind.name)
        assert isinstance(placed, Placement)
        target, began_s = placed.target, self.clock.monotonic_s()
        attempt = router.work.begin(placed, kind.name, bool(kind.tokens))
        target.in_flight += 1

        def finish() -> None:
            now_s = self.clock.monotonic_s()
            self.took_s[kind.name].append(now_s - began_s)
            if kind.tokens:
                attempt.record_first_event()
                rate = router.rates.get("engines")
                ahead_tokens = placed.begin_s * rate.tokens_per_s
                rate.add_sample(ahead_tokens + placed.prefill_tokens, now_s - began_s)
            else:
                attempt.record_response()
            attempt.end()
            self._report(router, target, now_s)
            target.in_flight -= 1

        server = self._servers[target.name]
        heapq.heappush(server.waiting, (placed.priority, self._number, work_s, finish))
        self._start(target.name)

    def _start(self, name: str) -> None:
        server = self._servers[name]
        while server.waiting and server.running < server.slots:
            priority, number, work_s, finish = heapq.heappop(server.waiting)
            server.running += 1
            pace = self._pace(name, self.clock.monotonic_s())
            if server.slots == 1 and work_s > CHUNK_S:
                rest = (priority, number, work_s - CHUNK_S, finish)
                self.after(CHUNK_S * pace, partial(self._end, name, finish, rest))
                continue
            self.after(work_s * pace, partial(self._end, name, finish))

    def _end(self, name: str, finish: Callable[[], None], rest: _Work | None = None) -> None:
        server = self._servers[name]
        if rest is None:
            finish()
        else:
            heapq.heappush(server.waiting, rest)
        server.running -= 1
        self._start(name)

    def _report(self, router: _Router, target: Target, now_s: float) -> None:
        server = self._servers[target.name]
        load = server.running + len(server.waiting)
        target.record_load(load, now_s)
        router.channel.queue_load(target.name, load)
        percent = 100 * self._pace(target.name, now_s)
        if self._is_reported and target.pace.record_sample(percent, now_s):
            router.channel.queue_pace(target.name, percent)


QUICK = _Kind("quick", 125.0, 0.42, tokens=1500)
LONG = _Kind("long", 16.0, 1.2, tokens=9000)
PROMPTS = (QUICK, LONG)
BURST = (replace(QUICK, rate_per_s=115.0), replace(LONG, rate_per_s=13.0))
CALLS = (_Kind("lookup", 60.0, 0.15, work_s=0.04), _Kind("filing", 40.0, 0.5, work_s=0.2))


class CostLoadTest(unittest.TestCase):
    def _play(
        self,
        targets: int,
        slots: int,
        pace: Pace,
        kinds: tuple[_Kind, ...],
        **calls_for_costs: bool,
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Shares in time by kind, with the placement before and with the one by cost."""
        before = _Fleet(targets, slots, pace).play(kinds, PLAYED_S)
        return before, _Fleet(targets, slots, pace, **calls_for_costs).play(kinds, PLAYED_S)

    def test_more_prompts_begin_in_time_at_uneven_engines(self) -> None:
        """Load: two engines of pace 0.7 and two of 1.7, with nine tenths of their capacity used.

        Guards against slow engines that get as many prompts as fast ones.
        """
        before, now = self._play(
            4, 1, lambda name, _: 0.7 if name in ("t0", "t1") else 1.7, PROMPTS, is_reported=True
        )
        self.assertGreater(now["long"], before["long"] + 0.1)
        self.assertGreater(now["long"], 0.95)
        self.assertGreaterEqual(now["quick"], before["quick"])

    def test_more_prompts_begin_in_time_beside_a_momentarily_slow_engine(self) -> None:
        """Load: four engines of pace 0.7, of which one at a time has 4.0 for 0.4 s.

        Guards against prompts at an engine that a neighbour on its machine slows at that moment.
        """
        before, now = self._play(
            4,
            1,
            lambda name, now_s: 4.0 if name == f"t{int(now_s / 0.4) % 4}" else 0.7,
            PROMPTS,
            is_reported=True,
        )
        self.assertGreater(now["quick"], before["quick"])
        self.assertGreater(now["quick"], 0.995)
        self.assertGreaterEqual(now["long"], before["long"])

    def test_more_prompts_begin_in_time_in_bursts(self) -> None:
        """Load: customers compete for four engines, which are overloaded for 1.5 s of every 4 s.

        Guards against quick prompts that overtake the long ones at the engines where these wait,
        and against a backlog that drains in the estimate while it grows at the engine.
        """
        before, now = self._play(
            4, 1, lambda _, now_s: 1.6 if now_s % 4 < 1.5 else 0.9, BURST, has_quotas=True
        )
        self.assertGreater(now["long"], before["long"] + 0.02)
        self.assertGreaterEqual(now["quick"], before["quick"])

    def test_more_calls_of_varying_work_are_answered_in_time(self) -> None:
        """Load: three plain targets with 6 slots, one of them 2.5 times slower; light and heavy
        calls, which vary by a factor of five within their route.

        Guards against a slow target that gets as many calls as the others until its slots are full.
        """
        before, now = self._play(
            3, 6, lambda name, _: 2.5 if name == "t2" else 1.0, CALLS, has_quotas=True
        )
        self.assertGreater(now["filing"], before["filing"] + 0.03)
        self.assertGreater(now["lookup"], before["lookup"] - 0.02)

    def test_calls_at_equal_targets_are_served_as_well_as_before(self) -> None:
        """Load: three equal plain targets with 6 slots; light and heavy calls."""
        before, now = self._play(3, 6, lambda *_: 1.0, CALLS, has_quotas=True)
        for kind in CALLS:
            self.assertGreater(now[kind.name], before[kind.name] - 0.01)
