"""Fake agent with scripted responses, for tests of the router's side of the peer protocol."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.entries import digest, split_document
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Connection, Identity, Listener
from coltsfootfront.peers.messages import (
    Accepted,
    Acknowledge,
    Cancel,
    Chunk,
    End,
    Fail,
    Head,
    Heartbeat,
    HeartbeatReply,
    Message,
    Probe,
    ProbeReply,
    Pull,
    Resume,
    Run,
    Status,
    StatusReply,
)
from coltsfootfront.serving.authentication import hash_key

SECRET = "shared"

RunHandler = Callable[["FakeAgent", Connection, Run], Coroutine[Any, Any, None]]


def peer_identity(role: str, name: str) -> Identity:
    return Identity(role, name, "dc-1", SECRET, lambda: 1)


def channel_pool() -> ChannelPool:
    def make(address: str) -> Channel:
        return Channel(address, peer_identity("router", "r1"), SystemClock(), connect_timeout_s=0.3)

    return ChannelPool(make)


async def send_text_response(agent: "FakeAgent", connection: Connection, run: Run) -> None:
    """Send the agent's pieces, without the text that an earlier attempt has delivered."""
    pieces = agent.pieces_after(run.resume_text)
    await connection.send(Accepted(run.stream, run.attempt, "e1"))
    await connection.send(Head(run.stream, run.attempt, 200, [["Content-Type", "text/plain"]]))
    await agent.send_chunks(connection, run.stream, run.attempt, pieces)
    await agent.send_end(connection, run.stream, run.attempt, pieces)


class FakeAgent:
    """Agent that calls a script for each ``Execution`` message.

    :param script: coroutine function that sends the response to a ``Execution`` message.
    """

    def __init__(self, name: str = "t1", script: RunHandler = send_text_response) -> None:
        self.name = name
        self.script = script
        self.pieces = [b"one ", b"two ", b"three"]
        self.runs: list[Run] = []
        self.resumes: list[Resume] = []
        self.cancels: list[Cancel] = []
        self.acknowledgements: list[Acknowledge] = []
        self.probes: list[Probe] = []
        self.probe_reply_fields: dict[str, Any] = {}
        self.answers_probes = True
        self.answers_status = True
        self.on_resume: Callable[[Connection, Resume], Coroutine[Any, Any, None]] = (
            self._refuse_resume
        )
        self.on_cancel: Callable[[Connection, Cancel], Coroutine[Any, Any, None]] | None = None
        self.connections: list[Connection] = []
        self.revision: ActiveConfiguration | None = None
        self.address = "127.0.0.1:0"
        self._listener: Listener | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.identity = peer_identity("agent", name)

    async def start(self) -> str:
        """Start listening; a restart keeps the address and has a new incarnation."""
        self.identity = peer_identity("agent", self.name)
        self._listener = Listener(self.address, self.identity, self._serve)
        self.address = await self._listener.start()
        return self.address

    async def stop(self) -> None:
        """Close the listener and every connection."""
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        if self._listener is not None:
            await self._listener.close()

    async def close_connections(self) -> None:
        """Close every connection and keep listening."""
        connections, self.connections = self.connections, []
        for connection in connections:
            await connection.close()

    async def send_chunks(
        self, connection: Connection, stream: int, attempt: int, pieces: list[bytes], first: int = 0
    ) -> None:
        offset = sum(len(piece) for piece in pieces[:first])
        for seq, piece in enumerate(pieces[first:], first):
            await connection.send(Chunk(stream, attempt, seq, offset, piece, 1))
            offset += len(piece)

    async def send_end(
        self, connection: Connection, stream: int, attempt: int, pieces: list[bytes]
    ) -> None:
        total = sum(len(piece) for piece in pieces)
        usage = {
            "prompt_tokens": 10,
            "completion_tokens": len(self.pieces),
            "cached_tokens": 4,
        }
        await connection.send(End(stream, attempt, len(pieces), total, "stop", usage))

    def pieces_after(self, text: str) -> list[bytes]:
        full_text = b"".join(self.pieces)
        delivered = text.encode()
        if not delivered:
            return self.pieces
        assert full_text.startswith(delivered)
        return [full_text[len(delivered) :]]

    async def _serve(self, connection: Connection) -> None:
        self.connections.append(connection)
        while True:
            message, _ = await connection.receive()
            await self._handle(connection, message)

    async def _handle(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Probe):
            self.probes.append(message)
            if self.answers_probes:
                await connection.send(self._probe_reply(message.call))
        elif isinstance(message, Run):
            self.runs.append(message)
            self.spawn(self.script(self, connection, message))
        elif isinstance(message, Resume):
            self.resumes.append(message)
            await self.on_resume(connection, message)
        elif isinstance(message, Cancel):
            self.cancels.append(message)
            if self.on_cancel is not None:
                await self.on_cancel(connection, message)
        elif isinstance(message, Acknowledge):
            self.acknowledgements.append(message)
        else:
            await self._handle_peer(connection, message)

    async def _handle_peer(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Heartbeat):
            await connection.send(HeartbeatReply(message.call, self.name))
        elif isinstance(message, Pull) and self.revision is not None:
            await connection.send(self.revision.delta_since(message.have, message.call))
        elif isinstance(message, Status) and self.answers_status:
            await connection.send(StatusReply(message.call, b"{}"))

    def _probe_reply(self, call: int) -> ProbeReply:
        fields: dict[str, Any] = {
            "matched": 0,
            "wait_s": 0.0,
            "prefill_s": 0.01,
            "refusal": "",
            "engine": "e1",
            "load": 0.0,
        }
        return ProbeReply(call, **{**fields, **self.probe_reply_fields})

    async def _refuse_resume(self, connection: Connection, message: Resume) -> None:
        is_same = message.incarnation == self.identity.incarnation
        run = "not_run" if is_same else "unknown"
        text = "unknown stream"
        fail = Fail(message.stream, message.attempt, "unknown_stream", text, run)
        await connection.send(fail)

    def spawn(self, body: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine, such as a script or a restart, in a task that :meth:`stop` cancels."""
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def document_for_agents(agents: list[FakeAgent], **changes: Any) -> dict[str, dict[str, Any]]:
    """Build a configuration document with one target for each agent.

    Names that begin with ``s`` are plain servers of the service ``desk``, all others are engines.
    Names that begin with ``far`` are in another region.
    """
    document: dict[str, dict[str, Any]] = {
        "owners": {"o": {}},
        "regions": {
            "near": {"data_centres": ["dc-1"]},
            "away": {"data_centres": ["dc-9"]},
        },
        "models": {"m": {"block_bytes": 8, "max_output_tokens": 100}},
        "services": {
            "llm": {"kind": "engine"},
            "desk": {"kind": "service", "idempotent_paths": ["/read"]},
        },
        "customers": {
            "c": {"key_hashes": [hash_key("key-c")], "requests_per_s": 10000},
            "none": {"key_hashes": [hash_key("key-none")]},
        },
        "targets": {},
        "terms": {"lend": {"owner": "o", "customers": ["c"], "targets": [], "models": ["m"]}},
    }
    for agent in agents:
        is_service = agent.name.startswith("s")
        document["targets"][agent.name] = {
            "owner": "o",
            "service": "desk" if is_service else "llm",
            "data_centre": "dc-9" if agent.name.startswith("far") else "dc-1",
            "agent_address": agent.address,
            "models": [] if is_service else [{"model": "m", "version": "v1"}],
        }
        document["terms"]["lend"]["targets"].append(agent.name)
    for section, entries in changes.items():
        document.setdefault(section, {}).update(entries)
    return document


def configuration_for_agents(agents: list[FakeAgent], **changes: Any) -> ActiveConfiguration:
    """Return an adopted revision with one target for each agent."""
    revision = ActiveConfiguration()
    entries = split_document(document_for_agents(agents, **changes))
    assert revision.install(1, entries, digest(entries))
    return revision
