"""Checks the events of a stream so that only complete, consecutive events are relayed."""

import re
from dataclasses import dataclass

EVENT_SEPARATOR = b"\n\n"
# Limit on bytes without a numbered event; an event normally has a few hundred bytes.
MAX_BYTES_WITHOUT_EVENT = 65_536
ID_FIELD = b"id:"
# A field or a comment. Lines of events end with a line feed alone; those of another response's head
# or chunk framing, written into the stream, end with CRLF.
EVENT_LINE = re.compile(rb"(?:[A-Za-z][\w-]*)?(?::[^\r]*)?")


class StreamBrokenError(Exception):
    """A stream's events are out of order, malformed or missing, or its last event is truncated."""


@dataclass(slots=True)
class StreamValidator:
    """Splits a stream into events and checks their ids.

    An event whose id is not above the last one is a duplicate and dropped, so that a stream can be
    resumed at another target that repeats some events.

    :param last_event_id: id of the last event that was relayed, None before the first.
    """

    last_event_id: int | None = None
    event_count: int = 0
    """Number of events with an id that were relayed."""
    _partial_event: bytes = b""
    _bytes_since_event: int = 0
    _error: StreamBrokenError | None = None

    def feed(self, data: bytes) -> bytes:
        """Add a chunk of the stream; :meth:`check` says whether the stream can go on.

        :returns: the complete events that may be relayed now, those before an error included.
        """
        self._bytes_since_event += len(data)
        events = self._split_events(data)
        if self._error is None and self._bytes_since_event > MAX_BYTES_WITHOUT_EVENT:
            self._error = StreamBrokenError(f"no numbered event in {self._bytes_since_event} bytes")
        return events

    def check(self) -> None:
        """Check what has been added.

        :raises StreamBrokenError: if an event is out of order or malformed, or too many bytes have
            arrived without a numbered event.
        """
        if self._error is not None:
            raise self._error

    def _split_events(self, data: bytes) -> bytes:
        text = self._partial_event + data
        end = text.rfind(EVENT_SEPARATOR)
        if end < 0:
            self._partial_event = text
            return b""
        end += len(EVENT_SEPARATOR)
        complete, self._partial_event = text[:end], text[end:]
        accepted = b""
        for block in complete.split(EVENT_SEPARATOR)[:-1]:
            try:
                if self._is_next(block):
                    accepted += block + EVENT_SEPARATOR
            except StreamBrokenError as error:
                self._error = error
                break
        return accepted

    def finish(self) -> None:
        """Check the end of the stream.

        :raises StreamBrokenError: if the stream ends within an event.
        """
        self.check()
        if self._partial_event.strip():
            raise StreamBrokenError("the stream ends within an event")

    def restart(self) -> None:
        """Continue with the stream of another target; a partial event is dropped."""
        self._partial_event = b""
        self._bytes_since_event = 0
        self._error = None

    def _is_next(self, block: bytes) -> bool:
        for line in block.split(b"\n"):
            if EVENT_LINE.fullmatch(line) is None:
                raise StreamBrokenError(f"a line that belongs to no event: {line[:40]!r}")
        number = _event_number(block)
        if number is None:
            return True
        if self.last_event_id is not None:
            if number <= self.last_event_id:
                return False
            if number != self.last_event_id + 1:
                raise StreamBrokenError(f"event {number} follows event {self.last_event_id}")
        self.last_event_id = number
        self.event_count += 1
        self._bytes_since_event = 0
        return True


def _event_number(block: bytes) -> int | None:
    lines = [line for line in block.split(b"\n") if line.startswith(ID_FIELD)]
    if not lines:
        return None
    if len(lines) > 1:
        raise StreamBrokenError(f"{len(lines)} ids in one event")
    try:
        return int(lines[0][len(ID_FIELD) :])
    except ValueError as error:
        raise StreamBrokenError("the id of an event is not an integer") from error
