"""The other routers: who they are, and their copies of the store's keys."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import logbook
import msgpack
from aiohttp import web

from coltsfootfront.common.logs import event
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.storefollower import Changes, Follower, Item, PeerSource
from coltsfootfront.direct.cachediscovery import CachedPartLocation, PeerCaches
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.sockets import create_socket

log = logbook.Logger(__name__)

COPY_PATH = "/peer/copy"
PARTS_PATH = "/peer/parts"
# A peer answers from memory; one in the other region within 50 ms.
CONNECT_TIMEOUT_S = 0.3
TIMEOUT_S = 1.0
OK = 200
# Parts that a peer tells, some 60 bytes each: a small link carries them in a fifth of a second.
MAX_PARTS_TOLD = 8000
# Routers of a data centre that watch the store; the others follow it through these.
WATCHERS = 2
# A watcher of the same data centre answers within this time after the wait.
RELAY_SLACK_S = 0.4
# Peers asked for their copy at once.
ASKED_AT_ONCE = 2
ASKED_AT_START = 5


class Peers(PeerSource, PeerCaches):
    """Client and server of the routers' copies, and of what they know of held parts.

    :param own: this router.
    :param seed_addresses: peer addresses from the settings, which may be stale.
    """

    def __init__(self, own: RouterEntry, seed_addresses: list[str], generator: random.Random) -> None:
        self._own = own
        self._own_address = own.address
        self.seed_addresses = seed_addresses
        self._generator = generator
        self._known: dict[str, RouterEntry] = {}
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self.follower: Follower | None = None
        self.find_parts: Callable[[], list[CachedPartLocation]] | None = None
        """Returns the parts to tell to a router that has just started."""

    async def start(self) -> None:
        """Listen for other routers."""
        connector = aiohttp.TCPConnector(socket_factory=create_socket)
        self._session = aiohttp.ClientSession(connector=connector)
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        host, _, port = self._own_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def add(self, name: str, router: RouterEntry) -> None:
        """Note a router that has registered in the store."""
        self._known[name] = router

    def remove(self, name: str) -> None:
        """Note that a router is gone."""
        self._known.pop(name, None)

    def count(self) -> int:
        """Number of routers, this one included."""
        return len(self.names())

    def others(self) -> list[RouterEntry]:
        """The other routers that have registered, each address once."""
        found = {router.address: router for router in self._known.values()}
        found.pop(self._own_address, None)
        return [found[address] for address in sorted(found)]

    def addresses(self) -> list[str]:
        """Peer addresses of the other routers, those of the settings when none has registered."""
        known = [router.address for router in self.others()]
        return known or sorted(set(self.seed_addresses) - {self._own_address})

    def relay(self) -> str | None:
        own = self._own
        near = [router for router in self._known.values() if router.data_centre == own.data_centre]
        addresses = sorted({router.address for router in near} | {own.address})
        watchers = rank(own.data_centre.encode(), addresses, WATCHERS)
        if own.address in watchers:
            return None
        # The others of a data centre are spread over its watchers.
        return rank(own.address.encode(), watchers, 1)[0]

    async def wait_peer(self, address: str, after: int, wait_s: float) -> Changes | None:
        return await self._ask(address, after, wait_s)

    async def read_peer(self, after: int) -> Changes | None:
        asked = self.addresses()
        self._generator.shuffle(asked)
        # A router that has just started has nothing newer with which to notice an old copy.
        at_once = ASKED_AT_ONCE if after else ASKED_AT_START
        answers = await asyncio.gather(*(self._ask(address, after) for address in asked[:at_once]))
        found = [answer for answer in answers if answer is not None]
        return max(found, key=lambda changes: changes.revision, default=None)

    def names(self) -> list[str]:
        return sorted({router.address for router in self._known.values()} | {self._own_address})

    def own_name(self) -> str:
        return self._own_address

    async def read_parts(self) -> list[CachedPartLocation]:
        asked = self.addresses()
        self._generator.shuffle(asked)
        answers = await asyncio.gather(
            *(self._get(address, PARTS_PATH) for address in asked[:ASKED_AT_ONCE])
        )
        copies = [_decode_parts(answer) for answer in answers if answer is not None]
        return max(copies, key=len, default=[])

    async def _ask(self, address: str, after: int, wait_s: float = 0.0) -> Changes | None:
        query = {"after": str(after)} | ({"wait": str(wait_s)} if wait_s else {})
        limit_s = wait_s + RELAY_SLACK_S if wait_s else TIMEOUT_S
        body = await self._get(address, COPY_PATH, limit_s, **query)
        if body is None:
            return None
        try:
            revision, rows, is_whole = msgpack.unpackb(body)
            return Changes([Item(*row) for row in rows], revision, is_whole)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log.warning(event("peer_unreadable", peer=address, reason=repr(error)))
            return None

    async def _get(
        self, address: str, path: str, limit_s: float = TIMEOUT_S, **params: str
    ) -> bytes | None:
        assert self._session is not None
        url = f"http://{address}{path}"
        limits = aiohttp.ClientTimeout(total=limit_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(url, params=params, timeout=limits) as response:
                return await response.read() if response.status == OK else None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.info(event("peer_silent", peer=address, reason=repr(error)))
            return None

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == COPY_PATH and self.follower is not None:
            after = int(request.query.get("after", "0"))
            changes: Changes | None
            if "wait" in request.query:
                changes = await self.follower.wait_changes(after, float(request.query["wait"]))
            else:
                changes = self.follower.changes_after(after)
            if changes is None:
                return web.Response(status=503)
            rows = [[item.key, item.value, item.revision] for item in changes.items]
            return web.Response(body=msgpack.packb([changes.revision, rows, changes.is_whole]))
        if request.path == PARTS_PATH and self.find_parts is not None:
            return web.Response(body=msgpack.packb(self.find_parts()[-MAX_PARTS_TOLD:]))
        return web.Response(status=404)


def _decode_parts(body: bytes) -> list[CachedPartLocation]:
    try:
        return [(str(salt), str(key), str(holder)) for salt, key, holder in msgpack.unpackb(body)]
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        log.warning(event("peer_unreadable", reason=repr(error)))
        return []
