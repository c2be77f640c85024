"""Finds the build at which a stream that a caller takes up again may go on."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, NamedTuple

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.gossipfields import decode_begun
from coltsfootfront.direct.servicebuilds import ServiceBuilds
from coltsfootfront.direct.streambuilds import StreamBuild, StreamTable, stream_key

log = logbook.Logger(__name__)

# Shortest time between two reads of what peers know. A burst of take-ups after a start or a lost
# datagram would ask for the same streams.
MIN_READ_INTERVAL_S = 0.5
# A caller waits meanwhile; peers answer from memory.
READ_TIMEOUT_S = 0.5

Streams = list[tuple[bytes, StreamBuild]]
OnStreams = Callable[[Streams], None]


class PeerStreams(ABC):
    """Reads which streams other routers know."""

    @abstractmethod
    async def read_streams(
        self, limit_s: float, receive: OnStreams, must_ask_all: bool = False
    ) -> bool:
        """Read the streams that a few peers know, or all of them.

        :param limit_s: peers that have not answered within this time are not waited for.
        :param receive: called with what each of them knows, as it arrives.
        :returns: whether a peer has answered, or each one if all are asked, or there is none.
        """


class _Read(NamedTuple):
    """A read of what peers know, which has ended.

    :param begun_s: monotonic time at which it began.
    :param has_answered: whether a peer has answered, or each one if all were asked.
    """

    begun_s: float
    has_asked_all: bool
    has_answered: bool


class TakeUps:
    """Records which builds begin streams, and finds them again.

    :param clock: time source.
    :param builds: builds of the services.
    :param gossip: tells the other routers of streams while there are several builds.
    :param peers: asked about a stream that is not known here.
    """

    def __init__(
        self, clock: Clock, builds: ServiceBuilds, gossip: Gossip, peers: PeerStreams
    ) -> None:
        self._clock = clock
        self._builds = builds
        self._gossip = gossip
        self._peers = peers
        self.table = StreamTable(clock, builds.life_s)
        self._latest_read = _Read(-math.inf, False, False)
        self._reading: asyncio.Task[None] | None = None
        self._received = asyncio.Event()
        """Set when a peer has answered, or the read of what peers know has ended."""
        builds.on_mixed = self._announce_own

    def record_begun(self, customer: str, request_id: str, stream: StreamBuild) -> None:
        """Record a stream whose first event is about to be relayed.

        :param request_id: id of the caller's request.
        """
        if not request_id:
            return
        self.table.life_s = self._builds.life_s
        key = stream_key(customer, request_id)
        self.table.record(key, stream, is_own=True)
        if self._builds.only_build(stream.service) is None:
            self._gossip.queue_begun(key, stream)

    def may_begin(self, service: str, build: str) -> bool:
        """Whether streams may begin at a build of a service."""
        return self._builds.may_begin(service, build)

    async def find(self, customer: str, resumes: str, service: str) -> StreamBuild | None:
        """Find where a stream may go on.

        :param resumes: id of the request that brought its first event, empty if unknown.
        :param service: service of the stream's route.
        :returns: None if it is not known which build began it.
        """
        key = stream_key(customer, resumes) if resumes else b""
        known = self.table.find(key)
        if known is not None:
            return known
        arrived_s = self._clock.monotonic_s()
        if self._find_only(service) is not None:
            # Whatever began a stream that is taken up by now was in the store before.
            is_current = await self._builds.update_copy(arrived_s)
            only = self._find_only(service)
            if only is not None and not (is_current and self._builds.is_recorded(service)):
                return await self._find_by_all_peers(key, service, arrived_s)
            if only is not None:
                return self.table.find(key) or only
        if resumes:
            await self._read_peers(key, arrived_s)
        return self.table.find(key)

    def may_find_later(self, service: str) -> bool:
        """Whether a build that was not found may be found at a later try, here or elsewhere.

        That is the case while this router only lacks a confirmation of what it believes.
        """
        return self._find_only(service) is not None

    async def _find_by_all_peers(
        self, key: bytes, service: str, arrived_s: float
    ) -> StreamBuild | None:
        """Find a stream while the store cannot tell whether a service has a single build.

        Each stream of another build is known to the router that began it.
        """
        have_all_answered = await self._read_peers(key, arrived_s, must_ask_all=True)
        known = self.table.find(key)
        if known is not None or not have_all_answered:
            return known
        return self._find_only(service)

    def _find_only(self, service: str) -> StreamBuild | None:
        """The single build of a service, None if there may be several."""
        only = self._builds.only_build(service)
        if only is None or self.table.has_other_build(service, only):
            return None
        return StreamBuild(service, only)

    def handle_begun(self, fields: list[Any]) -> None:
        """Record streams that have begun at a peer."""
        stream, keys = decode_begun(fields)
        for key in keys:
            self.table.record(key, stream)

    def streams_to_share(self) -> Streams:
        """Streams to tell a peer that asks."""
        return list(self.table.all())

    def _announce_own(self, service: str) -> None:
        """Tell peers of the streams that began before the service had several builds."""
        for key, stream in self.table.own(service):
            self._gossip.queue_begun(key, stream)

    async def _read_peers(self, key: bytes, since_s: float, must_ask_all: bool = False) -> bool:
        """Read what peers know, until a stream is found.

        :param since_s: a read that began before this monotonic time is not enough.
        :returns: whether the peers have answered.
        """
        while self.table.find(key) is None:
            if self._reading is None:
                latest = self._latest_read
                has_asked_enough = latest.has_asked_all or not must_ask_all
                if latest.begun_s >= since_s and has_asked_enough:
                    return latest.has_answered
                self._reading = asyncio.create_task(self._read_once(must_ask_all))
            await self._received.wait()
        return True

    async def _read_once(self, must_ask_all: bool) -> None:
        pause_s = self._latest_read.begun_s + MIN_READ_INTERVAL_S - self._clock.monotonic_s()
        if pause_s > 0:
            await self._clock.sleep(pause_s)
        before = len(self.table)
        begun_s = self._clock.monotonic_s()
        has_answered = False
        try:
            has_answered = await self._peers.read_streams(
                READ_TIMEOUT_S, self._record_streams, must_ask_all
            )
        finally:
            self._latest_read = _Read(begun_s, must_ask_all, has_answered)
            self._reading = None
            self._wake_waiting()
            if not has_answered:
                metrics.CONNECTION_EVENTS.inc({"event": "streams_not_read"})
            log.info(
                event(
                    "streams_read",
                    before=before,
                    known=len(self.table),
                    answered=has_answered,
                    asked_all=must_ask_all,
                )
            )

    def _record_streams(self, streams: Streams) -> None:
        for key, stream in streams:
            self.table.record(key, stream)
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        received, self._received = self._received, asyncio.Event()
        received.set()
