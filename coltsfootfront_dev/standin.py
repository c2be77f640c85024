"""Base classes of the stand-ins, which simulate the systems around the router.

A stand-in serves HTTP on loopback. ``POST /control`` injects faults, and
``GET /control/counters`` returns counters.
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
    """A request that the stand-in refuses without executing it.

    :param status: HTTP status code.
    :param kind: value of :class:`coltsfootfront.common.errors.ErrorKind`.
    """

    def __init__(self, status: int, kind: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.kind = kind


@web.middleware
async def _refusal_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn refusals into JSON error responses."""
    try:
        return await handler(request)
    except RefusedError as error:
        body = {"kind": error.kind, "message": str(error), "run": "not_run"}
        return web.json_response({"error": body}, status=error.status)
    except ConnectionError:
        # The connection is closed, so nothing of this response is sent.
        return web.Response()


async def json_object(request: web.Request) -> dict[str, Any]:
    """Read a request body that must be a JSON object."""
    try:
        body = json.loads(await request.read())
    except ValueError as error:
        raise RefusedError(400, "bad_request", "body is not JSON") from error
    if not isinstance(body, dict):
        raise RefusedError(400, "bad_request", "body is not an object")
    return body


def update_faults(faults: T, values: Mapping[str, Any]) -> None:
    """Set fields of a dataclass instance by name.

    :raises RefusedError: for an unknown name or a value of another type.
    """
    field_types = {item.name: item.type for item in fields(faults)}  # type: ignore[arg-type]
    for name, value in values.items():
        field_type = field_types.get(name)
        if field_type is float and type(value) is int:
            value = float(value)
        if field_type is None or type(value) is not field_type:
            raise RefusedError(400, "bad_request", f"fault {name} = {value!r} is not known")
        setattr(faults, name, value)


class Server(ABC):
    """A server that :func:`serve` can run as a program."""

    @abstractmethod
    async def start(self, address: str) -> str:
        """Start listening and return the bound address."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening."""


class StandIn(Server):
    """HTTP server on loopback with fault injection.

    :param faults: dataclass instance whose fields ``POST /control`` sets.
    :param counters: dataclass instance that ``GET /control/counters`` returns.
    :param cancel_handlers: whether a handler is cancelled when its client disconnects.
    """

    def __init__(self, faults: Any, counters: Any, cancel_handlers: bool = False) -> None:
        self._faults = faults
        self._counters = counters
        self._cancel_handlers = cancel_handlers
        self._runner: web.AppRunner | None = None
        self._site: web.SockSite | None = None
        self._port_reservation: socket.socket | None = None
        self._reopen_task: asyncio.Task[None] | None = None

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Return the routes in addition to those below ``/control``."""

    async def before_start(self) -> None:
        """Prepare resources before the server listens."""

    async def after_close(self) -> None:
        """Release resources after the server has closed."""

    def on_crash(self) -> None:
        """Discard the state that a crash loses."""

    async def start(self, address: str) -> str:
        """Start listening.

        :param address: ``host:port``; port 0 selects a free port.
        :returns: the bound address.
        """
        await self.before_start()
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_refusal_middleware])
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
        self._port_reservation = _bound_socket((host, int(port)))
        await self._listen()
        bound = self._port_reservation.getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._port_reservation is not None:
            self._port_reservation.close()
        await self.after_close()

    async def crash(self, refuse_s: float, excluded: asyncio.BaseProtocol | None = None) -> None:
        """Abort all connections and refuse new ones for a time.

        :param refuse_s: seconds for which connections are refused.
        :param excluded: protocol of a connection that stays open.
        """
        assert self._runner is not None and self._runner.server is not None
        if self._site is not None:
            await self._site.stop()
            self._site = None
        for connection in list(self._runner.server.connections):
            if connection is not excluded and connection.transport is not None:
                connection.transport.abort()
        self.on_crash()
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        self._reopen_task = asyncio.create_task(self._listen_later(refuse_s))

    async def _listen_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._listen()

    async def _listen(self) -> None:
        # The reservation never listens. While connections are refused, it keeps the kernel from
        # giving the port to another process.
        assert self._runner is not None and self._port_reservation is not None
        listener = _bound_socket(self._port_reservation.getsockname())
        self._site = web.SockSite(self._runner, listener, backlog=_LISTEN_BACKLOG)
        await self._site.start()

    async def control(self, values: dict[str, Any], excluded: asyncio.BaseProtocol | None) -> None:
        """Set faults, and crash if ``crash`` is among them.

        :param values: values by name of the fault.
        :param excluded: protocol of the connection that carried the request; a crash leaves it
            open.
        """
        crash = values.pop("crash", None)
        update_faults(self._faults, values)
        if crash is not None:
            await self.crash(float(crash.get("refuse_s", 0.0)), excluded)

    async def _handle_control(self, request: web.Request) -> web.Response:
        await self.control(await json_object(request), request.protocol)
        response = web.json_response({})
        response.force_close()
        return response

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self._counters))


def _bound_socket(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(address)
    return bound


class StandInProgram(runtime.Program):
    """Runs a stand-in as a program and prints the address that it listens on."""

    def __init__(self, stand_in: Server, address: str) -> None:
        self._stand_in = stand_in
        self._address = address

    async def start(self) -> None:
        address = await self._stand_in.start(self._address)
        print(json.dumps({"address": address}), flush=True)

    async def drain(self) -> None:
        """Return at once: the simulated systems guarantee no graceful shutdown."""

    async def close(self) -> None:
        await self._stand_in.close()


def serve(stand_in: Server, name: str, address: str) -> None:
    """Run a stand-in until SIGTERM.

    :param name: process name in log lines.
    :param address: ``host:port`` to listen on.
    """
    runtime.serve(StandInProgram(stand_in, address), name, "warning")
