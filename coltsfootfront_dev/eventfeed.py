"""Cache events of the engine stand-in: numbered, late, and with gaps when told so."""

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import web

_KEYS_PER_EVENT = 256
_HEARTBEAT_S = 5.0
_QUEUE_EVENTS = 4096


@dataclass
class FeedFaults:
    """Faults of the event stream.

    :param event_delay_s: seconds between a change and its event.
    :param event_jitter_s: longest additional random delay; events overtake each other.
    :param event_drop_share: share of events that are lost.
    """

    event_delay_s: float = 0.05
    event_jitter_s: float = 0.0
    event_drop_share: float = 0.0


class EventFeed:
    """Numbers events and sends them to all subscribers.

    :param faults: delays and losses in force.
    :param seed: seed of losses and delays.
    """

    def __init__(self, faults: FeedFaults, seed: int = 0) -> None:
        self._faults = faults
        self._random = random.Random(seed)
        self._subscribers: set[asyncio.Queue[bytes]] = set()
        self._incarnation = ""
        self._seq = 0

    def restart(self, incarnation: str) -> None:
        """Number events from 1 again under a new incarnation."""
        self._incarnation = incarnation
        self._seq = 0
        self._subscribers.clear()

    def publish(self, kind: str, keys: Sequence[bytes]) -> None:
        """Send events for a change of the cache."""
        for start in range(0, max(len(keys), 1), _KEYS_PER_EVENT):
            self._seq += 1
            shown = [key.hex() for key in keys[start : start + _KEYS_PER_EVENT]]
            self._send(
                {
                    "incarnation": self._incarnation,
                    "seq": self._seq,
                    "kind": kind,
                    "keys": shown,
                }
            )

    def _send(self, event: dict[str, object]) -> None:
        if not self._subscribers or self._random.random() < self._faults.event_drop_share:
            return
        line = b"data: " + json.dumps(event).encode() + b"\n\n"
        delay_s = self._faults.event_delay_s + self._random.random() * self._faults.event_jitter_s
        loop = asyncio.get_running_loop()
        for queue in self._subscribers:
            loop.call_later(delay_s, _offer, queue, line)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a subscription with an event stream that never ends."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        queue: asyncio.Queue[bytes] = asyncio.Queue(_QUEUE_EVENTS)
        self._subscribers.add(queue)
        try:
            await response.prepare(request)
            await response.write(b": subscribed\n\n")
            while True:
                await response.write(await _next_line(queue))
        finally:
            self._subscribers.discard(queue)


def _offer(queue: asyncio.Queue[bytes], line: bytes) -> None:
    # A subscriber that does not read loses events, as with a real event stream.
    if not queue.full():
        queue.put_nowait(line)


async def _next_line(queue: asyncio.Queue[bytes]) -> bytes:
    try:
        async with asyncio.timeout(_HEARTBEAT_S):
            return await queue.get()
    except TimeoutError:
        return b": heartbeat\n\n"
