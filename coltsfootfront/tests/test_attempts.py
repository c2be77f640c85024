"""Tests of the response buffers of attempts."""

import asyncio
import unittest
from unittest import mock

import logbook

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Accepted, Chunk, End, Fail, Head, Message, encode
from coltsfootfront.targets.attempts import MAX_TOMBSTONES, AttemptRegistry
from coltsfootfront.tests.support import ManualClock, run_ready_tasks


class ReceiverStub:
    """Router's end of a connection that breaks after ``limit`` messages."""

    def __init__(self, limit: int = 10**6) -> None:
        self.messages: list[Message] = []
        self._limit = limit

    async def send(self, message: Message) -> None:
        if len(self.messages) >= self._limit:
            raise ConnectionLostError("cut")
        self.messages.append(message)

    @property
    def text(self) -> bytes:
        return b"".join(item.data for item in self.messages if isinstance(item, Chunk))


class AttemptRegistryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.attempts = AttemptRegistry(self.clock, 15.0, 10, 1000)
        self.deadline_s = self.clock.unix_s() + 60

    def tearDown(self) -> None:
        self.attempts.close()

    async def test_messages_of_a_complete_response(self) -> None:
        """Guards against a response that the router cannot check for completeness."""
        attempt = self.attempts.open(("r", 1), self.deadline_s)
        receiver = ReceiverStub()
        attempt.attach(receiver, receiver.send, 7)
        attempt.accept("e1")
        attempt.start_response(200, [["a", "b"]])
        attempt.append(b"one", 1)
        attempt.append(b"two", 2)
        attempt.finish("stop", {"prompt_tokens": 3})
        await run_ready_tasks()
        expected = [
            Accepted(7, 1, "e1"),
            Head(7, 1, 200, [["a", "b"]]),
            Chunk(7, 1, 0, 0, b"one", 1),
            Chunk(7, 1, 1, 3, b"two", 2),
            End(7, 1, 2, 6, "stop", {"prompt_tokens": 3}),
        ]
        self.assertEqual(expected, receiver.messages)
        self.assertEqual(0, self.attempts.undelivered())

    async def test_a_slow_reader_stops_only_its_own_stream(self) -> None:
        """Guards against one slow caller that blocks the other streams of a connection."""
        slow = self.attempts.open(("slow", 1), self.deadline_s)
        quick = self.attempts.open(("quick", 1), self.deadline_s)
        receivers = ReceiverStub(), ReceiverStub()
        for attempt, receiver in zip((slow, quick), receivers, strict=True):
            attempt.attach(receiver, receiver.send, 1)
            attempt.accept("e1")
            attempt.start_response()
            for _ in range(10):
                attempt.append(b"abcd")
            attempt.finish()
        for offset in range(0, 41, 4):
            quick.acknowledge(offset)
            await run_ready_tasks()
        self.assertEqual(12, len(receivers[0].text), "chunks start within the window of 10 bytes")
        self.assertIsInstance(receivers[1].messages[-1], End)
        slow.acknowledge(40)
        await run_ready_tasks()
        self.assertEqual(40, len(receivers[0].text))

    async def test_resume_after_a_lost_connection_at_any_message(self) -> None:
        """Guards against lost, duplicated or reordered text after a lost connection."""
        for limit in range(0, 9):
            with self.subTest(messages=limit):
                attempt = self.attempts.open((f"r{limit}", 1), self.deadline_s)
                first, second = ReceiverStub(limit), ReceiverStub()
                attempt.attach(first, first.send, 1)
                attempt.accept("e1")
                attempt.start_response()
                for number in range(5):
                    attempt.append(b"%d" % number)
                    await run_ready_tasks(3)
                attempt.finish()
                await run_ready_tasks()
                received = sum(isinstance(item, Chunk) for item in first.messages)
                attempt.attach(second, second.send, 2, received)
                await run_ready_tasks()
                self.assertEqual(b"01234", first.text + second.text)
                last = second.messages[-1]
                assert isinstance(last, End)
                self.assertEqual((5, 5), (last.chunks, last.total_bytes))

    async def test_nothing_follows_the_end(self) -> None:
        """Guards against text or a successful end after a failure."""
        attempt = self.attempts.open(("r", 1), self.deadline_s)
        receiver = ReceiverStub()
        attempt.attach(receiver, receiver.send, 1)
        attempt.accept("e1")
        attempt.start_response()
        attempt.fail(Failure(ErrorKind.ENGINE_FAILED, "", ExecutionState.UNKNOWN))
        attempt.append(b"late")
        attempt.finish()
        await run_ready_tasks()
        last = receiver.messages[-1]
        assert isinstance(last, Fail)
        self.assertEqual(("engine_failed", "unknown"), (last.kind, last.run))
        self.assertEqual(b"", receiver.text)

    async def test_a_message_that_cannot_be_sent_fails_the_response(self) -> None:
        """Guards against a router that waits for a response that no longer comes."""
        failure = Failure(ErrorKind.TARGET_FAILED, "\ud800", ExecutionState.UNKNOWN)
        for name, headers in (("head", [["X-A", "\udcff"]]), ("failure", [])):
            with self.subTest(name):
                attempt = self.attempts.open((name, 1), self.deadline_s)
                receiver = ReceiverStub()

                async def send(message: Message, receiver: ReceiverStub = receiver) -> None:
                    encode(message, 1)
                    await receiver.send(message)

                attempt.attach(receiver, send, 7)
                attempt.accept("e1")
                attempt.start_response(200, headers)
                attempt.fail(failure)
                with logbook.TestHandler().applicationbound() as records:
                    await run_ready_tasks()
                last = receiver.messages[-1]
                assert isinstance(last, Fail)
                self.assertEqual(("internal", "unknown"), (last.kind, last.run))
                lines = records.formatted_records
                self.assertTrue(any("event=response_failed" in line for line in lines))

    async def test_response_size_is_limited(self) -> None:
        """Guards against a response that exhausts the agent's memory."""
        attempt = self.attempts.open(("r", 1), self.deadline_s)
        attempt.append(b"a" * 900)
        with self.assertRaises(FailureError) as caught:
            attempt.append(b"a" * 200)
        self.assertIs(ExecutionState.UNKNOWN, caught.exception.failure.execution_state)

    async def test_recorded_attempts_do_not_run_again(self) -> None:
        """Guards against running an attempt again after its execution state was reported."""
        self.assertIs(ExecutionState.NOT_RUN, self.attempts.add_tombstone(("late", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.attempts.recorded_execution_state(("late", 1)))
        for key, forwarded in (("ran", True), ("queued", False)):
            attempt = self.attempts.open((key, 1), self.deadline_s, idempotent=False)
            attempt.forwarded = forwarded
            attempt.finish()
        self.clock.advance(16)
        self.attempts.expire()
        self.assertIsNone(self.attempts.get(("ran", 1)))
        self.assertIs(ExecutionState.UNKNOWN, self.attempts.recorded_execution_state(("ran", 1)))
        self.assertIs(ExecutionState.UNKNOWN, self.attempts.add_tombstone(("ran", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.attempts.recorded_execution_state(("queued", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.attempts.recorded_execution_state(("late", 1)))
        self.clock.advance(3600)
        self.attempts.expire()
        self.assertIsNone(
            self.attempts.recorded_execution_state(("late", 1)), "its deadline has passed by now"
        )

    async def test_refused_attempts_leave_no_records(self) -> None:
        """Guards against refusals that fill the agent's records and cause further refusals."""
        receiver = ReceiverStub()
        for number in range(100):
            attempt = self.attempts.open((str(number), 1), self.deadline_s)
            attempt.attach(receiver, receiver.send, number)
            attempt.fail(Failure(ErrorKind.OVERLOADED))
        await run_ready_tasks()
        self.attempts.expire()
        self.assertEqual((0, 0), (len(self.attempts._attempts), len(self.attempts._past_attempts)))
        self.assertTrue(self.attempts.has_room())

    async def test_full_tombstone_table_reports_unknown(self) -> None:
        """Guards against reporting ``not_run`` when no tombstone can be stored."""
        for number in range(MAX_TOMBSTONES):
            self.attempts.add_tombstone((str(number), 1))
        self.assertIs(ExecutionState.UNKNOWN, self.attempts.add_tombstone(("one more", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.attempts.add_tombstone(("1", 1)))

    async def test_evicted_execution_states_are_reported_as_unknown(self) -> None:
        """Guards against a wrong ``not_run`` for an attempt whose execution state was evicted."""
        with mock.patch("coltsfootfront.targets.attempts.MAX_PAST_ATTEMPTS", 4):
            for number in range(6):
                attempt = self.attempts.open((str(number), 1), self.deadline_s)
                attempt.forwarded = True
                attempt.finish()
                self.clock.advance(16)
                self.attempts.expire()
        for number in range(6):
            self.assertIs(ExecutionState.UNKNOWN, self.attempts.add_tombstone((str(number), 1)))
        self.clock.advance(900)
        self.assertIs(ExecutionState.NOT_RUN, self.attempts.add_tombstone(("never came", 1)))

    async def test_abandoned_attempts_are_found(self) -> None:
        """Guards against generations that run on for a router that never reconnects."""
        attempt = self.attempts.open(("r", 1), self.deadline_s)
        receiver = ReceiverStub()
        attempt.attach(receiver, receiver.send, 1)
        await asyncio.sleep(0)
        self.clock.advance(100)
        self.assertEqual([], self.attempts.abandoned())
        self.attempts.detach_connection(receiver)
        self.clock.advance(14)
        self.assertEqual([], self.attempts.abandoned())
        self.clock.advance(2)
        self.assertEqual([attempt], self.attempts.abandoned())
