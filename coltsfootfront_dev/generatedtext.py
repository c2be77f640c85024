"""Deterministic text of the simulated engine, with which clients verify responses."""

import hashlib

TOKEN_BYTES = 4
"""Size of a token in bytes, in UTF-8 prompts and in generated text."""

_LETTERS = b"abcdefghijklmnopqrstuvwxyz"
_LETTER_TABLE = bytes(_LETTERS[value % len(_LETTERS)] for value in range(256))
_LETTERS_PER_TOKEN = TOKEN_BYTES - 1


def expected_tokens(
    prompt: bytes, model: str, adapter: str, version: str, max_tokens: int
) -> list[str]:
    """Compute the tokens that the engine generates for a prompt.

    :param prompt: prompt in UTF-8, as :func:`coltsfootfront.calls.blocks.prompt_bytes` builds it.
    :param adapter: name of the adapter; empty for none.
    :param max_tokens: number of tokens.
    :returns: ``max_tokens`` tokens of four ASCII characters, three letters and a space.
    """
    seed = hashlib.sha256(prompt)
    seed.update("\0".join(("", model, adapter, version, str(max_tokens))).encode())
    stream = hashlib.shake_128(seed.digest()).digest(max_tokens * _LETTERS_PER_TOKEN)
    letters = stream.translate(_LETTER_TABLE).decode("ascii")
    starts = range(0, len(letters), _LETTERS_PER_TOKEN)
    return [letters[start : start + _LETTERS_PER_TOKEN] + " " for start in starts]
