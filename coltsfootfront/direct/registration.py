"""Registers this router in the store, so that the others find it."""

import json
import random
from dataclasses import asdict, dataclass

import logbook
from returns.result import Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import Put, Store, Transaction

log = logbook.Logger(__name__)

ROUTER_PREFIX = "coltsfootfront/routers/"
# A router that is gone stays listed for this long; peers cope with calls that fail.
LIFE_S = 10.0
# Renewals in the life of a lease; two may be lost.
RENEWALS = 3
RETRY_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class RouterEntry:
    """What a router says of itself.

    :param address: its peer address.
    """

    address: str
    data_centre: str
    region: str

    @property
    def ip(self) -> str:
        """Address without the port."""
        return self.address.rpartition(":")[0]


class Registration:
    """Keeps an entry of this router alive.

    :param name: unique name of this router.
    :param router: what the entry says.
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

    async def run(self) -> None:
        """Register and renew, for ever."""
        while True:
            if not self._lease and not await self._register():
                await self._clock.sleep(self._generator.uniform(0.2, RETRY_PAUSE_S))
                continue
            await self._clock.sleep(LIFE_S / RENEWALS)
            kept = await self._store.keep_alive(self._lease)
            if isinstance(kept, Success) and kept.unwrap() <= 0:
                log.info(event("registration_lapsed", key=self._key))
                self._lease = 0

    async def end(self) -> None:
        """Remove the entry."""
        lease, self._lease = self._lease, 0
        if lease:
            await self._store.revoke_lease(lease)

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(LIFE_S)
        if not isinstance(granted, Success):
            return False
        lease = granted.unwrap()
        put = Put(self._key, self._value, lease)
        done = await self._store.commit(Transaction(puts=[put]))
        if not isinstance(done, Success):
            return False
        self._lease = lease
        log.info(event("router_registered", key=self._key, lease=lease))
        return True


def decode_router_entry(value: bytes) -> RouterEntry | None:
    """What a router's entry says, None when it cannot be read."""
    try:
        body = json.loads(value)
        return RouterEntry(str(body["address"]), str(body["data_centre"]), str(body["region"]))
    except (ValueError, KeyError, TypeError):
        return None
