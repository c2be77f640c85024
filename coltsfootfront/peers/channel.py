"""Client side of a peer connection: calls and streams multiplexed on one connection."""

import asyncio
import itertools
from collections.abc import Callable
from typing import TypeVar

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.peers.connection import Connection, ConnectionLostError, Identity, connect
from coltsfootfront.peers.messages import Message

log = logbook.Logger(__name__)

M = TypeVar("M", bound=Message)

# Unread messages of one stream above which the connection is closed. The agent's send window
# keeps a conforming stream far below this.
MAX_STREAM_MESSAGES = 8192


class StreamInbox:
    """Queue of the messages received on one stream, in order of arrival.

    ``get`` raises :class:`ConnectionLostError` when the connection has ended
    and the queue is empty.
    """

    __slots__ = ("_channel", "_queue", "stream")

    def __init__(self, stream: int, channel: "Channel") -> None:
        self.stream = stream
        self._queue: asyncio.Queue[Message | None] = asyncio.Queue()
        self._channel = channel

    def put(self, message: Message | None) -> None:
        """Append a message; None marks the end of the connection."""
        self._queue.put_nowait(message)

    @property
    def size(self) -> int:
        """Number of unread messages."""
        return self._queue.qsize()

    async def get(self) -> Message:
        """Wait for the next message of the stream."""
        message = await self._queue.get()
        if message is None:
            raise ConnectionLostError("connection ended")
        return message

    def close(self) -> None:
        """Unregister the stream; messages that still arrive for it are discarded."""
        self._channel.drop_stream(self.stream)


class Channel:
    """Client connection to one peer, opened on demand and closed when idle.

    :param address: ``host:port`` of the peer.
    :param identity: identity of this process.
    :param clock: time source.
    :param on_revision: called for each received message with this channel and the sender's
        configuration revision.
    :param on_request: called with this channel and a message that is neither a reply nor part
        of a stream, such as a ``Pull`` from a server with an older configuration.
    :param connect_timeout_s: time limit for connecting and for the handshake.
    :param idle_close_s: idle time after which the connection is closed.
    """

    def __init__(
        self,
        address: str,
        identity: Identity,
        clock: Clock,
        on_revision: Callable[["Channel", int], None] | None = None,
        on_request: Callable[["Channel", Message], None] | None = None,
        connect_timeout_s: float = 1.0,
        idle_close_s: float = 60.0,
    ) -> None:
        self.address = address
        self._identity = identity
        self._clock = clock
        self._on_revision = on_revision
        self._on_request = on_request
        self._connect_timeout_s = connect_timeout_s
        self._idle_close_s = idle_close_s
        self._numbers = itertools.count(1)
        self._calls: dict[int, asyncio.Future[Message]] = {}
        self._streams: dict[int, StreamInbox] = {}
        self._connection: Connection | None = None
        self._reader: asyncio.Task[None] | None = None
        self._open_lock = asyncio.Lock()
        self.last_used_s = clock.monotonic_s()
        self.peer_incarnation = ""

    def next_number(self) -> int:
        """Return a call or stream number that is unique on this channel."""
        return next(self._numbers)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._connection is not None and not self._connection.is_closing

    async def open(self) -> str:
        """Open the connection if it is not open.

        :returns: incarnation of the peer at the other end of this connection.
        :raises ConnectionLostError: the peer is unreachable; no byte of a message has been written.
        """
        connection = await self._ensure_open()
        return connection.peer_incarnation

    async def send(self, message: Message) -> int:
        """Send one message, opening the connection first if needed.

        :returns: bytes written.
        :raises ConnectionLostError: the peer is unreachable.
        """
        connection = await self._ensure_open()
        self.last_used_s = self._clock.monotonic_s()
        return await connection.send(message)

    async def call(self, message: Message, reply_type: type[M], timeout_s: float) -> M:
        """Send one message and wait for its reply.

        :param message: message whose ``call`` field was taken from :meth:`next_number`.
        :param reply_type: expected type of the reply.
        :param timeout_s: time limit for the whole call, connecting included.
        :raises ConnectionLostError: connection failure, timeout, or a reply of another type.
        """
        number: int = message.call  # type: ignore[attr-defined]
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        try:
            async with ReadTimeout(timeout_s):
                await self.send(message)
                reply = await future
        except TimeoutError as error:
            raise ConnectionLostError(f"no reply from {self.address} in {timeout_s} s") from error
        finally:
            self._calls.pop(number, None)
        if not isinstance(reply, reply_type):
            raise ConnectionLostError(f"unexpected reply type {reply.TYPE}")
        return reply

    def open_stream(self) -> StreamInbox:
        """Allocate a stream number and register its inbox."""
        inbox = StreamInbox(self.next_number(), self)
        self._streams[inbox.stream] = inbox
        return inbox

    def drop_stream(self, stream: int) -> None:
        """Unregister a stream; has no effect if it is not registered."""
        self._streams.pop(stream, None)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open without calls or streams and exceeds the idle time."""
        if self._connection is None or self._calls or self._streams:
            return False
        return self._clock.monotonic_s() - self.last_used_s > self._idle_close_s

    async def close(self) -> None:
        """Close the connection; pending calls fail and streams end."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()
        self._fail_pending()

    async def _ensure_open(self) -> Connection:
        connection = self._connection
        if connection is not None and not connection.is_closing:
            return connection
        async with self._open_lock:
            connection = self._connection
            if connection is not None and not connection.is_closing:
                return connection
            connection = await connect(self.address, self._identity, self._connect_timeout_s)
            metrics.CONNECTION_EVENTS.inc({"event": "opened"})
            self._connection = connection
            self.peer_incarnation = connection.peer_incarnation
            self._reader = asyncio.create_task(self._read(connection))
            return connection

    async def _read(self, connection: Connection) -> None:
        try:
            while True:
                message, revision = await connection.receive()
                if self._on_revision is not None:
                    self._on_revision(self, revision)
                self._deliver(message)
        except ConnectionLostError as error:
            log.debug(event("channel_lost", address=self.address, reason=error))
        except Exception as error:
            log.error(event("channel_failed", address=self.address, reason=repr(error)))
        finally:
            if self._connection is connection:
                self._connection = None
                self._fail_pending()
            await connection.close()

    def _deliver(self, message: Message) -> None:
        stream = getattr(message, "stream", None)
        if stream is not None:
            inbox = self._streams.get(stream)
            if inbox is None:
                metrics.STREAM_EVENTS.inc({"event": "late_message_dropped"})
                return
            if inbox.size >= MAX_STREAM_MESSAGES:
                raise ConnectionLostError(f"stream {stream} exceeds its limit of unread messages")
            inbox.put(message)
            return
        future = self._calls.get(getattr(message, "call", 0))
        if future is None:
            if self._on_request is not None:
                self._on_request(self, message)
        elif not future.done():
            future.set_result(message)

    def _fail_pending(self) -> None:
        for future in self._calls.values():
            if not future.done():
                future.set_exception(ConnectionLostError(f"connection to {self.address} ended"))
        for inbox in self._streams.values():
            inbox.put(None)


class ChannelPool:
    """Creates channels on demand and reuses them by peer address.

    :param factory: builds the channel for an address.
    """

    def __init__(self, factory: Callable[[str], Channel]) -> None:
        self._factory = factory
        self._channels: dict[str, Channel] = {}

    def get(self, address: str) -> Channel:
        """Return the channel for an address, creating it on first use."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._factory(address)
            self._channels[address] = channel
        return channel

    async def close_idle(self) -> None:
        """Close and remove channels that exceed their idle time."""
        for address, channel in list(self._channels.items()):
            if channel.is_idle:
                del self._channels[address]
                await channel.close()

    async def close(self) -> None:
        """Close every channel."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()
