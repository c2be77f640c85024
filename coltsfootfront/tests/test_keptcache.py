"""Contract tests of kept-cache clients, run for the HTTP client on a stand-in service."""

import unittest
from abc import ABC, abstractmethod
from typing import Any

from returns.pipeline import is_successful
from returns.result import Success

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind
from coltsfootfront.targets.httpkeptcache import HttpKeptCache
from coltsfootfront.targets.keptcache import KeptCache
from coltsfootfront_dev.keptcache import KeptCacheStandIn, Options

KEY, OTHER_KEY = b"12345678", b"87654321"
CAPACITY_BYTES = 1000


class Contract:
    """Namespace that hides the abstract test cases from the test loader."""

    class KeptCacheCases(unittest.IsolatedAsyncioTestCase, ABC):
        """Cases that every kept-cache client must pass.

        The service holds 1,000 bytes and the client's idle timeout is 0.5 s.
        """

        cache: KeptCache

        @abstractmethod
        async def set_fault(self, **faults: Any) -> None:
            """Inject faults into the service; the names are those of ``POST /control``."""

        async def test_data_comes_back_under_its_salt_and_key_only(self) -> None:
            """Guards against returning KV cache of another customer or prefix."""
            self.assertTrue(is_successful(await self.cache.put("salt", KEY, b"\0data")))
            cases = [
                ("salt", KEY, b"\0data"),
                ("other", KEY, None),
                ("salt", OTHER_KEY, None),
            ]
            for salt, key, data in cases:
                with self.subTest(salt=salt, key=key):
                    self.assertEqual(Success(data), await self.cache.get(salt, key))

        async def test_evicted_data_is_a_miss(self) -> None:
            """Guards against reporting evicted data as a failure."""
            await self.cache.put("salt", KEY, b"a" * CAPACITY_BYTES)
            await self.cache.put("salt", OTHER_KEY, b"b" * CAPACITY_BYTES)
            self.assertEqual(Success(None), await self.cache.get("salt", KEY))
            data = (await self.cache.get("salt", OTHER_KEY)).unwrap()
            self.assertEqual(b"b" * CAPACITY_BYTES, data)

        async def test_faults_are_failures(self) -> None:
            """Guards against faults reported as misses or raised as exceptions."""
            cases: list[tuple[str, dict[str, Any], ErrorKind]] = [
                ("error status", {"status": 500}, ErrorKind.TARGET_FAILED),
                ("silent", {"status": 0, "delay_s": 0.8}, ErrorKind.TARGET_FAILED),
                ("down", {"crash": {"refuse_s": 5.0}}, ErrorKind.TARGET_UNREACHABLE),
            ]
            for name, faults, kind in cases:
                with self.subTest(name):
                    await self.set_fault(**faults)
                    self.assertEqual(kind, (await self.cache.get("salt", KEY)).failure().kind)
                    put = await self.cache.put("salt", KEY, b"data")
                    self.assertEqual(kind, put.failure().kind)


class HttpKeptCacheTest(Contract.KeptCacheCases):
    async def asyncSetUp(self) -> None:
        self.stand_in = KeptCacheStandIn(Options(capacity_bytes=CAPACITY_BYTES))
        address = await self.stand_in.start("127.0.0.1:0")
        self.cache = HttpKeptCache(f"http://{address}", 0.5, SystemClock())
        await self.cache.start()

    async def asyncTearDown(self) -> None:
        await self.cache.close()
        await self.stand_in.close()

    async def set_fault(self, **faults: Any) -> None:
        await self.stand_in.control(faults, None)
