"""The document as a map of entry keys to canonical bytes, its digest and its deltas."""

import hashlib
import json
import zlib
from collections.abc import Mapping
from typing import Any

import msgpack

from coltsfootfront.configuration.document import SECTIONS

Entries = dict[str, bytes]

# A delta or document that unpacks to more than this is refused.
MAX_UNPACKED_BYTES = 256 * 1024 * 1024


class EntriesError(Exception):
    """Packed entries that cannot be read."""


def canonical_json(value: Any) -> bytes:
    """Encode a JSON value with sorted keys and no spaces."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def split_document(document: Mapping[str, Any]) -> Entries:
    """Split a document into entries.

    :param document: section name to entry name to entry.
    :returns: ``section/name`` to canonical JSON bytes.
    """
    return {
        f"{section}/{name}": canonical_json(value)
        for section in SECTIONS
        for name, value in document.get(section, {}).items()
    }


def join_document(entries: Mapping[str, bytes]) -> dict[str, dict[str, Any]]:
    """Build the document out of its entries; empty sections are left out."""
    document: dict[str, dict[str, Any]] = {}
    for key in sorted(entries):
        section, _, name = key.partition("/")
        document.setdefault(section, {})[name] = json.loads(entries[key])
    return document


def digest(entries: Mapping[str, bytes]) -> str:
    """SHA-256 over the sorted list of keys and value digests, in hexadecimal."""
    total = hashlib.sha256()
    for key in sorted(entries):
        total.update(key.encode() + b"\0" + hashlib.sha256(entries[key]).digest())
    return total.hexdigest()


def diff_entries(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> tuple[Entries, list[str]]:
    """Compute what changes from one document to another.

    :returns: entries to put and keys to remove.
    """
    put = {key: value for key, value in new.items() if old.get(key) != value}
    remove = sorted(key for key in old if key not in new)
    return put, remove


def pack(entries: Mapping[str, bytes]) -> bytes:
    """Compress entries for the wire and the store."""
    return zlib.compress(msgpack.packb(dict(sorted(entries.items()))), 6)


def unpack(data: bytes) -> Entries:
    """Undo :func:`pack`.

    :raises EntriesError: the data is damaged, too large, or not a map of text to bytes.
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if unpacker.unconsumed_tail:
            raise EntriesError("entries exceed the size limit")
        entries = msgpack.unpackb(plain)
    except (zlib.error, ValueError, msgpack.exceptions.UnpackException) as error:
        raise EntriesError(f"entries cannot be read: {error}") from error
    if not isinstance(entries, dict):
        raise EntriesError("entries are not a map")
    for key, value in entries.items():
        if not isinstance(key, str) or not isinstance(value, bytes):
            raise EntriesError("an entry is not text to bytes")
    return entries
