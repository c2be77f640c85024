"""Circuit breaker for each target, bound to the incarnations of agent and engine."""

from dataclasses import dataclass

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

FAILURES_TO_OPEN = 3
FIRST_OPEN_S = 0.5
MAX_OPEN_S = 8.0


@dataclass(frozen=True, slots=True)
class Incarnation:
    """Which start of an agent and of its engine a result belongs to.

    :param agent: incarnation of the agent; empty when it was never reached.
    :param engine: incarnation of the engine; empty when not known.
    """

    agent: str = ""
    engine: str = ""

    def replaces(self, other: "Incarnation") -> bool:
        """Whether agent or engine is known to have been started again since ``other``."""
        agent_changed = bool(self.agent and other.agent and self.agent != other.agent)
        engine_changed = bool(self.engine and other.engine and self.engine != other.engine)
        return agent_changed or engine_changed

    def merged(self, other: "Incarnation") -> "Incarnation":
        """Fill in what is not known here."""
        return Incarnation(self.agent or other.agent, self.engine or other.engine)


@dataclass(slots=True)
class _State:
    incarnation: Incarnation
    failures: int = 0
    open_s: float = 0.0
    open_until_s: float | None = None
    trial: bool = False


class Breaker:
    """Keeps requests away from targets that fail.

    A target opens after some failures in a row. After a delay that doubles with each failed
    trial, one request is let through; its result closes or opens the target again. A new
    incarnation of agent or engine starts closed, and results of an older one are ignored.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _State] = {}

    def is_available(self, target: str) -> bool:
        """Whether a request may be placed on a target now."""
        state = self._states.get(target)
        if state is None or state.open_until_s is None:
            return True
        return not state.trial and self._clock.monotonic_s() >= state.open_until_s

    def unavailable(self) -> set[str]:
        """Targets on which no request may be placed now."""
        return {name for name in self._states if not self.is_available(name)}

    def wait_s(self, target: str) -> float:
        """Seconds until the next trial of a target, 0 when it is available."""
        state = self._states.get(target)
        if state is None or state.open_until_s is None:
            return 0.0
        return max(0.0, state.open_until_s - self._clock.monotonic_s())

    def try_acquire(self, target: str) -> bool:
        """Start a request on a target.

        :returns: False when the target is open or its trial is under way.
        """
        if not self.is_available(target):
            return False
        state = self._states.get(target)
        if state is not None and state.open_until_s is not None:
            state.trial = True
        return True

    def release(self, target: str) -> None:
        """End a request that says nothing about the target, such as a cancelled one."""
        state = self._states.get(target)
        if state is not None:
            state.trial = False

    def record_incarnation(self, target: str, incarnation: Incarnation) -> None:
        """Note which incarnation answers; a new one starts closed."""
        state = self._states.get(target)
        if state is None:
            return
        if incarnation.replaces(state.incarnation):
            self._states[target] = _State(incarnation)
        else:
            state.incarnation = state.incarnation.merged(incarnation)

    def record_success(self, target: str, incarnation: Incarnation) -> None:
        """Note a request that the target served; a trial that succeeds closes the target."""
        state = self._states.get(target)
        if state is not None and not state.incarnation.replaces(incarnation):
            del self._states[target]

    def record_failure(self, target: str, incarnation: Incarnation) -> None:
        """Note a request that failed at the target."""
        state = self._states.get(target)
        if state is None:
            state = _State(incarnation)
            self._states[target] = state
        elif incarnation.replaces(state.incarnation):
            # seen() runs before each request, so an incarnation that differs is an older one.
            return
        state.incarnation = state.incarnation.merged(incarnation)
        if state.open_until_s is not None and not state.trial:
            # Requests that were under way when the target opened must not prolong its delay.
            return
        state.failures += 1
        if state.trial or state.failures >= FAILURES_TO_OPEN:
            self._open(state)

    def keep_only(self, targets: set[str]) -> None:
        """Forget targets that left the document."""
        for name in self._states.keys() - targets:
            del self._states[name]

    def _open(self, state: _State) -> None:
        state.open_s = min(MAX_OPEN_S, state.open_s * 2) if state.open_s else FIRST_OPEN_S
        state.open_until_s = self._clock.monotonic_s() + state.open_s
        state.trial = False
        metrics.CONNECTION_EVENTS.inc({"event": "breaker_opened"})
