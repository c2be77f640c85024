"""A model server in trouble answers the call for its cache events with bytes without end."""

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from support import (
    ENGINE,
    MODEL,
    PLAIN,
    Record,
    Router,
    Run,
    Server,
    configuration,
    deployment,
    has_trouble,
    play,
    read_body,
    read_head,
    request_head,
    route,
    send,
)

ROUTERS = 2
# Memory of a front machine of gbc-fleet, and four fifths of its link, so that others have room.
MEMORY_MB = 150
LINK_BYTES_PER_S = 0.8 * 1000e6 / 8
PIECE_S = 0.005
# stable-ms: machines are in touch from this time after their start on.
STABLE_S = 4.0
RESTART_DELAY_S = 0.2
PLAY_S = 20.0
CLIENTS = 8
EVENTS = 20
EVENT_INTERVAL_S = 0.1


async def read_slowly(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
    """Answer with a stream of two seconds."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in server.answer_fields(run).items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def look_up(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
    """Answer a short request."""
    await send(writer, 200, server.answer_fields(run), b"ok " + run.request_id.encode())


class TroubledServer(Server):
    """Model server whose answer to the call for cache events does not end."""

    async def send_cache_events(self, writer: asyncio.StreamWriter) -> None:
        """Send bytes at the rate of the link until the caller closes."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
        piece = b"\x00" * int(LINK_BYTES_PER_S * PIECE_S)
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            due_s += PIECE_S
            await asyncio.sleep(max(0.0, due_s - loop.time()))


@dataclass(slots=True)
class Outcome:
    """What was seen.

    :param answered: requests with a complete answer.
    :param cut: time since the start, router and id of requests on kept connections that ended so.
    :param kills: processes that exceeded their memory, by router.
    """

    answered: int = 0
    cut: list[tuple[float, str, str]] = field(default_factory=list)
    kills: dict[str, int] = field(default_factory=dict)


async def run_router(router: Router, record: Record, outcome: Outcome) -> None:
    """Restart a router that has ended, and kill it when it exceeds its memory."""
    while True:
        resident_mb = router.resident_mb()
        if resident_mb > MEMORY_MB:
            record.add(f"{router.name} has {resident_mb:.0f} MB of {MEMORY_MB} and is killed")
            router.signal(signal.SIGKILL)
            router.kill()
            outcome.kills[router.name] = outcome.kills.get(router.name, 0) + 1
        if router.exit_status is not None:
            await asyncio.sleep(RESTART_DELAY_S)
            record.add(f"{router.name} is started again")
            router.start()
        await asyncio.sleep(0.01)


async def ask(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
) -> tuple[bool, bool]:
    """Send a request on an open connection.

    :returns: whether the answer is complete, and whether it is a success.
    """
    writer.write(head)
    try:
        await writer.drain()
        answer = await read_head(reader)
        if answer is None:
            return False, False
        await read_body(reader, answer)
    except (ConnectionError, asyncio.IncompleteReadError):
        return False, False
    return answer.is_complete, answer.is_complete and answer.status == 200


async def client(
    router: Router, record: Record, outcome: Outcome, name: str, began_s: float
) -> None:
    """Send requests on kept connections: a short one first, then streams; connect again if cut."""
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < began_s + PLAY_S:
        try:
            reader, writer = await asyncio.open_connection(*router.front)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        is_kept = False
        while loop.time() < began_s + PLAY_S:
            number += 1
            request_id = f"{name}-{number}"
            if is_kept:
                head = request_head(
                    "POST",
                    "/lepu270/2f",
                    request_id,
                    "k-1",
                    12000,
                    X_Model=MODEL,
                    X_Token_Usage="1000,20",
                    X_Prompt_Prefix=f"5c1e07a2:800,{number:08x}:200",
                    Content_Length="0",
                )
            else:
                head = request_head("GET", "/filo73/1", request_id, "k-1", 1000)
            record.add(f"sent {request_id} to {router.name} kept={is_kept}")
            is_complete, is_success = await ask(reader, writer, head + b"\r\n")
            if not is_complete:
                record.add(f"cut  {request_id} kept={is_kept}")
                if is_kept:
                    outcome.cut.append((loop.time() - began_s, router.name, request_id))
                break
            record.add(f"answered {request_id} success={is_success}")
            outcome.answered += is_success
            is_kept = is_success
            if not is_success:
                await asyncio.sleep(0.05)
        writer.close()


async def main(folder: Path, record: Record) -> bool:
    kind = TroubledServer if has_trouble() else Server
    models = [
        Server("i-model-1", "models", read_slowly, version=1),
        kind("i-model-2", "models", read_slowly, version=1),
    ]
    servers = [*models, Server("i-desk-1", "desk", look_up)]
    config = configuration(
        [
            route("/lepu270/", "stream", "models", sticky=True),
            route("/filo73/", "idempotent", "desk"),
        ],
        [{"name": "models"} | ENGINE, {"name": "desk"} | PLAIN],
        [{"name": "sese880", "api-keys": ["k-1"]}],
    )
    outcome = Outcome()
    async with deployment(folder, servers, config, ROUTERS) as (_, routers):
        for router in routers:
            router.start()
        began_s = asyncio.get_running_loop().time()
        watches = [asyncio.create_task(run_router(item, record, outcome)) for item in routers]
        try:
            await asyncio.gather(
                *(
                    client(router, record, outcome, f"c{router.ip[-1]}{number}", began_s)
                    for router in routers
                    for number in range(CLIENTS)
                )
            )
        finally:
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
        start_s = record.time_of(began_s)
    for server in servers:
        for run in server.runs:
            record.add(f"run  {run.request_id} at {server.name} at {record.time_of(run.at_s):.3f}")
    # Only what a sound server got counts, from a machine that was in touch then.
    passed_on = {
        run.request_id for run in models[0].runs if record.time_of(run.at_s) - start_s > STABLE_S
    }
    lost = [name for _, _, name in outcome.cut if name in passed_on]
    by_router = Counter(router for _, router, name in outcome.cut if name in passed_on)
    record.add(f"{outcome.answered} answered, {len(outcome.cut)} cut on kept connections")
    record.add(f"processes that ended by themselves: {outcome.kills}")
    record.add(
        f"{len(lost)} were passed on to a sound server, more than {STABLE_S} s after the start, and"
        f" cut, {dict(by_router)}: {' '.join(lost)}"
    )
    if not outcome.answered:
        raise RuntimeError("nothing was answered")
    # LOST: a machine, more than three times.
    return max(by_router.values(), default=0) > 3


if __name__ == "__main__":
    play(__file__, main)
