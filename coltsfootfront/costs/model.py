"""What this router has learned of the cost of requests, by service.

Takes effect where a deployment calls for it: where the targets of a service report their pace, or
where customers have quotas and thus compete for capacity. Elsewhere targets are chosen as before.
"""

from collections import defaultdict
from collections.abc import Iterable

from coltsfootfront.costs.callcost import CallModel
from coltsfootfront.costs.outputlength import OutputLengths
from coltsfootfront.costs.pace import ServiceOutcomes, TargetPace
from coltsfootfront.costs.promptcost import FirstEventModel


class CostModel:
    """Cost models of all services."""

    __slots__ = ("_calls", "_outcomes", "_outputs", "_prompts", "has_quotas")

    def __init__(self) -> None:
        self.has_quotas = False
        """Whether customers of the configuration in force have quotas."""
        self._prompts: defaultdict[str, FirstEventModel] = defaultdict(FirstEventModel)
        self._calls: defaultdict[str, CallModel] = defaultdict(CallModel)
        self._outputs: defaultdict[str, OutputLengths] = defaultdict(OutputLengths)
        self._outcomes: defaultdict[str, ServiceOutcomes] = defaultdict(ServiceOutcomes)

    def applies(self, paces: Iterable[TargetPace]) -> bool:
        """Whether requests are placed by their cost.

        :param paces: paces of the targets among which is chosen.
        """
        return self.has_quotas or any(pace.is_reported for pace in paces)

    def prompts(self, service: str) -> FirstEventModel:
        """Model of the prompts of a service."""
        return self._prompts[service]

    def calls(self, service: str) -> CallModel:
        """Model of the plain calls of a service."""
        return self._calls[service]

    def outputs(self, service: str) -> OutputLengths:
        """Lengths of the answers of a service."""
        return self._outputs[service]

    def outcomes(self, service: str) -> ServiceOutcomes:
        """Outcomes with which those of each target of a service are compared."""
        return self._outcomes[service]
