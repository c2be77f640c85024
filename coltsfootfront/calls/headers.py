"""Names of the HTTP headers that both routers and agents use."""

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
