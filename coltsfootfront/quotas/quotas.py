"""Decides whether requests are within the quotas of their customers.

Load it answers: customers that send several times their quota, which take the room of the others
when they are served, and a fleet whose routers start, stop, pause, and cannot always hear each
other while they do. A decision needs no network; see :mod:`coltsfootfront.quotas.sharedbucket`.

A router that is not heard admits no more than its peers take it to admit: the rate that it last
reported, or a part of an equal share. It learns that it is not heard from the reports of those who
miss its own, and takes itself for unheard while it hears fewer than half of its peers.
"""

import math
import random
from collections.abc import Mapping

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.quotas.peer import Peer
from coltsfootfront.quotas.quota import Quota
from coltsfootfront.quotas.sharedbucket import REPORTED_LEVEL_AGE_S, SharedBucket
from coltsfootfront.quotas.tolerance import Tolerance
from coltsfootfront.quotas.usage import CustomerUsage, UsageReport

log = logbook.Logger(__name__)

# Interval of reports without news, by which a router shows that it is heard.
KEEPALIVE_INTERVAL_S = 0.3
# The same for a while after an admission. The peers take a router to go on until they hear that it
# has not.
ACTIVE_INTERVAL_S = 0.08
ACTIVE_S = 1.0
# Interval at which all recent usage is reported again, for routers that have started since.
REFRESH_INTERVAL_S = 1.0
# A peer that has been heard for this long has reported all its recent use.
FAMILIAR_AFTER_S = 1.5
# A peer that has reported nothing for this long counts as silent.
SILENT_AFTER_S = 1.0
# Usage is reported for this long after the last request of a customer.
RECENT_S = 8.0
# Customers in one message, about 40 bytes each.
CUSTOMERS_PER_REPORT = 18
# Messages at a time. Running totals can wait, and each message goes to all routers.
MAX_REPORTS = 2
# Routers that one report names as missing, and the share of the peers that have to name a router.
# One peer alone may have lost its own link; it learns from the levels of the others.
MAX_UNHEARD_NAMED = 32
UNHEARD_SHARE = 0.25
MIN_MISSING = 2
# Time for which levels are reported to routers that miss others, and the share of a burst below
# which a level is worth it.
MISSED_FOR_S = 3.0
LOW_LEVEL_SHARE = 0.25
# A router that was restricted for this long does not know the levels any more.
RELEARN_AFTER_S = 2.0
# Longest wait for the peers after a start or a pause. They report at least every 0.3 s.
RESUME_WAIT_S = 0.4
RESUME_POLL_INTERVAL_S = 0.02
# Interval at which a router checks whether it is heard.
CHECK_INTERVAL_S = 0.02
# A process that has done nothing for this long was paused. The loop that sends reports runs at
# least every 0.1 s.
PAUSED_AFTER_S = 1.0
# Time without a refusal after which a customer counts as within its quota again, for the log. One
# that stays near its quota is refused every few seconds, and must not be logged each time.
QUIET_S = 10.0
MAX_INCARNATION = 2**53 - 1


class _Refusals:
    """Refusals of one customer since it exceeded its quota."""

    __slots__ = ("count", "last_s", "since_s")

    def __init__(self, now_s: float) -> None:
        self.count = 0
        self.since_s = self.last_s = now_s


class Quotas:
    """Quotas of all customers, as one router sees them.

    :param clock: time source.
    :param address: address of this router.
    :param is_first_start: no router of the deployment has run before.
    """

    def __init__(
        self, clock: Clock, address: str, is_first_start: bool, generator: random.Random
    ) -> None:
        self._clock = clock
        self._address = address
        self._is_first_start = is_first_start
        self._generator = generator
        self._incarnation = generator.randint(1, MAX_INCARNATION)
        self._started_s = self._active_s = self._resumed_s = clock.monotonic_s()
        self._quotas: dict[str, Quota] = {}
        self._buckets: dict[str, SharedBucket] = {}
        self._used_s: dict[str, float] = {}
        self._changed: dict[str, None] = {}
        """Customers to be reported, those first that have waited for longest."""
        self._peers: dict[str, Peer] = {}
        self._known_since_s: dict[str, float] = {}
        """When each peer was last heard; one that never was, when it has become known."""
        self._heard_s: dict[str, float] = {}
        """When each peer that is not silent was last heard."""
        self._silent: dict[str, float] = {}
        """When each silent peer was last heard."""
        self._tolerance = Tolerance()
        self._refusals: dict[str, _Refusals] = {}
        self._last_use_s = -math.inf
        self._reported_s = self._refreshed_s = self._low_s = self._started_s
        self._was_unheard = self._is_restricted = False
        self._checked_s = self._missed_s = self._restricted_s = -math.inf
        self._next_named = 0
        """Position of the first peer to be named, if too many are missing for one report."""

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Apply the quotas of a configuration, by customer."""
        now_s = self._check_pause()
        for customer in self._buckets.keys() - quotas.keys():
            del self._buckets[customer]
            self._used_s.pop(customer, None)
            self._refusals.pop(customer, None)
            metrics.QUOTA_LEVEL.values.pop({"customer": customer}, None)
        self._changed = {name: None for name in self._changed if name in quotas}
        for customer, quota in quotas.items():
            bucket = self._buckets.get(customer)
            if bucket is None:
                # A customer of the first configuration may have used its quota through an earlier
                # process; one that is added later has not.
                is_new = self._is_first_start or bool(self._quotas)
                self._add_bucket(customer, quota, is_new, now_s)
            elif bucket.quota != quota:
                self._log_change(customer, bucket.quota, quota)
                if bucket.quota.unit is quota.unit:
                    bucket.set_quota(quota, now_s)
                else:
                    # Tokens and requests cannot be added up.
                    self._add_bucket(customer, quota, True, now_s)
        if quotas and not self._quotas:
            # The peers wait for reports before they leave their restriction.
            self._reported_s = -math.inf
        self._quotas = dict(quotas)

    def _add_bucket(self, customer: str, quota: Quota, is_new: bool, now_s: float) -> None:
        bucket = SharedBucket(quota, self._tolerance, is_new, self._generator, now_s)
        bucket.set_silent(self._silent, self._router_count, now_s)
        self._buckets[customer] = bucket

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Set the use beyond each quota that is tolerated; it holds for quotas set afterwards."""
        self._tolerance = tolerance

    def set_routers(self, addresses: set[str]) -> None:
        """Set the routers that share the quotas, this one included."""
        peers = addresses - {self._address}
        if peers == self._known_since_s.keys():
            return
        now_s = self._clock.monotonic_s()
        for address in self._known_since_s.keys() - peers:
            del self._known_since_s[address]
            self._peers.pop(address, None)
            self._heard_s.pop(address, None)
            self._silent.pop(address, None)
        for address in peers - self._known_since_s.keys():
            self._known_since_s[address] = now_s
        for bucket in self._buckets.values():
            bucket.set_peers(peers, now_s)

    def admit(self, customer: str, prompt_tokens: int, output_tokens: int) -> float | None:
        """Admit a request if its customer has room.

        :returns: None if it is admitted; else the seconds until there is room for it.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            return None
        now_s = self._check_pause()
        units = bucket.quota.cost(prompt_tokens, output_tokens)
        is_unheard = self._is_unheard(now_s)
        if is_unheard:
            is_admitted = bucket.try_admit_unheard(units, self._router_count, now_s)
        else:
            is_admitted = bucket.try_admit(units, self._heard_s, now_s)
        if is_admitted:
            self._record_use(customer, now_s)
            metrics.QUOTA_REQUESTS.inc({"outcome": "admitted"})
            self._log_recovery(customer, now_s)
            return None
        metrics.QUOTA_REQUESTS.inc({"outcome": "refused_unheard" if is_unheard else "refused"})
        self._log_excess(customer, bucket, is_unheard, now_s)
        return bucket.room_after_s(units, self._heard_s, now_s)

    async def wait_heard(self) -> None:
        """Wait for the peers after a start or a pause of this process, for a moment at most.

        Callers have waited for the whole pause, and come all at once. Within what this router
        may use unheard, some of them would be refused whose customers are below their quotas.
        """
        now_s = self._check_pause()
        while self._buckets and now_s < self._resumed_s + RESUME_WAIT_S and self._is_unheard(now_s):
            await self._clock.sleep(RESUME_POLL_INTERVAL_S)
            now_s = self._check_pause()

    def charge(self, customer: str, prompt_tokens: int, output_tokens: int) -> None:
        """Count a further run of a request that was admitted."""
        self._add(customer, prompt_tokens, output_tokens, 1)

    def refund(self, customer: str, prompt_tokens: int, output_tokens: int) -> None:
        """Give back what a request counted that did not run."""
        self._add(customer, prompt_tokens, output_tokens, -1)

    def describe(self, customer: str) -> dict[str, float | bool] | None:
        """State of a customer's quota, None if it has none."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return None
        now_s = self._clock.monotonic_s()
        return {
            "rate_per_s": bucket.quota.rate_per_s,
            "burst": bucket.quota.burst,
            "available": bucket.level(self._heard_s, now_s),
            "own_rate_per_s": bucket.rate_per_s(now_s),
            "is_unheard": self._is_unheard(now_s),
        }

    def take_reports(self) -> list[list[object]]:
        """Take the messages that are due for the peers, as their fields."""
        now_s = self._check_pause()
        if not self._buckets or not self._known_since_s:
            return []
        self._update_silent(now_s)
        if now_s - self._refreshed_s >= REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            self._refresh(now_s)
        self._add_low_levels(now_s)
        is_active = now_s - self._last_use_s <= ACTIVE_S
        interval_s = ACTIVE_INTERVAL_S if is_active else KEEPALIVE_INTERVAL_S
        if not self._changed and now_s - self._reported_s < interval_s:
            return []
        self._reported_s = now_s
        customers = list(self._changed)[: MAX_REPORTS * CUSTOMERS_PER_REPORT]
        for customer in customers:
            del self._changed[customer]
        unheard = self._name_unheard()
        uptime_s = now_s - self._started_s
        reports: list[list[object]] = []
        for start in range(0, max(1, len(customers)), CUSTOMERS_PER_REPORT):
            usages = tuple(
                self._usage(customer, now_s)
                for customer in customers[start : start + CUSTOMERS_PER_REPORT]
            )
            report = UsageReport(self._address, self._incarnation, uptime_s, unheard, usages)
            reports.append(report.to_fields())
        return reports

    def handle_report(self, report: UsageReport) -> None:
        """Apply the report of a peer."""
        if report.router not in self._known_since_s:
            return
        now_s = self._check_pause()
        peer = self._peers.get(report.router)
        if peer is None:
            peer = self._peers[report.router] = Peer(report.incarnation, now_s)
        elif report.incarnation in peer.former:
            return
        elif peer.incarnation != report.incarnation:
            peer = self._peers[report.router] = peer.successor(report.incarnation, now_s)
        sent_s = peer.sent_s(report.uptime_s, now_s)
        if now_s - sent_s > SILENT_AFTER_S:
            # Left over from a pause; the totals of the next report contain its own.
            return
        self._record_heard(report.router, sent_s, now_s)
        is_familiar = now_s - peer.heard_since_s > FAMILIAR_AFTER_S
        if report.uptime_s >= peer.uptime_s:
            peer.uptime_s = report.uptime_s
            if report.unheard:
                self._missed_s = now_s
            is_complete = len(report.unheard) < MAX_UNHEARD_NAMED
            peer.record_hearing(self._address in report.unheard, is_complete, now_s)
        for usage in report.usages:
            bucket = self._buckets.get(usage.customer)
            if bucket is None:
                continue
            bucket.apply_report(report, usage, sent_s, is_familiar, now_s)

    def _check_pause(self) -> float:
        """Return the monotonic time; after a pause, begin to listen to the peers anew."""
        now_s = self._clock.monotonic_s()
        if now_s - self._active_s > PAUSED_AFTER_S and self._known_since_s:
            self._heard_s.clear()
            self._silent = {}
            self._known_since_s = dict.fromkeys(self._known_since_s, now_s)
            self._checked_s = -math.inf
            self._resumed_s = now_s
            for bucket in self._buckets.values():
                bucket.resume(now_s)
        self._active_s = now_s
        return now_s

    def _record_heard(self, router: str, sent_s: float, now_s: float) -> None:
        was_silent = router not in self._heard_s
        self._heard_s[router] = max(sent_s, self._heard_s.get(router, sent_s))
        self._known_since_s[router] = max(sent_s, self._known_since_s[router])
        if was_silent:
            self._peers[router].heard_since_s = now_s
            self._update_silent(now_s)

    @property
    def _router_count(self) -> int:
        return len(self._known_since_s) + 1

    def _update_silent(self, now_s: float) -> None:
        """Find out which peers are silent, and let the buckets count their assumed use."""
        silent = {
            address: heard_s
            for address, heard_s in self._known_since_s.items()
            if now_s - heard_s > SILENT_AFTER_S
        }
        for address in silent:
            self._heard_s.pop(address, None)
        if silent.keys() != self._silent.keys():
            self._silent = silent
            for bucket in self._buckets.values():
                bucket.set_silent(silent, self._router_count, now_s)

    def _add(self, customer: str, prompt_tokens: int, output_tokens: int, sign: int) -> None:
        bucket = self._buckets.get(customer)
        if bucket is None:
            return
        now_s = self._clock.monotonic_s()
        bucket.charge(sign * bucket.quota.cost(prompt_tokens, output_tokens), now_s)
        self._record_use(customer, now_s)
        metrics.QUOTA_REQUESTS.inc({"outcome": "charged_again" if sign > 0 else "refunded"})

    def _record_use(self, customer: str, now_s: float) -> None:
        self._used_s[customer] = self._last_use_s = now_s
        self._changed[customer] = None

    def _refresh(self, now_s: float) -> None:
        """Report all recent usage once more, and publish the levels."""
        for customer, bucket in self._buckets.items():
            bucket.note_rate(now_s)
            level = bucket.level(self._heard_s, now_s, REPORTED_LEVEL_AGE_S)
            metrics.QUOTA_LEVEL.set({"customer": customer}, level)
            if now_s - self._used_s.get(customer, -math.inf) <= RECENT_S:
                self._changed[customer] = None
        is_unheard = self._is_unheard(now_s)
        if is_unheard != self._was_unheard:
            self._was_unheard = is_unheard
            name = "quotas_unheard" if is_unheard else "quotas_heard"
            log.info(event(name, peers=len(self._known_since_s), heard=len(self._heard_s)))

    def _add_low_levels(self, now_s: float) -> None:
        """Report low levels, whoever has used them, while some routers do not hear each other."""
        is_any_missed = bool(self._silent) or now_s - self._missed_s <= MISSED_FOR_S
        if not is_any_missed or now_s - self._low_s < KEEPALIVE_INTERVAL_S:
            return
        self._low_s = now_s
        for customer, bucket in self._buckets.items():
            level = bucket.level(self._heard_s, now_s, REPORTED_LEVEL_AGE_S)
            if level < LOW_LEVEL_SHARE * bucket.quota.burst:
                self._changed[customer] = None

    def _usage(self, customer: str, now_s: float) -> CustomerUsage:
        bucket = self._buckets[customer]
        return CustomerUsage(
            customer,
            bucket.own_total,
            bucket.rate_per_s(now_s),
            None if self._is_restricted else bucket.known_level(self._heard_s, now_s),
            bucket.started_s - self._started_s,
        )

    def _is_unheard(self, now_s: float) -> bool:
        """Whether this router has to keep to what its peers take it to admit."""
        if not 0 <= now_s - self._checked_s <= CHECK_INTERVAL_S:
            self._checked_s = now_s
            self._set_restricted(self._must_restrict(now_s), now_s)
        return self._is_restricted

    def _set_restricted(self, is_restricted: bool, now_s: float) -> None:
        if is_restricted == self._is_restricted:
            return
        self._is_restricted = is_restricted
        if is_restricted:
            self._restricted_s = now_s
        elif now_s - self._restricted_s > RELEARN_AFTER_S:
            for bucket in self._buckets.values():
                bucket.resume(now_s)

    def _must_restrict(self, now_s: float) -> bool:
        # Also right after a pause of the process, before any message is read.
        heard = [
            address
            for address, heard_s in self._heard_s.items()
            if now_s - heard_s <= SILENT_AFTER_S
        ]
        if 2 * len(heard) < len(self._known_since_s):
            return True
        missing = sum(not self._peers[address].is_hearing(now_s) for address in heard)
        return missing >= MIN_MISSING and missing > UNHEARD_SHARE * len(heard)

    def _name_unheard(self) -> tuple[str, ...]:
        """Peers whose reports are missing."""
        names = sorted(self._silent)
        if len(names) <= MAX_UNHEARD_NAMED:
            return tuple(names)
        first = self._next_named % len(names)
        self._next_named = first + MAX_UNHEARD_NAMED
        return tuple((names[first:] + names[:first])[:MAX_UNHEARD_NAMED])

    def _log_change(self, customer: str, before: Quota, quota: Quota) -> None:
        log.info(
            event(
                "quota_changed",
                customer=customer,
                rate_per_s=quota.rate_per_s,
                before_per_s=before.rate_per_s,
                burst=quota.burst,
            )
        )

    def _log_excess(
        self, customer: str, bucket: SharedBucket, is_unheard: bool, now_s: float
    ) -> None:
        """Log once that a customer exceeds its quota; further refusals are counted."""
        refusals = self._refusals.get(customer)
        if refusals is None:
            refusals = self._refusals[customer] = _Refusals(now_s)
            log.info(
                event(
                    "quota_exceeded",
                    customer=customer,
                    level=bucket.level(self._heard_s, now_s),
                    own_per_s=bucket.rate_per_s(now_s),
                    limit_per_s=bucket.quota.rate_per_s,
                    unheard=is_unheard or None,
                )
            )
        refusals.count += 1
        refusals.last_s = now_s

    def _log_recovery(self, customer: str, now_s: float) -> None:
        refusals = self._refusals.get(customer)
        if refusals is None or now_s - refusals.last_s < QUIET_S:
            return
        del self._refusals[customer]
        log.info(
            event(
                "quota_restored",
                customer=customer,
                refused=refusals.count,
                for_s=refusals.last_s - refusals.since_s,
            )
        )
