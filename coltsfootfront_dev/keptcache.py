"""Simulated external store for exported KV cache.

Run as ``python -m coltsfootfront_dev.keptcache --address 127.0.0.1:0``.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated

import cappa
from aiohttp import web

from coltsfootfront_dev.standin import RefusedError, StandIn, serve


@dataclass
class Options:
    """Simulated external store for exported KV cache."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    capacity_bytes: Annotated[int, cappa.Arg(long=True, help="capacity of the store")] = (
        64 * 1024 * 1024
    )


@dataclass
class KeptCacheFaults:
    """Faults that ``POST /control`` sets.

    :param delay_s: delay of each response in seconds.
    :param status: HTTP status of every response; 0 for no fault.
    """

    delay_s: float = 0.0
    status: int = 0


@dataclass
class KeptCacheCounters:
    """Number of writes, and of reads that found an entry or not."""

    puts: int = 0
    hits: int = 0
    misses: int = 0


class KeptCacheStandIn(StandIn):
    """Stores exported blocks in memory and evicts the least recently used ones.

    :param options: options of the command line.
    """

    def __init__(self, options: Options) -> None:
        self.faults = KeptCacheFaults()
        self.counters = KeptCacheCounters()
        super().__init__(self.faults, self.counters)
        self._capacity_bytes = options.capacity_bytes
        self._entries: OrderedDict[tuple[str, str], bytes] = OrderedDict()
        self._total_bytes = 0

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/healthz", self._handle_health),
            web.put("/kept/{salt}/{key}", self._handle_put),
            web.get("/kept/{salt}/{key}", self._handle_get),
        ]

    def on_crash(self) -> None:
        self._entries.clear()
        self._total_bytes = 0

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _handle_put(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self._apply_faults()
        self.counters.puts += 1
        entry_key = _entry_key(request)
        self._total_bytes += len(data) - len(self._entries.pop(entry_key, b""))
        self._entries[entry_key] = data
        while self._total_bytes > self._capacity_bytes:
            self._total_bytes -= len(self._entries.popitem(last=False)[1])
        return web.json_response({})

    async def _handle_get(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        entry_key = _entry_key(request)
        if entry_key not in self._entries:
            self.counters.misses += 1
            raise RefusedError(404, "not_found", "nothing is kept under this key")
        self.counters.hits += 1
        self._entries.move_to_end(entry_key)
        return web.Response(body=self._entries[entry_key])

    async def _apply_faults(self) -> None:
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            raise RefusedError(self.faults.status, "target_failed", "fault is switched on")


def _entry_key(request: web.Request) -> tuple[str, str]:
    return request.match_info["salt"], request.match_info["key"]


def main() -> None:
    """Run the simulated store until SIGTERM."""
    options = cappa.parse(Options)
    serve(KeptCacheStandIn(options), "keptcache", options.address)


if __name__ == "__main__":
    main()
