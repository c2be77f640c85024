"""Authentication of callers by bearer key."""

import hashlib

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.configuration.document import Document

MAX_KEY_CHARACTERS = 256
_SCHEME = "bearer "


def hash_key(key: str) -> str:
    """SHA-256 of a key in hexadecimal, as the document holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(header: str | None, document: Document) -> Result[str, Failure]:
    """Find the customer that sent a request.

    The key is hashed before the lookup, so that the time taken says nothing about known keys.

    :param header: value of ``Authorization``, or None.
    :param document: document in force.
    :returns: the customer's name, or ``unauthenticated``.
    """
    if header is None or not header.lower().startswith(_SCHEME):
        return _refuse("a bearer key is required")
    key = header[len(_SCHEME) :].strip()
    if not key or len(key) > MAX_KEY_CHARACTERS:
        return _refuse("the bearer key is empty or too long")
    customer = document.customer_for_key(hash_key(key))
    if customer is None:
        return _refuse("the bearer key is not known")
    return Success(customer)


def _refuse(message: str) -> Result[str, Failure]:
    return Failed(Failure(ErrorKind.UNAUTHENTICATED, message))
