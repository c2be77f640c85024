"""Tells a silent stream at a working agent from an agent that is frozen or cut off."""

import asyncio

from coltsfootfront.common.clock import Clock
from coltsfootfront.peers.channel import Channel
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Status, StatusReply


class AgentLiveness:
    """Knows when each agent was last heard.

    :param clock: time source.
    :param timeout_s: an agent heard within this time lives; also the limit for its reply.
    """

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._heard_s: dict[str, float] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def record_message(self, address: str) -> None:
        """Note a message from an agent."""
        self._heard_s[address] = self._clock.monotonic_s()

    async def is_alive(self, channel: Channel) -> bool:
        """Whether an agent works; all streams of one agent share one question.

        A channel whose agent does not answer is closed, so that its streams go elsewhere.
        """
        address = channel.address
        last_s = self._heard_s.get(address)
        if last_s is not None and self._clock.monotonic_s() - last_s < self._timeout_s:
            return True
        task = self._checks.get(address)
        if task is None:
            task = asyncio.create_task(self._ask(channel))
            self._checks[address] = task
            task.add_done_callback(lambda _: self._checks.pop(address, None))
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Cancel open questions."""
        tasks = list(self._checks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def keep_only(self, addresses: set[str]) -> None:
        """Forget agents that left the document."""
        for address in self._heard_s.keys() - addresses:
            del self._heard_s[address]

    async def _ask(self, channel: Channel) -> bool:
        try:
            await channel.call(Status(channel.next_number()), StatusReply, self._timeout_s)
            return True
        except ConnectionLostError:
            await channel.close()
            return False
