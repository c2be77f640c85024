"""Limits what a target may send outside a response body, and keeps how its connection ends.

A faulty target may send an endless head, endless chunk framing, or data after the response. Each
of these is limited in bytes; the request's deadline limits them in time.
"""

import asyncio
import functools
from typing import Any

import aiohttp
import logbook
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import _EXC_SENTINEL
from aiohttp.http_exceptions import HttpProcessingError

from coltsfootfront.common import metrics
from coltsfootfront.common.logs import event
from coltsfootfront.direct.sockets import count_unsent_bytes, reset
from coltsfootfront.memory.account import Account
from coltsfootfront.memory.connection import BODY_READ_BYTES
from coltsfootfront.memory.reads import limit_reads

# Normal response heads are below 4 KiB. One read from the socket, at most BODY_READ_BYTES, may
# contain a head and its whole body, so the limit applies only while the head is incomplete.
MAX_HEAD_BYTES = 65_536
# Limit on interim responses (status 1xx) before the final one; a normal target sends at most one.
MAX_INTERIM_RESPONSES = 8
# Limits on chunk framing. Each chunk has a few bytes of framing and may carry a single body byte.
MAX_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 16

# Time for which the rest of a request is still written after its connection has been closed. A
# target that has answered early may go on reading; one that reads slowly would otherwise keep the
# rest in the router's memory after the account of the request has been settled.
FLUSH_LIMIT_S = 2.0

HEAD_END = b"\r\n\r\n"
_INTERIM_STATUSES = range(100, 200)
_SWITCHING_PROTOCOLS = 101


log = logbook.Logger(__name__)


class ResponseLimitError(aiohttp.ClientPayloadError):
    """A target exceeded a limit on response heads, interim responses or framing."""


class BoundedResponseHandler(ResponseHandler):
    """Client connection that limits response heads and framing and rejects unsolicited data."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        read_bytes: int = BODY_READ_BYTES,
        resets_unfinished: bool = False,
        account: Account | None = None,
    ) -> None:
        super().__init__(loop)
        self._account = account
        self._resets_unfinished = resets_unfinished
        self._read_bytes = read_bytes
        self._head_bytes = 0
        self._interim_responses = 0
        self._body: Any = None
        self._received_bytes = 0
        self._connection: asyncio.Transport | None = None
        self.end_error: BaseException | None = None
        """Why the connection did not end in order. aiohttp forgets its own record when it closes
        the connection, which may be before the end of the body has been read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which aiohttp gives up as soon as it closes the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._connection = transport
        super().connection_made(transport)
        limit_reads(self.transport, self._read_bytes)

    def eof_received(self) -> None:
        """End the connection if the target has not received the whole request.

        It ends its response without knowing the request, so a body that ends with the connection
        is not complete.
        """
        super().eof_received()
        connection = self._connection
        if connection is None or not count_unsent_bytes(connection):
            return
        self.end_error = aiohttp.ClientPayloadError(
            "the target ended the connection before it had received the request"
        )
        connection.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record the error that ended the connection."""
        if exc is not None:
            self.end_error = exc
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection, and give up what the target has not taken after a while."""
        connection = self._connection
        if connection is not None and self._resets_unfinished and not self._has_ended():
            # The target stops working when its connection ends. An orderly end would wait behind
            # the rest of the request, for over half a second on a narrow link.
            reset(connection)
        super().close()
        if connection is not None and connection.get_write_buffer_size():
            self._loop.call_later(FLUSH_LIMIT_S, self._abort_flush, connection)

    def _has_ended(self) -> bool:
        """Whether the response to the latest request is complete."""
        return self._body is not None and self._body.is_eof()

    @staticmethod
    def _abort_flush(connection: asyncio.Transport) -> None:
        unsent_bytes = connection.get_write_buffer_size()
        if unsent_bytes:
            metrics.CONNECTION_EVENTS.inc({"event": "target_not_reading"})
            log.warning(
                event("target_not_reading", unsent_bytes=unsent_bytes, limit_s=FLUSH_LIMIT_S)
            )
            connection.abort()

    def is_connected(self) -> bool:
        """Whether a request may be sent on this connection.

        A connection that received data after the last response is not reused: the data would be
        taken for the response to the next request.
        """
        return super().is_connected() and not self.should_close

    def set_response_params(self, **params: Any) -> None:
        """Reset the counters for the response to the next request."""
        self._head_bytes = self._interim_responses = self._received_bytes = 0
        self._body = None
        limit_reads(self.transport, self._read_bytes)
        super().set_response_params(**params)

    def set_exception(self, exc: BaseException, exc_cause: BaseException = _EXC_SENTINEL) -> None:
        """End the body as well, when its framing cannot be parsed.

        aiohttp's parser closes the connection then, and leaves the reader of the body waiting.
        """
        super().set_exception(exc, exc_cause)
        body = self._body
        if isinstance(exc, HttpProcessingError) and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(str(exc)))

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Handle a parsed response head, and limit interim responses."""
        message, payload = data
        if message.code in _INTERIM_STATUSES and message.code != _SWITCHING_PROTOCOLS:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._abort_response(f"more than {MAX_INTERIM_RESPONSES} interim responses")
                return
        elif self._body is None:
            self._body = payload
            is_ample = self._account is None or self._account.is_ample
            if is_ample and hdrs.CONTENT_LENGTH in message.headers and not payload.is_eof():
                # Without the overhead of chunks, which larger reads would multiply.
                limit_reads(self.transport, BODY_READ_BYTES)
                payload.set_read_chunk_size(BODY_READ_BYTES)
        else:
            # A second response to one request; the connection is not reused.
            self.force_close()
            return
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process data from the target; aiohttp passes no bytes to resume its parser."""
        if not data:
            super().data_received(data)
            return
        if self._account is not None:
            self._account.count_received(len(data))
        head, end, remaining = data.partition(HEAD_END)
        if self._body is None and end and remaining:
            # Separate calls: a parse error in the data after the head would discard the head too.
            self._process_data(head + end)
            self._process_data(remaining)
        else:
            self._process_data(data)

    def _process_data(self, data: bytes) -> None:
        body = self._body
        if body is not None and body.is_eof():
            self._close_after_unsolicited_data()
            return
        super().data_received(data)
        if self._body is None:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._abort_response(f"a response head of more than {MAX_HEAD_BYTES} bytes")
        elif body is not None:
            # Excludes the read that completed the head, since it contains header bytes too.
            self._received_bytes += len(data)
            self._check_framing()

    def _check_framing(self) -> None:
        body_bytes = self._body.total_bytes
        allowed = MAX_FRAMING_BYTES + (1 + FRAMING_PER_BODY_BYTE) * body_bytes
        if self._received_bytes > allowed:
            self._abort_response(
                f"{self._received_bytes} bytes received for a body of {body_bytes} bytes"
            )

    def _close_after_unsolicited_data(self) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "unasked_bytes"})
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _abort_response(self, reason: str) -> None:
        metrics.CONNECTION_EVENTS.inc({"event": "answer_without_end"})
        error = ResponseLimitError(reason)
        if self._body is not None:
            self._body.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def use_bounded_handler(
    connector: aiohttp.TCPConnector,
    read_bytes: int = BODY_READ_BYTES,
    resets_unfinished: bool = False,
    account: Account | None = None,
) -> aiohttp.TCPConnector:
    """Apply the limits of this module to all connections of a connector.

    :param read_bytes: largest read from a socket.
    :param resets_unfinished: a connection is reset when it is closed within an exchange.
    :param account: told of what is received; buffers are small while it is short.
    """
    # aiohttp has no public way to set the protocol class of its connections.
    loop = asyncio.get_running_loop()
    make = functools.partial(BoundedResponseHandler, loop, read_bytes, resets_unfinished, account)
    connector._factory = make  # type: ignore[assignment]
    return connector
