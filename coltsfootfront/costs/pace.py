"""Pace of a target: how long work takes there, in proportion to the usual time.

Answers uneven and changing engines. In a deployment whose targets reported their pace, it was 0.7
or 1.7 of the usual time for good, and 2.5 to 4 times that for stretches of a few hundred
milliseconds, about a tenth of the time. The median over some seconds is therefore the lasting pace,
and a fresh sample is the momentary one. Where targets do not report their pace, the lasting pace is
learned from the times that requests took, compared with the other targets of the service.
"""

import math
from collections import deque

# A slow stretch goes on with this time constant: of the samples that followed a slow one by 0.15,
# 0.25 and 0.4 s, 0.70, 0.54 and 0.38 were slow as well, against 0.1 of all.
SLOW_STRETCH_S = 0.35
# Samples of the lasting pace and their minimum distance: together at least 5 s, so that one slow
# stretch is no majority.
LASTING_SAMPLES = 25
SAMPLE_INTERVAL_S = 0.2
USUAL_PERCENT = 100.0
# Bounds of a sample; a figure outside of them is taken for an error of the target.
MIN_PERCENT = 5.0
MAX_PERCENT = 10_000.0
# A pace that has not changed is sent to peers this often, so that those that started later learn
# it.
REPORT_INTERVAL_S = 1.0
# Weight of an outcome in the moving averages, of one target and of all targets of a service.
OUTCOME_WEIGHT = 0.08
SERVICE_OUTCOME_WEIGHT = 0.01
# Standard deviation of the logarithm of an outcome, 0.5 to 0.75 on two recorded days. A difference
# from the other targets counts by what exceeds the standard error of the average.
OUTCOME_SPREAD = 0.65
# Outcomes after which the average counts half; before, the target is taken for usual.
PRIOR_OUTCOMES = 4.0
# Number of outcomes that count at most, as in the moving average, and the time in which they lose
# half of their weight.
MAX_OUTCOMES = 24.0
OUTCOME_HALF_LIFE_S = 10.0
# Bounds of the natural logarithm of the time taken in proportion to the time expected, and of the
# pace learned from it. A single outcome varies by the work ahead of it.
MAX_OUTCOME_LOG = 1.6
MAX_LEARNED_LOG = 1.1
# Shorter times are mostly the way to the target.
MIN_OUTCOME_S = 0.005


class ServiceOutcomes:
    """Outcomes of all targets of a service, with which each of them is compared."""

    __slots__ = ("_count", "_mean_log")

    def __init__(self) -> None:
        self._count = 0
        self._mean_log = 0.0

    @property
    def mean_log(self) -> float:
        """Mean logarithm of the time taken in proportion to the time expected."""
        return self._mean_log

    def record(self, outcome_log: float) -> None:
        """Add an outcome to the mean."""
        # Early outcomes weigh more: until expectations are learned, they miss at all targets alike.
        self._count += 1
        share = max(SERVICE_OUTCOME_WEIGHT, 1 / self._count)
        self._mean_log += share * (outcome_log - self._mean_log)


class TargetPace:
    """Lasting and momentary pace of one target; 1.0 is usual, and 2.0 takes twice as long."""

    __slots__ = (
        "_lasting",
        "_latest",
        "_latest_s",
        "_mean_log",
        "_outcomes_s",
        "_reported_s",
        "_samples",
        "_samples_s",
        "_weight",
        "outcomes",
    )

    def __init__(self) -> None:
        self.outcomes: ServiceOutcomes | None = None
        """Outcomes of all targets of the service; None if outcomes are not compared."""
        self._samples: deque[float] = deque(maxlen=LASTING_SAMPLES)
        self._samples_s = -math.inf
        self._lasting = 1.0
        self._latest = 1.0
        self._latest_s = -math.inf
        self._reported_s = -math.inf
        self._mean_log = 0.0
        self._weight = 0.0
        self._outcomes_s = 0.0

    @property
    def is_reported(self) -> bool:
        """Whether the target reports its pace."""
        return bool(self._samples)

    @property
    def lasting(self) -> float:
        """Pace over the last seconds."""
        return self._lasting

    def record_sample(self, percent: float, now_s: float) -> bool:
        """Record the pace that the target has reported, where 100 is usual.

        :returns: whether peers should get it, as the pace has changed or is not the lasting one.
        """
        if not MIN_PERCENT <= percent <= MAX_PERCENT:
            return False
        pace = percent / USUAL_PERCENT
        has_changed = pace != self._latest or not self._samples
        self._latest = pace
        self._latest_s = now_s
        if now_s - self._samples_s >= SAMPLE_INTERVAL_S:
            self._samples_s = now_s
            self._samples.append(pace)
            self._lasting = sorted(self._samples)[len(self._samples) // 2]
        is_due = now_s - self._reported_s >= REPORT_INTERVAL_S
        if has_changed or is_due or pace != self._lasting:
            self._reported_s = now_s
            return True
        return False

    def record_outcome(self, expected_s: float, took_s: float, now_s: float) -> None:
        """Record the time that a request took, where the target does not report its pace.

        :param expected_s: expected time at a target of usual pace.
        """
        if self._samples or self.outcomes is None:
            return
        ratio = max(MIN_OUTCOME_S, took_s) / max(MIN_OUTCOME_S, expected_s)
        outcome_log = min(max(math.log(ratio), -MAX_OUTCOME_LOG), MAX_OUTCOME_LOG)
        self.outcomes.record(outcome_log)
        self._weight = self._decayed_weight(now_s)
        self._outcomes_s = now_s
        self._weight = min(MAX_OUTCOMES, self._weight + 1)
        share = max(OUTCOME_WEIGHT, 1 / self._weight)
        self._mean_log += share * (outcome_log - self.outcomes.mean_log - self._mean_log)

    def factor(self, now_s: float) -> float:
        """Expected pace of work that begins now and takes no time."""
        if not self._samples:
            return self.learned(now_s)
        return self._lasting * (1 + self._slow_chance(now_s) * (self._slowdown() - 1))

    def learned(self, now_s: float) -> float:
        """Pace learned from outcomes; 1.0 where the target reports its pace, or has none."""
        weight = self._decayed_weight(now_s)
        if self._samples or not weight:
            return 1.0
        difference = abs(self._mean_log) * weight / (weight + PRIOR_OUTCOMES)
        excess = max(0.0, difference - OUTCOME_SPREAD / math.sqrt(weight))
        return math.exp(math.copysign(min(excess, MAX_LEARNED_LOG), self._mean_log))

    def expected(self, now_s: float) -> float:
        """Lasting pace, as reported or as learned."""
        return self._lasting if self._samples else self.learned(now_s)

    def time_s(self, work_s: float, now_s: float) -> float:
        """Expected time of work that would take `work_s` at the lasting pace.

        In a slow stretch that goes on for an exponentially distributed time, short work takes as
        long as the momentary pace says, and long work loses a part of the rest of the stretch.
        """
        slowdown = self._slowdown()
        if slowdown <= 1:
            return work_s
        chance = self._slow_chance(now_s)
        in_stretch_s = SLOW_STRETCH_S * (1 - math.exp(-work_s * slowdown / SLOW_STRETCH_S))
        return work_s + chance * (1 - 1 / slowdown) * in_stretch_s

    def _slowdown(self) -> float:
        return self._latest / self._lasting

    def _slow_chance(self, now_s: float) -> float:
        """Chance that the pace of the latest sample still holds."""
        return math.exp(-max(0.0, now_s - self._latest_s) / SLOW_STRETCH_S)

    def _decayed_weight(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._outcomes_s)
        weight: float = self._weight * 0.5 ** (age_s / OUTCOME_HALF_LIFE_S)
        return weight
