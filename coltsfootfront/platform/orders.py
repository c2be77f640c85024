"""Sends control orders to the platform's targets and reads their state."""

import json
from collections.abc import AsyncIterator, Callable

import aiohttp
import logbook

from coltsfootfront.common.decoding import (
    decoding,
    describe,
    load_json,
    read_integer,
    read_list,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.orders import OrderClient, OrderResult, TargetState
from coltsfootfront.direct.transfers import TransferLimits, create_session, receive
from coltsfootfront.platform import headers

log = logbook.Logger(__name__)

# A target answers an order at once, so the response takes one round trip: 50 ms between regions.
TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.3
TIMEOUTS = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
# A report lists the models of one target and its running requests, about 60 bytes each.
MAX_REPORT_BYTES = 128 * 1024
REPORT_LIMITS = TransferLimits(TIMEOUT_S, TIMEOUT_S, TIMEOUT_S, MAX_REPORT_BYTES)
# Instructs a target to keep its running requests while it loads new weights.
SWITCH_MODE = "retain"

# A failed exchange, or a malformed body.
_READ_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)

RESULT_BY_STATUS = {
    # The target starts to load the version.
    202: OrderResult.ACCEPTED,
    # The target has loaded the version already.
    200: OrderResult.ALREADY_LOADED,
    409: OrderResult.BUSY,
    # The target has seen a higher fencing token.
    412: OrderResult.FENCED,
    # Another target than the expected one runs at the address.
    421: OrderResult.REPLACED,
}


class _GuardedBody:
    """Request body that is only sent while this router still holds the lease for orders.

    The check is made after the connection was opened: connecting may take long, and the process
    may be paused meanwhile, so that the lease has expired by then.

    :param may_send: returns whether the lease is still held.
    """

    __slots__ = ("_body", "_may_send", "is_withheld")

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self._body = body
        self._may_send = may_send
        self.is_withheld = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises OSError: when the lease is no longer held.
        """
        if not self._may_send():
            self.is_withheld = True
            raise OSError("the lease for issuing orders has expired")
        yield self._body


class PlatformOrderClient(OrderClient):
    """HTTP client for orders to targets.

    :param router_name: name of this router, sent as the holder of the lease.
    """

    def __init__(self, router_name: str) -> None:
        self._router_name = router_name
        self._order_session: aiohttp.ClientSession | None = None
        self._report_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        # Each order has a connection of its own: nothing in a response names its order, and on a
        # kept connection a late second response would be read as the response to the next order.
        self._order_session = create_session(TIMEOUTS, is_kept_alive=False)
        self._report_session = create_session(TIMEOUTS)

    async def close(self) -> None:
        for session in (self._order_session, self._report_session):
            if session is not None:
                await session.close()

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
            "holder": self._router_name,
            "fence": fencing_token,
            # Number of orders that the target has accepted so far, for optimistic concurrency
            # control: the target rejects the order when its own count differs.
            "expected": accepted_orders,
        }
        assert self._order_session is not None
        url = f"http://{target.entry.address}/v1/order"
        body = json.dumps(fields).encode()
        request_headers = {
            headers.EXPECTED_TARGET: target.name,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        guarded_body = _GuardedBody(body, may_send)
        try:
            async with self._order_session.post(
                url, data=guarded_body.chunks(), headers=request_headers
            ) as response:
                return RESULT_BY_STATUS.get(response.status, OrderResult.REFUSED)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if guarded_body.is_withheld:
                log.info(event("order_withheld", target=target.name, version=version))
                return OrderResult.WITHHELD
            log.warning(event("order_unanswered", target=target.name, reason=repr(error)))
            return OrderResult.UNKNOWN

    async def read_state(self, target: Target) -> TargetState | None:
        session = self._report_session
        assert session is not None
        url = f"http://{target.entry.address}/v1/report"
        request_headers = {headers.EXPECTED_TARGET: target.name}
        try:
            received = await receive(
                lambda: session.get(url, headers=request_headers), REPORT_LIMITS
            )
            return _decode_state(received.body) if received.status == 200 else None
        except _READ_ERRORS as error:
            log.warning(event("report_unanswered", target=target.name, reason=describe(error)))
            return None


@decoding("report")
def _decode_state(data: bytes) -> TargetState:
    """Decode a target's report.

    :raises DecodingError: if it is malformed.
    """
    body = load_json(data)
    return TargetState(
        versions={
            read_text(model["name"]): read_integer(model["version"])
            for model in read_list(body["models"])
        },
        accepted_orders=read_integer(body["sequence"]),
        is_busy=bool(body["busy"]),
        running=read_integer(body["running"]),
        waiting=read_integer(body["queued"]),
    )
