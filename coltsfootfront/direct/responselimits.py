"""Bounds what a target may send on a connection.

A faulty target may send bytes that are no answer, without end: in the head, between the pieces
of the body, or after it. Each of these is bounded in bytes; the deadline of the request bounds
them in time.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from coltsfootfront.common import metrics

# Heads of sound answers are below 4 KiB. One segment of the socket, at most 256 KiB, may bring a
# whole answer together with its head, so the bound is checked while no head is complete.
MAX_HEAD_BYTES = 65_536
# Interim answers (status 1xx) before the final one; a sound target sends one at most.
MAX_INTERIM_ANSWERS = 8
# Framing of a body: a chunk has a few bytes of it, and may be as short as a byte.
MAX_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 16

HEAD_END = b"\r\n\r\n"
_INTERIM = range(100, 200)
_SWITCHING = 101


class AnswerLimitError(aiohttp.ClientPayloadError):
    """A target sent more bytes that are no answer than any sound one does."""


class GuardedHandler(ResponseHandler):
    """Connection to a target that is closed when it carries bytes that nobody asked for."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_bytes = 0
        self._interim_answers = 0
        self._body: Any = None
        self._received_bytes = 0

    def is_connected(self) -> bool:
        """Whether a request may go out on this connection.

        A connection on which something arrived after the last answer is not used again: it
        would be taken for the answer to the next request.
        """
        return super().is_connected() and not self.should_close

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request."""
        self._head_bytes = self._interim_answers = self._received_bytes = 0
        self._body = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take over the head of an answer."""
        message, payload = data
        if message.code in _INTERIM and message.code != _SWITCHING:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._refuse(f"more than {MAX_INTERIM_ANSWERS} interim answers")
                return
        elif self._body is None:
            self._body = payload
        else:
            # A second answer; the connection is not used again.
            self.force_close()
            return
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the target; aiohttp passes none to make its parser go on."""
        if not data:
            super().data_received(data)
            return
        head, end, rest = data.partition(HEAD_END)
        if self._body is None and end and rest:
            # Bytes after the answer that cannot be parsed would take the head with them.
            self._take(head + end)
            self._take(rest)
        else:
            self._take(data)

    def _take(self, data: bytes) -> None:
        body = self._body
        if body is not None and body.is_eof():
            self._close_unasked()
            return
        super().data_received(data)
        if self._body is None:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._refuse(f"a head of more than {MAX_HEAD_BYTES} bytes")
        elif body is not None:
            # Only whole segments that belong to the body are counted; its first may bring a head.
            self._received_bytes += len(data)
            self._check_framing()

    def _check_framing(self) -> None:
        body_bytes = self._body.total_bytes
        allowed = MAX_FRAMING_BYTES + (1 + FRAMING_PER_BODY_BYTE) * body_bytes
        if self._received_bytes > allowed:
            self._refuse(f"{self._received_bytes} bytes for {body_bytes} bytes of a body")

    def _close_unasked(self) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "unasked_bytes"})
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _refuse(self, reason: str) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "answer_without_end"})
        error = AnswerLimitError(reason)
        if self._body is not None:
            self._body.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def use_bounded_handler(connector: aiohttp.TCPConnector) -> aiohttp.TCPConnector:
    """Make all connections of a connector guarded ones."""
    # aiohttp has no public way to choose the protocol of its connections.
    make = functools.partial(GuardedHandler, loop=asyncio.get_running_loop())
    connector._factory = make  # type: ignore[assignment]
    return connector
