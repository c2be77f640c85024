"""Keeps a copy of the keys of interest in the store, also while the store is out of reach.

A router whose calls the store does not answer follows the copy of another router instead, so
that configuration, revoked keys and leaving targets reach it all the same.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import KeyValue, Store

log = logbook.Logger(__name__)

# Time that a watch may wait in the store. A longer one saves calls, which are charged, but may be
# deaf for as long after the store has dropped its history; the users count a store as stable again
# 4 s after that.
WATCH_WAIT_S = 2.5
# Pause after changes, so that those which follow closely are read with one call: each target that
# takes new weights changes its entry, and every router reads each change.
GATHER_S = 0.25
# The pause grows with the routers, so that the calls of all of them together do not: each change
# of any target wakes every router. Entries count as known within two seconds.
GATHER_PER_ROUTER_S = 0.03
MAX_GATHER_S = 1.0
# Pause after a call that failed, doubled up to the maximum; both with full jitter.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# Pause between two questions to a peer while the store does not answer.
PEER_INTERVAL_S = 0.4
# Longest wait for changes at another router; one that has fallen silent is noticed within this
# time and a few round trips.
RELAY_WAIT_S = 1.0
# Time for which a router whose relay does not answer asks the store itself.
OWN_WATCH_S = 8.0
# Routers are behind each other by the pause after changes; one that is for longer reads a peer.
BEHIND_S = 0.25
# A watch that is not answered this long after it should have ended is deaf.
DEAF_SLACK_S = 0.5
# Time in which a router that was paused asks whether its copy is still the newest. The store
# answers in milliseconds; callers wait meanwhile.
CONFIRM_S = 1.0
# Changes that a router keeps for peers; a peer that is further behind reads the whole copy.
KEPT_CHANGES = 2000


@dataclass(frozen=True, slots=True)
class Item:
    """State of one key.

    :param value: bytes, or None after a removal.
    :param revision: store revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys under a prefix.

    :param revision: store revision from which changes must be read to miss none.
    """

    items: list[KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a revision.

    :param revision: store revision up to which the changes are complete.
    :param is_whole: the items are all keys that exist; a key that is not among them was removed.
    """

    items: list[Item]
    revision: int
    is_whole: bool = False


class WatchableStore(Store):
    """Store whose changes can be read from a given revision on."""

    @abstractmethod
    async def snapshot(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""

    @abstractmethod
    async def changes(self, prefix: str, after: int, wait_s: float) -> Result[Changes, Failure]:
        """Wait for changes under a prefix.

        :param after: store revision after which changes are wanted.
        :param wait_s: longest wait in seconds.
        :returns: ``stale_revision`` when the store no longer has this history.
        """


class PeerSource(ABC):
    """Copies of the followed keys at other routers."""

    @abstractmethod
    def relay(self) -> str | None:
        """Address of the router through which this one follows the store.

        :returns: None when this router should ask the store itself.
        """

    @abstractmethod
    async def wait_peer(self, address: str, after: int, wait_s: float) -> Changes | None:
        """Wait for changes at another router.

        :returns: None when it does not answer, or has no contact with the store.
        """

    @abstractmethod
    async def read_peer(self, after: int) -> Changes | None:
        """Read changes from one other router.

        :param after: revision up to which this router is complete.
        :returns: None when no peer answers.
        """


Listener = Callable[[Item], None]


class Follower:
    """Copy of the keys under a prefix.

    :param store: the platform's key-value service.
    :param peers: copies of other routers.
    :param clock: time source.
    :param prefix: keys to follow; empty for all.
    :param listener: called for each change of a key, in the order of its revisions.
    """

    def __init__(
        self,
        store: WatchableStore,
        peers: PeerSource,
        clock: Clock,
        prefix: str,
        listener: Listener,
        generator: random.Random,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._prefix = prefix
        self._listener = listener
        self._generator = generator
        self._items: dict[str, Item] = {}
        self._kept: deque[Item] = deque(maxlen=KEPT_CHANGES)
        self._kept_after = 0
        self._contact_s = clock.monotonic_s()
        self._failing = False
        self._own_until_s = 0.0
        self._level_s = clock.monotonic_s()
        """When no peer was ahead last."""
        self._deaf_s = 0.0
        """Monotonic time from which an open watch should have been answered."""
        self._changed = asyncio.Event()
        self._confirmed = asyncio.Event()
        self._confirmed.set()
        self._confirming: asyncio.Task[None] | None = None
        self.gather_s = GATHER_S
        """Pause after changes."""
        self.revision = 0
        """Store revision up to which this copy is complete."""
        self.peer_revision = 0
        """Highest revision that a peer has told of."""
        self.is_complete = False
        """Whether the copy has been read once, from the store or from a peer."""

    def store_age_s(self) -> float:
        """Seconds since the store answered last, 0 while a watch is open."""
        return self._clock.monotonic_s() - self._contact_s if self._failing else 0.0

    def get(self, key: str) -> bytes | None:
        """Value of a key in the copy."""
        item = self._items.get(key)
        return item.value if item else None

    @property
    def has_copy(self) -> bool:
        """Whether the store has been read once; what comes later is a change."""
        return self.revision > 0

    def changes_after(self, revision: int) -> Changes:
        """Answer a peer: changes after its revision, or all keys when it is too far behind."""
        if revision < self._kept_after:
            return Changes(list(self._items.values()), self.revision, is_whole=True)
        changed = [item for item in self._kept if item.revision > revision]
        return Changes(changed, self.revision)

    async def follow_store(self) -> None:
        """Follow the store for ever."""
        pause_s = FIRST_PAUSE_S
        while True:
            if self.is_complete and await self._follow_relay():
                continue
            failure = await self._read_store()
            if failure is None:
                pause_s = FIRST_PAUSE_S
                continue
            if failure.kind is ErrorKind.STALE_REVISION:
                log.info(event("store_history_lost", revision=self.revision))
                self.is_complete = False
                continue
            self._note_failure(failure)
            await self._clock.sleep(self._generator.uniform(pause_s / 2, pause_s))
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def follow_peers(self) -> None:
        """Follow other routers while the store does not answer."""
        while True:
            await self._clock.sleep(PEER_INTERVAL_S)
            if self.revision and not self._failing and not self._is_behind():
                continue
            await self._read_peer()

    def _is_behind(self) -> bool:
        """Whether a peer has been ahead for longer than routers usually are."""
        now_s = self._clock.monotonic_s()
        if self.peer_revision <= self.revision:
            self._level_s = now_s
        return now_s - self._level_s > self.gather_s + BEHIND_S

    async def _read_peer(self) -> bool:
        """Take over what a peer knows; False when no peer answers."""
        changes = await self._peers.read_peer(self.revision)
        if changes is None:
            return False
        if changes.revision <= self.revision:
            return True
        log.info(
            event(
                "peer_copy_read",
                revision=changes.revision,
                before=self.revision,
                changes=len(changes.items),
                is_whole=changes.is_whole,
            )
        )
        self._take(changes)
        return True

    def doubt(self) -> None:
        """Treat the copy as old until the store or a peer has confirmed it."""
        self._confirmed.clear()

    async def confirm(self) -> None:
        """Wait until the copy is known to be as new as that of the store, or of a peer.

        A router that nobody answers goes on with what it has after a while.
        """
        if self._confirmed.is_set():
            return
        if self._confirming is None:
            self._confirming = asyncio.create_task(self._confirm())
        await asyncio.shield(self._confirming)

    async def _confirm(self) -> None:
        outcome = "nobody answers in time"
        try:
            async with asyncio.timeout(CONFIRM_S):
                outcome = await self._ask_newest()
        except TimeoutError:
            pass
        finally:
            log.info(event("copy_confirmed", by=outcome, revision=self.revision))
            self._confirmed.set()
            self._confirming = None

    async def _ask_newest(self) -> str:
        """Bring the copy up to date, from the store or else from a peer.

        :returns: who answered.
        """
        changed = await self._store.changes(self._prefix, self.revision, 0.0)
        if isinstance(changed, Success):
            self._take(changed.unwrap())
            return "store"
        if changed.failure().kind is ErrorKind.STALE_REVISION:
            read = await self._store.snapshot(self._prefix)
            if isinstance(read, Success):
                self._adopt(read.unwrap())
                return "store"
        return "peer" if await self._read_peer() else "nobody answers"

    def _take(self, changes: Changes) -> None:
        for item in changes.items:
            self._apply(item)
        if changes.is_whole:
            self._remove_absent({item.key for item in changes.items}, changes.revision)
        self._reach(changes.revision)

    def _reach(self, revision: int) -> None:
        """Note that the copy is complete up to a revision, and tell those who wait for it."""
        if revision > self.revision:
            self.revision = revision
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()

    async def _follow_relay(self) -> bool:
        """Follow the store through another router.

        :returns: whether the copy is up to date; otherwise this router asks the store itself for
            a while.
        """
        if self._clock.monotonic_s() < self._own_until_s:
            return False
        address = self._peers.relay()
        if address is None:
            return False
        changes = await self._peers.wait_peer(address, self.revision, RELAY_WAIT_S)
        if changes is None:
            own_s = self._generator.uniform(OWN_WATCH_S / 2, OWN_WATCH_S)
            self._own_until_s = self._clock.monotonic_s() + own_s
            log.info(event("relay_left", relay=address, revision=self.revision, for_s=own_s))
            return False
        self._note_contact()
        self._take(changes)
        return True

    async def wait_changes(self, after: int, wait_s: float) -> Changes | None:
        """Answer a router that follows the store through this one.

        :returns: None when this router has no contact with the store itself.
        """
        if self.revision <= after:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if not self.is_complete or self._failing or self._clock.monotonic_s() >= self._deaf_s:
            return None
        return self.changes_after(after)

    async def _read_store(self) -> Failure | None:
        if not self.is_complete:
            read = await self._store.snapshot(self._prefix)
            if not isinstance(read, Success):
                return read.failure()
            self._note_contact()
            self._adopt(read.unwrap())
            return None
        self._deaf_s = self._clock.monotonic_s() + WATCH_WAIT_S + DEAF_SLACK_S
        changed = await self._store.changes(self._prefix, self.revision, WATCH_WAIT_S)
        if not isinstance(changed, Success):
            return changed.failure()
        self._note_contact()
        changes = changed.unwrap()
        self._take(changes)
        if changes.items:
            await self._clock.sleep(self.gather_s)
        return None

    def share_among(self, routers: int) -> None:
        """Set how many routers read the store."""
        self.gather_s = min(MAX_GATHER_S, max(GATHER_S, GATHER_PER_ROUTER_S * routers))

    def _adopt(self, snapshot: Snapshot) -> None:
        present = set()
        for found in snapshot.items:
            present.add(found.key)
            self._apply(Item(found.key, found.value, found.mod_revision))
        self._remove_absent(present, snapshot.revision)
        if not self._kept_after:
            self._kept_after = snapshot.revision
        self._reach(snapshot.revision)
        self.is_complete = True
        log.info(event("store_read", revision=self.revision, keys=len(self._items)))

    def _remove_absent(self, present: set[str], revision: int) -> None:
        for key in [key for key in self._items if key not in present]:
            if self._items[key].revision <= revision:
                self._apply(Item(key, None, revision))

    def _note_contact(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._failing:
            outage_s = now_s - self._contact_s
            self._failing = False
            log.info(event("store_regained", outage_s=outage_s, revision=self.revision))
        self._contact_s = now_s

    def _note_failure(self, failure: Failure) -> None:
        if not self._failing:
            self._failing = True
            self._contact_s = self._clock.monotonic_s()
            metrics.CONFIGURATION_EVENTS.inc({"event": "store_lost"})
            log.warning(
                event("store_lost", kind=failure.kind.value, reason=failure.message),
            )

    def _apply(self, item: Item) -> None:
        known = self._items.get(item.key)
        if known is not None and item.revision <= known.revision:
            return
        if known is None and item.value is None:
            return
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        if len(self._kept) == self._kept.maxlen:
            self._kept_after = self._kept[0].revision
        self._kept.append(item)
        self._listener(item)
