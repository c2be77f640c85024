"""Gives the platform's targets orders and asks for their state."""

import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import logbook

from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.orders import OrderResult, OrderClient, TargetState
from coltsfootfront.direct.sockets import create_socket
from coltsfootfront.platform import headers

log = logbook.Logger(__name__)

# An order is answered within the way to the other region and back, 50 ms.
TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.3
# How a target treats runs under way while it takes new weights.
SWITCH_MODE = "retain"

ANSWERS = {
    202: OrderResult.ACCEPTED,
    200: OrderResult.ALREADY_LOADED,
    409: OrderResult.BUSY,
    412: OrderResult.FENCED,
    421: OrderResult.REPLACED,
}


class _Permission:
    """Body of an order that is only sent while the permission to give it holds.

    The check comes after the connection was opened, which may take long, or wait for a process
    that was paused.
    """

    __slots__ = ("_body", "_may_send", "is_withheld")

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self._body = body
        self._may_send = may_send
        self.is_withheld = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """The body, or an error instead of it.

        :raises OSError: when the permission has ended.
        """
        if not self._may_send():
            self.is_withheld = True
            raise OSError("the permission to give orders has ended")
        yield self._body


class PlatformOrders(OrderClient):
    """Client for orders.

    :param holder: name of this router.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(socket_factory=create_socket),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def load_version(
        self,
        target: Target,
        model: str,
        version: int,
        accepted_orders: int,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        fields = {
            "op": "version",
            "model": model,
            "version": version,
            "switch-mode": SWITCH_MODE,
            "holder": self._holder,
            "fence": fencing_token,
            # The number of orders accepted so far; the order is void when it differs.
            "expected": accepted_orders,
        }
        assert self._session is not None
        url = f"http://{target.entry.address}/v1/order"
        body = json.dumps(fields).encode()
        sent = {
            headers.EXPECTED_TARGET: target.name,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        permission = _Permission(body, may_send)
        try:
            async with self._session.post(url, data=permission.pieces(), headers=sent) as response:
                return ANSWERS.get(response.status, OrderResult.REFUSED)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if permission.is_withheld:
                log.info(event("order_withheld", target=target.name, version=version))
                return OrderResult.WITHHELD
            log.warning(event("order_unanswered", target=target.name, reason=repr(error)))
            return OrderResult.UNKNOWN

    async def read_state(self, target: Target) -> TargetState | None:
        assert self._session is not None
        url = f"http://{target.entry.address}/v1/report"
        expected = {headers.EXPECTED_TARGET: target.name}
        try:
            async with self._session.get(url, headers=expected) as response:
                if response.status != 200:
                    return None
                return _state(await response.json())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError) as error:
            log.warning(event("report_unanswered", target=target.name, reason=repr(error)))
            return None


def _state(body: dict[str, Any]) -> TargetState:
    return TargetState(
        versions={model["name"]: int(model["version"]) for model in body["models"]},
        accepted_orders=int(body["sequence"]),
        is_busy=bool(body["busy"]),
        running=int(body["running"]),
        waiting=int(body["queued"]),
    )
