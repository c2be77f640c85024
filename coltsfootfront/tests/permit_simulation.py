"""Simulation of routers that share a target's limit, on a virtual clock and without a network."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta

from coltsfootfront.common.clock import Clock
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.limits import TargetLimit
from coltsfootfront.direct.permitmessages import PermitChannel, PermitRequest, PermitResponse
from coltsfootfront.direct.permits import Permits
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.tests.direct_support import REGIONS, make_entry
from coltsfootfront_dev.limitcheck import Arrival, Period

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
DATA_CENTRES = ("a", "a", "b", "c", "c")
LOCAL_DELAY_S = 0.002
REMOTE_DELAY_S = 0.021
# Rounds of the event loop after which all tasks wait for the clock.
SETTLE_ROUNDS = 12
# Longest time that a request waits for a permit.
MAX_WAIT_S = 0.3
# Time for which a router is excused after it was disturbed.
STABLE_S = 4.0


class VirtualTime:
    """Time that advances to the next sleeper when all tasks wait."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    def wake_at(self, at_s: float) -> asyncio.Future[None]:
        """Future that is done at a time."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (at_s, next(self._numbers), future))
        return future

    async def run_until(self, end_s: float) -> None:
        """Advance the time, waking every sleeper in turn."""
        while True:
            for _ in range(SETTLE_ROUNDS):
                await asyncio.sleep(0)
            if not self._sleepers or self._sleepers[0][0] > end_s:
                self.now_s = end_s
                return
            at_s, _, future = heapq.heappop(self._sleepers)
            self.now_s = max(self.now_s, at_s)
            if not future.done():
                future.set_result(None)


class RouterClock(Clock):
    """Clock of one router: the time runs on while the router is frozen, but nothing wakes."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.frozen_until_s = 0.0

    def monotonic_s(self) -> float:
        return self._time.now_s

    def now(self) -> datetime:
        return EPOCH + timedelta(seconds=self._time.now_s)

    async def sleep(self, delay_s: float) -> None:
        await self._time.wake_at(self._time.now_s + delay_s)
        while self._time.now_s < self.frozen_until_s:
            await self._time.wake_at(self.frozen_until_s)


class SimulatedRouter(PermitChannel):
    """One router with its own view of the target's limit."""

    def __init__(self, simulation: "PermitSimulation", number: int) -> None:
        self.simulation = simulation
        self.name = f"10.0.{number}.1:80"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.entry = RouterEntry(self.name, data_centre, REGIONS[data_centre])
        self.clock = RouterClock(simulation.time)
        self.is_cut = False
        self.is_running = False
        self.denied = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.start()

    def start(self) -> None:
        """Start the process with empty state."""
        directory = Directory(self.clock, REGIONS)
        directory.put(make_entry("t1", data_centre="a"))
        target = directory.get("t1")
        assert target is not None
        self.target: Target = target
        now_s = self.clock.monotonic_s()
        target.limit = TargetLimit(self.simulation.rate_per_s, now_s, now_s, "the test")
        self.permits = Permits(
            self.clock, directory, REGIONS, self.name, self, self.simulation.generator
        )
        self.permits.set_routers(self.simulation.registered())
        self.is_running = True

    def kill(self) -> None:
        """End the process at once."""
        self.is_running = False
        for task in self._tasks:
            task.cancel()

    def run(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a task of the process."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send_request(self, router: str, request: PermitRequest) -> None:
        self.simulation.deliver(
            self, router, lambda receiver: receiver.permits.handle_request(request)
        )

    def send_response(self, router: str, response: PermitResponse) -> None:
        self.simulation.deliver(
            self, router, lambda receiver: receiver.permits.handle_response(response)
        )

    def announce_suspicion(self, router: str, for_s: float) -> None:
        for name in self.simulation.routers:
            if name != self.name:
                self._tell(name, router, for_s)

    def send_suspicion(self, router: str, for_s: float) -> None:
        self._tell(router, router, for_s)

    def _tell(self, name: str, router: str, for_s: float) -> None:
        self.simulation.deliver(
            self, name, lambda receiver: receiver.permits.handle_suspicion(router, for_s)
        )

    async def serve(self, max_wait_s: float = MAX_WAIT_S) -> None:
        """Send one request to the target if a permit is available soon enough."""
        limit = self.target.limit
        assert limit is not None
        now_s = self.clock.monotonic_s()
        if now_s < self.clock.frozen_until_s:
            await self.clock.sleep(0.0)
        if limit.blocked_until_s > now_s + max_wait_s or not await self.permits.acquire(
            self.target, max_wait_s
        ):
            self.denied += 1
            return
        self.simulation.arrivals.append(Arrival(self.clock.monotonic_s(), self.name))


class PermitSimulation:
    """Routers, the links between them and the requests that the target gets.

    :param rate_per_s: limit that the target names.
    :param weights: relative traffic of each router.
    """

    def __init__(self, seed: int, rate_per_s: float, weights: tuple[float, ...]) -> None:
        self.time = VirtualTime()
        self.generator = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.loss_rate = 0.0
        self.arrivals: list[Arrival] = []
        self.excused: dict[str, list[Period]] = {}
        self.routers: dict[str, SimulatedRouter] = {}
        self._weights: list[float] = []
        for weight in weights:
            self.add(weight)

    def add(self, weight: float) -> SimulatedRouter:
        """Add a router that all others learn of."""
        added = SimulatedRouter(self, len(self.routers))
        self.routers[added.name] = added
        self._weights.append(weight)
        self.update_registry()
        return added

    def registered(self) -> dict[str, RouterEntry]:
        """Routers in the registry."""
        return {name: router.entry for name, router in self.routers.items()}

    def close(self) -> None:
        """End all routers."""
        for router in self.routers.values():
            router.kill()

    def update_registry(self) -> None:
        """Let all routers read the registry."""
        for router in self.routers.values():
            router.permits.set_routers(self.registered())

    def deliver(
        self, sender: SimulatedRouter, name: str, handle: Callable[[SimulatedRouter], None]
    ) -> None:
        """Carry a message to a router, unless it is lost."""
        receiver = self.routers[name]
        is_cut = sender.is_cut or receiver.is_cut
        if not sender.is_running or is_cut or self.generator.random() < self.loss_rate:
            return
        is_remote = sender.entry.region != receiver.entry.region
        delay_s = REMOTE_DELAY_S if is_remote else LOCAL_DELAY_S
        receiver.run(self._deliver_later(receiver, delay_s, handle))

    async def _deliver_later(
        self,
        receiver: SimulatedRouter,
        delay_s: float,
        handle: Callable[[SimulatedRouter], None],
    ) -> None:
        await receiver.clock.sleep(delay_s)
        if receiver.is_running and not receiver.is_cut:
            handle(receiver)

    async def send_for(self, duration_s: float, requests_per_s: float) -> None:
        """Send requests to the routers by their weights."""
        end_s = self.time.now_s + duration_s
        at_s = self.time.now_s
        names = list(self.routers)
        while True:
            at_s += self.generator.expovariate(requests_per_s)
            if at_s >= end_s:
                break
            await self.time.run_until(at_s)
            router = self.routers[self.generator.choices(names, self._weights[: len(names)])[0]]
            if router.is_running:
                router.run(router.serve())
        await self.time.run_until(end_s)

    def excuse(self, router: SimulatedRouter, for_s: float) -> None:
        """Excuse a router while it is disturbed and for a while after."""
        now_s = self.time.now_s
        self.excused.setdefault(router.name, []).append(Period(now_s, now_s + for_s + STABLE_S))

    async def disturb(self, router: SimulatedRouter, kind: str, for_s: float) -> None:
        """Kill, freeze or cut a router off for some time."""
        self.excuse(router, for_s)
        if kind == "freeze":
            router.clock.frozen_until_s = self.time.now_s + for_s
            return
        if kind == "kill":
            router.kill()
        else:
            router.is_cut = True
        await self.time.wake_at(self.time.now_s + for_s)
        if kind == "kill":
            router.start()
        else:
            router.is_cut = False
