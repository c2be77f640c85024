"""Server connection that charges an account with all that the other side makes it hold.

Answers heads that do not end, bodies and chunks that arrive faster than they are used, pipelined
requests, and responses that are not read. What has arrived is charged after it has been parsed, so
that the account may be exceeded by one read from the socket, which is therefore limited.
"""

import asyncio
import itertools
import math
from typing import Any

from coltsfootfront.memory.account import Account
from coltsfootfront.memory.budget import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    REQUEST_BYTES,
    body_memory_bytes,
    head_memory_bytes,
)
from coltsfootfront.memory.holder import Holder, Phase
from coltsfootfront.memory.pacedhandler import PacedRequestHandler
from coltsfootfront.memory.parsepacer import ParsePacer
from coltsfootfront.memory.reads import limit_reads

# Largest read from the socket, and the size from which aiohttp's reader of a body stops reading at
# twice as much. With 256 KiB, as asyncio and aiohttp have it, each connection could hold 768 KiB,
# and many times as much in small chunks.
READ_BYTES = 16_384
# The same for a body that is not in chunks, which takes less processor time in larger reads.
BODY_READ_BYTES = 65_536
# What a connection may leave waiting for the socket before its writer waits.
WRITE_BYTES = 16_384
# Memory of one chunk of a body: its bytes object, its place in the queue and its offset.
CHUNK_BYTES = 96
# Memory of the head of a request as a multiple of its size: raw and decoded fields, and what the
# allocator cannot reuse at once.
HEAD_FACTOR = 4
# Memory of a body that is discarded, and of chunks as they arrive: the reader stops at 1,024.
DISCARDED_BYTES = BODY_READ_BYTES
CHUNKED_BYTES = 65_536
# What a response may leave unread before the next pipelined request is begun.
MAX_UNREAD_BYTES = 262_144

REQUEST_TIMEOUT_HEAD = b"HTTP/1.1 408 Request Timeout\r\n"
HEAD_TOO_LARGE_HEAD = b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
OVERLOADED_HEAD = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\n"
CLOSING_FIELDS = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


class ChargedConnection(PacedRequestHandler):
    """Connection whose memory is charged to an account.

    :param account: what it is charged to.
    :param pacer: gives turns at parsing.
    :param max_head_bytes: largest incomplete head.
    """

    REQUEST_DESCRIPTORS = 0
    """Further descriptors of a request that is being served."""
    UNREAD_FACTOR = 1
    """Memory of a response that is not read, as a multiple of what waits at the socket."""
    UNREAD_BYTES = 0
    """Further memory of a response that is not read."""

    def __init__(
        self,
        manager: Any,
        account: Account,
        pacer: ParsePacer,
        max_head_bytes: int,
        **options: Any,
    ) -> None:
        super().__init__(manager, pacer, read_bufsize=READ_BYTES, **options)
        self._account = account
        self._max_head_bytes = max_head_bytes
        self.holder: Holder | None = None
        self._last_body: Any = None
        """Body of the last request whose head is complete."""
        self._head_bytes = 0
        self._queued_bytes = 0
        self._queued_fields = 0
        """Number of fields of the requests that wait."""
        self._request_head_bytes = 0
        """Memory of the head of the request that is being served."""
        self._declared_bytes = 0
        self._is_arriving = False
        """Whether a request has begun to arrive."""
        self._is_serving = False
        self._is_chunked = False
        self._has_chunked_body = False
        """Whether the last request whose head is complete has a body in chunks."""
        self._is_discarding = False
        self._is_body_refused = False
        self._is_refused = False
        self._read_bytes = 0
        self._unread_bytes = 0
        self._kept_bytes = 0
        """What is kept of a response before it is written."""
        self.head_began_s = math.inf
        """Time of the first byte of a head that is incomplete, infinite if there is none."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        peer = transport.get_extra_info("peername")
        address = str(peer[0]) if peer else ""
        assert isinstance(transport, asyncio.Transport)
        self.holder = self._account.open(address, lambda reason: transport.abort())
        if self.holder is None:
            transport.abort()
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        super().connection_made(transport)
        self._limit_reads(READ_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        if self.holder is not None:
            self._account.remove(self.holder)

    def _limit_reads(self, size_bytes: int) -> None:
        if size_bytes == self._read_bytes:
            return
        self._read_bytes = size_bytes
        limit_reads(self.transport, size_bytes)

    def data_received(self, data: bytes) -> None:
        if data:
            self._account.count_received(len(data))
        if not self.is_ended:
            super().data_received(data)

    def record_waiting(self) -> None:
        self._is_arriving = True
        if self.holder is not None and not self._is_serving:
            self.holder.enter(Phase.RECEIVING, self._account.now_s())
        if not self._update():
            self._refuse_received()

    @property
    def is_ended(self) -> bool:
        return self.holder is None or not self.holder.is_open

    @property
    def is_receiving_chunks(self) -> bool:
        return self._has_chunked_body

    def parse(self, data: bytes) -> None:
        holder = self.holder
        if holder is None:
            return
        if not data:
            messages = len(self._messages)
            self.feed_parser(data)
            self._record_messages(messages, 0)
        elif self.is_receiving_body and not self._messages:
            self._receive_body(holder, data)
        else:
            self._receive_head(holder, data)

    def _receive_body(self, holder: Holder, data: bytes) -> None:
        messages = len(self._messages)
        self.feed_parser(data)
        if self.transport is None:
            return
        self._record_messages(messages, 0)
        self._record_received(holder, len(data), self._account.now_s())
        if not self._update():
            self._refuse_received()

    def _receive_head(self, holder: Holder, data: bytes) -> None:
        """Charge a head, or what waits behind the request that is served, before it is parsed."""
        now_s = self._account.now_s()
        self._head_bytes += len(data)
        self.head_began_s = min(self.head_began_s, now_s)
        self._is_arriving = True
        self._record_received(holder, len(data), now_s)
        if not self._update():
            self._refuse_received()
            return
        messages = len(self._messages)
        self.feed_parser(data)
        if self.transport is None:
            return
        if not self._record_messages(messages, self._head_bytes) and (
            self._head_bytes > self._max_head_bytes
        ):
            self._account.count("head_size")
            self.refuse_head(HEAD_TOO_LARGE_HEAD)

    def _record_messages(self, before: int, size_bytes: int) -> bool:
        """Record the requests that have just been parsed; False if there are none.

        :param before: number of requests that waited before.
        :param size_bytes: size of what has been parsed.
        """
        if len(self._messages) > before:
            message, body = self._messages[-1]
            self._last_body = body
            self._has_chunked_body = getattr(message, "chunked", False)
            self._queued_fields += sum(
                len(getattr(queued, "raw_headers", ()))
                for queued, _ in itertools.islice(self._messages, before, None)
            )
            self._queued_bytes += size_bytes
            self._head_bytes, self.head_began_s = 0, math.inf
            if not body.is_eof():
                body.set_read_chunk_size(BODY_READ_BYTES)
        elif self._messages:
            # The body of a request that waits.
            self._queued_bytes += size_bytes
            self._head_bytes, self.head_began_s = 0, math.inf
        else:
            return False
        return True

    def _record_received(self, holder: Holder, size_bytes: int, now_s: float) -> None:
        if not self._is_serving or self.is_receiving_body:
            holder.enter(Phase.RECEIVING, now_s)
            holder.progress_s = now_s
            holder.received_bytes += size_bytes
        elif self._messages or self._head_bytes:
            holder.enter(Phase.WRITING, now_s)

    @property
    def is_receiving_body(self) -> bool:
        return self._last_body is not None and not self._last_body.is_eof()

    def _held_bytes(self) -> int:
        is_busy = self._is_serving or self._is_arriving
        held = (REQUEST_BYTES if is_busy else CONNECTION_BYTES) + self._unread_bytes
        held += self._kept_bytes + len(self._unparsed)
        held += HEAD_FACTOR * (self._head_bytes + self._queued_bytes)
        held += FIELD_BYTES * self._queued_fields + self._request_head_bytes
        if self._is_chunked:
            held += CHUNKED_BYTES
        if self._is_discarding:
            return held + DISCARDED_BYTES
        body = self._current_request.content if self._current_request is not None else None
        if self._is_serving and body is not None:
            held += body_memory_bytes(max(self._declared_bytes, body.total_bytes))
            # The body of a request without one has no such attribute.
            chunks = getattr(body, "_http_chunk_splits", None)
            if chunks:
                held += max(0, CHUNK_BYTES * len(chunks) - CHUNKED_BYTES)
        return held

    def _update(self) -> bool:
        """Charge what the connection holds now; False if there is no room for it."""
        holder = self.holder
        if holder is None:
            return False
        held_bytes = self._held_bytes()
        descriptors = 1 + (self.REQUEST_DESCRIPTORS if self._is_serving else 0)
        if held_bytes == holder.held_bytes and descriptors == holder.descriptors:
            return holder.is_open
        return self._account.change(holder, held_bytes, descriptors)

    def _charge(self) -> None:
        """Charge what the connection holds for a request that may have run."""
        holder = self.holder
        if holder is not None:
            descriptors = 1 + (self.REQUEST_DESCRIPTORS if self._is_serving else 0)
            self._account.charge(holder, self._held_bytes(), descriptors)

    def _refuse_received(self) -> None:
        """Refuse what has just arrived and has no room."""
        if self._is_serving and self.is_receiving_body and not self._messages:
            # The handler refuses the request, and what is left of the body is discarded.
            self._is_body_refused = True
            self.discard_body()
        elif self._is_serving:
            self.abort()
        else:
            self.refuse_head(OVERLOADED_HEAD)

    def refuse_head(self, status_head: bytes) -> None:
        """Answer a request that has not begun, and close the connection.

        :param status_head: status line, and fields that belong to it.
        """
        if self.transport is None:
            return
        if self._is_serving or self._messages:
            self.abort()
            return
        # A request whose handler has not begun yet must not run any more.
        self._is_refused = True
        self.transport.write(status_head + CLOSING_FIELDS)
        self.force_close()

    def begin_request(self, declared_bytes: int | None, customer: str = "") -> bool:
        """Charge a request whose head is complete.

        :param declared_bytes: length of its body, None if it is not known.
        :param customer: what identifies its customer, empty if there is none.
        :returns: False if there is no room for it.
        """
        holder = self.holder
        if holder is None or not holder.is_open or self._is_refused:
            return False
        if not self._messages:
            self._queued_bytes = self._queued_fields = 0
        if self._current_request is not None:
            self._request_head_bytes = head_memory_bytes(self._current_request.raw_headers)
        self._is_serving, self._declared_bytes = True, declared_bytes or 0
        self._is_discarding = self._is_body_refused = False
        self._is_chunked = declared_bytes is None and self.is_receiving_body
        self._account.assign(holder, customer)
        if not self._update():
            return False
        if not self.is_receiving_body:
            self._enter_served(holder)
        elif declared_bytes is not None:
            self._limit_reads(BODY_READ_BYTES)
        return True

    @property
    def is_serving(self) -> bool:
        """Whether a request is being served on the connection."""
        return self._is_serving

    @property
    def is_body_refused(self) -> bool:
        """Whether the body that is being received has no room."""
        return self._is_body_refused

    def record_body_end(self) -> None:
        """Record that the request is complete."""
        self._limit_reads(READ_BYTES)
        self._is_chunked = False
        if self.holder is not None:
            self._enter_served(self.holder)

    def _enter_served(self, holder: Holder) -> None:
        has_more = bool(self._messages or self._head_bytes or self._unread_bytes)
        holder.enter(Phase.WRITING if has_more else Phase.SERVING, self._account.now_s())

    def discard_body(self) -> None:
        """Record that the rest of the body is discarded as it arrives."""
        self._is_discarding = True
        self._update()

    def end_request(self) -> None:
        """Record that the request has been answered or refused."""
        self._is_serving, self._declared_bytes, self._request_head_bytes = False, 0, 0
        self._is_discarding = self.is_receiving_body
        self._is_chunked = self._is_chunked and self._is_discarding
        self._is_arriving = bool(
            self._is_discarding or self._messages or self._head_bytes or self._unparsed
        )
        self._kept_bytes = 0
        self._count_unread()
        holder = self.holder
        if holder is None or not holder.is_open:
            return
        self._charge()
        if self._is_arriving:
            holder.enter(Phase.RECEIVING, self._account.now_s())
        elif self._unread_bytes:
            holder.enter(Phase.WRITING, self._account.now_s())
        else:
            holder.enter(Phase.IDLE, self._account.now_s())

    async def wait_until_read(self) -> None:
        """Wait while the responses to earlier requests fill the memory of the connection."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            await self._drain_helper()

    def hold(self, size_bytes: int) -> bool:
        """Charge what is kept of a response before it is written.

        :param size_bytes: size of all that is kept, 0 once it has been written.
        :returns: False if there is no room for it, so that no more should be kept.
        """
        self._kept_bytes = size_bytes
        if self._update():
            return True
        self._charge()
        return False

    def refresh(self) -> None:
        """Charge what is held now, after a discarded body or a response that nobody waited for."""
        if self._is_arriving and not (
            self._is_serving
            or self.is_receiving_body
            or self._messages
            or self._head_bytes
            or self._unparsed
        ):
            self.end_request()
        elif self._unread_bytes and not self.writing_paused and not self._is_serving:
            self._count_unread()
            self._update()

    def _count_unread(self) -> None:
        transport = self.transport
        waiting_bytes = transport.get_write_buffer_size() if transport is not None else 0
        if self.writing_paused:
            self._unread_bytes = self.UNREAD_FACTOR * waiting_bytes + self.UNREAD_BYTES
        else:
            self._unread_bytes = waiting_bytes

    def pause_writing(self) -> None:
        super().pause_writing()
        self._count_unread()
        if self.holder is not None:
            self.holder.enter(Phase.WRITING, self._account.now_s())
        self._charge()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._unread_bytes = 0
        holder = self.holder
        if holder is None or not holder.is_open:
            return
        self._update()
        holder.progress_s = self._account.now_s()
        if self._is_serving and not self.is_receiving_body:
            self._enter_served(holder)
