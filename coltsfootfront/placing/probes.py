"""Parallel probes of agents with a short timeout, and the load table that each reply updates.

A probe of a 30-block prompt with 7 depths takes 220 bytes with its frame and the reply 150 bytes,
so 17 of them a second take 6.3 KB/s.
"""

import asyncio
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Probe, ProbeReply
from coltsfootfront.placing.policy import TargetEstimate, TargetLoad

# Weight of a new sample in the exponentially weighted moving average of latency.
LATENCY_SMOOTHING = 0.2
# Maximum number of probes that continue after their timeout. A late reply still updates the load
# table, and a connection that opens too late for one probe serves the next.
MAX_LATE_PROBES = 256
# Added to the timeout while a connection is not open yet, so that a restarted router can place its
# first requests by probe answers, too.
CONNECT_ALLOWANCE_S = 0.1
# An agent that missed this many probes in a row is still probed but not waited for; otherwise a
# dead agent would delay every placement in which it is a candidate.
MAX_CONSECUTIVE_MISSES = 2


class LoadTable:
    """This router's state for each target.

    :param clock: time source.
    """

    __slots__ = ("_clock", "loads")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.loads: dict[str, TargetLoad] = {}

    def get(self, target: str) -> TargetLoad:
        """Entry of one target, created on first use."""
        return self.loads.setdefault(target, TargetLoad())

    def record_load(self, target: str, load: float) -> None:
        """Record the load that a reply reports."""
        entry = self.get(target)
        entry.load = load
        entry.updated_s = self._clock.monotonic_s()

    def record_round_trip(self, target: str, round_trip_s: float) -> None:
        """Update the latency estimate: a lower sample replaces it, a higher one is smoothed."""
        entry = self.get(target)
        one_way_s = round_trip_s / 2
        if one_way_s < entry.latency_s:
            entry.latency_s = one_way_s
        else:
            entry.latency_s += LATENCY_SMOOTHING * (one_way_s - entry.latency_s)

    def keep_only(self, targets: set[str]) -> None:
        """Drop targets that are no longer configured, unless requests are in flight there."""
        for name in self.loads.keys() - targets:
            if not self.loads[name].in_flight:
                del self.loads[name]


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """One agent to probe.

    :param version: weights version expected there.
    :param depths: numbers of leading blocks that ``keys`` describe.
    """

    target: str
    address: str
    version: str
    depths: tuple[int, ...]
    keys: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ProbeQuery:
    """The fields that all probes of one request share."""

    customer: str
    model: str
    adapter: str
    service: str
    blocks: int
    priority: int
    hold: bool


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Probe answer of one target.

    :param agent: incarnation of the agent.
    """

    target: str
    reply: ProbeReply
    latency_s: float
    agent: str

    def to_estimate(self, is_home: bool) -> TargetEstimate:
        """Convert to the form that placement policies use."""
        reply = self.reply
        return TargetEstimate(
            self.target,
            max(0, reply.matched),
            max(0.0, reply.wait_s),
            max(0.0, reply.prefill_s),
            reply.load,
            self.latency_s,
            is_home,
        )

    def refusal(self) -> Failure | None:
        """The refusal that a request to this target would get, or None."""
        if not self.reply.refusal:
            return None
        try:
            kind = ErrorKind(self.reply.refusal)
        except ValueError:
            kind = ErrorKind.INTERNAL
        wait_s = self.reply.retry_after_s or None
        return Failure(kind, f"{self.target} refuses", ExecutionState.NOT_RUN, wait_s)


@dataclass(slots=True)
class ProbeResult:
    """Answers that arrived in time."""

    answers: list[ProbeAnswer] = field(default_factory=list)


class Prober:
    """Probes several agents in parallel.

    :param pool: channels to agents.
    :param load_table: load table to update.
    :param clock: time source.
    :param timeout_s: time limit for the probes of one request.
    :param connect_timeout_s: further time for a late probe whose connection is still opening.
    """

    def __init__(
        self,
        pool: ChannelPool,
        load_table: LoadTable,
        clock: Clock,
        timeout_s: float,
        connect_timeout_s: float,
    ) -> None:
        self._pool = pool
        self._load_table = load_table
        self._clock = clock
        self._timeout_s = timeout_s
        self._late_timeout_s = timeout_s + connect_timeout_s
        self._late_tasks: set[asyncio.Task[ProbeAnswer | None]] = set()
        self._consecutive_misses: dict[str, int] = {}

    async def probe(self, query: ProbeQuery, targets: list[ProbeTarget]) -> ProbeResult:
        """Probe targets in parallel.

        :returns: the answers that arrived within the timeout.
        """
        if not targets:
            return ProbeResult()
        timeout_s = self._timeout_s
        if not all(self._pool.get(target.address).is_open for target in targets):
            timeout_s += CONNECT_ALLOWANCE_S
        tasks = {
            target.target: asyncio.create_task(self._probe_one(query, target)) for target in targets
        }
        awaited = {
            task
            for name, task in tasks.items()
            if self._consecutive_misses.get(name, 0) < MAX_CONSECUTIVE_MISSES
        } or set(tasks.values())
        try:
            async with ReadTimeout(timeout_s):
                await asyncio.wait(awaited)
        except TimeoutError:
            pass
        finally:
            self._track_late_probes({task for task in tasks.values() if not task.done()})
        answers = [task.result() for task in tasks.values() if task.done()]
        received = [answer for answer in answers if answer is not None]
        self._count_misses(tasks.keys() - {answer.target for answer in received})
        return ProbeResult(received)

    def keep_only(self, targets: set[str]) -> None:
        """Drop the state of targets that are no longer configured."""
        for name in self._consecutive_misses.keys() - targets:
            del self._consecutive_misses[name]

    async def close(self) -> None:
        """Cancel late probes."""
        tasks = list(self._late_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _count_misses(self, names: set[str]) -> None:
        for name in names:
            self._consecutive_misses[name] = self._consecutive_misses.get(name, 0) + 1

    def _track_late_probes(self, tasks: set[asyncio.Task[ProbeAnswer | None]]) -> None:
        for task in tasks:
            if len(self._late_tasks) >= MAX_LATE_PROBES:
                task.cancel()
                continue
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)

    async def _probe_one(self, query: ProbeQuery, target: ProbeTarget) -> ProbeAnswer | None:
        channel = self._pool.get(target.address)
        try:
            agent = await channel.open()
            return await self._exchange(channel, agent, query, target)
        except ConnectionLostError:
            return None

    async def _exchange(
        self, channel: Channel, agent: str, query: ProbeQuery, target: ProbeTarget
    ) -> ProbeAnswer:
        probe = Probe(
            channel.next_number(),
            query.customer,
            query.model,
            query.adapter,
            target.version,
            list(target.depths),
            list(target.keys),
            query.blocks,
            query.priority,
            query.hold,
            query.service,
        )
        started_s = self._clock.monotonic_s()
        reply = await channel.call(probe, ProbeReply, self._late_timeout_s)
        self._load_table.record_round_trip(target.target, self._clock.monotonic_s() - started_s)
        self._load_table.record_load(target.target, reply.load)
        self._consecutive_misses.pop(target.target, None)
        return ProbeAnswer(
            target.target, reply, self._load_table.get(target.target).latency_s, agent
        )
