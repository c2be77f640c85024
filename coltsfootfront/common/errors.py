"""The fixed set of error kinds, and the HTTP response for each kind."""

from dataclasses import dataclass, replace
from enum import Enum

# Exit status of a program whose settings cannot be used.
EXIT_BAD_SETTING = 2


class SettingsError(Exception):
    """A settings file that cannot be used; the message is one line."""


class ExecutionState(Enum):
    """What is known about the execution of a request that failed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


class ErrorKind(Enum):
    """Reason for which a request, an order to a target or a configuration change fails."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    INVALID_DOCUMENT = "invalid_document"
    CONFLICT = "conflict"
    IN_PROGRESS = "in_progress"
    KEY_REUSED = "key_reused"
    REQUEST_TIMEOUT = "request_timeout"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    NO_TARGET = "no_target"
    UNREADABLE_CONFIGURATION = "unreadable_configuration"
    TARGET_LEAVING = "target_leaving"
    TARGET_WITHDRAWN = "target_withdrawn"
    WRONG_VERSION = "wrong_version"
    STALE_REVISION = "stale_revision"
    UNKNOWN_STREAM = "unknown_stream"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_AMBIGUOUS = "store_ambiguous"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CONNECTION_LOST = "connection_lost"
    ENGINE_FAILED = "engine_failed"
    TARGET_FAILED = "target_failed"
    TARGET_UNREACHABLE = "target_unreachable"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response for an error kind, and whether another target may be tried.

    :param status: HTTP status code.
    :param retry_elsewhere: another target may succeed if the request has not run.
    :param retry_after_s: default for the ``Retry-After`` header in seconds, or None.
    """

    status: int
    retry_elsewhere: bool = False
    retry_after_s: float | None = None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401),
    ErrorKind.FORBIDDEN: ErrorResponse(403),
    ErrorKind.NOT_FOUND: ErrorResponse(404),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413),
    ErrorKind.INVALID_DOCUMENT: ErrorResponse(422),
    ErrorKind.CONFLICT: ErrorResponse(409),
    ErrorKind.IN_PROGRESS: ErrorResponse(409, retry_after_s=1.0),
    ErrorKind.KEY_REUSED: ErrorResponse(422),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, retry_after_s=1.0),
    ErrorKind.OVERLOADED: ErrorResponse(503, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.QUARANTINED: ErrorResponse(503, retry_after_s=1.0),
    ErrorKind.NO_TARGET: ErrorResponse(503, retry_after_s=1.0),
    ErrorKind.UNREADABLE_CONFIGURATION: ErrorResponse(503),
    ErrorKind.TARGET_LEAVING: ErrorResponse(503, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.TARGET_WITHDRAWN: ErrorResponse(503, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.WRONG_VERSION: ErrorResponse(503, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.STALE_REVISION: ErrorResponse(503, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.UNKNOWN_STREAM: ErrorResponse(502, retry_elsewhere=True),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, retry_after_s=2.0),
    ErrorKind.STORE_AMBIGUOUS: ErrorResponse(503, retry_after_s=2.0),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, retry_after_s=1.0),
    ErrorKind.CONNECTION_LOST: ErrorResponse(502, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.ENGINE_FAILED: ErrorResponse(502, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.TARGET_FAILED: ErrorResponse(502, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.TARGET_UNREACHABLE: ErrorResponse(502, retry_elsewhere=True, retry_after_s=1.0),
    ErrorKind.FENCED: ErrorResponse(409),
    ErrorKind.CANCELLED: ErrorResponse(499),
    ErrorKind.INTERNAL: ErrorResponse(500),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """One failed outcome.

    :param kind: reason for the failure.
    :param message: one sentence for the caller or operator; contains no keys and no prompt text.
    :param execution_state: whether the request may have been executed.
    :param retry_after_s: seconds until a retry may succeed; None takes the default of the kind.
    :param may_retry: whether the caller may be told to retry the request.
    """

    kind: ErrorKind
    message: str = ""
    execution_state: ExecutionState = ExecutionState.NOT_RUN
    retry_after_s: float | None = None
    may_retry: bool = True

    @property
    def error_response(self) -> ErrorResponse:
        """HTTP response for this kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def effective_retry_after_s(self) -> float | None:
        """Value for ``Retry-After`` in seconds, or None."""
        if not self.may_retry:
            return None
        if self.retry_after_s is not None:
            return self.retry_after_s
        return self.error_response.retry_after_s

    def with_execution_state(self, execution_state: ExecutionState) -> "Failure":
        """Return the same failure with another execution state."""
        return replace(self, execution_state=execution_state)

    def without_retry(self) -> "Failure":
        """Return the same failure without a ``Retry-After`` header."""
        return replace(self, may_retry=False)


class FailureError(Exception):
    """Carries a :class:`Failure` through code that cannot return a result.

    :param failure: the failed outcome.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value}: {failure.message}")
        self.failure = failure
