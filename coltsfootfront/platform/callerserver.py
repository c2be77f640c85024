"""Takes the requests of the platform's clients and writes their answers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import web

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.direct.callerrequest import CallerRequest, ResponseWriter, PromptPart
from coltsfootfront.direct.node import CallerServer, Serve
from coltsfootfront.direct.routingconfig import CallerLimits
from coltsfootfront.platform import headers

# A request without a deadline of its own is bounded by its route.
LONGEST_DEADLINE_S = 600.0
# A caller that is refused before its body was read may send it for this long.
LINGER_S = 2.0
MAX_HEADERS = 200
BACKLOG = 1024
BAD_REQUEST = 400
SERVER_ERROR = 500


class PlatformWriter(ResponseWriter):
    """Writes the answer to one request.

    :param closes: whether the connection is closed after the answer.
    """

    __slots__ = ("_closes", "_request", "_response")

    def __init__(self, request: web.BaseRequest, closes: Callable[[], bool]) -> None:
        self._request = request
        self._closes = closes
        self._response: web.StreamResponse | None = None

    async def refuse(self, failure: Failure) -> None:
        response = web.Response(
            status=failure.error_response.status,
            text=f"{failure.kind.value}: {failure.message}\n",
        )
        response.headers[headers.REQUEST_ID] = self._request.headers.get(headers.REQUEST_ID, "")
        if failure.effective_retry_after_s is not None:
            response.headers[headers.RETRY_AFTER] = f"{failure.effective_retry_after_s:.2f}"
        await self._prepare(response)
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
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        assert self._response is not None
        if data:
            await self._response.write(data)

    async def end(self) -> None:
        assert self._response is not None
        await self._response.write_eof()

    def abort(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    @property
    def response(self) -> web.StreamResponse:
        """The answer that was written."""
        if self._response is None:
            raise ConnectionError("the request got no answer")
        return self._response

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._closes():
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class _Protocol(web.RequestHandler):
    """One client's connection."""

    def data_received(self, data: bytes) -> None:
        # From its first byte on a request counts as under way, before its handler runs.
        front = self._manager
        if isinstance(front, CallerFront):
            front.note_data(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        front = self._manager
        super().connection_lost(exc)
        if isinstance(front, CallerFront):
            front.note_end(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed, or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("part of the answer has been sent")
        metrics.count_refusal(ErrorKind.INTERNAL.value if status >= SERVER_ERROR else "bad_request")
        response = web.Response(status=status, text="the request cannot be handled\n")
        response.force_close()
        return response


class CallerFront(web.Server, CallerServer):
    """Server of the platform's clients.

    :param serve: answers one request.
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
        self._busy: set[web.RequestHandler] = set()
        self.is_draining = False
        """Answers close their connections."""

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self, host, int(port), backlog=BACKLOG)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        await self.shutdown(timeout=0.1)

    def set_limits(self, limits: CallerLimits) -> None:
        self._limits = limits

    def note_data(self, protocol: web.RequestHandler) -> None:
        """Note that a client has sent something on a connection."""
        self._busy.add(protocol)

    def note_end(self, protocol: web.RequestHandler) -> None:
        """Note that a connection has ended."""
        self._busy.discard(protocol)

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def count_active(self) -> int:
        return len(self._busy)

    def close_idle(self) -> None:
        for protocol in list(self.connections):
            # The protocol's own close() leaves the transport of an idle connection open.
            if protocol not in self._busy and protocol.transport is not None:
                protocol.transport.close()

    def count_connections(self) -> int:
        return len(self.connections)

    def __call__(self) -> web.RequestHandler:
        options: dict[str, Any] = {
            "keepalive_timeout": self._limits.idle_s,
            "lingering_time": LINGER_S,
            "max_line_size": self._limits.header_bytes,
            "max_field_size": self._limits.header_bytes,
            "max_headers": MAX_HEADERS,
            "access_log": None,
            # Parse errors are counted here; aiohttp would log each with a traceback.
            "logger": logging.getLogger("coltsfootfront.callers"),
        }
        return _Protocol(self, loop=asyncio.get_running_loop(), **options)

    def _build_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        size = self._limits.body_bytes
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=size)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._answer(request)
        finally:
            self._busy.discard(request.protocol)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = self._clock.monotonic_s()
        writer = PlatformWriter(request, lambda: self.is_draining)
        try:
            body = await request.read()
            call = decode_call(request, body, received_s)
        except web.HTTPRequestEntityTooLarge:
            await writer.refuse(Failure(ErrorKind.BODY_TOO_LARGE, "the body is too large"))
            return writer.response
        except ValueError as error:
            await writer.refuse(Failure(ErrorKind.BAD_REQUEST, str(error)))
            return writer.response
        await self._serve(call, writer)
        return writer.response


def decode_call(request: web.BaseRequest, body: bytes, received_s: float) -> CallerRequest:
    """Decode a client's request.

    :raises ValueError: when a header that decides on the request is malformed.
    """
    found = request.headers
    deadline_s = LONGEST_DEADLINE_S
    if headers.DEADLINE_MS in found:
        deadline_s = float(found[headers.DEADLINE_MS]) / 1000
    prompt_tokens, output_tokens = _tokens(found.get(headers.TOKENS, ""))
    resume_after = found.get(headers.RESUME_AFTER)
    credential = found.get(headers.CREDENTIAL, "")
    is_token = credential.lower().startswith(headers.CREDENTIAL_SCHEME)
    return CallerRequest(
        request_id=found.get(headers.REQUEST_ID, ""),
        host=found.get("Host", ""),
        method=request.method,
        path=request.raw_path,
        headers=[
            (name, value)
            for name, value in found.items()
            if name.lower() not in headers.NOT_FORWARDED
        ],
        body=body,
        received_s=received_s,
        deadline_s=received_s + deadline_s,
        api_key=credential[len(headers.CREDENTIAL_SCHEME) :].strip() if is_token else "",
        model=found.get(headers.MODEL, ""),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=_parts(found.get(headers.PARTS, "")),
        resume_after=int(resume_after) if resume_after else None,
    )


def _tokens(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return int(prompt), int(output or 0)


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(",") if text else ():
        key, _, tokens = part.strip().partition(":")
        parts.append(PromptPart(key, int(tokens)))
    return tuple(parts)
