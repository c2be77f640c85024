"""A configuration that adds a route of the eleventh rank, moves a route and withdraws a key."""

import asyncio
import os
from collections import Counter
from pathlib import Path
from typing import Any

from harness2 import API_KEY, Client, Deployment, Record, Router, Server, encode_head
from harness2 import has_trouble, make_configuration, run

WITHDRAWN_KEY = "key-that-is-withdrawn"
NEW_SERVICE = "records-2"
DEADLINE_MS = 3_000
# Rank of the added route; another one can be tried with the variable RANK.
RANK = int(os.environ.get("RANK", "10"))
REQUESTS = 10


def first_configuration() -> dict[str, Any]:
    """Routes of the ranks 0 to 9, and two keys of one tenant."""
    configuration = make_configuration(1, DEADLINE_MS, 400)
    base = configuration["routes"][1]
    configuration["routes"] += [
        base | {"name": f"rank-{rank}", "prefix": f"/rank-{rank}/", "priority": rank}
        for rank in range(10)
    ]
    configuration["services"].append(configuration["services"][0] | {"name": NEW_SERVICE})
    configuration["tenants"][0]["api-keys"] = [API_KEY, WITHDRAWN_KEY]
    return configuration


def second_configuration() -> dict[str, Any]:
    configuration = first_configuration()
    configuration["version"] = 2
    base = configuration["routes"][1]
    base["service"] = NEW_SERVICE
    configuration["routes"].append(
        base | {"name": "added", "prefix": "/added/", "priority": RANK}
    )
    configuration["tenants"][0]["api-keys"] = [API_KEY]
    return configuration


async def play(record: Record) -> bool:
    deployment = Deployment(record, routers=2, servers=2)
    moved_to = Server("i-new", record, NEW_SERVICE)
    await moved_to.start()
    try:
        deployment.register(moved_to)
        await deployment.start(first_configuration())
        await asyncio.sleep(4.0)
        if has_trouble():
            deployment.write_configuration(second_configuration())
        # Longer than config-apply-ms and stable-ms; nothing else happens.
        await asyncio.sleep(6.0)
        return await _check(record, deployment, moved_to)
    finally:
        await deployment.close()
        await moved_to.close()


async def _check(record: Record, deployment: Deployment, moved_to: Server) -> bool:
    """Send requests of each sort, and compare what became of them with the version in force."""
    seen: Counter[str] = Counter()
    for router in deployment.routers:
        for number in range(REQUESTS):
            for sort, path, key in (
                ("moved route", "/look/800", API_KEY),
                ("withdrawn key", "/file/800", WITHDRAWN_KEY),
                ("added route", "/added/800", API_KEY),
            ):
                request_id = f"{sort.replace(' ', '-')}-{router.name}-{number}"
                status = await _ask(record, router, path, request_id, key)
                if deployment.has_run(request_id):
                    by = "run by the old service"
                elif moved_to.has_run(request_id):
                    by = "run by the new service"
                else:
                    by = "not run"
                seen[f"{sort}: {status}, {by}"] += 1
    for what, count in sorted(seen.items()):
        record.write(f"{count} x {what}", shown=True)
    if not has_trouble():
        return False
    return any(
        what.startswith("moved route") and what.endswith("old service")
        or what.startswith("withdrawn key") and "not run" not in what
        or what.startswith(("added route: 401", "added route: 403", "added route: 404"))
        for what in seen
    )


async def _ask(record: Record, router: Router, path: str, request_id: str, key: str) -> int:
    client = Client(router.front)
    await client.connect()
    record.write(f"client sends {request_id}: {path}")
    await client.send(encode_head(path, request_id, DEADLINE_MS, key=key))
    answer = await client.read_answer()
    client.close()
    record.write(f"client of {request_id} got {answer}")
    return answer.status


run(str(Path(__file__).parent), play)
