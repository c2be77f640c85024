"""Which routers hold the store's watch on the configuration, and how they follow it.

An open watch counts towards the store's rates, so only the top routers of each data centre by
rendezvous hash hold one. The others learn of new revisions from their peers.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Iterable

import logbook
from returns.result import Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.configuration.publisher import Publisher
from coltsfootfront.configuration.records import HEAD_KEY, Head, decode_head
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.keyvalue.store import Store, WatchEvent

log = logbook.Logger(__name__)

WATCHERS_PER_DATA_CENTRE = 2
ELECTION_INTERVAL_S = 1.0
# Delays between reads of the head while a watch is open: at once, a second later for a change
# that fell between the first read and the opening of the watch, then at long intervals in case
# the watch is silently dead.
FIRST_READS_S = (0.0, 1.0)
REREAD_INTERVAL_S = 30.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0


def watchers_of(data_centre: str, routers: Iterable[str]) -> list[str]:
    """Routers of a data centre that hold the watch, by rendezvous hash."""
    return rank(data_centre.encode(), set(routers), WATCHERS_PER_DATA_CENTRE)


class Watcher:
    """Follows the head in the store while this router is one of the watchers.

    :param name: name of this router.
    :param data_centre: its data centre.
    :param store: the platform's key-value service.
    :param revision: holder of the configuration in force.
    :param clock: time source.
    :param live_routers: returns the names of the live routers of the data centre; this router
        always counts as one of them.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        store: Store,
        revision: ActiveConfiguration,
        clock: Clock,
        live_routers: Callable[[], Iterable[str]],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._store = store
        self._publisher = Publisher(store, clock)
        self._revision = revision
        self._clock = clock
        self._live_routers = live_routers
        self._supervisor = Supervisor("watcher", clock)
        self._loading = asyncio.Lock()
        self._following: asyncio.Task[None] | None = None

    @property
    def is_watching(self) -> bool:
        """Whether this router follows the head in the store."""
        return self._following is not None

    async def start(self) -> None:
        """Start to take part in the choice of watchers."""
        self._supervisor.add("election", self._elect)
        await self._supervisor.start()

    async def close(self) -> None:
        """End the watch."""
        await self._supervisor.close()

    async def _elect(self) -> None:
        try:
            while True:
                await self._elect_once()
                await self._clock.sleep(ELECTION_INTERVAL_S)
        finally:
            await self._stop_following()

    async def _elect_once(self) -> None:
        chosen = watchers_of(self._data_centre, {self._name, *self._live_routers()})
        if self._name not in chosen:
            await self._stop_following()
        elif self._following is None or self._following.done():
            self._following = asyncio.create_task(self._follow())

    async def _stop_following(self) -> None:
        following, self._following = self._following, None
        if following is not None:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    async def _follow(self) -> None:
        """Watch and read the head; open a new watch after an outage with a random delay."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            started_s = self._clock.monotonic_s()
            reason = await self._follow_once()
            if self._clock.monotonic_s() - started_s > REREAD_INTERVAL_S:
                backoff_s = FIRST_BACKOFF_S
            metrics.CONFIGURATION_EVENTS.inc({"event": "watch_reopened"})
            log.info(event("watch_ended", reason=reason))
            await self._clock.sleep(random.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _follow_once(self) -> str:
        """Run one watch beside reads of the head.

        :returns: why it ended.
        """
        tasks = {
            asyncio.create_task(self._consume(self._store.watch(HEAD_KEY))),
            asyncio.create_task(self._reread()),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _consume(self, events: AsyncIterator[WatchEvent]) -> str:
        try:
            async for found in events:
                if found.key == HEAD_KEY and found.value is not None:
                    failure = await self._take(decode_head(found.value))
                    if failure:
                        return failure
        except FailureError as error:
            return str(error)
        except ValueError as error:
            return f"head cannot be read: {error}"
        return "watch ended"

    async def _reread(self) -> str:
        for delay_s in FIRST_READS_S:
            await self._clock.sleep(delay_s)
            failure = await self._read_head()
            if failure:
                return failure
        while True:
            await self._clock.sleep(REREAD_INTERVAL_S * random.uniform(0.9, 1.0))
            before = self._revision.number
            failure = await self._read_head()
            if failure:
                return failure
            if self._revision.number > before:
                return "a read found a revision that the watch had not reported"

    async def _read_head(self) -> str:
        result = await self._publisher.read_head_loosely()
        if not isinstance(result, Success):
            return str(result.failure().message)
        return await self._take(result.unwrap())

    async def _take(self, head: Head) -> str:
        """Put the revision of a head in force if it is newer.

        :returns: why its entries could not be read, or an empty string.
        """
        async with self._loading:
            if head.revision < self._revision.number:
                metrics.CONFIGURATION_EVENTS.inc({"event": "older_head_ignored"})
                log.warning(event("older_head_ignored", revision=head.revision))
                return ""
            if head.record is None or head.revision == self._revision.number:
                return ""
            result = await self._publisher.read_entries(head.record, self._revision.entries)
            if not isinstance(result, Success):
                return str(result.failure().message)
            self._revision.install(head.revision, result.unwrap(), head.record.digest)
            return ""
