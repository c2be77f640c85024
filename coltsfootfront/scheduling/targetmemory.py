"""Decides whether a request fits into the memory of a target.

The load: prompts of 12,000 tokens at engines with 128 slots and memory for 450,000 tokens. 38 of
them fill the memory, and a target whose requests exceed it crashes with all of them. Slots don't
limit that, and a target rejects only what comes after.

A router knows the sizes of its own requests. Of those of other routers it knows what they report,
and their number from the loads that targets report; their sizes are taken to be like its own.
"""

import math
from dataclasses import dataclass
from enum import Enum

from coltsfootfront.common.clock import Clock

# For a request without a hint; several times the answers that design/hard-load.md names.
DEFAULT_OUTPUT_TOKENS = 256
# Weight of the latest request in the means of the sizes: the mix of the last hundred or so.
SIZE_SMOOTHING = 0.02
# Standard deviations that are added to the estimated sum of the others' requests. With a normal
# distribution, one estimate in 40 is too low.
SPREAD_FACTOR = 2.0
# A reported number of requests counts in full for this time, about the interval between two
# responses of a target in use, and then less and less, as the requests behind it end.
LOAD_FRESH_S = 0.2
LOAD_HALF_LIFE_S = 1.5
# A peer may report once a second, and two of its reports in a row may be lost.
PEER_REPORT_VALID_S = 3.0


class Fit(Enum):
    """Whether a target has memory for a request."""

    NOW = "now"
    LATER = "later"
    """Other requests take up the memory."""
    NEVER = "never"
    """It is larger than the whole memory."""


@dataclass(frozen=True, slots=True)
class RequestSize:
    """What a request takes up at a target.

    :param output_tokens: expected length of the answer, 0 if unknown.
    :param body_bytes: size of the body.
    """

    prompt_tokens: int
    output_tokens: int = 0
    body_bytes: int = 0

    @property
    def resident_tokens(self) -> int:
        """Tokens in the target's memory at the end of the answer."""
        return self.prompt_tokens + (self.output_tokens or DEFAULT_OUTPUT_TOKENS)


@dataclass(frozen=True, slots=True)
class Holdings:
    """Requests that one router has at a target.

    :param tokens: resident tokens of all of them.
    """

    requests: int = 0
    tokens: int = 0
    body_bytes: int = 0


class SizeStatistics:
    """Mean and spread of the sizes of a service's requests, learned from this router's own."""

    __slots__ = ("_mean_tokens", "_variance")

    def __init__(self) -> None:
        self._mean_tokens: float | None = None
        self._variance = 0.0

    def add(self, tokens: int) -> None:
        """Add the size of one request."""
        if self._mean_tokens is None:
            self._mean_tokens = float(tokens)
            # Until the spread is known, it is taken to be as large as the mean.
            self._variance = float(tokens) ** 2
            return
        difference = tokens - self._mean_tokens
        self._mean_tokens += SIZE_SMOOTHING * difference
        self._variance = (1 - SIZE_SMOOTHING) * (self._variance + SIZE_SMOOTHING * difference**2)

    def upper_sum_tokens(self, requests: int) -> float:
        """Size that so many requests together rarely exceed, 0 before the first request."""
        if self._mean_tokens is None or not requests:
            return 0.0
        spread_tokens = SPREAD_FACTOR * math.sqrt(requests * self._variance)
        return requests * self._mean_tokens + spread_tokens


class Hold:
    """Memory that one outstanding request takes up.

    :param memory: what it is taken from.
    """

    __slots__ = ("_memory", "size")

    def __init__(self, memory: "TargetMemory", size: RequestSize) -> None:
        self._memory: TargetMemory | None = memory
        self.size = size

    def end(self) -> None:
        """Free the memory when the exchange has ended; without effect after the first time."""
        memory, self._memory = self._memory, None
        if memory is not None:
            memory.release(self.size)


class TargetMemory:
    """Memory of one target, as far as this router knows what is in it.

    :param clock: time source.
    :param sizes: sizes of the requests of the target's service.
    """

    __slots__ = (
        "_clock",
        "_own",
        "_peers",
        "_reported_others",
        "_reported_s",
        "_sizes",
        "capacity_tokens",
    )

    def __init__(self, clock: Clock, sizes: SizeStatistics) -> None:
        self._clock = clock
        self._sizes = sizes
        self._own = Holdings()
        self._reported_others = 0
        self._reported_s = -math.inf
        self._peers: dict[str, tuple[Holdings, float]] = {}
        self.capacity_tokens = 0
        """Configured capacity; 0 when it is unknown, and everything fits."""

    @property
    def own(self) -> Holdings:
        """What this router has at the target, which it reports to its peers."""
        return self._own

    def hold(self, size: RequestSize) -> Hold:
        """Count a request that is sent to the target, until its hold is ended."""
        own = self._own
        self._own = Holdings(
            own.requests + 1, own.tokens + size.resident_tokens, own.body_bytes + size.body_bytes
        )
        self._sizes.add(size.resident_tokens)
        return Hold(self, size)

    def release(self, size: RequestSize) -> None:
        """Count a request that has ended; called by its hold."""
        own = self._own
        self._own = Holdings(
            own.requests - 1, own.tokens - size.resident_tokens, own.body_bytes - size.body_bytes
        )

    def record_load(self, requests: int) -> None:
        """Record the number of requests, running and waiting, that the target has reported."""
        self._reported_others = max(0, requests - self._own.requests)
        self._reported_s = self._clock.monotonic_s()

    def record_peer(self, router: str, holdings: Holdings) -> None:
        """Record what another router has reported to have at the target."""
        self._peers[router] = (holdings, self._clock.monotonic_s())

    def drop_peer(self, router: str) -> None:
        """Forget the report of a router that has gone; its requests may go on for a while."""
        self._peers.pop(router, None)

    def others_tokens(self) -> float:
        """Estimated tokens of the requests of other routers, rarely exceeded."""
        now_s = self._clock.monotonic_s()
        heard = [
            holdings
            for holdings, heard_s in self._peers.values()
            if now_s - heard_s < PEER_REPORT_VALID_S
        ]
        heard_tokens = sum(holdings.tokens for holdings in heard)
        age_s = max(0.0, now_s - self._reported_s - LOAD_FRESH_S)
        reported = self._reported_others * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        unreported = max(0, math.ceil(reported) - sum(holdings.requests for holdings in heard))
        return heard_tokens + self._sizes.upper_sum_tokens(unreported)

    def free_tokens(self) -> float:
        """Estimated free memory, infinite if the capacity is unknown."""
        if not self.capacity_tokens:
            return math.inf
        return max(0.0, self.capacity_tokens - self._own.tokens - self.others_tokens())

    def fit(self, size: RequestSize) -> Fit:
        """Whether a request may be sent to the target as far as its memory is concerned."""
        if self.capacity_tokens and size.resident_tokens > self.capacity_tokens:
            return Fit.NEVER
        return Fit.NOW if size.resident_tokens <= self.free_tokens() else Fit.LATER


class TargetMemories:
    """Memories of all targets.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_memories", "_sizes")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._memories: dict[str, TargetMemory] = {}
        self._sizes: dict[str, SizeStatistics] = {}

    def get(self, target: str, service: str, capacity_tokens: int) -> TargetMemory:
        """Return the memory of a target.

        :param capacity_tokens: capacity by the configuration in force, 0 if it names none.
        """
        memory = self._memories.get(target)
        if memory is None:
            sizes = self._sizes.setdefault(service, SizeStatistics())
            memory = self._memories[target] = TargetMemory(self._clock, sizes)
        memory.capacity_tokens = capacity_tokens
        return memory

    def keep(self, targets: set[str]) -> None:
        """Forget all targets but these; requests under way keep their holds."""
        for name in self._memories.keys() - targets:
            del self._memories[name]
