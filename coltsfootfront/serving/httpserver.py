"""HTTP server for callers: limits on connections, and errors in the one JSON shape."""

import asyncio
import json
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from coltsfootfront.calls.headers import REQUEST_ID_HEADER
from coltsfootfront.common import metrics
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.serving.responses import error_shape

# A connection without a complete request head is closed after this time; also the idle time
# of a kept connection, longer than the usual 60 s of a load balancer.
IDLE_TIMEOUT_S = 75.0
# A caller that is refused before its body was read may send it for this long.
LINGER_S = 2.0
MAX_HEADERS = 100

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def error_response(failure: Failure, request_id: str) -> web.Response:
    """Build the answer to a failed request."""
    headers = {REQUEST_ID_HEADER: request_id}
    if failure.effective_retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.effective_retry_after_s)))
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    status = failure.error_response.status
    return web.json_response(error_shape(failure, request_id), status=status, headers=headers)


class _CallerProtocol(web.RequestHandler):
    """One caller's connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        server = self._manager
        if not isinstance(server, CallerServer) or not isinstance(transport, asyncio.Transport):
            return
        if len(server.connections) > server.max_connections:
            metrics.CONNECTION_EVENTS.inc({"event": "caller_refused_limit"})
            transport.write(_too_many_connections())
            transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed, or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("part of the answer has been sent")
        kind = ErrorKind.INTERNAL if status >= 500 else ErrorKind.BAD_REQUEST
        metrics.count_refusal(kind.value)
        text = "internal error" if status >= 500 else "not a valid HTTP request"
        response = error_response(Failure(kind, text), "")
        response.force_close()
        return response


class CallerServer(web.Server):
    """Server of callers.

    :param handler: answers one request.
    :param max_connections: connections beyond this number are refused.
    :param max_header_bytes: largest header line.
    :param max_body_bytes: largest request body.
    """

    def __init__(
        self, handler: Handler, max_connections: int, max_header_bytes: int, max_body_bytes: int
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._build_request,
            handler_cancellation=True,
        )
        self.max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._options: dict[str, Any] = {
            "keepalive_timeout": IDLE_TIMEOUT_S,
            "lingering_time": LINGER_S,
            "max_line_size": max_header_bytes,
            "max_field_size": max_header_bytes,
            "max_headers": MAX_HEADERS,
            "access_log": None,
            # aiohttp logs parse errors at error level with a traceback; they are counted here.
            "logger": logging.getLogger("coltsfootfront.serving.callers"),
        }

    def __call__(self) -> web.RequestHandler:
        return _CallerProtocol(self, loop=asyncio.get_running_loop(), **self._options)

    def _build_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        limit = self._max_body_bytes
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=limit
        )


def _too_many_connections() -> bytes:
    failure = Failure(ErrorKind.OVERLOADED, "too many connections")
    body = json.dumps(error_shape(failure, "")).encode()
    head = (
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
