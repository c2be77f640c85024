"""Takes over what the head of an answer says of its target.

Each answer tells more than the request asked for: the load of its target, whether it leaves or
wants a pause, which weights it has, and whether another target stands at its address by now.
"""

from http import HTTPStatus

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct import gossip
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.targetclient import TargetResponse
from coltsfootfront.direct.versions import WeightVersions

log = logbook.Logger(__name__)


class AnswerHeads:
    """Notes what heads of answers say, and tells peers what concerns them."""

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        holders: CacheIndex,
        versions: WeightVersions,
        gossip: Gossip,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._holders = holders
        self._versions = versions
        self._gossip = gossip

    def note(self, target: Target, call: CallerRequest, reply: TargetResponse) -> None:
        """Note the head of an answer.

        :param target: target that the request was sent to; another one may have answered.
        """
        now_s = self._clock.monotonic_s()
        target.last_activity_s = now_s
        if reply.is_other_target:
            target.is_replaced = True
            log.warning(event("target_replaced", target=target.name, id=call.request_id))
        else:
            self._note_state(target, reply, now_s)
            self._note_result(target, reply, now_s)
            self._note_version(target, call, reply)
        if reply.is_other_version:
            self._versions.correct_target_version(call.model, target)

    def _note_state(self, target: Target, reply: TargetResponse, now_s: float) -> None:
        if reply.load is not None:
            target.record_load(reply.load, now_s)
            self._gossip.queue_load(target.name, reply.load)
        if reply.is_draining:
            self._note_leaving(target)
        if reply.retry_after_s is not None:
            target.pause(reply.retry_after_s, now_s)
            log.info(event("target_paused", target=target.name, for_s=reply.retry_after_s))

    def _note_leaving(self, target: Target) -> None:
        started_ms = target.entry.started_ms
        if self._directory.mark_draining(target.name, started_ms, reported_by="its answer"):
            self._gossip.broadcast(gossip.DRAINING, [target.name, started_ms])

    def _note_version(self, target: Target, call: CallerRequest, reply: TargetResponse) -> None:
        if reply.version is None or not call.model:
            return
        if reply.version > target.versions.get(call.model, 0):
            target.versions[call.model] = reply.version
            self._holders.remove_holder(target.name)

    def _note_result(self, target: Target, reply: TargetResponse, now_s: float) -> None:
        if reply.is_not_executed:
            if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
                target.record_rejection(now_s)
        elif reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            target.record_failure(now_s, is_unanswered=False)
        else:
            target.record_success(now_s)
