"""Reads from targets and kept caches which prompt parts they have cached."""

from typing import Any

import aiohttp
import logbook

from coltsfootfront.common.decoding import (
    DecodingError,
    decode_each,
    decoding,
    describe,
    load_json,
    read_list,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.direct.cachediscovery import CachedPart, CachedPartReader
from coltsfootfront.direct.transfers import TransferLimits, create_session, receive

log = logbook.Logger(__name__)

# Enough to read a few hundred kilobytes of events from the other region.
TIMEOUT_S = 2.0
SILENCE_S = 1.0
CONNECT_TIMEOUT_S = 0.3
# About 15,000 events. Several holders are read at once, each with a list of this size at most.
MAX_EVENTS_BYTES = 1024 * 1024
LIMITS = TransferLimits(TIMEOUT_S, SILENCE_S, TIMEOUT_S, MAX_EVENTS_BYTES)
# The platform charges a call without a wait as a probe. The wait takes no time
# where there are events, since every read starts at the first one.
WAIT_MS = 200
PART_STORED = "+"
# A failed exchange, or a malformed body.
_READ_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class PlatformPartReader(CachedPartReader):
    """Derives the cached parts from the cache events that a target or kept cache retains."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = create_session(
            aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        )

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def read_parts(self, address: str) -> list[CachedPart] | None:
        session = self._session
        assert session is not None
        url = f"http://{address}/v1/kv-events"
        query, fields = {"since": "0"}, {"Wait-Ms": str(WAIT_MS)}
        try:
            received = await receive(lambda: session.get(url, params=query, headers=fields), LIMITS)
            if received.status != 200:
                log.info(event("parts_unread", address=address, status=received.status))
                return None
            return _replay_events(received.body, address)
        except _READ_ERRORS as error:
            log.info(event("parts_unread", address=address, reason=describe(error)))
            return None


@decoding("cache events")
def _replay_events(data: bytes, address: str) -> list[CachedPart]:
    """Return the parts whose latest event stored them, least recently used first.

    :param address: where the events come from, for the log.
    :raises DecodingError: when no event can be read.
    """
    events = read_list(load_json(data)["events"])
    readable = decode_each("cache events", events, _decode_event, source=address)
    if events and not readable:
        raise DecodingError("none of the events can be read")
    cached_parts: dict[CachedPart, None] = {}
    for operation, part in readable:
        # Moves the part to the end: the cache evicts the least recently used part first.
        cached_parts.pop(part, None)
        if operation == PART_STORED:
            cached_parts[part] = None
    return list(cached_parts)


def _decode_event(row: Any) -> tuple[str, CachedPart]:
    _, operation, salt, key, *_ = read_list(row)
    return read_text(operation), CachedPart(read_text(salt, is_optional=True), read_text(key))
