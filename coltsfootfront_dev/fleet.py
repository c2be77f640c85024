"""Brings a whole deployment up on loopback and keeps it until SIGTERM or SIGINT."""

import asyncio
import json
import signal
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.deployment import DEPLOYMENTS, OPERATOR_KEY, FleetOptions

EXAMPLE_PROMPT = "Does sample 17 pass the edge support standard?"


@dataclass
class Options:
    """Bring a whole deployment up on loopback."""

    deployment: Annotated[
        str, cappa.Arg(long=True, choices=list(DEPLOYMENTS), help="example deployment")
    ] = "agency"


def service_rows(fleet: Fleet) -> list[dict[str, Any]]:
    """Services with an example of a call, one row for each kind of call.

    Kept-cache services are used by agents alone, so their path is empty.
    """
    document = fleet.typed_document()
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


def description(fleet: Fleet) -> dict[str, Any]:
    """What a user of the fleet needs to know."""
    return {
        "processes": fleet.table(),
        "customers": fleet.customers(),
        "services": service_rows(fleet),
        "operator_key": OPERATOR_KEY,
    }


async def run(options: Options) -> None:
    """Bring the system up, print one JSON line and stay until a stop signal."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with Fleet(FleetOptions(deployment=options.deployment)) as fleet:
            print(json.dumps(description(fleet)), flush=True)
            await asyncio.Event().wait()
    except asyncio.CancelledError:
        # The signal handlers end the wait, or a start in progress; the fleet is stopped by now.
        return


def main() -> None:
    """Run the fleet."""
    asyncio.run(run(cappa.parse(Options)))


if __name__ == "__main__":
    main()
