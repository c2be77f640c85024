"""Typed messages between peer processes, and their msgpack codec.

A message is a msgpack map whose ``t`` field names its type. Unknown fields are ignored and
missing optional ones take their default, so that two versions interoperate during a rolling
update.
"""

from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, ClassVar, TypeVar, dataclass_transform

import msgpack

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure

PROTOCOL_VERSION = 1

_TYPES: dict[str, type["Message"]] = {}


class MessageError(Exception):
    """A frame that does not hold a valid message."""


class Message:
    """Base of all messages.

    :func:`encode` adds ``rev``, the sender's configuration revision, which no class declares.
    """

    __slots__ = ()
    TYPE: ClassVar[str] = ""
    FIELDS: ClassVar[tuple[str, ...]] = ()
    CHECKS: ClassVar[tuple[tuple[str, type | tuple[type, ...], bool], ...]] = ()


_RUNTIME_TYPES: dict[str, type | tuple[type, ...]] = {
    "int": int,
    "float": (int, float),
    "str": str,
    "bytes": bytes,
    "bool": bool,
    "list": list,
    "dict": dict,
}


def _runtime_type(annotation: str) -> type | tuple[type, ...]:
    name = annotation.replace("<class '", "").replace("'>", "")
    return _RUNTIME_TYPES[name.partition("[")[0]]


def _is_required(item: Field[Any]) -> bool:
    return item.default is MISSING and item.default_factory is MISSING


M = TypeVar("M", bound=Message)


@dataclass_transform(field_specifiers=(field,))
def _message(cls: type[M]) -> type[M]:
    slotted = dataclass(slots=True)(cls)
    specification = fields(slotted)  # type: ignore[arg-type]
    slotted.FIELDS = tuple(item.name for item in specification)
    # Computed once per class, as a lookup for each message would take a quarter of the time of a
    # probe.
    slotted.CHECKS = tuple(
        (item.name, _runtime_type(str(item.type)), _is_required(item)) for item in specification
    )
    _TYPES[slotted.TYPE] = slotted
    return slotted


def encode(message: Message, revision: int) -> bytes:
    """Encode one message.

    :param message: message to encode.
    :param revision: active configuration revision of the sender.
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
    :returns: the message and the sender's configuration revision.
    :raises MessageError: the data is malformed, of unknown type, lacks a required field, or has
        a field of a wrong type.
    """
    try:
        body = msgpack.unpackb(data)
    except Exception as error:
        raise MessageError(f"invalid msgpack: {error}") from error
    if not isinstance(body, dict):
        raise MessageError("message is not a msgpack map")
    cls = _TYPES.get(str(body.get("t")))
    if cls is None:
        raise MessageError(f"unknown message type {body.get('t')!r}")
    revision = body.get("rev", 0)
    if not isinstance(revision, int):
        raise MessageError("field rev is not an integer")
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
    """First handshake message, sent by the client.

    :param nonce: 16 random bytes from the client.
    """

    TYPE = "hello"
    version: int
    role: str
    name: str
    data_centre: str
    nonce: bytes


@_message
class Challenge(Message):
    """Server's reply to :class:`Hello`; ``proof`` shows that the server knows the shared secret."""

    TYPE = "challenge"
    version: int
    name: str
    incarnation: str
    nonce: bytes
    proof: bytes


@_message
class Proof(Message):
    """Client's reply to :class:`Challenge`; ``proof`` shows that it knows the shared secret."""

    TYPE = "proof"
    proof: bytes


@_message
class Probe(Message):
    """Asks an agent for the estimated cost of a request at its target.

    :param call: call number, copied into the reply.
    :param service: name of the HTTP service, empty for a model.
    :param customer: customer name.
    :param model: model name.
    :param adapter: adapter name or an empty string.
    :param version: weights version that the router expects.
    :param depths: ascending numbers of leading prompt blocks, one for each of ``keys``.
    :param keys: first 8 bytes of the chained block hash at each depth.
    :param blocks: number of full blocks in the prompt.
    :param hold: whether to reserve capacity for the request for a short time.
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
    """Reply to :class:`Probe`.

    :param matched: leading blocks that are expected to be in the prefix cache.
    :param wait_s: estimated queueing delay.
    :param prefill_s: estimated prefill time of one block.
    :param refusal: error kind with which the target would refuse the request, else empty.
    :param retry_after_s: delay before a retry after a refusal, 0 if unknown.
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
    :param request_id: request identifier, the same for all attempts.
    :param attempt: number of the attempt, starting at 1.
    :param kind: ``completion``, ``chat`` or ``service``.
    :param deadline_unix_s: wall-clock time after which the request must not start.
    :param body: request body as the caller sent it (JSON for engines).
    :param method: HTTP method, for services.
    :param path: request path relative to the service, for services.
    :param headers: pairs of header name and value, for services.
    :param idempotent: whether the request may be executed more than once.
    :param idempotency_key: hash of the caller's idempotency key, or an empty string.
    :param keys: first 8 bytes of each chained block hash of the prompt.
    :param resume_text: text that earlier attempts have delivered to the caller.
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
    """The request has passed admission control and is queued."""

    TYPE = "accepted"
    stream: int
    attempt: int
    engine: str


@_message
class Head(Message):
    """The target has received the request and returned its response head.

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
    """One chunk of the response.

    :param seq: sequence number of the chunk within the attempt, starting at 0.
    :param offset: bytes of the response before this chunk, within the attempt.
    :param data: generated text in UTF-8, or body bytes of a service.
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
    """The response is complete: the engine or service has sent its own end marker.

    :param chunks: number of chunks in the attempt, for a completeness check.
    :param total_bytes: bytes in all chunks of the attempt, for the same check.
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
    :param run: value of an execution state: whether the request has run, according to the agent.
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
    """Asks an agent to continue a stream after the connection was lost.

    :param stream: number of the stream on the new connection.
    :param next_seq: sequence number of the first chunk that the router lacks.
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
    """Reports to an agent how much of the response has been written to the caller.

    :param offset: bytes of the attempt written to the caller.
    """

    TYPE = "ack"
    stream: int
    attempt: int
    offset: int


@_message
class Cancel(Message):
    """Cancels an attempt whose caller has disconnected or that the router has abandoned.

    :param stream: number of the stream on which the agent replies with a failure.
    """

    TYPE = "cancel"
    stream: int
    request_id: str
    attempt: int


@_message
class Pull(Message):
    """Requests the peer's configuration.

    :param have: revision that the sender has, 0 for none.
    """

    TYPE = "pull"
    call: int
    have: int


@_message
class Delta(Message):
    """Updates the receiver's configuration to revision ``to``.

    :param base: revision to which ``put`` and ``remove`` apply; 0 for a full copy.
    :param put: zlib-compressed msgpack map of entry key to value bytes.
    :param remove: keys of removed entries.
    :param digest: digest of all entries at revision ``to``.
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
    """Heartbeat between processes; like every message it carries the sender's revision."""

    TYPE = "greet"
    call: int
    name: str
    role: str
    data_centre: str
    address: str = ""


@_message
class HeartbeatReply(Message):
    """Reply to :class:`Heartbeat`."""

    TYPE = "greet_reply"
    call: int
    name: str


@_message
class Status(Message):
    """Requests the state of a process."""

    TYPE = "status"
    call: int


@_message
class StatusReply(Message):
    """Reply to :class:`Status`.

    :param state: JSON object with the active revision, load and readiness.
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
    """Reply to :class:`Explain`.

    :param body: JSON object with the targets in order of preference, the reason and the agents'
        probe replies, or with an error.
    """

    TYPE = "explain_reply"
    call: int
    body: bytes


def fail_message(stream: int, attempt: int, failure: Failure) -> Fail:
    """Convert a failure to its message."""
    return Fail(
        stream,
        attempt,
        failure.kind.value,
        failure.message,
        failure.execution_state.value,
        failure.effective_retry_after_s or 0.0,
    )


def failure_from_message(message: Fail) -> Failure:
    """Convert a message to a failure; an unknown kind becomes ``internal``."""
    try:
        kind = ErrorKind(message.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    try:
        execution_state = ExecutionState(message.run)
    except ValueError:
        execution_state = ExecutionState.UNKNOWN
    return Failure(kind, message.message, execution_state, message.retry_after_s or None)
