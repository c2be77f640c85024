"""Shared parts of the stand-ins for outside systems.

A stand-in serves HTTP on loopback, takes faults at ``POST /control`` and reports counters at
``GET /control/counters``.
"""

import asyncio
import json
import socket
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import asdict, fields
from typing import Any, TypeVar

from aiohttp import web
from aiohttp.typedefs import Handler

from coltsfootfront.common import runtime

T = TypeVar("T")

MAX_BODY_BYTES = 64 * 1024 * 1024
_STOP_GRACE_S = 0.2
_LISTEN_BACKLOG = 1024


class RefusedError(Exception):
    """A request that the stand-in refuses before it runs.

    :param status: HTTP status code.
    :param kind: value of an error kind.
    """

    def __init__(self, status: int, kind: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.kind = kind


@web.middleware
async def _answer_refusals(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer refusals in the one JSON shape."""
    try:
        return await handler(request)
    except RefusedError as error:
        body = {"kind": error.kind, "message": str(error), "run": "not_run"}
        return web.json_response({"error": body}, status=error.status)
    except ConnectionError:
        # The client has left or a fault has cut the connection; nobody reads this answer.
        return web.Response()


async def json_object(request: web.Request) -> dict[str, Any]:
    """Read a body that must be a JSON object."""
    try:
        body = json.loads(await request.read())
    except ValueError as error:
        raise RefusedError(400, "bad_request", "body is not JSON") from error
    if not isinstance(body, dict):
        raise RefusedError(400, "bad_request", "body is not an object")
    return body


def update_faults(faults: T, values: Mapping[str, Any]) -> None:
    """Set the named fields of a dataclass instance.

    :raises RefusedError: for an unknown name or a value of another type.
    """
    kinds = {item.name: item.type for item in fields(faults)}  # type: ignore[arg-type]
    for name, value in values.items():
        kind = kinds.get(name)
        if kind is float and type(value) is int:
            value = float(value)
        if kind is None or type(value) is not kind:
            raise RefusedError(400, "bad_request", f"fault {name} = {value!r} is not known")
        setattr(faults, name, value)


class Server(ABC):
    """A stand-in that can be run as a program."""

    @abstractmethod
    async def start(self, address: str) -> str:
        """Start to listen and return the address in use."""

    @abstractmethod
    async def close(self) -> None:
        """Stop to listen."""


class StandIn(Server):
    """One HTTP server on loopback with fault switches.

    :param faults: dataclass instance whose fields ``POST /control`` sets.
    :param counters: dataclass instance that ``GET /control/counters`` shows.
    :param cancel_handlers: whether a handler ends when its client disconnects.
    """

    def __init__(self, faults: Any, counters: Any, cancel_handlers: bool = False) -> None:
        self._faults_table = faults
        self._counters_table = counters
        self._cancel_handlers = cancel_handlers
        self._runner: web.AppRunner | None = None
        self._site: web.SockSite | None = None
        self._reserved: socket.socket | None = None
        self._reopen: asyncio.Task[None] | None = None

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Routes beside those below ``/control``."""

    async def before_start(self) -> None:
        """Prepare before the socket opens."""

    async def after_close(self) -> None:
        """Release everything after the socket has closed."""

    def on_crash(self) -> None:
        """Lose what a crash loses."""

    async def start(self, address: str) -> str:
        """Open the socket.

        :param address: ``host:port``; port 0 takes a free one.
        :returns: the address in use.
        """
        await self.before_start()
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_answer_refusals])
        app.router.add_post("/control", self._handle_control)
        app.router.add_get("/control/counters", self._handle_counters)
        app.router.add_routes(self.routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=self._cancel_handlers,
            shutdown_timeout=_STOP_GRACE_S,
        )
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        self._reserved = _bound_socket((host, int(port)))
        await self._listen()
        bound = self._reserved.getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Close the socket and all connections."""
        if self._reopen is not None:
            self._reopen.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._reserved is not None:
            self._reserved.close()
        await self.after_close()

    async def crash(self, refuse_s: float, spare: asyncio.BaseProtocol | None = None) -> None:
        """Close all connections at once and refuse new ones for a time.

        :param refuse_s: seconds for which connections are refused.
        :param spare: protocol of the one connection that stays open.
        """
        assert self._runner is not None and self._runner.server is not None
        if self._site is not None:
            await self._site.stop()
            self._site = None
        for connection in list(self._runner.server.connections):
            if connection is not spare and connection.transport is not None:
                connection.transport.abort()
        self.on_crash()
        if self._reopen is not None:
            self._reopen.cancel()
        self._reopen = asyncio.create_task(self._listen_later(refuse_s))

    async def _listen_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._listen()

    async def _listen(self) -> None:
        # The reserved socket never listens. It keeps the port from being given to another
        # process while connections are refused.
        assert self._runner is not None and self._reserved is not None
        listener = _bound_socket(self._reserved.getsockname())
        self._site = web.SockSite(self._runner, listener, backlog=_LISTEN_BACKLOG)
        await self._site.start()

    async def control(self, values: dict[str, Any], spare: asyncio.BaseProtocol | None) -> None:
        """Switch faults.

        :param values: names of faults and their values.
        :param spare: protocol of the connection that carried the request.
        """
        crash = values.pop("crash", None)
        update_faults(self._faults_table, values)
        if crash is not None:
            await self.crash(float(crash.get("refuse_s", 0.0)), spare)

    async def _handle_control(self, request: web.Request) -> web.Response:
        await self.control(await json_object(request), request.protocol)
        response = web.json_response({})
        response.force_close()
        return response

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self._counters_table))


def _bound_socket(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(address)
    return bound


class StandInProgram(runtime.Program):
    """Runs one stand-in as a program and prints its address."""

    def __init__(self, stand_in: Server, address: str) -> None:
        self._stand_in = stand_in
        self._address = address

    async def start(self) -> None:
        address = await self._stand_in.start(self._address)
        print(json.dumps({"address": address}), flush=True)

    async def drain(self) -> None:
        """Stop at once; outside systems promise no graceful stop."""

    async def close(self) -> None:
        await self._stand_in.close()


def serve(stand_in: Server, name: str, address: str) -> None:
    """Run a stand-in until SIGTERM.

    :param name: name of the process for log lines.
    :param address: ``host:port`` to listen on.
    """
    runtime.serve(StandInProgram(stand_in, address), name, "warning")
