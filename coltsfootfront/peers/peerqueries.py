"""Status and placement queries that the administration API sends to routers and agents."""

import asyncio
from typing import Any

import logbook

from coltsfootfront.common.decoding import decoding, load_json
from coltsfootfront.common.logs import event
from coltsfootfront.peers.channel import ChannelPool
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Explain, ExplainReply, Status, StatusReply

log = logbook.Logger(__name__)

MAX_PARALLEL_STATUS_CALLS = 64
STATUS_TIMEOUT_S = 1.0
EXPLAIN_TIMEOUT_S = 3.0

Json = dict[str, Any]


class PeerQueryClient:
    """Queries processes for their state and routers for placement explanations.

    :param pool: channels by peer address.
    """

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool

    async def fetch_states(self, targets_by_address: dict[str, str]) -> list[Json]:
        """Query the state of processes, with limited concurrency.

        :param targets_by_address: target name by peer address; the name is empty for routers.
        :returns: one row for each process; ``revision`` is None and ``error`` is set if it does
            not reply.
        """
        limit = asyncio.Semaphore(MAX_PARALLEL_STATUS_CALLS)
        rows = (
            self._fetch_state(address, target, limit)
            for address, target in targets_by_address.items()
        )
        return list(await asyncio.gather(*rows))

    async def explain(self, routers: list[str], body: bytes) -> Json | None:
        """Ask routers, one after the other, where a request would be placed and why.

        :param routers: peer addresses.
        :param body: JSON object with customer, model and prompt.
        :returns: the first reply, or None if no router replies.
        """
        for address in routers:
            channel = self._pool.get(address)
            try:
                message = Explain(channel.next_number(), body)
                reply = await channel.call(message, ExplainReply, EXPLAIN_TIMEOUT_S)
                with decoding("explanation"):
                    explanation = load_json(reply.body)
            except (ConnectionLostError, ValueError) as error:
                log.info(event("explain_failed", peer=address, reason=error))
                continue
            return explanation if isinstance(explanation, dict) else {"answer": explanation}
        return None

    async def _fetch_state(self, address: str, target: str, limit: asyncio.Semaphore) -> Json:
        row: Json = {"address": address, "target": target}
        async with limit:
            channel = self._pool.get(address)
            try:
                status = Status(channel.next_number())
                reply = await channel.call(status, StatusReply, STATUS_TIMEOUT_S)
                with decoding("state"):
                    state = load_json(reply.state)
            except (ConnectionLostError, ValueError) as error:
                return {**row, "name": "", "revision": None, "ready": False, "error": str(error)}
        if not isinstance(state, dict):
            return {**row, "name": "", "revision": None, "ready": False, "error": "bad state"}
        return {**row, **state}
