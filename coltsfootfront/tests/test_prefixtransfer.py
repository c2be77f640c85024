"""Tests of KV cache transfer."""

import unittest
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.peers.messages import Run
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.keptcache import KeptCache
from coltsfootfront.targets.prefixtransfer import PrefixTransfer, exportable_customers, depths_of
from coltsfootfront.tests.support import (
    FakeEngine,
    ManualClock,
    NoopLifecycle,
    make_configuration,
    single_target_document,
    run_ready_tasks,
)

KEYS = [number.to_bytes(8, "big") for number in range(6)]


class Kept(NoopLifecycle, KeptCache):
    """Kept cache in memory."""

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


class Movable(FakeEngine):
    """Engine whose exports name the salt and the number of blocks."""

    async def export_blocks(self, cache_salt: str, keys: list[bytes]) -> Result[bytes, Failure]:
        return Success(f"{cache_salt} {len(keys)}".encode())

    async def import_blocks(self, cache_salt: str, data: bytes) -> Result[int, Failure]:
        salt, _, blocks = data.decode().partition(" ")
        assert salt == cache_salt
        return Success(int(blocks))


def run_of(customer: str = "small", blocks: int = 6) -> Run:
    """A request with a prompt of some blocks."""
    return Run(1, "r", 1, customer, "", "completion", 0.0, b"", "m", keys=KEYS[:blocks])


class TransferTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.kept = Kept()

    def _agent(self) -> PrefixTransfer:
        transfer = PrefixTransfer(Movable(), self.kept, CacheIndex(self.clock), self.clock)
        transfer.customers = frozenset({"small", "large"})
        return transfer

    async def _keep(self, transfer: PrefixTransfer, run: Run) -> None:
        for _ in range(2):
            transfer.record_prompt(run, "v1")
            await run_ready_tasks()

    async def test_a_shared_prefix_moves_to_another_engine(self) -> None:
        """Guards against computing again what another engine has exported."""
        first, second = self._agent(), self._agent()
        first.record_prompt(run_of(), "v1")
        await run_ready_tasks()
        self.assertEqual({}, self.kept.values, "one request shares nothing")
        await self._keep(first, run_of())
        self.assertEqual(6, await second.import_prefix(run_of(), "v1", 0.05))
        self.assertEqual(6, second._index.match_all_keys(KEYS))
        self.assertEqual(0, await second.import_prefix(run_of(), "v1", 0.05), "cached now")

    async def test_nothing_passes_between_salts(self) -> None:
        """Guards against blocks of another customer or of other weights."""
        await self._keep(self._agent(), run_of())
        self.assertEqual(0, await self._agent().import_prefix(run_of("large"), "v1", 0.05))
        self.assertEqual(0, await self._agent().import_prefix(run_of(), "v2", 0.05))
        self.assertEqual(0, await self._agent().import_prefix(run_of("stranger"), "v1", 0.05))

    async def test_an_import_must_pay(self) -> None:
        """Guards against lookups that cost more than they save."""
        await self._keep(self._agent(), run_of())
        quick = self._agent()
        self.assertEqual(0, await quick.import_prefix(run_of(), "v1", 0.001))
        cached = self._agent()
        cached._index.store(KEYS[:5])
        self.assertEqual(0, await cached.import_prefix(run_of(), "v1", 0.05))
        self.assertEqual(0, self.kept.lookups)

    async def test_misses_and_faults_are_not_repeated(self) -> None:
        """Guards against a lookup by every request while nothing is kept."""
        for down in (False, True):
            with self.subTest(down=down):
                self.setUp()
                self.kept.down = down
                transfer = self._agent()
                for _ in range(3):
                    self.assertEqual(0, await transfer.import_prefix(run_of(), "v1", 0.05))
                self.assertEqual(1 if down else len(depths_of(6)), self.kept.lookups)

    def test_the_owner_of_the_kept_cache_decides(self) -> None:
        """Guards against keeping blocks without the owner's agreement, or in another region."""
        keep = {
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
                sections["targets"]["keep-1"] = {**keep, **target_change}
                sections["terms"]["y"] = {**terms, **terms_change}
                document = make_configuration(sections).document
                self.assertEqual(frozenset(expected), exportable_customers(document, "d"))
