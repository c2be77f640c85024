"""Permits for requests to targets that limit the requests of all routers together.

For each limited target one router, its issuer, permits the requests of all routers, so that their
sum keeps to the limit whatever traffic each has; see :mod:`coltsfootfront.direct.issuers`.

A router that does not answer is suspected: for a while, it issues no permits and the next in order
does. Suspicions are announced to all routers and carried by requests, since two issuers would
permit twice the limit. A suspected router that is alive hears of it from the next issuer and refers
requests to that. A router that has just started does the same, as others may still suspect it.
"""

import asyncio
import math
import random
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.issuers import SUSPICION_S, Issuers
from coltsfootfront.direct.limits import DemandShares, PermitSchedule, TargetLimit
from coltsfootfront.direct.permitmessages import (
    PermitChannel,
    PermitRequest,
    PermitResponse,
    TargetKey,
    Verdict,
)
from coltsfootfront.direct.registration import RouterEntry

log = logbook.Logger(__name__)

# A datagram may be lost, so a request is sent up to MAX_SENDS times. A router in the other region
# answers within 50 ms, unless its processor is busy.
RESEND_INTERVAL_S = 0.06
MAX_SENDS = 5
# Interval at which an issuer tells the routers before it that they are suspected.
NOTICE_INTERVAL_S = 0.2
# Time after its start within which a router refers requests to the next one. Longer than the
# suspicion of peers that noticed its restart.
SETTLE_S = 4.0
# Number of routers that may refer a request to the next one because they have just started. Beyond
# that, all routers have probably started together, and the one asked issues.
MAX_REFERRALS = 2
# Number of routers that are asked for one permit, and how many of them may be silent.
MAX_ISSUERS_ASKED = 4
MAX_SILENT = 2
# Time for which a target is left alone when no issuer answered.
UNANSWERED_BLOCK_S = 0.1
# Routers ask again at slightly different times, so that the nearest one does not always come first.
MAX_RETRY_JITTER_S = 0.1
# A permit that is not used within this time after it became available is not used any more.
PERMIT_VALIDITY_S = 0.5
# Responses kept for requests that are sent again because the response was lost.
MAX_KEPT_RESPONSES = 512
MAX_SCHEDULES = 2048

# Interval at which a router logs its share of each limit that it has asked a permit of.
SHARE_LOG_INTERVAL_S = 5.0


@dataclass(slots=True)
class _Issuance:
    """Permits that this router issues for one target."""

    schedule: PermitSchedule
    shares: DemandShares


class Permits:
    """Gets permits for this router's requests, and issues those of all routers for some targets.

    :param clock: time source.
    :param regions: region of each data centre.
    :param own_address: address of this router.
    :param channel: carries messages to the other routers.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        regions: dict[str, str],
        own_address: str,
        channel: PermitChannel,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._own_address = own_address
        self._channel = channel
        self._generator = generator
        self._started_s = clock.monotonic_s()
        self._is_resigned = False
        self._issuers = Issuers(clock, regions, own_address)
        self._noticed_s: dict[str, float] = {}
        self._issuances: OrderedDict[TargetKey, _Issuance] = OrderedDict()
        self._pending: dict[int, asyncio.Future[PermitResponse]] = {}
        self._responses: OrderedDict[tuple[str, int], PermitResponse] = OrderedDict()

    async def run(self) -> None:
        """Run the loop that logs this router's share of the limits that it has asked permits of."""
        logged: dict[TargetKey, tuple[int, int]] = {}
        while True:
            await self._clock.sleep(SHARE_LOG_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            limited = {
                TargetKey.of(target): target for target in self._directory.all() if target.limit
            }
            logged = {key: counts for key, counts in logged.items() if key in limited}
            for key, target in limited.items():
                limit = target.limit
                if limit is None or logged.get(key, (0, 0)) == (limit.granted, limit.denied):
                    continue
                logged[key] = (limit.granted, limit.denied)
                log.info(
                    event(
                        "target_limit_share",
                        target=target.name,
                        limit_per_s=limit.rate_per_s,
                        for_s=now_s - limit.since_s,
                        by=limit.source,
                        issuer=self._issuers.first(key),
                        share=limit.share,
                        granted=limit.granted,
                        denied=limit.denied,
                    )
                )

    def set_routers(self, routers: Mapping[str, RouterEntry]) -> None:
        """Set the routers that may issue permits, by address."""
        if self._issuers.set_routers(routers):
            self._drop_foreign_issuances()

    def resign(self) -> None:
        """Issue no more permits, as this router is about to stop."""
        self._is_resigned = True
        self._suspect(self._own_address, SUSPICION_S, by="this router")
        self._channel.announce_suspicion(self._own_address, SUSPICION_S)

    async def acquire(self, target: Target, max_wait_s: float = 0.0) -> bool:
        """Get a permit for one request to a target, and wait until it may be used.

        :param max_wait_s: longest time to wait.
        :returns: whether the request may be sent now; if not, the target's limit says until when
            no permit is available.
        """
        limit = target.limit
        if limit is None:
            return True
        response = await self._request_permit(target, limit, max_wait_s)
        if target.limit is not limit:
            return target.limit is None
        limit.share = response.share
        is_granted = response.verdict is Verdict.GRANTED
        metrics.TARGET_LIMIT_SHARE.set({"target": target.name}, response.share)
        metrics.TARGET_PERMITS.inc({"target": target.name, "outcome": response.verdict.value})
        if not is_granted:
            limit.denied += 1
            jitter_s = self._generator.uniform(0.0, MAX_RETRY_JITTER_S)
            limit.blocked_until_s = self._clock.monotonic_s() + response.wait_s + jitter_s
            return False
        limit.granted += 1
        usable_s = self._clock.monotonic_s() + response.wait_s
        if response.wait_s > 0:
            await self._clock.sleep(response.wait_s)
        # After a pause of the process, the permit may belong to a window that has passed.
        return self._clock.monotonic_s() <= usable_s + PERMIT_VALIDITY_S

    def handle_request(self, request: PermitRequest) -> None:
        """Answer a request of another router."""
        key = (request.router, request.number)
        response = self._responses.get(key)
        if response is None:
            response = self._respond(request)
            self._responses[key] = response
            if len(self._responses) > MAX_KEPT_RESPONSES:
                self._responses.popitem(last=False)
        self._channel.send_response(request.router, response)

    def handle_response(self, response: PermitResponse) -> None:
        """Pass a response to the request that waits for it."""
        future = self._pending.get(response.number)
        if future is not None and not future.done():
            future.set_result(response)

    def handle_suspicion(self, router: str, for_s: float) -> None:
        """Suspect a router that did not answer a peer; it may be this one."""
        self._suspect(router, for_s, by="a peer")

    async def _request_permit(
        self, target: Target, limit: TargetLimit, max_wait_s: float
    ) -> PermitResponse:
        key = TargetKey.of(target)
        demand = limit.take_demand()
        skipped: list[str] = []
        silent = 0
        referred_to = ""
        for _ in range(MAX_ISSUERS_ASKED):
            request = PermitRequest(
                number=self._generator.getrandbits(48),
                router=self._own_address,
                target=key,
                rate_per_s=limit.rate_per_s,
                max_wait_s=max_wait_s,
                demand=demand,
                skipped=list(skipped),
                suspected=self._issuers.suspicions(),
            )
            asked = referred_to or self._issuers.first(key, skipped)
            if asked == self._own_address:
                response: PermitResponse | None = self._respond(request)
            else:
                response = await self._ask(asked, request)
            if response is None:
                self._suspect(asked, SUSPICION_S, by="this router")
                self._channel.announce_suspicion(asked, SUSPICION_S)
                skipped.append(asked)
                referred_to = ""
                silent += 1
                if silent >= MAX_SILENT:
                    break
            elif response.verdict is not Verdict.REFERRED:
                return response
            elif response.issuer == asked or response.issuer in skipped:
                skipped.append(asked)
                referred_to = ""
            else:
                referred_to = response.issuer
        return PermitResponse(0, Verdict.DENIED, UNANSWERED_BLOCK_S, limit.share)

    async def _ask(self, router: str, request: PermitRequest) -> PermitResponse | None:
        """Send a request until it is answered; None if it is not."""
        future: asyncio.Future[PermitResponse] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = future
        asked_s = self._clock.monotonic_s()
        try:
            for _ in range(MAX_SENDS):
                self._channel.send_request(router, request)
                await self._wait(future, RESEND_INTERVAL_S)
                if future.done():
                    break
        finally:
            del self._pending[request.number]
        if not future.done():
            return None
        response = future.result()
        # The process may have been paused since the response arrived.
        late_s = self._clock.monotonic_s() - asked_s - MAX_SENDS * RESEND_INTERVAL_S
        if response.verdict is Verdict.GRANTED and late_s > PERMIT_VALIDITY_S:
            return PermitResponse(request.number, Verdict.DENIED, 0.0, response.share)
        return response

    async def _wait(self, future: asyncio.Future[PermitResponse], limit_s: float) -> None:
        timer = asyncio.ensure_future(self._clock.sleep(limit_s))
        try:
            await asyncio.wait((future, timer), return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()

    def _respond(self, request: PermitRequest) -> PermitResponse:
        for router, for_s in request.suspected.items():
            self._suspect(router, for_s, by="a peer")
        issuer = self._issuers.first(request.target, request.skipped)
        if issuer != self._own_address:
            return PermitResponse(request.number, Verdict.REFERRED, issuer=issuer)
        if not self._may_issue(request):
            return PermitResponse(request.number, Verdict.REFERRED, issuer=self._own_address)
        return self._issue(request)

    def _may_issue(self, request: PermitRequest) -> bool:
        """Whether this router may answer a request itself; always if no other is left to ask."""
        passed = {*request.skipped, *self._issuers.suspicions()}
        others = set(self._issuers.order(request.target)) - {*passed, self._own_address}
        if not others:
            return True
        if self._is_resigned or self._issuers.is_suspected(self._own_address):
            return False
        is_settled = self._clock.monotonic_s() - self._started_s >= SETTLE_S
        return is_settled or len(passed) >= MAX_REFERRALS

    def _issue(self, request: PermitRequest) -> PermitResponse:
        now_s = self._clock.monotonic_s()
        key = request.target
        rate_per_s = request.rate_per_s
        target = self._directory.get(key.name)
        if target is not None and target.limit is not None and TargetKey.of(target) == key:
            rate_per_s = min(rate_per_s, target.limit.rate_per_s)
        issuance = self._issuances.get(key)
        if issuance is None:
            issuance = _Issuance(PermitSchedule(rate_per_s, now_s), DemandShares(now_s))
            self._issuances[key] = issuance
            if len(self._issuances) > MAX_SCHEDULES:
                self._issuances.popitem(last=False)
            log.info(event("permits_issued", target=key.name, limit_per_s=rate_per_s))
        self._notify_suspected(key, now_s)
        issuance.schedule.set_rate(rate_per_s, now_s)
        share = issuance.shares.add(request.router, request.demand, now_s)
        is_granted, wait_s = issuance.schedule.reserve(request.max_wait_s, now_s)
        verdict = Verdict.GRANTED if is_granted else Verdict.DENIED
        return PermitResponse(request.number, verdict, wait_s, share)

    def _notify_suspected(self, key: TargetKey, now_s: float) -> None:
        """Tell the suspected routers before this one that they are not the issuer."""
        suspicions = self._issuers.suspicions()
        for router in self._issuers.order(key):
            if router == self._own_address:
                return
            is_due = now_s - self._noticed_s.get(router, -math.inf) >= NOTICE_INTERVAL_S
            if is_due and router in suspicions:
                self._noticed_s[router] = now_s
                self._channel.send_suspicion(router, suspicions[router])

    def _suspect(self, router: str, for_s: float, by: str) -> None:
        if self._issuers.suspect(router, for_s, by):
            self._drop_foreign_issuances()

    def _drop_foreign_issuances(self) -> None:
        """Drop the schedules of targets that have another issuer, with accumulated permits."""
        for key in list(self._issuances):
            if self._issuers.first(key) != self._own_address:
                del self._issuances[key]
