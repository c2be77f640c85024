"""Reads from the platform's targets and kept caches which parts of prompts they hold."""

import aiohttp
import logbook

from coltsfootfront.common.logs import event
from coltsfootfront.direct.cachediscovery import CachedPart, CachedPartReader
from coltsfootfront.direct.sockets import create_socket

log = logbook.Logger(__name__)

# The newest events, a few hundred kilobytes, come from the other region within this time.
TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.3
# Calls that may wait are not priced as probes; there are events, so that they do not.
WAIT_MS = 200
STORED = "+"


class PlatformPartReader(CachedPartReader):
    """Replays the events that a target or kept cache still has."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(socket_factory=create_socket),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def read_parts(self, address: str) -> list[CachedPart] | None:
        assert self._session is not None
        url = f"http://{address}/v1/kv-events"
        try:
            async with self._session.get(
                url, params={"since": "0"}, headers={"Wait-Ms": str(WAIT_MS)}
            ) as response:
                if response.status != 200:
                    log.info(event("parts_unread", address=address, status=response.status))
                    return None
                return _held(await response.json())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError) as error:
            log.info(event("parts_unread", address=address, reason=repr(error)[:120]))
            return None


def _held(body: dict[str, list[list[object]]]) -> list[CachedPart]:
    """Parts that are held after the last event of each.

    :raises ValueError: when an event cannot be read.
    """
    held: dict[CachedPart, None] = {}
    for _, sign, salt, key, *_ in body["events"]:
        part = CachedPart(str(salt), str(key))
        # The latest stand last, since the holder drops what was used least recently.
        held.pop(part, None)
        if sign == STORED:
            held[part] = None
    return list(held)
