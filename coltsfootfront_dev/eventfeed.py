"""Event stream of the simulated engine's prefix cache, with configurable delay and loss."""

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import web

_KEYS_PER_EVENT = 256
_HEARTBEAT_INTERVAL_S = 5.0
_MAX_QUEUED_EVENTS = 4096


@dataclass
class FeedFaults:
    """Faults of the event stream.

    :param event_delay_s: seconds between a change and its event.
    :param event_jitter_s: upper bound of a random additional delay in seconds, which reorders
        events.
    :param event_drop_share: share of events that are lost.
    """

    event_delay_s: float = 0.05
    event_jitter_s: float = 0.0
    event_drop_share: float = 0.0


class EventFeed:
    """Assigns sequence numbers to events and sends them to all subscribers.

    :param faults: current delays and losses.
    :param seed: seed of the random losses and delays.
    """

    def __init__(self, faults: FeedFaults, seed: int = 0) -> None:
        self._faults = faults
        self._random = random.Random(seed)
        self._subscribers: set[asyncio.Queue[bytes]] = set()
        self._incarnation = ""
        self._seq = 0

    def restart(self, incarnation: str) -> None:
        """Start a new incarnation: forget the subscribers and number events from 1."""
        self._incarnation = incarnation
        self._seq = 0
        self._subscribers.clear()

    def publish(self, kind: str, keys: Sequence[bytes]) -> None:
        """Send a change of the cache, split into events of a limited number of keys."""
        for start in range(0, max(len(keys), 1), _KEYS_PER_EVENT):
            self._seq += 1
            hex_keys = [key.hex() for key in keys[start : start + _KEYS_PER_EVENT]]
            self._send(
                {
                    "incarnation": self._incarnation,
                    "seq": self._seq,
                    "kind": kind,
                    "keys": hex_keys,
                }
            )

    def _send(self, event: dict[str, object]) -> None:
        if not self._subscribers or self._random.random() < self._faults.event_drop_share:
            return
        line = b"data: " + json.dumps(event).encode() + b"\n\n"
        delay_s = self._faults.event_delay_s + self._random.random() * self._faults.event_jitter_s
        loop = asyncio.get_running_loop()
        for queue in self._subscribers:
            loop.call_later(delay_s, _enqueue, queue, line)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve an event stream until the subscriber disconnects."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        queue: asyncio.Queue[bytes] = asyncio.Queue(_MAX_QUEUED_EVENTS)
        self._subscribers.add(queue)
        try:
            await response.prepare(request)
            await response.write(b": subscribed\n\n")
            while True:
                await response.write(await _next_line(queue))
        finally:
            self._subscribers.discard(queue)


def _enqueue(queue: asyncio.Queue[bytes], line: bytes) -> None:
    # As on a real event stream, a subscriber that reads too slowly loses events.
    if not queue.full():
        queue.put_nowait(line)


async def _next_line(queue: asyncio.Queue[bytes]) -> bytes:
    try:
        async with asyncio.timeout(_HEARTBEAT_INTERVAL_S):
            return await queue.get()
    except TimeoutError:
        return b": heartbeat\n\n"
