"""Admission control: the only place that decides whether a request may run on the target."""

import asyncio
from dataclasses import dataclass, replace

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.servicepath import is_idempotent
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration, ActiveRevision
from coltsfootfront.configuration.document import KIND_ENGINE, KIND_SERVICE, Document, Grant
from coltsfootfront.targets.drain import DrainState
from coltsfootfront.targets.engine import EngineState
from coltsfootfront.targets.fairqueue import FairQueue, SchedulingParams

ROLE_SERVE = "serve"

# Largest fraction of the time until its deadline that a request may wait in the queue. The rest
# is left for an attempt at another target and for the response.
MAX_QUEUE_TIME_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Properties of a request on which admission depends.

    :param service: name of the plain service; empty for a model.
    :param version: weights version that the router expects; empty for any.
    :param method: HTTP method of a call to a plain service.
    :param path: path of a call, relative to the service.
    :param idempotent: whether the router regards the call as repeatable.
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
    """Admits requests by the agent's configuration revision and the engine's reported state.

    :param target: name of the target.
    :param configuration: configuration in force.
    :param drain: state of the target's drain.
    :param queue: queue in front of the target.
    :param clock: time source.
    :param max_queued: largest number of waiting requests.
    """

    def __init__(
        self,
        target: str,
        configuration: ActiveConfiguration,
        drain: DrainState,
        queue: FairQueue,
        clock: Clock,
        max_queued: int,
    ) -> None:
        self._target = target
        self._configuration = configuration
        self._drain = drain
        self._queue = queue
        self._clock = clock
        self._max_queued = max_queued
        self._target_document = Document.empty()
        self.engine_state: EngineState | None = None
        """The engine's last report, or None while it is unreachable."""
        self.reachable = False
        """Whether the target responds to reads of its state."""
        self.pause_detector: PauseDetector | None = None
        """Checked immediately before a request is forwarded."""
        self._revision_checked = asyncio.Event()
        self._revision_checked.set()
        self._subscription = configuration.changes.subscribe(self._on_revision)

    def close(self) -> None:
        """Unsubscribe from changes of the configuration."""
        self._subscription.dispose()

    @property
    def revision_checked(self) -> bool:
        """False from a pause of the process until the revision has been checked with peers."""
        return self._revision_checked.is_set()

    @revision_checked.setter
    def revision_checked(self, value: bool) -> None:
        if value:
            self._revision_checked.set()
        else:
            self._revision_checked.clear()

    async def wait_revision_checked(self) -> None:
        """Wait until the revision has been checked after a pause."""
        await self._revision_checked.wait()

    @property
    def revision_number(self) -> int:
        """Revision of the document that decides on admission."""
        return self._configuration.number

    @property
    def is_draining(self) -> bool:
        """Whether the target accepts no new requests."""
        return self._drain.source is not None

    @property
    def kind(self) -> str:
        """Kind of the target's service; empty while the document does not name the target."""
        target = self._target_document.targets.get(self._target)
        if target is None:
            return ""
        service = self._target_document.services.get(target.service)
        return "" if service is None else service.kind

    @property
    def document(self) -> Document:
        """The document, reduced to the entries that concern this target."""
        return self._target_document

    @property
    def engine_incarnation(self) -> str:
        """Incarnation of the engine; empty while unknown and for a plain service."""
        return "" if self.engine_state is None else self.engine_state.incarnation

    def admit(self, request: AdmissionRequest, deadline_unix_s: float) -> Result[Grant, Failure]:
        """Decide whether a request may enter the queue.

        This does not depend on :attr:`revision_checked`: the check is short and admitted requests
        wait for it, whereas a refused probe would make routers refuse callers.

        :param deadline_unix_s: wall-clock time after which the request must not start; infinity
            for a probe.
        :returns: the grant under the customer's terms, or a failure with the execution state
            ``not_run``.
        """
        drain_failure = self._drain.failure()
        if drain_failure is not None:
            return Failed(drain_failure)
        decision = self._check(request)
        if not isinstance(decision, Success):
            return decision
        grant = decision.unwrap()
        refusal = self._check_queue(
            self.scheduling_params(request.customer, grant), deadline_unix_s
        )
        return decision if refusal is None else Failed(refusal)

    def recheck(self, request: AdmissionRequest) -> Result[Grant, Failure]:
        """Check terms, version and state of the target, but neither queue nor deadline.

        Called immediately before a request is forwarded, since the document or the engine may
        have changed while it waited.
        """
        if self.pause_detector is not None:
            self.pause_detector.check()
        if not self.revision_checked:
            return Failed(
                Failure(ErrorKind.STALE_REVISION, "the revision is checked after a pause")
            )
        return self._check(request)

    def _check(self, request: AdmissionRequest) -> Result[Grant, Failure]:
        refusal = self._check_target() or self._check_kind(request)
        if refusal is not None:
            return Failed(refusal)
        grant = self._target_document.grant_for(
            request.customer, self._target, request.model, request.adapter, request.service
        )
        if grant is None or request.customer not in self._target_document.customers:
            return Failed(
                Failure(ErrorKind.FORBIDDEN, "no terms allow this customer on this target")
            )
        if not self.reachable:
            return Failed(Failure(ErrorKind.TARGET_UNREACHABLE, "the target does not answer"))
        refusal = (
            self._check_version(request, grant) if request.model else self._check_path(request)
        )
        return Success(grant) if refusal is None else Failed(refusal)

    def scheduling_params(self, customer: str, grant: Grant) -> SchedulingParams:
        """Priority, weight and limits of a customer's request in the queue."""
        entry = self._target_document.customers[customer]
        return SchedulingParams(
            customer,
            grant.terms,
            grant.priority,
            entry.weight,
            entry.max_running,
            self._target_document.terms[grant.terms].max_running,
        )

    def wait_limit_s(self, deadline_unix_s: float) -> float:
        """Longest time for which a request with this deadline may wait in the queue."""
        return (deadline_unix_s - self._clock.unix_s()) * MAX_QUEUE_TIME_FRACTION

    def _on_revision(self, active_revision: ActiveRevision) -> None:
        self._target_document = document_for_target(self._target, active_revision.document)
        target = self._target_document.targets.get(self._target)
        self._queue.set_slots(0 if target is None else target.slots)

    def _check_target(self) -> Failure | None:
        if self._configuration.number == 0:
            return Failure(ErrorKind.STALE_REVISION, "the configuration is not known yet")
        target = self._target_document.targets.get(self._target)
        if target is None or target.withdrawn:
            return Failure(ErrorKind.TARGET_WITHDRAWN, "the target is withdrawn")
        return None

    def _check_kind(self, request: AdmissionRequest) -> Failure | None:
        required_kind = KIND_ENGINE if request.model else KIND_SERVICE
        if self.kind == required_kind:
            return None
        # Kept caches are refused here too, as they serve no requests of customers.
        return Failure(ErrorKind.FORBIDDEN, "the target takes no requests of this kind")

    def _check_version(self, request: AdmissionRequest, grant: Grant) -> Failure | None:
        if self.engine_state is None:
            return Failure(ErrorKind.TARGET_UNREACHABLE, "the engine has not reported yet")
        if self.engine_state.role != ROLE_SERVE:
            return Failure(
                ErrorKind.TARGET_WITHDRAWN, f"the engine's role is {self.engine_state.role}"
            )
        version, adapters = self.engine_state.models.get(request.model, ("", ()))
        if version != grant.version or (request.version and request.version != version):
            return Failure(ErrorKind.WRONG_VERSION, f"the engine runs version {version or 'none'}")
        if request.adapter and request.adapter not in adapters:
            return Failure(ErrorKind.WRONG_VERSION, "the engine has not loaded the adapter")
        return None

    def _check_path(self, request: AdmissionRequest) -> Failure | None:
        service = self._target_document.services[request.service]
        if request.idempotent and not is_idempotent(request.method, request.path, service):
            # The router would repeat the call after an unknown outcome.
            return Failure(ErrorKind.STALE_REVISION, "the call may not be repeated any more")
        return None

    def _check_queue(self, params: SchedulingParams, deadline_unix_s: float) -> Failure | None:
        wait_s = self._queue.estimate_wait_s(params)
        customer = self._target_document.customers[params.customer]
        if self._queue.count_waiting(params.customer) >= customer.max_queued:
            return _overloaded("too many requests of this customer wait", wait_s)
        if self._queue.waiting >= self._max_queued:
            return _overloaded("the queue is full", wait_s)
        limit_s = self.wait_limit_s(deadline_unix_s)
        if limit_s <= 0:
            return Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed")
        if wait_s > limit_s:
            return _overloaded("the estimated wait exceeds the deadline", wait_s)
        return None


def document_for_target(target_name: str, document: Document) -> Document:
    """Reduce a document to the entries that concern one target.

    With the whole document, each admission would iterate over all targets of the customer's terms.
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
