"""Network link of a process on loopback: all its connections share one byte rate."""

import asyncio
import contextlib

# Bytes of a connection that are sent together: the bytes of others wait behind them, as in the
# buffer of a network link.
BURST_BYTES = 262144


class RateLimitedLink:
    """Forwards connections to any number of addresses at one rate, shared by both directions.

    :param rate_bytes_per_s: rate of all connections together.
    """

    def __init__(self, rate_bytes_per_s: float) -> None:
        self._rate_bytes_per_s = rate_bytes_per_s
        self._free_at_s = 0.0
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def add(self, forward_to: str) -> str:
        """Start forwarding to ``host:port``.

        :returns: address to connect to instead.
        """

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._forward(reader, writer, forward_to)

        server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=BURST_BYTES)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and abort every connection."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forward_to: str
    ) -> None:
        host, _, port = forward_to.rpartition(":")
        writers = {writer}
        self._writers |= writers
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port), limit=BURST_BYTES
            )
            writers.add(server_writer)
            self._writers.add(server_writer)
            await asyncio.gather(
                self._copy(reader, server_writer), self._copy(server_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers -= writers
            for each in writers:
                with contextlib.suppress(OSError):
                    each.transport.abort()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(BURST_BYTES):
            await self._wait_sent(len(data))
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def _wait_sent(self, size_bytes: int) -> None:
        """Wait until the link has sent what came before, and this."""
        now_s = asyncio.get_running_loop().time()
        self._free_at_s = max(self._free_at_s, now_s) + size_bytes / self._rate_bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)
