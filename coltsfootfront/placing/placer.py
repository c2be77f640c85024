"""Placement of a request, from the terms, regions, probe answers and the placement policy."""

from dataclasses import dataclass, field

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.revision import ActiveConfiguration
from coltsfootfront.peers.membership import Membership
from coltsfootfront.placing.breaker import Breaker, Incarnation
from coltsfootfront.placing.depthpolicy import estimate_ttft_s
from coltsfootfront.placing.grantgroup import GrantCache, GrantGroup
from coltsfootfront.placing.link import LinkBudget
from coltsfootfront.placing.placement import PlacementRequest, Policy, TargetEstimate
from coltsfootfront.placing.probes import LoadTable, ProbeAnswer, ProbeQuery, Prober, ProbeTarget

# Rounds of probes within the region before a request is refused or sent to another region.
MAX_LOCAL_ROUNDS = 2


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
    """Destinations in the order in which they are tried.

    :param reason: why the policy prefers the first one.
    :param answers: answers of the probed agents.
    :param refusals: refusals by target name.
    """

    destinations: list[Destination]
    reason: str
    answers: list[ProbeAnswer] = field(default_factory=list)
    refusals: dict[str, Failure] = field(default_factory=dict)


@dataclass(slots=True)
class _ProbeRound:
    """Result of one or more rounds of probes."""

    probed: list[str] = field(default_factory=list)
    accepting: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    reason: str = ""
    best_ttft_s: float | None = None
    wait_s: float = 0.0
    answers: list[ProbeAnswer] = field(default_factory=list)
    refusals: dict[str, Failure] = field(default_factory=dict)

    @property
    def order(self) -> list[str]:
        """Targets to try: those that accept the request, then those that did not answer."""
        return [*self.accepting, *self.unanswered]

    def extend(self, other: "_ProbeRound") -> None:
        """Merge the result of a later round."""
        self.probed += other.probed
        self.accepting += other.accepting
        self.unanswered += other.unanswered
        self.reason = other.reason if other.accepting else self.reason or other.reason
        if self.best_ttft_s is None:
            self.best_ttft_s, self.wait_s = other.best_ttft_s, other.wait_s
        self.answers += other.answers
        self.refusals.update(other.refusals)


class Placer:
    """Finds targets for requests.

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
        self._groups = GrantCache(data_centre)
        self._policy = policy
        self._prober = prober
        self._table = table
        self._breaker = breaker
        self._membership = membership
        self._link = link

    async def place(
        self, job: CallerRequest, tried: set[str], version: str | None = None, hold: bool = True
    ) -> Result[PlacementPlan, Failure]:
        """Find targets for a request.

        :param tried: targets to exclude because the request was already sent there.
        :param version: weights version that must continue a partial answer, or None for any.
        :param hold: whether agents hold a soft reservation for the request.
        :returns: a plan with at least one destination, or the refusal for the caller.
        """
        document = self._revision.document
        local_group, remote_group = self._groups.get(job, document)
        if not local_group.grants and not remote_group.grants:
            return Failed(_no_grant_failure(job, document))
        excluded = tried | self._membership.leaving | self._breaker.unavailable()
        local = local_group.excluding(excluded, version)
        remote = remote_group.excluding(excluded, version)
        local_round = await self._probe_local(job, document, local, hold)
        order = local_round.order
        if remote.grants and self._may_use_other_regions(job, document, local_round):
            remote_round = await self._probe_group(job, document, remote, hold)
            order = self._merge(document, local_round, remote_round)
        if not order:
            names = [*local_group.by_target, *remote_group.by_target]
            return Failed(self._refusal(names, local_round.refusals))
        destinations = [self._destination(name, local, remote, document) for name in order]
        return Success(
            PlacementPlan(
                destinations, local_round.reason, local_round.answers, local_round.refusals
            )
        )

    async def _probe_local(
        self, job: CallerRequest, document: Document, group: GrantGroup, hold: bool
    ) -> _ProbeRound:
        total = _ProbeRound()
        for _ in range(MAX_LOCAL_ROUNDS):
            remaining = group.excluding(set(total.probed))
            if not remaining.grants or total.accepting:
                break
            total.extend(await self._probe_group(job, document, remaining, hold))
        return total

    async def _probe_group(
        self, job: CallerRequest, document: Document, group: GrantGroup, hold: bool
    ) -> _ProbeRound:
        """Probe the policy's candidates among the targets of a group."""
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
            return _ProbeRound(names, list(choice.targets), [], choice.reason)
        replies = await self._send_probes(job, document, request, group, names, hold)
        probe_round = _ProbeRound(probed=names, answers=replies)
        candidates = self._sort_replies(probe_round, replies, names)
        unanswered = [name for name in names if name not in {reply.target for reply in replies}]
        self._choose(probe_round, request, names, candidates, unanswered)
        self._policy.record_placement(request)
        return probe_round

    def _sort_replies(
        self, probe_round: _ProbeRound, replies: list[ProbeAnswer], names: list[str]
    ) -> list[TargetEstimate]:
        candidates = []
        for reply in replies:
            self._breaker.record_incarnation(
                reply.target, Incarnation(reply.agent, reply.reply.engine)
            )
            refusal = reply.refusal()
            if refusal is None:
                candidates.append(reply.candidate(reply.target == names[0]))
            else:
                probe_round.refusals[reply.target] = refusal
        return candidates

    def _choose(
        self,
        probe_round: _ProbeRound,
        request: PlacementRequest,
        names: list[str],
        candidates: list[TargetEstimate],
        unanswered: list[str],
    ) -> None:
        choice = self._policy.choose(request, names, candidates)
        accepting = {candidate.target for candidate in candidates}
        probe_round.accepting = [name for name in choice.targets if name in accepting]
        probe_round.unanswered = [name for name in choice.targets if name in unanswered]
        probe_round.reason = choice.reason
        for candidate in candidates:
            if probe_round.accepting and candidate.target == probe_round.accepting[0]:
                probe_round.best_ttft_s = estimate_ttft_s(request, candidate)
                probe_round.wait_s = candidate.wait_s

    async def _send_probes(
        self,
        job: CallerRequest,
        document: Document,
        request: PlacementRequest,
        group: GrantGroup,
        names: list[str],
        hold: bool,
    ) -> list[ProbeAnswer]:
        query = ProbeQuery(
            job.customer,
            job.model,
            job.adapter,
            job.service,
            len(request.keys),
            request.priority,
            hold,
        )
        depths = tuple(self._policy.depths(request))
        targets = []
        for name in names:
            version = group.by_target[name].version
            keys = job.block_keys(version, document)
            address = document.targets[name].agent_address
            depth_keys = tuple(keys[depth - 1] for depth in depths)
            targets.append(ProbeTarget(name, address, version, depths, depth_keys))
        result = await self._prober.probe(query, targets)
        return result.answers

    def _may_use_other_regions(self, job: CallerRequest, document: Document, local: _ProbeRound) -> bool:
        """Whether to probe other regions: only if local targets are busy and the budget allows.

        Only a local queue justifies it. An uncached prefix is computed locally and cached from
        then on; if it counted too, long prompts would probe other regions each time.
        """
        if local.accepting and local.wait_s <= document.policy.cross_region_s:
            return False
        return self._link.allows(len(job.body))

    def _merge(
        self, document: Document, local: _ProbeRound, remote_round: _ProbeRound
    ) -> list[str]:
        """Order local and remote targets; the reason becomes that of the first target."""
        local.answers += remote_round.answers
        local.refusals.update(remote_round.refusals)
        if not local.accepting:
            local.reason = (
                remote_round.reason
                if remote_round.accepting
                else local.reason or remote_round.reason
            )
            return [*remote_round.accepting, *local.unanswered, *remote_round.unanswered]
        if local.best_ttft_s is None or remote_round.best_ttft_s is None:
            return local.order
        if remote_round.best_ttft_s + document.policy.cross_region_s >= local.best_ttft_s:
            return local.order
        local.reason = (
            f"{remote_round.reason}; "
            f"saves {local.best_ttft_s - remote_round.best_ttft_s:.3f} s across regions"
        )
        return [*remote_round.accepting, *local.order]

    def _destination(
        self, name: str, local: GrantGroup, remote: GrantGroup, document: Document
    ) -> Destination:
        target = document.targets[name]
        region = document.region_of(target.data_centre)
        is_remote = name in remote.by_target
        grant = remote.by_target[name] if is_remote else local.by_target[name]
        return Destination(name, target.agent_address, grant.version, region, is_remote)

    def _refusal(self, names: list[str], refusals: dict[str, Failure]) -> Failure:
        """The refusal with the earliest retry time."""
        if refusals:
            return earliest_retry(list(refusals.values()))
        waits = [self._breaker.wait_s(name) for name in names]
        wait_s = min((wait for wait in waits if wait > 0), default=None)
        return Failure(
            ErrorKind.NO_TARGET, "no target can take the request now", retry_after_s=wait_s
        )


def earliest_retry(failures: list[Failure]) -> Failure:
    """The failure with the earliest retry time; those without a retry time come last."""

    def order(failure: Failure) -> tuple[bool, float]:
        return failure.effective_retry_after_s is None, failure.effective_retry_after_s or 0.0

    return min(failures, key=order)


def _no_grant_failure(job: CallerRequest, document: Document) -> Failure:
    """Distinguish an unknown name, a customer without matching terms and terms without a target."""
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
