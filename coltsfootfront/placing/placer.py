"""Placement of one request: terms, regions, probes and the policy's choice put together."""

from dataclasses import dataclass, field

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.peers.membership import Membership
from coltsfootfront.placing.breaker import Breaker, Incarnation
from coltsfootfront.placing.prefixaffinity import estimate_s
from coltsfootfront.placing.grantgroup import GrantGroup, GrantGroups
from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.placing.policy import TargetEstimate, PlacementRequest, Policy
from coltsfootfront.placing.probes import Answered, LoadTable, ProbeQuestion, Prober, ProbeTarget

# Rounds of probes within the region before a request is refused or leaves the region.
LOCAL_ROUNDS = 2


@dataclass(frozen=True, slots=True)
class Destination:
    """One target that a request may be sent to.

    :param version: weights version; empty for plain services.
    :param region: region of the target.
    :param is_remote: whether the target is in another region than this router.
    """

    target: str
    address: str
    version: str
    region: str
    is_remote: bool


@dataclass(slots=True)
class PlacementPlan:
    """Places in the order in which they are tried.

    :param reason: why the first one is the first.
    :param answers: replies of the agents that were asked.
    :param refusals: refusals by target name.
    """

    destinations: list[Destination]
    reason: str
    answers: list[Answered] = field(default_factory=list)
    refusals: dict[str, Failure] = field(default_factory=dict)


@dataclass(slots=True)
class _Survey:
    """What one round of probes found."""

    asked: list[str] = field(default_factory=list)
    willing: list[str] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)
    reason: str = ""
    best_s: float | None = None
    wait_s: float = 0.0
    answers: list[Answered] = field(default_factory=list)
    refusals: dict[str, Failure] = field(default_factory=dict)

    @property
    def order(self) -> list[str]:
        """Targets that may be tried, those that answered first."""
        return [*self.willing, *self.silent]

    def extend(self, other: "_Survey") -> None:
        """Add a later round."""
        self.asked += other.asked
        self.willing += other.willing
        self.silent += other.silent
        self.reason = other.reason if other.willing else self.reason or other.reason
        if self.best_s is None:
            self.best_s, self.wait_s = other.best_s, other.wait_s
        self.answers += other.answers
        self.refusals.update(other.refusals)


class Placer:
    """Finds places for requests.

    :param revision: configuration in force.
    :param data_centre: data centre of this router.
    :param policy: placement policy.
    """

    def __init__(
        self,
        revision: ActiveConfiguration,
        data_centre: str,
        policy: Policy,
        prober: Prober,
        table: LoadTable,
        breaker: Breaker,
        membership: Membership,
        link: LinkBudget,
    ) -> None:
        self._revision = revision
        self._groups = GrantGroups(data_centre)
        self._policy = policy
        self._prober = prober
        self._table = table
        self._breaker = breaker
        self._membership = membership
        self._link = link

    async def place(
        self, job: CallerRequest, tried: set[str], version: str | None = None, hold: bool = True
    ) -> Result[PlacementPlan, Failure]:
        """Find places for a request.

        :param tried: targets that are not to be tried again.
        :param version: the only weights version that may go on with an answer, or None.
        :param hold: whether agents shall hold a soft reservation.
        :returns: a plan with at least one place, or the refusal to answer with.
        """
        document = self._revision.document
        near, far = self._groups.get(job, document)
        if not near.grants and not far.grants:
            return Failed(_no_grant(job, document))
        excluded = tried | self._membership.leaving | self._breaker.unavailable()
        local = near.without(excluded, version)
        remote = far.without(excluded, version)
        survey = await self._survey_local(job, document, local, hold)
        order = survey.order
        if remote.grants and self._may_leave(job, document, survey):
            away = await self._survey(job, document, remote, hold)
            order = self._merge(document, survey, away)
        if not order:
            names = [*near.by_target, *far.by_target]
            return Failed(self._refusal(names, survey.refusals))
        places = [self._place(name, local, remote, document) for name in order]
        return Success(PlacementPlan(places, survey.reason, survey.answers, survey.refusals))

    async def _survey_local(
        self, job: CallerRequest, document: Document, group: GrantGroup, hold: bool
    ) -> _Survey:
        total = _Survey()
        for _ in range(LOCAL_ROUNDS):
            rest = group.without(set(total.asked))
            if not rest.grants or total.willing:
                break
            total.extend(await self._survey(job, document, rest, hold))
        return total

    async def _survey(self, job: CallerRequest, document: Document, group: GrantGroup, hold: bool) -> _Survey:
        """Ask the policy's candidates among some targets."""
        request = PlacementRequest(
            job.customer,
            job.model,
            job.adapter,
            job.cache_salt(group.version),
            job.block_keys(group.version, document),
            group.priority,
        )
        names = self._policy.candidates(request, group.grants, self._table.loads)
        if not self._policy.uses_probes:
            choice = self._policy.choose(request, names, [])
            return _Survey(names, list(choice.targets), [], choice.reason)
        replies = await self._probe(job, document, request, group, names, hold)
        survey = _Survey(asked=names, answers=replies)
        candidates = self._sort_replies(survey, replies, names)
        silent = [name for name in names if name not in {reply.target for reply in replies}]
        self._choose(survey, request, names, candidates, silent)
        self._policy.placed(request)
        return survey

    def _sort_replies(
        self, survey: _Survey, replies: list[Answered], names: list[str]
    ) -> list[TargetEstimate]:
        candidates = []
        for reply in replies:
            self._breaker.record_incarnation(reply.target, Incarnation(reply.agent, reply.reply.engine))
            refusal = reply.refusal()
            if refusal is None:
                candidates.append(reply.candidate(reply.target == names[0]))
            else:
                survey.refusals[reply.target] = refusal
        return candidates

    def _choose(
        self,
        survey: _Survey,
        request: PlacementRequest,
        names: list[str],
        candidates: list[TargetEstimate],
        silent: list[str],
    ) -> None:
        choice = self._policy.choose(request, names, candidates)
        willing = {candidate.target for candidate in candidates}
        survey.willing = [name for name in choice.targets if name in willing]
        survey.silent = [name for name in choice.targets if name in silent]
        survey.reason = choice.reason
        for candidate in candidates:
            if survey.willing and candidate.target == survey.willing[0]:
                survey.best_s = estimate_s(request, candidate)
                survey.wait_s = candidate.wait_s

    async def _probe(
        self,
        job: CallerRequest,
        document: Document,
        request: PlacementRequest,
        group: GrantGroup,
        names: list[str],
        hold: bool,
    ) -> list[Answered]:
        question = ProbeQuestion(
            job.customer,
            job.model,
            job.adapter,
            job.service,
            len(request.block_keys),
            request.priority,
            hold,
        )
        depths = tuple(self._policy.depths(request))
        targets = []
        for name in names:
            version = group.by_target[name].version
            keys = job.block_keys(version, document)
            address = document.targets[name].agent_address
            asked = tuple(keys[depth - 1] for depth in depths)
            targets.append(ProbeTarget(name, address, version, depths, asked))
        result = await self._prober.ask(question, targets)
        return result.answers

    def _may_leave(self, job: CallerRequest, document: Document, local: _Survey) -> bool:
        """Whether to ask another region: local targets first, within the link's budget.

        Only a queue here is a reason to ask. A prefix that is not cached here is computed and
        is cached then, and long prompts would otherwise probe other regions each time.
        """
        if local.willing and local.wait_s <= document.policy.cross_region_s:
            return False
        return self._link.allows(len(job.body))

    def _merge(self, document: Document, local: _Survey, away: _Survey) -> list[str]:
        """Order local and remote targets; the plan's reason becomes that of the first."""
        local.answers += away.answers
        local.refusals.update(away.refusals)
        if not local.willing:
            local.reason = away.reason if away.willing else local.reason or away.reason
            return [*away.willing, *local.silent, *away.silent]
        if local.best_s is None or away.best_s is None:
            return local.order
        if away.best_s + document.policy.cross_region_s >= local.best_s:
            return local.order
        local.reason = f"{away.reason}; saves {local.best_s - away.best_s:.3f} s across regions"
        return [*away.willing, *local.order]

    def _place(self, name: str, local: GrantGroup, remote: GrantGroup, document: Document) -> Destination:
        target = document.targets[name]
        region = document.region_of(target.data_centre)
        is_remote = name in remote.by_target
        grant = remote.by_target[name] if is_remote else local.by_target[name]
        return Destination(name, target.agent_address, grant.version, region, is_remote)

    def _refusal(self, names: list[str], refusals: dict[str, Failure]) -> Failure:
        """The refusal with the earliest time to come back."""
        if refusals:
            return earliest_retry(list(refusals.values()))
        waits = [self._breaker.wait_s(name) for name in names]
        wait_s = min((wait for wait in waits if wait > 0), default=None)
        return Failure(
            ErrorKind.NO_TARGET, "no target can take the request now", retry_after_s=wait_s
        )


def earliest_retry(failures: list[Failure]) -> Failure:
    """The failure with the earliest time to come back; one that names no time comes last."""

    def order(failure: Failure) -> tuple[bool, float]:
        return failure.effective_retry_after_s is None, failure.effective_retry_after_s or 0.0

    return min(failures, key=order)


def _no_grant(job: CallerRequest, document: Document) -> Failure:
    """Tell apart an unknown name, a customer without terms and terms without a target."""
    terms = [item for item in document.terms.values() if job.customer in item.customers]
    if job.kind == KIND_SERVICE:
        if job.service not in document.services:
            return Failure(ErrorKind.NOT_FOUND, f"service {job.service} does not exist")
        names = {name for item in terms for name in item.targets}
        targets = [document.targets[name] for name in names if name in document.targets]
        is_covered = any(target.service == job.service for target in targets)
    else:
        if job.model not in document.models:
            return Failure(ErrorKind.NOT_FOUND, f"model {job.model} does not exist")
        is_covered = any(
            job.model in item.models and (not job.adapter or job.adapter in item.adapters)
            for item in terms
        )
    if is_covered:
        return Failure(ErrorKind.NO_TARGET, "no target serves this under the customer's terms now")
    return Failure(ErrorKind.FORBIDDEN, "no terms allow this request")
