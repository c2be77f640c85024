"""Response writers: buffered, as server-sent events, and passed through from a service."""

import asyncio
import socket
import struct
from collections.abc import Iterable

import logbook
from aiohttp import web
from multidict import CIMultiDict

from coltsfootfront.calls.headers import HOP_BY_HOP, REQUEST_ID_HEADER, is_valid_header
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.peers.messages import Head
from coltsfootfront.serving.responses import (
    CallerDisconnectedError,
    ModelResponseFormat,
    ResponseSummary,
    ResponseWriter,
    error_event,
)

log = logbook.Logger(__name__)

# Hop-by-hop headers, and headers that each request or response sets anew.
_REPLACED_HEADERS = HOP_BY_HOP | {"content-length", REQUEST_ID_HEADER.lower()}
# Meant for the router only; a service must not see the caller's key.
_ROUTER_ONLY_HEADERS = frozenset({"authorization", "expect", "host"})

# Statuses whose responses end with their head, as those to HEAD do (RFC 9110, section 6.4.1).
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
# SO_LINGER value that discards unsent data and resets the connection on close.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> list[list[str]]:
    """Headers of a caller's request that are forwarded to a plain service."""
    dropped = _REPLACED_HEADERS | _ROUTER_ONLY_HEADERS
    return [[name, value] for name, value in headers if name.lower() not in dropped]


class BufferedResponseWriter(ResponseWriter):
    """Buffers the response until it is complete."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    async def start(self, head: Head) -> None:
        return None

    async def write(self, data: bytes) -> None:
        self._parts.append(data)

    @property
    def text(self) -> str:
        """Response text received so far."""
        return b"".join(self._parts).decode()


class _StreamingResponseWriter(ResponseWriter):
    """Writes the response to the caller while it arrives.

    :param request: the caller's request.
    :param request_id: identifier sent in the response headers.
    :param write_timeout_s: time after which a caller that does not read counts as disconnected.
    """

    def __init__(self, request: web.BaseRequest, request_id: str, write_timeout_s: float) -> None:
        self._request = request
        self._request_id = request_id
        self._write_timeout_s = write_timeout_s
        self.response: web.StreamResponse | None = None

    async def _prepare(self, response: web.StreamResponse) -> None:
        response.headers[REQUEST_ID_HEADER] = self._request_id
        try:
            await response.prepare(self._request)
        except ConnectionError as error:
            raise CallerDisconnectedError("caller closed the connection") from error
        except Exception as error:
            # Logged here, since closing the connection may cancel the task. An error response
            # would be written with the framing that is set for this response already.
            log.error(event("head_failed", request_id=self._request_id, reason=repr(error)))
            self.abort()
            raise
        self.response = response

    async def write(self, data: bytes) -> None:
        response = self.response
        assert response is not None
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await response.write(data)
        except ConnectionError as error:
            raise CallerDisconnectedError("caller closed the connection") from error
        except TimeoutError as error:
            raise CallerDisconnectedError("caller does not read the response") from error

    def abort_if_started(self) -> None:
        """Abort a response that is partly written."""
        if self.response is not None:
            self.abort()

    def abort(self) -> None:
        """Close without the final HTTP chunk, so that the caller detects a truncated response."""
        transport = self._request.transport
        if transport is not None:
            transport.close()


class SseResponseWriter(_StreamingResponseWriter):
    """Streams a model's response as server-sent events.

    :param response_format: builds the events.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        write_timeout_s: float,
        response_format: ModelResponseFormat,
    ) -> None:
        super().__init__(request, request_id, write_timeout_s)
        self._format = response_format

    async def start(self, head: Head) -> None:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        await self._prepare(web.StreamResponse(headers=headers))
        first_event = self._format.first_event()
        if first_event:
            await super().write(first_event)

    async def write(self, data: bytes) -> None:
        await super().write(self._format.text_event(data.decode()))

    async def finish(self, summary: ResponseSummary, include_usage: bool) -> None:
        """End a complete stream."""
        await super().write(self._format.final_events(summary, include_usage))

    async def fail(self, failure: Failure) -> None:
        """End an incomplete stream with an error event and without ``[DONE]``."""
        await super().write(error_event(failure, self._request_id))
        self.abort()


class ServiceResponseWriter(_StreamingResponseWriter):
    """Passes through the response of a plain service."""

    def __init__(self, request: web.BaseRequest, request_id: str, write_timeout_s: float) -> None:
        super().__init__(request, request_id, write_timeout_s)
        self._content_length: int | None = None
        self._has_body = request.method != "HEAD"
        self._written_bytes = 0

    async def start(self, head: Head) -> None:
        headers: CIMultiDict[str] = CIMultiDict()
        for pair in head.headers:
            self._add_header(headers, pair)
        status = head.status if 200 <= head.status <= 599 else 502
        self._has_body = self._has_body and status not in _STATUSES_WITHOUT_BODY
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = self._content_length
        await self._prepare(response)

    def _add_header(self, headers: CIMultiDict[str], pair: object) -> None:
        if not isinstance(pair, list) or len(pair) != 2:
            return
        name, value = str(pair[0]), str(pair[1])
        if name.lower() == "content-length" and value.isdecimal():
            self._content_length = int(value)
        elif not is_valid_header(name, value):
            log.warning(
                event("response_header_invalid", request_id=self._request_id, name=repr(name[:40]))
            )
        elif name.lower() not in _REPLACED_HEADERS:
            headers.add(name, value)

    async def write(self, data: bytes) -> None:
        if not data:
            # An empty HTTP chunk terminates a chunked body.
            return
        if not self._has_body:
            # The caller would read the data as the beginning of its next response.
            message = "the service sent a body where none is allowed"
            raise FailureError(Failure(ErrorKind.TARGET_FAILED, message, ExecutionState.UNKNOWN))
        self._written_bytes += len(data)
        await super().write(data)

    def abort(self) -> None:
        """Reset the connection; a normal close completes an HTTP/1.0 body without a length."""
        transport = self._request.transport
        if transport is None:
            return
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        transport.abort()

    def finish(self) -> None:
        """Reset the connection if the body is shorter than its ``Content-Length``."""
        is_short = self._content_length is not None and self._written_bytes != self._content_length
        if is_short and self._has_body:
            self.abort()
