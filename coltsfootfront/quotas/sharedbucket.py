"""One customer's token bucket, as one router sees it.

Load it answers: a customer that sends several times its quota, through all routers or a few, while
the others must not be refused below theirs. Each router keeps a copy of the bucket. It takes out
what it admits itself, what its peers report, and what they have probably admitted since.
"""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from coltsfootfront.quotas.bucket import TokenBucket
from coltsfootfront.quotas.quota import Quota
from coltsfootfront.quotas.tolerance import Tolerance
from coltsfootfront.quotas.unreported import MAX_AGE_S, UnreportedUse
from coltsfootfront.quotas.usage import CustomerUsage, UsageReport
from coltsfootfront.quotas.usagerate import RequestSize, UsageRate, fading, recent_units

# Share of an equal part of the quota that a router which is not heard may use although its rate was
# lower. Most such routers have just ended, and the others get what they leave.
SILENT_SHARE = 0.5
# Burst of such a router, as a multiple of its part of the quota's burst. Callers that wait while it
# is paused all arrive when it resumes, and the others have withheld its rate for it.
RESTRICTED_BURST = 1.5
# Time over which callers that are refused are spread after the next room.
MAX_PROMISE_S = 8.0
# Share of the tolerated excess of a window up to which a bucket may go into debt. Copies of a
# bucket differ by a few requests, which are much of a small quota.
DEBT_SHARE = 0.25
# Time after the start within which the level is learned from a peer. Later, the peer's level counts
# most of what this router has admitted itself.
LEARNING_S = 2.0
# Longest time for which the sum over the peers is carried on for a level that is reported.
REPORTED_LEVEL_AGE_S = 0.5
# A running total that began within this time counts as a whole when it is first heard of.
RECENT_TOTAL_S = 8.0
# Share of the burst that is available after a start of which no peer has reported the level. The
# processes before may have used the whole burst; while none ran, the rate has gone unused.
START_LEVEL_SHARE = 0.5


@dataclass(slots=True)
class _PeerUsage:
    """What is known of one peer's use.

    :param total: what it has reported, and what it was assumed to use while it was silent.
    :param rate_per_s: rate that it has reported last.
    :param reported_s: monotonic time at which that report was sent.
    :param incarnation: process that has sent it; 0 if there is no report.
    :param since_s: uptime of the process from which the total counts.
    :param uptime_s: uptime of the process at that report.
    :param was_silent: it has been silent since that report.
    """

    total: float = 0.0
    rate_per_s: float = 0.0
    reported_s: float = -math.inf
    incarnation: int = 0
    since_s: float = 0.0
    uptime_s: float = 0.0
    was_silent: bool = False


class SharedBucket:
    """Copy of one customer's bucket.

    :param quota: limit of the customer over all routers.
    :param tolerance: what all routers together may use beyond the quota in a window.
    :param is_first_start: no process has admitted anything before.
    :param generator: source of the level at which a restriction begins.
    :param now_s: monotonic time.
    """

    __slots__ = (
        "_bucket",
        "_generator",
        "_is_level_learned",
        "_learned_s",
        "_learning_since_s",
        "_noted_per_s",
        "_own_rate",
        "_own_total_before",
        "_peers",
        "_promised_s",
        "_request_size",
        "_restricted",
        "_settled_s",
        "_silent",
        "_tolerance",
        "_unreported",
        "own_total",
        "quota",
        "started_s",
    )

    def __init__(
        self,
        quota: Quota,
        tolerance: Tolerance,
        is_first_start: bool,
        generator: random.Random,
        now_s: float,
    ) -> None:
        self.quota = quota
        self._generator = generator
        level = quota.burst if is_first_start else START_LEVEL_SHARE * quota.burst
        self._bucket = TokenBucket(quota.rate_per_s, quota.burst, level, now_s)
        self._tolerance = tolerance
        self._is_level_learned = is_first_start
        self._learning_since_s = now_s
        # Without earlier processes, the level of the start needs nothing to be learned.
        self._learned_s = -math.inf
        self._own_total_before = 0.0
        self._own_rate = UsageRate(now_s)
        self._request_size = RequestSize()
        self._noted_per_s = (0.0, 0.0)
        self._peers: dict[str, _PeerUsage] = {}
        self._unreported = UnreportedUse()
        self._silent: dict[str, float] = {}
        self._settled_s = now_s
        self._promised_s = now_s
        self._restricted: TokenBucket | None = None
        self.own_total = 0.0
        self.started_s = now_s

    def set_quota(self, quota: Quota, now_s: float) -> None:
        """Change the limit."""
        self._settle_silent(now_s)
        self.quota = quota
        self._apply_silent_rates(now_s)
        self._restricted = None

    def set_tolerance(self, tolerance: Tolerance, now_s: float) -> None:
        """Change what may be used beyond the quota."""
        self._settle_silent(now_s)
        self._tolerance = tolerance
        self._apply_silent_rates(now_s)

    def resume(self, now_s: float) -> None:
        """Forget what the peers have used, after a time in which they were not heard.

        What they used meanwhile was as much as became available, not a debt.
        """
        for peer in self._peers.values():
            peer.incarnation = 0
        self._silent.clear()
        self._settled_s = now_s
        self._apply_silent_rates(now_s)
        level = min(self._bucket.level(now_s), START_LEVEL_SHARE * self.quota.burst)
        self._bucket.set_level(level, now_s)
        self._is_level_learned = False
        self._learning_since_s, self._own_total_before = now_s, self.own_total

    def set_silent(self, silent: Mapping[str, float], routers: int, now_s: float) -> None:
        """Set the peers whose reports are missing.

        :param silent: monotonic time at which each was last heard, or has become known.
        :param routers: number of routers that share the quota, this one included.
        """
        self._settle_silent(now_s)
        for router in self._silent.keys() - silent.keys():
            del self._silent[router]
            self._peers[router].was_silent = True
        for router in silent.keys() - self._silent.keys():
            peer = self._peers.setdefault(router, _PeerUsage())
            # Its last reports without this customer said that its rate had faded. Some may have
            # overtaken others that name the customer, so that it fades more slowly here.
            faded_per_s = peer.rate_per_s * fading((silent[router] - peer.reported_s) / 2)
            rate_per_s = min(
                max(faded_per_s, self._silent_rate_per_s(routers)), self.quota.rate_per_s
            )
            missed = rate_per_s * (now_s - max(silent[router], self.started_s))
            peer.total += missed
            self._bucket.take(missed, now_s)
            self._silent[router] = rate_per_s
        self._apply_silent_rates(now_s)

    def set_peers(self, peers: set[str], now_s: float) -> None:
        """Forget the routers that have gone."""
        self._settle_silent(now_s)
        for router in self._peers.keys() - peers:
            del self._peers[router]
            self._unreported.forget(router)
            self._silent.pop(router, None)
        self._apply_silent_rates(now_s)

    def apply_report(
        self,
        report: UsageReport,
        usage: CustomerUsage,
        sent_s: float,
        is_familiar: bool,
        now_s: float,
    ) -> None:
        """Take out what a peer has admitted since its last report.

        Reports that are overtaken by later ones are left out, as an older total would give back
        what has been used since.

        :param usage: its row about this customer.
        :param sent_s: monotonic time at which it was sent.
        :param is_familiar: the peer has been heard for long enough to have reported recent use.
        """
        peer = self._peers.setdefault(report.router, _PeerUsage())
        is_same = (peer.incarnation, peer.since_s) == (report.incarnation, usage.since_s)
        if peer.incarnation == report.incarnation and report.uptime_s < peer.uptime_s:
            return
        is_old = report.uptime_s - usage.since_s > min(RECENT_TOTAL_S, now_s - self._learned_s)
        used = usage.total - peer.total if is_same else usage.total
        if self._learn_level(usage.level, sent_s, now_s):
            used = 0.0
        elif not peer.incarnation and not self._is_level_learned:
            # What a peer admitted before this process has started is in the level that it reports.
            used = 0.0
        elif is_old and is_familiar and not peer.incarnation:
            # It has not used this quota lately, but for what its rate says.
            used = min(usage.total, recent_units(usage.rate_per_s))
        elif is_old and (not peer.incarnation or (used > 0 and peer.was_silent)):
            # Most of what a peer used while it was not heard has long become available again. Its
            # level says what remains of it.
            used = 0.0
            if usage.level is not None:
                level = self._refilled(usage.level, sent_s, now_s)
                self._bucket.set_level(min(self._bucket.level(now_s), level), now_s)
        self._bucket.take(used, now_s)
        if self._silent and usage.level is not None:
            self._compare_level(usage.level, sent_s, now_s)
        self._unreported.record(report.router, usage.rate_per_s, sent_s, now_s)
        self._peers[report.router] = _PeerUsage(
            usage.total,
            usage.rate_per_s,
            sent_s,
            report.incarnation,
            usage.since_s,
            report.uptime_s,
        )

    def _compare_level(self, reported: float, sent_s: float, now_s: float) -> None:
        """Come down to the level of a peer that may hear those who are silent here.

        Two routers that do not hear each other would both use the whole quota, if all requests go
        to them. Levels differ by some requests at any time, which is left alone.
        """
        limit = self._refilled(reported, sent_s, now_s) + self._max_debt
        self._bucket.set_level(min(self._bucket.level(now_s), limit), now_s)

    def _learn_level(self, level: float | None, sent_s: float, now_s: float) -> bool:
        """Take over the level from a peer that has known the bucket for longer, if it is needed.

        :param sent_s: monotonic time at which the peer sent it.
        """
        if self._is_level_learned or level is None:
            return False
        self._is_level_learned = True
        self._learned_s = now_s
        if now_s - self._learning_since_s > LEARNING_S:
            return False
        used = self.own_total - self._own_total_before
        self._bucket.set_level(self._refilled(level, sent_s, now_s) - used, now_s)
        return True

    def level(
        self, heard_s: Mapping[str, float], now_s: float, max_age_s: float = MAX_AGE_S
    ) -> float:
        """Units that are probably available in the whole fleet.

        :param heard_s: monotonic time at which each peer was last heard.
        :param max_age_s: longest time for which the sum over the peers may be carried on.
        """
        missing = self._unreported.units(heard_s, self._silent, now_s, max_age_s)
        return self._bucket.level(now_s) - missing

    def known_level(self, heard_s: Mapping[str, float], now_s: float) -> float | None:
        """Level to be reported; None if this router has neither learned it nor seen a window."""
        if not self._is_level_learned and now_s - self._learning_since_s < RECENT_TOTAL_S:
            return None
        return self.level(heard_s, now_s, REPORTED_LEVEL_AGE_S)

    def rate_per_s(self, now_s: float) -> float:
        """Rate of what this router has admitted."""
        return self._own_rate.per_s(now_s)

    def has_room(self, heard_s: Mapping[str, float], now_s: float) -> bool:
        """Whether a request would be admitted now, whatever it costs."""
        return self.level(heard_s, now_s) >= -self._max_debt

    def has_room_cut_off(self, now_s: float) -> bool:
        """The same for a router that is not heard; a restriction begins with some room."""
        return self._restricted is None or self._restricted.level(now_s) >= 0

    def try_admit(self, units: float, heard_s: Mapping[str, float], now_s: float) -> bool:
        """Admit a request if there is room.

        :param heard_s: monotonic time at which each peer was last heard.
        """
        self._restricted = None
        self._request_size.add(units)
        if not self.has_room(heard_s, now_s):
            return False
        self.charge(units, now_s)
        return True

    def try_admit_cut_off(self, units: float, routers: int, now_s: float) -> bool:
        """Admit a request within what the peers take this router to use.

        :param routers: number of routers that share the quota, this one included.
        """
        self._request_size.add(units)
        restricted = self._enter_restriction(routers, now_s)
        if restricted.level(now_s) < 0:
            return False
        restricted.take(units, now_s)
        self.charge(units, now_s)
        return True

    def charge(self, units: float, now_s: float) -> None:
        """Count units that are used in any case, or put back if negative."""
        self._bucket.take(units, now_s)
        self._own_rate.add(units, now_s)
        self.own_total += units

    def note_rate(self, now_s: float) -> None:
        """Keep the rate at which this router admits, at regular intervals.

        While a burst is used, all routers together admit more than the quota's rate, which must
        not go on if they are cut off from each other then.
        """
        own_per_s = self._own_rate.per_s(now_s)
        all_per_s = own_per_s + self._unreported.rate_per_s
        if all_per_s > self.quota.rate_per_s:
            own_per_s *= self.quota.rate_per_s / all_per_s
        self._noted_per_s = (self._noted_per_s[1], own_per_s)

    def room_after_s(self, units: float, heard_s: Mapping[str, float], now_s: float) -> float:
        """Time until a refused request finds room, after those that were told to return before.

        Most refused callers do not return. Those that were told times further ahead than
        MAX_PROMISE_S leave the room that they were promised, and the next ones get it.
        """
        if self._restricted is not None:
            level, own_per_s = self._restricted.level(now_s), self._restricted.rate_per_s
            free_per_s = own_per_s
        else:
            level = self.level(heard_s, now_s) + self._max_debt
            free_per_s = self.quota.rate_per_s
            # The part of the rate that other routers use is not available to this one's callers.
            own_per_s = max(
                free_per_s - self._unreported.rate_per_s, free_per_s / (len(heard_s) + 1)
            )
        free_s = now_s + max(0.0, -level) / free_per_s
        promised_s = self._promised_s + units / own_per_s
        if not free_s <= promised_s <= free_s + MAX_PROMISE_S:
            promised_s = free_s
        self._promised_s = promised_s
        return promised_s - now_s

    @property
    def _tolerated_per_s(self) -> float:
        return self._tolerance.units_of(self.quota) / self._tolerance.window_s

    @property
    def _max_debt(self) -> float:
        return DEBT_SHARE * self._tolerance.units_of(self.quota)

    def _refilled(self, level: float, since_s: float, now_s: float) -> float:
        """Level now of a bucket that had a level at some time."""
        return min(self.quota.burst, level + (now_s - since_s) * self._bucket.rate_per_s)

    def _silent_rate_per_s(self, routers: int) -> float:
        """Rate that a router which is not heard may use, however little it used before."""
        return SILENT_SHARE * (self.quota.rate_per_s + self._tolerated_per_s) / routers

    def _apply_silent_rates(self, now_s: float) -> None:
        """Let the bucket refill by what the silent peers leave of the rate."""
        self._unreported.recompute()
        rate_per_s = max(0.0, self.quota.rate_per_s - sum(self._silent.values()))
        if self._silent:
            tolerated_per_s = SILENT_SHARE * self._tolerated_per_s
            rate_per_s += tolerated_per_s * len(self._silent) / (len(self._peers) + 1)
        self._bucket.set_limit(min(rate_per_s, self.quota.rate_per_s), self.quota.burst, now_s)

    def _settle_silent(self, now_s: float) -> None:
        """Add to the totals of the silent peers what the bucket was not refilled with for them.

        The next report of a peer gives back what it has not used. It must not give back more than
        was withheld, which is less than the peers together may have used.
        """
        passed_s, self._settled_s = now_s - self._settled_s, now_s
        assumed_per_s = sum(self._silent.values())
        if assumed_per_s:
            withheld_per_s = self.quota.rate_per_s - self._bucket.rate_per_s
            for router, rate_per_s in self._silent.items():
                self._peers[router].total += passed_s * withheld_per_s * rate_per_s / assumed_per_s

    def _enter_restriction(self, routers: int, now_s: float) -> TokenBucket:
        """Bucket of a router that the others count by its last reported rate."""
        if self._restricted is None:
            share_per_s = self._silent_rate_per_s(routers)
            # What the peers have heard is as old as the restriction takes to be noticed.
            rate_per_s = min(max(min(self._noted_per_s), share_per_s), self.quota.rate_per_s)
            burst_s = self.quota.burst / self.quota.rate_per_s
            burst = max(
                RESTRICTED_BURST * rate_per_s * burst_s, SILENT_SHARE * self.quota.burst / routers
            )
            level = min(burst, max(0.0, self._bucket.level(now_s)))
            # A bucket goes into debt for a request that is larger than its level. If all routers
            # began at 0, each would admit a large request at once, whatever its share is.
            level -= self._generator.random() * self._request_size.units
            self._restricted = TokenBucket(rate_per_s, burst, level, now_s)
        return self._restricted
