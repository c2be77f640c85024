"""HTTP server for the platform's callers."""

import asyncio
import contextlib
import logging
import math
import os
import sys
from typing import Any

import logbook
from aiohttp import HttpVersion11, StreamReader, web
from aiohttp.web_protocol import ERROR

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct.node import CallerServer, Serve
from coltsfootfront.direct.routingconfig import CallerLimits
from coltsfootfront.direct.unreadresponses import UnreadResponses
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import ACCEPTS_PER_ROUND, OWN_DESCRIPTORS, Budget
from coltsfootfront.memory.limits import LimitReport
from coltsfootfront.memory.parsepacer import ParsePacer
from coltsfootfront.memory.server import set_backlog
from coltsfootfront.platform import headers
from coltsfootfront.platform.callerconnection import (
    BrokenBodyError,
    CallerConnection,
    ConnectionObserver,
    log_failure,
)
from coltsfootfront.platform.requestdecoder import (
    DEFAULT_DEADLINE_S,
    decode_caller_request,
    parse_deadline_s,
)
from coltsfootfront.platform.responsewriter import PlatformResponseWriter

# Time for which the rest of a body is read and discarded after an early error response.
UNREAD_BODY_LINGER_S = 2.0
MAX_HEADERS = 200

# Interval at which the progress of callers is checked.
SWEEP_INTERVAL_S = 0.5
# Interval at which the resident memory of the process is read.
MEASURE_INTERVAL_S = 0.05
# Allowance on the time for a head, for a busy router and for the link.
HEAD_GRACE_S = 1.0
# Time after which a refused caller may retry; about as long as a response takes.
RETRY_AFTER_S = 0.5
DESCRIPTORS_PATH = "/proc/self/fd"

NO_ROOM_MESSAGE = "other requests take up the memory"
BODY_TIME_MESSAGE = "the body has not arrived in time"

log = logbook.Logger(__name__)


class NoRoomError(Exception):
    """Other requests leave too little memory for one."""


class BodyTimeoutError(Exception):
    """A body has not arrived in time."""


class PlatformCallerServer(web.Server, CallerServer, ConnectionObserver):
    """HTTP server for the platform's callers.

    :param serve: handles one decoded request.
    :param clock: time source.
    """

    def __init__(self, serve: Serve, clock: Clock) -> None:
        super().__init__(
            self._handle, request_factory=self._build_request, handler_cancellation=True
        )
        self._serve = serve
        self._clock = clock
        self._limits = CallerLimits()
        self._server: asyncio.Server | None = None
        self._active_connections: set[web.RequestHandler] = set()
        self.is_draining = False
        """Whether responses close their connections."""
        self.unread_responses = UnreadResponses(
            clock, self._list_transports, lambda: self._limits.idle_s
        )
        self._supervisor = Supervisor("callers", clock)
        unlimited = Budget(sys.maxsize, sys.maxsize)
        self.account = Account(unlimited, clock, LimitReport("callers", clock).count)
        self._pacer = ParsePacer(clock)
        self._sweep_handle: asyncio.TimerHandle | None = None
        self._swept_s = math.inf
        self._other_descriptors = 0
        self._has_count_failed = False

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        backlog = ACCEPTS_PER_ROUND
        self._server = await loop.create_server(self, host, int(port), backlog=backlog)
        for listener in self._server.sockets:
            set_backlog(listener)
        self._sweep()
        self._supervisor.add("unread_responses", self.unread_responses.run)
        self._supervisor.add("memory", self._measure)
        await self._supervisor.start()

    async def close(self) -> None:
        if self._sweep_handle is not None:
            self._sweep_handle.cancel()
        if self._server is not None:
            self._server.close()
        await self._supervisor.close()
        await self.shutdown(timeout=0.1)
        self._pacer.close()

    async def _measure(self) -> None:
        """Compare what is charged with the resident memory, also while nothing arrives."""
        while True:
            await self._clock.sleep(MEASURE_INTERVAL_S)
            self.account.measure()

    def _sweep(self) -> None:
        """Check the progress of all connections, and count the descriptors of others."""
        self._sweep_handle = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now_s = self._clock.monotonic_s()
        # After a pause of the process, what has arrived meanwhile is read first.
        was_paused = now_s - self._swept_s > 2 * SWEEP_INTERVAL_S
        self._swept_s = now_s
        self._other_descriptors = self._count_other_descriptors()
        self.account.set_other_descriptors(self._other_descriptors)
        metrics.CALLER_MEMORY_BYTES.set({}, self.account.held_bytes)
        metrics.CALLER_MEMORY_BOUND_BYTES.set({}, self.account.bound_bytes)
        if was_paused:
            return
        limits = self._limits
        for connection in list(self.connections):
            assert isinstance(connection, CallerConnection)
            connection.check_progress(now_s, limits.header_s + HEAD_GRACE_S, limits.idle_s)

    def _count_other_descriptors(self) -> int:
        """Descriptors beyond those of callers, their requests and those kept for the router."""
        try:
            count = len(os.listdir(DESCRIPTORS_PATH))
        except OSError as error:
            # Counting needs a descriptor itself, so it fails when all are taken.
            if not self._has_count_failed:
                log.warning(event("descriptors_not_counted", reason=str(error)))
            self._has_count_failed = True
            return self._other_descriptors
        self._has_count_failed = False
        return max(0, count - self.account.descriptors - OWN_DESCRIPTORS)

    def set_limits(self, limits: CallerLimits) -> None:
        self._limits = limits

    def on_data_received(self, protocol: web.RequestHandler) -> None:
        self._active_connections.add(protocol)

    def on_connection_lost(self, protocol: web.RequestHandler) -> None:
        self._active_connections.discard(protocol)

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def count_active(self) -> int:
        return len(self._active_connections)

    def close_idle(self) -> None:
        for protocol in list(self.connections):
            # RequestHandler.close() would leave the transport of an idle connection open.
            if protocol not in self._active_connections and protocol.transport is not None:
                protocol.transport.close()

    def _list_transports(self) -> list[asyncio.Transport]:
        return [
            protocol.caller_transport
            for protocol in self.connections
            if isinstance(protocol, CallerConnection)
        ]

    def count_connections(self) -> int:
        return len(self.connections)

    def __call__(self) -> web.RequestHandler:
        options: dict[str, Any] = {
            "keepalive_timeout": self._limits.idle_s,
            "lingering_time": UNREAD_BODY_LINGER_S,
            "max_line_size": self._limits.header_bytes,
            "max_field_size": self._limits.header_bytes,
            "max_headers": MAX_HEADERS,
            "access_log": None,
            # Bodies are forwarded as they were sent.
            "auto_decompress": False,
            # Parse errors are counted as refusals; aiohttp would also log each with a traceback.
            "logger": logging.getLogger("coltsfootfront.callers"),
        }
        return CallerConnection(
            self,
            self,
            self.account,
            self._pacer,
            self._limits.header_bytes,
            loop=asyncio.get_running_loop(),
            **options,
        )

    def _build_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        if message is ERROR:
            # aiohttp would answer a request that cannot be parsed in the version 1.0.
            message = message._replace(version=HttpVersion11)
        size = self._limits.body_bytes
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=size)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # A pipelined request has arrived before the end of the one before it.
        self._active_connections.add(request.protocol)
        try:
            return await self._serve_request(request)
        finally:
            self._active_connections.discard(request.protocol)

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = self._clock.monotonic_s()
        writer = PlatformResponseWriter(request, lambda: self.is_draining)
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        if connection.writing_paused:
            await connection.wait_until_read()
        declared_bytes = request.content_length
        if declared_bytes is not None:
            declared_bytes = min(declared_bytes, self._limits.body_bytes)
        customer = request.headers.get(headers.AUTHORIZATION, "")
        try:
            if not connection.begin_request(declared_bytes, customer):
                return await self._refuse_for_room(connection, request, writer)
            return await self._serve_within(connection, request, writer, received_s)
        finally:
            connection.end_request()

    async def _refuse_for_room(
        self,
        connection: CallerConnection,
        request: web.BaseRequest,
        writer: PlatformResponseWriter,
    ) -> web.StreamResponse:
        metrics.count_refusal(ErrorKind.OVERLOADED.value)
        failure = Failure(ErrorKind.OVERLOADED, NO_ROOM_MESSAGE, retry_after_s=RETRY_AFTER_S)
        if request.content.is_eof():
            await writer.refuse(failure)
        else:
            # The rest of the body is not read, so no other request may follow on the connection.
            connection.discard_body()
            await writer.fail(failure)
        return writer.response

    async def _serve_within(
        self,
        connection: CallerConnection,
        request: web.BaseRequest,
        writer: PlatformResponseWriter,
        received_s: float,
    ) -> web.StreamResponse:
        try:
            body = await self._read_body(request, connection, received_s)
            caller_request = decode_caller_request(request, body, received_s)
        except NoRoomError:
            return await self._refuse_for_room(connection, request, writer)
        except BodyTimeoutError as error:
            metrics.count_refusal(ErrorKind.REQUEST_TIMEOUT.value)
            connection.discard_body()
            await writer.fail(Failure(ErrorKind.REQUEST_TIMEOUT, str(error)))
            return writer.response
        except web.HTTPRequestEntityTooLarge:
            await writer.refuse(Failure(ErrorKind.BODY_TOO_LARGE, "the body is too large"))
            return writer.response
        except BrokenBodyError as error:
            await writer.fail(Failure(ErrorKind.BAD_REQUEST, str(error)))
            return writer.response
        except ValueError as error:
            await writer.refuse(Failure(ErrorKind.BAD_REQUEST, str(error)))
            return writer.response
        try:
            await self._serve(caller_request, writer)
        except ConnectionError:
            raise
        except Exception as error:
            log_failure(request, error)
            metrics.count_refusal(ErrorKind.INTERNAL.value)
            failure = Failure(ErrorKind.INTERNAL, "unexpected error", ExecutionState.UNKNOWN)
            await writer.fail(failure)
        return writer.response

    async def _read_body(
        self, request: web.BaseRequest, connection: CallerConnection, received_s: float
    ) -> bytes:
        """Read a body within the memory that is left for it.

        :param received_s: monotonic time at which the request head was read.
        :raises NoRoomError: if there is too little.
        :raises BodyTimeoutError: if it does not arrive in time.
        :raises web.HTTPRequestEntityTooLarge: if it is longer than the limit.
        """
        content = request.content
        if content.is_eof():
            body = content.read_nowait()
            if len(body) > self._limits.body_bytes:
                raise web.HTTPRequestEntityTooLarge(self._limits.body_bytes, len(body))
            return body
        timeout = ReadTimeout(None)
        connection.body_deadline_s = received_s + DEFAULT_DEADLINE_S
        # A malformed deadline is refused once the body is complete.
        with contextlib.suppress(ValueError):
            connection.body_deadline_s = received_s + parse_deadline_s(request)
        try:
            async with timeout:
                connection.body_timeout = timeout
                return await self._receive_body(content, connection)
        except TimeoutError:
            if not timeout.expired():
                raise
            raise BodyTimeoutError(BODY_TIME_MESSAGE) from None
        finally:
            connection.body_timeout = None
            connection.record_body_end()

    async def _receive_body(self, content: StreamReader, connection: CallerConnection) -> bytes:
        body = bytearray()
        async for piece in content.iter_any():
            if connection.is_body_refused:
                raise NoRoomError
            body += piece
            if len(body) > self._limits.body_bytes:
                raise web.HTTPRequestEntityTooLarge(self._limits.body_bytes, len(body))
        return bytes(body)
