"""Forwards requests to the platform's targets over HTTP."""

import math
import re
import socket
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import logbook
from aiohappyeyeballs import AddrInfoType
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.costs.pace import MAX_PERCENT, MIN_PERCENT
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.responselimits import BoundedResponseHandler, use_bounded_handler
from coltsfootfront.direct.sockets import create_socket
from coltsfootfront.direct.targetclient import (
    Directive,
    ExchangeError,
    ExchangeFailure,
    TargetClient,
    TargetResponse,
)
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.connection import READ_BYTES
from coltsfootfront.platform import headers
from coltsfootfront.platform.responsechecks import UndelimitedBody, check_head

# Opening a connection to a target in the other region takes 50 ms.
CONNECT_TIMEOUT_S = 0.3
# Idle connections are closed after this time, before their targets close them.
KEEPALIVE_S = 4.0
# A non-idempotent request is only sent on a connection that was used this recently, or on a new
# one. On a connection that the target is closing, its outcome would be unknown.
NON_IDEMPOTENT_KEEPALIVE_S = 1.0
MAX_HEADER_BYTES = 65536
# Buffer of a target's socket, which the kernel doubles; by itself it grows to 6 MB or more. A link
# of 100 Mbit/s has 250 kB under way within the 20 ms to another region.
RECEIVE_BUFFER_BYTES = 262_144
# Headers that aiohttp would add. With its Accept-Encoding, a target could choose a content encoding
# that the caller does not accept.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
SERVICE_UNAVAILABLE = 503
MISDIRECTED_REQUEST = 421
# A longer Retry-After is treated as an error of the target and cut to this.
MAX_RETRY_AFTER_S = 60.0
MAX_ERROR_TEXT_CHARACTERS = 120
# float() would also accept signs, exponents and names such as "inf".
DECIMAL_NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{0,15})?|\.[0-9]{1,15}")
# Loads and versions; a longer number is no count of anything, and would overflow a float.
COUNT = re.compile(r"[0-9]{1,15}")
# Running requests, waiting requests and slots in the load header.
LOAD_COUNTS = 3
# Place of the pace in the load header, which not all targets tell.
PACE_PLACE = 3

log = logbook.Logger(__name__)


class _Response(aiohttp.ClientResponse):
    """Response that keeps a reference to its connection after the end of the body."""

    connection_handler: ResponseHandler | None = None

    async def start(self, connection: Connection) -> "_Response":
        self.connection_handler = connection.protocol
        await super().start(connection)
        return self

    def close_connection(self) -> None:
        """Close the connection, also after the end of the body."""
        self.close()
        if self.connection_handler is not None:
            self.connection_handler.close()


class _TargetConnector(aiohttp.TCPConnector):
    """Connector whose time limit allows for connections that opened while the loop was stalled."""

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Connection:
        try:
            async with ReadTimeout(CONNECT_TIMEOUT_S):
                return await super().connect(req, traces, timeout)
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(
                f"no connection to {req.url.host}:{req.url.port} in {CONNECT_TIMEOUT_S} s"
            ) from error


class PlatformTargetResponse(TargetResponse):
    """Response of a target."""

    __slots__ = (
        "_is_delimited",
        "_response",
        "headers",
        "is_draining",
        "is_not_executed",
        "is_other_target",
        "is_other_version",
        "length_bytes",
        "limit_per_s",
        "load",
        "pace_percent",
        "retry_after_s",
        "status",
        "version",
    )

    def __init__(self, response: _Response, target: Target) -> None:
        response_headers = response.headers
        self._response = response
        self.status = response.status
        self.headers = [
            (name, value)
            for name, value in response_headers.items()
            if name.lower() not in headers.NOT_RETURNED
        ]
        self.length_bytes = response.content_length
        self._is_delimited = self.length_bytes is not None or _is_chunked(response_headers)
        self.is_not_executed = (
            headers.NOT_EXECUTED in response_headers or self.status == MISDIRECTED_REQUEST
        )
        responder = response_headers.get(headers.TARGET, target.name)
        self.is_other_target = self.status == MISDIRECTED_REQUEST and responder != target.name
        self.is_other_version = self.status == MISDIRECTED_REQUEST and responder == target.name
        self.version = _parse_version(target, response_headers.get(headers.WEIGHTS_VERSION, ""))
        self.load = _parse_load(target, response_headers.get(headers.LOAD, ""))
        self.pace_percent = _parse_pace(target, response_headers.get(headers.LOAD, ""))
        self.is_draining = headers.DRAINING in response_headers
        self.limit_per_s = _parse_limit(target, response_headers.get(headers.LIMIT))
        self.retry_after_s = _parse_retry_after(
            target, self.status, response_headers.get(headers.RETRY_AFTER)
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        body = None if self._is_delimited else UndelimitedBody()
        try:
            async for chunk in self._response.content.iter_any():
                if body is not None:
                    body.feed(chunk)
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise ExchangeError(
                ExchangeFailure.INVALID_RESPONSE,
                f"the response was cut off: {_describe_error(error)}",
            ) from error
        if body is not None:
            body.finish()
        connection_handler = self._response.connection_handler
        if self._is_delimited or not isinstance(connection_handler, BoundedResponseHandler):
            return
        # A body without a length ends when the connection closes; after a reset it is truncated.
        connection_error = connection_handler.end_error
        if isinstance(connection_error, Exception):
            raise ExchangeError(
                ExchangeFailure.INVALID_RESPONSE,
                f"the response was cut off: {_describe_error(connection_error)}",
            )

    def close(self) -> None:
        self._response.close()


class PlatformTargetClient(TargetClient):
    """HTTP client for all targets, with two pools of idle connections.

    Non-idempotent requests have a pool of their own, whose idle connections are closed sooner.
    """

    def __init__(self) -> None:
        self._idempotent_session: aiohttp.ClientSession | None = None
        self._non_idempotent_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._idempotent_session = _create_session(KEEPALIVE_S, self.account)
        self._non_idempotent_session = _create_session(NON_IDEMPOTENT_KEEPALIVE_S, self.account)

    async def close(self) -> None:
        for session in (self._idempotent_session, self._non_idempotent_session):
            if session is not None:
                await session.close()
        self._idempotent_session = self._non_idempotent_session = None

    async def send(
        self, target: Target, request: CallerRequest, directive: Directive
    ) -> TargetResponse:
        session = (
            self._idempotent_session
            if request.method == "GET" or request.parts
            else self._non_idempotent_session
        )
        if session is None:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "the target client is not started")
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
        except aiohttp.ConnectionTimeoutError as error:
            raise ExchangeError(
                ExchangeFailure.NO_CONNECTION, f"no connection: {_describe_error(error)}"
            ) from error
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError | ConnectionResetError)
            raise ExchangeError(
                ExchangeFailure.NOT_SENT if is_refused else ExchangeFailure.NO_CONNECTION,
                f"no connection: {_describe_error(error)}",
            ) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise ExchangeError(
                ExchangeFailure.NO_RESPONSE, f"no response: {_describe_error(error)}"
            ) from error
        assert isinstance(response, _Response)
        try:
            check_head(response, request.request_id)
        except ExchangeError:
            # A response that is complete has given its connection back already. The answer to this
            # request may still follow on it.
            response.close_connection()
            raise
        target_response = PlatformTargetResponse(response, target)
        if target_response.is_not_executed:
            # The same request may be retried at this target. A late duplicate of this response on
            # the same connection must not be read as the response to the retry.
            response.close_connection()
        return target_response


def _create_target_socket(address: AddrInfoType) -> socket.socket:
    created = create_socket(address)
    # Before the connection opens, since the range of its window depends on it.
    created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return created


def _create_session(keepalive_s: float, account: Account | None) -> aiohttp.ClientSession:
    connector = use_bounded_handler(
        _TargetConnector(
            limit=0,
            keepalive_timeout=keepalive_s,
            socket_factory=_create_target_socket,
            use_dns_cache=False,
        ),
        READ_BYTES,
        resets_unfinished=True,
        account=account,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        read_bufsize=READ_BYTES,
        response_class=_Response,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    # aiohttp would retry a GET by itself on a new connection, outside the router's retry budget.
    # There is no public option; aiohttp's own test client sets this attribute as well.
    session._retry_connection = False
    return session


def _request_headers(
    target: Target, caller_request: CallerRequest, directive: Directive
) -> list[tuple[str, str]]:
    result = [("Host", caller_request.host), *caller_request.headers]
    result.append((headers.EXPECTED_TARGET, target.name))
    result.append((headers.DEADLINE_MS, str(max(1, int(directive.deadline_s * 1000)))))
    if directive.customer:
        result.append((headers.CUSTOMER, directive.customer))
    if directive.priority is not None:
        result.append((headers.PRIORITY, str(directive.priority)))
    if directive.version is not None:
        result.append((headers.EXPECTED_WEIGHTS_VERSION, str(directive.version)))
    if directive.salt:
        result.append((headers.CACHE_SALT, directive.salt))
    if directive.fetch_from:
        result.append((headers.FETCH_FROM, directive.fetch_from))
    if directive.save_to:
        result.append((headers.SAVE_TO, directive.save_to))
    if directive.resume_after is not None:
        result.append((headers.RESUME_AFTER, str(directive.resume_after)))
    return result


def _is_chunked(response_headers: Mapping[str, str]) -> bool:
    return "chunked" in response_headers.get("Transfer-Encoding", "").lower()


def _parse_retry_after(target: Target, status: int, text: str | None) -> float | None:
    """Seconds for which an overloaded target asks for no requests, None when it does not ask."""
    if status != SERVICE_UNAVAILABLE or text is None:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if not pause_s >= 0:
        log.warning(event("retry_after_invalid", target=target.name, value=text[:40]))
        return None
    if pause_s > MAX_RETRY_AFTER_S:
        log.warning(
            event("retry_after_capped", target=target.name, pause_s=pause_s, to_s=MAX_RETRY_AFTER_S)
        )
    return min(pause_s, MAX_RETRY_AFTER_S)


def _parse_limit(target: Target, text: str | None) -> float | None:
    """Requests per second that a target accepts, None when it names no valid limit."""
    if text is None:
        return None
    if DECIMAL_NUMBER.fullmatch(text) is None:
        log.warning(event("target_limit_invalid", target=target.name, value=text[:40]))
        return None
    return float(text)


def _describe_error(error: Exception) -> str:
    """Type and message of an error, shortened because aiohttp quotes what the target sent."""
    return f"{type(error).__name__}: {str(error)[:MAX_ERROR_TEXT_CHARACTERS]}"


def _parse_version(target: Target, text: str) -> int | None:
    if not text:
        return None
    if COUNT.fullmatch(text) is None:
        _log_invalid(target, headers.WEIGHTS_VERSION, text)
        return None
    return int(text)


def _parse_load(target: Target, text: str) -> int | None:
    if not text:
        return None
    # Some services append further figures, which must not cost the known ones.
    counts = [part.strip() for part in text.split(",")[:LOAD_COUNTS]]
    if len(counts) < LOAD_COUNTS or not all(COUNT.fullmatch(count) for count in counts):
        _log_invalid(target, headers.LOAD, text)
        return None
    return int(counts[0]) + int(counts[1])


def _parse_pace(target: Target, text: str) -> float | None:
    """Pace in percent of the usual time; it is dropped alone if it is invalid."""
    figures = text.split(",")
    if len(figures) <= PACE_PLACE:
        return None
    pace = figures[PACE_PLACE].strip()
    if DECIMAL_NUMBER.fullmatch(pace) is None or not MIN_PERCENT <= float(pace) <= MAX_PERCENT:
        _log_invalid(target, headers.LOAD, text)
        return None
    return float(pace)


def _log_invalid(target: Target, name: str, text: str) -> None:
    log.warning(event("target_header_invalid", target=target.name, header=name, value=text[:40]))
