"""Encoding of the copies that routers send to each other."""

import zlib

import msgpack

from coltsfootfront.direct.storefollower import Changes, Position

# Smaller bodies fit into a few packets, and links are no faster for fewer.
MIN_COMPRESSED_BYTES = 4096
# Higher levels take several times the processor time for a body that is hardly smaller.
COMPRESSION_LEVEL = 3
# Bound on what a peer's response may occupy. The store's largest value takes 1 MiB, the entries of
# a full-size deployment less than another.
MAX_COPY_BYTES = 8 * 1024 * 1024
# Compressed bodies that are kept for peers that ask after the same position.
MAX_KEPT_BODIES = 8
MAX_KEPT_BYTES = 2 * 1024 * 1024

_BodyKey = tuple[Position, Position, bool, int, bool]


class CopyEncoder:
    """Encodes changes for peers; those that ask after the same position share a compressed body."""

    __slots__ = ("_kept", "_kept_bytes")

    def __init__(self) -> None:
        self._kept: dict[_BodyKey, bytes] = {}
        self._kept_bytes = 0

    def encode(
        self, after: Position, changes: Changes, has_era: bool, accepts_deflate: bool
    ) -> tuple[bytes, bool]:
        """Encode changes.

        :param after: position after which the peer asked for them.
        :param has_era: whether the peer reads the era.
        :param accepts_deflate: whether the peer reads compressed bodies.
        :returns: the body, and whether it is compressed.
        """
        key = (after, changes.position, changes.is_full_copy, len(changes.items), has_era)
        if accepts_deflate and key in self._kept:
            return self._kept[key], True
        rows = [[item.key, item.value, item.revision] for item in changes.items]
        fields = [changes.revision, rows, changes.is_full_copy]
        if has_era:
            fields.append(changes.era)
        body: bytes = msgpack.packb(fields)
        encoded, is_compressed = deflate(body) if accepts_deflate else (body, False)
        if is_compressed:
            self._keep(key, encoded)
        return encoded, is_compressed

    def _keep(self, key: _BodyKey, body: bytes) -> None:
        self._kept[key] = body
        self._kept_bytes += len(body)
        while len(self._kept) > MAX_KEPT_BODIES or self._kept_bytes > MAX_KEPT_BYTES:
            self._kept_bytes -= len(self._kept.pop(next(iter(self._kept))))


def deflate(body: bytes) -> tuple[bytes, bool]:
    """Compress a body if it is large.

    :returns: the body to send, and whether it is compressed.
    """
    if len(body) < MIN_COMPRESSED_BYTES:
        return body, False
    return zlib.compress(body, COMPRESSION_LEVEL), True
