"""Tests of the command that analyses router logs for lost requests."""

import json
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from coltsfootfront.common.logs import event
from coltsfootfront.operation import losses, lossreport
from coltsfootfront.operation.losses import RequestResult, Stage
from coltsfootfront.tests.test_cli import CommandTestCase

COMPLETED_REQUEST_FIELDS: dict[str, Any] = {
    "id": "r1",
    "route": "long",
    "customer": "c1",
    "target": "t1",
    "outcome": "answered",
    "status": 200,
    "sends": 1,
    "aim_s": 0.8,
    "placed_s": 0.001,
    "first_s": 0.3,
    "expected_s": 0.2,
    "prompt_tokens": 5000,
    "took_s": 0.5,
}


def log_line(name: str, at_s: float = 10.0, process: str = "router-1", **fields: Any) -> str:
    """One line of a router's log."""
    stamp = f"time=2026-12-04T10:00:{at_s:09.6f}Z level=INFO process={process} module=m"
    return f"{stamp} {event(name, **fields)}\n"


def request_ended_line(**fields: Any) -> str:
    """The log line of a request that ended; ``fields`` override ``COMPLETED_REQUEST_FIELDS``."""
    at_s = fields.pop("at_s", 10.0)
    process = fields.pop("process", "router-1")
    return log_line("request_ended", at_s, process, **(COMPLETED_REQUEST_FIELDS | fields))


class StageTest(unittest.TestCase):
    """Guards against a lost request that counts as good or is attributed to a wrong cause."""

    def check(self, result: RequestResult, stage: Stage | None, *lines: str) -> None:
        found = losses.find_losses(lines)
        self.assertEqual(dict(found.results), {("long", result): 1})
        self.assertEqual([loss.stage for loss in found.losses], [stage] if stage else [])
        self.assertEqual(found.unreadable_lines, 0)

    def test_stages(self) -> None:
        late = {"first_s": 1.2, "took_s": 1.5}
        lost = {"first_s": None, "outcome": "caller_left", "took_s": 3.2, "status": 0}
        stopped = log_line("router_stopping", 9.0)
        paused = log_line("process_paused", 9.5, paused_s=2.0)
        unreachable = log_line("target_dark", 9.0, target="t1")
        cases: list[tuple[RequestResult, Stage | None, tuple[str, ...]]] = [
            (RequestResult.GOOD, None, (request_ended_line(),)),
            (RequestResult.LATE, Stage.UNEXPECTED_DELAY, (request_ended_line(**late),)),
            (
                RequestResult.LATE,
                Stage.EXPECTED_QUEUE,
                (request_ended_line(**late, expected_s=0.9),),
            ),
            (
                RequestResult.LATE,
                Stage.WEIGHTS_WAIT,
                (request_ended_line(**late, placed_s=0.5, waited_for="weights"),),
            ),
            (
                RequestResult.LATE,
                Stage.PREFILL_WAIT,
                (request_ended_line(**late, placed_s=0.5, waited_for="part"),),
            ),
            (
                RequestResult.LATE,
                Stage.PAUSE_WAIT,
                (request_ended_line(**late, placed_s=0.5, waited_for="pause"),),
            ),
            (
                RequestResult.LATE,
                Stage.LIMIT_WAIT,
                (request_ended_line(**late, placed_s=0.5, waited_for="limit"),),
            ),
            (RequestResult.LATE, Stage.PLACEMENT_WAIT, (request_ended_line(**late, placed_s=0.5),)),
            (RequestResult.LATE, Stage.RETRY, (request_ended_line(**late, sends=2),)),
            (
                RequestResult.LATE,
                Stage.STREAM_STALL,
                (request_ended_line(longest_pause_s=0.5, pause_aim_s=0.4),),
            ),
            (
                RequestResult.LATE,
                Stage.SLOW_SERVICE,
                (request_ended_line(first_s=None, prompt_tokens=None, took_s=1.0),),
            ),
            (RequestResult.LATE, Stage.ROUTER_STOPPED, (request_ended_line(**late), paused)),
            (RequestResult.FAILED, Stage.UNEXPECTED_DELAY, (request_ended_line(**lost),)),
            (
                RequestResult.FAILED,
                Stage.UNRESPONSIVE_TARGET,
                (unreachable, request_ended_line(**lost)),
            ),
            (
                RequestResult.FAILED,
                Stage.ROUTER_STOPPED,
                (unreachable, stopped, request_ended_line(**lost)),
            ),
            (
                RequestResult.FAILED,
                Stage.TARGET_ERROR,
                (request_ended_line(first_s=None, status=500),),
            ),
            (
                RequestResult.FAILED,
                Stage.INCOMPLETE_RESPONSE,
                (request_ended_line(outcome="target_failed", status=0),),
            ),
            (
                RequestResult.REFUSED,
                Stage.REFUSED,
                (request_ended_line(outcome="overloaded", first_s=None),),
            ),
            (
                RequestResult.CANCELLED_IN_TIME,
                None,
                (request_ended_line(outcome="caller_left", took_s=0.4, first_s=None),),
            ),
            (RequestResult.CANCELLED_IN_TIME, None, (request_ended_line(outcome="caller_left"),)),
        ]
        for result, stage, lines in cases:
            with self.subTest(result=result, stage=stage):
                self.check(result, stage, *lines)

    def test_incidents_elsewhere_are_not_the_cause(self) -> None:
        lost = request_ended_line(first_s=None, outcome="caller_left", took_s=3.2, status=0)
        self.check(
            RequestResult.FAILED,
            Stage.UNEXPECTED_DELAY,
            log_line("target_dark", 10.0, target="t2"),
            log_line("router_stopping", 10.0, process="router-2"),
            log_line("target_dark", 30.0, target="t1"),
            lost,
        )

    def test_caller_errors_are_not_counted(self) -> None:
        found = losses.find_losses(
            [request_ended_line(outcome="not_found"), request_ended_line(outcome="unauthenticated")]
        )
        self.assertEqual((dict(found.results), found.losses), ({}, []))


class ReadingTest(unittest.TestCase):
    """Guards against silently ignored gaps or unreadable lines in a log."""

    def test_unreadable_lines_and_gaps_are_counted(self) -> None:
        found = losses.find_losses(
            [
                "no line of a log\n",
                "time=yesterday process=p event=request_ended\n",
                request_ended_line(took_s="soon"),
                request_ended_line(),
                log_line("log_lines_left_out", counts="request_ended:12,target_lost:3"),
            ]
        )
        self.assertEqual(found.unreadable_lines, 1)
        self.assertEqual(found.left_out_lines, 15)
        self.assertEqual(sum(found.results.values()), 1)
        text = "\n".join(lossreport.as_text(found))
        self.assertIn("1 ended requests could not be read", text)
        self.assertIn("15 lines were left out", text)

    @given(st.text(), st.text())
    def test_logged_fields_are_parsed_back(self, reason: str, customer: str) -> None:
        written = log_line("request_ended", reason=reason, customer=customer).rstrip("\n")
        read = losses.parse_line(written).unwrap().fields
        self.assertEqual((read["reason"], read["customer"]), (reason, customer))

    def test_losses_are_counted_by_second_and_over_all_routers(self) -> None:
        lines = [
            request_ended_line(at_s=10.5, process="router-1", first_s=1.0, took_s=1.2),
            request_ended_line(
                at_s=10.9, process="router-2", outcome="deadline_exceeded", took_s=0.9
            ),
            request_ended_line(
                at_s=13.0, process="router-2", first_s=1.0, took_s=1.0, customer="c2"
            ),
        ]
        found = losses.find_losses(lines)
        text = lossreport.as_text(found)
        bars = text[text.index("by second (# lost, - late)") + 1 :]
        self.assertEqual(
            [bar.split()[1:] for bar in bars], [["1", "-"], ["1", "#"], ["0"], ["1", "-"]]
        )
        self.assertIn("      2  router-2", text)
        self.assertIn("      2  c1", text)


class CommandTest(CommandTestCase):
    """Guards against unusable input handling or error output of the command."""

    def test_files_and_standard_input_give_the_same(self) -> None:
        one, two = request_ended_line(first_s=1.0, took_s=1.1), request_ended_line(
            id="r2", outcome="deadline_exceeded"
        )
        files = [str(self.write("one.log", one)), str(self.write("two.log", two))]
        from_files = self.run_main("losses", "--json", *files)
        from_input = self.run_main("losses", "--json", stdin=one + two)
        self.assertEqual(from_files, from_input)
        found = json.loads(from_files[1])
        self.assertEqual([loss["id"] for loss in found["losses"]], ["r1", "r2"])
        self.assertEqual(self.run_main("losses", *files)[0], 0)

    def test_missing_file_is_reported_in_one_line(self) -> None:
        missing = str(Path(self.folder) / "missing.log")
        code, _, err = self.run_main("losses", missing)
        self.assertEqual((code, err.count("\n")), (2, 1))
        self.assertIn("missing.log", err)
