"""Tests of KV cache transfer through a kept-cache service."""

import unittest
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.peers.messages import Run
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.keptcache import KeptCache
from coltsfootfront.targets.prefixtransfer import (
    PrefixTransfer,
    exportable_customers,
    transfer_depths,
)
from coltsfootfront.tests.support import (
    FakeEngine,
    ManualClock,
    NoopLifecycle,
    make_configuration,
    run_ready_tasks,
    single_target_document,
)

KEYS = [number.to_bytes(8, "big") for number in range(6)]


class MemoryKeptCache(NoopLifecycle, KeptCache):
    """In-memory kept cache."""

    def __init__(self) -> None:
        self.values: dict[tuple[str, bytes], bytes] = {}
        self.lookups = 0
        self.down = False

    async def put(self, cache_salt: str, key: bytes, data: bytes) -> Result[None, Failure]:
        self.values[(cache_salt, key)] = data
        return Success(None)

    async def get(self, cache_salt: str, key: bytes) -> Result[bytes | None, Failure]:
        self.lookups += 1
        if self.down:
            return Failed(Failure(ErrorKind.TARGET_UNREACHABLE))
        return Success(self.values.get((cache_salt, key)))


class ExportingEngine(FakeEngine):
    """Engine whose exports contain only the salt and the number of blocks."""

    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        return Success(f"{cache_salt} {len(keys)}".encode())

    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        salt, _, blocks = data.decode().partition(" ")
        assert salt == cache_salt
        return Success(int(blocks))


def make_run(customer: str = "small", blocks: int = 6) -> Run:
    """Make a request with a prompt of ``blocks`` blocks."""
    return Run(1, "r", 1, customer, "", "completion", 0.0, b"", "m", keys=KEYS[:blocks])


class PrefixTransferTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.kept_cache = MemoryKeptCache()

    def _make_transfer(self) -> PrefixTransfer:
        transfer = PrefixTransfer(
            ExportingEngine(), self.kept_cache, CacheIndex(self.clock), self.clock
        )
        transfer.customers = frozenset({"small", "large"})
        return transfer

    async def _export(self, transfer: PrefixTransfer, run: Run) -> None:
        for _ in range(2):
            transfer.record_prompt(run, "v1")
            await run_ready_tasks()

    async def test_a_shared_prefix_is_imported_by_another_engine(self) -> None:
        """Guards against recomputing a prefix that another engine has exported."""
        first, second = self._make_transfer(), self._make_transfer()
        first.record_prompt(make_run(), "v1")
        await run_ready_tasks()
        self.assertEqual({}, self.kept_cache.values, "a prefix of a single request is not shared")
        await self._export(first, make_run())
        self.assertEqual(6, await second.import_prefix(make_run(), "v1", 0.05))
        self.assertEqual(6, second._index.match_all_keys(KEYS))
        self.assertEqual(
            0,
            await second.import_prefix(make_run(), "v1", 0.05),
            "the prefix is in the engine's cache by now",
        )

    async def test_blocks_are_isolated_by_salt(self) -> None:
        """Guards against importing blocks of another customer or weights version."""
        await self._export(self._make_transfer(), make_run())
        self.assertEqual(
            0, await self._make_transfer().import_prefix(make_run("large"), "v1", 0.05)
        )
        self.assertEqual(0, await self._make_transfer().import_prefix(make_run(), "v2", 0.05))
        self.assertEqual(
            0, await self._make_transfer().import_prefix(make_run("stranger"), "v1", 0.05)
        )

    async def test_unprofitable_imports_are_skipped(self) -> None:
        """Guards against lookups whose import would cost more than it saves."""
        await self._export(self._make_transfer(), make_run())
        fast_prefill = self._make_transfer()
        self.assertEqual(0, await fast_prefill.import_prefix(make_run(), "v1", 0.001))
        cached = self._make_transfer()
        cached._index.store(KEYS[:5])
        self.assertEqual(0, await cached.import_prefix(make_run(), "v1", 0.05))
        self.assertEqual(0, self.kept_cache.lookups)

    async def test_lookups_pause_after_misses_and_faults(self) -> None:
        """Guards against repeated lookups after a miss or while the service is down."""
        for down in (False, True):
            with self.subTest(down=down):
                self.setUp()
                self.kept_cache.down = down
                transfer = self._make_transfer()
                for _ in range(3):
                    self.assertEqual(0, await transfer.import_prefix(make_run(), "v1", 0.05))
                self.assertEqual(1 if down else len(transfer_depths(6)), self.kept_cache.lookups)

    def test_the_owner_of_the_kept_cache_decides(self) -> None:
        """Guards against exporting blocks without the owner's agreement or across regions."""
        kept_cache_target = {
            "owner": "k",
            "service": "keep",
            "data_centre": "d2",
            "agent_address": "127.0.0.1:2",
        }
        terms = {"owner": "k", "customers": ["small"], "targets": ["keep-1"]}
        cases: list[tuple[str, dict[str, Any], dict[str, Any], list[str]]] = [
            ("agreed", {}, {}, ["small"]),
            ("withdrawn", {"withdrawn": True}, {}, []),
            ("other region", {"data_centre": "far"}, {}, []),
            ("another owner's terms", {}, {"owner": "o"}, []),
            ("no terms", {}, {"targets": []}, []),
        ]
        for name, target_change, terms_change, expected in cases:
            with self.subTest(name):
                sections = single_target_document()
                sections["regions"] = {"r": {"data_centres": ["d", "d2"]}}
                sections["services"]["keep"] = {"kind": "kept_cache"}
                sections["targets"]["keep-1"] = {**kept_cache_target, **target_change}
                sections["terms"]["y"] = {**terms, **terms_change}
                document = make_configuration(sections).document
                self.assertEqual(frozenset(expected), exportable_customers(document, "d"))
