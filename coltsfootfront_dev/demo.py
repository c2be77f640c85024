"""Brings the system up, sends requests of every kind through all routers and checks the answers.

Exits with 0 only if every answer was right.
"""

import asyncio
import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa

from coltsfootfront_dev.checkingclient import CheckingClient, ModelCall, Reply
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.processes import FleetError
from coltsfootfront_dev.deployment import DEPLOYMENTS, FleetOptions

LONG_PROMPT_BYTES = 9000
LONG_TOKENS = 48
SHORT_TOKENS = 6
STREAMS_AT_ONCE = 24


@dataclass
class Options:
    """Bring the system up, send requests and check every answer."""

    deployment: Annotated[
        str, cappa.Arg(long=True, choices=list(DEPLOYMENTS), help="example deployment")
    ] = "agency"


@dataclass(slots=True)
class Report:
    """Counts of the demo."""

    processes: int = 0
    requests: int = 0
    streams: int = 0
    failures: list[str] = field(default_factory=list)

    def check(self, passed: bool, what: str) -> None:
        """Count one request and note its failure."""
        self.requests += 1
        if not passed:
            self.failures.append(what)
            print(f"wrong: {what}", file=sys.stderr)

    def as_json(self) -> dict[str, Any]:
        """Last line of the demo."""
        return {
            "ok": bool(self.requests) and not self.failures,
            "processes": self.processes,
            "requests": self.requests,
            "streams": self.streams,
            "failures": len(self.failures),
        }


class Demo:
    """Sends requests to a fleet and checks the answers."""

    def __init__(self, fleet: Fleet, report: Report) -> None:
        self._fleet = fleet
        self._report = report
        self._document = fleet.typed_document()
        self._caller = CheckingClient(fleet)
        self._limit = asyncio.Semaphore(STREAMS_AT_ONCE)

    async def run(self) -> None:
        """Send everything."""
        self._report.processes = sum(row.is_running for row in self._fleet.processes.values())
        await asyncio.gather(*(self._model_call(call) for call in self._model_calls()))
        for service in self._document.services:
            if self._document.services[service].kind == "service":
                await self._service_calls(service)
        await self._refusals()

    # Models

    def _model_calls(self) -> Iterator[ModelCall]:
        number = 0
        for row in self._fleet.customers():
            for model in row["models"]:
                for router in self._fleet.routers:
                    for chat in (False, True):
                        for stream in (False, True):
                            number += 1
                            yield self._caller.build_model_call(
                                router.name,
                                row["name"],
                                model,
                                _prompt(row["name"], number),
                                LONG_TOKENS if number % 3 == 0 else SHORT_TOKENS,
                                stream,
                                chat,
                            )

    async def _model_call(self, call: ModelCall) -> None:
        async with self._limit:
            reply = await self._caller.call_model(call)
        self._report.streams += call.stream
        what = f"{call.customer} {call.model} chat={call.chat} stream={call.stream}"
        self._report.check(reply.is_correct, f"{what}: {reply}")

    # Plain services

    async def _service_calls(self, service: str) -> None:
        for customer in self._document.customers:
            if not self._document.service_grants(customer, service):
                continue
            for router in self._fleet.routers:
                await self._plain_read(service, customer, router.name)
            await self._filing(service, customer)

    async def _plain_read(self, service: str, customer: str, router: str) -> None:
        reply = await self._caller.call_service(
            router, customer, service, "records/17", method="GET"
        )
        passed = reply.is_correct and reply.value.get("path") == "/records/17"
        self._report.check(passed, f"{customer} reads from {service}: {reply}")

    async def _filing(self, service: str, customer: str) -> None:
        """File once with a key and repeat it through every router; it must run once."""
        body = json.dumps({"sample": 17, "filed_by": customer}).encode()
        key = f"{customer}-{service}-filing-17"
        replies: list[Reply] = []
        for router in [*self._fleet.routers, self._fleet.routers[0]]:
            reply = await self._caller.call_service(
                router.name, customer, service, "filings", body, key
            )
            self._report.check(reply.is_correct, f"{customer} files at {service}: {reply}")
            replies.append(reply)
        same = all(reply.value == replies[0].value for reply in replies)
        self._report.check(same, f"{customer} at {service}: repeats got other answers {replies}")
        runs = await self._caller.execution_count(service, body)
        self._report.check(runs == 1, f"{customer} at {service}: one filing ran {runs} times")

    # Refusals

    async def _refusals(self) -> None:
        """A wrong key and a model outside the terms must be refused as not run."""
        customer = next(iter(self._document.customers))
        for router in self._fleet.routers:
            for key, model in (("wrong-key", "any"), (self._fleet.api_key(customer), "no-such")):
                body = {"model": model, "prompt": "x", "max_tokens": 1}
                async with self._fleet.session.post(
                    f"http://{router.address}/v1/completions",
                    json=body,
                    headers={"Authorization": f"Bearer {key}"},
                ) as response:
                    value = await response.json(content_type=None)
                    run = value.get("error", {}).get("run")
                    passed = 400 <= response.status < 500 and run == "not_run"
                self._report.check(passed, f"refusal of {model}: {response.status} {value}")


def _prompt(customer: str, number: int) -> str:
    shared = f"Standards of {customer}. " + "Each sample is measured twice. " * 400
    return shared[:LONG_PROMPT_BYTES] + f"\nQuestion {number}"


async def run(options: Options) -> Report:
    """Run the whole demo."""
    report = Report()
    try:
        async with Fleet(FleetOptions(deployment=options.deployment)) as fleet:
            await Demo(fleet, report).run()
    except FleetError as error:
        report.failures.append(str(error))
        print(f"fleet: {error}", file=sys.stderr)
    return report


def main() -> None:
    """Run the demo and exit with its verdict."""
    report = asyncio.run(run(cappa.parse(Options)))
    print(json.dumps(report.as_json()))
    sys.exit(0 if report.as_json()["ok"] else 1)


if __name__ == "__main__":
    main()
