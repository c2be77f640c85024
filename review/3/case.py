"""A configuration makes a tenant isolated; its prompt parts were read before by shared servers."""

import asyncio
from pathlib import Path

from modelserver import ModelServer
from support import (
    ENGINE,
    MODEL,
    Record,
    Router,
    configuration,
    deployment,
    exchange,
    has_trouble,
    play,
    request_head,
    route,
)

TENANT, OTHER = "sese880", "lulo12"
KEYS = {TENANT: "k-1", OTHER: "k-2"}
ROUNDS = 20
# Longer than config-apply-ms, 2.5 s: requests sent after it are handled as the new version allows.
APPLY_S = 4.0
SHARED_PARTS = "5c1e07a2:2400,91bd3f06:2982"
OWN_TOKENS = 6610


def version(number: int, is_isolated: bool) -> dict[str, object]:
    """A version of the configuration."""
    return configuration(
        [route("/lepu270/", "stream", "models", sticky=True)],
        [{"name": "models"} | ENGINE],
        [
            {"name": TENANT, "api-keys": [KEYS[TENANT]], "isolated": is_isolated},
            {"name": OTHER, "api-keys": [KEYS[OTHER]], "isolated": False},
        ],
        number,
    )


async def ask(router: Router, record: Record, tenant: str, number: int) -> None:
    """Send one request whose prompt begins with the shared parts."""
    name = f"{tenant}-{number}"
    head = request_head(
        "POST",
        "/lepu270/2f",
        name,
        KEYS[tenant],
        12000,
        X_Model=MODEL,
        X_Token_Usage="11992,55",
        X_Prompt_Prefix=f"{SHARED_PARTS},{len(tenant):02x}{number:06x}:{OWN_TOKENS}",
        Content_Length="5",
    )
    record.add(f"sent {name}")
    answer = await exchange(router.front, head + b"\r\nhello", 16.0)
    record.add(f"answered {name} {answer.status}")
    if answer.status != 200:
        raise RuntimeError(f"{name} was answered {answer.status}")


async def main(folder: Path, record: Record) -> bool:
    isolated: set[str] = set()
    servers = [ModelServer(f"i-model-{number}", record, isolated) for number in (1, 2)]
    # Without the trouble, the tenant is isolated from the first version on.
    async with deployment(folder, servers, version(1, not has_trouble()), 1) as (store, routers):
        routers[0].start()
        await routers[0].wait_ready()
        for number in range(ROUNDS):
            await ask(routers[0], record, TENANT, number)
        store.put_json("op/config", version(5, True))
        record.add(f"the store acknowledged version 5, with {TENANT} isolated")
        await asyncio.sleep(APPLY_S)
        isolated.add(TENANT)
        for number in range(ROUNDS):
            await ask(routers[0], record, OTHER, ROUNDS + number)
    crossings = sum(server.crossings for server in servers)
    record.add(f"{crossings} requests ran on parts of another tenant across the wall")
    return crossings > 0


if __name__ == "__main__":
    play(__file__, main)
