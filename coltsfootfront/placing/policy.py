"""Interface of placement policies, which order the targets for a request."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from coltsfootfront.configuration.document import Grant


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a request that a policy may use.

    :param block_keys: chained block keys of the prompt, 8 bytes each.
    :param cache_salt: salt that isolates cached blocks; part of every block key.
    :param priority: 0 is the most urgent.
    """

    customer: str
    model: str
    adapter: str
    cache_salt: str
    block_keys: tuple[bytes, ...]
    priority: int = 5


@dataclass(slots=True)
class TargetLoad:
    """This router's state for one target; lost on a restart.

    :param in_flight: requests from this router in progress there.
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

    :param matched_blocks: leading blocks that are expected to be in its prefix cache.
    :param wait_s: estimated time in the queue before the request starts.
    :param block_prefill_s: estimated time to compute one block.
    :param is_home: whether the target is the policy's first candidate, the home of the prompt.
    """

    target: str
    matched_blocks: int
    wait_s: float
    block_prefill_s: float
    load: float
    latency_s: float
    is_home: bool = False


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """Targets in the order in which they are tried.

    :param targets: target names, the best first.
    :param reason: short text for ``explain`` and logs.
    """

    targets: tuple[str, ...]
    reason: str = field(default="")


class Policy(ABC):
    """Chooses where a request runs. Its state is soft: losing it on a restart is harmless."""

    uses_probes: bool = False

    def depths(self, request: PlacementRequest) -> list[int]:
        """Prefix lengths in blocks for which a probe carries keys, ascending."""
        blocks = len(request.block_keys)
        powers = [1 << power for power in range(blocks.bit_length())]
        return sorted({depth for depth in (*powers, blocks) if 0 < depth <= blocks})

    @abstractmethod
    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        """Targets to probe, or the order in which to try them for policies without probes.

        :param grants: targets that the terms allow, ordered by target name; never empty.
        :param loads: loads by target name; targets may be missing.
        """

    @abstractmethod
    def choose(
        self, request: PlacementRequest, candidates: list[str], estimates: list[TargetEstimate]
    ) -> PlacementDecision:
        """Order the targets by the estimates from their probe answers.

        :param candidates: result of :meth:`candidates`.
        :param estimates: targets that answered in time; empty for policies without probes.
        """

    def record_placement(self, request: PlacementRequest) -> None:
        """Record a placed request; does nothing in policies without such state."""
        return None
