"""How current a copy of the store's keys is, and how old the changes in it can be.

A change is younger than the last moment at which the copy was known to lack nothing. When a change
is read says little: a process that was paused, or whose relay stopped answering, reads it late.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from coltsfootfront.common.clock import Clock

# The store and relays answer within this time when there is something to answer. A call that took
# longer was waiting for a change, and was answered as soon as there was one.
PROMPT_ANSWER_S = 0.25
# Failed calls in a row that show that the store answers nobody here, rather than that one
# connection has gone silent.
FAILURES_OF_OUTAGE = 2


@dataclass(frozen=True, slots=True)
class ChangeBound:
    """Earliest time at which changes can have been written.

    :param written_after_s: monotonic time, None if it is unknown, as in the first copy after a
        start.
    :param is_after_pause: the process was paused since then.
    """

    written_after_s: float | None = None
    is_after_pause: bool = False


UNKNOWN_BOUND = ChangeBound()


class Freshness:
    """Records when a copy was last known to lack nothing.

    :param clock: time source.
    """

    __slots__ = (
        "_clock",
        "_complete_s",
        "_failures",
        "_known_s",
        "_paused_s",
        "_unserved_s",
        "check_pause",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known_s: float | None = None
        self._complete_s = -math.inf
        """Monotonic time before which the copy lacks no change, however late answers were read."""
        self._paused_s: float | None = None
        self._failures = 0
        self._unserved_s: float | None = None
        self.check_pause: Callable[[], object] = lambda: None
        """Calls :meth:`record_pause` if the process was paused just now."""

    def age_s(self) -> float | None:
        """Seconds since the copy was last known to lack nothing, None before it was read."""
        return None if self._known_s is None else self._clock.monotonic_s() - self._known_s

    def is_complete_at(self, moment_s: float) -> bool:
        """Whether the copy has every change that was acknowledged before a moment."""
        return self._complete_s >= moment_s

    def record_complete(self, sent_s: float) -> None:
        """Record that the copy has all that the store had when a call reached it.

        :param sent_s: monotonic time at which the call was sent.
        """
        self._complete_s = max(self._complete_s, sent_s)

    def record_pause(self) -> None:
        """Record that a pause of the process has ended."""
        self._paused_s = self._clock.monotonic_s()

    def record_failure(self, sent_s: float) -> None:
        """Record a call to the store that failed.

        :param sent_s: monotonic time at which it was sent.
        """
        self._failures += 1
        if self._failures >= FAILURES_OF_OUTAGE:
            # Nothing is confirmed while the store is away, and what it confirms is younger.
            self._unserved_s = sent_s

    def bound(
        self,
        sent_s: float,
        copy_age_s: float = 0.0,
        items_age_s: float | None = None,
        is_waiting: bool = False,
    ) -> ChangeBound:
        """Bound of the changes in a response that has just been received.

        :param sent_s: monotonic time at which the call was sent.
        :param copy_age_s: time since the sender's copy was known to lack nothing, or since the
            store began to answer.
        :param items_age_s: time since the earliest moment at which the sender knows the changes
            to have been written, None if it knows none.
        :param is_waiting: the call waited for changes.
        """
        self.check_pause()
        known_s = self._known_s
        if known_s is None:
            return UNKNOWN_BOUND
        if self._is_paused_since(known_s):
            # When the response arrived is unknown.
            told_s = known_s if items_age_s is None else sent_s - items_age_s
            return ChangeBound(max(known_s, told_s), is_after_pause=True)
        now_s = self._clock.monotonic_s()
        bounds_s = [known_s]
        if self._unserved_s is not None:
            bounds_s.append(self._unserved_s)
        if items_age_s is not None:
            bounds_s.append(now_s - items_age_s)
        elif is_waiting and now_s - copy_age_s - sent_s > PROMPT_ANSWER_S:
            bounds_s.append(now_s - copy_age_s)
        return ChangeBound(max(bounds_s))

    def confirm(self, sent_s: float, copy_age_s: float = 0.0, ends_outage: bool = True) -> None:
        """Record that a response has brought the copy up to date.

        :param sent_s: monotonic time at which the call was sent.
        :param copy_age_s: see :meth:`bound`.
        :param ends_outage: it shows that the store answers again.
        """
        self.check_pause()
        received_s = sent_s if self._is_paused_since(sent_s) else self._clock.monotonic_s()
        current_s = received_s - copy_age_s
        self._known_s = current_s if self._known_s is None else max(self._known_s, current_s)
        if ends_outage:
            self._failures = 0
            self._unserved_s = None

    def _is_paused_since(self, since_s: float) -> bool:
        return self._paused_s is not None and self._paused_s >= since_s
