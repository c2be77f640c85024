"""Rendezvous hashing: every process ranks the same names alike without shared state."""

import hashlib
import heapq
from collections.abc import Iterable

SCORE_BYTES = 8


def score(key: bytes, name: str) -> bytes:
    """Score of one name for a key; the highest wins."""
    return hashlib.blake2b(key + b"\0" + name.encode(), digest_size=SCORE_BYTES).digest()


def rank(key: bytes, names: Iterable[str], count: int | None = None) -> list[str]:
    """Order names by their score for a key.

    :param key: what is placed.
    :param names: names to choose from.
    :param count: number of names wanted; None returns all.
    :returns: the best names, the highest score first.
    """
    scored = [(score(key, name), name) for name in names]
    if count is None:
        scored.sort(reverse=True)
        return [name for _, name in scored]
    return [name for _, name in heapq.nlargest(count, scored)]
