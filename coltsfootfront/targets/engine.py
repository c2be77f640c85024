"""Interface to a model engine, the inference server that a target runs."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from returns.result import Result

from coltsfootfront.common.errors import Failure


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """Request to generate a completion.

    :param request_id: identifier by which the engine can cancel the request.
    :param body: JSON body as the caller sent it (``prompt`` or ``messages``, ``max_tokens`` …).
    :param chat: whether the body is a chat completion request.
    :param adapter: fine-tuning adapter of the model, such as LoRA, or empty.
    :param cache_salt: keeps cached blocks of different customers and weights versions apart.
    :param priority: 0 is the most urgent.
    :param version: weights version that the engine must serve; otherwise it rejects the request.
    :param resume_text: text that was already delivered; the engine continues after it.
    :param resume_tokens: number of tokens in ``resume_text``.
    """

    request_id: str
    body: bytes
    chat: bool
    model: str
    adapter: str
    version: str
    cache_salt: str
    priority: int
    resume_text: str = ""
    resume_tokens: int = 0


@dataclass(frozen=True, slots=True)
class TextChunk:
    """Chunk of generated text.

    :param tokens: number of tokens in the text.
    """

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerationEnd:
    """End of a generation with the engine's token usage.

    :param cached_tokens: prompt tokens that the engine reused from its KV cache.
    """

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports; may lag behind its actual state.

    :param incarnation: identifies one run of the engine process; changes with each restart.
    :param models: model name to the ``(version, adapters)`` that the engine serves now.
    :param running: requests in the current batch.
    :param waiting: requests in the engine's own queue.
    :param capacity_blocks: blocks that the KV cache can hold.
    """

    incarnation: str
    models: dict[str, tuple[str, tuple[str, ...]]] = field(default_factory=dict)
    role: str = "serve"
    running: int = 0
    waiting: int = 0
    capacity_blocks: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the blocks in the engine's KV cache.

    :param incarnation: incarnation of the engine that sent the event.
    :param seq: sequence number within the incarnation, consecutive from 1.
    :param kind: ``stored``, ``removed`` or ``cleared``.
    :param keys: block keys of 8 bytes; each is a hash over its block and all preceding ones.
    """

    incarnation: str
    seq: int
    kind: str
    keys: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Order:
    """Control command that changes what an engine serves.

    :param kind: ``load`` (model and version), ``load_adapter``, ``unload_adapter`` or ``role``.
    :param fencing: fencing token of the sender's lease.
    """

    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fencing: int = 0


class Engine(ABC):
    """Client of a model engine on this VM."""

    @abstractmethod
    def generate(self, request: GenerateRequest) -> AsyncIterator[TextChunk | GenerationEnd]:
        """Run one generation.

        Yields chunks of text and finally one :class:`GenerationEnd`. Closing the iterator cancels the
        generation on the engine.

        :raises FailureError: ``target_unreachable`` with ``not_run`` when no byte was sent;
            ``wrong_version`` or ``overloaded`` with ``not_run`` when the engine rejects the
            request as such; ``engine_failed`` with ``unknown`` when the engine crashed or its
            stream ended without an end marker.
        """

    @abstractmethod
    async def state(self) -> Result[EngineState, Failure]:
        """Fetch the state that the engine reports."""

    @abstractmethod
    def cache_events(self) -> AsyncIterator[CacheEvent]:
        """Stream the engine's cache events.

        :raises FailureError: ``engine_failed`` when the event stream ends.
        """

    @abstractmethod
    async def order(self, order: Order) -> Result[None, Failure]:
        """Send a control command and wait until it has taken effect.

        Fails with ``fenced`` when the engine rejects an outdated fencing token.
        """

    @abstractmethod
    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        """Export the KV cache of a prefix; the engine may hold only its first blocks."""

    @abstractmethod
    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        """Import KV cache that another engine has exported.

        :returns: number of imported blocks.
        """

    @abstractmethod
    async def start(self) -> None:
        """Prepare for requests; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
