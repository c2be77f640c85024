"""What an operator asks of where a request would go."""

from dataclasses import dataclass

from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    load_json,
    read_integer,
    read_list,
    read_object,
    read_text,
)
from coltsfootfront.direct.callerrequest import PromptPart

MAX_PARTS = 1000


@dataclass(frozen=True, slots=True)
class Question:
    """A request as an operator describes it.

    :param customer: name of the customer, empty for a caller without an API key.
    """

    host: str
    path: str
    customer: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


def decode_question(data: bytes) -> Question:
    """Decode an operator's question.

    :raises DecodingError: if it is malformed.
    """
    with decoding("question"):
        body = read_object(load_json(data))
        parts = tuple(
            PromptPart(read_text(key), read_integer(tokens))
            for key, tokens in map(read_list, read_list(body.get("parts", [])))
        )
        if len(parts) > MAX_PARTS:
            raise DecodingError(f"more than {MAX_PARTS} parts")
        return Question(
            host=read_text(body["host"]),
            path=read_text(body["path"]),
            customer=read_text(body.get("customer", ""), is_optional=True),
            model=read_text(body.get("model", ""), is_optional=True),
            prompt_tokens=read_integer(
                body.get("prompt_tokens") or sum(part.tokens for part in parts)
            ),
            output_tokens=read_integer(body.get("output_tokens", 0)),
            parts=parts,
        )
