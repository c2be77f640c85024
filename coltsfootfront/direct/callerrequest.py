"""A caller's request, and the interface through which the response is written."""

import hashlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from coltsfootfront.common.errors import Failure
from coltsfootfront.direct.crashevidence import DIGEST_PREFIX

DIGEST_BYTES = 12


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    :param key: identifies the part by its text.
    :param tokens: length of the part in tokens.
    """

    key: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """One caller's request.

    :param received_s: monotonic time at which the request head was read.
    :param deadline_s: monotonic time until which the caller waits.
    :param headers: headers to forward, without those that the router sets itself.
    :param api_key: API key, empty when there is none.
    :param parts: parts of the prompt in order; the last one is specific to this request.
    :param resume_after: id of the last event that the caller has received, None for a new stream.
    :param resumes: id of the caller's request that brought the first event of the stream, empty if
        the caller names none, or several.
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
    resumes: str = ""
    _digest: str = field(default="", init=False, repr=False)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def shared_keys(self) -> tuple[str, ...]:
        """Keys of the shared parts."""
        return tuple(part.key for part in self.shared_parts)

    @property
    def digest(self) -> str:
        """Identifies a request that comes again, with the same path, caller and body."""
        if not self._digest:
            content = hashlib.blake2b(digest_size=DIGEST_BYTES)
            for text in (self.method, self.host, self.path, self.api_key):
                data = text.encode("utf-8", "surrogateescape")
                content.update(len(data).to_bytes(4) + data)
            content.update(self.body)
            self._digest = DIGEST_PREFIX + content.hexdigest()
        return self._digest

    @property
    def crash_keys(self) -> tuple[str, ...]:
        """Keys by which a request that crashes targets is told from others."""
        return (*self.shared_keys, self.digest)


class ResponseWriter(ABC):
    """Writes the response to one request."""

    @abstractmethod
    async def refuse(self, failure: Failure) -> None:
        """Respond with a failure; only valid before `begin`."""

    @abstractmethod
    async def begin(
        self, status: int, headers: list[tuple[str, str]], length_bytes: int | None
    ) -> None:
        """Write the status and headers.

        :param length_bytes: length of the body, None when it is not known.
        """

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""

    def hold(self, size_bytes: int) -> bool:
        """Record the size of what is kept of the response before it is written.

        :returns: False if there is no room to keep more.
        """
        return True

    @abstractmethod
    async def end(self) -> None:
        """Complete the response."""

    @abstractmethod
    def abort(self) -> None:
        """Break off the response so that the caller cannot take it for complete."""
