"""Unbounded responses of a faulty target, which go on until the client closes the connection."""

import asyncio
import itertools
from collections.abc import Callable

from aiohttp import web

WRITE_INTERVAL_S = 0.0005
EVENTS_PER_WRITE = 2000

# Builds, from the encoded header fields, the first bytes of a response and the bytes that are
# repeated after them. The key names the part of the response that never ends.
ENDLESS_RESPONSES: dict[str, Callable[[bytes], tuple[bytes, bytes]]] = {
    "fields": lambda head: (b"HTTP/1.1 200 OK\r\n" + head, b"X-Filler: " + b"x" * 900 + b"\r\n"),
    "line": lambda head: (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 1024),
    "interim": lambda head: (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "extension": lambda head: (_chunked(head) + b"4;", b"x" * 1024),
    "trailer": lambda head: (_chunked(head) + b"4\r\nbody\r\n0\r\n", b"X-Filler: xxxxxxxx\r\n"),
    "after": lambda head: (
        b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 4\r\n\r\nbody",
        b"x" * 1024,
    ),
    "body": lambda head: (_chunked(head), b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "comments": lambda head: (_chunked(head), b"400\r\n" + b": xx\n\n" * 170 + b"\n\n\n\n\r\n"),
}

# The same for bodies that are not a stream of events.
ENDLESS_BODIES: dict[str, Callable[[bytes], tuple[bytes, bytes]]] = {
    "chunks": lambda head: (_chunked(head), b"4000\r\n" + bytes(16_384) + b"\r\n"),
    "sized": lambda head: (
        b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 1000000000\r\n\r\n",
        bytes(16_384),
    ),
    "unframed": lambda head: (b"HTTP/1.1 200 OK\r\n" + head + b"\r\n", bytes(16_384)),
}


def _chunked(head: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + head + b"Transfer-Encoding: chunked\r\n\r\n"


async def send_endless_response(
    request: web.BaseRequest, headers: dict[str, str], kind: str
) -> web.StreamResponse:
    """Send an unbounded response until the client closes the connection.

    :param kind: a key of :data:`ENDLESS_RESPONSES` or :data:`ENDLESS_BODIES`.
    """
    transport = request.transport
    assert transport is not None
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    initial, repeated = (ENDLESS_RESPONSES | ENDLESS_BODIES)[kind](lines.encode())
    transport.write(initial)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < len(repeated) * 64:
            transport.write(repeated)
        await asyncio.sleep(WRITE_INTERVAL_S)
    return web.Response()


async def send_endless_events(
    request: web.BaseRequest, headers: dict[str, str]
) -> web.StreamResponse:
    """Send valid events as fast as the client reads them, until it closes the connection."""
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    response.enable_chunked_encoding()
    await response.prepare(request)
    for first in itertools.count(0, EVENTS_PER_WRITE):
        numbers = range(first, first + EVENTS_PER_WRITE)
        await response.write(b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers))
    return response
