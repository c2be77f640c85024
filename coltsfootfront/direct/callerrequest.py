"""One caller's request, and the way in which its answer is written."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from coltsfootfront.common.errors import Failure


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    :param key: identifies the text of the part.
    :param tokens: length of the part.
    """

    key: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """One caller's request.

    :param received_s: monotonic time at which its head was read.
    :param deadline_s: monotonic time until which the caller waits.
    :param headers: headers to forward, without those that the router sets itself.
    :param api_key: API key, empty when there is none.
    :param parts: the parts of the prompt in order; the last belongs to this request alone.
    :param resume_after: number of the last event that the caller has, None at the start.
    """

    request_id: str
    host: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    received_s: float
    deadline_s: float
    api_key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = field(default=())
    resume_after: int | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have in common with this one."""
        return self.parts[:-1]


class ResponseWriter(ABC):
    """Where the answer to one request is written."""

    @abstractmethod
    async def refuse(self, failure: Failure) -> None:
        """Answer with a failure; nothing may have been written before."""

    @abstractmethod
    async def begin(
        self, status: int, headers: list[tuple[str, str]], length_bytes: int | None
    ) -> None:
        """Write status and headers.

        :param length_bytes: length of the body, None when it is not known.
        """

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Write a piece of the body."""

    @abstractmethod
    async def end(self) -> None:
        """Mark the answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Break the answer off so that it cannot look complete."""
