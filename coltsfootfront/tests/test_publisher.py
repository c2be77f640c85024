"""Tests of publishing while the store fails."""

import asyncio
import base64
import functools
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.configuration.entries import Entries, pack
from coltsfootfront.configuration.publisher import Publisher
from coltsfootfront.configuration.records import (
    HEAD_KEY,
    MAX_CHUNK_BYTES,
    ChangeRequest,
    Difference,
    PublishedRevision,
    Rejection,
    split_chunks,
)
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront.keyvalue.store import KeyValue, Transaction, TransactionResult
from coltsfootfront_dev.store import EtcdStandIn

UNAVAILABLE = Failure(ErrorKind.STORE_UNAVAILABLE, "injected")
AMBIGUOUS = Failure(ErrorKind.STORE_AMBIGUOUS, "injected", ExecutionState.UNKNOWN)


class FaultyStore(EtcdStore):
    """Fails chosen transactions, either without effect or after they took effect.

    ``meanwhile`` is called after the transaction with the number ``meanwhile_at``.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address, 0.5)
        self.meanwhile: Callable[[], Awaitable[object]] | None = None
        self.meanwhile_at = 0
        self.inject()

    def inject(
        self, before: dict[int, Failure] | None = None, after: dict[int, Failure] | None = None
    ) -> None:
        """Set the failures by transaction number and restart the count at 1."""
        self.commits = 0
        self._before = before or {}
        self._after = after or {}

    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        self.commits += 1
        number = self.commits
        failure = self._before.get(number)
        result = Failed(failure) if failure else await super().commit(transaction)
        if self.meanwhile is not None and number == self.meanwhile_at:
            await self.meanwhile()
        failure = self._after.get(number)
        return Failed(failure) if failure else result


def entries_with(**customers: int) -> Entries:
    """A small document; the values distinguish revisions."""
    return {f"customers/{name}": str(value).encode() for name, value in customers.items()}


def change(operation_id: str, expected: int) -> ChangeRequest:
    """A change of one operator."""
    return ChangeRequest(operation_id, "duty", expected)


def rejection_of(result: Result[PublishedRevision, Rejection]) -> Rejection:
    """The rejection of a change that was not accepted."""
    assert not isinstance(result, Success), result
    return result.failure()


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    """Each test publishes through its own client to one stand-in of the store."""

    async def asyncSetUp(self) -> None:
        self.stand_in = EtcdStandIn()
        self.address = await self.stand_in.start("127.0.0.1:0")
        self.addAsyncCleanup(self.stand_in.close)
        self.store = FaultyStore(f"http://{self.address}")
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.publisher = Publisher(self.store, SystemClock())

    async def apply(self, entries: Entries, operation_id: str, expected: int) -> PublishedRevision:
        """Apply a change that is expected to be accepted."""
        result = await self.publisher.apply(entries, change(operation_id, expected))
        assert isinstance(result, Success), result
        published: PublishedRevision = result.unwrap()
        return published

    async def head_revision(self) -> int:
        """Revision of the head in the store."""
        return (await self.publisher.read_head()).unwrap().revision

    async def test_apply_read_and_roll_back(self) -> None:
        """Guards against a rollback that reuses a revision number or loses content."""
        await self.apply(entries_with(a=1), "op-1", 0)
        await self.apply(entries_with(a=2, b=1), "op-2", 1)
        result = await self.publisher.rollback(1, change("op-3", 2))
        published = result.unwrap()
        self.assertEqual(3, published.record.revision)
        self.assertEqual(1, published.record.restored)
        self.assertEqual(entries_with(a=1), published.entries)
        history = (await self.publisher.read_history(10)).unwrap()
        self.assertEqual(["op-3", "op-2", "op-1"], [record.operation_id for record in history])
        self.assertEqual(history[1].digest, history[0].parent)

    async def test_race_has_one_winner(self) -> None:
        """Guards against concurrent changes that are both accepted, or one that is half applied."""
        other_store = FaultyStore(f"http://{self.address}")
        await other_store.start()
        self.addAsyncCleanup(other_store.close)
        other = Publisher(other_store, SystemClock())
        await self.apply(entries_with(a=1), "op-0", 0)
        contents = [entries_with(a=2), entries_with(a=1, b=3)]
        results = await asyncio.gather(
            self.publisher.apply(contents[0], change("op-1", 1)),
            other.apply(contents[1], change("op-2", 1)),
        )
        winners = [number for number, item in enumerate(results) if isinstance(item, Success)]
        self.assertEqual(1, len(winners), results)
        rejection = rejection_of(results[1 - winners[0]])
        self.assertEqual(ErrorKind.CONFLICT, rejection.failure.kind)
        self.assertEqual(2, rejection.revision)
        expected = Difference.between(entries_with(a=1), contents[winners[0]])
        self.assertEqual(expected, rejection.difference)
        newest = (await self.publisher.read_revision(2, {})).unwrap()
        self.assertEqual(contents[winners[0]], newest.entries)

    async def test_lost_response_applies_a_change_once(self) -> None:
        """Guards against a lost response that makes a change fail or apply twice."""
        # Transactions of an apply: 1 reads the head, 2 writes a chunk, 3 writes the head.
        for lost in (2, 3):
            with self.subTest(lost=lost):
                base = await self.head_revision()
                self.store.inject(after={lost: AMBIGUOUS})
                published = await self.apply(entries_with(a=100 + lost), f"op-{lost}", base)
                self.assertEqual(base + 1, published.record.revision)
                self.assertEqual(base + 1, await self.head_revision())

    async def test_lost_response_then_other_operator(self) -> None:
        """Guards against accepting another operator's revision as one's own on a lost response."""
        other_store = FaultyStore(f"http://{self.address}")
        await other_store.start()
        self.addAsyncCleanup(other_store.close)
        other = Publisher(other_store, SystemClock())
        for takes_effect in (True, False):
            with self.subTest(takes_effect=takes_effect):
                base = await self.head_revision()
                theirs = base + 1 if takes_effect else base
                lost = {3: AMBIGUOUS}
                if takes_effect:
                    self.store.inject(after=lost)
                else:
                    self.store.inject(before=lost)
                self.store.meanwhile_at = 3
                self.store.meanwhile = functools.partial(
                    other.apply, entries_with(z=theirs), change(f"other-{theirs}", theirs)
                )
                own = change(f"own-{base}", base)
                result = await self.publisher.apply(entries_with(a=200 + base), own)
                self.assertEqual(theirs + 1, await self.head_revision())
                if takes_effect:
                    self.assertEqual(base + 1, result.unwrap().record.revision)
                else:
                    failure = rejection_of(result).failure
                    self.assertEqual(ErrorKind.CONFLICT, failure.kind)

    async def test_retry_with_operation_id(self) -> None:
        """Guards against a conflict for an operator who retries an accepted change."""
        first = await self.apply(entries_with(a=1), "op-1", 0)
        await self.apply(entries_with(a=2), "op-2", 1)
        again = await self.apply(entries_with(a=1), "op-1", 0)
        self.assertEqual(first.record, again.record)
        self.assertEqual(2, await self.head_revision())

    async def test_store_down_at_each_step(self) -> None:
        """Guards against a part of a change taking effect, and against a wrong ``not_run``."""
        await self.apply(entries_with(a=1), "op-0", 0)
        for step in (1, 2, 3):
            with self.subTest(step=step):
                self.store.inject(before=dict.fromkeys(range(step, 20), UNAVAILABLE))
                result = await self.publisher.apply(
                    entries_with(a=10 + step), change(f"op-{step}", 1)
                )
                self.store.inject()
                failure = rejection_of(result).failure
                self.assertEqual(ErrorKind.STORE_UNAVAILABLE, failure.kind)
                self.assertEqual(ExecutionState.NOT_RUN, failure.execution_state)
                self.assertEqual(1, await self.head_revision())

    async def test_outage_after_an_ambiguous_commit(self) -> None:
        """Guards against a ``not_run`` for a change that may have taken effect."""
        clock = TenSecondSleepClock()
        publisher = Publisher(self.store, clock)
        down = dict.fromkeys(range(4, 20), UNAVAILABLE)
        self.store.inject(before=down, after={3: AMBIGUOUS})
        result = await publisher.apply(entries_with(a=1), change("op-1", 0))
        failure = rejection_of(result).failure
        self.assertEqual(ErrorKind.STORE_AMBIGUOUS, failure.kind)
        self.assertEqual(ExecutionState.UNKNOWN, failure.execution_state)
        self.store.inject()
        again = await publisher.apply(entries_with(a=1), change("op-1", 0))
        self.assertEqual(1, again.unwrap().record.revision)

    async def test_stale_head_is_not_the_base_of_a_change(self) -> None:
        """Guards against a change that is based on a stale head returned by the store."""
        await self.apply(entries_with(a=1), "op-1", 0)
        await self.apply(entries_with(a=2), "op-2", 1)
        self.stand_in.control({"stale_reads": True})
        stale_head = (await self.publisher.read_head_maybe_stale()).unwrap()
        self.assertEqual(1, stale_head.revision)
        self.assertEqual(2, await self.head_revision())
        result = await self.publisher.apply(entries_with(a=9), change("op-3", 1))
        self.assertEqual(ErrorKind.CONFLICT, rejection_of(result).failure.kind)

    async def test_damaged_chunk_is_refused(self) -> None:
        """Guards against accepting content that does not match its digest."""
        published = await self.apply(entries_with(a=1), "op-1", 0)
        key = b"config/blob/" + published.record.chunks[0].encode()
        self.stand_in.keys.put(key, base64.b64encode(pack(entries_with(a=2))).decode(), 0)
        result = await self.publisher.read_entries(published.record, {})
        self.assertEqual(ErrorKind.INTERNAL, result.failure().kind)

    async def test_small_change_rewrites_one_chunk(self) -> None:
        """Guards against 1,900 changes a day that each rewrite the whole document."""
        entries = {f"targets/t-{number}": b"x" * 200 for number in range(3000)}
        await self.apply(entries, "op-1", 0)
        before = self.stand_in.counters["/v3/kv/txn"]
        await self.apply({**entries, "targets/t-77": b"y" * 200}, "op-2", 1)
        # One read of the head, one chunk, one update of the head.
        self.assertEqual(3, self.stand_in.counters["/v3/kv/txn"] - before)

    async def test_chunks_stay_below_the_value_limit(self) -> None:
        """Guards against a chunk that the store would refuse for its size."""
        entries = {f"terms/t-{number}": b"x" * (MAX_CHUNK_BYTES // 3) for number in range(40)}
        entries["terms/big"] = b"y" * MAX_CHUNK_BYTES
        chunks = split_chunks(entries)
        sizes = [sum(map(len, chunk.values())) for chunk in chunks.values()]
        self.assertLessEqual(max(sizes), MAX_CHUNK_BYTES)
        merged = {key: value for chunk in chunks.values() for key, value in chunk.items()}
        self.assertEqual(entries, merged)

    async def test_old_revisions_are_removed(self) -> None:
        """Guards against a store that fills up, and against the removal of a chunk in use."""
        contents = [entries_with(a=number) for number in (1, 2, 3, 1, 4, 2)]
        with mock.patch("coltsfootfront.configuration.publisher.RETAINED_REVISIONS", 2):
            for number, content in enumerate(contents, 1):
                await self.apply(content, f"op-{number}", number - 1)
                self.assertEqual(Success(None), await self.publisher.prune(number))
                for kept in range(max(1, number - 1), number + 1):
                    found = (await self.publisher.read_revision(kept, {})).unwrap()
                    self.assertEqual(contents[kept - 1], found.entries)
        keys = [item.key for item in (await self.store.list_prefix("config/")).unwrap()]
        self.assertEqual(2, len([key for key in keys if key.startswith("config/revision/")]))
        # The chunks of revisions 5 and 6, and of none that was removed.
        self.assertEqual(2, len([key for key in keys if key.startswith("config/blob/")]))

    async def test_head_key_is_the_documented_one(self) -> None:
        """Guards against a change of the layout in the store, which two program versions share."""
        await self.apply(entries_with(a=1), "op-1", 0)
        found: KeyValue | None = (await self.store.get(HEAD_KEY)).unwrap()
        record: KeyValue | None = (await self.store.get("config/revision/000000000001")).unwrap()
        assert found is not None and record is not None
        self.assertEqual(found.value, record.value)


class TenSecondSleepClock(SystemClock):
    """Advances ten seconds with every sleep, past the limit for retrying an ambiguous commit."""

    def __init__(self) -> None:
        self._slept_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self._slept_s

    async def sleep(self, delay_s: float) -> None:
        self._slept_s += 10.0


if __name__ == "__main__":
    unittest.main()
