"""Tests of stream validation and response formats."""

import json
import unittest

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.peers.messages import Chunk, End
from coltsfootfront.serving.responses import (
    DeliveryProgress,
    FrameStatus,
    ModelResponseFormat,
    ResponseSummary,
    StreamValidator,
    Usage,
    error_event,
)


def _events(data: bytes) -> list[dict[str, object]]:
    lines = [line[6:] for line in data.decode().split("\n") if line.startswith("data: ")]
    return [json.loads(line) for line in lines if line != "[DONE]"]


class StreamValidatorTest(unittest.TestCase):
    def test_status_of_chunks(self) -> None:
        """Guards against text with a chunk that is missing, repeated or misplaced."""
        cases = {
            "next": (Chunk(5, 1, 1, 3, b"de"), FrameStatus.NEW),
            "duplicate": (Chunk(5, 1, 0, 0, b"abc"), FrameStatus.DROP),
            "gap": (Chunk(5, 1, 2, 3, b"de"), FrameStatus.GAP),
            "wrong offset": (Chunk(5, 1, 1, 2, b"de"), FrameStatus.BROKEN),
        }
        for name, (chunk, status) in cases.items():
            with self.subTest(name):
                validator = StreamValidator(5, 1)
                validator.check_chunk(Chunk(5, 1, 0, 0, b"abc"))
                self.assertEqual(status, validator.check_chunk(chunk))
                expected = (2, 5) if status is FrameStatus.NEW else (1, 3)
                self.assertEqual(expected, (validator.next_seq, validator.offset))

    def test_status_of_end_messages(self) -> None:
        """Guards against a normal end of an incomplete response."""
        cases = {
            "right": (End(5, 1, 1, 3), FrameStatus.NEW),
            "chunks missing": (End(5, 1, 2, 5), FrameStatus.GAP),
            "no totals": (End(5, 1, 0, 0), FrameStatus.BROKEN),
            "wrong bytes": (End(5, 1, 1, 4), FrameStatus.BROKEN),
        }
        for name, (end, status) in cases.items():
            with self.subTest(name):
                validator = StreamValidator(5, 1)
                validator.check_chunk(Chunk(5, 1, 0, 0, b"abc"))
                self.assertEqual(status, validator.check_end(end))

    def test_frames_of_other_streams_and_attempts_are_dropped(self) -> None:
        """Guards against a response that contains frames of another request or attempt."""
        validator = StreamValidator(5, 2)
        validator.rebind(9)
        seen = [validator.is_current(*pair) for pair in ((9, 2), (5, 2), (9, 1))]
        self.assertEqual([True, False, False], seen)


class DeliveryProgressTest(unittest.TestCase):
    def test_only_whole_characters_count_as_delivered(self) -> None:
        """Guards against a continuation that starts within a character."""
        progress = DeliveryProgress()
        data = "zwölf".encode()
        progress.decode(data[:3], 1)
        self.assertEqual(("zw", True), (progress.text, progress.has_partial_character))
        progress.begin_attempt()
        progress.decode(data[2:], 1)
        self.assertEqual(("zwölf", False), (progress.text, progress.has_partial_character))


class ModelResponseFormatTest(unittest.TestCase):
    def test_formats_of_streams(self) -> None:
        """Guards against events that OpenAI clients cannot parse."""
        summary = ResponseSummary("length", Usage(7, 2, 4))
        for chat in (False, True):
            with self.subTest(chat=chat):
                response_format = ModelResponseFormat("id", 5, "m:a", chat)
                data = (
                    response_format.first_event()
                    + response_format.text_event("hé")
                    + response_format.final_events(summary, True)
                )
                events = _events(data)
                usage = events.pop()
                self.assertTrue(data.endswith(b"data: [DONE]\n\n"))
                self.assertEqual([], usage["choices"])
                self.assertEqual(9, usage["usage"]["total_tokens"])  # type: ignore[index]
                choices = [event["choices"][0] for event in events]  # type: ignore[index]
                texts = [
                    item["delta"].get("content", "") if chat else item["text"] for item in choices
                ]
                self.assertEqual("hé", "".join(texts))
                self.assertEqual("length", choices[-1]["finish_reason"])
                self.assertEqual({"m:a"}, {event["model"] for event in events})

    def test_error_events_do_not_mark_the_stream_done(self) -> None:
        """Guards against a failed stream that looks complete."""
        failure = Failure(ErrorKind.CONNECTION_LOST, "lost", ExecutionState.UNKNOWN)
        data = error_event(failure, "id")
        self.assertTrue(data.startswith(b"event: error\n"))
        self.assertNotIn(b"[DONE]", data)
        error = {"kind": "connection_lost", "message": "lost", "run": "unknown", "request_id": "id"}
        self.assertEqual([{"error": error}], _events(data))
