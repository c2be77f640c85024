"""UDP forwarder on loopback that drops the datagrams between two processes."""

import asyncio
import random
from typing import Any

Address = tuple[str, int]


class DatagramRelay(asyncio.DatagramProtocol):
    """Forwards datagrams to one address.

    :param listen: host and port to listen on.
    :param forward_to: host and port to which datagrams are forwarded.
    """

    def __init__(self, listen: Address, forward_to: Address) -> None:
        self._listen = listen
        self._forward_to = forward_to
        self._transport: asyncio.DatagramTransport | None = None
        self.loss_rate = 0.0
        """Share of the datagrams that are dropped; 1 cuts the link."""

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._listen
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if self._transport is not None and random.random() >= self.loss_rate:
            self._transport.sendto(data, self._forward_to)
