"""HTTP server for the peer, metrics and readiness ports, whose connections are charged."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from coltsfootfront.memory.account import Account
from coltsfootfront.memory.connection import ChargedConnection

# Largest incomplete head; the heads of peers and of the platform's checks are below 1 kB.
MAX_HEAD_BYTES = 16_384

Handler = Callable[[Any], Awaitable[web.StreamResponse]]


class ChargedServer(web.Server):
    """HTTP server whose connections are charged to an account.

    :param handler: answers one request.
    """

    def __init__(self, handler: Handler, account: Account) -> None:
        super().__init__(self._serve)
        self._handler = handler
        self._account = account

    def __call__(self) -> web.RequestHandler:
        return ChargedConnection(
            self,
            self._account,
            MAX_HEAD_BYTES,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ChargedConnection)
        await connection.wait_until_read()
        if not connection.begin_request(0):
            return web.Response(status=503, headers={"Connection": "close"})
        try:
            return await self._handler(request)
        finally:
            connection.end_request()
