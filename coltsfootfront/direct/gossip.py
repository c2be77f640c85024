"""Gossip between routers over UDP, for short-lived hints about the state of targets.

A lost message costs a wasted request or a fetch, never correctness. Updates that must arrive go
through the store, or through a peer's copy of it.

The delay for batching updates grows with the number of routers, so that the traffic of each router
grows more slowly than the fleet. The link between regions is narrow and charged by volume: a
message crosses it once, to one router of the other region, which forwards it within that region.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import logbook
import msgpack

from coltsfootfront.common import metrics
from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    describe,
    load_msgpack,
    read_list,
)
from coltsfootfront.common.logs import event
from coltsfootfront.direct.streambuilds import StreamBuild

log = logbook.Logger(__name__)

PROTOCOL_VERSION = 2
# Delay for batching updates in a small fleet, about as long as the prefill of a prompt.
BATCH_DELAY_S = 0.025
# Number of peers up to which that delay applies; beyond it, the delay grows in proportion.
BATCH_DELAY_PEERS = 16
MAX_BATCH_DELAY_S = 0.1
# Updates that a target has cached a prompt part are not urgent and wait this long for others to be
# sent with.
CACHED_DELAY_S = 0.15
# Prompt parts in one message. Each takes about 60 bytes, so that a message fits into one packet on
# common links.
PARTS_PER_MESSAGE = 18
# Keys of streams in one message, 10 bytes each.
STREAMS_PER_MESSAGE = 100
# Messages about learned parts in one flush; a larger burst would fill the queue of a small link.
LEARNED_MESSAGES_PER_FLUSH = 10
# Peers that are sent a message which each of them sends to as many in turn.
FANOUT = 3

WEIGHTS_LOADING = "loading"
WEIGHTS_LOADED = "loaded"
CACHED = "held"
EXPECTED = "coming"
REVISION = "revision"
PREFILL_WORK = "work"
LOAD = "load"
PACE = "pace"
PENDING = "pending"
DRAINING = "leaving"
LEARNED = "learned"
UNREACHABLE = "dark"
LIMIT = "limit"
PERMIT_REQUEST = "permit_request"
PERMIT_RESPONSE = "permit_response"
ISSUER_SUSPECTED = "issuer_suspected"
CRASH = "crash"
RESENT = "resent"
ANSWERED = "answered"
QUARANTINED = "quarantined"
RELEASED = "released"
BEGUN = "begun"
USAGE = "usage"

Address = tuple[str, int]
OnMessage = Callable[[str, list[Any]], None]


@dataclass(slots=True)
class _PendingUpdates:
    """Updates that have not been sent yet."""

    prefill_work: dict[tuple[str, int], float] = field(default_factory=dict)
    loads: dict[str, int] = field(default_factory=dict)
    paces: dict[str, float] = field(default_factory=dict)
    pending_prompts: dict[str, list[int]] = field(default_factory=dict)
    expected: list[list[Any]] = field(default_factory=list)
    cached: list[list[Any]] = field(default_factory=list)
    learned: list[list[Any]] = field(default_factory=list)
    begun: dict[StreamBuild, list[bytes]] = field(default_factory=dict)
    cached_since_s: float = 0.0

    @property
    def has_target_updates(self) -> bool:
        """Whether there are updates on the work or the pace of targets."""
        return bool(self.prefill_work or self.loads or self.paces or self.pending_prompts)


class Gossip(asyncio.DatagramProtocol):
    """Sends updates to the other routers and delivers theirs.

    :param on_message: called with the type of an update and its fields.
    :param region: region of this router.
    """

    def __init__(self, on_message: OnMessage, region: str, generator: random.Random) -> None:
        self._on_message = on_message
        self._region = region
        self._generator = generator
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, list[Address]] = {}
        self._pending = _PendingUpdates()
        self.router = ""
        """Name of this router, under which peers keep its totals."""
        self.take_usage_reports: Callable[[], list[list[Any]]] = list
        """Returns the reports on the use of quotas that are due."""

    async def start(self, ip: str, port: int) -> None:
        """Bind the UDP socket."""
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
        """Send an update to all peers at once."""
        self._broadcast([[kind, fields]])

    def send(self, address: Address, kind: str, fields: list[Any]) -> None:
        """Send an update to one router at once."""
        self._send([[kind, fields]], [address])

    def send_position(self, era: int, revision: int, address: str) -> None:
        """Send the position of this router's copy of the store to a few peers.

        :param address: where they can read the copy; they may not have seen this router's entry.
        """
        self.send_to_some(REVISION, [revision, era, address])

    def send_to_some(self, kind: str, fields: list[Any]) -> None:
        """Send an update to a few peers."""
        peers = [peer for found in self._peers.values() for peer in found]
        self._send([[kind, fields]], self._generator.sample(peers, min(FANOUT, len(peers))))

    def queue_cached(self, salt: str, key: str, holder: str) -> None:
        """Queue an update that a target has a prompt part in its cache."""
        if not self._pending.cached:
            self._pending.cached_since_s = asyncio.get_running_loop().time()
        self._pending.cached.append([salt, key, holder])

    def queue_learned(self, parts: list[tuple[str, str, str]]) -> None:
        """Queue an update on parts that targets have cached, with unknown times of last use."""
        self._pending.learned += [list(part) for part in parts]

    def queue_expected(self, salt: str, key: str, target: str, in_s: float) -> None:
        """Queue an update that a target is expected to have a prompt part in its cache soon."""
        self._pending.expected.append([salt, key, target, round(in_s, 3)])

    def queue_prefill_work(self, target: str, priority: int, work_s: float) -> None:
        """Queue an update that a target has got more prefill work."""
        key = (target, priority)
        self._pending.prefill_work[key] = self._pending.prefill_work.get(key, 0.0) + work_s

    def queue_begun(self, key: bytes, stream: StreamBuild) -> None:
        """Queue an update that a stream has begun at a build."""
        self._pending.begun.setdefault(stream, []).append(key)

    def queue_load(self, target: str, load: int) -> None:
        """Queue an update on the load that a target has reported."""
        self._pending.loads[target] = load

    def queue_pace(self, target: str, percent: float) -> None:
        """Queue an update on the pace that a target has reported.

        It is no part of the update on the load, which routers of earlier versions would drop with
        a further field.
        """
        self._pending.paces[target] = percent

    def queue_pending(self, target: str, totals: list[int]) -> None:
        """Queue an update on the tokens of this router's prompts that wait at a target.

        :param totals: tokens by priority.
        """
        self._pending.pending_prompts[target] = totals

    async def flush(self) -> None:
        """Run the loop that sends the queued updates in batches."""
        while True:
            peers = sum(len(found) for found in self._peers.values())
            await asyncio.sleep(
                min(MAX_BATCH_DELAY_S, BATCH_DELAY_S * max(1.0, peers / BATCH_DELAY_PEERS))
            )
            self._flush(self._pending)

    def _flush(self, pending: _PendingUpdates) -> None:
        now_s = asyncio.get_running_loop().time()
        is_cached_due = bool(pending.cached) and now_s - pending.cached_since_s >= CACHED_DELAY_S
        for _ in range(LEARNED_MESSAGES_PER_FLUSH):
            if not pending.learned:
                break
            self._broadcast([[LEARNED, pending.learned[:PARTS_PER_MESSAGE]]])
            del pending.learned[:PARTS_PER_MESSAGE]
        self._flush_begun(pending.begun)
        reports = self.take_usage_reports()
        while pending.has_target_updates or pending.expected or is_cached_due or reports:
            message: list[list[Any]] = []
            if reports:
                message.append([USAGE, reports.pop(0)])
            message += self._take_target_updates(pending)
            room = PARTS_PER_MESSAGE
            for kind, parts in ((EXPECTED, pending.expected), (CACHED, pending.cached)):
                if parts and room:
                    message.append([kind, parts[:room]])
                    room -= len(message[-1][1])
                    del parts[: len(message[-1][1])]
            is_cached_due = is_cached_due and bool(pending.cached)
            self._broadcast(message)

    def _take_target_updates(self, pending: _PendingUpdates) -> list[list[Any]]:
        """Take a batch of each kind of update on the work and the pace of targets."""
        updates: list[list[Any]] = []
        if pending.loads:
            names = list(pending.loads)[:PARTS_PER_MESSAGE]
            updates.append([LOAD, [[name, pending.loads.pop(name)] for name in names]])
        if pending.paces:
            names = list(pending.paces)[:PARTS_PER_MESSAGE]
            updates.append([PACE, [[name, pending.paces.pop(name)] for name in names]])
        if pending.pending_prompts:
            names = list(pending.pending_prompts)[:PARTS_PER_MESSAGE]
            rows = [[name, pending.pending_prompts.pop(name)] for name in names]
            updates.append([PENDING, [self.router, rows]])
        if pending.prefill_work:
            keys = list(pending.prefill_work)[:PARTS_PER_MESSAGE]
            updates.append(
                [PREFILL_WORK, [[*key, round(pending.prefill_work.pop(key), 4)] for key in keys]]
            )
        return updates

    def _flush_begun(self, begun: dict[StreamBuild, list[bytes]]) -> None:
        for stream, keys in begun.items():
            for start in range(0, len(keys), STREAMS_PER_MESSAGE):
                self._broadcast([[BEGUN, [*stream, keys[start : start + STREAMS_PER_MESSAGE]]]])
        begun.clear()

    def _broadcast(self, message: list[list[Any]]) -> None:
        """Send a message to all routers, but only once to each other region."""
        for region, peers in self._peers.items():
            if region == self._region or len(peers) == 1:
                self._send(message, peers)
            else:
                self._send(message, [self._generator.choice(peers)], must_forward=True)

    def _send(
        self, message: list[list[Any]], peers: list[Address], must_forward: bool = False
    ) -> None:
        if self._transport is None or not peers:
            return
        data = msgpack.packb([PROTOCOL_VERSION, must_forward, message])
        metrics.count_sent(metrics.GOSSIP, len(data) * len(peers))
        for peer in peers:
            self._transport.sendto(data, peer)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        metrics.count_received(metrics.GOSSIP, len(data))
        try:
            with decoding("datagram"):
                version, must_forward, message = load_msgpack(data)
                updates = read_list(message)
                if version != PROTOCOL_VERSION:
                    return
                if must_forward:
                    self._send(updates, self._peers.get(self._region, []))
        except DecodingError as error:
            self._log_unreadable(addr, error)
            return
        for update in updates:
            self._receive(update, addr)

    def _receive(self, update: Any, addr: tuple[str | Any, int]) -> None:
        """Pass one update on; one that cannot be used does not keep the others back."""
        try:
            kind, fields = read_list(update)
            self._on_message(kind, fields)
        except Exception as error:
            self._log_unreadable(addr, error)

    def _log_unreadable(self, addr: tuple[str | Any, int], error: Exception) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "gossip_unreadable"})
        log.warning(event("gossip_unreadable", peer=addr[0], reason=describe(error)))

    def error_received(self, exc: Exception) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "gossip_error"})
