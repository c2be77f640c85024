"""Short messages between routers over UDP: facts that are only worth something at once.

A lost message costs a wasted request or a fetch, never correctness. What must arrive goes
through the store, or through a peer's copy of it.

Facts are gathered for longer the more routers there are, so that what a router sends and receives
grows more slowly than the fleet. The link between regions is narrow and paid by volume: a message
crosses it once, to any router of the other region, which passes it on there.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import logbook
import msgpack

from coltsfootfront.common import metrics
from coltsfootfront.common.logs import event

log = logbook.Logger(__name__)

PROTOCOL_VERSION = 2
# Facts about work and parts are gathered for this long among a few routers; a prompt takes about
# as long to read.
GATHER_S = 0.025
# Peers up to which that is so; more of them gather for longer in proportion.
FEW_PEERS = 16
MAX_GATHER_S = 0.1
# Facts that a target has read a part wait for others to go along with for this long.
LAZY_S = 0.15
# Parts in one message; each takes about 60 bytes, so that it fits one packet on common links.
PARTS_PER_MESSAGE = 18
# Messages about learned parts that go out at once; a burst would fill the queue of a small link.
LEARNED_MESSAGES = 10
# Peers that are told of a new revision; each of them tells as many in turn.
REVISION_PEERS = 3

LOADING = "loading"
LOADED = "loaded"
HELD = "held"
COMING = "coming"
REVISION = "revision"
WORK = "work"
LOAD = "load"
DRAINING = "leaving"
LEARNED = "learned"
UNREACHABLE = "dark"

Address = tuple[str, int]
OnMessage = Callable[[str, list[Any]], None]


@dataclass(slots=True)
class _Facts:
    """Facts that have not been sent yet."""

    work: dict[tuple[str, int], float] = field(default_factory=dict)
    loads: dict[str, int] = field(default_factory=dict)
    coming: list[list[Any]] = field(default_factory=list)
    held: list[list[Any]] = field(default_factory=list)
    learned: list[list[Any]] = field(default_factory=list)
    held_since_s: float = 0.0


class Gossip(asyncio.DatagramProtocol):
    """Sends facts to peers and passes theirs on.

    :param on_message: called with the type of a message and its fields.
    :param region: region of this router.
    """

    def __init__(self, on_message: OnMessage, region: str, generator: random.Random) -> None:
        self._on_message = on_message
        self._region = region
        self._generator = generator
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, list[Address]] = {}
        self._facts = _Facts()

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

    def set_peers(self, peers: dict[str, list[Address]]) -> None:
        """Set the addresses of the other routers, by region."""
        self._peers = peers

    def broadcast(self, kind: str, fields: list[Any]) -> None:
        """Tell every peer at once."""
        self._spread([[kind, fields]])

    def tell_revision(self, revision: int) -> None:
        """Tell a few peers how far this router's copy of the store is."""
        peers = [peer for found in self._peers.values() for peer in found]
        chosen = self._generator.sample(peers, min(REVISION_PEERS, len(peers)))
        self._send([[REVISION, [revision]]], chosen)

    def queue_cached(self, salt: str, key: str, holder: str) -> None:
        """Tell peers soon that a target holds a part."""
        if not self._facts.held:
            self._facts.held_since_s = asyncio.get_running_loop().time()
        self._facts.held.append([salt, key, holder])

    def queue_learned(self, parts: list[tuple[str, str, str]]) -> None:
        """Tell peers soon which parts targets hold, used at an unknown time."""
        self._facts.learned += [list(part) for part in parts]

    def queue_expected(self, salt: str, key: str, target: str, in_s: float) -> None:
        """Tell peers that a target is about to read a part."""
        self._facts.coming.append([salt, key, target, round(in_s, 3)])

    def queue_prefill_work(self, target: str, priority: int, work_s: float) -> None:
        """Tell peers that a target has more prompts to read."""
        key = (target, priority)
        self._facts.work[key] = self._facts.work.get(key, 0.0) + work_s

    def queue_load(self, target: str, load: int) -> None:
        """Tell peers soon which load a target has reported."""
        self._facts.loads[target] = load

    async def flush(self) -> None:
        """Send gathered facts, for ever."""
        while True:
            peers = sum(len(found) for found in self._peers.values())
            await asyncio.sleep(min(MAX_GATHER_S, GATHER_S * max(1.0, peers / FEW_PEERS)))
            self._flush(self._facts)

    def _flush(self, facts: _Facts) -> None:
        now_s = asyncio.get_running_loop().time()
        is_held_due = bool(facts.held) and now_s - facts.held_since_s >= LAZY_S
        for _ in range(LEARNED_MESSAGES):
            if not facts.learned:
                break
            self._spread([[LEARNED, facts.learned[:PARTS_PER_MESSAGE]]])
            del facts.learned[:PARTS_PER_MESSAGE]
        while facts.work or facts.coming or facts.loads or is_held_due:
            message: list[list[Any]] = []
            if facts.loads:
                names = list(facts.loads)[:PARTS_PER_MESSAGE]
                message.append([LOAD, [[name, facts.loads.pop(name)] for name in names]])
            if facts.work:
                keys = list(facts.work)[:PARTS_PER_MESSAGE]
                message.append([WORK, [[*key, round(facts.work.pop(key), 4)] for key in keys]])
            room = PARTS_PER_MESSAGE
            for kind, parts in ((COMING, facts.coming), (HELD, facts.held)):
                if parts and room:
                    message.append([kind, parts[:room]])
                    room -= len(message[-1][1])
                    del parts[: len(message[-1][1])]
            is_held_due = is_held_due and bool(facts.held)
            self._spread(message)

    def _spread(self, message: list[list[Any]]) -> None:
        """Send a message to all routers, over each link between regions once."""
        for region, peers in self._peers.items():
            if region == self._region or len(peers) == 1:
                self._send(message, peers)
            else:
                self._send(message, [self._generator.choice(peers)], passes_on=True)

    def _send(
        self, message: list[list[Any]], peers: list[Address], passes_on: bool = False
    ) -> None:
        if self._transport is None or not peers:
            return
        data = msgpack.packb([PROTOCOL_VERSION, passes_on, message])
        for peer in peers:
            self._transport.sendto(data, peer)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            version, passes_on, message = msgpack.unpackb(data)
            if version == PROTOCOL_VERSION:
                if passes_on:
                    self._send(message, self._peers.get(self._region, []))
                for kind, fields in message:
                    self._on_message(kind, fields)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            metrics.CONNECTION_EVENTS.inc({"event": "gossip_unreadable"})
            log.warning(event("gossip_unreadable", peer=addr[0], reason=repr(error)))

    def error_received(self, exc: Exception) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "gossip_error"})
