"""Records the work that attempts put on their targets, and what it took.

Prompts are pending at their target until their first event or the end of the attempt, plain calls
until their response. Peers get the totals of pending prompts.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.costs.model import CostModel
from coltsfootfront.costs.pending import REPEAT_INTERVAL_S
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.targetselection import Placement

# Share of the base time, which does not depend on the prompt, that passes before prefill ends; the
# rest passes before the first event.
PREFILL_BASE_TIME_SHARE = 0.5


class AttemptWork(ABC):
    """Work of one attempt at its target.

    :param sent_s: monotonic time at which the attempt began.
    """

    __slots__ = ("_is_pending", "_placement", "_recorder", "_route", "_sent_s")

    def __init__(
        self, recorder: "TargetWorkRecorder", placement: Placement, route: str, sent_s: float
    ) -> None:
        self._recorder = recorder
        self._placement = placement
        self._route = route
        self._sent_s = sent_s
        self._is_pending = True

    @abstractmethod
    def record_first_event(self) -> None:
        """Record the first event of a stream."""

    @abstractmethod
    def record_response(self) -> None:
        """Record a complete response that is not a stream."""

    @abstractmethod
    def record_stream(self, events: int) -> None:
        """Record a stream that this attempt has brought whole."""

    def end(self) -> None:
        """Record the end of the attempt, whatever its outcome; further calls do nothing."""
        if self._is_pending:
            self._recorder.record_unanswered(self._placement, self._expected_s(), self._sent_s)
            self._remove()

    def _remove(self) -> None:
        self._is_pending = False
        self._remove_pending()

    @abstractmethod
    def _expected_s(self) -> float | None:
        """Learned estimate of the time until the answer, None if it was not used."""

    @abstractmethod
    def _remove_pending(self) -> None:
        """Take the work off what is pending at the target."""


class PromptWork(AttemptWork):
    """Work of a prompt, which waits at its target until the first event."""

    __slots__ = ()

    def __init__(
        self, recorder: "TargetWorkRecorder", placement: Placement, route: str, sent_s: float
    ) -> None:
        super().__init__(recorder, placement, route, sent_s)
        recorder.add_pending(placement, placement.prefill_tokens)

    def record_first_event(self) -> None:
        if self._is_pending:
            self._recorder.record_first_event(self._placement, self._sent_s)
            self._remove()

    def record_response(self) -> None:
        if self._is_pending:
            self._remove()

    def record_stream(self, events: int) -> None:
        self._recorder.record_length(self._placement.target, self._route, events)

    def _expected_s(self) -> float | None:
        cost = self._placement.prompt_cost
        return cost.first_event_s if cost is not None else None

    def _remove_pending(self) -> None:
        self._recorder.add_pending(self._placement, -self._placement.prefill_tokens)


class CallWork(AttemptWork):
    """Work of a plain call."""

    __slots__ = ()

    def __init__(
        self, recorder: "TargetWorkRecorder", placement: Placement, route: str, sent_s: float
    ) -> None:
        super().__init__(recorder, placement, route, sent_s)
        recorder.begin_call(id(self), placement.target, route)

    def record_first_event(self) -> None:
        pass

    def record_response(self) -> None:
        if self._is_pending:
            self._recorder.record_call(self._placement, self._route, self._sent_s)
            self._remove()

    def record_stream(self, events: int) -> None:
        pass

    def _expected_s(self) -> float | None:
        cost = self._placement.call_cost
        return cost.total_s if cost is not None else None

    def _remove_pending(self) -> None:
        self._placement.target.calls.end(id(self))


class TargetWorkRecorder:
    """Keeps the pending work of targets up to date, and learns from outcomes.

    :param clock: time source.
    :param prefill_rates: estimated prefill rates, for targets that are not placed at by cost.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        gossip: Gossip,
        prefill_rates: PrefillRates,
        costs: CostModel,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._gossip = gossip
        self._prefill_rates = prefill_rates
        self._costs = costs

    @property
    def costs(self) -> CostModel:
        """What has been learned of the cost of requests."""
        return self._costs

    def begin(self, placement: Placement, route: str, has_prompt: bool) -> AttemptWork:
        """Record that a request is sent to the target chosen for it."""
        now_s = self._clock.monotonic_s()
        if not has_prompt:
            return CallWork(self, placement, route, now_s)
        self._add_backlog(placement, now_s)
        return PromptWork(self, placement, route, now_s)

    def add_pending(self, placement: Placement, tokens: int) -> None:
        """Add tokens that wait at the target of a placement, or take them off if negative."""
        if tokens:
            placement.target.pending.add(placement.priority, tokens)
            self._tell_pending(placement.target)

    @contextmanager
    def reserve(self, placement: Placement | None) -> Iterator[None]:
        """Count a prompt as pending at the target that it waits for.

        Without this, all prompts that wait for a target to load weights take it for idle, and are
        sent to it in the same moment: on a recorded day, these were 98% of the squared error of the
        estimates.
        """
        if placement is None or placement.prompt_cost is None:
            yield
            return
        self.add_pending(placement, placement.prefill_tokens)
        try:
            yield
        finally:
            self.add_pending(placement, -placement.prefill_tokens)

    def begin_call(self, key: int, target: Target, route: str) -> None:
        """Record that a plain call is sent."""
        work = self._costs.calls(target.entry.service).route(route)
        target.calls.begin(key, work, self._clock.monotonic_s())

    def ready_in_s(self, placement: Placement, tokens: int) -> float:
        """Time until the target of a placement has prefilled some tokens of the prompt."""
        target = placement.target
        if placement.prompt_cost is None:
            rate = self._prefill_rates.get(target.entry.service)
            base_s, prefill_s = rate.base_s, rate.prefill_time_s(tokens)
        else:
            model = self._costs.prompts(target.entry.service)
            prefill_s = model.prefill_s(tokens, target.pace, self._clock.monotonic_s())
            base_s = model.base_s
        return placement.begin_s + base_s * PREFILL_BASE_TIME_SHARE + prefill_s

    def record_first_event(self, placement: Placement, sent_s: float) -> None:
        """Learn from the time to the first event of a prompt."""
        cost = placement.prompt_cost
        if cost is None:
            return
        now_s = self._clock.monotonic_s()
        took_s = max(0.0, now_s - sent_s - placement.distance_s)
        target = placement.target
        metrics.ESTIMATE_ERROR_S.observe({}, abs(took_s - cost.first_event_s))
        self._costs.prompts(target.entry.service).record(cost, took_s)
        self._compare(target, cost.first_event_s, took_s, now_s)

    def record_call(self, placement: Placement, route: str, sent_s: float) -> None:
        """Learn from the time of a plain call."""
        cost = placement.call_cost
        if cost is None:
            return
        now_s = self._clock.monotonic_s()
        took_s = max(0.0, now_s - sent_s - placement.distance_s)
        target = placement.target
        pace = target.pace.expected(now_s)
        self._costs.calls(target.entry.service).record(route, cost, took_s, pace)
        self._compare(target, cost.total_s, took_s, now_s)

    def record_unanswered(
        self, placement: Placement, expected_s: float | None, sent_s: float
    ) -> None:
        """Learn from an attempt that ended without an answer, if it should have had one by then.

        Without this, a target from which requests are taken away for its slowness would never
        count as slow.

        :param expected_s: learned estimate, None if it was not used.
        """
        now_s = self._clock.monotonic_s()
        took_s = now_s - sent_s - placement.distance_s
        if expected_s is not None and took_s > expected_s:
            self._compare(placement.target, expected_s, took_s, now_s)

    def record_length(self, target: Target, route: str, events: int) -> None:
        """Learn from the length of an answer; routers do not get the hints of callers."""
        self._costs.outputs(target.entry.service).record(route, None, events)

    async def repeat(self) -> None:
        """Run the loop that sends peers again what waits, and drops what they repeat no more."""
        while True:
            await self._clock.sleep(REPEAT_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            for target in self._directory.all():
                target.pending.drop_stale(now_s)
                if target.pending.own_totals():
                    self._tell_pending(target)

    def _compare(self, target: Target, expected_s: float, took_s: float, now_s: float) -> None:
        """Compare an outcome with those of the service's other targets."""
        pace = target.pace
        if pace.outcomes is None:
            pace.outcomes = self._costs.outcomes(target.entry.service)
        pace.record_outcome(expected_s / pace.learned(now_s), took_s, now_s)

    def _add_backlog(self, placement: Placement, now_s: float) -> None:
        target = placement.target
        if not placement.prefill_tokens:
            return
        work_s = self._prefill_rates.get(target.entry.service).prefill_time_s(
            placement.prefill_tokens
        )
        target.backlog.add(placement.priority, work_s, now_s)
        if not self._costs.applies([target.pace]):
            self._gossip.queue_prefill_work(target.name, placement.priority, work_s)

    def _tell_pending(self, target: Target) -> None:
        if self._costs.applies([target.pace]):
            self._gossip.queue_pending(target.name, target.pending.own_totals())
