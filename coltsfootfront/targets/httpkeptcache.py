"""HTTP adapter of kept-cache services."""

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError
from coltsfootfront.targets.httpclient import HttpClient
from coltsfootfront.targets.keptcache import KeptCache
from coltsfootfront.targets.openaiengine import MAX_EXPORT_BYTES

_NOT_FOUND = 404
_MAX_REPLY_BYTES = 4096
_DATA = (("Content-Type", "application/octet-stream"),)


class HttpKeptCache(KeptCache):
    """A kept-cache service that speaks HTTP.

    :param base_url: address of the service, such as ``http://127.0.0.1:8000``.
    :param timeout_s: longest silence of the service in seconds.
    """

    __slots__ = ("_client",)

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        self._client = HttpClient(base_url, timeout_s, clock, ErrorKind.TARGET_FAILED)

    async def put(self, cache_salt: str, key: bytes, data: bytes) -> Result[None, Failure]:
        path = _path(cache_salt, key)
        try:
            async with self._client.exchange("PUT", path, data, _DATA) as exchange:
                await exchange.raise_refusal()
                await exchange.read(_MAX_REPLY_BYTES)
                return Success(None)
        except FailureError as error:
            return Failed(error.failure)

    async def get(self, cache_salt: str, key: bytes) -> Result[bytes | None, Failure]:
        try:
            async with self._client.exchange("GET", _path(cache_salt, key)) as exchange:
                if exchange.response.status == _NOT_FOUND:
                    return Success(None)
                await exchange.raise_refusal()
                return Success(await exchange.read(MAX_EXPORT_BYTES))
        except FailureError as error:
            return Failed(error.failure)

    async def start(self) -> None:
        await self._client.start()

    async def close(self) -> None:
        await self._client.close()


def _path(cache_salt: str, key: bytes) -> str:
    return f"/kept/{cache_salt}/{key.hex()}"
