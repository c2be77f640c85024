"""Limits how much asyncio reads from a socket at once, which the account of memory counts on."""

import asyncio
from typing import Any


def limit_reads(transport: asyncio.BaseTransport | None, size_bytes: int) -> None:
    """Limit the bytes of one read.

    It is no public option of asyncio, which reads up to 256 KiB without it.
    """
    limited: Any = transport
    if hasattr(limited, "max_size"):
        limited.max_size = size_bytes
