"""Checks on the frames of a stream, and the forms in which an answer reaches its caller."""

import codecs
import json
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum

from coltsfootfront.common import metrics
from coltsfootfront.common.errors import Failure
from coltsfootfront.peers.messages import Chunk, End, Head

DONE_EVENT = b"data: [DONE]\n\n"


class CallerGoneError(Exception):
    """The caller closed its connection or reads nothing."""


class Verdict(Enum):
    """What a frame is worth."""

    NEW = "new"
    DROP = "drop"
    GAP = "gap"
    BROKEN = "broken"


class StreamCheck:
    """Checks stream number, attempt, sequence, offset and totals within one attempt.

    :param stream: number of the stream on the current connection.
    :param attempt: number of the attempt.
    """

    __slots__ = ("attempt", "next_seq", "offset", "stream")

    def __init__(self, stream: int, attempt: int) -> None:
        self.stream = stream
        self.attempt = attempt
        self.next_seq = 0
        self.offset = 0

    def rebind(self, stream: int) -> None:
        """Go on with another stream number after a resume."""
        self.stream = stream

    def is_current(self, stream: int, attempt: int) -> bool:
        """Whether a frame belongs to this stream and attempt; counts those that do not."""
        if stream == self.stream and attempt == self.attempt:
            return True
        metrics.STREAM_EVENTS.inc({"event": "crossed_frame_dropped"})
        return False

    def take_chunk(self, chunk: Chunk) -> Verdict:
        """Judge a chunk and count it when it is the next one."""
        if chunk.seq < self.next_seq:
            metrics.STREAM_EVENTS.inc({"event": "duplicate_frame_dropped"})
            return Verdict.DROP
        if chunk.seq > self.next_seq:
            metrics.STREAM_EVENTS.inc({"event": "frame_gap"})
            return Verdict.GAP
        if chunk.offset != self.offset:
            metrics.STREAM_EVENTS.inc({"event": "wrong_offset"})
            return Verdict.BROKEN
        self.next_seq += 1
        self.offset += len(chunk.data)
        return Verdict.NEW

    def take_end(self, end: End) -> Verdict:
        """Judge an end mark by its totals."""
        if end.chunks > self.next_seq:
            metrics.STREAM_EVENTS.inc({"event": "frame_gap"})
            return Verdict.GAP
        if end.chunks != self.next_seq or end.total_bytes != self.offset:
            metrics.STREAM_EVENTS.inc({"event": "wrong_totals"})
            return Verdict.BROKEN
        return Verdict.NEW


class Progress:
    """What earlier and current attempts of a request have delivered to the caller.

    Text is delivered in whole characters, so that another engine can go on behind it.
    """

    __slots__ = ("_decoder", "_parts", "head", "tokens")

    def __init__(self) -> None:
        self.head: Head | None = None
        self.tokens = 0
        self._parts: list[str] = []
        self._decoder = codecs.getincrementaldecoder("utf-8")("strict")

    @property
    def text(self) -> str:
        """Text delivered so far."""
        return "".join(self._parts)

    @property
    def has_text(self) -> bool:
        """Whether any text has been delivered."""
        return any(self._parts)

    @property
    def is_started(self) -> bool:
        """Whether the caller has seen a part of the answer."""
        return self.head is not None

    def begin_attempt(self) -> None:
        """Forget an incomplete character of the attempt before."""
        self._decoder.reset()

    def take(self, data: bytes, tokens: int) -> str:
        """Count a piece of text and return its whole characters.

        :raises UnicodeDecodeError: the data is not UTF-8.
        """
        text = self._decoder.decode(data)
        self._parts.append(text)
        self.tokens += tokens
        return text

    @property
    def has_open_character(self) -> bool:
        """Whether the last piece ended within a character."""
        return bool(self._decoder.getstate()[0])


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a whole answer over all attempts."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0

    def shape(self) -> dict[str, object]:
        """The ``usage`` object of an answer."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


@dataclass(frozen=True, slots=True)
class Completion:
    """The end of a complete answer."""

    finish_reason: str
    usage: Usage = field(default_factory=Usage)


class Caller(ABC):
    """Receives the answer to one request while it arrives."""

    @abstractmethod
    async def start(self, head: Head) -> None:
        """Take the head; called once.

        :raises CallerGoneError: the caller has gone.
        """

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Take a piece of the answer and return when there is room for more.

        :raises CallerGoneError: the caller has gone or reads nothing.
        """


class ModelFormat:
    """Shapes of the answers to one model request.

    :param request_id: identifier of the request.
    :param created_s: time of the answer in whole seconds since the epoch.
    :param model: model name as the caller wrote it.
    :param chat: whether the request is a chat.
    """

    __slots__ = ("_base", "_chat")

    def __init__(self, request_id: str, created_s: int, model: str, chat: bool) -> None:
        self._chat = chat
        self._base: dict[str, object] = {
            "id": ("chatcmpl-" if chat else "cmpl-") + request_id,
            "object": "chat.completion" if chat else "text_completion",
            "created": created_s,
            "model": model,
        }

    def whole(self, text: str, completion: Completion) -> dict[str, object]:
        """The body of an answer that is not streamed."""
        choice: dict[str, object] = {"index": 0, "logprobs": None}
        choice["finish_reason"] = completion.finish_reason
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {**self._base, "choices": [choice], "usage": completion.usage.shape()}

    def opening(self) -> bytes:
        """First event of a chat stream; nothing for a completion."""
        if not self._chat:
            return b""
        return self._event({"delta": {"role": "assistant", "content": ""}}, None)

    def piece(self, text: str) -> bytes:
        """Event for a piece of text."""
        if self._chat:
            return self._event({"delta": {"content": text}}, None)
        return self._event({"text": text}, None)

    def closing(self, completion: Completion, include_usage: bool) -> bytes:
        """Last events of a complete stream."""
        content: dict[str, object] = {"delta": {}} if self._chat else {"text": ""}
        events = self._event(content, completion.finish_reason)
        if include_usage:
            body = {**self._stream_base(), "choices": [], "usage": completion.usage.shape()}
            events += _sse(body)
        return events + DONE_EVENT

    def _event(self, content: dict[str, object], finish_reason: str | None) -> bytes:
        choice = {"index": 0, **content, "logprobs": None, "finish_reason": finish_reason}
        return _sse({**self._stream_base(), "choices": [choice]})

    def _stream_base(self) -> dict[str, object]:
        if self._chat:
            return {**self._base, "object": "chat.completion.chunk"}
        return self._base


def error_shape(failure: Failure, request_id: str) -> dict[str, object]:
    """The one JSON shape of errors."""
    return {
        "error": {
            "kind": failure.kind.value,
            "message": failure.message,
            "run": failure.execution_state.value,
            "request_id": request_id,
        }
    }


def error_event(failure: Failure, request_id: str) -> bytes:
    """SSE event that ends a stream which is not complete."""
    return b"event: error\n" + _sse(error_shape(failure, request_id))


def _sse(body: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"
