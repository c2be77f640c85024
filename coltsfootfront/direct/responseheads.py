"""Records the target state that response headers report.

Besides the result of the request, the head of a response reports the target's load, whether it is
draining, asks for a pause or limits its requests, its version of the weights, and whether another
target now answers at its address.
"""

from http import HTTPStatus

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.costs.model import CostModel
from coltsfootfront.direct import gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.limitrecorder import LimitRecorder
from coltsfootfront.direct.targetclient import TargetResponse
from coltsfootfront.direct.versions import WeightVersions

log = logbook.Logger(__name__)


class ResponseHeadRecorder:
    """Records the state that response heads report and shares load and draining with peers."""

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        cache_index: CacheIndex,
        versions: WeightVersions,
        gossip: Gossip,
        limits: LimitRecorder,
        costs: CostModel,
    ) -> None:
        self._clock = clock
        self._costs = costs
        self._directory = directory
        self._cache_index = cache_index
        self._versions = versions
        self._gossip = gossip
        self._limits = limits

    def record(
        self, target: Target, request: CallerRequest, response: TargetResponse, sent_s: float
    ) -> None:
        """Record the head of a response.

        :param target: target that the request was sent to; another one may have answered.
        :param sent_s: monotonic time at which the request was sent.
        """
        now_s = self._clock.monotonic_s()
        target.record_heard(now_s)
        if response.is_other_target:
            self._record_replaced(target)
            log.warning(event("target_replaced", target=target.name, id=request.request_id))
        else:
            self._record_state(target, response, now_s)
            self._limits.record_response(target, response.limit_per_s, sent_s)
            self._record_result(target, response, now_s)
            self._record_version(target, request, response)
        if response.is_other_version:
            self._versions.correct_target_version(request.model, target)

    def _record_state(self, target: Target, response: TargetResponse, now_s: float) -> None:
        if response.load is not None:
            target.record_load(response.load, now_s)
            self._gossip.queue_load(target.name, response.load)
        if response.pace_percent is not None and target.pace.record_sample(
            response.pace_percent, now_s
        ):
            self._gossip.queue_pace(target.name, response.pace_percent)
        if response.is_draining:
            self._record_draining(target)
        if response.retry_after_s is not None:
            target.pause(response.retry_after_s, now_s)
            log.info(event("target_paused", target=target.name, for_s=response.retry_after_s))

    def _record_replaced(self, target: Target) -> None:
        """Record that another target answers at the address of one, which has gone.

        Where capacity is short, peers are told: on a day of crashes each of 23 routers learned it
        by a rejection of its own, which took 1,605 retries from the budget.
        """
        if not target.is_replaced and self._costs.applies((target.pace,)):
            self._gossip.broadcast(gossip.DRAINING, [target.name, target.entry.started_ms])
        target.is_replaced = True

    def _record_draining(self, target: Target) -> None:
        started_ms = target.entry.started_ms
        if self._directory.mark_draining(target.name, started_ms, reported_by="its answer"):
            self._gossip.broadcast(gossip.DRAINING, [target.name, started_ms])

    def _record_version(
        self, target: Target, request: CallerRequest, response: TargetResponse
    ) -> None:
        if response.version is None or not request.model:
            return
        if response.version > target.versions.get(request.model, 0):
            target.versions[request.model] = response.version
            self._cache_index.remove_holder(target.name)

    def _record_result(self, target: Target, response: TargetResponse, now_s: float) -> None:
        if response.is_not_executed:
            if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
                target.record_rejection(now_s)
        elif response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            target.record_failure(now_s, is_unanswered=False)
        else:
            target.record_success(now_s)
