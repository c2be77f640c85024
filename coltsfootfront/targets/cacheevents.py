"""Consumer of the engine's cache events.

Events can be delayed, reordered or lost. A pipeline classifies each event by its sequence number
within the engine's incarnation and updates the cache index accordingly.
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

RECONNECT_DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class SequencedEvent:
    """Cache event, classified by its position in the sequence.

    :param incarnation: incarnation to which ``last_seq`` belongs.
    :param last_seq: highest sequence number received in the incarnation, including this event.
    :param gap: events before this one are missing.
    :param out_of_order: this or a higher sequence number was already received.
    :param stale: the event is from an earlier incarnation.
    """

    cache_event: CacheEvent
    incarnation: str = ""
    last_seq: int = 0
    gap: bool = False
    out_of_order: bool = False
    stale: bool = False


_BEFORE_FIRST = SequencedEvent(CacheEvent("", 0, ""))


class CacheEventConsumer:
    """Keeps the cache index up to date with the engine's events.

    :param engine: client of the engine.
    :param index: index to update.
    :param clock: time source.
    """

    def __init__(self, engine: Engine, index: CacheIndex, clock: Clock) -> None:
        self._engine = engine
        self._index = index
        self._clock = clock
        self._events: Subject[CacheEvent] = Subject()
        self._subscription = self._events.pipe(
            ops.scan(self._sequence, _BEFORE_FIRST),
            ops.do_action(_count_event),
            ops.filter(_is_current),
        ).subscribe(self._apply)

    def feed(self, cache_event: CacheEvent) -> None:
        """Process one event."""
        self._events.on_next(cache_event)

    async def run(self) -> None:
        """Consume the engine's events until cancelled; reconnect when the stream ends."""
        while True:
            try:
                async with aclosing(cast(Any, self._engine.cache_events())) as events:
                    async for cache_event in events:
                        self.feed(cache_event)
            except FailureError as error:
                log.debug(event("cache_events_ended", reason=error))
            await self._clock.sleep(RECONNECT_DELAY_S)

    def close(self) -> None:
        """Stop processing events."""
        self._subscription.dispose()

    def _sequence(self, previous: SequencedEvent, current: CacheEvent) -> SequencedEvent:
        if not self._index.observe_incarnation(current.incarnation):
            return SequencedEvent(current, previous.incarnation, previous.last_seq, stale=True)
        same = previous.incarnation == current.incarnation
        last_seq = previous.last_seq if same else 0
        if current.seq <= last_seq:
            return SequencedEvent(current, current.incarnation, last_seq, out_of_order=True)
        gap = current.seq > last_seq + 1
        return SequencedEvent(current, current.incarnation, current.seq, gap=gap)

    def _apply(self, sequenced: SequencedEvent) -> None:
        if sequenced.out_of_order:
            self._apply_out_of_order(sequenced.cache_event)
            return
        if sequenced.gap:
            self._index.mark_all_uncertain()
        kind, keys = sequenced.cache_event.kind, sequenced.cache_event.keys
        if kind == STORED:
            self._index.store(keys)
        elif kind == REMOVED:
            self._index.remove(keys)
        elif kind == CLEARED:
            self._index.clear()

    def _apply_out_of_order(self, cache_event: CacheEvent) -> None:
        # "stored" is ignored here, since a later removal of the block may have been applied
        # already, and a missing entry costs less than a wrong one.
        if cache_event.kind == REMOVED:
            self._index.remove_out_of_order(cache_event.keys)
        elif cache_event.kind == CLEARED:
            self._index.clear_uncertain()


def _is_current(sequenced: SequencedEvent) -> bool:
    return not sequenced.stale


def _count_event(sequenced: SequencedEvent) -> None:
    kind = sequenced.cache_event.kind
    if sequenced.stale:
        kind = "stale"
    elif sequenced.out_of_order:
        kind = "late"
    elif sequenced.gap:
        kind = "after_gap"
    metrics.CACHE_EVENTS.inc({"kind": kind})
