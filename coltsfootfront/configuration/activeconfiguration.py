"""The configuration in force in this process. It never goes back."""

from collections import OrderedDict

import logbook
from reactivex.subject import BehaviorSubject

from coltsfootfront.common import metrics
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.entries import (
    Entries,
    EntriesError,
    diff_entries,
    digest,
    pack,
    unpack,
)
from coltsfootfront.peers.messages import Delta

log = logbook.Logger(__name__)

# Deltas kept for peers that are behind; at 1,900 changes a day this covers 48 minutes.
KEPT_DELTAS = 64


class ActiveRevision:
    """One revision in force.

    :param number: revision number, 0 before any configuration is known.
    """

    __slots__ = ("digest", "document", "number")

    def __init__(self, number: int, entries_digest: str, document: Document) -> None:
        self.number = number
        self.digest = entries_digest
        self.document = document


class ActiveConfiguration:
    """Holds the entries in force and serves them to peers that are behind.

    ``changes`` is a ``reactivex`` subject that emits an :class:`ActiveRevision` for each new revision.
    """

    __slots__ = ("_deltas", "_entries", "_in_force", "_packed", "changes")

    def __init__(self) -> None:
        self._entries: Entries = {}
        self._in_force = ActiveRevision(0, digest({}), Document.empty())
        self._deltas: OrderedDict[int, tuple[Entries, list[str]]] = OrderedDict()
        self._packed: bytes | None = None
        self.changes: BehaviorSubject[ActiveRevision] = BehaviorSubject(self._in_force)

    @property
    def number(self) -> int:
        """Number of the revision in force, 0 for none."""
        return self._in_force.number

    @property
    def digest(self) -> str:
        """Digest of the entries in force."""
        return self._in_force.digest

    @property
    def document(self) -> Document:
        """The document in force."""
        return self._in_force.document

    @property
    def entries(self) -> Entries:
        """Entries in force; not to be changed by the caller."""
        return self._entries

    def install(self, number: int, entries: Entries, expected_digest: str) -> bool:
        """Put a whole document in force.

        :param number: its revision.
        :param expected_digest: digest it must have.
        :returns: False when it is not newer or its digest differs.
        """
        if number <= self.number:
            return False
        if digest(entries) != expected_digest:
            log.error(event("digest_mismatch", revision=number))
            return False
        put, remove = diff_entries(self._entries, entries)
        self._put_in_force(number, entries, put, remove, expected_digest)
        return True

    def apply_delta(self, delta: Delta) -> bool:
        """Apply a delta from a peer.

        :returns: False when it does not lead to a newer revision or its digest differs; the
            caller then pulls the whole.
        """
        if delta.to <= self.number:
            return False
        try:
            changed = unpack(delta.put)
        except EntriesError as error:
            log.error(event("delta_invalid", revision=delta.to, reason=error))
            return False
        if delta.base == 0:
            return self.install(delta.to, changed, delta.digest)
        if delta.base != self.number:
            return False
        entries = {**self._entries, **changed}
        for key in delta.remove:
            entries.pop(key, None)
        return self.install(delta.to, entries, delta.digest)

    def delta_since(self, have: int, call: int) -> Delta:
        """Build the message that brings a peer from ``have`` to the revision in force."""
        merged = self._merge_since(have)
        if merged is None:
            if self._packed is None:
                self._packed = pack(self._entries)
            return Delta(call, 0, self.number, self._packed, [], self.digest)
        put, remove = merged
        return Delta(call, have, self.number, pack(put), remove, self.digest)

    def _merge_since(self, have: int) -> tuple[Entries, list[str]] | None:
        if have == 0 or have not in self._deltas:
            return None
        put: Entries = {}
        removed: set[str] = set()
        for base, (changed, gone) in self._deltas.items():
            if base < have:
                continue
            for key in gone:
                put.pop(key, None)
                removed.add(key)
            put.update(changed)
            removed.difference_update(changed)
        return put, sorted(removed)

    def _put_in_force(
        self, number: int, entries: Entries, put: Entries, remove: list[str], new_digest: str
    ) -> None:
        document = self.document.with_changes(put, remove)
        if self.number:
            self._deltas[self.number] = (put, remove)
        while len(self._deltas) > KEPT_DELTAS:
            self._deltas.popitem(last=False)
        self._entries = entries
        self._packed = None
        self._in_force = ActiveRevision(number, new_digest, document)
        metrics.REVISION.set({}, number)
        log.info(event("revision_in_force", revision=number, put=len(put), removed=len(remove)))
        self.changes.on_next(self._in_force)
