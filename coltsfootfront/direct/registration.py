"""Registers this router in the store, so that the other routers find it."""

import asyncio
import json
import random
from dataclasses import asdict, dataclass

import logbook
from returns.result import Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    load_json,
    read_ip_address,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import Put, Store, Transaction

log = logbook.Logger(__name__)

ROUTER_PREFIX = "coltsfootfront/routers/"
# A router that has crashed stays listed for this long; peers tolerate the calls that fail.
LEASE_TTL_S = 10.0
# Renewals within the lease's TTL, of which two may be lost.
RENEWALS_PER_TTL = 3
MAX_RETRY_DELAY_S = 1.0
MAX_LINK_MBIT_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class RouterEntry:
    """Entry with which a router registers in the store.

    :param address: host and port at which it serves other routers.
    :param link_mbit_per_s: capacity of its VM's link; None if it is not known, as in an entry of an
        earlier version.
    """

    address: str
    data_centre: str
    region: str
    link_mbit_per_s: float | None = None

    @property
    def ip(self) -> str:
        """Address without the port."""
        return self.address.rpartition(":")[0]


class Registration:
    """Keeps the entry of this router in the store, attached to a lease.

    :param name: unique name of this router.
    :param router: content of the entry.
    """

    def __init__(
        self, store: Store, clock: Clock, name: str, router: RouterEntry, generator: random.Random
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = ROUTER_PREFIX + name
        self._value = json.dumps(asdict(router)).encode()
        self._generator = generator
        self._lease = 0
        self._lease_era = 0
        self._restored = asyncio.Event()

    async def run(self) -> None:
        """Run the loop that registers the router and renews its lease."""
        while True:
            if self._is_lost:
                log.info(event("registration_lost", key=self._key, era=self._store.era))
                self._lease = 0
            if not self._lease and not await self._register():
                await self._clock.sleep(self._generator.uniform(0.2, MAX_RETRY_DELAY_S))
                continue
            if not self._is_lost:
                await self._wait_until_due()
            if self._is_lost:
                continue
            if not self._lease:
                # Deregistered meanwhile.
                return
            # A relay may tell of a restore before the store does, in its answer to this call.
            renewed = await self._store.keep_alive(self._lease)
            if isinstance(renewed, Success) and renewed.unwrap() <= 0:
                log.info(event("registration_lapsed", key=self._key))
                self._lease = 0

    @property
    def _is_lost(self) -> bool:
        """Whether the store is known to have been restored since this router registered."""
        return self._lease != 0 and self._lease_era != self._store.era

    def register_again(self) -> None:
        """Register at once, as the entry may be lost after a restore, or when leases lapse."""
        self._restored.set()

    async def _wait_until_due(self) -> None:
        restored = asyncio.ensure_future(self._restored.wait())
        timer = asyncio.ensure_future(self._clock.sleep(LEASE_TTL_S / RENEWALS_PER_TTL))
        try:
            await asyncio.wait((restored, timer), return_when=asyncio.FIRST_COMPLETED)
        finally:
            restored.cancel()
            timer.cancel()
        self._restored.clear()

    async def deregister(self) -> None:
        """Revoke the lease, which removes the entry."""
        lease, self._lease = self._lease, 0
        if lease and self._lease_era == self._store.era:
            await self._store.revoke_lease(lease)

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if not isinstance(granted, Success):
            return False
        lease = granted.unwrap()
        lease_era = self._store.era
        put = Put(self._key, self._value, lease)
        committed = await self._store.commit(Transaction(puts=[put]))
        if not isinstance(committed, Success):
            return False
        self._lease = lease
        self._lease_era = lease_era
        log.info(event("router_registered", key=self._key, lease=lease))
        return True


def decode_router_entry(value: bytes) -> RouterEntry | None:
    """Decode a router's entry, None if it is invalid."""
    try:
        with decoding("router entry"):
            body = load_json(value)
            return RouterEntry(
                read_ip_address(body["address"]),
                read_text(body["data_centre"]),
                read_text(body["region"]),
                _decode_link(body.get("link_mbit_per_s")),
            )
    except DecodingError as error:
        log.warning(event("router_entry_ignored", reason=str(error)))
        return None


def _decode_link(value: object) -> float | None:
    """Decode a link's capacity, None if it is missing or no positive number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    # Above all real links; integers may exceed the range of floats.
    return float(value) if 0 < value < MAX_LINK_MBIT_PER_S else None
