"""Membership of the routers, and HTTP exchange of their copies of the store's keys."""

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import aiohttp
import logbook
import msgpack
from aiohttp import hdrs, web

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.decoding import (
    DecodingError,
    decode_each,
    decoding,
    describe,
    load_msgpack,
    read_digits,
    read_integer,
    read_list,
    read_number,
)
from coltsfootfront.common.logs import event
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.cachediscovery import CachedPartLocation, PeerCaches
from coltsfootfront.direct.copyencoding import MAX_COPY_BYTES, CopyEncoder, deflate
from coltsfootfront.direct.gossipfields import decode_begun, decode_location
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.storefollower import Changes, Follower, Item, PeerSource, Position
from coltsfootfront.direct.streambuilds import StreamBuild
from coltsfootfront.direct.takeups import OnStreams, PeerStreams, Streams
from coltsfootfront.direct.transfers import (
    DEFLATE,
    OnProgress,
    Transfer,
    TransferLimits,
    create_session,
    receive,
)
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import service_budget
from coltsfootfront.memory.server import ChargedServer, listen

log = logbook.Logger(__name__)

COPY_PATH = "/peer/copy"
POSITION_PATH = "/peer/position"
PARTS_PATH = "/peer/parts"
STREAMS_PATH = "/peer/streams"
PURPOSES = {
    COPY_PATH: metrics.PEER_COPY,
    POSITION_PATH: metrics.PEER_COPY,
    PARTS_PATH: metrics.PEER_PARTS,
    STREAMS_PATH: metrics.PEER_PARTS,
}
# Headers of a copy: the time since the peer's copy was known to lack nothing, and since the
# earliest moment at which the changes can have been written. No part of the body, which is kept
# for several peers. The former stands in responses with a position as well.
COPY_AGE_HEADER = "Copy-Age-S"
ITEMS_AGE_HEADER = "Items-Age-S"
# Header of a copy that the sender has read from the store for this request.
CURRENT_COPY_HEADER = "Copy-Is-Current"
# Stands for the position of a peer of an earlier version, which does not tell it.
UNTOLD_POSITION = Position(-1, -1)
# Responses without changes are below this size.
MIN_LOGGED_COPY_BYTES = 1024
# A peer answers from memory, one in the other region within 50 ms.
CONNECT_TIMEOUT_S = 0.3
REQUEST_TIMEOUT_S = 1.0
TIMEOUTS = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
# Within this time a peer tells its position, unless it is paused or a link on the way is full.
PROMPT_ANSWER_S = 0.25
# Further wait for the other peers once one that is ahead has told its position. One in the other
# region tells it within two round trips.
AHEAD_MARGIN_S = 0.1
# A peer that sends nothing for this long in the middle of a response is given up.
SILENCE_S = 0.6
# Longest transfer. A change that arrives later is too late for its users anyway.
MAX_TRANSFER_S = 6.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
# Prompt parts in one response, about 60 bytes each before it is compressed. A small link carries
# them in 200 ms.
MAX_PARTS_SENT = 8000
# The latest streams, about 10 bytes each, in one response.
MAX_STREAMS_SENT = 8_000
# Largest response on each path. A position is two numbers; a part has about 60 bytes, and up to
# three times as many with long names.
MAX_RESPONSE_BYTES = {
    COPY_PATH: MAX_COPY_BYTES,
    POSITION_PATH: 1024,
    PARTS_PATH: 2 * 1024 * 1024,
    STREAMS_PATH: 1024 * 1024,
}
# Routers of a data centre that watch the store directly, those with the widest links. The others
# use one of them as relay.
WATCHERS_PER_DATA_CENTRE = 2
# A link of unknown capacity is taken for narrower than all others, so that no small one relays.
UNKNOWN_LINK_MBIT_PER_S = 0.0
# A relay in the same data centre begins to answer within this time after the end of the wait.
RELAY_TIMEOUT_MARGIN_S = 0.4
# Longest wait for changes that a peer may ask for.
MAX_WAIT_S = 10.0
# Peers that are queried in parallel.
PEERS_QUERIED = 3
PEERS_QUERIED_AT_START = 5


class Peers(PeerSource, PeerCaches, PeerStreams):
    """Exchanges copies of the store's keys, and the locations of cached prompt parts, with peers.

    :param own: this router.
    :param seed_addresses: peer addresses from the settings, which may be stale.
    :param account: what the connections of other routers are charged to.
    """

    def __init__(
        self,
        own: RouterEntry,
        seed_addresses: list[str],
        generator: random.Random,
        account: Account | None = None,
    ) -> None:
        self._account = account or Account(service_budget(None), SystemClock())
        self._own = own
        self._own_address = own.address
        self.seed_addresses = seed_addresses
        self._generator = generator
        self._routers: dict[str, RouterEntry] = {}
        self.missing: list[RouterEntry] = []
        """Routers whose entries have disappeared recently, and which may go on."""
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._encoder = CopyEncoder()
        self.announcer: str | None = None
        """Peer address of the router that announced the latest position, if it told it."""
        self.follower: Follower | None = None
        self.list_parts_to_share: Callable[[], list[CachedPartLocation]] | None = None
        """Returns the parts to send to a router that has just started."""
        self.list_streams_to_share: Callable[[], Streams] | None = None
        """Returns the streams to send to a router that does not know one."""

    async def start(self) -> None:
        """Start the HTTP client, and the server for other routers."""
        self._session = create_session(TIMEOUTS)
        self._runner = web.ServerRunner(ChargedServer(self._handle_request, self._account))
        await self._runner.setup()
        await listen(self._runner, self._own_address)

    async def close(self) -> None:
        """Close the client and the server."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def add(self, name: str, router: RouterEntry) -> None:
        """Add or update a router that has registered in the store."""
        self._routers[name] = router

    def remove(self, name: str) -> None:
        """Remove a router whose entry has disappeared from the store."""
        self._routers.pop(name, None)

    def others(self) -> list[RouterEntry]:
        """Return the other registered routers, each address once."""
        found = {router.address: router for router in self._routers.values()}
        found.pop(self._own_address, None)
        return [found[address] for address in sorted(found)]

    def addresses(self) -> list[str]:
        """Return the other routers' peer addresses, the seed addresses if none is known."""
        known = [router.address for router in (*self.others(), *self.missing)]
        return known or sorted(set(self.seed_addresses) - {self._own_address})

    def relay_address(self) -> str | None:
        own = self._own
        links = {
            router.address: router.link_mbit_per_s or UNKNOWN_LINK_MBIT_PER_S
            for router in (*self._routers.values(), own)
            if router.data_centre == own.data_centre
        }
        # A watcher reads changes uncompressed, and sends them to all routers behind it.
        ranked = rank(own.data_centre.encode(), sorted(links))
        watchers = sorted(ranked, key=lambda address: -links[address])[:WATCHERS_PER_DATA_CENTRE]
        if own.address in watchers:
            return None
        # The other routers of a data centre are distributed over its watchers.
        return rank(own.address.encode(), watchers, 1)[0]

    async def wait_for_peer_changes(
        self, address: str, after: Position, wait_s: float, on_progress: OnProgress
    ) -> Changes | None:
        return await self._request_changes(address, after, wait_s, on_progress)

    async def read_peer_changes(self, after: Position) -> Changes | None:
        # A router that has just started has no revision of its own to recognise a stale copy by, so
        # it queries more peers.
        queried = PEERS_QUERIED if after.revision else PEERS_QUERIED_AT_START
        asked = set(self._choose_peers(queried))
        if self.announcer is not None and self.announcer != self._own_address:
            # Its entry may stand in the store alone, when it has started during an outage.
            asked.add(self.announcer)
        return await self._read_newest(sorted(asked), after)

    async def read_current_changes(self, after: Position) -> Changes | None:
        asked = [
            asyncio.create_task(self._request_changes(peer, after, must_be_current=True))
            for peer in self._choose_peers(PEERS_QUERIED)
        ]
        try:
            for reading in asyncio.as_completed(asked):
                changes = await reading
                if changes is not None:
                    return changes
            return None
        finally:
            for task in asked:
                task.cancel()

    def _choose_peers(self, count: int) -> list[str]:
        """Choose peers at random, one of them in this data centre and one in this region.

        The links to the others may be full.
        """
        peers = self.addresses()
        self._generator.shuffle(peers)
        own = self._own
        entries = {router.address: router for router in (*self.others(), *self.missing)}
        near = [peer for peer in peers if peer in entries]
        same_data_centre = [peer for peer in near if entries[peer].data_centre == own.data_centre]
        same_region = [peer for peer in near if entries[peer].region == own.region]
        first = dict.fromkeys([*same_data_centre[:1], *same_region[:1], *peers])
        return list(first)[:count]

    async def _read_newest(self, addresses: list[str], after: Position) -> Changes | None:
        """Read the changes of the peer that is furthest ahead.

        Copies of several peers would share the link, and all but one would be dropped.
        """
        told = await self._request_positions(addresses, after)
        positions = {peer: position for peer, (position, _) in told.items()}
        ahead = [peer for peer, position in positions.items() if position > after]
        for peer in sorted(ahead, key=lambda peer: (positions[peer], self._is_near(peer)))[::-1]:
            changes = await self._request_changes(peer, after)
            if changes is not None:
                return changes
        earlier = [peer for peer in positions if positions[peer] == UNTOLD_POSITION]
        copies = await asyncio.gather(*(self._request_changes(peer, after) for peer in earlier))
        found = [copy for copy in copies if copy is not None]
        ages_s = [
            age_s if position.era == after.era else math.inf
            for position, age_s in told.values()
            if UNTOLD_POSITION < position <= after
        ]
        if ages_s:
            found.append(Changes([], after.revision, era=after.era, copy_age_s=min(ages_s)))
        return max(found, key=lambda changes: changes.position, default=None)

    async def _request_positions(
        self, addresses: list[str], after: Position
    ) -> dict[str, tuple[Position, float]]:
        """Ask peers for the positions and ages of their copies.

        Peers that are paused, or behind a full link, are not waited for once another has answered,
        and even less once one is ahead of a position.
        """
        asked = {
            asyncio.create_task(self._request_position(address)): address for address in addresses
        }
        told: dict[str, tuple[Position, float]] = {}
        pending = set(asked)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + PROMPT_ANSWER_S
        try:
            while pending:
                wait_s = max(0.0, until_s - loop.time()) if told else None
                done, pending = await asyncio.wait(
                    pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                told |= {asked[task]: found for task in done if (found := task.result())}
                if any(position > after for position, _ in told.values()):
                    until_s = min(until_s, loop.time() + AHEAD_MARGIN_S)
        finally:
            for task in pending:
                task.cancel()
        return told

    def _is_near(self, address: str) -> bool:
        """Whether a router is in the same data centre."""
        return any(
            router.address == address and router.data_centre == self._own.data_centre
            for router in self._routers.values()
        )

    async def _request_position(self, address: str) -> tuple[Position, float] | None:
        """Ask a peer for the position and the age of its copy; the age is infinite if unknown."""
        received = await self._receive(address, POSITION_PATH, REQUEST_TIMEOUT_S)
        if received is None or received.status not in (HTTP_OK, HTTP_NOT_FOUND):
            return None
        if received.status == HTTP_NOT_FOUND:
            return UNTOLD_POSITION, math.inf
        try:
            with decoding("position"):
                era, revision = read_list(load_msgpack(received.body))
                position = Position(read_integer(era), read_integer(revision))
                # A peer of an earlier version does not tell its age.
                age = received.headers.get(COPY_AGE_HEADER)
                return position, math.inf if age is None else read_number(float(age))
        except DecodingError as error:
            log.warning(event("peer_unreadable", peer=address, reason=str(error)))
            return None

    def names(self) -> list[str]:
        return sorted({router.address for router in self._routers.values()} | {self._own_address})

    def own_name(self) -> str:
        return self._own_address

    async def read_parts(self) -> list[CachedPartLocation]:
        peers = self.addresses()
        self._generator.shuffle(peers)
        responses = await asyncio.gather(
            *(self._get(address, PARTS_PATH) for address in peers[:PEERS_QUERIED])
        )
        copies = [_decode_parts(response) for response in responses if response is not None]
        return max(copies, key=len, default=[])

    async def read_streams(
        self, limit_s: float, receive: OnStreams, must_ask_all: bool = False
    ) -> bool:
        answered: set[str] = set()

        async def read(peer: str) -> None:
            response = await self._get(peer, STREAMS_PATH)
            streams = _decode_streams(response) if response is not None else None
            if streams is not None:
                answered.add(peer)
                receive(streams)

        peers = self.addresses() if must_ask_all else self._choose_peers(PEERS_QUERIED_AT_START)
        if not peers:
            return True
        reads = [asyncio.create_task(read(peer)) for peer in peers]
        try:
            await asyncio.wait(reads, timeout=limit_s)
        finally:
            for task in reads:
                task.cancel()
        return len(answered) == len(peers) if must_ask_all else bool(answered)

    async def _request_changes(
        self,
        address: str,
        after: Position,
        wait_s: float = 0.0,
        on_progress: OnProgress | None = None,
        must_be_current: bool = False,
    ) -> Changes | None:
        query = {"after": str(after.revision), "era": str(after.era)}
        query |= {"wait": str(wait_s)} if wait_s else {}
        query |= {"current": "1"} if must_be_current else {}
        head_s = wait_s + RELAY_TIMEOUT_MARGIN_S if wait_s else REQUEST_TIMEOUT_S
        received = await self._receive(address, COPY_PATH, head_s, on_progress, **query)
        if received is None or received.status != HTTP_OK:
            return None
        if must_be_current and CURRENT_COPY_HEADER not in received.headers:
            # A peer of an earlier version sends the copy that it has.
            return None
        try:
            return _decode_copy(received)
        except DecodingError as error:
            log.warning(event("peer_unreadable", peer=address, reason=str(error)))
            return None

    async def _get(self, address: str, path: str) -> bytes | None:
        received = await self._receive(address, path, REQUEST_TIMEOUT_S)
        return received.body if received is not None and received.status == HTTP_OK else None

    async def _receive(
        self,
        address: str,
        path: str,
        head_s: float,
        on_progress: OnProgress | None = None,
        **params: str,
    ) -> Transfer | None:
        assert self._session is not None
        session, url = self._session, self._url(address, path)
        limits = TransferLimits(head_s, SILENCE_S, MAX_TRANSFER_S, MAX_RESPONSE_BYTES[path])
        try:
            received = await receive(lambda: session.get(url, params=params), limits, on_progress)
        except aiohttp.ClientPayloadError as error:
            log.warning(event("peer_unreadable", peer=address, path=path, reason=repr(error)))
            return None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.info(event("peer_silent", peer=address, reason=repr(error)))
            return None
        _record_transfer(address, path, received)
        return received

    def _url(self, address: str, path: str) -> str:
        return f"http://{address}{path}"

    async def _answer_copy(self, request: web.BaseRequest, follower: Follower) -> web.Response:
        try:
            after, wait_s = _decode_query(request.query)
        except DecodingError as error:
            return web.Response(status=400, text=str(error))
        must_be_current = "current" in request.query
        if must_be_current and not await follower.update_from_store():
            return web.Response(status=503)
        changes: Changes | None
        if wait_s is not None:
            changes = await follower.wait_for_changes(after, wait_s)
        else:
            changes = follower.changes_after(after)
        if changes is None:
            return web.Response(status=503)
        body, is_deflated = self._encoder.encode(
            after, changes, "era" in request.query, _accepts_deflate(request)
        )
        response = _make_response(metrics.PEER_COPY, body, is_deflated)
        response.headers[COPY_AGE_HEADER] = f"{changes.copy_age_s:.3f}"
        if changes.items_age_s is not None:
            response.headers[ITEMS_AGE_HEADER] = f"{changes.items_age_s:.3f}"
        if must_be_current:
            response.headers[CURRENT_COPY_HEADER] = "1"
        return response

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.path == COPY_PATH and self.follower is not None:
            return await self._answer_copy(request, self.follower)
        if request.path == POSITION_PATH and self.follower is not None:
            response = _make_response(metrics.PEER_COPY, msgpack.packb([*self.follower.position]))
            age_s = self.follower.freshness.age_s()
            if age_s is not None:
                response.headers[COPY_AGE_HEADER] = f"{age_s:.3f}"
            return response
        if request.path == PARTS_PATH and self.list_parts_to_share is not None:
            parts = self.list_parts_to_share()[-MAX_PARTS_SENT:]
            body, is_deflated = msgpack.packb(parts), False
            if _accepts_deflate(request):
                body, is_deflated = deflate(body)
            return _make_response(metrics.PEER_PARTS, body, is_deflated)
        if request.path == STREAMS_PATH and self.list_streams_to_share is not None:
            body = _encode_streams(self.list_streams_to_share()[-MAX_STREAMS_SENT:])
            return _make_response(metrics.PEER_PARTS, body)
        return web.Response(status=404)


def _record_transfer(address: str, path: str, received: Transfer) -> None:
    metrics.count_received(PURPOSES[path], received.wire_bytes)
    if path == COPY_PATH and received.wire_bytes >= MIN_LOGGED_COPY_BYTES:
        log.info(
            event(
                "peer_copy_received",
                peer=address,
                wire_bytes=received.wire_bytes,
                transfer_s=received.duration_s,
            )
        )


def _accepts_deflate(request: web.BaseRequest) -> bool:
    accepted = request.headers.get(hdrs.ACCEPT_ENCODING, "")
    return DEFLATE in accepted.replace(" ", "").split(",")


def _make_response(purpose: str, body: bytes, is_deflated: bool = False) -> web.Response:
    metrics.count_sent(purpose, len(body))
    return web.Response(
        body=body, headers={hdrs.CONTENT_ENCODING: DEFLATE} if is_deflated else None
    )


def _encode_streams(streams: Streams) -> bytes:
    rows: dict[StreamBuild, list[bytes]] = {}
    for key, stream in streams:
        rows.setdefault(stream, []).append(key)
    body: bytes = msgpack.packb([[*stream, keys] for stream, keys in rows.items()])
    return body


def _decode_streams(body: bytes) -> Streams | None:
    try:
        with decoding("streams"):
            rows = decode_each("streams", read_list(load_msgpack(body)), decode_begun)
            return [(key, stream) for stream, keys in rows for key in keys]
    except DecodingError as error:
        log.warning(event("streams_unreadable", reason=str(error)))
        return None


def _decode_parts(body: bytes) -> list[CachedPartLocation]:
    try:
        with decoding("parts"):
            return decode_each("parts", read_list(load_msgpack(body)), decode_location)
    except DecodingError as error:
        log.warning(event("peer_unreadable", reason=str(error)))
        return []


@decoding("copy")
def _decode_copy(received: Transfer) -> Changes:
    """Decode the changes at a peer, and how old they are.

    :raises DecodingError: if any part is malformed.
    """
    changes = _decode_changes(received.body)
    # A peer of an earlier version does not tell the ages.
    copy_age_s = read_number(float(received.headers.get(COPY_AGE_HEADER, 0.0)))
    items_age = received.headers.get(ITEMS_AGE_HEADER)
    items_age_s = None if items_age is None else read_number(float(items_age))
    transfer_s = received.duration_s
    return replace(
        changes,
        copy_age_s=copy_age_s + transfer_s,
        items_age_s=None if items_age_s is None else items_age_s + transfer_s,
    )


@decoding("copy")
def _decode_changes(body: bytes) -> Changes:
    """Decode the changes at a peer; a copy that lacks a key that it has would remove it.

    :raises DecodingError: if any part is malformed.
    """
    revision, rows, is_full_copy, *rest = read_list(load_msgpack(body))
    # A peer of an earlier version tells no era.
    era = read_integer(rest[0]) if rest else 0
    items = [_decode_row(row) for row in read_list(rows)]
    return Changes(items, read_integer(revision), bool(is_full_copy), era)


def _decode_row(row: Any) -> Item:
    key, value, revision = read_list(row)
    if not isinstance(key, str) or not (value is None or isinstance(value, bytes)):
        raise DecodingError(f"{describe(key)} is not a key with a value")
    return Item(key, value, read_integer(revision))


@decoding("query")
def _decode_query(query: Mapping[str, str]) -> tuple[Position, float | None]:
    """Decode the position after which a peer asks for changes, and how long it waits for them.

    :raises DecodingError: if a number is malformed.
    """
    after = Position(read_digits(query.get("era", "0")), read_digits(query.get("after", "0")))
    wait = query.get("wait")
    return after, None if wait is None else read_number(float(wait), high=MAX_WAIT_S)
