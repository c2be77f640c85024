"""The text that the engine stand-in generates, so that answers can be checked from outside."""

import hashlib

TOKEN_BYTES = 4
"""Length of every token: of prompts in UTF-8 and of generated text."""

_LETTERS = b"abcdefghijklmnopqrstuvwxyz"
_TO_LETTERS = bytes(_LETTERS[value % len(_LETTERS)] for value in range(256))
_LETTERS_PER_TOKEN = TOKEN_BYTES - 1


def expected_text(
    prompt: bytes, model: str, adapter: str, version: str, max_tokens: int
) -> list[str]:
    """Compute the tokens of one answer.

    :param prompt: prompt in UTF-8, as :func:`coltsfootfront.calls.blocks.prompt_bytes` builds it.
    :param adapter: name of the adapter; empty for none.
    :param max_tokens: number of tokens.
    :returns: ``max_tokens`` tokens of four ASCII characters, three letters and a space.
    """
    seed = hashlib.sha256(prompt)
    seed.update("\0".join(("", model, adapter, version, str(max_tokens))).encode())
    stream = hashlib.shake_128(seed.digest()).digest(max_tokens * _LETTERS_PER_TOKEN)
    letters = stream.translate(_TO_LETTERS).decode("ascii")
    starts = range(0, len(letters), _LETTERS_PER_TOKEN)
    return [letters[start : start + _LETTERS_PER_TOKEN] + " " for start in starts]
