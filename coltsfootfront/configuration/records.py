"""Records of configuration revisions and the chunks that hold their entries.

A record lists the chunks of one revision. Chunks are content-addressed, so that revisions share
those that did not change.
"""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    load_json,
    read_integer,
    read_list,
    read_object,
    read_text,
)
from coltsfootfront.common.errors import Failure
from coltsfootfront.configuration.entries import Entries, diff_entries, digest
from coltsfootfront.keyvalue.store import KeyValue

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/blob/"
RECORD_PREFIX = "config/revision/"

# Largest total of keys and values in a chunk of several entries. A value alone may have this size;
# with its key it exceeds the limit and gets a chunk of its own. Every chunk stays below 512 KiB
# before compression.
MAX_CHUNK_BYTES = 256 * 1024
# One key in this many, on average, begins a new chunk, by the hash of the key. The boundaries
# depend on the keys alone, so a change rewrites one small chunk instead of the whole document.
MEAN_KEYS_PER_CHUNK = 64


@dataclass(frozen=True, slots=True)
class RevisionRecord:
    """Record of one revision, stored as the head and in the history.

    :param revision: number of the revision, from 1.
    :param parent: digest of the entries of the revision before, empty for the first.
    :param digest: digest of the entries.
    :param chunks: names of the chunks that hold the entries.
    :param operation_id: identifier of the change, chosen by the client.
    :param operator: name of the operator.
    :param time: wall-clock time in ISO 8601.
    :param restored: revision whose content a rollback restored, 0 for other changes.
    """

    revision: int
    parent: str
    digest: str
    chunks: list[str]
    operation_id: str
    operator: str
    time: str
    restored: int = 0

    def encode(self) -> bytes:
        """Encode the record as JSON."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "RevisionRecord":
        """Decode a record; unknown fields are ignored.

        :raises ValueError: the data is not a record.
        """
        with decoding("record"):
            body = read_object(load_json(data))
            known = {item.name for item in fields(cls)}
            record = cls(**{name: value for name, value in body.items() if name in known})
            read_integer(record.revision)
            read_integer(record.restored)
            texts = (record.parent, record.digest, record.operation_id, record.operator)
            if not all(isinstance(text, str) for text in (*texts, record.time)):
                raise DecodingError("a field that is text has another type")
            for name in read_list(record.chunks):
                read_text(name)
            return record


@dataclass(frozen=True, slots=True)
class PublishedRevision:
    """A revision with its entries."""

    record: RevisionRecord
    entries: Entries


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Origin of a change and the revision that it is based on.

    :param operation_id: idempotency key of the change; a retry with the same one has no effect.
    :param expected_revision: revision that the change is based on, 0 for none.
    """

    operation_id: str
    operator: str
    expected_revision: int


@dataclass(frozen=True, slots=True)
class Difference:
    """Entry keys in which two revisions differ."""

    added: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    @classmethod
    def between(cls, old: Mapping[str, bytes], new: Mapping[str, bytes]) -> "Difference":
        """Compare two sets of entries."""
        put, removed = diff_entries(old, new)
        added = sorted(key for key in put if key not in old)
        changed = sorted(key for key in put if key in old)
        return cls(added, changed, removed)

    def as_json(self) -> dict[str, Any]:
        """JSON form."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A change that was not accepted, or whose outcome is unknown.

    :param difference: for a conflict, what changed since the expected revision.
    :param revision: for a conflict, the revision in the store.
    """

    failure: Failure
    difference: Difference | None = None
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Head:
    """The head record and its version in the store.

    :param record: None when nothing has been published.
    :param mod_revision: store revision of its last change, 0 when it does not exist.
    """

    record: RevisionRecord | None
    mod_revision: int

    @property
    def revision(self) -> int:
        """Number of the revision, 0 for none."""
        return self.record.revision if self.record else 0


def record_key(revision: int) -> str:
    """Key of the history record of a revision."""
    return f"{RECORD_PREFIX}{revision:012d}"


def split_chunks(entries: Mapping[str, bytes]) -> dict[str, Entries]:
    """Divide entries into chunks.

    :returns: chunk name (digest of its entries) to entries, in key order.
    """
    chunks: dict[str, Entries] = {}
    chunk: Entries = {}
    size = 0
    for key in sorted(entries):
        length = len(key) + len(entries[key])
        if chunk and (size + length > MAX_CHUNK_BYTES or _is_chunk_boundary(key)):
            chunks[digest(chunk)] = chunk
            chunk, size = {}, 0
        chunk[key] = entries[key]
        size += length
    if chunk:
        chunks[digest(chunk)] = chunk
    return chunks


def _is_chunk_boundary(key: str) -> bool:
    return int(digest({key: b""})[:8], 16) % MEAN_KEYS_PER_CHUNK == 0


def decode_head(found: KeyValue | None) -> Head:
    """Decode the head from its stored key and value.

    :raises ValueError: the value is not a record.
    """
    if found is None:
        return Head(None, 0)
    return Head(RevisionRecord.decode(found.value), found.mod_revision)
