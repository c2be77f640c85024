"""The three ways in which an answer reaches its caller over HTTP."""

import asyncio
import socket
import struct
from collections.abc import Iterable

from aiohttp import web
from multidict import CIMultiDict

from coltsfootfront.calls.headers import HOP_BY_HOP, REQUEST_ID_HEADER
from coltsfootfront.common.errors import Failure
from coltsfootfront.peers.messages import Head
from coltsfootfront.serving.responses import (
    Caller,
    CallerGoneError,
    Completion,
    ModelFormat,
    error_event,
)

# Headers of one connection, and those that a new request or answer sets itself.
_OWN_HEADERS = HOP_BY_HOP | {"content-length", REQUEST_ID_HEADER.lower()}
# The caller's key is for this system, not for the service behind it.
_PRIVATE_HEADERS = frozenset({"authorization", "expect", "host"})

# Value of SO_LINGER that drops unsent data and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> list[list[str]]:
    """Headers of a caller's request that a plain service gets."""
    dropped = _OWN_HEADERS | _PRIVATE_HEADERS
    return [[name, value] for name, value in headers if name.lower() not in dropped]


class CollectCaller(Caller):
    """Keeps the answer until it is complete."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    async def start(self, head: Head) -> None:
        return None

    async def write(self, data: bytes) -> None:
        self._parts.append(data)

    @property
    def text(self) -> str:
        """The answer so far."""
        return b"".join(self._parts).decode()


class _StreamCaller(Caller):
    """Writes the answer to the caller while it arrives.

    :param request: the caller's request.
    :param request_id: identifier that the answer carries.
    :param write_timeout_s: limit for a caller that reads nothing.
    """

    def __init__(self, request: web.BaseRequest, request_id: str, write_timeout_s: float) -> None:
        self._request = request
        self._request_id = request_id
        self._write_timeout_s = write_timeout_s
        self.response: web.StreamResponse | None = None

    async def _open(self, response: web.StreamResponse) -> None:
        response.headers[REQUEST_ID_HEADER] = self._request_id
        try:
            await response.prepare(self._request)
        except ConnectionError as error:
            raise CallerGoneError("caller closed the connection") from error
        self.response = response

    async def write(self, data: bytes) -> None:
        response = self.response
        assert response is not None
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await response.write(data)
        except ConnectionError as error:
            raise CallerGoneError("caller closed the connection") from error
        except TimeoutError as error:
            raise CallerGoneError("caller reads nothing") from error

    def cut_if_started(self) -> None:
        """Cut an answer of which a part has been written."""
        if self.response is not None:
            self.cut()

    def cut(self) -> None:
        """Close the connection without a final chunk, so that the end is not taken as clean."""
        transport = self._request.transport
        if transport is not None:
            transport.close()


class EventCaller(_StreamCaller):
    """Streams a model's answer as server-sent events.

    :param model_format: shapes of the events.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        write_timeout_s: float,
        model_format: ModelFormat,
    ) -> None:
        super().__init__(request, request_id, write_timeout_s)
        self._format = model_format

    async def start(self, head: Head) -> None:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        await self._open(web.StreamResponse(headers=headers))
        opening = self._format.opening()
        if opening:
            await super().write(opening)

    async def write(self, data: bytes) -> None:
        await super().write(self._format.piece(data.decode()))

    async def finish(self, completion: Completion, include_usage: bool) -> None:
        """End a complete stream."""
        await super().write(self._format.closing(completion, include_usage))

    async def fail(self, failure: Failure) -> None:
        """End an incomplete stream with an error event and no end mark."""
        await super().write(error_event(failure, self._request_id))
        self.cut()


class RawCaller(_StreamCaller):
    """Passes on the answer of a plain service."""

    def __init__(self, request: web.BaseRequest, request_id: str, write_timeout_s: float) -> None:
        super().__init__(request, request_id, write_timeout_s)
        self._length: int | None = None
        self._written = 0

    async def start(self, head: Head) -> None:
        headers: CIMultiDict[str] = CIMultiDict()
        for pair in head.headers:
            self._add_header(headers, pair)
        status = head.status if 200 <= head.status <= 599 else 502
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = self._length
        await self._open(response)

    def _add_header(self, headers: CIMultiDict[str], pair: object) -> None:
        if not isinstance(pair, list) or len(pair) != 2:
            return
        name, value = str(pair[0]), str(pair[1])
        if name.lower() == "content-length" and value.isdecimal():
            self._length = int(value)
        elif name.lower() not in _OWN_HEADERS and not {"\r", "\n", "\0"} & set(name + value):
            headers.add(name, value)

    async def write(self, data: bytes) -> None:
        if data:
            # An empty chunk would be the end mark of the body.
            self._written += len(data)
            await super().write(data)

    def cut(self) -> None:
        """Reset the connection; its plain end would complete an HTTP/1.0 body without a length."""
        transport = self._request.transport
        if transport is None:
            return
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        transport.abort()

    def finish(self) -> None:
        """Cut the connection when the body is shorter than its announced length."""
        is_short = self._length is not None and self._written != self._length
        if is_short and self._request.method != "HEAD":
            self.cut()
