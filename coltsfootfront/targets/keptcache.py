"""Interface to a kept-cache service: a store outside the engines for exported KV cache."""

from abc import ABC, abstractmethod

from returns.result import Result

from coltsfootfront.common.errors import Failure


class KeptCache(ABC):
    """Client of a store that holds exported KV cache by salt and block key."""

    @abstractmethod
    async def put(self, cache_salt: str, key: bytes, data: bytes) -> Result[None, Failure]:
        """Store exported blocks.

        :param key: key of the last exported block, which identifies the whole prefix.
        """

    @abstractmethod
    async def get(self, cache_salt: str, key: bytes) -> Result[bytes | None, Failure]:
        """Fetch stored blocks, or None if the store has none."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for requests; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
