"""Writes responses to the platform's callers."""

from collections.abc import Callable

from aiohttp import web
from aiohttp.http import StreamWriter

from coltsfootfront.common.errors import Failure
from coltsfootfront.direct.callerrequest import ResponseWriter
from coltsfootfront.memory.connection import ChargedConnection
from coltsfootfront.platform import headers


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

    def hold(self, size_bytes: int) -> bool:
        connection = self._request.protocol
        return connection.hold(size_bytes) if isinstance(connection, ChargedConnection) else True

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


def _asks_for_upgrade(request: web.BaseRequest) -> bool:
    """Whether aiohttp's parser may drop bytes that follow the request in the same read.

    The bytes after them would be taken for the beginning of the next request.
    """
    return request.method == "CONNECT" or "Upgrade" in request.headers
