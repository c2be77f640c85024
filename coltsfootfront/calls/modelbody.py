"""Checks on the JSON body of a completion or chat request."""

import json
from dataclasses import dataclass
from typing import Any

from coltsfootfront.calls.blocks import prompt_bytes
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError
from coltsfootfront.configuration.document import Document

MAX_NAME_CHARACTERS = 256
MAX_MESSAGES = 4096
# Parameters that would ask for more than one answer or for text that is not generated.
_FIXED: dict[str, tuple[Any, ...]] = {
    "n": (None, 1),
    "best_of": (None, 1),
    "echo": (None, False),
    "suffix": (None, ""),
    "logprobs": (None, False),
}


@dataclass(frozen=True, slots=True)
class ModelBody:
    """What the router needs to know of a model request.

    :param name: model as the caller wrote it, ``model`` or ``model:adapter``.
    :param prompt: text that the engine will see, as far as it is known here.
    """

    name: str
    model: str
    adapter: str
    prompt: bytes
    stream: bool
    include_usage: bool


def bad_request_error(message: str) -> FailureError:
    """Build the error for a body that cannot be used."""
    return FailureError(Failure(ErrorKind.BAD_REQUEST, message))


def parse(data: bytes, chat: bool, document: Document) -> ModelBody:
    """Check a body.

    :param data: body as received.
    :param chat: whether it is a chat request.
    :param document: document in force, for the largest answer of each model.
    :raises FailureError: ``bad_request`` with one sentence that names the field.
    """
    body = _load(data)
    name = body.get("model")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise bad_request_error("model: a name is required")
    model, _, adapter = name.partition(":")
    for field, allowed in _FIXED.items():
        if body.get(field) not in allowed:
            raise bad_request_error(f"{field}: this value is not supported")
    _check_text(body, chat)
    _check_max_tokens(body, model, document)
    try:
        prompt = prompt_bytes(body, chat)
    except UnicodeEncodeError as error:
        raise bad_request_error("prompt: not valid Unicode text") from error
    stream = _flag(body, "stream")
    return ModelBody(name, model, adapter, prompt, stream, _includes_usage(body))


def _load(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise bad_request_error("body is not valid JSON") from error
    if not isinstance(body, dict):
        raise bad_request_error("body is not a JSON object")
    return body


def _flag(body: dict[str, Any], field: str) -> bool:
    value = body.get(field)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise bad_request_error(f"{field}: true or false is required")
    return value


def _includes_usage(body: dict[str, Any]) -> bool:
    options = body.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        raise bad_request_error("stream_options: an object is required")
    return _flag(options, "include_usage")


def _check_text(body: dict[str, Any], chat: bool) -> None:
    if not chat:
        if not isinstance(body.get("prompt"), str):
            raise bad_request_error("prompt: one text is required")
        return
    messages = body.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise bad_request_error(f"messages: a list of 1 to {MAX_MESSAGES} messages is required")
    for message in messages:
        if not isinstance(message, dict):
            raise bad_request_error("messages: each message must be an object")
        for field in ("role", "content"):
            if not isinstance(message.get(field), str):
                raise bad_request_error(f"messages: {field} must be text")


def _check_max_tokens(body: dict[str, Any], model: str, document: Document) -> None:
    known = document.models.get(model)
    for field in ("max_tokens", "max_completion_tokens"):
        value = body.get(field)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise bad_request_error(f"{field}: a positive whole number is required")
        if known is not None and value > known.max_output_tokens:
            raise bad_request_error(f"{field}: at most {known.max_output_tokens} is allowed")
