"""Contract tests that every adapter of :class:`Store` must pass, and the adapters' fault tests."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from typing import Any

from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure, FailureError
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront.keyvalue.store import Compare, Put, Store, Transaction, WatchEvent
from coltsfootfront.platform.store import PlatformStore
from coltsfootfront_dev.platformstore import PlatformStoreStandIn
from coltsfootfront_dev.store import EtcdStandIn

WATCH_TIMEOUT_S = 3.0


def kind_of(result: Result[Any, Failure]) -> ErrorKind | None:
    """Return the error kind of a result, None for a success."""
    return None if isinstance(result, Success) else result.failure().kind


def create(key: str, value: bytes, lease: int = 0) -> Transaction:
    """Build a transaction that creates a key only if it does not exist."""
    return Transaction([Compare(key, 0)], [Put(key, value, lease)], [], [key])


async def next_event(events: AsyncIterator[WatchEvent]) -> WatchEvent:
    """Wait for the next event of a watch."""
    async with asyncio.timeout(WATCH_TIMEOUT_S):
        return await anext(events)


class Contracts:
    """Namespace for abstract test cases, which keeps the test loader from running them."""

    class StoreContract(unittest.IsolatedAsyncioTestCase):
        """Subclasses provide ``make_store`` and ``expire_leases``."""

        async def make_store(self) -> Store:
            """Return an empty, started store; the subclass closes it."""
            raise NotImplementedError

        async def expire_leases(self) -> None:
            """Expire every lease, as if its holder had been paused for too long."""
            raise NotImplementedError

        async def asyncSetUp(self) -> None:
            self.store = await self.make_store()

        async def test_absent_key_reads_as_none(self) -> None:
            """Guards against reporting a missing key as a failure."""
            self.assertEqual(Success(None), await self.store.get("a/absent"))

        async def test_create_only_once(self) -> None:
            """Guards against two creations of one key that both succeed."""
            first = (await self.store.commit(create("a/b", b"1"))).unwrap()
            second = (await self.store.commit(create("a/b", b"2"))).unwrap()
            self.assertTrue(first.succeeded)
            self.assertFalse(second.succeeded)
            self.assertEqual([b"1"], [found.value for found in second.read])

        async def test_compare_and_swap(self) -> None:
            """Guards against overwriting a value that was changed since it was read."""
            await self.store.commit(create("k", b"1"))
            old = (await self.store.get("k")).unwrap()
            assert old is not None
            swap = Transaction([Compare("k", old.mod_revision)], [Put("k", b"2")])
            self.assertTrue((await self.store.commit(swap)).unwrap().succeeded)
            self.assertFalse((await self.store.commit(swap)).unwrap().succeeded)
            new = (await self.store.get("k")).unwrap()
            assert new is not None
            self.assertEqual(b"2", new.value)
            self.assertEqual(old.create_revision, new.create_revision)
            self.assertGreater(new.mod_revision, old.mod_revision)

        async def test_transaction_is_all_or_nothing(self) -> None:
            """Guards against transactions that take effect in part."""
            await self.store.commit(create("k", b"1"))
            both = Transaction([Compare("k", 0)], [Put("x", b""), Put("y", b"")], ["k"])
            self.assertFalse((await self.store.commit(both)).unwrap().succeeded)
            self.assertEqual(Success([]), await self.store.list_prefix("x"))

        async def test_list_prefix_is_ordered_and_exact(self) -> None:
            """Guards against keys outside the prefix in a listing."""
            for key in ("p/2", "p/1", "p0", "o/9"):
                await self.store.commit(create(key, key.encode()))
            found = (await self.store.list_prefix("p/")).unwrap()
            self.assertEqual(["p/1", "p/2"], [item.key for item in found])

        async def test_fencing_token_grows_with_each_creation(self) -> None:
            """Guards against a new lock holder with the fencing token of the previous one."""
            await self.store.commit(create("l", b"1"))
            first = (await self.store.get("l")).unwrap()
            await self.store.commit(Transaction(deletes=["l"]))
            await self.store.commit(create("l", b"2"))
            second = (await self.store.get("l")).unwrap()
            assert first is not None and second is not None
            self.assertGreater(second.create_revision, first.create_revision)

        async def test_lease_removes_its_keys(self) -> None:
            """Guards against keys that outlive their lease."""
            lease = (await self.store.grant_lease(60)).unwrap()
            await self.store.commit(create("l", b"1", lease))
            self.assertGreater((await self.store.keep_alive(lease)).unwrap(), 0)
            self.assertEqual(Success(None), await self.store.revoke_lease(lease))
            self.assertEqual(Success(None), await self.store.get("l"))
            self.assertEqual(Success(None), await self.store.revoke_lease(lease))

        async def test_expired_lease(self) -> None:
            """Guards against a holder that was paused and continues with an expired lease."""
            lease = (await self.store.grant_lease(60)).unwrap()
            await self.store.commit(create("l", b"1", lease))
            await self.expire_leases()
            self.assertEqual(Success(None), await self.store.get("l"))
            self.assertEqual(Success(0.0), await self.store.keep_alive(lease))
            late = await self.store.commit(create("l", b"2", lease))
            self.assertEqual(ErrorKind.STORE_UNAVAILABLE, kind_of(late))
            self.assertEqual(Success(None), await self.store.get("l"))

        async def test_watch_reports_changes_and_removals(self) -> None:
            """Guards against missed events and events of other prefixes."""
            events = self.store.watch("w/")
            pending = asyncio.create_task(next_event(events))
            await asyncio.sleep(0.1)
            await self.store.commit(create("v", b"other"))
            await self.store.commit(create("w/1", b"1"))
            await self.store.commit(Transaction(deletes=["w/1"]))
            first = await pending
            self.assertEqual("w/1", first.key)
            assert first.value is not None
            self.assertEqual(b"1", first.value.value)
            self.assertEqual(WatchEvent("w/1", None), await next_event(events))


class EtcdStoreTest(Contracts.StoreContract):
    """Runs the etcd adapter against a stand-in of the etcd gateway."""

    async def make_store(self) -> Store:
        self.stand_in = EtcdStandIn()
        address = await self.stand_in.start("127.0.0.1:0")
        store = EtcdStore(f"http://{address}", 0.5)
        await store.start()
        self.addAsyncCleanup(self.stand_in.close)
        self.addAsyncCleanup(store.close)
        return store

    async def expire_leases(self) -> None:
        self.stand_in.control({"expire_leases": True})

    async def test_faults(self) -> None:
        """Guards against misreporting whether a failed call may have taken effect."""
        unavailable, ambiguous = ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_AMBIGUOUS
        table: tuple[tuple[dict[str, Any], ErrorKind | None, ErrorKind, bool], ...] = (
            ({"outage": True}, unavailable, ambiguous, False),
            ({"delay_s": 1.0}, unavailable, ambiguous, True),
            ({"rate_limit_per_s": 0}, unavailable, unavailable, False),
            ({"lose_answers": 1}, None, ambiguous, True),
        )
        for number, (fault, read, write, has_effect) in enumerate(table):
            with self.subTest(fault=fault):
                key = f"f/{number}"
                self.stand_in.control(fault)
                self.assertEqual(read, kind_of(await self.store.get(key)))
                self.assertEqual(write, kind_of(await self.store.commit(create(key, b""))))
                self.stand_in.control(
                    {"outage": False, "delay_s": 0, "rate_limit_per_s": None, "lose_answers": 0}
                )
                await asyncio.sleep(0.8 if "delay_s" in fault else 0)
                found = (await self.store.get(key)).unwrap()
                self.assertEqual(has_effect, found is not None)

    async def test_refused_connection_has_no_effect(self) -> None:
        """Guards against reporting a write that was never sent as ambiguous."""
        await self.stand_in.close()
        result = await self.store.commit(create("k", b""))
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, kind_of(result))

    async def test_watch_that_does_not_open_raises(self) -> None:
        """Guards against a watcher that waits forever on a connection without a response."""
        self.stand_in.control({"delay_s": 5.0})
        with self.assertRaises(FailureError):
            await next_event(self.store.watch("w/"))

    async def test_closed_watch_raises(self) -> None:
        """Guards against a watcher that waits forever on a watch that has ended."""
        pending = asyncio.create_task(next_event(self.store.watch("w/")))
        async with asyncio.timeout(WATCH_TIMEOUT_S):
            while not self.stand_in.keys.watches:  # noqa: ASYNC110 - the stand-in has no event
                await asyncio.sleep(0.01)
        self.stand_in.control({"close_watches": True})
        with self.assertRaises(FailureError) as caught:
            await pending
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, caught.exception.failure.kind)


if __name__ == "__main__":
    unittest.main()


class PlatformStoreTest(Contracts.StoreContract):
    """Runs the adapter of the platform's key-value store against its stand-in."""

    async def make_store(self) -> Store:
        self.stand_in = PlatformStoreStandIn()
        await self.stand_in.start()
        store = PlatformStore(self.stand_in.address)
        await store.start()
        self.addAsyncCleanup(self.stand_in.close)
        self.addAsyncCleanup(store.close)
        return store

    async def expire_leases(self) -> None:
        self.stand_in.expire_leases()

    async def test_faults(self) -> None:
        """Guards against misreporting whether a failed call may have taken effect."""
        unavailable, ambiguous = ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_AMBIGUOUS
        self.stand_in.faults.refuses = True
        self.assertEqual(unavailable, kind_of(await self.store.get("f/1")))
        self.assertIn(
            kind_of(await self.store.commit(create("f/1", b""))), (unavailable, ambiguous)
        )
        self.stand_in.faults.refuses = False
        self.assertEqual(Success(None), await self.store.get("f/1"))
        self.stand_in.faults.loses_writes = True
        self.assertEqual(ambiguous, kind_of(await self.store.commit(create("f/2", b""))))
        self.stand_in.faults.loses_writes = False
        self.assertIsNotNone((await self.store.get("f/2")).unwrap())

    async def test_refused_connection_has_no_effect(self) -> None:
        """Guards against reporting a write that was never sent as ambiguous."""
        await self.stand_in.close()
        result = await self.store.commit(create("k", b""))
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, kind_of(result))
