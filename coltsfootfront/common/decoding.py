"""Decoding of what other programs write: one error for all that can go wrong, and checked fields.

What is nested deeply, a number that is too large, or a name that cannot be encoded raises errors
that have no common base. Every decoder works within :func:`decoding`, which turns them into one.
"""

import ipaddress
import json
import re
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import logbook
import msgpack

from coltsfootfront.common.logs import event

log = logbook.Logger(__name__)

T = TypeVar("T")

# Largest integer that other programs read exactly from JSON, and that a float represents exactly.
MAX_INTEGER = 2**53 - 1
MAX_TEXT_LENGTH = 4096
MAX_PORT = 65535
# Longest time that a field in seconds can tell.
MAX_SECONDS = 1e6
# Longest description of a value or an error in a log line.
MAX_DESCRIPTION_LENGTH = 200
_HOST = re.compile(r"[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]")
_DIGITS = re.compile(r"[0-9]{1,16}")


class DecodingError(ValueError):
    """What another program has written cannot be used; the message is one bounded line."""


@contextmanager
def decoding(what: str) -> Iterator[None]:
    """Turn any error of decoding into a :class:`DecodingError`.

    :param what: what is decoded, for the message.
    """
    try:
        yield
    except MemoryError:
        raise
    except Exception as error:
        raise DecodingError(f"{what} cannot be read: {describe(error)}") from None


def decode_each(
    what: str, values: Iterable[Any], decode: Callable[[Any], T], **fields: Any
) -> list[T]:
    """Decode the items of a batch; those that cannot be read are left out, with one log line.

    :param fields: further fields of the log line, such as where the batch comes from.
    """
    found: list[T] = []
    ignored = 0
    reason = ""
    for value in values:
        try:
            found.append(decode(value))
        except MemoryError:
            raise
        except Exception as error:
            ignored += 1
            reason = reason or describe(error)
    if ignored:
        log.warning(event("items_ignored", what=what, count=ignored, reason=reason, **fields))
    return found


def describe(value: object) -> str:
    """Describe a value or an error of unknown size in one short line."""
    try:
        text = str(value) if isinstance(value, DecodingError) else _represent(value)
    except Exception:
        text = type(value).__name__
    if len(text) > MAX_DESCRIPTION_LENGTH:
        text = text[: MAX_DESCRIPTION_LENGTH - 3] + "..."
    return text


def _represent(value: object) -> str:
    if isinstance(value, str | bytes):
        return repr(value[:MAX_DESCRIPTION_LENGTH])
    return repr(value)


def load_json(data: bytes | str) -> Any:
    """Parse JSON."""
    return json.loads(data)


def load_msgpack(data: bytes) -> Any:
    """Parse msgpack."""
    return msgpack.unpackb(data)


def read_object(value: Any) -> dict[str, Any]:
    """Return a JSON object.

    :raises DecodingError: if it is none.
    """
    if not isinstance(value, dict):
        raise DecodingError(f"{describe(value)} is not an object")
    return value


def read_list(value: Any) -> list[Any]:
    """Return a list.

    :raises DecodingError: if it is none.
    """
    if not isinstance(value, list):
        raise DecodingError(f"{describe(value)} is not a list")
    return value


def read_integer(value: Any, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return an integer within bounds.

    :raises DecodingError: if it is none.
    """
    if type(value) is not int or not low <= value <= high:
        raise DecodingError(f"{describe(value)} is not an integer from {low} to {high}")
    return value


def read_number(value: Any, low: float = 0.0, high: float = float(MAX_INTEGER)) -> float:
    """Return a finite number within bounds.

    :raises DecodingError: if it is none.
    """
    if type(value) not in (int, float) or not low <= value <= high:
        raise DecodingError(f"{describe(value)} is not a number from {low:g} to {high:g}")
    return float(value)


def read_seconds(value: Any) -> float:
    """Return a time in seconds, which may be in the past.

    :raises DecodingError: if it is none.
    """
    return read_number(value, -MAX_SECONDS, MAX_SECONDS)


def read_text(value: Any, is_optional: bool = False) -> str:
    """Return text of one line without control characters that can be encoded.

    :param is_optional: whether it may be empty.
    :raises DecodingError: if it is none.
    """
    if (
        not isinstance(value, str)
        or not (value or is_optional)
        or len(value) > MAX_TEXT_LENGTH
        or not value.isprintable()
    ):
        raise DecodingError(f"{describe(value)} is not text of one line")
    return value


def read_digits(text: str, high: int = MAX_INTEGER) -> int:
    """Return the number that ASCII digits stand for.

    :raises DecodingError: if the text has other characters, or the number is too large.
    """
    if not _DIGITS.fullmatch(text) or int(text) > high:
        raise DecodingError(f"{describe(text)} is not a number from 0 to {high} in digits")
    return int(text)


def read_address(value: Any) -> str:
    """Return an address of the form HOST:PORT.

    :raises DecodingError: if it is none.
    """
    host, _, port = read_text(value).rpartition(":")
    if not _HOST.fullmatch(host) or not _DIGITS.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise DecodingError(f"{describe(value)} is not an address of the form HOST:PORT")
    return str(value)


def read_ip_address(value: Any) -> str:
    """Return an address of the form IP:PORT, to which datagrams can be sent.

    :raises DecodingError: if it is none.
    """
    address = read_address(value)
    with decoding("address"):
        ipaddress.ip_address(address.rpartition(":")[0])
    return address
