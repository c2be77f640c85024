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
class Authenticated:
    """An operator whose key was proven.

    :param may_apply: whether changes are allowed.
    """

    name: str
    may_apply: bool


def authenticate(
    authorization: str, document: Document, bootstrap_key_hash: str
) -> Result[Authenticated, Failure]:
    """Find the operator that a request comes from.

    :param authorization: value of the ``Authorization`` header.
    :param document: the document in force.
    :param bootstrap_key_hash: hash of the key that is accepted while the document names no
        operator; empty for none.
    """
    if not authorization.lower().startswith(_SCHEME):
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, "a bearer key is required"))
    key = authorization[len(_SCHEME) :].strip()
    if not key or len(key) > MAX_KEY_CHARACTERS:
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, "the key is empty or too long"))
    found = _find(hash_key(key), document, bootstrap_key_hash)
    if found is None:
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, "the key is not known"))
    return Success(found)


def _find(key_hash: str, document: Document, bootstrap_key_hash: str) -> Authenticated | None:
    found: Authenticated | None = None
    # Every hash is compared, so that the time taken does not tell which one came close.
    for name, operator in document.operators.items():
        if hmac.compare_digest(operator.key_hash, key_hash):
            found = Authenticated(name, operator.may_apply)
    bootstraps = bool(bootstrap_key_hash) and not document.operators
    if bootstraps and hmac.compare_digest(bootstrap_key_hash, key_hash):
        found = Authenticated(BOOTSTRAP_NAME, True)
    return found
