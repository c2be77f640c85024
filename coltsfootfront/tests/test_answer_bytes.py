"""Tests of the bytes that callers get, against scripted targets over loopback."""

import asyncio
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from aiohttp.http import StreamWriter

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct.responserelay import ResponseRelay
from coltsfootfront.platform import callerserver
from coltsfootfront_dev.rawseries import CallerRequestPlan, Outcome, Path, RawHarness
from coltsfootfront_dev.scriptedtarget import (
    AnswerScript,
    Ending,
    Framing,
    Owner,
    Place,
    Script,
    SecondAnswer,
    stream_event,
)

FRAMINGS = (Framing.LENGTH, Framing.CHUNKED)


class AnswerBytesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = RawHarness()
        await self.harness.start()

    async def asyncTearDown(self) -> None:
        await self.harness.close()

    async def _exchange(self, path: Path, script: Script) -> Outcome:
        """Send one request, which each target answers by the script."""
        return await self.harness.exchange(CallerRequestPlan(path, [script, script]))

    async def test_control_character_in_a_head_causes_no_bytes_after_an_answer(self) -> None:
        """Guards against a second framing of the error that follows a head that cannot be sent."""
        for path in Path:
            for framing in FRAMINGS:
                for character in (b"\x01", b"\x1f", b"\x7f"):
                    with self.subTest(path=path, framing=framing, character=character):
                        line = b"X-A: b" + character
                        script = Script(AnswerScript(framing=framing, lines=(line,)))
                        outcome = await self._exchange(path, script)
                        self.assertEqual([], outcome.findings)
                        assert outcome.reply.answer is not None
                        self.assertEqual(502, outcome.reply.answer.status)

    async def test_head_of_a_second_answer_within_the_first_is_no_answer(self) -> None:
        """Guards against another answer's status, body or "not run" under a request's own id."""
        other_heads = (
            (b"X-Request-Id: ffffffffffffffff",),
            (b"X-Request-Id: ffffffffffffffff", b"X-Not-Executed: 1"),
            (b"X-Response-Signature: other",),
        )
        for path in Path:
            for lines in other_heads:
                with self.subTest(path=path, lines=lines):
                    lines = (b"X-A: bHTTP/1.1 503 Service Unavailable", *lines)
                    outcome = await self._exchange(path, Script(AnswerScript(lines=lines)))
                    self.assertEqual([], outcome.findings)
                    assert outcome.reply.answer is not None
                    self.assertEqual(502, outcome.reply.answer.status)
                    runs = self.harness.book.runs[outcome.request_id]
                    self.assertLessEqual(runs, 1 if path.runs_once else 2)

    async def test_second_answer_within_a_stream_without_framing_is_not_relayed(self) -> None:
        """Guards against bytes of a second answer within a stream that ends with its connection."""
        stream = AnswerScript(framing=Framing.CONNECTION, event_count=3)
        for path in (Path.LONG, Path.ASK):
            for owner in Owner:
                for framing in Framing:
                    # Within the head of the stream's last event, before it and after it.
                    for offset in (-40, -33, 0):
                        second = AnswerScript(framing=framing, event_count=6)
                        with self.subTest(path=path, owner=owner, framing=framing, offset=offset):
                            place = SecondAnswer(Place.AFTER, owner, second)
                            await self._check_no_foreign_bytes(path, stream, place, offset)

    async def _check_no_foreign_bytes(
        self, path: Path, stream: AnswerScript, second: SecondAnswer, offset: int
    ) -> None:
        if offset:
            second = replace(second, place=Place.WITHIN, offset=offset)
        script = Script(stream, second=second, ending=Ending.FIN)
        outcome = await self._exchange(path, script)
        answer = outcome.reply.answer
        assert answer is not None
        self.assertEqual([], outcome.reply.findings)
        if answer.status == 502:
            return
        events = b"".join(stream_event(outcome.request_id, number) for number in range(6))
        self.assertEqual(events[: len(answer.body)], answer.body)

    async def test_second_answer_within_a_body_without_framing_is_not_relayed(self) -> None:
        """Guards against a second answer at the end of a body that ends with its connection."""
        body = AnswerScript(framing=Framing.CONNECTION)
        for path in (Path.FILE, Path.LOOK):
            for place in (Place.AFTER, Place.LATE):
                for framing in Framing:
                    second = SecondAnswer(place, Owner.NONE, AnswerScript(framing=framing))
                    splits = (-300, -200, -150, -100, -50, -10)
                    script = Script(body, second=second, splits=splits, ending=Ending.FIN)
                    with self.subTest(path=path, place=place, framing=framing):
                        outcome = await self._exchange(path, script)
                        self.assertEqual([], outcome.findings)

    async def test_broken_framing_within_a_stream_ends_it_at_once(self) -> None:
        """Guards against callers that wait until their deadline for a stream that has ended."""
        second = SecondAnswer(Place.WITHIN, Owner.NONE, offset=-5)
        stream = AnswerScript(framing=Framing.CHUNKED)
        broken = Script(stream, second=second, ending=Ending.STALL)
        for path, status, last in ((Path.LONG, 502, broken), (Path.ASK, 200, Script(stream))):
            plan = CallerRequestPlan(path, [broken, last], deadline_ms=60_000)
            with self.subTest(path):
                outcome = await self.harness.exchange(plan)
                self.assertEqual([], outcome.findings)
                answer = outcome.reply.answer
                assert answer is not None
                self.assertEqual((status, True), (answer.status, answer.is_complete))

    async def test_status_that_the_protocol_does_not_have_is_not_relayed(self) -> None:
        """Guards against a status line that callers cannot read."""
        for path in Path:
            for status in (600, 777, 999):
                with self.subTest(path=path, status=status):
                    outcome = await self._exchange(path, Script(AnswerScript(status=status)))
                    self.assertEqual([], outcome.findings)
                    assert outcome.reply.answer is not None
                    self.assertEqual(502, outcome.reply.answer.status)

    async def test_transfer_encoding_that_was_not_requested_is_not_relayed(self) -> None:
        """Guards against chunk sizes within a body that is read until its connection ends."""
        for path in (Path.FILE, Path.LOOK):
            for coding in (b"gzip", b"identity"):
                with self.subTest(path=path, coding=coding):
                    line = b"Transfer-Encoding: " + coding
                    answer = AnswerScript(framing=Framing.CHUNKED, lines=(line,))
                    outcome = await self._exchange(path, Script(answer, ending=Ending.FIN))
                    self.assertEqual([], outcome.findings)
                    assert outcome.reply.answer is not None
                    self.assertEqual(502, outcome.reply.answer.status)

    async def test_header_name_that_is_no_token_is_not_relayed(self) -> None:
        """Guards against a second length, as in "Content-Length : 3", beside the router's own."""
        for path in Path:
            for status in (200, 204):
                for framing in Framing:
                    with self.subTest(path=path, status=status, framing=framing):
                        lines = (b"Content-Length : 3",)
                        answer = AnswerScript(status=status, framing=framing, lines=lines)
                        outcome = await self._exchange(path, Script(answer))
                        self.assertEqual([], outcome.findings)
                        assert outcome.reply.answer is not None
                        self.assertEqual(502, outcome.reply.answer.status)

    async def test_end_of_an_answer_is_written_once(self) -> None:
        """Guards against a second end when the target is lost while the caller reads slowly."""
        plan = CallerRequestPlan(Path.ASK, [Script(AnswerScript(framing=Framing.CHUNKED))] * 2)
        never = asyncio.Event()

        async def drain(writer: StreamWriter) -> None:
            if isinstance(writer.protocol, callerserver._CallerConnection):
                await never.wait()

        with mock.patch.object(StreamWriter, "drain", drain):
            exchange = asyncio.create_task(self.harness.exchange(plan))
            await self.harness.until(lambda: bool(self.harness.book.runs))
            await self.harness.until(lambda: b"0\r\n\r\n" in self.harness.caller.received)
            for target in self.harness.node._directory.all():
                target.cancel_exchanges(SystemClock().monotonic_s())
            outcome = await exchange
        self.assertEqual([], outcome.findings)
        self.assertEqual(1, self.harness.book.runs[outcome.request_id])

    async def test_error_of_a_resumable_route_is_not_resumed(self) -> None:
        """Guards against a second answer that follows an error's body that has begun."""
        error = AnswerScript(status=404, body_bytes=300_000)
        error_script = Script(error, splits=(280_000,), pause_s=0.1, ending=Ending.RST)
        error_script = replace(error_script, break_offset=290_000)
        plan = CallerRequestPlan(Path.ASK, [error_script, Script(AnswerScript())])
        outcome = await self.harness.exchange(plan)
        answer = outcome.reply.answer
        assert answer is not None
        self.assertEqual((404, False, []), (answer.status, answer.is_complete, outcome.findings))
        self.assertEqual(1, self.harness.book.runs[outcome.request_id])

    async def test_unexpected_error_before_an_answer_is_one_whole_answer(self) -> None:
        """Guards against an error that is not answered, or answered without the request's id."""
        error = LookupError("before the head")
        with mock.patch.object(ResponseRelay, "_begin_stream", side_effect=error):
            outcome = await self._exchange(Path.LONG, Script(AnswerScript()))
        answer = outcome.reply.answer
        assert answer is not None
        self.assertEqual((500, True), (answer.status, answer.is_complete))
        self.assertEqual([outcome.request_id], answer.values("X-Request-Id"))

    async def test_unexpected_error_within_an_answer_adds_no_second_one(self) -> None:
        """Guards against an error's answer that follows a head that was prepared or sent."""
        begin = ResponseRelay._begin_stream

        async def fail_after(*arguments: Any) -> None:
            await begin(*arguments)
            raise LookupError("after the head")

        with mock.patch.object(ResponseRelay, "_begin_stream", fail_after):
            outcome = await self._exchange(Path.LONG, Script(AnswerScript()))
        answer = outcome.reply.answer
        self.assertTrue(self.harness.caller.is_closed)
        self.assertEqual([], outcome.reply.findings)
        self.assertTrue(answer is None or not answer.is_complete)


if __name__ == "__main__":
    unittest.main()
