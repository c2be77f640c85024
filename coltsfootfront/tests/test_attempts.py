"""Tests of the buffers of attempts."""

import asyncio
import unittest
from unittest import mock

from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Accepted, Chunk, End, Fail, Head, Message
from coltsfootfront.targets.attempts import MAX_RECORDS, Streams
from coltsfootfront.tests.support import ManualClock, run_ready_tasks


class Receiver:
    """A router's side of a connection; ``limit`` messages pass before it breaks."""

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


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.streams = Streams(self.clock, 15.0, 10, 1000)
        self.deadline_s = self.clock.unix_s() + 60

    def tearDown(self) -> None:
        self.streams.close()

    async def test_frames_of_a_whole_answer(self) -> None:
        """Guards against an answer that the router cannot check for completeness."""
        attempt = self.streams.open(("r", 1), self.deadline_s)
        receiver = Receiver()
        attempt.attach(receiver, receiver.send, 7)
        attempt.accept("e1")
        attempt.begin(200, [["a", "b"]])
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
        self.assertEqual(0, self.streams.undelivered())

    async def test_a_slow_reader_stops_only_its_own_stream(self) -> None:
        """Guards against one slow caller that fills the shared connection."""
        slow = self.streams.open(("slow", 1), self.deadline_s)
        quick = self.streams.open(("quick", 1), self.deadline_s)
        receivers = Receiver(), Receiver()
        for attempt, receiver in zip((slow, quick), receivers, strict=True):
            attempt.attach(receiver, receiver.send, 1)
            attempt.accept("e1")
            attempt.begin()
            for _ in range(10):
                attempt.append(b"abcd")
            attempt.finish()
        for offset in range(0, 41, 4):
            quick.acknowledge(offset)
            await run_ready_tasks()
        self.assertEqual(12, len(receivers[0].text), "window of 10 bytes and no more")
        self.assertIsInstance(receivers[1].messages[-1], End)
        slow.acknowledge(40)
        await run_ready_tasks()
        self.assertEqual(40, len(receivers[0].text))

    async def test_resume_after_a_cut_at_any_place(self) -> None:
        """Guards against lost, doubled or reordered text after a lost connection."""
        for limit in range(0, 9):
            with self.subTest(messages=limit):
                attempt = self.streams.open((f"r{limit}", 1), self.deadline_s)
                first, second = Receiver(limit), Receiver()
                attempt.attach(first, first.send, 1)
                attempt.accept("e1")
                attempt.begin()
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
        """Guards against text or a clean end behind a failure."""
        attempt = self.streams.open(("r", 1), self.deadline_s)
        receiver = Receiver()
        attempt.attach(receiver, receiver.send, 1)
        attempt.accept("e1")
        attempt.begin()
        attempt.fail(Failure(ErrorKind.ENGINE_FAILED, "", ExecutionState.UNKNOWN))
        attempt.append(b"late")
        attempt.finish()
        await run_ready_tasks()
        last = receiver.messages[-1]
        assert isinstance(last, Fail)
        self.assertEqual(("engine_failed", "unknown"), (last.kind, last.run))
        self.assertEqual(b"", receiver.text)

    async def test_an_answer_has_a_limit(self) -> None:
        """Guards against an answer that uses up the agent's memory."""
        attempt = self.streams.open(("r", 1), self.deadline_s)
        attempt.append(b"a" * 900)
        with self.assertRaises(FailureError) as caught:
            attempt.append(b"a" * 200)
        self.assertIs(ExecutionState.UNKNOWN, caught.exception.failure.execution_state)

    async def test_records_keep_not_run_true(self) -> None:
        """Guards against a delayed or doubled run of an attempt that was already answered."""
        self.assertIs(ExecutionState.NOT_RUN, self.streams.refuse(("late", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.streams.record_of(("late", 1)))
        for key, forwarded in (("ran", True), ("queued", False)):
            attempt = self.streams.open((key, 1), self.deadline_s, idempotent=False)
            attempt.forwarded = forwarded
            attempt.finish()
        self.clock.advance(16)
        self.streams.expire()
        self.assertIsNone(self.streams.get(("ran", 1)))
        self.assertIs(ExecutionState.UNKNOWN, self.streams.record_of(("ran", 1)))
        self.assertIs(ExecutionState.UNKNOWN, self.streams.refuse(("ran", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.streams.record_of(("queued", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.streams.record_of(("late", 1)))
        self.clock.advance(3600)
        self.streams.expire()
        self.assertIsNone(self.streams.record_of(("late", 1)), "the deadline refuses it now")

    async def test_a_flood_of_refusals_leaves_nothing(self) -> None:
        """Guards against an agent that refuses everything because its records are full."""
        receiver = Receiver()
        for number in range(100):
            attempt = self.streams.open((str(number), 1), self.deadline_s)
            attempt.attach(receiver, receiver.send, number)
            attempt.fail(Failure(ErrorKind.OVERLOADED))
        await run_ready_tasks()
        self.streams.expire()
        self.assertEqual((0, 0), (len(self.streams._attempts), len(self.streams._past)))
        self.assertTrue(self.streams.has_room())

    async def test_a_full_table_of_records_claims_nothing(self) -> None:
        """Guards against a ``not_run`` that cannot be kept."""
        for number in range(MAX_RECORDS):
            self.streams.refuse((str(number), 1))
        self.assertIs(ExecutionState.UNKNOWN, self.streams.refuse(("one more", 1)))
        self.assertIs(ExecutionState.NOT_RUN, self.streams.refuse(("1", 1)))

    async def test_forgotten_attempts_are_not_called_not_run(self) -> None:
        """Guards against a false ``not_run`` for an attempt whose record had to make room."""
        with mock.patch("coltsfootfront.targets.streams.MAX_PAST", 4):
            for number in range(6):
                attempt = self.streams.open((str(number), 1), self.deadline_s)
                attempt.forwarded = True
                attempt.finish()
                self.clock.advance(16)
                self.streams.expire()
        for number in range(6):
            self.assertIs(ExecutionState.UNKNOWN, self.streams.refuse((str(number), 1)))
        self.clock.advance(900)
        self.assertIs(ExecutionState.NOT_RUN, self.streams.refuse(("never came", 1)))

    async def test_cut_streams_are_found(self) -> None:
        """Guards against generations that go on for a router that never comes back."""
        attempt = self.streams.open(("r", 1), self.deadline_s)
        receiver = Receiver()
        attempt.attach(receiver, receiver.send, 1)
        await asyncio.sleep(0)
        self.clock.advance(100)
        self.assertEqual([], self.streams.abandoned())
        self.streams.detach_owner(receiver)
        self.clock.advance(14)
        self.assertEqual([], self.streams.abandoned())
        self.clock.advance(2)
        self.assertEqual([attempt], self.streams.abandoned())
