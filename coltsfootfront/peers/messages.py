"""Typed messages between the system's own processes and their codec.

A message is a msgpack map whose ``t`` field names its type. Unknown fields are ignored and
missing ones take their default, so that two versions can run side by side during an update.
"""

from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, ClassVar, TypeVar, dataclass_transform

import msgpack

from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState

PROTOCOL_VERSION = 1

_TYPES: dict[str, type["Message"]] = {}


class MessageError(Exception):
    """A frame that does not hold a valid message."""


class Message:
    """Base of all messages. ``rev`` is stamped by the connection on sending."""

    __slots__ = ()
    TYPE: ClassVar[str] = ""
    FIELDS: ClassVar[tuple[str, ...]] = ()
    CHECKS: ClassVar[tuple[tuple[str, type | tuple[type, ...], bool], ...]] = ()


_CHECKED_TYPES: dict[str, type | tuple[type, ...]] = {
    "int": int,
    "float": (int, float),
    "str": str,
    "bytes": bytes,
    "bool": bool,
    "list": list,
    "dict": dict,
}


def _checked_type(annotation: str) -> type | tuple[type, ...]:
    name = annotation.replace("<class '", "").replace("'>", "")
    return _CHECKED_TYPES[name.partition("[")[0]]


def _is_required(item: Field[Any]) -> bool:
    return item.default is MISSING and item.default_factory is MISSING


M = TypeVar("M", bound=Message)


@dataclass_transform(field_specifiers=(field,))
def _message(cls: type[M]) -> type[M]:
    slotted = dataclass(slots=True)(cls)
    specification = fields(slotted)  # type: ignore[arg-type]
    slotted.FIELDS = tuple(item.name for item in specification)
    # Computed once: looking it up for each message took a quarter of the time of a probe.
    slotted.CHECKS = tuple(
        (item.name, _checked_type(str(item.type)), _is_required(item)) for item in specification
    )
    _TYPES[slotted.TYPE] = slotted
    return slotted


def encode(message: Message, revision: int) -> bytes:
    """Encode one message.

    :param message: message to encode.
    :param revision: configuration revision in force at the sender.
    :returns: msgpack map.
    """
    body = {name: getattr(message, name) for name in message.FIELDS}
    body["t"] = message.TYPE
    body["rev"] = revision
    packed: bytes = msgpack.packb(body)
    return packed


def decode(data: bytes) -> tuple[Message, int]:
    """Decode one message.

    :param data: msgpack map.
    :returns: the message and the sender's revision.
    :raises MessageError: the data is not a known message or a field has a wrong type.
    """
    try:
        body = msgpack.unpackb(data)
    except Exception as error:
        raise MessageError(f"not a msgpack value: {error}") from error
    if not isinstance(body, dict):
        raise MessageError("not a map")
    cls = _TYPES.get(str(body.get("t")))
    if cls is None:
        raise MessageError(f"unknown message type {body.get('t')!r}")
    revision = body.get("rev", 0)
    if not isinstance(revision, int):
        raise MessageError("rev is not an integer")
    return _build(cls, body), revision


def _build(cls: type[Message], body: dict[str, Any]) -> Message:
    values = {}
    for name, expected, is_required in cls.CHECKS:
        if name in body:
            value = body[name]
            if not isinstance(value, expected):
                raise MessageError(f"{cls.TYPE}: field {name} has a wrong type")
            values[name] = value
        elif is_required:
            raise MessageError(f"{cls.TYPE}: field {name} is missing")
    return cls(**values)


@_message
class Hello(Message):
    """Opens a connection.

    :param nonce: 16 random bytes of the client.
    """

    TYPE = "hello"
    version: int
    role: str
    name: str
    data_centre: str
    nonce: bytes


@_message
class Challenge(Message):
    """Answers :class:`Hello`; ``proof`` shows that the server knows the secret."""

    TYPE = "challenge"
    version: int
    name: str
    incarnation: str
    nonce: bytes
    proof: bytes


@_message
class Proof(Message):
    """Shows that the client knows the secret."""

    TYPE = "proof"
    proof: bytes


@_message
class Probe(Message):
    """Asks an agent what a request would cost at its target.

    :param call: number that the reply repeats.
    :param service: name of the plain service, empty for a model.
    :param customer: customer name.
    :param model: model name.
    :param adapter: adapter name or an empty string.
    :param version: weights version the router expects.
    :param depths: numbers of leading blocks that ``keys`` describe, ascending.
    :param keys: first 8 bytes of the chained block key at each depth.
    :param blocks: number of full blocks in the prompt.
    :param hold: whether to hold a soft reservation for the request.
    """

    TYPE = "probe"
    call: int
    customer: str
    model: str
    adapter: str
    version: str
    depths: list[int]
    keys: list[bytes]
    blocks: int
    priority: int = 0
    hold: bool = True
    service: str = ""


@_message
class ProbeReply(Message):
    """Answers :class:`Probe`.

    :param matched: leading blocks believed to be cached.
    :param wait_s: estimated wait before the request could start.
    :param prefill_s: estimated time to compute one block.
    :param refusal: error kind when the target would refuse, else an empty string.
    :param retry_after_s: when to come back after a refusal, 0 when not known.
    :param engine: incarnation of the engine.
    :param load: running and queued requests divided by slots.
    """

    TYPE = "probe_reply"
    call: int
    matched: int
    wait_s: float
    prefill_s: float
    refusal: str
    engine: str
    load: float
    retry_after_s: float = 0.0


@_message
class Run(Message):
    """Asks an agent to run one request.

    :param stream: number of the stream on this connection.
    :param request_id: identifier that stays the same over all attempts.
    :param attempt: number of the attempt, from 1.
    :param kind: ``completion``, ``chat`` or ``service``.
    :param deadline_unix_s: wall-clock time after which the request must not start.
    :param body: request body as the caller sent it (JSON for engines).
    :param method: HTTP method for services.
    :param path: path below the service for services.
    :param headers: pairs of header name and value for services.
    :param idempotent: whether the request may be repeated.
    :param idempotency_key: hash of the caller's key or an empty string.
    :param keys: first 8 bytes of each chained block key of the prompt.
    :param resume_text: text that an earlier attempt already delivered.
    :param resume_tokens: tokens in ``resume_text``.
    """

    TYPE = "run"
    stream: int
    request_id: str
    attempt: int
    customer: str
    service: str
    kind: str
    deadline_unix_s: float
    body: bytes
    model: str = ""
    adapter: str = ""
    version: str = ""
    method: str = "POST"
    path: str = ""
    headers: list[list[str]] = field(default_factory=list)
    idempotent: bool = True
    idempotency_key: str = ""
    keys: list[bytes] = field(default_factory=list)
    resume_text: str = ""
    resume_tokens: int = 0


@_message
class Accepted(Message):
    """The request passed the gate and waits in the queue."""

    TYPE = "accepted"
    stream: int
    attempt: int
    engine: str


@_message
class Head(Message):
    """The request has been handed over and the target has answered with a head.

    :param status: HTTP status of the target.
    :param headers: pairs of header name and value.
    """

    TYPE = "head"
    stream: int
    attempt: int
    status: int = 200
    headers: list[list[str]] = field(default_factory=list)


@_message
class Chunk(Message):
    """One piece of the answer.

    :param seq: number of the chunk, from 0 within the attempt.
    :param offset: bytes of the answer before this chunk, within the attempt.
    :param data: answer text in UTF-8, or body bytes of a service.
    :param tokens: tokens in this chunk.
    """

    TYPE = "chunk"
    stream: int
    attempt: int
    seq: int
    offset: int
    data: bytes
    tokens: int = 0


@_message
class End(Message):
    """The engine's or service's own end mark has arrived.

    :param chunks: number of chunks in the attempt.
    :param total_bytes: bytes in all chunks of the attempt.
    :param usage: ``prompt_tokens``, ``completion_tokens`` and ``cached_tokens``.
    """

    TYPE = "end"
    stream: int
    attempt: int
    chunks: int
    total_bytes: int
    finish_reason: str = "stop"
    usage: dict[str, int] = field(default_factory=dict)


@_message
class Fail(Message):
    """The request failed.

    :param kind: value of an error kind.
    :param run: value of a run state, from the agent's own knowledge.
    """

    TYPE = "fail"
    stream: int
    attempt: int
    kind: str
    message: str
    run: str
    retry_after_s: float = 0.0


@_message
class Resume(Message):
    """Asks an agent to go on with a stream after the connection was cut.

    :param stream: number of the stream on the new connection.
    :param next_seq: first chunk that the router does not have.
    :param incarnation: incarnation of the agent to which the router sent the request.
    """

    TYPE = "resume"
    stream: int
    request_id: str
    attempt: int
    next_seq: int
    incarnation: str


@_message
class Acknowledge(Message):
    """Tells an agent how far the caller has been served.

    :param offset: bytes of the attempt written to the caller.
    """

    TYPE = "ack"
    stream: int
    attempt: int
    offset: int


@_message
class Cancel(Message):
    """Stops a request whose caller has gone or whose attempt was given up.

    :param stream: number of the stream on which the agent answers with a failure.
    """

    TYPE = "cancel"
    stream: int
    request_id: str
    attempt: int


@_message
class Pull(Message):
    """Asks for the configuration.

    :param have: revision that the asker holds, 0 for none.
    """

    TYPE = "pull"
    call: int
    have: int


@_message
class Delta(Message):
    """Brings the asker to ``to``.

    :param base: revision to which ``put`` and ``remove`` apply; 0 means the whole.
    :param put: zlib-compressed msgpack map of entry key to value bytes.
    :param remove: keys of removed entries.
    :param digest: digest of all entries at ``to``.
    """

    TYPE = "delta"
    call: int
    base: int
    to: int
    put: bytes
    remove: list[str]
    digest: str


@_message
class Heartbeat(Message):
    """Heartbeat between processes; the revision travels with every message."""

    TYPE = "greet"
    call: int
    name: str
    role: str
    data_centre: str
    address: str = ""


@_message
class HeartbeatReply(Message):
    """Answers :class:`Heartbeat`."""

    TYPE = "greet_reply"
    call: int
    name: str


@_message
class Status(Message):
    """Asks a process for its state."""

    TYPE = "status"
    call: int


@_message
class StatusReply(Message):
    """Answers :class:`Status`.

    :param state: JSON object with the revision in force, load and readiness.
    """

    TYPE = "status_reply"
    call: int
    state: bytes


@_message
class Explain(Message):
    """Asks a router how it would place a request.

    :param body: JSON object with ``customer``, ``model`` and ``prompt``.
    """

    TYPE = "explain"
    call: int
    body: bytes


@_message
class ExplainReply(Message):
    """Answers :class:`Explain`.

    :param body: JSON object with the candidates and the choice.
    """

    TYPE = "explain_reply"
    call: int
    body: bytes


def fail_message(stream: int, attempt: int, failure: Failure) -> Fail:
    """Build the message for a failure."""
    return Fail(
        stream,
        attempt,
        failure.kind.value,
        failure.message,
        failure.execution_state.value,
        failure.effective_retry_after_s or 0.0,
    )


def failure_from_message(message: Fail) -> Failure:
    """Read a failure out of its message; unknown kinds become ``internal``."""
    try:
        kind = ErrorKind(message.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    try:
        run = ExecutionState(message.run)
    except ValueError:
        run = ExecutionState.UNKNOWN
    return Failure(kind, message.message, run, message.retry_after_s or None)
