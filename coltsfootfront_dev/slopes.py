"""Measures what grows with size, for the capacity page.

Each slope is the least-squares line over at least three sizes. Memory is resident memory of a
fresh process for each size. Processor time is user and system time of the process in question.
"""

import asyncio
import gc
import json
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, Any

import aiohttp
import cappa
import psutil

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.configuration.entries import canonical_json, diff_entries, digest, pack
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.peers import messages
from coltsfootfront.peers.channel import Channel
from coltsfootfront.peers.connection import Identity
from coltsfootfront.peers.messages import Heartbeat, HeartbeatReply, Message, Probe, ProbeReply
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront_dev import synthetic
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.overhead import endpoints, raise_limits, stream
from coltsfootfront_dev.processes import FleetProcess
from coltsfootfront_dev.deployment import DEPLOYMENTS, PEER_SECRET, FleetOptions

FRAME_HEADER_BYTES = 4
# Large enough that memory which the allocator had left over before matters little.
INDEX_SIZES = (37_000, 74_000, 148_000, 296_000)
CUSTOMER_SIZES = (4_000, 8_000, 16_000)
TARGET_SIZES = (4_000, 8_000, 16_000)
TERMS_SIZES = (2_000, 4_000, 8_000)
CALL_SIZES = (500, 1_000, 2_000)
CONNECTION_SIZES = (100, 200, 400)
CONNECTION_IDLE_S = 2.0
TOKEN_SIZES = (5_000, 10_000, 20_000)
EVENT_SIZES = (1_000, 2_000, 4_000)
REVISION_SIZES = (2, 4, 8)
CHANGE_SIZES = (1, 2, 4)
CLAIM_SIZES = (5, 10, 20)
SETTLE_S = 0.5
# Longer than the interval at which leases are kept alive.
IDLE_S = 15.0
PROBE_DEPTHS = [1, 2, 4, 8, 16, 30]
PROBE_BLOCKS = 30


@dataclass
class Options:
    """Measure the slopes for the capacity page."""

    deployment: Annotated[
        str, cappa.Arg(long=True, choices=list(DEPLOYMENTS), help="example deployment")
    ] = "agency"
    part: Annotated[str, cappa.Arg(long=True, help="internal: one memory measurement")] = ""
    size: Annotated[int, cappa.Arg(long=True, help="internal: its size")] = 0


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points.

    :param each: growth for each unit of size.
    :param base: value at size zero.
    :param points: pairs of size and value.
    """

    each: float
    base: float
    points: list[tuple[int, float]]

    @classmethod
    def through(cls, points: Sequence[tuple[int, float]]) -> "Slope":
        """Fit the line by least squares."""
        count = len(points)
        mean_size = sum(size for size, _ in points) / count
        mean = sum(value for _, value in points) / count
        spread = sum((size - mean_size) ** 2 for size, _ in points)
        each = sum((size - mean_size) * (value - mean) for size, value in points) / spread
        return cls(each, mean - each * mean_size, list(points))

    def as_json(self) -> dict[str, Any]:
        """JSON form with rounded figures."""
        points = [[size, float(f"{value:.6g}")] for size, value in self.points]
        return {
            "each": float(f"{self.each:.4g}"),
            "base": float(f"{self.base:.4g}"),
            "points": points,
        }


# Memory, in a fresh process for each size


def _hold_index(size: int) -> object:
    index = CacheIndex(SystemClock())
    index.set_capacity(2 * size)
    for number in range(0, size, 10):
        index.store([(number + n).to_bytes(8, "big") for n in range(10)])
    return index


def _hold_revision(customers: int, targets: int, terms: int) -> object:
    entries = synthetic.entries(customers, targets, terms)
    revision = ActiveConfiguration()
    revision.install(1, entries, digest(entries))
    return revision


_MEMORY_PARTS: dict[str, tuple[Sequence[int], Callable[[int], object]]] = {
    "index_block": (INDEX_SIZES, _hold_index),
    "customer": (CUSTOMER_SIZES, lambda size: _hold_revision(size, 100, 100)),
    "target": (TARGET_SIZES, lambda size: _hold_revision(100, size, 100)),
    "terms_entry": (TERMS_SIZES, lambda size: _hold_revision(440, 1_400, size)),
}


def memory_of(part: str, size: int) -> int:
    """Bytes of resident memory that this process gains by holding one thing."""
    process = psutil.Process()
    # Warms up the allocator and lazy imports.
    _MEMORY_PARTS[part][1](100)
    gc.collect()
    before = process.memory_info().rss
    held = _MEMORY_PARTS[part][1](size)
    gc.collect()
    gained = int(process.memory_info().rss - before)
    del held
    return gained


def memory_slope(part: str) -> Slope:
    """Measure one memory slope with a fresh process for each size."""
    points = []
    for size in _MEMORY_PARTS[part][0]:
        command = [sys.executable, "-m", "coltsfootfront_dev.slopes"]
        command += ["--part", part, "--size", str(size)]
        output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        points.append((size, float(output)))
    return Slope.through(points)


# Processor time of a change, in this process


def revision_costs() -> dict[str, Any]:
    """Cost of deltas of one entry, and size of the packed document, at the scale target."""
    entries = synthetic.entries()
    source, receiver = ActiveConfiguration(), ActiveConfiguration()
    source.install(1, entries, digest(entries))
    receiver.install(1, entries, digest(entries))
    points = []
    delta_bytes = 0
    for count in REVISION_SIZES:
        spent_s = 0.0
        for _ in range(count):
            number = source.number + 1
            changed = canonical_json({"contact": f"change {number}"})
            entries = {**entries, "owners/owner-0": changed}
            source.install(number, entries, digest(entries))
            delta = source.delta_since(number - 1, 1)
            delta_bytes = len(messages.encode(delta, number)) + FRAME_HEADER_BYTES
            start_s = time.process_time()
            assert receiver.apply_delta(delta)
            spent_s += time.process_time() - start_s
        points.append((count, spent_s))
    put, _ = diff_entries({}, entries)
    return {
        "cpu_s_per_revision_at_scale": Slope.through(points).as_json(),
        "bytes_per_revision_delta": delta_bytes,
        "packed_document_bytes": len(pack(put)),
        "plain_document_bytes": sum(len(key) + len(value) for key, value in entries.items()),
        "document_entries": len(entries),
    }


# Processor time and bytes between processes of a fleet


def _cpu_s(process: FleetProcess) -> float:
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


def _rss(process: FleetProcess) -> int:
    return int(psutil.Process(process.pid).memory_info().rss)


def _channel(address: str, fleet: Fleet, name: str = "slopes") -> Channel:
    data_centre = next(iter(fleet.document["targets"].values()))["data_centre"]
    identity = Identity("router", name, data_centre, PEER_SECRET, lambda: fleet.revision)
    return Channel(address, identity, SystemClock(), idle_close_s=600.0)


def _frame_bytes(message: Message) -> int:
    return len(messages.encode(message, 1000)) + FRAME_HEADER_BYTES


class FleetSlopes:
    """Slopes that need running processes.

    :param fleet: fleet whose limits do not decide.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._idle_store_calls_per_s = 0.0
        self.result: dict[str, Any] = {}

    async def run(self) -> None:
        """Measure everything."""
        await asyncio.sleep(3.0)
        self.result["idle_rss_bytes"] = self._idle_memory()
        await self._idle_work()
        await self._probes()
        await self._greetings()
        await self._tokens()
        await self._events()
        await self._connections()
        await self._changes()
        await self._claims()

    def _idle_memory(self) -> dict[str, int]:
        roles = ("router", "agent", "admin")
        return {role: max(_rss(process) for process in self._fleet.of_role(role)) for role in roles}

    async def _idle_work(self) -> None:
        own = [*self._fleet.routers, *self._fleet.agents]
        before = [_cpu_s(process) for process in own]
        calls = await self._store_calls()
        await asyncio.sleep(IDLE_S)
        spent = [(_cpu_s(process) - was) / IDLE_S for process, was in zip(own, before, strict=True)]
        self._idle_store_calls_per_s = (await self._store_calls() - calls) / IDLE_S
        self.result["store_calls_per_s_idle"] = self._idle_store_calls_per_s
        routers = len(self._fleet.routers)
        self.result["idle_cpu_share"] = {
            "router": round(max(spent[:routers]), 5),
            "agent": round(max(spent[routers:]), 5),
        }

    async def _cost(
        self,
        sizes: Sequence[int],
        run: Callable[[int], Awaitable[Any]],
        processes: Sequence[FleetProcess],
    ) -> tuple[Slope, Slope]:
        """Processor time of processes, and of this process, for each unit of size."""
        theirs, own = [], []
        for size in sizes:
            before = sum(_cpu_s(process) for process in processes)
            start_s = time.process_time()
            await run(size)
            await asyncio.sleep(SETTLE_S)
            own.append((size, time.process_time() - start_s))
            theirs.append((size, sum(_cpu_s(process) for process in processes) - before))
        return Slope.through(theirs), Slope.through(own)

    async def _probes(self) -> None:
        agent = self._engine_agent()
        channel = _channel(agent.peer_address, self._fleet)
        row = next(row for row in self._fleet.customers() if row["models"])
        keys = [bytes([depth] * 8) for depth in PROBE_DEPTHS]
        version = self._fleet.document["targets"][agent.target]["models"][0]["version"]
        replies: list[ProbeReply] = []

        def probe() -> Probe:
            number = channel.next_number()
            model, _, adapter = row["models"][0].partition(":")
            return Probe(
                number, row["name"], model, adapter, version, PROBE_DEPTHS, keys, PROBE_BLOCKS
            )

        async def run(count: int) -> None:
            for _ in range(count):
                replies.append(await channel.call(probe(), ProbeReply, 1.0))

        await run(50)
        theirs, own = await self._cost(CALL_SIZES, run, [agent])
        self.result["cpu_s_per_probe_agent"] = theirs.as_json()
        self.result["cpu_s_per_probe_client"] = own.as_json()
        self.result["bytes_per_probe"] = _frame_bytes(probe()) + _frame_bytes(replies[-1])
        await channel.close()

    async def _greetings(self) -> None:
        router = self._fleet.routers[0]
        channel = _channel(router.peer_address, self._fleet)
        replies: list[HeartbeatReply] = []

        def greet() -> Heartbeat:
            return Heartbeat(channel.next_number(), "slopes", "agent", "dc", "")

        async def run(count: int) -> None:
            for _ in range(count):
                replies.append(await channel.call(greet(), HeartbeatReply, 1.0))

        await run(50)
        theirs, own = await self._cost(CALL_SIZES, run, [router])
        self.result["cpu_s_per_greeting_server"] = theirs.as_json()
        self.result["cpu_s_per_greeting_client"] = own.as_json()
        self.result["bytes_per_greeting"] = _frame_bytes(greet()) + _frame_bytes(replies[-1])
        await channel.close()

    async def _tokens(self) -> None:
        _, routed = endpoints(self._fleet)
        streams = 10

        async def run(count: int) -> None:
            tokens = count // streams
            calls = (
                stream(self._fleet.session, routed, f"tokens {n}", tokens) for n in range(streams)
            )
            await asyncio.gather(*calls)

        router, agents = [self._fleet.routers[0]], self._fleet.agents
        await run(streams)
        through_router, _ = await self._cost(TOKEN_SIZES, run, router)
        through_agent, _ = await self._cost(TOKEN_SIZES, run, agents)
        self.result["cpu_s_per_token_router"] = through_router.as_json()
        self.result["cpu_s_per_token_agent"] = through_agent.as_json()

    async def _events(self) -> None:
        """Fill an engine's cache behind the agent's back, so that only events reach the agent."""
        direct, _ = endpoints(self._fleet)
        agent = self._fleet.agent_of(self._fleet.engines[0].target)
        sent_bytes = 0
        prompts = 0

        async def run(count: int) -> None:
            nonlocal prompts
            for _ in range(count // 100):
                prompts += 1
                prompt = "".join(f"{prompts:08d}{block:08d}" * 250 for block in range(100))
                await stream(self._fleet.session, direct, prompt, 1)

        reader = asyncio.create_task(self._count_event_bytes())
        theirs, _ = await self._cost(EVENT_SIZES, run, [agent])
        reader.cancel()
        events, sent_bytes = self._event_bytes
        self.result["cpu_s_per_cache_event_agent"] = theirs.as_json()
        self.result["bytes_per_cache_event"] = round(sent_bytes / events, 1) if events else None

    _event_bytes = (0, 0)

    async def _count_event_bytes(self) -> None:
        url = f"http://{self._fleet.engines[0].address}/engine/cache_events"
        timeout = aiohttp.ClientTimeout(total=None)
        async with self._fleet.session.get(url, timeout=timeout) as response:
            async for line in response.content:
                events, size = self._event_bytes
                is_event = line.startswith(b"data:")
                self._event_bytes = (events + is_event, size + len(line))

    async def _connections(self) -> None:
        agent = self._engine_agent()
        channels: list[Channel] = []
        memory, cpu = [], []
        for size in CONNECTION_SIZES:
            while len(channels) < size:
                channel = _channel(agent.peer_address, self._fleet, f"idle-{len(channels)}")
                channels.append(channel)
                await channel.call(Heartbeat(channel.next_number(), "s", "router", "dc"), HeartbeatReply, 2)
            before = _cpu_s(agent)
            await asyncio.sleep(CONNECTION_IDLE_S)
            cpu.append((size, (_cpu_s(agent) - before) / CONNECTION_IDLE_S))
            memory.append((size, float(_rss(agent))))
        self.result["rss_bytes_per_idle_connection"] = Slope.through(memory).as_json()
        self.result["cpu_share_per_idle_connection"] = Slope.through(cpu).as_json()
        for channel in channels:
            await channel.close()

    async def _changes(self) -> None:
        points = []
        for size in CHANGE_SIZES:
            before = await self._store_calls()
            for number in range(size):
                document = json.loads(json.dumps(self._fleet.document))
                owner = next(iter(document["owners"].values()))
                owner["contact"] = f"change {size}.{number}"
                await self._fleet.apply(document)
            await self._fleet.wait_ready()
            points.append((size, float(await self._store_calls() - before)))
        self.result["store_calls_per_change"] = Slope.through(points).as_json()

    async def _claims(self) -> None:
        document = self._fleet.typed_document()
        services = [n for n, service in document.services.items() if service.kind == "service"]
        customer, service = next(
            (customer, service)
            for customer in document.customers
            for service in services
            if document.service_grants(customer, service)
        )
        url = f"http://{self._fleet.routers[0].address}/services/{service}/filings"
        points = []
        for size in CLAIM_SIZES:
            before = await self._store_calls()
            start_s = time.monotonic()
            for number in range(size):
                headers = {
                    "Authorization": f"Bearer {self._fleet.api_key(customer)}",
                    "Idempotency-Key": f"{size}-{number}",
                }
                async with self._fleet.session.post(url, data=b"{}", headers=headers) as response:
                    assert response.status == 200, await response.text()
            idle = self._idle_store_calls_per_s * (time.monotonic() - start_s)
            points.append((size, float(await self._store_calls() - before) - idle))
        self.result["store_calls_per_idempotent_claim"] = Slope.through(points).as_json()

    async def _store_calls(self) -> int:
        calls: dict[str, int] = (await self._fleet.stand_in_counters("store"))["calls"]
        return sum(calls.values())

    def _engine_agent(self) -> FleetProcess:
        return self._fleet.agent_of(self._fleet.engines[0].target)


async def fleet_slopes(deployment: str) -> dict[str, Any]:
    """Measure all slopes that need running processes."""
    options = FleetOptions(
        deployment=deployment,
        target_kinds=("engine", "service"),
        engine_arguments=("--block-ms=0.01", "--step-ms=1", "--capacity-blocks=40000"),
        router_settings={"log_level": "warning"},
        agent_settings={"log_level": "warning"},
    )
    fleet = Fleet(options)
    raise_limits(fleet.document, 6)
    async with fleet:
        slopes = FleetSlopes(fleet)
        await slopes.run()
    return slopes.result


def main() -> None:
    """Measure everything and print one JSON line."""
    options = cappa.parse(Options)
    if options.part:
        print(memory_of(options.part, options.size))
        return
    result: dict[str, Any] = {
        f"memory_bytes_per_{part}": memory_slope(part).as_json() for part in _MEMORY_PARTS
    }
    result.update(revision_costs())
    result.update(asyncio.run(fleet_slopes(options.deployment)))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
