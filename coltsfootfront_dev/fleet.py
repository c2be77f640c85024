"""Runs a whole deployment on loopback until SIGTERM or SIGINT."""

import asyncio
import json
import signal
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from coltsfootfront_dev.deployment import DEPLOYMENTS, OPERATOR_KEY, FleetOptions
from coltsfootfront_dev.launcher import Fleet

EXAMPLE_PROMPT = "Does sample 17 pass the edge support standard?"


@dataclass
class Options:
    """Run a whole deployment on loopback."""

    deployment: Annotated[
        str, cappa.Arg(long=True, choices=list(DEPLOYMENTS), help="example deployment")
    ] = "agency"


def service_rows(fleet: Fleet) -> list[dict[str, Any]]:
    """Services with an example call, one row for each kind of call.

    Only agents call kept-cache services, so the path of these is empty.
    """
    document = fleet.parsed_document()
    rows = []
    for name, service in document.services.items():
        if service.kind == "engine":
            model = next(iter(document.models), "")
            body = {"model": model, "prompt": EXAMPLE_PROMPT, "max_tokens": 8}
            rows.append(_row(name, service.kind, "/v1/completions", body, True))
            continue
        if service.kind != "service":
            rows.append(_row(name, service.kind, "", None, True))
            continue
        body = {"sample": 17, "result": "pass"}
        rows.append(_row(name, service.kind, f"/services/{name}/filings", body, False))
        for prefix in service.idempotent_paths:
            path = f"/services/{name}/{prefix.lstrip('/')}"
            rows.append(_row(name, service.kind, path, body, True))
    return rows


def _row(name: str, kind: str, path: str, body: Any, idempotent: bool) -> dict[str, Any]:
    return {
        "name": name,
        "kind": kind,
        "path": path,
        "example_body": body,
        "idempotent": idempotent,
    }


def fleet_description(fleet: Fleet) -> dict[str, Any]:
    """Processes, API keys and example calls, for a user of the fleet."""
    return {
        "processes": fleet.process_rows(),
        "customers": fleet.customers(),
        "services": service_rows(fleet),
        "operator_key": OPERATOR_KEY,
    }


async def run(options: Options) -> None:
    """Start the fleet, print its description as one JSON line and wait for a stop signal."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with Fleet(FleetOptions(deployment=options.deployment)) as fleet:
            print(json.dumps(fleet_description(fleet)), flush=True)
            await asyncio.Event().wait()
    except asyncio.CancelledError:
        # A stop signal cancelled the startup or the wait; leaving the context stopped the fleet.
        return


def main() -> None:
    """Run the fleet."""
    asyncio.run(run(cappa.parse(Options)))


if __name__ == "__main__":
    main()
