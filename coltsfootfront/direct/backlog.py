"""Estimate of the prefill work queued at a target, by priority.

Engines admit requests in the order of priority, so a request waits for the prefill of all that are
at least as urgent, and for a share of the others.
"""

# Number of priorities of targets; 0 is the most urgent.
PRIORITIES = 10
# Share of the less urgent work that a request waits for: engines do not preempt a prefill once it
# has begun.
LESS_URGENT_SHARE = 0.75


class Backlog:
    """Estimated work queued at one target, drained as time passes.

    :param now_s: monotonic time.
    """

    __slots__ = ("_updated_s", "_work_s")

    def __init__(self, now_s: float = 0.0) -> None:
        self._updated_s = now_s
        self._work_s = [0.0] * PRIORITIES

    def add(self, priority: int, work_s: float, now_s: float) -> None:
        """Add work of a priority, in seconds of prefill."""
        self._drain(now_s)
        self._work_s[priority] += work_s

    def wait_s(self, priority: int, now_s: float) -> float:
        """Time until work of a priority would begin."""
        self._drain(now_s)
        before_s = sum(self._work_s[: priority + 1])
        return before_s + LESS_URGENT_SHARE * sum(self._work_s[priority + 1 :])

    def _drain(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        for priority, work_s in enumerate(self._work_s):
            if not passed_s:
                return
            done_s = min(work_s, passed_s)
            self._work_s[priority] -= done_s
            passed_s -= done_s
