"""Names of the HTTP headers that both routers and agents use, and checks of headers."""

import re

REQUEST_ID_HEADER = "X-Request-Id"

# Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

_TOKEN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
# Line breaks and other control characters allow header injection; surrogates stand for bytes
# that are not UTF-8.
_INVALID_VALUE_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


def is_token(text: str) -> bool:
    """Whether a text is valid as a method or as the name of a header (RFC 9110, section 5.6.2)."""
    return _TOKEN.fullmatch(text) is not None


def is_valid_header(name: str, value: str) -> bool:
    """Whether a header can be written to a connection."""
    return is_token(name) and _INVALID_VALUE_CHARACTER.search(value) is None
