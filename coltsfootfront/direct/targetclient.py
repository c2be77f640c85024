"""Interface through which requests are sent to targets."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.memory.account import Account


class ExchangeFailure(Enum):
    """How an exchange with a target failed without a valid response."""

    NOT_SENT = "not_sent"
    """The request was not sent, for example as its connection was refused, so it has not run."""
    NO_CONNECTION = "no_connection"
    """The request was not sent since no connection opened in time, so it has not run."""
    NO_RESPONSE = "no_answer"
    """No response arrived; the request may have run."""
    INVALID_RESPONSE = "wrong_answer"
    """The response is incomplete, invalid or belongs to another request; this one may have run."""


class ExchangeError(Exception):
    """A request to a target got no valid response.

    :param failure: how the exchange failed.
    :param reason: human-readable explanation for the log.
    """

    def __init__(self, failure: ExchangeFailure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


@dataclass(slots=True)
class Directive:
    """Instructions of the router that accompany a request.

    :param deadline_s: seconds after which the target should stop working on the request.
    :param customer: name of the customer, empty when no API key is required.
    :param priority: 0 to 9, 0 is the most urgent; None for requests without a prompt.
    :param version: required version of the weights, None if any will do.
    :param salt: cache salt; separates cached prompt parts that must not be shared.
    :param fetch_from: address to fetch cached prompt parts from, empty for none.
    :param save_to: address to save prompt parts to, empty for none.
    :param resume_after: id of the last event that need not be sent again, None to send all.
    """

    deadline_s: float
    customer: str = ""
    priority: int | None = None
    version: int | None = None
    salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    resume_after: int | None = None


class TargetResponse(ABC):
    """A target's response: its head, and its body as it arrives."""

    __slots__ = ()

    status: int
    headers: list[tuple[str, str]]
    length_bytes: int | None
    is_not_executed: bool
    """The target reports that it did not run the request."""
    is_other_target: bool
    """A target other than the expected one responded, and did not run the request."""
    is_other_version: bool
    """The target has another version of the weights than required, and did not run the request."""
    version: int | None
    """Version of the weights that the target reports, None if it reports none."""
    load: int | None
    """Requests running or queued at the target, None if it does not report them."""
    pace_percent: float | None
    """How long work takes at the target now, where 100 is usual, None if it does not report it."""
    is_draining: bool
    """The target is draining and accepts no new requests."""
    retry_after_s: float | None
    """Time for which the target asks this router to send no requests, None if it does not ask."""
    limit_per_s: float | None
    """Requests per second that it accepts from all routers together, None if it names no limit."""

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises ExchangeError: if the body breaks off.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop the rest of the response, which makes the target stop working on it."""


class TargetClient(ABC):
    """Sends requests to targets."""

    account: Account | None = None
    """What the callers are charged to, for whom targets respond; set before the start."""

    @abstractmethod
    async def send(
        self, target: Target, request: CallerRequest, directive: Directive
    ) -> TargetResponse:
        """Send a request and wait for the head of the response.

        :raises ExchangeError: if there is no valid response.
        """

    @abstractmethod
    async def start(self) -> None:
        """Prepare for requests."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""
