"""Election of the routers that watch the configuration in the store, and the watch itself.

An open watch counts towards the store's rate limits, so only the top routers of each data centre
by rendezvous hash hold one. The others get new revisions from their peers.
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
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.publisher import Publisher
from coltsfootfront.configuration.records import HEAD_KEY, Head, decode_head
from coltsfootfront.keyvalue.store import Store, WatchEvent

log = logbook.Logger(__name__)

WATCHERS_PER_DATA_CENTRE = 2
ELECTION_INTERVAL_S = 1.0
# Delays before reads of the head while a watch is open: at once, a second later for a change
# between the first read and the opening of the watch, then periodically in case the watch fails
# without an error.
INITIAL_READ_DELAYS_S = (0.0, 1.0)
POLL_INTERVAL_S = 30.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0


def choose_watchers(data_centre: str, routers: Iterable[str]) -> list[str]:
    """Choose the routers of a data centre that hold a watch, by rendezvous hash."""
    return rank(data_centre.encode(), set(routers), WATCHERS_PER_DATA_CENTRE)


class Watcher:
    """Watches the head in the store while this router is one of the elected watchers.

    :param name: name of this router.
    :param data_centre: its data centre.
    :param store: the platform's key-value service.
    :param configuration: active configuration of this process.
    :param clock: time source.
    :param live_routers: returns the names of the live routers of the data centre; this router
        always counts as one of them.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        store: Store,
        configuration: ActiveConfiguration,
        clock: Clock,
        live_routers: Callable[[], Iterable[str]],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._store = store
        self._publisher = Publisher(store, clock)
        self._configuration = configuration
        self._clock = clock
        self._live_routers = live_routers
        self._supervisor = Supervisor("watcher", clock)
        self._load_lock = asyncio.Lock()
        self._watch_task: asyncio.Task[None] | None = None

    @property
    def is_watching(self) -> bool:
        """Whether this router watches the head in the store."""
        return self._watch_task is not None

    async def start(self) -> None:
        """Start taking part in the election of watchers."""
        self._supervisor.add("election", self._run_elections)
        await self._supervisor.start()

    async def close(self) -> None:
        """Leave the election and end the watch."""
        await self._supervisor.close()

    async def _run_elections(self) -> None:
        try:
            while True:
                await self._elect_once()
                await self._clock.sleep(ELECTION_INTERVAL_S)
        finally:
            await self._stop_watching()

    async def _elect_once(self) -> None:
        chosen = choose_watchers(self._data_centre, {self._name, *self._live_routers()})
        if self._name not in chosen:
            await self._stop_watching()
        elif self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.create_task(self._keep_watching())

    async def _stop_watching(self) -> None:
        task, self._watch_task = self._watch_task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _keep_watching(self) -> None:
        """Watch and poll the head; reopen a failed watch with jittered exponential backoff."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            started_s = self._clock.monotonic_s()
            reason = await self._watch_once()
            if self._clock.monotonic_s() - started_s > POLL_INTERVAL_S:
                # The watch stayed open for longer than a poll interval, so its end is not counted
                # as one of a series of failures.
                backoff_s = INITIAL_BACKOFF_S
            metrics.CONFIGURATION_EVENTS.inc({"event": "watch_reopened"})
            log.info(event("watch_ended", reason=reason))
            await self._clock.sleep(random.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _watch_once(self) -> str:
        """Run one watch together with the polling of the head.

        :returns: why it ended.
        """
        tasks = {
            asyncio.create_task(self._read_watch_events(self._store.watch(HEAD_KEY))),
            asyncio.create_task(self._poll_head()),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_watch_events(self, events: AsyncIterator[WatchEvent]) -> str:
        try:
            async for change in events:
                if change.key == HEAD_KEY and change.value is not None:
                    failure = await self._load_head(decode_head(change.value))
                    if failure:
                        return failure
        except FailureError as error:
            return str(error)
        except ValueError as error:
            return f"head cannot be read: {error}"
        return "watch ended"

    async def _poll_head(self) -> str:
        for delay_s in INITIAL_READ_DELAYS_S:
            await self._clock.sleep(delay_s)
            failure = await self._read_head()
            if failure:
                return failure
        while True:
            await self._clock.sleep(POLL_INTERVAL_S * random.uniform(0.9, 1.0))
            before = self._configuration.number
            failure = await self._read_head()
            if failure:
                return failure
            if self._configuration.number > before:
                return "a read found a revision that the watch had not reported"

    async def _read_head(self) -> str:
        result = await self._publisher.read_head_maybe_stale()
        if not isinstance(result, Success):
            return str(result.failure().message)
        return await self._load_head(result.unwrap())

    async def _load_head(self, head: Head) -> str:
        """Make the revision of a head active if it is newer.

        :returns: why its entries could not be read, or an empty string.
        """
        async with self._load_lock:
            if head.revision < self._configuration.number:
                metrics.CONFIGURATION_EVENTS.inc({"event": "older_head_ignored"})
                log.warning(event("older_head_ignored", revision=head.revision))
                return ""
            if head.record is None or head.revision == self._configuration.number:
                return ""
            result = await self._publisher.read_entries(head.record, self._configuration.entries)
            if not isinstance(result, Success):
                return str(result.failure().message)
            try:
                self._configuration.install(head.revision, result.unwrap(), head.record.digest)
            except ValueError as error:
                return f"entries of the head cannot be used: {error}"
            return ""
