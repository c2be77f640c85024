"""Stand-in for a kept-cache service.

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
    """Stand-in for a kept-cache service."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    capacity_bytes: Annotated[int, cappa.Arg(long=True, help="bytes kept")] = 64 * 1024 * 1024


@dataclass
class KeptCacheFaults:
    """Faults that ``POST /control`` switches.

    :param delay_s: seconds before each answer.
    :param status: status answered to each call; 0 for none.
    """

    delay_s: float = 0.0
    status: int = 0


@dataclass
class KeptCacheCounters:
    """Calls received."""

    puts: int = 0
    hits: int = 0
    misses: int = 0


class KeptCacheStandIn(StandIn):
    """Keeps exports in memory; drops the least recently used beyond its capacity.

    :param options: as on the command line.
    """

    def __init__(self, options: Options) -> None:
        self.faults = KeptCacheFaults()
        self.counters = KeptCacheCounters()
        super().__init__(self.faults, self.counters)
        self._capacity_bytes = options.capacity_bytes
        self._kept: OrderedDict[tuple[str, str], bytes] = OrderedDict()
        self._kept_bytes = 0

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/healthz", self._handle_health),
            web.put("/kept/{salt}/{key}", self._handle_put),
            web.get("/kept/{salt}/{key}", self._handle_get),
        ]

    def on_crash(self) -> None:
        self._kept.clear()
        self._kept_bytes = 0

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _handle_put(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self._suffer()
        self.counters.puts += 1
        name = _name(request)
        self._kept_bytes += len(data) - len(self._kept.pop(name, b""))
        self._kept[name] = data
        while self._kept_bytes > self._capacity_bytes:
            self._kept_bytes -= len(self._kept.popitem(last=False)[1])
        return web.json_response({})

    async def _handle_get(self, request: web.Request) -> web.Response:
        await self._suffer()
        name = _name(request)
        if name not in self._kept:
            self.counters.misses += 1
            raise RefusedError(404, "not_found", "nothing is kept under this key")
        self.counters.hits += 1
        self._kept.move_to_end(name)
        return web.Response(body=self._kept[name])

    async def _suffer(self) -> None:
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            raise RefusedError(self.faults.status, "target_failed", "fault is switched on")


def _name(request: web.Request) -> tuple[str, str]:
    return request.match_info["salt"], request.match_info["key"]


def main() -> None:
    """Run the stand-in as a program."""
    options = cappa.parse(Options)
    serve(KeptCacheStandIn(options), "keptcache", options.address)


if __name__ == "__main__":
    main()
