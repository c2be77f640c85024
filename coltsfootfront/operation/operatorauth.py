"""Authentication of operators by bearer key."""

import hmac
from dataclasses import dataclass

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.configuration.document import Document
from coltsfootfront.serving.authentication import hash_key

BOOTSTRAP_NAME = "bootstrap"
MAX_KEY_CHARACTERS = 512
_SCHEME = "bearer "


@dataclass(frozen=True, slots=True)
class AuthenticatedOperator:
    """An operator whose key is valid.

    :param may_apply: whether the operator may change the document.
    """

    name: str
    may_apply: bool


def authenticate(
    authorization: str, document: Document, bootstrap_key_hash: str
) -> Result[AuthenticatedOperator, Failure]:
    """Identify the operator by the bearer key of a request.

    :param authorization: value of the ``Authorization`` header.
    :param document: the active document.
    :param bootstrap_key_hash: hash of the key that is accepted while the document has no
        operators; empty for none.
    """
    if not authorization.lower().startswith(_SCHEME):
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, "a bearer key is required"))
    key = authorization[len(_SCHEME) :].strip()
    if not key or len(key) > MAX_KEY_CHARACTERS:
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, "the key is empty or too long"))
    operator = _find_operator(hash_key(key), document, bootstrap_key_hash)
    if operator is None:
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, "the key is not known"))
    return Success(operator)


def _find_operator(
    key_hash: str, document: Document, bootstrap_key_hash: str
) -> AuthenticatedOperator | None:
    match: AuthenticatedOperator | None = None
    # Compares with every hash, so that the duration does not reveal which one matched.
    for name, operator in document.operators.items():
        if hmac.compare_digest(operator.key_hash, key_hash):
            match = AuthenticatedOperator(name, operator.may_apply)
    accepts_bootstrap = bool(bootstrap_key_hash) and not document.operators
    if accepts_bootstrap and hmac.compare_digest(bootstrap_key_hash, key_hash):
        match = AuthenticatedOperator(BOOTSTRAP_NAME, True)
    return match
