"""Idempotency claims: a call with an idempotency key runs at most once.

A claim is a record in the key-value store. It is created before the call is forwarded to the
target, and the outcome of the call is written to it afterwards. Since the store is shared by all
processes, a retry through another router or agent, or after a restart, finds the claim.
"""

import asyncio
import secrets
from collections import OrderedDict
from dataclasses import dataclass, field, replace

import logbook
import msgpack
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import (
    Compare,
    KeyValue,
    Put,
    Store,
    Transaction,
    TransactionResult,
)

log = logbook.Logger(__name__)

STATE_RUNNING = "running"
STATE_DONE = "done"
STATE_UNKNOWN = "unknown"

MAX_OUTCOME_BYTES = 64 * 1024
"""Largest response body that is stored; the store accepts values up to 1 MB."""

# Claims share a lease, which saves one store call for each claim. A lease is used for new claims
# for this share of the retention time, and its TTL is longer than the retention by the same share.
LEASE_REUSE_SHARE = 1 / 24
CREATE_ATTEMPTS = 3
# New claims are refused while this many outcomes and releases are not yet written to the store.
# Their response bodies take up to 4 MiB; calls claimed before still add their outcomes.
MAX_PENDING = 64
# Abandoned claims that are remembered; the oldest are dropped first.
MAX_ABANDONED = 1024
# Failed writes after which a pass over the pending ones ends.
MAX_FAILED_WRITES = 3
WRITE_RETRY_INTERVAL_S = 0.5
RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """Response to a call that has run.

    :param too_large: whether the body was omitted because of its size.
    """

    status: int
    headers: list[list[str]] = field(default_factory=list)
    body: bytes = b""
    too_large: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim held by this agent.

    :param claim_id: random identifier, unique for each attempt to claim.
    :param digest: digest of the call, which detects the reuse of its idempotency key for another
        request.
    :param mod_revision: store revision at which the claim was created, 0 if not known.
    :param lease: lease with which the claim expires.
    """

    key: str
    claim_id: str
    digest: str
    mod_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class _Record:
    """Value stored under the key of a claim."""

    claim_id: str
    digest: str
    state: str
    agent: str
    outcome: StoredOutcome | None = None

    def encode(self) -> bytes:
        body: dict[str, object] = {
            "id": self.claim_id,
            "digest": self.digest,
            "state": self.state,
            "agent": self.agent,
        }
        if self.outcome is not None:
            body["status"] = self.outcome.status
            body["headers"] = self.outcome.headers
            body["body"] = self.outcome.body
            body["too_large"] = self.outcome.too_large
        packed: bytes = msgpack.packb(body)
        return packed


def _decode(value: bytes) -> _Record | None:
    try:
        body = msgpack.unpackb(value)
        outcome = None
        if body["state"] == STATE_DONE:
            outcome = StoredOutcome(
                body["status"], body["headers"], body["body"], body["too_large"]
            )
        return _Record(body["id"], body["digest"], body["state"], body["agent"], outcome)
    except (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException):
        return None


class Claims:
    """Creates, completes and releases the idempotency claims of one agent.

    :param store: the platform's key-value store.
    :param clock: time source.
    :param agent: name of this agent, stored in its claims for diagnosis only.
    :param retention_s: time for which a claim is kept.
    """

    def __init__(self, store: Store, clock: Clock, agent: str, retention_s: float) -> None:
        self._store = store
        self._clock = clock
        self._agent = agent
        self._retention_s = retention_s
        self._lease = 0
        self._lease_reusable_until_s = 0.0
        self._pending: OrderedDict[str, tuple[Claim, _Record | None]] = OrderedDict()
        # Ids of claims whose call did not run; a claim found with such an id may be replaced.
        self._abandoned: OrderedDict[str, None] = OrderedDict()
        self._pending_added = asyncio.Event()

    @property
    def pending(self) -> int:
        """Number of outcomes and releases not yet written to the store."""
        return len(self._pending)

    async def claim(
        self, customer: str, service: str, key_hash: str, digest: str
    ) -> Result[Claim | StoredOutcome, Failure]:
        """Claim a call, or look up the outcome of an earlier call with the same key.

        :param key_hash: hash of the caller's idempotency key.
        :param digest: digest of the call, which detects the reuse of its idempotency key for
            another request.
        :returns: a claim if the call must now run, or the outcome of the earlier call. Fails
            with ``store_unavailable`` and ``not_run`` if the store is unavailable, with
            ``key_reused`` if the key was used for another call, with ``in_progress`` and
            ``unknown`` while the earlier call runs or if its agent stopped without recording an
            outcome, and with ``target_failed`` and ``unknown`` if the earlier call's outcome is
            unknown.
        """
        key = f"claims/{customer}/{service}/{key_hash}"
        if len(self._pending) >= MAX_PENDING and key not in self._pending:
            return Failed(_unavailable("too many outcomes wait for the store"))
        lease = await self._shared_lease()
        if not isinstance(lease, Success):
            return Failed(_unavailable("the store did not grant a lease"))
        record = _Record(secrets.token_hex(16), digest, STATE_RUNNING, self._agent)
        found = await self._create(key, record, lease.unwrap(), 0)
        if not isinstance(found, Success):
            return Failed(found.failure())
        return await self._resolve_existing(found.unwrap(), record, lease.unwrap())

    def record(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Queue the outcome of a call that has run; the write is retried until it succeeds."""
        self._enqueue_write(claim, STATE_DONE, outcome)

    def record_unknown(self, claim: Claim) -> None:
        """Queue a record that a call may have run and that its outcome will stay unknown."""
        self._enqueue_write(claim, STATE_UNKNOWN, None)

    async def release(self, claim: Claim) -> None:
        """Remove the claim of a call that certainly did not run, so that a retry may run."""
        self._mark_abandoned(claim.claim_id)
        if not await self._delete(claim):
            self._pending[claim.key] = (claim, None)
            self._pending_added.set()

    async def run(self) -> None:
        """Write pending outcomes and releases as they are added, forever."""
        while True:
            self._pending_added.clear()
            await self.flush()
            if self._pending:
                await self._clock.sleep(WRITE_RETRY_INTERVAL_S)
            else:
                await self._pending_added.wait()

    async def flush(self) -> None:
        """Try to write each pending outcome and release once; stops after several failures."""
        failed = 0
        for key, (claim, record) in list(self._pending.items()):
            if record is None:
                done = await self._delete(claim)
            else:
                done = await self._write(claim, record)
            current = self._pending.get(key)
            if current is None or current[0] is not claim:
                continue
            if done:
                del self._pending[key]
                continue
            # Moved to the end so that the next pass tries the other entries first.
            self._pending.move_to_end(key)
            failed += 1
            if failed >= MAX_FAILED_WRITES:
                return

    def _enqueue_write(self, claim: Claim, state: str, outcome: StoredOutcome | None) -> None:
        record = _Record(claim.claim_id, claim.digest, state, self._agent, outcome)
        self._pending[claim.key] = (claim, record)
        self._pending_added.set()

    async def _create(
        self, key: str, record: _Record, lease: int, replaces: int
    ) -> Result[KeyValue, Failure]:
        """Create the claim, or read the existing one.

        A write without a response is retried with the same claim id: the retry either takes
        effect or finds the claim of the first write.

        :param replaces: store revision of the claim to replace, 0 to create one.
        """
        value = record.encode()
        transaction = Transaction([Compare(key, replaces)], [Put(key, value, lease)], [], [key])
        ambiguous = False
        for _ in range(CREATE_ATTEMPTS):
            committed = await self._store.commit(transaction)
            metrics.STORE_CALLS.inc({"call": "claim"})
            if isinstance(committed, Success):
                result: TransactionResult = committed.unwrap()
                if result.succeeded:
                    return Success(KeyValue(key, value, 0, result.store_revision, lease))
                if result.read:
                    return Success(result.read[0])
                # The existing claim expired between the comparison and the read.
                continue
            self._lease_reusable_until_s = 0.0
            if committed.failure().kind is not ErrorKind.STORE_AMBIGUOUS:
                break
            ambiguous = True
            read = await self._store.get(key)
            existing = read.unwrap() if isinstance(read, Success) else None
            if existing is not None:
                return Success(existing)
        if ambiguous:
            self._schedule_removal(key, record, lease)
        return Failed(_unavailable("the store did not take the claim"))

    async def _resolve_existing(
        self, found: KeyValue, own: _Record, lease: int
    ) -> Result[Claim | StoredOutcome, Failure]:
        record = _decode(found.value)
        if record is None:
            return Failed(_in_progress("the claim cannot be read"))
        if record.claim_id == own.claim_id:
            return Success(self._own_claim(found, own, lease))
        if record.claim_id in self._abandoned:
            return await self._replace_abandoned(found, own, lease)
        if record.digest != own.digest:
            return Failed(Failure(ErrorKind.KEY_REUSED, "the key was used for another request"))
        return self._outcome_of(found.key, record)

    def _outcome_of(self, key: str, record: _Record) -> Result[Claim | StoredOutcome, Failure]:
        pending = self._pending.get(key)
        if pending is not None and pending[1] is not None:
            record = pending[1]
        if record.outcome is not None:
            return Success(record.outcome)
        if record.state == STATE_UNKNOWN:
            return Failed(
                Failure(
                    ErrorKind.TARGET_FAILED,
                    "the request may have run; its outcome is not known",
                    ExecutionState.UNKNOWN,
                )
            )
        return Failed(_in_progress("the request with this key is in progress"))

    async def _replace_abandoned(
        self, found: KeyValue, own: _Record, lease: int
    ) -> Result[Claim | StoredOutcome, Failure]:
        """Replace a claim that this agent created for a call that never ran."""
        replaced = await self._create(found.key, own, lease, found.mod_revision)
        if not isinstance(replaced, Success):
            return Failed(replaced.failure())
        current = replaced.unwrap()
        record = _decode(current.value)
        if record is not None and record.claim_id == own.claim_id:
            return Success(self._own_claim(current, own, lease))
        return Failed(_in_progress("the request with this key is in progress"))

    def _own_claim(self, found: KeyValue, own: _Record, lease: int) -> Claim:
        pending = self._pending.get(found.key)
        if pending is not None and pending[1] is None:
            del self._pending[found.key]
        return Claim(found.key, own.claim_id, own.digest, found.mod_revision, lease)

    def _schedule_removal(self, key: str, record: _Record, lease: int) -> None:
        """Queue the removal of a claim that may have been created for a call that will not run."""
        self._mark_abandoned(record.claim_id)
        claim = Claim(key, record.claim_id, record.digest, 0, lease)
        if key not in self._pending:
            self._pending[key] = (claim, None)
            self._pending_added.set()

    def _mark_abandoned(self, claim_id: str) -> None:
        self._abandoned[claim_id] = None
        while len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    async def _delete(self, claim: Claim) -> bool:
        """Remove a claim.

        :returns: whether the claim certainly no longer exists.
        """
        known = await self._with_revision(claim)
        if known is None:
            return False
        if known.mod_revision == 0:
            return True
        transaction = Transaction(
            [Compare(claim.key, known.mod_revision)], [], [claim.key], [claim.key]
        )
        committed = await self._store.commit(transaction)
        metrics.STORE_CALLS.inc({"call": "claim_release"})
        # If the comparison failed, the claim has already expired or been replaced.
        return isinstance(committed, Success)

    async def _write(self, claim: Claim, record: _Record) -> bool:
        """Write an outcome.

        :returns: False if the write must be retried.
        """
        put = Put(claim.key, record.encode(), claim.lease)
        transaction = Transaction([Compare(claim.key, claim.mod_revision)], [put], [], [claim.key])
        committed = await self._store.commit(transaction)
        metrics.STORE_CALLS.inc({"call": "claim_outcome"})
        if not isinstance(committed, Success):
            return False
        if not committed.unwrap().succeeded:
            # Either an earlier write of this outcome took effect although its response was lost,
            # or the claim has expired.
            log.debug(event("claim_changed", key=claim.key))
        return True

    async def _with_revision(self, claim: Claim) -> Claim | None:
        """Complete a claim with its store revision.

        :returns: the claim, with revision 0 if it does not exist in the store, or None if the
            store cannot be read.
        """
        if claim.mod_revision:
            return claim
        read = await self._store.get(claim.key)
        metrics.STORE_CALLS.inc({"call": "claim_read"})
        if not isinstance(read, Success):
            return None
        found = read.unwrap()
        if found is None:
            return claim
        record = _decode(found.value)
        if record is None or record.claim_id != claim.claim_id:
            return claim
        return replace(claim, mod_revision=found.mod_revision)

    async def _shared_lease(self) -> Result[int, Failure]:
        now_s = self._clock.monotonic_s()
        if now_s < self._lease_reusable_until_s:
            return Success(self._lease)
        reuse_s = self._retention_s * LEASE_REUSE_SHARE
        granted = await self._store.grant_lease(self._retention_s + reuse_s)
        metrics.STORE_CALLS.inc({"call": "claim_lease"})
        if isinstance(granted, Success):
            self._lease = granted.unwrap()
            self._lease_reusable_until_s = now_s + reuse_s
        return granted


def _unavailable(message: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, message, ExecutionState.NOT_RUN, RETRY_AFTER_S)


def _in_progress(message: str) -> Failure:
    return Failure(ErrorKind.IN_PROGRESS, message, ExecutionState.UNKNOWN)
