"""HTTP responses that are read whole, with limits on their size and duration.

Each response that this package keeps in memory is received here: a faulty sender may send bytes
without end, or a small body that decompresses to a large one. The time limits count progress, so
that a slow link does not end a transfer.
"""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

import aiohttp
from aiohttp import hdrs
from multidict import CIMultiDictProxy

from coltsfootfront.direct.responselimits import use_bounded_handler
from coltsfootfront.direct.sockets import create_socket

Request = Callable[[], AbstractAsyncContextManager[aiohttp.ClientResponse]]
OnProgress = Callable[[], None]

# After a stall of the event loop a timer fires before what has arrived meanwhile is read.
STALL_GRACE_S = 0.05
# Checks in a row without a new byte after which a sender is silent. A stall of the event loop
# delays one check, and what has arrived meanwhile is read before the next.
SILENT_CHECKS = 2
DEFLATE = "deflate"
IDENTITY = "identity"
# Content encodings that the bounded decoder reads.
ENCODINGS = ("gzip", DEFLATE)
# Largest window, with detection of the gzip and zlib headers.
_ANY_ZLIB_HEADER = zlib.MAX_WBITS | 32


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body of a response exceeds its limit."""


@dataclass(frozen=True, slots=True)
class TransferLimits:
    """Limits of one response.

    :param head_s: longest time from the request to the head of the response.
    :param silence_s: time without a byte of the body after which the sender is taken to be silent.
    :param body_s: longest time from the head to the end of the body.
    :param body_bytes: largest body, on the wire and after decompression.
    """

    head_s: float
    silence_s: float
    body_s: float
    body_bytes: int


@dataclass(frozen=True, slots=True)
class Transfer:
    """A response that has been received in full.

    :param body: body without its content encoding.
    :param wire_bytes: size of the body on the wire.
    :param duration_s: time from the head of the response to the end of the body.
    """

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    wire_bytes: int
    duration_s: float


def create_session(
    timeout: aiohttp.ClientTimeout, is_kept_alive: bool = True
) -> aiohttp.ClientSession:
    """Create a client session for :func:`receive`, which decompresses the bodies itself."""
    connector = aiohttp.TCPConnector(socket_factory=create_socket, force_close=not is_kept_alive)
    return aiohttp.ClientSession(
        connector=use_bounded_handler(connector),
        headers={hdrs.ACCEPT_ENCODING: ", ".join(ENCODINGS)},
        timeout=timeout,
        auto_decompress=False,
    )


async def receive(
    request: Request, limits: TransferLimits, on_progress: OnProgress | None = None
) -> Transfer:
    """Send a request and receive the whole response.

    :param request: sends the request on a session of :func:`create_session`.
    :param on_progress: called when the head has arrived, and repeatedly while the body arrives.
    :raises TimeoutError: when a limit in time is exceeded.
    :raises BodyTooLargeError: when the body is too large.
    :raises aiohttp.ClientError: when the exchange fails.
    """
    exchange = _Exchange(request, limits)
    task = asyncio.create_task(exchange.run())
    try:
        await exchange.wait_for_head()
        await exchange.watch_body(task, on_progress)
        return await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class _Exchange:
    __slots__ = ("_content", "_head", "_limits", "_request")

    def __init__(self, request: Request, limits: TransferLimits) -> None:
        self._request = request
        self._limits = limits
        self._head: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._content: aiohttp.StreamReader | None = None

    async def run(self) -> Transfer:
        loop = asyncio.get_running_loop()
        try:
            async with self._request() as response:
                head_s = loop.time()
                self._content = response.content
                self._head.set_result(None)
                body, wire_bytes = await self._read_body(response)
                return Transfer(
                    response.status, response.headers, body, wire_bytes, loop.time() - head_s
                )
        finally:
            if not self._head.done():
                self._head.set_result(None)

    async def wait_for_head(self) -> None:
        """Wait for the head of the response, or the failure of the exchange."""
        for timeout_s in (self._limits.head_s, STALL_GRACE_S):
            done, _ = await asyncio.wait({self._head}, timeout=timeout_s)
            if done:
                return
        raise TimeoutError(f"no response within {self._limits.head_s:.3f} s")

    async def watch_body(
        self, task: asyncio.Task[Transfer], on_progress: OnProgress | None
    ) -> None:
        """Wait for the end of the body while it makes progress."""
        limits = self._limits
        loop = asyncio.get_running_loop()
        head_s = loop.time()
        received_bytes = -1
        silent_checks = 0
        while not task.done():
            seen_bytes = self._content.total_bytes if self._content is not None else 0
            if seen_bytes > received_bytes:
                received_bytes, silent_checks = seen_bytes, 0
                if on_progress is not None:
                    on_progress()
            else:
                silent_checks += 1
            if silent_checks >= SILENT_CHECKS:
                raise TimeoutError(
                    f"silent for {limits.silence_s:.3f} s after {received_bytes} bytes"
                )
            if loop.time() - head_s >= limits.body_s:
                raise TimeoutError(f"{received_bytes} bytes, not all, within {limits.body_s:.3f} s")
            await asyncio.wait({task}, timeout=limits.silence_s / SILENT_CHECKS)

    async def _read_body(self, response: aiohttp.ClientResponse) -> tuple[bytes, int]:
        """Read the body.

        :returns: the decoded body, and its size on the wire.
        """
        limit_bytes = self._limits.body_bytes
        decoder = _BodyDecoder(response.headers.get(hdrs.CONTENT_ENCODING, IDENTITY), limit_bytes)
        wire_bytes = 0
        async for chunk in response.content.iter_any():
            wire_bytes += len(chunk)
            if wire_bytes > limit_bytes:
                raise BodyTooLargeError(f"more than {limit_bytes} bytes")
            decoder.feed(chunk)
        return decoder.finish(), wire_bytes


class _BodyDecoder:
    """Removes the content encoding of a body, up to a number of bytes.

    :raises aiohttp.ClientPayloadError: if the encoding is unknown.
    """

    __slots__ = ("_body", "_inflater", "_limit_bytes")

    def __init__(self, encoding: str, limit_bytes: int) -> None:
        encoding = encoding.strip().lower()
        if encoding not in (*ENCODINGS, IDENTITY):
            raise aiohttp.ClientPayloadError(f"the content encoding {encoding[:40]!r} is unknown")
        self._body = bytearray()
        self._limit_bytes = limit_bytes
        self._inflater = None if encoding == IDENTITY else zlib.decompressobj(_ANY_ZLIB_HEADER)

    def feed(self, chunk: bytes) -> None:
        """Add a chunk as it was on the wire.

        :raises BodyTooLargeError: when the decoded body is too large.
        :raises aiohttp.ClientPayloadError: if it cannot be decompressed.
        """
        if self._inflater is not None:
            # One byte beyond the limit shows that the body exceeds it.
            room_bytes = self._limit_bytes - len(self._body) + 1
            try:
                chunk = self._inflater.decompress(chunk, room_bytes)
            except zlib.error as error:
                raise aiohttp.ClientPayloadError(f"it cannot be decompressed: {error}") from error
            if self._inflater.unused_data:
                raise aiohttp.ClientPayloadError("bytes after the end of the compressed body")
        self._body += chunk
        if len(self._body) > self._limit_bytes:
            raise BodyTooLargeError(f"more than {self._limit_bytes} bytes, decompressed")

    def finish(self) -> bytes:
        """Return the decoded body.

        :raises aiohttp.ClientPayloadError: if the compressed body is cut short.
        """
        if self._inflater is not None and not self._inflater.eof:
            raise aiohttp.ClientPayloadError("the compressed body is cut short")
        return bytes(self._body)
