"""TCP forwarder on loopback that refuses, aborts, stalls or slows connections."""

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536
# Bytes of a limited direction are forwarded in pieces of about this duration.
PIECE_S = 0.01
# A link that was busy until this time ago has gone on meanwhile, and the event loop is late.
MAX_LATENESS_S = 0.05


class LinkRate:
    """Rate of one direction of a link, shared by all connections that use it.

    :param bytes_per_s: bytes that pass in a second.
    """

    __slots__ = ("_busy_until_s", "bytes_per_s")

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._busy_until_s = 0.0

    @property
    def piece_bytes(self) -> int:
        """Bytes to forward at once."""
        return max(1, min(READ_BYTES, int(self.bytes_per_s * PIECE_S)))

    async def transmit(self, size_bytes: int) -> None:
        """Wait until the link has transmitted a piece, after all pieces before it."""
        now_s = asyncio.get_running_loop().time()
        if self._busy_until_s < now_s - MAX_LATENESS_S:
            self._busy_until_s = now_s
        self._busy_until_s += size_bytes / self.bytes_per_s
        await asyncio.sleep(max(0.0, self._busy_until_s - now_s))


class TcpProxy:
    """Forwards connections to one address.

    :param listen: ``host:port`` to listen on; port 0 takes a free one.
    :param forward_to: ``host:port`` to which connections are forwarded.
    :param to_client: rate towards clients; None for no limit.
    :param to_server: rate towards the server; None for no limit.
    """

    def __init__(
        self,
        listen: str,
        forward_to: str,
        to_client: LinkRate | None = None,
        to_server: LinkRate | None = None,
    ) -> None:
        self._rates = {True: to_client, False: to_server}
        self.address = listen
        self._forward_to = forward_to
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self.refuses_connections = False
        """Whether new connections are aborted at once."""
        self.abort_after_bytes = 0
        """Number of bytes sent to clients, over all connections, after which every connection is
        aborted. Counts down and is 0, for never, after that."""

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def pause(self) -> None:
        """Stop forwarding in both directions without closing a connection."""
        self._forwarding.clear()

    def resume(self) -> None:
        """Resume forwarding, beginning with the bytes that were held back."""
        self._forwarding.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses_connections:
            writer.transport.abort()
            return
        host, _, port = self._forward_to.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, server_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._copy(reader, server_writer, towards_client=False),
                self._copy(server_reader, writer, towards_client=True),
            )
        except OSError:
            # A reset on one side is forwarded as a reset rather than as an orderly close.
            for connection_writer in writers:
                _reset_on_close(connection_writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._writers -= writers
            for connection_writer in writers:
                with contextlib.suppress(OSError):
                    connection_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, towards_client: bool
    ) -> None:
        rate = self._rates[towards_client]
        while data := await reader.read(rate.piece_bytes if rate else READ_BYTES):
            await self._forwarding.wait()
            if rate is not None:
                await rate.transmit(len(data))
            if towards_client and self._reaches_cut(data):
                self.abort_connections()
                return
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def _reaches_cut(self, data: bytes) -> bool:
        if not self.abort_after_bytes:
            return False
        self.abort_after_bytes -= len(data)
        if self.abort_after_bytes > 0:
            return False
        self.abort_after_bytes = 0
        return True


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Make closing the socket send a reset."""
    connection_socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
