"""Authenticated message connections over TCP.

A frame is a 4-byte big-endian length followed by a message. In the handshake each side proves
with an HMAC over both nonces that it knows the shared secret; the secret is never sent.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct
from collections.abc import Awaitable, Callable

import logbook

from coltsfootfront.common import metrics
from coltsfootfront.common.logs import event
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.peers.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Message,
    MessageError,
    Proof,
    decode,
    encode,
)

log = logbook.Logger(__name__)

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Frame limit before authentication; a hello and a proof fit in it.
MAX_HANDSHAKE_BYTES = 1024
HANDSHAKE_TIMEOUT_S = 3.0
NONCE_BYTES = 16
_LENGTH_HEADER = struct.Struct(">I")


class ConnectionLostError(Exception):
    """The connection could not be opened or authenticated, or has failed."""


class Identity:
    """Identity that this process presents to its peers.

    :param role: ``router``, ``agent`` or ``admin``.
    :param name: unique name of the process.
    :param data_centre: name of its data centre.
    :param secret: shared secret from the settings.
    :param revision: returns the active configuration revision, sent with every message.
    """

    __slots__ = ("_secret", "data_centre", "incarnation", "name", "revision", "role")

    def __init__(
        self, role: str, name: str, data_centre: str, secret: str, revision: Callable[[], int]
    ) -> None:
        self.role = role
        self.name = name
        self.data_centre = data_centre
        self.incarnation = secrets.token_hex(8)
        self.revision = revision
        self._secret = secret.encode()

    def proof(self, side: str, first: bytes, second: bytes) -> bytes:
        """Compute the HMAC that proves knowledge of the secret.

        :param side: ``client`` or ``server``, so that a proof cannot be reflected.
        :param first: nonce of the client.
        :param second: nonce of the server.
        """
        return hmac.new(self._secret, side.encode() + first + second, hashlib.sha256).digest()


class Connection:
    """Framed message connection between two processes, authenticated by a handshake.

    :param reader: stream to read from.
    :param writer: stream to write to.
    :param identity: identity of this process.
    """

    __slots__ = (
        "_identity",
        "_max_bytes",
        "_reader",
        "_writer",
        "peer",
        "peer_incarnation",
        "peer_role",
    )

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, identity: Identity
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._identity = identity
        self._max_bytes = MAX_HANDSHAKE_BYTES
        self.peer = ""
        self.peer_role = ""
        self.peer_incarnation = ""

    async def send(self, message: Message) -> int:
        """Send one message and wait until the transport's buffer is below its limit.

        :returns: bytes written.
        :raises ConnectionLostError: the connection is closed or broken.
        """
        data = encode(message, self._identity.revision())
        if self._writer.is_closing():
            raise ConnectionLostError("connection is closed")
        try:
            self._writer.write(_LENGTH_HEADER.pack(len(data)) + data)
            await self._writer.drain()
        except (OSError, RuntimeError) as error:
            raise ConnectionLostError(f"send failed: {error}") from error
        return len(data) + _LENGTH_HEADER.size

    async def receive(self) -> tuple[Message, int]:
        """Wait for the next message.

        :returns: the message and the sender's configuration revision.
        :raises ConnectionLostError: the peer closed the connection or sent an invalid frame.
        """
        try:
            header = await self._reader.readexactly(_LENGTH_HEADER.size)
            (length,) = _LENGTH_HEADER.unpack(header)
            if length > self._max_bytes:
                raise ConnectionLostError(f"frame of {length} bytes exceeds {self._max_bytes}")
            return decode(await self._reader.readexactly(length))
        except (OSError, asyncio.IncompleteReadError) as error:
            raise ConnectionLostError(f"receive failed: {error}") from error
        except MessageError as error:
            raise ConnectionLostError(f"invalid frame: {error}") from error

    def mark_authenticated(self, name: str, role: str, incarnation: str) -> None:
        """Store the peer's identity and raise the frame limit to ``MAX_FRAME_BYTES``."""
        self.peer = name
        self.peer_role = role
        self.peer_incarnation = incarnation
        self._max_bytes = MAX_FRAME_BYTES

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._writer.is_closing()

    async def close(self) -> None:
        """Close the connection; repeated calls have no effect."""
        self._writer.close()
        try:
            await asyncio.wait_for(self._writer.wait_closed(), 1.0)
        except (TimeoutError, OSError):
            pass


async def connect(address: str, identity: Identity, timeout_s: float) -> Connection:
    """Open and authenticate a connection.

    :param address: ``host:port`` with a numeric IP address.
    :param identity: identity of this process.
    :param timeout_s: time limit for connecting and the handshake together.
    :returns: the authenticated connection.
    :raises ConnectionLostError: connection failure, timeout, or an invalid proof.
    """
    host, _, port = address.rpartition(":")
    try:
        async with ReadTimeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            connection = Connection(reader, writer, identity)
            try:
                await _handshake_as_client(connection, identity)
            except BaseException:
                writer.close()
                raise
            return connection
    except (OSError, ValueError, TimeoutError) as error:
        raise ConnectionLostError(f"cannot connect to {address}: {error!r}") from error


async def _handshake_as_client(connection: Connection, identity: Identity) -> None:
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.send(
        Hello(PROTOCOL_VERSION, identity.role, identity.name, identity.data_centre, nonce)
    )
    challenge, _ = await connection.receive()
    if not isinstance(challenge, Challenge):
        raise ConnectionLostError("peer sent no challenge")
    expected = identity.proof("server", nonce, challenge.nonce)
    if not hmac.compare_digest(expected, challenge.proof):
        raise ConnectionLostError("peer does not know the shared secret")
    await connection.send(Proof(identity.proof("client", nonce, challenge.nonce)))
    connection.mark_authenticated(challenge.name, "", challenge.incarnation)


async def _handshake_as_server(connection: Connection, identity: Identity) -> None:
    hello, _ = await connection.receive()
    if not isinstance(hello, Hello):
        raise ConnectionLostError("peer sent no hello")
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.send(
        Challenge(
            PROTOCOL_VERSION,
            identity.name,
            identity.incarnation,
            nonce,
            identity.proof("server", hello.nonce, nonce),
        )
    )
    proof, _ = await connection.receive()
    expected = identity.proof("client", hello.nonce, nonce)
    if not isinstance(proof, Proof) or not hmac.compare_digest(expected, proof.proof):
        raise ConnectionLostError("peer does not know the shared secret")
    connection.mark_authenticated(hello.name, hello.role, "")


Handler = Callable[[Connection], Awaitable[None]]


class Listener:
    """Accepts connections and serves each in its own task.

    :param address: ``host:port`` to listen on; port 0 selects a free port.
    :param identity: identity of this process.
    :param handler: serves one authenticated connection until it ends.
    :param max_connections: connections beyond this number are closed at once.
    """

    def __init__(
        self, address: str, identity: Identity, handler: Handler, max_connections: int = 1024
    ) -> None:
        self._address = address
        self._identity = identity
        self._handler = handler
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Start listening.

        :returns: the bound address as ``host:port``.
        """
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def stop_accepting(self) -> None:
        """Stop accepting new connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.stop_accepting()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._tasks) >= self._max_connections:
            metrics.CONNECTION_EVENTS.inc({"event": "refused_limit"})
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = Connection(reader, writer, self._identity)
        try:
            await self._serve(connection)
        except asyncio.CancelledError:
            # Raised by close(). Not propagated, as asyncio's stream callback logs an error for a
            # cancelled task.
            log.debug(event("connection_closed", peer=connection.peer))
        finally:
            self._tasks.discard(task)
            await connection.close()

    async def _serve(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await _handshake_as_server(connection, self._identity)
        except (ConnectionLostError, TimeoutError) as error:
            metrics.CONNECTION_EVENTS.inc({"event": "handshake_failed"})
            log.warning(event("handshake_failed", reason=error))
            return
        try:
            await self._handler(connection)
        except ConnectionLostError as error:
            log.debug(event("connection_ended", peer=connection.peer, reason=error))
        except Exception as error:
            log.error(event("connection_handler_failed", peer=connection.peer, reason=repr(error)))
