"""Gives requests to the platform's targets over HTTP."""

import math
from collections.abc import AsyncIterator

import aiohttp
import logbook
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from coltsfootfront.common.logs import event
from coltsfootfront.direct.responselimits import use_bounded_handler
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.sockets import create_socket
from coltsfootfront.direct.targetclient import Directive, ExchangeFailure, TargetResponse, TargetClient, ExchangeError
from coltsfootfront.platform import headers

# A connection to a target in the other region opens within 50 ms.
CONNECT_TIMEOUT_S = 0.3
# Idle connections that targets have not closed yet.
KEEPALIVE_S = 4.0
# A request that may run once goes out on a connection that was used this recently, or a new one:
# a connection that its target has closed meanwhile would leave its outcome unknown.
ONCE_KEEPALIVE_S = 1.0
MAX_HEADER_BYTES = 65536
# Added unasked by the client; an encoding that the caller did not ask for would reach it.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
OK = 200
UNAVAILABLE = 503
REDIRECTION = 300
MISDIRECTED = 421
# A longer pause than this is taken for a fault of the target.
MAX_PAUSE_S = 60.0
MAX_REASON_CHARACTERS = 120

log = logbook.Logger(__name__)


class _Response(aiohttp.ClientResponse):
    """Response that remembers its connection after the end of the body."""

    stream: ResponseHandler | None = None

    async def start(self, connection: Connection) -> "_Response":
        self.stream = connection.protocol
        await super().start(connection)
        return self


class PlatformReply(TargetResponse):
    """Answer of a target."""

    __slots__ = (
        "_response",
        "headers",
        "is_draining",
        "is_not_executed",
        "is_other_target",
        "is_other_version",
        "length_bytes",
        "load",
        "retry_after_s",
        "status",
        "version",
    )

    def __init__(self, response: _Response, target: Target) -> None:
        found = response.headers
        self._response = response
        self.status = response.status
        self.headers = [
            (name, value)
            for name, value in found.items()
            if name.lower() not in headers.NOT_RETURNED
        ]
        self.length_bytes = response.content_length
        self.is_not_executed = headers.NOT_RUN in found or self.status == MISDIRECTED
        answered_by = found.get(headers.TARGET, target.name)
        self.is_other_target = self.status == MISDIRECTED and answered_by != target.name
        self.is_other_version = self.status == MISDIRECTED and answered_by == target.name
        self.version = _number(found.get(headers.VERSION, ""))
        self.load = _load(found.get(headers.LOAD, ""))
        self.is_draining = headers.LEAVING in found
        self.retry_after_s = _pause_s(target, self.status, found.get(headers.RETRY_AFTER))

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._response.content.iter_any():
                yield piece
        except (aiohttp.ClientError, OSError) as error:
            raise ExchangeError(
                ExchangeFailure.INVALID_RESPONSE, f"the answer broke off: {_text(error)}"
            ) from error
        stream = self._response.stream
        failure = stream.exception() if stream is not None else None
        # A body without a length ends with its connection, which must not have been reset.
        if self.length_bytes is None and isinstance(failure, aiohttp.ClientOSError):
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, f"the answer was reset: {_text(failure)}")

    def close(self) -> None:
        self._response.close()


class PlatformTargetClient(TargetClient):
    """Client of all targets; keeps connections open between requests."""

    def __init__(self) -> None:
        self._repeatable: aiohttp.ClientSession | None = None
        self._once: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._repeatable = _session(KEEPALIVE_S)
        self._once = _session(ONCE_KEEPALIVE_S)

    async def close(self) -> None:
        for session in (self._repeatable, self._once):
            if session is not None:
                await session.close()
        self._repeatable = self._once = None

    async def send(self, target: Target, request: CallerRequest, directive: Directive) -> TargetResponse:
        session = self._repeatable if request.method == "GET" or request.parts else self._once
        if session is None:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "the client is not started")
        url = URL(f"http://{target.entry.address}{request.path}", encoded=True)
        try:
            response = await session.request(
                request.method,
                url,
                data=request.body or None,
                headers=_request_headers(target, request, directive),
                skip_auto_headers=AUTO_HEADERS,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ExchangeError(ExchangeFailure.NOT_SENT, f"no connection: {_text(error)}") from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise ExchangeError(ExchangeFailure.NO_RESPONSE, f"no answer: {_text(error)}") from error
        try:
            _check(response, request)
        except ExchangeError:
            response.close()
            raise
        assert isinstance(response, _Response)
        reply = PlatformReply(response, target)
        if reply.is_not_executed and session is self._once and response.stream is not None:
            # The request may come here again; a late copy of this answer must not meet it.
            response.stream.close()
        return reply


def _session(keepalive_s: float) -> aiohttp.ClientSession:
    connector = use_bounded_handler(
        aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=keepalive_s,
            socket_factory=create_socket,
            use_dns_cache=False,
        )
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        response_class=_Response,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    # The session would send a GET again by itself on a new connection; the router alone decides
    # what is repeated. aiohttp's own test client switches it off in the same way.
    session._retry_connection = False
    return session


def _request_headers(target: Target, call: CallerRequest, directive: Directive) -> list[tuple[str, str]]:
    result = [("Host", call.host), *call.headers]
    result.append((headers.EXPECTED_TARGET, target.name))
    result.append((headers.DEADLINE_MS, str(max(1, int(directive.deadline_s * 1000)))))
    if directive.customer:
        result.append((headers.CUSTOMER, directive.customer))
    if directive.priority is not None:
        result.append((headers.PRIORITY, str(directive.priority)))
    if directive.version is not None:
        result.append((headers.EXPECTED_VERSION, str(directive.version)))
    if directive.salt:
        result.append((headers.SALT, directive.salt))
    if directive.fetch_from:
        result.append((headers.FETCH_FROM, directive.fetch_from))
    if directive.save_to:
        result.append((headers.SAVE_TO, directive.save_to))
    if directive.resume_after is not None:
        result.append((headers.RESUME_AFTER, str(directive.resume_after)))
    return result


def _check(response: aiohttp.ClientResponse, call: CallerRequest) -> None:
    """Check that an answer belongs to the request and is the target's own."""
    found = response.headers
    answered = found.get(headers.REQUEST_ID)
    if answered != call.request_id:
        raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, f"the answer belongs to request {answered}")
    if response.status < OK:
        raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, f"a final answer with status {response.status}")
    if OK <= response.status < REDIRECTION and headers.SIGNATURE not in found:
        raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, "a success without signature")
    if "Content-Encoding" in found:
        raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, "the answer has an encoding nobody asked for")


def _pause_s(target: Target, status: int, text: str | None) -> float | None:
    """Time for which a target that is full wants no requests, None when it does not say."""
    if status != UNAVAILABLE or text is None:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if not pause_s >= 0:
        log.warning(event("pause_unreadable", target=target.name, value=text[:40]))
        return None
    if pause_s > MAX_PAUSE_S:
        log.warning(event("pause_cut", target=target.name, pause_s=pause_s, to_s=MAX_PAUSE_S))
    return min(pause_s, MAX_PAUSE_S)


def _text(error: Exception) -> str:
    """Kind and message of an error; aiohttp quotes what the target sent."""
    return f"{type(error).__name__}: {str(error)[:MAX_REASON_CHARACTERS]}"


def _number(text: str) -> int | None:
    return int(text) if text.isdigit() else None


def _load(text: str) -> int | None:
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]) + int(parts[1])
