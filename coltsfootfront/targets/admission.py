"""Admission to the target: the one place where it is decided whether a request may run here."""

import asyncio
from dataclasses import dataclass, replace

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.servicepath import is_idempotent
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.configuration.document import KIND_ENGINE, KIND_SERVICE, Document, Grant
from coltsfootfront.configuration.activeconfiguration import ActiveRevision, ActiveConfiguration
from coltsfootfront.targets.drain import Drain
from coltsfootfront.targets.engine import EngineState
from coltsfootfront.targets.fairqueue import FairQueue, Share

ROLE_SERVE = "serve"

# A request may spend this share of its remaining time in the queue. The rest is left for
# another target and for the answer itself.
MAX_WAIT_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class Ask:
    """What a request wants of the target.

    :param service: name of the plain service; empty for a model.
    :param version: weights version that the router expects.
    :param method: HTTP method of a call to a plain service.
    :param path: path of a call, below the service.
    :param idempotent: whether the router takes the call for one that may be repeated.
    """

    customer: str
    service: str = ""
    model: str = ""
    adapter: str = ""
    version: str = ""
    method: str = ""
    path: str = ""
    idempotent: bool = False


class AdmissionController:
    """Judges requests by the agent's own document and the engine's own report.

    :param target: name of the target.
    :param revision: configuration in force.
    :param drain: reasons for which the target takes no new work.
    :param queue: queue in front of the target.
    :param clock: time source.
    :param max_queued: requests that may wait.
    """

    def __init__(
        self,
        target: str,
        revision: ActiveConfiguration,
        drain: Drain,
        queue: FairQueue,
        clock: Clock,
        max_queued: int,
    ) -> None:
        self._target = target
        self._revision = revision
        self._drain = drain
        self._queue = queue
        self._clock = clock
        self._max_queued = max_queued
        self._slice = Document.empty()
        self.engine_state: EngineState | None = None
        """The engine's last report; None while it does not answer."""
        self.reachable = False
        """Whether the target answered when it was last asked."""
        self.pause: PauseDetector | None = None
        """Asked before each decision; a pause makes the gate unsettled."""
        self._settled = asyncio.Event()
        self._settled.set()
        self._subscription = revision.changes.subscribe(self._adopt)

    def close(self) -> None:
        """Stop to follow the configuration."""
        self._subscription.dispose()

    @property
    def settled(self) -> bool:
        """False after a pause of the process until the revision was checked again."""
        return self._settled.is_set()

    @settled.setter
    def settled(self, value: bool) -> None:
        if value:
            self._settled.set()
        else:
            self._settled.clear()

    async def wait_settled(self) -> None:
        """Wait until the revision was checked after a pause."""
        await self._settled.wait()

    @property
    def revision_number(self) -> int:
        """Revision by which requests are judged."""
        return self._revision.number

    @property
    def is_draining(self) -> bool:
        """Whether the target takes no new work."""
        return self._drain.source is not None

    @property
    def kind(self) -> str:
        """Kind of the target's service; empty while the document does not name the target."""
        target = self._slice.targets.get(self._target)
        if target is None:
            return ""
        service = self._slice.services.get(target.service)
        return "" if service is None else service.kind

    @property
    def document(self) -> Document:
        """The part of the document that concerns this target."""
        return self._slice

    @property
    def engine_incarnation(self) -> str:
        """Incarnation of the engine, empty while unknown or for a plain service."""
        return "" if self.engine_state is None else self.engine_state.incarnation

    def admit(self, ask: Ask, deadline_unix_s: float) -> Result[Grant, Failure]:
        """Decide whether a request may enter the queue.

        This does not depend on :attr:`settled`: requests wait for that in the queue, and a
        refused probe would make routers turn callers away for the sake of a moment.

        :param deadline_unix_s: wall-clock time after which the request must not start; infinity
            for a probe.
        :returns: the grant, or a failure whose run state is ``not_run``.
        """
        reason = self._drain.failure()
        if reason is not None:
            return Failed(reason)
        judged = self._judge(ask)
        if not isinstance(judged, Success):
            return judged
        grant = judged.unwrap()
        refusal = self._refuse_by_queue(self.share(ask.customer, grant), deadline_unix_s)
        return judged if refusal is None else Failed(refusal)

    def confirm(self, ask: Ask) -> Result[Grant, Failure]:
        """Judge terms, version and state of the target, without limits and queue.

        Asked again immediately before a request is forwarded, since the document or the engine
        may have changed while it waited.
        """
        if self.pause is not None:
            self.pause.check()
        if not self.settled:
            return Failed(
                Failure(ErrorKind.STALE_REVISION, "the revision is checked after a pause")
            )
        return self._judge(ask)

    def _judge(self, ask: Ask) -> Result[Grant, Failure]:
        refusal = self._refuse_by_target() or self._refuse_by_kind(ask)
        if refusal is not None:
            return Failed(refusal)
        grant = self._slice.grant_for(
            ask.customer, self._target, ask.model, ask.adapter, ask.service
        )
        if grant is None or ask.customer not in self._slice.customers:
            return Failed(
                Failure(ErrorKind.FORBIDDEN, "no terms allow this customer on this target")
            )
        if not self.reachable:
            return Failed(Failure(ErrorKind.TARGET_UNREACHABLE, "the target does not answer"))
        refusal = self._refuse_by_version(ask, grant) if ask.model else self._refuse_by_path(ask)
        return Success(grant) if refusal is None else Failed(refusal)

    def share(self, customer: str, grant: Grant) -> Share:
        """Conditions under which a customer's request waits in the queue."""
        entry = self._slice.customers[customer]
        return Share(
            customer,
            grant.terms,
            grant.priority,
            entry.weight,
            entry.max_running,
            self._slice.terms[grant.terms].max_running,
        )

    def wait_limit_s(self, deadline_unix_s: float) -> float:
        """Longest time that a request with this deadline may wait in the queue."""
        return (deadline_unix_s - self._clock.unix_s()) * MAX_WAIT_SHARE

    def _adopt(self, in_force: ActiveRevision) -> None:
        self._slice = slice_for(self._target, in_force.document)
        target = self._slice.targets.get(self._target)
        self._queue.set_slots(0 if target is None else target.slots)

    def _refuse_by_target(self) -> Failure | None:
        if self._revision.number == 0:
            return Failure(ErrorKind.STALE_REVISION, "the configuration is not known yet")
        target = self._slice.targets.get(self._target)
        if target is None or target.withdrawn:
            return Failure(ErrorKind.TARGET_WITHDRAWN, "the target is withdrawn")
        return None

    def _refuse_by_kind(self, ask: Ask) -> Failure | None:
        wanted = KIND_ENGINE if ask.model else KIND_SERVICE
        if self.kind == wanted:
            return None
        # This includes kept caches, which take no requests of customers at all.
        return Failure(ErrorKind.FORBIDDEN, "the target takes no requests of this kind")

    def _refuse_by_version(self, ask: Ask, grant: Grant) -> Failure | None:
        if self.engine_state is None:
            return Failure(ErrorKind.TARGET_UNREACHABLE, "the engine has not reported yet")
        if self.engine_state.role != ROLE_SERVE:
            return Failure(ErrorKind.TARGET_WITHDRAWN, f"the engine's role is {self.engine_state.role}")
        version, adapters = self.engine_state.models.get(ask.model, ("", ()))
        if version != grant.version or (ask.version and ask.version != version):
            return Failure(ErrorKind.WRONG_VERSION, f"the engine runs version {version or 'none'}")
        if ask.adapter and ask.adapter not in adapters:
            return Failure(ErrorKind.WRONG_VERSION, "the engine has not loaded the adapter")
        return None

    def _refuse_by_path(self, ask: Ask) -> Failure | None:
        service = self._slice.services[ask.service]
        if ask.idempotent and not is_idempotent(ask.method, ask.path, service):
            # The router would send the call again after an unknown outcome.
            return Failure(ErrorKind.STALE_REVISION, "the call may not be repeated any more")
        return None

    def _refuse_by_queue(self, share: Share, deadline_unix_s: float) -> Failure | None:
        wait_s = self._queue.estimate_s(share)
        customer = self._slice.customers[share.customer]
        if self._queue.waiting_of(share.customer) >= customer.max_queued:
            return _overloaded("too many requests of this customer wait", wait_s)
        if self._queue.waiting >= self._max_queued:
            return _overloaded("the queue is full", wait_s)
        limit_s = self.wait_limit_s(deadline_unix_s)
        if limit_s <= 0:
            return Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed")
        if wait_s > limit_s:
            return _overloaded("the estimated wait exceeds the deadline", wait_s)
        return None


def slice_for(target_name: str, document: Document) -> Document:
    """Reduce a document to what concerns one target.

    Judging a request on the whole document would walk over every target of the customer's terms.
    """
    target = document.targets.get(target_name)
    if target is None:
        return Document.empty()
    terms = {
        name: replace(entry, targets=[target_name])
        for name, entry in document.terms.items()
        if target_name in entry.targets
    }
    customers = {customer for entry in terms.values() for customer in entry.customers}
    service = document.services.get(target.service)
    return Document(
        {
            "owners": {},
            "regions": {},
            "models": document.models,
            "services": {} if service is None else {target.service: service},
            "customers": {
                name: entry for name, entry in document.customers.items() if name in customers
            },
            "targets": {target_name: target},
            "terms": terms,
            "policy": {},
            "operators": {},
        }
    )


def _overloaded(message: str, wait_s: float) -> Failure:
    retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Failure(ErrorKind.OVERLOADED, message, ExecutionState.NOT_RUN, retry_after_s)
