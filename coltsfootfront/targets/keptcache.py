"""Interface to a kept-cache service, which holds exported KV cache."""

from abc import ABC, abstractmethod

from returns.result import Result

from coltsfootfront.common.errors import Failure


class KeptCache(ABC):
    """Keeps exported KV cache by salt and block key."""

    @abstractmethod
    async def put(self, cache_salt: str, key: bytes, data: bytes) -> Result[None, Failure]:
        """Keep exported blocks.

        :param key: chained key of the last exported block.
        """

    @abstractmethod
    async def get(self, cache_salt: str, key: bytes) -> Result[bytes | None, Failure]:
        """Read kept blocks, or None."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
