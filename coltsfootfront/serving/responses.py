"""Validation of received stream frames, and response formats for callers."""

import codecs
import json
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum

from coltsfootfront.common import metrics
from coltsfootfront.common.errors import Failure
from coltsfootfront.peers.messages import Chunk, End, Head

DONE_EVENT = b"data: [DONE]\n\n"


class CallerDisconnectedError(Exception):
    """The caller closed its connection or does not read the response."""


class FrameStatus(Enum):
    """Result of checking a frame."""

    NEW = "new"
    DROP = "drop"
    GAP = "gap"
    BROKEN = "broken"


class StreamValidator:
    """Checks the stream number, attempt, sequence number, offset and totals of received frames.

    :param stream: stream number on the current connection.
    :param attempt: number of the attempt.
    """

    __slots__ = ("attempt", "next_seq", "offset", "stream")

    def __init__(self, stream: int, attempt: int) -> None:
        self.stream = stream
        self.attempt = attempt
        self.next_seq = 0
        """Expected sequence number of the next chunk."""
        self.offset = 0
        """Expected offset of the next chunk in bytes."""

    def rebind(self, stream: int) -> None:
        """Switch to the stream number of a resumed stream."""
        self.stream = stream

    def is_current(self, stream: int, attempt: int) -> bool:
        """Whether a frame belongs to this stream and attempt; counts frames that do not."""
        if stream == self.stream and attempt == self.attempt:
            return True
        metrics.STREAM_EVENTS.inc({"event": "crossed_frame_dropped"})
        return False

    def check_chunk(self, chunk: Chunk) -> FrameStatus:
        """Check a chunk; advance the expected sequence number and offset if it is the next one."""
        if chunk.seq < self.next_seq:
            metrics.STREAM_EVENTS.inc({"event": "duplicate_frame_dropped"})
            return FrameStatus.DROP
        if chunk.seq > self.next_seq:
            metrics.STREAM_EVENTS.inc({"event": "frame_gap"})
            return FrameStatus.GAP
        if chunk.offset != self.offset:
            metrics.STREAM_EVENTS.inc({"event": "wrong_offset"})
            return FrameStatus.BROKEN
        self.next_seq += 1
        self.offset += len(chunk.data)
        return FrameStatus.NEW

    def check_end(self, end: End) -> FrameStatus:
        """Check the totals of an end message against the chunks received."""
        if end.chunks > self.next_seq:
            metrics.STREAM_EVENTS.inc({"event": "frame_gap"})
            return FrameStatus.GAP
        if end.chunks != self.next_seq or end.total_bytes != self.offset:
            metrics.STREAM_EVENTS.inc({"event": "wrong_totals"})
            return FrameStatus.BROKEN
        return FrameStatus.NEW


class DeliveryProgress:
    """Head, text and tokens that all attempts of a request have received for the caller so far.

    Text is decoded in whole characters, so that another engine can continue after it.
    """

    __slots__ = ("_decoder", "_parts", "head", "tokens")

    def __init__(self) -> None:
        self.head: Head | None = None
        self.tokens = 0
        self._parts: list[str] = []
        self._decoder = codecs.getincrementaldecoder("utf-8")("strict")

    @property
    def text(self) -> str:
        """Text decoded for delivery so far."""
        return "".join(self._parts)

    @property
    def has_text(self) -> bool:
        """Whether any text has been decoded for delivery."""
        return any(self._parts)

    @property
    def is_started(self) -> bool:
        """Whether the response head has been sent to the caller."""
        return self.head is not None

    def begin_attempt(self) -> None:
        """Discard an incomplete character left by the previous attempt."""
        self._decoder.reset()

    def decode(self, data: bytes, tokens: int) -> str:
        """Decode received bytes and record the complete characters for delivery.

        :param tokens: number of tokens in the data.
        :returns: the complete characters.
        :raises UnicodeDecodeError: the data is not UTF-8.
        """
        text = self._decoder.decode(data)
        self._parts.append(text)
        self.tokens += tokens
        return text

    @property
    def has_partial_character(self) -> bool:
        """Whether the last received bytes end within a character."""
        return bool(self._decoder.getstate()[0])


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a complete response over all attempts."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0

    def to_json(self) -> dict[str, object]:
        """The ``usage`` object of a response."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


@dataclass(frozen=True, slots=True)
class ResponseSummary:
    """Finish reason and token counts of a complete response."""

    finish_reason: str
    usage: Usage = field(default_factory=Usage)


class ResponseWriter(ABC):
    """Receives the response to one request while it arrives."""

    @abstractmethod
    async def start(self, head: Head) -> None:
        """Start the response; called once.

        :raises CallerDisconnectedError: the caller has disconnected.
        """

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Write a part of the response and return when there is room for more.

        :raises CallerDisconnectedError: the caller has disconnected or does not read.
        """


class ModelResponseFormat:
    """Builds the response bodies and events of one model request, in the OpenAI format.

    :param request_id: identifier of the request.
    :param created_s: creation time of the response, in whole seconds since the epoch.
    :param model: model name as given by the caller.
    :param chat: whether the request is a chat completion.
    """

    __slots__ = ("_chat", "_common_fields")

    def __init__(self, request_id: str, created_s: int, model: str, chat: bool) -> None:
        self._chat = chat
        self._common_fields: dict[str, object] = {
            "id": ("chatcmpl-" if chat else "cmpl-") + request_id,
            "object": "chat.completion" if chat else "text_completion",
            "created": created_s,
            "model": model,
        }

    def response_body(self, text: str, summary: ResponseSummary) -> dict[str, object]:
        """The body of a response that is not streamed."""
        choice: dict[str, object] = {"index": 0, "logprobs": None}
        choice["finish_reason"] = summary.finish_reason
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {**self._common_fields, "choices": [choice], "usage": summary.usage.to_json()}

    def first_event(self) -> bytes:
        """First event of a chat stream; empty for a text completion."""
        if not self._chat:
            return b""
        return self._event({"delta": {"role": "assistant", "content": ""}}, None)

    def text_event(self, text: str) -> bytes:
        """Event with a part of the text."""
        if self._chat:
            return self._event({"delta": {"content": text}}, None)
        return self._event({"text": text}, None)

    def final_events(self, summary: ResponseSummary, include_usage: bool) -> bytes:
        """Last events of a complete stream."""
        content: dict[str, object] = {"delta": {}} if self._chat else {"text": ""}
        events = self._event(content, summary.finish_reason)
        if include_usage:
            body = {**self._event_fields(), "choices": [], "usage": summary.usage.to_json()}
            events += _sse_event(body)
        return events + DONE_EVENT

    def _event(self, content: dict[str, object], finish_reason: str | None) -> bytes:
        choice = {"index": 0, **content, "logprobs": None, "finish_reason": finish_reason}
        return _sse_event({**self._event_fields(), "choices": [choice]})

    def _event_fields(self) -> dict[str, object]:
        if self._chat:
            return {**self._common_fields, "object": "chat.completion.chunk"}
        return self._common_fields


def error_body(failure: Failure, request_id: str) -> dict[str, object]:
    """JSON body that all error responses share."""
    return {
        "error": {
            "kind": failure.kind.value,
            "message": failure.message,
            "run": failure.execution_state.value,
            "request_id": request_id,
        }
    }


def error_event(failure: Failure, request_id: str) -> bytes:
    """Server-sent event that ends an incomplete stream."""
    return b"event: error\n" + _sse_event(error_body(failure, request_id))


def _sse_event(body: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"
