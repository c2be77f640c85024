"""Publishes configuration revisions in the store: apply, rollback and history.

The document is stored as compressed chunks that are named by their content, and a head record
that lists them. The update of the head is the commit point. A copy of each head record stays
under its revision number, written in the same transaction.
"""

import random
from collections.abc import Mapping

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.entries import Entries, EntriesError, digest, pack, unpack
from coltsfootfront.configuration.records import (
    BLOB_PREFIX,
    HEAD_KEY,
    ChangeRequest,
    Difference,
    Head,
    PublishedRevision,
    RevisionRecord,
    Rejection,
    decode_head,
    record_key,
    split_chunks,
)
from coltsfootfront.keyvalue.store import Compare, KeyValue, TransactionResult, Put, Store, Transaction

log = logbook.Logger(__name__)

# No key has this modification revision: a transaction with this condition only reads, and reads
# the newest values, while a plain read may be answered with an older one.
NEVER_REVISION = 2**62
# Time within which an ambiguous write is settled before its outcome is reported as unknown.
SETTLE_S = 6.0
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0
CHUNK_ATTEMPTS = 4
# Revisions that can be rolled back to; a day at full size has 1,900 changes. Without a limit
# records and chunks would fill the store: a change of one entry of a document with 2,330
# entries adds 4.2 KB, 8 MB a day.
KEPT_REVISIONS = 2000
PRUNE_ATTEMPTS = 3
# Records returned by the history; reading it costs one call for each.
MAX_HISTORY = 100


def _failed(kind: ErrorKind, message: str, run: ExecutionState = ExecutionState.NOT_RUN) -> Rejection:
    return Rejection(Failure(kind, message, run))


class Publisher:
    """Reads and writes configuration revisions.

    :param store: the platform's key-value service.
    :param clock: time source.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def read_head(self) -> Result[Head, Failure]:
        """Read the head; never an older value than the newest."""
        result = await self._read_newest([HEAD_KEY])
        if not isinstance(result, Success):
            return Failed(result.failure())
        return _decode_result(result.unwrap().get(HEAD_KEY))

    async def read_head_loosely(self) -> Result[Head, Failure]:
        """Read the head with a plain read, which the store may answer with an older value."""
        result = await self._store.get(HEAD_KEY)
        if not isinstance(result, Success):
            return Failed(result.failure())
        return _decode_result(result.unwrap())

    async def read_entries(
        self, record: RevisionRecord, known: Mapping[str, bytes]
    ) -> Result[Entries, Failure]:
        """Read the entries of a revision.

        :param known: entries at hand; chunks that equal them are not read.
        """
        at_hand = split_chunks(known)
        entries: Entries = {}
        for name in record.chunks:
            chunk = at_hand.get(name)
            if chunk is None:
                result = await self._read_chunk(name)
                if not isinstance(result, Success):
                    return result
                chunk = result.unwrap()
            entries.update(chunk)
        if digest(entries) != record.digest:
            return Failed(_damaged(f"digest of revision {record.revision} does not match"))
        return Success(entries)

    async def read_revision(self, revision: int, known: Mapping[str, bytes]) -> Result[PublishedRevision, Failure]:
        """Read one revision out of the history."""
        result = await self._read_record(revision)
        if not isinstance(result, Success):
            return Failed(result.failure())
        record = result.unwrap()
        if record is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, f"revision {revision} does not exist"))
        entries = await self.read_entries(record, known)
        return entries.map(lambda found: PublishedRevision(record, found))

    async def read_history(self, limit: int) -> Result[list[RevisionRecord], Failure]:
        """Read the latest records, the newest first.

        :param limit: number of records, at most ``MAX_HISTORY``.
        """
        head = await self.read_head()
        if not isinstance(head, Success):
            return Failed(head.failure())
        records: list[RevisionRecord] = []
        newest = head.unwrap().revision
        for revision in range(newest, max(newest - min(limit, MAX_HISTORY), 0), -1):
            result = await self._read_record(revision)
            if not isinstance(result, Success):
                return Failed(result.failure())
            record = result.unwrap()
            if record is not None:
                records.append(record)
        return Success(records)

    async def rollback(self, revision: int, change: ChangeRequest) -> Result[PublishedRevision, Rejection]:
        """Publish the content of an old revision as a new one.

        :param revision: revision whose content is restored.
        """
        old = await self.read_revision(revision, {})
        if not isinstance(old, Success):
            return Failed(Rejection(old.failure()))
        return await self.apply(old.unwrap().entries, change, restored=revision)

    async def apply(
        self, entries: Entries, change: ChangeRequest, restored: int = 0
    ) -> Result[PublishedRevision, Rejection]:
        """Publish a document that has been validated.

        Either the whole change is accepted, or nothing of it takes effect. With run state
        ``unknown`` in the rejection the store did not tell which; a repeat with the same
        operation id tells.

        :param entries: the whole document.
        :param restored: revision that a rollback restores, 0 for other changes.
        """
        result = await self.read_head()
        if not isinstance(result, Success):
            return Failed(Rejection(result.failure()))
        head = result.unwrap()
        if head.revision != change.expected_revision:
            return await self._settle_lost(entries, change)
        chunks = split_chunks(entries)
        written = await self._write_chunks(chunks, head.record.chunks if head.record else [])
        if not isinstance(written, Success):
            return Failed(Rejection(written.failure()))
        record = RevisionRecord(
            revision=head.revision + 1,
            parent=head.record.digest if head.record else "",
            digest=digest(entries),
            chunks=list(chunks),
            operation_id=change.operation_id,
            operator=change.operator,
            time=self._clock.now().isoformat(),
            restored=restored,
        )
        return await self._commit(record, entries, head, change)

    async def prune(self, newest: int) -> Result[None, Failure]:
        """Remove the record that is too old when a revision was accepted, and its own chunks.

        A chunk that a later revision uses again was written again for it, and then is newer
        than the record that follows the removed one.

        :param newest: number of the accepted revision.
        """
        oldest = newest - KEPT_REVISIONS
        if oldest < 1:
            return Success(None)
        for _ in range(PRUNE_ATTEMPTS):
            result = await self._prune_once(oldest)
            if not isinstance(result, Success) or result.unwrap():
                return result.map(lambda _: None)
        return Success(None)

    async def _prune_once(self, oldest: int) -> Result[bool, Failure]:
        """Remove one revision; False when a chunk was written again meanwhile."""
        result = await self._read_newest([record_key(oldest), record_key(oldest + 1)])
        if not isinstance(result, Success):
            return Failed(result.failure())
        old = result.unwrap().get(record_key(oldest))
        following = result.unwrap().get(record_key(oldest + 1))
        if old is None or following is None:
            return Success(True)
        kept = RevisionRecord.decode(following.value).chunks
        transaction = Transaction(deletes=[old.key])
        for name in RevisionRecord.decode(old.value).chunks:
            if name not in kept:
                await self._add_removal(transaction, name, following.mod_revision)
        return (await self._store.commit(transaction)).map(lambda outcome: outcome.succeeded)

    async def _add_removal(self, transaction: Transaction, name: str, before: int) -> None:
        result = await self._store.get(BLOB_PREFIX + name)
        found = result.value_or(None)
        if found is not None and found.mod_revision < before:
            # A writer that needs the chunk again meanwhile makes this condition fail.
            transaction.compares.append(Compare(found.key, found.mod_revision))
            transaction.deletes.append(found.key)

    async def _commit(
        self, record: RevisionRecord, entries: Entries, head: Head, change: ChangeRequest
    ) -> Result[PublishedRevision, Rejection]:
        transaction = _head_transaction(record, head)
        deadline_s = self._clock.monotonic_s() + SETTLE_S
        delay_s = FIRST_RETRY_S
        ambiguous = False
        while True:
            result = await self._store.commit(transaction)
            if isinstance(result, Success):
                return await self._judge(result.unwrap(), record, entries, change)
            failure = result.failure()
            ambiguous = ambiguous or failure.kind is ErrorKind.STORE_AMBIGUOUS
            if not ambiguous:
                return Failed(Rejection(failure))
            if self._clock.monotonic_s() + delay_s > deadline_s:
                return Failed(_unknown_outcome(failure))
            metrics.count_retry(failure.kind.value)
            await self._clock.sleep(random.uniform(0, delay_s))
            delay_s = min(delay_s * 2, MAX_RETRY_S)

    async def _judge(
        self, outcome: TransactionResult, record: RevisionRecord, entries: Entries, change: ChangeRequest
    ) -> Result[PublishedRevision, Rejection]:
        if outcome.succeeded:
            return self._accepted(record, entries)
        for found in outcome.read:
            if found.key == record_key(record.revision):
                stored = RevisionRecord.decode(found.value)
                if stored.operation_id == change.operation_id:
                    return self._accepted(stored, entries)
        return await self._settle_lost(entries, change)

    async def _settle_lost(self, entries: Entries, change: ChangeRequest) -> Result[PublishedRevision, Rejection]:
        """Tell a repeat of an accepted change from a conflict."""
        own_key = record_key(change.expected_revision + 1)
        result = await self._read_newest([HEAD_KEY, own_key])
        if not isinstance(result, Success):
            return Failed(Rejection(result.failure()))
        found = result.unwrap()
        own = found.get(own_key)
        if own is not None:
            record = RevisionRecord.decode(own.value)
            if record.operation_id == change.operation_id:
                stored = await self.read_entries(record, entries)
                return stored.map(lambda content: PublishedRevision(record, content)).alt(Rejection)
        return await self._conflict(_decode_result(found.get(HEAD_KEY)), entries, change)

    async def _conflict(
        self, result: Result[Head, Failure], entries: Entries, change: ChangeRequest
    ) -> Result[PublishedRevision, Rejection]:
        if not isinstance(result, Success):
            return Failed(Rejection(result.failure()))
        head = result.unwrap()
        message = f"expected revision {change.expected_revision}, found {head.revision}"
        failure = Failure(ErrorKind.CONFLICT, message)
        changed = await self._changed_since(change.expected_revision, head)
        log.info(event("apply_conflict", revision=head.revision, operator=change.operator))
        return Failed(Rejection(failure, changed, head.revision))

    async def _changed_since(self, revision: int, head: Head) -> Difference | None:
        if head.record is None:
            return None
        newest = await self.read_entries(head.record, {})
        if not isinstance(newest, Success):
            return None
        if revision == 0:
            return Difference.between({}, newest.unwrap())
        expected = await self.read_revision(revision, newest.unwrap())
        if not isinstance(expected, Success):
            return None
        return Difference.between(expected.unwrap().entries, newest.unwrap())

    def _accepted(self, record: RevisionRecord, entries: Entries) -> Result[PublishedRevision, Rejection]:
        log.info(
            event(
                "revision_accepted",
                revision=record.revision,
                operator=record.operator,
                operation=record.operation_id,
            )
        )
        return Success(PublishedRevision(record, entries))

    async def _write_chunks(
        self, chunks: dict[str, Entries], present: list[str]
    ) -> Result[None, Failure]:
        for name, chunk in chunks.items():
            if name in present:
                continue
            result = await self._write_chunk(name, pack(chunk))
            if not isinstance(result, Success):
                return result
        return Success(None)

    async def _write_chunk(self, name: str, data: bytes) -> Result[None, Failure]:
        # Written even if it exists, which protects it from a removal as part of an old revision.
        transaction = Transaction(puts=[Put(BLOB_PREFIX + name, data)])
        for attempt in range(CHUNK_ATTEMPTS):
            result = await self._store.commit(transaction)
            if isinstance(result, Success):
                return Success(None)
            failure = result.failure()
            if failure.kind is not ErrorKind.STORE_AMBIGUOUS:
                break
            # The same content under the same key: repeating an ambiguous write is harmless.
            metrics.count_retry(failure.kind.value)
            await self._clock.sleep(random.uniform(0, FIRST_RETRY_S * 2**attempt))
        # Without the head the chunk means nothing, so the change has certainly not run.
        message = f"chunk could not be written: {failure.message}"
        return Failed(Failure(ErrorKind.STORE_UNAVAILABLE, message))

    async def _read_chunk(self, name: str) -> Result[Entries, Failure]:
        result = await self._get(BLOB_PREFIX + name)
        if not isinstance(result, Success):
            return Failed(result.failure())
        found = result.unwrap()
        if found is None:
            return Failed(_damaged(f"chunk {name} is missing"))
        try:
            chunk = unpack(found.value)
        except EntriesError as error:
            return Failed(_damaged(f"chunk {name}: {error}"))
        if digest(chunk) != name:
            return Failed(_damaged(f"chunk {name} has other content"))
        return Success(chunk)

    async def _read_record(self, revision: int) -> Result[RevisionRecord | None, Failure]:
        result = await self._get(record_key(revision))
        if not isinstance(result, Success):
            return Failed(result.failure())
        found = result.unwrap()
        if found is None:
            return Success(None)
        try:
            return Success(RevisionRecord.decode(found.value))
        except ValueError as error:
            return Failed(_damaged(f"record of revision {revision}: {error}"))

    async def _get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Read a key that never changes once it exists."""
        result = await self._store.get(key)
        if not isinstance(result, Success) or result.unwrap() is not None:
            return result
        # The store may have answered with its state before the key was written.
        newest = await self._read_newest([key])
        return newest.map(lambda found: found.get(key))

    async def _read_newest(self, keys: list[str]) -> Result[dict[str, KeyValue], Failure]:
        transaction = Transaction(
            compares=[Compare(HEAD_KEY, NEVER_REVISION)], read_on_failure=keys
        )
        result = await self._store.commit(transaction)
        return result.map(lambda outcome: {found.key: found for found in outcome.read})


def _head_transaction(record: RevisionRecord, head: Head) -> Transaction:
    own_key = record_key(record.revision)
    data = record.encode()
    return Transaction(
        compares=[Compare(HEAD_KEY, head.mod_revision), Compare(own_key, 0)],
        puts=[Put(HEAD_KEY, data), Put(own_key, data)],
        read_on_failure=[own_key],
    )


def _decode_result(found: KeyValue | None) -> Result[Head, Failure]:
    try:
        return Success(decode_head(found))
    except ValueError as error:
        return Failed(_damaged(f"head: {error}"))


def _damaged(message: str) -> Failure:
    log.error(event("configuration_damaged", reason=message))
    return Failure(ErrorKind.INTERNAL, message)


def _unknown_outcome(failure: Failure) -> Rejection:
    message = f"outcome of the write is unknown, repeat with the operation id: {failure.message}"
    return Rejection(Failure(ErrorKind.STORE_AMBIGUOUS, message, ExecutionState.UNKNOWN))
