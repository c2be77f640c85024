"""Latency that router and agent add to a direct call to the engine, and tokens through one router.

One engine stand-in is called directly and through one router and its agent, with the same number
of concurrent streams. All processes share this machine, so at 64 streams the load tool itself
takes part of the processors.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated, Any

import aiohttp
import cappa

from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.load import Latencies
from coltsfootfront_dev.deployment import DEPLOYMENTS, FleetOptions

CONCURRENCY = (1, 16, 64)
# Each stream sends this many requests; one alone sends more, for a steady median.
REQUESTS_ALONE = 200
REQUESTS_EACH = 20
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


def raise_limits(document: dict[str, Any], engines: int) -> None:
    """Change a document so that limits do not decide: few engines, many slots, no rate limits."""
    services = document["services"]
    names = [
        name
        for name, target in document["targets"].items()
        if services[target["service"]]["kind"] == "engine" and not target.get("withdrawn")
    ]
    dropped = set(names[engines:])
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
    """The engine itself, and the first router for a customer that may use it."""
    row = next(row for row in fleet.customers() if row["models"])
    model = row["models"][0]
    direct = Endpoint(f"http://{fleet.engines[0].address}/v1/completions", model, {})
    headers = {"Authorization": f"Bearer {row['api_key']}"}
    routed = Endpoint(f"http://{fleet.routers[0].address}/v1/completions", model, headers)
    return direct, routed


async def stream(
    session: aiohttp.ClientSession, endpoint: Endpoint, prompt: str, max_tokens: int
) -> tuple[float, int]:
    """Run one stream.

    :returns: time to first token in seconds and number of tokens.
    :raises RuntimeError: the answer was no complete stream.
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


async def latency(endpoint: Endpoint, concurrency: int, label: str) -> Latencies:
    """Times to first token with a number of concurrent streams."""
    times = Latencies()
    connector = aiohttp.TCPConnector(limit=0)
    requests = REQUESTS_ALONE if concurrency == 1 else REQUESTS_EACH

    async def one(session: aiohttp.ClientSession, number: int) -> None:
        for repeat in range(requests):
            prompt = f"{PROMPT} {label} {number} {repeat}"
            first_s, _ = await stream(session, endpoint, prompt, LATENCY_TOKENS)
            times.add(first_s)

    async with aiohttp.ClientSession(connector=connector) as session:
        await stream(session, endpoint, PROMPT, LATENCY_TOKENS)
        await asyncio.gather(*(one(session, number) for number in range(concurrency)))
    return times


async def throughput(endpoint: Endpoint) -> float:
    """Tokens a second over many concurrent streams; the best of a few rounds."""
    best = 0.0
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(THROUGHPUT_ROUNDS):
            start_s = time.monotonic()
            results = await asyncio.gather(
                *(
                    stream(session, endpoint, PROMPT, THROUGHPUT_TOKENS)
                    for _ in range(THROUGHPUT_STREAMS)
                )
            )
            total = THROUGHPUT_STREAMS * THROUGHPUT_TOKENS
            # Several tokens may share one event, so events are a lower bound only.
            assert all(tokens for _, tokens in results)
            best = max(best, total / (time.monotonic() - start_s))
    return best


async def with_fleet(
    deployment: str, engines: int, run: Callable[[Fleet], Awaitable[None]]
) -> None:
    """Run something against a fleet whose limits do not decide."""
    options = FleetOptions(
        deployment=deployment,
        target_kinds=("engine",),
        engine_arguments=ENGINE_ARGUMENTS,
        router_settings={"log_level": "warning"},
        agent_settings={"log_level": "warning"},
    )
    fleet = Fleet(options)
    raise_limits(fleet.document, engines)
    async with fleet:
        await run(fleet)


async def measure(options: Options) -> dict[str, Any]:
    """Measure everything and print a table.

    :returns: the final JSON object.
    """
    rows: dict[str, dict[str, float]] = {}
    result: dict[str, Any] = {"deployment": options.deployment, "ttft": rows}

    async def added_latency(fleet: Fleet) -> None:
        direct, routed = endpoints(fleet)
        print(f"{'streams':>8}{'direct p50':>12}{'p95':>9}{'routed p50':>12}{'p95':>9}")
        for concurrency in CONCURRENCY:
            plain = await latency(direct, concurrency, "direct")
            through = await latency(routed, concurrency, "routed")
            rows[str(concurrency)] = _row(plain, through)
            figures = rows[str(concurrency)]
            print(
                f"{concurrency:>8}{figures['direct_p50_s']:>12.4f}{figures['direct_p95_s']:>9.4f}"
                f"{figures['routed_p50_s']:>12.4f}{figures['routed_p95_s']:>9.4f}"
            )

    async def tokens_per_s(fleet: Fleet) -> None:
        direct, routed = endpoints(fleet)
        result["direct_tokens_per_s"] = round(await throughput(direct))
        result["router_tokens_per_s"] = round(await throughput(routed))

    await with_fleet(options.deployment, 1, added_latency)
    await with_fleet(options.deployment, 6, tokens_per_s)
    return result


def _row(direct: Latencies, routed: Latencies) -> dict[str, float]:
    row = {}
    for percentile in (50, 95):
        plain_s, through_s = direct.percentile_s(percentile), routed.percentile_s(percentile)
        row[f"direct_p{percentile}_s"] = plain_s
        row[f"routed_p{percentile}_s"] = through_s
        row[f"added_p{percentile}_s"] = round(through_s - plain_s, 6)
    return row


def main() -> None:
    """Run the measurement."""
    print(json.dumps(asyncio.run(measure(cappa.parse(Options)))))


if __name__ == "__main__":
    main()
