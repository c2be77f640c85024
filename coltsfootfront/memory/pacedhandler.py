"""Server connection whose input waits for a turn if its parsing takes long for its size."""

from abc import abstractmethod
from typing import Any

from aiohttp import web

from coltsfootfront.memory.parsepacer import PacedConnection, ParsePacer

# Ends of lines in one read from which its parsing waits for a turn: fields of heads, and chunks,
# each of which takes longer.
MAX_HEAD_LINES = 256
MAX_CHUNK_LINES = 64
# What is parsed in one turn: 2 ms for chunks of one byte.
TURN_BYTES = 2_048
LINE_END = b"\r\n"


class PacedRequestHandler(web.RequestHandler, PacedConnection):
    """Connection that takes turns at parsing with others.

    :param pacer: gives the turns.
    """

    def __init__(self, manager: Any, pacer: ParsePacer, **options: Any) -> None:
        super().__init__(manager, **options)
        self._pacer = pacer
        self._unparsed = b""
        """Input that waits for a turn; nothing is read from the socket meanwhile."""
        self._has_turn = False
        """Whether the connection waits for a turn, or has one."""

    @abstractmethod
    def parse(self, data: bytes) -> None:
        """Parse what has arrived; without any, go on with what aiohttp has left."""

    @abstractmethod
    def record_waiting(self) -> None:
        """Record that a request has begun to arrive, and waits for a turn."""

    @property
    @abstractmethod
    def is_ended(self) -> bool:
        """Whether nothing more is parsed."""

    @property
    @abstractmethod
    def is_receiving_body(self) -> bool:
        """Whether the last request whose head is complete lacks the end of its body."""

    @property
    @abstractmethod
    def is_receiving_chunks(self) -> bool:
        """Whether that body is in chunks."""

    @property
    def is_waiting_for_turn(self) -> bool:
        """Whether input has arrived that has not been parsed yet."""
        return bool(self._unparsed)

    def data_received(self, data: bytes) -> None:
        if self._unparsed and data:
            self._unparsed += data
        elif data and self._is_expensive(data):
            self._postpone(data)
        else:
            self.parse(data)

    def feed_parser(self, data: bytes) -> None:
        """Hand input to aiohttp's parser."""
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._unparsed = b""

    def _is_expensive(self, data: bytes) -> bool:
        """Whether parsing takes long for the size."""
        if not self.is_receiving_body:
            return data.count(LINE_END) > MAX_HEAD_LINES
        return self.is_receiving_chunks and data.count(LINE_END) > MAX_CHUNK_LINES

    def _postpone(self, data: bytes) -> None:
        self._unparsed = data
        self.record_waiting()
        if self.transport is not None:
            self._pause_transport_reading()
            self._request_turn()

    def _request_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._pacer.add(self)

    def parse_next(self) -> bool:
        if self.transport is None or self.is_ended:
            self._unparsed = b""
        elif not self._reading_paused:
            data, self._unparsed = self._unparsed[:TURN_BYTES], self._unparsed[TURN_BYTES:]
            try:
                self.parse(data)
            except Exception:
                # As asyncio does when parsing fails within a read.
                self.abort()
                raise
            if not self._unparsed and not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()
        # While reading is paused, what has been parsed is used first.
        self._has_turn = bool(self._unparsed) and not self._reading_paused
        return self._has_turn

    def resume_reading(self, resume_parser: bool = True) -> None:
        super().resume_reading(resume_parser)
        if self._unparsed and not self._reading_paused:
            self._request_turn()

    def _resume_transport_reading(self) -> None:
        if not self._unparsed:
            super()._resume_transport_reading()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
