"""Target on raw streams that sends scripted bytes, in given segments and with delays.

What a target sends for a request follows from the request's ID, so that an answer which another
request should have had is recognised.
"""

import asyncio
import hashlib
import json
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from itertools import pairwise
from typing import Any

from coltsfootfront_dev.platformtarget import SIGNATURE_HEADER, PlatformTargetStandIn

CONTENT_LENGTH = b"Content-Length: "
HEAD_END = b"\r\n\r\n"
OK = 200
STATUSES_WITHOUT_BODY = frozenset((204, 304))
STATUS_OF_NO_ANSWER = 0
ID_OF_NO_REQUEST = "ffffffffffffffff"
MODEL_SERVER_PATHS = ("/v1/", "/health")
# A target that answers before it reads a body has at most this much of it in its process: twice
# the limit of asyncio's reader.
MAX_READ_AHEAD_BYTES = 131_072
# Limit on the wait for a router to end a connection that the target has half closed.
HALF_CLOSED_S = 5.0
# Time in which a router sees the end of an answer before the target reads the rest of its request.
LINGER_DELAY_S = 0.2


class Framing(Enum):
    """How the end of a body is marked."""

    LENGTH = "Content-Length"
    CHUNKED = "chunks"
    CONNECTION = "the connection's end"
    BOTH = "Content-Length and chunks"


class Ending(Enum):
    """What becomes of the connection at the end of the script."""

    KEEP = "keep"
    FIN = "FIN"
    HALF = "FIN, while the rest of the request stays unread"
    LINGER = "FIN, then the rest of the request is read"
    READ = "the rest of the request is read, then FIN"
    RST = "RST"
    STALL = "nothing more is sent"
    CRASH = "all connections are reset and the port is closed"


class Owner(Enum):
    """Whose ID a second answer bears."""

    SAME = "the request's own"
    PREVIOUS = "the previous request's on the connection"
    NONE = "no request's"


class Place(Enum):
    """Where a second answer is sent."""

    ON_HEAD = "once the head of the request is read"
    BEFORE = "before the answer"
    WITHIN = "at an offset of the answer"
    AFTER = "in one segment with the end of the answer"
    LATE = "a while after the answer, whether or not a request is under way"
    ON_NEXT = "when the next request of the connection has been read"


@dataclass(frozen=True, slots=True)
class AnswerScript:
    """Bytes of one answer.

    :param body_bytes: size of the body of an answer that is no stream.
    :param event_count: events of a stream, from the first on.
    :param missing_event: number of an event that is left out of a stream; None for none.
    :param length_error_bytes: added to the true Content-Length.
    :param lines: further header lines, as bytes without their end.
    :param trailers: lines after the last chunk.
    :param chunk_bytes: size of the chunks; 0 for one for each event.
    :param status_text: bytes in the place of the status, which make the answer invalid.
    """

    status: int = OK
    framing: Framing = Framing.LENGTH
    body_bytes: int = 40
    event_count: int = 6
    missing_event: int | None = None
    length_error_bytes: int = 0
    lines: tuple[bytes, ...] = ()
    trailers: tuple[bytes, ...] = ()
    chunk_extension: bytes = b""
    chunk_bytes: int = 0
    has_signature: bool = True
    has_request_id: bool = True
    is_not_executed: bool = False
    version: bytes = b"HTTP/1.1"
    status_text: bytes | None = None

    @property
    def has_length(self) -> bool:
        """Whether its end follows from a length."""
        return self.framing is Framing.LENGTH or self.stray_length_bytes is not None

    @property
    def stray_length_bytes(self) -> int | None:
        """Content-Length among the lines of an answer that would else end with its connection."""
        if self.framing is not Framing.CONNECTION:
            return None
        values = [
            line[len(CONTENT_LENGTH) :] for line in self.lines if line.startswith(CONTENT_LENGTH)
        ]
        return int(values[0]) if values else None


@dataclass(frozen=True, slots=True)
class SecondAnswer:
    """A second answer.

    :param offset: offset in the answer at which it is sent, if it comes within.
    :param delay_s: time to wait before, if it comes late.
    """

    place: Place
    owner: Owner
    answer: AnswerScript = AnswerScript()
    offset: int = 0
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Script:
    """What a target does with one request.

    :param answer: the answer; None for none.
    :param interim: bytes sent before the answer, such as an answer with status 100.
    :param splits: offsets at which the bytes are split into segments.
    :param pause_s: time between two segments, and between two events.
    :param break_offset: offset in the bytes from which nothing more is sent; None for all.
    :param is_early: it answers once the head of the request is read.
    :param unread_limit_s: time after which it resets the connection if a part of its answer is
        not taken; None for no limit.
    """

    answer: AnswerScript | None = AnswerScript()
    interim: bytes = b""
    splits: tuple[int, ...] = ()
    pause_s: float = 0.0
    second: SecondAnswer | None = None
    break_offset: int | None = None
    ending: Ending = Ending.KEEP
    is_early: bool = False
    unread_limit_s: float | None = None


@dataclass(slots=True)
class SentAnswer:
    """What a strict reader would get from the bytes that a target sent for a request.

    :param body: the body, as far as its framing reaches.
    :param is_complete: the answer has come to its end.
    """

    status: int
    body: bytes
    is_complete: bool
    is_stream: bool


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of the stream for a request."""
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()


def plain_body(request_id: str, status: int, size: int) -> bytes:
    """Return the body of the answer to a request that is no stream."""
    unit = f"{request_id}/{status};".encode()
    return (unit * (size // len(unit) + 1))[:size]


def body_digest(body: bytes) -> str:
    """Return what tells the body of a request from others."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


@dataclass(slots=True)
class TargetRequest:
    """Head of a request that a target has read."""

    method: str
    path: str
    headers: dict[str, str]

    @property
    def request_id(self) -> str:
        """Its ID."""
        return self.headers.get("x-request-id", "")

    @property
    def body_bytes(self) -> int:
        """Size of its body."""
        return int(self.headers.get("content-length", "0"))

    @property
    def is_stream(self) -> bool:
        """Whether it asks for a stream."""
        return self.path.startswith(("/ask/", "/long/"))


class Encoder:
    """Encodes one answer to a request.

    :param request_id: the ID that the answer bears and from which its body follows.
    """

    __slots__ = ("_first_event", "_is_stream", "_request_id", "_script", "_target")

    def __init__(
        self, script: AnswerScript, request: TargetRequest, request_id: str, target: str
    ) -> None:
        self._script = script
        self._request_id = request_id
        self._target = target
        self._is_stream = request.is_stream and script.status == OK
        self._first_event = int(request.headers.get("last-event-id", "-1")) + 1

    def encode(self) -> tuple[bytes, SentAnswer, int]:
        """Return the bytes, what they say, and the offset of the body."""
        script = self._script
        pieces = self._pieces()
        body = b"".join(pieces)
        lines = list(self._lines(len(body)))
        reason = _reason(script.status)
        status_text = b"%d" % script.status if script.status_text is None else script.status_text
        head = b"\r\n".join([b"%s %s %s" % (script.version, status_text, reason), *lines])
        head += HEAD_END
        sent = SentAnswer(script.status, body, True, self._is_stream)
        if script.status_text is not None:
            sent.status = STATUS_OF_NO_ANSWER
        if script.status in STATUSES_WITHOUT_BODY:
            sent.body = b""
            return head, sent, len(head)
        if script.framing is Framing.LENGTH:
            length = max(0, len(body) + script.length_error_bytes)
            sent.body, sent.is_complete = body[:length], length <= len(body)
            return head + body, sent, len(head)
        if script.framing is Framing.CONNECTION:
            if script.stray_length_bytes is not None:
                sent.body = body[: script.stray_length_bytes]
                sent.is_complete = len(sent.body) == script.stray_length_bytes
            return head + body, sent, len(head)
        chunks = [
            b"%x%s\r\n%s\r\n" % (len(piece), script.chunk_extension, piece) for piece in pieces
        ]
        end = b"\r\n".join([b"0" + script.chunk_extension, *script.trailers, b"", b""])
        return head + b"".join(chunks) + end, sent, len(head)

    def _pieces(self) -> list[bytes]:
        script = self._script
        if self._is_stream:
            numbers = range(self._first_event, script.event_count)
            events = [
                stream_event(self._request_id, number)
                for number in numbers
                if number != script.missing_event
            ]
            if not script.chunk_bytes:
                return events
            body = b"".join(events)
        else:
            body = plain_body(self._request_id, script.status, script.body_bytes)
        size = script.chunk_bytes or max(1, len(body))
        return [body[begin : begin + size] for begin in range(0, len(body), size)]

    def _lines(self, length: int) -> Iterator[bytes]:
        script = self._script
        if script.has_request_id:
            yield b"X-Request-Id: " + self._request_id.encode()
        if script.has_signature:
            yield f"{SIGNATURE_HEADER}: {self._target}.{self._request_id}".encode()
        if script.is_not_executed:
            yield b"X-Not-Executed: 1"
        if self._is_stream:
            yield b"Content-Type: text/event-stream"
        if script.framing in (Framing.CHUNKED, Framing.BOTH):
            yield b"Transfer-Encoding: chunked"
        has_length = script.framing in (Framing.LENGTH, Framing.BOTH)
        if has_length and script.status not in STATUSES_WITHOUT_BODY:
            yield b"Content-Length: %d" % max(0, length + script.length_error_bytes)
        if script.framing is Framing.CONNECTION:
            yield b"Connection: close"
        yield from script.lines


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"X"


@dataclass(slots=True)
class ScriptBook:
    """Scripts of the requests, and what became of them, for all targets.

    :param scripts: scripts of each request, for its first arrival at a target, its second and so
        on; a request without one is answered well.
    :param runs: how often each request has run.
    :param sent: what was sent for each request, in whole or in part.
    :param body_digests: digests of the requests' bodies that were read to their end.
    """

    scripts: dict[str, list[Script]] = field(default_factory=dict)
    arrivals: dict[str, int] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    sent: dict[str, list[SentAnswer]] = field(default_factory=dict)
    targets: dict[str, list[str]] = field(default_factory=dict)
    body_digests: dict[str, str] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set at each arrival of a request."""

    def take(self, request_id: str, target: str) -> Script:
        """Return the script for a request that has arrived."""
        self.arrivals[request_id] = self.arrivals.get(request_id, 0) + 1
        self.targets.setdefault(request_id, []).append(target)
        self.changed.set()
        scripts = self.scripts.get(request_id)
        return scripts.pop(0) if scripts else Script()

    def record_run(self, request_id: str) -> None:
        """Count a run of a request."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1

    def record_sent(self, request_id: str, sent: SentAnswer) -> None:
        """Record what is sent for a request."""
        self.sent.setdefault(request_id, []).append(sent)

    async def wait_for_arrival(self, request_id: str) -> None:
        """Wait until a request has arrived at a target."""
        while request_id not in self.arrivals:
            self.changed.clear()
            await self.changed.wait()


class _Connection:
    """One connection of a router to a target."""

    __slots__ = ("late", "on_next", "previous_id", "reader", "target", "writer")

    def __init__(
        self,
        target: "ScriptedTarget",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.target = target
        self.reader = reader
        self.writer = writer
        self.previous_id = ID_OF_NO_REQUEST
        self.on_next: bytes = b""
        self.late: list[asyncio.TimerHandle] = []

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while await self._serve_request():
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            for handle in self.late:
                handle.cancel()
            self.writer.transport.abort()

    def write(self, data: bytes) -> None:
        """Send bytes if the connection is still open."""
        if not self.writer.transport.is_closing():
            self.writer.write(data)

    async def _serve_request(self) -> bool:
        """Answer one request.

        :returns: whether the connection is kept.
        """
        head = await self.reader.readuntil(HEAD_END)
        request = _parse_request(head)
        if request.path.startswith(MODEL_SERVER_PATHS):
            return await self._serve_model_server_call(request)
        script = self.target.book.take(request.request_id, self.target.name)
        if script.second is not None and script.second.place is Place.ON_HEAD:
            self.write(self._encode_second(script.second, request))
        if not script.is_early:
            await self._read_body(request)
        answer = script.answer
        if answer is None or not (answer.is_not_executed or answer.status == 421):
            self.target.book.record_run(request.request_id)
        if self.on_next:
            self.write(self.on_next)
            self.on_next = b""
        is_kept = await self._send(script, request)
        if script.is_early:
            await self._read_body(request)
        self.previous_id = request.request_id
        return is_kept

    async def _read_body(self, request: TargetRequest) -> None:
        body = await self.reader.readexactly(request.body_bytes)
        self.target.book.body_digests[request.request_id] = body_digest(body)

    async def _serve_model_server_call(self, request: TargetRequest) -> bool:
        await self._read_body(request)
        status, value = self.target.model_server_answer(request.path)
        body = json.dumps(value).encode()
        head = f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
        self.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return True

    def _encode_second(self, second: SecondAnswer, request: TargetRequest) -> bytes:
        request_id = {
            Owner.SAME: request.request_id,
            Owner.PREVIOUS: self.previous_id,
            Owner.NONE: ID_OF_NO_REQUEST,
        }[second.owner]
        data, sent, _ = Encoder(second.answer, request, request_id, self.target.name).encode()
        if second.owner is Owner.SAME:
            self.target.book.record_sent(request.request_id, sent)
        return data

    async def _send(self, script: Script, request: TargetRequest) -> bool:
        if script.answer is None:
            data, body_offset = b"", 0
        else:
            encoder = Encoder(script.answer, request, request.request_id, self.target.name)
            data, sent, body_offset = encoder.encode()
            has_body = script.answer.status not in STATUSES_WITHOUT_BODY
            is_connection = script.answer.framing is Framing.CONNECTION
            has_end = has_body and is_connection and script.answer.stray_length_bytes is None
            is_unread = script.is_early and request.body_bytes > MAX_READ_AHEAD_BYTES
            is_ended = script.ending is Ending.READ or (
                script.ending is Ending.FIN and not is_unread
            )
            if script.break_offset is not None and script.break_offset < len(data):
                data = data[: script.break_offset]
                if has_body and script.answer.has_length:
                    sent.is_complete &= len(data) - body_offset >= len(sent.body)
                elif has_body:
                    sent.is_complete = has_end and is_ended
                sent.body = data[body_offset:] if has_end else sent.body
            elif has_end:
                sent.is_complete = is_ended
            self.target.book.record_sent(request.request_id, sent)
        data = script.interim + self._insert_second(script, request, data)
        try:
            async with asyncio.timeout(script.unread_limit_s):
                await self._write_segments(script, data)
        except TimeoutError:
            for sent in self.target.book.sent[request.request_id]:
                sent.is_complete = False
            self.reset()
            return False
        return await self._end(script, request)

    def _insert_second(self, script: Script, request: TargetRequest, data: bytes) -> bytes:
        second = script.second
        if second is None:
            return data
        match second.place:
            case Place.BEFORE:
                return self._encode_second(second, request) + data
            case Place.AFTER:
                return data + self._encode_second(second, request)
            case Place.WITHIN:
                offset = second.offset % (len(data) + 1)
                return data[:offset] + self._encode_second(second, request) + data[offset:]
            case Place.ON_NEXT:
                self.on_next = self._encode_second(second, request)
            case Place.LATE | Place.ON_HEAD:
                pass
        return data

    async def _write_segments(self, script: Script, data: bytes) -> None:
        offsets = sorted({0, len(data), *(split % (len(data) + 1) for split in script.splits)})
        for begin, end in pairwise(offsets):
            self.write(data[begin:end])
            await self.writer.drain()
            await asyncio.sleep(script.pause_s)

    async def _end(self, script: Script, request: TargetRequest) -> bool:
        match script.ending:
            case Ending.FIN:
                await self.writer.drain()
                self.writer.close()
                await self.writer.wait_closed()
            case Ending.HALF:
                self.writer.write_eof()
                await self._until_end()
            case Ending.READ:
                await self.reader.readexactly(request.body_bytes)
                self.writer.close()
                await self.writer.wait_closed()
            case Ending.LINGER:
                self.writer.write_eof()
                await asyncio.sleep(LINGER_DELAY_S)
                await self.reader.read(-1)
            case Ending.RST:
                self.reset()
            case Ending.CRASH:
                await self.target.crash()
            case Ending.STALL:
                await self.reader.read(1)
            case Ending.KEEP:
                second = script.second
                if second is not None and second.place is Place.LATE:
                    late = self._encode_second(second, request)
                    loop = asyncio.get_running_loop()
                    self.late.append(loop.call_later(second.delay_s, self.write, late))
                return True
        return False

    async def _until_end(self) -> None:
        """Wait for the router to end the connection, without reading from it."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(HALF_CLOSED_S):
            await self.writer.wait_closed()

    def reset(self) -> None:
        """End the connection with a reset."""
        connection_socket = self.writer.get_extra_info("socket")
        # With a linger time of zero, closing the socket sends a reset.
        linger = struct.pack("ii", 1, 0)
        try:
            connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
        self.writer.transport.abort()


class ScriptedTarget(PlatformTargetStandIn):
    """Target that answers as a script book says.

    :param name: instance ID of the target.
    :param version: version of its weights; None for a plain service.
    :param receive_buffer_bytes: size of the sockets' buffers for what it has not read; 0 leaves it
        to the system.
    """

    def __init__(
        self,
        name: str,
        service: str,
        book: ScriptBook,
        version: int | None = None,
        receive_buffer_bytes: int = 0,
    ) -> None:
        super().__init__(name, service, version)
        self.book = book
        self._receive_buffer_bytes = receive_buffer_bytes
        self.on_scripted_crash: Callable[[ScriptedTarget], None] = lambda target: None
        self._server: asyncio.Server | None = None
        self._connections: dict[_Connection, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start listening on loopback."""
        listener = socket.create_server(("127.0.0.1", 0))
        if self._receive_buffer_bytes:
            # Accepted sockets inherit it.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes)
        self._server = await asyncio.start_server(self._accept, sock=listener)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def crash(self) -> None:
        """Reset all connections and stop listening, as a process that ends by itself."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.reset()
        self.on_scripted_crash(self)

    async def restart(self) -> None:
        """Listen again, under another name and address."""
        self.born = int(time.time() * 1000)
        self.name = f"{self.name.partition('.')[0]}.{self.born}"
        await self.start()

    def model_server_answer(self, path: str) -> tuple[int, dict[str, Any]]:
        """Return status and document of a call that is no request of a caller."""
        if path.startswith("/v1/order"):
            return 202, {}
        if path.startswith("/v1/kv-events"):
            return 200, {"boot-epoch": 1, "next": 0, "lost": False, "events": []}
        return 200, self._report()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(self, reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self._connections[connection] = task
        try:
            await connection.run()
        except asyncio.CancelledError:
            pass
        finally:
            del self._connections[connection]


def _parse_request(head: bytes) -> TargetRequest:
    request_line, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return TargetRequest(method, path, headers)
