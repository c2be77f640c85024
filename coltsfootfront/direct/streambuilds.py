"""Which target software may continue a stream.

A stream may go on only at targets of the build, which is the version of their software, that began
it. Within one response the router knows that build. A caller that takes a stream up again names
the request that brought its first event, and may reach any router. While only one build has served
for as long as a stream can last, no record is needed. Otherwise each router tells all others which
build began which stream, and a take-up whose build is unknown is refused.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from coltsfootfront.common.clock import Clock

KEY_BYTES = 8
# Streams that are kept, some 300 bytes each.
MAX_STREAMS = 40_000


class StreamBuild(NamedTuple):
    """Service and build that began a stream."""

    service: str
    build: str


def stream_key(customer: str, request_id: str) -> bytes:
    """Key of a stream, of the same size whatever a caller sends.

    :param customer: name of the customer, so that nobody takes up another one's stream.
    :param request_id: id of the caller's request that brought the first event.
    """
    name = customer.encode("utf-8", "surrogateescape")
    content = len(name).to_bytes(4) + name + request_id.encode("utf-8", "surrogateescape")
    return blake2b(content, digest_size=KEY_BYTES).digest()


class _Record:
    __slots__ = ("begun_s", "build", "is_own")

    def __init__(self, build: StreamBuild, begun_s: float, is_own: bool) -> None:
        self.build = build
        self.begun_s = begun_s
        self.is_own = is_own


class StreamTable:
    """Builds of the streams that have begun recently, here or at other routers.

    :param clock: time source.
    :param max_streams: the oldest streams beyond this number are forgotten.
    """

    __slots__ = ("_clock", "_counts", "_max_streams", "_records", "life_s")

    def __init__(self, clock: Clock, life_s: float, max_streams: int = MAX_STREAMS) -> None:
        self._clock = clock
        self._max_streams = max_streams
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._counts: Counter[StreamBuild] = Counter()
        self.life_s = life_s
        """Longest time from the beginning of a stream until a caller takes it up again."""

    def __len__(self) -> int:
        return len(self._records)

    def record(self, key: bytes, build: StreamBuild, is_own: bool = False) -> None:
        """Record a stream that has begun; the first record of a stream stands."""
        self._forget_old()
        if key in self._records:
            return
        self._records[key] = _Record(build, self._clock.monotonic_s(), is_own)
        self._counts[build] += 1
        if len(self._records) > self._max_streams:
            self._forget_oldest()

    def find(self, key: bytes) -> StreamBuild | None:
        """Build that began a stream, None if it is not known."""
        self._forget_old()
        record = self._records.get(key)
        return record.build if record is not None else None

    def has_other_build(self, service: str, build: str) -> bool:
        """Whether a stream of a service has begun at another build."""
        self._forget_old()
        return any(known.service == service and known.build != build for known in self._counts)

    def own(self, service: str) -> list[tuple[bytes, StreamBuild]]:
        """Streams of a service that have begun at this router."""
        self._forget_old()
        return [
            (key, record.build)
            for key, record in self._records.items()
            if record.is_own and record.build.service == service
        ]

    def all(self) -> Iterable[tuple[bytes, StreamBuild]]:
        """All streams, the latest last."""
        self._forget_old()
        return [(key, record.build) for key, record in self._records.items()]

    def _forget_old(self) -> None:
        oldest_s = self._clock.monotonic_s() - self.life_s
        while self._records:
            if next(iter(self._records.values())).begun_s >= oldest_s:
                return
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, record = self._records.popitem(last=False)
        self._counts[record.build] -= 1
        if not self._counts[record.build]:
            del self._counts[record.build]
