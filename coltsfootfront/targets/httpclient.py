"""HTTP client for the target on this VM, shared by the clients of all kinds of targets.

Every request opens its own connection. A pooled connection may have been closed by a restart of
the target, and a request written to it would count as possibly executed although it was not.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import DecodingError, decoding, load_json
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError

_CONNECT_TIMEOUT_S = 2.0
_MAX_HEADER_BYTES = 65536
_MAX_ERROR_BODY_BYTES = 65536
# aiohttp adds these by default. They are suppressed, as an added Accept-Encoding, for example,
# could bring the caller a content encoding that it did not ask for.
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_FIRST_ERROR_STATUS = 400
_BAD_REQUEST_STATUSES = frozenset((400, 413, 422))


class _IdleTimeout:
    """Aborts an exchange when the target sends nothing for too long.

    Time in which the body is not being read, as under backpressure, does not count.

    :param limit_s: longest wait for data in seconds.
    :param abort: called when the timeout expires.
    """

    __slots__ = ("_clock", "_limit_s", "_waiting_since_s", "_watch_task", "abort", "expired")

    def __init__(self, clock: Clock, limit_s: float, abort: Callable[[], object]) -> None:
        self.abort = abort
        self.expired = False
        self._clock = clock
        self._limit_s = limit_s
        self._waiting_since_s: float | None = clock.monotonic_s()
        self._watch_task = asyncio.create_task(self._watch_idle())

    def resume(self) -> None:
        """Restart the timeout before waiting for data."""
        self._waiting_since_s = self._clock.monotonic_s()

    def pause(self) -> None:
        """Suspend the timeout while nobody waits for data."""
        self._waiting_since_s = None

    def close(self) -> None:
        """Stop the timeout."""
        self._watch_task.cancel()

    async def _watch_idle(self) -> None:
        left_s = self._limit_s
        while left_s > 0:
            await self._clock.sleep(left_s)
            left_s = self._limit_s
            if self._waiting_since_s is not None:
                left_s += self._waiting_since_s - self._clock.monotonic_s()
        self.expired = True
        self.abort()


class _Response(aiohttp.ClientResponse):
    """Response that keeps a reference to its connection after the end of the body."""

    connection_handler: ResponseHandler | None = None

    async def start(self, connection: Connection) -> "_Response":
        self.connection_handler = connection.protocol
        await super().start(connection)
        return self

    @property
    def is_reset(self) -> bool:
        """Whether the body should have ended with its connection, but the connection failed."""
        handler = self.connection_handler
        return (
            self.content_length is None
            and "Transfer-Encoding" not in self.headers
            and handler is not None
            and isinstance(handler.exception(), aiohttp.ClientOSError)
        )


class Exchange:
    """One HTTP exchange whose response headers have arrived.

    :param idle_timeout: timeout while the body is read, or None.
    :param failure_kind: error kind when the exchange fails.
    """

    __slots__ = ("_failure_kind", "_idle_timeout", "response")

    def __init__(
        self,
        response: _Response,
        idle_timeout: _IdleTimeout | None,
        failure_kind: ErrorKind,
    ) -> None:
        self.response = response
        self._idle_timeout = idle_timeout
        self._failure_kind = failure_kind

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive.

        :raises FailureError: when the body ends early or the idle timeout expires.
        """
        while True:
            chunk = await self._read_chunk()
            if not chunk:
                return
            yield chunk

    async def _read_chunk(self) -> bytes:
        if self._idle_timeout is not None:
            self._idle_timeout.resume()
        try:
            chunk = await self.response.content.readany()
            if not chunk and self.response.is_reset:
                raise aiohttp.ClientPayloadError("the connection was reset")
            return chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            timed_out = self._idle_timeout is not None and self._idle_timeout.expired
            message = "target stayed silent" if timed_out else "answer broke off"
            raise FailureError(
                Failure(self._failure_kind, message, ExecutionState.UNKNOWN)
            ) from error
        finally:
            if self._idle_timeout is not None:
                self._idle_timeout.pause()

    async def read(self, limit_bytes: int) -> bytes:
        """Read the whole body.

        :raises FailureError: when the body ends early or exceeds the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit_bytes:
                message = f"answer exceeds {limit_bytes} bytes"
                raise FailureError(Failure(self._failure_kind, message, ExecutionState.UNKNOWN))
        return bytes(body)

    async def raise_for_error_status(self) -> None:
        """Raise the failure that an error status stands for; do nothing for any other status.

        The failure carries ``not_run`` only if the error body says so.
        """
        status = self.response.status
        if status < _FIRST_ERROR_STATUS:
            return
        error = _error_object(await self.read(_MAX_ERROR_BODY_BYTES))
        message = str(error.get("message", "")) or f"target answered status {status}"
        if error.get("run") == ExecutionState.NOT_RUN.value:
            raise FailureError(Failure(_parse_error_kind(error, self._failure_kind), message))
        kind = ErrorKind.BAD_REQUEST if status in _BAD_REQUEST_STATUSES else self._failure_kind
        raise FailureError(Failure(kind, message, ExecutionState.UNKNOWN))


class HttpClient:
    """HTTP client of one target.

    :param base_url: address of the target, such as ``http://127.0.0.1:8000``.
    :param timeout_s: idle timeout in seconds: longest wait for data from the target.
    :param failure_kind: error kind when an exchange fails after its connection was opened.
    """

    __slots__ = ("_base_url", "_clock", "_failure_kind", "_session", "_timeout_s")

    def __init__(
        self, base_url: str, timeout_s: float, clock: Clock, failure_kind: ErrorKind
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._clock = clock
        self._failure_kind = failure_kind
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the client session; opens no connection."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_AUTO_HEADERS,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            response_class=_Response,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    @asynccontextmanager
    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Iterable[tuple[str, str]] = (),
        may_idle: bool = False,
    ) -> AsyncIterator[Exchange]:
        """Send a request and wait for the response headers.

        Leaving the context closes the connection.

        :param path: path and query, percent-encoded.
        :param may_idle: whether to disable the idle timeout, as for event streams.
        :raises FailureError: ``target_unreachable`` with ``not_run`` when no connection could
            be opened; otherwise the kind given to the client, with ``unknown``.
        """
        request_task = asyncio.ensure_future(self._send_request(method, path, body, headers))
        idle_timeout = (
            None if may_idle else _IdleTimeout(self._clock, self._timeout_s, request_task.cancel)
        )
        try:
            response = await self._receive_head(request_task, idle_timeout)
            if idle_timeout is not None:
                idle_timeout.abort = response.close
                idle_timeout.pause()
            try:
                yield Exchange(response, idle_timeout, self._failure_kind)
            finally:
                response.close()
        finally:
            if idle_timeout is not None:
                idle_timeout.close()

    async def _send_request(
        self, method: str, path: str, body: bytes | None, headers: Iterable[tuple[str, str]]
    ) -> _Response:
        assert self._session is not None, "client is not started"
        url = URL(self._base_url + path, encoded=True)
        response = await self._session.request(
            method, url, data=body, headers=list(headers), allow_redirects=False
        )
        assert isinstance(response, _Response)
        return response

    async def _receive_head(
        self,
        request_task: "asyncio.Future[_Response]",
        idle_timeout: _IdleTimeout | None,
    ) -> _Response:
        try:
            return await request_task
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            message = "no connection to the target"
            raise FailureError(Failure(ErrorKind.TARGET_UNREACHABLE, message)) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            message = "connection broke before an answer"
            raise FailureError(
                Failure(self._failure_kind, message, ExecutionState.UNKNOWN)
            ) from error
        except asyncio.CancelledError as error:
            if idle_timeout is None or not idle_timeout.expired:
                raise
            message = "target stayed silent"
            raise FailureError(
                Failure(self._failure_kind, message, ExecutionState.UNKNOWN)
            ) from error


def _error_object(body: bytes) -> dict[str, Any]:
    try:
        with decoding("error"):
            parsed = load_json(body)
    except DecodingError:
        return {}
    error = parsed.get("error") if isinstance(parsed, dict) else None
    return error if isinstance(error, dict) else {}


def _parse_error_kind(error: dict[str, Any], default: ErrorKind) -> ErrorKind:
    try:
        return ErrorKind(error.get("kind"))
    except ValueError:
        return default
