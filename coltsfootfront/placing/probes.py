"""Parallel probes with a tight timeout, and the load table fed by every reply.

A probe of a 30-block prompt with 7 depths takes 220 bytes with its frame and the reply 150 bytes
(measured), so that 17 of them a second take 6.3 KB/s.
"""

import asyncio
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Probe, ProbeReply
from coltsfootfront.placing.policy import TargetEstimate, TargetLoad

# Weight of a new measurement in the latency estimate.
LATENCY_SHARE = 0.2
# Probes that go on after their timeout; a late reply still updates the load table, and a
# connection that takes longer to open than a probe may last is there for the next one.
MAX_LATE_PROBES = 256
# Added to the timeout while a connection is not open yet, so that a restarted router also
# places its first requests by the agents' answers.
OPENING_ALLOWANCE_S = 0.1
# An agent that missed this many probes in a row is still asked but not waited for; a dead one
# would otherwise delay every placement that it is a candidate for.
MAX_MISSED = 2


class LoadTable:
    """What this router has seen of each target.

    :param clock: time source.
    """

    __slots__ = ("_clock", "loads")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.loads: dict[str, TargetLoad] = {}

    def get(self, target: str) -> TargetLoad:
        """Entry of one target, made on first use."""
        return self.loads.setdefault(target, TargetLoad())

    def note_load(self, target: str, load: float) -> None:
        """Take a load report out of a reply."""
        entry = self.get(target)
        entry.load = load
        entry.updated_s = self._clock.monotonic_s()

    def note_round_trip(self, target: str, round_trip_s: float) -> None:
        """Update the latency estimate; a shorter time counts at once, a longer one slowly."""
        entry = self.get(target)
        one_way_s = round_trip_s / 2
        if one_way_s < entry.latency_s:
            entry.latency_s = one_way_s
        else:
            entry.latency_s += LATENCY_SHARE * (one_way_s - entry.latency_s)

    def keep_only(self, targets: set[str]) -> None:
        """Forget targets that left the document."""
        for name in self.loads.keys() - targets:
            if not self.loads[name].in_flight:
                del self.loads[name]


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """One agent to ask.

    :param version: weights version expected there.
    :param depths: numbers of leading blocks that ``keys`` describe.
    """

    target: str
    address: str
    version: str
    depths: tuple[int, ...]
    keys: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ProbeQuestion:
    """What is the same in all probes of one request."""

    customer: str
    model: str
    adapter: str
    service: str
    blocks: int
    priority: int
    hold: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """Reply of one target.

    :param agent: incarnation of the agent.
    """

    target: str
    reply: ProbeReply
    latency_s: float
    agent: str

    def candidate(self, home: bool) -> TargetEstimate:
        """The reply as placement policies see it."""
        reply = self.reply
        return TargetEstimate(
            self.target,
            max(0, reply.matched),
            max(0.0, reply.wait_s),
            max(0.0, reply.prefill_s),
            reply.load,
            self.latency_s,
            home,
        )

    def refusal(self) -> Failure | None:
        """The refusal that a request would meet, or None."""
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
    """Replies that arrived in time."""

    answers: list[Answered] = field(default_factory=list)


class Prober:
    """Asks several agents at once.

    :param pool: channels to agents.
    :param table: load table to update.
    :param clock: time source.
    :param timeout_s: limit for the replies of one request.
    :param connect_timeout_s: limit for a late probe that still opens its connection.
    """

    def __init__(
        self,
        pool: ChannelPool,
        table: LoadTable,
        clock: Clock,
        timeout_s: float,
        connect_timeout_s: float,
    ) -> None:
        self._pool = pool
        self._table = table
        self._clock = clock
        self._timeout_s = timeout_s
        self._late_timeout_s = timeout_s + connect_timeout_s
        self._late: set[asyncio.Task[Answered | None]] = set()
        self._missed: dict[str, int] = {}

    async def ask(self, question: ProbeQuestion, targets: list[ProbeTarget]) -> ProbeResult:
        """Probe targets in parallel.

        :returns: the replies that arrived within the timeout.
        """
        if not targets:
            return ProbeResult()
        timeout_s = self._timeout_s
        if not all(self._pool.get(target.address).is_open for target in targets):
            timeout_s += OPENING_ALLOWANCE_S
        tasks = {
            target.target: asyncio.create_task(self._ask_one(question, target))
            for target in targets
        }
        waited = {
            task for name, task in tasks.items() if self._missed.get(name, 0) < MAX_MISSED
        } or set(tasks.values())
        try:
            await asyncio.wait(waited, timeout=timeout_s)
        finally:
            self._keep({task for task in tasks.values() if not task.done()})
        answers = [task.result() for task in tasks.values() if task.done()]
        found = [answer for answer in answers if answer is not None]
        self._count_missed(tasks.keys() - {answer.target for answer in found})
        return ProbeResult(found)

    def keep_only(self, targets: set[str]) -> None:
        """Forget targets that left the document."""
        for name in self._missed.keys() - targets:
            del self._missed[name]

    async def close(self) -> None:
        """Cancel probes that still wait."""
        tasks = list(self._late)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _count_missed(self, names: set[str]) -> None:
        for name in names:
            self._missed[name] = self._missed.get(name, 0) + 1

    def _keep(self, tasks: set[asyncio.Task[Answered | None]]) -> None:
        for task in tasks:
            if len(self._late) >= MAX_LATE_PROBES:
                task.cancel()
                continue
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _ask_one(self, question: ProbeQuestion, target: ProbeTarget) -> Answered | None:
        channel = self._pool.get(target.address)
        try:
            agent = await channel.open()
            return await self._exchange(channel, agent, question, target)
        except ConnectionLostError:
            return None

    async def _exchange(
        self, channel: Channel, agent: str, question: ProbeQuestion, target: ProbeTarget
    ) -> Answered:
        probe = Probe(
            channel.next_number(),
            question.customer,
            question.model,
            question.adapter,
            target.version,
            list(target.depths),
            list(target.keys),
            question.blocks,
            question.priority,
            question.hold,
            question.service,
        )
        started_s = self._clock.monotonic_s()
        reply = await channel.call(probe, ProbeReply, self._late_timeout_s)
        self._table.note_round_trip(target.target, self._clock.monotonic_s() - started_s)
        self._table.note_load(target.target, reply.load)
        self._missed.pop(target.target, None)
        return Answered(target.target, reply, self._table.get(target.target).latency_s, agent)
