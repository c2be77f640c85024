"""Lease-based locks in the store: exclusive control of a target, and a limit on weight loads.

A target's agent acquires its lock when it has to send a command (an order) to the target, such
as loading weights, and releases it afterwards. Keeping 1,400 leases alive all the time would need
more writes than the store can handle.
"""

import asyncio
import secrets

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import Compare, KeyValue, Put, Store, Transaction

log = logbook.Logger(__name__)

LOAD_PREFIX = "leases/load/"
LOAD_SLOTS = 2
"""Limit of concurrent loads of weights; more would slow each other down."""

# Share of the lease's TTL that must be left when an order is sent. It covers the network delay to
# the target and the difference between the clocks.
SAFETY_MARGIN_SHARE = 0.3
RENEWAL_INTERVAL_SHARE = 1 / 4
# Fencing tokens of a later era of the store are above all of the eras before. The revisions of one
# era stay below this.
TOKENS_PER_ERA = 2**40


class LeaseLock:
    """Distributed lock: a key in the store, bound to a lease that the holder keeps alive.

    :param store: the platform's key-value store.
    :param clock: time source.
    :param key: key in the store.
    :param ttl_s: TTL of the lease in seconds.
    """

    def __init__(self, store: Store, clock: Clock, key: str, ttl_s: float) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._ttl_s = ttl_s
        self._holder = secrets.token_hex(16)
        self._lease = 0
        self._lease_era = 0
        self._valid_until_s = 0.0
        self._create_revision = 0
        self.fencing_token = 0
        """Fencing token: era and create revision of the key, which grows with each new holder."""

    @property
    def is_held(self) -> bool:
        """Whether the lock is held and enough of the lease's TTL is left to act on it.

        The monotonic clock continues while the process is stopped, so a holder that is resumed
        after its lease has expired detects it here.
        """
        left_s = self._valid_until_s - self._clock.monotonic_s()
        # The store loses leases when it is restored, and may give out their numbers again.
        has_lease = self._lease != 0 and self._lease_era == self._store.era
        return has_lease and left_s > self._ttl_s * SAFETY_MARGIN_SHARE

    def invalidate(self) -> None:
        """Treat the lease as expired until the store confirms it."""
        self._valid_until_s = 0.0

    async def acquire(
        self, extra: list[Put] | None = None, conditions: list[Compare] | None = None
    ) -> Result[bool, Failure]:
        """Try to acquire the lock.

        :param extra: writes made in the same transaction.
        :param conditions: further conditions of the transaction.
        :returns: False if another process holds the lock, or a condition does not hold.
        """
        started_s = self._clock.monotonic_s()
        granted = await self._store.grant_lease(self._ttl_s)
        _count("grant")
        if not isinstance(granted, Success):
            return Failed(granted.failure())
        self._lease = granted.unwrap()
        self._lease_era = self._store.era
        self._holder = secrets.token_hex(16)
        created = await self._create(extra or [], conditions or [])
        if not isinstance(created, Success) or created.unwrap() is None:
            await self._revoke()
            return created.map(lambda _: False)
        self._create_revision = created.unwrap() or 0
        self.fencing_token = self._lease_era * TOKENS_PER_ERA + self._create_revision
        self._valid_until_s = started_s + self._ttl_s
        return Success(self._lease_era == self._store.era)

    async def renew(self) -> bool:
        """Renew the lease and return whether the lock is still held."""
        if self._lease_era != self._store.era:
            self._valid_until_s = 0.0
            return False
        started_s = self._clock.monotonic_s()
        renewed = await self._store.keep_alive(self._lease)
        _count("keep_alive")
        if isinstance(renewed, Success):
            left_s = renewed.unwrap()
            self._valid_until_s = started_s + left_s if left_s > 0 else 0.0
        return self.is_held

    async def renew_forever(self) -> None:
        """Renew the lease periodically, forever."""
        while True:
            await self._clock.sleep(self._ttl_s * RENEWAL_INTERVAL_SHARE)
            await self.renew()

    async def release(self, extra: list[Put] | None = None) -> None:
        """Release the lock; if the store is unavailable, it expires with its lease.

        :param extra: writes made in the same transaction as the removal.
        """
        if self._lease and extra and self.is_held:
            # A write without an answer may be made after another process has acquired the lock.
            own = Compare(self._key, self._create_revision)
            await self._store.commit(Transaction([own], extra, [self._key], []))
        await self._revoke()

    async def _create(
        self, extra: list[Put], conditions: list[Compare]
    ) -> Result[int | None, Failure]:
        value = self._holder.encode()
        transaction = Transaction(
            [Compare(self._key, 0), *conditions],
            [Put(self._key, value, self._lease), *extra],
            [],
            [self._key],
        )
        committed = await self._store.commit(transaction)
        _count("take")
        if isinstance(committed, Success):
            result = committed.unwrap()
            return Success(result.store_revision if result.succeeded else None)
        if committed.failure().kind is not ErrorKind.STORE_AMBIGUOUS:
            return Failed(committed.failure())
        read = await self._store.get(self._key)
        return read.map(self._fencing_token_from)

    def _fencing_token_from(self, found: KeyValue | None) -> int | None:
        if found is None or found.value != self._holder.encode():
            return None
        return found.create_revision

    async def _revoke(self) -> None:
        lease, self._lease = self._lease, 0
        self._valid_until_s = 0.0
        if lease and self._lease_era == self._store.era:
            await self._store.revoke_lease(lease)
            _count("revoke")


class TargetLease:
    """Lock for exclusive control of one target: only its holder sends orders to the target.

    A holder that has failed without releasing the lock may still have an order in progress. The
    next holder therefore waits for the lease's TTL plus the longest duration of an order, unless
    the target itself rejects old fencing tokens.

    :param target: name of the target.
    :param agent: incarnation of this agent.
    :param ttl_s: TTL of the lease in seconds.
    :param max_order_s: longest duration of an order in seconds.
    """

    def __init__(
        self, store: Store, clock: Clock, target: str, agent: str, ttl_s: float, max_order_s: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._lock = LeaseLock(store, clock, f"leases/target/{target}", ttl_s)
        self._last_holder_key = f"leases/last/{target}"
        self._agent = agent.encode()
        self._ttl_s = ttl_s
        self._max_order_s = max_order_s

    @property
    def fencing_token(self) -> int:
        """Fencing token to send with orders."""
        return self._lock.fencing_token

    @property
    def is_held(self) -> bool:
        """Whether an order may be sent now."""
        return self._lock.is_held

    def invalidate(self) -> None:
        """Treat the lease as expired until the store confirms it."""
        self._lock.invalidate()

    async def acquire(self, checks_fencing: bool) -> Result[bool, Failure]:
        """Acquire the lock and wait until orders of a failed holder must have ended.

        :param checks_fencing: whether the target rejects old fencing tokens.
        :returns: False if another agent holds the lock, or if it was lost during the wait.
        """
        last = await self._store.get(self._last_holder_key)
        if not isinstance(last, Success):
            return Failed(last.failure())
        last_holder = last.unwrap()
        acquired = await self._lock.acquire([Put(self._last_holder_key, self._agent)])
        if not isinstance(acquired, Success) or not acquired.unwrap():
            return acquired
        clean = last_holder is None or last_holder.value in (b"", self._agent)
        if not clean and not checks_fencing:
            log.info(event("predecessor_awaited", key=self._last_holder_key))
            await self._wait_for_predecessor()
        return Success(self._lock.is_held)

    async def renew(self) -> bool:
        """Renew the lease and return whether the lock is still held."""
        return await self._lock.renew()

    async def renew_forever(self) -> None:
        """Renew the lease periodically, forever."""
        await self._lock.renew_forever()

    async def release(self, clean: bool) -> None:
        """Release the lock.

        :param clean: whether no order is in progress, so that the next holder need not wait.
        """
        await self._lock.release([Put(self._last_holder_key, b"")] if clean else None)

    async def _wait_for_predecessor(self) -> None:
        until_s = self._clock.monotonic_s() + self._ttl_s + self._max_order_s
        renewal = asyncio.create_task(self._lock.renew_forever())
        try:
            while self._clock.monotonic_s() < until_s:
                await self._clock.sleep(until_s - self._clock.monotonic_s())
        finally:
            renewal.cancel()
            await asyncio.gather(renewal, return_exceptions=True)


class LoadSlots:
    """Distributed semaphore for loads of weights, shared by the agents of all targets.

    :param ttl_s: TTL of a slot's lease, after which the slot of a failed holder is free; longer
        than the longest load.
    """

    def __init__(self, store: Store, clock: Clock, ttl_s: float) -> None:
        self._store = store
        self._slots = [
            LeaseLock(store, clock, f"{LOAD_PREFIX}{number}", ttl_s) for number in range(LOAD_SLOTS)
        ]

    async def are_all_taken(self) -> bool:
        """Whether no slot is free; a single read, so that many agents can poll."""
        listed = await self._store.list_prefix(LOAD_PREFIX)
        _count("list")
        return not isinstance(listed, Success) or len(listed.unwrap()) >= LOAD_SLOTS

    async def acquire(self) -> Result[LeaseLock | None, Failure]:
        """Acquire a free slot.

        :returns: the slot, to be released after the load, or None if none is free.
        """
        for slot in self._slots:
            acquired = await slot.acquire()
            if not isinstance(acquired, Success):
                return Failed(acquired.failure())
            if acquired.unwrap():
                return Success(slot)
        return Success(None)


def _count(call: str) -> None:
    metrics.STORE_CALLS.inc({"call": f"lease_{call}"})
