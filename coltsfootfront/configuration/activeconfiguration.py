"""The active configuration of this process, whose revision number never decreases."""

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

# Deltas retained for peers that are behind; at 1,900 changes a day they cover 48 minutes.
RETAINED_DELTAS = 64


class ActiveRevision:
    """The revision that is active at one point in time.

    :param number: revision number, 0 while there is no configuration.
    """

    __slots__ = ("digest", "document", "number")

    def __init__(self, number: int, entries_digest: str, document: Document) -> None:
        self.number = number
        self.digest = entries_digest
        self.document = document


class ActiveConfiguration:
    """Holds the active entries and builds deltas for peers that are behind.

    ``changes`` is a ``reactivex`` subject that emits an :class:`ActiveRevision` for each new
    revision.
    """

    __slots__ = ("_active", "_deltas", "_entries", "_packed_entries", "changes")

    def __init__(self) -> None:
        self._entries: Entries = {}
        self._active = ActiveRevision(0, digest({}), Document.empty())
        self._deltas: OrderedDict[int, tuple[Entries, list[str]]] = OrderedDict()
        self._packed_entries: bytes | None = None
        self.changes: BehaviorSubject[ActiveRevision] = BehaviorSubject(self._active)

    @property
    def number(self) -> int:
        """Number of the active revision, 0 for none."""
        return self._active.number

    @property
    def digest(self) -> str:
        """Digest of the active entries."""
        return self._active.digest

    @property
    def document(self) -> Document:
        """The active document."""
        return self._active.document

    @property
    def entries(self) -> Entries:
        """Active entries; the caller must not change them."""
        return self._entries

    def install(self, number: int, entries: Entries, expected_digest: str) -> bool:
        """Make a full document active.

        :param number: its revision.
        :param expected_digest: digest that the entries must have.
        :returns: False when it is not newer or its digest differs.
        """
        if number <= self.number:
            return False
        if digest(entries) != expected_digest:
            log.error(event("digest_mismatch", revision=number))
            return False
        put, remove = diff_entries(self._entries, entries)
        self._activate(number, entries, put, remove, expected_digest)
        return True

    def apply_delta(self, delta: Delta) -> bool:
        """Apply a delta from a peer.

        :returns: False when it does not lead to a newer revision or its digest differs; the
            caller then pulls the full document.
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
        """Build the message that brings a peer from ``have`` to the active revision."""
        merged = self._merge_deltas_since(have)
        if merged is None:
            if self._packed_entries is None:
                self._packed_entries = pack(self._entries)
            return Delta(call, 0, self.number, self._packed_entries, [], self.digest)
        put, remove = merged
        return Delta(call, have, self.number, pack(put), remove, self.digest)

    def _merge_deltas_since(self, have: int) -> tuple[Entries, list[str]] | None:
        if have == 0 or have not in self._deltas:
            return None
        put: Entries = {}
        removed: set[str] = set()
        for base, (changed, deleted) in self._deltas.items():
            if base < have:
                continue
            for key in deleted:
                put.pop(key, None)
                removed.add(key)
            put.update(changed)
            removed.difference_update(changed)
        return put, sorted(removed)

    def _activate(
        self, number: int, entries: Entries, put: Entries, remove: list[str], new_digest: str
    ) -> None:
        document = self.document.with_changes(put, remove)
        if self.number:
            self._deltas[self.number] = (put, remove)
        while len(self._deltas) > RETAINED_DELTAS:
            self._deltas.popitem(last=False)
        self._entries = entries
        self._packed_entries = None
        self._active = ActiveRevision(number, new_digest, document)
        metrics.REVISION.set({}, number)
        log.info(event("revision_in_force", revision=number, put=len(put), removed=len(remove)))
        self.changes.on_next(self._active)
