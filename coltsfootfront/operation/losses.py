"""Finds in router logs which requests were late, failed or were refused, and why.

A router writes one line when a request ends. The stage to which a loss is attributed follows from
the timings in that line and from lines about the same target or router at that time.
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
_ESCAPED = re.compile(r"\\(?:x([0-9a-f]{2})|u([0-9a-f]{4})|U([0-9a-f]{8})|(.))")
_ESCAPED_CHARACTERS = {"n": "\n", "r": "\r", "t": "\t"}
# Waiting for placement counts as the cause of a late response when it exceeds this share of the
# latency objective.
PLACEMENT_WAIT_SHARE = 0.5
# Incidents this long before a request began or after it ended still count as its cause.
INCIDENT_MARGIN_S = 1.0
ANSWERED = "answered"
CALLER_DISCONNECTED = "caller_left"

# Refusals that the caller is responsible for.
_CALLER_ERRORS = frozenset(
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


class RequestResult(Enum):
    """Result of a request from the caller's point of view."""

    GOOD = "good"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED_IN_TIME = "left"
    """The caller cancelled while the response could still have met its latency objective."""


class Stage(Enum):
    """What delayed or ended a request."""

    WEIGHTS_WAIT = "waiting for weights"
    PREFILL_WAIT = "waiting for a part that is being read"
    PAUSE_WAIT = "waiting for a target that wants no requests"
    LIMIT_WAIT = "waiting for a target's limit"
    PLACEMENT_WAIT = "waiting for a place"
    EXPECTED_QUEUE = "queue that was expected"
    UNEXPECTED_DELAY = "first event later than expected"
    STREAM_STALL = "pause between events"
    UNRESPONSIVE_TARGET = "silent target"
    RETRY = "second attempt"
    INCOMPLETE_RESPONSE = "answer broke off"
    TARGET_ERROR = "target's own error"
    ROUTER_STOPPED = "router stopped or stood still"
    REFUSED = "refused"
    SLOW_SERVICE = "slow plain target"


_WAITS = {
    "weights": Stage.WEIGHTS_WAIT,
    "part": Stage.PREFILL_WAIT,
    "pause": Stage.PAUSE_WAIT,
    "limit": Stage.LIMIT_WAIT,
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    :param at_s: Unix time in seconds.
    :param process: name of the process that wrote the line.
    """

    at_s: float
    process: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float | None:
        """Value of a numeric field, None when the line does not have it."""
        text = self.fields.get(name)
        return None if text is None else float(text)


@dataclass(frozen=True, slots=True)
class Loss:
    """A request that was late, failed or was refused.

    :param at_s: Unix time at which the request arrived.
    :param detail: reason that the router logged, empty for none.
    """

    request_id: str
    at_s: float
    route: str
    customer: str
    router: str
    target: str
    result: RequestResult
    stage: Stage
    detail: str


@dataclass(slots=True)
class LossAnalysis:
    """Results of all requests in the logs.

    :param results: number of requests by route and result.
    :param unreadable_lines: lines about ended requests that could not be parsed.
    :param left_out_lines: lines that routers dropped from their logs, as they logged it.
    """

    results: Counter[tuple[str, RequestResult]] = field(default_factory=Counter)
    losses: list[Loss] = field(default_factory=list)
    unreadable_lines: int = 0
    left_out_lines: int = 0


def parse_line(text: str) -> Maybe[LogLine]:
    """Parse one line; Nothing when it is not a line of a router's log."""
    fields = {name: _unquote(value) for name, value in _FIELD.findall(text)}
    try:
        at_s = datetime.fromisoformat(fields["time"]).timestamp()
        return Some(LogLine(at_s, fields["process"], fields["event"], fields))
    except (KeyError, ValueError):
        return Nothing


def find_losses(texts: Iterable[str]) -> LossAnalysis:
    """Find the requests that were late, failed or were refused.

    :param texts: log lines of any number of routers, in any order.
    """
    analysis = LossAnalysis()
    incidents = _Incidents()
    ended: list[LogLine] = []
    for text in texts:
        line = parse_line(text).value_or(None)
        if line is None:
            continue
        if line.event == "request_ended":
            ended.append(line)
        elif line.event == "log_lines_left_out":
            counts = re.findall(r":(\d+)", line.fields.get("counts", ""))
            analysis.left_out_lines += sum(int(count) for count in counts)
        else:
            incidents.record(line)
    for line in ended:
        try:
            _classify(line, incidents, analysis)
        except (KeyError, ValueError):
            analysis.unreadable_lines += 1
    analysis.losses.sort(key=lambda loss: loss.at_s)
    return analysis


class _Incidents:
    """Times of incidents by target and by router."""

    def __init__(self) -> None:
        self._unresponsive: dict[str, list[float]] = {}
        self._stopped: dict[str, list[float]] = {}

    def record(self, line: LogLine) -> None:
        """Record a line that reports an incident; ignore others."""
        if line.event in ("target_dark", "target_suspected", "target_missing"):
            self._unresponsive.setdefault(line.fields.get("target", ""), []).append(line.at_s)
        elif line.event in ("router_stopping", "router_stopped", "process_paused"):
            self._stopped.setdefault(line.process, []).append(line.at_s)

    def was_unresponsive(self, target: str, from_s: float, to_s: float) -> bool:
        """Whether a target was reported unresponsive around a period."""
        return _is_any_within(self._unresponsive.get(target, []), from_s, to_s)

    def was_stopped(self, router: str, from_s: float, to_s: float) -> bool:
        """Whether a router stopped or was paused around a period."""
        return _is_any_within(self._stopped.get(router, []), from_s, to_s)


def _is_any_within(times_s: list[float], from_s: float, to_s: float) -> bool:
    return any(from_s - INCIDENT_MARGIN_S <= at_s <= to_s + INCIDENT_MARGIN_S for at_s in times_s)


def _classify(line: LogLine, incidents: _Incidents, analysis: LossAnalysis) -> None:
    outcome = line.fields["outcome"]
    route = line.fields.get("route")
    if route is None or outcome in _CALLER_ERRORS:
        return
    result = _classify_result(line, outcome)
    analysis.results[route, result] += 1
    if result in (RequestResult.GOOD, RequestResult.CANCELLED_IN_TIME):
        return
    loss = Loss(
        request_id=line.fields["id"],
        at_s=line.at_s - (line.number("took_s") or 0.0),
        route=route,
        customer=line.fields.get("customer", ""),
        router=line.process,
        target=line.fields.get("target", ""),
        result=result,
        stage=_determine_stage(line, result, incidents),
        detail=line.fields.get("reason", ""),
    )
    analysis.losses.append(loss)


def _classify_result(line: LogLine, outcome: str) -> RequestResult:
    took_s, objective_s = _required_number(line, "took_s"), _required_number(line, "aim_s")
    if outcome == ANSWERED:
        if int(line.fields.get("status", 0)) >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return RequestResult.FAILED
        first_s = line.number("first_s")
        is_late = (took_s if first_s is None else first_s) > objective_s
        return RequestResult.LATE if is_late or _has_long_pause(line) else RequestResult.GOOD
    if outcome == CALLER_DISCONNECTED:
        has_begun = line.number("first_s") is not None
        return (
            RequestResult.CANCELLED_IN_TIME
            if has_begun and not _has_long_pause(line)
            else _result_after_cancel(took_s, objective_s)
        )
    if outcome in _REFUSALS:
        return RequestResult.REFUSED
    return RequestResult.FAILED


def _result_after_cancel(took_s: float, objective_s: float) -> RequestResult:
    return RequestResult.FAILED if took_s > objective_s else RequestResult.CANCELLED_IN_TIME


def _has_long_pause(line: LogLine) -> bool:
    pause_s, pause_objective_s = line.number("longest_pause_s"), line.number("pause_aim_s")
    return pause_s is not None and pause_objective_s is not None and pause_s > pause_objective_s


def _determine_stage(line: LogLine, result: RequestResult, incidents: _Incidents) -> Stage:
    target = line.fields.get("target", "")
    end_s = line.at_s
    begin_s = end_s - _required_number(line, "took_s")
    if result is RequestResult.REFUSED:
        return Stage.REFUSED
    if incidents.was_stopped(line.process, begin_s, end_s):
        return Stage.ROUTER_STOPPED
    if result is RequestResult.FAILED and incidents.was_unresponsive(target, begin_s, end_s):
        return Stage.UNRESPONSIVE_TARGET
    if int(line.fields.get("status", 0)) >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Stage.TARGET_ERROR
    if line.fields["outcome"] == ErrorKind.TARGET_FAILED.value:
        return Stage.INCOMPLETE_RESPONSE
    return _determine_slow_stage(line)


def _determine_slow_stage(line: LogLine) -> Stage:
    """Stage that accounts for most of the time of a slow request."""
    objective_s = _required_number(line, "aim_s")
    placed_s = line.number("placed_s")
    if placed_s is None or placed_s > PLACEMENT_WAIT_SHARE * objective_s:
        return _WAITS.get(line.fields.get("waited_for", ""), Stage.PLACEMENT_WAIT)
    if int(line.fields.get("sends", 0)) > 1:
        return Stage.RETRY
    first_s = line.number("first_s")
    if first_s is not None and first_s <= objective_s:
        return Stage.STREAM_STALL
    if line.number("prompt_tokens") is None:
        return Stage.SLOW_SERVICE
    expected_s = line.number("expected_s") or 0.0
    return Stage.EXPECTED_QUEUE if placed_s + expected_s > objective_s else Stage.UNEXPECTED_DELAY


def _required_number(line: LogLine, name: str) -> float:
    number = line.number(name)
    if number is None:
        raise ValueError(f"field {name} is missing")
    return number


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(_unescape, value[1:-1])


def _unescape(found: re.Match[str]) -> str:
    code = found[1] or found[2] or found[3]
    return chr(int(code, 16)) if code else _ESCAPED_CHARACTERS.get(found[4], found[4])
