"""HTTP exchanges with the target on this VM, shared by the HTTP adapters.

Every exchange opens its own connection. A pooled connection may have been closed by a target
that has restarted since, and a request written to it counts as possibly run although it was not.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from yarl import URL

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState

_CONNECT_TIMEOUT_S = 2.0
_MAX_HEADER_BYTES = 65536
_MAX_REFUSAL_BYTES = 65536
# Added unasked by the client; an encoding that the caller did not ask for would reach it.
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_FIRST_ERROR_STATUS = 400
_BAD_REQUEST_STATUSES = frozenset((400, 413, 422))


class _SilenceGuard:
    """Cuts an exchange when the target stays silent for too long.

    Time in which nobody reads does not count.
    """

    __slots__ = ("_clock", "_limit_s", "_since_s", "_watch", "cut", "expired")

    def __init__(self, clock: Clock, limit_s: float, cut: Callable[[], object]) -> None:
        self.cut = cut
        self.expired = False
        self._clock = clock
        self._limit_s = limit_s
        self._since_s: float | None = clock.monotonic_s()
        self._watch = asyncio.create_task(self._watch_silence())

    def wait(self) -> None:
        """Note that somebody waits for the target from now on."""
        self._since_s = self._clock.monotonic_s()

    def pause(self) -> None:
        """Note that nobody waits."""
        self._since_s = None

    def close(self) -> None:
        """Stop watching."""
        self._watch.cancel()

    async def _watch_silence(self) -> None:
        left_s = self._limit_s
        while left_s > 0:
            await self._clock.sleep(left_s)
            left_s = self._limit_s
            if self._since_s is not None:
                left_s += self._since_s - self._clock.monotonic_s()
        self.expired = True
        self.cut()


class Exchange:
    """An answer whose head has arrived.

    :param response: the answer.
    :param failed: error kind of an exchange that breaks off.
    """

    __slots__ = ("_failed", "_guard", "response")

    def __init__(
        self, response: aiohttp.ClientResponse, guard: _SilenceGuard | None, failed: ErrorKind
    ) -> None:
        self.response = response
        self._guard = guard
        self._failed = failed

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises FailureError: when the body breaks off before its end.
        """
        while True:
            piece = await self._read_piece()
            if not piece:
                return
            yield piece

    async def _read_piece(self) -> bytes:
        if self._guard is not None:
            self._guard.wait()
        try:
            return await self.response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            silent = self._guard is not None and self._guard.expired
            message = "target stayed silent" if silent else "answer broke off"
            raise FailureError(Failure(self._failed, message, ExecutionState.UNKNOWN)) from error
        finally:
            if self._guard is not None:
                self._guard.pause()

    async def read(self, limit_bytes: int) -> bytes:
        """Read the whole body.

        :raises FailureError: when it breaks off or is larger than the limit.
        """
        body = bytearray()
        async for piece in self.pieces():
            body += piece
            if len(body) > limit_bytes:
                message = f"answer exceeds {limit_bytes} bytes"
                raise FailureError(Failure(self._failed, message, ExecutionState.UNKNOWN))
        return bytes(body)

    async def raise_refusal(self) -> None:
        """Raise the failure that an error status means; do nothing for any other status.

        ``not_run`` is taken over only from a refusal that says so itself.
        """
        status = self.response.status
        if status < _FIRST_ERROR_STATUS:
            return
        error = _error_object(await self.read(_MAX_REFUSAL_BYTES))
        message = str(error.get("message", "")) or f"target answered status {status}"
        if error.get("run") == ExecutionState.NOT_RUN.value:
            raise FailureError(Failure(_known_kind(error, self._failed), message))
        kind = ErrorKind.BAD_REQUEST if status in _BAD_REQUEST_STATUSES else self._failed
        raise FailureError(Failure(kind, message, ExecutionState.UNKNOWN))


class HttpClient:
    """Opens exchanges with one target.

    :param base_url: address of the target, such as ``http://127.0.0.1:8000``.
    :param timeout_s: longest silence of the target in seconds.
    :param failed: error kind of an exchange that breaks off.
    """

    __slots__ = ("_base_url", "_clock", "_failed", "_session", "_timeout_s")

    def __init__(self, base_url: str, timeout_s: float, clock: Clock, failed: ErrorKind) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._clock = clock
        self._failed = failed
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Prepare for exchanges; opens no connection."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_AUTO_HEADERS,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
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
        endless: bool = False,
    ) -> AsyncIterator[Exchange]:
        """Send a request and wait for the head of its answer.

        Leaving the context closes the connection.

        :param path: path and query in their encoded form.
        :param endless: the answer may stay silent for any time.
        :raises FailureError: ``target_unreachable`` with ``not_run`` when no connection could
            be opened; otherwise the kind given to the client, with ``unknown``.
        """
        opening = asyncio.ensure_future(self._request(method, path, body, headers))
        guard = None if endless else _SilenceGuard(self._clock, self._timeout_s, opening.cancel)
        try:
            response = await self._head(opening, guard)
            if guard is not None:
                guard.cut = response.close
                guard.pause()
            try:
                yield Exchange(response, guard, self._failed)
            finally:
                response.close()
        finally:
            if guard is not None:
                guard.close()

    async def _request(
        self, method: str, path: str, body: bytes | None, headers: Iterable[tuple[str, str]]
    ) -> aiohttp.ClientResponse:
        assert self._session is not None, "client is not started"
        url = URL(self._base_url + path, encoded=True)
        return await self._session.request(
            method, url, data=body, headers=list(headers), allow_redirects=False
        )

    async def _head(
        self, opening: "asyncio.Future[aiohttp.ClientResponse]", guard: _SilenceGuard | None
    ) -> aiohttp.ClientResponse:
        try:
            return await opening
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            message = "no connection to the target"
            raise FailureError(Failure(ErrorKind.TARGET_UNREACHABLE, message)) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            message = "connection broke before an answer"
            raise FailureError(Failure(self._failed, message, ExecutionState.UNKNOWN)) from error
        except asyncio.CancelledError as error:
            if guard is None or not guard.expired:
                raise
            message = "target stayed silent"
            raise FailureError(Failure(self._failed, message, ExecutionState.UNKNOWN)) from error


def _error_object(body: bytes) -> dict[str, Any]:
    try:
        parsed = json.loads(body)
    except ValueError:
        return {}
    error = parsed.get("error") if isinstance(parsed, dict) else None
    return error if isinstance(error, dict) else {}


def _known_kind(error: dict[str, Any], default: ErrorKind) -> ErrorKind:
    try:
        return ErrorKind(error.get("kind"))
    except ValueError:
        return default
