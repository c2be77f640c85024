"""HTTP adapter of plain services."""

import re
from collections.abc import AsyncIterator, Iterable

from coltsfootfront.calls.headers import HOP_BY_HOP, REQUEST_ID_HEADER
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError
from coltsfootfront.targets.httpclient import HttpClient
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead

_HEALTH_PATH = "/healthz"
_FIRST_ERROR_STATUS = 400
# Headers of one connection, and those that the client computes itself.
_NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect", "host"}
_TOKEN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_PATH = re.compile(r"[!-~]*")
# Control characters could end a header early; surrogates stand for bytes that are not UTF-8.
_NOT_IN_VALUE = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


def end_to_end(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str] = HOP_BY_HOP
) -> tuple[tuple[str, str], ...]:
    """Leave out headers that are meant for one connection only.

    :param headers: pairs of header name and value.
    :param dropped: lower-case names that are left out beside those that ``Connection`` names.
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped | named)


def _check_sendable(request: ServiceCall) -> None:
    names = (request.method, *(name for name, _ in request.headers))
    values = (value for _, value in request.headers)
    valid = (
        all(_TOKEN.fullmatch(name) for name in names)
        and _PATH.fullmatch(request.path)
        and not any(_NOT_IN_VALUE.search(value) for value in values)
    )
    if not valid:
        raise FailureError(Failure(ErrorKind.BAD_REQUEST, "request line or header is invalid"))


class HttpService(PlainService):
    """A plain service that speaks HTTP.

    :param base_url: address of the service, such as ``http://127.0.0.1:8000``.
    :param timeout_s: longest silence of the service in seconds.
    """

    __slots__ = ("_client",)

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        self._client = HttpClient(base_url, timeout_s, clock, ErrorKind.TARGET_FAILED)

    async def call(self, request: ServiceCall) -> AsyncIterator[ServiceResponseHead | bytes]:
        _check_sendable(request)
        path = "/" + request.path.lstrip("/")
        headers = end_to_end(request.headers, _NOT_FORWARDED)
        if not any(name.lower() == REQUEST_ID_HEADER.lower() for name, _ in headers):
            headers = (*headers, (REQUEST_ID_HEADER, request.request_id))
        body = request.body or None
        async with self._client.exchange(request.method, path, body, headers) as exchange:
            response = exchange.response
            yield ServiceResponseHead(response.status, end_to_end(response.headers.items()))
            async for piece in exchange.pieces():
                yield piece

    async def is_healthy(self) -> bool:
        try:
            async with self._client.exchange("GET", _HEALTH_PATH) as exchange:
                return exchange.response.status < _FIRST_ERROR_STATUS
        except FailureError:
            return False

    async def start(self) -> None:
        await self._client.start()

    async def close(self) -> None:
        await self._client.close()
