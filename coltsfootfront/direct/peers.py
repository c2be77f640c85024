"""The other routers: who they are, and their copies of the store's keys."""

import asyncio
import random

import aiohttp
import logbook
import msgpack
from aiohttp import web

from coltsfootfront.common.logs import event
from coltsfootfront.direct.following import Changes, Follower, Item, PeerSource
from coltsfootfront.direct.sockets import connect_socket

log = logbook.Logger(__name__)

COPY_PATH = "/peer/copy"
# A peer answers from memory; one in the other region within 50 ms.
CONNECT_TIMEOUT_S = 0.3
TIMEOUT_S = 1.0
# Peers asked for their copy at once.
ASKED_AT_ONCE = 2
ASKED_AT_START = 5


class Peers(PeerSource):
    """Client and server of the routers' copies.

    :param own_address: peer address of this router.
    :param seed_addresses: peer addresses from the settings, which may be stale.
    """

    def __init__(
        self, own_address: str, seed_addresses: list[str], generator: random.Random
    ) -> None:
        self._own_address = own_address
        self.seed_addresses = seed_addresses
        self._generator = generator
        self._known: dict[str, str] = {}
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self.follower: Follower | None = None

    async def start(self) -> None:
        """Listen for other routers."""
        connector = aiohttp.TCPConnector(socket_factory=connect_socket)
        limits = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(connector=connector, timeout=limits)
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

    def add(self, name: str, address: str) -> None:
        """Note a router that has registered in the store."""
        self._known[name] = address

    def remove(self, name: str) -> None:
        """Note that a router is gone."""
        self._known.pop(name, None)

    def count(self) -> int:
        """Number of routers, this one included."""
        return len(set(self._known.values()) | {self._own_address})

    def addresses(self) -> list[str]:
        """Peer addresses of the other routers."""
        others = set(self._known.values()) or set(self.seed_addresses)
        return sorted(others - {self._own_address})

    async def read_peer(self, after: int) -> Changes | None:
        asked = self.addresses()
        self._generator.shuffle(asked)
        # A router that has just started has nothing newer with which to notice an old copy.
        at_once = ASKED_AT_ONCE if after else ASKED_AT_START
        answers = await asyncio.gather(*(self._ask(address, after) for address in asked[:at_once]))
        found = [answer for answer in answers if answer is not None]
        return max(found, key=lambda changes: changes.revision, default=None)

    async def _ask(self, address: str, after: int) -> Changes | None:
        assert self._session is not None
        url = f"http://{address}{COPY_PATH}"
        try:
            async with self._session.get(url, params={"after": str(after)}) as response:
                revision, rows, is_whole = msgpack.unpackb(await response.read())
                return Changes([Item(*row) for row in rows], revision, is_whole)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, TypeError) as error:
            log.info(event("peer_silent", peer=address, reason=repr(error)))
            return None

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if self.follower is None or request.path != COPY_PATH:
            return web.Response(status=404)
        after = int(request.query.get("after", "0"))
        changes = self.follower.changes_after(after)
        rows = [[item.key, item.value, item.revision] for item in changes.items]
        return web.Response(body=msgpack.packb([changes.revision, rows, changes.is_whole]))
