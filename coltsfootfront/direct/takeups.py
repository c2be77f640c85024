"""Finds the build at which a stream that a caller takes up again may go on."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

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
    async def read_streams(self, limit_s: float, receive: OnStreams) -> bool:
        """Read the streams that a few peers know.

        :param limit_s: peers that have not answered within this time are not waited for.
        :param receive: called with what each of them knows, as it arrives.
        :returns: whether a peer has answered, or there is none.
        """


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
        self._read_s: float | None = None
        self._reading: asyncio.Task[None] | None = None
        self._have_peers_answered = False
        """Whether the last read of what peers know had an answer."""
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
        only = self._find_only(service)
        if only is not None and self._builds.is_copy_young():
            return only
        if only is None and not resumes:
            return None
        # A router that is cut off does not learn of a release; its peers do.
        await self._read_peers(key)
        known = self.table.find(key)
        if known is not None or not self._have_peers_answered:
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

    async def _read_peers(self, key: bytes) -> None:
        """Read what peers know, unless that was done just now, until a stream is found."""
        now_s = self._clock.monotonic_s()
        if self._reading is None:
            if self._read_s is not None and now_s - self._read_s < MIN_READ_INTERVAL_S:
                return
            self._read_s = now_s
            self._reading = asyncio.create_task(self._read_once())
        while self._reading is not None and self.table.find(key) is None:
            await self._received.wait()

    async def _read_once(self) -> None:
        before = len(self.table)
        has_answered = False
        try:
            has_answered = await self._peers.read_streams(READ_TIMEOUT_S, self._record_streams)
        finally:
            self._have_peers_answered = has_answered
            self._reading = None
            self._wake_waiting()
            if not has_answered:
                metrics.CONNECTION_EVENTS.inc({"event": "streams_not_read"})
            known = len(self.table)
            log.info(event("streams_read", before=before, known=known, answered=has_answered))

    def _record_streams(self, streams: Streams) -> None:
        for key, stream in streams:
            self.table.record(key, stream)
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        received, self._received = self._received, asyncio.Event()
        received.set()
