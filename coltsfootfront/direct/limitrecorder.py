"""Records the limits that targets name and shares them with the other routers."""

import math
from collections.abc import Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.limits import TargetLimit

log = logbook.Logger(__name__)

CHECK_INTERVAL_S = 1.0
# A limit that is still named is announced again after this time, for routers that have started
# since or missed the announcement.
ANNOUNCEMENT_INTERVAL_S = 1.0

Announce = Callable[[Target, float | None], None]


class LimitRecorder:
    """Keeps the limit of each target up to date.

    :param clock: time source.
    :param directory: known targets.
    :param announce: tells the other routers the limit of a target, None when it has ended.
    """

    __slots__ = ("_announce", "_announced_s", "_clock", "_directory", "_limited")

    def __init__(self, clock: Clock, directory: Directory, announce: Announce) -> None:
        self._clock = clock
        self._directory = directory
        self._announce = announce
        self._limited: dict[str, Target] = {}
        self._announced_s: dict[str, float] = {}

    async def run(self) -> None:
        """Run the loop that ends the limits of targets that have gone."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self.end_stale()

    def record_response(self, target: Target, rate_per_s: float | None, sent_s: float) -> None:
        """Record what a response says of its target's limit.

        :param rate_per_s: the limit, None if the response names none.
        :param sent_s: monotonic time at which the request was sent. Responses may overtake each
            other, so one without a limit ends only a limit that was named before the request.
        """
        limit = target.limit
        if rate_per_s is not None:
            is_change = self._put(target, rate_per_s, "its answer")
            now_s = self._clock.monotonic_s()
            announced_s = self._announced_s.get(target.name, -math.inf)
            if is_change or now_s - announced_s >= ANNOUNCEMENT_INTERVAL_S:
                self._announced_s[target.name] = now_s
                self._announce(target, rate_per_s)
        elif limit is not None and sent_s >= limit.named_s:
            self._end(target, limit, "its answer")
            self._announce(target, None)

    def record_peer(self, name: str, started_ms: int, rate_per_s: float | None) -> None:
        """Record what a peer has read of a target's limit.

        :param started_ms: start time of the target that the peer has read it of.
        :param rate_per_s: the limit, None if the target no longer names one.
        """
        target = self._directory.get(name)
        if target is None or target.entry.started_ms != started_ms:
            return
        if rate_per_s is not None:
            self._put(target, rate_per_s, "a peer")
        elif target.limit is not None:
            self._end(target, target.limit, "a peer")

    def end_stale(self) -> None:
        """End the limits of targets that are not in the directory any more."""
        for target in list(self._limited.values()):
            if self._directory.get(target.name) is not target and target.limit is not None:
                self._end(target, target.limit, "the target is gone")

    def _put(self, target: Target, rate_per_s: float, source: str) -> bool:
        """Set a target's limit.

        :returns: whether it is a change.
        """
        now_s = self._clock.monotonic_s()
        limit = target.limit
        if limit is not None and limit.rate_per_s == rate_per_s:
            limit.named_s = now_s
            return False
        log.info(
            event(
                "target_limit_named",
                target=target.name,
                service=target.entry.service,
                limit_per_s=rate_per_s,
                before_per_s=limit.rate_per_s if limit is not None else None,
                by=source,
            )
        )
        metrics.TARGET_LIMIT_PER_S.set({"target": target.name}, rate_per_s)
        if limit is None:
            target.limit = TargetLimit(rate_per_s, now_s, now_s, source)
            self._limited[target.name] = target
        else:
            limit.change_rate(rate_per_s, now_s, source)
        return True

    def _end(self, target: Target, limit: TargetLimit, source: str) -> None:
        target.limit = None
        # A restart may have put another target under the same name.
        if self._limited.get(target.name) is target:
            del self._limited[target.name]
            self._announced_s.pop(target.name, None)
            metrics.TARGET_LIMIT_PER_S.values.pop({"target": target.name}, None)
            metrics.TARGET_LIMIT_SHARE.values.pop({"target": target.name}, None)
        log.info(
            event(
                "target_limit_ended",
                target=target.name,
                limit_per_s=limit.rate_per_s,
                for_s=self._clock.monotonic_s() - limit.since_s,
                share=limit.share,
                granted=limit.granted,
                denied=limit.denied,
                by=source,
            )
        )
        # Requests may be waiting for a target.
        self._directory.notify()
