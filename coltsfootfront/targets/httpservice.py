"""HTTP client of plain services, targets that are not model engines."""

import re
from collections.abc import AsyncIterator, Iterable

import logbook

from coltsfootfront.calls.headers import (
    HOP_BY_HOP,
    REQUEST_ID_HEADER,
    is_token,
    is_valid_header,
)
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.targets.httpclient import HttpClient
from coltsfootfront.targets.service import PlainService, ServiceCall, ServiceResponseHead

log = logbook.Logger(__name__)

_HEALTH_PATH = "/healthz"
_FIRST_ERROR_STATUS = 400
# Hop-by-hop headers and those that the HTTP client sets itself.
_NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect", "host"}
_PATH = re.compile(r"[!-~]*")


def strip_hop_by_hop(
    headers: Iterable[tuple[str, str]], excluded: frozenset[str] = HOP_BY_HOP
) -> tuple[tuple[str, str], ...]:
    """Remove hop-by-hop headers.

    :param headers: pairs of header name and value.
    :param excluded: lower-case names to remove besides those that ``Connection`` lists.
    """
    pairs = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(pair for pair in pairs if pair[0].lower() not in excluded | connection_options)


def _validate_request(request: ServiceCall) -> None:
    valid = (
        is_token(request.method)
        and _PATH.fullmatch(request.path)
        and all(is_valid_header(name, value) for name, value in request.headers)
    )
    if not valid:
        raise FailureError(Failure(ErrorKind.BAD_REQUEST, "request line or header is invalid"))


def _remove_invalid(
    headers: Iterable[tuple[str, str]], request_id: str
) -> tuple[tuple[str, str], ...]:
    valid = []
    for name, value in headers:
        if is_valid_header(name, value):
            valid.append((name, value))
        else:
            log.warning(
                event("response_header_invalid", request_id=request_id, name=repr(name[:40]))
            )
    return tuple(valid)


class HttpService(PlainService):
    """Plain service reached over HTTP.

    :param base_url: address of the service, such as ``http://127.0.0.1:8000``.
    :param timeout_s: idle timeout in seconds: longest wait for data from the service.
    """

    __slots__ = ("_client",)

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        self._client = HttpClient(base_url, timeout_s, clock, ErrorKind.TARGET_FAILED)

    async def call(self, request: ServiceCall) -> AsyncIterator[ServiceResponseHead | bytes]:
        _validate_request(request)
        path = "/" + request.path.lstrip("/")
        headers = strip_hop_by_hop(request.headers, _NOT_FORWARDED)
        if not any(name.lower() == REQUEST_ID_HEADER.lower() for name, _ in headers):
            headers = (*headers, (REQUEST_ID_HEADER, request.request_id))
        body = request.body or None
        async with self._client.exchange(request.method, path, body, headers) as exchange:
            response = exchange.response
            response_headers = strip_hop_by_hop(response.headers.items())
            yield ServiceResponseHead(
                response.status, _remove_invalid(response_headers, request.request_id)
            )
            async for chunk in exchange.chunks():
                yield chunk

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
