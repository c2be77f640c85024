"""HTTP server for the platform's callers."""

import asyncio
import contextlib
import logging
import math
import os
import sys
from collections.abc import Callable
from typing import Any

import logbook
from aiohttp import HttpVersion11, StreamReader, web
from aiohttp.http import StreamWriter
from aiohttp.web_protocol import ERROR, _ErrInfo

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import read_integer, read_seconds, read_text
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct.callerrequest import CallerRequest, PromptPart, ResponseWriter
from coltsfootfront.direct.node import CallerServer, Serve
from coltsfootfront.direct.routingconfig import CallerLimits
from coltsfootfront.direct.unreadresponses import UnreadResponses, limit_send_buffer
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import ACCEPTS_PER_ROUND, OWN_DESCRIPTORS, Budget
from coltsfootfront.memory.connection import (
    BODY_READ_BYTES,
    REQUEST_TIMEOUT_HEAD,
    ChargedConnection,
)
from coltsfootfront.memory.limits import LimitReport
from coltsfootfront.memory.server import set_backlog
from coltsfootfront.platform import headers

# For a request without a deadline header; the route's timeout bounds it further.
DEFAULT_DEADLINE_S = 600.0
# Time for which the rest of a body is read and discarded after an early error response.
UNREAD_BODY_LINGER_S = 2.0
MAX_HEADERS = 200
BAD_REQUEST = 400
SERVER_ERROR = 500
# Length of an error in the log; parse errors quote what the caller sent.
MAX_ERROR_CHARACTERS = 200

# Interval at which the progress of callers is checked.
SWEEP_INTERVAL_S = 0.5
# Allowance on the time for a head, for a busy router and for the link.
HEAD_GRACE_S = 1.0
# Time after which a refused caller may retry; about as long as a response takes.
RETRY_AFTER_S = 0.5
DESCRIPTORS_PATH = "/proc/self/fd"

NO_ROOM_MESSAGE = "other requests take up the memory"
BODY_TIME_MESSAGE = "the body has not arrived in time"

log = logbook.Logger(__name__)


class BrokenBodyError(ValueError):
    """The framing of a request's body cannot be parsed."""


class NoRoomError(Exception):
    """Other requests leave too little memory for one."""


class BodyTimeoutError(Exception):
    """A body has not arrived in time."""


class PlatformResponseWriter(ResponseWriter):
    """Writes the response to one request.

    :param should_close: returns whether the connection is closed after the response.
    """

    __slots__ = ("_must_close", "_request", "_response", "_should_close")

    def __init__(self, request: web.BaseRequest, should_close: Callable[[], bool]) -> None:
        self._request = request
        self._should_close = should_close
        self._must_close = False
        self._response: web.StreamResponse | None = None

    async def refuse(self, failure: Failure) -> None:
        response = web.Response(
            status=failure.error_response.status,
            text=f"{failure.kind.value}: {failure.message}\n",
        )
        response.headers[headers.REQUEST_ID] = self._request.headers.get(headers.REQUEST_ID, "")
        if failure.effective_retry_after_s is not None:
            response.headers[headers.RETRY_AFTER] = f"{failure.effective_retry_after_s:.2f}"
        await self._send_head(response)
        await response.write_eof()

    async def begin(
        self, status: int, fields: list[tuple[str, str]], length_bytes: int | None
    ) -> None:
        response = web.StreamResponse(status=status)
        for name, value in fields:
            response.headers.add(name, value)
        if length_bytes is not None:
            response.content_length = length_bytes
        else:
            response.enable_chunked_encoding()
        await self._send_head(response)

    async def write(self, data: bytes) -> None:
        assert self._response is not None
        if data:
            await self._response.write(data)

    def hold(self, size_bytes: int) -> None:
        connection = self._request.protocol
        if isinstance(connection, ChargedConnection):
            connection.hold(size_bytes)

    async def end(self) -> None:
        assert self._response is not None
        # Without waiting for the caller to read: a wait that is cut off would leave the response
        # without its end, or with a second one.
        body_writer = self._request.writer
        assert isinstance(body_writer, StreamWriter)
        body_writer.set_eof()
        await self._response.write_eof()

    def abort(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    async def fail(self, failure: Failure) -> None:
        """Answer a request that failed unexpectedly, and close its connection.

        A response that has begun is cut off: its framing may already be set, so that no other one
        may follow on the connection.
        """
        if self._response is not None:
            self.abort()
            return
        self._must_close = True
        await self.refuse(failure)

    @property
    def response(self) -> web.StreamResponse:
        """The response that was written.

        :raises ConnectionError: when there is none.
        """
        if self._response is None:
            raise ConnectionError("no response was written for the request")
        return self._response

    async def _send_head(self, response: web.StreamResponse) -> None:
        if self._must_close or self._should_close() or _asks_for_upgrade(self._request):
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class _CallerConnection(ChargedConnection):
    """Connection of one caller."""

    # The connection to the target.
    REQUEST_DESCRIPTORS = 1
    # The relay has the chunk that it has written, and its copy.
    UNREAD_FACTOR = 3
    # The reader of the connection to the target stops at twice as much, after one more read.
    UNREAD_BYTES = 3 * BODY_READ_BYTES

    body_timeout: ReadTimeout | None = None
    """Ends the wait for the rest of the body that is being received."""
    body_deadline_s = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        limit_send_buffer(transport)
        assert isinstance(transport, asyncio.Transport)
        # aiohttp gives up its own reference when it closes a connection, before the rest of a
        # response has been taken.
        self.caller_transport = transport
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        # A connection counts as active from a request's first byte, before its handler runs.
        server = self._manager
        if isinstance(server, PlatformCallerServer):
            server.on_data_received(self)
        super().data_received(data)
        self._end_broken_body()

    def _end_broken_body(self) -> None:
        """End the body that is being received, when its framing cannot be parsed.

        aiohttp's parser records the error for the next request only, and leaves the reader of the
        body waiting.
        """
        if not self._messages or not isinstance(self._messages[-1][0], _ErrInfo):
            return
        bodies = [body for _, body in self._messages]
        if self._current_request is not None:
            bodies.append(self._current_request.content)
        for body in bodies:
            if not body.is_eof():
                body.set_exception(BrokenBodyError("the body cannot be parsed"))
                body.feed_eof()

    def check_progress(self, now_s: float, header_s: float, idle_s: float) -> None:
        """End a request that does not arrive in time."""
        self.refresh()
        # A response that is being written is not cut off for the head behind it.
        if not self.is_serving and now_s - self.head_began_s > header_s:
            self.refuse_head(REQUEST_TIMEOUT_HEAD)
            self._account.count("head_time")
            return
        holder, timeout = self.holder, self.body_timeout
        if holder is None or timeout is None:
            return
        if now_s > self.body_deadline_s or now_s - holder.progress_s > idle_s:
            timeout.expire()
            self._account.count("body_time")

    def connection_lost(self, exc: BaseException | None) -> None:
        server = self._manager
        super().connection_lost(exc)
        if isinstance(server, PlatformCallerServer):
            server.on_connection_lost(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that could not be parsed."""
        if isinstance(exc, ConnectionError):
            raise exc
        _log_failure(request, exc)
        if request.writer.output_size > 0:
            raise ConnectionError("part of the response has already been sent")
        metrics.count_refusal(ErrorKind.INTERNAL.value if status >= SERVER_ERROR else "bad_request")
        response = web.Response(status=status, text="the request cannot be handled\n")
        response.force_close()
        return response


class PlatformCallerServer(web.Server, CallerServer):
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
        await self._supervisor.start()

    async def close(self) -> None:
        if self._sweep_handle is not None:
            self._sweep_handle.cancel()
        if self._server is not None:
            self._server.close()
        await self._supervisor.close()
        await self.shutdown(timeout=0.1)

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
        if was_paused:
            return
        limits = self._limits
        for connection in list(self.connections):
            assert isinstance(connection, _CallerConnection)
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
        """Mark a connection as active because data has arrived on it."""
        self._active_connections.add(protocol)

    def on_connection_lost(self, protocol: web.RequestHandler) -> None:
        """Remove a closed connection from the active ones."""
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
            if isinstance(protocol, _CallerConnection)
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
        return _CallerConnection(
            self,
            self.account,
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
        assert isinstance(connection, _CallerConnection)
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
        connection: _CallerConnection,
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
        connection: _CallerConnection,
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
            _log_failure(request, error)
            metrics.count_refusal(ErrorKind.INTERNAL.value)
            failure = Failure(ErrorKind.INTERNAL, "unexpected error", ExecutionState.UNKNOWN)
            await writer.fail(failure)
        return writer.response

    async def _read_body(
        self, request: web.BaseRequest, connection: _CallerConnection, received_s: float
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

    async def _receive_body(self, content: StreamReader, connection: _CallerConnection) -> bytes:
        body = bytearray()
        async for piece in content.iter_any():
            if connection.is_body_refused:
                raise NoRoomError
            body += piece
            if len(body) > self._limits.body_bytes:
                raise web.HTTPRequestEntityTooLarge(self._limits.body_bytes, len(body))
        return bytes(body)


def _asks_for_upgrade(request: web.BaseRequest) -> bool:
    """Whether aiohttp's parser may drop bytes that follow the request in the same read.

    The bytes after them would be taken for the beginning of the next request.
    """
    return request.method == "CONNECT" or "Upgrade" in request.headers


def _log_failure(request: web.BaseRequest, error: BaseException | None) -> None:
    log.warning(
        event(
            "caller_request_failed",
            id=request.headers.get(headers.REQUEST_ID),
            sent_bytes=request.writer.output_size,
            reason=repr(error)[:MAX_ERROR_CHARACTERS],
        )
    )


def parse_deadline_s(request: web.BaseRequest) -> float:
    """Time for which a caller waits.

    :raises ValueError: when it is malformed.
    """
    if headers.DEADLINE_MS not in request.headers:
        return DEFAULT_DEADLINE_S
    return read_seconds(float(request.headers[headers.DEADLINE_MS]) / 1000)


def decode_caller_request(
    request: web.BaseRequest, body: bytes, received_s: float
) -> CallerRequest:
    """Decode a caller's request.

    :raises ValueError: when the deadline, token usage, prompt parts or resume header is malformed.
    """
    request_headers = request.headers
    deadline_s = parse_deadline_s(request)
    prompt_tokens, output_tokens = _parse_token_usage(request_headers.get(headers.TOKEN_USAGE, ""))
    resume_after = request_headers.get(headers.RESUME_AFTER)
    authorization = request_headers.get(headers.AUTHORIZATION, "")
    has_token_scheme = authorization.lower().startswith(headers.AUTHORIZATION_SCHEME)
    return CallerRequest(
        request_id=request_headers.get(headers.REQUEST_ID, ""),
        host=request_headers.get("Host", ""),
        method=request.method,
        path=request.raw_path,
        headers=[
            (name, value)
            for name, value in request_headers.items()
            if name.lower() not in headers.NOT_FORWARDED
        ],
        body=body,
        received_s=received_s,
        deadline_s=received_s + deadline_s,
        api_key=(
            authorization[len(headers.AUTHORIZATION_SCHEME) :].strip() if has_token_scheme else ""
        ),
        model=request_headers.get(headers.MODEL, ""),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=_parse_prompt_parts(request_headers.get(headers.PROMPT_PARTS, "")),
        resume_after=read_integer(int(resume_after)) if resume_after else None,
        resumes=_parse_resumes(request_headers.getall(headers.RESUMES, [])),
    )


def _parse_resumes(values: list[str]) -> str:
    """Id of the one request that a caller names, empty if it names none or several."""
    return values[0].strip() if len(values) == 1 else ""


def _parse_token_usage(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return read_integer(int(prompt)), read_integer(int(output or 0))


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(",") if text else ():
        key, _, tokens = part.strip().partition(":")
        parts.append(PromptPart(read_text(key), read_integer(int(tokens))))
    return tuple(parts)
