"""Checks that what a target sends is one response, and the response to the request.

A faulty target may send a second response at any place. What belongs to it must not reach the
caller as a part of the first one.
"""

import re

import aiohttp

from coltsfootfront.calls.headers import is_token
from coltsfootfront.direct.targetclient import ExchangeError, ExchangeFailure
from coltsfootfront.platform import headers

OK = 200
FIRST_REDIRECTION = 300
FINAL_STATUSES = range(200, 600)
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# The beginning of a response: a status line, and the name of a header.
RESPONSE_HEAD = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]{0,64})?\r\n[\w-]{1,64}:")
# The beginning of a head that is cut off by the end of the connection.
CUT_HEAD = re.compile(
    rb"HTTP/1(?:\.(?:[01](?: (?:[1-5](?:[0-9](?:[0-9](?: [^\r\n]{0,64})?"
    rb"(?:\r(?:\n(?:[\w-]{0,64}|\r\n?))?)?)?)?)?)?)?)?\Z"
)
# A status line within another line of a head, which follows bytes that were cut off.
JOINED_STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5][0-9]{2}")
MAX_STATUS_LINE_BYTES = 160


def check_head(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Check that a response belongs to a request and that its head is well-formed.

    A successful response must have a signature header; only its presence is checked.

    :raises ExchangeError: when it does not.
    """
    response_headers = response.headers
    response_id = response_headers.get(headers.REQUEST_ID)
    if response_id != request_id:
        raise ExchangeError(
            ExchangeFailure.INVALID_RESPONSE, f"the response is for request ID {response_id}"
        )
    for name in headers.SINGLE:
        # The head of a second response within the first one repeats them.
        if len(response_headers.getall(name, ())) > 1:
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, f"the header {name} is repeated")
    if response.status not in FINAL_STATUSES:
        raise ExchangeError(
            ExchangeFailure.INVALID_RESPONSE, f"a final response with status {response.status}"
        )
    if OK <= response.status < FIRST_REDIRECTION and headers.SIGNATURE not in response_headers:
        raise ExchangeError(
            ExchangeFailure.INVALID_RESPONSE, "a successful response without a signature"
        )
    _check_texts(response)
    codings = response_headers.getall("Transfer-Encoding", [])
    if codings and [coding.lower() for coding in codings] != ["chunked"]:
        raise ExchangeError(
            ExchangeFailure.INVALID_RESPONSE,
            "the response has a transfer encoding that was not requested",
        )
    if "Content-Encoding" in response_headers:
        raise ExchangeError(
            ExchangeFailure.INVALID_RESPONSE,
            "the response has a content encoding that was not requested",
        )


def _check_texts(response: aiohttp.ClientResponse) -> None:
    """Check the reason and the headers of a response.

    :raises ExchangeError: if one of them cannot be part of its head.
    """
    for name, value in response.headers.items():
        # The parser accepts them, but a head with one cannot be sent on to the caller.
        if not is_token(name) or CONTROL_CHARACTER.search(value):
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, f"the header {name!r} is invalid")
    for text in (response.reason or "", *response.headers.values()):
        # The head of this response follows another one that was cut off, whose status it bears.
        if JOINED_STATUS_LINE.search(text):
            raise ExchangeError(
                ExchangeFailure.INVALID_RESPONSE, "the head continues one that was cut off"
            )


class UndelimitedBody:
    """Body that has neither a length nor chunks, and ends with its connection."""

    __slots__ = ("_end",)

    def __init__(self) -> None:
        self._end = b""

    def feed(self, chunk: bytes) -> None:
        """Add a chunk of the body.

        :raises ExchangeError: if another response begins in it; the end of the body is then
            unknown.
        """
        data = self._end + chunk
        if RESPONSE_HEAD.search(data):
            raise ExchangeError(
                ExchangeFailure.INVALID_RESPONSE, "another response follows in the same body"
            )
        self._end = data[-MAX_STATUS_LINE_BYTES:]

    def finish(self) -> None:
        """Check the end of the body.

        :raises ExchangeError: if it ends where another response begins.
        """
        if CUT_HEAD.search(self._end):
            raise ExchangeError(
                ExchangeFailure.INVALID_RESPONSE, "the body ends where another response begins"
            )
