"""Simulated weight store of the platform.

Run as ``python -m coltsfootfront_dev.weights --address 127.0.0.1:0``.
"""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
from aiohttp import web

from coltsfootfront_dev.standin import RefusedError, StandIn, serve

_TRANSFER_SLICE_S = 0.02


@dataclass
class Options:
    """Simulated weight store."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    load_s: Annotated[float, cappa.Arg(long=True, help="duration of a load at full speed")] = 0.4
    full_speed_loads: Annotated[
        int, cappa.Arg(long=True, help="concurrent loads that run at full speed")
    ] = 2


@dataclass
class WeightFaults:
    """Faults that ``POST /control`` sets.

    :param slow_factor: factor by which the duration of loads is multiplied.
    :param status: HTTP status of every response; 0 for no fault.
    """

    slow_factor: float = 1.0
    status: int = 0


@dataclass
class WeightCounters:
    """Counters of loads.

    :param most_at_once: highest number of concurrent loads.
    """

    loads: int = 0
    most_at_once: int = 0


class WeightStoreStandIn(StandIn):
    """Serves weights; above ``full_speed_loads``, concurrent loads share the bandwidth.

    :param options: options of the command line.
    """

    def __init__(self, options: Options) -> None:
        self.faults = WeightFaults()
        self.counters = WeightCounters()
        super().__init__(self.faults, self.counters, cancel_handlers=True)
        self._options = options
        self._active_loads = 0

    def routes(self) -> list[web.RouteDef]:
        return [web.get("/weights/{model}/{name}", self._handle_load)]

    async def _handle_load(self, request: web.Request) -> web.Response:
        if self.faults.status:
            raise RefusedError(self.faults.status, "target_failed", "fault is switched on")
        self.counters.loads += 1
        self._active_loads += 1
        self.counters.most_at_once = max(self.counters.most_at_once, self._active_loads)
        try:
            await self._transfer()
        finally:
            self._active_loads -= 1
        return web.json_response(dict(request.match_info))

    async def _transfer(self) -> None:
        remaining_s = self._options.load_s
        while remaining_s > 0:
            speed = min(1.0, self._options.full_speed_loads / self._active_loads)
            slice_s = min(_TRANSFER_SLICE_S, remaining_s / speed)
            await asyncio.sleep(slice_s * self.faults.slow_factor)
            remaining_s -= slice_s * speed


def main() -> None:
    """Run the simulated store until SIGTERM."""
    options = cappa.parse(Options)
    serve(WeightStoreStandIn(options), "weights", options.address)


if __name__ == "__main__":
    main()
