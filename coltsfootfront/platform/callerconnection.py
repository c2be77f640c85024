"""Connection of one of the platform's callers."""

import asyncio
import math
from abc import ABC, abstractmethod
from typing import Any

import logbook
from aiohttp import web
from aiohttp.web_protocol import _ErrInfo

from coltsfootfront.common import metrics
from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct.unreadresponses import limit_send_buffer
from coltsfootfront.memory.connection import (
    BODY_READ_BYTES,
    REQUEST_TIMEOUT_HEAD,
    ChargedConnection,
)
from coltsfootfront.platform import headers

SERVER_ERROR = 500
# Length of an error in the log; parse errors quote what the caller sent.
MAX_ERROR_CHARACTERS = 200

log = logbook.Logger(__name__)


class BrokenBodyError(ValueError):
    """The framing of a request's body cannot be parsed."""


class ConnectionObserver(ABC):
    """Notified of what happens on the connections of callers."""

    @abstractmethod
    def on_data_received(self, protocol: web.RequestHandler) -> None:
        """Mark a connection as active because data has arrived on it."""

    @abstractmethod
    def on_connection_lost(self, protocol: web.RequestHandler) -> None:
        """Remove a closed connection from the active ones."""


class CallerConnection(ChargedConnection):
    """Connection of one caller.

    :param observer: notified of data and of the end of the connection.
    """

    # The connection to the target.
    REQUEST_DESCRIPTORS = 1
    # The relay has the chunk that it has written, and its copy.
    UNREAD_FACTOR = 3
    # The reader of the connection to the target stops at twice as much, after one more read.
    UNREAD_BYTES = 3 * BODY_READ_BYTES

    def __init__(self, observer: ConnectionObserver, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._observer = observer
        self.body_timeout: ReadTimeout | None = None
        """Ends the wait for the rest of the body that is being received."""
        self.body_deadline_s = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        limit_send_buffer(transport)
        assert isinstance(transport, asyncio.Transport)
        # aiohttp gives up its own reference when it closes a connection, before the rest of a
        # response has been taken.
        self.caller_transport = transport
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        # A connection counts as active from a request's first byte, before its handler runs.
        self._observer.on_data_received(self)
        super().data_received(data)

    def parse(self, data: bytes) -> None:
        super().parse(data)
        self._end_broken_body()

    def _end_broken_body(self) -> None:
        """End the body that is being received, when its framing cannot be parsed.

        aiohttp's parser records the error for the next request only, and leaves the reader of the
        body waiting.
        """
        if not self._messages or not isinstance(self._messages[-1][0], _ErrInfo):
            return
        bodies = [body for _, body in self._messages]
        if self._current_request is not None:
            bodies.append(self._current_request.content)
        for body in bodies:
            if not body.is_eof():
                body.set_exception(BrokenBodyError("the body cannot be parsed"))
                body.feed_eof()

    def check_progress(self, now_s: float, header_s: float, idle_s: float) -> None:
        """End a request that does not arrive in time."""
        self.refresh()
        # A response that is being written is not cut off for the head behind it.
        is_late = now_s - self.head_began_s > header_s and not self.is_waiting_for_turn
        if not self.is_serving and is_late:
            self.refuse_head(REQUEST_TIMEOUT_HEAD)
            self._account.count("head_time")
            return
        holder, timeout = self.holder, self.body_timeout
        if holder is None or timeout is None:
            return
        is_silent = now_s - holder.progress_s > idle_s and not self.is_waiting_for_turn
        if now_s > self.body_deadline_s or is_silent:
            timeout.expire()
            self._account.count("body_time")

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._observer.on_connection_lost(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a request that could not be parsed."""
        if isinstance(exc, ConnectionError):
            raise exc
        log_failure(request, exc)
        if request.writer.output_size > 0:
            raise ConnectionError("part of the response has already been sent")
        metrics.count_refusal(ErrorKind.INTERNAL.value if status >= SERVER_ERROR else "bad_request")
        response = web.Response(status=status, text="the request cannot be handled\n")
        response.force_close()
        return response


def log_failure(request: web.BaseRequest, error: BaseException | None) -> None:
    """Log a request that has failed unexpectedly, or that cannot be parsed."""
    log.warning(
        event(
            "caller_request_failed",
            id=request.headers.get(headers.REQUEST_ID),
            sent_bytes=request.writer.output_size,
            reason=repr(error)[:MAX_ERROR_CHARACTERS],
        )
    )
