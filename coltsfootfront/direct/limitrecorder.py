"""Records the limits that targets name, with a log line and a metric for each change."""

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.limits import TargetLimit

log = logbook.Logger(__name__)

CHECK_INTERVAL_S = 1.0


class LimitRecorder:
    """Keeps the limit of each target up to date.

    :param clock: time source.
    :param directory: known targets.
    """

    __slots__ = ("_clock", "_directory", "_limited")

    def __init__(self, clock: Clock, directory: Directory) -> None:
        self._clock = clock
        self._directory = directory
        self._limited: dict[str, Target] = {}

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
            self._put(target, rate_per_s, "its answer")
        elif limit is not None and sent_s >= limit.named_s:
            self._end(target, limit, "its answer")

    def end_stale(self) -> None:
        """End the limits of targets that are not in the directory any more."""
        for target in list(self._limited.values()):
            if self._directory.get(target.name) is not target and target.limit is not None:
                self._end(target, target.limit, "the target is gone")

    def _put(self, target: Target, rate_per_s: float, source: str) -> None:
        now_s = self._clock.monotonic_s()
        before = target.limit
        if before is not None and before.rate_per_s == rate_per_s:
            before.named_s = now_s
            return
        since_s = now_s if before is None else before.since_s
        target.limit = TargetLimit(rate_per_s, since_s, now_s, source)
        self._limited[target.name] = target
        metrics.TARGET_LIMIT_PER_S.set({"target": target.name}, rate_per_s)
        log.info(
            event(
                "target_limit_named",
                target=target.name,
                service=target.entry.service,
                limit_per_s=rate_per_s,
                before_per_s=before.rate_per_s if before is not None else None,
                by=source,
            )
        )

    def _end(self, target: Target, limit: TargetLimit, source: str) -> None:
        target.limit = None
        # A restart may have put another target under the same name.
        if self._limited.get(target.name) is target:
            del self._limited[target.name]
            metrics.TARGET_LIMIT_PER_S.values.pop({"target": target.name}, None)
        log.info(
            event(
                "target_limit_ended",
                target=target.name,
                limit_per_s=limit.rate_per_s,
                for_s=self._clock.monotonic_s() - limit.since_s,
                by=source,
            )
        )
