"""Short messages between routers over UDP: facts that are only worth something at once.

A lost message costs a wasted request or a fetch, never correctness. What must arrive goes
through the store, or through a peer's copy of it.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import logbook
import msgpack

from coltsfootfront.common import metrics
from coltsfootfront.common.logs import event

log = logbook.Logger(__name__)

# Payload that fits one packet on common links.
MAX_MESSAGE_BYTES = 1200
PROTOCOL_VERSION = 1
# Facts about held parts are collected for this long before they are sent.
FLUSH_INTERVAL_S = 0.15
# Work that targets were given is collected for this long; a prompt takes about as long to read.
WORK_INTERVAL_S = 0.025
# Parts in one message; each takes about 60 bytes.
PARTS_PER_MESSAGE = 20
# Messages about learned parts that go out at once; a burst would fill the queue of a small link.
LEARNED_MESSAGES = 10

LOADING = "loading"
LOADED = "loaded"
HELD = "held"
COMING = "coming"
REVISION = "revision"
WORK = "work"
LEAVING = "leaving"
LEARNED = "learned"

OnMessage = Callable[[str, list[Any]], None]


class Gossip(asyncio.DatagramProtocol):
    """Sends facts to all peers and passes theirs on.

    :param on_message: called with the type of a message and its fields.
    """

    def __init__(self, on_message: OnMessage) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: list[tuple[str, int]] = []
        self._held: list[list[Any]] = []
        self._coming: list[list[Any]] = []
        self._learned: list[list[Any]] = []
        self._work: dict[tuple[str, int], float] = {}

    async def start(self, ip: str, port: int) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def set_peers(self, peers: list[tuple[str, int]]) -> None:
        """Set the addresses of the other routers."""
        self._peers = peers

    def tell(self, kind: str, fields: list[Any]) -> None:
        """Send one message to every peer."""
        data = msgpack.packb([PROTOCOL_VERSION, kind, fields])
        if self._transport is None:
            return
        for peer in self._peers:
            self._transport.sendto(data, peer)

    def tell_held(self, salt: str, key: str, target: str) -> None:
        """Tell peers soon that a target holds a part."""
        self._held.append([salt, key, target])

    def tell_learned(self, parts: list[tuple[str, str, str]]) -> None:
        """Tell peers soon which parts targets hold, used at an unknown time."""
        self._learned += [list(part) for part in parts]

    def tell_coming(self, salt: str, key: str, target: str, in_s: float) -> None:
        """Tell peers at once that a target is about to read a part."""
        self._coming.append([salt, key, target, round(in_s, 3)])

    def tell_work(self, target: str, priority: int, work_s: float) -> None:
        """Tell peers soon that a target has more prompts to read."""
        key = (target, priority)
        self._work[key] = self._work.get(key, 0.0) + work_s

    async def flush_work(self) -> None:
        """Send collected work, and the parts that it brings, for ever."""
        while True:
            await asyncio.sleep(WORK_INTERVAL_S)
            if self._work:
                work, self._work = self._work, {}
                self.tell(WORK, [[*key, work_s] for key, work_s in work.items()])
            self._tell_parts(COMING, self._coming)

    async def flush_held(self) -> None:
        """Send collected facts about held parts, for ever."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._tell_parts(HELD, self._held)
            self._tell_parts(LEARNED, self._learned, LEARNED_MESSAGES)

    def _tell_parts(self, kind: str, parts: list[list[Any]], messages: int | None = None) -> None:
        """Send collected facts.

        :param messages: the most messages that go out now; the rest stays.
        """
        while parts and messages != 0:
            self.tell(kind, parts[:PARTS_PER_MESSAGE])
            del parts[:PARTS_PER_MESSAGE]
            messages = messages - 1 if messages is not None else None

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            version, kind, fields = msgpack.unpackb(data)
            if version == PROTOCOL_VERSION:
                self._on_message(kind, fields)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            metrics.CONNECTIONS.inc({"event": "gossip_unreadable"})
            log.warning(event("gossip_unreadable", peer=addr[0], reason=repr(error)))

    def error_received(self, exc: Exception) -> None:
        metrics.CONNECTIONS.inc({"event": "gossip_error"})
