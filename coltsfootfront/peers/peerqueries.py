"""Questions of the administration API to routers and agents."""

import asyncio
import json
from typing import Any

import logbook

from coltsfootfront.common.logs import event
from coltsfootfront.peers.channel import ChannelPool
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Explain, ExplainReply, Status, StatusReply

log = logbook.Logger(__name__)

STATUS_PARALLEL = 64
STATUS_TIMEOUT_S = 1.0
EXPLAIN_TIMEOUT_S = 3.0

Json = dict[str, Any]


class PeerQueryClient:
    """Asks other processes for their state and routers for explanations.

    :param pool: channels by peer address.
    """

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool

    async def fetch_states(self, targets_by_address: dict[str, str]) -> list[Json]:
        """Ask processes for their state, some at a time.

        :param targets_by_address: peer address to target name, empty for routers.
        :returns: one row for each; a process that does not answer has no revision and an error.
        """
        limit = asyncio.Semaphore(STATUS_PARALLEL)
        rows = (self._state(address, target, limit) for address, target in targets_by_address.items())
        return list(await asyncio.gather(*rows))

    async def explain(self, routers: list[str], question: bytes) -> Json | None:
        """Ask routers in turn where a request would go and why.

        :param routers: peer addresses.
        :param question: JSON object with customer, model and prompt.
        :returns: the first answer, or None if no router answers.
        """
        for address in routers:
            channel = self._pool.get(address)
            try:
                message = Explain(channel.next_number(), question)
                reply = await channel.call(message, ExplainReply, EXPLAIN_TIMEOUT_S)
                answer = json.loads(reply.body)
            except (ConnectionLostError, ValueError) as error:
                log.info(event("explain_failed", peer=address, reason=error))
                continue
            return answer if isinstance(answer, dict) else {"answer": answer}
        return None

    async def _state(self, address: str, target: str, limit: asyncio.Semaphore) -> Json:
        row: Json = {"address": address, "target": target}
        async with limit:
            channel = self._pool.get(address)
            try:
                status = Status(channel.next_number())
                reply = await channel.call(status, StatusReply, STATUS_TIMEOUT_S)
                state = json.loads(reply.state)
            except (ConnectionLostError, ValueError) as error:
                return {**row, "name": "", "revision": None, "ready": False, "error": str(error)}
        if not isinstance(state, dict):
            return {**row, "name": "", "revision": None, "ready": False, "error": "bad state"}
        return {**row, **state}
