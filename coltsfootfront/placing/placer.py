"""Placement of a request, from the terms, regions, probe answers and the placement policy."""

from dataclasses import dataclass, field

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.calls.callerrequest import KIND_SERVICE, CallerRequest
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.document import Document
from coltsfootfront.peers.membership import Membership
from coltsfootfront.placing.breaker import Breaker, Incarnation
from coltsfootfront.placing.grantgroup import GrantCache, GrantGroup
from coltsfootfront.placing.linkbudget import LinkBudget
from coltsfootfront.placing.policy import PlacementRequest, Policy, TargetEstimate
from coltsfootfront.placing.prefixaffinity import estimate_ttft_s
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
    """Result of one or more rounds of probes.

    :param probed: candidates of all rounds, also when the policy does not use probes.
    :param accepting: targets that accept the request, in the policy's order; if the policy does not
        use probes, the targets that it chose.
    :param unanswered: targets to try after those, as their agents did not answer.
    """

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

    :param configuration: active configuration.
    :param data_centre: data centre of this router.
    :param policy: placement policy.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        data_centre: str,
        policy: Policy,
        prober: Prober,
        load_table: LoadTable,
        breaker: Breaker,
        membership: Membership,
        link_budget: LinkBudget,
    ) -> None:
        self._configuration = configuration
        self._groups = GrantCache(data_centre)
        self._policy = policy
        self._prober = prober
        self._load_table = load_table
        self._breaker = breaker
        self._membership = membership
        self._link_budget = link_budget

    async def place(
        self,
        caller_request: CallerRequest,
        tried_targets: set[str],
        version: str | None = None,
        hold: bool = True,
    ) -> Result[PlacementPlan, Failure]:
        """Find targets for a request.

        :param tried_targets: targets to exclude because the request was already sent there.
        :param version: weights version that produced the text delivered so far, or None for any.
        :param hold: whether agents hold a soft reservation for the request.
        :returns: a plan with at least one destination, or the refusal for the caller.
        """
        document = self._configuration.document
        local_group, remote_group = self._groups.get(caller_request, document)
        if not local_group.grants and not remote_group.grants:
            return Failed(_no_grant_failure(caller_request, document))
        excluded = tried_targets | self._membership.leaving | self._breaker.unavailable()
        local = local_group.excluding(excluded, version)
        remote = remote_group.excluding(excluded, version)
        local_round = await self._probe_local(caller_request, document, local, hold)
        order = local_round.order
        if remote.grants and self._may_use_other_regions(caller_request, document, local_round):
            remote_round = await self._probe_group(caller_request, document, remote, hold)
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
        self, caller_request: CallerRequest, document: Document, group: GrantGroup, hold: bool
    ) -> _ProbeRound:
        merged_round = _ProbeRound()
        for _ in range(MAX_LOCAL_ROUNDS):
            remaining = group.excluding(set(merged_round.probed))
            if not remaining.grants or merged_round.accepting:
                break
            merged_round.extend(await self._probe_group(caller_request, document, remaining, hold))
        return merged_round

    async def _probe_group(
        self, caller_request: CallerRequest, document: Document, group: GrantGroup, hold: bool
    ) -> _ProbeRound:
        """Probe the policy's candidates among the targets of a group."""
        request = PlacementRequest(
            caller_request.customer,
            caller_request.model,
            caller_request.adapter,
            caller_request.cache_salt(group.version),
            caller_request.block_keys(group.version, document),
            group.priority,
        )
        names = self._policy.candidates(request, group.grants, self._load_table.loads)
        if not self._policy.uses_probes:
            decision = self._policy.choose(request, names, [])
            return _ProbeRound(names, list(decision.targets), [], decision.reason)
        probe_answers = await self._send_probes(
            caller_request, document, request, group, names, hold
        )
        probe_round = _ProbeRound(probed=names, answers=probe_answers)
        estimates = self._collect_estimates(probe_round, probe_answers, names)
        unanswered = [
            name
            for name in names
            if name not in {probe_answer.target for probe_answer in probe_answers}
        ]
        self._apply_decision(probe_round, request, names, estimates, unanswered)
        self._policy.record_placement(request)
        return probe_round

    def _collect_estimates(
        self, probe_round: _ProbeRound, probe_answers: list[ProbeAnswer], names: list[str]
    ) -> list[TargetEstimate]:
        estimates = []
        for probe_answer in probe_answers:
            self._breaker.record_incarnation(
                probe_answer.target, Incarnation(probe_answer.agent, probe_answer.reply.engine)
            )
            refusal = probe_answer.refusal()
            if refusal is None:
                estimates.append(probe_answer.to_estimate(probe_answer.target == names[0]))
            else:
                probe_round.refusals[probe_answer.target] = refusal
        return estimates

    def _apply_decision(
        self,
        probe_round: _ProbeRound,
        request: PlacementRequest,
        names: list[str],
        estimates: list[TargetEstimate],
        unanswered: list[str],
    ) -> None:
        decision = self._policy.choose(request, names, estimates)
        accepting = {estimate.target for estimate in estimates}
        probe_round.accepting = [name for name in decision.targets if name in accepting]
        probe_round.unanswered = [name for name in decision.targets if name in unanswered]
        probe_round.reason = decision.reason
        for estimate in estimates:
            if probe_round.accepting and estimate.target == probe_round.accepting[0]:
                probe_round.best_ttft_s = estimate_ttft_s(request, estimate)
                probe_round.wait_s = estimate.wait_s

    async def _send_probes(
        self,
        caller_request: CallerRequest,
        document: Document,
        request: PlacementRequest,
        group: GrantGroup,
        names: list[str],
        hold: bool,
    ) -> list[ProbeAnswer]:
        query = ProbeQuery(
            caller_request.customer,
            caller_request.model,
            caller_request.adapter,
            caller_request.service,
            len(request.block_keys),
            request.priority,
            hold,
        )
        depths = tuple(self._policy.depths(request))
        targets = []
        for name in names:
            version = group.by_target[name].version
            keys = caller_request.block_keys(version, document)
            address = document.targets[name].agent_address
            depth_keys = tuple(keys[depth - 1] for depth in depths)
            targets.append(ProbeTarget(name, address, version, depths, depth_keys))
        result = await self._prober.probe(query, targets)
        return result.answers

    def _may_use_other_regions(
        self, caller_request: CallerRequest, document: Document, local_round: _ProbeRound
    ) -> bool:
        """Whether to probe other regions: only if local targets are busy and the budget allows.

        Only a local queue justifies it. An uncached prefix is computed locally and cached from
        then on; if it counted too, long prompts would probe other regions each time.
        """
        if local_round.accepting and local_round.wait_s <= document.policy.cross_region_s:
            return False
        return self._link_budget.allows(len(caller_request.body))

    def _merge(
        self, document: Document, local_round: _ProbeRound, remote_round: _ProbeRound
    ) -> list[str]:
        """Order local and remote targets; the reason becomes that of the first target."""
        local_round.answers += remote_round.answers
        local_round.refusals.update(remote_round.refusals)
        if not local_round.accepting:
            local_round.reason = (
                remote_round.reason
                if remote_round.accepting
                else local_round.reason or remote_round.reason
            )
            return [*remote_round.accepting, *local_round.unanswered, *remote_round.unanswered]
        if local_round.best_ttft_s is None or remote_round.best_ttft_s is None:
            return local_round.order
        if remote_round.best_ttft_s + document.policy.cross_region_s >= local_round.best_ttft_s:
            return local_round.order
        local_round.reason = (
            f"{remote_round.reason}; "
            f"saves {local_round.best_ttft_s - remote_round.best_ttft_s:.3f} s across regions"
        )
        return [*remote_round.accepting, *local_round.order]

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
        retry_delays_s = [self._breaker.wait_s(name) for name in names]
        wait_s = min((wait for wait in retry_delays_s if wait > 0), default=None)
        return Failure(
            ErrorKind.NO_TARGET, "no target can take the request now", retry_after_s=wait_s
        )


def earliest_retry(failures: list[Failure]) -> Failure:
    """The failure with the earliest retry time; those without a retry time come last."""

    def order(failure: Failure) -> tuple[bool, float]:
        return failure.effective_retry_after_s is None, failure.effective_retry_after_s or 0.0

    return min(failures, key=order)


def _no_grant_failure(caller_request: CallerRequest, document: Document) -> Failure:
    """Distinguish an unknown name, a customer without matching terms and terms without a target."""
    terms = [item for item in document.terms.values() if caller_request.customer in item.customers]
    if caller_request.kind == KIND_SERVICE:
        if caller_request.service not in document.services:
            return Failure(ErrorKind.NOT_FOUND, f"service {caller_request.service} does not exist")
        names = {name for item in terms for name in item.targets}
        targets = [document.targets[name] for name in names if name in document.targets]
        is_covered = any(target.service == caller_request.service for target in targets)
    else:
        if caller_request.model not in document.models:
            return Failure(ErrorKind.NOT_FOUND, f"model {caller_request.model} does not exist")
        is_covered = any(
            caller_request.model in item.models
            and (not caller_request.adapter or caller_request.adapter in item.adapters)
            for item in terms
        )
    if is_covered:
        return Failure(ErrorKind.NO_TARGET, "no target serves this under the customer's terms now")
    return Failure(ErrorKind.FORBIDDEN, "no terms allow this request")
