"""Caller on a raw connection that keeps every byte, and a strict reader of HTTP/1.1 answers."""

import asyncio
import re
from dataclasses import dataclass, field
from enum import Enum

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ([\t\x20-\x7e\x80-\xff]*)")
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
FIELD_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
DECIMAL = re.compile(rb"[0-9]{1,18}")
FINAL_STATUSES = range(200, 600)
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Longest line that names the size of a chunk.
MAX_CHUNK_LINE_BYTES = 64


class Fault(Enum):
    """What is wrong with an answer, or with what became of its request."""

    STATUS_LINE = "malformed status line"
    STATUS = "status of no final answer"
    FIELD_NAME = "a header name is no token"
    FIELD_VALUE = "a header value has control characters"
    FRAMING = "no framing, or more than one"
    CHUNK = "malformed chunk"
    FORBIDDEN_BODY = "a body after a status that has none"
    REQUEST_ID = "the request ID is missing, repeated or another one"
    UNASKED_BYTES = "bytes while no request is waiting"
    EVENTS = "events are missing, repeated or joined with other bytes"
    BODY = "the body is not one that a target sent"
    STATUS_DIFFERS = "the status is not one that a target sent"
    SIGNATURE = "a success without a signature"
    INTERNAL_ERROR = "the router failed unexpectedly"
    NO_ANSWER = "neither an answer nor the connection's end in time"
    CLOSED_WITHOUT_ANSWER = "the connection ends without an answer, and no target was asked"
    TWICE = "a request that may run once ran more often"
    REFUSED_BUT_RAN = "a request ran that was refused as not run"
    NO_LOG_LINE = "the router logged no end of the request"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong.

    :param request_id: the request that was waiting, or the last one before.
    :param detail: the bytes or values that show it.
    """

    fault: Fault
    request_id: str
    detail: str

    def __str__(self) -> str:
        return f"{self.fault.name} ({self.fault.value}), request {self.request_id}: {self.detail}"


class MalformedAnswerError(Exception):
    """Bytes that are no answer in the protocol."""

    def __init__(self, fault: Fault, detail: object) -> None:
        super().__init__(f"{fault.value}: {detail!r:.300}")
        self.fault = fault


@dataclass(slots=True)
class RawAnswer:
    """One answer as it came.

    :param length_bytes: length of the whole answer, its head included.
    :param is_complete: its framing says that it has ended.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes
    length_bytes: int
    is_complete: bool

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        wanted = name.lower().encode()
        return [value.decode("latin-1") for key, value in self.fields if key.lower() == wanted]

    @property
    def is_last(self) -> bool:
        """Whether the connection is to be closed after the answer."""
        return any("close" in value.lower() for value in self.values("Connection"))


def parse_answer(data: bytes) -> RawAnswer | None:
    """Parse the answer that begins the data.

    :returns: the answer, incomplete if data is missing; None while its head is incomplete.
    :raises MalformedAnswerError: if the data begins no answer in the protocol.
    """
    head, end, _ = data.partition(HEAD_END)
    if not end:
        _check_partial_head(data)
        return None
    status_line, *lines = head.split(b"\r\n")
    match = STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise MalformedAnswerError(Fault.STATUS_LINE, status_line)
    status = int(match[1])
    if status not in FINAL_STATUSES:
        raise MalformedAnswerError(Fault.STATUS, status_line)
    answer = RawAnswer(status, [_parse_field(line) for line in lines], b"", 0, False)
    begin = len(head) + len(end)
    lengths, codings = answer.values("Content-Length"), answer.values("Transfer-Encoding")
    if status in STATUSES_WITHOUT_BODY:
        if codings or (status == 204 and lengths):
            raise MalformedAnswerError(Fault.FORBIDDEN_BODY, head)
        answer.is_complete, answer.length_bytes = True, begin
    elif len(lengths) == 1 and not codings and DECIMAL.fullmatch(lengths[0].encode("latin-1")):
        size = int(lengths[0])
        answer.body = data[begin : begin + size]
        answer.is_complete = len(answer.body) == size
        answer.length_bytes = begin + len(answer.body)
    elif not lengths and [coding.lower() for coding in codings] == ["chunked"]:
        _parse_chunks(data, begin, answer)
    else:
        raise MalformedAnswerError(Fault.FRAMING, head)
    return answer


def _check_partial_head(data: bytes) -> None:
    line, end, _ = data.partition(b"\r\n")
    begin = b"HTTP/1.1 "[: len(line)]
    if not line.startswith(begin) or (end and STATUS_LINE.fullmatch(line) is None):
        raise MalformedAnswerError(Fault.STATUS_LINE, line)


def _parse_field(line: bytes) -> tuple[bytes, bytes]:
    name, colon, value = line.partition(b":")
    if not colon or TOKEN.fullmatch(name) is None:
        raise MalformedAnswerError(Fault.FIELD_NAME, line)
    if FIELD_VALUE.fullmatch(value) is None:
        raise MalformedAnswerError(Fault.FIELD_VALUE, line)
    return name, value.strip(b" \t")


def _parse_chunks(data: bytes, offset: int, answer: RawAnswer) -> None:
    """Read the chunks of a body into an answer.

    :raises MalformedAnswerError: if they are not exactly framed.
    """
    body = bytearray()
    while True:
        answer.body, answer.length_bytes = bytes(body), len(data)
        end = data.find(b"\r\n", offset)
        line = data[offset : end if end >= 0 else len(data)]
        size_digits = line if end >= 0 else line.removesuffix(b"\r")
        if (end >= 0 or size_digits) and CHUNK_SIZE.fullmatch(size_digits) is None:
            raise MalformedAnswerError(Fault.CHUNK, data[offset : offset + MAX_CHUNK_LINE_BYTES])
        if end < 0:
            return
        size, begin = int(line, 16), end + 2
        stop = begin + size
        body += data[begin:stop]
        ending = data[stop : stop + 2]
        if not b"\r\n".startswith(ending):
            raise MalformedAnswerError(Fault.CHUNK, data[stop : stop + MAX_CHUNK_LINE_BYTES])
        if len(ending) < 2:
            answer.body = bytes(body)
            return
        offset = stop + 2
        if not size:
            answer.body, answer.length_bytes, answer.is_complete = bytes(body), offset, True
            return


@dataclass(slots=True)
class Reply:
    """What came for one request.

    :param answer: None if the connection ended before a whole head, or the bytes are no answer.
    """

    answer: RawAnswer | None = None
    findings: list[Finding] = field(default_factory=list)


class RawCaller:
    """Caller on one raw connection.

    :param address: address of the router for callers.
    """

    __slots__ = ("_address", "_reader", "_unread", "_writer", "is_closed", "received")

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._unread = bytearray()
        self.received = bytearray()
        """Every byte that came on the connection."""
        self.is_closed = True
        """The connection has not begun, or has ended."""

    async def start(self) -> None:
        """Open the connection."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._unread.clear()
        self.received.clear()
        self.is_closed = False

    def close(self) -> None:
        """Reset the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
        self.is_closed = True

    def send(self, data: bytes) -> None:
        """Send bytes without waiting."""
        assert self._writer is not None
        self._writer.write(data)

    async def wait_for_bytes(self, count: int, timeout_s: float) -> bool:
        """Wait for so many bytes of the current answer.

        :returns: whether they have come before the connection's end.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while len(self._unread) < count and not self.is_closed:
                    await self._read_more()
        except TimeoutError:
            return False
        return len(self._unread) >= count

    async def read_answer(self, request_id: str, timeout_s: float) -> Reply:
        """Read the answer to the request that is waiting.

        :param timeout_s: time after which a missing answer is a finding.
        """
        reply = Reply()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    reply.answer = parse_answer(bytes(self._unread))
                    if self.is_closed or (reply.answer is not None and reply.answer.is_complete):
                        break
                    await self._read_more()
        except MalformedAnswerError as error:
            reply.answer = None
            reply.findings.append(Finding(error.fault, request_id, repr(bytes(self._unread))))
            self.close()
        except TimeoutError:
            detail = f"after {timeout_s} s: {bytes(self._unread)[:400]!r}"
            reply.findings.append(Finding(Fault.NO_ANSWER, request_id, detail))
            self.close()
        if reply.answer is not None:
            del self._unread[: reply.answer.length_bytes]
        return reply

    async def check_quiet(self, request_id: str, wait_s: float) -> list[Finding]:
        """Wait a moment for bytes that nobody asked for, or the connection's end."""
        try:
            async with asyncio.timeout(wait_s):
                while not self.is_closed and not self._unread:
                    await self._read_more()
        except TimeoutError:
            pass
        if not self._unread:
            return []
        detail = f"{bytes(self._unread)!r} after {bytes(self.received)[-600:]!r}"
        self.close()
        return [Finding(Fault.UNASKED_BYTES, request_id, detail)]

    async def _read_more(self) -> None:
        assert self._reader is not None
        try:
            data = await self._reader.read(READ_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            self.is_closed = True
        self._unread += data
        self.received += data
