"""Decides whether requests are within the quotas of their customers.

Load it answers: customers that send several times their quota, which take the room of the others
when they are served, and a fleet whose routers start, stop, pause, and cannot always hear each
other while they do. A decision needs no network; see :mod:`coltsfootfront.quotas.sharedbucket`.

A router that is not heard admits no more than its peers take it to admit: the rate that it last
reported, or a part of an equal share. It learns that it is not heard from the reports of those who
miss its own, and takes itself for cut off while it hears fewer than half of its peers.
"""

import math
import random
from collections.abc import Mapping

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.quotas.quota import Quota
from coltsfootfront.quotas.quotalog import QuotaLog
from coltsfootfront.quotas.reachability import Reachability
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
# Usage is reported for this long after the last request of a customer.
RECENT_S = 8.0
# Customers in one message, about 40 bytes each.
CUSTOMERS_PER_REPORT = 18
# Messages at a time. Running totals can wait, and each message goes to all routers.
MAX_REPORTS = 2
# Share of a burst below which a level is reported to routers that do not hear who has used it.
LOW_LEVEL_SHARE = 0.25
# A router that was restricted for this long does not know the levels any more. Shorter times follow
# a start or a pause, after which the levels are learned in any case.
RELEARN_AFTER_S = 1.2
# Longest wait for the peers after a start or a pause. They report at least every 0.3 s.
RESUME_WAIT_S = 0.4
RESUME_POLL_INTERVAL_S = 0.02
# Interval at which a router checks whether it is heard.
CHECK_INTERVAL_S = 0.02
# A process that has done nothing for this long was paused. The loop that sends reports runs at
# least every 0.1 s.
PAUSED_AFTER_S = 1.0
MAX_INCARNATION = 2**53 - 1


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
        self._tolerance = Tolerance()
        self._reachability = Reachability(address, self._started_s)
        self._log = QuotaLog()
        self._last_use_s = -math.inf
        self._reported_s = self._refreshed_s = self._low_s = self._started_s
        self._was_cut_off = self._is_restricted = False
        self._checked_s = self._restricted_s = -math.inf

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Apply the quotas of a configuration, by customer."""
        now_s = self._check_pause()
        for customer in self._buckets.keys() - quotas.keys():
            del self._buckets[customer]
            self._used_s.pop(customer, None)
            self._log.forget(customer)
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
                self._log.record_change(customer, bucket.quota, quota)
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
        bucket.set_silent(self._reachability.silent, self._router_count, now_s)
        self._buckets[customer] = bucket

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Set the use beyond each quota that is tolerated."""
        now_s = self._clock.monotonic_s()
        self._tolerance = tolerance
        for bucket in self._buckets.values():
            bucket.set_tolerance(tolerance, now_s)

    def set_routers(self, addresses: set[str]) -> None:
        """Set the routers that share the quotas, this one included."""
        peers = addresses - {self._address}
        now_s = self._clock.monotonic_s()
        if not self._reachability.set_peers(peers, now_s):
            return
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
        is_cut_off = self._is_cut_off(now_s)
        if is_cut_off:
            is_admitted = bucket.try_admit_cut_off(units, self._router_count, now_s)
        else:
            is_admitted = bucket.try_admit(units, self._reachability.heard_s, now_s)
        if is_admitted:
            self._record_use(customer, now_s)
            metrics.QUOTA_REQUESTS.inc({"outcome": "admitted"})
            self._log.record_admission(customer, now_s)
            return None
        metrics.QUOTA_REQUESTS.inc({"outcome": "refused_cut_off" if is_cut_off else "refused"})
        self._log.record_refusal(
            customer,
            now_s,
            level=bucket.level(self._reachability.heard_s, now_s),
            own_per_s=bucket.rate_per_s(now_s),
            limit_per_s=bucket.quota.rate_per_s,
            cut_off=is_cut_off or None,
        )
        return bucket.room_after_s(units, self._reachability.heard_s, now_s)

    async def wait_for_peers(self, customer: str) -> None:
        """Wait for the peers after a start or a pause of this process, for a moment at most.

        Callers have waited for the whole pause, and come all at once. Within what this router
        may use while it is cut off, some of them would be refused whose customers are below their
        quotas.

        :param customer: whose request waits; without a quota it need not.
        """
        if customer not in self._buckets:
            return
        now_s = self._check_pause()
        while now_s < self._resumed_s + RESUME_WAIT_S and self._is_cut_off(now_s):
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
        is_cut_off = self._is_cut_off(now_s)
        has_room = (
            bucket.has_room_cut_off(now_s)
            if is_cut_off
            else bucket.has_room(self._reachability.heard_s, now_s)
        )
        return {
            "is_used_up": not has_room,
            "rate_per_s": bucket.quota.rate_per_s,
            "burst": bucket.quota.burst,
            "available": bucket.level(self._reachability.heard_s, now_s),
            "own_rate_per_s": bucket.rate_per_s(now_s),
            "is_cut_off": is_cut_off,
        }

    def take_reports(self) -> list[list[object]]:
        """Take the messages that are due for the peers, as their fields."""
        now_s = self._check_pause()
        if not self._buckets or not self._reachability.peer_count:
            return []
        self._update_silent(now_s)
        # Also without requests, so that it is known how long a restriction lasts.
        self._is_cut_off(now_s)
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
        missing = self._reachability.name_missing()
        uptime_s = now_s - self._started_s
        reports: list[list[object]] = []
        for start in range(0, max(1, len(customers)), CUSTOMERS_PER_REPORT):
            usages = tuple(
                self._usage(customer, now_s)
                for customer in customers[start : start + CUSTOMERS_PER_REPORT]
            )
            report = UsageReport(self._address, self._incarnation, uptime_s, missing, usages)
            reports.append(report.to_fields())
        return reports

    def handle_report(self, report: UsageReport) -> None:
        """Apply the report of a peer."""
        now_s = self._check_pause()
        was_silent = report.router in self._reachability.silent
        received = self._reachability.receive(report, now_s)
        if received is None:
            return
        if was_silent:
            self._update_silent(now_s)
        sent_s, is_familiar = received
        for usage in report.usages:
            bucket = self._buckets.get(usage.customer)
            if bucket is None:
                continue
            bucket.apply_report(report, usage, sent_s, is_familiar, now_s)

    def _check_pause(self) -> float:
        """Return the monotonic time; after a pause, begin to listen to the peers anew."""
        now_s = self._clock.monotonic_s()
        if now_s - self._active_s > PAUSED_AFTER_S and self._reachability.peer_count:
            self._reachability.resume(now_s)
            self._checked_s = -math.inf
            self._resumed_s = now_s
            for bucket in self._buckets.values():
                bucket.resume(now_s)
        self._active_s = now_s
        return now_s

    @property
    def _router_count(self) -> int:
        return self._reachability.peer_count + 1

    def _update_silent(self, now_s: float) -> None:
        """Find out which peers are silent, and let the buckets count their assumed use."""
        if self._reachability.update_silent(now_s):
            for bucket in self._buckets.values():
                bucket.set_silent(self._reachability.silent, self._router_count, now_s)

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
            level = bucket.level(self._reachability.heard_s, now_s, REPORTED_LEVEL_AGE_S)
            metrics.QUOTA_LEVEL.set({"customer": customer}, level)
            if now_s - self._used_s.get(customer, -math.inf) <= RECENT_S:
                self._changed[customer] = None
        is_cut_off = self._is_cut_off(now_s)
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            name = "quotas_cut_off" if is_cut_off else "quotas_reconnected"
            heard = len(self._reachability.heard_s)
            log.info(event(name, peers=self._reachability.peer_count, heard=heard))

    def _add_low_levels(self, now_s: float) -> None:
        """Report low levels, whoever has used them, while some routers do not hear each other."""
        if now_s - self._low_s < KEEPALIVE_INTERVAL_S:
            return
        if not self._reachability.is_any_missed(now_s):
            return
        self._low_s = now_s
        for customer, bucket in self._buckets.items():
            level = bucket.level(self._reachability.heard_s, now_s, REPORTED_LEVEL_AGE_S)
            if level < LOW_LEVEL_SHARE * bucket.quota.burst:
                self._changed[customer] = None

    def _usage(self, customer: str, now_s: float) -> CustomerUsage:
        bucket = self._buckets[customer]
        return CustomerUsage(
            customer,
            bucket.own_total,
            bucket.rate_per_s(now_s),
            None if self._is_restricted else bucket.known_level(self._reachability.heard_s, now_s),
            bucket.started_s - self._started_s,
        )

    def _is_cut_off(self, now_s: float) -> bool:
        """Whether this router has to keep to what its peers take it to admit."""
        if not 0 <= now_s - self._checked_s <= CHECK_INTERVAL_S:
            self._checked_s = now_s
            self._set_restricted(self._reachability.is_cut_off(now_s), now_s)
        return self._is_restricted

    def _set_restricted(self, is_restricted: bool, now_s: float) -> None:
        if is_restricted == self._is_restricted:
            return
        self._is_restricted = is_restricted
        if is_restricted:
            self._restricted_s = now_s
        elif now_s - self._restricted_s > RELEARN_AFTER_S:
            still_silent = dict.fromkeys(self._reachability.silent, now_s)
            for bucket in self._buckets.values():
                bucket.resume(now_s)
                bucket.set_silent(still_silent, self._router_count, now_s)
