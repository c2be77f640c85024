"""Interface of placement policies: which target a request is tried on first."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from coltsfootfront.configuration.document import Grant


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a policy may know about a request.

    :param block_keys: chained block keys of the prompt, 8 bytes each.
    :param affinity: text that separates caches (the salt); part of every hash.
    :param priority: 0 is the most urgent.
    """

    customer: str
    model: str
    adapter: str
    affinity: str
    block_keys: tuple[bytes, ...]
    priority: int = 5


@dataclass(slots=True)
class TargetLoad:
    """What this router has seen of one target; empty after a restart.

    :param in_flight: requests that this router has open there.
    :param load: running and queued requests divided by slots, from the last reply.
    :param updated_s: monotonic time of the last reply, or None.
    :param latency_s: one-way latency estimate.
    """

    in_flight: int = 0
    load: float = 0.0
    updated_s: float | None = None
    latency_s: float = 0.001


@dataclass(frozen=True, slots=True)
class TargetEstimate:
    """A target that answered a probe.

    :param matched_blocks: leading blocks believed to be cached there.
    :param wait_s: estimated wait before the start.
    :param block_prefill_s: estimated time to compute one block.
    :param home: whether the target has the best rendezvous rank of the deepest depth.
    """

    target: str
    matched_blocks: int
    wait_s: float
    block_prefill_s: float
    load: float
    latency_s: float
    home: bool = False


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """Targets in the order in which they are tried.

    :param targets: target names, the best first.
    :param reason: short text for ``explain`` and logs.
    """

    targets: tuple[str, ...]
    reason: str = field(default="")


class Policy(ABC):
    """Chooses where a request runs. Holds nothing that a restart may not lose."""

    uses_probes: bool = False

    def depths(self, request: PlacementRequest) -> list[int]:
        """Numbers of leading blocks that a probe describes, ascending."""
        blocks = len(request.block_keys)
        powers = [1 << power for power in range(blocks.bit_length())]
        return sorted({depth for depth in (*powers, blocks) if 0 < depth <= blocks})

    @abstractmethod
    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        """Targets worth a probe, or the order to try for policies without probes.

        :param grants: targets that the terms allow, ordered by target name; never empty.
        :param loads: what this router has seen; targets may be missing.
        """

    @abstractmethod
    def choose(
        self, request: PlacementRequest, candidates: list[str], answers: list[TargetEstimate]
    ) -> PlacementDecision:
        """Order the targets after the probes.

        :param candidates: result of :meth:`candidates`.
        :param answers: answers that arrived in time; empty for policies without probes.
        """

    def placed(self, request: PlacementRequest) -> None:
        """Note that a request was placed; policies that learn nothing do nothing."""
        return None
