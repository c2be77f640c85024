"""Paths of calls to plain services: checks, and which calls may be repeated."""

from urllib.parse import unquote

from coltsfootfront.calls.modelbody import bad_request_error
from coltsfootfront.configuration.document import Service

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
PREFIX = "/services/"


def split_service_path(raw_path: str) -> tuple[str, str]:
    """Split a request's path into service and path below it.

    A segment that a server could resolve to another path is refused, because the path decides
    whether a call may be repeated.

    :param raw_path: path and query as received, below ``/services/``.
    :returns: service name, and path with query.
    :raises FailureError: ``bad_request``.
    """
    path, mark, query = raw_path[len(PREFIX) :].partition("?")
    service, _, rest = path.partition("/")
    if not raw_path.isascii() or not raw_path.isprintable():
        raise bad_request_error("path: only printable ASCII characters are allowed")
    for segment in path.split("/"):
        plain = unquote(segment, errors="replace")
        if plain in (".", "..") or "/" in plain or "\\" in plain or not plain.isprintable():
            raise bad_request_error("path: dot segments and encoded separators are not allowed")
    return service, f"/{rest}{mark}{query}"


def is_idempotent(method: str, path: str, service: Service) -> bool:
    """Whether a call may be repeated.

    :param path: path below the service, with query.
    """
    if method in IDEMPOTENT_METHODS:
        return True
    plain = path.partition("?")[0]
    return any(_is_below(plain, prefix) for prefix in service.idempotent_paths)


def _is_below(path: str, prefix: str) -> bool:
    base = "/" + prefix.strip("/")
    return path == base or path.startswith(base.rstrip("/") + "/")
