"""Open-loop load: seeded requests whose arrival does not wait for answers.

Prompts are nested in three levels: standards, shared by many dossiers of a customer; a dossier;
and a case in it. Each level is a whole number of blocks. A short question that no other request
has follows. Long assessments and quick checks are mixed.
"""

import asyncio
import functools
import hashlib
import json
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from coltsfootfront.calls import blocks

BLOCK_BYTES = 4000
LARGEST_LATENCY_US = 300_000_000
# An idempotent request whose router went away is sent to another one this many times.
MAX_RECONNECTS = 4
RECONNECT_DELAY_S = 0.02
REQUEST_LIMIT_S = 60.0
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class Caller:
    """A customer as the load tool sees it.

    :param models: model names it may ask for, adapters as ``model:adapter``.
    :param quick_models: those of them that answer quick checks.
    """

    name: str
    api_key: str
    models: tuple[str, ...]
    quick_models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run.

    :param hot_set: number of the set of hot dossiers; another number means other dossiers.
    """

    name: str
    duration_s: float
    hot_set: int = 0


@dataclass(frozen=True, slots=True)
class Shape:
    """Figures of the load.

    The sizes of the levels are drawn from ranges, so that no depth suits all prompts.

    :param dossiers: dossiers of all customers together; large customers have more of them.
    :param standards_blocks: least and largest size of the standards.
    :param dossier_blocks: least and largest size of a dossier.
    :param case_blocks: least and largest size of a case.
    :param hot_dossiers: dossiers that are hot at a time.
    :param hot_share: share of requests that go to the hot dossiers.
    :param urgent_tokens: length of the answer to a quick check.
    :param long_tokens: length of a long assessment.
    """

    requests_per_s: float = 60.0
    dossiers: int = 160
    standards_per_customer: int = 2
    standards_blocks: tuple[int, int] = (2, 3)
    dossier_blocks: tuple[int, int] = (3, 6)
    cases_per_dossier: int = 3
    case_blocks: tuple[int, int] = (1, 3)
    hot_dossiers: int = 4
    hot_share: float = 0.3
    urgent_tokens: int = 4
    long_tokens: int = 40


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the load.

    :param at_s: time from the start of the run.
    :param segments: labels and sizes in blocks of the prompt's levels.
    :param question: text behind the full blocks, shorter than one block.
    :param urgent: whether it is a quick check.
    """

    number: int
    at_s: float
    phase: str
    caller: Caller
    model: str
    segments: tuple[tuple[str, int], ...]
    question: str
    urgent: bool
    max_tokens: int

    def prompt(self) -> str:
        """Text of the prompt."""
        return "".join(_text(*segment) for segment in self.segments) + self.question

    def keys(self) -> list[bytes]:
        """Chained keys of the full blocks, as a stand-in for those of any weights version."""
        return _keys(blocks.compute_cache_salt(self.caller.name, self.model, "", ""), self.segments)


@dataclass(slots=True)
class Sample:
    """What became of one arrival.

    :param outcome: ``ok``, ``refused`` (a truthful refusal with a reason) or ``failed``.
    :param ttft_s: time from the planned arrival to the first token, or None.
    :param lag_s: delay with which this tool sent the request.
    :param target: target that completed the request; filled in from the agents' logs.
    :param started_s: time from the start of the run at which the answer's head arrived.
    """

    arrival: Arrival
    outcome: str = "failed"
    reason: str = ""
    ttft_s: float | None = None
    total_s: float = 0.0
    lag_s: float = 0.0
    started_s: float = 0.0
    request_id: str = ""
    target: str = ""
    cached_tokens: int = 0
    tokens: int = 0
    reconnects: int = 0


class Workload:
    """Draws the arrivals of a run.

    :param seed: the same seed gives the same arrivals.
    :param callers: customers, the largest first.
    """

    def __init__(self, seed: int, shape: Shape, callers: Sequence[Caller]) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self._shape = shape
        self._callers = [caller for caller in callers if caller.models]
        self._dossiers = self._draw_dossiers()
        # The dossiers of a large customer come first, so hot sets are drawn from a shuffled list.
        self._hot_order = list(range(len(self._dossiers)))
        self._random.shuffle(self._hot_order)
        self._weights = [1.0 / (1 + rank % 40) ** 0.6 for rank in range(len(self._dossiers))]

    def arrivals(self, phases: Sequence[Phase]) -> list[Arrival]:
        """Draw all arrivals; the gaps between them are exponentially distributed."""
        result: list[Arrival] = []
        start_s = 0.0
        for phase in phases:
            at_s = start_s
            while True:
                at_s += self._random.expovariate(self._shape.requests_per_s)
                if at_s >= start_s + phase.duration_s:
                    break
                result.append(self._arrival(len(result), at_s, phase))
            start_s += phase.duration_s
        return result

    def _draw_dossiers(self) -> list[tuple[Caller, str, str, str]]:
        # The first of eight customers has about a third of all dossiers, the last a twentieth.
        weights = [1.0 / (1 + rank) for rank in range(len(self._callers))]
        dossiers = []
        for number in range(self._shape.dossiers):
            caller = self._random.choices(self._callers, weights)[0]
            model = caller.models[number % len(caller.models)]
            standard = self._random.randrange(self._shape.standards_per_customer)
            dossiers.append((caller, model, f"standard-{standard}", f"dossier-{number}"))
        return dossiers

    def _arrival(self, number: int, at_s: float, phase: Phase) -> Arrival:
        shape = self._shape
        if self._random.random() < shape.hot_share:
            first = phase.hot_set * shape.hot_dossiers
            picked = self._random.randrange(first, first + shape.hot_dossiers)
            position = self._hot_order[picked % len(self._hot_order)]
        else:
            position = self._random.choices(range(len(self._dossiers)), self._weights)[0]
        caller, model, standard, dossier = self._dossiers[position]
        case = f"{dossier}/case-{self._random.randrange(shape.cases_per_dossier)}"
        urgent = model in caller.quick_models
        return Arrival(
            number,
            at_s,
            phase.name,
            caller,
            model,
            (
                self._segment(f"{caller.name}/{standard}", shape.standards_blocks),
                self._segment(f"{caller.name}/{dossier}", shape.dossier_blocks),
                self._segment(f"{caller.name}/{case}", shape.case_blocks),
            ),
            f"\nQuestion {number}: does this sample pass?",
            urgent,
            shape.urgent_tokens if urgent else shape.long_tokens,
        )

    def _segment(self, label: str, sizes: tuple[int, int]) -> tuple[str, int]:
        name = f"{self._seed}/{label}"
        return name, random.Random(name).randint(*sizes)


class Runner:
    """Sends arrivals to routers and collects samples.

    :param routers: ``host:port`` of each router; requests alternate between them.
    """

    def __init__(self, routers: Sequence[str]) -> None:
        self._routers = list(routers)
        self._start_s = 0.0

    async def run(
        self, arrivals: Sequence[Arrival], on_start: Callable[[], None] | None = None
    ) -> list[Sample]:
        """Send every arrival at its time and wait for all answers."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=REQUEST_LIMIT_S, sock_connect=2.0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self._start_s = time.monotonic()
            if on_start is not None:
                on_start()
            tasks = []
            for arrival in arrivals:
                delay_s = self._start_s + arrival.at_s - time.monotonic()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                tasks.append(asyncio.create_task(self._request(session, arrival)))
            return list(await asyncio.gather(*tasks))

    async def _request(self, session: aiohttp.ClientSession, arrival: Arrival) -> Sample:
        sample = Sample(arrival)
        planned_s = self._start_s + arrival.at_s
        sample.lag_s = time.monotonic() - planned_s
        for attempt in range(MAX_RECONNECTS + 1):
            router = self._routers[(arrival.number + attempt) % len(self._routers)]
            try:
                await self._attempt(session, router, sample, planned_s)
                break
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                # The router went away; a caller reconnects through the load balancer.
                sample.reason = f"connection: {type(error).__name__}"
                sample.reconnects += 1
                await asyncio.sleep(RECONNECT_DELAY_S)
        sample.total_s = time.monotonic() - planned_s
        return sample

    async def _attempt(
        self, session: aiohttp.ClientSession, router: str, sample: Sample, planned_s: float
    ) -> None:
        arrival = sample.arrival
        sample.tokens = 0
        body = {
            "model": arrival.model,
            "prompt": arrival.prompt(),
            "max_tokens": arrival.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        headers = {"Authorization": f"Bearer {arrival.caller.api_key}"}
        url = f"http://{router}/v1/completions"
        async with session.post(url, json=body, headers=headers) as response:
            sample.started_s = time.monotonic() - self._start_s
            sample.request_id = response.headers.get(REQUEST_ID_HEADER, "")
            if response.status != 200:
                _note_refusal(sample, response.status, await response.read())
                return
            await self._read_stream(response, sample, planned_s)

    async def _read_stream(
        self, response: aiohttp.ClientResponse, sample: Sample, planned_s: float
    ) -> None:
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                _note_end(sample)
                return
            value = json.loads(data)
            if "error" in value:
                sample.outcome, sample.reason = "failed", _error_kind(value)
                return
            if sample.ttft_s is None and _has_text(value):
                sample.ttft_s = time.monotonic() - planned_s
            _note_event(sample, value)
        sample.outcome, sample.reason = "failed", "stream ended without an end mark"


class Latencies:
    """Distribution of times in seconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, LARGEST_LATENCY_US, 3)

    def add(self, value_s: float) -> None:
        """Record one time."""
        value_us = min(max(int(value_s * 1e6), 1), LARGEST_LATENCY_US)
        self._histogram.record_value(value_us)

    @property
    def count(self) -> int:
        """Number of recorded times."""
        return int(self._histogram.get_total_count())

    def percentile_s(self, percentile: float) -> float:
        """Time that a percentage of the recorded ones does not exceed; 0 without any."""
        if not self.count:
            return 0.0
        value_us = float(self._histogram.get_value_at_percentile(percentile))
        return round(value_us / 1e6, 6)


def _note_refusal(sample: Sample, status: int, body: bytes) -> None:
    try:
        kind, run = _error_kind(json.loads(body)), json.loads(body)["error"]["run"]
    except (ValueError, KeyError, TypeError):
        kind, run = f"status {status}", ""
    sample.reason = kind
    sample.outcome = "refused" if status in (429, 503) and run == "not_run" else "failed"


def _error_kind(value: dict[str, Any]) -> str:
    return str(value["error"].get("kind", "unknown"))


def _has_text(value: dict[str, Any]) -> bool:
    return any(choice.get("text") for choice in value.get("choices", []))


def _note_event(sample: Sample, value: dict[str, Any]) -> None:
    usage = value.get("usage")
    if usage:
        sample.tokens = int(usage.get("completion_tokens", 0))
        details = usage.get("prompt_tokens_details") or {}
        sample.cached_tokens = int(details.get("cached_tokens", usage.get("cached_tokens", 0)))


def _note_end(sample: Sample) -> None:
    if sample.tokens == sample.arrival.max_tokens:
        sample.outcome, sample.reason = "ok", ""
    else:
        sample.outcome = "failed"
        sample.reason = f"{sample.tokens} of {sample.arrival.max_tokens} tokens"


@functools.lru_cache(maxsize=4096)
def _text(label: str, count: int) -> str:
    length = BLOCK_BYTES * count
    seed = hashlib.sha256(label.encode()).digest()
    words = random.Random(seed).randbytes(length // 2 + 1).hex()
    return words[:length]


@functools.lru_cache(maxsize=16384)
def _keys(salt: str, segments: tuple[tuple[str, int], ...]) -> list[bytes]:
    prompt = "".join(_text(*segment) for segment in segments)
    return blocks.truncate_keys(blocks.compute_block_keys(salt, prompt.encode(), BLOCK_BYTES))
