"""Latency that router and agent add to a direct engine call, and one router's token throughput.

One engine stand-in is called directly and through one router and its agent, with the same number
of concurrent streams. All processes share one machine, so at 64 streams the load generator
competes with them for the processors.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated, Any

import aiohttp
import cappa

from coltsfootfront_dev.deployment import DEPLOYMENTS, FleetOptions
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.load import LatencyHistogram

CONCURRENCY_LEVELS = (1, 16, 64)
# Requests that each stream sends; a single stream sends more, for a stable median.
REQUESTS_SINGLE_STREAM = 200
REQUESTS_PER_STREAM = 20
LATENCY_TOKENS = 4
THROUGHPUT_TOKENS = 400
THROUGHPUT_STREAMS = 64
THROUGHPUT_ROUNDS = 3
SLOTS = 256
PROMPT = "Does the sample pass the edge support standard? " * 170
ENGINE_ARGUMENTS = ("--block-ms=1", "--step-ms=2", "--max-waiting=1024")


@dataclass
class Options:
    """Measure the latency added by router and agent."""

    deployment: Annotated[
        str, cappa.Arg(long=True, choices=list(DEPLOYMENTS), help="example deployment")
    ] = "agency"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where and how completions are requested."""

    url: str
    model: str
    headers: dict[str, str]


def lift_limits(document: dict[str, Any], engine_count: int) -> None:
    """Keep a number of engines, and raise slots and rate limits until they no longer matter."""
    services = document["services"]
    names = [
        name
        for name, target in document["targets"].items()
        if services[target["service"]]["kind"] == "engine" and not target.get("withdrawn")
    ]
    dropped = set(names[engine_count:])
    for name in dropped:
        del document["targets"][name]
    for target in document["targets"].values():
        target["slots"] = SLOTS
    for terms in document["terms"].values():
        terms["targets"] = [name for name in terms["targets"] if name not in dropped]
        terms["max_running"] = SLOTS
    document["terms"] = {
        name: terms for name, terms in document["terms"].items() if terms["targets"]
    }
    for customer in document["customers"].values():
        customer.update(requests_per_s=10_000.0, max_running=SLOTS, max_queued=SLOTS)


def endpoints(fleet: Fleet) -> tuple[Endpoint, Endpoint]:
    """Endpoints of the first engine, and of the first router for a customer that may use models."""
    row = next(row for row in fleet.customers() if row["models"])
    model = row["models"][0]
    direct = Endpoint(f"http://{fleet.engines[0].address}/v1/completions", model, {})
    headers = {"Authorization": f"Bearer {row['api_key']}"}
    routed = Endpoint(f"http://{fleet.routers[0].address}/v1/completions", model, headers)
    return direct, routed


async def run_stream(
    session: aiohttp.ClientSession, endpoint: Endpoint, prompt: str, max_tokens: int
) -> tuple[float, int]:
    """Request one stream and read it to its end.

    :returns: time to first token in seconds and number of tokens.
    :raises RuntimeError: the answer was not a complete stream.
    """
    body = {"model": endpoint.model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    start_s = time.monotonic()
    first_s = 0.0
    tokens = 0
    tail = b""
    async with session.post(endpoint.url, json=body, headers=endpoint.headers) as response:
        if response.status != 200:
            raise RuntimeError(f"{endpoint.url}: {response.status} {await response.text()}")
        async for data in response.content.iter_any():
            if not first_s:
                first_s = time.monotonic() - start_s
            tokens += data.count(b'"text"')
            tail = (tail + data)[-32:]
    if b"[DONE]" not in tail:
        raise RuntimeError(f"{endpoint.url}: stream ended without an end mark")
    return first_s, tokens


async def measure_latency(endpoint: Endpoint, concurrency: int, label: str) -> LatencyHistogram:
    """Measure times to first token with a number of concurrent streams."""
    times = LatencyHistogram()
    connector = aiohttp.TCPConnector(limit=0)
    requests = REQUESTS_SINGLE_STREAM if concurrency == 1 else REQUESTS_PER_STREAM

    async def send_requests(session: aiohttp.ClientSession, number: int) -> None:
        for repeat in range(requests):
            prompt = f"{PROMPT} {label} {number} {repeat}"
            first_s, _ = await run_stream(session, endpoint, prompt, LATENCY_TOKENS)
            times.add(first_s)

    async with aiohttp.ClientSession(connector=connector) as session:
        await run_stream(session, endpoint, PROMPT, LATENCY_TOKENS)
        await asyncio.gather(*(send_requests(session, number) for number in range(concurrency)))
    return times


async def measure_throughput(endpoint: Endpoint) -> float:
    """Measure tokens per second over many concurrent streams; the best of a few rounds."""
    best = 0.0
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(THROUGHPUT_ROUNDS):
            start_s = time.monotonic()
            results = await asyncio.gather(
                *(
                    run_stream(session, endpoint, PROMPT, THROUGHPUT_TOKENS)
                    for _ in range(THROUGHPUT_STREAMS)
                )
            )
            total = THROUGHPUT_STREAMS * THROUGHPUT_TOKENS
            # One event may carry several tokens, so the count is only a lower bound.
            assert all(tokens for _, tokens in results)
            best = max(best, total / (time.monotonic() - start_s))
    return best


async def run_with_fleet(
    deployment: str, engine_count: int, run: Callable[[Fleet], Awaitable[None]]
) -> None:
    """Run a measurement against a fleet whose limits are too high to affect it."""
    options = FleetOptions(
        deployment=deployment,
        target_kinds=("engine",),
        engine_arguments=ENGINE_ARGUMENTS,
        router_settings={"log_level": "warning"},
        agent_settings={"log_level": "warning"},
    )
    fleet = Fleet(options)
    lift_limits(fleet.document, engine_count)
    async with fleet:
        await run(fleet)


async def measure(options: Options) -> dict[str, Any]:
    """Measure latency and throughput, and print a table of the latencies.

    :returns: the final JSON object.
    """
    rows: dict[str, dict[str, float]] = {}
    result: dict[str, Any] = {"deployment": options.deployment, "ttft": rows}

    async def measure_added_latency(fleet: Fleet) -> None:
        direct, routed = endpoints(fleet)
        print(f"{'streams':>8}{'direct p50':>12}{'p95':>9}{'routed p50':>12}{'p95':>9}")
        for concurrency in CONCURRENCY_LEVELS:
            direct_times = await measure_latency(direct, concurrency, "direct")
            routed_times = await measure_latency(routed, concurrency, "routed")
            rows[str(concurrency)] = _row(direct_times, routed_times)
            figures = rows[str(concurrency)]
            print(
                f"{concurrency:>8}{figures['direct_p50_s']:>12.4f}{figures['direct_p95_s']:>9.4f}"
                f"{figures['routed_p50_s']:>12.4f}{figures['routed_p95_s']:>9.4f}"
            )

    async def measure_tokens_per_s(fleet: Fleet) -> None:
        direct, routed = endpoints(fleet)
        result["direct_tokens_per_s"] = round(await measure_throughput(direct))
        result["router_tokens_per_s"] = round(await measure_throughput(routed))

    await run_with_fleet(options.deployment, 1, measure_added_latency)
    await run_with_fleet(options.deployment, 6, measure_tokens_per_s)
    return result


def _row(direct: LatencyHistogram, routed: LatencyHistogram) -> dict[str, float]:
    row = {}
    for percentile in (50, 95):
        direct_s, routed_s = direct.percentile_s(percentile), routed.percentile_s(percentile)
        row[f"direct_p{percentile}_s"] = direct_s
        row[f"routed_p{percentile}_s"] = routed_s
        row[f"added_p{percentile}_s"] = round(routed_s - direct_s, 6)
    return row


def main() -> None:
    """Run the measurement."""
    print(json.dumps(asyncio.run(measure(cappa.parse(Options)))))


if __name__ == "__main__":
    main()
