"""Circuit breaker per target, reset when the agent or the engine restarts."""

from dataclasses import dataclass

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 8.0


@dataclass(frozen=True, slots=True)
class Incarnation:
    """Identifies one run of an agent and of its engine; each restart changes it.

    :param agent: incarnation of the agent; empty when it was never reached.
    :param engine: incarnation of the engine; empty when not known.
    """

    agent: str = ""
    engine: str = ""

    def differs_from(self, other: "Incarnation") -> bool:
        """Whether agent or engine is known to have restarted relative to ``other``."""
        agent_changed = bool(self.agent and other.agent and self.agent != other.agent)
        engine_changed = bool(self.engine and other.engine and self.engine != other.engine)
        return agent_changed or engine_changed

    def merged(self, other: "Incarnation") -> "Incarnation":
        """Return a copy whose unknown parts are taken from ``other``."""
        return Incarnation(self.agent or other.agent, self.engine or other.engine)


@dataclass(slots=True)
class _TargetState:
    incarnation: Incarnation
    failures: int = 0
    open_delay_s: float = 0.0
    open_until_s: float | None = None
    is_trial_running: bool = False


class Breaker:
    """Stops requests to targets that fail, with one circuit for each target.

    A circuit opens after ``FAILURES_TO_OPEN`` consecutive failures. After a delay that doubles
    with each failed trial, one trial request is let through; its result closes the circuit or
    opens it again. When the incarnation of agent or engine changes, the circuit is closed. Results
    from an incarnation that differs from the recorded one are ignored.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _TargetState] = {}

    def is_available(self, target: str) -> bool:
        """Whether the circuit of a target lets a request through now."""
        state = self._states.get(target)
        if state is None or state.open_until_s is None:
            return True
        return not state.is_trial_running and self._clock.monotonic_s() >= state.open_until_s

    def unavailable(self) -> set[str]:
        """Targets whose circuits let no request through now."""
        return {name for name in self._states if not self.is_available(name)}

    def wait_s(self, target: str) -> float:
        """Seconds until a target may be tried again, 0 when no delay remains."""
        state = self._states.get(target)
        if state is None or state.open_until_s is None:
            return 0.0
        return max(0.0, state.open_until_s - self._clock.monotonic_s())

    def try_acquire(self, target: str) -> bool:
        """Reserve the right to send a request to a target.

        :returns: False when the circuit is open or its trial request is in flight.
        """
        if not self.is_available(target):
            return False
        state = self._states.get(target)
        if state is not None and state.open_until_s is not None:
            state.is_trial_running = True
        return True

    def release(self, target: str) -> None:
        """End a request whose outcome says nothing about the target, such as a cancelled one."""
        state = self._states.get(target)
        if state is not None:
            state.is_trial_running = False

    def record_incarnation(self, target: str, incarnation: Incarnation) -> None:
        """Record the incarnation that responded; a different one starts with a closed circuit."""
        state = self._states.get(target)
        if state is None:
            return
        if incarnation.differs_from(state.incarnation):
            self._states[target] = _TargetState(incarnation)
        else:
            state.incarnation = state.incarnation.merged(incarnation)

    def record_success(self, target: str, incarnation: Incarnation) -> None:
        """Record a success, which closes the circuit unless the incarnation differs."""
        state = self._states.get(target)
        if state is not None and not state.incarnation.differs_from(incarnation):
            del self._states[target]

    def record_failure(self, target: str, incarnation: Incarnation) -> None:
        """Record a failure, which may open the circuit."""
        state = self._states.get(target)
        if state is None:
            state = _TargetState(incarnation)
            self._states[target] = state
        elif incarnation.differs_from(state.incarnation):
            # Only inequality is checked. Callers run `record_incarnation` first, so an incarnation
            # that differs here is taken to be an older one.
            return
        state.incarnation = state.incarnation.merged(incarnation)
        if state.open_until_s is not None and not state.is_trial_running:
            # Failures of requests that were in flight at the opening must not extend the delay.
            return
        state.failures += 1
        if state.is_trial_running or state.failures >= FAILURES_TO_OPEN:
            self._open(state)

    def keep_only(self, targets: set[str]) -> None:
        """Drop the state of targets that are no longer configured."""
        for name in self._states.keys() - targets:
            del self._states[name]

    def _open(self, state: _TargetState) -> None:
        state.open_delay_s = (
            min(MAX_OPEN_S, state.open_delay_s * 2) if state.open_delay_s else INITIAL_OPEN_S
        )
        state.open_until_s = self._clock.monotonic_s() + state.open_delay_s
        state.is_trial_running = False
        metrics.CONNECTION_EVENTS.inc({"event": "breaker_opened"})
