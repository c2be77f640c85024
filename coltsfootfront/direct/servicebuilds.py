"""Whether a single build of a service's targets has served for as long as a stream can last.

A router that has just started sees the entries of this moment alone: the targets of another build
may have left a second ago. So the store keeps one record for each service that has resumable
streams: the build that was the only one for that long, or that there were several. It has no
lease, and does not depend on the time of day. It is written when a second build appears, before
its targets begin streams, and once a single build has been alone for long enough. It tells the era
of the store, as a restore may bring back one from before a release.
"""

import json
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import logbook
from returns.result import Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    load_json,
    read_integer,
    read_object,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.directory import Directory
from coltsfootfront.keyvalue.store import Compare, Put, Store, Transaction

log = logbook.Logger(__name__)

BUILDS_PREFIX = "coltsfootfront/builds/"
CHECK_INTERVAL_S = 0.25
# Delay by which each further router writes a record that none before it has written.
STAGGER_S = 1.5
# Delay after a failed write, with jitter over its upper half.
RETRY_DELAY_S = 2.0
# Shortest time for which a stream is taken to last, whatever the routes say.
MIN_STREAM_LIFE_S = 20.0
# A caller may take a stream up after the timeout of its route, within a deadline of its own.
LIFE_PER_TIMEOUT = 1.5


async def _is_always_current(since_s: float) -> bool:
    return True


class _Record(NamedTuple):
    """Record in the store of the builds of one service.

    :param only: the only build, None if there were several.
    :param era: era of the store in which it was written; -1 if it cannot be read.
    """

    only: str | None
    era: int


UNREADABLE_RECORD = _Record(None, -1)


class _Observation:
    """What this router has seen of one service.

    :param since_s: monotonic time from which on it has seen every build.
    """

    __slots__ = ("due_s", "last_seen_s", "record", "since_s")

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.last_seen_s: dict[str, float] = {}
        """Monotonic time at which each build was last there."""
        self.record: _Record | None = None
        self.due_s: float | None = None
        """Monotonic time at which this router writes the record, None if it need not."""


class ServiceBuilds:
    """Follows the builds of each service's targets, and records whether there is a single one.

    :param clock: time source.
    :param directory: targets by service.
    :param store: the platform's key-value service.
    :param revision_of: revision of a key in the copy of the store, None if it is not known.
    :param list_routers: names of all routers, this one included, from which the writer is chosen.
    :param router: name of this router.
    :param store_era: latest known era of the store.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        store: Store,
        revision_of: Callable[[str], int | None],
        list_routers: Callable[[], list[str]],
        router: str,
        generator: random.Random,
        store_era: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._store = store
        self._revision_of = revision_of
        self._list_routers = list_routers
        self._router = router
        self._generator = generator
        self._store_era = store_era
        self._services: dict[str, _Observation] = {}
        self.life_s = MIN_STREAM_LIFE_S
        """Longest time from the beginning of a stream until a caller takes it up again."""
        self.is_first_start = False
        """Whether no router has run in this deployment before."""
        self.copy_age_s: Callable[[], float | None] = lambda: 0.0
        """Time since the copy of the store was known to lack nothing."""
        self.update_copy: Callable[[float], Awaitable[bool]] = _is_always_current
        """Brings the copy of the store up to date as of a monotonic time; False if it cannot."""
        self.on_mixed: Callable[[str], None] = lambda service: None
        """Called with a service that has got a second build."""

    def set_services(self, timeouts_s: dict[str, float]) -> None:
        """Set the services that have resumable streams.

        :param timeouts_s: longest timeout of the routes of each.
        """
        longest_s = max(timeouts_s.values(), default=0.0)
        self.life_s = max(MIN_STREAM_LIFE_S, LIFE_PER_TIMEOUT * longest_s)
        for service in timeouts_s:
            self._observation(service)

    def only_build(self, service: str) -> str | None:
        """Build that has begun every stream of a service that may still be taken up.

        :returns: None if there may be several.
        """
        observed = self._observe(service)
        recent = self._recent(observed)
        record = observed.record
        if record is None or record.only is None or recent != {record.only}:
            return None
        if record.era != self._store_era() and not self._has_seen_all(observed):
            return None
        return record.only

    def is_recorded(self, service: str) -> bool:
        """Whether the store has a record of the service that no restore has made doubtful."""
        record = self._observation(service).record
        return record is not None and record.era == self._store_era()

    def may_begin(self, service: str, build: str) -> bool:
        """Whether streams may begin at a build: the store knows that it is not the only one."""
        record = self._observation(service).record
        return record is None or record.only in (None, build)

    def observe(self, service: str) -> None:
        """Take note of a changed entry of a service's target."""
        if service in self._services:
            self._observe(service)

    def handle_stored(self, service: str, value: bytes | None) -> None:
        """Take the record that the store has of a service."""
        observed = self._observation(service)
        observed.record = _decode(service, value) if value is not None else None
        observed.due_s = None

    async def run(self) -> None:
        """Run the loop that records the builds of each service."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if not self._is_copy_current():
                # A build may have come and gone meanwhile.
                for observed in self._services.values():
                    observed.since_s = self._clock.monotonic_s()
            for service in list(self._services):
                await self._check(service)

    def _is_copy_current(self) -> bool:
        age_s = self.copy_age_s()
        return age_s is not None and age_s <= self.life_s / 2

    def _observation(self, service: str) -> _Observation:
        observed = self._services.get(service)
        if observed is None:
            observed = self._services[service] = _Observation(self._clock.monotonic_s())
        return observed

    def _observe(self, service: str) -> _Observation:
        observed = self._observation(service)
        now_s = self._clock.monotonic_s()
        was_single = len(self._recent(observed)) == 1
        for target in self._directory.of_service(service):
            observed.last_seen_s[target.entry.build_key] = now_s
        recent = self._recent(observed)
        if was_single and len(recent) > 1:
            log.info(event("builds_mixed", service=service, builds=",".join(sorted(recent))))
            self.on_mixed(service)
        return observed

    def _recent(self, observed: _Observation) -> set[str]:
        """Builds that this router has seen within the life of a stream."""
        oldest_s = self._clock.monotonic_s() - self.life_s
        for build in [key for key, seen_s in observed.last_seen_s.items() if seen_s < oldest_s]:
            del observed.last_seen_s[build]
        return set(observed.last_seen_s)

    async def _check(self, service: str) -> None:
        observed = self._observe(service)
        now_s = self._clock.monotonic_s()
        is_wanted, build = self._wanted_record(observed)
        if not is_wanted:
            observed.due_s = None
            return
        if observed.due_s is None:
            routers = rank(service.encode(), sorted({*self._list_routers(), self._router}))
            observed.due_s = now_s + STAGGER_S * routers.index(self._router)
        if now_s >= observed.due_s:
            observed.due_s = now_s + self._generator.uniform(RETRY_DELAY_S / 2, RETRY_DELAY_S)
            await self._write(service, build)

    def _wanted_record(self, observed: _Observation) -> tuple[bool, str | None]:
        """Whether the store's record should change, and the build that it should name."""
        recent = self._recent(observed)
        record = observed.record
        if not recent:
            return False, None
        if len(recent) > 1:
            return record is None or record.only is not None, None
        (build,) = recent
        if record is not None and record == (build, self._store_era()):
            return False, build
        if self._has_seen_all(observed) or (self.is_first_start and record is None):
            return True, build
        if record is None or record.only is None or record.only == build:
            return False, None
        # The record names another build, whose targets have gone before this router started.
        return True, None

    def _has_seen_all(self, observed: _Observation) -> bool:
        """Whether this router has seen each build of which a stream may still be taken up."""
        return self._clock.monotonic_s() - observed.since_s >= self.life_s

    async def _write(self, service: str, build: str | None) -> None:
        key = BUILDS_PREFIX + service
        revision = self._revision_of(key)
        if revision is None:
            return
        value = json.dumps({"only": build, "era": self._store_era()}).encode()
        committed = await self._store.commit(
            Transaction(compares=[Compare(key, revision)], puts=[Put(key, value)])
        )
        if not isinstance(committed, Success):
            failure = committed.failure()
            log.info(event("builds_not_recorded", service=service, reason=failure.message))
        elif committed.unwrap().succeeded:
            log.info(event("builds_recorded", service=service, only=build))
            self.handle_stored(service, value)


def _decode(service: str, value: bytes) -> _Record:
    """Decode a record; one that cannot be read names no build."""
    try:
        with decoding("builds"):
            fields = read_object(load_json(value))
            only = None if fields["only"] is None else read_text(fields["only"])
            return _Record(only, read_integer(fields["era"]))
    except DecodingError as error:
        log.warning(event("builds_unreadable", service=service, reason=str(error)))
        return UNREADABLE_RECORD
