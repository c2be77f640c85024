"""Interface to a plain service."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service.

    :param path: path below the service, with query.
    :param headers: pairs of header name and value.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceResponseHead:
    """Status and headers of a service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(default_factory=tuple)


class PlainService(ABC):
    """A plain service on this VM."""

    @abstractmethod
    def call(self, request: ServiceCall) -> AsyncIterator[ServiceResponseHead | bytes]:
        """Make one call; yields the head, then body pieces.

        :raises FailureError: ``target_unreachable`` with ``not_run`` when no byte was sent;
            ``target_failed`` with ``unknown`` when the connection broke after that.
        """

    @abstractmethod
    async def is_healthy(self) -> bool:
        """Whether the service answers its health check."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
