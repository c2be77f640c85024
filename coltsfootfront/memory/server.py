"""HTTP server for the peer, metrics and readiness ports, whose connections are charged."""

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import ACCEPTS_PER_ROUND
from coltsfootfront.memory.connection import ChargedConnection
from coltsfootfront.memory.parsepacer import ParsePacer

# Largest incomplete head; the heads of peers and of the platform's checks are below 1 kB.
MAX_HEAD_BYTES = 16_384
# Connections that wait in the kernel.
LISTEN_BACKLOG = 1024

Handler = Callable[[Any], Awaitable[web.StreamResponse]]


def set_backlog(listener: Any) -> None:
    """Let connections wait in the kernel, of which asyncio accepts a few in one round.

    asyncio has one number for both, and gets ACCEPTS_PER_ROUND when it begins to listen.
    """
    with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
        duplicate.listen(LISTEN_BACKLOG)


async def listen(runner: web.ServerRunner, address: str) -> None:
    """Listen with a runner that is set up."""
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=ACCEPTS_PER_ROUND)
    await site.start()
    server = site._server
    assert isinstance(server, asyncio.Server)
    for listener in server.sockets:
        set_backlog(listener)


class ChargedServer(web.Server):
    """HTTP server whose connections are charged to an account.

    :param handler: answers one request.
    """

    def __init__(self, handler: Handler, account: Account) -> None:
        super().__init__(self._serve)
        self._handler = handler
        self._account = account
        self._pacer = ParsePacer(account.clock)

    def __call__(self) -> web.RequestHandler:
        return ChargedConnection(
            self,
            self._account,
            self._pacer,
            MAX_HEAD_BYTES,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ChargedConnection)
        await connection.wait_until_read()
        try:
            if not connection.begin_request(0):
                return web.Response(status=503, headers={"Connection": "close"})
            return await self._handler(request)
        finally:
            connection.end_request()
