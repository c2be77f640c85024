"""Names of HTTP headers that router and agent share."""

REQUEST_ID_HEADER = "X-Request-Id"

# Headers that concern one connection only and are never forwarded (RFC 9110, section 7.6.1).
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
