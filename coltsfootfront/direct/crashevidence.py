"""Finds the parts of prompts that crash the targets which answer them.

A part that crashes targets is among the unanswered requests of each target that it crashes, and no
target answers a request with it in between. Other requests are there by chance: their parts are
cleared by the next answer, or explain fewer of the crashes.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock

Parts = tuple[str, ...]

# Crashes within this time of each other may have one cause, such as a power failure, and count
# once.
EPISODE_S = 0.25
# Episodes after which a part is convicted. One or two coincidences with a rare part are likely
# where many targets crash for another reason.
MIN_EPISODES = 3
# Episodes after which one of several parts that fit equally well is convicted.
MIN_EPISODES_AMBIGUOUS = 4
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

    :param parts: keys of the shared parts of its prompt.
    :param is_answering: the head of the answer had arrived.
    """

    parts: Parts
    is_answering: bool


@dataclass(slots=True)
class _Crash:
    """Crash of one start of a target.

    :param seen_s: monotonic time of the first report.
    :param suspects: shared parts of each unanswered request, and whether its answer had begun.
    :param cleared: parts that a target has answered since.
    """

    target: str
    seen_s: float
    suspects: dict[Parts, bool] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def open_parts(self) -> dict[str, bool]:
        """Parts that have not been cleared, and whether an answer to one of them had begun."""
        found: dict[str, bool] = {}
        for parts, is_answering in self.suspects.items():
            for part in parts:
                if part not in self.cleared:
                    found[part] = found.get(part, False) or is_answering
        return found

    def occur_together(self, first: str, second: str) -> bool:
        """Whether one of the requests has both parts."""
        return any(first in parts and second in parts for parts in self.suspects)


@dataclass(frozen=True, slots=True)
class Conviction:
    """Parts that crash targets when they are in one prompt.

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

    __slots__ = ("_clock", "_crashes", "_open")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._open: set[str] = set()

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
        crash = self._crashes.setdefault(key, _Crash(name, self._clock.monotonic_s()))
        for suspect in suspects:
            if len(crash.suspects) < MAX_SUSPECTS_PER_CRASH or suspect.parts in crash.suspects:
                before = crash.suspects.get(suspect.parts, False)
                crash.suspects[suspect.parts] = before or suspect.is_answering
                self._open.update(suspect.parts)
        return is_new

    def record_answer(self, parts: Parts) -> list[str]:
        """Clear the parts of a prompt that a target answers.

        :returns: the parts that were suspected.
        """
        cleared = [part for part in parts if part in self._open]
        for part in cleared:
            self._open.discard(part)
            for crash in self._crashes.values():
                crash.cleared.add(part)
        return cleared

    def convict(self, convicted: list[frozenset[str]]) -> Conviction | None:
        """Find parts whose crashes no other part explains.

        :param convicted: parts that have been convicted; the crashes they explain do not count.
        """
        self._drop_old()
        settled_s = self._clock.monotonic_s() - SETTLE_S
        crashes_by_part: dict[str, list[_Crash]] = defaultdict(list)
        answering: dict[str, int] = defaultdict(int)
        for crash in self._crashes.values():
            if crash.seen_s > settled_s or _is_explained(crash, convicted):
                continue
            for part, is_answering in crash.open_parts().items():
                crashes_by_part[part].append(crash)
                answering[part] += is_answering
        scores = {
            part: (_count_episodes(found), answering[part])
            for part, found in crashes_by_part.items()
        }
        best = max(scores.values(), default=(0, 0))
        if best[0] < MIN_EPISODES:
            return None
        tied = sorted(part for part, score in scores.items() if score == best)
        group = _parts_in_one_prompt(tied[0], tied, crashes_by_part)
        if len(group) < len(tied) and best[0] < MIN_EPISODES_AMBIGUOUS:
            return None
        explained = crashes_by_part[tied[0]]
        return Conviction(
            frozenset(group),
            tuple(crash.target for crash in explained),
            explained[-1].seen_s - explained[0].seen_s,
        )

    def _drop_old(self) -> None:
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        old = [key for key, crash in self._crashes.items() if crash.seen_s < oldest_s]
        for key in old:
            del self._crashes[key]
        if old:
            self._open = set().union(*(crash.open_parts() for crash in self._crashes.values()))


def _is_explained(crash: _Crash, convicted: list[frozenset[str]]) -> bool:
    return any(group.issubset(parts) for group in convicted for parts in crash.suspects)


def _count_episodes(crashes: list[_Crash]) -> int:
    count = 0
    begin_s = float("-inf")
    for seen_s in sorted(crash.seen_s for crash in crashes):
        if seen_s - begin_s >= EPISODE_S:
            count += 1
            begin_s = seen_s
    return count


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
