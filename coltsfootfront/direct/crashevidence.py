"""Finds the requests, or the parts of prompts, that crash the targets which answer them.

What crashes targets is among the unanswered requests of each target that it crashes, and no target
answers a request with it in between. Other requests are there by chance: their parts are cleared by
the next answer, or explain fewer of the crashes.

Each request has its digest beside the shared parts of its prompt. A digest that explains the
crashes is convicted before any part, as it holds no other request back. A part is convicted when
requests with different digests have crashed targets.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock

Parts = tuple[str, ...]

# Begins the key of a request's digest; no key of a part has a colon.
DIGEST_PREFIX = "request:"

# Crashes within this time of each other may have one cause, such as a power failure, and count
# once.
EPISODE_S = 0.25
# Episodes after which a part is convicted. One or two coincidences with a rare part are likely
# where many targets crash for another reason.
MIN_EPISODES = 3
# Episodes after which one of several parts that fit equally well is convicted.
MIN_EPISODES_AMBIGUOUS = 4
ENOUGH = (MIN_EPISODES, 0)
# Delay after a crash within which the reports of all routers arrive, and answers clear the parts
# of other requests.
SETTLE_S = 0.3
# A crash is forgotten after this time.
RETENTION_S = 120.0
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 256


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request without an answer at a target that crashed.

    :param parts: keys of the shared parts of its prompt, and its digest.
    :param is_answering: the head of the answer had arrived.
    :param sent_s: monotonic time at which it was sent, None for the request of a peer.
    :param lost_s: monotonic time at which its connection was lost, None for the request of a peer.
    """

    parts: Parts
    is_answering: bool
    sent_s: float | None = None
    lost_s: float | None = None


@dataclass(slots=True, eq=False)
class _Crash:
    """Crash of one start of a target.

    :param seen_s: monotonic time of the first report.
    :param suspects: keys of each unanswered request, and whether its answer had begun.
    :param cleared: parts that a target has answered since.
    :param resent: digests of requests that were sent to it after they had crashed another target.
    """

    target: str
    seen_s: float
    lost_s: float
    suspects: dict[Parts, bool] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    resent: set[str] = field(default_factory=set)

    def open_parts(self) -> dict[str, bool]:
        """Parts that have not been cleared, and whether an answer to one of them had begun."""
        found: dict[str, bool] = {}
        for parts, is_answering in self.suspects.items():
            for part in parts:
                if part not in self.cleared:
                    found[part] = found.get(part, False) or is_answering
        return found

    def open_parts_beside(self, group: frozenset[str]) -> set[str]:
        """Parts that have not been cleared, of requests with all of some other parts."""
        return {
            part
            for parts in self.suspects
            if group.issubset(parts)
            for part in parts
            if part not in group and part not in self.cleared and not _is_digest(part)
        }

    def has(self, group: frozenset[str]) -> bool:
        """Whether one of the requests has all of some parts."""
        return any(group.issubset(parts) for parts in self.suspects)

    def is_suspected(self, part: str) -> bool:
        """Whether one of the requests has a part that has not been cleared."""
        return part not in self.cleared and any(part in parts for parts in self.suspects)

    def occur_together(self, first: str, second: str) -> bool:
        """Whether one of the requests has both parts."""
        return any(first in parts and second in parts for parts in self.suspects)


@dataclass(frozen=True, slots=True)
class Conviction:
    """Parts that crash targets when they are in one prompt, or the digest of such a request.

    :param parts: usually one; several if they have only been seen together.
    :param targets: targets that they have crashed.
    :param lasted_s: time from the first to the last of these crashes.
    """

    parts: frozenset[str]
    targets: tuple[str, ...]
    lasted_s: float


class CrashEvidence:
    """Crashes of targets, with the prompts that were unanswered at each.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_convicted_before", "_crashes", "_is_changed", "_open")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._open: set[str] = set()
        self._is_changed = False
        self._convicted_before: list[frozenset[str]] = []

    def record_crash(self, name: str, started_ms: int, suspects: list[Suspect]) -> bool:
        """Add a report of a crash; each router reports its own requests.

        :param started_ms: start time of the target that crashed.
        :returns: whether it is the first report of this crash.
        """
        self._drop_old()
        key = (name, started_ms)
        is_new = key not in self._crashes
        if is_new and len(self._crashes) >= MAX_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))
        now_s = self._clock.monotonic_s()
        crash = self._crashes.setdefault(key, _Crash(name, now_s, now_s))
        self._is_changed = True
        for suspect in suspects:
            if len(crash.suspects) < MAX_SUSPECTS_PER_CRASH or suspect.parts in crash.suspects:
                before = crash.suspects.get(suspect.parts, False)
                crash.suspects[suspect.parts] = before or suspect.is_answering
                self._open.update(suspect.parts)
                self._record_times(crash, suspect)
        return is_new

    def record_resent(self, name: str, started_ms: int, digests: list[str]) -> None:
        """Add that requests were sent to a target after they had crashed another one."""
        crash = self._crashes.get((name, started_ms))
        if crash is not None:
            crash.resent.update(digest for digest in digests if crash.is_suspected(digest))
            self._is_changed = True

    def resent(self, name: str, started_ms: int) -> list[str]:
        """Digests of requests that were sent to a target after they had crashed another one."""
        crash = self._crashes.get((name, started_ms))
        return sorted(crash.resent) if crash is not None else []

    def count_crashes(self, part: str, except_for: tuple[str, int] | None = None) -> int:
        """Number of crashes at which a part was unanswered, unless it has been answered since.

        :param except_for: start of a target that is not counted.
        """
        if part not in self._open:
            return 0
        return sum(
            crash.is_suspected(part) for key, crash in self._crashes.items() if key != except_for
        )

    def _record_times(self, crash: _Crash, suspect: Suspect) -> None:
        if suspect.sent_s is None or suspect.lost_s is None:
            return
        crash.lost_s = min(crash.lost_s, suspect.lost_s)
        for part in suspect.parts:
            if _is_digest(part) and any(
                other.lost_s <= suspect.sent_s and other.is_suspected(part)
                for other in self._crashes.values()
                if other is not crash
            ):
                crash.resent.add(part)

    def record_answer(self, parts: Parts) -> list[str]:
        """Clear the parts of a prompt that a target answers.

        :returns: the parts that were suspected.
        """
        cleared = [part for part in parts if part in self._open]
        for part in cleared:
            self._open.discard(part)
            for crash in self._crashes.values():
                crash.cleared.add(part)
        self._is_changed |= bool(cleared)
        return cleared

    def convict(self, convicted: list[frozenset[str]]) -> Conviction | None:
        """Find parts whose crashes no other part explains.

        :param convicted: parts that have been convicted; the crashes they explain do not count.
        """
        self._drop_old()
        if not self._is_changed and convicted == self._convicted_before:
            return None
        self._is_changed = False
        self._convicted_before = list(convicted)
        crashes_by_part = self._crashes_by_part(convicted)
        scores = {part: self._score(part, found) for part, found in crashes_by_part.items()}
        digests = {part for part, score in scores.items() if _is_digest(part) and score >= ENOUGH}
        candidates = {
            part: score
            for part, score in scores.items()
            if (part in digests if digests else not _is_digest(part))
        }
        best = max(candidates.values(), default=(0, 0))
        if best < ENOUGH:
            return None
        tied = sorted(part for part, score in candidates.items() if score == best)
        group = _parts_in_one_prompt(tied[0], tied, crashes_by_part)
        if len(group) < len(tied) and best[0] < MIN_EPISODES_AMBIGUOUS:
            return None
        explained = crashes_by_part[tied[0]]
        return Conviction(
            frozenset(group),
            tuple(crash.target for crash in explained),
            explained[-1].seen_s - explained[0].seen_s,
        )

    def _crashes_by_part(self, convicted: list[frozenset[str]]) -> dict[str, list[_Crash]]:
        """Crashes of each suspected part in the order of time.

        All crashes that one convicted digest explains count as one for the parts of its prompt.
        """
        found: dict[str, list[_Crash]] = defaultdict(list)
        latest: dict[tuple[str, frozenset[str]], _Crash] = {}
        settled_s = self._clock.monotonic_s() - SETTLE_S
        for crash in self._crashes.values():
            if crash.seen_s > settled_s:
                self._is_changed = True
                continue
            groups = [group for group in convicted if crash.has(group)]
            if not groups:
                for part in crash.open_parts():
                    found[part].append(crash)
            elif all(_is_digest(part) for group in groups for part in group):
                for group in groups:
                    latest |= {(part, group): crash for part in crash.open_parts_beside(group)}
        for (part, _), crash in latest.items():
            if crash not in found[part]:
                found[part].append(crash)
        for crashes in found.values():
            crashes.sort(key=lambda crash: crash.seen_s)
        return found

    def _score(self, part: str, crashes: list[_Crash]) -> tuple[int, int]:
        """Number of crashes that count singly, and of answers that had begun at them."""
        count = 0
        begin_s = float("-inf")
        for crash in crashes:
            if crash.seen_s - begin_s >= EPISODE_S or self._is_next_attempt(part, crash):
                count += 1
                begin_s = crash.seen_s
        answering = sum(crash.open_parts().get(part, False) for crash in crashes)
        return count, answering

    def _is_next_attempt(self, part: str, crash: _Crash) -> bool:
        """Whether a request crashed one target after the other, and no other target crashed then.

        A power failure takes targets to which the request had been sent before, or targets that did
        not have it.
        """
        return part in crash.resent and all(
            other.is_suspected(part)
            for other in self._crashes.values()
            if abs(other.seen_s - crash.seen_s) < EPISODE_S
        )

    def _drop_old(self) -> None:
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        old = [key for key, crash in self._crashes.items() if crash.seen_s < oldest_s]
        for key in old:
            del self._crashes[key]
        if old:
            self._open = set().union(*(crash.open_parts() for crash in self._crashes.values()))


def _is_digest(part: str) -> bool:
    return part.startswith(DIGEST_PREFIX)


def _parts_in_one_prompt(
    first: str, tied: list[str], crashes_by_part: dict[str, list[_Crash]]
) -> list[str]:
    """Those of the parts that were in one prompt with the first part at each of its crashes."""
    crashes = crashes_by_part[first]
    return [
        part
        for part in tied
        if crashes_by_part[part] == crashes
        and all(crash.occur_together(first, part) for crash in crashes)
    ]
