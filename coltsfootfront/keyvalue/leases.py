"""Leases in the store that protect orders to the target and limit loads of weights.

A lease is taken when an order is due and given back afterwards. 1,400 leases kept alive for
ever would need more writes than the store takes.
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
"""Loads of weights that may run at once; more slow each other down."""

# Share of the lease's life that must be left when an order is sent. It covers the order's way
# to the target and the difference between the clocks.
MARGIN_SHARE = 0.3
KEEP_ALIVE_SHARE = 1 / 4


class LeaseLock:
    """A key that exists as long as its holder keeps its lease alive.

    :param store: the platform's key-value service.
    :param clock: time source.
    :param key: key in the store.
    :param life_s: life of the lease in seconds.
    """

    def __init__(self, store: Store, clock: Clock, key: str, life_s: float) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._life_s = life_s
        self._holder = secrets.token_hex(16)
        self._lease = 0
        self._valid_until_s = 0.0
        self.fencing_token = 0
        """Create revision of the key; grows with each new holder."""

    @property
    def is_held(self) -> bool:
        """Whether enough of the lease's life is left to act on it.

        The monotonic clock runs on while the process is stopped, so a holder that wakes up
        after its lease has ended sees it here.
        """
        left_s = self._valid_until_s - self._clock.monotonic_s()
        return self._lease != 0 and left_s > self._life_s * MARGIN_SHARE

    def invalidate(self) -> None:
        """Treat the lease as lost until the store has confirmed it."""
        self._valid_until_s = 0.0

    async def acquire(self, extra: list[Put] | None = None) -> Result[bool, Failure]:
        """Try to become the holder.

        :param extra: writes that take effect together with the key.
        :returns: False when another process holds the key.
        """
        started_s = self._clock.monotonic_s()
        granted = await self._store.grant_lease(self._life_s)
        _count("grant")
        if not isinstance(granted, Success):
            return Failed(granted.failure())
        self._lease = granted.unwrap()
        self._holder = secrets.token_hex(16)
        created = await self._create(extra or [])
        if not isinstance(created, Success) or created.unwrap() is None:
            await self._revoke()
            return created.map(lambda _: False)
        self.fencing_token = created.unwrap() or 0
        self._valid_until_s = started_s + self._life_s
        return Success(True)

    async def renew(self) -> bool:
        """Extend the lease and find out whether the key is still held."""
        started_s = self._clock.monotonic_s()
        kept = await self._store.keep_alive(self._lease)
        _count("keep_alive")
        if isinstance(kept, Success):
            left_s = kept.unwrap()
            self._valid_until_s = started_s + left_s if left_s > 0 else 0.0
        return self.is_held

    async def renew_forever(self) -> None:
        """Extend the lease for ever."""
        while True:
            await self._clock.sleep(self._life_s * KEEP_ALIVE_SHARE)
            await self.renew()

    async def release(self, extra: list[Put] | None = None) -> None:
        """Give the key back; without the store it ends with its lease.

        :param extra: writes that take effect together with the removal.
        """
        if self._lease and extra and self.is_held:
            await self._store.commit(
                Transaction([], extra, [self._key], []),
            )
        await self._revoke()

    async def _create(self, extra: list[Put]) -> Result[int | None, Failure]:
        value = self._holder.encode()
        transaction = Transaction(
            [Compare(self._key, 0)], [Put(self._key, value, self._lease), *extra], [], [self._key]
        )
        committed = await self._store.commit(transaction)
        _count("take")
        if isinstance(committed, Success):
            outcome = committed.unwrap()
            return Success(outcome.store_revision if outcome.succeeded else None)
        if committed.failure().kind is not ErrorKind.STORE_AMBIGUOUS:
            return Failed(committed.failure())
        read = await self._store.get(self._key)
        return read.map(self._fencing_of)

    def _fencing_of(self, found: KeyValue | None) -> int | None:
        if found is None or found.value != self._holder.encode():
            return None
        return found.create_revision

    async def _revoke(self) -> None:
        lease, self._lease = self._lease, 0
        self._valid_until_s = 0.0
        if lease:
            await self._store.revoke_lease(lease)
            _count("revoke")


class TargetLease:
    """The right to give orders to one target.

    A holder that disappeared without giving the lease back may still have an order under way.
    Its successor therefore waits for the lease's life and the longest order, unless the target
    itself refuses old fencing numbers.

    :param target: name of the target.
    :param agent: incarnation of this agent.
    :param life_s: life of the lease in seconds.
    :param order_s: longest order in seconds.
    """

    def __init__(
        self, store: Store, clock: Clock, target: str, agent: str, life_s: float, order_s: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._lock = LeaseLock(store, clock, f"leases/target/{target}", life_s)
        self._last_key = f"leases/last/{target}"
        self._agent = agent.encode()
        self._life_s = life_s
        self._order_s = order_s

    @property
    def fencing_token(self) -> int:
        """Fencing number for orders."""
        return self._lock.fencing_token

    @property
    def is_held(self) -> bool:
        """Whether an order may be sent now."""
        return self._lock.is_held

    def invalidate(self) -> None:
        """Treat the lease as lost until it has been confirmed."""
        self._lock.invalidate()

    async def acquire(self, checks_fencing: bool) -> Result[bool, Failure]:
        """Take the lease and wait until orders of an earlier holder must have ended.

        :param checks_fencing: whether the target refuses old fencing numbers.
        :returns: False when another agent holds the lease.
        """
        last = await self._store.get(self._last_key)
        if not isinstance(last, Success):
            return Failed(last.failure())
        before = last.unwrap()
        taken = await self._lock.acquire([Put(self._last_key, self._agent)])
        if not isinstance(taken, Success) or not taken.unwrap():
            return taken
        clean = before is None or before.value in (b"", self._agent)
        if not clean and not checks_fencing:
            log.info(event("predecessor_awaited", key=self._last_key))
            await self._wait_for_predecessor()
        return Success(self._lock.is_held)

    async def renew(self) -> bool:
        """Extend the lease and find out whether it is still held."""
        return await self._lock.renew()

    async def renew_forever(self) -> None:
        """Extend the lease for ever."""
        await self._lock.renew_forever()

    async def release(self, clean: bool) -> None:
        """Give the lease back.

        :param clean: no order is under way, so that the next holder need not wait.
        """
        await self._lock.release([Put(self._last_key, b"")] if clean else None)

    async def _wait_for_predecessor(self) -> None:
        until_s = self._clock.monotonic_s() + self._life_s + self._order_s
        keeper = asyncio.create_task(self._lock.renew_forever())
        try:
            while self._clock.monotonic_s() < until_s:
                await self._clock.sleep(until_s - self._clock.monotonic_s())
        finally:
            keeper.cancel()
            await asyncio.gather(keeper, return_exceptions=True)


class LoadSlots:
    """Slots for loads of weights, shared by all targets.

    :param life_s: time after which a slot whose holder is gone becomes free; longer than the
        longest load.
    """

    def __init__(self, store: Store, clock: Clock, life_s: float) -> None:
        self._store = store
        self._slots = [
            LeaseLock(store, clock, f"{LOAD_PREFIX}{number}", life_s) for number in range(LOAD_SLOTS)
        ]

    async def are_all_taken(self) -> bool:
        """Whether no slot is free; one read, so that many agents may wait for one."""
        listed = await self._store.list_prefix(LOAD_PREFIX)
        _count("list")
        return not isinstance(listed, Success) or len(listed.unwrap()) >= LOAD_SLOTS

    async def acquire(self) -> Result[LeaseLock | None, Failure]:
        """Take a free slot.

        :returns: the slot to release after the load, or None when none is free.
        """
        for slot in self._slots:
            taken = await slot.acquire()
            if not isinstance(taken, Success):
                return Failed(taken.failure())
            if taken.unwrap():
                return Success(slot)
        return Success(None)


def _count(call: str) -> None:
    metrics.STORE_CALLS.inc({"call": f"lease_{call}"})
