"""A stream of events as a caller receives it, over its tries."""

import re

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+\n\n")
# Data of the events of a target stand-in, by which a caller recognises its software version.
BUILD_DATA_FORMAT = "{build} {{number}}"


class ClientStream:
    """One caller's stream over its tries.

    :param name: its first request's id.
    :param events: number of its events.
    """

    def __init__(self, name: str, events: int) -> None:
        self.name = name
        self.builds: list[str] = []
        self.last_event_id: int | None = None
        self.is_out_of_order = False
        """Whether an event was missing or came twice."""
        self._events = events
        self._rest = b""

    @property
    def is_joined(self) -> bool:
        """Whether its events come from several software versions."""
        return len(set(self.builds)) > 1

    @property
    def is_complete(self) -> bool:
        """Whether its last event has arrived."""
        return self.last_event_id == self._events - 1

    @property
    def is_whole(self) -> bool:
        """Whether all events of one software version have arrived, in order and nothing else."""
        is_sound = not (self.is_joined or self.is_out_of_order or self._rest)
        return self.is_complete and is_sound

    def take_up_headers(self) -> dict[str, str]:
        """Headers of the next try, which brings an event again that has arrived in part."""
        self._rest = b""
        if self.last_event_id is None:
            return {}
        return {"Last-Event-Id": str(self.last_event_id), "Resumes": self.name}

    def feed(self, data: bytes) -> None:
        """Record the complete events; bytes that are no event end what is recorded."""
        data = self._rest + data
        end = 0
        while match := EVENT.match(data, end):
            number = int(match[1])
            expected = 0 if self.last_event_id is None else self.last_event_id + 1
            self.is_out_of_order |= number != expected
            self.last_event_id = number
            self.builds.append(match[2].decode())
            end = match.end()
        self._rest = data[end:]
