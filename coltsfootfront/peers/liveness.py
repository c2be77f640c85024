"""Detects whether the agent of a stream without data is live, or hangs or is unreachable."""

import asyncio

from coltsfootfront.common.clock import Clock
from coltsfootfront.peers.channel import Channel
from coltsfootfront.peers.connection import ConnectionLostError
from coltsfootfront.peers.messages import Status, StatusReply


class AgentLiveness:
    """Tracks the time of the last message from each agent and probes agents without recent ones.

    :param clock: time source.
    :param timeout_s: an agent counts as live for this time after a message; also the time limit
        for its reply to a status query.
    """

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._last_message_s: dict[str, float] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def record_message(self, address: str) -> None:
        """Record that a message has arrived from an agent."""
        self._last_message_s[address] = self._clock.monotonic_s()

    async def is_alive(self, channel: Channel) -> bool:
        """Whether an agent is live; concurrent checks of one agent share a status query.

        The channel of an agent that does not reply is closed, so that its streams fail over.
        """
        address = channel.address
        last_s = self._last_message_s.get(address)
        if last_s is not None and self._clock.monotonic_s() - last_s < self._timeout_s:
            return True
        task = self._checks.get(address)
        if task is None:
            task = asyncio.create_task(self._query_status(channel))
            self._checks[address] = task
            task.add_done_callback(lambda _: self._checks.pop(address, None))
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Cancel pending status queries."""
        tasks = list(self._checks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def keep_only(self, addresses: set[str]) -> None:
        """Drop the state of agents that are no longer in the configuration document."""
        for address in self._last_message_s.keys() - addresses:
            del self._last_message_s[address]

    async def _query_status(self, channel: Channel) -> bool:
        try:
            await channel.call(Status(channel.next_number()), StatusReply, self._timeout_s)
            return True
        except ConnectionLostError:
            await channel.close()
            return False
