"""Interface through which a request is given to a target."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target


class ExchangeFailure(Enum):
    """How giving a request to a target failed without an answer."""

    NOT_SENT = "not_sent"
    """No connection could be opened, so the request has not run."""
    NO_RESPONSE = "no_answer"
    """The request may have run."""
    INVALID_RESPONSE = "wrong_answer"
    """What came back is not the answer to this request, which may have run."""


class ExchangeError(Exception):
    """A request that was given to a target got no answer of its own.

    :param failure: what is known.
    :param reason: one sentence for people.
    """

    def __init__(self, failure: ExchangeFailure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


@dataclass(slots=True)
class Directive:
    """What the router asks of the target beside the request itself.

    :param deadline_s: seconds after which the target stops work.
    :param customer: name of the customer, empty on open routes.
    :param priority: 0 to 9, 0 is the most urgent.
    :param version: version of the weights that must answer, None when it does not matter.
    :param salt: separates cached prompt parts that must not be shared.
    :param fetch_from: address from which cached parts are fetched, empty for none.
    :param save_to: address to which parts are saved, empty for none.
    :param resume_after: number of the last event that need not be sent again.
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
    """The head of a target's answer, and its body as it arrives."""

    __slots__ = ()

    status: int
    headers: list[tuple[str, str]]
    length_bytes: int | None
    is_not_executed: bool
    """The target says that it did not run the request."""
    is_other_target: bool
    """Another target than the expected one has answered, without running the request."""
    is_other_version: bool
    """The target has other weights than the expected ones, and did not run the request."""
    version: int | None
    """Version of the weights that answer."""
    load: int | None
    """Requests that run or wait at the target."""
    is_draining: bool
    """The target says that it leaves."""
    retry_after_s: float | None
    """Time for which the target wants no requests from this router, None when it does not say."""

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises TargetLostError: when it breaks off.
        """

    @abstractmethod
    def close(self) -> None:
        """Give up the rest of the answer; the target stops work on it."""


class TargetClient(ABC):
    """Gives requests to targets."""

    @abstractmethod
    async def send(self, target: Target, request: CallerRequest, directive: Directive) -> TargetResponse:
        """Send a request and wait for the head of its answer.

        :raises TargetLostError: when there is none.
        """

    @abstractmethod
    async def start(self) -> None:
        """Prepare for requests."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""
