"""Series of requests on one raw connection of a caller, before targets that answer as scripted.

``python -m coltsfootfront_dev.rawseries --seed S --seeds N`` runs the series of N seeds and prints
what is wrong with the answers.
"""

import argparse
import asyncio
import collections
import functools
import itertools
import json
import logging
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import logbook

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct.node import Node
from coltsfootfront.direct.responserelay import MAX_BUFFERED_BYTES
from coltsfootfront.platform import program, settings
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    ENGINE_SERVICE,
    HOST,
    PLAIN_SERVICE,
    PlatformFleet,
    settings_fields,
)
from coltsfootfront_dev.platformtarget import SIGNATURE_HEADER
from coltsfootfront_dev.rawcaller import Fault, Finding, RawAnswer, RawCaller, Reply
from coltsfootfront_dev.scriptedtarget import (
    AnswerScript,
    Ending,
    Framing,
    Owner,
    Place,
    Script,
    ScriptBook,
    ScriptedTarget,
    SecondAnswer,
    SentAnswer,
    stream_event,
)

WAIT_S = 20.0
# Time after the end of a request in which its log line is written.
LOG_WAIT_S = 3.0
POLL_S = 0.005
# A missing answer is a finding after this time.
ANSWER_TIMEOUT_S = 20.0
# Time for which a kept connection is watched for bytes after the end of an answer.
QUIET_S = 0.01
DEADLINE_MS = 800
STALL_DEADLINE_MS = 400
# Statuses of the router's own answers to proper requests.
ROUTER_STATUSES = frozenset((408, 429, 502, 503, 504))
# Statuses which promise that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Path(Enum):
    """Routes of the fleet's configuration."""

    LONG = "/long/"
    ASK = "/ask/"
    FILE = "/file/"
    LOOK = "/look/"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream."""
        return self in (Path.LONG, Path.ASK)

    @property
    def method(self) -> str:
        """Method of its requests."""
        return "GET" if self is Path.LOOK else "POST"

    @property
    def runs_once(self) -> bool:
        """Whether its requests may run once at most."""
        return self in (Path.LONG, Path.FILE)


class Manner(Enum):
    """How the caller behaves."""

    PLAIN = "reads the whole answer"
    SLOW_BODY = "sends the body in parts"
    LEAVE_AT_ONCE = "leaves when the request has arrived at a target"
    LEAVE_MIDWAY = "leaves within the answer"


@dataclass(slots=True)
class CallerRequestPlan:
    """One request of a series.

    :param scripts: what the targets do with it, for its first arrival, its second and so on.
    :param resume_after: number of the last event that the caller has; None to get all.
    :param upload_bytes: size of the body; 0 for a short one.
    """

    path: Path
    scripts: list[Script] = field(default_factory=list)
    manner: Manner = Manner.PLAIN
    deadline_ms: int = DEADLINE_MS
    resume_after: int | None = None
    upload_bytes: int = 0


@dataclass(slots=True)
class Outcome:
    """What became of one request."""

    request_id: str
    plan: CallerRequestPlan
    reply: Reply
    findings: list[Finding]


class _CallersLog(logging.Handler):
    """Keeps what aiohttp's server logs about requests that failed unexpectedly."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


class RawHarness:
    """A router before scripted targets, and one raw connection of a caller to it.

    :param target_count: scripted targets of each service.
    :param receive_buffer_bytes: see :class:`ScriptedTarget`.
    """

    def __init__(self, target_count: int = 2, receive_buffer_bytes: int = 0) -> None:
        self.book = ScriptBook()
        self.fleet = PlatformFleet(0, 0)
        self.targets = [
            ScriptedTarget(f"{kind}{number}", service, self.book, version, receive_buffer_bytes)
            for kind, service, version in (("p", PLAIN_SERVICE, None), ("e", ENGINE_SERVICE, 1))
            for number in range(target_count)
        ]
        self.node: Node
        self.caller: RawCaller
        self.loop_errors: list[str] = []
        self._callers_log = _CallersLog()
        self._log = logbook.TestHandler(level=logbook.INFO)
        self._ids = itertools.count()
        self._crashed: list[ScriptedTarget] = []
        self._outcomes: list[Outcome] = []

    async def start(self) -> None:
        """Start the fleet, the router and the caller."""
        asyncio.get_running_loop().set_exception_handler(self._record_loop_error)
        self._log.push_application()
        logging.getLogger("coltsfootfront.callers").addHandler(self._callers_log)
        await self.fleet.start()
        for target in self.targets:
            await target.start()
            target.on_scripted_crash = self._crashed.append
            self.fleet.register(target)
        fields = settings_fields("router-1", self.fleet.store.address, [])
        fields["bounds"]["retry-budget-slack"] = 100_000
        node_settings = settings.decode(fields, "test")
        self.node = program.make_node(node_settings, lambda: node_settings, random.Random(1))
        await self.node.start()
        self.caller = RawCaller(fields["listen"]["front"])
        await self.until(
            lambda: self.node.is_ready and len(self.node._directory.all()) >= len(self.targets)
        )

    async def close(self) -> None:
        """Stop everything."""
        self.caller.close()
        await self.node.close()
        for target in self.targets:
            await target.close()
        await self.fleet.close()
        logging.getLogger("coltsfootfront.callers").removeHandler(self._callers_log)
        self._log.pop_application()

    async def until(self, condition: Callable[[], bool], wait_s: float = WAIT_S) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if it does not in time.
        """
        async with asyncio.timeout(wait_s):
            while not condition():  # noqa: ASYNC110 - the awaited state has no event
                await asyncio.sleep(POLL_S)

    def encode_request(self, plan: CallerRequestPlan, request_id: str) -> tuple[bytes, bytes]:
        """Return head and body of a request."""
        lines = [
            f"{plan.path.method} {plan.path.value}a HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {plan.deadline_ms}",
            f"Authorization: Token {API_KEY}",
        ]
        body = b"" if plan.path is Path.LOOK else b"body of " + request_id.encode()
        if plan.upload_bytes:
            body = (body * (plan.upload_bytes // len(body) + 1))[: plan.upload_bytes]
        if plan.path.is_stream:
            lines += ["X-Model: m", "X-Token-Usage: 700,10", f"X-Prompt-Prefix: {request_id}:100"]
        if plan.resume_after is not None:
            lines.append(f"Last-Event-Id: {plan.resume_after}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode(), body

    async def exchange(self, plan: CallerRequestPlan) -> Outcome:
        """Send one request on the caller's connection and check what comes."""
        request_id = f"{next(self._ids):016x}"
        self.book.scripts[request_id] = list(plan.scripts)
        self._make_targets_usable()
        if self.caller.is_closed:
            await self.caller.start()
        await self._send(plan, request_id)
        if plan.manner is Manner.LEAVE_AT_ONCE:
            outcome = await self._leave(plan, request_id, 0)
        elif plan.manner is Manner.LEAVE_MIDWAY:
            outcome = await self._leave(plan, request_id, 20)
        else:
            reply = await self.caller.read_answer(request_id, ANSWER_TIMEOUT_S)
            findings = [*reply.findings, *self._check_answer(plan, request_id, reply)]
            if reply.answer is not None and reply.answer.is_last:
                self.caller.close()
            elif not findings:
                findings += await self.caller.check_quiet(request_id, QUIET_S)
            outcome = Outcome(request_id, plan, reply, findings)
        self._outcomes.append(outcome)
        await self._restart_crashed()
        return outcome

    async def _send(self, plan: CallerRequestPlan, request_id: str) -> None:
        head, body = self.encode_request(plan, request_id)
        if plan.manner is not Manner.SLOW_BODY:
            self.caller.send(head + body)
            return
        data = head + body
        for begin, end in itertools.pairwise((0, 7, len(head) - 1, len(head) + 3, len(data))):
            self.caller.send(data[begin:end])
            await asyncio.sleep(POLL_S)

    async def _leave(self, plan: CallerRequestPlan, request_id: str, after_bytes: int) -> Outcome:
        arrival = asyncio.create_task(self.book.wait_for_arrival(request_id))
        answer = asyncio.create_task(self.caller.wait_for_bytes(max(1, after_bytes), WAIT_S))
        try:
            waited = (answer,) if after_bytes else (answer, arrival)
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (arrival, answer):
                task.cancel()
            await asyncio.gather(arrival, answer, return_exceptions=True)
        self.caller.close()
        return Outcome(request_id, plan, Reply(), [])

    def _make_targets_usable(self) -> None:
        """Forget failures, so that the targets get requests again."""
        now_s = SystemClock().monotonic_s()
        for target in self.node._directory.all():
            target.record_success(now_s)
            target.suspended_until_s = target.paused_until_s = 0.0
            target.limit = None

    async def _restart_crashed(self) -> None:
        while self._crashed:
            target = self._crashed.pop()
            self.fleet.store.delete(f"servers/{target.name}")
            await target.restart()
            self.fleet.register(target)
            await self.until(functools.partial(self._knows, target.name))

    def _knows(self, name: str) -> bool:
        return self.node._directory.get(name) is not None

    def _check_answer(
        self, plan: CallerRequestPlan, request_id: str, reply: Reply
    ) -> list[Finding]:
        answer = reply.answer
        if answer is None:
            if reply.findings or request_id in self.book.arrivals or not self.node.is_ready:
                return []
            return [Finding(Fault.CLOSED_WITHOUT_ANSWER, request_id, plan.path.value)]
        checks = AnswerChecks(plan, request_id, answer, self.book.sent.get(request_id, []))
        return checks.run()

    async def check_end(self) -> list[Finding]:
        """Check the runs and the log lines of all requests once they have ended."""
        findings = []
        unlogged = {outcome.request_id for outcome in self._outcomes}
        try:
            await self.until(lambda: not unlogged.difference(self._logged_ids()), LOG_WAIT_S)
        except TimeoutError:
            unlogged -= self._logged_ids()
            findings += [
                Finding(
                    Fault.NO_LOG_LINE,
                    outcome.request_id,
                    f"arrivals {self.book.arrivals.get(outcome.request_id, 0)}, {outcome.plan}",
                )
                for outcome in self._outcomes
                if outcome.request_id in unlogged
            ]
        for outcome in self._outcomes:
            runs = self.book.runs.get(outcome.request_id, 0)
            path, answer = outcome.plan.path, outcome.reply.answer
            detail = f"{runs} runs, {path.value}, scripts {outcome.plan.scripts}"
            if path.runs_once and runs > 1:
                findings.append(Finding(Fault.TWICE, outcome.request_id, detail))
            is_refused = answer is not None and answer.status in NOT_RUN_STATUSES
            # The second answer of a target that rejects a GET may meet the same request again.
            if is_refused and runs and path is not Path.LOOK:
                findings.append(Finding(Fault.REFUSED_BUT_RAN, outcome.request_id, detail))
        errors = [*self._callers_log.lines, *self.loop_errors]
        return findings + [Finding(Fault.INTERNAL_ERROR, "", error) for error in errors]

    def _logged_ids(self) -> set[str]:
        ended = set()
        for record in self._log.records:
            message = record.message
            if message.startswith("event=request_ended"):
                ended.add(message.partition(" id=")[2].partition(" ")[0].strip('"'))
        return ended

    def _record_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.loop_errors.append(f"{context.get('message')}: {context.get('exception')!r}")


@dataclass(slots=True)
class AnswerChecks:
    """Compares an answer with what the targets sent for its request.

    :param sent: what the targets sent for the request.
    """

    plan: CallerRequestPlan
    request_id: str
    answer: RawAnswer
    sent: list[SentAnswer]

    def run(self) -> list[Finding]:
        """Return what is wrong."""
        answer = self.answer
        findings = []
        if answer.values("X-Request-Id") != [self.request_id]:
            findings.append(self._find(Fault.REQUEST_ID, answer.values("X-Request-Id")))
        has_signature = bool(answer.values(SIGNATURE_HEADER))
        if has_signature:
            findings += self._check_relayed()
        elif answer.status < 300:
            findings.append(self._find(Fault.SIGNATURE, answer.fields))
        elif any(sent.status == answer.status and sent.body == answer.body for sent in self.sent):
            pass
        elif answer.status == 500:
            findings.append(self._find(Fault.INTERNAL_ERROR, answer.body))
        elif answer.status not in ROUTER_STATUSES:
            findings.append(self._find(Fault.STATUS_DIFFERS, answer.body))
        return findings

    def _check_relayed(self) -> list[Finding]:
        answer = self.answer
        candidates = [sent for sent in self.sent if sent.status == answer.status]
        if not candidates:
            return [self._find(Fault.STATUS_DIFFERS, [sent.status for sent in self.sent])]
        if self.plan.path.is_stream and answer.status == 200:
            return self._check_events(candidates)
        if answer.is_complete:
            is_sent = any(sent.is_complete and sent.body == answer.body for sent in candidates)
        else:
            is_sent = any(sent.body.startswith(answer.body) for sent in candidates)
        detail = f"{len(answer.body)} bytes, {answer.body[:600]!r}"
        return [] if is_sent else [self._find(Fault.BODY, detail)]

    def _check_events(self, candidates: list[SentAnswer]) -> list[Finding]:
        body = self.answer.body
        begin = 0 if self.plan.resume_after is None else self.plan.resume_after + 1
        offset = 0
        for number in itertools.count(begin):
            event = stream_event(self.request_id, number)
            rest = body[offset : offset + len(event)]
            if rest != event:
                break
            offset += len(event)
        is_prefix = event.startswith(body[offset:])
        if not is_prefix or (self.answer.is_complete and offset < len(body)):
            return [self._find(Fault.EVENTS, body)]
        if not self.answer.is_complete:
            return []
        endings = [sent.body for sent in candidates if sent.is_complete]
        last_event = stream_event(self.request_id, number - 1) if number > begin else b""
        if any(
            ending.endswith(last_event) and bool(ending) == bool(last_event) for ending in endings
        ):
            return []
        # A stream that is resumed after its last event has nothing more to bring.
        if last_event and b"" in endings:
            return []
        return [self._find(Fault.EVENTS, body)]

    def _find(self, fault: Fault, detail: object) -> Finding:
        end = "complete" if self.answer.is_complete else "incomplete"
        text = f"{self.plan.path.value} {self.answer.status} ({end}): {detail!r:.700}"
        return Finding(fault, self.request_id, f"{text}; scripts {self.plan.scripts}")


class ScriptSource:
    """Draws the requests of a series.

    :param has_odd_heads: heads may have fields and statuses that must not be relayed.
    """

    def __init__(self, generator: random.Random, has_odd_heads: bool) -> None:
        self._generator = generator
        self._has_odd_heads = has_odd_heads

    def draw_plan(self) -> CallerRequestPlan:
        """Draw one request."""
        generator = self._generator
        path = generator.choice(tuple(Path))
        plan = CallerRequestPlan(path, [self._draw_script(path) for _ in range(2)])
        if any(
            script.ending is Ending.STALL or script.answer is None or script.answer.status < 200
            for script in plan.scripts
        ):
            plan.deadline_ms = STALL_DEADLINE_MS
        if generator.random() < 0.2:
            plan.manner = generator.choice(tuple(Manner))
        if path is Path.ASK and generator.random() < 0.1:
            plan.resume_after = generator.randrange(5)
        return plan

    def _draw_script(self, path: Path) -> Script:
        generator = self._generator
        answer = self._draw_answer(path)
        script = {"answer": answer, "interim": self._draw_interim()}
        script["pause_s"] = generator.choice((0.0, 0.0, 0.0, 0.001))
        if generator.random() < 0.4:
            count = generator.randrange(1, 6)
            script["splits"] = tuple(generator.randrange(2000) for _ in range(count))
        chance = generator.random()
        if chance < 0.2:
            script["break_offset"] = generator.randrange(700)
            script["ending"] = generator.choice((Ending.FIN, Ending.RST, Ending.RST))
            if generator.random() < 0.15:
                script["ending"] = Ending.STALL
            elif generator.random() < 0.1:
                script["ending"] = Ending.CRASH
        elif answer.framing is Framing.CONNECTION:
            script["ending"] = generator.choice((Ending.FIN, Ending.FIN, Ending.RST))
        elif answer.length_error_bytes > 0:
            script["ending"] = Ending.FIN
        elif chance < 0.23:
            script["ending"] = generator.choice((Ending.FIN, Ending.RST))
        script["is_early"] = generator.random() < 0.05
        if generator.random() < 0.45:
            script["second"] = self._draw_second(path, answer)
        return Script(**script)  # type: ignore[arg-type]

    def _draw_interim(self) -> bytes:
        if self._generator.random() >= 0.08:
            return b""
        return self._generator.choice(
            (
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n",
                b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                b"HTTP/1.1 100 Continue\r\n\r\n" * 3,
            )
        )

    def _draw_answer(self, path: Path) -> AnswerScript:
        generator = self._generator
        status = 200
        if generator.random() < 0.25:
            status = generator.choice((204, 304, 404, 500, 503, 421, 201, 206, 400, 429, 599))
        if self._has_odd_heads and generator.random() < 0.04:
            status = generator.choice((600, 700, 999, 101, 199))
        framing = generator.choice(
            (Framing.LENGTH, Framing.CHUNKED, Framing.CHUNKED, Framing.CONNECTION)
        )
        sizes = (0, 1, 40, 40, 40, 5000, 70_000, 300_000)
        answer: dict[str, Any] = {
            "status": status,
            "framing": framing,
            "body_bytes": generator.choice(sizes),
            "event_count": generator.choice((0, 1, 2, 6, 6, 6, 20, 400)),
            "chunk_bytes": generator.choice((0, 0, 1 + generator.randrange(100))),
            "is_not_executed": status in (503, 429),
        }
        if answer["body_bytes"] > 5000:
            answer["chunk_bytes"] = 0
        if generator.random() < 0.05:
            answer["missing_event"] = 1 + generator.randrange(5)
        if framing is Framing.LENGTH and generator.random() < 0.08:
            answer["length_error_bytes"] = generator.choice((-30, -5, -1, 1, 5, 30))
        if framing is Framing.CHUNKED:
            answer |= self._draw_chunk_fields()
        answer["has_signature"] = generator.random() >= 0.02
        if generator.random() < 0.15:
            answer["lines"] = generator.choice(PLAIN_LINES)
        if self._has_odd_heads and generator.random() < 0.15:
            answer["lines"] = generator.choice(ODD_LINES)
        if self._has_odd_heads and generator.random() < 0.02:
            answer["framing"] = Framing.BOTH
        return AnswerScript(**answer)

    def _draw_chunk_fields(self) -> dict[str, Any]:
        generator = self._generator
        fields: dict[str, Any] = {}
        if generator.random() < 0.1:
            fields["chunk_extension"] = generator.choice((b";a=b", b' ;a="b"', b";" + b"a" * 50))
        if generator.random() < 0.1:
            fields["trailers"] = generator.choice(
                ((b"X-A: b",), (b"X-Request-Id: other", b"Content-Length: 3"))
            )
        return fields

    def _draw_second(self, path: Path, answer: AnswerScript) -> SecondAnswer:
        generator = self._generator
        place = generator.choice(tuple(Place))
        owner = generator.choice((Owner.SAME, Owner.PREVIOUS, Owner.PREVIOUS, Owner.NONE))
        status = generator.choice((200, 200, 200, 204, 304, 404, 500, 503, 421, 206))
        if owner is Owner.SAME and place in (Place.ON_HEAD, Place.BEFORE, Place.WITHIN):
            # A target that says of a request which it runs that it has not run cannot be found out.
            status = generator.choice((200, 404, 500))
            if place is Place.WITHIN:
                # Nor can an answer whose status line is that of the other one.
                place, status = (
                    (place, answer.status)
                    if answer.status in (200, 404, 500)
                    else (Place.AFTER, 200)
                )
        framings = [Framing.LENGTH, Framing.CHUNKED]
        if place not in (Place.ON_HEAD, Place.BEFORE, Place.WITHIN):
            framings.append(Framing.CONNECTION)
        second = AnswerScript(
            status=status,
            framing=generator.choice(framings),
            body_bytes=generator.choice((0, 40, 400)),
            event_count=generator.choice((1, 6, 10)),
            is_not_executed=status in (503, 429),
        )
        offset = generator.randrange(600)
        has_plain_body = not path.is_stream or answer.status != 200
        has_end = answer.framing is Framing.CHUNKED or (
            answer.framing is Framing.LENGTH and answer.length_error_bytes <= 0
        )
        is_checked = answer.framing is Framing.CHUNKED and answer.body_bytes <= MAX_BUFFERED_BYTES
        if has_plain_body and place is Place.WITHIN and not is_checked:
            # Within a body that has no structure the bytes cannot be told from it, nor in time
            # within the chunks of one that is relayed as it comes.
            offset = generator.randrange(30)
        if has_plain_body and place is Place.AFTER and not has_end:
            place = Place.ON_NEXT
        return SecondAnswer(place, owner, second, offset, generator.choice((0.0, 0.002, 0.01)))


PLAIN_LINES: tuple[tuple[bytes, ...], ...] = (
    (b"Date: Sat, 05 Dec 2026 00:00:00 GMT", b"Server: x"),
    (b"Content-Type: text/event-stream", b"Content-Type: text/plain"),
    (b"Keep-Alive: timeout=5",),
    (b"Connection: close",),
    (b"Connection: keep-alive, X-A", b"X-A: b"),
    (b"Trailer: X-Request-Id",),
    (b"Upgrade: h2c", b"Connection: Upgrade"),
    (b"Set-Cookie: a=b; Path=/", b"Set-Cookie: c"),
    (b'Set-Cookie: =;;;=,\xc3\xa9"',),
    (b"X-Weight-Versions: 1", b"X-Server-Load: 3,0,8"),
    (b"X-Empty:", b"X-Spaces:   a  "),
    (b"X-Long: " + b"a" * 9000,),
    tuple(b"X-%d: a" % number for number in range(60)),
)
ODD_LINES: tuple[tuple[bytes, ...], ...] = (
    (b"X-A: a\x01b",),
    (b"X-A: a\x7fb",),
    (b"X-A: a\x00b",),
    (b"X-A: a\xffb",),
    (b"X-A: a\xc3\xa9b",),
    (b"X-A: a\rb",),
    (b"X-A: a\nX-B: b",),
    (b"X-A: a", b" folded"),
    (b"X A: b",),
    (b"X-A : b",),
    (b": b",),
    (b"no colon",),
    (b"X-\xff: b",),
    (b"X-(a): b",),
    (b"Content-Encoding: gzip",),
    (b"Content-Encoding: identity",),
    (b"X-Request-Id: other",),
    (b"Content-Length: 3",),
    (b"Content-Length : 3",),
    (b"Transfer-Encoding: gzip",),
    (b"Transfer-Encoding: identity",),
    (b"X-Weight-Versions: \xc2\xb2",),
    (b"X-Weight-Versions: " + b"9" * 5000,),
    (b"X-Server-Load: \xc2\xb2,0,8",),
    (b"X-Server-Load: " + b"9" * 400 + b",0,8",),
    (b"X-Server-Load: " + b"9" * 5000 + b",0,8",),
    (b"Retry-After: " + b"9" * 5000,),
    (b"Server-Limit: 1e400",),
    (b"X-Long: " + b"a" * 70_000,),
    tuple(b"X-%d: a" % number for number in range(150)),
)


@dataclass(slots=True)
class SeriesResult:
    """Result of one series.

    :param answers: number of complete answers of each status; 0 stands for an answer that is
        missing or incomplete.
    """

    findings: list[Finding]
    answers: collections.Counter[int]


async def run_series(
    seed: int, requests: int, has_odd_heads: bool = False, drains: bool = False
) -> SeriesResult:
    """Run one series.

    :param requests: number of requests.
    :param drains: the router is stopped as planned during the series, which ends with the
        caller's connection.
    """
    generator = random.Random(seed)
    source = ScriptSource(generator, has_odd_heads)
    harness = RawHarness()
    result = SeriesResult([], collections.Counter())
    drain: asyncio.Task[None] | None = None
    drain_at = generator.randrange(requests // 2) if drains else requests
    await harness.start()
    try:
        for number in range(requests):
            if number == drain_at:
                drain = asyncio.create_task(harness.node.drain())
                await harness.until(lambda: not harness.node.is_ready)
            if drain is not None and harness.caller.is_closed:
                break
            outcome = await harness.exchange(source.draw_plan())
            answer = outcome.reply.answer
            is_complete = answer is not None and answer.is_complete
            result.answers[answer.status if answer is not None and is_complete else 0] += 1
            result.findings += outcome.findings
        harness.caller.close()
        if drain is not None:
            await drain
        result.findings += await harness.check_end()
    finally:
        await harness.close()
    return result


def main() -> int:
    """Run the series of the given seeds.

    :returns: exit status, 0 when nothing is wrong.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--requests", type=int, default=100)
    parser.add_argument("--odd-heads", action="store_true")
    parser.add_argument("--drains", action="store_true")
    arguments = parser.parse_args()
    is_sound = True
    answers: collections.Counter[int] = collections.Counter()
    faults: collections.Counter[str] = collections.Counter()
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        result = asyncio.run(
            run_series(seed, arguments.requests, arguments.odd_heads, arguments.drains)
        )
        answers += result.answers
        faults.update(finding.fault.name for finding in result.findings)
        for finding in result.findings:
            is_sound = False
            print(f"seed {seed}: {finding}", flush=True)
    print(json.dumps({"answers": dict(answers), "findings": dict(faults)}))
    return 0 if is_sound else 1


if __name__ == "__main__":
    sys.exit(main())
