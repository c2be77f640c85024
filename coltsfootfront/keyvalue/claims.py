"""Idempotency claims in the store: a call with a key runs at most once.

A claim is created before the call is forwarded and its outcome is written afterwards. It
belongs to no process: a repeat through another router, through another agent or after a restart
finds it in the store.
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
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import Compare, KeyValue, TransactionResult, Put, Store, Transaction

log = logbook.Logger(__name__)

STATE_RUNNING = "running"
STATE_DONE = "done"
STATE_UNKNOWN = "unknown"

MAX_OUTCOME_BYTES = 64 * 1024
"""Largest body that is kept; the store takes values up to 1 MB."""

# Claims share leases, which saves one store call for each claim: a lease serves for this share
# of the retention and lives that much longer.
LEASE_SHARE = 1 / 24
CREATE_ATTEMPTS = 3
# Outcomes and releases that wait for the store; about 2 MB in the worst case.
MAX_PENDING = 64
MAX_ABANDONED = 1024
# Failed writes after which a round over the pending ones ends.
MAX_FAILED_WRITES = 3
RETRY_INTERVAL_S = 0.5
RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """Answer of a call that has run.

    :param too_large: the body was not kept.
    """

    status: int
    headers: list[list[str]] = field(default_factory=list)
    body: bytes = b""
    too_large: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim that this agent holds.

    :param claim_id: unique for each attempt to claim.
    :param mod_revision: store revision of the claim's creation.
    :param lease: lease that ends the claim.
    """

    key: str
    claim_id: str
    digest: str
    mod_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class _Record:
    """Value of a claim in the store."""

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
    """Claims of calls to the target.

    :param store: the platform's key-value service.
    :param clock: time source.
    :param agent: name of this agent, for people who read the store.
    :param retention_s: life of a claim.
    """

    def __init__(self, store: Store, clock: Clock, agent: str, retention_s: float) -> None:
        self._store = store
        self._clock = clock
        self._agent = agent
        self._retention_s = retention_s
        self._lease = 0
        self._lease_until_s = 0.0
        self._pending: OrderedDict[str, tuple[Claim, _Record | None]] = OrderedDict()
        self._abandoned: OrderedDict[str, None] = OrderedDict()
        self._wake = asyncio.Event()

    @property
    def pending(self) -> int:
        """Outcomes and releases that the store has not taken yet."""
        return len(self._pending)

    async def claim(
        self, customer: str, service: str, key_hash: str, digest: str
    ) -> Result[Claim | StoredOutcome, Failure]:
        """Claim a call, or find out what became of it.

        :param key_hash: hash of the caller's idempotency key.
        :param digest: digest of the call.
        :returns: a claim when the call must now run, or the outcome of the earlier call. Fails
            with ``store_unavailable`` and ``not_run`` without the store, ``key_reused`` for
            another call under the same key, ``in_progress`` and ``unknown`` while the earlier
            call runs or its agent is gone, and ``target_failed`` and ``unknown`` when its
            outcome is not known.
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
        return await self._judge(found.unwrap(), record, lease.unwrap())

    def record(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Write the outcome of a call that has run; goes on until the store takes it."""
        self._defer(claim, STATE_DONE, outcome)

    def record_unknown(self, claim: Claim) -> None:
        """Write that a call may have run and that its outcome will not be known."""
        self._defer(claim, STATE_UNKNOWN, None)

    async def release(self, claim: Claim) -> None:
        """Remove the claim of a call that truly did not run, so that a repeat may run."""
        self._abandon(claim.claim_id)
        if not await self._delete(claim):
            self._pending[claim.key] = (claim, None)
            self._wake.set()

    async def run(self) -> None:
        """Write pending outcomes and releases, for ever."""
        while True:
            self._wake.clear()
            await self.flush()
            if self._pending:
                await self._clock.sleep(RETRY_INTERVAL_S)
            else:
                await self._wake.wait()

    async def flush(self) -> None:
        """Try once to write what is pending; stops early while the store does not answer."""
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
            # Entries behind it get their turn in the next round.
            self._pending.move_to_end(key)
            failed += 1
            if failed >= MAX_FAILED_WRITES:
                return

    def _defer(self, claim: Claim, state: str, outcome: StoredOutcome | None) -> None:
        record = _Record(claim.claim_id, claim.digest, state, self._agent, outcome)
        self._pending[claim.key] = (claim, record)
        self._wake.set()

    async def _create(
        self, key: str, record: _Record, lease: int, replaces: int
    ) -> Result[KeyValue, Failure]:
        """Create the claim or read the one that exists.

        A write whose answer was lost is repeated with the same claim id: it then either takes
        effect or finds the first one.
        """
        value = record.encode()
        transaction = Transaction([Compare(key, replaces)], [Put(key, value, lease)], [], [key])
        ambiguous = False
        for _ in range(CREATE_ATTEMPTS):
            committed = await self._store.commit(transaction)
            metrics.STORE_CALLS.inc({"call": "claim"})
            if isinstance(committed, Success):
                outcome: TransactionResult = committed.unwrap()
                if outcome.succeeded:
                    return Success(KeyValue(key, value, 0, outcome.store_revision, lease))
                if outcome.read:
                    return Success(outcome.read[0])
                # The claim expired between the comparison and the read.
                continue
            self._lease_until_s = 0.0
            if committed.failure().kind is not ErrorKind.STORE_AMBIGUOUS:
                break
            ambiguous = True
            read = await self._store.get(key)
            existing = read.unwrap() if isinstance(read, Success) else None
            if existing is not None:
                return Success(existing)
        if ambiguous:
            self._forget_later(key, record, lease)
        return Failed(_unavailable("the store did not take the claim"))

    async def _judge(
        self, found: KeyValue, own: _Record, lease: int
    ) -> Result[Claim | StoredOutcome, Failure]:
        record = _decode(found.value)
        if record is None:
            return Failed(_in_progress("the claim cannot be read"))
        if record.claim_id == own.claim_id:
            return Success(self._held(found, own, lease))
        if record.claim_id in self._abandoned:
            return await self._take_over(found, own, lease)
        if record.digest != own.digest:
            return Failed(Failure(ErrorKind.KEY_REUSED, "the key was used for another request"))
        return self._outcome_of(found.key, record)

    def _outcome_of(self, key: str, record: _Record) -> Result[Claim | StoredOutcome, Failure]:
        waiting = self._pending.get(key)
        if waiting is not None and waiting[1] is not None:
            record = waiting[1]
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

    async def _take_over(
        self, found: KeyValue, own: _Record, lease: int
    ) -> Result[Claim | StoredOutcome, Failure]:
        """Replace a claim that this agent made and whose call never ran."""
        replaced = await self._create(found.key, own, lease, found.mod_revision)
        if not isinstance(replaced, Success):
            return Failed(replaced.failure())
        current = replaced.unwrap()
        record = _decode(current.value)
        if record is not None and record.claim_id == own.claim_id:
            return Success(self._held(current, own, lease))
        return Failed(_in_progress("the request with this key is in progress"))

    def _held(self, found: KeyValue, own: _Record, lease: int) -> Claim:
        pending = self._pending.get(found.key)
        if pending is not None and pending[1] is None:
            del self._pending[found.key]
        return Claim(found.key, own.claim_id, own.digest, found.mod_revision, lease)

    def _forget_later(self, key: str, record: _Record, lease: int) -> None:
        """Remove a claim that may have been created and whose call is not going to run."""
        self._abandon(record.claim_id)
        claim = Claim(key, record.claim_id, record.digest, 0, lease)
        if key not in self._pending:
            self._pending[key] = (claim, None)
            self._wake.set()

    def _abandon(self, claim_id: str) -> None:
        self._abandoned[claim_id] = None
        while len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    async def _delete(self, claim: Claim) -> bool:
        """Remove a claim.

        :returns: whether the claim is gone for certain.
        """
        known = await self._find(claim)
        if known is None:
            return False
        if known.mod_revision == 0:
            return True
        transaction = Transaction(
            [Compare(claim.key, known.mod_revision)], [], [claim.key], [claim.key]
        )
        committed = await self._store.commit(transaction)
        metrics.STORE_CALLS.inc({"call": "claim_release"})
        # A comparison that failed means that the claim has gone or was replaced already.
        return isinstance(committed, Success)

    async def _write(self, claim: Claim, record: _Record) -> bool:
        """Write an outcome.

        :returns: whether nothing is left to do.
        """
        put = Put(claim.key, record.encode(), claim.lease)
        transaction = Transaction([Compare(claim.key, claim.mod_revision)], [put], [], [claim.key])
        committed = await self._store.commit(transaction)
        metrics.STORE_CALLS.inc({"call": "claim_outcome"})
        if not isinstance(committed, Success):
            return False
        if not committed.unwrap().succeeded:
            # Either an earlier write of the same outcome took effect without an answer, or the
            # claim has expired.
            log.debug(event("claim_changed", key=claim.key))
        return True

    async def _find(self, claim: Claim) -> Claim | None:
        """Read the store revision of a claim; 0 when it does not exist, None when unknown."""
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
        if now_s < self._lease_until_s:
            return Success(self._lease)
        share_s = self._retention_s * LEASE_SHARE
        granted = await self._store.grant_lease(self._retention_s + share_s)
        metrics.STORE_CALLS.inc({"call": "claim_lease"})
        if isinstance(granted, Success):
            self._lease = granted.unwrap()
            self._lease_until_s = now_s + share_s
        return granted


def _unavailable(message: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, message, ExecutionState.NOT_RUN, RETRY_AFTER_S)


def _in_progress(message: str) -> Failure:
    return Failure(ErrorKind.IN_PROGRESS, message, ExecutionState.UNKNOWN)
