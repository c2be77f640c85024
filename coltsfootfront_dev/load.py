"""Open-loop load: seeded requests whose arrival does not wait for answers.

Prompts share prefixes on three levels: a standard, which many dossiers of a customer share; a
dossier; and a case of the dossier. Each level is a whole number of blocks. A short question that
is unique to the request follows. The load mixes long assessments and quick checks.
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
MAX_LATENCY_US = 300_000_000
# Model requests are idempotent, so one that loses its router is sent to another one, at most this
# many times.
MAX_RECONNECTS = 4
RECONNECT_DELAY_S = 0.02
REQUEST_TIMEOUT_S = 60.0
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class LoadCustomer:
    """A customer that sends part of the load.

    :param models: model names it may ask for, adapters as ``model:adapter``.
    :param quick_check_models: models among them that answer quick checks.
    """

    name: str
    api_key: str
    models: tuple[str, ...]
    quick_check_models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run, with its own set of hot dossiers.

    :param hot_set: index of the set of hot dossiers; sets do not share dossiers.
    """

    name: str
    duration_s: float
    hot_set: int = 0


@dataclass(frozen=True, slots=True)
class WorkloadShape:
    """Parameters of the load.

    The sizes of the levels are drawn from ranges, so that no single prefix depth suits all
    prompts.

    :param dossiers: dossiers of all customers together; large customers have more of them.
    :param standards_block_range: least and largest size of a standard, in blocks.
    :param dossier_block_range: least and largest size of a dossier, in blocks.
    :param case_block_range: least and largest size of a case, in blocks.
    :param hot_dossiers: number of dossiers that are hot at a time.
    :param hot_share: share of requests that go to the hot dossiers.
    :param quick_check_tokens: length of the answer to a quick check, in tokens.
    :param assessment_tokens: length of a long assessment, in tokens.
    """

    requests_per_s: float = 60.0
    dossiers: int = 160
    standards_per_customer: int = 2
    standards_block_range: tuple[int, int] = (2, 3)
    dossier_block_range: tuple[int, int] = (3, 6)
    cases_per_dossier: int = 3
    case_block_range: tuple[int, int] = (1, 3)
    hot_dossiers: int = 4
    hot_share: float = 0.3
    quick_check_tokens: int = 4
    assessment_tokens: int = 40


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the load.

    :param at_s: time from the start of the run.
    :param segments: label, and size in blocks, of each level of the prompt.
    :param question: text after the full blocks, shorter than one block.
    :param is_quick_check: whether it is a quick check.
    """

    number: int
    at_s: float
    phase: str
    customer: LoadCustomer
    model: str
    segments: tuple[tuple[str, int], ...]
    question: str
    is_quick_check: bool
    max_tokens: int

    def prompt(self) -> str:
        """Text of the prompt."""
        return "".join(_segment_text(*segment) for segment in self.segments) + self.question

    def block_keys(self) -> list[bytes]:
        """Chained keys of the full blocks, with no weights version in the salt."""
        return _block_keys(
            blocks.compute_cache_salt(self.customer.name, self.model, "", ""), self.segments
        )


@dataclass(slots=True)
class Sample:
    """Result of one arrival.

    :param outcome: ``ok``, ``refused`` (429 or 503 with run state ``not_run``) or
        ``failed``.
    :param ttft_s: time from the planned arrival to the first token, or None.
    :param lag_s: delay of the load generator itself in sending the request.
    :param target: target that completed the request; read from the agents' logs afterwards.
    :param head_received_s: time from the start of the run to the response headers.
    """

    arrival: Arrival
    outcome: str = "failed"
    reason: str = ""
    ttft_s: float | None = None
    total_s: float = 0.0
    lag_s: float = 0.0
    head_received_s: float = 0.0
    request_id: str = ""
    target: str = ""
    cached_tokens: int = 0
    tokens: int = 0
    reconnects: int = 0


class Workload:
    """Draws the arrivals of a run.

    :param seed: the same seed gives the same arrivals.
    :param customers: customers, the largest first.
    """

    def __init__(self, seed: int, shape: WorkloadShape, customers: Sequence[LoadCustomer]) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self._shape = shape
        self._customers = [customer for customer in customers if customer.models]
        self._dossiers = self._draw_dossiers()
        # Popularity depends on a dossier's position, so hot sets are drawn from a shuffled list.
        self._shuffled_dossiers = list(range(len(self._dossiers)))
        self._random.shuffle(self._shuffled_dossiers)
        self._popularity = [1.0 / (1 + rank % 40) ** 0.6 for rank in range(len(self._dossiers))]

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
                result.append(self._draw_arrival(len(result), at_s, phase))
            start_s += phase.duration_s
        return result

    def _draw_dossiers(self) -> list[tuple[LoadCustomer, str, str, str]]:
        # The first of eight customers has about a third of all dossiers, the last a twentieth.
        weights = [1.0 / (1 + rank) for rank in range(len(self._customers))]
        dossiers = []
        for number in range(self._shape.dossiers):
            customer = self._random.choices(self._customers, weights)[0]
            model = customer.models[number % len(customer.models)]
            standard = self._random.randrange(self._shape.standards_per_customer)
            dossiers.append((customer, model, f"standard-{standard}", f"dossier-{number}"))
        return dossiers

    def _draw_arrival(self, number: int, at_s: float, phase: Phase) -> Arrival:
        shape = self._shape
        if self._random.random() < shape.hot_share:
            first = phase.hot_set * shape.hot_dossiers
            picked = self._random.randrange(first, first + shape.hot_dossiers)
            position = self._shuffled_dossiers[picked % len(self._shuffled_dossiers)]
        else:
            position = self._random.choices(range(len(self._dossiers)), self._popularity)[0]
        customer, model, standard, dossier = self._dossiers[position]
        case = f"{dossier}/case-{self._random.randrange(shape.cases_per_dossier)}"
        is_quick_check = model in customer.quick_check_models
        return Arrival(
            number,
            at_s,
            phase.name,
            customer,
            model,
            (
                self._segment(f"{customer.name}/{standard}", shape.standards_block_range),
                self._segment(f"{customer.name}/{dossier}", shape.dossier_block_range),
                self._segment(f"{customer.name}/{case}", shape.case_block_range),
            ),
            f"\nQuestion {number}: does this sample pass?",
            is_quick_check,
            shape.quick_check_tokens if is_quick_check else shape.assessment_tokens,
        )

    def _segment(self, label: str, block_range: tuple[int, int]) -> tuple[str, int]:
        name = f"{self._seed}/{label}"
        return name, random.Random(name).randint(*block_range)


class LoadGenerator:
    """Sends each arrival to a router at its planned time and collects the samples.

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
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=2.0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self._start_s = time.monotonic()
            if on_start is not None:
                on_start()
            tasks = []
            for arrival in arrivals:
                delay_s = self._start_s + arrival.at_s - time.monotonic()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                tasks.append(asyncio.create_task(self._send_with_reconnects(session, arrival)))
            return list(await asyncio.gather(*tasks))

    async def _send_with_reconnects(
        self, session: aiohttp.ClientSession, arrival: Arrival
    ) -> Sample:
        sample = Sample(arrival)
        planned_s = self._start_s + arrival.at_s
        sample.lag_s = time.monotonic() - planned_s
        for attempt in range(MAX_RECONNECTS + 1):
            router = self._routers[(arrival.number + attempt) % len(self._routers)]
            try:
                await self._send_once(session, router, sample, planned_s)
                break
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                # The router has gone; a real client would reconnect through the load balancer.
                sample.reason = f"connection: {type(error).__name__}"
                sample.reconnects += 1
                await asyncio.sleep(RECONNECT_DELAY_S)
        sample.total_s = time.monotonic() - planned_s
        return sample

    async def _send_once(
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
        headers = {"Authorization": f"Bearer {arrival.customer.api_key}"}
        url = f"http://{router}/v1/completions"
        async with session.post(url, json=body, headers=headers) as response:
            sample.head_received_s = time.monotonic() - self._start_s
            sample.request_id = response.headers.get(REQUEST_ID_HEADER, "")
            if response.status != 200:
                _record_refusal(sample, response.status, await response.read())
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
                _record_end(sample)
                return
            value = json.loads(data)
            if "error" in value:
                sample.outcome, sample.reason = "failed", _error_kind(value)
                return
            if sample.ttft_s is None and _has_text(value):
                sample.ttft_s = time.monotonic() - planned_s
            _record_usage(sample, value)
        sample.outcome, sample.reason = "failed", "stream ended without an end mark"


class LatencyHistogram:
    """Histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 3)

    def add(self, value_s: float) -> None:
        """Record one latency."""
        value_us = min(max(int(value_s * 1e6), 1), MAX_LATENCY_US)
        self._histogram.record_value(value_us)

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def percentile_s(self, percentile: float) -> float:
        """Latency at a percentile; 0 when nothing was recorded."""
        if not self.count:
            return 0.0
        value_us = float(self._histogram.get_value_at_percentile(percentile))
        return round(value_us / 1e6, 6)


def _record_refusal(sample: Sample, status: int, body: bytes) -> None:
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


def _record_usage(sample: Sample, value: dict[str, Any]) -> None:
    usage = value.get("usage")
    if usage:
        sample.tokens = int(usage.get("completion_tokens", 0))
        details = usage.get("prompt_tokens_details") or {}
        sample.cached_tokens = int(details.get("cached_tokens", usage.get("cached_tokens", 0)))


def _record_end(sample: Sample) -> None:
    if sample.tokens == sample.arrival.max_tokens:
        sample.outcome, sample.reason = "ok", ""
    else:
        sample.outcome = "failed"
        sample.reason = f"{sample.tokens} of {sample.arrival.max_tokens} tokens"


@functools.lru_cache(maxsize=4096)
def _segment_text(label: str, count: int) -> str:
    length = BLOCK_BYTES * count
    seed = hashlib.sha256(label.encode()).digest()
    words = random.Random(seed).randbytes(length // 2 + 1).hex()
    return words[:length]


@functools.lru_cache(maxsize=16384)
def _block_keys(salt: str, segments: tuple[tuple[str, int], ...]) -> list[bytes]:
    prompt = "".join(_segment_text(*segment) for segment in segments)
    return blocks.truncate_keys(blocks.compute_block_keys(salt, prompt.encode(), BLOCK_BYTES))
