"""Keeps a local copy of the store's keys up to date, also while the store is unavailable.

A router that gets no answers from the store reads the copy of another router instead, so that it
still receives new configurations, revoked keys and draining targets.
"""

import asyncio
import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple, TypeVar

import logbook
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import describe
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.direct.copyupdate import CopyUpdate
from coltsfootfront.direct.freshness import UNKNOWN_BOUND, ChangeBound, Freshness
from coltsfootfront.direct.transfers import OnProgress
from coltsfootfront.keyvalue.store import KeyValue, Store

log = logbook.Logger(__name__)

T = TypeVar("T")

# Longest time that a watch waits in the store. Calls are charged, so longer watches cost less. But
# a watch that is open when the store drops its history may miss changes until it ends, and users
# consider the store stable again 4 s after the loss, so the watch has to end before that.
WATCH_WAIT_S = 2.5
# Delay after changes, so that further ones are read in one batch: each target that loads new
# weights changes its entry, and every router reads each change.
MIN_BATCH_DELAY_S = 0.25
# Each change wakes every router, so the delay grows with the number of routers to keep their total
# call rate constant. A change must reach every router within two seconds.
BATCH_DELAY_PER_ROUTER_S = 0.03
MAX_BATCH_DELAY_S = 1.0
# Delay after a failed call, doubled up to the maximum, with jitter over its upper half.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Interval at which peers are polled while the copy may be older than theirs.
PEER_POLL_INTERVAL_S = 0.4
# Shortest pause between two polls, which may have used up a link.
MIN_PEER_POLL_PAUSE_S = 0.15
# Share of the time within which changes must be in force after which a copy that nobody has
# confirmed is compared with peers. The rest is for the comparison and a transfer.
UNCONFIRMED_SHARE = 0.6
# Used until the settings tell the time within which changes must be in force.
DEFAULT_APPLY_LIMIT_S = 2.5
# Longest wait for changes at the relay. A relay that stops answering is noticed within this time
# plus a few round trips.
RELAY_WAIT_S = 1.0
# A relay that has not answered this long after the end of the wait is paused or cut off.
RELAY_SILENCE_MARGIN_S = 0.2
# Longest time for which a router whose relay does not answer watches the store directly. The time
# is drawn at random from the upper half of this range.
DIRECT_WATCH_S = 8.0
# Time for which a router that has a relay leaves it to others to read all keys from the store.
SNAPSHOT_PATIENCE_S = 1.2
# Routers normally lag behind each other by the batch delay. One that lags by more than this margin
# on top reads the copy of a peer.
LAG_MARGIN_S = 0.25
# A call that waits for changes and is not answered this long after it should have ended is overdue.
OVERDUE_MARGIN_S = 0.5
# Changes whose transfer has made progress within this time prove contact with the store.
PROGRESS_VALID_S = 1.0
# Time limit for checking after a process pause that the copy is current. The store answers in
# milliseconds; callers wait meanwhile.
REVALIDATION_TIMEOUT_S = 1.0
# Time that the store has before the answer of a peer is taken instead; what peers say is older.
STORE_PRECEDENCE_S = 0.5
# The same for a copy that is brought up to date: the store answers in milliseconds.
STORE_HEAD_START_S = 0.25
# Time limit for bringing the copy up to date from the store, and from the store or through peers.
STORE_UPDATE_TIMEOUT_S = 0.5
UPDATE_TIMEOUT_S = 0.8
# Who has confirmed a copy, for the log.
FROM_STORE = "store"
FROM_PEER = "peer"
FROM_NOBODY = "nobody answers"
# Changes that a router keeps for its peers. A peer that is further behind reads the full copy.
CHANGE_LOG_LENGTH = 2000


@dataclass(frozen=True, slots=True)
class Item:
    """State of one key.

    :param value: bytes, or None after a removal.
    :param revision: store revision of the last change.
    :param written_after_s: monotonic time of this process after which it was written, None if that
        is unknown.
    """

    key: str
    value: bytes | None
    revision: int
    written_after_s: float | None = field(default=None, compare=False)


class Position(NamedTuple):
    """Position in the store's changes; every position of an era comes after the eras before.

    Revisions can only be compared within an era: after a restore the store gives them out again.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys under a prefix, as of one store revision.

    :param revision: store revision after which changes must be read to miss none.
    :param era: era of the store in which it was read.
    """

    items: list[KeyValue]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a revision.

    :param revision: store revision up to which the changes are complete.
    :param is_full_copy: the items are all existing keys; a key not among them was removed.
    :param era: era of the store to which the revisions belong.
    :param copy_age_s: time since the copy that they come from was known to lack nothing.
    :param items_age_s: time since the earliest moment at which the items can have been written,
        None if that is unknown.
    """

    items: list[Item]
    revision: int
    is_full_copy: bool = False
    era: int = 0
    copy_age_s: float = field(default=0.0, compare=False)
    items_age_s: float | None = field(default=None, compare=False)

    @property
    def position(self) -> "Position":
        """Position up to which the changes are complete."""
        return Position(self.era, self.revision)


class WatchableStore(Store):
    """Store whose changes since a given revision can be read."""

    @abstractmethod
    async def snapshot(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""

    @abstractmethod
    async def changes(
        self, prefix: str, after: int, wait_s: float, on_progress: OnProgress | None = None
    ) -> Result[Changes, Failure]:
        """Wait for changes under a prefix.

        :param after: store revision after which changes are wanted.
        :param wait_s: longest wait in seconds.
        :param on_progress: called repeatedly while the changes are being received.
        :returns: a ``stale_revision`` failure if the store has compacted this history.
        """


class PeerSource(ABC):
    """Reads the copies of the store's keys at other routers."""

    @abstractmethod
    def relay_address(self) -> str | None:
        """Address of the router through which this one follows the store, its relay.

        :returns: None when this router should watch the store directly.
        """

    @abstractmethod
    async def wait_for_peer_changes(
        self, address: str, after: Position, wait_s: float, on_progress: OnProgress
    ) -> Changes | None:
        """Wait for changes at the router that serves as this one's relay.

        :param on_progress: called repeatedly while the changes are being received.
        :returns: None if that router does not answer or has no contact with the store.
        """

    @abstractmethod
    async def read_peer_changes(self, after: Position) -> Changes | None:
        """Read changes from other routers, without waiting for new ones.

        :param after: position up to which this router's copy is complete.
        :returns: None if no peer answers.
        """

    @abstractmethod
    async def read_current_changes(self, after: Position) -> Changes | None:
        """Read changes through a router that reads the store for this call.

        :param after: position up to which this router's copy is complete.
        :returns: changes up to the moment of the call or later; None if no peer reaches the store.
        """


Listener = Callable[[Item], None]


class Follower:
    """Local copy of the keys under a prefix that follows the store.

    :param store: the platform's key-value service.
    :param peers: copies of other routers.
    :param clock: time source.
    :param prefix: prefix of the keys to follow; empty for all.
    :param listener: called for each change of a key, in order of its revisions. After a restore of
        the store it is called for the keys that differ from the copy before.
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
        self._change_log: deque[Item] = deque(maxlen=CHANGE_LOG_LENGTH)
        self._change_log_after = 0
        self._last_contact_s = clock.monotonic_s()
        """Monotonic time of the last contact; while the store fails, of the first failure."""
        self._is_store_failing = False
        self._direct_until_s = 0.0
        self._last_caught_up_s = clock.monotonic_s()
        """Monotonic time of the last check at which no peer was ahead."""
        self._watch_deadline_s = 0.0
        """Monotonic time by which the open watch should have been answered."""
        self._answer_due_s = 0.0
        """Monotonic time by which the open call that waits for changes should begin to be answered;
        0 while there is none, or while its response is being received."""
        self._changed = asyncio.Event()
        self._current = asyncio.Event()
        self._current.set()
        self._is_receiving = False
        """Whether changes are being received from the store or the relay."""
        self._revalidation: asyncio.Task[None] | None = None
        self.on_restored: Callable[[], None] = lambda: None
        """Called when a copy of a later era has replaced the one before."""
        self.is_restoring = False
        """Whether the listener is called for what a restore of the store has changed."""
        self.freshness = Freshness(clock)
        self._store_update = CopyUpdate(clock, self.freshness, self._refresh_in_time)
        self._update = CopyUpdate(clock, self.freshness, self._refresh_from_any)
        self.change_bound = UNKNOWN_BOUND
        """Earliest time of the changes that the listener is called for."""
        self.batch_delay_s = MIN_BATCH_DELAY_S
        """Delay after changes, so that further ones are read in one batch."""
        self.apply_limit_s = DEFAULT_APPLY_LIMIT_S
        """Time within which a change must be in force."""
        self.revision = 0
        """Store revision up to which this copy is complete."""
        self.era = 0
        """Era of the store to which the revisions in this copy belong."""
        self.peer_position = Position(0, 0)
        """Last position that a peer has announced."""
        self.is_complete = False
        """Whether no snapshot is needed any more, as reading changes keeps the copy current.

        False until a snapshot or a peer's full copy was read, and again once the store has dropped
        its history.
        """
        self._is_relay_silent = False
        """Whether the last call to the relay had no answer, which a relay without contact gives."""
        self._overtaken = asyncio.Event()
        """Set when a peer's copy has brought this one further than the open call would."""

    def store_age_s(self) -> float:
        """Seconds since calls to the store began to fail, 0 while they succeed."""
        return self._clock.monotonic_s() - self._last_contact_s if self._is_store_failing else 0.0

    @property
    def position(self) -> Position:
        """Position up to which this copy is complete."""
        return Position(self.era, self.revision)

    def get(self, key: str) -> bytes | None:
        """Return the value of a key in the copy, None if it does not exist."""
        item = self._items.get(key)
        return item.value if item else None

    def revision_of(self, key: str) -> int | None:
        """Revision of a key for the condition of a write, 0 if it does not exist.

        :returns: None while the copy belongs to an earlier era of the store.
        """
        if self._store.era != self.era:
            return None
        item = self._items.get(key)
        return item.revision if item else 0

    def changes_after(self, position: Position) -> Changes:
        """Return the changes after a peer's position, or all keys if it is too far behind."""
        if position.era != self.era or position.revision < self._change_log_after:
            return self._make_changes(list(self._items.values()), is_full_copy=True)
        changed = {item.key: item for item in self._change_log if item.revision > position.revision}
        items = [self._items.get(key, removed) for key, removed in changed.items()]
        items.sort(key=lambda item: item.revision)
        return self._make_changes(items, is_full_copy=False)

    def _make_changes(self, items: list[Item], is_full_copy: bool) -> Changes:
        written_after_s = [item.written_after_s for item in items]
        known_s = [written_s for written_s in written_after_s if written_s is not None]
        items_age_s = None
        if known_s and len(known_s) == len(items):
            items_age_s = self._clock.monotonic_s() - min(known_s)
        copy_age_s = self.freshness.age_s() or 0.0
        return Changes(items, self.revision, is_full_copy, self.era, copy_age_s, items_age_s)

    async def follow_store(self) -> None:
        """Run the loop that follows the store, directly or through the relay."""
        retry_delay_s = FIRST_RETRY_DELAY_S
        while True:
            if self.is_complete and await self._follow_relay():
                continue
            failure = await self._read_store()
            if failure is None:
                retry_delay_s = FIRST_RETRY_DELAY_S
                continue
            if failure.kind is ErrorKind.STALE_REVISION:
                log.info(event("store_history_lost", revision=self.revision))
                self.is_complete = False
                continue
            self._record_failure(failure)
            await self._clock.sleep(self._generator.uniform(retry_delay_s / 2, retry_delay_s))
            retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)

    async def follow_peers(self) -> None:
        """Run the loop that reads peers' copies while this one may be older than theirs."""
        polled_s = 0.0
        while True:
            # A poll that waited for a paused peer does not delay the next one by as much.
            await self._clock.sleep(max(MIN_PEER_POLL_PAUSE_S, PEER_POLL_INTERVAL_S - polled_s))
            polled_s = 0.0
            is_lagging = self._is_lagging()
            is_unconfirmed = self._is_unconfirmed()
            if self._is_receiving and not is_unconfirmed:
                # The transfer under way brings the changes, and shares the link with any other.
                continue
            is_out_of_touch = not self.is_complete or self._is_store_failing
            if is_out_of_touch or is_lagging or is_unconfirmed:
                began_s = self._clock.monotonic_s()
                await self._read_peer()
                polled_s = self._clock.monotonic_s() - began_s

    def _is_unconfirmed(self) -> bool:
        """Whether the copy was not confirmed for long, and the open call may not do so in time.

        An announcement of a peer that is ahead may be lost, so none proves nothing.
        """
        if self._clock.monotonic_s() < self._answer_due_s:
            return False
        age_s = self.freshness.age_s()
        return age_s is None or age_s > UNCONFIRMED_SHARE * self.apply_limit_s

    def _is_lagging(self) -> bool:
        """Whether a peer has been ahead for longer than the usual lag between routers."""
        now_s = self._clock.monotonic_s()
        if self.peer_position <= self.position:
            self._last_caught_up_s = now_s
        return now_s - self._last_caught_up_s > self.batch_delay_s + LAG_MARGIN_S

    async def _read_peer(self) -> bool:
        """Apply the changes that peers have, or let them confirm that there are none.

        :returns: False if no peer answers.
        """
        asked = self.position
        sent_s = self._clock.monotonic_s()
        changes = await self._peers.read_peer_changes(asked)
        if changes is None:
            return False
        if changes.position <= self.position:
            if changes.position.era == self.era and math.isfinite(changes.copy_age_s):
                # The time on the way counts as well.
                age_s = changes.copy_age_s + self._clock.monotonic_s() - sent_s
                self.freshness.confirm(sent_s, age_s, ends_outage=False)
            return True
        log.info(
            event(
                "peer_copy_read",
                revision=changes.revision,
                before=self.revision,
                era=changes.era,
                changes=len(changes.items),
                is_whole=changes.is_full_copy,
                copy_age_s=changes.copy_age_s,
                own_age_s=self.freshness.age_s(),
            )
        )
        self._take_peer_changes(changes, asked, sent_s)
        return True

    def _take_peer_changes(self, changes: Changes, asked: Position, sent_s: float) -> bool:
        """Apply the changes of a peer.

        :param asked: position after which they were asked for.
        :returns: False if they belong to another era.
        """
        bound = self.freshness.bound(sent_s, changes.copy_age_s, changes.items_age_s)
        if not self._apply_changes(changes, "a peer", asked.era, bound):
            return False
        self.freshness.confirm(sent_s, changes.copy_age_s, ends_outage=False)
        if asked.revision or changes.is_full_copy:
            if not self.is_complete:
                self._change_log_after = self._change_log_after or changes.revision
                self.is_complete = True
            self._overtaken.set()
        return True

    async def update_from_store(self) -> bool:
        """Bring the copy up to date from the store.

        :returns: whether it has every change of before this call.
        """
        called_s = self._clock.monotonic_s()
        return await self._store_update.wait(called_s, STORE_UPDATE_TIMEOUT_S)

    async def update(self, since_s: float) -> bool:
        """Bring the copy up to date from the store, or through a peer that reaches the store.

        :param since_s: monotonic time before which no change may be missing.
        :returns: whether none is.
        """
        return await self._update.wait(since_s, UPDATE_TIMEOUT_S)

    async def _refresh_in_time(self) -> None:
        try:
            async with asyncio.timeout(STORE_UPDATE_TIMEOUT_S):
                await self._refresh()
        except TimeoutError:
            log.info(event("copy_not_updated", revision=self.revision, reason="no answer in time"))

    async def _refresh_from_any(self) -> None:
        sources = [asyncio.create_task(self._refresh())]
        try:
            async with asyncio.timeout(UPDATE_TIMEOUT_S):
                if not self._is_store_failing:
                    await asyncio.wait(sources, timeout=STORE_HEAD_START_S)
                    if sources[0].done() and sources[0].result() == FROM_STORE:
                        return
                sources.append(asyncio.create_task(self._refresh_through_peers()))
                await self._first_answer(sources)
        except TimeoutError:
            log.info(event("copy_not_updated", revision=self.revision, reason="no answer in time"))
        finally:
            for source in sources:
                source.cancel()

    async def _refresh_through_peers(self) -> str:
        asked = self.position
        sent_s = self._clock.monotonic_s()
        changes = await self._peers.read_current_changes(asked)
        if changes is None or not self._take_peer_changes(changes, asked, sent_s):
            return FROM_NOBODY
        self.freshness.record_complete(sent_s)
        return FROM_PEER

    def mark_stale(self) -> None:
        """Treat the copy as stale, after a pause, until the store or a peer has confirmed it."""
        self.freshness.record_pause()
        self._current.clear()

    async def revalidate(self) -> None:
        """Wait until a stale copy is confirmed to be as new as the store's or a peer's.

        After REVALIDATION_TIMEOUT_S without an answer, the router continues with the copy it has.
        """
        if self._current.is_set():
            return
        if self._revalidation is None:
            self._revalidation = asyncio.create_task(self._run_revalidation())
        await asyncio.shield(self._revalidation)

    async def confirm_age(self, max_age_s: float) -> bool:
        """Whether the copy was confirmed recently, by the store or a peer that is asked now.

        :param max_age_s: longest time from when the copy was known to lack nothing to this call.
        """
        called_s = self._clock.monotonic_s()
        if self._is_younger_than(max_age_s):
            return True
        if self._is_store_failing:
            # Peers are polled meanwhile; callers need not wait for them.
            return False
        if self._revalidation is None:
            self._revalidation = asyncio.create_task(self._run_revalidation())
        await asyncio.shield(self._revalidation)
        return self._is_younger_than(max_age_s + self._clock.monotonic_s() - called_s)

    def _is_younger_than(self, max_age_s: float) -> bool:
        age_s = self.freshness.age_s()
        return age_s is not None and age_s <= max_age_s

    async def _run_revalidation(self) -> None:
        outcome = "nobody answers in time"
        sources = [asyncio.create_task(self._refresh()), asyncio.create_task(self._ask_peers())]
        try:
            async with asyncio.timeout(REVALIDATION_TIMEOUT_S):
                await asyncio.wait(sources[:1], timeout=STORE_PRECEDENCE_S)
                if sources[0].done() and sources[0].result() == FROM_STORE:
                    outcome = FROM_STORE
                else:
                    outcome = await self._first_answer(sources)
        except TimeoutError:
            pass
        finally:
            for source in sources:
                source.cancel()
            log.info(
                event(
                    "copy_confirmed",
                    by=outcome,
                    revision=self.revision,
                    age_s=self.freshness.age_s(),
                )
            )
            self._current.set()
            self._revalidation = None

    async def _first_answer(self, sources: list[asyncio.Task[str]]) -> str:
        for answered in asyncio.as_completed(sources):
            if (outcome := await answered) != FROM_NOBODY:
                return outcome
        return FROM_NOBODY

    async def _ask_peers(self) -> str:
        return FROM_PEER if await self._read_peer() else FROM_NOBODY

    async def _refresh(self) -> str:
        """Bring the copy up to date from the store.

        :returns: the source that answered, for the log.
        """
        era = self.era
        sent_s = self._clock.monotonic_s()
        changed = await self._store.changes(self._prefix, self.revision, 0.0)
        if isinstance(changed, Success):
            bound = self.freshness.bound(sent_s, changed.unwrap().copy_age_s)
            if self._apply_changes(changed.unwrap(), "store", era, bound):
                self.freshness.confirm(sent_s, changed.unwrap().copy_age_s)
                self.freshness.record_complete(sent_s)
                return FROM_STORE
        if isinstance(changed, Success) or changed.failure().kind is ErrorKind.STALE_REVISION:
            sent_s = self._clock.monotonic_s()
            read = await self._store.snapshot(self._prefix)
            if isinstance(read, Success):
                self._take_snapshot(read.unwrap(), sent_s)
                return FROM_STORE
        return FROM_NOBODY

    def _apply_changes(
        self,
        changes: Changes,
        source: str,
        asked_era: int,
        bound: ChangeBound = UNKNOWN_BOUND,
    ) -> bool:
        """Apply changes of the copy's era, or a full copy of a later one.

        :param asked_era: era of the revision after which changes were asked for.
        :param bound: earliest time at which they can have been written.
        :returns: False if they belong to another era, so that a full copy is needed.
        """
        self.change_bound = bound
        if changes.era != asked_era and not changes.is_full_copy:
            return False
        if changes.era != self.era:
            if changes.era < self.era or not changes.is_full_copy:
                return False
            self._begin_era(changes.era, changes.items, changes.revision, source)
            return True
        for item in changes.items:
            self._apply_item(item)
        if changes.is_full_copy:
            self._remove_missing_keys({item.key for item in changes.items}, changes.revision)
        self._advance_revision(changes.revision)
        return True

    def _begin_era(self, era: int, items: list[Item], revision: int, source: str) -> None:
        """Replace the copy by one from a later era of the store, and forget its change log.

        :param items: all existing keys.
        """
        before = self._items
        if before:
            metrics.CONFIGURATION_EVENTS.inc({"event": "store_restored"})
            log.warning(
                event(
                    "store_restored",
                    era=era,
                    before=self.era,
                    revision=revision,
                    revision_before=self.revision,
                    by=source,
                )
            )
        self.era = era
        self._items = {item.key: self._with_bound(item, before.get(item.key)) for item in items}
        self._change_log.clear()
        self._change_log_after = self.revision = revision
        self.is_restoring = bool(before)
        try:
            for key in before:
                if key not in self._items:
                    self._tell_listener(Item(key, None, revision))
            for item in items:
                known = before.get(item.key)
                if known is None or known.value != item.value:
                    self._tell_listener(item)
        finally:
            self.is_restoring = False
        if before:
            self.on_restored()
        self._wake_waiting()

    def _advance_revision(self, revision: int) -> None:
        """Record that the copy is complete up to a revision, and wake the tasks that wait."""
        if revision > self.revision:
            self.revision = revision
            self._wake_waiting()

    def _wake_waiting(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _follow_relay(self) -> bool:
        """Wait for changes at the relay.

        :returns: whether the relay answered; otherwise this router watches the store directly, for
            a while if the relay has failed.
        """
        if self._clock.monotonic_s() < self._direct_until_s:
            return False
        address = self._peers.relay_address()
        if address is None:
            return False
        asked = self.position
        sent_s = self._clock.monotonic_s()
        self._answer_due_s = sent_s + RELAY_WAIT_S + OVERDUE_MARGIN_S
        try:
            changes = await self._peers.wait_for_peer_changes(
                address, asked, RELAY_WAIT_S, self._record_progress
            )
        finally:
            self._is_receiving = False
            self._answer_due_s = 0.0
            answered_by_s = sent_s + RELAY_WAIT_S + RELAY_SILENCE_MARGIN_S
            self._is_relay_silent = self._clock.monotonic_s() > answered_by_s
        if changes is None or changes.era < self.era:
            direct_s = self._generator.uniform(DIRECT_WATCH_S / 2, DIRECT_WATCH_S)
            self._direct_until_s = self._clock.monotonic_s() + direct_s
            log.info(event("relay_left", relay=address, revision=self.revision, for_s=direct_s))
            return False
        self._record_contact()
        bound = self.freshness.bound(sent_s, changes.copy_age_s, changes.items_age_s)
        if self._apply_changes(changes, "the relay", asked.era, bound):
            self.freshness.confirm(sent_s, changes.copy_age_s)
        return True

    async def wait_for_changes(self, after: Position, wait_s: float) -> Changes | None:
        """Wait for changes on behalf of a router that uses this one as its relay.

        :returns: None if this router has no contact with the store itself, or an older era's copy.
        """
        if self.era < after.era:
            return None
        if self.position <= after:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if (
            not self.is_complete
            or self._is_store_failing
            or self._clock.monotonic_s() >= self._watch_deadline_s
        ):
            return None
        return self.changes_after(after)

    async def _read_store(self) -> Failure | None:
        if not self.is_complete:
            return await self._read_snapshot()
        sent_s = self._clock.monotonic_s()
        self._answer_due_s = sent_s + WATCH_WAIT_S + OVERDUE_MARGIN_S
        self._watch_deadline_s = self._answer_due_s
        era = self.era
        try:
            changed = await self._unless_overtaken(
                "watch",
                self._store.changes(
                    self._prefix, self.revision, WATCH_WAIT_S, self._record_watch_progress
                ),
            )
        finally:
            self._is_receiving = False
            self._answer_due_s = 0.0
        if changed is None:
            return None
        if not isinstance(changed, Success):
            self._record_failed_call(changed.failure(), sent_s)
            return changed.failure()
        self._record_contact()
        changes = changed.unwrap()
        bound = self.freshness.bound(sent_s, changes.copy_age_s, is_waiting=True)
        if not self._apply_changes(changes, "the store", era, bound):
            # The store's history before these changes is another one than this copy's.
            self.is_complete = False
            return None
        self.freshness.confirm(sent_s, changes.copy_age_s)
        self.freshness.record_complete(sent_s)
        if changes.items:
            await self._clock.sleep(self.batch_delay_s)
        return None

    async def _read_snapshot(self) -> Failure | None:
        """Read all keys from the store, unless a peer's copy makes that unnecessary."""
        if self.revision and await self._is_brought_by_peers():
            return None
        sent_s = self._clock.monotonic_s()
        read = await self._unless_overtaken("snapshot", self._store.snapshot(self._prefix))
        if read is None:
            return None
        if not isinstance(read, Success):
            self._record_failed_call(read.failure(), sent_s)
            return read.failure()
        self._record_contact()
        self._take_snapshot(read.unwrap(), sent_s)
        return None

    async def _is_brought_by_peers(self) -> bool:
        """Whether a peer's copy takes the place of a snapshot.

        A snapshot is several times as large as a peer's copy, and often has farther to come. The
        routers that watch the store for this one read one themselves.
        """
        self._overtaken.clear()
        await self._read_peer()
        has_relay = self._peers.relay_address() is not None and not self._is_relay_silent
        if not self.is_complete and has_relay:
            try:
                async with asyncio.timeout(SNAPSHOT_PATIENCE_S):
                    await self._overtaken.wait()
            except TimeoutError:
                pass
        return self.is_complete

    async def _unless_overtaken(self, call: str, reading: Coroutine[Any, Any, T]) -> T | None:
        """Wait for a call to the store, and give it up when a peer's copy has come first.

        :param call: name of the call, for the log.
        :returns: None if it was given up.
        """
        self._overtaken.clear()
        read = asyncio.ensure_future(reading)
        overtaken = asyncio.ensure_future(self._overtaken.wait())
        try:
            await asyncio.wait((read, overtaken), return_when=asyncio.FIRST_COMPLETED)
            if read.done():
                return await read
            log.info(
                event("call_given_up", call=call, reason="a peer's copy", revision=self.revision)
            )
            return None
        finally:
            read.cancel()
            overtaken.cancel()

    def _record_failed_call(self, failure: Failure, sent_s: float) -> None:
        if failure.kind is not ErrorKind.STALE_REVISION:
            self.freshness.record_failure(sent_s)

    def set_router_count(self, routers: int) -> None:
        """Adapt the batch delay to the number of routers that follow the store."""
        self.batch_delay_s = min(
            MAX_BATCH_DELAY_S, max(MIN_BATCH_DELAY_S, BATCH_DELAY_PER_ROUTER_S * routers)
        )

    def _take_snapshot(self, snapshot: Snapshot, sent_s: float) -> None:
        """Load a snapshot that was asked for at a time."""
        self._load_snapshot(snapshot, self.freshness.bound(sent_s))
        if snapshot.era == self.era:
            # Changes after its first page may be missing.
            self.freshness.confirm(sent_s, self._clock.monotonic_s() - sent_s)
            self.freshness.record_complete(sent_s)

    def _load_snapshot(self, snapshot: Snapshot, bound: ChangeBound = UNKNOWN_BOUND) -> None:
        if snapshot.era < self.era:
            return
        self.change_bound = bound
        if snapshot.era > self.era:
            items = [Item(found.key, found.value, found.mod_revision) for found in snapshot.items]
            self._begin_era(snapshot.era, items, snapshot.revision, "the store")
            self._record_snapshot()
            return
        present = set()
        for found in snapshot.items:
            present.add(found.key)
            self._apply_item(Item(found.key, found.value, found.mod_revision))
        self._remove_missing_keys(present, snapshot.revision)
        if not self._change_log_after:
            self._change_log_after = snapshot.revision
        self._advance_revision(snapshot.revision)
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        self.is_complete = True
        log.info(event("store_read", revision=self.revision, era=self.era, keys=len(self._items)))

    def _remove_missing_keys(self, present: set[str], revision: int) -> None:
        for key in [key for key in self._items if key not in present]:
            if self._items[key].revision <= revision:
                self._apply_item(Item(key, None, revision))

    def _record_contact(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._is_store_failing:
            outage_s = now_s - self._last_contact_s
            self._is_store_failing = False
            log.info(event("store_regained", outage_s=outage_s, revision=self.revision))
        self._last_contact_s = now_s

    def _record_progress(self) -> None:
        self._is_receiving = True
        self._answer_due_s = 0.0

    def _record_watch_progress(self) -> None:
        self._record_progress()
        self._watch_deadline_s = max(
            self._watch_deadline_s, self._clock.monotonic_s() + PROGRESS_VALID_S
        )

    def _record_failure(self, failure: Failure) -> None:
        if not self._is_store_failing:
            self._is_store_failing = True
            self._last_contact_s = self._clock.monotonic_s()
            metrics.CONFIGURATION_EVENTS.inc({"event": "store_lost"})
            log.warning(
                event("store_lost", kind=failure.kind.value, reason=failure.message),
            )

    def _apply_item(self, item: Item) -> None:
        previous = self._items.get(item.key)
        if previous is not None and item.revision <= previous.revision:
            return
        if previous is None and item.value is None:
            return
        item = self._with_bound(item)
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        if len(self._change_log) == self._change_log.maxlen:
            self._change_log_after = self._change_log[0].revision
        # Without its value, as the log would keep superseded values in memory.
        self._change_log.append(replace(item, value=None))
        self._tell_listener(item)

    def _with_bound(self, item: Item, known: Item | None = None) -> Item:
        """Return an item with the earliest time at which its value can have been written.

        :param known: the same key in the copy of an earlier era, None if it had none.
        """
        bound = self.change_bound.written_after_s
        if known is not None and known.value == item.value:
            bound = known.written_after_s
        return replace(item, written_after_s=bound)

    def _tell_listener(self, item: Item) -> None:
        """Pass an item on; one that the listener fails at does not keep it from the others."""
        try:
            self._listener(item)
        except Exception as error:
            metrics.CONFIGURATION_EVENTS.inc({"event": "item_failed"})
            log.error(
                event("item_failed", key=item.key, revision=item.revision, reason=describe(error))
            )
