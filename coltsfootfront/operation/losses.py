"""Finds in the logs of routers which requests were late, failed or were refused, and why.

Each router writes one line when a request ends. The stage in which a request was lost follows from
its times and from the lines about its target and its router meanwhile.
"""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from http import HTTPStatus

from returns.maybe import Maybe, Nothing, Some

from coltsfootfront.common.errors import ErrorKind

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_ESCAPED = re.compile(r"\\(.)")
# A wait for a place takes up most of the time when it is longer than this share of the aim.
WAIT_SHARE = 0.5
# A line about a target or a router concerns a request that was under way this shortly before.
NEAR_S = 1.0
ANSWERED = "answered"
CALLER_LEFT = "caller_left"

# Refusals that are the caller's own doing.
_NOT_OWED = frozenset(
    kind.value
    for kind in (
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.BODY_TOO_LARGE,
    )
)
_REFUSALS = frozenset((ErrorKind.OVERLOADED.value, ErrorKind.NO_TARGET.value))


class Result(Enum):
    """How a request ended for its caller."""

    GOOD = "good"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"
    LEFT = "left"
    """The caller left while the answer could still have been in time."""


class Stage(Enum):
    """Where the time of a request went, or what ended it."""

    WEIGHTS = "waiting for weights"
    PART = "waiting for a part that is being read"
    PAUSE = "waiting for a target that wants no requests"
    PLACE = "waiting for a place"
    KNOWN_QUEUE = "queue that was expected"
    UNKNOWN_QUEUE = "first event later than expected"
    EVENTS = "pause between events"
    DARK_TARGET = "silent target"
    SECOND = "second attempt"
    BROKEN = "answer broke off"
    TARGET_ERROR = "target's own error"
    ROUTER = "router stopped or stood still"
    REFUSED = "refused"
    PLAIN = "slow plain target"


_WAITS = {"weights": Stage.WEIGHTS, "part": Stage.PART, "pause": Stage.PAUSE}


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :param at_s: Unix time in seconds.
    :param process: name of the process that wrote it.
    """

    at_s: float
    process: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float | None:
        """A number, None when the line does not have it."""
        text = self.fields.get(name)
        return None if text is None else float(text)


@dataclass(frozen=True, slots=True)
class Loss:
    """A request that was not answered well.

    :param at_s: Unix time at which it came.
    :param detail: reason that the router gave, empty for none.
    """

    request_id: str
    at_s: float
    route: str
    customer: str
    router: str
    target: str
    result: Result
    stage: Stage
    detail: str


@dataclass(slots=True)
class Losses:
    """What the logs say.

    :param results: number of requests by route and result.
    :param unreadable_lines: lines about ended requests that could not be read.
    :param left_out_lines: lines that routers left out of their logs, by their own count.
    """

    results: Counter[tuple[str, Result]] = field(default_factory=Counter)
    losses: list[Loss] = field(default_factory=list)
    unreadable_lines: int = 0
    left_out_lines: int = 0


def parse_line(text: str) -> Maybe[Line]:
    """Read one line; Nothing when it is not a line of a router's log."""
    fields = {name: _unquote(value) for name, value in _FIELD.findall(text)}
    try:
        at_s = datetime.fromisoformat(fields["time"]).timestamp()
        return Some(Line(at_s, fields["process"], fields["event"], fields))
    except (KeyError, ValueError):
        return Nothing


def find_losses(texts: Iterable[str]) -> Losses:
    """Find the requests that were late, failed or were refused.

    :param texts: lines of any number of routers, in any order between routers.
    """
    result = Losses()
    incidents = _Incidents()
    ended: list[Line] = []
    for text in texts:
        line = parse_line(text).value_or(None)
        if line is None:
            continue
        if line.event == "request_ended":
            ended.append(line)
        elif line.event == "log_lines_left_out":
            counts = re.findall(r":(\d+)", line.fields.get("counts", ""))
            result.left_out_lines += sum(int(count) for count in counts)
        else:
            incidents.note(line)
    for line in ended:
        try:
            _judge(line, incidents, result)
        except (KeyError, ValueError):
            result.unreadable_lines += 1
    result.losses.sort(key=lambda loss: loss.at_s)
    return result


class _Incidents:
    """What befell targets and routers, by name."""

    def __init__(self) -> None:
        self._dark: dict[str, list[float]] = {}
        self._stopped: dict[str, list[float]] = {}

    def note(self, line: Line) -> None:
        """Note a line that is not about the end of a request."""
        if line.event in ("target_dark", "target_suspected", "target_missing"):
            self._dark.setdefault(line.fields.get("target", ""), []).append(line.at_s)
        elif line.event in ("router_stopping", "router_stopped", "process_paused"):
            self._stopped.setdefault(line.process, []).append(line.at_s)

    def was_dark(self, target: str, from_s: float, to_s: float) -> bool:
        """Whether a target was found silent around a time."""
        return _is_any_within(self._dark.get(target, []), from_s, to_s)

    def was_stopped(self, router: str, from_s: float, to_s: float) -> bool:
        """Whether a router stopped or stood still around a time."""
        return _is_any_within(self._stopped.get(router, []), from_s, to_s)


def _is_any_within(times_s: list[float], from_s: float, to_s: float) -> bool:
    return any(from_s - NEAR_S <= at_s <= to_s + NEAR_S for at_s in times_s)


def _judge(line: Line, incidents: _Incidents, into: Losses) -> None:
    outcome = line.fields["outcome"]
    route = line.fields.get("route")
    if route is None or outcome in _NOT_OWED:
        return
    result = _result(line, outcome)
    into.results[route, result] += 1
    if result in (Result.GOOD, Result.LEFT):
        return
    loss = Loss(
        request_id=line.fields["id"],
        at_s=line.at_s - (line.number("took_s") or 0.0),
        route=route,
        customer=line.fields.get("customer", ""),
        router=line.process,
        target=line.fields.get("target", ""),
        result=result,
        stage=_stage(line, result, incidents),
        detail=line.fields.get("reason", ""),
    )
    into.losses.append(loss)


def _result(line: Line, outcome: str) -> Result:
    took_s, aim_s = _required(line, "took_s"), _required(line, "aim_s")
    if outcome == ANSWERED:
        if int(line.fields.get("status", 0)) >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Result.FAILED
        first_s = line.number("first_s")
        is_late = (took_s if first_s is None else first_s) > aim_s
        return Result.LATE if is_late or _has_paused(line) else Result.GOOD
    if outcome == CALLER_LEFT:
        has_begun = line.number("first_s") is not None
        return Result.LEFT if has_begun and not _has_paused(line) else _left_result(took_s, aim_s)
    if outcome in _REFUSALS:
        return Result.REFUSED
    return Result.FAILED


def _left_result(took_s: float, aim_s: float) -> Result:
    return Result.FAILED if took_s > aim_s else Result.LEFT


def _has_paused(line: Line) -> bool:
    pause_s, pause_aim_s = line.number("longest_pause_s"), line.number("pause_aim_s")
    return pause_s is not None and pause_aim_s is not None and pause_s > pause_aim_s


def _stage(line: Line, result: Result, incidents: _Incidents) -> Stage:
    target = line.fields.get("target", "")
    end_s = line.at_s
    begin_s = end_s - _required(line, "took_s")
    if result is Result.REFUSED:
        return Stage.REFUSED
    if incidents.was_stopped(line.process, begin_s, end_s):
        return Stage.ROUTER
    if result is Result.FAILED and incidents.was_dark(target, begin_s, end_s):
        return Stage.DARK_TARGET
    if int(line.fields.get("status", 0)) >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Stage.TARGET_ERROR
    if line.fields["outcome"] == ErrorKind.TARGET_FAILED.value:
        return Stage.BROKEN
    return _slow_stage(line)


def _slow_stage(line: Line) -> Stage:
    """Stage that took most of the time of a request that was too slow."""
    aim_s = _required(line, "aim_s")
    placed_s = line.number("placed_s")
    if placed_s is None or placed_s > WAIT_SHARE * aim_s:
        return _WAITS.get(line.fields.get("waited_for", ""), Stage.PLACE)
    if int(line.fields.get("sends", 0)) > 1:
        return Stage.SECOND
    first_s = line.number("first_s")
    if first_s is not None and first_s <= aim_s:
        return Stage.EVENTS
    if line.number("prompt_tokens") is None:
        return Stage.PLAIN
    expected_s = line.number("expected_s") or 0.0
    return Stage.KNOWN_QUEUE if placed_s + expected_s > aim_s else Stage.UNKNOWN_QUEUE


def _required(line: Line, name: str) -> float:
    number = line.number(name)
    if number is None:
        raise ValueError(f"no {name}")
    return number


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(lambda found: {"n": "\n"}.get(found[1], found[1]), value[1:-1])
