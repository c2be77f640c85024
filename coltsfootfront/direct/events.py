"""Checks the events of a stream, so that only whole events in the right order are passed on."""

from dataclasses import dataclass

SEPARATOR = b"\n\n"
# Bytes without a numbered event that a sound stream does not reach: an event has some hundred.
MAX_IDLE_BYTES = 65_536
ID_FIELD = b"id:"


class StreamBrokenError(Exception):
    """The events of a stream are not in order, or its last event is cut off."""


@dataclass(slots=True)
class StreamValidator:
    """Cuts a stream into events and checks their numbers.

    :param last_event_id: number of the last event that was passed on, None before the first.
    """

    last_event_id: int | None = None
    event_count: int = 0
    """Numbered events that were passed on."""
    _rest: bytes = b""
    _idle_bytes: int = 0

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream.

        :returns: the whole events that may be passed on now.
        :raises StreamBrokenError: when an event is out of order, or when none comes.
        """
        self._idle_bytes += len(data)
        events = self._cut(data)
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise StreamBrokenError(f"no event in {self._idle_bytes} bytes")
        return events

    def _cut(self, data: bytes) -> bytes:
        text = self._rest + data
        end = text.rfind(SEPARATOR)
        if end < 0:
            self._rest = text
            return b""
        end += len(SEPARATOR)
        whole, self._rest = text[:end], text[end:]
        kept = [block for block in whole.split(SEPARATOR)[:-1] if self._is_next(block)]
        return b"".join(block + SEPARATOR for block in kept)

    def finish(self) -> None:
        """Note that the stream has ended.

        :raises StreamBrokenError: when it ends within an event.
        """
        if self._rest.strip():
            raise StreamBrokenError("the stream ends within an event")

    def restart(self) -> None:
        """Go on with the stream of another target; the rest of a cut event is dropped."""
        self._rest = b""
        self._idle_bytes = 0

    def _is_next(self, block: bytes) -> bool:
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
        self._idle_bytes = 0
        return True


def _event_number(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError as error:
                raise StreamBrokenError("an event has no valid number") from error
    return None
