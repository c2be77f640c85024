"""Consumer of the engine's cache events.

Events arrive late, out of order and with gaps. A pipeline finds out where each event stands in
its incarnation's sequence, and the index is changed accordingly.
"""

from contextlib import aclosing
from dataclasses import dataclass
from typing import Any, cast

import logbook
from reactivex import Subject
from reactivex import operators as ops

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.targets.engine import CacheEvent, Engine
from coltsfootfront.targets.cacheindex import CacheIndex

log = logbook.Logger(__name__)

STORED = "stored"
REMOVED = "removed"
CLEARED = "cleared"

RECONNECT_S = 0.2


@dataclass(frozen=True, slots=True)
class Placed:
    """An event and its place in the sequence.

    :param incarnation: incarnation to which ``last_seq`` belongs.
    :param last_seq: highest number seen in the incarnation, this event included.
    :param gap: events before this one are missing.
    :param late: a later event was seen before this one.
    :param stale: the event is from an earlier incarnation.
    """

    cache_event: CacheEvent
    incarnation: str = ""
    last_seq: int = 0
    gap: bool = False
    late: bool = False
    stale: bool = False


_BEFORE_FIRST = Placed(CacheEvent("", 0, ""))


class CacheEventConsumer:
    """Keeps the index up to date.

    :param engine: adapter of the engine.
    :param index: estimate to change.
    :param clock: time source.
    """

    def __init__(self, engine: Engine, index: CacheIndex, clock: Clock) -> None:
        self._engine = engine
        self._index = index
        self._clock = clock
        self._events: Subject[CacheEvent] = Subject()
        self._subscription = self._events.pipe(
            ops.scan(self._place, _BEFORE_FIRST),
            ops.do_action(_count),
            ops.filter(_is_current),
        ).subscribe(self._apply)

    def put(self, cache_event: CacheEvent) -> None:
        """Pass one event through the pipeline."""
        self._events.on_next(cache_event)

    async def run(self) -> None:
        """Follow the engine's events for ever; the stream is opened again when it ends."""
        while True:
            try:
                async with aclosing(cast(Any, self._engine.cache_events())) as events:
                    async for cache_event in events:
                        self.put(cache_event)
            except FailureError as error:
                log.debug(event("cache_events_ended", reason=error))
            await self._clock.sleep(RECONNECT_S)

    def close(self) -> None:
        """End the pipeline."""
        self._subscription.dispose()

    def _place(self, before: Placed, current: CacheEvent) -> Placed:
        if not self._index.observe_incarnation(current.incarnation):
            return Placed(current, before.incarnation, before.last_seq, stale=True)
        same = before.incarnation == current.incarnation
        last_seq = before.last_seq if same else 0
        if current.seq <= last_seq:
            return Placed(current, current.incarnation, last_seq, late=True)
        gap = current.seq > last_seq + 1
        return Placed(current, current.incarnation, current.seq, gap=gap)

    def _apply(self, placed: Placed) -> None:
        if placed.late:
            self._apply_late(placed.cache_event)
            return
        if placed.gap:
            self._index.doubt()
        kind, keys = placed.cache_event.kind, placed.cache_event.keys
        if kind == STORED:
            self._index.store(keys)
        elif kind == REMOVED:
            self._index.remove(keys)
        elif kind == CLEARED:
            self._index.clear()

    def _apply_late(self, cache_event: CacheEvent) -> None:
        # A late "stored" may have been followed by a removal that is already applied, so it is
        # left out: a missing entry costs less than a wrong one.
        if cache_event.kind == REMOVED:
            self._index.remove_late(cache_event.keys)
        elif cache_event.kind == CLEARED:
            self._index.clear_doubtful()


def _is_current(placed: Placed) -> bool:
    return not placed.stale


def _count(placed: Placed) -> None:
    kind = placed.cache_event.kind
    if placed.stale:
        kind = "stale"
    elif placed.late:
        kind = "late"
    elif placed.gap:
        kind = "after_gap"
    metrics.CACHE_EVENTS.inc({"kind": kind})
