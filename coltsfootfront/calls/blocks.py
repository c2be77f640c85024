"""Chained hashes of a prompt's blocks.

A key covers everything from the start of the prompt to the end of its block. The chain starts
from a salt made of customer, model, adapter and weights version, so that blocks of another
customer or of older weights cannot match.
"""

import hashlib
from typing import Any

KEY_BYTES = 8
"""Length of a key on the wire and in an agent's index."""


def compute_cache_salt(customer: str, model: str, adapter: str, version: str) -> str:
    """Compute the salt that separates caches.

    :returns: 32 hexadecimal digits; also sent to the engine as ``cache_salt``.
    """
    parts = "\0".join((customer, model, adapter, version))
    return hashlib.sha256(parts.encode()).hexdigest()[:32]


def compute_block_keys(cache_salt: str, prompt: bytes, block_bytes: int) -> list[bytes]:
    """Compute the chained keys of all full blocks of a prompt.

    :param cache_salt: result of :func:`salt`.
    :param prompt: prompt text in UTF-8.
    :param block_bytes: bytes in one block.
    :returns: full 32-byte digests, one for each full block.
    """
    parent = hashlib.sha256(cache_salt.encode()).digest()
    keys = []
    view = memoryview(prompt)
    for start in range(0, len(prompt) - block_bytes + 1, block_bytes):
        parent = hashlib.sha256(parent + view[start : start + block_bytes]).digest()
        keys.append(parent)
    return keys


def truncate_keys(keys: list[bytes]) -> list[bytes]:
    """Cut keys to the length used on the wire."""
    return [key[:KEY_BYTES] for key in keys]


def prompt_bytes(body: dict[str, Any], chat: bool) -> bytes:
    """Build the text that the engine will see, as far as it is known outside the engine.

    :param body: request body with ``prompt`` or ``messages``.
    :param chat: whether the body is a chat request.
    :returns: UTF-8 text; for chats each message is ``<|role|>content`` and a line feed.
    """
    if not chat:
        return str(body.get("prompt", "")).encode()
    parts = []
    for message in body.get("messages", []):
        parts.append(f"<|{message.get('role', '')}|>{message.get('content', '')}\n")
    return "".join(parts).encode()
