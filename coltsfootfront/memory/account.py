"""Decides which connections may take up more memory, and which are closed when it is short.

Answers a load of callers that open connections, send and do not read without regard to others. As
long as the budget lasts, nobody is closed. When it is short, idle connections are closed first,
then those that have stalled, those that are slow, and those that hold the most; a request that is
being served and whose response is read is never closed for others.

What a connection holds is an estimate. The bound on all estimates follows the resident memory of
the process: a shape of requests that holds more than estimated lowers it.
"""

import math
import sys
from collections.abc import Callable, Iterator

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.memory.budget import (
    CLOSING_DESCRIPTORS,
    CONNECTION_BYTES,
    MIB,
    MIN_MEMORY_BYTES,
    Budget,
)
from coltsfootfront.memory.closingorder import GREEDY_SHARE, closing_order
from coltsfootfront.memory.groups import GroupTotals
from coltsfootfront.memory.holder import Holder
from coltsfootfront.memory.resident import ResidentMemory

# Part of the budget that is free after connections have been closed, so that the next charge does
# not search again.
FREED_SHARE = 0.02
# Time for which a search that has found nothing is not repeated.
SEARCH_INTERVAL_S = 0.1
# The resident memory is read after this much has been received, besides at an interval. Fields of a
# head take up to 8 times their size.
MEASURE_STEP_BYTES = MIB
# Time in which a closed connection's request ends and releases what it holds.
RELEASE_S = 0.02
# Shortest time between two returns of freed memory to the operating system, which take some
# milliseconds: without room, and while there is some.
TRIM_INTERVAL_S = 0.1
CALM_TRIM_INTERVAL_S = 1.0

log = logbook.Logger(__name__)


class Account:
    """What the connections of one group hold, and its bound.

    :param budget: bound of the group.
    :param on_closed: called for each connection closed for others and of each refusal, with the
        reason.
    :param resident: resident memory of the process, None to go by the estimates alone.
    """

    def __init__(
        self,
        budget: Budget,
        clock: Clock,
        on_closed: Callable[[str], None] = lambda reason: None,
        resident: ResidentMemory | None = None,
    ) -> None:
        self._budget = budget
        self.clock = clock
        self.now_s = clock.monotonic_s
        self._on_closed = on_closed
        self._resident = resident
        self._holders: set[Holder] = set()
        self._groups = GroupTotals()
        self.held_bytes = 0
        self.descriptors = 0
        self._bound_bytes = budget.memory_bytes
        """Bound on `held_bytes`, by the budget and by the last reading of the resident memory."""
        self._closing_bytes = 0
        self._closing_descriptors = 0
        self._unmeasured_bytes = 0
        self._has_reading_failed = False
        self._trimmed_s = -math.inf
        self._other_descriptors = 0
        self._searched_s = -math.inf
        self._failed_search = (0, 0)
        """Bytes that the requester of the last search in vain wanted, and those of its group."""
        self._next_closing_s = -math.inf

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    @property
    def free_bytes(self) -> int:
        """Memory that is left."""
        return max(0, self._bound_bytes - self.held_bytes)

    @property
    def bound_bytes(self) -> int:
        """Bound on what all connections hold together."""
        return self._bound_bytes

    def count(self, reason: str) -> None:
        """Count a connection that is closed for a limit of its own."""
        self._on_closed(reason)

    def set_other_descriptors(self, count: int) -> None:
        """Set how many descriptors others have taken beyond those kept for them."""
        self._other_descriptors = count

    def count_received(self, size_bytes: int) -> None:
        """Count bytes that callers or targets have sent, and measure after each step of them."""
        self._unmeasured_bytes += size_bytes
        if self._unmeasured_bytes >= MEASURE_STEP_BYTES:
            self.measure()

    @property
    def is_ample(self) -> bool:
        """Whether half of the memory is left, so that transfers may use large buffers."""
        return 2 * self.held_bytes < self._bound_bytes

    def measure(self) -> None:
        """Adapt the bound to what the process really holds, and close connections beyond it."""
        self._unmeasured_bytes = 0
        if self._resident is None:
            return
        now_s = self.clock.monotonic_s()
        try:
            bound_bytes = self._compute_bound(self._resident.read_bytes())
            if self._should_trim(bound_bytes, now_s):
                self._trimmed_s = now_s
                self._resident.trim()
                bound_bytes = self._compute_bound(self._resident.read_bytes())
        except OSError as error:
            if not self._has_reading_failed:
                log.warning(event("resident_memory_unknown", reason=str(error)))
            self._has_reading_failed = True
            return
        self._has_reading_failed = False
        self._bound_bytes = bound_bytes
        if self.held_bytes > bound_bytes and now_s >= self._next_closing_s:
            self._close_beyond_bound(now_s)

    def _compute_bound(self, resident_bytes: int) -> int:
        """Bound on what all connections hold, by what the process may still grow by."""
        # What closed connections held is about to be freed.
        room_bytes = self._budget.resident_bytes - resident_bytes + self._closing_bytes
        # Freed memory that the allocator cannot return is used for the next requests.
        bound_bytes = max(MIN_MEMORY_BYTES, self.held_bytes + room_bytes)
        return min(self._budget.memory_bytes, bound_bytes)

    def _should_trim(self, bound_bytes: int, now_s: float) -> bool:
        """Whether memory that the allocator may return keeps callers out."""
        budget_bytes = self._budget.memory_bytes
        free_bytes = bound_bytes - self.held_bytes
        if bound_bytes == budget_bytes or 2 * free_bytes >= budget_bytes:
            return False
        is_full = free_bytes <= MIN_MEMORY_BYTES
        interval_s = TRIM_INTERVAL_S if is_full else CALM_TRIM_INTERVAL_S
        return now_s - self._trimmed_s >= interval_s

    def open(self, address: str, close: Callable[[str], None]) -> Holder | None:
        """Charge a new connection.

        :returns: None if there is no room for it.
        """
        holder = Holder(address, close, self.clock.monotonic_s())
        if not self._make_room(holder, CONNECTION_BYTES, 1):
            self._on_closed("no_room")
            return None
        self._holders.add(holder)
        self._set(holder, CONNECTION_BYTES, 1)
        self.count_received(CONNECTION_BYTES)
        return holder

    def change(self, holder: Holder, held_bytes: int, descriptors: int) -> bool:
        """Change what a connection holds.

        :returns: False if there is no room for it; then nothing has changed.
        """
        if self._try_change(holder, held_bytes, descriptors):
            return True
        if holder.is_open:
            self._on_closed("no_room")
        return False

    def charge(self, holder: Holder, held_bytes: int, descriptors: int) -> None:
        """Change what a connection holds already, whether or not there is room for it.

        Others are closed where they may be; without room, nothing new is accepted.
        """
        if holder.is_open and not self._try_change(holder, held_bytes, descriptors):
            self._set(holder, held_bytes, descriptors)

    def assign(self, holder: Holder, customer: str) -> None:
        """Record the customer of the request that a connection serves, empty if it has none."""
        if customer != holder.customer:
            self._groups.add(holder.address, holder.customer, -holder.held_bytes)
            holder.customer = customer
            self._groups.add(holder.address, customer, holder.held_bytes)

    def _try_change(self, holder: Holder, held_bytes: int, descriptors: int) -> bool:
        if not holder.is_open:
            return False
        more_bytes = held_bytes - holder.held_bytes
        more_descriptors = descriptors - holder.descriptors
        # Without a call for the usual case, as this runs several times for each request.
        has_room = (more_bytes <= 0 or self.held_bytes + more_bytes <= self._bound_bytes) and (
            more_descriptors <= 0
            or self.descriptors + self._closing_descriptors + more_descriptors
            <= self._budget.descriptors - self._other_descriptors
        )
        if not has_room and not self._make_room(holder, more_bytes, more_descriptors):
            return False
        self._set(holder, held_bytes, descriptors)
        return True

    def remove(self, holder: Holder) -> None:
        """Release what a connection holds, once it has ended."""
        self._closing_bytes -= holder.closing_bytes
        self._closing_descriptors -= holder.closing_descriptors
        holder.closing_bytes = holder.closing_descriptors = 0
        self._release(holder)

    def _release(self, holder: Holder) -> None:
        holder.is_open = False
        if holder in self._holders:
            self._holders.remove(holder)
            self._set(holder, 0, 0)

    def _close(self, holder: Holder, reason: str) -> None:
        """Close a connection for others."""
        holder.closing_bytes = holder.held_bytes
        self._closing_bytes += holder.closing_bytes
        holder.closing_descriptors = holder.descriptors
        self._closing_descriptors += holder.closing_descriptors
        self._release(holder)
        holder.close(reason)
        self._on_closed(reason)

    def _set(self, holder: Holder, held_bytes: int, descriptors: int) -> None:
        more_bytes = held_bytes - holder.held_bytes
        self.held_bytes += more_bytes
        self._groups.add(holder.address, holder.customer, more_bytes)
        self.descriptors += descriptors - holder.descriptors
        holder.held_bytes, holder.descriptors = held_bytes, descriptors

    def _missing(self, more_bytes: int, more_descriptors: int) -> tuple[int, int]:
        free_bytes = self._bound_bytes - self.held_bytes
        free_descriptors = self._budget.descriptors - self._other_descriptors - self.descriptors
        return (
            more_bytes - free_bytes if more_bytes > 0 else 0,
            more_descriptors - free_descriptors if more_descriptors > 0 else 0,
        )

    def _make_room(self, requester: Holder, more_bytes: int, more_descriptors: int) -> bool:
        missing_bytes, missing_descriptors = self._missing(more_bytes, more_descriptors)
        if missing_bytes <= 0 and missing_descriptors <= 0:
            return self._are_descriptors_free(more_descriptors)
        now_s = self.clock.monotonic_s()
        wanted = (requester.held_bytes + more_bytes, self._group_bytes(requester) + more_bytes)
        if now_s - self._searched_s >= SEARCH_INTERVAL_S:
            self._failed_search = (sys.maxsize, sys.maxsize)
        elif not _is_much_less(wanted, self._failed_search):
            return False
        freed_bytes = freed_descriptors = 0
        if missing_bytes > 0:
            freed_bytes = int(FREED_SHARE * self._budget.memory_bytes)
        if missing_descriptors > 0:
            freed_descriptors = int(FREED_SHARE * self._budget.descriptors)
        for holder, reason in self._closing_order(
            requester, wanted, missing_descriptors > 0, now_s
        ):
            missing = self._missing(more_bytes + freed_bytes, more_descriptors + freed_descriptors)
            if max(missing) <= 0:
                return self._are_descriptors_free(more_descriptors)
            self._close(holder, reason)
        if max(self._missing(more_bytes, more_descriptors)) <= 0:
            return self._are_descriptors_free(more_descriptors)
        self._searched_s = now_s
        self._failed_search = (
            min(wanted[0], self._failed_search[0]),
            min(wanted[1], self._failed_search[1]),
        )
        return False

    def _are_descriptors_free(self, more_descriptors: int) -> bool:
        """Whether there is room for descriptors beside those of connections that are closing."""
        if more_descriptors <= 0:
            return True
        late_descriptors = max(0, self._closing_descriptors - CLOSING_DESCRIPTORS)
        return late_descriptors + self._missing(0, more_descriptors)[1] <= 0

    def _group_bytes(self, holder: Holder) -> int:
        return self._groups.larger_bytes(holder.address, holder.customer)

    def _closing_order(
        self,
        requester: Holder | None,
        wanted: tuple[int, int],
        needs_descriptors: bool,
        now_s: float,
    ) -> Iterator[tuple[Holder, str]]:
        return closing_order(
            self._holders, requester, wanted, needs_descriptors, self._group_bytes, now_s
        )

    def _close_beyond_bound(self, now_s: float) -> None:
        """Close connections until what the others hold keeps to the bound."""
        enough_bytes = self._bound_bytes - int(FREED_SHARE * self._budget.memory_bytes)
        self._next_closing_s = now_s + SEARCH_INTERVAL_S
        for holder, reason in self._closing_order(None, (0, 0), False, now_s):
            if self.held_bytes <= enough_bytes:
                self._next_closing_s = now_s + RELEASE_S
                return
            self._close(holder, reason)


def _is_much_less(wanted: tuple[int, int], failed: tuple[int, int]) -> bool:
    """Whether a search may find connections that one for a larger requester has not found."""
    return wanted[0] <= GREEDY_SHARE * failed[0] or wanted[1] <= GREEDY_SHARE * failed[1]
