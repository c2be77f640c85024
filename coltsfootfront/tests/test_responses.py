"""Tests of stream checks and answer shapes."""

import json
import unittest

from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.peers.messages import Chunk, End
from coltsfootfront.serving.responses import (
    Completion,
    ModelFormat,
    Progress,
    StreamCheck,
    Usage,
    Verdict,
    error_event,
)


def _events(data: bytes) -> list[dict[str, object]]:
    lines = [line[6:] for line in data.decode().split("\n") if line.startswith("data: ")]
    return [json.loads(line) for line in lines if line != "[DONE]"]


class StreamCheckTest(unittest.TestCase):
    def test_verdicts_on_chunks(self) -> None:
        """Guards against a caller's text with a piece missing, twice, or out of place."""
        cases = {
            "next": (Chunk(5, 1, 1, 3, b"de"), Verdict.NEW),
            "duplicate": (Chunk(5, 1, 0, 0, b"abc"), Verdict.DROP),
            "gap": (Chunk(5, 1, 2, 3, b"de"), Verdict.GAP),
            "wrong offset": (Chunk(5, 1, 1, 2, b"de"), Verdict.BROKEN),
        }
        for name, (chunk, verdict) in cases.items():
            with self.subTest(name):
                check = StreamCheck(5, 1)
                check.take_chunk(Chunk(5, 1, 0, 0, b"abc"))
                self.assertEqual(verdict, check.take_chunk(chunk))
                expected = (2, 5) if verdict is Verdict.NEW else (1, 3)
                self.assertEqual(expected, (check.next_seq, check.offset))

    def test_verdicts_on_ends(self) -> None:
        """Guards against a clean end of an answer that is not complete."""
        cases = {
            "right": (End(5, 1, 1, 3), Verdict.NEW),
            "chunks missing": (End(5, 1, 2, 5), Verdict.GAP),
            "no totals": (End(5, 1, 0, 0), Verdict.BROKEN),
            "wrong bytes": (End(5, 1, 1, 4), Verdict.BROKEN),
        }
        for name, (end, verdict) in cases.items():
            with self.subTest(name):
                check = StreamCheck(5, 1)
                check.take_chunk(Chunk(5, 1, 0, 0, b"abc"))
                self.assertEqual(verdict, check.take_end(end))

    def test_frames_of_other_streams_and_attempts_are_dropped(self) -> None:
        """Guards against an answer made of another request's frames."""
        check = StreamCheck(5, 2)
        check.rebind(9)
        seen = [check.is_current(*pair) for pair in ((9, 2), (5, 2), (9, 1))]
        self.assertEqual([True, False, False], seen)


class ProgressTest(unittest.TestCase):
    def test_only_whole_characters_count_as_delivered(self) -> None:
        """Guards against a continuation behind half a character."""
        progress = Progress()
        data = "zwölf".encode()
        progress.take(data[:3], 1)
        self.assertEqual(("zw", True), (progress.text, progress.has_open_character))
        progress.begin_attempt()
        progress.take(data[2:], 1)
        self.assertEqual(("zwölf", False), (progress.text, progress.has_open_character))


class ModelFormatTest(unittest.TestCase):
    def test_shapes_of_streams(self) -> None:
        """Guards against events that OpenAI clients cannot read."""
        completion = Completion("length", Usage(7, 2, 4))
        for chat in (False, True):
            with self.subTest(chat=chat):
                form = ModelFormat("id", 5, "m:a", chat)
                data = form.opening() + form.piece("hé") + form.closing(completion, True)
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

    def test_error_events_carry_no_end_mark(self) -> None:
        """Guards against a failed stream that looks complete."""
        failure = Failure(ErrorKind.CONNECTION_LOST, "lost", ExecutionState.UNKNOWN)
        data = error_event(failure, "id")
        self.assertTrue(data.startswith(b"event: error\n"))
        self.assertNotIn(b"[DONE]", data)
        error = {"kind": "connection_lost", "message": "lost", "run": "unknown", "request_id": "id"}
        self.assertEqual([{"error": error}], _events(data))
