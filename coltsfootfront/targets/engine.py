"""Interface to a model engine."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from returns.result import Result

from coltsfootfront.common.errors import Failure


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """One generation.

    :param request_id: identifier for cancelling.
    :param body: JSON body as the caller sent it (``prompt`` or ``messages``, ``max_tokens`` …).
    :param chat: whether the body is a chat request.
    :param cache_salt: separates cached blocks of customers and weights versions.
    :param priority: 0 is the most urgent.
    :param version: weights version that the engine must run; it refuses otherwise.
    :param resume_text: text that was already delivered; the engine goes on behind it.
    :param resume_tokens: tokens in ``resume_text``.
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
    """Some generated text.

    :param tokens: number of tokens in the text.
    """

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerationEnd:
    """The engine's own end mark.

    :param cached_tokens: prompt tokens that the engine did not compute again.
    """

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports about itself; may lag.

    :param incarnation: differs after each start of the engine.
    :param models: model name to ``(version, adapters)`` that the engine serves now.
    :param role: current role.
    :param running: requests in the batch.
    :param waiting: requests in the engine's own queue.
    :param capacity_blocks: blocks that the cache can hold.
    """

    incarnation: str
    models: dict[str, tuple[str, tuple[str, ...]]] = field(default_factory=dict)
    role: str = "serve"
    running: int = 0
    waiting: int = 0
    capacity_blocks: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the engine's cached blocks.

    :param incarnation: incarnation of the engine that sent the event.
    :param seq: number of the event within the incarnation, from 1 without gaps.
    :param kind: ``stored``, ``removed`` or ``cleared``.
    :param keys: chained block keys, 8 bytes each.
    """

    incarnation: str
    seq: int
    kind: str
    keys: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Order:
    """A change that an engine shall make.

    :param kind: ``load`` (model and version), ``load_adapter``, ``unload_adapter`` or ``role``.
    :param fencing: fencing number of the sender's lease.
    """

    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fencing: int = 0


class Engine(ABC):
    """A model engine on this VM."""

    @abstractmethod
    def generate(self, request: GenerateRequest) -> AsyncIterator[TextChunk | GenerationEnd]:
        """Run one generation.

        Yields pieces and, last, one :class:`GenerationEnd`. Closing the iterator cancels the
        generation at the engine.

        :raises FailureError: ``target_unreachable`` with ``not_run`` when no byte was sent;
            ``wrong_version`` or ``overloaded`` with ``not_run`` on the engine's own word;
            ``engine_failed`` with ``unknown`` when the engine died or its stream ended without
            an end mark.
        """

    @abstractmethod
    async def state(self) -> Result[EngineState, Failure]:
        """Read what the engine reports about itself."""

    @abstractmethod
    def cache_events(self) -> AsyncIterator[CacheEvent]:
        """Follow the engine's cache events.

        :raises FailureError: ``engine_failed`` when the event stream ends.
        """

    @abstractmethod
    async def order(self, order: Order) -> Result[None, Failure]:
        """Issue an order and wait until it has taken effect.

        Fails with ``fenced`` when the engine refuses an old fencing number.
        """

    @abstractmethod
    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        """Export the KV cache of leading blocks; the engine may hold fewer of them."""

    @abstractmethod
    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        """Import exported KV cache.

        :returns: number of blocks taken in.
        """

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
